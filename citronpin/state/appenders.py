"""Appends proposals to one stream: group commit and the settling of lost answers.

One append of a stream is under way at a time; what is proposed meanwhile goes
into the next record. Each record carries the writer's next sequence number, which
the fold enforces. An append whose answer was lost is sent again as the same
record, since a second copy has no effect; once it is given up, a record with a
higher sequence proves, when it is folded, that the lost one either was folded
before it or never will have an effect.
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

BATCH_BYTES = 128 * 1024
BATCH_ITEMS = 256
ENVELOPE_BYTES = 256  # of a record around its items
MAX_QUEUED = 4_096
APPENDS_PER_S = 30.0
PROPOSAL_TIMEOUT_S = 10.0
MIN_WAIT_S = 0.001
BACK_OFF_MIN_S = 0.05
BACK_OFF_MAX_S = 2.0


class Pacer:
    """Token bucket that keeps one entry within its share of the append rate."""

    def __init__(self, *, clock: Clock, appends_per_s: float = APPENDS_PER_S) -> None:
        self._clock = clock
        self._rate = appends_per_s
        self._burst = max(appends_per_s / 4.0, 1.0)
        self._tokens = self._burst
        self._filled_s = clock.now()

    def take(self) -> float:
        """Take a token and return 0, or return the seconds until there is one."""
        now = self._clock.now()
        self._tokens += (now - self._filled_s) * self._rate
        self._tokens = min(self._tokens, self._burst)
        self._filled_s = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        # A wait below the clock's resolution would never let the time pass.
        return max((1.0 - self._tokens) / self._rate, MIN_WAIT_S)


class BackOff:
    """Doubling waits with jitter."""

    def __init__(self, *, rng: np.random.Generator) -> None:
        self._rng = rng
        self._wait_s = BACK_OFF_MIN_S

    def reset(self) -> None:
        """Start again from the shortest wait."""
        self._wait_s = BACK_OFF_MIN_S

    def next_s(self) -> float:
        """Return the next wait in seconds."""
        wait_s = self._wait_s
        self._wait_s = min(wait_s * 2.0, BACK_OFF_MAX_S)
        return wait_s * float(self._rng.uniform(0.5, 1.0))


class Proposal:
    """Items that belong together, and who waits for their verdicts."""

    __slots__ = ("items", "done", "size", "due_s", "first", "settled")

    def __init__(self, *, items: tuple, done, size: int, due_s: float) -> None:
        self.items = items
        self.done = done
        self.settled = False
        self.size = size
        self.due_s = due_s
        self.first = 0  # number of its first item in its record

    def settle(self, result) -> None:
        """Tell the waiting caller, once."""
        if self.settled:
            return
        self.settled = True
        if self.done is not None:
            self.done(result)


class Sent:
    """A record that may have been appended and is not yet folded."""

    __slots__ = ("record", "payload", "proposals", "maybe", "under_way")

    def __init__(self, *, record: Record, proposals: list[Proposal]) -> None:
        self.record = record
        self.payload = encode_record(record)
        self.proposals = proposals
        self.maybe = False  # whether an earlier append may have taken effect
        self.under_way = False

    @property
    def waiting(self) -> bool:
        """Return whether somebody waits for its verdicts."""
        return not all(proposal.settled for proposal in self.proposals)


class Appender:
    """Appends the proposals of one entry to one stream."""

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
        self._back_off = BackOff(rng=rng)
        self._base = base
        self._give_up_s = proposal_timeout_s
        self._queue: deque[Proposal] = deque()
        self._sending: Sent | None = None
        self._open: dict[RecordId, Sent] = {}
        self._sequence = 0
        self._timer: TimerHandle | None = None
        self._expiry: TimerHandle | None = None
        self._fence_wanted = False
        self.appends = 0
        self.items = 0

    def propose(self, items: tuple, done: ProposeCallback | None) -> None:
        """Queue items that go into one record."""
        size = len(msgspec.msgpack.encode(items))
        due_s = self._clock.now() + self._give_up_s
        proposal = Proposal(items=items, done=done, size=size, due_s=due_s)
        refused = self._refusal(size)
        if refused is not None:
            self._clock.call_later(0.0, lambda: proposal.settle(Err(refused)))
            return
        self._queue.append(proposal)
        self._watch_expiry(self._give_up_s)
        self.kick()

    def _refusal(self, size: int) -> LogUnavailable | None:
        if size > MAX_RECORD_BYTES - ENVELOPE_BYTES:
            return LogUnavailable(
                f"{size} bytes do not fit a record.", remedy="Split the items."
            )
        if len(self._queue) >= MAX_QUEUED:
            return LogUnavailable("Too many proposals wait for the log.")
        return None

    def kick(self, delay_s: float = 0.0) -> None:
        """Send the next record soon, unless that is planned already."""
        if self._timer is None and self._sending is None:
            self._timer = self._clock.call_later(delay_s, self._send)

    def _send(self) -> None:
        self._timer = None
        base = self._base()
        if base is None or self._sending is not None:
            return
        if not self._queue and not self._fence_wanted:
            return
        wait_s = self._pacer.take()
        if wait_s > 0.0:
            self.kick(wait_s)
            return
        self._fence_wanted = False
        self._sending = self._next_record(base)
        self._append()

    def _next_record(self, base: Offset) -> Sent:
        batch: list[Proposal] = []
        items: list = []
        size = 0
        while self._queue:
            proposal = self._queue[0]
            fits = size + proposal.size <= BATCH_BYTES
            if batch and not (fits and len(items) < BATCH_ITEMS):
                break
            self._queue.popleft()
            proposal.first = len(items)
            items.extend(proposal.items)
            size += proposal.size
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
        return Sent(record=record, proposals=batch)

    def _append(self) -> None:
        sent = self._sending
        self._open[sent.record.id] = sent
        self.appends += 1
        sent.under_way = True
        self._log.append(
            stream=self._stream,
            payload=sent.payload,
            done=lambda result: self._appended(sent, result),
        )

    def _appended(self, sent: Sent, result) -> None:
        sent.under_way = False
        if isinstance(result, Ok):
            sent.maybe = True
            if self._sending is sent:
                self._end_sending()
            return
        if result.err_value.outcome is not Outcome.NOT_RUN:
            sent.maybe = True
        if self._sending is not sent:
            return
        if sent.maybe:
            wait_s = self._back_off.next_s()
            self._clock.call_later(wait_s, lambda: self._again(sent))
            return
        self._requeue(sent)

    def _requeue(self, sent: Sent) -> None:
        """Take a record apart that was proven not appended."""
        del self._open[sent.record.id]
        self._sending = None
        self._queue.extendleft(
            proposal for proposal in reversed(sent.proposals) if not proposal.settled
        )
        self.kick(self._back_off.next_s())

    def _end_sending(self) -> None:
        self._back_off.reset()
        self._sending = None
        self.kick()

    def _again(self, sent: Sent) -> None:
        if self._sending is not sent:
            return
        if not sent.waiting:
            self._sending = None
            self._fence_wanted = True
            self.kick()
            return
        wait_s = self._pacer.take()
        if wait_s > 0.0:
            self._clock.call_later(wait_s, lambda: self._again(sent))
            return
        self._append()

    def _watch_expiry(self, delay_s: float) -> None:
        if self._expiry is None:
            self._expiry = self._clock.call_later(delay_s, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        now = self._clock.now()
        while self._queue and self._queue[0].due_s <= now:
            self._queue.popleft().settle(Err(_refused()))
        left = [proposal.due_s for proposal in self._queue]
        for sent in self._open.values():
            for proposal in sent.proposals:
                if proposal.due_s <= now:
                    proposal.settle(Err(_given_up(sent)))
                elif not proposal.settled:
                    left.append(proposal.due_s)
        if left:
            self._watch_expiry(min(left) - now)

    def folded(self, record: Record, late: str, verdicts: list[Verdict]) -> None:
        """Settle what a folded record of this writer decides."""
        sent = self._open.pop(record.id, None)
        if sent is not None:
            self._settle(sent, late, verdicts)
        if not late:
            self._fence(record.sequence)

    def _settle(self, sent: Sent, late: str, verdicts: list[Verdict]) -> None:
        if self._sending is sent:
            self._end_sending()
        for proposal in sent.proposals:
            if late:
                proposal.settle(Err(LogUnavailable(late, outcome=Outcome.NOT_RUN)))
                continue
            end = proposal.first + len(proposal.items)
            proposal.settle(Ok(verdicts[proposal.first : end]))

    def _fence(self, sequence: int) -> None:
        for record_id, sent in list(self._open.items()):
            if sent.record.sequence < sequence:
                del self._open[record_id]
                self._settle(sent, "A later record came before it.", [])

    def jumped(self, state: StreamState) -> None:
        """Settle what a restored state leaves open."""
        known = state.writers.get(self._writer)
        passed = known.sequence if known is not None else 0
        for record_id, sent in list(self._open.items()):
            if sent.record.sequence <= passed:
                del self._open[record_id]
                self._leave_open(sent)

    def _leave_open(self, sent: Sent) -> None:
        if self._sending is sent:
            self._end_sending()
        sent.maybe = True
        for proposal in sent.proposals:
            proposal.settle(Err(_given_up(sent)))


def _refused() -> LogUnavailable:
    return LogUnavailable("The log took no record in time.")


def _given_up(sent: Sent) -> CitronpinError:
    if sent.maybe or sent.under_way:
        return TimedOut("The record may yet be folded.", remedy="Read the state.")
    return _refused()
