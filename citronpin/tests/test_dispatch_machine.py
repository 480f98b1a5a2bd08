"""State machine test of a dispatch against simulated engines with faults."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from citronpin.backends.dispatches import Dispatch, DispatchLimits, Target
from citronpin.backends.engines import Frame
from citronpin.basics.clocks import PausedClock
from citronpin.basics.errors import (
    ConnectionFailed,
    ConnectionLost,
    EngineRefused,
    Outcome,
    StaleFence,
)
from citronpin.basics.events import Recorder
from citronpin.tests.test_dispatches import Answer, FakeEngines

TOKENS = 6  # text frames of each run, before its final frame
GROUPS = ("g1", "g2", "g3", "g4", "g5")
REFUSALS = (EngineRefused, StaleFence, ConnectionFailed)


class DispatchMachine(RuleBasedStateMachine):
    """Each run of an engine says other words, so that mixed runs show."""

    def __init__(self):
        super().__init__()
        self.clock = PausedClock()
        self.engines = FakeEngines()
        self.answer = Answer()
        self.runs: dict[int, str] = {}  # kept run of each attempt number
        self.run_of: dict[int, str] = {}  # by index of the transport
        self.refused: set[int] = set()
        self.silenced = False
        self.dispatch = Dispatch(
            body={},
            request="r",
            deadline_s=60.0,
            pick=self._pick,
            sink=self.answer,
            engine=self.engines,
            clock=self.clock,
            recorder=Recorder(process="e1", clock=self.clock),
            limits=DispatchLimits(retries=4, resumes=2),
            ready=lambda target: True,
        )
        self.dispatch.start()

    def _pick(self, tried):
        names = [name for name in GROUPS if name not in tried]
        return Target(group=names[0], fence=1, address=names[0]) if names else None

    def _accept(self, index) -> str | None:
        """Return the run that a transport carries, if the engine takes it."""
        if index in self.refused:
            return None
        submission = self.engines.attempts[index].submission
        if index not in self.run_of:
            run = self.runs.get(submission.attempt)
            if run is None and submission.resume_from:
                return None
            run = run or f"{submission.attempt}.{index}"
            self.runs[submission.attempt] = self.run_of[index] = run
        return self.run_of[index]

    def _transport(self, data) -> int:
        latest = len(self.engines.attempts) - 1
        older = [max(0, latest - 1), max(0, latest - 2)]
        return data.draw(st.sampled_from([latest] * 4 + older))

    def _frame(self, index, number) -> Frame:
        submission = self.engines.attempts[index].submission
        return Frame(
            request="r",
            attempt=submission.attempt,
            sequence=number,
            text="" if number == TOKENS else f"{self.run_of[index]}:{number} ",
            tokens=1,
            final=number == TOKENS,
        )

    @rule(data=st.data())
    def frames_come(self, data):
        index = self._transport(data)
        if self._accept(index) is None:
            return
        start = self.engines.attempts[index].submission.resume_from
        numbers = data.draw(st.lists(st.integers(start, TOKENS), max_size=8))
        if data.draw(st.integers(0, 2)):
            run = f"{self.run_of[index]}:"
            first = sum(part.startswith(run) for part in self.answer.parts)
            numbers = list(range(first, min(first + 1 + len(numbers) // 4, TOKENS) + 1))
        frames = [self._frame(index, number) for number in numbers]
        if data.draw(st.booleans()):
            foreign = Frame(request="r", attempt=9, sequence=start, text="foreign ")
            frames.insert(0, foreign)
        if frames:
            self.engines.attempts[index].sink.frames(frames)

    @rule(data=st.data(), lost=st.booleans())
    def a_transport_ends(self, data, lost):
        index = self._transport(data)
        if self._accept(index) is not None:
            error = ConnectionLost("Cut.") if lost else None
            self.engines.attempts[index].sink.ended(error)

    @rule(data=st.data(), kind=st.sampled_from(REFUSALS))
    def a_submission_is_refused(self, data, kind):
        index = self._transport(data)
        if index not in self.run_of:
            self.refused.add(index)
            self.engines.attempts[index].sink.ended(kind("No."))

    @rule(data=st.data())
    def an_engine_restarts(self, data):
        index = self._transport(data)
        self.runs.pop(self.engines.attempts[index].submission.attempt, None)

    @rule(seconds=st.floats(0.0, 30.0))
    def time_passes(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def the_group_may_not_serve(self):
        self.dispatch.leave_group("its lease has ended")

    @precondition(lambda self: len(self.engines.attempts) > 4)
    @rule()
    def the_caller_leaves(self):
        self.silenced = not self.answer.ends
        self.dispatch.cancel()

    @invariant()
    def the_text_is_never_mixed(self):
        """Each run adds its frames from 0 on, after exactly its prefix."""
        text = "".join(self.answer.parts)
        runs = list(dict.fromkeys(part.split(":")[0] for part in self.answer.parts))
        expected = ""
        for run in runs:
            index = int(run.split(".")[1])
            assert self.engines.attempts[index].submission.prefix == expected
            count = sum(part.startswith(f"{run}:") for part in self.answer.parts)
            expected += "".join(f"{run}:{number} " for number in range(count))
        assert text == expected

    @invariant()
    def the_end_is_true_and_comes_once(self):
        ends = self.answer.ends
        assert len(ends) <= 1
        assert not (self.silenced and ends)
        if ends == ["done"]:
            last = self.answer.parts[-1].split(":")[0]
            own = [part for part in self.answer.parts if part.startswith(last)]
            assert len(own) == TOKENS
        elif ends:
            self._check_outcome(ends[0].outcome)

    def _check_outcome(self, outcome):
        if self.answer.parts:
            assert outcome is Outcome.PARTIAL
        elif outcome is Outcome.NOT_RUN:
            assert self.refused == set(range(len(self.engines.attempts)))
        else:
            assert outcome is Outcome.UNKNOWN

    @invariant()
    def nothing_goes_on_after_the_end(self):
        if self.answer.ends or self.silenced:
            states = [attempt.state for attempt in self.engines.attempts]
            whole = self.answer.ends == ["done"]
            assert states.count("open") <= (1 if whole else 0)


TestDispatch = DispatchMachine.TestCase
TestDispatch.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
