"""Tests the updates between entries: loads, suspicions, groups and a lost store."""

import copy
import random
from statistics import median

import msgspec
import pytest

from citronpin.basics.ids import EntryId, GroupId, InstanceId, ModelName
from citronpin.gateway.facts import Facts
from citronpin.gateway.fleets import (
    PEER_REPORT_TTL_S,
    Fleet,
    FleetInstance,
    Membership,
    PeerGroupReport,
    Phase,
)
from citronpin.gateway.forward_peers import ForwardPeers
from citronpin.gateway.gossips import LEASE_RETURN_S, MAX_MESH_ENTRIES, Gossip
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import PEER_REPORT_MAX_AGE_S, LoadTracker
from citronpin.gateway.permits import SharedPermits
from citronpin.gateway.quarantines import ConsecutiveCrashes, CrashQuarantine
from citronpin.gateway.reachabilities import Reachability
from citronpin.gateway.relays import RELAY_COUNT, RelayRole, relay_rank
from citronpin.gateway.suspects import Suspects
from citronpin.peers.messages import FeedPosition, HeadStatus
from citronpin.platform.orders import HttpInstanceControl
from citronpin.tests.meshes import MemoryLinks, Network
from citronpin.tests.platforms.clients import MemoryClient

HEAD = InstanceId("i-1")
STABILITY_WINDOW_S = 4.0  # of a deployment with more entries than a full mesh has
IDLE_WARM_UP_S = 1.0
IDLE_MEASURED_S = 2.0
# What control may cost an entry, by the target in docs/CAPACITY.md.
TARGET_BYTES_PER_S = 2_000
TARGET_CORE_SHARE = 0.024
MESSAGE_PROCESSOR_S = 0.00018  # measured for one message of a relay, docs/CAPACITY.md
IDLE_WAKES_PER_S = 10


class FakeLeases:
    def __init__(self):
        self.store_lost = False
        self.extended = False
        self.is_participating = True

    def set_participating(self, allowed):
        self.is_participating = allowed

    def set_extended(self, allowed):
        self.extended = allowed


class FakeFabrics:
    def __init__(self):
        self.traffic_began = False
        self.serving_heads = ()

    def heads(self):
        return self.serving_heads


class FakeFeeds:
    def __init__(self):
        self.following = False
        self.own = ()
        self.received = []

    def own_positions(self, *, records):
        return self.own

    def apply_positions(self, sender, positions):
        self.received.extend((sender, position) for position in positions)

    def set_following(self, allowed):
        self.following = allowed


class Node:
    def __init__(self, name, network, clock, share_facts=False):
        self.name = EntryId(name)
        self.facts = Facts(entry=self.name, clock=clock, is_shared=share_facts)
        self.loads = LoadTracker()
        self.suspects = Suspects()
        self.quarantine = CrashQuarantine(policy=ConsecutiveCrashes())
        self.limits = InstanceLimits(now=clock.now)
        self.permits = SharedPermits(entry=self.name, limits=self.limits, clock=clock)
        self.fleet = Fleet()
        self.fleet.register(head_instance(), now_s=0.0)
        self.leases = FakeLeases()
        self.fabrics = FakeFabrics()
        self.feeds = FakeFeeds()
        rng = random.Random(1)
        client = MemoryClient(clock=clock)
        self.reach = Reachability(
            fleet=self.fleet,
            client=client,
            control=HttpInstanceControl(client=client),
            clock=clock,
            rng=rng,
        )
        self.forward_peers = ForwardPeers(failure_domain="a", clock=clock, rng=rng)
        self.links = MemoryLinks(entry=self.name, network=network)
        self.peers = {}
        self.gossip = Gossip(
            links=self.links,
            addresses=lambda: self.peers,
            loads=self.loads,
            suspects=self.suspects,
            quarantine=self.quarantine,
            limits=self.limits,
            permits=self.permits,
            fleet=self.fleet,
            fabrics=self.fabrics,
            leases=self.leases,
            role=RelayRole(name=self.name),
            feeds=self.feeds,
            reach=self.reach,
            forward_peers=self.forward_peers,
            clock=clock,
            facts=self.facts,
        )


def head_instance(membership=None):
    return FleetInstance(
        id=HEAD,
        service="engines",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=9,
        membership=membership,
    )


def membership_at(epoch, phase=Phase.OPEN):
    return Membership(group=GroupId("g"), epoch=epoch, rank=0, phase=phase)


@pytest.fixture
def nodes(paused_clock):
    network = Network(clock=paused_clock)
    started = [Node(f"n{number}", network, paused_clock) for number in range(3)]
    for node in started:
        node.peers = {
            other.name: str(other.name) for other in started if other is not node
        }
        node.gossip.start()
    paused_clock.advance(0.5)
    return started


def test_loads_include_the_requests_of_other_entries(paused_clock, nodes):
    nodes[0].loads.request_started(HEAD)
    nodes[1].loads.request_started(HEAD)
    paused_clock.advance(0.5)
    assert [node.loads.load(HEAD) for node in nodes] == [2, 2, 2]


def test_requests_of_a_silent_entry_expire(paused_clock, nodes):
    nodes[0].loads.request_started(HEAD)
    paused_clock.advance(0.5)
    nodes[0].gossip.stop()
    paused_clock.advance(PEER_REPORT_MAX_AGE_S + 0.5)
    assert nodes[1].loads.load(HEAD) == 0


@pytest.fixture
def relayed_nodes(paused_clock):
    """Return more nodes than a full mesh has, by rank; the first controls a group."""
    network = Network(clock=paused_clock)
    started = [
        Node(f"n{number}", network, paused_clock)
        for number in range(MAX_MESH_ENTRIES + 4)
    ]
    started.sort(key=lambda node: relay_rank(node.name))
    for node in started:
        node.peers = {
            other.name: str(other.name) for other in started if other is not node
        }
    started[0].fabrics.serving_heads = (
        HeadStatus(HEAD, GroupId("g"), 4, ModelName("small"), 7),
    )
    for node in started:
        node.gossip.start()
    paused_clock.advance(1.5)
    return started


def test_only_relays_request_leases_and_read_the_store(relayed_nodes):
    assert [node.leases.is_participating for node in relayed_nodes] == [
        True
    ] * RELAY_COUNT + [False] * (len(relayed_nodes) - RELAY_COUNT)
    assert [node.feeds.following for node in relayed_nodes] == [
        not node.leases.is_participating for node in relayed_nodes
    ]


def test_silent_relays_are_replaced(paused_clock, relayed_nodes):
    for node in relayed_nodes[:RELAY_COUNT]:
        node.gossip.stop()
    took_s = 0.0
    while (
        sum(node.leases.is_participating for node in relayed_nodes[RELAY_COUNT:])
        < RELAY_COUNT
    ):
        paused_clock.advance(0.1)
        took_s += 0.1
        assert took_s < 3.0
    paused_clock.advance(3.0)
    left = relayed_nodes[RELAY_COUNT:]
    assert [node.leases.is_participating for node in left] == [True] * RELAY_COUNT + [
        False
    ] * (len(left) - RELAY_COUNT)


def test_relays_that_lost_the_store_are_replaced(paused_clock, relayed_nodes):
    for node in relayed_nodes[:RELAY_COUNT]:
        node.leases.store_lost = True
    paused_clock.advance(3.0)
    assert all(
        node.leases.is_participating for node in relayed_nodes[: 2 * RELAY_COUNT]
    )
    assert not any(node.leases.extended for node in relayed_nodes[:RELAY_COUNT])
    for node in relayed_nodes[:RELAY_COUNT]:
        node.leases.store_lost = False
    paused_clock.advance(3.0)
    participating = [node.leases.is_participating for node in relayed_nodes]
    assert participating == [True] * RELAY_COUNT + [False] * (
        len(relayed_nodes) - RELAY_COUNT
    )


def test_a_relay_that_lost_the_store_sends_no_positions(paused_clock, relayed_nodes):
    relayed_nodes[1].feeds.own = (FeedPosition("feed", 4, 6),)
    relayed_nodes[1].leases.store_lost = True
    paused_clock.advance(1.0)
    assert not any(node.feeds.received for node in relayed_nodes)


def test_relays_send_their_read_positions_to_all(paused_clock, relayed_nodes):
    position = FeedPosition("feed", 4, 6)
    relayed_nodes[1].feeds.own = (position,)
    paused_clock.advance(0.5)
    for node in relayed_nodes[2:]:
        assert (relayed_nodes[1].name, position) in node.feeds.received


def test_with_relays_loads_come_from_instance_reports(paused_clock, relayed_nodes):
    assert [node.loads.load(HEAD) for node in relayed_nodes[1:]] == [7] * (
        len(relayed_nodes) - 1
    )
    relayed_nodes[3].loads.request_started(HEAD)
    assert relayed_nodes[3].loads.load(HEAD) == 8


def test_reported_loads_come_with_their_age_also_to_their_sender(
    paused_clock, relayed_nodes
):
    # A lease holder that ignored its own reports took its groups for empty.
    relayed_nodes[0].fabrics.serving_heads = (
        HeadStatus(HEAD, GroupId("g"), 4, ModelName("small"), 5, age_ms=400),
    )
    paused_clock.advance(1.0)
    for node in relayed_nodes:
        report = node.loads.reports[HEAD]
        assert report.load == 5
        assert report.heard_s - report.as_of_s == pytest.approx(0.4)
    relayed_nodes[0].fabrics.serving_heads = ()
    paused_clock.advance(PEER_REPORT_MAX_AGE_S + 0.5)
    assert not any(node.loads.reports for node in relayed_nodes)


def test_token_counts_reach_all_entries_with_the_load(paused_clock, relayed_nodes):
    # Placement by tokens would count only own requests. A wrong count is none.
    status = relayed_nodes[0].fabrics.serving_heads[0]
    for used, total, expected in ((700, 900, (700, 900)), (-5, -1, (0, 0))):
        relayed_nodes[0].fabrics.serving_heads = (
            msgspec.structs.replace(status, used_tokens=used, memory_tokens=total),
        )
        paused_clock.advance(1.0)
        for node in relayed_nodes:
            report = node.loads.reports[HEAD]
            assert (report.used_tokens, report.memory_tokens) == expected


def test_without_relays_an_age_causes_no_updates(paused_clock, nodes):
    # Ages change all the time; sent without relays, they would end the saving of
    # unchanged updates.
    sent = nodes[0].links.counters
    before = sent.sent_messages
    for step in range(20):
        nodes[0].fabrics.serving_heads = (
            HeadStatus(
                HEAD,
                GroupId("g"),
                4,
                ModelName("small"),
                5,
                age_ms=step,
                used_tokens=step,
                memory_tokens=1_000 + step,
            ),
        )
        paused_clock.advance(0.15)
    assert sent.sent_messages - before <= 6 * (len(nodes) - 1)
    assert not any(node.loads.reports for node in nodes)


def test_suspicions_reach_all_entries_through_relays(paused_clock, relayed_nodes):
    before = [node.links.counters.sent_messages for node in relayed_nodes]
    relayed_nodes[-1].suspects.stalled(HEAD, now_s=paused_clock.now())
    paused_clock.advance(0.4)
    now_s = paused_clock.now()
    assert relayed_nodes[0].suspects.is_avoided(HEAD, now_s=now_s)
    assert relayed_nodes[-2].suspects.is_avoided(HEAD, now_s=now_s)
    paused_clock.advance(4.0)
    after = [node.links.counters.sent_messages for node in relayed_nodes]
    sent = [end - begin for begin, end in zip(before, after)]
    # In 4.4 s, others send an update every 0.75 s and three changes to the relays, and
    # relays send an update every 0.3 s to all.
    assert max(sent[RELAY_COUNT:]) <= 10 * RELAY_COUNT
    assert min(sent[:RELAY_COUNT]) >= 13 * (len(relayed_nodes) - 1)


def test_a_suspicion_of_another_entry_expires_sooner(paused_clock, nodes):
    nodes[0].suspects.stalled(HEAD, now_s=paused_clock.now())
    paused_clock.advance(0.5)
    assert nodes[1].suspects.is_avoided(HEAD, now_s=paused_clock.now())
    paused_clock.advance(2.0)
    assert not nodes[1].suspects.is_avoided(HEAD, now_s=paused_clock.now())
    assert nodes[0].suspects.is_avoided(HEAD, now_s=paused_clock.now())


def test_a_new_group_is_known_before_its_registration(paused_clock, nodes):
    status = HeadStatus(HEAD, GroupId("g"), 4, ModelName("small"))
    nodes[0].fabrics.serving_heads = (status,)
    paused_clock.advance(0.5)
    assert nodes[1].fleet.get(HEAD).is_serving_head
    assert nodes[1].fleet.get(HEAD).models == ("small",)


def test_the_pace_of_a_group_is_exchanged_and_expires(paused_clock, nodes):
    slow = HeadStatus(HEAD, GroupId("g"), 4, ModelName("small"), pace=5.0)
    nodes[0].fabrics.serving_heads = (slow,)
    paused_clock.advance(0.5)
    assert [node.loads.pace(HEAD) for node in nodes] == [5.0, 5.0, 5.0]
    nodes[0].fabrics.serving_heads = ()
    paused_clock.advance(PEER_REPORT_MAX_AGE_S + 0.5)
    assert [node.loads.pace(HEAD) for node in nodes] == [1.0, 1.0, 1.0]


class CutReach:
    """Stands for the reachability of an entry that is cut off from the head."""

    is_cut_off = True

    def cut_off_services(self):
        return ("engines",) if self.is_cut_off else ()

    uncertain_services = cut_off_services


@pytest.fixture
def cut_node(paused_clock, nodes):
    """Return an entry that reaches no instance, whose domain has groups."""
    for node in nodes:
        head = msgspec.structs.replace(head_instance(), domain="d0")
        node.fleet.register(head, now_s=0.0)
    nodes[0].gossip._reach = CutReach()
    paused_clock.advance(0.5)
    return nodes[0]


def test_an_entry_without_a_path_leaves_leases_to_others(paused_clock, nodes, cut_node):
    assert not cut_node.leases.is_participating
    assert nodes[1].leases.is_participating
    cut_node.gossip._reach.is_cut_off = False
    paused_clock.advance(1.0)
    assert not cut_node.leases.is_participating
    paused_clock.advance(LEASE_RETURN_S)
    assert cut_node.leases.is_participating


def cut_relays_off(relayed_nodes):
    """Let all nodes have groups, and no relay reach them."""
    for node in relayed_nodes:
        head = msgspec.structs.replace(head_instance(), domain="d0")
        node.fleet.register(head, now_s=0.0)
    for node in relayed_nodes[:RELAY_COUNT]:
        node.gossip._reach = CutReach()


def test_another_entry_takes_leases_where_no_relay_has_a_path(
    paused_clock, relayed_nodes
):
    # With nine tenths of 89 entries cut off, seven of eight relays were.
    cut_relays_off(relayed_nodes)
    paused_clock.advance(STABILITY_WINDOW_S)
    participating = [node.leases.is_participating for node in relayed_nodes]
    assert not any(participating[:RELAY_COUNT])
    assert any(participating[RELAY_COUNT:])


def test_relays_stay_few_where_no_entry_has_a_path(paused_clock, relayed_nodes):
    cut_relays_off(relayed_nodes)
    for node in relayed_nodes[RELAY_COUNT:]:
        node.gossip._reach = CutReach()
    paused_clock.advance(2 * STABILITY_WINDOW_S)
    participating = [node.leases.is_participating for node in relayed_nodes]
    assert participating == [True] * RELAY_COUNT + [False] * (
        len(relayed_nodes) - RELAY_COUNT
    )


def test_other_relays_resign_once_those_of_lowest_rank_have_a_path(
    paused_clock, relayed_nodes
):
    cut_relays_off(relayed_nodes)
    paused_clock.advance(STABILITY_WINDOW_S)
    for node in relayed_nodes[:RELAY_COUNT]:
        node.gossip._reach.is_cut_off = False
    paused_clock.advance(LEASE_RETURN_S + 1.0)
    assert [node.leases.is_participating for node in relayed_nodes] == [
        True
    ] * RELAY_COUNT + [False] * (len(relayed_nodes) - RELAY_COUNT)


def test_leases_stay_where_no_other_entry_has_a_path(paused_clock, nodes):
    for node in nodes:
        head = msgspec.structs.replace(head_instance(), domain="d0")
        node.fleet.register(head, now_s=0.0)
        node.gossip._reach = CutReach()
    paused_clock.advance(LEASE_RETURN_S + 1.0)
    assert all(node.leases.is_participating for node in nodes)


def test_an_entry_without_a_path_blames_no_instance(paused_clock, nodes, cut_node):
    cut_node.suspects.stalled(HEAD, now_s=paused_clock.now())
    cut_node.loads.request_started(HEAD)
    paused_clock.advance(0.5)
    assert not nodes[1].suspects.is_avoided(HEAD, now_s=paused_clock.now())
    assert nodes[1].loads.load(HEAD) == 0


def test_a_suspicion_does_not_go_before_own_answers(paused_clock, nodes):
    nodes[0].suspects.stalled(HEAD, now_s=paused_clock.now())
    for _ in range(10):
        nodes[1].suspects.succeeded(HEAD, now_s=paused_clock.now())
        paused_clock.advance(0.05)
        assert not nodes[1].suspects.is_avoided(HEAD, now_s=paused_clock.now())


def test_leases_are_extended_only_when_all_entries_lost_the_store(paused_clock, nodes):
    for node in nodes[:2]:
        node.leases.store_lost = True
    paused_clock.advance(1.0)
    assert not nodes[0].leases.extended
    nodes[2].leases.store_lost = True
    paused_clock.advance(1.0)
    assert nodes[0].leases.extended
    nodes[2].leases.store_lost = False
    paused_clock.advance(0.5)
    assert not nodes[0].leases.extended


def test_an_entry_without_peers_does_not_extend_leases(paused_clock, nodes):
    nodes[0].leases.store_lost = True
    for node in nodes[1:]:
        node.gossip.stop()
    paused_clock.advance(PEER_REPORT_MAX_AGE_S + 0.5)
    assert not nodes[0].leases.extended


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.register(head_instance(membership_at(3, Phase.READY)), now_s=0.0)
    fleet.apply_peer_report(
        HEAD, PeerGroupReport(membership_at(4), (ModelName("small"),), 1.0)
    )
    return fleet


def test_an_older_registration_does_not_override_a_peer_report(fleet):
    fleet.register(head_instance(membership_at(3, Phase.READY)), now_s=1.5)
    assert fleet.get(HEAD).is_serving_head


def test_a_newer_registration_overrides_a_peer_report(fleet):
    fleet.register(head_instance(membership_at(4, Phase.BROKEN)), now_s=1.5)
    assert not fleet.get(HEAD).is_serving_head


def test_a_peer_report_expires(fleet):
    fleet.register(
        head_instance(membership_at(3, Phase.READY)), now_s=1.1 + PEER_REPORT_TTL_S
    )
    assert not fleet.get(HEAD).is_serving_head


def test_an_old_peer_report_does_not_restore_an_earlier_group(fleet):
    fleet.register(head_instance(membership_at(9, Phase.READY)), now_s=1.5)
    fleet.apply_peer_report(
        HEAD, PeerGroupReport(membership_at(4), (ModelName("small"),), 1.6)
    )
    assert not fleet.get(HEAD).is_serving_head


@pytest.mark.known_red
@pytest.mark.parametrize("count", [90, 195, 400])
def test_an_idle_entry_of_a_crowd_stays_within_the_target(paused_clock, count):
    # Hundreds of entries tell each other that nothing changed: cost grows with each.
    network = Network(clock=paused_clock)
    crowd = [Node(f"n{number}", network, paused_clock) for number in range(count)]
    for node in crowd:
        node.peers = {
            other.name: str(other.name) for other in crowd if other is not node
        }
        node.gossip.start()
    paused_clock.advance(IDLE_WARM_UP_S)
    before = [copy.copy(node.links.counters) for node in crowd]
    paused_clock.advance(IDLE_MEASURED_S)
    messages_per_s, bytes_per_s = [], []
    for node, start in zip(crowd, before):
        end = node.links.counters
        messages = end.sent_messages - start.sent_messages
        messages += end.received_messages - start.received_messages
        size = end.sent_bytes - start.sent_bytes
        messages_per_s.append(messages / IDLE_MEASURED_S)
        bytes_per_s.append(size / IDLE_MEASURED_S)
    print(
        f"{count} entries: {median(messages_per_s):.0f} messages/s and "
        f"{median(bytes_per_s):.0f} bytes/s, most {max(messages_per_s):.0f} and "
        f"{max(bytes_per_s):.0f}"
    )
    assert max(bytes_per_s) <= TARGET_BYTES_PER_S
    assert max(messages_per_s) * MESSAGE_PROCESSOR_S <= TARGET_CORE_SHARE
    assert median(messages_per_s) <= IDLE_WAKES_PER_S
