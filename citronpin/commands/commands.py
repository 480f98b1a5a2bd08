"""Registry, help and parsing of the commands of the command line."""

import sys
from abc import ABC, abstractmethod

from absl import flags

from citronpin import __version__

FLAGS = flags.FLAGS
EXIT_USAGE = 2


class Command(ABC):
    """Base class of a command, which is run by its ``name`` as the first argument."""

    name = ""
    summary = ""
    example = ""

    def define_flags(self) -> None:
        """Define the absl flags of the command."""

    @abstractmethod
    def run(self, args: list[str]) -> int:
        """Run the command with its positional arguments and return the exit code."""


COMMANDS: dict[str, type[Command]] = {}


def register(command: type[Command]) -> type[Command]:
    """Add a command to ``COMMANDS`` by its name and return it."""
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
    """Return the summary and an example of each command as text."""
    lines = ["usage: citronpin COMMAND [flags]", ""]
    for name, command in sorted(COMMANDS.items()):
        lines += [f"  {name:10s} {command.summary}", f"             {command.example}"]
    lines += ["", "citronpin COMMAND --help shows the flags of a command."]
    return "\n".join(lines)


def command_help(command: type[Command], flag_names: set[str]) -> str:
    """Return the help of a command that defines the flags ``flag_names``."""
    lines = [f"citronpin {command.name}: {command.summary}", "", "flags:"]
    for name in sorted(flag_names):
        flag = FLAGS[name]
        default = "none" if flag.default is None else flag.default_as_str
        lines += [f"  --{name} (default {default})", f"      {flag.help}"]
    if not flag_names:
        lines.append("  none")
    return "\n".join([*lines, "", f"example: {command.example}"])


def parse(argv: list[str]) -> list[str]:
    """Parse the flags of the command named in ``argv`` and return the other arguments.

    Raises `SystemExit` after it printed help or a usage error.
    """
    if len(argv) > 1 and argv[1] in COMMANDS:
        flags_before = set(FLAGS)
        COMMANDS[argv[1]]().define_flags()
        if {"--help", "-h", "-help"} & set(argv[2:]):
            print(command_help(COMMANDS[argv[1]], set(FLAGS) - flags_before))
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
    """Run the command named in ``argv`` and return its exit code."""
    return COMMANDS[argv[1]]().run(argv[2:])
