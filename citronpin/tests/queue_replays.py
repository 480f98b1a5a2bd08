"""Replays of loads near and above the capacity with a wait for a slot at entries.

Run with seeds, objectives, loads (or `burst`) and behaviors, for example
``python -m citronpin.tests.queue_replays 0-6 0.3 0.9,burst none,wait``.
"""

import itertools
import random
import statistics
import sys
from collections import Counter

import msgspec

from citronpin.basics.ids import CustomerName
from citronpin.benches.crowds import (
    ENGINE,
    MODEL,
    SERVICE,
    CrowdCase,
    CrowdRequest,
    CrowdRun,
    Policy,
)
from citronpin.gateway.admission_levels import (
    Admitted,
    LevelAdmission,
    OpenAdmission,
    Refused,
)
from citronpin.gateway.admission_queues import (
    AdmissionQueue,
    NoQueue,
    QueueKey,
    Waiter,
    wait_end_s,
)
from citronpin.gateway.budgets import RetryBudget
from citronpin.gateway.capacities import FleetCapacity
from citronpin.gateway.instance_gates import InstanceGate
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.overloads import Pending, RetryDelays
from citronpin.gateway.placers import Demand, Placement
from citronpin.gateway.rests import InstanceRests
from citronpin.gateway.routings import (
    CallerLimits,
    GatewayConfig,
    RequestKind,
    Route,
    RoutingTable,
    ServiceSpec,
    Target,
    Tenant,
)

KEY = QueueKey(SERVICE, MODEL)
DEADLINE_S = 6.0
BUDGET = dict(ratio=0.2, slack=100.0, window_s=10.0)  # defaults of the settings


class QueueCase(CrowdCase, frozen=True, kw_only=True):
    """Parameters of a replay; ``share`` is the load outside of the burst."""

    slots: tuple[int, ...] = (10,) * 40
    burst_share: float = 0.0
    burst_from_s: float = 4.0
    burst_to_s: float = 18.0
    retries: int = 1  # of a caller, after `Retry-After`
    priorities: tuple[int, ...] = (3,)
    customers: int = 8


class QueueOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What entries do with a request that finds no slot."""

    waits: bool = False
    samples: int = 1  # placements tried at once
    freed_first: bool = False  # whether a waiting request tries the slot that was freed
    on_loads: bool = True  # whether waiting requests are tried when loads arrive
    levels: bool = False  # admission by priority


def make_table(case):
    """Return a configuration with a route for each priority."""
    return RoutingTable(
        cfg=GatewayConfig(
            version=1,
            routes=tuple(
                Route(
                    name=f"r{priority}",
                    host=f"h{priority}",
                    prefix="/",
                    kind=RequestKind.STREAM,
                    targets=(Target(service=SERVICE),),
                    timeout_s=DEADLINE_S,
                    objective_s=case.objective_s,
                    priority=priority,
                )
                for priority in case.priorities
            ),
            services=(ServiceSpec(name=SERVICE, engine=ENGINE),),
            tenants=(Tenant(name=CustomerName("c"), keys=("k",)),),
            limits=CallerLimits(
                header_bytes=1, body_bytes=1, header_timeout_s=1, idle_timeout_s=1
            ),
        )
    )


class QueueCaller(CrowdRequest):
    """A caller that returns after a refusal, through any entry."""

    numbers = itertools.count()

    def __init__(self, *, run, entry):
        super().__init__(run=run, entry=entry)
        self.priority = run.rng.choice(run.case.priorities)
        self.customer = CustomerName(f"c{run.rng.randrange(run.case.customers)}")
        self.number = next(self.numbers)
        # Draws of a caller, so that the arrivals are alike for all behaviors.
        self.rng = random.Random(run.rng.random())
        self.tries = 0
        self.waited_from_s = None
        self.has_waited = False
        self.decision = Admitted()

    def pending(self):
        now_s = self.run.clock.now()
        admission = self.entry.admission
        return Pending(
            service=SERVICE,
            model=MODEL,
            objective_s=self.run.case.objective_s,
            spent_s=now_s - self.created_s,
            rank=admission.rank(SERVICE, self.priority),
            reserved_share=self.decision.reserved_share,
        )

    @property
    def left_s(self):
        return self.created_s + DEADLINE_S - self.run.clock.now()

    def send(self):
        """Make a try at the current entry."""
        entry, now_s = self.entry, self.run.clock.now()
        self.tries += 1
        self.excluded.clear()
        self.decision = Admitted()
        entry.retry_delays.count_request(now_s=now_s)
        decision = entry.admission.decide(
            pending=self.pending(),
            priority=self.priority,
            customer=self.customer,
            cost=self.answer / ENGINE.mean_answer_tokens,
            left_s=self.left_s,
            now_s=now_s,
        )
        if isinstance(decision, Refused):
            self.run.count(self, "refused by a level")
            self._return_later(decision.retry_after_s)
            return
        self.decision = decision
        entry.budget.count_request(now_s=now_s)
        self.place()

    def place(self, only=None):
        """Place the request, or let it wait, or refuse it."""
        run, entry, now_s = self.run, self.entry, self.run.clock.now()
        excluded = self.excluded
        if only is not None:
            excluded = {*run.groups} - {only} | self.excluded
        demand = Demand(pending=self.pending(), engine=ENGINE, excluded=excluded)
        for _ in range(run.options.samples):
            found = entry.placer.place(demand=demand, now_s=now_s)
            if isinstance(found, Placement):
                break
        if isinstance(found, Placement):
            self._send_to(found)
        elif self.waited_from_s is None:
            self._wait_or_refuse()

    def _send_to(self, found):
        run, now_s = self.run, self.run.clock.now()
        if self.waited_from_s is not None:
            self.entry.queue.remove(self.number, now_s=now_s, placed=True)
            run.waits_s.append(now_s - self.waited_from_s)
            run.count(self, "placed after a wait")
            self.waited_from_s, self.has_waited = None, True
        self.placement = found
        self.sent_s = now_s
        self.excluded.add(found.instance.id)
        self.entry.loads.request_started(found.instance.id)
        group = run.groups[found.instance.id]
        run.clock.call_later(0.004, lambda: group.submit(self))

    def _wait_or_refuse(self):
        run, entry, now_s = self.run, self.entry, self.run.clock.now()
        waiter = Waiter(
            number=self.number,
            key=KEY,
            priority=self.priority,
            customer=self.customer,
            cost=self.answer / ENGINE.mean_answer_tokens,
            body_bytes=4 * self.prompt,
            objective_s=self.created_s + run.case.objective_s,
            first_event_s=entry.first_event_times.average_s(SERVICE, MODEL),
        )
        end_s = wait_end_s(waiter, objective_length_s=run.case.objective_s, now_s=now_s)
        if entry.queue.add(waiter, end_s=end_s, now_s=now_s):
            run.count(self, "waits")
            self.waited_from_s = now_s
            entry.waiting[self.number] = self
            run.clock.call_later(end_s - now_s, lambda: run.pump(entry))
            run.clock.call_later(0.1, lambda: run.pump(entry))
        else:
            self.refuse()

    def refuse(self):
        """Refuse the request for lack of a slot."""
        run, entry, now_s = self.run, self.entry, self.run.clock.now()
        self.waited_from_s = None
        run.count(self, "refused at the entry")
        entry.admission.record_full(SERVICE, MODEL, now_s=now_s)
        self._return_later(
            entry.retry_delays.refuse(
                left_s=self.left_s, draw=self.rng.random(), now_s=now_s
            )
        )

    def _return_later(self, retry_after_s):
        if self.tries > self.run.case.retries:
            self.run.count(self, "gave up")
            return
        self.entry = self.rng.choice(self.run.entries)
        self.run.clock.call_later(retry_after_s, self.send)

    def _resend(self, is_misdirected):
        entry, now_s, placement = self.entry, self.run.clock.now(), self.placement
        self._end_attempt(has_run=False)
        if placement.load < placement.instance.slots:
            entry.suspects.refused(placement.instance.id, now_s=now_s)
        if len(self.excluded) < 4 and entry.budget.take(
            entry_count=len(self.run.entries), midway=False, now_s=now_s
        ):
            self.place()
        else:
            self.refuse()

    def on_first(self):
        is_new = self.first_s is None
        super().on_first()
        if is_new and self.has_waited:
            is_late = self.first_s - self.created_s > self.run.case.objective_s
            self.run.count(
                self, "late after a wait" if is_late else "in time after a wait"
            )

    def on_end(self):
        super().on_end()
        self.entry.queue.slot_freed(KEY)
        freed = self.placement.instance.id if self.run.options.freed_first else None
        self.run.pump(self.entry, freed)


class QueueRun(CrowdRun):
    """Replay of one case with one behavior of the entries."""

    def __init__(self, *, case, options, seed):
        super().__init__(case=case, policy=Policy.LEAST_LOADED, seed=seed)
        self.options = options
        self.capacity = self.rate / case.share
        self.waits_s = []
        self.most_waiting = 0
        self.by_priority = Counter()
        for number, entry in enumerate(self.entries):
            entry.retry_delays = RetryDelays()
            entry.budget = RetryBudget(**BUDGET)
            entry.queue = AdmissionQueue() if options.waits else NoQueue()
            entry.waiting = {}
            entry.admission = OpenAdmission()
            if options.levels:
                gate = InstanceGate(
                    fleet=self.fleet,
                    limits=InstanceLimits(now=self.clock.now),
                    rests=InstanceRests(now=self.clock.now),
                    suspects=entry.suspects,
                    clock=self.clock,
                )
                entry.admission = LevelAdmission(
                    capacities=FleetCapacity(
                        fleet=self.fleet, loads=entry.loads, gate=gate
                    ),
                    rng=random.Random(f"{seed}/{number}"),
                )
                entry.admission.apply_table(make_table(case))

    def pump(self, entry, freed=None):
        """End the waits that are over and try the placements that are due."""
        queue, now_s = entry.queue, self.clock.now()
        self.most_waiting = max(self.most_waiting, queue.count)
        for waiter in queue.expire(now_s=now_s):
            entry.waiting.pop(waiter.number).refuse()
        while (waiter := queue.next_ready(now_s=now_s)) is not None:
            caller = entry.waiting[waiter.number]
            caller.place(freed)
            freed = None
            if caller.waited_from_s is None:
                entry.waiting.pop(waiter.number, None)
            else:
                self.clock.call_later(0.1, lambda: self.pump(entry))

    def _arrive(self):
        now_s, case = self.clock.now(), self.case
        if now_s >= case.length_s:
            return
        self.clock.call_later(1.0, self._arrive)
        is_burst = case.burst_from_s <= now_s < case.burst_to_s
        share = case.burst_share if is_burst and case.burst_share else case.share
        for _ in range(round(share * self.capacity)):
            self.clock.call_later(self.rng.random(), self._send_request)

    def _send_request(self):
        caller = QueueCaller(run=self, entry=self.rng.choice(self.entries))
        self.count(caller, "requests")
        caller.send()

    def _update(self, reported):
        super()._update(reported)
        if not self.options.on_loads:
            return
        for entry in self.entries:
            entry.queue.loads_changed()
            if entry.queue.count:
                self.pump(entry)

    def _expire(self):
        super()._expire()
        for entry in self.entries:
            entry.admission.update(now_s=self.clock.now())

    @property
    def in_time(self):
        """Return the share of the callers that got a first event in time."""
        return self.counts["in time"] / self.counts["requests"]

    @property
    def served(self):
        """Return the share of the callers that got an answer."""
        late = self.counts["late"]
        return (self.counts["in time"] + late) / self.counts["requests"]


BEHAVIORS = {
    "none": QueueOptions(),
    "none-2": QueueOptions(samples=2),
    "wait": QueueOptions(waits=True),
    "wait-2": QueueOptions(waits=True, samples=2),
    "wait-freed": QueueOptions(waits=True, freed_first=True),
    "wait-freed-only": QueueOptions(waits=True, freed_first=True, on_loads=False),
    "levels": QueueOptions(levels=True),
    "levels-2": QueueOptions(levels=True, samples=2),
    "levels-wait": QueueOptions(levels=True, waits=True),
    "levels-wait-2": QueueOptions(levels=True, waits=True, samples=2),
}
COUNTS = (
    "refused at the entry",
    "refused by an instance",
    "refused by a level",
    "waits",
    "placed after a wait",
    "in time after a wait",
    "gave up",
)


def make_case(load, objective_s):
    """Return the case of a steady load or of the burst."""
    if load == "burst":
        return QueueCase(
            share=0.5, burst_share=1.8, length_s=20.0, objective_s=objective_s
        )
    return QueueCase(share=float(load), objective_s=objective_s)


def main():
    """Print the shares of all callers for each case and behavior."""
    seeds, objectives, loads, names = sys.argv[1:]
    first, end = map(int, seeds.split("-"))
    for objective in objectives.split(","):
        for load in loads.split(","):
            case = make_case(load, float(objective))
            baseline = None
            for name in names.split(","):
                runs = [
                    QueueRun(case=case, options=BEHAVIORS[name], seed=seed).run()
                    for seed in range(first, end)
                ]
                in_time = [run.in_time for run in runs]
                baseline = baseline or in_time
                requests = sum(run.counts["requests"] for run in runs)
                print(
                    f"{objective} {load} {name}:",
                    f"in time {statistics.mean(in_time):.3f}",
                    *(f"{one - other:+.3f}" for one, other in zip(in_time, baseline)),
                    f"served {statistics.mean(run.served for run in runs):.3f}",
                    *(
                        f"{what} {sum(run.counts[what] for run in runs) / requests:.3f}"
                        for what in COUNTS
                    ),
                    f"most waiting {max(run.most_waiting for run in runs)}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
