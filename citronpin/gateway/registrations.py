"""Remembers the latest registration of each instance, to recognise outdated ones."""

import logging
from enum import Enum

import msgspec

from citronpin.gateway.fleets import FleetInstance

logger = logging.getLogger(__name__)

MAX_REMEMBERED = 4_096  # of those that are gone, the oldest are forgotten beyond it


class Registration(msgspec.Struct, frozen=True):
    """The registration of an instance; ``sequence`` rises with each since its start."""

    instance: FleetInstance
    sequence: int
    cold_s: float = 0.0  # how much longer it was cold when it was written

    @property
    def order(self) -> tuple[int, int]:
        """Return a key that rises with each registration under the same id."""
        return (self.instance.born_ms, self.sequence)


class Freshness(Enum):
    """How a registration from a copy compares with the latest that is known."""

    CURRENT = "current"
    OUTDATED = "outdated"  # the instance has registered again since
    GONE = "gone"  # the instance has left since


class RegistrationHistory:
    """Compares what a store that went back returns with what was read before."""

    def __init__(self) -> None:
        # By id: order of the latest registration, and whether the instance has left.
        self._latest: dict[str, tuple[tuple[int, int], bool]] = {}

    def is_later(self, registration: Registration) -> bool:
        """Return whether a registration is later than the latest that was recorded."""
        latest, _ = self._latest.get(registration.instance.id, ((0, -1), False))
        return registration.order > latest

    def record(self, registration: Registration) -> None:
        """Record a registration as the latest."""
        self._set_latest(registration.instance.id, registration.order, False)

    def record_removal(self, name: str) -> None:
        """Record that an instance has left."""
        if name in self._latest:
            self._set_latest(name, self._latest[name][0], True)

    def compare(self, registration: Registration) -> Freshness:
        """Return how a registration compares with the latest of its instance."""
        latest, is_gone = self._latest.get(registration.instance.id, ((0, -1), False))
        if is_gone and registration.order <= latest:
            return Freshness.GONE
        if registration.order < latest:
            return Freshness.OUTDATED
        return Freshness.CURRENT

    def _set_latest(self, name: str, order: tuple[int, int], is_gone: bool) -> None:
        self._latest.pop(name, None)
        self._latest[name] = (order, is_gone)
        if len(self._latest) <= MAX_REMEMBERED:
            return
        oldest_gone = next((n for n, (_, gone) in self._latest.items() if gone), None)
        if oldest_gone is not None:
            del self._latest[oldest_gone]
