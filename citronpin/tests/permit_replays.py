"""Replays of a plain service all of whose instances are cold, with and without a wait.

Each of 90 entries asks the owners of the limits for permits; messages take 3 ms.
Run with seeds, for example ``python -m citronpin.tests.permit_replays 0-8``.
"""

import random
import statistics
import sys
from collections import Counter

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import (
    ApplicationName,
    EntryId,
    FailureDomainName,
    InstanceId,
)
from citronpin.gateway.admission_queues import QueueKey, Waiter, wait_end_s
from citronpin.gateway.cold_starts import ColdStarts
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.instance_gates import InstanceGate
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import (
    BlockedRetryDelays,
    FirstEventTimes,
    ObjectiveLoadLimit,
    Pending,
)
from citronpin.gateway.permits import SharedPermits
from citronpin.gateway.placers import Demand, LeastLoaded, Placement
from citronpin.gateway.rests import InstanceRests
from citronpin.gateway.routings import ServiceSpec
from citronpin.gateway.suspects import Suspects

SERVICE = ApplicationName("book")
DOMAIN = FailureDomainName("a")
PER_S = 18.0  # requests that a cold instance takes
ANSWER_S = 0.12
MESSAGE_S = 0.003
DEADLINE_S = 6.0
COLD_S = 60.0
FROM_S, TO_S, END_S = 3.0, 12.0, 19.0  # counted arrivals, last arrival, end


class PermitEntry:
    """The placement and permits of one entry."""

    def __init__(self, *, run, name):
        clock = run.clock
        self.run, self.name = run, name
        fleet = Fleet()
        fleet.is_loaded = True
        for number in range(run.instances):
            fleet.register(
                FleetInstance(
                    id=InstanceId(f"i{number}"),
                    service=SERVICE,
                    address="",
                    failure_domain=DOMAIN,
                    slots=6,
                    models=(),
                    membership=None,
                ),
                now_s=0.0,
            )
        cold_starts = ColdStarts(now=clock.now, fleet=fleet)
        cold_starts.set_services(
            [ServiceSpec(name=SERVICE, cold_start_s=COLD_S, cold_per_s=PER_S)]
        )
        limits = InstanceLimits(now=clock.now, cold_starts=cold_starts)
        for instance in fleet.all():
            cold_starts.record(instance, remaining_s=COLD_S, source="registration")
        self.permits = SharedPermits(entry=name, limits=limits, clock=clock)
        self.permits.connect(self._send)
        self.loads = LoadTracker()
        self.gate = InstanceGate(
            fleet=fleet,
            limits=limits,
            rests=InstanceRests(now=clock.now),
            suspects=Suspects(),
            clock=clock,
        )
        self.placer = LeastLoaded(
            fleet=fleet,
            loads=self.loads,
            gate=self.gate,
            failure_domain=DOMAIN,
            rng=random.Random(name),
            limit_policy=ObjectiveLoadLimit(first_event_times=FirstEventTimes()),
        )
        self.delays = BlockedRetryDelays()

    def _send(self, to, message):
        self.run.messages += 1
        permits = self.run.entries[to].permits
        self.run.clock.call_later(
            MESSAGE_S, lambda: permits.receive(self.name, message)
        )
        return True


class PermitCaller:
    """A caller that returns once after a refusal, through any entry."""

    def __init__(self, *, run):
        self.run = run
        self.created_s = run.clock.now()
        self.rng = random.Random(run.rng.random())
        self.entry = run.entries[run.rng.choice(run.names)]
        self.is_counted = self.created_s > FROM_S
        self.tries = 0
        self.send()

    def send(self):
        """Make a try at the current entry."""
        self.tries += 1
        self.end_s = None
        self.place()

    def place(self):
        """Ask for permits until one is granted or two were refused for each limit."""
        self.refused = 0.0
        self._place()

    def _place(self):
        now_s = self.run.clock.now()
        found = self.entry.placer.place(
            demand=Demand(
                pending=Pending(
                    service=SERVICE,
                    model=None,
                    objective_s=self.run.objective_s,
                    spent_s=now_s - self.created_s,
                ),
                accepts_limited=self.refused < 2,
            ),
            now_s=now_s,
        )
        if isinstance(found, Placement):
            self.entry.permits.acquire(
                found.instance, lambda granted: self._on_permit(found, granted)
            )
        else:
            self._on_failure(found)

    def _on_permit(self, found, granted):
        if not granted:
            self.refused += 0.5  # as `COLD_PERMIT_COST`
            self._place()
            return
        run, name = self.run, found.instance.id
        spent_s = run.clock.now() + ANSWER_S - self.created_s
        self._count("in time" if spent_s <= run.objective_s else "late")
        if self.end_s is not None:
            self._count("placed after a wait")
        self.entry.loads.request_started(name)
        loads = self.entry.loads
        run.clock.call_later(ANSWER_S, lambda: loads.request_ended(name))

    def _on_failure(self, failure):
        run, now_s = self.run, self.run.clock.now()
        first_s = min(map(self.entry.gate.wait_s, failure.blocked))
        again_s = max(first_s, 0.02)
        if self.end_s is None and run.waits:
            self.end_s = self._wait_end_s(now_s)
        if self.end_s is not None and now_s + again_s < self.end_s:
            run.clock.call_later(again_s, self.place)
        elif self.tries > 1:
            self._count("gave up")
        else:
            delay_s = self.entry.delays.delay_s(
                service=SERVICE,
                rate=PER_S * run.instances / len(run.names),
                rests=False,
                first_s=first_s,
                left_s=self.created_s + DEADLINE_S - now_s,
                draw=self.rng.random(),
                now_s=now_s,
            )
            self.entry = run.entries[self.rng.choice(run.names)]
            run.clock.call_later(delay_s, self.send)

    def _wait_end_s(self, now_s):
        waiter = Waiter(
            number=0,
            key=QueueKey(SERVICE, None),
            priority=3,
            customer=None,
            objective_s=self.created_s + self.run.objective_s,
            first_event_s=ANSWER_S,
        )
        return wait_end_s(waiter, objective_length_s=self.run.objective_s, now_s=now_s)

    def _count(self, what):
        if self.is_counted:
            self.run.counts[what] += 1


class PermitRun:
    """Replay of one load; ``load`` is relative to the permits of all instances."""

    def __init__(self, *, load, waits, seed, objective_s=0.6, instances=4, entries=90):
        self.clock = PausedClock()
        self.rng = random.Random(seed)
        self.instances, self.waits, self.objective_s = instances, waits, objective_s
        self.messages = 0
        self.counts = Counter()
        self.names = [EntryId(f"e{number}") for number in range(entries)]
        self.entries = {name: PermitEntry(run=self, name=name) for name in self.names}
        for entry in self.entries.values():
            entry.permits.set_members(owners=self.names, share=1.0)
        self.rate = load * PER_S * instances

    def run(self):
        """Run the replay and return itself."""
        self._arrive()
        self.clock.advance(END_S)
        return self

    def share(self, what):
        """Return the counted callers with a result as a share of all."""
        return self.counts[what] / self.counts["requests"]

    def _arrive(self):
        if self.clock.now() >= TO_S:
            return
        self.clock.call_later(self.rng.expovariate(self.rate), self._arrive)
        PermitCaller(run=self)._count("requests")


def main():
    """Print the shares of all callers for each load, with and without a wait."""
    first, end = map(int, sys.argv[1].split("-"))
    for objective_s in (0.6, 1.5):
        for load in (0.8, 0.9, 1.0, 1.1, 1.8):
            baseline = None
            for waits in (False, True):
                runs = [
                    PermitRun(
                        load=load, waits=waits, objective_s=objective_s, seed=seed
                    ).run()
                    for seed in range(first, end)
                ]
                in_time = [run.share("in time") for run in runs]
                baseline = baseline or in_time
                messages = sum(run.messages for run in runs)
                requests = sum(run.counts["requests"] for run in runs)
                print(
                    f"{objective_s} {load} {'wait' if waits else 'none'}:",
                    f"in time {statistics.mean(in_time):.3f}",
                    *(f"{one - other:+.3f}" for one, other in zip(in_time, baseline)),
                    *(
                        f"{what} {statistics.mean(run.share(what) for run in runs):.3f}"
                        for what in ("late", "gave up", "placed after a wait")
                    ),
                    f"messages {messages / requests:.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
