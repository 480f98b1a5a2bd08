"""News between entries: loads, suspects, groups, and a store that all have lost."""

import pytest

from citronpin.basics.ids import EntryId, GroupId, InstanceId, ModelName
from citronpin.gateway.fleets import (
    TOLD_S,
    Fleet,
    FleetInstance,
    GroupNews,
    Membership,
    Phase,
)
from citronpin.gateway.gossips import MESH_ENTRIES, Gossip
from citronpin.gateway.loadbooks import PEER_REPORT_MAX_AGE_S, LoadTracker
from citronpin.gateway.relays import RELAYS, RelayRole, rank
from citronpin.gateway.suspects import Suspects
from citronpin.peers.messages import FeedPosition, HeadStatus
from citronpin.tests.meshes import MemoryLinks, Network

HEAD = InstanceId("i-1")


class FakeLeases:
    def __init__(self):
        self.lost = False
        self.extended = False
        self.taking_part = True

    def take_part(self, allowed):
        self.taking_part = allowed

    def extend(self, allowed):
        self.extended = allowed


class FakeFabrics:
    def __init__(self):
        self.traffic_began = False
        self.found = ()

    def heads(self):
        return self.found


class FakeFeeds:
    def __init__(self):
        self.following = False
        self.own = ()
        self.taken = []

    def positions(self, *, records):
        return self.own

    def heard(self, sender, positions):
        self.taken.extend((sender, position) for position in positions)

    def follow(self, allowed):
        self.following = allowed


class Node:
    def __init__(self, name, network, clock):
        self.name = EntryId(name)
        self.loads = LoadTracker()
        self.suspects = Suspects()
        self.fleet = Fleet()
        self.fleet.listed(listed(), now_s=0.0)
        self.leases = FakeLeases()
        self.fabrics = FakeFabrics()
        self.feeds = FakeFeeds()
        self.links = MemoryLinks(entry=self.name, network=network)
        self.peers = {}
        self.gossip = Gossip(
            links=self.links,
            addresses=lambda: self.peers,
            loads=self.loads,
            suspects=self.suspects,
            fleet=self.fleet,
            fabrics=self.fabrics,
            leases=self.leases,
            role=RelayRole(name=self.name),
            feeds=self.feeds,
            clock=clock,
        )


def listed(place=None):
    return FleetInstance(
        id=HEAD,
        service="engines",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=9,
        membership=place,
    )


def place(epoch, phase=Phase.OPEN):
    return Membership(group=GroupId("g"), epoch=epoch, rank=0, phase=phase)


@pytest.fixture
def nodes(paused_clock):
    network = Network(clock=paused_clock)
    made = [Node(f"n{number}", network, paused_clock) for number in range(3)]
    for node in made:
        node.peers = {o.name: str(o.name) for o in made if o is not node}
        node.gossip.start()
    paused_clock.advance(0.5)
    return made


def test_entries_add_each_others_requests(paused_clock, nodes):
    nodes[0].loads.started(HEAD)
    nodes[1].loads.started(HEAD)
    paused_clock.advance(0.5)
    assert [node.loads.load(HEAD) for node in nodes] == [2, 2, 2]


def test_requests_of_an_entry_that_fell_silent_are_dropped(paused_clock, nodes):
    nodes[0].loads.started(HEAD)
    paused_clock.advance(0.5)
    nodes[0].gossip.stop()
    paused_clock.advance(PEER_REPORT_MAX_AGE_S + 0.5)
    assert nodes[1].loads.load(HEAD) == 0


@pytest.fixture
def crowd(paused_clock):
    """More entries than tell each other all, by rank; the first holds a lease."""
    network = Network(clock=paused_clock)
    made = [
        Node(f"n{number}", network, paused_clock) for number in range(MESH_ENTRIES + 4)
    ]
    made.sort(key=lambda node: rank(node.name))
    for node in made:
        node.peers = {o.name: str(o.name) for o in made if o is not node}
    made[0].fabrics.found = (HeadStatus(HEAD, GroupId("g"), 4, ModelName("small"), 7),)
    for node in made:
        node.gossip.start()
    paused_clock.advance(1.5)
    return made


def test_in_a_crowd_some_entries_read_for_all(crowd):
    assert [node.leases.taking_part for node in crowd] == [True] * RELAYS + [False] * (
        len(crowd) - RELAYS
    )
    assert [node.feeds.following for node in crowd] == [
        not node.leases.taking_part for node in crowd
    ]


def test_others_step_in_for_relays_that_fell_silent(paused_clock, crowd):
    for node in crowd[:RELAYS]:
        node.gossip.stop()
    took_s = 0.0
    while sum(node.leases.taking_part for node in crowd[RELAYS:]) < RELAYS:
        paused_clock.advance(0.1)
        took_s += 0.1
        assert took_s < 3.0
    paused_clock.advance(3.0)
    left = crowd[RELAYS:]
    assert [node.leases.taking_part for node in left] == [True] * RELAYS + [False] * (
        len(left) - RELAYS
    )


def test_others_step_in_for_relays_that_lost_the_store(paused_clock, crowd):
    for node in crowd[:RELAYS]:
        node.leases.lost = True
    paused_clock.advance(3.0)
    assert all(node.leases.taking_part for node in crowd[: 2 * RELAYS])
    assert not any(node.leases.extended for node in crowd[:RELAYS])
    for node in crowd[:RELAYS]:
        node.leases.lost = False
    paused_clock.advance(3.0)
    taking = [node.leases.taking_part for node in crowd]
    assert taking == [True] * RELAYS + [False] * (len(crowd) - RELAYS)


def test_a_relay_without_the_store_tells_no_position(paused_clock, crowd):
    crowd[1].feeds.own = (FeedPosition("feed", 4, 6),)
    crowd[1].leases.lost = True
    paused_clock.advance(1.0)
    assert not any(node.feeds.taken for node in crowd)


def test_in_a_crowd_relays_tell_what_they_have_read(paused_clock, crowd):
    position = FeedPosition("feed", 4, 6)
    crowd[1].feeds.own = (position,)
    paused_clock.advance(0.5)
    for node in crowd[2:]:
        assert (crowd[1].name, position) in node.feeds.taken


def test_in_a_crowd_loads_come_from_the_reports_of_instances(paused_clock, crowd):
    assert [node.loads.load(HEAD) for node in crowd[1:]] == [7] * (len(crowd) - 1)
    crowd[3].loads.started(HEAD)
    assert crowd[3].loads.load(HEAD) == 8


def test_in_a_crowd_suspicions_go_to_relays_which_tell_all(paused_clock, crowd):
    before = [node.links.counters.sent_messages for node in crowd]
    crowd[-1].suspects.stalled(HEAD, now_s=paused_clock.now())
    paused_clock.advance(0.4)
    now_s = paused_clock.now()
    assert crowd[0].suspects.avoided(HEAD, now_s=now_s)
    assert crowd[-2].suspects.avoided(HEAD, now_s=now_s)
    paused_clock.advance(4.0)
    after = [node.links.counters.sent_messages for node in crowd]
    sent = [end - begin for begin, end in zip(before, after)]
    # In 4.4 s: an update each 0.75 s and three changes, or one each 0.3 s to everyone.
    assert max(sent[RELAYS:]) <= 10 * RELAYS
    assert min(sent[:RELAYS]) >= 13 * (len(crowd) - 1)


def test_a_suspicion_is_passed_on_for_a_short_time(paused_clock, nodes):
    nodes[0].suspects.stalled(HEAD, now_s=paused_clock.now())
    paused_clock.advance(0.5)
    assert nodes[1].suspects.avoided(HEAD, now_s=paused_clock.now())
    paused_clock.advance(2.0)
    assert not nodes[1].suspects.avoided(HEAD, now_s=paused_clock.now())
    assert nodes[0].suspects.avoided(HEAD, now_s=paused_clock.now())


def test_a_new_group_is_known_before_the_list_shows_it(paused_clock, nodes):
    news = HeadStatus(HEAD, GroupId("g"), 4, ModelName("small"))
    nodes[0].fabrics.found = (news,)
    paused_clock.advance(0.5)
    assert nodes[1].fleet.get(HEAD).serving_head
    assert nodes[1].fleet.get(HEAD).models == ("small",)


def test_the_pace_of_a_group_is_told_and_forgotten(paused_clock, nodes):
    slow = HeadStatus(HEAD, GroupId("g"), 4, ModelName("small"), pace=5.0)
    nodes[0].fabrics.found = (slow,)
    paused_clock.advance(0.5)
    assert [node.loads.pace(HEAD) for node in nodes] == [5.0, 5.0, 5.0]
    nodes[0].fabrics.found = ()
    paused_clock.advance(PEER_REPORT_MAX_AGE_S + 0.5)
    assert [node.loads.pace(HEAD) for node in nodes] == [1.0, 1.0, 1.0]


def test_the_store_is_given_up_only_when_all_have_lost_it(paused_clock, nodes):
    for node in nodes[:2]:
        node.leases.lost = True
    paused_clock.advance(1.0)
    assert not nodes[0].leases.extended
    nodes[2].leases.lost = True
    paused_clock.advance(1.0)
    assert nodes[0].leases.extended
    nodes[2].leases.lost = False
    paused_clock.advance(0.5)
    assert not nodes[0].leases.extended


def test_an_entry_that_hears_nobody_does_not_take_the_store_for_lost(
    paused_clock, nodes
):
    nodes[0].leases.lost = True
    for node in nodes[1:]:
        node.gossip.stop()
    paused_clock.advance(PEER_REPORT_MAX_AGE_S + 0.5)
    assert not nodes[0].leases.extended


@pytest.fixture
def fleet():
    made = Fleet()
    made.listed(listed(place(3, Phase.READY)), now_s=0.0)
    made.told(HEAD, GroupNews(place(4), (ModelName("small"),), 1.0))
    return made


def test_an_older_entry_does_not_hide_what_was_told(fleet):
    fleet.listed(listed(place(3, Phase.READY)), now_s=1.5)
    assert fleet.get(HEAD).serving_head


def test_a_newer_entry_goes_before_what_was_told(fleet):
    fleet.listed(listed(place(4, Phase.BROKEN)), now_s=1.5)
    assert not fleet.get(HEAD).serving_head


def test_what_was_told_expires(fleet):
    fleet.listed(listed(place(3, Phase.READY)), now_s=1.1 + TOLD_S)
    assert not fleet.get(HEAD).serving_head


def test_old_news_does_not_bring_back_an_earlier_group(fleet):
    fleet.listed(listed(place(9, Phase.READY)), now_s=1.5)
    fleet.told(HEAD, GroupNews(place(4), (ModelName("small"),), 1.6))
    assert not fleet.get(HEAD).serving_head
