"""A simulation of several entries' `Calls` over one log, for tests.

The service counts how often each call takes effect.
"""

from collections import Counter

from result import Ok

from citronpin.backends.services import ServiceResponse
from citronpin.basics.clocks import PausedClock
from citronpin.basics.errors import Outcome
from citronpin.basics.ids import EntryId
from citronpin.callers.calls import Calls
from citronpin.callers.grants import Owned, Recorded
from citronpin.state.logs import MemoryLog
from citronpin.tests.meshes import FakeMesh, FakeStates, recorder_for

STEP_S = 0.05
MAX_STEPS = 80


class ProcessClock(PausedClock):
    """The clock of one process, which can stop while the world's time advances."""

    def jump(self, now_s) -> None:
        self._now_s = now_s
        self.run_due()


class Process:
    """One process of an entry, from its start to its end."""

    def __init__(self, *, name, world, calls_type) -> None:
        self.name = EntryId(name)
        self.clock = ProcessClock()
        self.clock.jump(world.clock.now())
        self.mesh = FakeMesh(entry=name, bus=world)
        self.states = FakeStates(
            entry=name, log=world.log, clock=self.clock, log_clock=world.clock
        )
        self.recorder = recorder_for(name, self.clock)
        self.calls = calls_type(
            entry=self.name,
            clock=self.clock,
            recorder=self.recorder,
            mesh=self.mesh,
            states=self.states,
            shards=world.shards,
            lookup=world.lookup(self),
        )
        self.running = True


class Try:
    """One request of a caller."""

    def __init__(self, *, process, key, body, first, number) -> None:
        self.process = process
        self.key = key
        self.body = body
        self.first = first
        self.number = number
        self.grant = None
        self.granted_at = None  # number of the notification that brought the grant
        self.over = False


class World:
    """The log, the service, the entries and the grants that callers got."""

    def __init__(self, *, entries=3, shards=2, calls_type=Calls) -> None:
        self.clock = PausedClock()
        self.log = MemoryLog(clock=self.clock)
        self.shards = shards
        self.calls_type = calls_type
        self.cut_links = set()
        self.processes = {}
        self.tries = []
        self.effects = Counter()  # key -> number of times that the call ran
        self.ran = {}  # key -> body of the request that ran
        self.not_run = {}  # (key, body) -> number of the latest notification of it
        self.answers = {}  # key -> body of the recorded answer that callers got
        self.notifications = 0
        self.known_dead = set()
        for number in range(entries):
            name = EntryId(f"e{number}")
            self.processes[name] = None
        for name in self.processes:
            self.start(name)

    def start(self, name) -> None:
        """Start a new process of an entry; the former process stops."""
        old = self.processes[name]
        if old is not None:
            old.running = False
        self.known_dead.discard(name)
        self.processes[name] = Process(
            name=name, world=self, calls_type=self.calls_type
        )

    def alive(self):
        return frozenset(self.processes) - self.known_dead

    def carry(self, sender, target, message) -> bool:
        process = self.processes[target]
        if (sender, target) not in self.cut_links:

            def deliver():
                if process is self.processes[target]:
                    arrive = process.mesh.arrive
                    process.clock.call_later(0.0, lambda: arrive(sender, message))

            self.clock.call_later(0.002, deliver)
        return True

    def lookup(self, process):
        def look_up(application, key, done):
            ran = self.effects[key] > 0
            found = self.response(key) if ran else None
            process.clock.call_later(0.01, lambda: done(Ok(found)))

        return look_up

    def response(self, key):
        return ServiceResponse(200, {"content-type": "text/plain"}, key.encode())

    def advance(self, seconds) -> None:
        """Advance time; paused processes catch up when they resume."""
        end_s = self.clock.now() + seconds
        step_s = max(STEP_S, seconds / MAX_STEPS)
        while self.clock.now() < end_s:
            self.clock.advance(min(step_s, end_s - self.clock.now()))
            for process in self.processes.values():
                if process.running:
                    process.clock.advance(self.clock.now() - process.clock.now())
                    process.states.pull()

    def resume(self, process) -> None:
        process.running = True
        process.clock.jump(self.clock.now())
        process.states.pull()

    def call(self, process, key, body, first=False) -> Try:
        attempt = Try(
            process=process,
            key=key.lower(),
            body=body,
            first=first,
            number=len(self.tries),
        )
        self.tries.append(attempt)
        process.calls.begin(
            key=key,
            digest=body,
            application="ledger",
            done=lambda grant: self.on_grant(attempt, grant),
            is_first_try=first,
        )
        return attempt

    def on_grant(self, attempt: Try, grant) -> None:
        """Record a grant and check it against the effects of the call."""
        assert attempt.grant is None, "a caller got two grants"
        self.notifications += 1
        attempt.grant = grant
        attempt.granted_at = self.notifications
        if isinstance(grant, Owned):
            assert attempt.key not in self.answers
            return
        attempt.over = True
        later = self.tries[attempt.number + 1 :]
        if attempt.first and any(other.key == attempt.key for other in later):
            return  # The caller had abandoned this request.
        self.told_outcome(attempt, grant.outcome)
        if isinstance(grant, Recorded):
            assert self.effects[attempt.key] == 1
            assert self.answers.setdefault(attempt.key, grant.body) == grant.body

    def told_outcome(self, attempt: Try, outcome: Outcome) -> None:
        if outcome is Outcome.NOT_RUN:
            ran = self.ran.get(attempt.key)
            assert ran != attempt.body, "reported as not run, but it had run"
            self.not_run[attempt.key, attempt.body] = self.notifications

    def effect(self, attempt: Try) -> None:
        """Let the service act on a dispatched call, which must be its only effect."""
        key = attempt.key
        self.effects[key] += 1
        assert self.effects[key] == 1, "the call ran twice"
        self.ran[key] = attempt.body
        reported_at = self.not_run.get((key, attempt.body), 0)
        assert attempt.granted_at > reported_at, "ran after it was reported as not run"

    def complete(self, attempt: Try) -> None:
        """Record the service's answer and pass it to the caller."""
        attempt.over = True
        answer = self.response(attempt.key)
        attempt.grant.finish(Outcome.COMPLETE, answer)
        assert self.answers.setdefault(attempt.key, answer.body) == answer.body
