"""Splits a stream of server-sent events into complete events."""

import logging
from collections.abc import Iterator

import msgspec

logger = logging.getLogger(__name__)

MAX_EVENT_BYTES = 1024 * 1024
ID_FIELD = b"id"
FIELDS = frozenset((ID_FIELD, b"event", b"data", b"retry"))
EVENT_END = b"\n\n"


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event as sent, without comments; ``number`` is its id."""

    data: bytes
    number: int


class InvalidEvent(ValueError):
    """A stream contains bytes that are no event with an id."""


class EventSplitter:
    """Buffers received bytes and returns complete events.

    Each line of an event is a field whose name is in `FIELDS` or ``more_fields``. Its
    id is a number.
    """

    def __init__(self, *, more_fields: tuple[str, ...] = ()) -> None:
        self._fields = FIELDS.union(name.encode() for name in more_fields)
        self._buffer = b""

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of an incomplete event are held."""
        return len(self._buffer)

    @property
    def partial(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes and yield the events that they complete.

        Raises `InvalidEvent` after the last event before bytes that are none, also
        while these are incomplete, or when an incomplete event exceeds
        `MAX_EVENT_BYTES`.
        """
        *blocks, self._buffer = (self._buffer + data).split(EVENT_END)
        for block in blocks:
            if lines := _without_comments(block):
                yield self._parse(lines)
        self._check_incomplete()

    def _parse(self, lines: list[bytes]) -> StreamEvent:
        ids = []
        for line in lines:
            name, _, value = line.partition(b":")
            if name not in self._fields:
                raise InvalidEvent(f"an event has the line {line[:40]!r}")
            if name == ID_FIELD:
                ids.append(value.strip())
        data = b"\n".join(lines) + EVENT_END
        try:
            data.decode()
        except UnicodeDecodeError:
            raise InvalidEvent("an event is not UTF-8") from None
        if len(ids) != 1 or not ids[0].isdigit():
            raise InvalidEvent(f"an event has the ids {ids}")
        return StreamEvent(data, int(ids[0]))

    def _check_incomplete(self) -> None:
        """Raise `InvalidEvent` if the buffer cannot become an event."""
        if not self._buffer:
            return
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise InvalidEvent(f"an event has over {MAX_EVENT_BYTES} bytes")
        *lines, last = self._buffer.split(b"\n")
        for line in _without_comments(b"\n".join(lines)):
            if line.partition(b":")[0] not in self._fields:
                raise InvalidEvent(f"an event has the line {line[:40]!r}")
        name, colon, _ = last.partition(b":")
        if not name:
            return
        is_field = name in self._fields if colon else self._may_begin_field(name)
        if not is_field:
            raise InvalidEvent(f"an event has the line {last[:40]!r}")

    def _may_begin_field(self, start: bytes) -> bool:
        return any(field.startswith(start) for field in self._fields)


def _without_comments(block: bytes) -> list[bytes]:
    """Return the lines of a block that are neither empty nor a comment."""
    return [line for line in block.split(b"\n") if line and not line.startswith(b":")]
