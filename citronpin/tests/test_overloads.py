"""Refusal and return under load, replayed over the real placement code."""

import os
import subprocess
import sys

import pytest

from citronpin.benches.bench_overload import (
    ENGINE,
    MODEL,
    SERVICE,
    OverloadCase,
    OverloadRun,
)
from citronpin.gateway.budgets import RetryBudget, SlidingCount
from citronpin.gateway.overloads import (
    MAX_QUEUED_REQUESTS,
    MAX_QUEUED_RESUMPTIONS,
    MAX_RETRY_DELAY_SHARE,
    FirstEventTimes,
    ObjectiveLoadLimit,
    Pending,
    RetryDelays,
    mean_slot_wait_s,
    urgency,
)

SLOTS = ENGINE.slots


SEEDS = range(6)
EVERY = 10_000  # groups drawn: more than there are


def replay(limit_policy, seeds=SEEDS, **case):
    """Return value and worst window of a replayed load, means over seeds."""
    values, worst = [], []
    for seed in seeds:
        run = OverloadRun(
            case=OverloadCase(**case), limit_policy=limit_policy, seed=seed
        )
        run.run()
        values.append(sum(caller.value() for caller in run.callers) / len(run.callers))
        worst.append(min(run.windows()))
    return sum(values) / len(values), sum(worst) / len(worst)


def test_a_seed_gives_the_same_run_whatever_the_order_of_hashes():
    script = (
        "from citronpin.tests.test_overloads import replay;"
        "print(replay('objective', seeds=[3], length_s=12.0))"
    )
    seen = set()
    for hash_seed in ("1", "2", "3"):
        done = subprocess.run(
            [sys.executable, "-c", script],
            env=os.environ | {"PYTHONHASHSEED": hash_seed, "PAD": "x" * 997},
            capture_output=True,
            text=True,
            check=True,
        )
        seen.add(done.stdout)
    assert len(seen) == 1


def test_a_burst_on_groups_that_come_and_go_is_served_better_than_by_queues():
    value, worst = replay("objective")
    for baseline in ("fixed", "unbounded"):
        other_value, other_worst = replay(baseline)
        assert value > other_value and worst > other_worst


def test_entries_with_lagging_news_do_not_all_choose_the_same_groups():
    calm = dict(burst=1.0)
    value, worst = replay("objective", **calm)
    other_value, other_worst = replay("objective", choices=EVERY, **calm)
    assert value > other_value and worst > other_worst


def test_in_a_burst_drawn_groups_are_worth_more_than_the_least_loaded():
    value, _ = replay("objective")
    other_value, _ = replay("objective", choices=EVERY)
    assert value > other_value


def test_many_entries_with_old_news_do_not_all_choose_the_same_groups():
    # Grown rota site, quiet-1: 89 entries, 227 requests/s, reports 0.6 s old.
    crowd = dict(entries=89, groups=36, rate=227.0, burst=1.0, news_s=0.6)
    crowd |= dict(length_s=12.0, loss_every_s=4.0, seeds=range(2))
    value, worst = replay("objective", **crowd)
    other_value, other_worst = replay("objective", choices=EVERY, **crowd)
    assert value > other_value and worst > other_worst


def test_without_pressure_nobody_is_refused():
    run = OverloadRun(
        case=OverloadCase(rate=30.0, burst=1.0, loss_every_s=1e6),
        limit_policy="objective",
        seed=3,
    )
    run.run()
    assert run.refused == 0 and all(caller.done for caller in run.callers)


def pending(spent_s=0.0, midway=False, objective_s=0.3):
    return Pending(
        service=SERVICE,
        model=MODEL,
        objective_s=objective_s,
        spent_s=spent_s,
        midway=midway,
    )


@pytest.fixture
def limit_policy():
    return ObjectiveLoadLimit(times=FirstEventTimes())


def load_limit(limit_policy, **fields):
    return limit_policy.load_limit(
        pending=pending(**fields), slots=SLOTS, engine=ENGINE
    )


def test_a_request_waits_only_while_it_can_be_in_time(limit_policy):
    assert SLOTS < load_limit(limit_policy) < SLOTS + 2
    assert load_limit(limit_policy, spent_s=0.29) == SLOTS
    assert load_limit(limit_policy, objective_s=10.0) == SLOTS + MAX_QUEUED_REQUESTS


def test_what_is_late_takes_free_places_only_and_waits_behind_what_is_not(limit_policy):
    assert load_limit(limit_policy, spent_s=0.5) < SLOTS
    order = [pending(midway=True), pending(), pending(spent_s=0.5)]
    assert sorted(order, key=lambda one: urgency(one).value) == order


def test_a_caller_midway_goes_before_others(limit_policy):
    assert (
        load_limit(limit_policy, spent_s=3.0, midway=True)
        == SLOTS + MAX_QUEUED_RESUMPTIONS
    )


def test_first_events_are_learnt_where_nothing_waits():
    times = FirstEventTimes()
    for load, first_s in [(1, 0.2), (9, 5.0), (2, 0.2)]:
        times.observed(
            service=SERVICE, model=MODEL, first_s=first_s, load=load, slots=SLOTS
        )
    assert times.average_s(SERVICE, MODEL) == pytest.approx(0.2)


def test_a_place_becomes_free_by_the_engine_model():
    # 0.6 x 175 tokens x (7.8 ms + 9 x 0.179 ms and context), over 9 places
    assert mean_slot_wait_s(ENGINE, ENGINE.models[0]) == pytest.approx(0.1115, rel=0.02)


def test_callers_return_the_later_the_more_are_refused():
    calm, full = RetryDelays(), RetryDelays()
    for number in range(100):
        calm.count_request(now_s=number / 100)
        full.count_request(now_s=number / 100)
        full.refuse(left_s=9.0, draw=0.0, now_s=number / 100)
    short = calm.refuse(left_s=9.0, draw=0.0, now_s=1.0)
    long = full.refuse(left_s=9.0, draw=0.0, now_s=1.0)
    assert short < 0.5 < 2.0 < long


def test_returns_are_spread_and_within_what_callers_honour():
    retry_delays = RetryDelays()
    waits = [
        retry_delays.refuse(left_s=1.5, draw=draw / 10, now_s=0.0) for draw in range(10)
    ]
    assert len(set(waits)) == 10 and max(waits) <= 1.5 * MAX_RETRY_DELAY_SHARE


def test_a_sliding_count_never_forgets_too_early():
    count = SlidingCount(window_s=5.0)
    for step in range(100):
        now_s = step * 0.3
        count.add(1.0, now_s=now_s)
        exact = sum(now_s - other * 0.3 <= 5.0 for other in range(step + 1))
        assert exact <= count.total(now_s=now_s) <= exact + 3


def test_repeats_of_all_entries_keep_to_the_common_budget():
    ratio, slack, window_s, entries = 0.2, 109.0, 10.0, 9
    budgets = [
        RetryBudget(ratio=ratio, slack=slack, window_s=window_s) for _ in range(entries)
    ]
    requests, repeats = [], []
    for step in range(600):
        now_s = step * 0.05
        budget = budgets[step % entries]
        budget.count_request(now_s=now_s)
        requests.append(now_s)
        for _ in range(5):
            if budget.take(entries=entries, midway=step % 2 == 0, now_s=now_s):
                repeats.append(now_s)
    for end_s in [5.0, 9.0, 12.3, 20.0, 29.9]:
        begin_s = end_s - window_s
        spent = sum(begin_s <= at <= end_s for at in repeats)
        allowed = ratio * sum(begin_s <= at <= end_s for at in requests) + slack
        assert spent <= allowed


def test_a_part_of_the_budget_is_kept_for_callers_midway():
    budget = RetryBudget(ratio=0.2, slack=20.0, window_s=10.0)
    while budget.take(entries=1, midway=False, now_s=1.0):
        pass
    assert budget.take(entries=1, midway=True, now_s=1.0)
