"""Instances of a domain that are free to join a group."""

import logging
from collections.abc import Iterable

from citronpin.basics.ids import InstanceId, ModelName
from citronpin.gateway.plans import InstanceView

logger = logging.getLogger(__name__)


class InstancePool:
    """Instances that may be taken, by how soon each can serve a model."""

    def __init__(self, free: Iterable[InstanceView]) -> None:
        self._free = {seen.instance.id: seen for seen in free}

    def __len__(self) -> int:
        return len(self._free)

    def add(self, seen: InstanceView) -> None:
        """Put an instance back, or one that its group gave up."""
        self._free[seen.instance.id] = seen

    def drop(self, member: InstanceId) -> None:
        """Take an instance out, if it is there."""
        self._free.pop(member, None)

    def values(self) -> list[InstanceView]:
        """Return the instances in the order of their names."""
        return sorted(self._free.values(), key=lambda seen: seen.instance.id)

    def at_hand(self, model: ModelName) -> int:
        """Return how many need no load to serve a model."""
        return sum(model in seen.at_hand for seen in self._free.values())

    def take(self, model: ModelName, count: int) -> list[InstanceId]:
        """Take the ``count`` instances that are ready soonest."""
        chosen = sorted(
            self._free.values(),
            key=lambda seen: (
                _readiness(seen, model),
                len(seen.at_hand),  # one that can serve more is kept for that
                seen.instance.id,
            ),
        )[:count]
        for seen in chosen:
            self.drop(seen.instance.id)
        return [seen.instance.id for seen in chosen]


def _readiness(seen: InstanceView, model: ModelName) -> int:
    """Return 0 where the model is at hand, 1 for an empty host, 2 for another model."""
    if model in seen.at_hand:
        return 0
    return 2 if seen.instance.staged else 1
