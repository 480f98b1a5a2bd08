"""What repair policies see of a fabric domain, and what they decide."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from citronpin.basics.ids import DeploymentName, DomainName, GroupId, InstanceId
from citronpin.state.instances import Instance
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.states import Group


class Health(Enum):
    """What the suspicion detector makes of an instance."""

    HEALTHY = "healthy"
    PAUSED = "paused"  # silent for a short time; may come back whole
    STRAGGLER = "straggler"  # answers, but too slowly
    RETURNED = "returned"  # came back without what it held
    DEAD = "dead"
    DARK = "dark"  # silent together with most of its fabric domain
    LEAVING = "leaving"


class InstanceView(msgspec.Struct, frozen=True):
    """An instance with what is known of it."""

    instance: Instance
    health: Health
    since_s: float  # clock time at which its health last changed
    group: GroupId | None = None
    barred: bool = False
    model: str | None = None  # what it has loaded
    version: str | None = None


class DomainView(msgspec.Struct, frozen=True):
    """A fabric domain as its lease holder sees it."""

    domain: DomainName
    groups: tuple[Group, ...]
    instances: tuple[InstanceView, ...]
    deployments: tuple[DeploymentManifest, ...]
    quotas: dict[DeploymentName, int]  # groups wanted here
    serving_elsewhere: dict[DeploymentName, int]
    minute_of_week: int = 0


class Form(msgspec.Struct, frozen=True):
    """Form a new group from free instances; the first member leads."""

    deployment: DeploymentName
    members: tuple[InstanceId, ...]


class Replace(msgspec.Struct, frozen=True):
    """Replace members of a broken group."""

    group: GroupId
    leaving: tuple[InstanceId, ...]
    joining: tuple[InstanceId, ...]


class Dissolve(msgspec.Struct, frozen=True):
    """Drain a group if it serves, then release its instances."""

    group: GroupId
    reason: str


class Wait(msgspec.Struct, frozen=True):
    """Leave a group as it is until ``until_s``, because it may come back."""

    group: GroupId
    until_s: float
    reason: str


class Preload(msgspec.Struct, frozen=True):
    """Load a deployment's model on a free instance, so that it can join sooner."""

    instance: InstanceId
    deployment: DeploymentName


Action = Form | Replace | Dissolve | Wait | Preload


class RepairPolicy(ABC):
    """Decides how the groups of a fabric domain are formed and repaired."""

    @abstractmethod
    def plan(self, *, view: DomainView, now_s: float) -> tuple[Action, ...]:
        """Return what to do now; pure, so the same view gives the same plan."""


class PlacementPolicy(ABC):
    """Divides the groups wanted among fabric domains."""

    @abstractmethod
    def quotas(
        self,
        *,
        deployments: tuple[DeploymentManifest, ...],
        capacity: dict[DomainName, int],
        serving: dict[DomainName, dict[DeploymentName, int]],
    ) -> dict[DomainName, dict[DeploymentName, int]]:
        """Return the groups wanted in each fabric domain.

        ``capacity`` is the number of usable instances of each fabric domain,
        ``serving`` the groups that serve there now.
        """


class Detector(ABC):
    """Tells pause, straggler, return, death and dark domain apart."""

    @abstractmethod
    def record_reply(
        self, *, instance: InstanceId, boot: str, delay_s: float, now_s: float
    ):
        """Take an answer of an instance, which came after ``delay_s``."""

    @abstractmethod
    def record_missed_probe(self, *, instance: InstanceId, now_s: float) -> None:
        """Take a probe that was not answered in time or was refused."""

    @abstractmethod
    def listed(self, *, instances: tuple[Instance, ...], now_s: float) -> None:
        """Take the latest membership list of the fabric domain."""

    @abstractmethod
    def health(self, *, instance: InstanceId, now_s: float) -> tuple[Health, float]:
        """Return the health of an instance and since when it has it."""
