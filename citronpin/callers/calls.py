"""Non-repeatable calls: each runs at most once.

The first intent for a key that the log holds owns the call, and only the attempt
that it names may dispatch it, once. Nobody but that attempt can know that it never
dispatched, so only its own entry records *not run*, after which the key may be
owned anew.
"""

import logging
from collections.abc import Callable

from circuits import BaseComponent
from result import Result

from citronpin.backends.services import ServiceResponse
from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.errors import CitronpinError, Outcome
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import (
    NO_OFFSET,
    ApplicationName,
    CallKey,
    EntryId,
    Offset,
    StreamName,
)
from citronpin.callers.call_holders import MARGIN_S, ShardHolder, reply_of
from citronpin.callers.call_recorders import FORWARD_S, OutcomeRecorder
from citronpin.callers.grants import (
    Attempt,
    BadKey,
    KeyReused,
    Owned,
    Pending,
    Phase,
    Recorded,
    Refused,
    TooOld,
    Unknown,
    attempt_id,
    attempt_time_ms,
    canonical_key,
    recorded_answer,
)
from citronpin.peers.meshes import Mesh
from citronpin.peers.messages import CallBegin, CallReply
from citronpin.state.calls_folds import key_time_ms
from citronpin.state.logs import States
from citronpin.state.records import CallIntent

logger = logging.getLogger(__name__)

WINDOW_S = 600.0  # well inside the log's retention
AHEAD_S = 60.0  # a key's time may be this far ahead of the wall clock
BEGIN_S = 3.0  # a call is owned or refused in this time
GRANT_S = 5.0  # a grant that is not used in this time is abandoned
PENDING_S = 60.0  # an owner that has not answered for so long never will

GrantCallback = Callable[[object], None]
LookupCallback = Callable[[Result[ServiceResponse | None, CitronpinError]], None]
Lookup = Callable[[ApplicationName, CallKey, LookupCallback], None]


class Calls(BaseComponent):
    """Begins, grants and records the non-repeatable calls of one entry.

    ``lookup`` asks an application what became of a call: ``Ok`` of the answer when
    it has run, ``Ok(None)`` when the application has no trace of it.
    """

    channel = "calls"

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Clock,
        recorder: Recorder,
        mesh: Mesh,
        states: States,
        shards: int = 1,
        lookup: Lookup | None = None,
        window_s: float = WINDOW_S,
        begin_s: float = BEGIN_S,
        grant_s: float = GRANT_S,
    ) -> None:
        super().__init__()
        self._entry = entry
        self._clock = clock
        self._recorder = recorder
        self._mesh = mesh
        self._states = states
        self._shards = shards
        self._lookup = lookup
        self._window_s = window_s
        self._begin_s = begin_s
        self._grant_s = grant_s
        self._attempts: dict[str, Attempt] = {}
        self.holder = ShardHolder(
            entry=entry,
            clock=clock,
            recorder=recorder,
            mesh=mesh,
            states=states,
            shards=shards,
            window_s=window_s,
        )
        self._outcomes = OutcomeRecorder(
            entry=entry,
            clock=clock,
            mesh=mesh,
            states=states,
            holder=self.holder,
            recorded=self._recorded,
        )
        mesh.subscribe(CallReply, self._on_reply)
        states.subscribe("calls.", self._on_state)

    def begin(
        self,
        *,
        key: str,
        digest: str,
        application: ApplicationName,
        done: GrantCallback,
        first: bool = False,
    ) -> None:
        """Try to own a call; ``done`` gets `Owned` or why it may not be dispatched.

        ``first`` is the caller's word that it never sent this key before. Only
        then is a call that the log could not decide told to be *not run*.
        """
        canonical = canonical_key(key)
        if canonical is None:
            self._clock.call_later(0.0, lambda: done(BadKey()))
            return
        attempt = Attempt(
            id=attempt_id(self._clock.wall_ms()),
            key=canonical,
            digest=digest,
            application=application,
            first=first,
            done=done,
        )
        self._clock.call_later(0.0, lambda: self._start(attempt))

    def open_calls(self) -> int:
        """Return how many calls a planned stop has to wait for."""
        busy = (Phase.WAITING, Phase.OWNED, Phase.DISPATCHED, Phase.FINISHED)
        return sum(attempt.phase in busy for attempt in self._attempts.values())

    def dispatch(self, attempt: Attempt, until_s: float, offset: Offset) -> bool:
        """Take the right to dispatch; see `Owned.dispatch`."""
        if attempt.phase is not Phase.OWNED or self._clock.now() > until_s:
            return False
        attempt.phase = Phase.DISPATCHED
        self._note(EventKind.CALL_DISPATCHED, attempt, offset)
        return True

    def retract(self, attempt: Attempt) -> None:
        """Give back the right to dispatch; see `Owned.retract`."""
        if attempt.phase is Phase.DISPATCHED:
            attempt.phase = Phase.OWNED

    def finish(
        self, attempt: Attempt, outcome: Outcome, answer: ServiceResponse | None
    ) -> None:
        """Record the outcome of an owned call, however long the log is down."""
        if attempt.phase not in (Phase.OWNED, Phase.DISPATCHED, Phase.REFUSED):
            return
        attempt.phase = Phase.FINISHED
        attempt.outcome = outcome
        attempt.answer = answer
        self._outcomes.record(attempt)

    def _note(
        self, kind: EventKind, attempt: Attempt, offset: Offset, detail=""
    ) -> None:
        _, stream = self.holder.place(attempt.key)
        text = f"{attempt.key} attempt {attempt.id} {detail}".rstrip()
        self._recorder.note(kind, text, stream=stream, offset=offset)

    def _start(self, attempt: Attempt) -> None:
        self._attempts[attempt.id] = attempt
        if self._answer_known(attempt):
            return
        fault = self._time_fault(attempt.key)
        if fault:
            self._end(attempt, TooOld(fault))
            return
        self._clock.call_later(self._begin_s, lambda: self._expire(attempt))
        self._forward(attempt)

    def _answer_known(self, attempt: Attempt) -> bool:
        """Answer from the own fold what no later record can change."""
        known = self.holder.known(attempt.key)
        if known is None or known.outcome == Outcome.NOT_RUN.value:
            return False
        _, stream = self.holder.place(attempt.key)
        holds = self.holder.holders(stream)[0] == self._entry
        if known.outcome != Outcome.COMPLETE.value and not holds:
            return False
        self._settle(attempt, reply_of(attempt.key, attempt.id, known))
        return True

    def _time_fault(self, key: CallKey) -> str:
        age_s = (self._clock.wall_ms() - key_time_ms(key)) / MS_PER_S
        if age_s > self._window_s:
            return f"The key is older than {self._window_s:g} s; look the call up."
        if age_s < -AHEAD_S:
            return "The key's time is in the future; correct the caller's clock."
        return ""

    def _forward(self, attempt: Attempt) -> None:
        shard, stream = self.holder.place(attempt.key)
        holder = self.holder.holders(stream)[0]
        begin = CallBegin(
            shard, attempt.key, attempt.digest, attempt.application, attempt.id
        )
        if holder == self._entry or not self._mesh.send(holder, begin):
            self._propose(attempt)
            return
        attempt.forwarded = True
        self._clock.call_later(FORWARD_S, lambda: self._propose(attempt))

    def _propose(self, attempt: Attempt) -> None:
        if attempt.told or attempt.phase is not Phase.WAITING:
            return
        attempt.proposed = True
        _, stream = self.holder.place(attempt.key)
        intent = CallIntent(
            key=attempt.key,
            digest=attempt.digest,
            owner=self._entry,
            application=attempt.application,
            attempt=attempt.id,
        )
        self._states.propose(
            stream, (intent,), lambda result: self._proposed(attempt, result)
        )

    def _proposed(self, attempt: Attempt, result) -> None:
        if result.is_ok():
            self._read_back(attempt)
            return
        error = result.unwrap_err()
        if error.outcome is Outcome.NOT_RUN:
            attempt.proposed = False
        self._refuse(attempt, error.detail)

    def _read_back(self, attempt: Attempt) -> None:
        _, stream = self.holder.place(attempt.key)
        call = self._states.state(stream).calls.get(attempt.key)
        self._settle(attempt, reply_of(attempt.key, attempt.id, call))

    def _expire(self, attempt: Attempt) -> None:
        if not attempt.told:
            self._refuse(attempt, "The log did not decide the call in time.")

    def _refuse(self, attempt: Attempt, detail: str) -> None:
        """Tell that this attempt never dispatches, and see to its intent."""
        if attempt.phase is Phase.WAITING:
            outcome = Outcome.NOT_RUN if attempt.first else Outcome.UNKNOWN
            self._note(EventKind.CALL_ABANDONED, attempt, NO_OFFSET, detail)
            attempt.phase = Phase.REFUSED
            attempt.tell(Refused(detail, outcome))
            self._watch_refused(attempt)
        elif attempt.phase is Phase.REFUSED and not attempt.maybe_appended:
            self._end(attempt)

    def _watch_refused(self, attempt: Attempt) -> None:
        """Wait for an intent that may turn up, and record that it never ran."""
        if not attempt.maybe_appended:
            self._end(attempt)
            return
        attempt.phase = Phase.REFUSED
        _, stream = self.holder.place(attempt.key)
        self._states.follow(stream)
        self._clock.call_later(self._window_s + MARGIN_S, lambda: self._forget(attempt))

    def _forget(self, attempt: Attempt) -> None:
        if attempt.phase is Phase.REFUSED:
            self._end(attempt)

    def _end(self, attempt: Attempt, grant=None) -> None:
        attempt.phase = Phase.ENDED
        self._outcomes.drop(attempt)
        self._attempts.pop(attempt.id, None)
        attempt.tell(grant)

    def _on_reply(self, sender: EntryId, reply: CallReply) -> None:
        attempt = self._attempts.get(reply.attempt)
        if attempt is not None:
            self._settle(attempt, reply)

    def _settle(self, attempt: Attempt, reply: CallReply) -> None:
        """Act on what the log says of the attempt's key."""
        ours = (reply.owner, reply.owner_attempt) == (self._entry, attempt.id)
        if ours and reply.outcome is None:
            self._own(attempt, reply.offset)
        elif attempt.phase is Phase.WAITING:
            self._answer(attempt, reply)

    def _own(self, attempt: Attempt, offset: Offset) -> None:
        if attempt.phase is Phase.REFUSED:
            self.finish(attempt, Outcome.NOT_RUN, None)
            return
        if attempt.phase is not Phase.WAITING or attempt.told:
            return
        attempt.phase = Phase.OWNED
        self._note(EventKind.CALL_INTENT, attempt, offset)
        until_s = self._clock.now() + self._grant_s
        self._clock.call_later(self._grant_s, lambda: self._lapse(attempt))
        attempt.tell(Owned(calls=self, attempt=attempt, until_s=until_s, offset=offset))

    def _lapse(self, attempt: Attempt) -> None:
        if attempt.phase is Phase.OWNED:
            self.finish(attempt, Outcome.NOT_RUN, None)

    def _answer(self, attempt: Attempt, reply: CallReply) -> None:
        if not reply.owner:
            self._end(attempt, TooOld("The key is older than the log remembers."))
        elif reply.digest != attempt.digest:
            self._end(attempt, KeyReused())
        elif reply.outcome == Outcome.COMPLETE.value:
            recorded = Recorded(
                reply.status, reply.content_type, reply.body, reply.offset
            )
            self._end(attempt, recorded)
        elif reply.outcome == Outcome.NOT_RUN.value:
            # It was given up after the intent of this attempt had been decided.
            self._end(attempt, Pending(reply.owner, reply.offset))
        elif reply.outcome is None and self._owner_may_answer(reply):
            self._end(attempt, self._remembered(reply))
        elif self._lookup is None:
            self._end(attempt, Unknown(reply.owner, reply.offset))
        else:
            self._look_up(attempt, reply)

    def _owner_may_answer(self, reply: CallReply) -> bool:
        if reply.owner == self._entry:
            return reply.owner_attempt in self._attempts
        age_ms = self._clock.wall_ms() - attempt_time_ms(reply.owner_attempt)
        return reply.owner in self._mesh.alive() and age_ms < PENDING_S * MS_PER_S

    def _remembered(self, reply: CallReply):
        """Return this entry's own outcome if the log does not have it yet."""
        own = self._attempts.get(reply.owner_attempt)
        if own is not None and own.phase is Phase.REFUSED:
            self._own(own, reply.offset)
        if own is not None and own.answer is not None:
            return recorded_answer(own.answer, reply.offset)
        return Pending(reply.owner, reply.offset)

    def _look_up(self, attempt: Attempt, reply: CallReply) -> None:
        def done(result) -> None:
            if attempt.phase is not Phase.WAITING:
                return
            answer = result.unwrap() if result.is_ok() else None
            if answer is None:
                self._end(attempt, Unknown(reply.owner, reply.offset))
                return
            attempt.phase = Phase.FINISHED
            attempt.outcome = Outcome.COMPLETE
            attempt.answer = answer
            attempt.tell(recorded_answer(answer, reply.offset))
            self._outcomes.record(attempt, settled=True)

        self._lookup(attempt.application, attempt.key, done)

    def _recorded(self, attempt: Attempt, offset: Offset) -> None:
        if attempt.id not in self._attempts:
            return
        not_run = attempt.outcome is Outcome.NOT_RUN
        kind = EventKind.CALL_ABANDONED if not_run else EventKind.CALL_OUTCOME
        self._note(kind, attempt, offset, attempt.outcome.value)
        if not_run and attempt.forwarded and attempt.proposed:
            # Its intent may be appended twice, and would be open again.
            self._watch_refused(attempt)
            return
        self._end(attempt)

    def _on_state(self, stream: StreamName, state, verdicts) -> None:
        """Take what the fold decided on attempts that wait or were refused."""
        for attempt in list(self._attempts.values()):
            if attempt.phase not in (Phase.WAITING, Phase.REFUSED):
                continue
            if self.holder.place(attempt.key)[1] != stream:
                continue
            call = state.calls.get(attempt.key)
            if call is not None and call.attempt == attempt.id:
                self._settle(attempt, reply_of(attempt.key, attempt.id, call))
            elif key_time_ms(attempt.key) < state.floor_ms:
                self._end(attempt, TooOld("The key is older than the log remembers."))
