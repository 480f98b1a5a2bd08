"""Commands of the program, each a registered class."""

import sys
from abc import ABC, abstractmethod

from absl import flags

from citronpin import __version__

FLAGS = flags.FLAGS
EXIT_USAGE = 2


class Command(ABC):
    """Base of the commands; ``name`` is the first argument on the command line."""

    name = ""
    summary = ""
    example = ""

    def define_flags(self) -> None:
        """Define the flags of the command."""

    @abstractmethod
    def run(self, args: list[str]) -> int:
        """Run with the arguments that are not flags; return the exit code."""


COMMANDS: dict[str, type[Command]] = {}


def register(command: type[Command]) -> type[Command]:
    """Register a command by its name."""
    COMMANDS[command.name] = command
    return command


@register
class VersionCommand(Command):
    """Prints the version."""

    name = "version"
    summary = "print the version"
    example = "citronpin version"

    def run(self, args: list[str]) -> int:
        print(__version__)
        return 0


def usage() -> str:
    """Return the list of commands with an example each."""
    lines = ["usage: citronpin COMMAND [flags]", ""]
    for name, command in sorted(COMMANDS.items()):
        lines += [f"  {name:10s} {command.summary}", f"             {command.example}"]
    lines += ["", "citronpin COMMAND --help shows the flags of a command."]
    return "\n".join(lines)


def command_help(command: type[Command], names: set[str]) -> str:
    """Return the help of one command with the flags of these names."""
    lines = [f"citronpin {command.name}: {command.summary}", "", "flags:"]
    for name in sorted(names):
        flag = FLAGS[name]
        default = "none" if flag.default is None else flag.default_as_str
        lines += [f"  --{name} (default {default})", f"      {flag.help}"]
    if not names:
        lines.append("  none")
    return "\n".join([*lines, "", f"example: {command.example}"])


def parse(argv: list[str]) -> list[str]:
    """Parse the flags of the command that ``argv`` names."""
    if len(argv) > 1 and argv[1] in COMMANDS:
        known = set(FLAGS)
        COMMANDS[argv[1]]().define_flags()
        if {"--help", "-h", "-help"} & set(argv[2:]):
            print(command_help(COMMANDS[argv[1]], set(FLAGS) - known))
            sys.exit(0)
    elif len(argv) < 2 or argv[1] in ("help", "--help", "-h"):
        print(usage())
        sys.exit(0 if len(argv) > 1 else EXIT_USAGE)
    else:
        print(f"citronpin: there is no command {argv[1]!r}.\n\n{usage()}")
        sys.exit(EXIT_USAGE)
    try:
        return FLAGS(argv)
    except flags.Error as exc:
        print(f"citronpin {argv[1]}: {exc}\nexample: {COMMANDS[argv[1]].example}")
        sys.exit(EXIT_USAGE)


def dispatch(argv: list[str]) -> int:
    """Run the command that was parsed."""
    return COMMANDS[argv[1]]().run(argv[2:])
