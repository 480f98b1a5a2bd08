"""Benchmark of placement and refusal when demand exceeds the places for seconds.

The real placement code of several entries, which hear of each other's requests with a
delay, sends to groups that follow the engine model of the configuration. A burst falls
on groups of which some are lost and formed again.
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
from citronpin.gateway.fleets import Fleet, FleetInstance, Membership, Phase
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import (
    FirstEventTimes,
    FixedLoadLimit,
    LoadLimitPolicy,
    ObjectiveLoadLimit,
    Pending,
    RetryDelays,
    urgency,
)
from citronpin.gateway.placers import Demand, LeastLoaded, Placement
from citronpin.gateway.routings import EngineSpec, ModelSpec
from citronpin.gateway.suspects import Suspects

logger = logging.getLogger(__name__)

SERVICE = ApplicationName("engines")
MODEL = ModelName("small")
SPEC = ModelSpec(name=MODEL, size=2, pace=0.6)
# Figures of the users' engines, as their configuration states them.
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
OTHERS = EntryId("all others")  # whose figures are added up before they are told
BASE_FIRST_S = 0.11  # of a first event besides reading
MOST_PROMPT_TOKENS = 2_340
MOST_ANSWER_TOKENS = 435
LATE_VALUE = 0.25  # of an answer after its objective, as the users weigh it
RETURNS = 1  # times that a refused caller comes back


class OverloadCase(msgspec.Struct, frozen=True, kw_only=True):
    """One run; times in seconds, rates in requests a second."""

    entries: int = 9
    groups: int = 12
    rate: float = 60.0
    burst: float = 1.6
    burst_from_s: float = 8.0
    burst_to_s: float = 20.0
    length_s: float = 34.0
    loss_every_s: float = 3.0  # a group is lost
    repair_s: float = 3.5  # until it serves again
    objective_s: float = 0.3
    deadline_s: float = 6.0
    window_s: float = 2.0
    news_s: float = 0.15  # between two messages of an entry
    choices: int = LeastLoaded.CHOICES  # groups drawn for each request


class EmulatedGroup:
    """A group that batches up to its slots and serves the others in order."""

    def __init__(self, *, clock: PausedClock) -> None:
        self._clock = clock
        self.waiting: list[Caller] = []
        # In order of arrival: a set would be gone through in the order of addresses.
        self.running: dict[Caller, None] = {}
        self.up = True

    def take(self, caller: "Caller") -> None:
        """Take a request; urgent ones are served first, equals in order."""
        caller.urgency = urgency(caller.pending()).value
        self.waiting.append(caller)
        self.waiting.sort(key=lambda waiting: waiting.urgency)
        self._begin()

    def _begin(self) -> None:
        while self.up and self.waiting and len(self.running) < ENGINE.slots:
            caller = self.waiting.pop(0)
            self.running[caller] = None
            fill = len(self.running)
            step_s = ENGINE.step_s + fill * ENGINE.step_per_writer_s
            read_s = caller.prompt / ENGINE.read_tokens_per_s
            first_s = BASE_FIRST_S + SPEC.pace * (read_s + ENGINE.stride * step_s)
            last_s = first_s + SPEC.pace * step_s * caller.answer
            self._clock.call_later(first_s, lambda c=caller: c.first(self))
            self._clock.call_later(last_s, lambda c=caller: self._end(c))

    def _end(self, caller: "Caller") -> None:
        if caller in self.running:
            del self.running[caller]
            caller.ended(self)
            self._begin()

    def lose(self) -> None:
        """Fail; all that it has goes back to its entries."""
        lost = [*self.running, *self.waiting]
        self.up = False
        self.running.clear()
        self.waiting.clear()
        for caller in lost:
            caller.lost(self)

    def restore(self) -> None:
        """Serve again."""
        self.up = True


class EmulatedEntry:
    """Placement of one entry with its own view of the loads."""

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
            suspects=self.suspects,
            failure_domain=FailureDomainName("a"),
            rng=rng,
            limit_policy=policy,
            choices=run.case.choices,
        )


class Caller:
    """A caller with one request, which comes back once after a refusal."""

    def __init__(self, *, run: "OverloadRun", prompt: int, answer: int) -> None:
        self.run = run
        self.prompt = prompt
        self.answer = answer
        self.began_s = run.clock.now()
        self.first_s: float | None = None
        self.done = False
        self.visits = 0
        self.entry: EmulatedEntry | None = None
        self.load = 0
        self.sent_s = 0.0
        self.urgency = 0

    def send(self) -> None:
        """Ask an entry."""
        run, now_s = self.run, self.run.clock.now()
        self.visits += 1
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
            run.groups[found.instance.id].take(self)
            return
        left_s = self.began_s + run.case.deadline_s - now_s
        wait_s = entry.retry_delays.refuse(
            left_s=left_s, draw=run.rng.random(), now_s=now_s
        )
        run.refused += 1
        if self.visits <= RETURNS:
            run.clock.call_later(wait_s, self.send)

    def pending(self) -> Pending:
        """Return what an admission rule looks at."""
        return Pending(
            service=SERVICE,
            model=MODEL,
            objective_s=self.run.case.objective_s,
            spent_s=self.run.clock.now() - self.began_s,
            midway=self.first_s is not None,
        )

    def first(self, group: EmulatedGroup) -> None:
        """Take the first event."""
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

    def ended(self, group: EmulatedGroup) -> None:
        """Take the whole answer."""
        self.entry.loads.request_ended(self.run.name_of(group))
        left_s = self.began_s + self.run.case.deadline_s - self.run.clock.now()
        self.done = left_s >= 0

    def lost(self, group: EmulatedGroup) -> None:
        """Go on at another group."""
        self.entry.loads.request_ended(self.run.name_of(group))
        self.visits -= 1  # the entry itself sends it on
        self.run.clock.call_later(0.4, self.send)  # until the silence is noticed

    def value(self) -> float:
        """Return 1 for an answer in time, a part of it for a late one."""
        if not self.done:
            return 0.0
        in_time = self.first_s - self.began_s <= self.run.case.objective_s
        return 1.0 if in_time else LATE_VALUE


class OverloadRun:
    """Runs one case under one policy."""

    def __init__(self, *, case: OverloadCase, limit_policy: str, seed: int) -> None:
        self.case = case
        self.clock = PausedClock()
        self.rng = random.Random(seed)
        self.fleet = Fleet()
        self.refused = 0
        self.callers: list[Caller] = []
        self.groups: dict[InstanceId, EmulatedGroup] = {}
        for number in range(case.groups):
            name = InstanceId(f"head-{number}")
            self.groups[name] = EmulatedGroup(clock=self.clock)
            self._list(name, Phase.OPEN)
        self.entries = [
            EmulatedEntry(
                run=self,
                name=EntryId(f"e{number}"),
                limit_policy=limit_policy,
                rng=random.Random(seed + number),
            )
            for number in range(case.entries)
        ]

    def _list(self, name: InstanceId, phase: Phase) -> None:
        place = Membership(group=GroupId(name), epoch=1, rank=0, phase=phase)
        self.fleet.register(
            FleetInstance(
                id=name,
                service=SERVICE,
                address="",
                failure_domain=FailureDomainName("a"),
                slots=ENGINE.slots,
                models=(MODEL,),
                membership=place,
            ),
            now_s=self.clock.now(),
        )

    def name_of(self, group: EmulatedGroup) -> InstanceId:
        """Return the head of a group."""
        return next(name for name, found in self.groups.items() if found is group)

    def run(self) -> None:
        """Play the whole case and let what is in progress end."""
        self._arrive()
        self.clock.call_later(self.case.loss_every_s, self._lose)
        self.clock.call_later(self.case.news_s, self._tell)
        self.clock.advance(self.case.length_s + self.case.deadline_s)

    def _arrive(self) -> None:
        case, now_s = self.case, self.clock.now()
        if now_s > case.length_s:
            return
        caller = Caller(
            run=self,
            prompt=self._draw(ENGINE.mean_prompt_tokens, MOST_PROMPT_TOKENS),
            answer=self._draw(ENGINE.mean_answer_tokens, MOST_ANSWER_TOKENS),
        )
        self.callers.append(caller)
        caller.send()
        within = case.burst_from_s <= now_s < case.burst_to_s
        rate = case.rate * (case.burst if within else 1.0)
        self.clock.call_later(self.rng.expovariate(rate), self._arrive)

    def _draw(self, mean: float, most: int) -> int:
        sigma = 0.7  # the users' sheets state a spread of 0.7 to 1
        drawn = self.rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
        return min(max(int(drawn), 1), most)

    def _lose(self) -> None:
        if self.clock.now() > self.case.length_s:
            return
        self.clock.call_later(self.case.loss_every_s, self._lose)
        name = self.rng.choice(sorted(self.groups))
        group = self.groups[name]
        if not group.up:
            return
        self._list(name, Phase.BROKEN)
        group.lose()

        def restore() -> None:
            group.restore()
            self._list(name, Phase.OPEN)

        self.clock.call_later(self.case.repair_s, restore)

    def _tell(self) -> None:
        self.clock.call_later(self.case.news_s, self._tell)
        now_s = self.clock.now()
        total: Counter[InstanceId] = Counter()
        for entry in self.entries:
            total.update(entry.loads.own())
        for entry in self.entries:
            others = {
                name: load - entry.loads.own().get(name, 0)
                for name, load in total.items()
            }
            entry.loads.record_peer_loads(entry=OTHERS, loads=others, now_s=now_s)

    def windows(self) -> list[float]:
        """Return the value by window, as a share of what callers asked for."""
        sums: dict[int, list[float]] = {}
        for caller in self.callers:
            window = int(caller.began_s / self.case.window_s)
            sums.setdefault(window, []).append(caller.value())
        return [sum(values) / len(values) for _, values in sorted(sums.items())]


@register
class OverloadBench(Bench):
    """Value of answers under a burst on groups that come and go."""

    name = "overload"
    summary = "placement and refusal when demand exceeds the places"
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
        return figures


def _figures(limit_policy: str, runs: list[OverloadRun]) -> list[Figure]:
    callers = [caller for run in runs for caller in run.callers]
    value = sum(caller.value() for caller in callers) / len(callers)
    served = sum(caller.done for caller in callers) / len(callers)
    worst = sum(min(run.windows()) for run in runs) / len(runs)
    refused = sum(run.refused for run in runs) / len(callers)
    return [
        Figure(name="value", series=limit_policy, value=value, unit="share"),
        Figure(name="worst window", series=limit_policy, value=worst, unit="share"),
        Figure(name="served", series=limit_policy, value=served, unit="share"),
        Figure(name="refusals", series=limit_policy, value=refused, unit="a request"),
    ]
