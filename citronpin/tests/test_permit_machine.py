"""State machine over the permits of entries that freeze, boot and lose each other.

Whatever happens to entries and to the limits that instances name, an instance gets no
more requests than allowed from the entries that its answers told, cut off or not.
"""

import random

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from citronpin.basics.clocks import Clock, PausedClock
from citronpin.basics.ids import InstanceId
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.forward_peers import ForwardPeers
from citronpin.gateway.gossips import Gossip
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.permits import SharedPermits, UnlimitedPermits
from citronpin.gateway.quarantines import ConsecutiveCrashes, CrashQuarantine
from citronpin.gateway.reachabilities import Reachability
from citronpin.gateway.relays import RelayRole
from citronpin.gateway.suspects import Suspects
from citronpin.platform.orders import HttpInstanceControl
from citronpin.tests.meshes import MemoryLinks, Network
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.crashes import Leases, NoFeeds, NoGroups
from citronpin.tests.platforms.limits import count_excess

INSTANCES = 2
ANSWER_S = 0.06
STEP_S = 0.05
SIZES = {3: (40, 30), 9: (20, 30), 30: (5, 20), 89: (2, 12)}  # examples, steps
rates = st.sampled_from([1.0, 1.6, 4.0])


class EntryClock(Clock):
    """Clock of one entry; while frozen, it runs no timers, but time advances."""

    def __init__(self, *, shared):
        super().__init__()
        self.shared = shared
        self.frozen = False

    def now(self):
        return self.shared.now()

    def now_with_suspend(self):
        return self.shared.now()

    def wall_ms(self):
        return self.shared.wall_ms()


class LimitedInstance:
    """An instance whose answers name a limit."""

    def __init__(self, name):
        self.name = InstanceId(name)
        self.limit = None
        self.arrivals = []
        self.told_s = {}

    def registration(self):
        return FleetInstance(
            id=self.name,
            service="book",
            address="10.0.0.1:80",
            failure_domain="a",
            slots=9,
        )

    def begin_count(self):
        """Forget what came before a change of the limit, which all have to learn."""
        self.arrivals, self.told_s = [], {}


class PermitEntry:
    """An entry that asks for permits and sends at once what it may."""

    def __init__(self, *, name, machine):
        self.name = name
        self.machine = machine
        self.clock = EntryClock(shared=machine.clock)
        self.fleet = Fleet()
        for instance in machine.instances:
            self.fleet.register(instance.registration(), now_s=0.0)
        self.limits = machine.make_limits(self)
        self.permits = machine.make_permits(self)
        self.peers = {other: other for other in machine.names if other != name}
        rng = random.Random(1)
        client = MemoryClient(clock=self.clock)
        self.gossip = Gossip(
            links=MemoryLinks(entry=name, network=machine.network),
            addresses=lambda: self.peers,
            loads=LoadTracker(),
            suspects=Suspects(),
            quarantine=CrashQuarantine(policy=ConsecutiveCrashes()),
            limits=self.limits,
            permits=self.permits,
            fleet=self.fleet,
            fabrics=NoGroups(),
            leases=Leases(),
            role=RelayRole(name=name),
            feeds=NoFeeds(),
            reach=Reachability(
                fleet=self.fleet,
                client=client,
                control=HttpInstanceControl(client=client),
                clock=self.clock,
                rng=rng,
            ),
            forward_peers=ForwardPeers(failure_domain="a", clock=self.clock, rng=rng),
            clock=self.clock,
        )
        self.gossip.start()

    def send(self, instance):
        """Send a request to an instance if a permit is to be had."""
        registration = self.fleet.get(instance.name)
        if self.limits.wait_s(registration) == 0.0:
            self.permits.acquire(
                registration, lambda granted: granted and self._send_now(instance)
            )

    def _send_now(self, instance):
        sent_s = self.clock.now()
        instance.arrivals.append((sent_s, self))
        rate = instance.limit
        self.clock.call_later(ANSWER_S, lambda: self._answer(instance, rate, sent_s))

    def _answer(self, instance, rate, sent_s):
        if rate is not None and rate == instance.limit:
            instance.told_s.setdefault(self, self.clock.now())
        registration = self.fleet.get(instance.name)
        self.limits.record_answer(registration, rate=rate, sent_s=sent_s)


class PermitMachine(RuleBasedStateMachine):
    """All entries send as much as they may, and much happens to them."""

    size = 3

    def make_permits(self, entry):
        return SharedPermits(entry=entry.name, limits=entry.limits, clock=entry.clock)

    def make_limits(self, entry):
        return InstanceLimits(now=entry.clock.now)

    def __init__(self):
        super().__init__()
        self.clock = PausedClock()
        self.network = Network(clock=self.clock)
        self.instances = [LimitedInstance(f"i-{n}") for n in range(INSTANCES)]
        self.names = [f"n{n}" for n in range(self.size)]
        self.entries = {
            name: PermitEntry(name=name, machine=self) for name in self.names
        }
        self.cut_off = set()
        self.advance(1.0, requests=0.5)
        self.begin_limit(1.6)

    def pick(self, number):
        return self.names[number % self.size]

    def advance(self, seconds, requests=2.0):
        """Let time pass; each entry sends so many requests a second to an instance."""
        interval = max(round(1 / (requests * STEP_S)), 1)
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for number, entry in enumerate(self.entries.values()):
                if entry.clock.frozen:
                    continue
                entry.clock.run_due()
                if (step + number) % interval == 0:
                    for instance in self.instances:
                        entry.send(instance)

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.5]))
    def let_time_pass(self, seconds):
        self.advance(seconds)
        self.check()

    @rule(rate=rates)
    def begin_limit(self, rate):
        for instance in self.instances:
            self.check()
            if instance.limit != rate:
                instance.limit = rate
                instance.begin_count()
        self.advance(0.5)

    @rule()
    def end_limit(self):
        for instance in self.instances:
            instance.limit = None
            instance.begin_count()
        self.advance(1.0)

    @rule(number=st.integers(0, 88))
    def toggle_freeze(self, number):
        entry = self.entries[self.pick(number)]
        address = f"tcp://{entry.name}"
        entry.clock.frozen = not entry.clock.frozen
        if entry.clock.frozen:
            self.network.paused_addresses.add(address)
        else:
            self.network.resume(address)
        self.advance(0.3)

    @rule(number=st.integers(0, 88))
    def boot(self, number):
        name = self.pick(number)
        self.network.paused_addresses.discard(f"tcp://{name}")
        self.network.held_frames.pop(f"tcp://{name}", None)
        self.entries[name].clock.frozen = True  # the timers of the old process end
        for instance in self.instances:
            instance.told_s.pop(self.entries[name], None)
        self.entries[name] = PermitEntry(name=name, machine=self)
        self.advance(0.3)

    @precondition(lambda self: not self.cut_off)
    @rule(numbers=st.sets(st.integers(0, 88), min_size=1, max_size=5))
    def cut_off_some(self, numbers):
        """Cut some entries off from the others, but not from each other."""
        self.cut_off = {f"tcp://{self.pick(number)}" for number in numbers}
        addresses = {f"tcp://{name}" for name in self.names}
        for one in self.cut_off:
            for other in addresses - self.cut_off:
                self.network.cut_links |= {(one, other), (other, one)}
        self.advance(2.5)
        self.check()

    @precondition(lambda self: self.cut_off)
    @rule()
    def heal(self):
        self.cut_off = set()
        self.network.cut_links.clear()
        self.advance(1.0)
        self.check()

    def check(self):
        for instance in self.instances:
            if instance.limit is not None:
                excess = count_excess(
                    instance.arrivals, instance.told_s, instance.limit
                )
                assert not excess, f"{excess:.1f} too many of {instance.limit} a second"

    def teardown(self):
        """Let all hear each other again; then most of each limit is used."""
        self.heal()
        for name in self.names:
            if self.entries[name].clock.frozen:
                self.toggle_freeze(self.names.index(name))
        self.begin_limit(4.0)
        self.advance(4.0)
        start_s = self.clock.now()
        self.advance(4.0)
        self.check()
        for instance in self.instances:
            count = sum(at_s > start_s for at_s, _ in instance.arrivals)
            assert count > 0.6 * 4.0 * instance.limit, f"only {count} requests in 4 s"


def options(size):
    examples, steps = SIZES[size]
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )


@pytest.mark.parametrize("entry_count", SIZES)
def test_instances_get_no_more_than_allowed_whatever_happens_to_entries(entry_count):
    class SizedMachine(PermitMachine):
        size = entry_count

    run_state_machine_as_test(SizedMachine, settings=options(entry_count))


class EachTakesAll(SharedPermits):
    """Issues the permits of each limit at every entry."""

    def owner(self, instance):
        return self._entry


class TakesAllWhenAlone(SharedPermits):
    """Issues the whole limit, however few entries it hears."""

    def set_members(self, *, owners, share):
        super().set_members(owners=owners, share=1.0)


class NeverGrants(SharedPermits):
    """Sends nothing to an instance that named a limit."""

    def acquire(self, instance, done):
        done(self._limits.rate(instance) is None)


@pytest.mark.parametrize(
    "faulty, message",
    [
        (UnlimitedPermits, "too many"),
        (EachTakesAll, "too many"),
        (TakesAllWhenAlone, "too many"),
        (NeverGrants, "only"),
    ],
)
def test_permit_machine_detects_faulty_permits(faulty, message):
    class FaultyMachine(PermitMachine):
        size = 9

        def make_permits(self, entry):
            if faulty is UnlimitedPermits:
                return UnconnectedPermits()
            return faulty(entry=entry.name, limits=entry.limits, clock=entry.clock)

    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(FaultyMachine, settings=options(9))


class UnconnectedPermits(UnlimitedPermits):
    """Permits every request, and owns no limit."""

    def connect(self, send):
        """Send nothing."""

    def set_members(self, *, owners, share):
        """Own nothing."""

    def owner(self, instance):
        return None
