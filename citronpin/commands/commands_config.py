"""Commands that check settings and check or publish manifests."""

import configparser
import logging
import sys
from pathlib import Path

from absl import flags
from circuits import Component
from result import Err

from citronpin.basics.clocks import ClockTask, SystemClock
from citronpin.basics.errors import Outcome
from citronpin.basics.events import Recorder
from citronpin.basics.ids import EntryId, Offset, new_id
from citronpin.basics.settings import DEFAULTS, ENTRY_SECTIONS, read_settings
from citronpin.commands.commands import EXIT_USAGE, FLAGS, Command, register
from citronpin.state.followers import Followers
from citronpin.state.http_logs import HttpLog
from citronpin.state.manifest_files import ManifestFile, read_manifests
from citronpin.state.publishers import InForceWatch, Publisher, PublishResult
from citronpin.web.clients import HttpClient

logger = logging.getLogger(__name__)

EXIT_FAILED = 1
MANIFEST_SUFFIXES = (".toml", ".json")
CURRENT_BASE = "current"


@register
class CheckCommand(Command):
    """Checks a settings file or a manifest file and prints every fault."""

    name = "check"
    summary = "check a settings file (.ini) or a manifest (.toml, .json)"
    example = "citronpin check manifest.toml"

    def run(self, args: list[str]) -> int:
        if len(args) != 1:
            print(f"citronpin check: one file is required.\nexample: {self.example}")
            return EXIT_USAGE
        faults = _find_faults(Path(args[0]))
        for fault in faults:
            print(fault)
        if not faults:
            print(f"{args[0]}: no faults.")
        return EXIT_USAGE if faults else 0


def _find_faults(path: Path) -> list:
    if path.suffix in MANIFEST_SUFFIXES:
        result = read_manifests(path)
    else:
        result = read_settings(path, _expected_sections(path))
    return result.err_value if isinstance(result, Err) else []


def _expected_sections(path: Path) -> tuple[str, ...]:
    """Return the sections to check in a settings file.

    For a stand-in these are the sections that the file has; otherwise those that an
    entry needs are checked too.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding="utf-8")
    except (configparser.Error, UnicodeDecodeError):
        return ENTRY_SECTIONS
    present = tuple(name for name in DEFAULTS if parser.has_section(name))
    if "standin" in present:
        return present
    return tuple(dict.fromkeys(ENTRY_SECTIONS + present))


@register
class PublishCommand(Command):
    """Publishes a manifest file and prints the verdict, for use in build pipelines."""

    name = "publish"
    summary = "publish a manifest and print the verdict"
    example = (
        "citronpin publish manifest.toml --log 10.0.0.9:7070 --base 41 "
        "--wait --entry 10.0.1.1:8080"
    )

    def define_flags(self) -> None:
        flags.DEFINE_string("log", None, "IP:PORT of the log service.", required=True)
        flags.DEFINE_string(
            "base", CURRENT_BASE, "Offset that the manifest is based on, or current."
        )
        flags.DEFINE_string(
            "author", "", "Name of the publisher, shown in the time line."
        )
        flags.DEFINE_bool(
            "wait", False, "Wait until the manifest is in force on the entries."
        )
        flags.DEFINE_multi_string("entry", [], "IP:PORT of an entry to wait for.")
        flags.DEFINE_float("timeout", 30.0, "Seconds to wait for each step.")

    def run(self, args: list[str]) -> int:
        base = _parse_base(FLAGS.base)
        if len(args) != 1 or isinstance(base, Err):
            print(
                f"citronpin publish: give one file, and an offset or {CURRENT_BASE} as"
            )
            print(f"the base.\nexample: {self.example}")
            return EXIT_USAGE
        logging.getLogger().setLevel(logging.WARNING)
        result = read_manifests(args[0])
        if isinstance(result, Err):
            for fault in result.err_value:
                print(fault)
            return EXIT_USAGE
        task = PublishTask(
            log=FLAGS.log,
            file=result.ok_value,
            base=base,
            author=FLAGS.author,
            entries=tuple(FLAGS.entry) if FLAGS.wait else (),
            timeout_s=FLAGS.timeout,
        )
        task.run()
        return task.exit_code


def _parse_base(text: str) -> Offset | None | Err:
    if text == CURRENT_BASE:
        return None
    try:
        return Offset(int(text))
    except ValueError:
        return Err(text)


class PublishTask(Component):
    """Root component of ``publish``, which prints the result of each step."""

    def __init__(
        self,
        *,
        log: str,
        file: ManifestFile,
        base: Offset | None,
        author: str,
        entries: tuple[str, ...],
        timeout_s: float,
    ) -> None:
        super().__init__()
        self.exit_code = EXIT_FAILED
        self._entries = entries
        self._timeout_s = timeout_s
        self._clock = SystemClock()
        entry = EntryId(f"pipeline-{new_id()}")
        ClockTask(clock=self._clock).register(self)
        self._client = HttpClient(clock=self._clock).register(self)
        self._publisher = Publisher(
            followers=Followers(
                log=HttpLog(client=self._client, address=log, clock=self._clock),
                entry=entry,
                clock=self._clock,
                recorder=Recorder(process=entry, clock=self._clock),
                proposal_timeout_s=timeout_s,
            ).register(self),
            clock=self._clock,
            file=file,
            base=base,
            author=author,
            timeout_s=timeout_s,
            done=self._on_published,
        )
        self._clock.call_later(0.0, self._publisher.start)

    def _on_published(self, result) -> None:
        if isinstance(result, Err):
            self._print_error(result.err_value)
            return
        published: PublishResult = result.ok_value
        print(f"offset: {published.offset}")
        if not published.accepted:
            print(f"verdict: rejected\nreason: {published.reason}")
            self._stop_with(EXIT_FAILED)
            return
        print("verdict: accepted", flush=True)
        if not self._entries:
            self._stop_with(0)
            return
        InForceWatch(
            client=self._client,
            clock=self._clock,
            entries=self._entries,
            offset=published.offset,
            timeout_s=self._timeout_s,
            done=self._on_in_force,
        ).start()

    def _print_error(self, error) -> None:
        is_not_run = error.outcome is Outcome.NOT_RUN
        print(
            f"verdict: {'not published' if is_not_run else 'unknown'}\nreason: {error}"
        )
        self._stop_with(EXIT_FAILED)

    def _on_in_force(self, missing: list[str], seconds: float) -> None:
        if missing:
            print(f"not in force after {seconds:.2f} s: {', '.join(missing)}")
            self._stop_with(EXIT_FAILED)
            return
        count = len(self._entries)
        print(f"in force: on all {count} entries after {seconds:.2f} s")
        self._stop_with(0)

    def _stop_with(self, code: int) -> None:
        self.exit_code = code
        sys.stdout.flush()
        self.stop()
