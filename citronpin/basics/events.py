"""Time line events: the decisions and faults of a process, in order."""

import logging
from collections import deque
from enum import Enum

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import EntryId, Fence, GroupId, Offset, RequestId, StreamName

logger = logging.getLogger(__name__)


class EventKind(Enum):
    """The decision, state change or fault that an event reports."""

    ALARM = "alarm"
    CALL_ABANDONED = "call-abandoned"
    CALL_DISPATCHED = "call-dispatched"
    CALL_INTENT = "call-intent"
    CALL_OUTCOME = "call-outcome"
    CONFIG_ACCEPTED = "config-accepted"
    CONFIG_IN_FORCE = "config-in-force"
    CONFIG_REJECTED = "config-rejected"
    DRAIN = "drain"
    FAULT = "fault"
    GROUP_STATE = "group-state"
    INSTANCE_STATE = "instance-state"
    LEASE = "lease"
    LOG_STATE = "log-state"
    ORDER = "order"
    PEER_STATE = "peer-state"
    PROCESS = "process"
    READINESS = "readiness"
    RECORD_SKIPPED = "record-skipped"
    REQUEST_ADMITTED = "request-admitted"
    REQUEST_DISPATCHED = "request-dispatched"
    REQUEST_ENDED = "request-ended"
    REQUEST_REFUSED = "request-refused"
    REQUEST_RESUMED = "request-resumed"
    ROLLOUT = "rollout"


class TimelineEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event; ``sequence`` counts the events of a process from 1.

    ``wall_ms`` is milliseconds since the Unix epoch. ``offset`` is the record of
    ``stream`` that the event refers to.
    """

    process: str
    sequence: int
    wall_ms: int
    kind: EventKind
    detail: str = ""
    stream: StreamName | None = None
    offset: Offset | None = None
    fence: Fence | None = None
    group: GroupId | None = None
    request: RequestId | None = None


class Recorder:
    """Keeps the latest ``CAPACITY`` events of one process and logs each of them."""

    CAPACITY = 20_000

    def __init__(self, *, process: EntryId | str, clock: Clock) -> None:
        self._process = str(process)
        self._clock = clock
        self._events: deque[TimelineEvent] = deque(maxlen=self.CAPACITY)
        self._sequence = 0

    def note(self, kind: EventKind, detail: str = "", **fields) -> TimelineEvent:
        """Add an event; ``fields`` are optional fields of `TimelineEvent` by name."""
        self._sequence += 1
        event = TimelineEvent(
            process=self._process,
            sequence=self._sequence,
            wall_ms=self._clock.wall_ms(),
            kind=kind,
            detail=detail,
            **fields,
        )
        self._events.append(event)
        if logger.isEnabledFor(logging.INFO):
            logger.info(kind.value, extra={"event": msgspec.to_builtins(event)})
        return event

    def since(self, sequence: int = 0) -> list[TimelineEvent]:
        """Return the kept events with a number above ``sequence``, oldest first."""
        return [event for event in self._events if event.sequence > sequence]
