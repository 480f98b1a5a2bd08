"""Nothing more is sent to the instances of an evacuated failure domain.

Incident places1: 1,939 requests reached instances of a domain that was evacuated.
"""

import logging

import msgspec
import pytest

from citronpin.basics.errors import ConnectionLost
from citronpin.basics.ids import InstanceId
from citronpin.gateway.evacuations import MISSING_HOLD_S, Evacuations
from citronpin.gateway.fabrics import Pressures
from citronpin.gateway.instance_gates import Barrier
from citronpin.gateway.permits import Permits
from citronpin.gateway.planners import SparePlanner
from citronpin.platform.orders import REPORT_PATH
from citronpin.tests.platforms.evacuations import EVACUATE_S, ZONES, EvacuationWorld
from citronpin.tests.platforms.simulations import PlatformSimulation

SETTLE_S = 8.0


@pytest.fixture
def world(paused_clock):
    world = EvacuationWorld(clock=paused_clock, entries=3, replicas=12, books=6)
    world.serve(1.0)
    return world


def serve_evacuated(world, *zones, seconds=3.0):
    """Serve for a while, and check that nothing reaches the instances of ``zones``."""
    start_s = world.clock.now()
    replies = world.serve(seconds)
    for zone in zones:
        assert world.count_arrivals(zone, start_s) == 0, f"requests reached {zone}"
    return replies


def share_served(replies):
    ended = [reply for reply in replies if reply.ended]
    return sum(reply.status == 200 for reply in ended) / len(ended)


def test_an_evacuated_domain_gets_nothing_and_the_others_serve(world):
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    replies = serve_evacuated(world, "z0")
    assert share_served(replies) > 0.99
    world.revoke("z0")
    world.serve(EVACUATE_S)
    start_s = world.clock.now()
    world.serve(2.0)
    assert world.count_arrivals("z0", start_s) > 0, "it was not taken back"


def test_the_check_detects_entries_that_ignore_evacuations(world, monkeypatch):
    monkeypatch.setattr(Evacuations, "covers", lambda self, instance: False)
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    with pytest.raises(AssertionError, match="reached z0"):
        serve_evacuated(world, "z0")


def test_requests_in_progress_run_to_completion(world):
    replies = [world.send("a1") for _ in range(60)]
    sent = len(world.sent)
    world.clock.advance(0.2)
    assert any(one.running for one in world.in_zone("z0"))
    world.evacuate("z0")
    world.clock.advance(2.0)
    assert all(reply.status == 200 and reply.ended for reply in replies)
    assert not any(reply.aborted for reply in replies)
    assert len(world.sent) - sent == len(replies)


def test_an_entry_that_boots_sends_nothing_to_an_evacuated_domain(world):
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    entry = world.start_entry()
    world.clock.advance(0.05)  # it is ready once its feeds were read
    assert entry.evacuations.domains() == ["z0"]
    serve_evacuated(world, "z0")


def test_a_lost_store_lifts_no_evacuation(world):
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    world.platform_store.silent = True
    serve_evacuated(world, "z0", seconds=8.0)
    world.platform_store.silent = False
    serve_evacuated(world, "z0", seconds=3.0)


def test_an_entry_that_lost_the_store_learns_of_it_on_return(world):
    path = world.paths[world.entries[0]]
    path.is_cut = True
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    path.is_cut = False
    world.serve(EVACUATE_S)
    serve_evacuated(world, "z0")


def test_an_evacuation_revoked_while_the_store_was_lost_ends(world):
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    path = world.paths[world.entries[0]]
    path.is_cut = True
    world.clock.advance(1.0)
    world.revoke("z0")
    world.clock.advance(3.0)
    path.is_cut = False
    world.clock.advance(EVACUATE_S + MISSING_HOLD_S)
    assert not world.entries[0].evacuations.domains()


def test_a_dropped_history_lifts_no_evacuation(world):
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    path = world.paths[world.entries[0]]
    path.is_cut = True
    world.clock.advance(1.0)
    for number in range(5):
        world.platform_store.put("keyed.op", "other", b"%d" % number)
    world.platform_store.delete_records("keyed.op")
    path.is_cut = False
    serve_evacuated(world, "z0", seconds=4.0)


def test_an_older_copy_lifts_no_evacuation_that_is_written_again(world):
    world.clock.advance(1.0)
    world.evacuate("z0")
    world.serve(1.0)
    world.platform_store.go_back(1.5)
    serve_evacuated(world, "z0", seconds=2.5)
    world.evacuate("z0")
    serve_evacuated(world, "z0", seconds=5.0)


def test_an_older_copy_ends_an_evacuation_that_is_not_written_again(world):
    world.clock.advance(1.0)
    world.evacuate("z0")
    world.serve(1.0)
    world.platform_store.go_back(1.5)
    world.clock.advance(MISSING_HOLD_S + 2.0)
    assert not any(entry.evacuations.domains() for entry in world.entries)


def test_a_revocation_read_again_from_an_older_copy_lifts_no_evacuation(paused_clock):
    # The copy holds an earlier evacuation and its revocation, the loss a later one.
    evacuations = Evacuations(now=paused_clock.now)
    evacuations.evacuate("z0")
    evacuations.history_lost()
    evacuations.apply_snapshot({"z0"})
    evacuations.revoke("z0")
    assert evacuations.domains() == ["z0"]
    paused_clock.advance(MISSING_HOLD_S)
    assert not evacuations.domains()


def test_newest_records_that_lag_behind_lift_no_evacuation(world):
    world.platform_store.set_stale("keyed.op", True)
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    path = world.paths[world.entries[0]]
    path.is_cut = True
    world.clock.advance(4.0)
    path.is_cut = False  # it reads the newest records again, which lag behind
    serve_evacuated(world, "z0", seconds=6.0)


def test_two_domains_are_evacuated_at_once(world):
    world.evacuate("z0", "z1")
    world.serve(EVACUATE_S)
    replies = serve_evacuated(world, "z0", "z1")
    assert share_served(replies) > 0.9


def test_without_a_domain_left_requests_are_refused_at_once(world):
    world.evacuate(*ZONES)
    world.serve(EVACUATE_S)
    start_s = world.clock.now()
    replies = serve_evacuated(world, *ZONES, seconds=1.0)
    assert {reply.status for reply in replies} == {503}
    assert all(reply.outcome == "not-run" for reply in replies)
    assert all(0 < float(reply.headers["retry-after"]) <= 2.4 for reply in replies)
    late = world.send("a1")
    assert late.status == 503 and world.clock.now() - start_s < 1.1


def test_one_is_revoked_while_another_begins(world):
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    world.evacuate("z1")
    world.revoke("z0")
    world.serve(EVACUATE_S)
    start_s = world.clock.now()
    replies = serve_evacuated(world, "z1")
    assert world.count_arrivals("z0", start_s) > 0
    assert share_served(replies) > 0.99


def test_streams_resume_outside_an_evacuated_domain(world):
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    for replica in world.in_zone("z1")[:3]:
        replica.crashes_at_next_answer = True
    start_s = world.clock.now()
    replies = world.serve(1.0)
    for replica in world.in_zone("z1"):
        for exchange in list(replica.running):
            exchange.fail(ConnectionLost("cut"))
        replica.running.clear()
    world.clock.advance(2.0)
    assert world.count_arrivals("z0", start_s) == 0
    assert share_served(replies) > 0.9


def test_forwarded_requests_reach_no_evacuated_domain(world):
    world.evacuate("z0")
    world.serve(EVACUATE_S)
    entry = world.entries[0]
    entry.client.hanging = {known.address for known in entry.fleet.all()}
    serve_evacuated(world, "z0", seconds=4.0)
    assert any(world.hops.values()), "nothing was forwarded"


class HeldPermits(Permits):
    """Grants each permit only when it is told to."""

    def __init__(self):
        self.held = []

    def acquire(self, instance, done):
        self.held.append((instance, done))


def test_a_request_that_waited_for_a_permit_goes_elsewhere(world):
    entry = world.entries[0]
    permits = entry.context.permits
    entry.context.permits = held = HeldPermits()
    start_s = world.clock.now()
    replies = [entry.send("/look-up/1", "GET", b"") for _ in range(8)]
    entry.context.permits = permits
    assert any(instance.failure_domain == "z0" for instance, _ in held.held)
    entry.evacuations.evacuate("z0")
    for _, done in held.held:
        done(True)
    world.clock.advance(1.0)
    assert world.count_arrivals("z0", start_s) == 0
    assert all(reply.status == 200 for reply in replies)


def test_begin_and_end_are_logged_once(world, caplog):
    caplog.set_level(logging.WARNING)
    for _ in range(2):
        world.evacuate("z0")
        world.clock.advance(1.0)
    world.revoke("z0")
    world.clock.advance(1.0)
    assert not any(entry.evacuations.domains() for entry in world.entries)
    texts = [record.message for record in caplog.records]
    assert texts.count("failure domain evacuated") == len(world.entries)
    assert texts.count("failure domain taken back") == len(world.entries)


def test_a_key_without_a_domain_evacuates_nothing(world):
    world.evacuate("")
    world.clock.advance(1.0)
    assert not any(entry.evacuations.domains() for entry in world.entries)


def test_the_gate_names_evacuation_and_probes_pass(world):
    entry = world.entries[0]
    entry.evacuations.evacuate("z0")
    instance = entry.fleet.get(InstanceId("e0"))
    assert entry.gate.barrier(instance) is Barrier.EVACUATED
    entry.client.hanging = {known.address for known in entry.fleet.all()}
    world.serve(2.0)
    probed = {one.address for one in entry.client.sent if one.target == REPORT_PATH}
    assert instance.address in probed


@pytest.fixture
def simulation():
    """Return two fabric domains in failure domains of their own, with traffic."""
    simulation = PlatformSimulation(domains=("d0", "d1"))
    for name, instance in simulation.platform.instances.items():
        instance.zone = "z0" if "-d0-" in name else "z1"
    simulation.advance(SETTLE_S)
    simulation.begin_traffic()
    return simulation


def evacuate(simulation, zone):
    for controller in simulation.controllers.values():
        controller.evacuations.evacuate(zone)


def groups_in(simulation, domain):
    """Return the model and epoch of each serving group of a fabric domain."""
    return {
        head.member.group: (head.member.model, head.member.epoch)
        for head in simulation.platform.open_heads()
        if head.member.group.startswith(f"{domain}.")
    }


def test_groups_of_an_evacuated_domain_stay_formed(simulation):
    before = groups_in(simulation, "d0")
    evacuate(simulation, "z0")
    simulation.advance(10.0)
    assert groups_in(simulation, "d0") == before


def lose_and_restart_a_member(simulation, between):
    """Kill the last member of a group of d0, call ``between``, and restart it."""
    head = next(h for h in simulation.platform.open_heads() if h.domain == "d0")
    group = head.member.group
    member = simulation.platform.instances[head.member.members[-1]]
    member.kill()
    simulation.advance(1.0)
    between()
    simulation.advance(0.5)
    member.restart()
    simulation.advance(SETTLE_S)
    return group


def test_a_group_is_repaired_in_an_evacuated_domain(simulation):
    before = groups_in(simulation, "d0")
    evacuate(simulation, "z0")
    group = lose_and_restart_a_member(simulation, lambda: None)
    after = groups_in(simulation, "d0")
    assert after[group][1] > before[group][1]
    assert set(after) == set(before)


def test_an_evacuation_in_the_middle_of_a_repair_leaves_the_group_whole(simulation):
    before = groups_in(simulation, "d0")
    group = lose_and_restart_a_member(simulation, lambda: evacuate(simulation, "z0"))
    after = groups_in(simulation, "d0")
    assert after[group][1] > before[group][1]
    assert set(after) == set(before)


def test_no_group_is_converted_or_formed_in_an_evacuated_domain(simulation):
    evacuate(simulation, "z0")
    before = groups_in(simulation, "d0")
    heads = [h for h in simulation.platform.open_heads() if h.domain == "d0"]
    broken = next(h for h in heads if h.member.model == "big").member
    simulation.platform.instances[broken.members[-1]].kill()
    simulation.advance(12.0)
    after = groups_in(simulation, "d0")
    del before[broken.group]
    after.pop(broken.group, None)
    assert after == before


def test_evacuated_groups_are_no_capacity(simulation):
    seen = []
    update = Pressures.update

    def record(self, *, models, instances):
        found = list(instances)
        seen.append({instance.failure_domain for instance in found})
        return update(self, models=models, instances=found)

    evacuate(simulation, "z0")
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Pressures, "update", record)
        simulation.advance(0.5)
    assert seen and all(zones == {"z1"} for zones in seen)


def test_the_planner_check_detects_a_plan_that_ignores_evacuations(
    simulation, monkeypatch
):
    class IgnoresEvacuations(SparePlanner):
        def plan(self, *, view, now_s):
            instances = {
                name: msgspec.structs.replace(observed, evacuated=False)
                for name, observed in view.instances.items()
            }
            view = msgspec.structs.replace(view, instances=instances)
            return super().plan(view=view, now_s=now_s)

    planner = IgnoresEvacuations()
    for controller in simulation.controllers.values():
        for one in controller.fabrics._controllers.values():
            monkeypatch.setattr(one, "_planner", planner)
    with pytest.raises(AssertionError):
        test_no_group_is_converted_or_formed_in_an_evacuated_domain(simulation)
