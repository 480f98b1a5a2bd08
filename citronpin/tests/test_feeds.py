"""Tests of feeds that rely on relays, and read from the store without them."""

import json

import pytest

from citronpin.basics.ids import EntryId, InstanceId
from citronpin.gateway.cold_starts import ColdStarts
from citronpin.gateway.evacuations import Evacuations
from citronpin.gateway.fleets import Fleet
from citronpin.gateway.routings import ServiceSpec
from citronpin.platform.directories import (
    ENTRIES_TOPIC,
    FRAME_KEY_RECORD,
    EntryRecord,
    StoreDirectory,
)
from citronpin.platform.feeds import (
    CATCH_UP_INTERVAL_S,
    CONFIRMATION_MAX_AGE_S,
    FOLLOW_CHECK_INTERVAL_S,
    MAX_FORWARDED_RECORDS,
    RETRY_INTERVAL_S,
    ConfigFeed,
    FleetFeed,
    StoreFeeds,
)
from citronpin.platform.leases import STORE_LOST_AFTER_S
from citronpin.platform.stores import LogStore
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.simulations import wire_config
from citronpin.tests.platforms.stores import PlatformStore

STORE_ADDRESS = "10.9.9.9:1"
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
EVACUATE_S = 5.0
ENGINES = ServiceSpec(name="engines", cold_start_s=5.0, cold_per_s=18.0)
RELAY_UPDATE_INTERVAL_S = 0.3
RELAY_READ_INTERVAL_S = 0.3


class EntryFeeds:
    """The feeds of one entry, with a record of its calls to the store."""

    def __init__(self, *, name, clock, platform_store, relay):
        self.name = EntryId(name)
        self.calls = []
        self.cut_from_store = False
        self.is_turned_away = False  # the store answers it 503
        self.bytes_per_s = float("inf")  # of its link to the store
        self._clock = clock
        self.silent = False  # sends no positions
        self.versions = []
        self._platform_store = platform_store
        client = MemoryClient(clock=clock)
        client.handlers[STORE_ADDRESS] = self._call_store
        store = LogStore(client=client, address=STORE_ADDRESS)
        self.fleet = Fleet()
        self.cold_starts = ColdStarts(now=clock.now, fleet=self.fleet)
        self.cold_starts.set_services([ENGINES])
        fleet_feed = FleetFeed(
            store=store,
            clock=clock,
            fleet=self.fleet,
            drain_s=DRAIN_S,
            cold_starts=self.cold_starts,
        )
        self.evacuations = Evacuations(now=clock.now)
        config_feed = ConfigFeed(
            store=store,
            clock=clock,
            apply=lambda cfg: self.versions.append(cfg.version),
            apply_s=CONFIG_APPLY_S,
            evacuations=self.evacuations,
        )
        if relay:
            fleet_feed.set_read_interval(RELAY_READ_INTERVAL_S)
        self.all_feeds = [config_feed, fleet_feed]
        self.feeds = StoreFeeds(
            feeds={feed.topic: feed for feed in self.all_feeds}, clock=clock
        )
        for feed in self.all_feeds:
            feed.start()
        self.feeds.set_following(not relay)

    def _call_store(self, exchange):
        if self.cut_from_store:
            return
        self.calls.append(exchange.target)
        if self.is_turned_away:
            exchange.answer(503)
            return
        is_long_poll = "wait-ms" in exchange.target
        answer = self._platform_store.handle(exchange.method, exchange.target, b"")
        if is_long_poll and len(answer[1]) == 16:
            return  # no new records: the store leaves the long poll unanswered
        transfer_s = len(answer[1]) / self.bytes_per_s
        self._clock.call_later(transfer_s, lambda: exchange.answer(*answer))


class RelaySimulation:
    """Relays that forward records, and one entry that follows them."""

    def __init__(self, clock, relays=2):
        self.clock = clock
        self.store = PlatformStore(clock=clock)
        self.put_config(3)
        for number in range(4):
            self.put_instance(f"i-{number}")
        self.relays = [self._start_entry(f"relay-{n}", True) for n in range(relays)]
        self.follower = self._start_entry("follower", False)
        for number, relay in enumerate(self.relays):
            # Relays send at times of their own.
            delay_s = RELAY_UPDATE_INTERVAL_S * number / relays
            clock.call_later(delay_s, lambda relay=relay: self._send_positions(relay))
        clock.advance(1.0)

    def _start_entry(self, name, relay):
        return EntryFeeds(
            name=name, clock=self.clock, platform_store=self.store, relay=relay
        )

    def _send_positions(self, relay):
        self.clock.call_later(
            RELAY_UPDATE_INTERVAL_S, lambda: self._send_positions(relay)
        )
        positions = relay.feeds.own_positions(records=True)
        if not relay.silent:
            self.follower.feeds.apply_positions(relay.name, positions)

    def put_config(self, version):
        data = json.dumps(wire_config(version=version)).encode()
        self.store.put("keyed.op", "config", data)

    def config_bytes(self):
        return len(json.dumps(wire_config(version=29)))

    def put_instance(self, name, **changes):
        registration = {
            "service": "engines",
            "address": "10.0.0.1:80",
            "zone": "a",
            "version": "v1",
            "slots": 9,
            "state": "ready",
            "cold-remaining-ms": 0,
            "staged": [],
            "models": [],
            "group": None,
            "born": 1_000,
            "domain": "d0",
            "sequence": 0,
        }
        self.store.put(
            "keyed.servers", name, json.dumps(registration | changes).encode()
        )

    def names(self):
        return sorted(instance.id for instance in self.follower.fleet.all())

    def draining(self, name):
        return self.follower.fleet.get(InstanceId(name)).draining


@pytest.fixture
def simulation(paused_clock):
    return RelaySimulation(paused_clock)


def test_follower_does_not_read_while_relays_confirm(paused_clock, simulation):
    before = len(simulation.follower.calls)
    for _ in range(20):
        simulation.put_instance("i-0")  # a heartbeat, which changes nothing
        paused_clock.advance(0.5)
    instances = [c for c in simulation.follower.calls[before:] if "keyed.servers" in c]
    assert not instances and simulation.follower.versions == [3]


def test_follower_applies_instance_changes_from_relays(paused_clock, simulation):
    before = len(simulation.follower.calls)
    simulation.put_instance("i-0", state="draining")
    simulation.put_instance("i-9")
    simulation.store.put("keyed.servers", "i-1", b"")
    paused_clock.advance(RELAY_READ_INTERVAL_S + RELAY_UPDATE_INTERVAL_S + 0.05)
    assert simulation.draining("i-0")
    assert simulation.names() == ["i-0", "i-2", "i-3", "i-9"]
    assert not [c for c in simulation.follower.calls[before:] if "keyed.servers" in c]


def test_follower_learns_when_a_head_starts_and_stops_serving(paused_clock, simulation):
    def group(state, rank):
        return {"name": "g", "epoch": 4, "rank": rank, "state": state}

    models = [{"name": "big", "version": 1}]
    simulation.put_instance("i-0", group=group("open", 0), models=models)
    simulation.put_instance("i-1", group=group("ready", 1), models=models)
    paused_clock.advance(RELAY_READ_INTERVAL_S + RELAY_UPDATE_INTERVAL_S + 0.05)
    fleet = simulation.follower.fleet
    assert fleet.get(InstanceId("i-0")).is_serving_head
    assert fleet.get(InstanceId("i-1")).membership is None  # only lease holders need it
    simulation.put_instance("i-0", group=group("broken", 0), models=models)
    paused_clock.advance(RELAY_READ_INTERVAL_S + RELAY_UPDATE_INTERVAL_S + 0.05)
    assert not fleet.get(InstanceId("i-0")).is_serving_head


def test_follower_reads_a_new_configuration_itself(paused_clock, simulation):
    simulation.put_config(7)
    for relay in simulation.relays:
        relay.all_feeds[0]._read_now()
    paused_clock.advance(5.0)
    assert simulation.follower.versions == [3, 7]


def test_follower_learns_from_relays_that_an_instance_is_cold_again(
    paused_clock, simulation
):
    # Guards against relays that forward only what changes the place of an instance.
    before = len(simulation.follower.calls)
    simulation.put_instance("i-1", **{"cold-remaining-ms": 4000, "sequence": 1})
    paused_clock.advance(RELAY_READ_INTERVAL_S + RELAY_UPDATE_INTERVAL_S + 0.05)
    assert simulation.follower.cold_starts.current() == ["i-1"]
    assert not [c for c in simulation.follower.calls[before:] if "keyed.servers" in c]
    simulation.put_instance("i-1", **{"cold-remaining-ms": 0, "sequence": 2})
    paused_clock.advance(3.0)
    assert simulation.follower.cold_starts.current() == ["i-1"]
    paused_clock.advance(2.0)
    assert simulation.follower.cold_starts.current() == []


def test_follower_learns_in_time_of_evacuations(paused_clock, simulation):
    simulation.store.put("keyed.op", "evacuate/z0", b"{}")
    paused_clock.advance(EVACUATE_S)
    assert simulation.follower.evacuations.domains() == ["z0"]
    simulation.store.put("keyed.op", "evacuate/z0", b"")
    paused_clock.advance(EVACUATE_S)
    assert simulation.follower.evacuations.domains() == []
    assert simulation.follower.versions == [3]


@pytest.mark.parametrize("silent", [1, 2])
def test_follower_reads_itself_with_fewer_than_two_relays(
    paused_clock, simulation, silent
):
    for relay in simulation.relays[:silent]:
        relay.silent = True
    paused_clock.advance(CONFIRMATION_MAX_AGE_S + FOLLOW_CHECK_INTERVAL_S)
    simulation.put_instance("i-0", state="draining")
    paused_clock.advance(DRAIN_S)
    assert simulation.draining("i-0")
    assert any("keyed.servers" in call for call in simulation.follower.calls[-4:])


def test_relays_that_lost_the_store_are_not_relied_on(paused_clock, simulation):
    for relay in simulation.relays:
        relay.cut_from_store = True
    simulation.put_instance("i-0", state="draining")
    paused_clock.advance(DRAIN_S)
    assert simulation.draining("i-0")


def test_configuration_missed_by_relays_is_read_in_time(paused_clock, simulation):
    for relay in simulation.relays:
        relay.cut_from_store = True
    simulation.put_config(7)
    paused_clock.advance(STORE_LOST_AFTER_S)
    for relay in simulation.relays:
        relay.silent = True  # by now they have noticed, and send no positions
    paused_clock.advance(DRAIN_S - STORE_LOST_AFTER_S)
    assert simulation.follower.versions == [3, 7]


def test_follower_that_the_store_turns_away_reads_at_its_usual_interval(paused_clock):
    # Each relay tells it several times a second that there is a newer configuration.
    simulation = RelaySimulation(paused_clock, relays=8)
    follower = simulation.follower
    follower.is_turned_away = True
    simulation.put_config(4)
    paused_clock.advance(0.5)
    before = len(follower.calls)
    paused_clock.advance(5.0)
    reads = [call for call in follower.calls[before:] if "keyed.op" in call]
    assert 1 <= len(reads) <= 5.0 / RETRY_INTERVAL_S + 1
    follower.is_turned_away = False
    paused_clock.advance(RETRY_INTERVAL_S + 0.05)
    assert follower.versions == [3, 4]


@pytest.mark.parametrize("name", ["relay", "follower"])
def test_configuration_is_in_force_soon_after_an_outage_with_many_versions(
    paused_clock, name
):
    # On a slow link, all versions took longer than a read may, again and again.
    simulation = RelaySimulation(paused_clock, relays=8)
    entry = simulation.relays[0] if name == "relay" else simulation.follower
    entry.is_turned_away = True
    for version in range(4, 30):
        simulation.put_config(version)
        paused_clock.advance(0.2)
    entry.is_turned_away = False
    entry.bytes_per_s = simulation.config_bytes() * 26 / (2 * CONFIG_APPLY_S)
    paused_clock.advance(CONFIG_APPLY_S)
    assert entry.versions[-1] == 29


def test_follower_that_missed_an_update_reads_itself(paused_clock, simulation):
    before = len(simulation.follower.calls)
    for relay in simulation.relays:
        relay.feeds.own_positions(records=True)  # an update that is lost
    simulation.put_instance("i-0", state="draining")
    paused_clock.advance(RELAY_READ_INTERVAL_S)
    for relay in simulation.relays:
        relay.feeds.own_positions(records=True)
    paused_clock.advance(RELAY_READ_INTERVAL_S + RELAY_UPDATE_INTERVAL_S + 0.2)
    assert simulation.draining("i-0")
    assert any("keyed.servers" in call for call in simulation.follower.calls[before:])


def test_follower_that_each_message_outdates_reads_at_a_bounded_rate(paused_clock):
    # While 90 entries started, each read the store at each message of a relay.
    simulation = RelaySimulation(paused_clock, relays=8)
    follower = simulation.follower
    before = len(follower.calls)
    for number in range(100):
        for relay in simulation.relays:
            relay.feeds.own_positions(records=True)  # an update that is lost
        simulation.put_instance(f"k-{number}")
        paused_clock.advance(0.05)
    reads = [call for call in follower.calls[before:] if "keyed.servers" in call]
    assert 1 <= len(reads) <= 5.0 / CATCH_UP_INTERVAL_S + 1


def test_news_of_relays_does_not_put_off_a_read(paused_clock, simulation):
    # A configuration that has just been read is followed by the next read at once.
    config = simulation.follower.all_feeds[0]
    config._read_started_s = paused_clock.now()
    config._schedule_read(0.02)
    due_s = config._timer.due_s
    config._read_now()
    assert config._timer.due_s <= due_s


def test_relays_that_know_no_age_do_not_make_the_configuration_late(
    paused_clock, simulation, caplog
):
    # Each start in a crowd logged that the configuration was an hour old.
    for feed in simulation.relays[0].all_feeds:
        feed._current_s = float("-inf")
    position = simulation.relays[0].all_feeds[0].position(records=False)
    config = simulation.follower.all_feeds[0]
    config._known_s = float("-inf")
    config.apply_position(EntryId("relay-0"), position)
    paused_clock.advance(0.1)
    config._on_read_succeeded(paused_clock.now())
    assert "configuration read late" not in caplog.messages


class DirectoryPair:
    """The directory of a relay that forwards records, and that of a follower."""

    def __init__(self, clock):
        self.clock = clock
        self.store = PlatformStore(clock=clock)
        self.calls = []
        self.relay, self.follower = map(self._start, ("relay", "follower"))
        clock.advance(0.5)
        self.follower.set_following(True)
        self._send()
        clock.advance(2.0)
        self.calls.clear()

    def _start(self, name):
        client = MemoryClient(clock=self.clock)

        def call(exchange):
            self.calls.append((name, exchange.target))
            answer = self.store.handle(exchange.method, exchange.target, exchange.body)
            is_long_poll = "wait-ms" in exchange.target
            if not is_long_poll or len(answer[1]) > 16:
                exchange.answer(*answer)
                return
            self.clock.call_later(0.2, lambda: exchange.answer(*answer))

        client.handlers[STORE_ADDRESS] = call
        directory = StoreDirectory(
            store=LogStore(client=client, address=STORE_ADDRESS),
            clock=self.clock,
            name=EntryId(name),
            record=EntryRecord("10.0.0.1:7000"),
            on_changed=lambda: None,
        )
        directory.start()
        return directory

    def _send(self):
        self.clock.call_later(RELAY_UPDATE_INTERVAL_S, self._send)
        self.position = self.relay.position(records=True)
        for sender in ("relay", "relay-2"):  # the other one has read as far
            if self.position is not None:
                self.follower.apply_position(EntryId(sender), self.position)
        self.follower.resume_if_unconfirmed()

    def follower_reads(self):
        return [target for name, target in self.calls if name == "follower"]


def test_relays_forward_announcements_of_entries(paused_clock):
    # Each of 90 entries read the store for each announcement of another.
    pair = DirectoryPair(paused_clock)
    pair.store.put(ENTRIES_TOPIC, "entry/late", b'{"address": "10.0.0.9:7000"}')
    paused_clock.advance(1.0)
    assert pair.follower.addresses()["late"] == "10.0.0.9:7000"
    pair.store.put(ENTRIES_TOPIC, "entry/late", b"")
    paused_clock.advance(1.0)
    assert "late" not in pair.follower.addresses()
    assert not pair.follower_reads()


def test_relays_do_not_forward_the_frame_key(paused_clock):
    # Frames are not encrypted.
    pair = DirectoryPair(paused_clock)
    pair.store.put(ENTRIES_TOPIC, "entry/late", b'{"address": "10.0.0.9:7000"}')
    pair.store.put(ENTRIES_TOPIC, FRAME_KEY_RECORD, b"another key")
    forwarded = []
    for _ in range(10):
        paused_clock.advance(0.1)
        forwarded += pair.position.records
    assert FRAME_KEY_RECORD not in [key for _, key, _ in forwarded]
    assert pair.follower.frame_key == b"another key"
    assert pair.follower.addresses()["late"] == "10.0.0.9:7000"
    assert pair.follower_reads()


def test_deletion_missed_by_relays_reaches_the_follower(paused_clock, simulation):
    # The store deleted its records: the newest records that a relay reads then do not
    # name the deleted key.
    for relay in simulation.relays:
        relay.cut_from_store = True
    simulation.store.put("keyed.servers", "i-1", b"")
    simulation.store.delete_records("keyed.servers")
    for relay in simulation.relays:
        relay.cut_from_store = False
    paused_clock.advance(DRAIN_S)
    assert simulation.names() == ["i-0", "i-2", "i-3"]


def test_many_changes_at_once_are_read_from_the_store(paused_clock, simulation):
    before = len(simulation.follower.calls)
    for number in range(MAX_FORWARDED_RECORDS + 10):
        simulation.put_instance(f"j-{number}")
    paused_clock.advance(RELAY_READ_INTERVAL_S + RELAY_UPDATE_INTERVAL_S + 0.2)
    assert len(simulation.names()) == 4 + MAX_FORWARDED_RECORDS + 10
    assert any("keyed.servers" in call for call in simulation.follower.calls[before:])


def test_entry_that_stops_following_reads_a_snapshot(paused_clock, simulation):
    models = [{"name": "big", "version": 1}]
    group = {"name": "g", "epoch": 4, "rank": 1, "state": "ready"}
    simulation.put_instance("i-1", group=group, models=models, staged=["big"])
    paused_clock.advance(1.0)
    simulation.follower.feeds.set_following(False)
    paused_clock.advance(0.1)
    seen = simulation.follower.fleet.get(InstanceId("i-1"))
    assert seen.membership.rank == 1 and seen.staged == ("big",)
    assert simulation.follower.fleet.registered_s(InstanceId("i-1")) >= 2.0


def test_registration_from_before_a_read_does_not_show_that_an_instance_lives(
    paused_clock, simulation
):
    fleet, name = simulation.relays[0].fleet, InstanceId("i-0")
    simulation.put_instance("i-0", sequence=1)
    paused_clock.advance(0.01)
    written_s = paused_clock.now()
    paused_clock.advance(2 * RELAY_READ_INTERVAL_S)
    assert fleet.alive_since_s(name) < written_s
    for relay in simulation.relays:
        relay.all_feeds[1].set_following(True)
        relay.all_feeds[1].set_following(False)  # reads all registrations anew
    paused_clock.advance(2 * RELAY_READ_INTERVAL_S)
    assert fleet.alive_since_s(name) < written_s
    simulation.put_instance("i-0", sequence=2)
    paused_clock.advance(2 * RELAY_READ_INTERVAL_S)
    assert written_s < fleet.alive_since_s(name) < paused_clock.now()
