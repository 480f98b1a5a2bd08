"""Recording of outcomes: by the shard's holder, or without it, until it is done."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import EntryId, Offset
from citronpin.callers.call_holders import ShardHolder
from citronpin.callers.grants import Attempt, Phase, content_type
from citronpin.peers.meshes import Mesh
from citronpin.peers.messages import CallFinish, CallFinished
from citronpin.state.calls_folds import MAX_OUTCOME_BYTES
from citronpin.state.logs import States

logger = logging.getLogger(__name__)

FORWARD_S = 1.0  # a holder that does not answer in this time is passed over
RETRY_S = 1.0

RecordedCallback = Callable[[Attempt, Offset], None]


class OutcomeRecorder:
    """Has the outcomes of this entry's attempts appended."""

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Clock,
        mesh: Mesh,
        states: States,
        holder: ShardHolder,
        recorded: RecordedCallback,
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._mesh = mesh
        self._states = states
        self._holder = holder
        self._recorded = recorded
        self._open: dict[str, Attempt] = {}
        mesh.subscribe(CallFinished, self._on_finished)

    def record(self, attempt: Attempt, settled: bool = False) -> None:
        """Record the outcome of an attempt; ``settled`` if a look-up found it."""
        self._open[attempt.id] = attempt
        self._send(attempt, settled)

    def drop(self, attempt: Attempt) -> None:
        """Give up an attempt whose key the log no longer takes."""
        self._open.pop(attempt.id, None)

    def _send(self, attempt: Attempt, settled: bool) -> None:
        if attempt.id not in self._open:
            return
        finish = self._message(attempt, settled)
        holder = self._holder.holders(self._holder.place(attempt.key)[1])[0]
        if holder != self._entry and self._mesh.send(holder, finish):
            self._clock.call_later(FORWARD_S, lambda: self._append(attempt, finish))
            return
        self._append(attempt, finish)

    def _message(self, attempt: Attempt, settled: bool) -> CallFinish:
        message = CallFinish(
            shard=self._holder.place(attempt.key)[0],
            key=attempt.key,
            attempt=attempt.id,
            outcome=attempt.outcome.value,
            settled=settled,
        )
        answer = attempt.answer
        if answer is None:
            return message
        message = msgspec.structs.replace(message, status=answer.status)
        if len(answer.body) > MAX_OUTCOME_BYTES:
            return message
        return msgspec.structs.replace(
            message, content_type=content_type(answer), body=answer.body
        )

    def _append(self, attempt: Attempt, finish: CallFinish) -> None:
        if attempt.id not in self._open:
            return
        stream = self._holder.place(attempt.key)[1]
        item = self._holder.outcome_item(stream, self._entry, finish)

        def done(result) -> None:
            if result.is_ok():
                self._done(attempt, self._states.state(stream).offset)
                return
            self._clock.call_later(RETRY_S, lambda: self._send(attempt, finish.settled))

        self._states.propose(stream, (item,), done)

    def _on_finished(self, sender: EntryId, finished: CallFinished) -> None:
        attempt = self._open.get(finished.attempt)
        if attempt is not None:
            self._done(attempt, finished.offset)

    def _done(self, attempt: Attempt, offset: Offset) -> None:
        known = self._open.pop(attempt.id, None)
        if known is not None and attempt.phase is Phase.FINISHED:
            self._recorded(attempt, offset)
