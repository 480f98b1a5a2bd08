"""Benchmark of placement and refusal when demand exceeds the slots for some seconds.

The placement code of several entries, which learn each other's loads with a delay,
sends requests to simulated groups that follow the engine parameters of the
configuration. Demand rises in a burst while groups fail and are formed again.
"""

import logging
import math
import random
from collections import Counter

import msgspec

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import (
    ApplicationName,
    EntryId,
    FailureDomainName,
    GroupId,
    InstanceId,
    ModelName,
)
from citronpin.benches.benches import Bench, Figure, register
from citronpin.benches.crowds import CrowdCase, CrowdRun, Policy
from citronpin.gateway.fleets import Fleet, FleetInstance, Membership, Phase
from citronpin.gateway.instance_gates import InstanceGate
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import (
    FirstEventTimes,
    FixedLoadLimit,
    LoadLimitPolicy,
    ObjectiveLoadLimit,
    Pending,
    RetryDelays,
    urgency_number,
)
from citronpin.gateway.placers import Demand, LeastLoaded, Placement
from citronpin.gateway.rests import InstanceRests
from citronpin.gateway.routings import EngineSpec, ModelSpec
from citronpin.gateway.suspects import Suspects

logger = logging.getLogger(__name__)

SERVICE = ApplicationName("engines")
MODEL = ModelName("small")
SPEC = ModelSpec(name=MODEL, size=2, pace=0.6)
# Parameters of the users' engines, as stated in their configuration.
ENGINE = EngineSpec(
    models=(SPEC,),
    slots=9,
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
OTHER_ENTRIES = EntryId("all others")  # as the sender of their summed loads
BASE_FIRST_EVENT_S = 0.11  # time to a first event apart from prefill and decoding steps
MAX_PROMPT_TOKENS = 2_340
MAX_ANSWER_TOKENS = 435
LATE_ANSWER_VALUE = 0.25  # of an answer after its objective, by the users' weighting
CROWD_SHARES = (0.5, 0.9)  # of the capacity, with 90 entries
MAX_CALLER_RETRIES = 1  # after a refusal


class OverloadCase(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run; times in seconds, rates in requests a second."""

    entries: int = 9
    groups: int = 12
    rate: float = 60.0
    burst: float = 1.6  # factor of the rate during the burst
    burst_from_s: float = 8.0
    burst_to_s: float = 20.0
    length_s: float = 34.0
    loss_every_s: float = 3.0  # between two failures of a group
    repair_s: float = 3.5  # from the failure of a group until it serves again
    objective_s: float = 0.3
    deadline_s: float = 6.0
    window_s: float = 2.0
    news_s: float = 0.15  # between two load messages of an entry
    choices: int = LeastLoaded.CHOICES  # groups sampled for each request


class SimulatedGroup:
    """Group that serves as many requests at a time as it has slots; others queue."""

    def __init__(self, *, clock: PausedClock) -> None:
        self._clock = clock
        self.waiting: list[Caller] = []
        # In order of arrival: a set would iterate in the order of memory addresses.
        self.running: dict[Caller, None] = {}
        self.up = True

    def submit(self, caller: "Caller") -> None:
        """Queue a request by urgency, then by arrival."""
        caller.urgency = urgency_number(caller.pending())
        self.waiting.append(caller)
        self.waiting.sort(key=lambda waiting: waiting.urgency)
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self.up and self.waiting and len(self.running) < ENGINE.slots:
            caller = self.waiting.pop(0)
            self.running[caller] = None
            fill = len(self.running)
            step_s = ENGINE.step_s + fill * ENGINE.step_per_writer_s
            prefill_s = caller.prompt / ENGINE.read_tokens_per_s
            first_s = BASE_FIRST_EVENT_S + SPEC.pace * (
                prefill_s + ENGINE.stride * step_s
            )
            last_s = first_s + SPEC.pace * step_s * caller.answer
            self._clock.call_later(first_s, lambda c=caller: c.record_first_event(self))
            self._clock.call_later(last_s, lambda c=caller: self._finish(c))

    def _finish(self, caller: "Caller") -> None:
        if caller in self.running:
            del self.running[caller]
            caller.record_end(self)
            self._fill_slots()

    def fail(self) -> None:
        """Fail; all running and waiting requests go back to their entries."""
        callers = [*self.running, *self.waiting]
        self.up = False
        self.running.clear()
        self.waiting.clear()
        for caller in callers:
            caller.resend(self)

    def restore(self) -> None:
        """Accept requests again."""
        self.up = True


class SimulatedEntry:
    """Placement code of one entry with its own view of the loads."""

    def __init__(
        self,
        *,
        run: "OverloadRun",
        name: EntryId,
        limit_policy: str,
        rng: random.Random,
    ) -> None:
        self.run = run
        self.name = name
        self.loads = LoadTracker()
        self.suspects = Suspects()
        self.first_event_times = FirstEventTimes()
        self.retry_delays = RetryDelays()
        self.rng = rng
        policy: LoadLimitPolicy = FixedLoadLimit()
        if limit_policy == "objective":
            policy = ObjectiveLoadLimit(first_event_times=self.first_event_times)
        elif limit_policy == "unbounded":
            policy = FixedLoadLimit(queue=10_000)
        self.placer = LeastLoaded(
            fleet=run.fleet,
            loads=self.loads,
            gate=InstanceGate(
                fleet=run.fleet,
                limits=InstanceLimits(now=run.clock.now),
                rests=InstanceRests(now=run.clock.now),
                suspects=self.suspects,
                clock=run.clock,
            ),
            failure_domain=FailureDomainName("a"),
            rng=rng,
            limit_policy=policy,
            choices=run.case.choices,
        )


class Caller:
    """Caller of one request, which retries `MAX_CALLER_RETRIES` times if refused."""

    def __init__(self, *, run: "OverloadRun", prompt: int, answer: int) -> None:
        self.run = run
        self.prompt = prompt
        self.answer = answer
        self.created_s = run.clock.now()
        self.first_s: float | None = None
        self.done = False
        self.tries = 0
        self.entry: SimulatedEntry | None = None
        self.load = 0
        self.sent_s = 0.0
        self.urgency = 0

    def send(self) -> None:
        """Send the request to a random entry."""
        run, now_s = self.run, self.run.clock.now()
        self.tries += 1
        self.entry = run.rng.choice(run.entries)
        entry = self.entry
        entry.retry_delays.count_request(now_s=now_s)
        found = entry.placer.place(
            demand=Demand(pending=self.pending(), engine=ENGINE), now_s=now_s
        )
        if isinstance(found, Placement):
            self.load = found.load
            self.sent_s = now_s
            entry.loads.request_started(found.instance.id)
            run.groups[found.instance.id].submit(self)
            return
        left_s = self.created_s + run.case.deadline_s - now_s
        retry_delay_s = entry.retry_delays.refuse(
            left_s=left_s, draw=run.rng.random(), now_s=now_s
        )
        run.refused += 1
        if self.tries <= MAX_CALLER_RETRIES:
            run.clock.call_later(retry_delay_s, self.send)

    def pending(self) -> Pending:
        """Return the request as the load limit policy sees it."""
        return Pending(
            service=SERVICE,
            model=MODEL,
            objective_s=self.run.case.objective_s,
            spent_s=self.run.clock.now() - self.created_s,
            midway=self.first_s is not None,
        )

    def record_first_event(self, group: SimulatedGroup) -> None:
        """Record the time of the first event if the group still runs the request."""
        if self not in group.running or self.first_s is not None:
            return
        now_s = self.run.clock.now()
        self.first_s = now_s
        self.entry.first_event_times.record_first_event(
            service=SERVICE,
            model=MODEL,
            first_s=now_s - self.sent_s,
            load=self.load,
            slots=ENGINE.slots,
        )

    def record_end(self, group: SimulatedGroup) -> None:
        """Record the end of the answer; it counts if it is within the deadline."""
        self.entry.loads.request_ended(self.run.head_of(group))
        left_s = self.created_s + self.run.case.deadline_s - self.run.clock.now()
        self.done = left_s >= 0

    def resend(self, group: SimulatedGroup) -> None:
        """Send the request again after the failure of its group."""
        self.entry.loads.request_ended(self.run.head_of(group))
        self.tries -= 1  # the entry resends it, so this is no try of the caller
        self.run.clock.call_later(0.4, self.send)  # time to detect the failure

    def value(self) -> float:
        """Return 1 for an answer in time, `LATE_ANSWER_VALUE` for one that is late.

        In time means a first event within the objective and the end within the
        deadline; an answer past its deadline has the value 0.
        """
        if not self.done:
            return 0.0
        in_time = self.first_s - self.created_s <= self.run.case.objective_s
        return 1.0 if in_time else LATE_ANSWER_VALUE


class OverloadRun:
    """Simulation of one case under one load limit policy."""

    def __init__(self, *, case: OverloadCase, limit_policy: str, seed: int) -> None:
        self.case = case
        self.clock = PausedClock()
        self.rng = random.Random(seed)
        self.fleet = Fleet()
        self.refused = 0
        self.callers: list[Caller] = []
        self.groups: dict[InstanceId, SimulatedGroup] = {}
        for number in range(case.groups):
            name = InstanceId(f"head-{number}")
            self.groups[name] = SimulatedGroup(clock=self.clock)
            self._register(name, Phase.OPEN)
        self.entries = [
            SimulatedEntry(
                run=self,
                name=EntryId(f"e{number}"),
                limit_policy=limit_policy,
                rng=random.Random(seed + number),
            )
            for number in range(case.entries)
        ]

    def _register(self, name: InstanceId, phase: Phase) -> None:
        membership = Membership(group=GroupId(name), epoch=1, rank=0, phase=phase)
        self.fleet.register(
            FleetInstance(
                id=name,
                service=SERVICE,
                address="",
                failure_domain=FailureDomainName("a"),
                slots=ENGINE.slots,
                models=(MODEL,),
                membership=membership,
            ),
            now_s=self.clock.now(),
        )

    def head_of(self, group: SimulatedGroup) -> InstanceId:
        """Return the head instance of a group."""
        return next(name for name, found in self.groups.items() if found is group)

    def run(self) -> None:
        """Run the whole case and let the requests in progress end."""
        self._arrive()
        self.clock.call_later(self.case.loss_every_s, self._fail_random_group)
        self.clock.call_later(self.case.news_s, self._exchange_loads)
        self.clock.advance(self.case.length_s + self.case.deadline_s)

    def _arrive(self) -> None:
        case, now_s = self.case, self.clock.now()
        if now_s > case.length_s:
            return
        caller = Caller(
            run=self,
            prompt=self._draw_tokens(ENGINE.mean_prompt_tokens, MAX_PROMPT_TOKENS),
            answer=self._draw_tokens(ENGINE.mean_answer_tokens, MAX_ANSWER_TOKENS),
        )
        self.callers.append(caller)
        caller.send()
        is_in_burst = case.burst_from_s <= now_s < case.burst_to_s
        rate = case.rate * (case.burst if is_in_burst else 1.0)
        self.clock.call_later(self.rng.expovariate(rate), self._arrive)

    def _draw_tokens(self, mean: float, max_tokens: int) -> int:
        sigma = 0.7  # the users' data sheets state a spread of 0.7 to 1
        tokens = self.rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
        return min(max(int(tokens), 1), max_tokens)

    def _fail_random_group(self) -> None:
        if self.clock.now() > self.case.length_s:
            return
        self.clock.call_later(self.case.loss_every_s, self._fail_random_group)
        name = self.rng.choice(sorted(self.groups))
        group = self.groups[name]
        if not group.up:
            return
        self._register(name, Phase.BROKEN)
        group.fail()

        def restore() -> None:
            group.restore()
            self._register(name, Phase.OPEN)

        self.clock.call_later(self.case.repair_s, restore)

    def _exchange_loads(self) -> None:
        self.clock.call_later(self.case.news_s, self._exchange_loads)
        now_s = self.clock.now()
        total: Counter[InstanceId] = Counter()
        for entry in self.entries:
            total.update(entry.loads.own())
        for entry in self.entries:
            others = {
                name: load - entry.loads.own().get(name, 0)
                for name, load in total.items()
            }
            entry.loads.record_peer_loads(
                entry=OTHER_ENTRIES, loads=others, now_s=now_s
            )

    def window_values(self) -> list[float]:
        """Return the mean value of the requests first sent in each time window."""
        values_by_window: dict[int, list[float]] = {}
        for caller in self.callers:
            window = int(caller.created_s / self.case.window_s)
            values_by_window.setdefault(window, []).append(caller.value())
        return [
            sum(values) / len(values) for _, values in sorted(values_by_window.items())
        ]


@register
class OverloadBench(Bench):
    """Measures the value of answers during a burst while groups fail and return."""

    name = "overload"
    summary = "placement and refusal when demand exceeds the slots"
    POLICIES = ("objective", "fixed", "unbounded")
    SEEDS = 3

    def run(self, *, seed: int, quick: bool) -> list[Figure]:
        figures = []
        for limit_policy in self.POLICIES:
            runs = []
            for number in range(1 if quick else self.SEEDS):
                run = OverloadRun(
                    case=OverloadCase(), limit_policy=limit_policy, seed=seed + number
                )
                run.run()
                runs.append(run)
            figures.extend(_figures(limit_policy, runs))
        for share in CROWD_SHARES[:1] if quick else CROWD_SHARES:
            figures.extend(_crowd_figures(share, seed, quick))
        return figures


def _crowd_figures(share: float, seed: int, quick: bool) -> list[Figure]:
    """Return the figures of 90 entries with stale reports, by placement."""
    case = CrowdCase(share=share, length_s=4.0 if quick else 10.0)
    figures = []
    for policy in Policy:
        run = CrowdRun(case=case, policy=policy, seed=seed).run()
        for name, value, unit in (
            ("crowd refusals", run.refusals, "an arrival"),
            ("crowd late", run.late, "share"),
            ("crowd busiest", run.busiest, "of the mean"),
        ):
            figures.append(
                Figure(
                    name=name,
                    series=policy.value,
                    at=str(share),
                    value=value,
                    unit=unit,
                )
            )
    return figures


def _figures(limit_policy: str, runs: list[OverloadRun]) -> list[Figure]:
    callers = [caller for run in runs for caller in run.callers]
    value = sum(caller.value() for caller in callers) / len(callers)
    served = sum(caller.done for caller in callers) / len(callers)
    worst = sum(min(run.window_values()) for run in runs) / len(runs)
    refused = sum(run.refused for run in runs) / len(callers)
    return [
        Figure(name="value", series=limit_policy, value=value, unit="share"),
        Figure(name="worst window", series=limit_policy, value=worst, unit="share"),
        Figure(name="served", series=limit_policy, value=served, unit="share"),
        Figure(name="refusals", series=limit_policy, value=refused, unit="a request"),
    ]
