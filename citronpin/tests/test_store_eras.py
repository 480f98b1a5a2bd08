"""Tests of a store that comes back from a copy and assigns offsets again."""

import json

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import DomainName, EntryId, InstanceId
from citronpin.gateway.fleets import Fleet
from citronpin.platform.directories import EntryRecord, StoreDirectory
from citronpin.platform.feeds import ConfigFeed, FleetFeed
from citronpin.platform.leases import PartitionLeases
from citronpin.platform.stores import EraListener, LogStore
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.simulations import STORE_ADDRESS, wire_config
from citronpin.tests.platforms.stores import PlatformStore

APPLY_S = 2.0
DRAIN_S = 2.0
LOST_S = 1.0  # by which the copies of these tests are older
DOMAINS = [DomainName(f"d{number}") for number in range(12)]
OPTIONS = settings(
    max_examples=25,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
FIRST_FAILURE = settings(OPTIONS, phases=[Phase.generate], report_multiple_bugs=False)


class Process:
    """One process at the store, which can be cut off from it."""

    def __init__(self, *, clock, platform_store):
        self.clock = clock
        self.is_cut_off = False
        self._platform_store = platform_store
        client = MemoryClient(clock=clock)
        client.handlers[STORE_ADDRESS] = self._ask
        self.store = LogStore(client=client, address=STORE_ADDRESS)

    def _ask(self, exchange):
        if self.is_cut_off:
            return
        answer = self._platform_store.handle(
            exchange.method, exchange.target, exchange.body
        )
        if answer is not None:
            exchange.answer(*answer)


@pytest.fixture
def platform_store(paused_clock):
    return PlatformStore(clock=paused_clock)


@pytest.fixture
def make_process(paused_clock, platform_store):
    return lambda: Process(clock=paused_clock, platform_store=platform_store)


def put_config(platform_store, version):
    data = json.dumps(wire_config(version=version)).encode()
    platform_store.put("keyed.op", "config", data)


def put_instance(platform_store, name, sequence, **changes):
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
        "sequence": sequence,
    }
    data = json.dumps(registration | changes).encode()
    platform_store.put("keyed.servers", name, data)


@pytest.fixture
def applied_versions(paused_clock, platform_store, make_process):
    put_config(platform_store, 1)
    versions = []
    ConfigFeed(
        store=make_process().store,
        clock=paused_clock,
        apply=lambda cfg: versions.append(cfg.version),
        apply_s=APPLY_S,
    ).start()
    paused_clock.advance(2 * LOST_S)
    return versions


@pytest.fixture
def fleet(paused_clock, platform_store, make_process):
    followed = Fleet()
    for number in range(3):
        put_instance(platform_store, f"i-{number}", 1)
    FleetFeed(
        store=make_process().store, clock=paused_clock, fleet=followed, drain_s=DRAIN_S
    ).start()
    paused_clock.advance(2 * LOST_S)
    return followed


def names(fleet):
    return sorted(instance.id for instance in fleet.all())


@pytest.mark.parametrize("rewritten", [[3], [2, 3], [2, 3, 4], [3, 3, 3, 3]])
def test_change_at_an_offset_that_was_read_before_is_in_force_in_time(
    paused_clock, platform_store, applied_versions, rewritten
):
    put_config(platform_store, 2)
    put_config(platform_store, 3)
    paused_clock.advance(LOST_S / 2)
    platform_store.go_back(LOST_S)
    for version in rewritten:
        put_config(platform_store, version)
    put_config(platform_store, 9)
    paused_clock.advance(APPLY_S)
    assert applied_versions[-1] == 9
    assert applied_versions == sorted(set(applied_versions))


def test_older_version_of_a_store_that_went_back_is_not_applied(
    paused_clock, platform_store, applied_versions
):
    put_config(platform_store, 5)
    paused_clock.advance(LOST_S / 2)
    platform_store.go_back(LOST_S)
    paused_clock.advance(APPLY_S)
    assert applied_versions == [1, 5]


def test_registration_at_an_offset_that_was_read_before_is_known_in_time(
    paused_clock, platform_store, fleet
):
    for sequence in range(2, 6):
        put_instance(platform_store, "i-0", sequence)
    paused_clock.advance(0.95)  # the feed has read them
    platform_store.go_back(LOST_S)
    for number in range(3):
        put_instance(platform_store, f"i-{number}", 7, state="draining")
    put_instance(platform_store, "i-3", 1)
    paused_clock.advance(DRAIN_S)
    assert names(fleet) == ["i-0", "i-1", "i-2", "i-3"]
    drains = {instance.id: instance.draining for instance in fleet.all()}
    assert drains == {"i-0": True, "i-1": True, "i-2": True, "i-3": False}


def test_instance_that_drained_stays_so_when_the_copy_says_otherwise(
    paused_clock, platform_store, fleet
):
    put_instance(platform_store, "i-0", 2, state="draining")
    paused_clock.advance(0.95)
    platform_store.go_back(LOST_S)
    for _ in range(20):
        paused_clock.advance(0.1)
        assert fleet.get(InstanceId("i-0")).draining


def test_instance_that_left_is_not_listed_again_by_the_copy(
    paused_clock, platform_store, fleet
):
    platform_store.put("keyed.servers", "i-0", b"")
    paused_clock.advance(0.95)
    assert names(fleet) == ["i-1", "i-2"]
    platform_store.go_back(LOST_S)
    paused_clock.advance(1.0)
    assert names(fleet) == ["i-1", "i-2"]
    put_instance(platform_store, "i-0", 1, born=2_000)  # it has started again
    paused_clock.advance(1.0)
    assert names(fleet) == ["i-0", "i-1", "i-2"]


def test_instance_that_the_copy_lacks_is_kept_until_it_has_registered_again(
    paused_clock, platform_store, fleet
):
    put_instance(platform_store, "i-9", 1)
    paused_clock.advance(0.95)
    platform_store.go_back(LOST_S)
    paused_clock.advance(1.5)
    assert "i-9" in names(fleet)
    paused_clock.advance(3.0)
    assert "i-9" not in names(fleet)


def test_new_era_is_logged_once_with_what_is_read_and_written_anew(
    paused_clock, platform_store, make_process, caplog
):
    process = make_process()
    make_leases(process, "a").start()
    put_config(platform_store, 1)
    ConfigFeed(
        store=process.store,
        clock=paused_clock,
        apply=lambda cfg: None,
        apply_s=APPLY_S,
    ).start()
    paused_clock.advance(2.0)
    platform_store.go_back(LOST_S)
    paused_clock.advance(2.0)
    (line,) = [r for r in caplog.records if r.message.startswith("store restored")]
    assert (line.previous_era, line.era) == (1, 2)
    assert line.actions == ["join the reader group", "read keyed.op"]


def make_leases(process, name):
    return PartitionLeases(
        store=process.store,
        clock=process.clock,
        member=name,
        parts=24,
        ttl_min_ms=1000,
    )


def test_leases_are_renewed_when_the_store_went_back(
    paused_clock, platform_store, make_process
):
    leases = make_leases(make_process(), "a")
    leases.start()
    paused_clock.advance(3.0)
    for number in range(3):  # raises the generation
        other = make_leases(make_process(), f"other-{number}")
        other.start()
        paused_clock.advance(0.2)
        other.stop()
    generation = leases.generation
    platform_store.go_back(LOST_S)
    paused_clock.advance(2.0)
    assert any(leases.holds(domain) for domain in DOMAINS)
    paused_clock.advance(3.0)
    assert all(leases.holds(domain) for domain in DOMAINS)
    assert leases.generation > generation


class LeaseMachine(RuleBasedStateMachine):
    """Starts, stops and cuts off processes while the store goes back repeatedly."""

    leases_class = PartitionLeases

    def __init__(self):
        super().__init__()
        self.clock = PausedClock()
        self.store = PlatformStore(clock=self.clock)
        self.processes = {}
        self.count = 0
        self.generations = {}
        for _ in range(2):
            self.start()

    @rule()
    def start(self):
        if len(self.processes) == 4:
            return
        self.count += 1
        process = Process(clock=self.clock, platform_store=self.store)
        process.leases = self.leases_class(
            store=process.store,
            clock=self.clock,
            member=f"p{self.count}",
            parts=24,
            ttl_min_ms=1000,
        )
        process.leases.start()
        self.processes[f"p{self.count}"] = process

    @precondition(lambda self: len(self.processes) > 1)
    @rule(data=st.data(), planned=st.booleans())
    def end(self, data, planned):
        name = data.draw(st.sampled_from(sorted(self.processes)))
        process = self.processes.pop(name)
        if planned:
            process.leases.stop()
        process.is_cut_off = not planned

    @rule(data=st.data())
    def toggle_cut(self, data):
        name = data.draw(st.sampled_from(sorted(self.processes)))
        process = self.processes[name]
        process.is_cut_off = not process.is_cut_off

    @rule(lost_s=st.sampled_from([0.3, 1.0, 3.0]), away_s=st.sampled_from([0.0, 0.5]))
    def go_back(self, lost_s, away_s):
        self.store.silent = True
        self.advance(away_s)
        self.store.go_back(lost_s)
        self.store.silent = False

    @rule(
        waited_s=st.sampled_from([0.45, 0.9, 2.3]),
        away_s=st.sampled_from([0.0, 0.5]),
        planned=st.booleans(),
        data=st.data(),
    )
    def go_back_to_before_a_change_of_members(self, waited_s, away_s, planned, data):
        if len(self.processes) < 4:
            self.start()
        else:
            self.end(data, planned)
        self.advance(waited_s)
        self.go_back(waited_s + 0.1, away_s)
        self.advance(0.6)

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.9, 2.5]))
    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.no_domain_has_two_holders()

    @invariant()
    def no_domain_has_two_holders(self):
        for domain in DOMAINS:
            holders = [
                name
                for name, process in self.processes.items()
                if process.leases.holds(domain)
            ]
            assert len(holders) <= 1, f"{domain} has {holders}"

    @invariant()
    def no_generation_of_an_earlier_era_is_named(self):
        assert not self.store.violations

    @invariant()
    def generations_never_fall(self):
        for name, process in self.processes.items():
            assert process.leases.generation >= self.generations.get(name, 0)
            self.generations[name] = process.leases.generation

    def teardown(self):
        for process in self.processes.values():
            process.is_cut_off = False
        self.advance(6.0)
        for domain in DOMAINS:
            held = [p for p in self.processes.values() if p.leases.holds(domain)]
            assert len(held) == 1, f"{domain} has no holder"


def test_no_domain_has_two_holders_while_the_store_goes_back():
    run_state_machine_as_test(LeaseMachine, settings=OPTIONS)


class KeepsTheGeneration(PartitionLeases):
    """Compares generations of different eras."""

    def on_new_era(self):
        return ""


class UsesGrantsAtOnce(PartitionLeases):
    """Uses a partition as soon as the store assigns it in a new era."""

    @property
    def _held_partitions(self):
        return self._assigned_partitions


@pytest.mark.parametrize("faulty", [KeepsTheGeneration, UsesGrantsAtOnce])
def test_lease_machine_detects_faulty_leases(faulty):
    class FaultyMachine(LeaseMachine):
        leases_class = faulty

    with pytest.raises(AssertionError):
        run_state_machine_as_test(FaultyMachine, settings=FIRST_FAILURE)


@pytest.fixture
def start_directory(paused_clock, make_process):
    def start(name):
        directory = StoreDirectory(
            store=make_process().store,
            clock=paused_clock,
            name=EntryId(name),
            record=EntryRecord(f"10.0.0.{name[1:]}:7000"),
            on_changed=lambda: None,
        )
        directory.start()
        return directory

    return start


def poll_store(clock, directories):
    """Let each entry call the store, as the renewals of its leases do."""
    for directory in directories:
        directory._store.leave_group(group="g", member="m", done=lambda result: None)
    clock.advance(0.4)


def test_entries_keep_each_other_and_their_key_when_announcements_are_lost(
    paused_clock, platform_store, start_directory
):
    entries = [start_directory("n0"), start_directory("n1")]
    paused_clock.advance(LOST_S / 2)
    key = entries[0].frame_key
    platform_store.go_back(LOST_S)  # to an empty topic
    late = start_directory("n2")
    for _ in range(15):
        poll_store(paused_clock, entries)
        assert entries[0].addresses().get("n1") == "10.0.0.1:7000"
        assert entries[1].addresses().get("n0") == "10.0.0.0:7000"
    everyone = [*entries, late]
    assert len({directory.frame_key for directory in everyone}) == 1
    assert all(len(directory.addresses()) == 2 for directory in everyone)
    assert key is not None


def test_entry_that_leaves_as_the_store_goes_back_is_forgotten(
    paused_clock, platform_store, start_directory
):
    entries = [start_directory("n0"), start_directory("n1")]
    paused_clock.advance(0.5)
    assert "n1" in entries[0].addresses()
    platform_store.go_back(0.1)
    entries[1].withdraw()
    for _ in range(12):
        poll_store(paused_clock, entries)
    assert "n1" not in entries[0].addresses()


# Guards against a call that never ends when the new era is not handled.
def test_a_listener_that_raises_in_a_new_era_ends_no_call(
    paused_clock, platform_store, make_process
):
    store = make_process().store

    class RaisingListener(EraListener):
        def on_new_era(self):
            raise RuntimeError("era")

    results = []
    store.read_newest(topic="keyed.op", done=results.append)
    paused_clock.advance(0.1)
    store.add_era_listener(RaisingListener())
    platform_store.go_back(0.0)
    store.read_newest(topic="keyed.op", done=results.append)
    with pytest.raises(RuntimeError):
        paused_clock.advance(0.1)
    assert results[0].is_ok() and results[1].is_err()
