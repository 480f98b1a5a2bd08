"""Tests of the graded detector and weighted repair with the domain controllers."""

import pytest

from citronpin.basics.ids import control_stream
from citronpin.policy.detectors import GradedDetector
from citronpin.policy.weighted_repairs import WeightedRepair
from citronpin.state.states import GroupState
from citronpin.tests.worlds import World

STREAM = control_stream("a")


@pytest.fixture
def world():
    """Return a world with three serving groups of two engines and two free engines."""
    world = World({"a": 8}, detector=GradedDetector, repair=WeightedRepair())
    world.advance(30.0)
    assert len(world.groups_of(GroupState.SERVING)) == 3
    return world


def free_instances(world):
    assigned = world.truth[STREAM].assigned
    return [name for name in world.rows if name not in assigned]


def test_spares_preload_the_model(world):
    spares = free_instances(world)
    assert len(spares) == 2
    statuses = [world.engine(name).status() for name in spares]
    assert {(status.model, status.group) for status in statuses} == {("m", None)}


def test_dead_member_is_replaced_by_a_spare(world):
    before = world.groups_of(GroupState.SERVING)
    member = before[0].members[0]
    spares = set(free_instances(world))
    world.engine(member).crash()
    world.advance(60.0)
    after = {group.id: group for group in world.groups_of(GroupState.SERVING)}
    assert len(after) == 3
    assert member not in after[before[0].id].members
    assert set(after[before[0].id].members) & spares
    assert world.faults == []


def test_short_pause_replaces_no_member(world):
    before = {group.id: group.members for group in world.groups_of()}
    member = world.groups_of()[0].members[0]
    world.engine(member).pause()
    world.advance(2.0)
    world.engine(member).resume()
    world.advance(20.0)
    serving = world.groups_of(GroupState.SERVING)
    assert {group.id: group.members for group in serving} == before
    assert world.faults == []


def test_dark_domain_returns_with_its_groups(world):
    before = {group.id: group.members for group in world.groups_of()}
    for name in world.rows:
        world.engine(name).crash()
    world.advance(60.0)
    records = world.records
    world.advance(60.0)
    assert world.records - records < 20
    assert {group.id: group.members for group in world.groups_of()} == before
    for name in world.rows:
        world.engine(name).up = True
    world.advance(60.0)
    serving = world.groups_of(GroupState.SERVING)
    assert {group.id: group.members for group in serving} == before
    assert world.faults == []
