"""Non-repeatable calls, each of which runs at most once.

The first intent for a key in the log owns the call, and only the attempt that it
names may dispatch the call, once. Only the entry of that attempt can know that the
call was never dispatched, so only it records *not run*, after which another
attempt may own the key.
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
from citronpin.callers.call_holders import PURGE_MARGIN_S, ShardHolder, make_reply
from citronpin.callers.call_recorders import FORWARD_TIMEOUT_S, OutcomeRecorder
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

KEY_WINDOW_S = 600.0  # maximum age of a key, well within the log's retention
MAX_KEY_AHEAD_S = 60.0  # how far a key's time may be ahead of the wall clock
BEGIN_TIMEOUT_S = 3.0  # a call that is not owned by then is refused
GRANT_LIFETIME_S = 5.0  # an unused grant is then abandoned
OWNER_TIMEOUT_S = 60.0  # no outcome is expected of an older attempt

GrantCallback = Callable[[object], None]
LookupCallback = Callable[[Result[ServiceResponse | None, CitronpinError]], None]
Lookup = Callable[[ApplicationName, CallKey, LookupCallback], None]


class Calls(BaseComponent):
    """Begins, grants and records the non-repeatable calls of one entry.

    Keys older than ``window_s`` are refused. ``lookup`` asks an application for the
    outcome of a call: ``Ok`` of the answer when the call has run, ``Ok(None)`` when
    the application does not know it, ``Err`` when this cannot be found out.
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
        window_s: float = KEY_WINDOW_S,
        begin_timeout_s: float = BEGIN_TIMEOUT_S,
        grant_lifetime_s: float = GRANT_LIFETIME_S,
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
        self._begin_timeout_s = begin_timeout_s
        self._grant_lifetime_s = grant_lifetime_s
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
        self._outcome_recorder = OutcomeRecorder(
            entry=entry,
            clock=clock,
            mesh=mesh,
            states=states,
            holder=self.holder,
            on_recorded=self._on_recorded,
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
        is_first_try: bool = False,
    ) -> None:
        """Try to own a call; ``done`` gets `Owned` or why it may not be dispatched.

        ``is_first_try`` is the caller's assertion that it never sent this key before.
        Only then is a call that the log did not decide reported as *not run*.
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
            is_first_try=is_first_try,
            done=done,
        )
        self._clock.call_later(0.0, lambda: self._start(attempt))

    def open_calls(self) -> int:
        """Return the number of calls that a planned stop waits for."""
        busy = (Phase.WAITING, Phase.OWNED, Phase.DISPATCHED, Phase.FINISHED)
        return sum(attempt.phase in busy for attempt in self._attempts.values())

    def dispatch(self, attempt: Attempt, expires_s: float, offset: Offset) -> bool:
        """Use the right to dispatch; see `Owned.dispatch`."""
        if attempt.phase is not Phase.OWNED or self._clock.now() > expires_s:
            return False
        attempt.phase = Phase.DISPATCHED
        self._record_event(EventKind.CALL_DISPATCHED, attempt, offset)
        return True

    def retract(self, attempt: Attempt) -> None:
        """Give the right to dispatch back; see `Owned.retract`."""
        if attempt.phase is Phase.DISPATCHED:
            attempt.phase = Phase.OWNED

    def finish(
        self, attempt: Attempt, outcome: Outcome, answer: ServiceResponse | None
    ) -> None:
        """Record the outcome of an owned call, with retries until the log has it."""
        if attempt.phase not in (Phase.OWNED, Phase.DISPATCHED, Phase.REFUSED):
            return
        attempt.phase = Phase.FINISHED
        attempt.outcome = outcome
        attempt.answer = answer
        self._outcome_recorder.record(attempt)

    def _record_event(
        self, kind: EventKind, attempt: Attempt, offset: Offset, detail=""
    ) -> None:
        _, stream = self.holder.locate(attempt.key)
        text = f"{attempt.key} attempt {attempt.id} {detail}".rstrip()
        self._recorder.note(kind, text, stream=stream, offset=offset)

    def _start(self, attempt: Attempt) -> None:
        self._attempts[attempt.id] = attempt
        if self._answer_from_state(attempt):
            return
        problem = self._key_time_problem(attempt.key)
        if problem:
            self._end(attempt, TooOld(problem))
            return
        self._clock.call_later(self._begin_timeout_s, lambda: self._time_out(attempt))
        self._forward(attempt)

    def _answer_from_state(self, attempt: Attempt) -> bool:
        """Resolve the attempt if this entry's state of the shard already decides it."""
        known = self.holder.find_call(attempt.key)
        if known is None or known.outcome == Outcome.NOT_RUN.value:
            return False
        _, stream = self.holder.locate(attempt.key)
        holds = self.holder.holders(stream)[0] == self._entry
        if known.outcome != Outcome.COMPLETE.value and not holds:
            return False
        self._apply_reply(attempt, make_reply(attempt.key, attempt.id, known))
        return True

    def _key_time_problem(self, key: CallKey) -> str:
        age_s = (self._clock.wall_ms() - key_time_ms(key)) / MS_PER_S
        if age_s > self._window_s:
            return f"The key is older than {self._window_s:g} s; look up its outcome."
        if age_s < -MAX_KEY_AHEAD_S:
            return "The key's time is in the future; correct the caller's clock."
        return ""

    def _forward(self, attempt: Attempt) -> None:
        shard, stream = self.holder.locate(attempt.key)
        holder = self.holder.holders(stream)[0]
        begin = CallBegin(
            shard, attempt.key, attempt.digest, attempt.application, attempt.id
        )
        if holder == self._entry or not self._mesh.send(holder, begin):
            self._propose(attempt)
            return
        attempt.forwarded = True
        self._clock.call_later(FORWARD_TIMEOUT_S, lambda: self._propose(attempt))

    def _propose(self, attempt: Attempt) -> None:
        if attempt.is_resolved or attempt.phase is not Phase.WAITING:
            return
        attempt.proposed = True
        _, stream = self.holder.locate(attempt.key)
        intent = CallIntent(
            key=attempt.key,
            digest=attempt.digest,
            owner=self._entry,
            application=attempt.application,
            attempt=attempt.id,
        )
        self._states.propose(
            stream, (intent,), lambda result: self._on_proposed(attempt, result)
        )

    def _on_proposed(self, attempt: Attempt, result) -> None:
        if result.is_ok():
            self._apply_own_state(attempt)
            return
        error = result.unwrap_err()
        if error.outcome is Outcome.NOT_RUN:
            attempt.proposed = False
        self._refuse(attempt, error.detail)

    def _apply_own_state(self, attempt: Attempt) -> None:
        _, stream = self.holder.locate(attempt.key)
        call = self._states.state(stream).calls.get(attempt.key)
        self._apply_reply(attempt, make_reply(attempt.key, attempt.id, call))

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.is_resolved:
            self._refuse(attempt, "The log did not decide the call in time.")

    def _refuse(self, attempt: Attempt, detail: str) -> None:
        """Refuse an attempt that waits, and handle an intent that may be appended."""
        if attempt.phase is Phase.WAITING:
            outcome = Outcome.NOT_RUN if attempt.is_first_try else Outcome.UNKNOWN
            self._record_event(EventKind.CALL_ABANDONED, attempt, NO_OFFSET, detail)
            attempt.phase = Phase.REFUSED
            attempt.resolve(Refused(detail, outcome))
            self._await_late_intent(attempt)
        elif attempt.phase is Phase.REFUSED and not attempt.maybe_appended:
            self._end(attempt)

    def _await_late_intent(self, attempt: Attempt) -> None:
        """Keep a refused attempt to record *not run* if its intent reaches the log."""
        if not attempt.maybe_appended:
            self._end(attempt)
            return
        attempt.phase = Phase.REFUSED
        _, stream = self.holder.locate(attempt.key)
        self._states.follow(stream)
        self._clock.call_later(
            self._window_s + PURGE_MARGIN_S, lambda: self._expire_refused(attempt)
        )

    def _expire_refused(self, attempt: Attempt) -> None:
        if attempt.phase is Phase.REFUSED:
            self._end(attempt)

    def _end(self, attempt: Attempt, grant=None) -> None:
        attempt.phase = Phase.ENDED
        self._outcome_recorder.drop(attempt)
        self._attempts.pop(attempt.id, None)
        attempt.resolve(grant)

    def _on_reply(self, sender: EntryId, reply: CallReply) -> None:
        attempt = self._attempts.get(reply.attempt)
        if attempt is not None:
            self._apply_reply(attempt, reply)

    def _apply_reply(self, attempt: Attempt, reply: CallReply) -> None:
        """Apply the log's state of the attempt's key to the attempt."""
        owns = (reply.owner, reply.owner_attempt) == (self._entry, attempt.id)
        if owns and reply.outcome is None:
            self._own(attempt, reply.offset)
        elif attempt.phase is Phase.WAITING:
            self._answer(attempt, reply)

    def _own(self, attempt: Attempt, offset: Offset) -> None:
        if attempt.phase is Phase.REFUSED:
            self.finish(attempt, Outcome.NOT_RUN, None)
            return
        if attempt.phase is not Phase.WAITING or attempt.is_resolved:
            return
        attempt.phase = Phase.OWNED
        self._record_event(EventKind.CALL_INTENT, attempt, offset)
        expires_s = self._clock.now() + self._grant_lifetime_s
        self._clock.call_later(
            self._grant_lifetime_s, lambda: self._expire_grant(attempt)
        )
        attempt.resolve(
            Owned(calls=self, attempt=attempt, expires_s=expires_s, offset=offset)
        )

    def _expire_grant(self, attempt: Attempt) -> None:
        if attempt.phase is Phase.OWNED:
            self.finish(attempt, Outcome.NOT_RUN, None)

    def _answer(self, attempt: Attempt, reply: CallReply) -> None:
        if not reply.owner:
            self._end(attempt, TooOld("The log no longer holds calls of this age."))
        elif reply.digest != attempt.digest:
            self._end(attempt, KeyReused())
        elif reply.outcome == Outcome.COMPLETE.value:
            recorded = Recorded(
                reply.status, reply.content_type, reply.body, reply.offset
            )
            self._end(attempt, recorded)
        elif reply.outcome == Outcome.NOT_RUN.value:
            # The owner abandoned the call after this attempt's intent was rejected.
            self._end(attempt, Pending(reply.owner, reply.offset))
        elif reply.outcome is None and self._owner_may_respond(reply):
            self._end(attempt, self._pending_or_own_outcome(reply))
        elif self._lookup is None:
            self._end(attempt, Unknown(reply.owner, reply.offset))
        else:
            self._look_up(attempt, reply)

    def _owner_may_respond(self, reply: CallReply) -> bool:
        if reply.owner == self._entry:
            return reply.owner_attempt in self._attempts
        age_ms = self._clock.wall_ms() - attempt_time_ms(reply.owner_attempt)
        return reply.owner in self._mesh.alive() and age_ms < OWNER_TIMEOUT_S * MS_PER_S

    def _pending_or_own_outcome(self, reply: CallReply):
        """Return this entry's answer that the log does not have yet, else `Pending`.

        An attempt that was refused but owns the call after all records *not run*.
        """
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
            attempt.resolve(recorded_answer(answer, reply.offset))
            self._outcome_recorder.record(attempt, settled=True)

        self._lookup(attempt.application, attempt.key, done)

    def _on_recorded(self, attempt: Attempt, offset: Offset) -> None:
        if attempt.id not in self._attempts:
            return
        not_run = attempt.outcome is Outcome.NOT_RUN
        kind = EventKind.CALL_ABANDONED if not_run else EventKind.CALL_OUTCOME
        self._record_event(kind, attempt, offset, attempt.outcome.value)
        if not_run and attempt.forwarded and attempt.proposed:
            # A second copy of its intent may be appended and open the call again.
            self._await_late_intent(attempt)
            return
        self._end(attempt)

    def _on_state(self, stream: StreamName, state, verdicts) -> None:
        """Apply a new state to the attempts that wait or were refused."""
        for attempt in list(self._attempts.values()):
            if attempt.phase not in (Phase.WAITING, Phase.REFUSED):
                continue
            if self.holder.locate(attempt.key)[1] != stream:
                continue
            call = state.calls.get(attempt.key)
            if call is not None and call.attempt == attempt.id:
                self._apply_reply(attempt, make_reply(attempt.key, attempt.id, call))
            elif key_time_ms(attempt.key) < state.floor_ms:
                self._end(attempt, TooOld("The log no longer holds calls of this age."))
