"""Runs one generation request to its end, over several attempts if needed."""

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
    """Where an attempt goes."""

    group: GroupId
    fence: Fence
    address: str  # IP:PORT of the group's lead


Pick = Callable[[frozenset[GroupId]], Target | None]


class DispatchLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How long and how often a dispatch tries."""

    first_frame_timeout_s: float = 20.0
    stall_timeout_s: float = 5.0  # without progress once frames have come
    retries: int = 2  # further groups after the first
    resumes: int = 2  # on the same group, for each attempt


class AnswerSink(ABC):
    """Takes the answer in the event loop; exactly one end follows the text."""

    @abstractmethod
    def text(self, frames: list[Frame]) -> None:
        """Take frames in order, none of them final."""

    @abstractmethod
    def done(self, final: Frame) -> None:
        """Take the final frame, which may carry text: the answer is whole."""

    @abstractmethod
    def failed(self, error: CitronpinError) -> None:
        """The answer will not become whole; ``error.outcome`` says what was run."""


class AttemptSink(FrameSink):
    """Passes one transport's frames to the dispatch while it is the current one."""

    def __init__(self, *, dispatch: "Dispatch", reassembler: Reassembler) -> None:
        self._dispatch = dispatch
        self._reassembler = reassembler
        self.current = True

    def frames(self, frames: list[Frame]) -> None:
        if self.current:
            ready = self._reassembler.take(frames)
            if ready:
                self._dispatch.deliver(ready)

    def ended(self, error: CitronpinError | None) -> None:
        if self.current:
            self.current = False
            self._dispatch.transport_ended(error)


class Dispatch:
    """One generation request.

    ``pick`` is called right before each attempt with the groups that were tried;
    ``ready`` right before a stream is resumed on the group where it broke.
    ``deadline_s`` is a time of the clock.
    """

    def __init__(
        self,
        *,
        body: dict,
        request: RequestId,
        deadline_s: float,
        pick: Pick,
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
        self._tried: frozenset[GroupId] = frozenset()
        self._texts: list[str] = []
        self._tokens = 0
        self._number = -1
        self._resumes = 0
        self._begun = False
        self._prefix = ""
        self._prefix_tokens = 0
        self._begun = False  # the current attempt has delivered
        self._maybe_run = False  # an engine did not refuse
        self._unanswered = False  # a submission is out
        self._progress_s = 0.0
        self._target: Target | None = None
        self._attempt: Attempt | None = None
        self._transport: AttemptSink | None = None
        self._reassembler: Reassembler | None = None
        self._deadline_timer: TimerHandle | None = None
        self._stall_timer: TimerHandle | None = None
        self.ended = False

    @property
    def target(self) -> Target | None:
        """Return where the current attempt runs."""
        return self._target

    @property
    def attempts(self) -> int:
        """Return how many groups got the request."""
        return self._number + 1

    def start(self) -> None:
        """Begin the first attempt; the sink is called after this returned."""
        self._budget.count_request()
        left_s = self._deadline_s - self._clock.now()
        self._deadline_timer = self._clock.call_later(left_s, self._expire)
        self._begin(NoGroupReady("No group serves this model now."))

    def cancel(self) -> None:
        """The caller left: stop generation; the sink hears no more."""
        if not self.ended:
            self._end("cancelled")
            self._drop_attempt()

    def leave_group(self, reason: str) -> None:
        """Go on elsewhere, because the current group may not serve any more."""
        if not self.ended and self._target is not None:
            self._move(EngineFault(f"Group {self._target.group}: {reason}."))

    def deliver(self, frames: list[Frame]) -> None:
        """Take frames that come next in the answer."""
        self._progress_s = self._clock.now()
        if not self._begun:
            self._begun = True
            self._watch()
        final = frames.pop() if frames[-1].final else None
        if frames:
            for frame in frames:
                self._texts.append(frame.text)
                self._tokens += frame.tokens
            self._sink.text(frames)
        if final is not None and not self.ended:
            self._end("complete")
            self._sink.done(final)

    def transport_ended(self, error: CitronpinError | None) -> None:
        """Go on after the connection of the current attempt ended."""
        refused = error is not None and error.outcome is Outcome.NOT_RUN
        if isinstance(error, BadSubmission):
            self._fail(error)
        elif refused:
            self._unanswered = False
            self._move(error)
        else:
            self._take_up(error or EngineFault("The stream ended too early."))

    def _begin(self, reason: CitronpinError) -> None:
        target = self._pick(self._tried)
        if target is None:
            self._clock.call_later(0.0, lambda: self._fail(reason))
            return
        self._number += 1
        self._resumes = 0
        self._begun = False
        self._prefix = "".join(self._texts)
        self._prefix_tokens = self._tokens
        self._target = target
        self._tried |= {target.group}
        self._note(EventKind.REQUEST_DISPATCHED, f"attempt {self._number}")
        self._submit()

    def _submit(self) -> None:
        if not self._begun:
            # The engine may run the attempt anew, and held frames of the
            # first run must not mix with those of the second.
            self._reassembler = Reassembler(request=self._request, attempt=self._number)
        self._transport = AttemptSink(dispatch=self, reassembler=self._reassembler)
        left_s = max(self._deadline_s - self._clock.now(), 0.0)
        submission = Submission(
            request=self._request,
            attempt=self._number,
            group=self._target.group,
            fence=self._target.fence,
            body=self._body,
            priority=self._priority,
            deadline_ms=int(left_s * MS_PER_S),
            resume_from=self._reassembler.next_sequence,
            prefix=self._prefix,
            prefix_tokens=self._prefix_tokens,
        )
        self._progress_s = self._clock.now()
        self._maybe_run = self._maybe_run or self._unanswered
        self._unanswered = True
        self._watch()
        self._attempt = self._engine.submit(
            address=self._target.address, submission=submission, sink=self._transport
        )

    def _take_up(self, error: CitronpinError) -> None:
        """Resume on the same group if it still may serve, else elsewhere."""
        self._cancel_stall_timer()
        self._detach()
        if self._resumes >= self._limits.resumes or not self._ready(self._target):
            self._move(error)
            return
        self._resumes += 1
        detail = f"from {self._reassembler.next_sequence}: {error.detail}"
        self._note(EventKind.REQUEST_RESUMED, detail)
        self._submit()

    def _move(self, error: CitronpinError) -> None:
        """Try another group, if the limits allow it."""
        self._cancel_stall_timer()
        self._drop_attempt()
        number = self._number + 1
        if number > self._limits.retries or not self._budget.take():
            self._fail(error)
            return
        self._begin(error)

    def _detach(self) -> None:
        """Close the transport; the engine keeps the attempt for a while."""
        if self._transport is not None:
            self._transport.current = False
        if self._attempt is not None:
            self._attempt.detach()

    def _drop_attempt(self) -> None:
        if self._transport is not None:
            self._transport.current = False
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()

    def _watch(self) -> None:
        limits = self._limits
        limit_s = (
            limits.stall_timeout_s if self._begun else limits.first_frame_timeout_s
        )
        left_s = self._progress_s + limit_s - self._clock.now()
        self._cancel_stall_timer()
        if left_s <= 0:
            self._take_up(EngineFault(f"No frame came for {limit_s} s."))
            return
        self._stall_timer = self._clock.call_later(left_s, self._watch)

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
        self._drop_attempt()
        self._sink.failed(error)

    def _outcome(self) -> Outcome:
        if self._texts:
            return Outcome.PARTIAL
        if self._maybe_run or self._unanswered:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def _end(self, detail: str) -> None:
        self.ended = True
        self._cancel_stall_timer()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._transport is not None:
            self._transport.current = False
        self._note(EventKind.REQUEST_ENDED, detail)

    def _note(self, kind: EventKind, detail: str) -> None:
        target = self._target
        self._recorder.note(
            kind,
            detail,
            request=self._request,
            group=target and target.group,
            fence=target and target.fence,
        )
