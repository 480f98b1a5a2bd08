"""Tests that the entries of lowest rank become relays and are replaced when silent."""

import pytest

from citronpin.basics.ids import EntryId
from citronpin.gateway.relays import (
    FORWARDER_COUNT,
    LEASE_SETTLING_S,
    MAX_MESH_ENTRIES,
    RELAY_CORES,
    RELAY_COUNT,
    RELAY_LINK_MBPS,
    RELAY_TIMEOUT_S,
    TAKEOVER_STAGGER_S,
    MachineCapacity,
    RelayRole,
    relay_rank,
)

UPDATE_INTERVAL_S = 0.15
NAMES_BY_RANK = sorted(
    (EntryId(f"entry-{n}") for n in range(MAX_MESH_ENTRIES + 8)), key=relay_rank
)


def role_of(position, *, relays=()):
    """Return the role of the entry at a position in the rank order, at time 0."""
    role = RelayRole(name=NAMES_BY_RANK[position])
    for entry in relays:
        role.record_relay_update(entry, now_s=0.0)
    update(role, position, 0.0)
    return role


def update(role, position, now_s, store_lost=False):
    others = [name for name in NAMES_BY_RANK if name != NAMES_BY_RANK[position]]
    role.update(others=others, store_lost=store_lost, now_s=now_s)


def test_all_entries_of_a_full_mesh_are_relays():
    role = RelayRole(name=NAMES_BY_RANK[-1])
    for entry in NAMES_BY_RANK:
        role.record_relay_update(entry, now_s=0.0)
    role.update(
        others=NAMES_BY_RANK[: MAX_MESH_ENTRIES - 1], store_lost=False, now_s=0.0
    )
    assert role.is_relay and not role.is_forwarding


def test_an_entry_resigns_when_it_hears_enough_relays_of_lower_rank():
    assert role_of(RELAY_COUNT - 1, relays=NAMES_BY_RANK).is_relay
    assert not role_of(RELAY_COUNT, relays=NAMES_BY_RANK).is_relay
    assert role_of(RELAY_COUNT, relays=NAMES_BY_RANK[1:]).is_relay


def test_only_relays_of_lowest_rank_forward_records():
    forwarding = [
        role_of(position, relays=NAMES_BY_RANK).is_forwarding
        for position in range(len(NAMES_BY_RANK))
    ]
    assert forwarding == [True] * FORWARDER_COUNT + [False] * (
        len(NAMES_BY_RANK) - FORWARDER_COUNT
    )


def test_a_relay_that_lost_the_store_does_not_resign():
    role = role_of(RELAY_COUNT)
    for entry in NAMES_BY_RANK[:RELAY_COUNT]:
        role.record_relay_update(entry, now_s=0.1)
    update(role, RELAY_COUNT, 0.1, store_lost=True)
    assert role.is_relay
    update(role, RELAY_COUNT, 0.2)
    assert not role.is_relay


@pytest.mark.parametrize(
    "position, stagger_count", [(RELAY_COUNT, 1), (2 * RELAY_COUNT + 1, 2)]
)
def test_takeovers_are_staggered_by_rank(position, stagger_count):
    role = role_of(position, relays=NAMES_BY_RANK)
    silent_s = RELAY_TIMEOUT_S + 0.01
    update(role, position, silent_s)
    update(role, position, silent_s + stagger_count * TAKEOVER_STAGGER_S - 0.05)
    assert not role.is_relay
    update(role, position, silent_s + stagger_count * TAKEOVER_STAGGER_S + 0.05)
    assert role.is_relay


def test_entries_that_start_in_a_crowd_are_no_relays_until_they_hear_too_few():
    # All 90 entries of a deployment joined the reader group, and each read the store.
    roles = [RelayRole(name=name) for name in NAMES_BY_RANK]
    for role in roles:
        others = [name for name in NAMES_BY_RANK if name != role.name]
        role.begin(others=others, store_lost=False)
        role.update(others=others, store_lost=False, now_s=0.0)
    assert [role.is_relay for role in roles] == [True] * RELAY_COUNT + [False] * (
        len(roles) - RELAY_COUNT
    )
    update(roles[RELAY_COUNT], RELAY_COUNT, TAKEOVER_STAGGER_S + 0.05)
    assert roles[RELAY_COUNT].is_relay


def test_a_relay_without_the_store_stays_one_when_a_crowd_begins():
    role = RelayRole(name=NAMES_BY_RANK[-1])
    role.begin(others=NAMES_BY_RANK[:-1], store_lost=True)
    assert role.is_relay


SMALL = MachineCapacity(cores=0.5, link_mbps=10.0)
LARGE = MachineCapacity(cores=2.0, link_mbps=100.0)


def role_with_machines(name, large):
    return RelayRole(
        name=name, capacity_of=lambda entry: LARGE if entry in large else SMALL
    )


# Guards against relays on machines whose link or processor their work fills.
def test_entries_on_larger_machines_are_relays_before_others():
    large = set(NAMES_BY_RANK[-RELAY_COUNT:])
    roles = [role_with_machines(name, large) for name in NAMES_BY_RANK]
    for role in roles:
        others = [name for name in NAMES_BY_RANK if name != role.name]
        role.begin(others=others, store_lost=False)
    assert {role.name for role in roles if role.is_relay} == large


def test_machines_that_are_large_enough_or_unknown_count_alike():
    enough = [
        MachineCapacity(),
        MachineCapacity(cores=RELAY_CORES),
        MachineCapacity(cores=4 * RELAY_CORES, link_mbps=2 * RELAY_LINK_MBPS),
    ]
    assert {one.relay_share for one in enough} == {1.0}
    assert SMALL.relay_share == pytest.approx(10.0 / RELAY_LINK_MBPS)


def hear_until_relay(role, entries, *, now_s):
    """Let a role hear relays until it takes over, and return the time of that."""
    while not role.is_relay:
        now_s += UPDATE_INTERVAL_S
        for entry in entries:
            role.record_relay_update(entry, now_s=now_s)
        update(role, RELAY_COUNT, now_s)
    return now_s


def role_beside_relays():
    """Return a role that has heard enough relays for a while, and the time."""
    role, now_s = role_of(RELAY_COUNT, relays=NAMES_BY_RANK[:RELAY_COUNT]), 0.0
    while now_s < 2 * LEASE_SETTLING_S:
        now_s += UPDATE_INTERVAL_S
        for entry in NAMES_BY_RANK[:RELAY_COUNT]:
            role.record_relay_update(entry, now_s=now_s)
        update(role, RELAY_COUNT, now_s)
    assert not role.is_relay
    return role, now_s


# Guards against leases that move each time an update of a relay comes late.
def test_a_relay_that_takes_over_beside_others_requests_leases_later():
    role, now_s = role_beside_relays()
    heard = NAMES_BY_RANK[:3]
    now_s = end_s = hear_until_relay(role, heard, now_s=now_s)
    assert not role.may_hold_leases
    while now_s < end_s + LEASE_SETTLING_S:
        now_s += UPDATE_INTERVAL_S
        for entry in heard:
            role.record_relay_update(entry, now_s=now_s)
        update(role, RELAY_COUNT, now_s)
    assert role.is_relay and role.may_hold_leases


@pytest.mark.parametrize("heard", [0, 1])
def test_a_relay_that_takes_over_from_most_requests_leases_at_once(heard):
    role, now_s = role_beside_relays()
    hear_until_relay(role, NAMES_BY_RANK[:heard], now_s=now_s)
    assert role.may_hold_leases


def test_relays_that_take_over_together_request_leases_at_once():
    # Others that became relays a moment ago may hold no lease themselves.
    role, now_s = role_beside_relays()
    now_s += RELAY_TIMEOUT_S + 0.01
    update(role, RELAY_COUNT, now_s)
    hear_until_relay(role, NAMES_BY_RANK[:3], now_s=now_s)
    assert role.may_hold_leases


# Guards against leases that move to and fro while lost relays come back.
def test_a_relay_that_has_requested_leases_keeps_them_while_it_is_one():
    role, now_s = role_beside_relays()
    silent_at_s = now_s + RELAY_TIMEOUT_S
    while now_s < silent_at_s:
        now_s += UPDATE_INTERVAL_S
        role.record_relay_update(NAMES_BY_RANK[0], now_s=now_s)
        update(role, RELAY_COUNT, now_s)
    # Another one comes back a moment before this entry takes over, and settles first.
    heard = NAMES_BY_RANK[:2]
    now_s = end_s = hear_until_relay(role, heard, now_s=now_s)
    assert role.may_hold_leases
    while now_s < end_s + LEASE_SETTLING_S:
        now_s += UPDATE_INTERVAL_S
        for entry in heard:
            role.record_relay_update(entry, now_s=now_s)
        update(role, RELAY_COUNT, now_s)
        assert role.is_relay and role.may_hold_leases
