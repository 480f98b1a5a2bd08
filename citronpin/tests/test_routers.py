"""Tests of the route policies and of their estimates of prefix caches."""

import numpy
import pytest

from citronpin.backends.engines import CacheEvent, EngineStatus
from citronpin.policy.affinities import AffinityRoute, Popularity
from citronpin.policy.prefixes import CacheView, prefix_blocks
from citronpin.policy.routers import ROUTERS, RouteCandidate, RouteRequest

GROUPS = tuple(RouteCandidate(group=f"g{number}", slots=8) for number in range(8))
BLOCKS = tuple(f"b{number}" for number in range(8))


def make_request(number=1, blocks=BLOCKS):
    return RouteRequest(
        request=str(number), customer="c", deployment="d", blocks=blocks
    )


@pytest.fixture
def router():
    return AffinityRoute(rng=numpy.random.default_rng(1))


def report_load(router, group, running, now_s, age_ms=0, rate=None):
    status = EngineStatus(
        instance="i",
        boot="1",
        running=running,
        load_age_ms=age_ms,
        tokens_per_s=running * 25.0 if rate is None else rate,
    )
    router.record_load_report(group=group, status=status, now_s=now_s)


@pytest.mark.parametrize("name", sorted(ROUTERS))
def test_every_policy_chooses_a_candidate_or_none(name):
    policy = ROUTERS[name](rng=numpy.random.default_rng(1))
    assert policy.choose(req=make_request(), groups=(), now_s=0.0) is None
    for number in range(20):
        req = make_request(number, BLOCKS[:number])
        group = policy.choose(req=req, groups=GROUPS[2:5], now_s=0.0)
        assert group in {"g2", "g3", "g4"}
        policy.started(group=group, req=req, now_s=0.0)
        assert policy.in_flight(group) >= 1
        policy.ended(group=group, req=req, now_s=1.0, failed=True)
        assert policy.in_flight(group) == 0


def test_prefix_blocks_are_equal_exactly_for_equal_text():
    shared = [{"role": "system", "content": "x" * 700}]
    first = prefix_blocks([*shared, {"role": "user", "content": "y" * 600}])
    second = prefix_blocks([*shared, {"role": "user", "content": "z" * 600}])
    assert len(first) == len(second) > 4
    assert first[:2] == second[:2] and not set(first[3:]) & set(second[3:])


def test_cache_view_weights_down_after_an_event_gap_and_applies_evictions():
    view = CacheView(capacity=3)
    view.apply([CacheEvent(1, "a", True), CacheEvent(2, "b", True)])
    assert view.count_expected(("a", "b", "c")) == 2 and not view.has_event_gap
    view.apply([CacheEvent(5, "c", True), CacheEvent(1, "a", False)])
    assert view.has_event_gap and view.sequence == 5
    assert view.count_expected(("a", "b", "c")) == 1.5
    view.apply([CacheEvent(6, "a", False)])
    assert view.count_held(("a", "b")) == 0
    view.touch(("d", "e", "f"))
    assert view.count_held(("b",)) == 0 and view.count_held(("d", "e", "f")) == 3


def test_affinity_follows_the_cache_until_its_group_is_overloaded(router):
    for candidate in GROUPS:
        report_load(router, candidate.group, 4, 0.0)
    events = [CacheEvent(n + 1, block, True) for n, block in enumerate(BLOCKS)]
    router.cache_events(group="g3", events=events, now_s=0.0)
    assert router.choose(req=make_request(), groups=GROUPS, now_s=0.1) == "g3"
    report_load(router, "g3", 40, 0.2)
    assert router.choose(req=make_request(), groups=GROUPS, now_s=0.3) != "g3"


def test_affinity_counts_requests_sent_since_a_lagging_report(router):
    for candidate in GROUPS:
        report_load(router, candidate.group, 4, 10.0)
    for number in range(12):
        router.started(group="g3", req=make_request(number), now_s=10.1)
    report_load(router, "g3", 4, 10.2, age_ms=500)
    assert router.choose(req=make_request(), groups=GROUPS, now_s=10.3) != "g3"


def test_affinity_avoids_a_straggler_and_drops_the_state_of_a_repaired_group(router):
    for candidate in GROUPS:
        rate = 40.0 if candidate.group == "g3" else 100.0
        report_load(router, candidate.group, 4, 0.0, rate=rate)
    events = [CacheEvent(n + 1, block, True) for n, block in enumerate(BLOCKS)]
    for group in ("g3", "g5"):
        router.cache_events(group=group, events=events, now_s=0.0)
    chosen = {
        router.choose(req=make_request(n), groups=GROUPS, now_s=0.1) for n in range(20)
    }
    assert chosen == {"g5"}
    router.forget_group(group="g5")
    router.forget_group(group="g3")
    chosen = {
        router.choose(req=make_request(n, ()), groups=GROUPS, now_s=2.0)
        for n in range(40)
    }
    assert len(chosen) > 2


def test_independent_routers_agree_on_homes_without_herding():
    routers = [AffinityRoute(rng=numpy.random.default_rng(n)) for n in range(100)]
    for router in routers:
        for candidate in GROUPS:
            report_load(router, candidate.group, 4, 0.0)
    chosen = [
        router.choose(req=make_request(), groups=GROUPS, now_s=0.1)
        for router in routers
    ]
    assert max(chosen.count(group) for group in set(chosen)) > 50
    for router in routers:
        report_load(router, "g7", 0, 0.2)
    without_prefix = [
        router.choose(req=make_request(n, ()), groups=GROUPS, now_s=0.3)
        for n, router in enumerate(routers)
    ]
    assert without_prefix.count("g7") < 60


def test_popularity_halves_counts_and_removes_small_ones():
    popularity = Popularity()
    for number in range(popularity.HALF_LIFE):
        popularity.add("hot")
        popularity.add(f"once{number}")
        popularity.count_request()
    assert popularity.add("hot") == pytest.approx(1.0, abs=0.01)
    assert len(popularity._counts) <= popularity.HALF_LIFE + 1
