"""Which entries of a crowd read the store: few, others when these fall silent."""

import pytest

from citronpin.basics.ids import EntryId
from citronpin.gateway.relays import (
    FORWARDERS,
    MESH_ENTRIES,
    RELAYS,
    SILENCE_S,
    STAGGER_S,
    RelayRole,
    rank,
)

NAMES = sorted((EntryId(f"entry-{n}") for n in range(MESH_ENTRIES + 8)), key=rank)


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
    role.update(others=NAMES[: MESH_ENTRIES - 1], store_lost=False, now_s=0.0)
    assert role.serving and not role.forwarding


def test_an_entry_steps_back_when_enough_better_ones_are_heard():
    assert role_of(RELAYS - 1, heard=NAMES).serving
    assert not role_of(RELAYS, heard=NAMES).serving
    assert role_of(RELAYS, heard=NAMES[1:]).serving


def test_the_first_relays_pass_records_on():
    forwarding = [role_of(place, heard=NAMES).forwarding for place in range(len(NAMES))]
    assert forwarding == [True] * FORWARDERS + [False] * (len(NAMES) - FORWARDERS)


def test_a_relay_that_lost_the_store_does_not_step_back():
    role = role_of(RELAYS)
    for entry in NAMES[:RELAYS]:
        role.heard(entry, now_s=0.1)
    update(role, RELAYS, 0.1, lost=True)
    assert role.serving
    update(role, RELAYS, 0.2)
    assert not role.serving


@pytest.mark.parametrize("place, rounds", [(RELAYS, 1), (2 * RELAYS + 1, 2)])
def test_those_of_higher_rank_wait_for_those_before(place, rounds):
    role = role_of(place, heard=NAMES)
    silent_s = SILENCE_S + 0.01
    update(role, place, silent_s)
    update(role, place, silent_s + rounds * STAGGER_S - 0.05)
    assert not role.serving
    update(role, place, silent_s + rounds * STAGGER_S + 0.05)
    assert role.serving
