"""A failure domain is lost with its entries and instances, and returns."""

from collections import Counter

import pytest

from citronpin.platform.leases import LEASE_TTL_S, RENEWAL_INTERVAL_S
from citronpin.tests.platforms.cuts import Cut
from citronpin.tests.platforms.lost_domains import (
    ENTRIES,
    LOST,
    REQUESTS_PER_S,
    LostDomainCrowd,
    LostDomainWorld,
)

# Bounds of docs/design/hard-load.md, part 7.
MAX_CONNECTIONS = 4  # to a lost instance, from its first failed connection on
MEASURED_S = 2.0
MAX_CALLS_RATIO = 2.0  # of the calls to the store in calm conditions
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 30, 10.0
LEASES_HELD_S = LEASE_TTL_S + 2 * RENEWAL_INTERVAL_S
DETECTED_S = 2.5  # by then a lost instance counts as dead
RETURN_S = 8.0
OUTAGE_S = 5.0
LOADS_PER_S = 5.0  # of the configuration
LOADS_WINDOW_S = 5.0


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("how", [Cut.HANG, Cut.RESET])
@pytest.mark.parametrize("entries", [9, ENTRIES])
def test_few_connections_are_opened_to_lost_instances(paused_clock, entries, how, seed):
    # Each entry found out by itself: up to 40 connections to one instance.
    world = serve_while_lost(paused_clock, entries, how, seed)
    assert most_connections(world, world.failed_s) <= MAX_CONNECTIONS


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "how", [pytest.param(Cut.HANG, marks=pytest.mark.known_red), Cut.RESET]
)
def test_few_connections_are_opened_after_the_first_failure_of_any_instance(
    paused_clock, how, seed
):
    # Those to an instance that no entry has found unreachable yet count too.
    world = serve_while_lost(paused_clock, ENTRIES, how, seed)
    first_s = min(world.failed_s.values())
    assert most_connections(world, dict.fromkeys(world.failed_s, first_s)) <= (
        MAX_CONNECTIONS
    )


def serve_while_lost(clock, entries, how, seed):
    world = LostDomainWorld(clock=clock, entries=entries, seed=seed)
    world.serve(2.0, per_s=REQUESTS_PER_S)
    world.lose(how)
    world.serve(MEASURED_S + 1.0, per_s=REQUESTS_PER_S)
    return world


def most_connections(world, since_s):
    """Return the most connections to an instance in `MEASURED_S` from its time on."""
    counts = Counter(
        name
        for at_s, name in world.connections()
        if since_s[name] <= at_s < since_s[name] + MEASURED_S
    )
    print(sorted(counts.values()))
    return max(counts.values())


@pytest.mark.parametrize("how", [Cut.HANG, Cut.RESET])
def test_retries_stay_within_their_budget_and_unsafe_requests_run_once(
    paused_clock, how
):
    # All answers of a third of the instances break off at once.
    world = LostDomainWorld(clock=paused_clock)
    world.share_retries(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S)
    world.serve(2.0, per_s=REQUESTS_PER_S)
    world.lose(how)
    world.serve(4.0, per_s=REQUESTS_PER_S)
    world.give_back()
    world.serve(4.0, per_s=REQUESTS_PER_S)
    retries = Counter()
    for name, runs in world.runs.items():
        retries[name.partition("-")[0]] += runs - 1
    requests = Counter(name.partition("-")[0] for name in world.runs)
    print(retries, requests)
    assert retries["swap"] == 0
    assert retries["stream"] <= RETRY_RATIO * requests["stream"] + RETRY_SLACK
    assert retries["read"] <= RETRY_RATIO * requests["read"] + RETRY_SLACK


@pytest.fixture
def crowd(paused_clock, tmp_path):
    return LostDomainCrowd(clock=paused_clock, settings_path=tmp_path / "settings")


def check_safe(crowd):
    """Check the rules that hold at every moment."""
    assert not crowd.faults and not crowd.instances.violations


def check_lost(crowd, since_s):
    """Check what has become of a lost domain after `LEASES_HELD_S`."""
    lost = {instance.name for instance in crowd.lost}
    for domain in {x.domain for x in crowd.instances.instances.values()}:
        holders = [x.name for x in crowd.others() if x.holds(domain)]
        assert len(holders) == 1, f"{domain} is held by {holders}"
    assert not lost & crowd.joins_of(crowd.others(), since_s + DETECTED_S)
    check_safe(crowd)


def check_returned(crowd, groups):
    """Check that groups are as they were, and that no member loaded its model again."""
    after = crowd.whole_groups()
    torn = [name for name in groups if name not in after]
    assert not torn, f"{len(torn)} of {len(groups)} groups are torn"
    check_safe(crowd)


@pytest.mark.parametrize("kill_entries", [True, False])
@pytest.mark.parametrize("lost_s", [LEASES_HELD_S, 6.0])
def test_a_domain_returns_as_it_was(crowd, lost_s, kill_entries):
    # Members return one after the other, and 8 of 21 groups were torn. The holders of
    # leases of the domain are lost with it, or keep running and are cut off.
    began_s = crowd.clock.now()
    groups = crowd.groups_in(LOST)
    holders = [x for x in crowd.alive() if any(map(x.holds, crowd.domains_in(LOST)))]
    crowd.lose(kill_entries=kill_entries)
    assert set(holders) & set(crowd.gone)
    crowd.advance(lost_s)
    check_lost(crowd, began_s)
    cold_joins = len(crowd.instances.cold_joins)
    crowd.give_back()
    crowd.advance(RETURN_S)
    check_returned(crowd, groups)
    assert not crowd.instances.cold_joins[cold_joins:]


def test_few_calls_are_made_to_the_store_at_the_return(crowd):
    # A relay that started again, and many registrations at once, made all entries read
    # two topics at once: 55 calls in a second in place of 22.
    staying = [x for x in crowd.alive() if x.node.cfg.failure_domain != LOST]
    began_s = crowd.clock.now()
    crowd.advance(5.0)
    calm = crowd.most_calls(staying, began_s)
    crowd.lose()
    crowd.advance(6.0)
    returned_s = crowd.clock.now()
    crowd.give_back()
    crowd.advance(RETURN_S)
    found = crowd.most_calls(staying, returned_s)
    print(f"calm {calm}, at the return {found}")
    assert found <= MAX_CALLS_RATIO * calm


def test_loads_at_the_return_are_bounded(crowd):
    # Instances that started again hold no group.
    before = len(crowd.instances.loads)
    crowd.lose(kill_instances=True)
    crowd.advance(6.0)
    crowd.give_back()
    crowd.advance(20.0)
    check_safe(crowd)
    starts = crowd.instances.loads[before:]
    for begin_s in starts:
        within = [x for x in starts if begin_s <= x < begin_s + LOADS_WINDOW_S]
        assert len(within) <= LOADS_PER_S * LOADS_WINDOW_S


@pytest.mark.parametrize("fault", ["down", "silent"])
def test_the_store_is_unavailable_at_the_return(crowd, fault):
    groups = crowd.groups_in(LOST)
    lost_s = crowd.clock.now()
    crowd.lose()
    crowd.advance(6.0)
    check_lost(crowd, lost_s)
    return_without_store(crowd, fault)
    check_returned(crowd, groups)


@pytest.mark.known_red
@pytest.mark.parametrize("fault", ["down", "silent"])
def test_few_calls_are_made_to_a_store_that_is_unavailable_at_the_return(crowd, fault):
    # Each entry tried each topic four times a second: 195 calls in place of 24.
    staying = [x for x in crowd.alive() if x.node.cfg.failure_domain != LOST]
    began_s = crowd.clock.now()
    crowd.advance(5.0)
    calm = crowd.most_calls(staying, began_s)
    crowd.lose()
    crowd.advance(6.0)
    returned_s = crowd.clock.now()
    return_without_store(crowd, fault)
    found = crowd.most_calls(staying, returned_s)
    print(f"calm {calm}, at the return {found}")
    assert found <= MAX_CALLS_RATIO * calm


def return_without_store(crowd, fault):
    setattr(crowd.store, fault, True)
    crowd.give_back()
    crowd.advance(OUTAGE_S)
    setattr(crowd.store, fault, False)
    crowd.advance(RETURN_S)


@pytest.mark.parametrize("back_s", [0.6, 1.5, 3.0])
def test_a_domain_is_lost_again_while_it_returns(crowd, back_s):
    groups = crowd.groups_in(LOST)
    crowd.lose(kill_entries=False)
    crowd.advance(6.0)
    crowd.give_back()
    crowd.advance(back_s)
    lost_s = crowd.clock.now()
    crowd.lose(kill_entries=False)
    crowd.advance(4.0)
    check_lost(crowd, lost_s)
    crowd.give_back()
    crowd.advance(RETURN_S)
    check_returned(crowd, groups)
