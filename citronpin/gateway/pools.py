"""Tracks the instances of a domain that are free to join a group."""

import logging
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from citronpin.basics.ids import InstanceId, ModelName
from citronpin.gateway.plans import InstanceView

logger = logging.getLogger(__name__)


class InstancePool:
    """Holds free instances and hands out those that can serve a model soonest."""

    def __init__(self, free: Iterable[InstanceView]) -> None:
        self._free = {observed.instance.id: observed for observed in free}

    def __len__(self) -> int:
        return len(self._free)

    def add(self, observed: InstanceView) -> None:
        """Add a free instance."""
        self._free[observed.instance.id] = observed

    def drop(self, member: InstanceId) -> None:
        """Remove an instance if it is in the pool."""
        self._free.pop(member, None)

    @contextmanager
    def without_evacuated(self) -> Iterator[None]:
        """Hold back the instances of evacuated failure domains in a `with` block."""
        held = [observed for observed in self.values() if observed.evacuated]
        for observed in held:
            self.drop(observed.instance.id)
        yield
        for observed in held:
            self.add(observed)

    def values(self) -> list[InstanceView]:
        """Return the instances sorted by id."""
        return sorted(self._free.values(), key=lambda observed: observed.instance.id)

    def count_with_model(self, model: ModelName) -> int:
        """Return how many instances can serve a model without a load."""
        return sum(model in observed.local_models for observed in self._free.values())

    def take(self, model: ModelName, count: int) -> list[InstanceId]:
        """Remove and return up to ``count`` instances, soonest ready first."""
        chosen = sorted(
            self._free.values(),
            key=lambda observed: (
                _readiness(observed, model),
                len(observed.local_models),  # keeps instances that hold more models
                observed.instance.id,
            ),
        )[:count]
        for observed in chosen:
            self.drop(observed.instance.id)
        return [observed.instance.id for observed in chosen]


def _readiness(observed: InstanceView, model: ModelName) -> int:
    """Return 0 if the model is held, 1 for an empty host, 2 if it holds others only."""
    if model in observed.local_models:
        return 0
    return 2 if observed.instance.staged else 1
