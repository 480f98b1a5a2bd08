"""Watches the instances of a fabric domain by asking them for reports."""

import logging

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import InstanceId
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.ports import InstanceControl, Report
from citronpin.peers.messages import NO_LOAD

logger = logging.getLogger(__name__)

CALM_INTERVAL_S = 0.5
BUSY_INTERVAL_S = 0.15  # while orders are being carried out
DEAD_MISSES = 2  # a single one may be a lost packet
CERTAIN_MISSES = 5  # without regard to the list
SILENT_BEATS = 1.4  # heartbeats after which the list shows an instance as silent


class Watched(msgspec.Struct):
    """What is known of one instance."""

    report: Report | None = None
    reported_s: float = float("-inf")
    asked_s: float = float("-inf")
    asking: bool = False
    misses: int = 0


class MemberWatch:
    """Asks instances for reports and judges which of them are dead.

    Two unanswered questions count as death only together with other evidence: silence
    in the list, or entries that wait in vain for answers of its group. One that is
    merely cut off from this entry may still serve others.
    """

    def __init__(
        self,
        *,
        control: InstanceControl,
        fleet: Fleet,
        clock: Clock,
        heartbeat_s: float,
    ) -> None:
        self._control = control
        self._fleet = fleet
        self._clock = clock
        self._silent_s = SILENT_BEATS * heartbeat_s
        self._watched: dict[InstanceId, Watched] = {}

    def ask(self, instances: list[FleetInstance], *, busy: bool) -> None:
        """Ask those instances whose report is due."""
        now_s = self._clock.now()
        interval_s = BUSY_INTERVAL_S if busy else CALM_INTERVAL_S
        for instance in instances:
            seen = self._watched.setdefault(instance.id, Watched())
            if seen.asking or now_s - seen.asked_s < interval_s:
                continue
            seen.asking = True
            seen.asked_s = now_s
            self._control.report(of=instance, done=self._taker(instance, seen))

    def _taker(self, instance: FleetInstance, seen: Watched):
        def take(report: Report | None, error: CitronpinError | None) -> None:
            seen.asking = False
            if report is None:
                seen.misses += 1
                if seen.misses == DEAD_MISSES:
                    logger.info(
                        "instance silent",
                        extra={"instance": instance.id, "detail": str(error)},
                    )
                return
            seen.misses = 0
            seen.report = report
            seen.reported_s = self._clock.now()

        return take

    def forget_others(self, known: set[InstanceId]) -> None:
        """Drop what is known of instances that are no longer there."""
        for instance in set(self._watched) - known:
            del self._watched[instance]

    def overlay(self, instance: FleetInstance) -> FleetInstance:
        """Return an instance with the newer of its report and its entry."""
        seen = self._watched.get(instance.id)
        if seen is None or seen.report is None:
            return instance
        if seen.reported_s < self._fleet.heard_s(instance.id):
            return instance
        report = seen.report
        return msgspec.structs.replace(
            instance,
            membership=report.membership,
            models=report.models,
            staged=report.staged,
            born_ms=report.born_ms,
        )

    def load(self, instance: InstanceId) -> int:
        """Return the requests that an instance reported last."""
        seen = self._watched.get(instance)
        if seen is None or seen.report is None:
            return NO_LOAD
        return seen.report.running + seen.report.waiting

    def pace(self, instance: InstanceId) -> float:
        """Return how slow an instance reported to be last; 1 is its usual pace."""
        seen = self._watched.get(instance)
        return 1.0 if seen is None or seen.report is None else seen.report.pace

    def dead(self, instance: FleetInstance, *, suspected: bool = False) -> bool:
        """Return whether an instance is judged dead.

        ``suspected`` tells that answers of its group have stopped.
        """
        seen = self._watched.get(instance.id)
        if seen is None or seen.misses < DEAD_MISSES:
            return False
        if suspected or seen.misses >= CERTAIN_MISSES:
            return True
        if self._fleet.in_outage:
            return False  # the list tells nothing now
        now_s = self._clock.now()
        return now_s - self._fleet.heard_s(instance.id) > self._silent_s
