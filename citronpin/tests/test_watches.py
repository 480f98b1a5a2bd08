"""Tests how often members of a domain are polled, and when a death is noticed."""

import random
from statistics import median

import pytest

from citronpin.basics.clocks import PausedClock
from citronpin.basics.errors import TimedOut
from citronpin.basics.ids import GroupId, InstanceId, ModelName
from citronpin.gateway.fabric_controllers import TICK_INTERVAL_S
from citronpin.gateway.fleets import Fleet, FleetInstance, Membership, Phase
from citronpin.gateway.ports import InstanceControl, Report
from citronpin.gateway.watches import IDLE_POLL_INTERVAL_S, MemberWatch
from citronpin.platform.orders import REPORT_TIMEOUT_S

HEARTBEAT_S = 1.2
READ_INTERVAL_S = 0.3  # of a lease holder
MEMBERS = 4
CALM_S = 5.0
MAX_DEATH_S = 6.0
DEATHS = 60


class NoReach:
    """Stands for the reachability of an entry that reaches all instances."""

    def doubt(self, service):
        """Hear of a miss."""

    record_reply = doubt


class Members(InstanceControl):
    """A group whose members register and answer polls until they die."""

    def __init__(self, *, clock, is_crowd, rng):
        self.clock = clock
        self.is_crowd = is_crowd
        self.fleet = Fleet()
        self.dead = set()
        self.is_store_lost = False
        self.polls = {}
        self.written = {}
        self.instances = [self._instance(rank) for rank in range(MEMBERS)]
        self.watch = MemberWatch(
            control=self,
            fleet=self.fleet,
            clock=clock,
            heartbeat_s=HEARTBEAT_S,
            reach=NoReach(),
        )
        for instance in self.instances:
            self.fleet.register(instance, now_s=clock.now())
            clock.call_later(
                rng.random() * HEARTBEAT_S, lambda i=instance: self._write(i)
            )
        clock.call_later(rng.random() * READ_INTERVAL_S, self._read)
        clock.call_later(rng.random() * TICK_INTERVAL_S, self._tick)

    def _instance(self, rank):
        return FleetInstance(
            id=InstanceId(f"i-{rank}"),
            service="engines",
            address=f"10.0.0.{rank + 1}:80",
            failure_domain="a",
            slots=9,
            domain="d0",
            models=(ModelName("big"),),
            membership=Membership(
                group=GroupId("g"), epoch=4, rank=rank, phase=Phase.OPEN
            ),
        )

    def _write(self, instance):
        if instance.id not in self.dead:
            self.written[instance.id] = instance
            self.clock.call_later(HEARTBEAT_S, lambda: self._write(instance))

    def _read(self):
        self.clock.call_later(READ_INTERVAL_S, self._read)
        if self.is_store_lost:
            self.fleet.read_failed(now_s=self.clock.now())
            return
        for instance in self.written.values():
            self.fleet.register(instance, now_s=self.clock.now())
        self.written.clear()

    def _tick(self):
        self.clock.call_later(TICK_INTERVAL_S, self._tick)
        self.watch.poll(self.instances, busy=False, is_crowd=self.is_crowd)

    def report(self, *, of, done):
        self.polls[of.id] = self.polls.get(of.id, 0) + 1
        if of.id in self.dead:
            self.clock.call_later(
                REPORT_TIMEOUT_S, lambda: done(None, TimedOut("no answer"))
            )
            return
        report = Report(
            membership=of.membership,
            models=of.models,
            staged=(),
            born_ms=0,
            running=0,
            waiting=0,
        )
        self.clock.call_later(0.002, lambda: done(report, None))

    def order(self, **order):
        raise AssertionError("no order is sent")

    probe = order


def time_to_death_s(rank, is_crowd, seed):
    """Return how long after its end a member counts as dead."""
    clock, rng = PausedClock(), random.Random(seed)
    members = Members(clock=clock, is_crowd=is_crowd, rng=rng)
    clock.advance(CALM_S + rng.random() * HEARTBEAT_S)
    died_s, instance = clock.now(), members.instances[rank]
    members.dead.add(instance.id)
    while not members.watch.is_dead(instance):
        clock.advance(0.02)
        assert clock.now() - died_s < MAX_DEATH_S
    return clock.now() - died_s


@pytest.mark.parametrize("rank", [0, 2])
def test_deaths_are_noticed_no_later_in_a_crowd(rank):
    # Members that are polled less often could be taken for alive for longer.
    few = [time_to_death_s(rank, False, seed) for seed in range(DEATHS)]
    many = [time_to_death_s(rank, True, seed) for seed in range(DEATHS)]
    print(f"few entries: {median(few):.2f} s, at most {max(few):.2f}")
    print(f"many entries: {median(many):.2f} s, at most {max(many):.2f}")
    assert median(many) <= median(few) and max(many) <= max(few)


def test_heads_are_polled_more_often_in_a_crowd_and_other_members_less(paused_clock):
    few = Members(clock=paused_clock, is_crowd=False, rng=random.Random(1))
    many = Members(clock=paused_clock, is_crowd=True, rng=random.Random(1))
    paused_clock.advance(30.0)
    print(few.polls, many.polls)
    head, *others = (instance.id for instance in many.instances)
    assert many.polls[head] > 1.5 * few.polls[head]
    assert all(many.polls[other] < 0.6 * few.polls[other] for other in others)


def test_in_an_outage_of_the_store_members_are_polled_as_before(paused_clock):
    # The ages of all registrations grow, which must not lead to a burst of polls.
    members = Members(clock=paused_clock, is_crowd=True, rng=random.Random(1))
    paused_clock.advance(5.0)
    members.is_store_lost = True
    paused_clock.advance(2 * READ_INTERVAL_S)
    members.polls.clear()
    paused_clock.advance(10.0)
    _, *others = (instance.id for instance in members.instances)
    assert all(members.polls[other] <= 10.0 / IDLE_POLL_INTERVAL_S for other in others)


def test_members_of_a_head_that_is_silent_are_polled_fast(paused_clock):
    members = Members(clock=paused_clock, is_crowd=True, rng=random.Random(1))
    paused_clock.advance(5.0)
    members.dead |= {instance.id for instance in members.instances}
    paused_clock.advance(1.6)
    states = members.watch._states
    assert all(states[instance.id].misses >= 2 for instance in members.instances)
