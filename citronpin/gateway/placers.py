"""Selects the instance that serves a request by load, locality and recent faults."""

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from enum import Enum

import msgspec

from citronpin.basics.ids import FailureDomainName, ModelName
from citronpin.gateway.demands import Demand
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.group_works import OwnRequest
from citronpin.gateway.instance_gates import Barrier, InstanceGate
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import LoadLimitPolicy
from citronpin.gateway.token_memories import HeldRequest, SlotsOnly, TokenMemory

logger = logging.getLogger(__name__)

SLOW_GROUP_COST_REQUESTS = 2.0  # per multiple of the normal time beyond the first
NO_MEMORY_REASON = "no instance has memory for its tokens"
TOO_LARGE_REASON = "its tokens exceed the memory of every instance"
REMOTE_COST_REQUESTS = 0.35  # prefers the entry's failure domain at equal load


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """The selected instance, its load in requests and the number of candidates."""

    instance: FleetInstance
    load: int
    candidates: int
    work: OwnRequest | None = None  # told how the attempt goes, where work is tracked
    held: HeldRequest | None = None  # likewise, where tokens are


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
    lacks_memory: bool = False  # instances with free slots have no room for its tokens
    is_too_large: bool = False  # for the memory of every instance, also an empty one

    @classmethod
    def unreachable(cls) -> "PlacementFailure":
        """Return the failure of an entry that reaches no instance."""
        return cls(reason="no instance is reached", candidates=0, is_unreachable=True)

    @classmethod
    def without_memory(
        cls,
        *,
        memory: TokenMemory,
        instances: Sequence[FleetInstance],
        demand: Demand,
        load: int,
    ) -> "PlacementFailure":
        """Return the failure of a request whose tokens have no room."""
        is_too_large = all(memory.is_too_large(one, demand) for one in instances)
        return cls(
            reason=TOO_LARGE_REASON if is_too_large else NO_MEMORY_REASON,
            candidates=len(instances),
            load=load,
            lacks_memory=True,
            is_too_large=is_too_large,
        )


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
    STAND_INS = 2  # selected by reports in place of an instance without memory

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
        memory: TokenMemory | None = None,
    ) -> None:
        self._fleet = fleet
        self._loads = loads
        self._gate = gate
        self._failure_domain = failure_domain
        self._rng = rng
        self._limit_policy = limit_policy
        self._choices = choices
        self._memory = memory or SlotsOnly()

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
        found = unsuspected or permitted
        selected = self._select(found)
        load = self._loads.load(selected.id)
        if not self._is_below_load_limit(selected, demand):
            return PlacementFailure(
                reason="all instances are full", candidates=len(usable), load=load
            )
        if not self._memory.fits(selected, demand, now_s):
            stand_in = self._stand_in(found, selected, demand, now_s)
            if stand_in is None:
                return PlacementFailure.without_memory(
                    memory=self._memory, instances=usable, demand=demand, load=load
                )
            selected, load = stand_in, self._loads.load(stand_in.id)
        return Placement(
            instance=selected,
            load=load,
            candidates=len(usable),
            held=self._memory.hold(selected, demand, now_s),
        )

    def _stand_in(
        self,
        instances: list[FleetInstance],
        selected: FleetInstance,
        demand: Demand,
        now_s: float,
    ) -> FleetInstance | None:
        """Return an instance in place of one that has no memory for the request."""
        left = [
            one
            for one in self._memory.with_room(instances, demand)
            if one is not selected
        ]
        for _ in range(self.STAND_INS):
            if not left:
                return None
            found = self._select(left)
            if self._is_below_load_limit(found, demand) and self._memory.fits(
                found, demand, now_s
            ):
                return found
            left.remove(found)
        return None

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
