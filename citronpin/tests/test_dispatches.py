"""Tests of a dispatch over a fake engine client and a paused clock."""

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
    """Holds a submission and what became of it."""

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
    """Collects the submissions; the test plays the engines."""

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
    """Collects the answer and its ends."""

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


class Case:
    """A dispatch with all that it needs."""

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
def case(paused_clock):
    return lambda **options: Case(paused_clock, **options)


def test_a_whole_answer_ends_once(case):
    case = case()
    case.last.send(1, 0, 1)
    case.last.send(2, final=3)
    case.last.sink.ended(None)
    case.clock.advance(200)
    assert case.answer.parts == ["0 ", "1 ", "2 "] and case.answer.ends == ["done"]
    assert case.last.state == "open" and len(case.engines.attempts) == 1


@pytest.mark.parametrize("kind", REFUSALS)
def test_refusals_go_on_elsewhere_and_end_as_not_run(case, kind):
    case = case()
    for group in GROUPS:
        assert case.last.address == group
        case.refuse(kind)
    assert case.answer.outcome is Outcome.NOT_RUN
    assert [a.submission.attempt for a in case.engines.attempts] == [0, 1, 2]


def test_no_group_is_not_run_and_told_after_start(case):
    case = case(free=())
    assert not case.answer.ends
    case.clock.advance(0)
    assert case.answer.outcome is Outcome.NOT_RUN and not case.engines.attempts


def test_a_broken_stream_is_resumed_there_then_elsewhere(case):
    case = case()
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


def test_a_clean_end_without_the_final_frame_is_not_an_answer(case):
    case = case(limits=DispatchLimits(resumes=0, retries=0))
    case.last.send(0, 2, final=3)
    case.last.sink.ended(None)
    assert case.answer.parts == ["0 "] and case.answer.outcome is Outcome.PARTIAL


def test_a_stall_is_noticed_and_resumed_from_the_gap(case):
    case = case()
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


def test_silence_before_the_first_frame_moves_on_without_mixing_runs(case):
    case = case(limits=DispatchLimits(first_frame_timeout_s=20.0, resumes=1))
    case.last.send(1)
    case.clock.advance(20.1)
    assert case.last.submission.attempt == 0
    case.last.send(0)
    assert case.answer.parts == ["0 "]
    case.clock.advance(5.1)
    assert case.last.submission.attempt == 1 and case.last.address == "g2"
    assert case.engines.attempts[1].state == "cancelled"


def test_a_group_that_is_not_ready_is_not_resumed(case):
    case = case(ready=lambda target: False)
    case.last.send(0)
    case.last.sink.ended(ConnectionLost("Cut."))
    assert case.last.address == "g2" and case.last.submission.prefix == "0 "
    case.dispatch.leave_group("its lease has ended")
    assert case.last.address == "g3" and case.last.submission.attempt == 2


def test_the_deadline_tells_what_may_have_run(case):
    sent = case()
    sent.clock.advance(100.1)
    assert sent.answer.outcome is Outcome.UNKNOWN
    assert sent.last.state == "cancelled"
    begun = case(deadline_s=sent.clock.now() + 3)
    begun.last.send(0)
    begun.clock.advance(3.1)
    assert begun.answer.outcome is Outcome.PARTIAL
    begun.last.send(1, final=2)
    assert len(begun.answer.ends) == 1


def test_a_lost_attempt_is_never_called_not_run(case):
    case = case(limits=DispatchLimits(resumes=0))
    case.last.sink.ended(ConnectionLost("Cut."))
    case.refuse()
    case.refuse(ConnectionFailed)
    assert case.answer.outcome is Outcome.UNKNOWN
    left = Case(case.clock)
    left.dispatch.leave_group("its lease has ended")
    left.refuse()
    left.refuse()
    assert left.answer.outcome is Outcome.UNKNOWN


def test_cancelling_stops_the_engine_and_is_silent(case):
    case = case()
    case.last.send(0)
    case.dispatch.cancel()
    assert case.last.state == "cancelled"
    case.last.send(1, final=2)
    case.clock.advance(200)
    assert case.answer.parts == ["0 "] and not case.answer.ends
    within = Case(case.clock, deadline_s=case.clock.now() + 9)
    within.answer.on_text = within.dispatch.cancel
    within.last.send(0, final=1)
    assert not within.answer.ends


def test_a_bad_body_is_not_tried_again(case):
    case = case()
    case.refuse(BadSubmission)
    assert len(case.engines.attempts) == 1
    assert case.answer.ends[0].status == 400


def test_retries_are_a_share_of_requests(case):
    budget = RetryBudget(share=0.5, reserve=1.0)
    cases = [case(budget=budget) for _ in range(2)]
    for one in cases:
        one.refuse()
    assert len(cases[0].engines.attempts) == 2
    assert cases[1].answer.outcome is Outcome.NOT_RUN
