"""Entry point of the program."""

import importlib
import sys

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
# Imported alone, since the imports of all commands would double the time of a start.
LEAN_COMMANDS = {"gateway": "commands_gateway"}


def main(argv: list[str]) -> int:
    """Run the command that the arguments name and return the exit code."""
    return commands.dispatch(argv)


def parse(argv: list[str]) -> list[str]:
    """Register all commands and parse the flags of the one that is named."""
    lean = LEAN_COMMANDS.get(argv[1]) if len(argv) > 1 else None
    for module in (lean,) if lean else COMMAND_MODULES:
        importlib.import_module(f"citronpin.commands.{module}")
    return commands.parse(argv)


def run() -> None:
    """Run the program."""
    app.run(main, flags_parser=parse)


if __name__ == "__main__":
    sys.exit(run())
