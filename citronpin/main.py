"""Entry point of the program."""

import sys

from absl import app

from citronpin import commands, commands_standins  # noqa: F401


def main(argv: list[str]) -> int:
    """Run the command that the arguments name and return the exit code."""
    return commands.dispatch(argv)


def run() -> None:
    """Run the program."""
    app.run(main, flags_parser=commands.parse)


if __name__ == "__main__":
    sys.exit(run())
