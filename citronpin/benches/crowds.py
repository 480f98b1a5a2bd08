"""Simulation of many entries that place requests on a pool by stale load reports."""

import logging
import math
import random
from collections import Counter
from enum import Enum

import msgspec

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import (
    ApplicationName,
    FailureDomainName,
    GroupId,
    InstanceId,
    ModelName,
)
from citronpin.basics.metrics import RatioCollector
from citronpin.gateway.fleets import Fleet, FleetInstance, Membership, Phase
from citronpin.gateway.group_works import GroupWorks
from citronpin.gateway.instance_gates import InstanceGate
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import (
    MAX_QUEUED_REQUESTS,
    FirstEventTimes,
    ObjectiveLoadLimit,
    Pending,
)
from citronpin.gateway.placers import Demand, LeastLoaded, Placement, Placer
from citronpin.gateway.request_costs import RequestCost, RequestCosts
from citronpin.gateway.rests import InstanceRests
from citronpin.gateway.routings import EngineSpec, ModelSpec
from citronpin.gateway.suspects import Suspects
from citronpin.gateway.work_placers import WorkPlacer

logger = logging.getLogger(__name__)

SERVICE = ApplicationName("engines")
MODEL = ModelName("small")
ROUTE = "draft"
SPEC = ModelSpec(name=MODEL, size=2, pace=0.6)
OVERHEAD_S = 0.11  # of a first event, apart from reading and decoding
SEND_S = 0.004  # from an entry to an instance, and back for a refusal
POLL_S = 0.5  # between two polls of a lease holder
REPORT_LAG_S = 0.2
UPDATE_S = 0.3  # between two updates of a relay
UNREGISTERED_S = 0.5  # from the loss of a group until entries know of it
RESEND_S = 0.4  # until an entry notices that an answer has stopped
MAX_SENDS = 4  # of one request, as in `Exchange`
EXPIRY_INTERVAL_S = 0.15
PLAIN_MEAN_S, PLAIN_SIGMA = 0.12, 0.5  # of the times of plain requests


class Policy(Enum):
    """The placement that the entries of a simulation use."""

    RANDOM = "random"
    LEAST_LOADED = "least loaded"
    BY_WORK = "by work"


class CrowdCase(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run; times in seconds."""

    entries: int = 90
    slots: tuple[int, ...] = (10,) * 45 + (24,) * 15  # by group
    share: float = 0.5  # of the capacity that the arrivals need
    length_s: float = 10.0
    warm_up_s: float = 2.0  # without counting
    holders: int = 8  # lease holders, each of which reports a part of the groups
    slow: dict[int, float] = {}  # pace by number of the group
    losses: dict[int, float] = {}  # time at which a group is lost, by its number
    is_plain: bool = False  # a service without reports
    has_reports: bool = True
    objective_s: float = 0.3
    sigma: float = 0.7  # of the logarithm of token counts


def make_engine(slots: int) -> EngineSpec:
    """Return the engine parameters of the users' configuration."""
    return EngineSpec(
        models=(SPEC,),
        slots=slots,
        memory_tokens=984_705,
        step_s=0.0078,
        step_per_writer_s=0.000179,
        step_per_context_token_s=0.0000000181,
        read_tokens_per_s=45_900.0,
        pair_s=4.33e-10,
        chunk_tokens=2_048,
        stride=5,
        loads_per_s=5.0,
        loads_at_once=7,
        form_s=0.3,
        mean_prompt_tokens=714.0,
        mean_answer_tokens=175.0,
    )


ENGINE = make_engine(10)


class RandomChoice(Placer):
    """Selects a serving instance at random, as a baseline."""

    def __init__(self, *, fleet: Fleet, loads: LoadTracker, rng: random.Random):
        self._fleet = fleet
        self._loads = loads
        self._rng = rng

    def place(self, *, demand, now_s):
        usable = [
            one
            for one in self._fleet.of_service(SERVICE)
            if one.id not in demand.excluded and (one.is_serving_head or not one.models)
        ]
        chosen = self._rng.choice(usable)
        load = self._loads.load(chosen.id)
        return Placement(instance=chosen, load=load, candidates=len(usable))


class CrowdGroup:
    """A group that runs one request per slot, queues a few and refuses the others."""

    def __init__(self, *, run: "CrowdRun", name: InstanceId, slots: int, pace: float):
        self.run = run
        self.name = name
        self.slots = slots
        self.pace = pace
        self.running: dict[CrowdRequest, None] = {}
        self.waiting: list[CrowdRequest] = []
        self.is_up = True
        self.arrivals = 0
        self.memory_tokens = 0  # 0 is unbounded

    @property
    def used_tokens(self) -> int:
        """Return the tokens of the running requests, where memory is bounded."""
        return 0

    @property
    def load(self) -> int:
        """Return the running and waiting requests."""
        return len(self.running) + len(self.waiting)

    def submit(self, request: "CrowdRequest") -> None:
        """Run, queue or refuse a request."""
        if self.run.is_counting:
            self.arrivals += 1
        if not self.is_up:
            request.on_refused(is_misdirected=True)
        elif self.load >= self.slots + MAX_QUEUED_REQUESTS:
            request.on_refused(is_misdirected=False)
        else:
            self.waiting.append(request)
            self._fill()

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            request = self.waiting.pop(0)
            self.running[request] = None
            first_s, last_s = request.times(len(self.running), self.pace)
            clock = self.run.clock
            clock.call_later(first_s, lambda r=request: self._on_first(r))
            clock.call_later(last_s, lambda r=request: self._on_end(r))

    def _on_first(self, request: "CrowdRequest") -> None:
        if request in self.running:
            request.on_first()

    def _on_end(self, request: "CrowdRequest") -> None:
        if request in self.running:
            del self.running[request]
            request.on_end()
            self._fill()

    def lose(self) -> None:
        """Stop; the requests in progress are sent again when that is noticed."""
        self.is_up = False
        requests = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for request in requests:
            self.run.clock.call_later(RESEND_S, request.on_lost)


class CrowdEntry:
    """The placement code of one entry, with what it knows of the loads."""

    def __init__(self, *, run: "CrowdRun", policy: Policy, rng: random.Random):
        clock = run.clock
        self.loads = LoadTracker()
        self.suspects = Suspects()
        self.costs = RequestCosts()
        self.ratios = RatioCollector()
        self.works = GroupWorks(
            loads=self.loads,
            costs=self.costs,
            entry_count=lambda: run.case.entries,
            ratios=self.ratios,
        )
        gate = InstanceGate(
            fleet=run.fleet,
            limits=InstanceLimits(now=clock.now),
            rests=InstanceRests(now=clock.now),
            suspects=self.suspects,
            clock=clock,
        )
        self.first_event_times = FirstEventTimes()
        shared = dict(
            fleet=run.fleet,
            loads=self.loads,
            gate=gate,
            failure_domain=FailureDomainName("a"),
            rng=rng,
            limit_policy=ObjectiveLoadLimit(first_event_times=self.first_event_times),
        )
        self.placer: Placer
        if policy is Policy.BY_WORK:
            self.placer = WorkPlacer(works=self.works, **shared)
        elif policy is Policy.LEAST_LOADED:
            self.placer = LeastLoaded(**shared)
        else:
            self.placer = RandomChoice(fleet=run.fleet, loads=self.loads, rng=rng)


class CrowdRequest:
    """One request, which its entry sends to instances until one takes it."""

    def __init__(self, *, run: "CrowdRun", entry: CrowdEntry) -> None:
        self.run = run
        self.entry = entry
        self.created_s = run.clock.now()
        self.prompt = run.draw_tokens(ENGINE.mean_prompt_tokens)
        self.answer = run.draw_tokens(ENGINE.mean_answer_tokens)
        self.plain_s = run.draw_plain_s()
        self.is_counted = run.is_counting
        self.written = 0  # tokens of the answer
        self.first_s: float | None = None
        self.excluded: set[InstanceId] = set()
        self.sends = 0
        self.placement: Placement | None = None
        self.cost: RequestCost | None = None
        self.sent_s = 0.0

    def times(self, fill: int, pace: float) -> tuple[float, float]:
        """Return the times in seconds to the first event and to the end."""
        if self.run.case.is_plain:
            return self.plain_s * pace, self.plain_s * pace
        step_s = ENGINE.step_s + fill * ENGINE.step_per_writer_s
        read_s = self.prompt / ENGINE.read_tokens_per_s
        first_s = OVERHEAD_S + SPEC.pace * (read_s + ENGINE.stride * step_s)
        return first_s * pace, (first_s + SPEC.pace * step_s * self.answer) * pace

    def send(self) -> None:
        """Place the request and send it, or refuse it."""
        run, now_s = self.run, self.run.clock.now()
        is_plain = run.case.is_plain
        if not is_plain and self.cost is None:
            self.cost = self.entry.costs.estimate(
                route=ROUTE,
                customer=None,
                token_usage=f"{self.prompt},1000",
                length_hint="",
                engine=ENGINE,
            )
        demand = Demand(
            pending=Pending(
                service=SERVICE,
                model=None if is_plain else MODEL,
                objective_s=run.case.objective_s,
                spent_s=now_s - self.created_s,
                midway=self.first_s is not None,
            ),
            engine=None if is_plain else ENGINE,
            excluded=self.excluded,
            cost=self.cost,
        )
        found = None
        if self.sends < MAX_SENDS:
            found = self.entry.placer.place(demand=demand, now_s=now_s)
        if not isinstance(found, Placement):
            run.count(self, "refused at the entry")
            return
        self.sends += 1
        self.placement = found
        self.sent_s = now_s
        self.excluded.add(found.instance.id)
        self.entry.loads.request_started(found.instance.id)
        for course in (found.work, found.held):
            if course is not None:
                course.started(now_s=now_s)
        group = run.groups[found.instance.id]
        run.clock.call_later(SEND_S, lambda: group.submit(self))

    def on_refused(self, *, is_misdirected: bool) -> None:
        """Send to another instance, which the entry learns after the way back."""
        if not is_misdirected:
            self.run.count(self, "refused by an instance")
        self.run.clock.call_later(SEND_S, lambda: self._resend(is_misdirected))

    def _resend(self, is_misdirected: bool) -> None:
        now_s, placement = self.run.clock.now(), self.placement
        self._end_attempt(has_run=False)
        if placement.work is not None and not is_misdirected:
            placement.work.refused(now_s=now_s)
        elif placement.load < placement.instance.slots:
            self.entry.suspects.refused(placement.instance.id, now_s=now_s)
        self.send()

    def on_lost(self) -> None:
        """Send again after the loss of the group."""
        self._end_attempt(has_run=False)
        self.entry.suspects.stalled(
            self.placement.instance.id, now_s=self.run.clock.now()
        )
        self.send()

    def _end_attempt(self, *, has_run: bool) -> None:
        now_s = self.run.clock.now()
        self.entry.loads.request_ended(self.placement.instance.id)
        if self.placement.work is not None:
            self.placement.work.ended(has_run=has_run, now_s=now_s)
        if self.placement.held is not None:
            self.placement.held.ended(now_s=now_s)

    def on_first(self) -> None:
        """Record the first event."""
        now_s = self.run.clock.now()
        if self.first_s is None:
            self.first_s = now_s
            is_late = now_s - self.created_s > self.run.case.objective_s
            self.run.count(self, "late" if is_late else "in time")
        if not self.run.case.is_plain:
            self.entry.first_event_times.record_first_event(
                service=SERVICE,
                model=MODEL,
                first_s=now_s - self.sent_s,
                load=self.placement.load,
                slots=self.placement.instance.slots,
            )
        if self.placement.work is not None:
            self.placement.work.progressed(now_s=now_s)

    def on_end(self) -> None:
        """Record the end of the answer."""
        self._end_attempt(has_run=True)
        if self.placement.work is not None and self.cost is not None:
            self.entry.works.record_answer(
                self.cost, tokens=self.answer, is_complete=True
            )


class CrowdRun:
    """Simulation of one case under one policy."""

    def __init__(self, *, case: CrowdCase, policy: Policy, seed: int) -> None:
        self.case = case
        self.clock = PausedClock()
        self.rng = random.Random(seed)
        self.fleet = Fleet()
        self.counts: Counter[str] = Counter()
        self.groups: dict[InstanceId, CrowdGroup] = {}
        for number, slots in enumerate(case.slots):
            name = InstanceId(f"head-{number}")
            pace = case.slow.get(number, 1.0)
            self.groups[name] = CrowdGroup(run=self, name=name, slots=slots, pace=pace)
            self._register(name, Phase.OPEN)
        self.entries = [
            CrowdEntry(run=self, policy=policy, rng=random.Random(seed * 1_000 + n))
            for n in range(case.entries)
        ]
        self.rate = case.share * sum(
            group.slots / self._mean_duration_s(group) for group in self.groups.values()
        )

    @property
    def is_counting(self) -> bool:
        """Return whether requests that are created now count."""
        return self.case.warm_up_s <= self.clock.now() <= self.case.length_s

    def _mean_duration_s(self, group: CrowdGroup) -> float:
        if self.case.is_plain:
            return PLAIN_MEAN_S * group.pace
        step_s = ENGINE.step_s + group.slots * ENGINE.step_per_writer_s
        read_s = ENGINE.mean_prompt_tokens / ENGINE.read_tokens_per_s
        tokens = ENGINE.stride + ENGINE.mean_answer_tokens
        return group.pace * (OVERHEAD_S + SPEC.pace * (read_s + tokens * step_s))

    def _register(self, name: InstanceId, phase: Phase) -> None:
        membership = Membership(group=GroupId(name), epoch=1, rank=0, phase=phase)
        self.fleet.register(
            FleetInstance(
                id=name,
                service=SERVICE,
                address="",
                failure_domain=FailureDomainName("a"),
                slots=self.groups[name].slots,
                models=() if self.case.is_plain else (MODEL,),
                membership=None if self.case.is_plain else membership,
            ),
            now_s=self.clock.now(),
        )

    def draw_tokens(self, mean: float) -> int:
        """Return a token count with the mean and the spread of the case."""
        sigma = self.case.sigma
        mu = math.log(mean) - sigma**2 / 2
        return max(int(self.rng.lognormvariate(mu, sigma)), 1)

    def draw_plain_s(self) -> float:
        """Return the time in seconds that a plain request takes."""
        mu = math.log(PLAIN_MEAN_S) - PLAIN_SIGMA**2 / 2
        return self.rng.lognormvariate(mu, PLAIN_SIGMA)

    def count(self, request: CrowdRequest, what: str) -> None:
        """Count what happened to a request, if it was created in the counted time."""
        if request.is_counted:
            self.counts[what] += 1

    def run(self) -> "CrowdRun":
        """Run the whole case, let the requests in progress end and return itself."""
        self._arrive()
        for number, at_s in self.case.losses.items():
            name = InstanceId(f"head-{number}")
            self.clock.call_later(at_s, lambda name=name: self._lose(name))
        if self.case.has_reports and not self.case.is_plain:
            names = list(self.groups)
            for holder in range(self.case.holders):
                part = names[holder :: self.case.holders]
                reported: dict[InstanceId, tuple[float, int, int]] = {}
                phase_s = self.rng.random()
                self.clock.call_later(
                    phase_s * POLL_S, lambda p=part, r=reported: self._poll(p, r)
                )
                self.clock.call_later(
                    self.rng.random() * UPDATE_S, lambda r=reported: self._update(r)
                )
        self._expire()
        self.clock.advance(self.case.length_s + 4.0)
        return self

    def _arrive(self) -> None:
        """Schedule the arrivals of a second, whose number is that of the rate.

        A random number would exceed the capacity for seconds in runs near it.
        """
        if self.clock.now() >= self.case.length_s:
            return
        self.clock.call_later(1.0, self._arrive)
        for _ in range(round(self.rate)):
            self.clock.call_later(self.rng.random(), self._send_request)

    def _send_request(self) -> None:
        request = CrowdRequest(run=self, entry=self.rng.choice(self.entries))
        self.count(request, "requests")
        request.send()

    def _lose(self, name: InstanceId) -> None:
        self.groups[name].lose()
        self.clock.call_later(
            UNREGISTERED_S, lambda: self._register(name, Phase.BROKEN)
        )

    def _poll(self, names, reported) -> None:
        self.clock.call_later(POLL_S, lambda: self._poll(names, reported))
        now_s = self.clock.now()
        seen = {
            name: (now_s, self.groups[name].load, self.groups[name].used_tokens)
            for name in names
            if self.groups[name].is_up
        }

        def arrive() -> None:
            reported.clear()
            reported.update(seen)

        self.clock.call_later(REPORT_LAG_S, arrive)

    def _update(self, reported) -> None:
        self.clock.call_later(UPDATE_S, lambda: self._update(reported))
        now_s = self.clock.now()
        for entry in self.entries:
            for name, (as_of_s, load, used_tokens) in reported.items():
                entry.loads.record_instance_load(name, load=load, now_s=now_s)
                entry.loads.record_report(
                    name,
                    load=load,
                    age_s=now_s - as_of_s,
                    now_s=now_s,
                    used_tokens=used_tokens,
                    memory_tokens=self.groups[name].memory_tokens,
                )
                pace = self.groups[name].pace
                entry.loads.record_pace(name, pace=pace, now_s=now_s)

    def _expire(self) -> None:
        self.clock.call_later(EXPIRY_INTERVAL_S, self._expire)
        for entry in self.entries:
            entry.loads.expire(now_s=self.clock.now())

    @property
    def busiest(self) -> float:
        """Return the arrivals of the busiest instance as a multiple of the mean."""
        arrivals = [group.arrivals for group in self.groups.values()]
        return max(arrivals) * len(arrivals) / max(sum(arrivals), 1)

    @property
    def total_arrivals(self) -> int:
        """Return the arrivals at all instances."""
        return sum(group.arrivals for group in self.groups.values())

    @property
    def refusals(self) -> float:
        """Return the refusals of instances and entries per arrival at instances."""
        refused = self.counts["refused by an instance"]
        refused += self.counts["refused at the entry"]
        return refused / max(self.total_arrivals, 1)

    @property
    def late(self) -> float:
        """Return the share of the requests without a first event in time."""
        return 1.0 - self.counts["in time"] / max(self.counts["requests"], 1)
