"""What the folds of all streams have in common.

A fold is a pure function from a state and a record to the next state and a
verdict on each item. Every entry folds the same records in the same order, so all
agree on what was accepted. A fold looks at nothing but the state and the record.
"""

import logging
from abc import ABC, abstractmethod

import msgspec

from citronpin.basics.ids import EntryId, Offset
from citronpin.state import records
from citronpin.state.records import Record
from citronpin.state.states import Lease, Progress, StreamState, Verdict

logger = logging.getLogger(__name__)

WRITER_WINDOW = 4_096  # records after its base within which a record counts
WRITER_SWEEP = 256  # records between removals of writers that fell silent


class Rejected(Exception):
    """An item that the rules do not admit; the message tells its author why.

    ``after`` is the state to go on with when the item changes it all the same.
    """

    def __init__(self, reason: str, after: StreamState | None = None) -> None:
        super().__init__(reason)
        self.after = after


class Fold(ABC):
    """Rules of one kind of stream."""

    @abstractmethod
    def empty(self) -> StreamState:
        """Return the state before the first record."""

    @abstractmethod
    def accept(self, state, offset: Offset, record: Record, item):
        """Return the state after ``item``, or raise `Rejected`."""

    def apply(
        self, state: StreamState, offset: Offset, record: Record
    ) -> tuple[StreamState, list[Verdict]]:
        """Return the state after ``record`` and a verdict for each of its items."""
        late = late_reason(state, offset, record)
        if late:
            return self.skip(state, offset), [
                Verdict(offset, record.id, number, False, late)
                for number in range(len(record.items))
            ]
        state = _admit(state, offset, record)
        verdicts = []
        for number, item in enumerate(record.items):
            reason = ""
            try:
                state = self._accept(state, offset, record, item)
            except Rejected as exc:
                reason = str(exc)
                state = exc.after or state
            verdicts.append(Verdict(offset, record.id, number, not reason, reason))
        return msgspec.structs.replace(state, offset=offset), verdicts

    def skip(self, state: StreamState, offset: Offset) -> StreamState:
        """Return the state after a record that changes nothing."""
        return msgspec.structs.replace(state, offset=offset)

    def _accept(self, state, offset: Offset, record: Record, item):
        if isinstance(item, (records.Checkpoint, records.DigestMark)):
            return state
        if isinstance(item, records.LeaseClaim):
            return _claim(state, offset, record, item)
        if isinstance(item, records.LeaseYield):
            return _yield_lease(state, record, item)
        return self.accept(state, offset, record, item)


def late_reason(state: StreamState, offset: Offset, record: Record) -> str:
    """Return why a record landed too late or twice, or an empty text."""
    if not record.sequence:
        return ""
    known = state.writers.get(record.writer)
    if known is not None and record.sequence <= known.sequence:
        return "A later record of the same writer stands before this one."
    if offset - record.base > WRITER_WINDOW:
        return f"The record was written from offset {record.base}, too long ago."
    return ""


def _admit(state, offset: Offset, record: Record):
    writers = state.writers
    if record.sequence:
        writers = writers.set(record.writer, Progress(record.sequence, offset))
    if offset % WRITER_SWEEP == 0:
        for writer, known in state.writers.items():
            if offset - known.offset > WRITER_WINDOW and writer != record.writer:
                writers = writers.delete(writer)
    return msgspec.structs.replace(state, writers=writers)


def _claim(state, offset: Offset, record: Record, item: records.LeaseClaim):
    if item.supersedes != state.lease.fence:
        raise Rejected(
            f"The lease with fence {item.supersedes} was superseded by "
            f"{state.lease.fence}; claim that one."
        )
    lease = Lease(holder=record.author, fence=offset)
    return msgspec.structs.replace(state, lease=lease)


def _yield_lease(state, record: Record, item: records.LeaseYield):
    check_fence(state, record, item.fence)
    lease = Lease(holder=EntryId(""), fence=item.fence)
    return msgspec.structs.replace(state, lease=lease)


def check_fence(state, record: Record, fence) -> None:
    """Raise `Rejected` unless the author holds the lease with this fence."""
    if fence != state.lease.fence:
        raise Rejected(f"Fence {fence} is not current; it is {state.lease.fence}.")
    if record.author != state.lease.holder:
        raise Rejected(f"The lease is held by {state.lease.holder}.")


def misplaced(item) -> Rejected:
    """Return the rejection of an item that belongs on another stream."""
    return Rejected(f"{type(item).__name__} does not belong on this stream.")
