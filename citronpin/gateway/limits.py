"""Keeps the limits on requests per second that instances name in their answers."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import InstanceId
from citronpin.gateway.cold_starts import ColdStarts
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.peers.messages import LimitReport

logger = logging.getLogger(__name__)

OWN_ANSWER = "own answer"  # source of a limit that this entry learned itself
LIMITED_COST_REQUESTS = 2.0  # leaves permits to requests that find no other instance
CONFIRMATION_S = 5.0  # after it the instance is tried again at equal load
RAMP_S = 3.0  # from the end of a limit until the instance gets its full load
RAMP_COST_REQUESTS = 4.0
# Ages in messages do not contain the time on the way, so an end that another entry
# reports counts only if it is later than the limit by more than this.
MESSAGE_DELAY_S = 0.25
FORGET_AFTER_S = 60.0  # of an instance that is gone
MAX_KNOWN_LIMITS = 4_096
UNKNOWN_AGE_MS = 2**31  # older than each answer that named a limit


class KnownLimit(msgspec.Struct, kw_only=True):
    """What is known of the limit of one life of an instance; times of the clock."""

    born_ms: int  # start of the life, Unix time
    rate: float | None  # requests per second; None after an answer without a limit
    as_of_s: float  # see `LimitReport.age_ms`
    changed_s: float  # when this entry learned that the limit began or ended
    source: str  # `OWN_ANSWER` or the entry that reported it
    exhausted_until_s: float = float("-inf")  # no permit is expected before


class InstanceLimits:
    """Keeps the limits of instances, by their current life.

    An answer that names a limit begins or changes it. An answer without one ends it,
    if its request was sent after the limit was last named: only then was it produced
    later. A limit does not expire, since an instance that gets no requests cannot
    confirm it, but the next request shows whether it still holds.

    A cold phase (`ColdStarts`) is a second source: of both limits the lower one holds.
    """

    def __init__(
        self, *, now: Callable[[], float], cold_starts: ColdStarts | None = None
    ) -> None:
        self._now = now
        self.cold_starts = cold_starts or ColdStarts(now=now, fleet=Fleet())
        self._known: dict[InstanceId, KnownLimit] = {}
        self._news: dict[InstanceId, None] = {}  # limits that began or ended

    def record_answer(
        self, instance: FleetInstance, *, rate: float | None, sent_s: float
    ) -> None:
        """Record the limit in requests per second that an answer named, or ``None``.

        ``sent_s`` is the clock time at which its request was sent.
        """
        as_of_s = sent_s if rate is None else self._now()
        if self._apply(instance.id, instance.born_ms, rate, as_of_s, OWN_ANSWER):
            self._news[instance.id] = None

    def record_cold(self, instance: FleetInstance, *, remaining_s: float) -> None:
        """Record for how many seconds an answer says that an instance is cold."""
        if remaining_s > 0.0:
            self.cold_starts.record(
                instance, remaining_s=remaining_s, source=OWN_ANSWER
            )

    def apply_report(self, report: LimitReport, *, source: str) -> bool:
        """Apply what another entry knows; return whether a limit began or ended."""
        as_of_s = self._now() - report.age_ms / MS_PER_S
        if report.rate is None:
            as_of_s -= MESSAGE_DELAY_S
        return self._apply(
            report.instance, report.born_ms, report.rate, as_of_s, source
        )

    def _apply(
        self,
        instance: InstanceId,
        born_ms: int,
        rate: float | None,
        as_of_s: float,
        source: str,
    ) -> bool:
        known = self._known.get(instance)
        if known is not None and known.born_ms > born_ms:
            return False
        if known is None or known.born_ms < born_ms:
            if rate is None:
                return False
            known = KnownLimit(
                born_ms=born_ms,
                rate=None,
                as_of_s=float("-inf"),
                changed_s=self._now(),
                source=source,
            )
            self._known[instance] = known
            self._limit_size()
        if as_of_s < known.as_of_s:
            return False
        has_changed = (rate is None) is not (known.rate is None)
        if has_changed:
            self._change(instance, known, rate, source)
        known.rate, known.as_of_s = rate, as_of_s
        return has_changed

    def _change(
        self, instance: InstanceId, known: KnownLimit, rate: float | None, source: str
    ) -> None:
        logger.info(
            "instance limited" if rate is not None else "limit of an instance ended",
            extra={
                "instance": instance,
                "rate": known.rate if rate is None else rate,
                "source": source,
            },
        )
        known.changed_s, known.source = self._now(), source
        known.exhausted_until_s = float("-inf")

    def _limit_size(self) -> None:
        if len(self._known) > MAX_KNOWN_LIMITS:
            oldest = min(self._known, key=lambda name: self._known[name].as_of_s)
            del self._known[oldest]

    def _find(self, instance: FleetInstance) -> KnownLimit | None:
        known = self._known.get(instance.id)
        is_current = known is not None and known.born_ms == instance.born_ms
        return known if is_current else None

    def rate(self, instance: FleetInstance) -> float | None:
        """Return the limit of an instance in requests per second, if it has one."""
        known = self._find(instance)
        named = None if known is None else known.rate
        return _lower(named, self.cold_starts.rate(instance))

    def is_cold(self, instance: FleetInstance) -> bool:
        """Return whether an instance has a limit since it is cold."""
        return self.cold_starts.rate(instance) is not None

    def shared_rate(self, report: LimitReport, *, cold_per_s: float) -> float | None:
        """Return the limit for permits of another entry, which knows both values."""
        cold = self.cold_starts.rate_of(report.instance, asked=cold_per_s)
        return _lower(report.rate, cold)

    def request_report(self, instance: FleetInstance) -> LimitReport:
        """Return what a request for a permit says of the limit of an instance."""
        report = self.report(instance.id, instance.born_ms)
        if report is not None:
            return report
        return LimitReport(instance.id, instance.born_ms, None, UNKNOWN_AGE_MS)

    def report(self, instance: InstanceId, born_ms: int) -> LimitReport | None:
        """Return what is known of one life of an instance for other entries."""
        known = self._known.get(instance)
        if known is None or known.born_ms != born_ms:
            return None
        return self._report(instance, known)

    def _report(self, instance: InstanceId, known: KnownLimit) -> LimitReport:
        age_ms = max(int((self._now() - known.as_of_s) * MS_PER_S), 0)
        return LimitReport(instance, known.born_ms, known.rate, age_ms)

    def began_s(self, instance: InstanceId) -> float:
        """Return when this entry learned of the limit of an instance, or now."""
        known = self._known.get(instance)
        if known is None or known.rate is None:
            return self.cold_starts.began_s(instance)
        return known.changed_s

    def set_exhausted(self, instance: InstanceId, *, wait_s: float) -> None:
        """Expect no permit for an instance before ``wait_s`` seconds."""
        if instance in self._known:
            self._known[instance].exhausted_until_s = self._now() + wait_s
        self.cold_starts.set_exhausted(instance, wait_s=wait_s)

    def wait_s(self, instance: FleetInstance) -> float:
        """Return in how many seconds a permit for an instance can be expected."""
        known = self._find(instance)
        cold_s = self.cold_starts.wait_s(instance)
        if known is None or known.rate is None:
            return cold_s
        return max(known.exhausted_until_s - self._now(), cold_s)

    def load_cost(self, instance: FleetInstance) -> float:
        """Return the requests to add to the load of an instance to compare it."""
        known = self._known.get(instance.id)
        cold_cost = self.cold_starts.load_cost(instance)
        if known is None or known.born_ms != instance.born_ms or cold_cost:
            return cold_cost
        if known.rate is not None:
            is_confirmed = self._now() - known.as_of_s < CONFIRMATION_S
            return LIMITED_COST_REQUESTS if is_confirmed else 0.0
        since_s = self._now() - known.changed_s
        return RAMP_COST_REQUESTS * max(1.0 - since_s / RAMP_S, 0.0)

    def take_news(self) -> tuple[LimitReport, ...]:
        """Return the limits that began or ended since the last call."""
        news, self._news = self._news, {}
        return tuple(
            self._report(name, self._known[name])
            for name in news
            if name in self._known
        )

    @property
    def has_news(self) -> bool:
        """Return whether a limit began or ended since the last `take_news`."""
        return bool(self._news)

    def add_news(self, instance: InstanceId) -> None:
        """Report a limit to other entries with the next update."""
        self._news[instance] = None

    def current(self) -> list[InstanceId]:
        """Return the instances that have a limit."""
        return [name for name, known in self._known.items() if known.rate is not None]

    def expire(self, *, present: Callable[[InstanceId], object]) -> None:
        """Forget instances that are gone; ``present`` returns ``None`` for them."""
        self.cold_starts.expire()
        for name, known in list(self._known.items()):
            if self._now() - known.as_of_s > FORGET_AFTER_S and present(name) is None:
                del self._known[name]

    def row(self, instance: FleetInstance) -> dict[str, object]:
        """Return the limit of an instance with its age and source, or an empty row."""
        known = self._find(instance)
        if known is None or known.rate is None:
            return self.cold_starts.row(instance)
        return {
            "instance": instance.id,
            "rate": known.rate,
            "age_ms": round((self._now() - known.as_of_s) * MS_PER_S),
            "source": known.source,
            "wait_ms": round(self.wait_s(instance) * MS_PER_S),
        }


def _lower(one: float | None, other: float | None) -> float | None:
    """Return the lower of two limits, each ``None`` where there is none."""
    if one is None or other is None:
        return other if one is None else one
    return min(one, other)
