"""Keeps the cold phases of instances, in which they take few requests a second."""

import logging
from collections.abc import Callable, Iterable

import msgspec

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import ApplicationName, InstanceId
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.routings import ServiceSpec

logger = logging.getLogger(__name__)

REGISTRATION = "registration"  # source of a phase, which all entries read

COLD_COST_REQUESTS = 2.0  # a cold instance counts as fuller by so many
MAX_COLD_S = 3_600.0  # bounds what a faulty record or answer can cause
# The time on the way of a message counts as remaining time. Without a margin, entries
# that tell each other the end would put it off with each message.
MESSAGE_MARGIN_S = 0.25
NEWS_MARGIN_S = 0.5  # by which a record has to put off the end to be forwarded
MAX_KNOWN = 4_096


class ColdPhase(msgspec.Struct, kw_only=True):
    """The latest cold phase that was named for an instance; times of the clock."""

    began_s: float
    end_s: float
    source: str


class SeenLife(msgspec.Struct, frozen=True):
    """The latest life of an instance that was seen, and since when."""

    born_ms: int  # start of the life in Unix ms
    since_s: float  # clock time; minus infinity for what ran before


class ColdStarts:
    """Keeps the cold phases of instances of the services that limit these.

    It handles instances that take few requests for some seconds, at any moment and many
    of them at once, before up to 114 entries. A phase is named by the instance itself
    or by another entry, always as the remaining time, and only ends by its time. What
    is received late therefore ends it late. An instance also counts as cold for
    `cold_start_s` after this entry first saw it in a life, since an answer or a fact
    that names the phase may not have come yet. An instance that joins another group
    goes on in its life and does not become cold by it. Nor does that apply to what ran
    before the first traffic, or in the first complete read of an entry: registrations
    name the phases that began earlier.
    The baseline, which waits until the registration names the phase, lets all entries
    send at will until then.
    """

    def __init__(self, *, now: Callable[[], float], fleet: Fleet) -> None:
        self._now = now
        self._fleet = fleet
        self._services: dict[ApplicationName, ServiceSpec] = {}
        self._phases: dict[InstanceId, ColdPhase] = {}
        self._lives: dict[InstanceId, SeenLife] = {}
        self._exhausted_until_s: dict[InstanceId, float] = {}
        self.traffic_began: Callable[[], bool] = lambda: True
        # Called with each cold phase that an instance told this entry of, in seconds.
        self.on_told: Callable[[FleetInstance, float], None] = lambda one, left_s: None
        fleet.add_listener(self.observe)

    def set_services(self, services: Iterable[ServiceSpec]) -> None:
        """Set the services, whose instances known by now ran before."""
        self._services = {service.name: service for service in services}
        for instance in self._fleet.all():
            if instance.id not in self._lives:
                self._set_life(instance, float("-inf"))

    def observe(self, instance: FleetInstance) -> None:
        """Note when an instance is first seen in a life."""
        is_start = self._fleet.is_loaded and self.traffic_began()
        self._set_life(instance, self._now() if is_start else float("-inf"))

    def _set_life(self, instance: FleetInstance, since_s: float) -> None:
        if instance.service not in self._services:
            return
        known = self._lives.get(instance.id)
        if known is not None and instance.born_ms <= known.born_ms:
            return  # a registration may lag behind a report
        self._lives.pop(instance.id, None)
        self._lives[instance.id] = SeenLife(instance.born_ms, since_s)
        if len(self._lives) > MAX_KNOWN:
            del self._lives[next(iter(self._lives))]

    def record(
        self, instance: FleetInstance, *, remaining_s: float, source: str
    ) -> bool:
        """Record that an instance says that it is cold for so many seconds.

        Return whether other entries have to learn of it. It ends no phase: a record
        without remaining time may be older than the phase.
        """
        known = self._phases.get(instance.id)
        is_news = self._extend(instance.id, remaining_s, source)
        if self._per_s(instance) is None:
            return False  # nothing follows from it
        if is_news and known is None:
            self._log_begin(instance.id, remaining_s, source)
        if is_news and source != REGISTRATION:
            self.on_told(instance, remaining_s)
        return is_news

    def apply_fact(
        self, instance: InstanceId, *, remaining_s: float, source: str
    ) -> None:
        """Apply what another entry knows of a cold phase, from a permit or a fact.

        This is where a fact of kind ``cold`` is to be applied.
        """
        known = self._phases.get(instance)
        end_s = self._now() + remaining_s
        if known is not None and end_s <= known.end_s + MESSAGE_MARGIN_S:
            return
        self._extend(instance, remaining_s, source)
        if known is None:
            self._log_begin(instance, remaining_s, source)

    def _extend(self, instance: InstanceId, remaining_s: float, source: str) -> bool:
        """Begin a phase or put off its end; return whether that changes much."""
        if not remaining_s > 0.0:
            return False
        now_s = self._now()
        end_s = now_s + min(remaining_s, MAX_COLD_S)
        known = self._phases.get(instance)
        if known is None or known.end_s <= now_s:
            self._phases.pop(instance, None)
            self._phases[instance] = ColdPhase(
                began_s=now_s, end_s=end_s, source=source
            )
            self._exhausted_until_s.pop(instance, None)
            if len(self._phases) > MAX_KNOWN:
                del self._phases[next(iter(self._phases))]
            return True
        is_news = end_s > known.end_s + NEWS_MARGIN_S
        if end_s > known.end_s:
            known.end_s, known.source = end_s, source
        return is_news

    def _log_begin(self, instance: InstanceId, remaining_s: float, source: str) -> None:
        logger.info(
            "instance cold",
            extra={
                "instance": instance,
                "ms": round(remaining_s * MS_PER_S),
                "source": source,
            },
        )

    def _per_s(self, instance: FleetInstance) -> float | None:
        spec = self._services.get(instance.service)
        return spec.cold_per_s if spec is not None and spec.cold_per_s > 0.0 else None

    def _end_s(self, instance: FleetInstance) -> float:
        """Return when the named or the supposed cold phase of an instance ends."""
        phase = self._phases.get(instance.id)
        named_s = float("-inf") if phase is None else phase.end_s
        life = self._lives.get(instance.id)
        if life is None:
            return named_s
        cold_start_s = self._services[instance.service].cold_start_s
        return max(named_s, life.since_s + cold_start_s)

    def rate(self, instance: FleetInstance) -> float | None:
        """Return the requests per second that a cold instance takes, else ``None``."""
        per_s = self._per_s(instance)
        if per_s is None or self._end_s(instance) <= self._now():
            return None
        return per_s

    def remaining_s(self, instance: FleetInstance) -> float:
        """Return for how many more seconds an instance is cold, 0 if it is not."""
        if self.rate(instance) is None:
            return 0.0
        return max(self._end_s(instance) - self._now(), 0.0)

    def remaining_s_of(self, instance: InstanceId) -> float:
        """Return `remaining_s` of an instance by its id, 0 if it is unknown."""
        known = self._fleet.get(instance)
        return 0.0 if known is None else self.remaining_s(known)

    def rate_of(self, instance: InstanceId, *, asked: float) -> float | None:
        """Return the rate for permits that another entry asks for.

        ``asked`` is the rate that this entry knows, which applies to an instance that
        is unknown here.
        """
        known = self._fleet.get(instance)
        if known is None or known.service not in self._services:
            return asked if asked > 0.0 else None
        return self.rate(known)

    def began_s(self, instance: InstanceId) -> float:
        """Return when this entry learned of the cold phase of an instance, or now."""
        phase, life = self._phases.get(instance), self._lives.get(instance)
        times = [] if phase is None else [phase.began_s]
        if life is not None and life.since_s > float("-inf"):
            times.append(life.since_s)
        return max(times, default=self._now())

    def set_exhausted(self, instance: InstanceId, *, wait_s: float) -> None:
        """Expect no permit for a cold instance before ``wait_s`` seconds."""
        self._exhausted_until_s[instance] = self._now() + wait_s

    def wait_s(self, instance: FleetInstance) -> float:
        """Return in how many seconds a permit for an instance can be expected."""
        until_s = self._exhausted_until_s.get(instance.id)
        if until_s is None or self.rate(instance) is None:
            return 0.0
        return max(min(until_s, self._end_s(instance)) - self._now(), 0.0)

    def load_cost(self, instance: FleetInstance) -> float:
        """Return the requests to add to the load of an instance to compare it."""
        return 0.0 if self.rate(instance) is None else COLD_COST_REQUESTS

    def current(self) -> list[InstanceId]:
        """Return the instances that count as cold."""
        if not any(spec.cold_per_s > 0.0 for spec in self._services.values()):
            return []
        return [
            instance.id
            for instance in self._fleet.all()
            if self.rate(instance) is not None
        ]

    def expire(self) -> None:
        """Forget the phases that ended, and the instances that are gone."""
        now_s = self._now()
        for name, phase in list(self._phases.items()):
            if phase.end_s <= now_s:
                del self._phases[name]
                self._exhausted_until_s.pop(name, None)
                self._log_end(name, phase, now_s)
        for name, until_s in list(self._exhausted_until_s.items()):
            if until_s <= now_s:
                del self._exhausted_until_s[name]

    def _log_end(self, name: InstanceId, phase: ColdPhase, now_s: float) -> None:
        known = self._fleet.get(name)
        if known is not None and self._per_s(known) is not None:
            logger.info(
                "instance no longer cold",
                extra={"instance": name, "cold_s": round(now_s - phase.began_s, 1)},
            )

    def row(self, instance: FleetInstance) -> dict[str, object]:
        """Return the cold phase of an instance, or an empty row."""
        rate = self.rate(instance)
        if rate is None:
            return {}
        phase = self._phases.get(instance.id)
        is_named = phase is not None and phase.end_s > self._now()
        return {
            "instance": instance.id,
            "rate": rate,
            "reason": "cold",
            "remaining_ms": round(self.remaining_s(instance) * MS_PER_S),
            "source": phase.source if is_named else "first seen",
            "wait_ms": round(self.wait_s(instance) * MS_PER_S),
        }
