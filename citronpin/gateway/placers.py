"""Placement: which instance gets a request, or why none does."""

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence

import msgspec

from citronpin.basics.ids import FailureDomainName, InstanceId, ModelName
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.loadbooks import LoadTracker
from citronpin.gateway.overloads import LoadLimitPolicy, Pending
from citronpin.gateway.routings import EngineSpec
from citronpin.gateway.suspects import Suspects

logger = logging.getLogger(__name__)

SLOW_COST = 2.0  # requests for each multiple of the usual time
REMOTE_COST = 0.35  # requests; a place nearby is taken first among equals


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """A request that looks for an instance."""

    pending: Pending
    engine: EngineSpec | None = None
    excluded: Collection[InstanceId] = ()


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """The instance that was chosen, and what decided it."""

    instance: FleetInstance
    load: int
    candidates: int


class NoPlace(msgspec.Struct, frozen=True, kw_only=True):
    """No instance takes the request now."""

    reason: str
    candidates: int
    load: int = 0


class Placer(ABC):
    """Chooses instances for the requests of one entry."""

    @abstractmethod
    def place(self, *, demand: Demand, now_s: float) -> Placement | NoPlace:
        """Choose an instance."""


class LeastLoaded(Placer):
    """Chooses the least loaded instance, with loads as all entries report them.

    Entries learn of each other's requests with a delay: those that see the same figures
    must not all send to the same place. The least loaded of a few drawn instances is
    taken therefore, even where another one would have room: looking further brought
    the herds back (docs/design/platform.md).
    """

    NEAR = 0.6  # requests; differences below it count as a tie
    CHOICES = 3  # drawn for each request; two and four did no better in emulation

    def __init__(
        self,
        *,
        fleet: Fleet,
        loads: LoadTracker,
        suspects: Suspects,
        failure_domain: FailureDomainName,
        rng: random.Random,
        limit_policy: LoadLimitPolicy,
        choices: int = CHOICES,
    ) -> None:
        self._fleet = fleet
        self._loads = loads
        self._suspects = suspects
        self._failure_domain = failure_domain
        self._rng = rng
        self._rooms = limit_policy
        self._choices = choices

    def place(self, *, demand: Demand, now_s: float) -> Placement | NoPlace:
        usable = self._candidates(demand)
        if not usable:
            return NoPlace(reason="no instance serves this", candidates=0)
        sound = [
            instance
            for instance in usable
            if not self._suspects.avoided(instance.id, now_s=now_s)
        ]
        if not sound and demand.pending.midway:
            # Nothing is gained by another wait at an instance that does not answer.
            return NoPlace(reason="no instance answers", candidates=len(usable))
        chosen = self._choose(sound or usable)
        load = self._loads.load(chosen.id)
        if not self._has_room(chosen, demand):
            return NoPlace(
                reason="all instances are full", candidates=len(usable), load=load
            )
        return Placement(instance=chosen, load=load, candidates=len(usable))

    def _choose(self, instances: list[FleetInstance]) -> FleetInstance:
        if len(instances) > self._choices:
            instances = self._rng.sample(instances, self._choices)
        return self._least(instances)

    def _has_room(self, instance: FleetInstance, demand: Demand) -> bool:
        room = self._rooms.room(
            pending=demand.pending, slots=instance.slots, engine=demand.engine
        )
        return self._loads.load(instance.id) < room

    def _candidates(self, demand: Demand) -> list[FleetInstance]:
        return [
            instance
            for instance in self._fleet.of_service(demand.pending.service)
            if not instance.draining
            and instance.id not in demand.excluded
            and not self._fleet.is_missing(instance.id)
            and serves(instance, demand.pending.model)
        ]

    def _least(self, instances: Sequence[FleetInstance]) -> FleetInstance:
        costs = [self._cost(instance) for instance in instances]
        least = min(costs)
        near = [
            instance
            for instance, cost in zip(instances, costs)
            if cost <= least + self.NEAR
        ]
        return self._rng.choice(near)

    def _cost(self, instance: FleetInstance) -> float:
        remote = instance.failure_domain != self._failure_domain
        # At a slow group each request in progress, and this one, takes longer.
        pace = self._loads.pace(instance.id)
        waits = self._loads.load(instance.id) * pace + SLOW_COST * (pace - 1.0)
        return (
            waits
            + self._suspects.penalty(instance.id)
            + (REMOTE_COST if remote else 0.0)
        )


def serves(instance: FleetInstance, model: ModelName | None) -> bool:
    """Return whether an instance takes requests for a model, or any without one."""
    if model is None:
        return True
    return instance.serving_head and model in instance.models
