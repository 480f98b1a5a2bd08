"""Cold instances get no more requests than the configuration allows."""

import json
import logging

import msgspec
import pytest

from citronpin.basics.ids import InstanceId
from citronpin.gateway.cold_starts import (
    COLD_COST_REQUESTS,
    MAX_COLD_S,
    ColdStarts,
)
from citronpin.gateway.fleets import Fleet, FleetInstance, Membership, Phase
from citronpin.gateway.permits import Permits
from citronpin.gateway.routings import ServiceSpec
from citronpin.gateway.watches import MemberWatch
from citronpin.peers.messages import LimitReport, PermitReply, PermitRequest
from citronpin.platform.decoders import decode_config, decode_registration
from citronpin.platform.names import HEADERS
from citronpin.platform.orders import REPORT_PATH, HttpInstanceControl
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.crashes import RESTART_S, CrashWorld
from citronpin.tests.platforms.requests import FrontHarness
from citronpin.tests.platforms.simulations import make_routing_table, wire_config

PER_S = 18.0
START_S = 6.0
ALLOWED = PER_S * 1.5 + 5  # in any second


def set_cold(entry, per_s=PER_S):
    """Let the configuration of an entry limit cold instances of all services."""
    entry.cold_starts.set_services(
        msgspec.structs.replace(spec, cold_start_s=START_S, cold_per_s=per_s)
        for spec in make_routing_table().cfg.services
    )


def name_cold(entry, remaining_s, *names):
    for name in names:
        known = entry.fleet.get(InstanceId(name))
        entry.cold_starts.record(known, remaining_s=remaining_s, source="registration")


def worst_second(replica, since_s, until_s=float("inf")):
    """Return the most requests that reached a replica in any second."""
    times = [at_s for at_s, _ in replica.arrivals if since_s <= at_s <= until_s]
    return max(
        (sum(at_s <= other_s <= at_s + 1.0 for other_s in times) for at_s in times),
        default=0,
    )


@pytest.fixture
def world(paused_clock):
    world = CrashWorld(clock=paused_clock, entries=9, replicas=8)
    for entry in world.entries:
        set_cold(entry)
    world.run(2.0, sound_per_s=60)
    return world


def test_cold_instances_of_many_get_no_more_than_allowed(world, paused_clock):
    cold = [f"e{n}" for n in range(4)]
    for entry in world.entries:
        name_cold(entry, 5.0, *cold)
    start_s = paused_clock.now()
    world.run(4.0, sound_per_s=140)
    paused_clock.advance(1.0)  # the last answers begin
    for name in cold:
        assert worst_second(world.replicas[name], start_s) <= ALLOWED
    assert world.served_share(start_s) > 0.99


def test_when_all_are_cold_most_of_the_limit_is_used(paused_clock):
    world = CrashWorld(clock=paused_clock, entries=9, replicas=6)
    for entry in world.entries:
        set_cold(entry, per_s=5.0)
    world.run(2.0, sound_per_s=30)
    for entry in world.entries:
        name_cold(entry, 9.0, *world.replicas)
    start_s = paused_clock.now()
    replies = []
    for _ in range(600):
        replies.append(world.send("a1"))
        paused_clock.advance(0.01)
    for replica in world.replicas.values():
        assert worst_second(replica, start_s) <= 5.0 * 1.5 + 5
    arrivals = sum(
        at_s >= start_s for one in world.replicas.values() for at_s, _ in one.arrivals
    )
    assert arrivals > 0.7 * 6 * 5.0 * 6.0
    refused = [reply for reply in replies if reply.status == 503]
    assert refused and all(reply.outcome == "not-run" for reply in refused)
    assert all(float(reply.headers["retry-after"]) > 0.0 for reply in refused)


def test_instances_that_all_restart_at_once_get_no_more_than_allowed(paused_clock):
    # Nothing names the phase: it is supposed, since their lives have changed.
    world = CrashWorld(clock=paused_clock, entries=9, replicas=4)
    for entry in world.entries:
        set_cold(entry, per_s=5.0)
    world.run(2.0, sound_per_s=30)
    for replica in world.replicas.values():
        replica.crash()
    paused_clock.advance(RESTART_S)
    start_s = paused_clock.now()
    world.run(START_S - 0.1, sound_per_s=120)
    for replica in world.replicas.values():
        assert worst_second(replica, start_s) <= 5.0 * 1.5 + 5
        assert sum(at_s > start_s for at_s, _ in replica.arrivals) > 0.6 * 5.0 * 5.9


def test_without_the_configuration_no_permit_is_asked_for(paused_clock):
    front = FrontHarness(clock=paused_clock)
    name_cold(front, 60.0, "e0", "b0")
    instance = front.fleet.get(InstanceId("e0"))
    assert front.limits.rate(instance) is None
    assert front.limits.load_cost(instance) == 0.0
    assert front.cold_starts.current() == []


def test_an_answer_names_a_cold_phase(paused_clock, caplog):
    caplog.set_level(logging.INFO)
    world = CrashWorld(clock=paused_clock, entries=1, replicas=1)
    entry = world.entries[0]
    set_cold(entry)
    world.replicas["e0"].cold_ms = 3000
    world.send("a1")
    paused_clock.advance(0.5)
    instance = entry.fleet.get(InstanceId("e0"))
    assert entry.limits.rate(instance) == PER_S
    assert entry.limits.row(instance)["reason"] == "cold"
    assert "instance cold" in [record.message for record in caplog.records]
    paused_clock.advance(3.0)
    assert entry.limits.rate(instance) is None


@pytest.mark.parametrize("value", ["", "soon", "-3", "nan", "inf", "0"])
def test_odd_headers_name_no_cold_phase(paused_clock, value):
    world = CrashWorld(clock=paused_clock, entries=1, replicas=1)
    set_cold(world.entries[0])
    world.replicas["e0"].cold_ms = value
    reply = world.send("a1")
    paused_clock.advance(2.0)
    assert reply.status == 200
    assert world.entries[0].cold_starts.current() == []


def test_a_report_names_a_cold_phase(paused_clock):
    client = MemoryClient(clock=paused_clock)
    instance = make_instance()
    client.handlers[instance.address] = lambda exchange: exchange.answer(
        200, b"{}", {HEADERS.cold_ms: "2500"}
    )
    found = []
    HttpInstanceControl(client=client).report(
        of=instance, done=lambda report, error: found.append(report)
    )
    paused_clock.advance(0.1)
    assert client.sent[0].target == REPORT_PATH
    assert found[0].cold_s == 2.5


def test_polls_of_a_lease_holder_record_a_cold_phase(paused_clock):
    front = FrontHarness(clock=paused_clock)
    set_cold(front)
    instance = front.fleet.get(InstanceId("e0"))
    front.client.handlers[instance.address] = lambda exchange: exchange.answer(
        200, b"{}", {HEADERS.cold_ms: "2500"}
    )
    watch = MemberWatch(
        control=HttpInstanceControl(client=front.client),
        fleet=front.fleet,
        clock=paused_clock,
        heartbeat_s=1.2,
        reach=front.reach,
        cold_starts=front.cold_starts,
    )
    watch.poll([instance], busy=False)
    paused_clock.advance(0.1)
    assert front.cold_starts.current() == ["e0"]


def test_configuration_and_registration_are_read():
    services = [{"name": "book", "cold-start-s": 4, "cold-per-s": 18}]
    data = json.dumps(wire_config(services=services)).encode()
    (spec,) = decode_config(data).unwrap().services
    assert (spec.cold_start_s, spec.cold_per_s) == (4.0, 18.0)
    registration = {
        "service": "book",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 9,
        "state": "ready",
        "cold-remaining-ms": 1500,
        "sequence": 3,
    }
    found = decode_registration("i-1", json.dumps(registration).encode()).unwrap()
    assert found.cold_s == 1.5


def make_instance(epoch=None, born_ms=1, phase=Phase.OPEN, service="book"):
    membership = None
    if epoch is not None:
        membership = Membership(group="g", epoch=epoch, rank=0, phase=phase)
    return FleetInstance(
        id=InstanceId("i-1"),
        service=service,
        address="10.0.0.1:80",
        failure_domain="a",
        slots=9,
        models=("small",),
        membership=membership,
        born_ms=born_ms,
    )


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.is_loaded = True
    return fleet


@pytest.fixture
def cold_starts(paused_clock, fleet):
    cold_starts = ColdStarts(now=paused_clock.now, fleet=fleet)
    engine = make_routing_table().services["engines"].engine
    cold_starts.set_services(
        [
            ServiceSpec(name="book", cold_start_s=START_S, cold_per_s=PER_S),
            ServiceSpec(
                name="engines", engine=engine, cold_start_s=START_S, cold_per_s=PER_S
            ),
        ]
    )
    return cold_starts


def test_a_late_record_without_remaining_time_ends_no_phase(paused_clock, cold_starts):
    instance = make_instance()
    cold_starts.record(instance, remaining_s=3.0, source="own answer")
    cold_starts.record(instance, remaining_s=0.0, source="registration")
    cold_starts.record(instance, remaining_s=1.0, source="registration")
    paused_clock.advance(2.9)
    assert cold_starts.rate(instance) == PER_S
    paused_clock.advance(0.2)
    assert cold_starts.rate(instance) is None


def test_messages_between_entries_do_not_put_off_the_end_for_ever(
    paused_clock, cold_starts
):
    instance = make_instance()
    cold_starts.record(instance, remaining_s=3.0, source="registration")
    for _ in range(40):
        # Another entry tells the end that it was told, each message 0.1 s on its way.
        remaining_s = cold_starts.remaining_s(instance)
        paused_clock.advance(0.1)
        cold_starts.apply_fact(instance.id, remaining_s=remaining_s, source="n1")
    assert cold_starts.rate(instance) is None


def test_a_faulty_value_is_bounded(paused_clock, cold_starts):
    instance = make_instance()
    cold_starts.record(instance, remaining_s=1e12, source="own answer")
    paused_clock.advance(MAX_COLD_S + 1.0)
    assert cold_starts.rate(instance) is None


def test_begin_and_end_are_logged_once(paused_clock, fleet, cold_starts, caplog):
    caplog.set_level(logging.INFO)
    instance = make_instance()
    cold_starts.traffic_began = lambda: False
    fleet.register(instance, now_s=0.0)
    for remaining_s in (3.0, 2.5, 3.5):
        cold_starts.record(instance, remaining_s=remaining_s, source="registration")
    paused_clock.advance(4.0)
    cold_starts.expire()
    cold_starts.expire()
    texts = [record.message for record in caplog.records]
    assert texts == ["instance cold", "instance no longer cold"]


@pytest.mark.parametrize("service, epoch", [("book", None), ("engines", 4)])
def test_an_instance_first_seen_counts_as_cold(
    paused_clock, fleet, cold_starts, service, epoch
):
    instance = make_instance(service=service, epoch=epoch)
    fleet.register(instance, now_s=0.0)
    assert cold_starts.rate(instance) == PER_S
    assert cold_starts.load_cost(instance) == COLD_COST_REQUESTS
    paused_clock.advance(START_S)
    assert cold_starts.rate(instance) is None


def test_another_life_counts_as_cold(paused_clock, fleet, cold_starts):
    old = make_instance(service="engines", epoch=4)
    fleet.register(old, now_s=0.0)
    paused_clock.advance(START_S)
    instance = make_instance(service="engines", epoch=4, born_ms=2)
    fleet.register(instance, now_s=0.0)
    assert cold_starts.rate(instance) == PER_S
    paused_clock.advance(START_S)
    # A registration that lags behind a report is no new start, nor is a return.
    fleet.register(old, now_s=0.0)
    fleet.register(instance, now_s=0.0)
    assert cold_starts.rate(instance) is None


@pytest.mark.parametrize("epoch", [4, 5])
def test_a_group_that_opens_again_is_not_cold(paused_clock, fleet, cold_starts, epoch):
    # Each group that was formed again counted as cold, though its instances ran on.
    instance = make_instance(service="engines", epoch=4)
    fleet.register(instance, now_s=0.0)
    paused_clock.advance(START_S)
    closed = make_instance(service="engines", epoch=4, phase=Phase.CLOSING)
    fleet.register(closed, now_s=0.0)
    instance = make_instance(service="engines", epoch=epoch)
    fleet.register(instance, now_s=0.0)
    assert cold_starts.rate(instance) is None


def test_what_served_before_the_first_traffic_is_not_cold(fleet, cold_starts):
    # Groups form before any request; the first ones must not wait for permits.
    cold_starts.traffic_began = lambda: False
    instance = make_instance(service="engines", epoch=4)
    fleet.register(instance, now_s=0.0)
    cold_starts.traffic_began = lambda: True
    assert cold_starts.rate(instance) is None


def test_the_first_complete_read_of_an_entry_makes_nothing_cold(fleet, cold_starts):
    fleet.is_loaded = False
    instance = make_instance(service="engines", epoch=4)
    fleet.register(instance, now_s=0.0)
    fleet.is_loaded = True
    assert cold_starts.rate(instance) is None
    cold_starts.record(instance, remaining_s=2.0, source="registration")
    assert cold_starts.rate(instance) == PER_S


def test_the_lower_of_both_limits_holds(paused_clock):
    front = FrontHarness(clock=paused_clock)
    set_cold(front)
    instance = front.fleet.get(InstanceId("e0"))
    front.limits.record_answer(instance, rate=4.0, sent_s=0.0)
    name_cold(front, 3.0, "e0")
    assert front.limits.rate(instance) == 4.0
    front.limits.record_answer(instance, rate=30.0, sent_s=0.0)
    assert front.limits.rate(instance) == PER_S
    paused_clock.advance(3.1)
    assert front.limits.rate(instance) == 30.0


class ScriptedPermits(Permits):
    """Refuses permits of some instances."""

    def __init__(self, *, refused, limits):
        self.refused = refused
        self.limits = limits
        self.asked = []

    def acquire(self, instance, done):
        self.asked.append(instance.id)
        granted = instance.id not in self.refused
        if not granted:
            self.limits.set_exhausted(instance.id, wait_s=0.5)
        done(granted)


def test_a_refused_permit_sends_the_request_elsewhere_at_once(paused_clock):
    world = CrashWorld(clock=paused_clock, entries=1, replicas=4)
    entry = world.entries[0]
    set_cold(entry)
    name_cold(entry, 5.0, *world.replicas)
    entry.context.permits = ScriptedPermits(
        refused={"e0", "e1", "e2"}, limits=entry.limits
    )
    for _ in range(8):
        world.send("a1")
    paused_clock.advance(0.05)
    arrivals = {name: len(one.arrivals) for name, one in world.replicas.items()}
    assert arrivals == {"e0": 0, "e1": 0, "e2": 0, "e3": 8}


def test_an_owner_learns_of_a_cold_phase_from_a_request_and_tells_it(paused_clock):
    front = FrontHarness(clock=paused_clock)
    set_cold(front)
    sent = []
    front.permits.connect(lambda entry, message: sent.append(message) or True)
    report = LimitReport(InstanceId("e0"), 0, None, 2**31)
    front.permits.receive("n1", PermitRequest(1, report, PER_S, 4000))
    paused_clock.advance(1.0)
    for number in range(2, 9):
        front.permits.receive("n1", PermitRequest(number, report, PER_S, 3000))
    assert [reply.cold_ms for reply in sent] == [4000] + 7 * [3000]
    assert sum(reply.granted for reply in sent[1:]) == 2  # what a bucket saves
    assert front.cold_starts.current() == ["e0"]


def test_an_older_build_names_no_cold_phase(paused_clock):
    front = FrontHarness(clock=paused_clock)
    set_cold(front)
    sent = []
    front.permits.connect(lambda entry, message: sent.append(message) or True)
    report = LimitReport(InstanceId("e0"), 0, None, 2**31)
    front.permits.receive("n1", PermitRequest(1, report))
    assert sent == [PermitReply(1, True, 0, report)]
