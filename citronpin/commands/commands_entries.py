"""Commands that run an entry, inspect entries and generate load."""

import json
import signal
import sys
from pathlib import Path

import msgspec
from absl import flags

from citronpin.basics.clocks import SystemClock
from citronpin.basics.errors import CitronpinError
from citronpin.basics.loggings import set_up_logging
from citronpin.basics.runners import run_to_end
from citronpin.basics.settings import read_settings
from citronpin.basics.timelines import from_jsonl, merge_events, to_jsonl, to_page
from citronpin.benches.loads import Fault, LoadPlan, LoadTask, check_effects
from citronpin.commands.commands import EXIT_USAGE, FLAGS, Command, register
from citronpin.standins.standin_texts import answer_to
from citronpin.web.fetches import Fetch, fetch_all

EXIT_FAILED = 1
STATUS_VIEWS = (
    "gate",
    "configuration",
    "groups",
    "members",
    "leases",
    "peers",
    "limits",
    "evacuations",
    "quarantines",
)


def define_entry_flag() -> None:
    """Define the flag for the addresses of the entries to ask."""
    flags.DEFINE_multi_string("entry", [], "Address IP:PORT of an entry; repeatable.")


def print_errors(errors: list[CitronpinError]) -> None:
    """Print each error on a line of its own to standard error."""
    for error in errors:
        print(f"citronpin: {error}", file=sys.stderr)


@register
class EntryCommand(Command):
    """Runs one entry until SIGTERM or SIGINT drains it."""

    name = "entry"
    summary = "run an entry"
    example = "citronpin entry --settings entry.ini"

    def define_flags(self) -> None:
        flags.DEFINE_string("settings", None, "INI file with the entry's settings.")

    def run(self, args: list[str]) -> int:
        from citronpin.wiring.entries import Entry

        if not FLAGS.settings:
            print("citronpin entry: --settings is missing.", file=sys.stderr)
            return EXIT_USAGE
        result = read_settings(FLAGS.settings)
        if result.is_err():
            print_errors(result.err_value)
            return EXIT_USAGE
        cfg = result.ok_value
        set_up_logging(cfg.section("entry")["log_level"], cfg.section("entry")["name"])
        entry = Entry(cfg=cfg, clock=SystemClock())
        entry.drain_on_signals(signal.SIGTERM, signal.SIGINT)
        entry.run()
        return 0


@register
class StatusCommand(Command):
    """Prints the admin views of entries."""

    name = "status"
    summary = "show groups, leases, configuration and limits of entries"
    example = "citronpin status --entry 127.0.0.1:8080 --json"

    def define_flags(self) -> None:
        define_entry_flag()
        flags.DEFINE_bool("json", False, "Print JSON.")
        flags.DEFINE_string("call", None, "Key of a non-repeatable call to look up.")

    def run(self, args: list[str]) -> int:
        if not FLAGS.entry:
            print("citronpin status: --entry is missing.", file=sys.stderr)
            return EXIT_USAGE
        if FLAGS.call:
            target = f"/admin/calls/{FLAGS.call}"
            fetches = [Fetch(entry, target) for entry in FLAGS.entry]
        else:
            fetches = self._find_views(FLAGS.entry)
        status: dict[str, dict] = {}
        failed = False
        for result in fetch_all(fetches):
            view = result.fetch.target.removeprefix("/admin/")
            try:
                value = result.json()
            except CitronpinError as exc:
                failed = True
                value = {"error": str(exc)}
            status.setdefault(result.fetch.address, {})[view] = value
        self._print_status(status)
        return EXIT_FAILED if failed else 0

    def _find_views(self, entries: list[str]) -> list[Fetch]:
        """Return the fetches of the views that each entry has."""
        fetches = []
        for result in fetch_all([Fetch(entry, "/admin") for entry in entries]):
            try:
                views = [view for view in STATUS_VIEWS if view in result.json()]
            except CitronpinError:
                views = STATUS_VIEWS[:1]  # its fetch tells the error
            fetches += [Fetch(result.fetch.address, f"/admin/{view}") for view in views]
        return fetches

    def _print_status(self, status: dict[str, dict]) -> None:
        if FLAGS.json:
            print(json.dumps(status, indent=2, sort_keys=True))
            return
        for address, views in status.items():
            print(f"entry {address}")
            for view, value in views.items():
                print(f"  {view}: {json.dumps(value, sort_keys=True)}")


@register
class TimelineCommand(Command):
    """Merges the events of entries and writes them as an HTML page or JSON lines."""

    name = "timeline"
    summary = "merge the events of entries into one time line"
    example = "citronpin timeline --entry 127.0.0.1:8080 --output line.html"

    def define_flags(self) -> None:
        define_entry_flag()
        flags.DEFINE_string(
            "output", None, "FILE.html or FILE.jsonl; default: JSON lines."
        )
        flags.DEFINE_string("text", "", "Only write events that contain this text.")

    def run(self, args: list[str]) -> int:
        if not FLAGS.entry:
            print("citronpin timeline: --entry is missing.", file=sys.stderr)
            return EXIT_USAGE
        results = fetch_all([Fetch(entry, "/admin/events") for entry in FLAGS.entry])
        errors = [result.error for result in results if result.error is not None]
        print_errors(errors)
        events = merge_events(
            [event for result in results for event in from_jsonl(result.body)]
        )
        if FLAGS.text:
            events = [e for e in events if FLAGS.text in str(msgspec.to_builtins(e))]
        self._write(events)
        return EXIT_FAILED if errors else 0

    def _write(self, events) -> None:
        if not FLAGS.output:
            sys.stdout.write(to_jsonl(events).decode())
        elif FLAGS.output.endswith(".html"):
            Path(FLAGS.output).write_text(to_page(events), encoding="utf-8")
        else:
            Path(FLAGS.output).write_bytes(to_jsonl(events))


@register
class LoadCommand(Command):
    """Sends load to entries and checks every answer."""

    name = "load"
    summary = "send chats and calls, check every answer, inject faults"
    example = "citronpin load --plan plan.json --effects 127.0.0.1:9300"

    def define_flags(self) -> None:
        flags.DEFINE_string(
            "plan", None, "JSON file of a load plan; may contain faults."
        )
        flags.DEFINE_multi_string(
            "effects",
            [],
            "Service stand-in, as IP:PORT, that counts effects; repeatable.",
        )
        flags.DEFINE_bool(
            "check_text", False, "Check the text of answers of engine stand-ins."
        )

    def run(self, args: list[str]) -> int:
        if not FLAGS.plan:
            print("citronpin load: --plan is missing.", file=sys.stderr)
            return EXIT_USAGE
        try:
            raw = msgspec.json.decode(Path(FLAGS.plan).read_bytes())
            faults = msgspec.convert(raw.pop("faults", []), tuple[Fault, ...])
            plan = msgspec.convert(raw, LoadPlan)
        except (OSError, msgspec.MsgspecError, AttributeError) as exc:
            print(f"citronpin load: {FLAGS.plan}: {exc}", file=sys.stderr)
            return EXIT_USAGE
        summary = run_load(plan, faults, FLAGS.effects, FLAGS.check_text)
        print(json.dumps(summary, indent=2, sort_keys=True))
        return EXIT_FAILED if summary["violations"] else 0


def expected_text(messages: list[dict], max_tokens: int) -> str:
    """Return the text that an engine stand-in generates for a chat."""
    return answer_to({"messages": messages, "max_tokens": max_tokens}).text


def run_load(
    plan: LoadPlan,
    faults: tuple[Fault, ...],
    effect_servers: list[str],
    check_text: bool,
) -> dict:
    """Run a load to its end and return its figures and violations.

    ``effect_servers`` are the addresses of the service stand-ins whose effects are
    compared with the calls that were sent.
    """
    task = LoadTask(
        plan=plan,
        clock=SystemClock(),
        faults=faults,
        expected_text=expected_text if check_text else None,
    )
    task.on_finished(task.stop)
    task.clock.call_later(0.0, task.begin)
    run_to_end(task, task.clock)
    effect_counts: dict[str, int] = {}
    for result in fetch_all([Fetch(address, "/effects") for address in effect_servers]):
        for key, count in result.json().items():
            effect_counts[key] = effect_counts.get(key, 0) + count
    if effect_servers:
        task.tally.violations += check_effects(task.call_outcomes, effect_counts)
    return task.tally.summary() | {"sent": task.sent}
