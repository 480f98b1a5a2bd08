"""Tracks the registered instances and their groups."""

import logging
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from citronpin.basics.ids import (
    ApplicationName,
    DomainName,
    FailureDomainName,
    GroupId,
    InstanceId,
    ModelName,
)

logger = logging.getLogger(__name__)

# Registrations that expired while reads failed are renewed within this time.
RELIST_GRACE_S = 2.2
# Registrations lag behind the reports of other entries by up to this time.
PEER_REPORT_TTL_S = 2.0
MAX_LEAVING = 4_096  # lives; kept also while a registration is missing


class Phase(Enum):
    """The state of a group member; that of the head applies to the group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Membership(msgspec.Struct, frozen=True, kw_only=True):
    """The membership of an instance in a group, as the instance reports it."""

    group: GroupId
    epoch: int
    rank: int  # 0 is the head
    phase: Phase


class FleetInstance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance as it is registered."""

    id: InstanceId
    service: ApplicationName
    address: str  # IP:PORT
    failure_domain: FailureDomainName
    slots: int
    draining: bool = False
    domain: DomainName = DomainName("")  # fabric domain
    models: tuple[ModelName, ...] = ()
    staged: tuple[ModelName, ...] = ()  # models held on its host
    membership: Membership | None = None
    born_ms: int = 0  # Unix time of its start

    @property
    def is_serving_head(self) -> bool:
        """Return whether the instance is a head that accepts requests."""
        membership = self.membership
        return (
            membership is not None
            and membership.rank == 0
            and membership.phase is Phase.OPEN
        )


def _epoch_of(instance: FleetInstance) -> int | None:
    return None if instance.membership is None else instance.membership.epoch


class PeerGroupReport(msgspec.Struct, frozen=True):
    """The serving group of an instance as another entry reports it."""

    membership: Membership
    models: tuple[ModelName, ...]
    heard_s: float


class Fleet:
    """Keeps the registered instances by service.

    An instance whose registration disappears is removed at once. Around an outage of
    the store, when registrations of live instances expire, it is kept until
    ``RELIST_GRACE_S`` after the first successful read.
    """

    def __init__(
        self, *, on_rejoined: Callable[[InstanceId], None] | None = None
    ) -> None:
        self._on_rejoined = on_rejoined  # called when the epoch of an instance changes
        self._listeners: list[Callable[[FleetInstance], None]] = []
        self._instances: dict[InstanceId, FleetInstance] = {}
        self._by_service: dict[ApplicationName, dict[InstanceId, FleetInstance]] = {}
        self._by_address: dict[str, InstanceId] = {}
        self._registered_s: dict[InstanceId, float] = {}
        self._alive_since_s: dict[InstanceId, float] = {}
        self._missing: dict[InstanceId, float] = {}
        self._leaving: dict[InstanceId, int] = (
            {}
        )  # start in Unix ms of lives that leave
        self._peer_reports: dict[InstanceId, PeerGroupReport] = {}
        self._is_in_outage = False
        self._outage_ended_s = float("-inf")
        self.is_loaded = False  # until a complete read was applied
        self.version = 0

    def add_listener(self, listener: Callable[[FleetInstance], None]) -> None:
        """Call ``listener`` with each instance that is new or has changed."""
        self._listeners.append(listener)

    def get(self, instance: InstanceId) -> FleetInstance | None:
        """Return an instance by its id, or ``None`` if it is unknown."""
        return self._instances.get(instance)

    def at(self, address: str) -> FleetInstance | None:
        """Return the instance that registered an ``IP:PORT`` last, or ``None``."""
        return self._instances.get(self._by_address.get(address))

    def of_service(self, service: ApplicationName) -> Iterable[FleetInstance]:
        """Return the instances of a service."""
        return self._by_service.get(service, {}).values()

    def services(self) -> tuple[ApplicationName, ...]:
        """Return the services that instances were registered for."""
        return tuple(self._by_service)

    def all(self) -> Iterable[FleetInstance]:
        """Return every instance."""
        return self._instances.values()

    def registered_s(self, instance: InstanceId) -> float:
        """Return when the registration of an instance was last received."""
        return self._registered_s.get(instance, float("-inf"))

    def is_missing(self, instance: InstanceId) -> bool:
        """Return whether an instance is kept although its registration is missing."""
        return instance in self._missing

    @property
    def in_outage(self) -> bool:
        """Return whether the latest read of the registrations failed."""
        return self._is_in_outage

    def read_failed(self, *, now_s: float) -> None:
        """Record that the registrations could not be read."""
        self._is_in_outage = True
        self._outage_ended_s = now_s

    def alive_since_s(self, instance: InstanceId) -> float:
        """Return a time after which an instance certainly wrote a registration."""
        return self._alive_since_s.get(instance, float("-inf"))

    def set_leaving(self, instance: InstanceId, born_ms: int) -> bool:
        """Let an instance drain for the rest of a life; return whether that was new.

        Its registration may say so later, or never.
        """
        if born_ms <= self._leaving.get(instance, -1):
            return False
        self._leaving.pop(instance, None)
        self._leaving[instance] = born_ms
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        known = self._instances.get(instance)
        if known is None or known.born_ms > born_ms:
            return False
        logger.info("instance leaves", extra={"instance": instance})
        self._set_instance(known)
        return True

    def leaving(self) -> dict[InstanceId, int]:
        """Return the starts of the lives that leave, by instance."""
        return {
            name: born_ms
            for name, born_ms in self._leaving.items()
            if name in self._instances
        }

    def register(
        self,
        instance: FleetInstance,
        *,
        now_s: float,
        written_after_s: float = float("-inf"),
    ) -> None:
        """Add or update an instance from its registration.

        ``written_after_s`` is a clock time at which the registration did not exist yet.
        """
        self._registered_s[instance.id] = now_s
        self._alive_since_s[instance.id] = max(
            written_after_s, self.alive_since_s(instance.id)
        )
        self._missing.pop(instance.id, None)
        self._set_instance(self._with_peer_report(instance, now_s))

    def apply_peer_report(self, instance: InstanceId, report: PeerGroupReport) -> None:
        """Apply the report of the entry that controls a group to its head."""
        known = self._instances.get(instance)
        if known is None:
            return
        membership = known.membership
        if membership is not None and membership.epoch > report.membership.epoch:
            return
        if membership == report.membership and known.models == report.models:
            if membership.phase is Phase.OPEN:
                self._peer_reports.pop(instance, None)  # says nothing new
                return
        self._peer_reports[instance] = report
        self._set_instance(self._with_peer_report(known, report.heard_s))

    def _with_peer_report(self, instance: FleetInstance, now_s: float) -> FleetInstance:
        report = self._peer_reports.get(instance.id)
        if report is None:
            return instance
        membership = instance.membership
        is_older = membership is None or membership.epoch < report.membership.epoch
        is_unopened = membership is not None and membership.phase in (
            Phase.JOINING,
            Phase.READY,
        )
        is_same_epoch = (
            membership is not None and membership.epoch == report.membership.epoch
        )
        if now_s - report.heard_s > PEER_REPORT_TTL_S or not (
            is_older or (is_same_epoch and is_unopened)
        ):
            del self._peer_reports[instance.id]
            return instance
        return msgspec.structs.replace(
            instance, membership=report.membership, models=report.models
        )

    def _set_instance(self, instance: FleetInstance) -> None:
        known = self._instances.get(instance.id)
        if instance.born_ms <= self._leaving.get(instance.id, -1):
            instance = msgspec.structs.replace(instance, draining=True)
        if known == instance:
            return
        if known is not None and _epoch_of(known) != _epoch_of(instance):
            if self._on_rejoined is not None:
                self._on_rejoined(instance.id)
        if known is not None and known.service != instance.service:
            self._by_service[known.service].pop(known.id, None)
        if known is not None and known.address != instance.address:
            self._forget_address(known)
        self.version += 1
        self._by_address[instance.address] = instance.id
        self._instances[instance.id] = instance
        self._by_service.setdefault(instance.service, {})[instance.id] = instance
        for listener in self._listeners:
            listener(instance)

    def deregister(self, instance: InstanceId, *, now_s: float) -> None:
        """Remove an instance, or keep it as missing around an outage."""
        if instance not in self._instances:
            return
        if self._is_in_outage or now_s - self._outage_ended_s < RELIST_GRACE_S:
            self._missing.setdefault(instance, now_s)
            return
        self._remove(instance)

    def reconcile(self, present: Iterable[InstanceId], *, now_s: float) -> None:
        """Deregister the instances that a complete read does not contain."""
        for instance in set(self._instances) - set(present):
            self.deregister(instance, now_s=now_s)
        self.is_loaded = True

    def read_succeeded(self, *, now_s: float) -> None:
        """Record a successful read and remove instances that stayed missing."""
        if self._is_in_outage:
            self._is_in_outage = False
            self._outage_ended_s = now_s
        if not self._missing or now_s - self._outage_ended_s < RELIST_GRACE_S:
            return
        for instance in list(self._missing):
            self._remove(instance)

    def _remove(self, instance: InstanceId) -> None:
        self.version += 1
        self._missing.pop(instance, None)
        self._registered_s.pop(instance, None)
        self._alive_since_s.pop(instance, None)
        self._peer_reports.pop(instance, None)
        known = self._instances.pop(instance, None)
        if known is not None:
            self._by_service[known.service].pop(instance, None)
            self._forget_address(known)

    def _forget_address(self, known: FleetInstance) -> None:
        if self._by_address.get(known.address) == known.id:
            del self._by_address[known.address]
