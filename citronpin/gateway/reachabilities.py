"""Tells whether this entry reaches the instances of a service at all."""

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from functools import partial

import msgspec

from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.ids import ApplicationName, InstanceId
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.ports import InstanceControl, ProbeResult
from citronpin.web.clients import HttpClient

logger = logging.getLogger(__name__)

PROBE_CONNECT_TIMEOUT_S = 0.3  # connecting takes milliseconds
PROBE_TIMEOUT_S = 2.0  # slow instances are not unreachable; see the design page
ROUND_TIMEOUT_S = PROBE_TIMEOUT_S + 0.5  # the probes of a round have ended by then
PROBE_COUNT = 3  # instances probed at once, in different domains where there are
RECOVERY_PROBE_COUNT = 2
RECOVERY_PROBE_INTERVAL_S = 0.25
MIN_ROUND_INTERVAL_S = 0.5  # between two rounds of probes that find instances
HEARD_S = 1.0
MIN_LOST_AT_ONCE = 2  # instances; a crash of one says nothing of the path
FRESH_S = 0.25  # no doubt while an instance was heard within this time
PROOF_TIMEOUT_S = 0.25  # another entry may be asked instead
NEVER_S = float("-inf")


class ServiceReach(msgspec.Struct, kw_only=True):
    """What is known of the path to the instances of one service; clock times."""

    last_reply_s: float = NEVER_S
    last_connected_s: float = NEVER_S
    last_probe_reply_s: float = NEVER_S
    probed_s: float = NEVER_S  # begin of the latest round of probes
    pending: set[InstanceId] = set()  # whose probes of this round are open
    failed: set[InstanceId] = set()  # that answered no probe since one did
    accepted: bool = False  # whether one of them took the connection, in this round
    lost: set[InstanceId] = set()  # whose answers broke off since one was heard
    cut_off_since_s: float | None = None
    # Called with whether an instance is reached, once that is known.
    waiting: list[Callable[[bool], None]] = []


class ReachListener(ABC):
    """Is told when this entry loses and regains the instances of a service."""

    @abstractmethod
    def on_cut_off(self, service: ApplicationName) -> None:
        """Handle that no instance of a service is reached any more."""

    @abstractmethod
    def on_reached(self, service: ApplicationName) -> None:
        """Handle that instances of a service are reached again."""


class Reachability:
    """Tells a lost path of this entry from instances that are down.

    A failed connection or silence raises a doubt, if no instance of the service was
    heard a moment ago. The entry then probes several instances at once, over new
    connections. When none of them answers, it counts as cut off from the service, until
    one does. An accepted connection proves nothing, since a load balancer or another
    middlebox may have accepted it. Whether the instances are down is not decided here:
    other entries may reach them.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        client: HttpClient,
        control: InstanceControl,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._control = control
        self._clock = clock
        self._rng = rng
        self._services: dict[ApplicationName, ServiceReach] = {}
        self._listeners: list[ReachListener] = []
        client.connection_listeners.append(self._on_connection)

    def add_listener(self, listener: ReachListener) -> None:
        """Tell a listener of services that are lost."""
        self._listeners.append(listener)

    def _of(self, service: ApplicationName) -> ServiceReach:
        if service not in self._services:
            self._services[service] = ServiceReach(
                pending=set(), failed=set(), lost=set(), waiting=[]
            )
        return self._services[service]

    def record_reply(self, service: ApplicationName) -> None:
        """Record that an instance of a service sent something."""
        reach = self._of(service)
        reach.last_reply_s = self._clock.now()
        reach.lost.clear()
        self._end_proof(reach, True)

    def last_reply_s(self, service: ApplicationName) -> float:
        """Return when an instance of a service last sent something, in clock time."""
        return self._of(service).last_reply_s

    def doubt(self, service: ApplicationName) -> None:
        """Probe instances of a service, if none has been heard a moment ago."""
        reach = self._of(service)
        if self._clock.now() - reach.last_reply_s >= FRESH_S:
            self._start_round(service, reach)

    def prove(self, service: ApplicationName, done: Callable[[bool], None]) -> None:
        """Call ``done`` with whether an instance of a service is reached.

        If none was heard a moment ago, instances are probed. A path that is not proved
        within `PROOF_TIMEOUT_S` counts as lost.
        """
        if self.is_cut_off(service) or self.is_heard(service):
            done(not self.is_cut_off(service))
            return
        reach = self._of(service)
        reach.waiting.append(done)
        self._start_round(service, reach)

        def give_up() -> None:
            if done in reach.waiting:
                reach.waiting.remove(done)
                done(False)

        self._clock.call_later(PROOF_TIMEOUT_S, give_up)

    def _end_proof(self, reach: ServiceReach, is_reached: bool) -> None:
        waiting, reach.waiting = reach.waiting, []
        for done in waiting:
            # In a turn of its own: the caller handles the answer to another request.
            self._clock.call_later(0.0, partial(done, is_reached))

    def record_lost_answer(self, instance: FleetInstance) -> None:
        """Record that the answer of an instance broke off, perhaps with the path.

        Answers of several instances at once raise a doubt at once, a single one if no
        instance is heard within `FRESH_S`.
        """
        service = instance.service
        reach = self._of(service)
        reach.lost.add(instance.id)
        if len(reach.lost) >= MIN_LOST_AT_ONCE:
            self._start_round(service, reach)
        else:
            self._clock.call_later(FRESH_S, lambda: self.doubt(service))

    def is_cut_off(self, service: ApplicationName) -> bool:
        """Return whether this entry reaches no instance of a service."""
        reach = self._services.get(service)
        return reach is not None and reach.cut_off_since_s is not None

    def is_heard(self, service: ApplicationName) -> bool:
        """Return whether an instance of a service sent something a moment ago."""
        return self._clock.now() - self._of(service).last_reply_s < HEARD_S

    def is_uncertain(self, service: ApplicationName) -> bool:
        """Return whether silence of instances may be due to this entry's path."""
        reach = self._services.get(service)
        return reach is not None and (
            reach.cut_off_since_s is not None or self._is_probing(reach)
        )

    def _is_probing(self, reach: ServiceReach) -> bool:
        """Return whether a round of probes is in progress.

        A probe that never ends does not keep a service uncertain.
        """
        age_s = self._clock.now() - reach.probed_s
        return bool(reach.pending) and age_s < ROUND_TIMEOUT_S

    def cut_off_services(self) -> tuple[ApplicationName, ...]:
        """Return the services of which this entry reaches no instance."""
        return tuple(filter(self.is_cut_off, self._services))

    def uncertain_services(self) -> tuple[ApplicationName, ...]:
        """Return the services of which silence may be due to this entry's path."""
        return tuple(filter(self.is_uncertain, self._services))

    def _on_connection(self, address: str, connected: bool) -> None:
        instance = self._fleet.at(address)
        if instance is None:
            return
        reach, now_s = self._of(instance.service), self._clock.now()
        if connected:
            reach.last_connected_s = now_s
            return
        reach.failed.add(instance.id)
        if not self._is_probing(reach) and now_s - reach.last_probe_reply_s >= FRESH_S:
            self._start_round(instance.service, reach)

    def _probe(self, instance: FleetInstance, reach: ServiceReach) -> None:
        self._control.probe(
            of=instance,
            connect_timeout_s=PROBE_CONNECT_TIMEOUT_S,
            timeout_s=PROBE_TIMEOUT_S,
            done=lambda result: self._on_probed(instance, reach, result),
        )

    def _on_probed(
        self, instance: FleetInstance, reach: ServiceReach, result: ProbeResult
    ) -> None:
        if result is ProbeResult.ANSWERED:
            self._on_reached(instance, reach)
            return
        reach.failed.add(instance.id)
        if instance.id not in reach.pending:
            return
        reach.pending.discard(instance.id)
        reach.accepted |= result is ProbeResult.UNANSWERED
        # Instances that take connections, but answer late, are heard otherwise.
        is_slow = reach.accepted and reach.last_reply_s >= reach.probed_s
        if not reach.pending and reach.cut_off_since_s is None and not is_slow:
            self._set_cut_off(instance.service, reach)

    def _on_reached(self, instance: FleetInstance, reach: ServiceReach) -> None:
        now_s = self._clock.now()
        reach.last_probe_reply_s = reach.last_reply_s = now_s
        reach.pending.clear()
        reach.failed.clear()
        reach.lost.clear()
        self._end_proof(reach, True)
        if reach.cut_off_since_s is None:
            return
        logger.warning(
            "instances reached again",
            extra={
                "service": instance.service,
                "instance": instance.id,
                "cut_off_ms": round((now_s - reach.cut_off_since_s) * MS_PER_S),
            },
        )
        reach.cut_off_since_s = None
        for listener in self._listeners:
            listener.on_reached(instance.service)

    def _start_round(self, service: ApplicationName, reach: ServiceReach) -> None:
        now_s = self._clock.now()
        is_running = self._is_probing(reach) or reach.cut_off_since_s is not None
        if is_running or now_s - reach.probed_s < MIN_ROUND_INTERVAL_S:
            return
        chosen = self._choose(service, reach, PROBE_COUNT)
        if not chosen:
            return
        reach.probed_s = now_s
        reach.accepted = False
        reach.pending = {instance.id for instance in chosen}
        for instance in chosen:
            self._probe(instance, reach)
        self._doubt_others(service)

    def _doubt_others(self, service: ApplicationName) -> None:
        """Probe the services of which nothing was heard for a while.

        What cut this entry off from one service may have cut it off from others, of
        which it would hear only by failed requests.
        """
        for other in self._fleet.services():
            if other != service and not self.is_heard(other):
                self._start_round(other, self._of(other))

    def _choose(
        self, service: ApplicationName, reach: ServiceReach, count: int
    ) -> list[FleetInstance]:
        """Return instances to probe, in different domains if possible.

        Those that failed before come last.
        """
        candidates = [
            instance
            for instance in self._fleet.of_service(service)
            if not self._fleet.is_missing(instance.id)
        ]
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda instance: instance.id in reach.failed)
        first_by_domain = {
            (instance.failure_domain, instance.domain): instance
            for instance in reversed(candidates)
        }
        spread = sorted(first_by_domain.values(), key=candidates.index)
        rest = [one for one in candidates if one not in spread]
        return (spread + rest)[:count]

    def _set_cut_off(self, service: ApplicationName, reach: ServiceReach) -> None:
        now_s = self._clock.now()
        reach.cut_off_since_s = now_s
        logger.warning(
            "no instance reached",
            extra={
                "service": service,
                "failed": sorted(reach.failed),
                "heard_ms_ago": _age_ms(reach.last_reply_s, now_s),
                "connected_ms_ago": _age_ms(reach.last_connected_s, now_s),
            },
        )
        for listener in self._listeners:
            listener.on_cut_off(service)
        self._end_proof(reach, False)
        self._probe_again(service, reach, now_s)
        self._doubt_others(service)

    def _probe_again(
        self, service: ApplicationName, reach: ServiceReach, since_s: float
    ) -> None:
        """Probe a few instances until the cut that began at ``since_s`` ends."""
        if reach.cut_off_since_s != since_s:
            return
        self._clock.call_later(
            RECOVERY_PROBE_INTERVAL_S,
            lambda: self._probe_again(service, reach, since_s),
        )
        chosen = self._choose(service, reach, RECOVERY_PROBE_COUNT)
        reach.failed.clear()  # the next probes go to others
        for instance in chosen:
            self._probe(instance, reach)


def _age_ms(at_s: float, now_s: float) -> int | None:
    return None if at_s == NEVER_S else round((now_s - at_s) * MS_PER_S)


def has_fabric(instances: Iterable[FleetInstance]) -> bool:
    """Return whether instances form groups in fabric domains."""
    return any(instance.domain for instance in instances)
