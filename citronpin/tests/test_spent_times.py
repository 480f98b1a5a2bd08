"""Estimates of the time that callers spent before a request came."""

import random

import pytest

from citronpin.gateway.spent_times import CommonDeadlines, VariedDeadlines

DEADLINE_S = 6.0
OBJECTIVE_S = 0.25


def late_share(times, lefts):
    """Return the share of requests that count as later than the objective."""
    spent = [times.estimate_s(route="draft", left_s=left_s) for left_s in lefts]
    return sum(one >= OBJECTIVE_S for one in spent[50:]) / (len(spent) - 50)


def test_first_attempts_with_varied_deadlines_are_not_late():
    # Most of them counted as late: the levels took them for returns and never closed.
    rng = random.Random(1)
    lefts = [DEADLINE_S * rng.uniform(0.85, 1.0) for _ in range(500)]
    assert late_share(CommonDeadlines(), lefts) > 0.5
    assert late_share(VariedDeadlines(), lefts) < 0.02


@pytest.mark.parametrize("times", [CommonDeadlines(), VariedDeadlines()])
def test_later_attempts_with_equal_deadlines_are_late(times):
    first = [DEADLINE_S] * 300
    assert late_share(times, first) == 0.0
    spent_s = times.estimate_s(route="draft", left_s=DEADLINE_S - 0.5)
    assert spent_s == pytest.approx(0.5, abs=0.15)


def test_many_later_attempts_count_as_first_ones_for_a_while():
    times = VariedDeadlines()
    for _ in range(300):
        times.estimate_s(route="draft", left_s=DEADLINE_S)
    for _ in range(100):
        times.estimate_s(route="draft", left_s=DEADLINE_S)
        late_s = times.estimate_s(route="draft", left_s=DEADLINE_S - 0.5)
    assert late_s < 0.1
    for _ in range(300):
        times.estimate_s(route="draft", left_s=DEADLINE_S)
    late_s = times.estimate_s(route="draft", left_s=DEADLINE_S - 0.5)
    assert late_s == pytest.approx(0.5, abs=0.15)


def test_each_route_has_its_own_deadlines():
    times = VariedDeadlines()
    assert times.estimate_s(route="draft", left_s=6.0) == 0.0
    assert times.estimate_s(route="look-up", left_s=1.5) == 0.0
