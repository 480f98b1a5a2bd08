"""Suspicion detectors: what the silence or slowness of an instance means."""

import logging

import msgspec

from citronpin.ids import InstanceId
from citronpin.instances import InstanceState
from citronpin.plans import Detector, Health

logger = logging.getLogger(__name__)


class Seen(msgspec.Struct):
    """What a detector remembers of one instance."""

    heard_s: float
    missed: int = 0
    boot: str = ""
    leaving: bool = False
    listed: bool = True
    health: Health = Health.HEALTHY
    since_s: float = 0.0


DETECTORS: dict[str, type[Detector]] = {}


def register(detector: type[Detector]) -> type[Detector]:
    """Register a detector by the name that settings use."""
    DETECTORS[detector.name] = detector
    return detector


@register
class TimeoutDetector(Detector):
    """Calls an instance dead after a fixed silence; sees nothing else."""

    name = "timeout"

    def __init__(self, *, dead_after_s: float = 2.0) -> None:
        self._dead_after_s = dead_after_s
        self._seen: dict[InstanceId, Seen] = {}

    def _of(self, instance: InstanceId, now_s: float) -> Seen:
        if instance not in self._seen:
            self._seen[instance] = Seen(heard_s=now_s, since_s=now_s)
        return self._seen[instance]

    def heard(self, *, instance, boot, delay_s, now_s):
        seen = self._of(instance, now_s)
        seen.heard_s = now_s
        seen.missed = 0
        seen.boot = boot

    def missed(self, *, instance, now_s):
        self._of(instance, now_s).missed += 1

    def listed(self, *, instances, now_s):
        states = {row.id: row.state for row in instances}
        for instance in states:
            self._of(instance, now_s)
        for instance in [known for known in self._seen if known not in states]:
            del self._seen[instance]
        for instance, state in states.items():
            self._seen[instance].leaving = state is InstanceState.LEAVING

    def health(self, *, instance, now_s):
        seen = self._of(instance, now_s)
        health = self._judge(seen, now_s)
        if health is not seen.health:
            seen.health = health
            seen.since_s = now_s
        return seen.health, seen.since_s

    def _judge(self, seen: Seen, now_s: float) -> Health:
        if seen.missed and now_s - seen.heard_s >= self._dead_after_s:
            return Health.DEAD
        return Health.LEAVING if seen.leaving else Health.HEALTHY
