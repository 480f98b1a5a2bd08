"""Selects the log lines related to one request from the logs of all processes."""

import logging
from collections.abc import Iterable
from datetime import datetime, timedelta

import msgspec

from citronpin.basics.decodings import decode_json

logger = logging.getLogger(__name__)

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
MARGIN_BEFORE_S = 6.0  # a group that lost a member is formed again within this time
MARGIN_AFTER_S = 1.0
ENTRY_MESSAGES = frozenset(
    {
        "configuration in force",
        "event loop blocked",
        "lines left out",
        "reload",
        "start",
        "stop",
        "stopped",
        "store lost",
        "store regained",
        "store restored from an older copy",
    }
)
QUARANTINE_MESSAGES = frozenset(
    {
        "request quarantined",
        "request released",
        "request released by an operator",
        "prompt part quarantined",
        "prompt part released",
        "prompt part released by an operator",
    }
)
LIMIT_MESSAGES = frozenset({"instance limited", "limit of an instance ended"})
REACH_MESSAGES = frozenset({"no instance reached", "instances reached again"})
HEADER_FIELDS = frozenset({"time", "level", "logger", "entry", "message"})


class LogLine(msgspec.Struct, frozen=True):
    """One line of a process's log."""

    time: datetime
    entry: str
    message: str
    fields: dict[str, object]

    def text(self) -> str:
        """Return the line in a readable form."""
        fields = ", ".join(
            f"{name}={_format_value(value)}"
            for name, value in self.fields.items()
            if value not in ("", None, [])
        )
        clock = self.time.strftime("%H:%M:%S.%f")[:-3]
        return f"{clock} {self.entry}: {self.message}" + (
            f" ({fields})" if fields else ""
        )


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        return (
            "{" + ", ".join(f"{k}={_format_value(v)}" for k, v in value.items()) + "}"
        )
    if isinstance(value, list):
        return "[" + "; ".join(_format_value(item) for item in value) + "]"
    return str(value)


def read_lines(text: Iterable[str]) -> list[LogLine]:
    """Parse the log lines in ``text``, in order of time.

    A prefix before the JSON object is ignored. Lines of other programs and truncated
    lines are skipped.
    """
    parsed = []
    for line in text:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            raw = decode_json(line[begin:].encode())
            parsed.append(
                LogLine(
                    time=datetime.strptime(raw["time"], TIME_FORMAT),
                    entry=raw["entry"],
                    message=raw["message"],
                    fields={k: v for k, v in raw.items() if k not in HEADER_FIELDS},
                )
            )
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            logger.debug("not a log line: %s", line[:80])
    return sorted(parsed, key=lambda line: (line.time, line.entry))


def select_request_lines(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the lines related to a request, in the order of ``lines``.

    These are the line of the request itself and, from `MARGIN_BEFORE_S` before its
    start until `MARGIN_AFTER_S` after its end, the lines of its entry about the store
    and the configuration and the lines of any entry about the instances and groups
    that the request was sent to. Lines of its entry about its quarantine, a
    part of its prompt, limits that decided on it, or the path to the instances of its
    service are returned from any time before. A request that was passed on has a line
    of each entry, so those of both are returned.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return []
    begin = min(line.time - _duration(line) for line in own)
    end = max(line.time for line in own)
    begin -= timedelta(seconds=MARGIN_BEFORE_S)
    end += timedelta(seconds=MARGIN_AFTER_S)
    entries = {line.entry for line in own}
    names = _target_names(own)
    keys = {part for line in own for part in line.fields.get("parts", [])}
    keys |= {line.fields.get("fingerprint") for line in own} - {None, ""}
    limited = {
        row.get("instance") for line in own for row in line.fields.get("limits", [])
    }
    services = {line.fields.get("service") for line in own} - {None}
    return [
        line
        for line in lines
        if line in own
        or (begin <= line.time <= end and _is_related(line, entries, names))
        or (line.time <= end and _is_about_quarantine(line, entries, keys))
        or (line.time <= end and _is_about_limits(line, entries, limited))
        or (line.time <= end and _is_about_reach(line, entries, services))
    ]


def _duration(line: LogLine) -> timedelta:
    milliseconds = line.fields.get("ms", 0)
    if not isinstance(milliseconds, (int, float)):
        return timedelta()
    return timedelta(milliseconds=milliseconds)


def _target_names(own: list[LogLine]) -> set[str]:
    """Return the names of instances and groups that a request was sent to."""
    names = set()
    for line in own:
        for attempt in line.fields.get("attempts", []):
            names.add(str(attempt.get("instance")))
            group = str(attempt.get("group", ""))
            names.add(group.rpartition("/")[0] or group)
    return names - {""}


def _is_about_quarantine(line: LogLine, entries: set[str], keys: set[object]) -> bool:
    return (
        line.message in QUARANTINE_MESSAGES
        and line.entry in entries
        and (line.fields.get("part") or line.fields.get("fingerprint")) in keys
    )


def _is_about_limits(line: LogLine, entries: set[str], limited: set[object]) -> bool:
    return (
        line.message in LIMIT_MESSAGES
        and line.entry in entries
        and line.fields.get("instance") in limited
    )


def _is_about_reach(line: LogLine, entries: set[str], services: set[object]) -> bool:
    return (
        line.message in REACH_MESSAGES
        and line.entry in entries
        and line.fields.get("service") in services
    )


def _is_related(line: LogLine, entries: set[str], names: set[str]) -> bool:
    if line.message == "request":
        return False
    if line.entry in entries and line.message in ENTRY_MESSAGES:
        return True
    members = line.fields.get("members") or []
    return bool(
        names & {line.fields.get("instance"), line.fields.get("group"), *members}
    )
