"""Failure detectors: the health of an instance from its probe replies and misses."""

import logging

import msgspec
import numpy as np

from citronpin.basics.ids import InstanceId
from citronpin.policy.plans import Detector, Health
from citronpin.state.instances import InstanceState

logger = logging.getLogger(__name__)


class ProbeHistory(msgspec.Struct):
    """The probe history and health of one instance; times are clock times."""

    heard_s: float  # last reply, or when the instance was first seen
    missed: int = 0  # probes missed since the last reply
    boot: str = ""  # boot id of the last reply
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
    """Reports an instance dead after a fixed silence, and ignores reply delays.

    An instance is dead when it missed a probe and its last reply is ``dead_after_s``
    or more ago.
    """

    name = "timeout"

    def __init__(self, *, dead_after_s: float = 2.0) -> None:
        self._dead_after_s = dead_after_s
        self._histories: dict[InstanceId, ProbeHistory] = {}

    def _history_of(self, instance: InstanceId, now_s: float) -> ProbeHistory:
        if instance not in self._histories:
            self._histories[instance] = ProbeHistory(heard_s=now_s, since_s=now_s)
        return self._histories[instance]

    def record_reply(self, *, instance, boot, delay_s, now_s):
        history = self._history_of(instance, now_s)
        history.heard_s = now_s
        history.missed = 0
        history.boot = boot

    def record_missed_probe(self, *, instance, now_s):
        self._history_of(instance, now_s).missed += 1

    def apply_membership(self, *, instances, now_s):
        states = {row.id: row.state for row in instances}
        for instance in states:
            self._history_of(instance, now_s)
        for instance in [known for known in self._histories if known not in states]:
            del self._histories[instance]
        for instance, state in states.items():
            self._histories[instance].leaving = state is InstanceState.LEAVING

    def health(self, *, instance, now_s):
        history = self._history_of(instance, now_s)
        health = self._classify(history, now_s)
        if health is not history.health:
            history.health = health
            history.since_s = now_s
        return history.health, history.since_s

    def _classify(self, history: ProbeHistory, now_s: float) -> Health:
        if history.missed and now_s - history.heard_s >= self._dead_after_s:
            return Health.DEAD
        return Health.LEAVING if history.leaving else Health.HEALTHY


class GradedProbeHistory(ProbeHistory):
    """The probe history with reply delays, restarts and silence."""

    delay_s: float | None = None  # moving average of the reply delay
    slow_since_s: float | None = None
    returned_s: float | None = None  # when a reply had a new boot id
    silent_since_s: float | None = None


@register
class GradedDetector(TimeoutDetector):
    """Distinguishes pauses, stragglers, restarts, deaths and dark fabric domains.

    An instance is silent when it missed a probe and its last reply is
    ``paused_after_s`` or more ago. A silent instance is paused; it is dead after
    ``dead_after_s``, or at once when the membership list no longer has it. An instance
    that replies is not dead even if the list has lost it. When at least
    ``dark_share`` of the listed instances are silent, but no fewer than
    ``MIN_DARK_INSTANCES``, every silent instance is dark.

    A straggler's average reply delay has been above ``straggler_ratio`` times the
    median of the domain for ``straggler_after_s``. An instance that replies with a new
    boot id counts as returned for ``returned_hold_s``.
    """

    name = "graded"
    DELAY_SMOOTHING = 0.2  # weight of the newest sample
    MIN_DARK_INSTANCES = 4
    MIN_MEDIAN_DELAY_S = 0.01

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
        self._is_dark = False
        self._domain_updated_s: float | None = None

    def _history_of(self, instance, now_s):
        if instance not in self._histories:
            self._histories[instance] = GradedProbeHistory(heard_s=now_s, since_s=now_s)
        return self._histories[instance]

    def record_reply(self, *, instance, boot, delay_s, now_s):
        history = self._history_of(instance, now_s)
        if history.boot and boot != history.boot:
            history.returned_s = now_s
        super().record_reply(instance=instance, boot=boot, delay_s=delay_s, now_s=now_s)
        old = history.delay_s
        if old is None:
            history.delay_s = delay_s
        else:
            history.delay_s = old + self.DELAY_SMOOTHING * (delay_s - old)
        self._domain_updated_s = None

    def record_missed_probe(self, *, instance, now_s):
        super().record_missed_probe(instance=instance, now_s=now_s)
        self._domain_updated_s = None

    def apply_membership(self, *, instances, now_s):
        states = {row.id: row.state for row in instances}
        for instance, state in states.items():
            history = self._history_of(instance, now_s)
            history.leaving = state is InstanceState.LEAVING
            history.listed = True
        for instance in list(self._histories):
            if instance in states:
                continue
            history = self._histories[instance]
            history.listed = False
            if history.missed and now_s - history.heard_s >= self._dead_after_s:
                del self._histories[instance]
        self._domain_updated_s = None

    def health(self, *, instance, now_s):
        self._history_of(instance, now_s)
        if self._domain_updated_s != now_s:
            self._update_domain(now_s)
            self._domain_updated_s = now_s
        return super().health(instance=instance, now_s=now_s)

    def _is_silent(self, history: ProbeHistory, now_s: float) -> bool:
        return history.missed > 0 and now_s - history.heard_s >= self._paused_after_s

    def _update_domain(self, now_s: float) -> None:
        """Decide whether the domain is dark and which instances reply too slowly."""
        histories = [history for history in self._histories.values() if history.listed]
        silent = sum(self._is_silent(history, now_s) for history in histories)
        threshold = max(self._dark_share * len(histories), self.MIN_DARK_INSTANCES)
        self._is_dark = silent >= threshold
        delays = [
            history.delay_s for history in histories if history.delay_s is not None
        ]
        median_delay_s = max(
            float(np.median(delays)) if delays else 0, self.MIN_MEDIAN_DELAY_S
        )
        for history in histories:
            is_slow = (
                history.delay_s
                and history.delay_s > self._straggler_ratio * median_delay_s
            )
            if not is_slow:
                history.slow_since_s = None
            elif history.slow_since_s is None:
                history.slow_since_s = now_s

    def _classify(self, history, now_s):
        if self._is_silent(history, now_s):
            if self._is_dark:
                return Health.DARK
            is_dead = (
                now_s - history.heard_s >= self._dead_after_s or not history.listed
            )
            return Health.DEAD if is_dead else Health.PAUSED
        if history.returned_s is not None:
            if now_s - history.returned_s < self._returned_hold_s:
                return Health.RETURNED
            history.returned_s = None
        if history.leaving:
            return Health.LEAVING
        slow_since_s = history.slow_since_s
        if slow_since_s is not None and now_s - slow_since_s >= self._straggler_after_s:
            return Health.STRAGGLER
        return Health.HEALTHY
