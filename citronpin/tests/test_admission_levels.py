"""Admission by priority, also in replays of bursts and losses with lagging loads."""

import random
from functools import cache

import pytest

from citronpin.basics.ids import CustomerName
from citronpin.benches.bench_overload import ENGINE, MODEL, SERVICE
from citronpin.gateway.admission_levels import (
    Admitted,
    LevelAdmission,
    OpenAdmission,
    RefusalReason,
    Refused,
)
from citronpin.gateway.capacities import Capacity, CapacityReader
from citronpin.gateway.overloads import (
    MAX_RETRY_DELAY_SHARE,
    FirstEventTimes,
    ObjectiveLoadLimit,
    Pending,
    Rank,
    urgency_number,
)
from citronpin.tests.admission_replays import (
    AdmissionCase,
    AdmissionRun,
    Kind,
    make_table,
)

SEEDS = (1, 2, 3)
# The targets of `docs/design/hard-load.md`, part 4.
MAX_ORDER_GAP = 0.05  # by which a class may be served less than a less urgent one
MIN_CLASS_SHARE = 0.25  # of the mean; also of each customer
MIN_LARGE_SHARE = 0.5  # of the class, for its largest tenth by size
MAX_REFUSED_RATIO = 0.5  # tries refused, the most urgent class to the least urgent
MIN_REFUSING_USE = 0.7  # of the slots; below it nothing is refused by priority
REPORT_MAX_AGE_S = 1.0
FLAP_LEVEL = 0.2
REPEATERS = 3  # of 8 customers

CALM = (
    Kind(priority=0, share=0.3),
    Kind(priority=3, share=0.4),
    Kind(priority=7, share=0.3),
)
CASES = {
    # The rate of the least urgent kind rises so that all arrivals rise to 2.5 times.
    "least urgent burst": dict(
        kinds=(*CALM[:2], Kind(priority=7, share=0.3, factor=6.0)),
        burst_from_s=5.0,
        burst_to_s=11.0,
        rate=95.0,
    ),
    # The rate of the most urgent kind rises so that all arrivals rise to 1.6 times.
    "most urgent burst": dict(
        kinds=(Kind(priority=0, share=0.3, factor=3.0), *CALM[1:]),
        burst_from_s=5.0,
        burst_to_s=9.0,
        rate=105.0,
    ),
    "a third of the groups lost": dict(
        kinds=CALM,
        burst_from_s=5.0,
        burst_to_s=11.0,
        loss_from_s=5.0,
        loss_to_s=11.0,
        lost_groups=6,
        rate=125.0,
    ),
}
REPORTS = (0.15, 0.6)  # ages in a message, sent each 0.3 s: 0.15 to 0.9 s


@cache
def replay(name, report_s, is_open):
    """Return the finished runs of a case, one for each seed."""
    runs = []
    for seed in SEEDS:
        case = AdmissionCase(report_s=report_s, length_s=22.0, **CASES[name])
        run = AdmissionRun(case=case, is_open=is_open, seed=seed)
        run.run()
        runs.append(run)
    return runs


def callers_in_burst(runs):
    return [
        caller
        for run in runs
        for caller in run.callers_between(run.case.burst_from_s, run.case.burst_to_s)
    ]


def served(callers):
    return sum(caller.done for caller in callers) / len(callers)


def by_key(callers, key):
    found = {}
    for caller in callers:
        found.setdefault(key(caller), []).append(caller)
    return dict(sorted(found.items()))


def by_priority(callers):
    return by_key(callers, lambda caller: caller.kind.priority)


def refused_share(callers):
    tries = sum(caller.tries for caller in callers)
    return sum(caller.refused_tries for caller in callers) / tries


def is_ordered(callers):
    """Return whether the least urgent requests yield to the most urgent ones."""
    classes = list(by_priority(callers).values())
    return refused_share(classes[0]) <= MAX_REFUSED_RATIO * refused_share(classes[-1])


each_replay = pytest.mark.parametrize(
    "name, report_s", [(name, report_s) for name in CASES for report_s in REPORTS]
)


@each_replay
def test_the_least_urgent_requests_yield(name, report_s):
    # Guards against priorities that no decision reads.
    callers = callers_in_burst(replay(name, report_s, False))
    shares = [served(members) for members in by_priority(callers).values()]
    for more, less in zip(shares, shares[1:]):
        assert more >= less - MAX_ORDER_GAP
    assert is_ordered(callers)


@each_replay
def test_the_baseline_refuses_urgent_requests_as_often(name, report_s):
    # Guards against a replay in which any admission would do.
    assert not is_ordered(callers_in_burst(replay(name, report_s, True)))


@each_replay
def test_no_class_customer_or_size_is_starved(name, report_s):
    # Guards against levels and reservations that shut a class out.
    callers = callers_in_burst(replay(name, report_s, False))
    mean = served(callers)
    classes = by_priority(callers).values()
    customers = by_key(callers, lambda caller: caller.customer).values()
    assert all(served(members) >= MIN_CLASS_SHARE * mean for members in classes)
    assert all(served(members) >= MIN_CLASS_SHARE * mean for members in customers)
    for members in classes:
        largest = sorted(members, key=lambda one: one.prompt + one.answer)
        largest = largest[-max(len(largest) // 10, 1) :]
        assert served(largest) >= MIN_LARGE_SHARE * served(members)


@each_replay
def test_nothing_is_refused_by_priority_while_slots_are_free(name, report_s):
    # Guards against a level that stays up, or refuses in calm traffic.
    for run in replay(name, report_s, False):
        assert all(use >= MIN_REFUSING_USE for use in run.refused_uses)
        for at in run.refused_at:
            recent = [
                use for time, use, _ in run.uses if at - REPORT_MAX_AGE_S <= time <= at
            ]
            assert max(recent) >= MIN_REFUSING_USE


@each_replay
def test_a_level_moves_within_a_second_of_its_cause_being_reported(name, report_s):
    # Guards against a level that follows too slowly for a burst of seconds. The first
    # second passes until slots are short and the second until this is reported.
    for run in replay(name, report_s, False):
        from_s = run.case.burst_from_s
        to_s = from_s + 2 * REPORT_MAX_AGE_S
        assert any(from_s <= at <= to_s for at in run.refused_at)


@each_replay
def test_a_level_does_not_flap(name, report_s):
    # Guards against levels that swing around the load that they cause: one that opens
    # and is back within a second. Near 0 it may open, since slots are free then.
    for run in replay(name, report_s, False):
        burst = [
            level
            for (at, _, _), level in zip(run.uses, run.levels)
            if run.case.burst_from_s + 2.5 <= at <= run.case.burst_to_s
        ]
        for at, level in enumerate(burst):
            before, after = burst[max(at - 5, 0) : at], burst[at : at + 10]
            is_flap = level == 0.0 and max(before, default=0.0) >= FLAP_LEVEL
            assert not (is_flap and max(after) >= FLAP_LEVEL)


@each_replay
def test_all_are_served_again_after_the_cause(name, report_s):
    # Guards against refused callers whose returns keep a level up. Callers of the burst
    # are gone after their deadline of 6 s.
    runs = replay(name, report_s, False)
    callers = [
        caller
        for run in runs
        for caller in run.callers_between(run.case.burst_to_s + 6.0, 22.0)
    ]
    baseline = [
        caller
        for run in replay(name, report_s, True)
        for caller in run.callers_between(run.case.burst_to_s + 6.0, 22.0)
    ]
    for priority, members in by_priority(callers).items():
        before = served(by_priority(baseline)[priority])
        assert served(members) >= before - MAX_ORDER_GAP


@each_replay
def test_retry_after_is_spread_earlier_for_the_urgent_and_bounded(name, report_s):
    # Guards against callers that return together, or too late to be served.
    waits = [wait for run in replay(name, report_s, False) for wait in run.retry_waits]
    for _, wait_s, left_s in waits:
        assert 0.0 < wait_s <= MAX_RETRY_DELAY_SHARE * left_s + 1e-9
    found = {}
    for priority, wait_s, left_s in waits:
        if left_s > 5.9:  # at first tries the bound by the time left is alike
            found.setdefault(priority, []).append(wait_s)
    means = [sum(found[priority]) / len(found[priority]) for priority in sorted(found)]
    assert means == sorted(means)
    assert len(set(found[7])) > 0.9 * len(found[7])


@pytest.mark.parametrize("name", CASES)
def test_the_least_urgent_yield_with_few_requests_at_each_entry(name):
    # Guards against levels that need more of the demand than one of many entries sees:
    # here 1 to 4 requests a second.
    callers = []
    for seed in SEEDS:
        case = AdmissionCase(entries=64, length_s=14.0, **CASES[name])
        run = AdmissionRun(case=case, is_open=False, seed=seed)
        run.run()
        callers += callers_in_burst([run])
    shares = [served(members) for members in by_priority(callers).values()]
    for more, less in zip(shares, shares[1:]):
        assert more >= less - MAX_ORDER_GAP
    assert is_ordered(callers)
    assert min(shares) >= MIN_CLASS_SHARE * served(callers)


def replay_repeats(repeaters, is_open=False):
    """Return the callers of customers that wait for Retry-After in all replays."""
    callers = []
    for seed in SEEDS:
        case = AdmissionCase(
            kinds=(Kind(priority=0, share=1.0, factor=2.5),),
            rate=100.0,
            repeaters=repeaters,
            length_s=14.0,
        )
        run = AdmissionRun(case=case, is_open=is_open, seed=seed)
        run.run()
        callers += run.callers_between(run.case.burst_from_s, run.case.burst_to_s)
    return [caller for caller in callers if caller.customer >= REPEATERS], callers


def test_callers_that_repeat_at_once_take_no_place_of_others():
    # Guards against more tries being a way to more slots.
    others, everyone = replay_repeats(REPEATERS)
    before, _ = replay_repeats(0)
    assert served(others) >= served(before) - MAX_ORDER_GAP
    repeating = [caller for caller in everyone if caller.is_repeater]
    assert served(repeating) >= MIN_CLASS_SHARE * served(everyone)


def test_with_the_baseline_repeats_take_the_place_of_others():
    # Guards against a replay in which repeats do no harm.
    others, _ = replay_repeats(REPEATERS, is_open=True)
    before, _ = replay_repeats(0, is_open=True)
    assert served(others) < served(before) - MAX_ORDER_GAP


class FixedCapacity(CapacityReader):
    def __init__(self, load=0, slots=100):
        self.capacity = Capacity(load=load, slots=slots)

    def read(self, service, model):
        return self.capacity

    def set(self, load, slots=100):
        self.capacity = Capacity(load=load, slots=slots)


def pending(spent_s=0.0, **fields):
    return Pending(
        service=SERVICE, model=MODEL, objective_s=0.3, spent_s=spent_s, **fields
    )


@pytest.fixture
def capacities():
    return FixedCapacity()


@pytest.fixture
def admission(capacities):
    policy = LevelAdmission(capacities=capacities, rng=random.Random(5))
    policy.apply_table(make_table(CALM))
    return policy


def decide(admission, now_s, priority=7, customer="c", spent_s=0.0, **fields):
    return admission.decide(
        pending=pending(spent_s, **fields),
        priority=priority,
        customer=CustomerName(customer),
        left_s=6.0,
        now_s=now_s,
    )


def press(admission, capacities, *, load=160, from_s=0.0, to_s=4.0, slots=100):
    """Let requests arrive while a load is reported; return the decisions."""
    capacities.set(load, slots)
    decisions = []
    for step in range(int((to_s - from_s) * 20)):
        now_s = from_s + step / 20
        admission.update(now_s=now_s)
        decisions.append(decide(admission, now_s, priority=(0, 3, 7)[step % 3]))
    return decisions


def test_a_level_rises_in_steps_and_opens_at_once(admission, capacities):
    # Guards against a level that jumps, and one that stays when slots are free.
    capacities.set(200)
    decide(admission, 0.0)
    levels = [admission.level()]
    for step in range(1, 11):
        admission.update(now_s=step * 0.1)
        levels.append(admission.level())
    assert all(b - a <= 0.1 + 1e-9 for a, b in zip([0.0, *levels], levels))
    assert levels[-1] >= 0.5
    capacities.set(69)
    assert isinstance(decide(admission, 1.05), Admitted)
    admission.update(now_s=1.15)
    assert admission.level() == 0.0


def test_the_least_urgent_are_not_starved_by_many_urgent_ones(admission, capacities):
    # Guards against a level that leaves nothing to a small class for as long as more
    # urgent requests alone fill the slots.
    capacities.set(250)
    admitted = {0: 0, 7: 0}
    for step in range(4_000):
        now_s = step / 200
        admission.update(now_s=now_s)
        for priority in (0,) * 9 + (7,):
            result = decide(
                admission, now_s, priority=priority, customer=f"c{step % 9}"
            )
            admitted[priority] += isinstance(result, Admitted)
    mean = sum(admitted.values()) / 40_000
    assert 0.0 < mean < 0.9
    assert admitted[7] / 4_000 >= MIN_CLASS_SHARE * mean


def test_without_reports_or_groups_everything_is_admitted(admission, capacities):
    # Guards against refusals where nothing is known, which placement answers.
    for load, slots in [(0, 100), (0, 0)]:
        results = press(admission, capacities, load=load, slots=slots)
        assert all(isinstance(result, Admitted) for result in results)


def test_lost_groups_do_not_look_like_less_demand(admission, capacities):
    # Guards against a level that opens when groups leave with their requests.
    press(admission, capacities, load=110)
    before = admission.level()
    press(admission, capacities, load=74, slots=67, from_s=4.0, to_s=4.2)
    assert admission.level() >= before - 0.15


def test_a_clock_that_jumps_breaks_nothing(admission, capacities):
    # Guards against ages below zero and endless catching up.
    press(admission, capacities, to_s=1.0)
    press(admission, capacities, from_s=-50.0, to_s=-49.0)
    press(admission, capacities, from_s=1e6, to_s=1e6 + 1.0)
    assert 0.0 <= admission.level() <= 1.0


def test_late_requests_yield_within_a_priority(admission, capacities):
    # Guards against slots for late answers while others could still be in time.
    press(admission, capacities, load=130)
    refused = {0.0: 0, 0.5: 0}
    for step in range(2_000):
        for spent_s in refused:
            result = decide(
                admission, 4.0, priority=3, customer=f"c{step % 9}", spent_s=spent_s
            )
            refused[spent_s] += isinstance(result, Refused)
    assert refused[0.0] < refused[0.5] < 2_000


def test_a_customer_over_its_share_yields_within_a_priority(admission, capacities):
    # Guards against one customer taking the slots of all others.
    press(admission, capacities, load=130)
    refused = {"large": 0, "small": 0}
    for step in range(900):
        capacities.set(130)
        names = ["large"] * 5 + ["small", "other", "third"]
        for name in names:
            result = decide(admission, 4.0 + step / 300, priority=3, customer=name)
            if name in refused:
                refused[name] += isinstance(result, Refused)
    assert refused["large"] / 4_500 > refused["small"] / 900
    assert refused["large"] < 4_500


def test_a_resumed_answer_and_a_plain_service_are_not_judged(admission, capacities):
    # Guards against the loss of a partial answer.
    press(admission, capacities)
    for step in range(100):
        assert isinstance(decide(admission, 4.0, midway=True), Admitted)
    plain = Pending(service=SERVICE, model=None, objective_s=0.3, spent_s=0.0)
    assert admission.decide(
        pending=plain, priority=7, customer=None, left_s=6.0, now_s=4.0
    ) == Admitted(level=None)


def test_reasons_and_priorities_are_counted(admission, capacities):
    # Guards against refusals that operators cannot see.
    results = press(admission, capacities)
    refused = [result for result in results if isinstance(result, Refused)]
    counts = dict(admission.counts())
    assert sum(counts.values()) == len(results)
    assert counts[SERVICE, "7", RefusalReason.PRIORITY.label] > 0
    total = sum(
        count for (_, _, result), count in counts.items() if result != "admitted"
    )
    assert total == len(refused)


def test_urgencies_follow_priority_and_time():
    # Guards against an order at instances that ignores priorities.
    for count in range(1, 12):
        numbers = [
            urgency_number(pending(spent_s, rank=Rank(index=index, count=count)))
            for index in range(count)
            for spent_s in (0.0, 0.5)
        ]
        assert numbers == sorted(numbers)
        assert numbers[0] == 1 and numbers[-1] == 9
        assert all(1 <= number <= 8 for number in numbers[:-1])
        assert count > 4 or len(set(numbers)) == 2 * count
    assert urgency_number(pending(0.5, midway=True, rank=Rank(index=0, count=1))) == 0


def test_the_baseline_sets_the_urgencies_and_limits_of_before():
    # Guards against a change of deployments that did not ask for levels.
    policy = OpenAdmission()
    policy.apply_table(make_table(CALM))
    assert policy.rank(SERVICE, 7) is None
    assert decide(policy, 0.0) == Admitted(level=None, reserved_share=0.0)
    values = [urgency_number(pending(spent_s)) for spent_s in (0.0, 0.5)]
    assert values == [3, 7]
    assert urgency_number(pending(0.5, midway=True)) == 0


def test_a_reservation_leaves_the_last_slots_to_more_urgent_requests():
    # Guards against the least urgent requests taking the slots that become free.
    limits = ObjectiveLoadLimit(first_event_times=FirstEventTimes())

    def limit(**fields):
        return limits.load_limit(
            pending=pending(**fields), slots=ENGINE.slots, engine=ENGINE
        )

    assert limit() > ENGINE.slots
    assert limit(reserved_share=0.12) == ENGINE.slots - 1
    assert limit(reserved_share=0.12, midway=True) == limit(midway=True)
