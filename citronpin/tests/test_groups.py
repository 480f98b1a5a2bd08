"""Tests of leases, orders, read-backs, drains and rollouts with single faults."""

import pytest

from citronpin.backends.memory_engines import MemoryStream
from citronpin.basics.events import EventKind
from citronpin.basics.ids import CONFIG_STREAM, control_stream
from citronpin.control.drains import drain_deadline_s
from citronpin.control.leases import MAX_HEAD_AGE_S, rank_candidates
from citronpin.control.orders import ORDER_TTL_S
from citronpin.control.rollouts import min_serving_groups
from citronpin.policy.detectors import TimeoutDetector
from citronpin.policy.plans import Detector, Health, Wait
from citronpin.policy.repairs import ImmediateRepair
from citronpin.state.instances import InstanceState
from citronpin.state.manifests import Customer, CustomersManifest
from citronpin.state.records import GroupMove, LeaseClaim
from citronpin.state.states import GroupState
from citronpin.tests.builders import deployment
from citronpin.tests.worlds import World

STREAM = control_stream("a")


@pytest.fixture
def world():
    """Return a fabric domain with three serving groups and two free engines."""
    world = World({"a": 8})
    world.advance(16.0)
    assert len(world.groups_of(GroupState.SERVING)) == 3
    return world


def holder_of(world):
    return world.entries[world.truth[STREAM].lease.holder]


def state_changes(world, group):
    """Return the state changes of a group in the time lines, in order."""
    events = [e for entry in world.entries.values() for e in entry.recorder.since()]
    return [
        event.detail
        for event in sorted(events, key=lambda event: event.wall_ms)
        if event.kind is EventKind.GROUP_STATE and event.group == group
    ]


def test_successor_is_first_in_rank_and_keeps_the_groups(world):
    before = world.truth[STREAM]
    holder = holder_of(world)
    world.fabric.kill(holder.name)
    world.advance(10.0)
    after = world.truth[STREAM]
    others = frozenset(world.entries) - {holder.name}
    assert after.lease.holder == rank_candidates(STREAM, others)[0]
    assert after.lease.fence > before.lease.fence
    assert after.groups == before.groups


def test_concurrent_claims_leave_one_holder(world):
    fence = world.truth[STREAM].lease.fence
    for entry in world.entries.values():
        entry.states.propose(STREAM, (LeaseClaim(supersedes=fence),))
    world.advance(2.0)
    fences = {e.control.domains["a"].lease.fence for e in world.entries.values()}
    assert fences == {None, world.truth[STREAM].lease.fence}


def test_superseded_holder_changes_nothing_after_a_pause(world):
    holder = holder_of(world)
    group = world.groups_of()[0]
    world.fabric.pause(holder.name)
    stale = GroupMove(
        fence=world.truth[STREAM].lease.fence,
        group=group.id,
        state=GroupState.BROKEN.value,
    )
    holder.states.propose(STREAM, (stale,))
    sent = holder.control.domains["a"].orders.sent
    world.engine(group.members[0]).restart()
    world.advance(20.0)
    records = world.truth[STREAM].offset
    world.fabric.resume(holder.name)
    world.advance(0.5)
    assert world.truth[STREAM].offset <= records + 1
    assert world.truth[STREAM].lease.holder != holder.name
    assert holder.control.domains["a"].orders.sent == sent
    assert world.groups_of()[0].state is GroupState.SERVING


def test_holder_without_the_log_gives_no_orders(world):
    holder = holder_of(world)
    holder.log.down = True
    world.advance(6.0)
    assert holder.control.domains["a"].lease.fence is None
    assert holder.control.domains["a"].lease.holds


def test_planned_stop_yields_the_lease_at_once(world):
    holder = holder_of(world)
    holder.control.leave()
    assert holder.control.domains["a"].lease.fence is None
    world.advance(2.0)
    assert holder.control.holds_no_lease()
    assert world.truth[STREAM].lease.holder not in ("", holder.name)


def test_restarted_holder_claims_a_new_lease(world):
    fence = world.truth[STREAM].lease.fence
    holder = holder_of(world)
    world.fabric.kill(holder.name)
    world.fabric.boot(holder.name)
    world.advance(3.0)
    assert world.truth[STREAM].lease.holder == holder.name
    assert world.truth[STREAM].lease.fence > fence


def test_engine_that_ignores_fences_is_quarantined_after_a_takeover():
    world = World({"a": 6})
    world.advance(20.0)
    group = next(g for g in world.groups_of() if "a2" in g.members)
    world.fabric.kill(holder_of(world).name)
    for member in group.members:
        world.engine(member).restart()
    world.advance(8.0)
    facts = holder_of(world).control.domains["a"].facts
    assert world.now - facts.lease_since_s < 4.0
    while world.truth[STREAM].groups[group.id].state is not GroupState.SERVING:
        world.advance(0.5)
    assert world.now - facts.lease_since_s > MAX_HEAD_AGE_S + ORDER_TTL_S


def test_read_back_mismatch_takes_a_group_out_of_service(world):
    group = world.groups_of()[0]
    engine = world.engine(group.members[1])
    engine._set_group(group="other", fence=group.fence, members=("x",))
    world.fabric.advance(3.0)
    assert "holds other" in " ".join(state_changes(world, group.id))


def test_watcher_report_breaks_a_group_before_the_next_poll(world):
    group = world.groups_of()[0]
    world.engine(group.members[1]).restart()
    for entry in world.entries.values():
        entry.control.poll_group(group.id)
    world.fabric.advance(0.2)
    assert world.truth[STREAM].groups[group.id].state is GroupState.BROKEN


def test_leaving_instance_drains_its_group_and_is_replaced(world):
    group = world.groups_of()[0]
    lead = world.engine(group.members[0])
    cuts = []
    lead.running_streams.append(MemoryStream(world.now + 25.0, cuts.append))
    world.list(group.members[1], InstanceState.LEAVING)
    world.advance(24.0)
    assert world.truth[STREAM].groups[group.id].state is GroupState.DRAINING
    world.advance(20.0)
    after = world.truth[STREAM].groups[group.id]
    assert after.state is GroupState.SERVING
    assert group.members[1] not in after.members
    assert not cuts


def test_drain_deadline_exceeds_every_request_deadline():
    customer = Customer(name="c", key_digests=(), deadline_s=300.0)
    known = CustomersManifest(name="all", customers=(customer,))
    assert drain_deadline_s([known]) > 300.0
    assert drain_deadline_s([]) > 60.0


def test_group_recovers_when_a_member_restarts_during_a_drain(world):
    world.publish()
    world.advance(9.0)
    group = next(iter(world.groups_of(GroupState.DRAINING)))
    world.engine(group.members[1]).restart()
    world.check_live(60.0)


def test_newer_manifest_stops_a_rollout(world):
    world.publish()
    world.advance(14.0)
    assert world.groups_of(GroupState.RELOADING) or world.groups_of(GroupState.FORMING)
    world.publish()
    world.check_live(90.0)
    versions = {
        event
        for entry in world.entries.values()
        for event in entry.recorder.since()
        if event.kind is EventKind.ROLLOUT and event.detail == "reload: m 2"
    }
    assert len(versions) < 3


def test_rollout_is_resumed_by_the_next_holder(world):
    world.publish()
    world.advance(12.0)
    holder = holder_of(world)
    world.fabric.kill(holder.name)
    world.checks_min_serving = True
    world.advance(80.0)
    serving = world.groups_of(GroupState.SERVING)
    assert [g.version for g in serving] == [world.wanted_version] * 3


def test_rollout_of_a_version_that_never_loads_keeps_the_minimum_serving(world):
    world.checks_min_serving = True
    for engine in world.fabric.engines.values():
        engine._load_s = 1e6
    world.publish()
    world.advance(120.0)


def test_failed_load_is_repeated_after_a_delay(world):
    orders = holder_of(world).control.domains["a"].orders
    for engine in world.fabric.engines.values():
        engine._load = lambda order: None
    world.publish()
    world.advance(14.0)
    before = orders.sent
    world.advance(30.0)
    assert before < orders.sent <= before + 2 * 3


@pytest.mark.parametrize(
    "groups, share, floor", [(60, 0.8, 48), (3, 0.8, 2), (1, 1.0, 0), (10, 0.0, 0)]
)
def test_min_serving_groups(groups, share, floor):
    assert min_serving_groups(deployment(groups=groups, min_serving=share)) == floor


def test_concurrent_loads_are_limited():
    world = World({"a": 24}, groups=12, load_s=5.0)
    most_loading = 0
    for _ in range(80):
        world.advance(0.5)
        engines = world.fabric.engines.values()
        most_loading = max(
            most_loading, sum(engine.stored_status.loading for engine in engines)
        )
    assert most_loading == 4
    assert len(world.groups_of(GroupState.SERVING)) == 12


def test_bar_is_lifted_once_the_instance_has_released_its_group(world):
    group = world.groups_of()[0]
    crashed = world.engine(group.members[0])
    crashed.crash()
    world.advance(10.0)
    assert crashed.row.id in world.truth[STREAM].barred
    crashed.up = True
    world.advance(10.0)
    assert crashed.row.id not in world.truth[STREAM].barred
    assert crashed.stored_status.group is None


def test_removed_deployment_is_drained_and_released(world):
    world.publish_removal()
    world.fabric.advance(40.0)
    assert not world.groups_of()
    assert {e.stored_status.group for e in world.fabric.engines.values()} == {None}


def test_groups_survive_rows_lost_from_the_membership_list(world):
    before = world.truth[STREAM].groups
    for name in list(world.rows)[:-1]:
        world.list(name)
    world.advance(20.0)
    assert world.truth[STREAM].groups == before


class DarkDetector(TimeoutDetector):
    """Reports dead engines as dark."""

    def health(self, *, instance, now_s):
        health, since_s = super().health(instance=instance, now_s=now_s)
        return (Health.DARK if health is Health.DEAD else health), since_s


class PatientRepair(ImmediateRepair):
    """Waits for dark members to return."""

    def plan(self, *, view, now_s):
        dark = {i.instance.id for i in view.instances if i.health is Health.DARK}
        if not dark:
            return super().plan(view=view, now_s=now_s)
        return tuple(Wait(g.id, now_s + 60.0, "dark") for g in view.groups)


def test_holder_that_alone_is_cut_off_yields_the_lease():
    assert issubclass(DarkDetector, Detector)
    world = World({"a": 8}, detector=DarkDetector, repair=PatientRepair())
    world.advance(16.0)
    before = world.truth[STREAM].groups
    holder = holder_of(world)
    holder.engines.cut_off = True
    world.advance(20.0)
    assert world.truth[STREAM].lease.holder not in ("", holder.name)
    assert world.truth[STREAM].groups == before


def test_unreachable_domain_causes_few_records():
    world = World({"a": 8}, detector=DarkDetector, repair=PatientRepair())
    world.advance(16.0)
    start = world.truth[STREAM].offset
    for engine in world.fabric.engines.values():
        engine.crash()
    world.advance(60.0)
    assert {g.state for g in world.groups_of()} == {GroupState.BROKEN}
    assert world.truth[STREAM].offset - start <= 12
    for engine in world.fabric.engines.values():
        engine.up = True
    world.advance(20.0)
    assert {g.state for g in world.groups_of()} == {GroupState.SERVING}
    assert world.truth[CONFIG_STREAM].offset == 0


def test_a_crashed_engine_runs_no_requests_after_a_pause(world):
    # Guards against an engine in memory that queues requests while it is down, and so
    # answers without a restart.
    engine = world.engine(world.groups_of()[0].members[0])
    requests = []
    engine.crash()
    engine.pause()
    engine.run_or_hold(lambda: requests.append("down"))
    engine.resume()
    engine.restart()
    engine.pause()
    engine.run_or_hold(engine.crash)
    engine.run_or_hold(lambda: requests.append("queued"))
    engine.resume()
    engine.restart()
    engine.run_or_hold(lambda: requests.append("up"))
    assert requests == ["up"]
