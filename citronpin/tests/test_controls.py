"""State machine over the controllers, with random faults at every step."""

import os

import pytest
from hypothesis import HealthCheck, Phase, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from result import Err

from citronpin.basics.ids import CONFIG_STREAM, control_stream
from citronpin.basics.settings import check_settings
from citronpin.control import rollouts
from citronpin.control.domains import DomainFacts
from citronpin.control.drains import Drains
from citronpin.control.formations import Formations
from citronpin.control.groups import GroupController, MemberInspection
from citronpin.control.readbacks import Readbacks
from citronpin.policy import repairs
from citronpin.policy.policies import make_detector, make_repair
from citronpin.state.folds import ConfigFold, ControlFold
from citronpin.state.instances import InstanceState
from citronpin.state.records import LeaseClaim
from citronpin.state.tails import Tail
from citronpin.tests.worlds import World

NUMBERS = st.integers(0, 99)
MAX_LOG_DELAY_S = 1.5


class ControlMachine(RuleBasedStateMachine):
    """Faults of entries, engines, the log and the membership list in any order."""

    @initialize()
    def boot(self):
        self.world = World()
        self.world.advance(16.0)

    def entry(self, number):
        names = sorted(self.world.entries)
        return names[number % len(names)]

    def engine(self, number):
        """Return an engine, mostly one that belongs to a group."""
        used = sorted(m for g in self.world.groups_of() for m in g.members)
        names = used if used and number % 4 else sorted(self.world.fabric.engines)
        return self.world.engine(names[number % len(names)])

    @rule(number=NUMBERS)
    def entry_pauses_or_goes_on(self, number):
        name = self.entry(number)
        paused = [e for e in self.world.entries.values() if e.clock.paused]
        if self.world.entries[name].clock.paused:
            self.world.fabric.resume(name)
        elif len(paused) < 2:
            self.world.fabric.pause(name)
        self._advance()

    @rule(number=NUMBERS)
    def entry_is_replaced(self, number):
        name = self.entry(number)
        self.world.fabric.kill(name)
        self.world.fabric.boot(name)
        self._advance()

    @rule(number=NUMBERS)
    def entry_stops_as_planned(self, number):
        name = self.entry(number)
        if not self.world.entries[name].clock.paused:
            self.world.entries[name].control.leave()
            self.world.advance(3.0)
            self.world.fabric.kill(name)
            self.world.fabric.boot(name)
        self._advance()

    @rule(number=NUMBERS, kind=st.sampled_from(["down", "slow", "lost", "up"]))
    def log_fails_or_recovers(self, number, kind):
        links = [self.world.entries[self.entry(number)].log]
        if number % 3 == 0:
            links = [entry.log for entry in self.world.entries.values()]
        for link in links:
            link.down = kind == "down"
            link.lose_answers = kind == "lost"
            link.delay_s = MAX_LOG_DELAY_S if kind == "slow" else 0.0
        self._advance()

    @rule(number=NUMBERS)
    def entry_is_cut_off_from_engines(self, number):
        link = self.world.entries[self.entry(number)].engines
        link.cut_off = not link.cut_off
        self._advance()

    @rule(number=NUMBERS)
    def engine_dies(self, number):
        self.engine(number).crash()
        self._advance()

    @rule(number=NUMBERS)
    def engine_pauses(self, number):
        self.engine(number).pause()
        self._advance()

    @rule(number=NUMBERS)
    def engine_restarts(self, number):
        self.engine(number).restart()
        self._advance()

    @rule(number=NUMBERS)
    def silent_engines_return_as_they_were(self, number):
        for engine in self.world.fabric.engines.values():
            engine.up = True
            engine.resume()
        self._advance()

    @rule(number=NUMBERS, slow=st.booleans())
    def engine_answers_orders_badly(self, number, slow):
        engine = self.engine(number)
        engine.order_delay_s = 1.5 if slow else 0.0
        engine.lose_answers = not slow
        self._advance()

    @rule(number=NUMBERS, kind=st.sampled_from([*InstanceState, None]))
    def list_changes(self, number, kind):
        self.world.list(self.engine(number).row.id, kind)
        self._advance()

    @rule(lag_s=st.sampled_from([0.0, 5.0, 20.0]))
    def list_lags(self, lag_s):
        self.world.fabric.membership_lag_s = lag_s
        self._advance()

    @rule(stale=st.booleans())
    def manifest_is_published(self, stale):
        self.world.publish(stale=stale)
        self.world.advance(3.0)

    @rule(domain=st.sampled_from(["a", "b"]))
    def all_claim_at_once(self, domain):
        stream = control_stream(domain)
        claim = LeaseClaim(supersedes=self.world.truth[stream].lease.fence)
        for entry in self.world.entries.values():
            if not entry.clock.paused:
                entry.states.propose(stream, (claim,))
        self._advance()

    @rule(seconds=st.sampled_from([2.0, 6.0, 15.0]))
    def time_passes(self, seconds):
        self.world.advance(seconds)

    def _advance(self):
        self.world.advance(1.5)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.check_live()
            self.world.check_rollout()


def run(examples, steps, fixed=None):
    options = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=fixed is None,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    machine = type("Machine", (ControlMachine,), {})
    if fixed is not None:
        machine = seed(fixed)(machine)
    run_state_machine_as_test(machine, settings=options)


def assign_instances_twice(patch):
    """Assign instances of other groups, and let the fold accept it."""
    patch.setattr(repairs, "free_instances", lambda view: list(view.instances))
    patch.setattr(DomainFacts, "is_assignable", lambda self, instance: True)
    patch.setattr(ControlFold, "_check_free", lambda self, state, members: None)


def skip_read_back(patch):
    patch.setattr(Formations, "_form_member", lambda self, row, group: True)


def ignore_member_faults(patch):
    patch.setattr(GroupController, "_inspect", lambda self, group: MemberInspection())


def ignore_bases(patch):
    patch.setattr(ConfigFold, "_check_change", lambda self, state, change: None)


def reset_config_on_error(patch):
    """Reset the configuration of an entry whose read of the log failed."""
    on_page = Tail._on_page

    def reset_on_error(self, read, result):
        if isinstance(result, Err) and self.stream == CONFIG_STREAM:
            self.state = self._fold.empty()
        on_page(self, read, result)

    patch.setattr(Tail, "_on_page", reset_on_error)


def skip_drain_wait(patch):
    patch.setattr(Drains, "is_drained", lambda self, group, deadline_s: True)


def drop_rollout_minimum(patch):
    patch.setattr(rollouts, "min_serving_groups", lambda deployment: 0)


def keep_old_boots(patch):
    patch.setattr(Readbacks, "clear_boots", lambda self, group: None)


MUTATIONS = {
    assign_instances_twice: "is in",
    skip_read_back: "was not read back",
    ignore_member_faults: "serve with a member missing",
    ignore_bases: "a rejected manifest is applied",
    reset_config_on_error: "went back",
    skip_drain_wait: "was cut by",
    drop_rollout_minimum: "groups serve during the rollout",
    keep_old_boots: "rota groups serve at the end",
}


def test_invariants_hold_under_faults():
    run(examples=8, steps=20)


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda m: m.__name__)
def test_broken_invariant_is_detected(monkeypatch, mutation):
    mutation(monkeypatch)
    with pytest.raises(AssertionError, match=MUTATIONS[mutation]):
        run(examples=20, steps=12)


def graded_world(world_class=World):
    """Return a world with the weighted policy and the graded detector."""
    cfg = check_settings(
        {"repair": {"policy": "weighted", "detector": "graded"}}, ("repair",)
    ).unwrap()
    return world_class(
        repair=make_repair(cfg=cfg), detector=lambda: make_detector(cfg=cfg)
    )


def test_domain_unreachable_from_each_entry_in_turn_gets_a_holder():
    # Every entry yielded the lease in turn, and none claimed it for 300 s.
    world = graded_world()
    world.advance(16.0)
    engines = [e for e in world.fabric.engines.values() if e.row.domain == "a"]
    for _ in world.entries:
        for engine in engines:
            engine.pause()
        world.advance(20.0)
        for engine in engines:
            engine.resume()
        world.advance(20.0)
    assert world.truth[control_stream("a")].lease.holder
    world.check_live()


@pytest.mark.soak
def test_invariants_hold_in_long_runs_with_graded_detection(monkeypatch):
    monkeypatch.setitem(globals(), "World", graded_world)
    run(examples=300, steps=40, fixed=int(os.environ["CITRONPIN_SOAK_SEED"]))


def test_invariants_hold_under_faults_with_graded_detection(monkeypatch):
    monkeypatch.setitem(globals(), "World", graded_world)
    run(examples=8, steps=40, fixed=7)


@pytest.mark.soak
def test_invariants_hold_in_long_runs():
    run(examples=300, steps=40, fixed=int(os.environ["CITRONPIN_SOAK_SEED"]))
