"""Entry point of ``python -m citronpin`` and of the script ``citronpin``."""

import sys

from citronpin.basics.hangups import record_hangups

RELOADING_COMMAND = "gateway"


def run() -> None:
    """Run the command line; a gateway records hangup signals while it starts.

    The imports of a gateway take some tenths of a second.
    """
    if sys.argv[1:2] == [RELOADING_COMMAND]:
        record_hangups()
    from citronpin import main

    main.run()


if __name__ == "__main__":
    run()
