"""The command that prints the log lines related to a request."""

import sys
from pathlib import Path

from absl import flags

from citronpin.commands.commands import EXIT_USAGE, FLAGS, Command, register
from citronpin.gateway.stories import read_lines, select_request_lines

EXIT_NOT_FOUND = 1


@register
class StoryCommand(Command):
    """Merges the logs of processes and prints the lines related to a request."""

    name = "story"
    summary = "show the history of a request from the logs of all processes"
    example = "citronpin story --request 9c41d07be2a35f68 front-1.log front-2.log"

    def define_flags(self) -> None:
        flags.DEFINE_string("request", None, "Id of a caller's attempt.")

    def run(self, args: list[str]) -> int:
        if not FLAGS.request or not args:
            print(
                "citronpin story: --request and log files are required.",
                file=sys.stderr,
            )
            return EXIT_USAGE
        text = []
        for name in args:
            try:
                text += Path(name).read_text(errors="replace").splitlines()
            except OSError as exc:
                print(f"citronpin story: {exc}.", file=sys.stderr)
                return EXIT_USAGE
        story = select_request_lines(read_lines(text), FLAGS.request)
        for line in story:
            print(line.text())
        if not story:
            print(f"No line names {FLAGS.request}.", file=sys.stderr)
        return 0 if story else EXIT_NOT_FOUND
