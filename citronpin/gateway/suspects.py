"""Tracks which instances get no new requests because of recent failures."""

import logging

import msgspec

from citronpin.basics.ids import InstanceId

logger = logging.getLogger(__name__)

FAILURE_WEIGHT = 0.25  # of the newest outcome in the moving average
MAX_LOAD_PENALTY = 6.0  # requests
STALL_AVOID_S = 5.5  # a stalled head refuses requests by then
UNREACHABLE_AVOID_S = 1.5
PEER_SUSPICION_AVOID_S = 1.0
CONTRADICTED_S = 0.2  # an instance that answered this entry so lately has not stalled
# A head that refuses although it has free slots no longer serves; its registration
# shows that within a second.
REFUSAL_AVOID_S = 0.8


class InstanceHealth(msgspec.Struct):
    """The health of one instance, as its recent requests show it."""

    failing: float = 0.0  # moving average of failures, 0 to 1
    avoid_until_s: float = 0.0
    suspected_s: float = 0.0
    # Clock time of the latest progress of any answer.
    last_progress_s: float = msgspec.field(name="alive_s", default=float("-inf"))


class Suspects:
    """Keeps the health of instances; each success lowers their failure average."""

    def __init__(self) -> None:
        self._health: dict[InstanceId, InstanceHealth] = {}

    def _health_of(self, instance: InstanceId) -> InstanceHealth:
        return self._health.setdefault(instance, InstanceHealth())

    def succeeded(self, instance: InstanceId, *, now_s: float) -> None:
        """Record a valid answer, or progress of one."""
        health = self._health_of(instance)
        health.failing *= 1.0 - FAILURE_WEIGHT
        health.avoid_until_s = 0.0
        health.last_progress_s = now_s

    def last_progress_s(self, instance: InstanceId) -> float:
        """Return when any answer of an instance last made progress, in seconds."""
        health = self._health.get(instance)
        return float("-inf") if health is None else health.last_progress_s

    def refused(self, instance: InstanceId, *, now_s: float) -> None:
        """Avoid an instance that refused a request despite its free slots."""
        health = self._health_of(instance)
        until_s = now_s + REFUSAL_AVOID_S
        health.avoid_until_s = max(health.avoid_until_s, until_s)

    def failed(self, instance: InstanceId) -> None:
        """Record an answer that was lost, invalid or an error."""
        health = self._health_of(instance)
        health.failing += FAILURE_WEIGHT * (1.0 - health.failing)

    def stalled(self, instance: InstanceId, *, now_s: float) -> None:
        """Avoid and suspect an instance whose answers stopped."""
        health = self._health_of(instance)
        health.avoid_until_s = now_s + STALL_AVOID_S
        health.suspected_s = now_s

    def confirmed(self, instance: InstanceId, *, now_s: float) -> None:
        """Avoid an instance on which another entry's suspicion seems to be right.

        Other entries are not told: a silence that is only too long because of their
        suspicion is no evidence for them.
        """
        self._health_of(instance).avoid_until_s = now_s + STALL_AVOID_S

    def suspected_by_peer(self, instance: InstanceId, *, now_s: float) -> None:
        """Avoid an instance that another entry suspects, for a shorter time.

        Its own answers to this entry go before the word of another one, whose path to
        the instance may be lost.
        """
        health = self._health_of(instance)
        if now_s - health.last_progress_s < CONTRADICTED_S:
            return
        until_s = now_s + PEER_SUSPICION_AVOID_S
        health.avoid_until_s = max(health.avoid_until_s, until_s)

    def unreachable(self, instance: InstanceId, *, now_s: float) -> None:
        """Avoid and suspect an instance that accepted no connection."""
        self.failed(instance)
        health = self._health_of(instance)
        until_s = now_s + UNREACHABLE_AVOID_S
        health.avoid_until_s = max(health.avoid_until_s, until_s)
        health.suspected_s = now_s

    def is_avoided(self, instance: InstanceId, *, now_s: float) -> bool:
        """Return whether an instance gets no new request while others can take it."""
        health = self._health.get(instance)
        return health is not None and health.avoid_until_s > now_s

    def load_penalty(self, instance: InstanceId) -> float:
        """Return the number of requests to add to the load of an instance."""
        health = self._health.get(instance)
        return 0.0 if health is None else MAX_LOAD_PENALTY * health.failing

    def recently_suspected(self, *, since_s: float) -> tuple[InstanceId, ...]:
        """Return the instances that came under suspicion at or after ``since_s``."""
        return tuple(
            instance
            for instance, health in self._health.items()
            if health.suspected_s >= since_s > 0.0
        )

    def discard(self, instance: InstanceId) -> None:
        """Discard the health of an instance that joined another group or is gone."""
        self._health.pop(instance, None)
