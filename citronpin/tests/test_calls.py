"""Tests of non-repeatable calls: cases, a state machine and its mutations."""

import os

import hypothesis
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from citronpin.basics.errors import Outcome
from citronpin.basics.events import EventKind
from citronpin.basics.ids import EntryId
from citronpin.callers.calls import Calls
from citronpin.callers.grants import (
    BadKey,
    KeyReused,
    Owned,
    Pending,
    Phase,
    Recorded,
    Refused,
    TooOld,
    Unknown,
)
from citronpin.peers.overlays import rendezvous
from citronpin.state import records
from citronpin.tests.call_worlds import World

LONG_S = 80.0


def make_key(world, number=0, age_s=0.0):
    """Return a UUIDv7 whose time is ``age_s`` before now."""
    stamp = world.clock.wall_ms() - int(age_s * 1000)
    return f"{stamp >> 16:08x}-{stamp & 0xFFFF:04x}-7000-8000-{number:012x}"


@pytest.fixture
def world():
    return World(shards=1)


def entries_of(world):
    """Return the holder, its successor and another process."""
    names = rendezvous("calls.0", world.processes, 3)
    return [world.processes[name] for name in names]


def ask(world, process, key, body="body", first=False, wait_s=0.5):
    attempt = world.call(process, key, body, first)
    world.advance(wait_s)
    return attempt


def run(world, attempt):
    assert attempt.grant.dispatch()
    world.effect(attempt)
    world.complete(attempt)


@pytest.mark.parametrize("place", range(3))
def test_call_runs_once_and_retries_get_its_answer(world, place):
    process = entries_of(world)[place]
    key = make_key(world)
    attempt = ask(world, process, key)
    run(world, attempt)
    assert not attempt.grant.dispatch()
    world.advance(0.5)
    for other in world.processes.values():
        grant = ask(world, other, key.upper()).grant
        assert isinstance(grant, Recorded) and grant.body == key.encode()
    kinds = [event.kind for event in process.recorder.since() if key in event.detail]
    assert kinds == [
        EventKind.CALL_INTENT,
        EventKind.CALL_DISPATCHED,
        EventKind.CALL_OUTCOME,
    ]
    assert process.calls.open_calls() == 0


def test_keys_that_cannot_be_vouched_for_are_refused(world):
    process = entries_of(world)[2]
    for bad in ("", "x", "0190a5e4-0000-4000-8000-000000000000"):
        assert ask(world, process, bad).grant == BadKey()
    old = ask(world, process, make_key(world, age_s=601)).grant
    ahead = ask(world, process, make_key(world, age_s=-90)).grant
    assert isinstance(old, TooOld) and isinstance(ahead, TooOld)
    # An earlier request under such a key may have run.
    assert old.outcome is ahead.outcome is Outcome.UNKNOWN


def test_key_used_for_another_body_is_refused(world):
    holder, _, other = entries_of(world)
    key = make_key(world)
    ask(world, other, key)
    assert ask(world, holder, key, body="else").grant == KeyReused()
    assert isinstance(ask(world, holder, key).grant, Pending)


def test_two_entries_at_the_same_moment(world):
    holder, _, other = entries_of(world)
    key = make_key(world)
    tries = [world.call(process, key, "body") for process in (holder, other)]
    world.advance(0.5)
    kinds = {type(attempt.grant) for attempt in tries}
    assert kinds == {Owned, Pending}


def test_abandoned_call_may_be_owned_anew(world):
    holder, _, other = entries_of(world)
    key = make_key(world)
    first = ask(world, other, key)
    first.grant.abandon()
    world.advance(0.5)
    assert not first.grant.dispatch()
    again = ask(world, holder, key)
    run(world, again)


def test_retracted_dispatch_may_be_tried_again(world):
    attempt = ask(world, entries_of(world)[0], make_key(world))
    assert attempt.grant.dispatch()
    attempt.grant.retract()
    run(world, attempt)


def test_unused_grant_ends_after_a_pause_and_says_not_run(world):
    holder, _, other = entries_of(world)
    key = make_key(world)
    attempt = ask(world, other, key)
    other.running = False
    world.advance(30)
    assert isinstance(ask(world, holder, key).grant, Pending)
    other.clock._now_s = world.clock.now()
    assert not attempt.grant.dispatch()
    world.resume(other)
    world.advance(1)
    assert isinstance(ask(world, holder, key).grant, Owned)


def test_dead_owner_leaves_unknown_and_the_application_settles_it(world):
    holder, _, other = entries_of(world)
    keys = [make_key(world, number) for number in range(2)]
    tries = [ask(world, other, key) for key in keys]
    assert all(attempt.grant.dispatch() for attempt in tries)
    world.effect(tries[0])
    other.running = False
    world.known_dead.add(other.name)
    settled = ask(world, holder, keys[0]).grant
    assert isinstance(settled, Recorded) and settled.body == keys[0].encode()
    assert isinstance(ask(world, holder, keys[1]).grant, Unknown)
    state = holder.states.state("calls.0")
    assert state.calls[keys[0]].outcome == Outcome.COMPLETE.value
    assert state.calls[keys[1]].outcome is None


def test_restarted_owner_does_not_vouch_for_its_former_process(world):
    holder, _, other = entries_of(world)
    key = make_key(world)
    ask(world, other, key)
    world.start(other.name)
    world.advance(1)
    mine = ask(world, world.processes[other.name], key).grant
    assert isinstance(mine, Unknown)
    world.advance(60)
    assert isinstance(ask(world, holder, key).grant, Unknown)


def test_dead_holder_is_passed_over(world):
    holder, _, other = entries_of(world)
    holder.running = False
    attempt = ask(world, other, make_key(world), wait_s=2)
    run(world, attempt)


@pytest.mark.parametrize("place", [0, 2])
def test_lost_answer_of_the_log_is_settled_by_reading(world, place):
    for each in world.processes.values():
        each.states.mode = "lost"
    attempt = ask(world, entries_of(world)[place], make_key(world), wait_s=2)
    run(world, attempt)
    assert isinstance(attempt.grant, Owned)


@pytest.mark.parametrize("mode", ["down", "late"])
@pytest.mark.parametrize("place", [0, 2])
def test_log_faults_refuse_unrun_and_the_key_is_free_later(world, mode, place):
    process = entries_of(world)[place]
    for each in world.processes.values():
        each.states.mode = mode
    key = make_key(world)
    attempt = ask(world, process, key, first=True, wait_s=4)
    assert isinstance(attempt.grant, Refused)
    assert attempt.grant.outcome is Outcome.NOT_RUN
    retry = ask(world, process, key, wait_s=4).grant
    # The log cannot be asked whether the first request ran.
    assert retry.outcome is Outcome.UNKNOWN
    for each in world.processes.values():
        each.states.mode = "ok"
    world.advance(8)
    run(world, ask(world, process, key, wait_s=2))


def test_large_answers_are_recorded_without_their_body(world):
    holder, _, other = entries_of(world)
    key = make_key(world)
    attempt = ask(world, other, key)
    attempt.grant.dispatch()
    world.effect(attempt)
    big = world.response(key)
    big.headers["content-type"] = "text/html"
    attempt.grant.finish(Outcome.COMPLETE, type(big)(201, big.headers, b"x" * 70_000))
    world.advance(0.5)
    call = holder.states.state("calls.0").calls[key]
    assert (call.status, call.body, call.content_type) == (201, b"", "")


def test_holder_purges_what_is_older_than_the_window(world):
    holder, _, other = entries_of(world)
    key = make_key(world)
    run(world, ask(world, other, key))
    world.advance(800)
    assert key not in holder.states.state("calls.0").calls
    assert isinstance(ask(world, other, key).grant, TooOld)


@pytest.mark.parametrize("shards", [1, 4])
def test_calls_of_many_entries_share_appends(shards):
    world = World(shards=shards)
    tries = [
        world.call(process, make_key(world, number), "body")
        for number in range(20)
        for process in world.processes.values()
    ]
    world.advance(1)
    assert sum(isinstance(attempt.grant, Owned) for attempt in tries) == 20


class CallsMachine(RuleBasedStateMachine):
    """Callers, faults and a service that acts at most once on each key."""

    calls_type = Calls
    names = st.sampled_from(["e0", "e1", "e2"])
    numbers = st.integers(0, 1)

    @initialize()
    def start(self):
        self.world = World(calls_type=self.calls_type)
        self.keys = [make_key(self.world, number) for number in range(2)]

    def process(self, name):
        return self.world.processes[EntryId(name)]

    @rule(name=names, number=numbers, reuse=st.booleans(), wait_s=st.floats(0, 0.5))
    def call(self, name, number, reuse, wait_s):
        process = self.process(name)
        if process.running:
            key = self.keys[number]
            used = [attempt for attempt in self.world.tries if attempt.key == key]
            body = "else" if reuse and used else "body"
            self.world.call(process, key, body, first=not used)
            self.world.advance(wait_s)

    @rule(pair=st.permutations(["e0", "e1", "e2"]), number=numbers)
    def call_on_two_entries(self, pair, number):
        for name in pair[:2]:
            if self.process(name).running:
                self.world.call(self.process(name), self.keys[number], "body")

    @rule(name=names, number=numbers)
    def call_and_run(self, name, number):
        if not self.process(name).running:
            return
        key = self.keys[number]
        attempt = self.world.call(self.process(name), key, "body")
        self.world.advance(0.5)
        if isinstance(attempt.grant, Owned) and attempt.grant.dispatch():
            self._whole(attempt)

    @rule(
        number=st.integers(0, 50),
        how=st.sampled_from(
            ["whole", "refused", "lost", "vanished", "dies", "dies-after", "late"]
        ),
    )
    def dispatch(self, number, how):
        open_tries = [
            attempt
            for attempt in self.world.tries
            if isinstance(attempt.grant, Owned)
            and attempt.process is self.process(attempt.process.name)
            and attempt.process.running
        ]
        if not open_tries:
            return
        attempt = open_tries[number % len(open_tries)]
        if not attempt.grant.dispatch():
            return
        getattr(self, "_" + how.replace("-", "_"))(attempt)

    def _whole(self, attempt):
        self.world.effect(attempt)
        self.world.complete(attempt)

    def _refused(self, attempt):
        attempt.grant.retract()
        attempt.grant.abandon()
        self.world.told_outcome(attempt, Outcome.NOT_RUN)

    def _lost(self, attempt):
        self.world.effect(attempt)
        attempt.grant.finish(Outcome.UNKNOWN, None)

    def _vanished(self, attempt):
        attempt.grant.finish(Outcome.UNKNOWN, None)

    def _dies(self, attempt):
        attempt.process.running = False
        self.hold_dead(attempt.process.name)

    def _dies_after(self, attempt):
        self.world.effect(attempt)
        self._dies(attempt)

    def _late(self, attempt):
        self.world.advance(7.0)
        self.world.effect(attempt)
        self.world.complete(attempt)

    @rule(
        name=names,
        mode=st.sampled_from(["ok", "ok", "down", "lost", "late", "slow"]),
    )
    def log_fault(self, name, mode):
        self.process(name).states.mode = mode

    @rule(name=names, other=names)
    def cut(self, name, other):
        self.world.cut_links ^= {(EntryId(name), EntryId(other))}

    @rule(name=names)
    def isolate(self, name):
        self.process(name).states.cut = True
        pairs = {(name, other) for other in self.world.processes}
        self.world.cut_links |= pairs | {(b, a) for a, b in pairs}

    @rule(name=names, number=numbers)
    def retry_in_isolation(self, name, number):
        if self.process(name).running:
            self.isolate(name)
            self.world.call(self.process(name), self.keys[number], "body")
            self.world.advance(4.0)

    @rule()
    def heal(self):
        self.world.cut_links.clear()
        for process in self._all():
            process.states.mode = "ok"
            process.states.cut = False

    @rule(name=names)
    def pause(self, name):
        self.process(name).running = False

    @precondition(lambda self: not all(p.running for p in self._all()))
    @rule()
    def resume(self):
        for process in self._all():
            if not process.running:
                self.world.known_dead.discard(process.name)
                self.world.resume(process)

    @rule(name=names)
    def restart(self, name):
        self.world.start(EntryId(name))

    @rule(name=names)
    def suspect(self, name):
        self.hold_dead(name)

    def hold_dead(self, name):
        self.world.known_dead ^= {EntryId(name)}
        if len(self.world.known_dead) == 3:
            self.world.known_dead.clear()

    @rule(seconds=st.sampled_from([0.1, 1.2, 6.0, LONG_S]))
    def wait(self, seconds):
        self.world.advance(seconds)

    def _all(self):
        return self.world.processes.values()

    @invariant()
    def every_call_ran_at_most_once(self):
        if hasattr(self, "world"):
            assert all(count <= 1 for count in self.world.effects.values())


def run_machine(machine, examples=120, steps=30, derandomize=True):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=derandomize,
            deadline=None,
            database=None,
            print_blob=False,
            report_multiple_bugs=False,
            phases=(hypothesis.Phase.generate,),
        ),
    )


def test_machine_holds():
    run_machine(CallsMachine)


@pytest.mark.soak
@pytest.mark.skipif("CITRONPIN_SOAK_SEED" not in os.environ, reason="make soak")
def test_machine_holds_for_longer():
    seeded = hypothesis.seed(int(os.environ["CITRONPIN_SOAK_SEED"]))(CallsMachine)
    run_machine(seeded, examples=2000, steps=50, derandomize=False)


class DispatchesWithoutOwning(Calls):
    """Takes a call that another attempt owns and has not recorded."""

    def _answer(self, attempt, reply):
        if reply.owner and reply.outcome is None and reply.digest == attempt.digest:
            self._own(attempt, reply.offset)
        else:
            super()._answer(attempt, reply)


class DispatchesTwice(Calls):
    """Dispatches again, as after a pause that it did not notice."""

    def dispatch(self, attempt, until_s, offset):
        return attempt.phase is not Phase.REFUSED


class RefusesRetriesAsNotRun(Calls):
    """Takes its own refusal for the fate of the key."""

    def _refuse(self, attempt, detail):
        attempt.first = True
        super()._refuse(attempt, detail)


class AbandonsWhatItDispatched(Calls):
    """Records *not run* when a grant lapses, dispatched or not."""

    def _lapse(self, attempt):
        if attempt.phase in (Phase.OWNED, Phase.DISPATCHED):
            self.finish(attempt, Outcome.NOT_RUN, None)


class SpeaksForDeadOwners(Calls):
    """Records *not run* for an owner that it holds dead."""

    def _answer(self, attempt, reply):
        silent = reply.owner and not self._owner_may_answer(reply)
        if silent and reply.outcome is None and reply.digest == attempt.digest:
            item = records.CallOutcome(
                key=attempt.key,
                owner=reply.owner,
                outcome=Outcome.NOT_RUN.value,
                attempt=reply.owner_attempt,
            )
            self._states.propose(self.holder.place(attempt.key)[1], (item,))
        super()._answer(attempt, reply)


@pytest.mark.parametrize(
    "mutation",
    [
        DispatchesWithoutOwning,
        DispatchesTwice,
        RefusesRetriesAsNotRun,
        AbandonsWhatItDispatched,
        SpeaksForDeadOwners,
    ],
)
def test_machine_catches(mutation):
    class Mutated(CallsMachine):
        calls_type = mutation

    with pytest.raises(AssertionError):
        run_machine(Mutated, examples=600)
