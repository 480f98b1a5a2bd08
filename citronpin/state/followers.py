"""Follows streams of the log: folds their records and appends proposals to them."""

import logging
from collections.abc import Callable

import numpy as np
from circuits import BaseComponent
from result import Ok

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.events import Recorder
from citronpin.basics.ids import EntryId, Offset, StreamName, new_writer_id
from citronpin.state.appenders import APPENDS_PER_S, PROPOSAL_TIMEOUT_S, Appender, Pacer
from citronpin.state.logs import (
    LogClient,
    LogPage,
    ProposeCallback,
    StateCallback,
    States,
)
from citronpin.state.records import Record
from citronpin.state.states import StreamState, Verdict
from citronpin.state.tails import LONG_POLL_S, FoldedSinceMark, Tail

logger = logging.getLogger(__name__)

HEAD_CHECK_INTERVAL_S = 1.0


class Followers(BaseComponent, States):
    """Streams that one entry follows, each with a `Tail` and an `Appender`.

    All appenders share one limit of ``appends_per_s``. For a stream that isn't
    followed, ``state``, ``head_age_s``, ``limit_long_poll``, ``recent_records``,
    ``snapshot`` and ``folded_since_mark`` raise ``KeyError``.
    """

    channel = "followers"

    def __init__(
        self,
        *,
        log: LogClient,
        entry: EntryId,
        clock: Clock,
        recorder: Recorder,
        rng: np.random.Generator | None = None,
        appends_per_s: float = APPENDS_PER_S,
        proposal_timeout_s: float = PROPOSAL_TIMEOUT_S,
        long_poll_s: float = LONG_POLL_S,
    ) -> None:
        super().__init__()
        self._log = log
        self._entry = entry
        self._clock = clock
        self._recorder = recorder
        self._rng = rng if rng is not None else np.random.default_rng()
        self._pacer = Pacer(clock=clock, appends_per_s=appends_per_s)
        self._proposal_timeout_s = proposal_timeout_s
        self._long_poll_s = long_poll_s
        self._writer = new_writer_id()
        self._tails: dict[StreamName, Tail] = {}
        self._appenders: dict[StreamName, Appender] = {}
        self._subscribers: list[tuple[str, StateCallback]] = []
        self._head_timer: TimerHandle | None = None

    def state(self, stream: StreamName) -> StreamState:
        return self._tails[stream].state

    def is_current(self, stream: StreamName) -> bool:
        return stream in self._tails and self._tails[stream].is_current

    def streams(self) -> list[StreamName]:
        """Return the names of the followed streams, sorted."""
        return sorted(self._tails)

    def head_age_s(self, stream: StreamName) -> float:
        """Return the seconds since the log or a peer last confirmed the head.

        Infinite until the log or a peer has told the age of a head that is folded.
        """
        return self._tails[stream].head_age_s()

    def follow(self, stream: StreamName) -> None:
        if stream in self._tails:
            return
        tail = Tail(
            stream=stream,
            log=self._log,
            clock=self._clock,
            recorder=self._recorder,
            rng=self._rng,
            listener=self._on_tail_change,
            long_poll_s=self._long_poll_s,
        )
        self._tails[stream] = tail
        self._appenders[stream] = Appender(
            stream=stream,
            log=self._log,
            entry=self._entry,
            writer=self._writer,
            clock=self._clock,
            pacer=self._pacer,
            rng=self._rng,
            base=lambda: tail.state.offset if tail.is_current else None,
            proposal_timeout_s=self._proposal_timeout_s,
        )
        tail.start()
        if self._head_timer is None:
            self._head_timer = self._clock.call_later(
                HEAD_CHECK_INTERVAL_S, self._read_heads
            )

    def _read_heads(self) -> None:
        """Read the heads of all followed streams in one request."""
        sent_s = self._clock.now()
        self._log.read_heads(
            streams=tuple(self._tails),
            done=lambda result: self._on_heads(sent_s, result),
        )

    def _on_heads(self, sent_s: float, result) -> None:
        if isinstance(result, Ok):
            age_s = self._clock.now() - sent_s
            for stream, head in result.ok_value.items():
                if stream in self._tails:
                    self._tails[stream].confirm_head(head, age_s)
        self._head_timer = self._clock.call_later(
            HEAD_CHECK_INTERVAL_S, self._read_heads
        )

    def limit_long_poll(self, stream: StreamName, max_wait_s: float | None) -> None:
        limit_s = self._long_poll_s if max_wait_s is None else max_wait_s
        self._tails[stream].long_poll_s = min(limit_s, self._long_poll_s)

    def subscribe(self, prefix: str, callback: StateCallback) -> None:
        self._subscribers.append((prefix, callback))

    def propose(
        self, stream: StreamName, items: tuple, done: ProposeCallback | None = None
    ) -> None:
        self.follow(stream)
        self._appenders[stream].propose(items, done)

    def fold_peer_records(
        self, stream: StreamName, records: tuple[tuple[Offset, bytes], ...]
    ) -> None:
        if stream in self._tails:
            self._tails[stream].fold_peer_records(records)

    def confirm_head(
        self, stream: StreamName, head: Offset, age_s: float = 0.0
    ) -> None:
        """Record a peer's report that the head was ``head`` ``age_s`` seconds ago.

        Does nothing if the stream isn't followed or records before ``head`` are not
        folded.
        """
        if stream in self._tails:
            self._tails[stream].confirm_head(head, age_s)

    def recent_records(self, stream: StreamName, start: Offset) -> LogPage:
        return self._tails[stream].recent_records(start)

    def snapshot(self, stream: StreamName) -> bytes:
        """Return the encoded state with its digest, for a peer that boots."""
        return self._tails[stream].snapshot()

    def restore(self, stream: StreamName, snapshot: bytes) -> bool:
        """Replace the state by a peer's snapshot if that is valid and newer.

        Returns whether it was replaced; false if the stream isn't followed.
        """
        return stream in self._tails and self._tails[stream].restore(snapshot)

    def folded_since_mark(self, stream: StreamName) -> FoldedSinceMark:
        """Return the volume and time since the latest digest mark or checkpoint."""
        return self._tails[stream].folded_since_mark()

    def _on_tail_change(
        self,
        tail: Tail,
        record: Record | None,
        ignored_reason: str,
        verdicts: list[Verdict],
    ) -> None:
        """Settle the proposals that a record decides, then call the subscribers.

        ``record`` is ``None`` after a restored state and when the stream first
        becomes current.
        """
        appender = self._appenders[tail.stream]
        if record is None:
            appender.on_state_restored(tail.state)
        elif record.writer == self._writer:
            appender.on_record_folded(record, ignored_reason, verdicts)
        for prefix, callback in list(self._subscribers):
            if tail.stream.startswith(prefix):
                self._notify_subscriber(callback, tail, verdicts)
        appender.schedule_send()

    def _notify_subscriber(
        self, callback: Callable, tail: Tail, verdicts: list[Verdict]
    ) -> None:
        try:
            callback(tail.stream, tail.state, verdicts)
        except Exception:
            logger.exception("subscriber of stream %s failed", tail.stream)
