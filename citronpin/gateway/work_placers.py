"""Selects instances by remaining work, with the arrivals that stale reports lack."""

import logging
import random

import msgspec

from citronpin.basics.ids import (
    ApplicationName,
    FailureDomainName,
    InstanceId,
    ModelName,
)
from citronpin.gateway.demands import Demand
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.group_works import GroupWorks, OwnRequest
from citronpin.gateway.instance_gates import Barrier, InstanceGate
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import UNQUEUED_LOAD_SHARE, LoadLimitPolicy
from citronpin.gateway.placers import (
    REMOTE_COST_REQUESTS,
    SLOW_GROUP_COST_REQUESTS,
    Placement,
    PlacementFailure,
    Placer,
    blocked_reason,
    serves,
)
from citronpin.gateway.token_memories import SlotsOnly, TokenMemory

logger = logging.getLogger(__name__)

MIN_UNSEEN_S = 0.05  # of arrivals that a report lacks: requests are on their way
# Requests per second that are assumed at least, so that groups of nearly equal level
# share the requests of a single entry.
MIN_RATE = 0.5


class Levels(msgspec.Struct):
    """The candidates for a request, with equal positions in all lists.

    ``weights`` are the requests per second that each of them is assumed to get.
    """

    instances: list[FleetInstance]
    levels: list[float]  # costs per slot
    weights: list[float]
    loads: list[float]  # requests in progress, the smaller of seen and expected
    paces: list[float]
    slowness: list[float]  # factors on the duration of answers


def fill_levels(levels: list[float], slopes: list[float], rate: float) -> list[float]:
    """Return the parts of a rate that raise the lowest levels to a common one.

    A part of ``x`` raises a level by ``x / slope``. Levels above the common one get
    nothing.
    """
    order = sorted(zip(levels, slopes))
    slope_sum = filled = common = 0.0
    for level, slope in order:
        if slope_sum and common <= level:
            break
        slope_sum += slope
        filled += slope * level
        common = (rate + filled) / slope_sum
    return [
        slope * (common - level) if common > level else 0.0
        for level, slope in zip(levels, slopes)
    ]


class WorkPlacer(Placer):
    """Draws a group by the share of arrivals that levels the work of all groups.

    It handles loads that are reported 0.3 to 1 s late to many entries, which all see
    the same groups as empty. A report of age ``a`` shows the requests that were in
    progress then, of which ``exp(-a / W)`` still are when answers take ``W`` at the
    mean. All requests that arrived since are assumed to have gone where they level the
    groups, and this request is one of them (Dahlin 1999, interpreted loads). Without a
    report, that is the share of a group at equilibrium.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        loads: LoadTracker,
        works: GroupWorks,
        gate: InstanceGate,
        failure_domain: FailureDomainName,
        rng: random.Random,
        limit_policy: LoadLimitPolicy,
        memory: TokenMemory | None = None,
    ) -> None:
        self._fleet = fleet
        self._loads = loads
        self._works = works
        self._gate = gate
        self._failure_domain = failure_domain
        self._rng = rng
        self._limit_policy = limit_policy
        self._memory = memory or SlotsOnly()
        self._cached: dict[
            tuple[ApplicationName, ModelName | None], list[FleetInstance]
        ] = {}
        self._cached_version = -1

    def place(self, *, demand: Demand, now_s: float) -> Placement | PlacementFailure:
        usable = self._candidates(demand)
        if not usable:
            return PlacementFailure(reason="no instance serves this", candidates=0)
        found = self._levels(usable, demand, now_s)
        return self._select(found, demand, now_s)

    def _candidates(self, demand: Demand) -> list[FleetInstance]:
        if self._cached_version != self._fleet.version:
            self._cached_version = self._fleet.version
            self._cached.clear()
        pending = demand.pending
        key = (pending.service, pending.model)
        serving = self._cached.get(key)
        if serving is None:
            serving = self._cached[key] = [
                instance
                for instance in self._fleet.of_service(pending.service)
                if not instance.draining and serves(instance, pending.model)
            ]
        excluded, is_missing = demand.excluded, self._fleet.is_missing
        usable = [
            instance
            for instance in serving
            if instance.id not in excluded
            and not is_missing(instance.id)
            and not self._gate.is_withdrawn(instance)
        ]
        # No entry sends to an evacuated instance, so it takes no share of the arrivals.
        permitted = [one for one in usable if not self._gate.is_evacuated(one)]
        return permitted or usable

    def _levels(
        self, instances: list[FleetInstance], demand: Demand, now_s: float
    ) -> Levels:
        """Return the levels of instances and the share of arrivals of each."""
        pending = demand.pending
        key = (pending.service, pending.model)
        durations = self._works.durations(key, demand.engine)
        steps = self._works.step_model(pending.service, demand.engine)
        mean_s = durations.mean_s
        seen = self._works.loads_of([one.id for one in instances], now_s=now_s)
        paces = [self._loads.pace(one.id) for one in instances]
        slowness = []
        known_rate = known_slots = all_slots = 0.0
        for instance, (own, _, others, _), pace in zip(instances, seen, paces):
            slots = instance.slots
            total = own if others is None else own + others
            slow = pace * steps.slowness(total if total < slots else slots)
            slowness.append(slow)
            all_slots += slots
            if others is not None:
                # By Little's law, the rate is the requests in progress over the time
                # that one takes.
                known_slots += slots
                known_rate += others / slow
        if known_slots:
            # Instances without a report are assumed to get as much per slot.
            rate = known_rate / mean_s * all_slots / known_slots
        else:
            rate = self._works.other_rate(key, now_s=now_s)
        levels, slopes, remaining, unseen_s = [], [], [], []
        shares = durations.left_shares(
            [load[3] / slow for load, slow in zip(seen, slowness)]
        )
        load_cost = self._gate.load_cost
        failure_domain = self._failure_domain
        has_refusals = self._works.has_refusals
        for instance, load, pace, slow, share in zip(
            instances, seen, paces, slowness, shares
        ):
            own, own_work, others, _ = load
            slots = instance.slots or 1
            unseen = mean_s * slow
            left = 0.0
            if others is not None:
                left = others * share
                unseen *= 1.0 - share
                if unseen < MIN_UNSEEN_S:
                    unseen = MIN_UNSEEN_S
            cost = load_cost(instance)
            if has_refusals:
                cost += self._works.refusal_cost(instance, now_s=now_s)
            if pace != 1.0:
                cost += SLOW_GROUP_COST_REQUESTS * (pace - 1.0)
            if instance.failure_domain != failure_domain:
                cost += REMOTE_COST_REQUESTS
            levels.append(((left + own_work) * pace + cost) / slots)
            slopes.append(slots / (pace * unseen))
            remaining.append(left + own)
            unseen_s.append(unseen)
        weights = fill_levels(levels, slopes, max(rate, MIN_RATE))
        loads = []
        for part, unseen, left, load in zip(weights, unseen_s, remaining, seen):
            expected = left + (part if part < rate else rate) * unseen
            shown = load[0] + (load[2] or 0.0)
            # Both err, so a group counts as full only by both.
            loads.append(expected if expected < shown else shown)
        return Levels(instances, levels, weights, loads, paces, slowness)

    def _select(
        self, found: Levels, demand: Demand, now_s: float
    ) -> Placement | PlacementFailure:
        """Return the first drawn instance that can begin the request in time.

        If none can, the first drawn one is taken, and not the one that would begin it
        soonest: by the same stale reports, all entries would select that one.
        """
        pending, engine, cost = demand.pending, demand.engine, demand.cost
        spec = engine.model(pending.model) if engine and pending.model else None
        left_s = pending.objective_s - pending.spent_s
        is_timed = spec is not None and cost is not None
        must_begin_in_time = is_timed and left_s > 0.0 and not pending.midway
        late: int | None = None
        suspected: int | None = None
        # Names of the instances whose reports leave room, once one had no memory.
        with_room: set[InstanceId] | None = None
        barriers: list[Barrier] = []
        for index in self._draw(found):
            instance = found.instances[index]
            if with_room is not None and instance.id not in with_room:
                continue
            barrier = self._gate.barrier(
                instance, accepts_limited=demand.accepts_limited
            )
            if barrier is not None:
                barriers.append(barrier)
            if barrier not in (None, Barrier.SUSPECTED):
                continue
            if found.loads[index] >= self._limit_policy.load_limit(
                pending=pending, slots=instance.slots, engine=engine
            ):
                continue
            if not self._memory.fits(instance, demand, now_s):
                if with_room is None:
                    left = self._memory.with_room(found.instances, demand)
                    with_room = {one.id for one in left}
                    if not left:
                        break
                continue
            if barrier is Barrier.SUSPECTED:
                suspected = index if suspected is None else suspected
                continue
            if must_begin_in_time:
                first_s = self._expected_times(found, index, demand, spec).first_s
                if first_s > left_s:
                    late = index if late is None else late
                    continue
            return self._placement(found, index, demand, spec, now_s)
        if late is not None:
            return self._placement(found, late, demand, spec, now_s)
        if suspected is not None and not pending.midway:
            return self._placement(found, suspected, demand, spec, now_s)
        if with_room is not None:
            return PlacementFailure.without_memory(
                memory=self._memory,
                instances=found.instances,
                demand=demand,
                load=round(min(found.loads)),
            )
        if len(barriers) < len(found.instances):
            return self._full(found)
        return self._without_unsuspected(found, demand, suspected, now_s)

    def _draw(self, found: Levels):
        """Yield the positions of all instances, drawn by weight without replacement.

        Those without a share of the arrivals follow, the lowest level first.
        """
        total = sum(found.weights)
        draw = self._rng.random() * total
        first = len(found.weights) - 1
        for index, weight in enumerate(found.weights):
            draw -= weight
            if draw < 0.0:
                first = index
                break
        yield first
        rank = self._rng.expovariate
        others = [
            (0.0, rank(weight), index) if weight > 0.0 else (1.0, level, index)
            for index, (weight, level) in enumerate(zip(found.weights, found.levels))
            if index != first
        ]
        others.sort()
        for _, _, index in others:
            yield index

    def _expected_times(self, found: Levels, index: int, demand: Demand, spec):
        pending, instance = demand.pending, found.instances[index]
        return self._works.expected_times(
            key=(pending.service, pending.model),
            engine=demand.engine,
            spec=spec,
            slots=instance.slots,
            load=found.loads[index],
            pace=found.paces[index],
            cost=demand.cost,
        )

    def _placement(
        self, found: Levels, index: int, demand: Demand, spec, now_s: float
    ) -> Placement | PlacementFailure:
        instance, load = found.instances[index], found.loads[index]
        expected = None
        if spec is not None and demand.cost is not None:
            expected = self._expected_times(found, index, demand, spec)
        return Placement(
            instance=instance,
            load=round(load),
            candidates=len(found.instances),
            held=self._memory.hold(instance, demand, now_s),
            work=OwnRequest(
                works=self._works,
                instance=instance,
                key=(demand.pending.service, demand.pending.model),
                cost=demand.cost,
                expected=expected,
                pace=found.paces[index],
                slowness=found.slowness[index],
                is_unqueued=load < UNQUEUED_LOAD_SHARE * instance.slots,
            ),
        )

    def _full(self, found: Levels) -> PlacementFailure:
        return PlacementFailure(
            reason="all instances are full",
            candidates=len(found.instances),
            load=round(min(found.loads)),
        )

    def _without_unsuspected(
        self, found: Levels, demand: Demand, suspected: int | None, now_s: float
    ) -> Placement | PlacementFailure:
        """Place at a suspected instance, or fail, where no other is permitted."""
        barriers = [
            self._gate.barrier(one, accepts_limited=demand.accepts_limited)
            for one in found.instances
        ]
        count = len(found.instances)
        if Barrier.SUSPECTED not in barriers:
            return PlacementFailure(
                reason=blocked_reason(barriers),
                candidates=count,
                blocked=tuple(found.instances),
                barriers=tuple(barriers),
            )
        if demand.pending.midway:
            # Resuming on an instance that does not respond would only stall again.
            return PlacementFailure(reason="no instance answers", candidates=count)
        if suspected is None:
            return self._full(found)
        engine, model = demand.engine, demand.pending.model
        spec = engine.model(model) if engine and model else None
        return self._placement(found, suspected, demand, spec, now_s)
