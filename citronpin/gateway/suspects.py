"""Which instances get no new work for now, judged by what came of earlier work."""

import logging

import msgspec

from citronpin.basics.ids import InstanceId

logger = logging.getLogger(__name__)

FAILURE_WEIGHT = 0.25  # of the newest outcome in the smoothed share of failures
MAX_PENALTY = 6.0  # requests that a failing instance seems to have more
STALL_MEMORY_S = 5.5  # a stalled head refuses by then
UNREACHABLE_MEMORY_S = 1.5  # until a refused connection is tried again
HINT_MEMORY_S = 1.0
# A head that refuses though it has room does not serve; the list tells within a second.
REFUSAL_MEMORY_S = 0.8


class Standing(msgspec.Struct):
    """How requests to one instance ended of late."""

    failing: float = 0.0  # smoothed share, 0 to 1
    avoid_until_s: float = 0.0
    suspected_s: float = 0.0
    alive_s: float = float("-inf")  # when any answer of it last went on


class Suspects:
    """Keeps the standing of instances; every success restores it step by step."""

    def __init__(self) -> None:
        self._standings: dict[InstanceId, Standing] = {}

    def _of(self, instance: InstanceId) -> Standing:
        return self._standings.setdefault(instance, Standing())

    def succeeded(self, instance: InstanceId, *, now_s: float) -> None:
        """Take a sound answer, or a sign that an answer goes on."""
        standing = self._of(instance)
        standing.failing *= 1.0 - FAILURE_WEIGHT
        standing.avoid_until_s = 0.0
        standing.alive_s = now_s

    def alive_s(self, instance: InstanceId) -> float:
        """Return when any answer of an instance last went on."""
        standing = self._standings.get(instance)
        return float("-inf") if standing is None else standing.alive_s

    def refused(self, instance: InstanceId, *, now_s: float) -> None:
        """Take the refusal of an instance that seemed to have room."""
        standing = self._of(instance)
        until_s = now_s + REFUSAL_MEMORY_S
        standing.avoid_until_s = max(standing.avoid_until_s, until_s)

    def failed(self, instance: InstanceId) -> None:
        """Take an answer that was lost, spoilt or an error."""
        standing = self._of(instance)
        standing.failing += FAILURE_WEIGHT * (1.0 - standing.failing)

    def stalled(self, instance: InstanceId, *, now_s: float) -> None:
        """Give no new work to an instance whose answers stopped."""
        standing = self._of(instance)
        standing.avoid_until_s = now_s + STALL_MEMORY_S
        standing.suspected_s = now_s

    def hinted(self, instance: InstanceId, *, now_s: float) -> None:
        """Take another entry's suspicion, which counts for a shorter time."""
        standing = self._of(instance)
        until_s = now_s + HINT_MEMORY_S
        standing.avoid_until_s = max(standing.avoid_until_s, until_s)

    def unreachable(self, instance: InstanceId, *, now_s: float) -> None:
        """Give no new work to an instance that took no connection."""
        self.failed(instance)
        standing = self._of(instance)
        until_s = now_s + UNREACHABLE_MEMORY_S
        standing.avoid_until_s = max(standing.avoid_until_s, until_s)
        standing.suspected_s = now_s

    def is_avoided(self, instance: InstanceId, *, now_s: float) -> bool:
        """Return whether it gets no new work while others can take it."""
        standing = self._standings.get(instance)
        return standing is not None and standing.avoid_until_s > now_s

    def load_penalty(self, instance: InstanceId) -> float:
        """Return how many requests more an instance seems to have."""
        standing = self._standings.get(instance)
        return 0.0 if standing is None else MAX_PENALTY * standing.failing

    def recent(self, *, since_s: float) -> tuple[InstanceId, ...]:
        """Return the instances that came under suspicion since then."""
        return tuple(
            instance
            for instance, standing in self._standings.items()
            if standing.suspected_s >= since_s > 0.0
        )

    def forget(self, instance: InstanceId) -> None:
        """Drop what is known of an instance that formed a new group or is gone."""
        self._standings.pop(instance, None)
