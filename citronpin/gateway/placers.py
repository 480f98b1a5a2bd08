"""Selects the instance that serves a request by load, locality and recent faults."""

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from enum import Enum

import msgspec

from citronpin.basics.ids import FailureDomainName, InstanceId, ModelName
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.group_works import OwnRequest
from citronpin.gateway.instance_gates import Barrier, InstanceGate
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import LoadLimitPolicy, Pending
from citronpin.gateway.request_costs import RequestCost
from citronpin.gateway.routings import EngineSpec

logger = logging.getLogger(__name__)

SLOW_GROUP_COST_REQUESTS = 2.0  # per multiple of the normal time beyond the first
REMOTE_COST_REQUESTS = 0.35  # prefers the entry's failure domain at equal load


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """A request to place, and the instances that must not get it."""

    pending: Pending
    engine: EngineSpec | None = None
    excluded: Collection[InstanceId] = ()
    accepts_limited: bool = True  # false once permits were refused
    cost: RequestCost | None = None  # expected work, where it is estimated


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """The selected instance, its load in requests and the number of candidates."""

    instance: FleetInstance
    load: int
    candidates: int
    work: OwnRequest | None = None  # told how the attempt goes, where work is tracked


class PlacementFailure(msgspec.Struct, frozen=True, kw_only=True):
    """Why no instance was selected, with the load in requests of the best candidate.

    ``blocked`` are the candidates, if all of them named a limit or a rest.
    """

    reason: str
    candidates: int
    load: int = 0
    blocked: tuple[FleetInstance, ...] = ()
    barriers: tuple[Barrier, ...] = ()  # of these, in the same order
    is_unreachable: bool = False  # neither from here nor through another entry

    @classmethod
    def unreachable(cls) -> "PlacementFailure":
        """Return the failure of an entry that reaches no instance."""
        return cls(reason="no instance is reached", candidates=0, is_unreachable=True)


class PlacementPolicy(Enum):
    """How instances are selected."""

    LEAST_LOADED = "least-loaded"
    REMAINING_WORK = "remaining-work"


class Placer(ABC):
    """Selects instances for the requests of one entry."""

    @abstractmethod
    def place(self, *, demand: Demand, now_s: float) -> Placement | PlacementFailure:
        """Return the selected instance, or why none can take the request.

        ``now_s`` is the clock time in seconds.
        """


class LeastLoaded(Placer):
    """Selects the least loaded of a few instances sampled at random.

    Entries see each other's requests with a delay, so entries that compare all
    instances by the same stale loads all send to the same one. The sample avoids this
    herding. It is not widened when its least loaded instance is full, even if another
    instance has free slots: widening it brought the herding back
    (docs/design/platform.md).
    """

    TIE_MARGIN_REQUESTS = 0.6  # costs that differ by no more count as equal
    CHOICES = 3  # instances sampled per request; two or four gave no better results

    def __init__(
        self,
        *,
        fleet: Fleet,
        loads: LoadTracker,
        gate: InstanceGate,
        failure_domain: FailureDomainName,
        rng: random.Random,
        limit_policy: LoadLimitPolicy,
        choices: int = CHOICES,
    ) -> None:
        self._fleet = fleet
        self._loads = loads
        self._gate = gate
        self._failure_domain = failure_domain
        self._rng = rng
        self._limit_policy = limit_policy
        self._choices = choices

    def place(self, *, demand: Demand, now_s: float) -> Placement | PlacementFailure:
        usable = self._candidates(demand)
        if not usable:
            return PlacementFailure(reason="no instance serves this", candidates=0)
        barriers = [
            self._gate.barrier(instance, accepts_limited=demand.accepts_limited)
            for instance in usable
        ]
        permitted = [
            instance
            for instance, barrier in zip(usable, barriers)
            if barrier in (None, Barrier.SUSPECTED)
        ]
        if not permitted:
            return PlacementFailure(
                reason=blocked_reason(barriers),
                candidates=len(usable),
                blocked=tuple(usable),
                barriers=tuple(barriers),
            )
        unsuspected = [
            instance for instance, barrier in zip(usable, barriers) if barrier is None
        ]
        if not unsuspected and demand.pending.midway:
            # Resuming on an instance that does not respond would only stall again.
            return PlacementFailure(
                reason="no instance answers", candidates=len(usable)
            )
        selected = self._select(unsuspected or permitted)
        load = self._loads.load(selected.id)
        if not self._is_below_load_limit(selected, demand):
            return PlacementFailure(
                reason="all instances are full", candidates=len(usable), load=load
            )
        return Placement(instance=selected, load=load, candidates=len(usable))

    def _select(self, instances: list[FleetInstance]) -> FleetInstance:
        if len(instances) > self._choices:
            instances = self._rng.sample(instances, self._choices)
        return self._least_costly(instances)

    def _is_below_load_limit(self, instance: FleetInstance, demand: Demand) -> bool:
        load_limit = self._limit_policy.load_limit(
            pending=demand.pending, slots=instance.slots, engine=demand.engine
        )
        return self._loads.load(instance.id) < load_limit

    def _candidates(self, demand: Demand) -> list[FleetInstance]:
        return [
            instance
            for instance in self._fleet.of_service(demand.pending.service)
            if not instance.draining
            and instance.id not in demand.excluded
            and not self._fleet.is_missing(instance.id)
            and serves(instance, demand.pending.model)
            and not self._gate.is_withdrawn(instance)
        ]

    def _least_costly(self, instances: Sequence[FleetInstance]) -> FleetInstance:
        costs = [self._cost(instance) for instance in instances]
        least = min(costs)
        tied = [
            instance
            for instance, cost in zip(instances, costs)
            if cost <= least + self.TIE_MARGIN_REQUESTS
        ]
        return self._rng.choice(tied)

    def _cost(self, instance: FleetInstance) -> float:
        remote = instance.failure_domain != self._failure_domain
        # In a slow group this request and each one in progress take longer.
        pace = self._loads.pace(instance.id)
        load_cost = self._loads.load(instance.id) * pace + SLOW_GROUP_COST_REQUESTS * (
            pace - 1.0
        )
        return (
            load_cost
            + self._gate.load_cost(instance)
            + (REMOTE_COST_REQUESTS if remote else 0.0)
        )


def blocked_reason(barriers: Collection[Barrier]) -> str:
    """Return why instances that all have a lasting barrier take no request."""
    if set(barriers) == {Barrier.EVACUATED}:
        return "all instances are in evacuated failure domains"
    if Barrier.RESTING not in barriers:
        return "all instances are at their request limits"
    if Barrier.LIMITED not in barriers:
        return "all instances rest"
    return "all instances rest or are at their request limits"


def serves(instance: FleetInstance, model: ModelName | None) -> bool:
    """Return whether an instance accepts requests for a model; ``None`` fits any."""
    if model is None:
        return True
    return instance.is_serving_head and model in instance.models
