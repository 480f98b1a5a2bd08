"""Splits a stream of server-sent events into whole events."""

import logging

import msgspec

logger = logging.getLogger(__name__)

MAX_EVENT_BYTES = 1024 * 1024  # longer ones are a fault of the sender
ID_FIELD = b"id:"
END = b"\n\n"


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event as it was sent; ``number`` is ``None`` without an id."""

    data: bytes
    number: int | None


class EventTooLong(ValueError):
    """An event has no end within `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Collects bytes and gives out whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def partial(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._rest.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that became whole."""
        *whole, rest = (self._rest + data).split(END)
        if len(rest) > MAX_EVENT_BYTES:
            raise EventTooLong(f"An event has over {MAX_EVENT_BYTES} bytes.")
        self._rest = rest
        return [StreamEvent(part + END, _number(part)) for part in whole]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
