"""The slots and loads of all groups that an entry may send requests of a model to."""

import logging
from abc import ABC, abstractmethod

import msgspec

from citronpin.basics.ids import ApplicationName, ModelName
from citronpin.gateway.fleets import Fleet
from citronpin.gateway.instance_gates import Barrier, InstanceGate
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.placers import serves

logger = logging.getLogger(__name__)


class Capacity(msgspec.Struct, frozen=True, kw_only=True):
    """Requests in progress or queued and slots of the permitted groups of a model.

    Both are numbers of requests. The load is as old as the reports of the groups, and
    0 where none reported.
    """

    load: int = 0
    slots: int = 0

    @property
    def use(self) -> float:
        """Return the load per slot; above 1 requests queue, and 0 without slots."""
        return self.load / self.slots if self.slots else 0.0


class CapacityReader(ABC):
    """Reads the capacity that the entry knows of."""

    @abstractmethod
    def read(self, service: ApplicationName, model: ModelName) -> Capacity:
        """Return the capacity of a model of a service."""


class FleetCapacity(CapacityReader):
    """Adds up the groups that placement would consider for a new request.

    These are the groups that answer; if none does, those under suspicion.
    """

    def __init__(self, *, fleet: Fleet, loads: LoadTracker, gate: InstanceGate) -> None:
        self._fleet = fleet
        self._loads = loads
        self._gate = gate

    def read(self, service, model):
        answering, suspected = [], []
        for instance in self._fleet.of_service(service):
            if not serves(instance, model):
                continue
            barrier = self._gate.barrier(instance)
            if barrier is None:
                answering.append(instance)
            elif barrier is Barrier.SUSPECTED:
                suspected.append(instance)
        heads = answering or suspected
        return Capacity(
            load=sum(self._loads.load(head.id) for head in heads),
            slots=sum(head.slots for head in heads),
        )
