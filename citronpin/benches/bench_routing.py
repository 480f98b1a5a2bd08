"""Benchmark of route policies: many entries, prefix caches, delayed load reports."""

import logging

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import CustomerName, DeploymentName, GroupId, RequestId
from citronpin.benches.bench_models import Job, SimulatedEngineGroup
from citronpin.benches.benches import Bench, Figure, register
from citronpin.policy import affinities  # noqa: F401
from citronpin.policy.routers import ROUTERS, RouteCandidate, RouteRequest

logger = logging.getLogger(__name__)

US_PER_S = 1_000_000
HIGHEST_LATENCY_US = 3_600 * US_PER_S
SIGNIFICANT_DIGITS = 2
DEPLOYMENT = DeploymentName("assistant")


class RoutingCase(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run."""

    policy: str
    routers: int = 9
    load: float = 0.8  # share of the capacity with warm caches
    straggler: bool = False
    repaired: bool = False  # one group loses its cache halfway
    events: bool = True  # whether entries get cache events
    groups: int = 30
    length_s: float = 50.0
    warm_up_s: float = 15.0
    report_every_s: float = 1.0
    report_lag_s: float = 0.5
    events_every_s: float = 2.0
    events_lost: float = 0.1  # share of the batches of events
    options: dict = {}


class Workload:
    """Conversations of ten customers, which share a system prompt per customer.

    A few customers send most of the requests.
    """

    CUSTOMERS = 10
    SYSTEM_BLOCKS = 12  # shared by the conversations of a customer
    FIRST_BLOCKS = 6
    TURN_BLOCKS = 4
    MAX_TURNS = 8
    MEAN_TOKENS = 100

    def __init__(self, *, rng: np.random.Generator) -> None:
        self._rng = rng
        weights = 1.0 / np.arange(1, self.CUSTOMERS + 1) ** 1.2
        self._weights = weights / weights.sum()
        self._open_conversations: list[tuple[int, tuple[str, ...], int]] = []
        self._sequence = 0

    def draw(self) -> tuple[RouteRequest, int]:
        """Return a request and the number of tokens of its answer."""
        customer, blocks, turns = self._draw_conversation()
        self._sequence += 1
        turn_blocks = tuple(f"{self._sequence}.{n}" for n in range(self.TURN_BLOCKS))
        blocks = (*blocks, *turn_blocks)
        if turns + 1 < self.MAX_TURNS:
            self._open_conversations.append((customer, blocks, turns + 1))
        req = RouteRequest(
            request=RequestId(str(self._sequence)),
            customer=CustomerName(f"customer-{customer}"),
            deployment=DEPLOYMENT,
            blocks=blocks,
            expected_tokens=self.MEAN_TOKENS,
        )
        return req, 1 + int(self._rng.exponential(self.MEAN_TOKENS))

    def _draw_conversation(self) -> tuple[int, tuple[str, ...], int]:
        if len(self._open_conversations) > 60 and self._rng.random() < 0.8:
            return self._open_conversations.pop(
                int(self._rng.integers(len(self._open_conversations)))
            )
        customer = int(self._rng.choice(self.CUSTOMERS, p=self._weights))
        system_blocks = tuple(f"s{customer}.{n}" for n in range(self.SYSTEM_BLOCKS))
        self._sequence += 1
        first_blocks = tuple(f"f{self._sequence}.{n}" for n in range(self.FIRST_BLOCKS))
        return customer, (*system_blocks, *first_blocks), 0


class RoutingRun:
    """Simulation of one case with the route policies that entries run."""

    STRAGGLER_SLOWNESS = 3.0

    def __init__(self, *, case: RoutingCase, seed: int) -> None:
        self.case = case
        self._rng = np.random.default_rng(seed)
        self._clock = PausedClock()
        self._workload = Workload(rng=np.random.default_rng(seed + 1))
        self._groups = {
            GroupId(f"g{number}"): SimulatedEngineGroup(
                group=GroupId(f"g{number}"),
                clock=self._clock,
                slowness=self._slowness(number),
            )
            for number in range(case.groups)
        }
        self._candidates = tuple(
            RouteCandidate(group=group, slots=engine_group.slots)
            for group, engine_group in self._groups.items()
        )
        policy = ROUTERS[case.policy]
        self._routers = [
            policy(rng=np.random.default_rng([seed, number]), **case.options)
            for number in range(case.routers)
        ]
        self._first_token_us = HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
        self._between_tokens_us = HdrHistogram(
            1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self._hit_and_all_blocks = [0, 0]  # cached blocks and all blocks of the prompts
        self._queue_ratios: list[float] = []

    def _slowness(self, number: int) -> float:
        if self.case.straggler and number == 0:
            return self.STRAGGLER_SLOWNESS
        return 1.0

    def arrival_rate(self) -> float:
        """Return the arrivals in requests a second."""
        engine_group = SimulatedEngineGroup
        slots = self._candidates[0].slots
        token_s = engine_group.TOKEN_INTERVAL_S * (1 + engine_group.BATCH_SLOWDOWN)
        decode_s = Workload.MEAN_TOKENS * token_s
        missed_blocks = Workload.TURN_BLOCKS + Workload.FIRST_BLOCKS * 0.2
        prefill_s = (
            missed_blocks * engine_group.PREFILL_S_PER_BLOCK
            + engine_group.TOKEN_INTERVAL_S
        )
        per_group = min(slots / (decode_s + 2 * prefill_s), 1 / prefill_s)
        return self.case.load * self.case.groups * per_group

    def run(self) -> list[Figure]:
        """Run the simulation and return its figures."""
        self._clock.call_later(0.0, self._arrive)
        self._clock.call_later(self.case.report_every_s, self._send_load_reports)
        self._clock.call_later(0.1, self._sample_queues)
        if self.case.events:
            self._clock.call_later(self.case.events_every_s, self._send_cache_events)
        if self.case.repaired:
            self._clock.call_later(self.case.length_s / 2, self._clear_group_cache)
        self._clock.advance(self.case.length_s)
        return self._figures()

    def _arrive(self) -> None:
        gap_s = float(self._rng.exponential(1.0 / self.arrival_rate()))
        self._clock.call_later(gap_s, self._arrive)
        req, tokens = self._workload.draw()
        router = self._routers[int(self._rng.integers(len(self._routers)))]
        now_s = self._clock.now()
        group = router.choose(req=req, groups=self._candidates, now_s=now_s)
        router.started(group=group, req=req, now_s=now_s)
        job = Job(
            blocks=req.blocks,
            tokens=tokens,
            on_first=lambda job: self._handle_first_token(router, group, req, job),
            on_end=lambda job: self._handle_end(router, group, req, job),
        )
        self._groups[group].submit(job)

    def _handle_first_token(
        self, router, group: GroupId, req: RouteRequest, job: Job
    ) -> None:
        delay_s = job.first_s - job.sent_s
        router.first_token(group=group, req=req, delay_s=delay_s, now_s=job.first_s)
        if job.sent_s >= self.case.warm_up_s:
            self._first_token_us.record_value(max(int(delay_s * US_PER_S), 1))
            self._hit_and_all_blocks[0] += job.hit_blocks
            self._hit_and_all_blocks[1] += len(job.blocks)

    def _handle_end(self, router, group: GroupId, req: RouteRequest, job: Job) -> None:
        between_s = (job.end_s - job.first_s) / job.tokens
        router.ended(group=group, req=req, now_s=job.end_s, between_tokens_s=between_s)
        if job.sent_s >= self.case.warm_up_s:
            self._between_tokens_us.record_value(max(int(between_s * US_PER_S), 1))

    def _send_load_reports(self) -> None:
        self._clock.call_later(self.case.report_every_s, self._send_load_reports)
        for group, engine_group in self._groups.items():
            status = msgspec.structs.replace(
                engine_group.status(), load_age_ms=int(self.case.report_lag_s * 1_000)
            )
            self._clock.call_later(
                self.case.report_lag_s,
                lambda g=group, s=status: self._deliver_load_report(g, s),
            )

    def _deliver_load_report(self, group: GroupId, status) -> None:
        for router in self._routers:
            router.loads(group=group, status=status, now_s=self._clock.now())

    def _send_cache_events(self) -> None:
        self._clock.call_later(self.case.events_every_s, self._send_cache_events)
        for group, engine_group in self._groups.items():
            events = engine_group.take_events()
            for router in self._routers:
                if self._rng.random() >= self.case.events_lost:
                    router.cache_events(
                        group=group, events=events, now_s=self._clock.now()
                    )

    def _clear_group_cache(self) -> None:
        group = self._candidates[1].group
        self._groups[group].clear_cache()
        for router in self._routers:
            router.forget_group(group=group)

    def _sample_queues(self) -> None:
        self._clock.call_later(0.1, self._sample_queues)
        if self._clock.now() < self.case.warm_up_s:
            return
        queue_lengths = [
            engine_group.queued + engine_group.running
            for engine_group in self._groups.values()
        ]
        if sum(queue_lengths):
            self._queue_ratios.append(max(queue_lengths) / np.mean(queue_lengths))

    def _figures(self) -> list[Figure]:
        series = f"{self.case.policy}, {self.case.routers} routers"
        at = f"{self.case.load:.0%}{', straggler' if self.case.straggler else ''}"
        if self.case.repaired:
            at += ", repaired"
        if not self.case.events:
            series += ", no events"

        def figure(name: str, value: float, unit: str) -> Figure:
            return Figure(name=name, value=value, unit=unit, series=series, at=at)

        first, between = self._first_token_us, self._between_tokens_us
        return [
            figure(
                "hit share",
                self._hit_and_all_blocks[0] / max(self._hit_and_all_blocks[1], 1),
                "1",
            ),
            figure("first token p50", _percentile_s(first, 50), "s"),
            figure("first token p95", _percentile_s(first, 95), "s"),
            figure("first token p99", _percentile_s(first, 99), "s"),
            figure("between tokens p95", _percentile_s(between, 95) * 1_000, "ms"),
            figure("worst queue to mean", float(np.mean(self._queue_ratios)), "1"),
        ]


def _percentile_s(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / US_PER_S


@register
class RoutingBench(Bench):
    """Measures every registered route policy with arrivals from the same seed."""

    name = "routing"
    summary = "prefix hits, first tokens and queues under each route policy"
    LOADS = (0.5, 0.8, 0.95, 1.2)
    ROUTER_COUNTS = (9, 100)

    def run(self, *, seed, quick):
        figures = []
        for case in self._cases(quick):
            figures += RoutingRun(case=case, seed=seed).run()
        return figures + _ratios(figures)

    def _cases(self, quick: bool) -> list[RoutingCase]:
        if quick:
            return [
                RoutingCase(policy=policy, groups=12, length_s=30.0, warm_up_s=10.0)
                for policy in sorted(ROUTERS)
            ]
        cases = [
            RoutingCase(
                policy=policy,
                routers=routers,
                load=load,
                straggler=straggler,
                events=routers <= self.ROUTER_COUNTS[0],
            )
            for policy in sorted(ROUTERS)
            for routers in self.ROUTER_COUNTS
            for straggler in (False, True)
            for load in self.LOADS
        ]
        extra_cases = [RoutingCase(policy="affinity", events=False)]
        extra_cases += [
            RoutingCase(policy=policy, repaired=True) for policy in sorted(ROUTERS)
        ]
        return cases + extra_cases


def _ratios(figures: list[Figure]) -> list[Figure]:
    """Return the ratio of affinity's first token p95 to that of the best baseline."""
    name = "first token p95"
    values_by_case: dict[tuple[str, str], dict[str, float]] = {}
    for figure in figures:
        policy, _, routers = figure.series.partition(", ")
        if figure.name == name:
            values_by_case.setdefault((routers, figure.at), {})[policy] = figure.value
    ratios = []
    for (routers, at), values in values_by_case.items():
        affinity_value = values.pop("affinity", None)
        if affinity_value is None or not values:
            continue
        ratios.append(
            Figure(
                name=f"{name} to best baseline",
                value=affinity_value / min(values.values()),
                unit="1",
                series=f"affinity, {routers}",
                at=at,
            )
        )
    return ratios
