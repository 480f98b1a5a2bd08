"""What the platform lists: instances, their groups and the changes of both."""

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

# Entries that lapsed while the list could not be read come back within this time.
RELIST_GRACE_S = 2.2
# Entries of the list lag behind what an entry was told of a group.
TOLD_S = 2.0


class Phase(Enum):
    """State of a member of a group; that of the head decides for the group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Membership(msgspec.Struct, frozen=True, kw_only=True):
    """The place of an instance in a group, as the instance itself says."""

    group: GroupId
    epoch: int
    rank: int  # 0 is the head
    phase: Phase


class FleetInstance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance as the list shows it."""

    id: InstanceId
    service: ApplicationName
    address: str  # IP:PORT
    failure_domain: FailureDomainName
    slots: int
    draining: bool = False
    domain: DomainName = DomainName("")  # fabric domain
    models: tuple[ModelName, ...] = ()
    staged: tuple[ModelName, ...] = ()  # models on its host
    membership: Membership | None = None
    born_ms: int = 0  # Unix time of its start

    @property
    def is_serving_head(self) -> bool:
        """Return whether it accepts the requests of its group."""
        seen = self.membership
        return seen is not None and seen.rank == 0 and seen.phase is Phase.OPEN


def _epoch(instance: FleetInstance) -> int | None:
    return None if instance.membership is None else instance.membership.epoch


class GroupNews(msgspec.Struct, frozen=True):
    """What another entry said of an instance's group."""

    membership: Membership
    models: tuple[ModelName, ...]
    heard_s: float


class Fleet:
    """The instances that are known now, by service.

    An entry that disappears counts as gone at once. Only around an outage of the
    list, when entries lapse though their instances live, it is kept until
    ``RELIST_S`` after the list could be read again.
    """

    def __init__(
        self, *, on_rejoined: Callable[[InstanceId], None] | None = None
    ) -> None:
        self._on_rejoined = on_rejoined  # told of an instance with another epoch
        self._instances: dict[InstanceId, FleetInstance] = {}
        self._by_service: dict[ApplicationName, dict[InstanceId, FleetInstance]] = {}
        self._heard_s: dict[InstanceId, float] = {}
        self._missing: dict[InstanceId, float] = {}
        self._told: dict[InstanceId, GroupNews] = {}
        self._outage = False
        self._outage_ended_s = float("-inf")
        self.loaded = False
        self.version = 0

    def get(self, instance: InstanceId) -> FleetInstance | None:
        """Return an instance by its id."""
        return self._instances.get(instance)

    def of_service(self, service: ApplicationName) -> Iterable[FleetInstance]:
        """Return the instances of a service."""
        return self._by_service.get(service, {}).values()

    def all(self) -> Iterable[FleetInstance]:
        """Return every instance."""
        return self._instances.values()

    def heard_s(self, instance: InstanceId) -> float:
        """Return when the entry of an instance was last written."""
        return self._heard_s.get(instance, float("-inf"))

    def is_missing(self, instance: InstanceId) -> bool:
        """Return whether an instance is kept though its entry is not there."""
        return instance in self._missing

    @property
    def in_outage(self) -> bool:
        """Return whether the list could not be read last."""
        return self._outage

    def read_failed(self, *, now_s: float) -> None:
        """Take note that the list could not be read."""
        self._outage = True
        self._outage_ended_s = now_s

    def register(self, instance: FleetInstance, *, now_s: float) -> None:
        """Take the present entry of an instance."""
        self._heard_s[instance.id] = now_s
        self._missing.pop(instance.id, None)
        self._put(self._with_told(instance, now_s))

    def told(self, instance: InstanceId, news: GroupNews) -> None:
        """Take what the entry that decides on a group says of its head."""
        known = self._instances.get(instance)
        if known is None:
            return
        place = known.membership
        if place is not None and place.epoch > news.membership.epoch:
            return
        self._told[instance] = news
        self._put(self._with_told(known, news.heard_s))

    def _with_told(self, instance: FleetInstance, now_s: float) -> FleetInstance:
        news = self._told.get(instance.id)
        if news is None:
            return instance
        place = instance.membership
        older = place is None or place.epoch < news.membership.epoch
        unopened = place is not None and place.phase in (Phase.JOINING, Phase.READY)
        same = place is not None and place.epoch == news.membership.epoch
        if now_s - news.heard_s > TOLD_S or not (older or (same and unopened)):
            del self._told[instance.id]
            return instance
        return msgspec.structs.replace(
            instance, membership=news.membership, models=news.models
        )

    def _put(self, instance: FleetInstance) -> None:
        known = self._instances.get(instance.id)
        if known == instance:
            return
        if known is not None and _epoch(known) != _epoch(instance):
            if self._on_rejoined is not None:
                self._on_rejoined(instance.id)
        if known is not None and known.service != instance.service:
            self._by_service[known.service].pop(known.id, None)
        self.version += 1
        self._instances[instance.id] = instance
        self._by_service.setdefault(instance.service, {})[instance.id] = instance

    def deregister(self, instance: InstanceId, *, now_s: float) -> None:
        """Take note that an entry is gone."""
        if instance not in self._instances:
            return
        if self._outage or now_s - self._outage_ended_s < RELIST_GRACE_S:
            self._missing.setdefault(instance, now_s)
            return
        self._remove(instance)

    def reconcile(self, present: Iterable[InstanceId], *, now_s: float) -> None:
        """Take a whole reading of the list; entries that it lacks are gone."""
        for instance in set(self._instances) - set(present):
            self.deregister(instance, now_s=now_s)
        self.loaded = True

    def read(self, *, now_s: float) -> None:
        """Take note that the list could be read, and drop what stayed missing."""
        if self._outage:
            self._outage = False
            self._outage_ended_s = now_s
        if not self._missing or now_s - self._outage_ended_s < RELIST_GRACE_S:
            return
        for instance in list(self._missing):
            self._remove(instance)

    def _remove(self, instance: InstanceId) -> None:
        self.version += 1
        self._missing.pop(instance, None)
        self._heard_s.pop(instance, None)
        self._told.pop(instance, None)
        known = self._instances.pop(instance, None)
        if known is not None:
            self._by_service[known.service].pop(instance, None)
