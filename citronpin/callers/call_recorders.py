"""Records the outcomes of calls in the log, through the shard's holder or directly."""

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

FORWARD_TIMEOUT_S = 1.0  # then the entry appends without the holder
RECORD_RETRY_S = 1.0

RecordedCallback = Callable[[Attempt, Offset], None]


class OutcomeRecorder:
    """Records the outcomes of this entry's attempts and retries until the log has them.

    ``on_recorded`` is called with the attempt and the offset that its shard's
    stream has reached.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Clock,
        mesh: Mesh,
        states: States,
        holder: ShardHolder,
        on_recorded: RecordedCallback,
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._mesh = mesh
        self._states = states
        self._holder = holder
        self._on_recorded = on_recorded
        self._unrecorded: dict[str, Attempt] = {}
        mesh.subscribe(CallFinished, self._on_finished)

    def record(self, attempt: Attempt, settled: bool = False) -> None:
        """Record an attempt's outcome; ``settled`` if a look-up established it."""
        self._unrecorded[attempt.id] = attempt
        self._send(attempt, settled)

    def drop(self, attempt: Attempt) -> None:
        """Stop recording an attempt whose key the log no longer accepts."""
        self._unrecorded.pop(attempt.id, None)

    def _send(self, attempt: Attempt, settled: bool) -> None:
        if attempt.id not in self._unrecorded:
            return
        finish = self._finish_message(attempt, settled)
        holder = self._holder.holders(self._holder.locate(attempt.key)[1])[0]
        if holder != self._entry and self._mesh.send(holder, finish):
            self._clock.call_later(
                FORWARD_TIMEOUT_S, lambda: self._append(attempt, finish)
            )
            return
        self._append(attempt, finish)

    def _finish_message(self, attempt: Attempt, settled: bool) -> CallFinish:
        message = CallFinish(
            shard=self._holder.locate(attempt.key)[0],
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
        if attempt.id not in self._unrecorded:
            return
        stream = self._holder.locate(attempt.key)[1]
        item = self._holder.outcome_record(stream, self._entry, finish)

        def done(result) -> None:
            if result.is_ok():
                self._complete(attempt, self._states.state(stream).offset)
                return
            self._clock.call_later(
                RECORD_RETRY_S, lambda: self._send(attempt, finish.settled)
            )

        self._states.propose(stream, (item,), done)

    def _on_finished(self, sender: EntryId, finished: CallFinished) -> None:
        attempt = self._unrecorded.get(finished.attempt)
        if attempt is not None:
            self._complete(attempt, finished.offset)

    def _complete(self, attempt: Attempt, offset: Offset) -> None:
        known = self._unrecorded.pop(attempt.id, None)
        if known is not None and attempt.phase is Phase.FINISHED:
            self._on_recorded(attempt, offset)
