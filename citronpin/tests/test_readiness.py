"""Tests of probes, readiness leases and their bounds, on a paused clock."""

import msgspec
import pytest
from result import Err, Ok

from citronpin.backends.engines import EngineClient, EngineStatus
from citronpin.basics.errors import ConnectionFailed, TimedOut
from citronpin.basics.ids import (
    EntryId,
    Fence,
    GroupId,
    InstanceId,
    control_stream,
    new_id,
)
from citronpin.control.readiness import READINESS_LEASE_S, ReadinessTable, readiness_key
from citronpin.control.watchers import (
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    Watcher,
    mismatch,
)
from citronpin.peers.messages import ReadinessChange
from citronpin.peers.overlays import rendezvous
from citronpin.peers.peers import DEAD_AFTER_S, Peers
from citronpin.state import records
from citronpin.state.logs import MemoryLog
from citronpin.state.states import GroupState
from citronpin.tests.meshes import FakeStates, MemoryLinks, Network, recorder_for

HOLDER = EntryId("holder")
STEP_S = 0.01
DISPATCH_BOUND_S = 2.0


class FakeEngines(EngineClient):
    """Answers with the status that is set for each instance."""

    def __init__(self, *, clock) -> None:
        self.clock = clock
        self.statuses = {}
        self.silent = set()
        self.cut_off = False
        self.answer_s = 0.001

    def status(self, *, address, done, timeout_s=1.0):
        if self.cut_off or address in self.silent:
            error = Err(TimedOut(f"{address} is silent."))
            self.clock.call_later(timeout_s, lambda: done(error))
            return
        self.clock.call_later(self.answer_s, lambda: self._answer(address, done))

    def _answer(self, address, done):
        status = self.statuses.get(address)
        done(Ok(status) if status else Err(ConnectionFailed("refused")))

    def submit(self, **_):
        raise NotImplementedError

    order = cache_events = submit


class Domain:
    """The groups of one fabric domain in the log, with matching engine statuses."""

    def __init__(self, *, name, log, groups, members=2) -> None:
        self.stream = control_stream(name)
        self.log = log
        self.fence = self.append(records.LeaseClaim(supersedes=-1))
        self.names = [GroupId(f"{name}-g{n}") for n in range(groups)]
        self.members = {
            group: tuple(InstanceId(f"{group}-i{n}") for n in range(members))
            for group in self.names
        }
        for group, instances in self.members.items():
            self.append(
                records.GroupForm(self.fence, group, "rota", instances, "m", "1")
            )
            self.move(group, GroupState.SERVING)

    def append(self, item):
        record = records.Record(1, new_id(), HOLDER, 0, (item,))
        return Fence(self.log.put(self.stream, records.encode_record(record)))

    def move(self, group, state):
        self.append(records.GroupMove(self.fence, group, state.value))

    def statuses(self):
        return {
            instance: EngineStatus(
                instance=instance,
                boot="b1",
                group=group,
                fence=self.fence,
                members=instances,
                model="m",
                version="1",
            )
            for group, instances in self.members.items()
            for instance in instances
        }


class Entry:
    """The components of one entry that handle readiness."""

    def __init__(self, *, name, network, log, statuses) -> None:
        clock = network.clock
        self.name = EntryId(name)
        self.recorder = recorder_for(name, clock)
        self.links = MemoryLinks(entry=name, network=network)
        self.peers = Peers(
            entry=self.name, clock=clock, recorder=self.recorder, links=self.links
        )
        self.states = FakeStates(entry=name, log=log, clock=clock)
        self.engines = FakeEngines(clock=clock)
        self.engines.statuses = statuses
        shared = {
            "entry": self.name,
            "clock": clock,
            "recorder": self.recorder,
            "mesh": self.peers,
            "states": self.states,
        }
        self.table = ReadinessTable(**shared)
        self.watcher = Watcher(
            **shared,
            engines=self.engines,
            address_of=lambda instance: instance,
            table=self.table,
        )


class World:
    """Several entries that watch the groups of some fabric domains."""

    def __init__(self, *, clock, entries=3, domains=2, groups=2, members=2) -> None:
        self.clock = clock
        self.network = Network(clock=clock)
        self.log = MemoryLog(clock=clock)
        self.domains = [
            Domain(name=f"d{n}", log=self.log, groups=groups, members=members)
            for n in range(domains)
        ]
        self.statuses = {}
        for domain in self.domains:
            self.statuses.update(domain.statuses())
        self.groups = [name for domain in self.domains for name in domain.names]
        self.entries = [
            Entry(
                name=f"e{n}",
                network=self.network,
                log=self.log,
                statuses=dict(self.statuses),
            )
            for n in range(entries)
        ]
        known = {entry.name: entry.links.address for entry in self.entries}
        for entry in self.entries:
            entry.peers.set_peers(known)
            for domain in self.domains:
                entry.states.follow(domain.stream)
        clock.advance(DEAD_AFTER_S + 1)

    def pull(self):
        for entry in self.entries:
            entry.states.pull()

    def usable(self, group):
        return [entry.table.usable(group) for entry in self.entries]

    def silence(self, instance):
        for entry in self.entries:
            entry.engines.silent.add(instance)

    def watchers(self, group):
        names = rendezvous(group, [entry.name for entry in self.entries], 2)
        return [entry for entry in self.entries if entry.name in names]

    def time_until_unusable(self, group, limit_s=5.0):
        start_s = self.clock.now()
        while any(self.usable(group)):
            self.clock.advance(STEP_S)
            assert self.clock.now() - start_s < limit_s
        return self.clock.now() - start_s


@pytest.fixture
def world(paused_clock):
    return World(clock=paused_clock)


def test_all_groups_become_and_stay_usable_without_faults(world, paused_clock):
    for _ in range(400):
        assert all(all(world.usable(group)) for group in world.groups)
        paused_clock.advance(0.05)


@pytest.mark.parametrize("phase", range(10))
def test_death_of_a_member_stops_dispatch_within_a_probe_interval(
    world, paused_clock, phase
):
    paused_clock.advance(phase * 0.05)
    victim = world.groups[phase % 4]
    world.silence(f"{victim}-i1")
    assert (
        world.time_until_unusable(victim)
        <= PROBE_INTERVAL_S + PROBE_TIMEOUT_S + 2 * STEP_S
    )
    paused_clock.advance(5)
    others = [group for group in world.groups if group != victim]
    assert not any(world.usable(victim))
    assert all(all(world.usable(group)) for group in others)
    assert "misses a member" in world.entries[0].table.explain(victim)


@pytest.mark.parametrize("phase", range(20))
@pytest.mark.parametrize("fault", ["paused", "cut", "slow", "late-pause"])
def test_no_dispatch_after_the_bound_when_watchers_also_fail(
    world, paused_clock, phase, fault
):
    """Leases alone keep the bound when reports of missing members never arrive."""
    paused_clock.advance(phase * 0.07)
    victim = world.groups[phase % 4]
    router = next(e for e in world.entries if e not in world.watchers(victim))
    if fault == "slow":
        world.network.delay_s.default_factory = lambda: 1.3
    if fault != "late-pause":
        break_watchers(world, victim, fault)
    world.silence(f"{victim}-i0")
    died_s = paused_clock.now()
    if fault == "late-pause":
        paused_clock.advance(0.2)
        break_watchers(world, victim, "paused")
    while paused_clock.now() < died_s + DISPATCH_BOUND_S:
        paused_clock.advance(0.05)
    for _ in range(100):
        assert not router.table.usable(victim)
        paused_clock.advance(0.05)
        if fault == "paused" and paused_clock.now() > died_s + 3:
            for watcher in world.watchers(victim):
                world.network.resume(watcher.links.address)


def break_watchers(world, victim, fault):
    for watcher in world.watchers(victim):
        if fault == "paused":
            world.network.held.add(watcher.links.address)
        elif fault == "cut":
            world.network.isolate(watcher.links.address)


def test_leases_expire_while_the_receiver_is_paused(world, paused_clock):
    entry = world.entries[0]
    group = next(g for g in world.groups if entry not in world.watchers(g))
    world.network.held.add(entry.links.address)
    paused_clock.advance(10)
    assert not entry.table.usable(group)
    # Beats that were held meanwhile echo old timestamps, so they renew nothing.
    held = world.network.held_frames.pop(entry.links.address)
    for frame in held:
        entry.links.arrive(frame)
    assert not entry.table.usable(group)
    world.network.held.clear()
    paused_clock.advance(4)
    assert entry.table.usable(group)


def test_pause_of_a_watcher_does_not_report_missing_members(world, paused_clock):
    paused_clock.advance(0.3)
    for instance in world.statuses:
        world.silence(instance)
    paused_clock.advance(PROBE_TIMEOUT_S - STEP_S)  # Probes are in flight now.
    for entry in world.entries:
        entry.engines.silent.clear()
    before = [len(entry.recorder.since()) for entry in world.entries]
    world.clock._now_s += 3.0
    assert not any(any(world.usable(group)) for group in world.groups)
    paused_clock.advance(3.0)
    assert all(all(world.usable(group)) for group in world.groups)
    for entry, count in zip(world.entries, before):
        later = entry.recorder.since(count)
        assert not [event for event in later if "not ready" in event.detail]


def test_entry_cut_off_from_all_watchers_dispatches_nothing(world, paused_clock):
    entry = world.entries[0]
    group = next(g for g in world.groups if entry not in world.watchers(g))
    world.network.isolate(entry.links.address)
    paused_clock.advance(READINESS_LEASE_S)
    # It soon watches all groups itself, but gives itself no lease while isolated.
    for _ in range(100):
        assert not entry.table.usable(group)
        paused_clock.advance(0.1)
    world.network.cut.clear()
    paused_clock.advance(4)
    assert entry.table.usable(group)


def test_report_of_a_missing_member_overrides_the_other_watcher(world, paused_clock):
    group = world.groups[0]
    first, second = world.watchers(group)
    first.engines.silent.add(f"{group}-i0")
    paused_clock.advance(1.0)
    assert not any(world.usable(group))
    assert second.watcher.fault(group) == ""
    first.engines.silent.clear()
    paused_clock.advance(1.0)
    assert all(world.usable(group))


def test_watcher_cut_off_from_all_members_reports_none_missing(world, paused_clock):
    world.entries[1].engines.cut_off = True
    paused_clock.advance(3)
    for _ in range(50):
        paused_clock.advance(0.1)
        assert all(all(world.usable(group)) for group in world.groups)


def test_groups_stay_usable_when_an_entry_dies(world, paused_clock):
    dead = world.entries.pop()
    world.network.isolate(dead.links.address)
    dead.peers.stop_links()
    for _ in range(200):
        paused_clock.advance(0.05)
        assert all(all(world.usable(group)) for group in world.groups)


def test_restarted_engine_is_not_used_until_its_group_forms_again(world, paused_clock):
    group = world.groups[0]
    instance = world.domains[0].members[group][1]
    again = msgspec.structs.replace(world.statuses[instance], boot="b2")
    for entry in world.entries:
        entry.engines.statuses[instance] = again
    assert world.time_until_unusable(group) <= PROBE_INTERVAL_S + 2 * STEP_S
    world.domains[0].move(group, GroupState.BROKEN)
    world.domains[0].move(group, GroupState.FORMING)
    world.domains[0].move(group, GroupState.SERVING)
    world.pull()
    assert not any(world.usable(group))
    paused_clock.advance(0.2)
    assert all(world.usable(group))


def test_recorded_state_takes_precedence_over_the_lease(world, paused_clock):
    group = world.groups[0]
    world.domains[0].move(group, GroupState.DRAINING)
    world.entries[0].states.pull()
    assert world.usable(group) == [False, True, True]
    world.pull()
    paused_clock.advance(5)
    assert not any(world.usable(group))
    assert "draining" in world.entries[0].table.explain(group)


def test_new_entry_requests_whole_sets(world, paused_clock):
    newcomer = Entry(
        name="new", network=world.network, log=world.log, statuses=world.statuses
    )
    world.entries.append(newcomer)
    known = {entry.name: entry.links.address for entry in world.entries}
    for entry in world.entries:
        entry.peers.set_peers(known)
        for domain in world.domains:
            entry.states.follow(domain.stream)
    paused_clock.advance(3)
    assert all(newcomer.table.usable(group) for group in world.groups)


def test_lost_change_gives_no_lease_until_the_whole_set_arrives(world, paused_clock):
    group = world.groups[0]
    entry = next(e for e in world.entries if e not in world.watchers(group))
    watcher = world.watchers(group)[0].name
    record = entry.table.record(group)
    entry.table.apply_change(watcher, ReadinessChange(number=99, base=98))
    entry.table.renew(watcher, 99, paused_clock.now())
    assert entry.table.usable(group)
    late = ReadinessChange(number=99, base=98, missing=(readiness_key(record),))
    entry.table.apply_change(watcher, late)
    assert not entry.table.usable(group)
    paused_clock.advance(3)
    assert entry.table.usable(group)


@pytest.mark.parametrize(
    "change",
    [
        {"group": None},
        {"group": "other"},
        {"fence": 99},
        {"members": ("x",)},
        {"model": "other"},
        {"version": "2"},
        {"adapters": ("a",)},
        {"loading": True},
        {"boot": "b2"},
    ],
)
def test_every_mismatch_with_the_record_is_detected(world, change):
    group = world.groups[0]
    record = world.entries[0].table.record(group)
    status = world.statuses[record.members[0]]
    assert mismatch(record, status, "b1") == ""
    assert mismatch(record, msgspec.structs.replace(status, **change), "b1")


def test_bytes_at_nine_entries_and_120_groups(paused_clock):
    world = World(clock=paused_clock, entries=9, domains=6, groups=20, members=1)
    before = [entry.peers.counters.sent_bytes for entry in world.entries]
    paused_clock.advance(20)
    assert all(all(world.usable(group)) for group in world.groups)
    sent = [entry.peers.counters.sent_bytes for entry in world.entries]
    rates = [(now - then) / 20 for now, then in zip(sent, before)]
    # All that is sent is received, so bytes both ways per entry are twice the mean.
    assert 2 * sum(rates) / 9 < 2048
    assert sum(len(e.watcher.watched()) for e in world.entries) == 240
