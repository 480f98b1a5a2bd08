"""Keeps the times for which instances want no request from this entry."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import InstanceId
from citronpin.gateway.fleets import FleetInstance

logger = logging.getLogger(__name__)

# Bounds what a faulty answer can cause: one entry leaves one life of an instance alone
# for an hour, while other entries use it, and a restart of either ends the rest. The
# longest work of an instance, forming a group with its loads, has 600 s; one that wants
# no request for longer than an hour can say that it leaves.
MAX_REST_S = 3_600.0
RAMP_S = 2.0  # from the end of a rest until the instance gets its full load
RAMP_COST_REQUESTS = 3.0
MAX_KNOWN_RESTS = 4_096


class Rest(msgspec.Struct, frozen=True):
    """The rest of one life of an instance; ``end_s`` is a clock time."""

    born_ms: int  # start of the life, Unix time
    end_s: float


class InstanceRests:
    """Keeps the latest end of the rests that each instance asked this entry for.

    A rest concerns this entry alone: each entry is told by the answers that it gets.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._rests: dict[InstanceId, Rest] = {}

    def record(self, instance: FleetInstance, *, rest_s: float) -> None:
        """Record that an instance wants no request for so many seconds."""
        rest_s = min(rest_s, MAX_REST_S)
        end_s = self._now() + rest_s
        if rest_s <= 0.0 or end_s <= self._end_s(instance):
            return
        if self.wait_s(instance) == 0.0:
            logger.info(
                "instance rests",
                extra={"instance": instance.id, "ms": round(rest_s * MS_PER_S)},
            )
        self._rests.pop(instance.id, None)
        self._rests[instance.id] = Rest(instance.born_ms, end_s)
        if len(self._rests) > MAX_KNOWN_RESTS:
            del self._rests[next(iter(self._rests))]

    def _end_s(self, instance: FleetInstance) -> float:
        rest = self._rests.get(instance.id)
        is_current = rest is not None and rest.born_ms == instance.born_ms
        return rest.end_s if is_current else float("-inf")

    def wait_s(self, instance: FleetInstance) -> float:
        """Return for how many more seconds an instance wants no request."""
        return max(self._end_s(instance) - self._now(), 0.0)

    def load_cost(self, instance: FleetInstance) -> float:
        """Return the requests to add to the load of an instance to compare it.

        After its rest an instance gets its load back by and by.
        """
        if instance.id not in self._rests:
            return 0.0
        since_s = self._now() - self._end_s(instance)
        return RAMP_COST_REQUESTS * min(max(1.0 - since_s / RAMP_S, 0.0), 1.0)

    def expire(self) -> None:
        """Forget the rests that ended long ago."""
        for name, rest in list(self._rests.items()):
            if self._now() - rest.end_s > RAMP_S:
                del self._rests[name]

    def count(self) -> int:
        """Return how many instances rest now."""
        return sum(rest.end_s > self._now() for rest in self._rests.values())
