"""Estimates the remaining work of instances and the times that a request takes there.

An entry knows its own requests by the progress of their answers, and those of other
entries by the loads that lease holders report, which are up to a second old.
"""

import logging
import math
from collections import deque
from collections.abc import Callable

import msgspec

from citronpin.basics.ids import ApplicationName, InstanceId, ModelName
from citronpin.basics.metrics import RatioCollector
from citronpin.gateway.budgets import SlidingCount
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import mean_slot_wait_s
from citronpin.gateway.request_costs import RequestCost, RequestCosts
from citronpin.gateway.routings import EngineSpec, ModelSpec

logger = logging.getLogger(__name__)

HISTORY_S = 3.0  # of own starts and ends; reports are at most this old
PEER_LOAD_AGE_S = 0.2  # of loads that entries send each other: half of 0.15 s, and way
DEFAULT_DURATION_S = 0.3  # of a plain request, until one was measured
OVERHEAD_WEIGHT = 0.1  # of the newest first event
DEFAULT_OVERHEAD_S = 0.08  # of a first event, beyond reading and the first pass
RATE_WINDOW_S = 10.0  # of the own requests that stand for those of other entries
MIN_WEIGHT, MAX_WEIGHT = 0.25, 3.0  # of an own request, in mean requests
MIN_SLOWNESS = 0.05  # keeps durations above 0 where an engine states no base time
EVENTS_PER_WEIGHT = 16  # events after which the weight of a request is estimated again
REFUSAL_S = 0.5  # for which a refusal lowers the weight of an instance
REFUSAL_COST_SHARE = 1.0  # of the slots, at first
MAX_GROUPS = 4_096  # with own history or refusals

ServiceKey = tuple[ApplicationName, ModelName | None]


class ExpectedTimes(msgspec.Struct, frozen=True):
    """The times in seconds that a request is expected to take at a group."""

    first_s: float  # to the first event
    gap_s: float  # between two events, at the mean


# What this entry knows of the requests in progress at an instance: the own ones, their
# work in mean requests, those of other entries as of the report or ``None`` when
# unknown, and the age of the report in seconds.
GroupLoad = tuple[int, float, float | None, float]


class StepModel:
    """The time of a decoding step by the number of writers, as the engine states it.

    Answers take longer in a group with more writers, in proportion to the step.
    """

    def __init__(self, engine: EngineSpec | None) -> None:
        self.base_s, self.per_writer_s = 1.0, 0.0  # a plain service has no steps
        slots = 0
        if engine is not None:
            context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
            self.base_s, slots = engine.step_s, engine.slots
            self.per_writer_s = (
                engine.step_per_writer_s + context * engine.step_per_context_token_s
            )
        self._reference_s = self.step_s(slots)

    def step_s(self, writers: float) -> float:
        """Return the time of a step in seconds at normal pace."""
        return self.base_s + writers * self.per_writer_s

    def slowness(self, writers: float) -> float:
        """Return the step as a multiple of that of a full group of usual size."""
        if self._reference_s <= 0.0:
            return 1.0  # an engine without stated times
        step_s = self.base_s + writers * self.per_writer_s
        return max(step_s / self._reference_s, MIN_SLOWNESS)


class Durations:
    """The latest durations of answers in seconds, at normal pace and full groups."""

    MAX_SAMPLES = 128
    MIN_SAMPLES = 8  # until then, an exponential distribution is assumed
    STEP_S = 0.05  # of the table of shares
    STEPS = 60

    def __init__(self, *, default_s: float) -> None:
        self._default_s = default_s
        self._samples: deque[float] = deque(maxlen=self.MAX_SAMPLES)
        self._added = 0  # samples since the table was made
        self._shares: list[float] = []
        self.mean_s = default_s

    def add(self, duration_s: float) -> None:
        """Record how long an answer occupied its instance."""
        self._samples.append(duration_s)
        self._added += 1
        if self._added >= self.MIN_SAMPLES:
            self._added = 0
            self._make_table()

    def _make_table(self) -> None:
        ordered = sorted(self._samples)
        left, left_s = len(ordered), sum(ordered)
        self.mean_s = left_s / left
        position, total_s, shares = 0, left_s, []
        for step in range(self.STEPS + 1):
            age_s = step * self.STEP_S
            while position < len(ordered) and ordered[position] <= age_s:
                left_s -= ordered[position]
                left -= 1
                position += 1
            shares.append(max(left_s - left * age_s, 0.0) / total_s)
        self._shares = shares

    def left_shares(self, ages_s: list[float]) -> list[float]:
        """Return which share of the answers in progress goes on after each age.

        Of answers observed at any time, that is the mean of what exceeds the age over
        the mean duration.
        """
        shares, step_s = self._shares, self.STEP_S
        if not shares:
            return [math.exp(-age_s / self.mean_s) for age_s in ages_s]
        left = []
        for age_s in ages_s:
            position = age_s / step_s
            step = int(position)
            if step < self.STEPS:
                share = shares[step]
                left.append(share + (position - step) * (shares[step + 1] - share))
            else:
                left.append(0.0)
        return left


class OwnRequest:
    """One attempt of this entry at an instance, from placement to its end."""

    def __init__(
        self,
        *,
        works: "GroupWorks",
        instance: FleetInstance,
        key: ServiceKey,
        cost: RequestCost | None,
        expected: ExpectedTimes | None,
        pace: float,
        slowness: float,
        is_unqueued: bool,
    ) -> None:
        self._works = works
        self.instance = instance
        self.key = key
        self.cost = cost
        self.expected = expected
        self.pace = pace
        self.slowness = slowness  # pace and length of steps, see `StepModel`
        self.is_unqueued = is_unqueued  # a slot is expected to be free
        self.weight = 1.0  # remaining work in mean requests
        self.events = 0
        self.started_s = 0.0
        self.first_s = 0.0
        self.last_s = 0.0

    def started(self, *, now_s: float) -> None:
        """Record that the request was sent."""
        self.started_s = now_s
        self._works.add(self, now_s=now_s)

    def progressed(self, *, now_s: float) -> None:
        """Record an event of the answer."""
        self.events += 1
        self.last_s = now_s
        if self.events == 1:
            self.first_s = now_s
            self._works.record_first_event(self)
        if self.events % EVENTS_PER_WEIGHT == 0:
            self._works.update_weight(self)

    def ended(self, *, has_run: bool, now_s: float) -> None:
        """Record the end; ``has_run`` tells whether the instance began to answer."""
        self._works.remove(self, has_run=has_run, now_s=now_s)

    def queue_wait_s(self) -> float:
        """Return how long the request may wait for a slot, in seconds."""
        return self._works.queue_wait_s(
            self.key,
            slots=self.instance.slots,
            load=self._works.load(self.instance.id),
            pace=self.pace,
        )

    def refused(self, *, now_s: float) -> None:
        """Record that the instance refused the request, since it was full."""
        self._works.record_refusal(self.instance, now_s=now_s)


class GroupWorks:
    """Keeps the work in progress by instance, and the mean times of answers.

    It handles loads that are reported 0.3 to 1 s late: own requests that started or
    ended since the state that a report shows are told from those that it contains.
    """

    def __init__(
        self,
        *,
        loads: LoadTracker,
        costs: RequestCosts,
        entry_count: Callable[[], int],
        ratios: RatioCollector,
    ) -> None:
        self._loads = loads
        self._costs = costs
        self._entry_count = entry_count
        self._ratios = ratios
        self._own: dict[InstanceId, dict[OwnRequest, None]] = {}
        self._changes: dict[InstanceId, deque[tuple[float, int]]] = {}
        self._refusals: dict[InstanceId, float] = {}  # clock time
        self._durations: dict[ServiceKey, Durations] = {}
        self._step_models: dict[ApplicationName, StepModel] = {}
        self._engines: dict[ApplicationName, EngineSpec | None] = {}
        self._overheads_s: dict[ServiceKey, float] = {}
        self._starts: dict[ServiceKey, SlidingCount] = {}
        self._began_s: dict[ServiceKey, float] = {}

    def add(self, request: OwnRequest, *, now_s: float) -> None:
        """Count a request that was sent."""
        name = request.instance.id
        self._own.setdefault(name, {})[request] = None
        self._add_change(name, 1, now_s)
        self._began_s.setdefault(request.key, now_s)
        starts = self._starts.setdefault(
            request.key, SlidingCount(window_s=RATE_WINDOW_S)
        )
        starts.add(1.0, now_s=now_s)
        self.update_weight(request)

    def remove(self, request: OwnRequest, *, has_run: bool, now_s: float) -> None:
        """Remove a request that ended, and learn how long it occupied the instance."""
        name = request.instance.id
        own = self._own.get(name)
        if own is None or request not in own:
            return
        del own[request]
        if not own:
            del self._own[name]
        self._add_change(name, -1, now_s)
        if not has_run:
            return
        duration_s = max(now_s - request.started_s, 1e-3) / request.slowness
        durations = self._durations.get(request.key)
        if durations is not None:
            durations.add(duration_s)
        expected = request.expected
        if expected is not None and expected.gap_s > 0.0 and request.events > 1:
            gap_s = (request.last_s - request.first_s) / (request.events - 1)
            self._ratios.record("event_gap", gap_s / expected.gap_s)

    def _add_change(self, name: InstanceId, change: int, now_s: float) -> None:
        changes = self._changes.get(name)
        if changes is None:
            if len(self._changes) >= MAX_GROUPS:
                del self._changes[next(iter(self._changes))]
            changes = self._changes[name] = deque()
        changes.append((now_s, change))
        while changes[0][0] < now_s - HISTORY_S:
            changes.popleft()

    def update_weight(self, request: OwnRequest) -> None:
        """Estimate the remaining work of an own request again."""
        cost = request.cost
        if cost is None:
            return
        written = request.events * cost.tokens_per_event
        remaining = self._costs.remaining_tokens(cost, written=written)
        share = remaining / max(cost.mean_tokens, 1.0)
        request.weight = min(max(share, MIN_WEIGHT), MAX_WEIGHT)

    def record_first_event(self, request: OwnRequest) -> None:
        """Learn from the time to a first event where no request had to wait."""
        expected = request.expected
        if expected is None or expected.first_s <= 0.0:
            return
        took_s = request.first_s - request.started_s
        self._ratios.record("first_event", took_s / expected.first_s)
        if not request.is_unqueued:
            return
        known_s = self._overheads_s.get(request.key, DEFAULT_OVERHEAD_S)
        error_s = (took_s - expected.first_s) / request.pace
        self._overheads_s[request.key] = max(known_s + OVERHEAD_WEIGHT * error_s, 0.0)

    def record_refusal(self, instance: FleetInstance, *, now_s: float) -> None:
        """Record that an instance refused a request, since it was full."""
        if len(self._refusals) >= MAX_GROUPS:
            del self._refusals[next(iter(self._refusals))]
        self._refusals[instance.id] = now_s

    def loads_of(self, names: list[InstanceId], *, now_s: float) -> list[GroupLoad]:
        """Return the requests in progress at instances, as far as known."""
        has_peers = self._loads.peer_count() > 0
        reports, own_requests = self._loads.reports, self._own
        changes = self._changes
        found: list[GroupLoad] = []
        for name in names:
            own, own_work = 0, 0.0
            if name in own_requests:
                requests = own_requests[name]
                own, own_work = len(requests), sum(one.weight for one in requests)
            report = reports.get(name)
            if report is not None:
                others = report.load - own
                if name in changes:
                    others = report.load - self._own_at(name, report.as_of_s, own)
                age_s = now_s - report.as_of_s
                found.append(
                    (
                        own,
                        own_work,
                        float(others) if others > 0 else 0.0,
                        age_s if age_s > 0.0 else 0.0,
                    )
                )
            elif has_peers:
                peer_load = float(self._loads.peer_load(name))
                found.append((own, own_work, peer_load, PEER_LOAD_AGE_S))
            else:
                found.append((own, own_work, None, 0.0))
        return found

    @property
    def has_refusals(self) -> bool:
        """Return whether any instance refused a request lately."""
        return bool(self._refusals)

    def refusal_cost(self, instance: FleetInstance, *, now_s: float) -> float:
        """Return the requests to add to a load after a refusal, until a newer report.

        Without reports, no entry sees that an instance is full but by a refusal, so it
        stays full for several answers.
        """
        refused_s = self._refusals.get(instance.id)
        if refused_s is None:
            return 0.0
        left_share = 1.0 - max(now_s - refused_s, 0.0) / REFUSAL_S
        report = self._loads.reports.get(instance.id)
        if left_share <= 0.0 or (report is not None and report.as_of_s > refused_s):
            del self._refusals[instance.id]
            return 0.0
        return REFUSAL_COST_SHARE * left_share * instance.slots

    def _own_at(self, name: InstanceId, at_s: float, own: int) -> int:
        """Return how many of the own requests an instance had at a clock time."""
        for changed_s, change in reversed(self._changes[name]):
            if changed_s <= at_s:
                break
            own -= change
        return own

    def durations(self, key: ServiceKey, engine: EngineSpec | None) -> Durations:
        """Return the durations of answers at groups of normal pace."""
        known = self._durations.get(key)
        if known is not None:
            return known
        spec = engine.model(key[1]) if engine is not None and key[1] else None
        default_s = DEFAULT_DURATION_S
        if spec is not None:
            default_s = max(mean_slot_wait_s(engine, spec) * engine.slots, 1e-3)
        self._durations[key] = Durations(default_s=default_s)
        return self._durations[key]

    def step_model(
        self, service: ApplicationName, engine: EngineSpec | None
    ) -> StepModel:
        """Return the model of the steps of a service."""
        known = self._step_models.get(service)
        if known is None or self._engines[service] is not engine:
            known = self._step_models[service] = StepModel(engine)
            self._engines[service] = engine
        return known

    def other_rate(self, key: ServiceKey, *, now_s: float) -> float:
        """Return the requests per second of all other entries, by the own ones.

        It is used where no load is reported; the balancer sends all entries alike.
        """
        starts = self._starts.get(key)
        if starts is None:
            return 0.0
        seen_s = min(max(now_s - self._began_s[key], 1.0), RATE_WINDOW_S)
        own_rate = starts.total(now_s=now_s) / seen_s
        return own_rate * max(self._entry_count() - 1, 0)

    def expected_times(
        self,
        *,
        key: ServiceKey,
        engine: EngineSpec,
        spec: ModelSpec,
        slots: int,
        load: float,
        pace: float,
        cost: RequestCost,
    ) -> ExpectedTimes:
        """Return the expected times of a request at a group with a load.

        ``load`` counts the requests in progress without this one.
        """
        writers = min(load + 1.0, slots)
        step_s = self.step_model(key[0], engine).step_s(writers)
        prompt = cost.prompt_tokens
        read_s = prompt / max(engine.read_tokens_per_s, 1.0)
        read_s += engine.pair_s * prompt * prompt / 2
        # Between the chunks of a long prompt the writers of the group go on.
        passes = math.ceil(prompt / max(engine.chunk_tokens, 1)) if writers > 1 else 1
        factor = spec.pace * pace
        first_s = factor * (read_s + passes * max(engine.stride, 1) * step_s)
        first_s += pace * self._overheads_s.get(key, DEFAULT_OVERHEAD_S)
        first_s += self.queue_wait_s(key, slots=slots, load=load, pace=pace)
        return ExpectedTimes(first_s, factor * step_s)

    def queue_wait_s(
        self, key: ServiceKey, *, slots: int, load: float, pace: float
    ) -> float:
        """Return the mean wait in seconds for a slot behind ``load`` requests."""
        if load < slots:
            return 0.0
        engine = self._engines.get(key[0])
        spec = engine.model(key[1]) if engine is not None and key[1] else None
        if spec is None:
            return 0.0
        return (load - slots + 1.0) * mean_slot_wait_s(engine, spec) * pace

    def load(self, name: InstanceId) -> int:
        """Return the requests that are known to be in progress at an instance."""
        return self._loads.load(name)

    def record_answer(
        self, cost: RequestCost, *, tokens: int, is_complete: bool
    ) -> None:
        """Learn the length of an answer, or of the part before it was cut off."""
        if tokens > 0 and is_complete:
            self._ratios.record("answer_tokens", tokens / cost.answer_tokens)
        self._costs.record(cost, tokens=tokens, is_complete=is_complete)
