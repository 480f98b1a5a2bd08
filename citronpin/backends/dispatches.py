"""Dispatch of a generation request, with resumption and retries on other groups."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from citronpin.backends.engines import (
    Attempt,
    EngineClient,
    Frame,
    FrameSink,
    Submission,
)
from citronpin.backends.retries import RetryBudget
from citronpin.backends.streams import Reassembler
from citronpin.basics.clocks import MS_PER_S, Clock, TimerHandle
from citronpin.basics.errors import (
    BadSubmission,
    CitronpinError,
    EngineFault,
    NoGroupReady,
    Outcome,
    TimedOut,
)
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import Fence, GroupId, RequestId

logger = logging.getLogger(__name__)

REPEAT_REMEDY = "Send the request again; a generation may be repeated."


class Target(msgspec.Struct, frozen=True):
    """The group that an attempt is sent to, and the address of its lead."""

    group: GroupId
    fence: Fence
    address: str  # IP:PORT of the lead instance


TargetPicker = Callable[[frozenset[GroupId]], Target | None]


class DispatchLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and attempt limits of a dispatch."""

    first_frame_timeout_s: float = 20.0
    stall_timeout_s: float = 5.0  # between frames, after the first frame
    retries: int = 2  # groups tried after the first one
    resumes: int = 2  # of each attempt, on its group


class AnswerSink(ABC):
    """Receives the answer of a dispatch.

    The methods are called in the event loop. ``done`` or ``failed`` is called once,
    after all calls of ``text``; after `Dispatch.cancel` neither is called.
    """

    @abstractmethod
    def text(self, frames: list[Frame]) -> None:
        """Take the next frames in sequence order, none of them final."""

    @abstractmethod
    def done(self, final: Frame) -> None:
        """Take the final frame, which may carry text and completes the answer."""

    @abstractmethod
    def failed(self, error: CitronpinError) -> None:
        """Take the error that ended the request; its ``outcome`` tells what was run."""


class AttemptSink(FrameSink):
    """Passes the frames of one connection to the dispatch.

    Calls are ignored once the dispatch has replaced the connection.
    """

    def __init__(self, *, dispatch: "Dispatch", reassembler: Reassembler) -> None:
        self._dispatch = dispatch
        self._reassembler = reassembler
        self.is_current = True

    def frames(self, frames: list[Frame]) -> None:
        if self.is_current:
            ready = self._reassembler.take(frames)
            if ready:
                self._dispatch.deliver(ready)

    def ended(self, error: CitronpinError | None) -> None:
        if self.is_current:
            self.is_current = False
            self._dispatch.connection_ended(error)


class Dispatch:
    """Sends one generation request to a group and to others if attempts fail.

    A broken or stalled stream is resumed on the same group up to ``limits.resumes``
    times; then the next group continues from the text delivered so far. ``pick``
    chooses the target of each attempt and gets the groups already tried. ``ready``
    tells whether a stream may be resumed on its target. ``deadline_s`` is a clock
    time in seconds.
    """

    def __init__(
        self,
        *,
        body: dict,
        request: RequestId,
        deadline_s: float,
        pick: TargetPicker,
        sink: AnswerSink,
        engine: EngineClient,
        clock: Clock,
        recorder: Recorder,
        priority: int = 0,
        limits: DispatchLimits | None = None,
        budget: RetryBudget | None = None,
        ready: Callable[[Target], bool] | None = None,
    ) -> None:
        self._body = body
        self._request = request
        self._deadline_s = deadline_s
        self._pick = pick
        self._sink = sink
        self._engine = engine
        self._clock = clock
        self._recorder = recorder
        self._priority = priority
        self._limits = limits or DispatchLimits()
        self._budget = budget or RetryBudget()
        self._ready = ready or (lambda target: True)
        self._tried_groups: frozenset[GroupId] = frozenset()
        self._delivered_texts: list[str] = []
        self._delivered_tokens = 0
        self._attempt_number = -1
        self._resume_count = 0
        self._has_delivered = False
        self._prefix = ""
        self._prefix_tokens = 0
        self._has_delivered = False  # the current attempt has delivered frames
        self._earlier_may_have_run = False  # a submission before the latest
        self._latest_may_have_run = False  # the latest was sent and not refused
        self._last_progress_s = 0.0
        self._target: Target | None = None
        self._attempt: Attempt | None = None
        self._attempt_sink: AttemptSink | None = None
        self._reassembler: Reassembler | None = None
        self._deadline_timer: TimerHandle | None = None
        self._stall_timer: TimerHandle | None = None
        self.ended = False

    @property
    def target(self) -> Target | None:
        """Return the target of the current attempt, or ``None`` before the first."""
        return self._target

    @property
    def attempts(self) -> int:
        """Return the number of groups that the request was sent to."""
        return self._attempt_number + 1

    def start(self) -> None:
        """Start the first attempt; the sink is called only after this returns."""
        self._budget.count_request()
        left_s = self._deadline_s - self._clock.now()
        self._deadline_timer = self._clock.call_later(left_s, self._expire)
        self._start_attempt(NoGroupReady("No group serves this model now."))

    def cancel(self) -> None:
        """Stop the generation; the sink is not called any more."""
        if not self.ended:
            self._end("cancelled")
            self._cancel_attempt()

    def leave_group(self, reason: str) -> None:
        """Move to another group because the current one can no longer serve.

        ``reason`` becomes part of the error detail and has no final full stop.
        """
        if not self.ended and self._target is not None:
            self._try_next_group(EngineFault(f"Group {self._target.group}: {reason}."))

    def deliver(self, frames: list[Frame]) -> None:
        """Pass the next frames of the answer, in sequence order, to the sink."""
        self._last_progress_s = self._clock.now()
        if not self._has_delivered:
            self._has_delivered = True
            self._check_stall()
        final = frames.pop() if frames[-1].final else None
        if frames:
            for frame in frames:
                self._delivered_texts.append(frame.text)
                self._delivered_tokens += frame.tokens
            self._sink.text(frames)
        if final is not None and not self.ended:
            self._end("complete")
            self._sink.done(final)

    def connection_ended(self, error: CitronpinError | None) -> None:
        """Fail, resume or try another group after the current connection ended.

        ``error`` is ``None`` if the connection ended cleanly.
        """
        refused = error is not None and error.outcome is Outcome.NOT_RUN
        if isinstance(error, BadSubmission):
            self._fail(error)
        elif refused:
            self._latest_may_have_run = False
            self._try_next_group(error)
        else:
            self._resume_or_move(
                error or EngineFault("The stream ended before the final frame.")
            )

    def _start_attempt(self, no_group_error: CitronpinError) -> None:
        target = self._pick(self._tried_groups)
        if target is None:
            self._clock.call_later(0.0, lambda: self._fail(no_group_error))
            return
        self._attempt_number += 1
        self._resume_count = 0
        self._has_delivered = False
        self._prefix = "".join(self._delivered_texts)
        self._prefix_tokens = self._delivered_tokens
        self._target = target
        self._tried_groups |= {target.group}
        self._record_event(
            EventKind.REQUEST_DISPATCHED, f"attempt {self._attempt_number}"
        )
        self._submit()

    def _submit(self) -> None:
        if not self._has_delivered:
            # The engine may run the attempt again from the start. Frames buffered
            # from the first run must not be mixed with those of the second.
            self._reassembler = Reassembler(
                request=self._request, attempt=self._attempt_number
            )
        self._attempt_sink = AttemptSink(dispatch=self, reassembler=self._reassembler)
        left_s = max(self._deadline_s - self._clock.now(), 0.0)
        submission = Submission(
            request=self._request,
            attempt=self._attempt_number,
            group=self._target.group,
            fence=self._target.fence,
            body=self._body,
            priority=self._priority,
            deadline_ms=int(left_s * MS_PER_S),
            resume_from=self._reassembler.next_sequence,
            prefix=self._prefix,
            prefix_tokens=self._prefix_tokens,
        )
        self._last_progress_s = self._clock.now()
        self._earlier_may_have_run = (
            self._earlier_may_have_run or self._latest_may_have_run
        )
        self._latest_may_have_run = True
        self._check_stall()
        self._attempt = self._engine.submit(
            address=self._target.address, submission=submission, sink=self._attempt_sink
        )

    def _resume_or_move(self, error: CitronpinError) -> None:
        """Resume the attempt on its group if allowed, else try another group."""
        self._cancel_stall_timer()
        self._detach_attempt()
        if self._resume_count >= self._limits.resumes or not self._ready(self._target):
            self._try_next_group(error)
            return
        self._resume_count += 1
        detail = f"from {self._reassembler.next_sequence}: {error.detail}"
        self._record_event(EventKind.REQUEST_RESUMED, detail)
        self._submit()

    def _try_next_group(self, error: CitronpinError) -> None:
        """Cancel the attempt and start one on another group if the limits allow."""
        self._cancel_stall_timer()
        self._cancel_attempt()
        number = self._attempt_number + 1
        if number > self._limits.retries or not self._budget.take():
            self._fail(error)
            return
        self._start_attempt(error)

    def _detach_attempt(self) -> None:
        """Close the connection; the engine keeps the attempt so it can be resumed."""
        if self._attempt_sink is not None:
            self._attempt_sink.is_current = False
        if self._attempt is not None:
            self._attempt.detach()

    def _cancel_attempt(self) -> None:
        if self._attempt_sink is not None:
            self._attempt_sink.is_current = False
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()

    def _check_stall(self) -> None:
        limits = self._limits
        limit_s = (
            limits.stall_timeout_s
            if self._has_delivered
            else limits.first_frame_timeout_s
        )
        left_s = self._last_progress_s + limit_s - self._clock.now()
        self._cancel_stall_timer()
        if left_s <= 0:
            self._resume_or_move(EngineFault(f"No frame arrived for {limit_s} s."))
            return
        self._stall_timer = self._clock.call_later(left_s, self._check_stall)

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _expire(self) -> None:
        detail = "The deadline of the request has passed."
        self._fail(TimedOut(detail, remedy=REPEAT_REMEDY))

    def _fail(self, error: CitronpinError) -> None:
        if self.ended:
            return
        if not isinstance(error, BadSubmission):
            error.outcome = self._outcome()
        self._end(f"{error.outcome.value}: {error.detail}")
        self._cancel_attempt()
        self._sink.failed(error)

    def _outcome(self) -> Outcome:
        if self._delivered_texts:
            return Outcome.PARTIAL
        if self._earlier_may_have_run or self._latest_may_have_run:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def _end(self, detail: str) -> None:
        self.ended = True
        self._cancel_stall_timer()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._attempt_sink is not None:
            self._attempt_sink.is_current = False
        self._record_event(EventKind.REQUEST_ENDED, detail)

    def _record_event(self, kind: EventKind, detail: str) -> None:
        target = self._target
        self._recorder.note(
            kind,
            detail,
            request=self._request,
            group=target and target.group,
            fence=target and target.fence,
        )
