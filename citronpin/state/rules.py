"""Rules that the folds of all streams share: leases, fences and late records.

A fold is a pure function of a state, an offset and a record; it returns the next
state and a verdict on each item of the record. All entries fold the same records in
the same order and so reach the same state. A fold must not read anything else, such
as a clock or a setting.
"""

import logging
from abc import ABC, abstractmethod

import msgspec

from citronpin.basics.ids import EntryId, Offset
from citronpin.state import records
from citronpin.state.records import Record
from citronpin.state.states import Lease, StreamState, Verdict, WriterProgress

logger = logging.getLogger(__name__)

# A record that lands more than this after its base is late. A writer is removed only
# after as many records without one of its own, when all that it wrote is late.
WRITER_WINDOW_RECORDS = 4_096
WRITER_SWEEP_INTERVAL_RECORDS = 256  # between removals of inactive writers


class Rejected(Exception):
    """Raised for an item that the rules reject; the message tells its author why.

    ``next_state`` is the state to continue with when a rejected item changes it all the
    same; ``None`` leaves the state as it was.
    """

    def __init__(self, reason: str, next_state: StreamState | None = None) -> None:
        super().__init__(reason)
        self.next_state = next_state


class Fold(ABC):
    """Base class of the folds; each subclass holds the rules of one kind of stream."""

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
        state = _record_writer(state, offset, record)
        verdicts = []
        for number, item in enumerate(record.items):
            reason = ""
            try:
                state = self._accept_item(state, offset, record, item)
            except Rejected as exc:
                reason = str(exc)
                state = exc.next_state or state
            verdicts.append(Verdict(offset, record.id, number, not reason, reason))
        return msgspec.structs.replace(state, offset=offset), verdicts

    def skip(self, state: StreamState, offset: Offset) -> StreamState:
        """Return the state after a record that is ignored."""
        return msgspec.structs.replace(state, offset=offset)

    def _accept_item(self, state, offset: Offset, record: Record, item):
        if isinstance(item, (records.Checkpoint, records.DigestMark)):
            return state
        if isinstance(item, records.LeaseClaim):
            return _accept_lease_claim(state, offset, record, item)
        if isinstance(item, records.LeaseYield):
            return _accept_lease_yield(state, record, item)
        return self.accept(state, offset, record, item)


def late_reason(state: StreamState, offset: Offset, record: Record) -> str:
    """Return why a record is late or a duplicate, or an empty string."""
    if not record.sequence:
        return ""
    progress = state.writers.get(record.writer)
    if progress is not None and record.sequence <= progress.sequence:
        return "A later record of the same writer stands before this one."
    if offset - record.base > WRITER_WINDOW_RECORDS:
        return f"The record was written from offset {record.base}, too long ago."
    return ""


def _record_writer(state, offset: Offset, record: Record):
    writers = state.writers
    if record.sequence:
        writers = writers.set(record.writer, WriterProgress(record.sequence, offset))
    if offset % WRITER_SWEEP_INTERVAL_RECORDS == 0:
        for writer, progress in state.writers.items():
            if (
                offset - progress.offset > WRITER_WINDOW_RECORDS
                and writer != record.writer
            ):
                writers = writers.delete(writer)
    return msgspec.structs.replace(state, writers=writers)


def _accept_lease_claim(
    state, offset: Offset, record: Record, item: records.LeaseClaim
):
    if item.supersedes != state.lease.fence:
        raise Rejected(
            f"The lease with fence {item.supersedes} was superseded by "
            f"{state.lease.fence}; claim that one."
        )
    lease = Lease(holder=record.author, fence=offset)
    return msgspec.structs.replace(state, lease=lease)


def _accept_lease_yield(state, record: Record, item: records.LeaseYield):
    check_fence(state, record, item.fence)
    lease = Lease(holder=EntryId(""), fence=item.fence)
    return msgspec.structs.replace(state, lease=lease)


def check_fence(state, record: Record, fence) -> None:
    """Raise `Rejected` unless the author holds the current lease, with this fence."""
    if fence != state.lease.fence:
        raise Rejected(f"Fence {fence} is not current; it is {state.lease.fence}.")
    if record.author != state.lease.holder:
        raise Rejected(f"The lease is held by {state.lease.holder}.")


def wrong_stream_rejection(item) -> Rejected:
    """Return the exception for an item that belongs on another kind of stream."""
    return Rejected(f"{type(item).__name__} does not belong on this stream.")
