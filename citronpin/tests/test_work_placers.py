"""Placement by remaining work: replays with stale loads, and single decisions."""

from collections import Counter

import msgspec
import pytest
from hypothesis import given, strategies as st

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import InstanceId
from citronpin.benches.crowds import (
    ENGINE,
    MODEL,
    ROUTE,
    SERVICE,
    CrowdCase,
    CrowdRun,
    Policy,
)
from citronpin.gateway.load_trackers import PEER_REPORT_MAX_AGE_S
from citronpin.gateway.overloads import Pending
from citronpin.gateway.placers import Demand, Placement, PlacementFailure
from citronpin.gateway.work_placers import fill_levels

# Targets of docs/design/hard-load.md, part 1.
MAX_BUSIEST = 3.0
MAX_MODEL_REFUSALS = 0.01
MAX_PLAIN_REFUSALS = 0.03
SEEDS = (0, 1)
MIXED = (8,) * 30 + (24,) * 15
PLAIN = (6,) * 5
LOST = {0: 3.0, 1: 3.0, 2: 6.0, 31: 6.0}
SLOW = {3: 3.0, 40: 2.0}
HALF_CASES = {
    "mixed": CrowdCase(slots=MIXED),
    "114 entries": CrowdCase(slots=MIXED, entries=114),
    "slow and lost": CrowdCase(slots=MIXED, slow=SLOW, losses=LOST),
    "45 and 15, slow and lost": CrowdCase(slow=SLOW, losses=LOST),
}
NINE_TENTHS = CrowdCase(share=0.9, slow=SLOW)


def replay(case, policy, seeds=SEEDS):
    """Return the highest multiple of the mean and the mean refusals over seeds."""
    runs = [CrowdRun(case=case, policy=policy, seed=seed).run() for seed in seeds]
    refusals = sum(run.refusals for run in runs) / len(runs)
    return max(run.busiest for run in runs), refusals


@pytest.mark.parametrize("name", HALF_CASES)
def test_stale_loads_cause_no_refusals_at_half_of_the_capacity(name):
    # Entries that choose the groups that look empty fill them and are refused there.
    busiest, refusals = replay(HALF_CASES[name], Policy.BY_WORK)
    assert busiest < MAX_BUSIEST and refusals < MAX_MODEL_REFUSALS
    _, refusals = replay(HALF_CASES[name], Policy.LEAST_LOADED)
    assert refusals >= MAX_MODEL_REFUSALS, "the baseline does not show the failure"


def test_without_any_report_requests_are_spread_by_slots():
    case = CrowdCase(slots=MIXED, has_reports=False)
    busiest, refusals = replay(case, Policy.BY_WORK)
    assert busiest < MAX_BUSIEST and refusals < MAX_MODEL_REFUSALS
    _, baseline_refusals = replay(case, Policy.LEAST_LOADED)
    assert refusals < baseline_refusals


def test_stale_loads_cause_far_fewer_refusals_near_the_capacity():
    busiest, refusals = replay(NINE_TENTHS, Policy.BY_WORK)
    _, baseline_refusals = replay(NINE_TENTHS, Policy.LEAST_LOADED)
    assert busiest < MAX_BUSIEST and refusals < baseline_refusals / 4


def test_entries_spread_requests_that_no_group_can_begin_in_time():
    # Entries that all select the group that begins a request soonest fill it.
    case = CrowdCase(slots=(10,) * 45, share=0.7, objective_s=0.16)
    busiest, refusals = replay(case, Policy.BY_WORK)
    assert busiest < MAX_BUSIEST and refusals < MAX_MODEL_REFUSALS


@pytest.mark.known_red
def test_refusals_near_the_capacity_are_within_the_target():
    _, refusals = replay(NINE_TENTHS, Policy.BY_WORK)
    assert refusals < MAX_MODEL_REFUSALS


def test_plain_services_refuse_few_requests_at_half_of_the_capacity():
    case = CrowdCase(slots=PLAIN, is_plain=True)
    busiest, refusals = replay(case, Policy.BY_WORK)
    assert busiest < MAX_BUSIEST and refusals < MAX_PLAIN_REFUSALS


@pytest.mark.known_red
def test_plain_services_refuse_few_requests_near_the_capacity():
    case = CrowdCase(slots=PLAIN, is_plain=True, share=0.9)
    _, refusals = replay(case, Policy.BY_WORK)
    assert refusals < MAX_PLAIN_REFUSALS


@given(
    st.lists(
        st.tuples(st.floats(0.0, 5.0), st.floats(0.1, 50.0)), min_size=1, max_size=20
    ),
    st.floats(0.1, 500.0),
)
def test_filled_levels_use_the_whole_rate_and_end_equal(groups, rate):
    levels = [level for level, _ in groups]
    slopes = [slope for _, slope in groups]
    parts = fill_levels(levels, slopes, rate)
    assert min(parts) >= 0.0
    assert sum(parts) == pytest.approx(rate, rel=1e-6)
    raised = [level + part / slope for level, part, slope in zip(levels, parts, slopes)]
    filled = [one for one, part in zip(raised, parts) if part > 0.0]
    assert max(filled) == pytest.approx(min(filled), abs=1e-6)
    assert all(
        level >= max(filled) - 1e-6 for level, part in zip(levels, parts) if not part
    )


class World:
    """One entry among many, with groups of ten slots whose reports a test gives."""

    def __init__(self, *, groups=45, entries=90):
        case = CrowdCase(entries=1, slots=(10,) * groups)
        self.run = CrowdRun(case=case, policy=Policy.BY_WORK, seed=1)
        self.clock: PausedClock = self.run.clock
        self.entry = self.run.entries[0]
        self.entry.works._entry_count = lambda: entries
        self.names = list(self.run.groups)

    def report(self, loads, age_s=0.5):
        for name, load in zip(self.names, loads):
            if load is not None:
                self.entry.loads.record_report(
                    name, load=load, age_s=age_s, now_s=self.clock.now()
                )

    def place(
        self,
        *,
        spent_s=0.0,
        objective_s=0.3,
        excluded=(),
        midway=False,
        engine=ENGINE,
    ):
        cost = self.entry.costs.estimate(
            route=ROUTE,
            customer=None,
            token_usage="700,500",
            length_hint="",
            engine=engine,
        )
        return self.entry.placer.place(
            demand=Demand(
                pending=Pending(
                    service=SERVICE,
                    model=MODEL,
                    objective_s=objective_s,
                    spent_s=spent_s,
                    midway=midway,
                ),
                engine=engine,
                excluded=excluded,
                cost=cost,
            ),
            now_s=self.clock.now(),
        )

    def draw(self, count=2_000, **fields):
        """Return how often each group was drawn."""
        return Counter(self.place(**fields).instance.id for _ in range(count))


def test_a_request_finds_the_only_free_slots_among_full_groups():
    # A sample of three groups answered "full" although another had free slots.
    world = World()
    world.report([14] * 44 + [2], age_s=0.0)
    for _ in range(50):
        assert isinstance(world.place(), Placement)
    drawn = world.draw(count=200, spent_s=1.0)  # a late request takes free slots only
    assert set(drawn) == {world.names[-1]}


def test_a_request_is_refused_when_all_groups_are_full():
    world = World()
    world.report([14] * 45, age_s=0.0)
    failure = world.place()
    assert isinstance(failure, PlacementFailure)
    assert (failure.reason, failure.candidates) == ("all instances are full", 45)


def test_fresh_reports_lead_to_the_least_work():
    # All requests are those of this entry, so nothing is unseen.
    world = World(groups=5, entries=1)
    *busy, idle = world.names
    for name in busy * 2:
        others = set(world.names) - {name}
        world.place(excluded=others).work.started(now_s=0.0)
    world.clock.advance(0.1)
    world.report([2, 2, 2, 2, 0], age_s=0.0)
    assert set(world.draw(count=200)) == {idle}


def test_old_reports_lead_to_nearly_uniform_draws():
    world = World()
    world.report([6] * 44 + [1], age_s=1.4)
    assert world.draw()[world.names[-1]] < 3 * 2_000 / 45


@pytest.mark.parametrize("load", [None, 0])
def test_a_new_group_is_not_flooded(load):
    # Entries that take a missing report for an empty group all send to it.
    world = World()
    world.report([7] * 44 + [load])
    drawn = world.draw()[world.names[-1]]
    assert 2_000 / 45 / 3 < drawn < 3 * 2_000 / 45


def test_own_requests_count_where_no_report_exists():
    world = World(groups=3, entries=1)
    for _ in range(2):
        placed = world.place()
        placed.work.started(now_s=world.clock.now())
        world.entry.loads.request_started(placed.instance.id)
    own = world.entry.loads.own()
    assert len(own) == 2 and world.place().instance.id not in own


def test_a_slow_group_gets_nothing_that_others_can_begin_in_time():
    world = World()
    world.report([5] * 45)
    slow = world.names[7]
    world.entry.loads.record_pace(slow, pace=4.0, now_s=0.0)
    assert slow not in world.draw()
    everything_else = set(world.names) - {slow}
    assert world.place(excluded=everything_else).instance.id == slow


def test_a_refusal_lowers_the_weight_of_an_instance_for_a_short_time():
    world = World(groups=3)
    refusing = world.run.fleet.get(world.names[0])
    world.entry.works.record_refusal(refusing, now_s=0.0)
    before = world.draw()[refusing.id]
    world.clock.advance(1.0)
    after = world.draw()[refusing.id]
    assert before < 200 and after > 500


def test_own_requests_sent_after_the_report_are_added_to_it():
    world = World(groups=1)
    world.clock.advance(2.0)
    placed = world.place()
    placed.work.started(now_s=2.0)
    world.clock.advance(0.5)
    world.report([4], age_s=0.2)  # contains the request of this entry
    assert world.entry.works.loads_of(world.names, now_s=2.5)[0][::2] == (1, 3.0)
    world.report([4], age_s=0.0)
    other = world.place()
    world.clock.advance(0.1)
    other.work.started(now_s=2.6)
    assert world.entry.works.loads_of(world.names, now_s=2.6)[0][::2] == (2, 3.0)


def test_an_age_never_counts_as_negative():
    world = World(groups=2)
    world.clock.advance(10.0)
    world.report([3, 3], age_s=-5.0)
    loads = world.entry.works.loads_of(world.names, now_s=9.0)  # the clock went back
    assert [load[3] for load in loads] == [0.0, 0.0]
    assert isinstance(world.place(), Placement)


def test_reports_that_are_not_renewed_count_as_unknown():
    world = World(groups=2)
    world.report([9, 9])
    world.entry.loads.expire(now_s=PEER_REPORT_MAX_AGE_S + 0.1)
    assert world.entry.loads.reports == {}
    assert isinstance(world.place(), Placement)


def test_expected_gaps_are_compared_with_those_of_answers():
    world = World(groups=1)
    work = world.place().work
    work.started(now_s=0.0)
    for event in range(4):
        work.progressed(now_s=0.2 + event * 3 * work.expected.gap_s)
    work.ended(has_run=True, now_s=1.0)
    ratios = world.entry.ratios._histograms["event_gap"]
    assert ratios.get_max_value() == pytest.approx(3_000, rel=0.02)


@pytest.mark.parametrize("fields", [{}, {"step_s": 0.0, "step_per_writer_s": 0.001}])
def test_an_engine_that_states_few_times_is_placed_on(fields):
    # A step of no time led to a division by zero.
    times = dict.fromkeys(
        ("step_s", "step_per_writer_s", "step_per_context_token_s"), 0.0
    )
    engine = msgspec.structs.replace(ENGINE, **(times | fields))
    world = World(groups=3)
    assert isinstance(world.place(engine=engine), Placement)
    world.report([0, 4, 0])
    assert isinstance(world.place(engine=engine), Placement)


def test_a_suspected_instance_is_used_only_while_no_other_is_left():
    world = World(groups=2)
    suspected, other = world.names
    world.entry.suspects.stalled(suspected, now_s=0.0)
    assert set(world.draw(count=100)) == {other}
    assert world.place(excluded={other}).instance.id == suspected
    failure = world.place(excluded={other}, midway=True)
    assert failure.reason == "no instance answers"


def test_a_group_that_leaves_is_no_candidate_any_more():
    world = World(groups=2)
    assert len(world.draw(count=50)) == 2
    left = msgspec.structs.replace(world.run.fleet.get(world.names[0]), draining=True)
    world.run.fleet.register(left, now_s=0.0)
    assert set(world.draw(count=50)) == {InstanceId(world.names[1])}


def test_the_placer_draws_alike_for_the_same_seed():
    assert World().draw(count=100) == World().draw(count=100)
