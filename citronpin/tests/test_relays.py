"""Which entries of a crowd read the store: few, others when these fall silent."""

import pytest

from citronpin.basics.ids import EntryId
from citronpin.gateway.relays import (
    FORWARDER_COUNT,
    MAX_MESH_ENTRIES,
    RELAY_COUNT,
    RELAY_TIMEOUT_S,
    TAKEOVER_STAGGER_S,
    RelayRole,
    relay_rank,
)

NAMES = sorted(
    (EntryId(f"entry-{n}") for n in range(MAX_MESH_ENTRIES + 8)), key=relay_rank
)


def role_of(place, *, heard=()):
    """Return the role of the entry at a place of the ranks, at the time 0."""
    role = RelayRole(name=NAMES[place])
    for entry in heard:
        role.heard(entry, now_s=0.0)
    update(role, place, 0.0)
    return role


def update(role, place, now_s, lost=False):
    others = [name for name in NAMES if name != NAMES[place]]
    role.update(others=others, store_lost=lost, now_s=now_s)


def test_few_entries_all_read():
    role = RelayRole(name=NAMES[-1])
    for entry in NAMES:
        role.heard(entry, now_s=0.0)
    role.update(others=NAMES[: MAX_MESH_ENTRIES - 1], store_lost=False, now_s=0.0)
    assert role.is_relay and not role.forwarding


def test_an_entry_steps_back_when_enough_better_ones_are_heard():
    assert role_of(RELAY_COUNT - 1, heard=NAMES).is_relay
    assert not role_of(RELAY_COUNT, heard=NAMES).is_relay
    assert role_of(RELAY_COUNT, heard=NAMES[1:]).is_relay


def test_the_first_relays_pass_records_on():
    forwarding = [role_of(place, heard=NAMES).forwarding for place in range(len(NAMES))]
    assert forwarding == [True] * FORWARDER_COUNT + [False] * (
        len(NAMES) - FORWARDER_COUNT
    )


def test_a_relay_that_lost_the_store_does_not_step_back():
    role = role_of(RELAY_COUNT)
    for entry in NAMES[:RELAY_COUNT]:
        role.heard(entry, now_s=0.1)
    update(role, RELAY_COUNT, 0.1, lost=True)
    assert role.is_relay
    update(role, RELAY_COUNT, 0.2)
    assert not role.is_relay


@pytest.mark.parametrize("place, rounds", [(RELAY_COUNT, 1), (2 * RELAY_COUNT + 1, 2)])
def test_those_of_higher_rank_wait_for_those_before(place, rounds):
    role = role_of(place, heard=NAMES)
    silent_s = RELAY_TIMEOUT_S + 0.01
    update(role, place, silent_s)
    update(role, place, silent_s + rounds * TAKEOVER_STAGGER_S - 0.05)
    assert not role.is_relay
    update(role, place, silent_s + rounds * TAKEOVER_STAGGER_S + 0.05)
    assert role.is_relay
