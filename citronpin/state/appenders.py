"""Appends proposals to one stream with group commit, and resolves lost answers.

At most one record of a stream is in flight; proposals made meanwhile go into the
next one. Each record carries the next sequence number of its writer, and the fold
ignores a record whose number is not above the writer's last. So an append whose
answer was lost is repeated with the same record, since a second copy has no effect.
Once all callers have timed out, a record with a higher number is appended as a
fence: when it is folded, the lost record either was folded before it or can never
take effect.
"""

import logging
from collections import deque
from collections.abc import Callable

import msgspec
import numpy as np
from result import Err, Ok

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.errors import CitronpinError, LogUnavailable, Outcome, TimedOut
from citronpin.basics.ids import EntryId, Offset, RecordId, StreamName, WriterId, new_id
from citronpin.state.logs import LogClient, ProposeCallback
from citronpin.state.records import (
    FORMAT_VERSION,
    MAX_RECORD_BYTES,
    Record,
    encode_record,
)
from citronpin.state.states import StreamState, Verdict

logger = logging.getLogger(__name__)

MAX_BATCH_BYTES = 128 * 1024
MAX_BATCH_ITEMS = 256
RECORD_OVERHEAD_BYTES = 256  # reserved for the fields of a record around its items
MAX_QUEUED_PROPOSALS = 4_096
APPENDS_PER_S = 30.0
PROPOSAL_TIMEOUT_S = 10.0
MIN_TOKEN_WAIT_S = 0.001
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class Pacer:
    """Token bucket that limits the appends of one entry to its share of the rate."""

    def __init__(self, *, clock: Clock, appends_per_s: float = APPENDS_PER_S) -> None:
        self._clock = clock
        self._tokens_per_s = appends_per_s
        self._burst = max(appends_per_s / 4.0, 1.0)
        self._tokens = self._burst
        self._refilled_s = clock.now()

    def take(self) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        now = self._clock.now()
        self._tokens += (now - self._refilled_s) * self._tokens_per_s
        self._tokens = min(self._tokens, self._burst)
        self._refilled_s = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        # A timer shorter than the clock's resolution could fire again and again
        # without any time passing, so no token would be added.
        return max((1.0 - self._tokens) / self._tokens_per_s, MIN_TOKEN_WAIT_S)


class Backoff:
    """Exponential backoff: each wait doubles, with jitter of 50 to 100 percent."""

    def __init__(self, *, rng: np.random.Generator) -> None:
        self._rng = rng
        self._wait_s = MIN_BACKOFF_S

    def reset(self) -> None:
        """Start again from the shortest wait."""
        self._wait_s = MIN_BACKOFF_S

    def next_s(self) -> float:
        """Return the next wait in seconds."""
        wait_s = self._wait_s
        self._wait_s = min(wait_s * 2.0, MAX_BACKOFF_S)
        return wait_s * float(self._rng.uniform(0.5, 1.0))


class Proposal:
    """Items that go into one record, and the callback for their verdicts.

    ``size_bytes`` is the encoded size of the items; ``due_s`` is the time of the
    monotonic clock at which the proposal times out.
    """

    __slots__ = ("items", "done", "size_bytes", "due_s", "first_index", "settled")

    def __init__(self, *, items: tuple, done, size_bytes: int, due_s: float) -> None:
        self.items = items
        self.done = done
        self.settled = False
        self.size_bytes = size_bytes
        self.due_s = due_s
        self.first_index = 0  # index of its first item among those of the record

    def settle(self, result) -> None:
        """Pass the result to the caller; only the first call has an effect."""
        if self.settled:
            return
        self.settled = True
        if self.done is not None:
            self.done(result)


class PendingRecord:
    """A record that was sent to the log and whose effect is not yet known.

    ``under_way`` tells whether an append of it still waits for an answer.
    """

    __slots__ = ("record", "payload", "proposals", "maybe", "under_way")

    def __init__(self, *, record: Record, proposals: list[Proposal]) -> None:
        self.record = record
        self.payload = encode_record(record)
        self.proposals = proposals
        self.maybe = False  # whether a finished append may have stored the record
        self.under_way = False

    @property
    def has_waiting_caller(self) -> bool:
        """Whether a caller still waits for the verdicts."""
        return not all(proposal.settled for proposal in self.proposals)


class Appender:
    """Appends the proposals of one entry to one stream.

    ``base`` returns the offset of the latest folded record, or ``None`` while the
    stream is not current; nothing is sent until then.
    """

    def __init__(
        self,
        *,
        stream: StreamName,
        log: LogClient,
        entry: EntryId,
        writer: WriterId,
        clock: Clock,
        pacer: Pacer,
        rng: np.random.Generator,
        base: Callable[[], Offset | None],
        proposal_timeout_s: float = PROPOSAL_TIMEOUT_S,
    ) -> None:
        self._stream = stream
        self._log = log
        self._entry = entry
        self._writer = writer
        self._clock = clock
        self._pacer = pacer
        self._backoff = Backoff(rng=rng)
        self._base = base
        self._proposal_timeout_s = proposal_timeout_s
        self._queue: deque[Proposal] = deque()
        self._in_flight: PendingRecord | None = None
        self._unresolved: dict[RecordId, PendingRecord] = {}
        self._sequence = 0
        self._send_timer: TimerHandle | None = None
        self._expiry_timer: TimerHandle | None = None
        self._needs_fence = False
        self.appends = 0
        self.items = 0

    def propose(self, items: tuple, done: ProposeCallback | None) -> None:
        """Queue items that go into one record; the result goes to ``done`` later.

        The result is an error after ``proposal_timeout_s`` without verdicts, and at
        once if the items do not fit into a record or the queue is full.
        """
        size_bytes = len(msgspec.msgpack.encode(items))
        due_s = self._clock.now() + self._proposal_timeout_s
        proposal = Proposal(items=items, done=done, size_bytes=size_bytes, due_s=due_s)
        error = self._check_limits(size_bytes)
        if error is not None:
            self._clock.call_later(0.0, lambda: proposal.settle(Err(error)))
            return
        self._queue.append(proposal)
        self._schedule_expiry(self._proposal_timeout_s)
        self.schedule_send()

    def _check_limits(self, size_bytes: int) -> LogUnavailable | None:
        if size_bytes > MAX_RECORD_BYTES - RECORD_OVERHEAD_BYTES:
            return LogUnavailable(
                f"{size_bytes} bytes do not fit a record.", remedy="Split the items."
            )
        if len(self._queue) >= MAX_QUEUED_PROPOSALS:
            return LogUnavailable("Too many proposals wait for the log.")
        return None

    def schedule_send(self, delay_s: float = 0.0) -> None:
        """Send the next record in ``delay_s`` unless one is scheduled or in flight."""
        if self._send_timer is None and self._in_flight is None:
            self._send_timer = self._clock.call_later(delay_s, self._send)

    def _send(self) -> None:
        self._send_timer = None
        base = self._base()
        if base is None or self._in_flight is not None:
            return
        if not self._queue and not self._needs_fence:
            return
        wait_s = self._pacer.take()
        if wait_s > 0.0:
            self.schedule_send(wait_s)
            return
        self._needs_fence = False
        self._in_flight = self._next_record(base)
        self._append()

    def _next_record(self, base: Offset) -> PendingRecord:
        batch: list[Proposal] = []
        items: list = []
        size_bytes = 0
        while self._queue:
            proposal = self._queue[0]
            fits = size_bytes + proposal.size_bytes <= MAX_BATCH_BYTES
            if batch and not (fits and len(items) < MAX_BATCH_ITEMS):
                break
            self._queue.popleft()
            proposal.first_index = len(items)
            items.extend(proposal.items)
            size_bytes += proposal.size_bytes
            batch.append(proposal)
        self._sequence += 1
        record = Record(
            format=FORMAT_VERSION,
            id=RecordId(new_id()),
            author=self._entry,
            wall_ms=self._clock.wall_ms(),
            items=tuple(items),
            writer=self._writer,
            sequence=self._sequence,
            base=base,
        )
        self.items += len(items)
        return PendingRecord(record=record, proposals=batch)

    def _append(self) -> None:
        pending = self._in_flight
        self._unresolved[pending.record.id] = pending
        self.appends += 1
        pending.under_way = True
        self._log.append(
            stream=self._stream,
            payload=pending.payload,
            done=lambda result: self._on_append_result(pending, result),
        )

    def _on_append_result(self, pending: PendingRecord, result) -> None:
        pending.under_way = False
        if isinstance(result, Ok):
            pending.maybe = True
            if self._in_flight is pending:
                self._finish_in_flight()
            return
        if result.err_value.outcome is not Outcome.NOT_RUN:
            pending.maybe = True
        if self._in_flight is not pending:
            return
        if pending.maybe:
            wait_s = self._backoff.next_s()
            self._clock.call_later(wait_s, lambda: self._resend(pending))
            return
        self._requeue(pending)

    def _requeue(self, pending: PendingRecord) -> None:
        """Queue the proposals of a record again that was proven not appended."""
        del self._unresolved[pending.record.id]
        self._in_flight = None
        self._queue.extendleft(
            proposal for proposal in reversed(pending.proposals) if not proposal.settled
        )
        self.schedule_send(self._backoff.next_s())

    def _finish_in_flight(self) -> None:
        self._backoff.reset()
        self._in_flight = None
        self.schedule_send()

    def _resend(self, pending: PendingRecord) -> None:
        if self._in_flight is not pending:
            return
        if not pending.has_waiting_caller:
            self._in_flight = None
            self._needs_fence = True
            self.schedule_send()
            return
        wait_s = self._pacer.take()
        if wait_s > 0.0:
            self._clock.call_later(wait_s, lambda: self._resend(pending))
            return
        self._append()

    def _schedule_expiry(self, delay_s: float) -> None:
        if self._expiry_timer is None:
            self._expiry_timer = self._clock.call_later(delay_s, self._expire_proposals)

    def _expire_proposals(self) -> None:
        self._expiry_timer = None
        now = self._clock.now()
        while self._queue and self._queue[0].due_s <= now:
            self._queue.popleft().settle(Err(_not_appended_error()))
        due_times_s = [proposal.due_s for proposal in self._queue]
        for pending in self._unresolved.values():
            for proposal in pending.proposals:
                if proposal.due_s <= now:
                    proposal.settle(Err(_expiry_error(pending)))
                elif not proposal.settled:
                    due_times_s.append(proposal.due_s)
        if due_times_s:
            self._schedule_expiry(min(due_times_s) - now)

    def on_record_folded(
        self, record: Record, ignored_reason: str, verdicts: list[Verdict]
    ) -> None:
        """Settle the proposals that a folded record of this writer decides.

        ``ignored_reason`` is empty unless the fold ignored the record.
        """
        pending = self._unresolved.pop(record.id, None)
        if pending is not None:
            self._settle(pending, ignored_reason, verdicts)
        if not ignored_reason:
            self._settle_superseded(record.sequence)

    def _settle(
        self, pending: PendingRecord, ignored_reason: str, verdicts: list[Verdict]
    ) -> None:
        if self._in_flight is pending:
            self._finish_in_flight()
        for proposal in pending.proposals:
            if ignored_reason:
                proposal.settle(
                    Err(LogUnavailable(ignored_reason, outcome=Outcome.NOT_RUN))
                )
                continue
            end = proposal.first_index + len(proposal.items)
            proposal.settle(Ok(verdicts[proposal.first_index : end]))

    def _settle_superseded(self, sequence: int) -> None:
        for record_id, pending in list(self._unresolved.items()):
            if pending.record.sequence < sequence:
                del self._unresolved[record_id]
                self._settle(pending, "A later record came before it.", [])

    def on_state_restored(self, state: StreamState) -> None:
        """Settle the proposals whose verdicts were skipped by a restored state."""
        progress = state.writers.get(self._writer)
        last_sequence = progress.sequence if progress is not None else 0
        for record_id, pending in list(self._unresolved.items()):
            if pending.record.sequence <= last_sequence:
                del self._unresolved[record_id]
                self._settle_as_unknown(pending)

    def _settle_as_unknown(self, pending: PendingRecord) -> None:
        if self._in_flight is pending:
            self._finish_in_flight()
        pending.maybe = True
        for proposal in pending.proposals:
            proposal.settle(Err(_expiry_error(pending)))


def _not_appended_error() -> LogUnavailable:
    return LogUnavailable("The log took no record in time.")


def _expiry_error(pending: PendingRecord) -> CitronpinError:
    if pending.maybe or pending.under_way:
        return TimedOut("The record may yet be folded.", remedy="Read the state.")
    return _not_appended_error()
