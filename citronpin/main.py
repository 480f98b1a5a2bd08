"""The ``citronpin`` command line."""

import importlib

from absl import app

from citronpin.commands import commands

COMMAND_MODULES = (
    "commands_benches",
    "commands_config",
    "commands_demo",
    "commands_entries",
    "commands_gateway",
    "commands_standins",
    "commands_stories",
)
# Imported alone: importing the modules of all commands would double the start-up time.
FAST_START_COMMANDS = {"gateway": "commands_gateway"}


def main(argv: list[str]) -> int:
    """Run the command named in ``argv`` and return its exit code."""
    return commands.dispatch(argv)


def parse(argv: list[str]) -> list[str]:
    """Register the commands and parse the flags of the one named in ``argv``.

    A fast-start command is registered alone.
    """
    fast_start_module = FAST_START_COMMANDS.get(argv[1]) if len(argv) > 1 else None
    for module in (fast_start_module,) if fast_start_module else COMMAND_MODULES:
        importlib.import_module(f"citronpin.commands.{module}")
    return commands.parse(argv)


def run() -> None:
    """Parse the command line and run its command under absl."""
    app.run(main, flags_parser=parse)
