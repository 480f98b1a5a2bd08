"""Tells what became of a request, from the logs of all processes."""

import logging
from collections.abc import Iterable
from datetime import datetime, timedelta

import msgspec

from citronpin.basics.decodings import decode_json

logger = logging.getLogger(__name__)

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
BEFORE_S = 6.0  # a group that lost a member is formed again within it
AFTER_S = 1.0
OWN_MESSAGES = frozenset(
    {
        "configuration in force",
        "lines left out",
        "reload",
        "start",
        "stop",
        "stopped",
        "store lost",
        "store regained",
    }
)
HIDDEN = frozenset({"time", "level", "logger", "entry", "message"})


class LogLine(msgspec.Struct, frozen=True):
    """One line of a process's log."""

    time: datetime
    entry: str
    message: str
    fields: dict[str, object]

    def text(self) -> str:
        """Return the line for people."""
        told = ", ".join(
            f"{name}={_short(value)}"
            for name, value in self.fields.items()
            if value not in ("", None, [])
        )
        clock = self.time.strftime("%H:%M:%S.%f")[:-3]
        return f"{clock} {self.entry}: {self.message}" + (f" ({told})" if told else "")


def _short(value: object) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{k}={_short(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list):
        return "[" + "; ".join(_short(item) for item in value) + "]"
    return str(value)


def read_lines(text: Iterable[str]) -> list[LogLine]:
    """Return the log lines in ``text``; what stands before the JSON is skipped.

    Lines of other programs, or cut off ones, are left out.
    """
    found = []
    for line in text:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            raw = decode_json(line[begin:].encode())
            found.append(
                LogLine(
                    time=datetime.strptime(raw["time"], TIME_FORMAT),
                    entry=raw["entry"],
                    message=raw["message"],
                    fields={k: v for k, v in raw.items() if k not in HIDDEN},
                )
            )
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            logger.debug("no log line: %s", line[:80])
    return sorted(found, key=lambda line: (line.time, line.entry))


def select_request_lines(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the lines that bear on a request, in order of time.

    These are its own line; what the entry that had it learnt of store and
    configuration; and what any entry decided on the instances and groups that it was
    sent to, shortly before and while it was in progress.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    begin = min(line.time - _duration(line) for line in own)
    end = max(line.time for line in own)
    begin -= timedelta(seconds=BEFORE_S)
    end += timedelta(seconds=AFTER_S)
    entries = {line.entry for line in own}
    names = _names(own)
    return [
        line
        for line in lines
        if line in own
        or (begin <= line.time <= end and _bears_on(line, entries, names))
    ]


def _duration(line: LogLine) -> timedelta:
    milliseconds = line.fields.get("ms", 0)
    if not isinstance(milliseconds, (int, float)):
        return timedelta()
    return timedelta(milliseconds=milliseconds)


def _names(own: list[LogLine]) -> set[str]:
    """Return the instances and groups that a request was sent to."""
    names = set()
    for line in own:
        for attempt in line.fields.get("attempts", []):
            names.add(str(attempt.get("instance")))
            group = str(attempt.get("group", ""))
            names.add(group.rpartition("/")[0] or group)
    return names - {""}


def _bears_on(line: LogLine, entries: set[str], names: set[str]) -> bool:
    if line.message == "request":
        return False
    if line.entry in entries and line.message in OWN_MESSAGES:
        return True
    members = line.fields.get("members") or []
    return bool(
        names & {line.fields.get("instance"), line.fields.get("group"), *members}
    )
