"""Decides whether this entry may send a request to an instance now."""

import logging
from enum import Enum

from citronpin.basics.clocks import Clock
from citronpin.gateway.evacuations import Evacuations
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.rests import InstanceRests
from citronpin.gateway.suspects import Suspects
from citronpin.gateway.withdrawals import NO_WITHDRAWALS, Withdrawals

logger = logging.getLogger(__name__)


class Barrier(Enum):
    """Why an instance gets no request, the most lasting reason first."""

    GONE = "gone"  # its registration is missing
    LEAVING = "leaving"
    WITHDRAWN = "withdrawn"  # its group ends or has ended
    EVACUATED = "evacuated"  # its failure domain is
    RESTING = "resting"
    LIMITED = "limited"  # no permit is expected now
    SUSPECTED = "suspected"  # only while others can take the request


class InstanceGate:
    """Combines what registrations, evacuations, limits, rests and suspicions say.

    Every path to an instance passes it: first tries, retries, resumed streams, requests
    of other entries, and requests that waited for a permit.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        limits: InstanceLimits,
        rests: InstanceRests,
        suspects: Suspects,
        clock: Clock,
        withdrawals: Withdrawals = NO_WITHDRAWALS,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._withdrawals = withdrawals
        self._fleet = fleet
        self._limits = limits
        self._rests = rests
        self._suspects = suspects
        self._clock = clock
        self._evacuations = evacuations or Evacuations(now=clock.now)

    def barrier(
        self, instance: FleetInstance, *, accepts_limited: bool = True
    ) -> Barrier | None:
        """Return why an instance gets no request now, or ``None`` if it may.

        ``accepts_limited`` is false for a request that got no permits.
        """
        known = self._fleet.get(instance.id)
        if known is None or self._fleet.is_missing(instance.id):
            return Barrier.GONE
        if known.draining:
            return Barrier.LEAVING
        if self._withdrawals.is_withdrawn(known):
            return Barrier.WITHDRAWN
        if self._evacuations.covers(known):
            return Barrier.EVACUATED
        if self._rests.wait_s(known) > 0.0:
            return Barrier.RESTING
        is_limited = self._limits.rate(known) is not None
        if (is_limited and not accepts_limited) or self._limits.wait_s(known) > 0.0:
            return Barrier.LIMITED
        if self._suspects.is_avoided(known.id, now_s=self._clock.now()):
            return Barrier.SUSPECTED
        return None

    def is_evacuated(self, instance: FleetInstance) -> bool:
        """Return whether the failure domain of an instance is evacuated."""
        return self._evacuations.covers(instance)

    def is_withdrawn(self, instance: FleetInstance) -> bool:
        """Return whether an instance serves only by a registration that is outdated."""
        return self._withdrawals.is_withdrawn(instance)

    def wait_s(self, instance: FleetInstance) -> float:
        """Return the seconds for which the rest or limit of an instance lasts."""
        return max(self._rests.wait_s(instance), self._limits.wait_s(instance))

    def load_cost(self, instance: FleetInstance) -> float:
        """Return the requests to add to the load of an instance to compare it."""
        return (
            self._suspects.load_penalty(instance.id)
            + self._limits.load_cost(instance)
            + self._rests.load_cost(instance)
        )
