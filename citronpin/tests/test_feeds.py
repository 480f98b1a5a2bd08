"""Feeds of entries that rely on others' reading, and read themselves without it."""

import json

import pytest

from citronpin.basics.ids import EntryId, InstanceId
from citronpin.gateway.fleets import Fleet
from citronpin.platform.feeds import (
    CONFIRMED_S,
    FOLLOW_CHECK_S,
    FORWARDED_RECORDS,
    ConfigFeed,
    FleetFeed,
    StoreFeeds,
)
from citronpin.platform.leases import LOST_S
from citronpin.platform.stores import LogStore
from citronpin.tests.platforms.stores import PlatformStore
from citronpin.tests.platforms.wires import MemoryClient
from citronpin.tests.platforms.worlds import wire_config

STORE = "10.9.9.9:1"
DRAIN_S = 2.0
UPDATE_S = 0.3
RELAY_READ_S = 0.3


class Reader:
    """The feeds of one entry."""

    def __init__(self, *, name, clock, platform_store, relay):
        self.name = EntryId(name)
        self.calls = []
        self.cut = False
        self.silent = False  # tells nobody anything
        self.versions = []
        self._platform_store = platform_store
        client = MemoryClient(clock=clock)
        client.handlers[STORE] = self._ask
        store = LogStore(client=client, address=STORE)
        self.fleet = Fleet()
        fleet_feed = FleetFeed(
            store=store, clock=clock, fleet=self.fleet, drain_s=DRAIN_S
        )
        config_feed = ConfigFeed(
            store=store,
            clock=clock,
            apply=lambda cfg: self.versions.append(cfg.version),
        )
        if relay:
            fleet_feed.pace(RELAY_READ_S)
        self.all = [config_feed, fleet_feed]
        self.feeds = StoreFeeds(
            feeds={feed.topic: feed for feed in self.all}, clock=clock
        )
        for feed in self.all:
            feed.start()
        self.feeds.set_following(not relay)

    def _ask(self, exchange):
        if self.cut:
            return
        self.calls.append(exchange.target)
        wait = "wait-ms" in exchange.target
        answer = self._platform_store.handle(exchange.method, exchange.target, b"")
        if wait and len(answer[1]) == 16:
            return  # nothing new: the store holds the read
        exchange.answer(*answer)


class Crowd:
    """Two relays that pass records on, and one entry that follows them."""

    def __init__(self, clock):
        self.clock = clock
        self.store = PlatformStore(clock=clock)
        self.put_config(3)
        for number in range(4):
            self.put_instance(f"i-{number}")
        self.relays = [self._reader(f"relay-{n}", True) for n in range(2)]
        self.follower = self._reader("follower", False)
        self._tell()
        clock.advance(1.0)

    def _reader(self, name, relay):
        return Reader(
            name=name, clock=self.clock, platform_store=self.store, relay=relay
        )

    def _tell(self):
        self.clock.call_later(UPDATE_S, self._tell)
        for relay in self.relays:
            positions = relay.feeds.positions(records=True)
            if not relay.silent:
                self.follower.feeds.heard(relay.name, positions)

    def put_config(self, version):
        data = json.dumps(wire_config(version=version)).encode()
        self.store.put("keyed.op", "config", data)

    def put_instance(self, name, **changes):
        entry = {
            "service": "engines",
            "address": "10.0.0.1:80",
            "zone": "a",
            "slots": 9,
            "state": "ready",
            "staged": [],
            "models": [],
            "group": None,
            "born": 1_000,
            "domain": "d0",
        }
        self.store.put("keyed.servers", name, json.dumps(entry | changes).encode())

    def names(self):
        return sorted(instance.id for instance in self.follower.fleet.all())

    def draining(self, name):
        return self.follower.fleet.get(InstanceId(name)).draining


@pytest.fixture
def crowd(paused_clock):
    return Crowd(paused_clock)


def test_a_follower_leaves_the_reading_to_relays(paused_clock, crowd):
    before = len(crowd.follower.calls)
    for _ in range(20):
        crowd.put_instance("i-0")  # heartbeats
        paused_clock.advance(0.5)
    instances = [c for c in crowd.follower.calls[before:] if "keyed.servers" in c]
    assert not instances and crowd.follower.versions == [3]


def test_a_follower_learns_of_instances_from_relays(paused_clock, crowd):
    before = len(crowd.follower.calls)
    crowd.put_instance("i-0", state="draining")
    crowd.put_instance("i-9")
    crowd.store.put("keyed.servers", "i-1", b"")
    paused_clock.advance(RELAY_READ_S + UPDATE_S + 0.05)
    assert crowd.draining("i-0")
    assert crowd.names() == ["i-0", "i-2", "i-3", "i-9"]
    assert not [c for c in crowd.follower.calls[before:] if "keyed.servers" in c]


def test_a_follower_learns_when_a_head_begins_and_ends_to_serve(paused_clock, crowd):
    def group(state, rank):
        return {"name": "g", "epoch": 4, "rank": rank, "state": state}

    models = [{"name": "big", "version": 1}]
    crowd.put_instance("i-0", group=group("open", 0), models=models)
    crowd.put_instance("i-1", group=group("ready", 1), models=models)
    paused_clock.advance(RELAY_READ_S + UPDATE_S + 0.05)
    fleet = crowd.follower.fleet
    assert fleet.get(InstanceId("i-0")).is_serving_head
    assert fleet.get(InstanceId("i-1")).membership is None  # matters to holders only
    crowd.put_instance("i-0", group=group("broken", 0), models=models)
    paused_clock.advance(RELAY_READ_S + UPDATE_S + 0.05)
    assert not fleet.get(InstanceId("i-0")).is_serving_head


def test_a_follower_reads_a_new_configuration_itself(paused_clock, crowd):
    crowd.put_config(7)
    for relay in crowd.relays:
        relay.all[0]._hurry()
    paused_clock.advance(5.0)
    assert crowd.follower.versions == [3, 7]


@pytest.mark.parametrize("silent", [1, 2])
def test_a_follower_reads_itself_when_fewer_than_two_relays_speak(
    paused_clock, crowd, silent
):
    for relay in crowd.relays[:silent]:
        relay.silent = True
    paused_clock.advance(CONFIRMED_S + FOLLOW_CHECK_S)
    crowd.put_instance("i-0", state="draining")
    paused_clock.advance(DRAIN_S)
    assert crowd.draining("i-0")
    assert any("keyed.servers" in call for call in crowd.follower.calls[-4:])


def test_relays_without_the_store_are_not_relied_on(paused_clock, crowd):
    for relay in crowd.relays:
        relay.cut = True
    crowd.put_instance("i-0", state="draining")
    paused_clock.advance(DRAIN_S)
    assert crowd.draining("i-0")


def test_a_configuration_missed_by_relays_without_the_store_is_found_in_time(
    paused_clock, crowd
):
    for relay in crowd.relays:
        relay.cut = True
    crowd.put_config(7)
    paused_clock.advance(LOST_S)
    for relay in crowd.relays:
        relay.silent = True  # they know by now, and tell no position
    paused_clock.advance(DRAIN_S - LOST_S)
    assert crowd.follower.versions == [3, 7]


def test_a_follower_that_missed_an_update_reads_itself(paused_clock, crowd):
    before = len(crowd.follower.calls)
    for relay in crowd.relays:
        relay.feeds.positions(records=True)  # an update that was lost
    crowd.put_instance("i-0", state="draining")
    paused_clock.advance(RELAY_READ_S)
    for relay in crowd.relays:
        relay.feeds.positions(records=True)
    paused_clock.advance(RELAY_READ_S + UPDATE_S + 0.2)
    assert crowd.draining("i-0")
    assert any("keyed.servers" in call for call in crowd.follower.calls[before:])


def test_what_a_relay_missed_itself_is_not_passed_over(paused_clock, crowd):
    # The store dropped its history: the relay's new reading does not name what is gone.
    for relay in crowd.relays:
        relay.cut = True
    crowd.store.put("keyed.servers", "i-1", b"")
    crowd.store.drop_history("keyed.servers")
    for relay in crowd.relays:
        relay.cut = False
    paused_clock.advance(DRAIN_S)
    assert crowd.names() == ["i-0", "i-2", "i-3"]


def test_many_changes_at_once_are_read_by_each(paused_clock, crowd):
    before = len(crowd.follower.calls)
    for number in range(FORWARDED_RECORDS + 10):
        crowd.put_instance(f"j-{number}")
    paused_clock.advance(RELAY_READ_S + UPDATE_S + 0.2)
    assert len(crowd.names()) == 4 + FORWARDED_RECORDS + 10
    assert any("keyed.servers" in call for call in crowd.follower.calls[before:])


def test_a_follower_that_begins_to_decide_reads_all_anew(paused_clock, crowd):
    models = [{"name": "big", "version": 1}]
    group = {"name": "g", "epoch": 4, "rank": 1, "state": "ready"}
    crowd.put_instance("i-1", group=group, models=models, staged=["big"])
    paused_clock.advance(1.0)
    crowd.follower.feeds.set_following(False)
    paused_clock.advance(0.1)
    seen = crowd.follower.fleet.get(InstanceId("i-1"))
    assert seen.membership.rank == 1 and seen.staged == ("big",)
    assert crowd.follower.fleet.heard_s(InstanceId("i-1")) >= 2.0
