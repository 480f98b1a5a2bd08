"""Tests of a dispatch with a fake engine client and a paused clock."""

import pytest

from citronpin.backends.dispatches import (
    AnswerSink,
    Dispatch,
    DispatchLimits,
    Target,
)
from citronpin.backends.engines import Attempt, EngineClient, Frame
from citronpin.backends.retries import RetryBudget
from citronpin.basics.errors import (
    BadSubmission,
    ConnectionFailed,
    ConnectionLost,
    EngineRefused,
    Outcome,
    StaleFence,
)
from citronpin.basics.events import Recorder

GROUPS = ("g1", "g2", "g3")
LIMITS = DispatchLimits(first_frame_timeout_s=20.0, stall_timeout_s=5.0)
REFUSALS = (EngineRefused, StaleFence, ConnectionFailed)


class FakeAttempt(Attempt):
    """Records a submission and whether it was cancelled or detached."""

    def __init__(self, address, submission, sink):
        self.address = address
        self.submission = submission
        self.sink = sink
        self.state = "open"

    def cancel(self):
        self.state = "cancelled"

    def detach(self):
        self.state = "detached"

    def send(self, *numbers, final=None):
        frames = [self._frame(number, text=f"{number} ") for number in numbers]
        if final is not None:
            frames.append(self._frame(final, final=True))
        self.sink.frames(frames)

    def _frame(self, number, **fields):
        return Frame(
            request=self.submission.request,
            attempt=self.submission.attempt,
            sequence=number,
            tokens=1,
            **fields,
        )


class FakeEngines(EngineClient):
    """Records submissions; the test sends the frames and ends."""

    def __init__(self):
        self.attempts = []

    def submit(self, *, address, submission, sink):
        self.attempts.append(FakeAttempt(address, submission, sink))
        return self.attempts[-1]

    def order(self, **options):
        raise NotImplementedError

    status = cache_events = order

    @property
    def last(self):
        return self.attempts[-1]


class Answer(AnswerSink):
    """Records the text parts and the ends of an answer."""

    def __init__(self):
        self.parts = []
        self.ends = []
        self.on_text = lambda: None

    def text(self, frames):
        self.parts += [frame.text for frame in frames]
        self.on_text()

    def done(self, final):
        self.ends.append("done")

    def failed(self, error):
        self.ends.append(error)

    @property
    def outcome(self):
        (end,) = self.ends
        return end.outcome


class DispatchCase:
    """A started dispatch with a fake engine client and a sink that records."""

    def __init__(self, clock, free=GROUPS, **options):
        self.clock = clock
        self.engines = FakeEngines()
        self.answer = Answer()
        self.recorder = Recorder(process="e1", clock=clock)
        self.free = free
        options = {"limits": LIMITS, "deadline_s": 100.0} | options
        self.dispatch = Dispatch(
            body={"messages": []},
            request="r",
            pick=self.pick,
            sink=self.answer,
            engine=self.engines,
            clock=clock,
            recorder=self.recorder,
            **options,
        )
        self.dispatch.start()

    def pick(self, tried):
        left = [group for group in self.free if group not in tried]
        return Target(group=left[0], fence=7, address=left[0]) if left else None

    def refuse(self, kind=EngineRefused):
        self.engines.last.sink.ended(kind("No."))
        self.clock.advance(0)

    @property
    def last(self):
        return self.engines.last


@pytest.fixture
def make_case(paused_clock):
    return lambda **options: DispatchCase(paused_clock, **options)


def test_complete_answer_ends_once(make_case):
    case = make_case()
    case.last.send(1, 0, 1)
    case.last.send(2, final=3)
    case.last.sink.ended(None)
    case.clock.advance(200)
    assert case.answer.parts == ["0 ", "1 ", "2 "] and case.answer.ends == ["done"]
    assert case.last.state == "open" and len(case.engines.attempts) == 1


@pytest.mark.parametrize("kind", REFUSALS)
def test_refused_request_tries_every_group_and_ends_as_not_run(make_case, kind):
    case = make_case()
    for group in GROUPS:
        assert case.last.address == group
        case.refuse(kind)
    assert case.answer.outcome is Outcome.NOT_RUN
    assert [a.submission.attempt for a in case.engines.attempts] == [0, 1, 2]


def test_request_without_a_group_fails_as_not_run_after_start_returned(make_case):
    case = make_case(free=())
    assert not case.answer.ends
    case.clock.advance(0)
    assert case.answer.outcome is Outcome.NOT_RUN and not case.engines.attempts


def test_broken_stream_is_resumed_on_its_group_then_on_another(make_case):
    case = make_case()
    case.last.send(0, 1)
    case.last.sink.ended(ConnectionLost("Cut."))
    again = case.last.submission
    assert (again.attempt, again.group, again.resume_from) == (0, "g1", 2)
    case.refuse()
    moved = case.last.submission
    assert (moved.attempt, moved.group, moved.resume_from) == (1, "g2", 0)
    assert (moved.prefix, moved.prefix_tokens) == ("0 1 ", 2)
    case.engines.attempts[0].send(2, 3, final=4)
    case.engines.attempts[1].send(2, 3, final=4)
    case.last.send(0, final=1)
    assert case.answer.parts == ["0 ", "1 ", "0 "] and case.answer.ends == ["done"]


def test_clean_end_without_the_final_frame_is_a_partial_answer(make_case):
    case = make_case(limits=DispatchLimits(resumes=0, retries=0))
    case.last.send(0, 2, final=3)
    case.last.sink.ended(None)
    assert case.answer.parts == ["0 "] and case.answer.outcome is Outcome.PARTIAL


def test_stalled_stream_is_resumed_from_the_missing_frame(make_case):
    case = make_case()
    case.clock.advance(19)
    case.last.send(0)
    case.clock.advance(4.9)
    case.last.send(2)
    assert len(case.engines.attempts) == 1
    case.clock.advance(0.2)
    first, second = case.engines.attempts
    assert first.state == "detached" and second.submission.resume_from == 1
    second.send(1, final=3)
    assert case.answer.parts == ["0 ", "1 ", "2 "] and case.answer.ends == ["done"]


def test_silence_before_the_first_frame_is_resumed_without_mixing_runs(make_case):
    case = make_case(limits=DispatchLimits(first_frame_timeout_s=20.0, resumes=1))
    case.last.send(1)
    case.clock.advance(20.1)
    assert case.last.submission.attempt == 0
    case.last.send(0)
    assert case.answer.parts == ["0 "]
    case.clock.advance(5.1)
    assert case.last.submission.attempt == 1 and case.last.address == "g2"
    assert case.engines.attempts[1].state == "cancelled"


def test_stream_is_not_resumed_on_a_group_that_is_not_ready(make_case):
    case = make_case(ready=lambda target: False)
    case.last.send(0)
    case.last.sink.ended(ConnectionLost("Cut."))
    assert case.last.address == "g2" and case.last.submission.prefix == "0 "
    case.dispatch.leave_group("its lease has ended")
    assert case.last.address == "g3" and case.last.submission.attempt == 2


def test_deadline_reports_whether_the_request_may_have_run(make_case):
    sent = make_case()
    sent.clock.advance(100.1)
    assert sent.answer.outcome is Outcome.UNKNOWN
    assert sent.last.state == "cancelled"
    streaming = make_case(deadline_s=sent.clock.now() + 3)
    streaming.last.send(0)
    streaming.clock.advance(3.1)
    assert streaming.answer.outcome is Outcome.PARTIAL
    streaming.last.send(1, final=2)
    assert len(streaming.answer.ends) == 1


def test_lost_attempt_is_never_reported_as_not_run(make_case):
    case = make_case(limits=DispatchLimits(resumes=0))
    case.last.sink.ended(ConnectionLost("Cut."))
    case.refuse()
    case.refuse(ConnectionFailed)
    assert case.answer.outcome is Outcome.UNKNOWN
    moved = DispatchCase(case.clock)
    moved.dispatch.leave_group("its lease has ended")
    moved.refuse()
    moved.refuse()
    assert moved.answer.outcome is Outcome.UNKNOWN


def test_cancel_stops_the_engine_and_all_calls_of_the_sink(make_case):
    case = make_case()
    case.last.send(0)
    case.dispatch.cancel()
    assert case.last.state == "cancelled"
    case.last.send(1, final=2)
    case.clock.advance(200)
    assert case.answer.parts == ["0 "] and not case.answer.ends
    cancelling = DispatchCase(case.clock, deadline_s=case.clock.now() + 9)
    cancelling.answer.on_text = cancelling.dispatch.cancel
    cancelling.last.send(0, final=1)
    assert not cancelling.answer.ends


def test_rejected_body_is_not_retried(make_case):
    case = make_case()
    case.refuse(BadSubmission)
    assert len(case.engines.attempts) == 1
    assert case.answer.ends[0].status == 400


def test_retries_are_limited_to_a_share_of_requests(make_case):
    budget = RetryBudget(share=0.5, reserve=1.0)
    cases = [make_case(budget=budget) for _ in range(2)]
    for case in cases:
        case.refuse()
    assert len(cases[0].engines.attempts) == 2
    assert cases[1].answer.outcome is Outcome.NOT_RUN
