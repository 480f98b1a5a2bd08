"""Suspicion detectors: what the silence or slowness of an instance means."""

import logging

import msgspec
import numpy as np

from citronpin.basics.ids import InstanceId
from citronpin.policy.plans import Detector, Health
from citronpin.state.instances import InstanceState

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

    def record_reply(self, *, instance, boot, delay_s, now_s):
        seen = self._of(instance, now_s)
        seen.heard_s = now_s
        seen.missed = 0
        seen.boot = boot

    def record_missed_probe(self, *, instance, now_s):
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


class Graded(Seen):
    """What the graded detector remembers besides."""

    delay_s: float | None = None  # smoothed
    slow_since_s: float | None = None
    returned_s: float | None = None
    silent_since_s: float | None = None


@register
class GradedDetector(TimeoutDetector):
    """Tells a pause, a straggler, a return, a death and a dark domain apart.

    An instance is silent when it missed a probe and was not heard for
    ``paused_after_s``. Silence counts as a pause, after ``dead_after_s`` as death, at
    once when the membership list has dropped the instance; one that answers is well
    whatever the list has lost. When at least
    ``dark_share`` of the listed instances are silent, all silent ones are dark.
    """

    name = "graded"
    SMOOTHING = 0.2
    LEAST_DARK = 4
    LEAST_DELAY_S = 0.01

    def __init__(
        self,
        *,
        paused_after_s: float = 1.0,
        dead_after_s: float = 10.0,
        dark_share: float = 0.6,
        straggler_ratio: float = 4.0,
        straggler_after_s: float = 5.0,
        returned_hold_s: float = 5.0,
    ) -> None:
        super().__init__(dead_after_s=dead_after_s)
        self._paused_after_s = paused_after_s
        self._dark_share = dark_share
        self._straggler_ratio = straggler_ratio
        self._straggler_after_s = straggler_after_s
        self._returned_hold_s = returned_hold_s
        self._dark = False
        self._judged_s: float | None = None

    def _of(self, instance, now_s):
        if instance not in self._seen:
            self._seen[instance] = Graded(heard_s=now_s, since_s=now_s)
        return self._seen[instance]

    def record_reply(self, *, instance, boot, delay_s, now_s):
        seen = self._of(instance, now_s)
        if seen.boot and boot != seen.boot:
            seen.returned_s = now_s
        super().record_reply(instance=instance, boot=boot, delay_s=delay_s, now_s=now_s)
        old = seen.delay_s
        if old is None:
            seen.delay_s = delay_s
        else:
            seen.delay_s = old + self.SMOOTHING * (delay_s - old)
        self._judged_s = None

    def record_missed_probe(self, *, instance, now_s):
        super().record_missed_probe(instance=instance, now_s=now_s)
        self._judged_s = None

    def listed(self, *, instances, now_s):
        rows = {row.id: row.state for row in instances}
        for instance, state in rows.items():
            seen = self._of(instance, now_s)
            seen.leaving = state is InstanceState.LEAVING
            seen.listed = True
        for instance in list(self._seen):
            if instance in rows:
                continue
            seen = self._seen[instance]
            seen.listed = False
            if seen.missed and now_s - seen.heard_s >= self._dead_after_s:
                del self._seen[instance]
        self._judged_s = None

    def health(self, *, instance, now_s):
        self._of(instance, now_s)
        if self._judged_s != now_s:
            self._judge_domain(now_s)
            self._judged_s = now_s
        return super().health(instance=instance, now_s=now_s)

    def _silent(self, seen: Seen, now_s: float) -> bool:
        return seen.missed > 0 and now_s - seen.heard_s >= self._paused_after_s

    def _judge_domain(self, now_s: float) -> None:
        rows = [seen for seen in self._seen.values() if seen.listed]
        silent = sum(self._silent(seen, now_s) for seen in rows)
        needed = max(self._dark_share * len(rows), self.LEAST_DARK)
        self._dark = silent >= needed
        delays = [seen.delay_s for seen in rows if seen.delay_s is not None]
        typical_s = max(float(np.median(delays)) if delays else 0, self.LEAST_DELAY_S)
        for seen in rows:
            slow = seen.delay_s and seen.delay_s > self._straggler_ratio * typical_s
            if not slow:
                seen.slow_since_s = None
            elif seen.slow_since_s is None:
                seen.slow_since_s = now_s

    def _judge(self, seen, now_s):
        if self._silent(seen, now_s):
            if self._dark:
                return Health.DARK
            dead = now_s - seen.heard_s >= self._dead_after_s or not seen.listed
            return Health.DEAD if dead else Health.PAUSED
        if seen.returned_s is not None:
            if now_s - seen.returned_s < self._returned_hold_s:
                return Health.RETURNED
            seen.returned_s = None
        if seen.leaving:
            return Health.LEAVING
        slow_s = seen.slow_since_s
        if slow_s is not None and now_s - slow_s >= self._straggler_after_s:
            return Health.STRAGGLER
        return Health.HEALTHY
