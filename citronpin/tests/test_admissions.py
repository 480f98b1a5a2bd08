"""Tests of admission policies, retry budgets and hedging."""

from collections import Counter

import numpy
import pytest

from citronpin.backends.retries import HedgePolicy, RetryBudget
from citronpin.benches.bench_admission import weighted_fair_shares
from citronpin.policy.admissions import (
    ADMISSIONS,
    AdmissionRequest,
    Admit,
    FifoAdmission,
    Queue,
    Refuse,
)
from citronpin.policy.weighted_admissions import WeightedAdmission


def make_request(number, customer="c", deadline_s=60.0, share=1.0, priority=0):
    return AdmissionRequest(
        request=str(number),
        customer=customer,
        deployment="d",
        deadline_s=deadline_s,
        share=share,
        priority=priority,
    )


@pytest.fixture
def weighted():
    return WeightedAdmission(
        rng=numpy.random.default_rng(1), initial_limit=4, max_wait_s=20.0
    )


def fill_limit(policy, count=4):
    for number in range(count):
        req = make_request(f"running{number}", "other")
        assert policy.offer(req=req, now_s=0.0) == Admit()


@pytest.mark.parametrize("name", ["fifo", "weighted"])
def test_queued_request_is_admitted_once_and_cancelled_request_never(name):
    policy = (
        FifoAdmission(in_flight=2, queued=3)
        if name == "fifo"
        else ADMISSIONS[name](
            rng=numpy.random.default_rng(1), initial_limit=2, max_wait_s=20.0
        )
    )
    fill_limit(policy, 2)
    for number in range(3):
        assert isinstance(policy.offer(req=make_request(number), now_s=0.0), Queue)
    policy.cancelled(request="1", now_s=0.1)
    assert policy.take_ready(now_s=0.1) == []
    for number in range(2):
        policy.ended(request=f"running{number}", now_s=1.0)
    assert policy.take_ready(now_s=1.0) == ["0", "2"]
    assert policy.take_ready(now_s=1.0) == [] and policy.take_expired(now_s=1.0) == []


def test_fifo_refuses_on_full_queue_and_expires_at_deadline():
    policy = FifoAdmission(in_flight=1, queued=1)
    fill_limit(policy, 1)
    assert isinstance(
        policy.offer(req=make_request(1, deadline_s=5.0), now_s=0.0), Queue
    )
    refusal = policy.offer(req=make_request(2), now_s=0.0)
    assert isinstance(refusal, Refuse) and refusal.retry_after_s > 0
    assert [name for name, _ in policy.take_expired(now_s=5.0)] == ["1"]


def test_weighted_refuses_request_that_cannot_start_in_time(weighted):
    fill_limit(weighted)
    refusal = weighted.offer(req=make_request(1, deadline_s=3.0), now_s=0.0)
    assert isinstance(refusal, Refuse)
    assert refusal.retry_after_s > 0
    assert isinstance(weighted.offer(req=make_request(2), now_s=0.0), Queue)


def test_weighted_expires_request_before_its_deadline(weighted):
    fill_limit(weighted)
    weighted.offer(req=make_request(1, deadline_s=10.0), now_s=0.0)
    assert weighted.take_expired(now_s=6.0) == []
    ((name, refusal),) = weighted.take_expired(now_s=7.5)
    assert name == "1" and refusal.retry_after_s > 0
    assert weighted.take_ready(now_s=8.0) == []


def test_customers_get_their_shares_and_borrow_unused_capacity(weighted):
    fill_limit(weighted)
    offers = [("a", 3.0, n) for n in range(12)] + [("b", 1.0, n) for n in range(9)]
    for name, share, number in offers:
        req = make_request(f"{name}{number}", name, share=share)
        assert isinstance(weighted.offer(req=req, now_s=0.0), Queue)
    order = []
    for number in range(4):
        weighted.ended(request=f"running{number}", now_s=2.0)
    while ready := weighted.take_ready(now_s=2.0):
        order += ready
        for name in ready:
            weighted.ended(request=name, now_s=4.0)
    assert len(order) == 21
    early = Counter(name[0] for name in order[:12])
    assert early["a"] in (8, 9, 10)
    assert set(order[16:]) <= {f"b{number}" for number in range(12)}


def test_priority_is_admitted_first_within_and_across_customers(weighted):
    fill_limit(weighted)
    weighted.offer(req=make_request("a1", "a"), now_s=0.0)
    weighted.offer(req=make_request("a2", "a", priority=2), now_s=0.0)
    weighted.offer(req=make_request("b1", "b", priority=1), now_s=0.0)
    weighted.ended(request="running0", now_s=1.0)
    weighted.ended(request="running1", now_s=1.0)
    assert set(weighted.take_ready(now_s=1.0)) == {"a2", "b1"}


def test_limit_adapts_to_load_reports(weighted):
    fill_limit(weighted)
    weighted.offer(req=make_request(1), now_s=0.0)
    weighted.slots(slots=100, running=50, queued=0, now_s=1.0)
    assert weighted.limit > 4
    grown = weighted.limit
    weighted.slots(slots=100, running=100, queued=80, now_s=2.0)
    assert 0.7 * grown - 1e-9 <= weighted.limit < grown
    for _ in range(100):
        weighted.slots(slots=100, running=100, queued=80, now_s=3.0)
    assert weighted.limit == 1.0
    weighted.slots(slots=32.0, now_s=4.0)
    assert weighted.limit == 32.0


def test_retry_budget_limits_retries_to_a_share_of_requests():
    budget = RetryBudget(share=0.1, reserve=3.0)
    assert [budget.take() for _ in range(4)] == [True, True, True, False]
    for _ in range(100):
        budget.count_request()
    assert [budget.take() for _ in range(4)] == [True, True, True, False]


def test_hedges_only_repeatable_requests_within_the_budget():
    hedge = HedgePolicy(budget=RetryBudget(reserve=1.0), percentile=95.0)
    assert hedge.plan(repeatable=True) is None
    for number in range(100):
        hedge.record_first_token_delay(delay_s=number / 100)
    assert hedge.plan(repeatable=False) is None
    assert hedge.plan(repeatable=True).after_s == pytest.approx(0.94, abs=0.01)
    assert hedge.take_budget() and not hedge.take_budget()


def test_due_shares_are_weighted_max_min_fair():
    assert weighted_fair_shares(demand=[10, 1, 10], shares=[1, 1, 2], capacity=10) == [
        3,
        1,
        6,
    ]
    assert weighted_fair_shares(demand=[1, 2], shares=[1, 1], capacity=10) == [1, 2]
