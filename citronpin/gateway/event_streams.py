"""Splits a stream of server-sent events into complete events."""

import logging

import msgspec

logger = logging.getLogger(__name__)

MAX_EVENT_BYTES = 1024 * 1024
ID_FIELD = b"id:"
EVENT_END = b"\n\n"


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event as sent; ``number`` is its id if that is numeric."""

    data: bytes
    number: int | None


class EventTooLong(ValueError):
    """An event of a stream does not end within `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises `EventTooLong` when an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        *complete, rest = (self._buffer + data).split(EVENT_END)
        if len(rest) > MAX_EVENT_BYTES:
            raise EventTooLong(f"An event has over {MAX_EVENT_BYTES} bytes.")
        self._buffer = rest
        return [StreamEvent(part + EVENT_END, _event_number(part)) for part in complete]


def _event_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
