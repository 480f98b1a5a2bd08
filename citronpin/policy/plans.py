"""Views, actions and base classes of the repair, placement and detection policies."""

from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from citronpin.basics.ids import DeploymentName, DomainName, GroupId, InstanceId
from citronpin.state.instances import Instance
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.states import Group


class Health(Enum):
    """The health of an instance as its failure detector reports it."""

    HEALTHY = "healthy"
    PAUSED = "paused"  # silent for a short time; may resume with its state
    STRAGGLER = "straggler"  # replies, but too slowly
    RETURNED = "returned"  # restarted, so it lost its model and its group
    DEAD = "dead"
    DARK = "dark"  # silent, as is most of its fabric domain
    LEAVING = "leaving"


class InstanceView(msgspec.Struct, frozen=True):
    """An instance with its health, its group and the model that it has loaded."""

    instance: Instance
    health: Health
    since_s: float  # clock time at which its health last changed
    group: GroupId | None = None
    barred: bool = False  # may not join a group
    model: str | None = None  # the model it has loaded
    version: str | None = None


class DomainView(msgspec.Struct, frozen=True):
    """A fabric domain as seen by the entry that holds its lease."""

    domain: DomainName
    groups: tuple[Group, ...]
    instances: tuple[InstanceView, ...]
    deployments: tuple[DeploymentManifest, ...]
    quotas: dict[DeploymentName, int]  # target number of groups in this domain
    serving_elsewhere: dict[DeploymentName, int]
    minute_of_week: int = 0


class Form(msgspec.Struct, frozen=True):
    """Form a new group from free instances; the first member is its lead."""

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
    """Leave a group unchanged until the clock time ``until_s``.

    The group may recover without a repair, or cannot be repaired before then.
    """

    group: GroupId
    until_s: float
    reason: str


class Preload(msgspec.Struct, frozen=True):
    """Load the model of a deployment on a free instance, which can then join sooner."""

    instance: InstanceId
    deployment: DeploymentName


Action = Form | Replace | Dissolve | Wait | Preload


class RepairPolicy(ABC):
    """Decides how the groups of one fabric domain are formed and repaired."""

    @abstractmethod
    def plan(self, *, view: DomainView, now_s: float) -> tuple[Action, ...]:
        """Return the actions to take now.

        The call has no side effects: the same view and time give the same actions.
        """


class PlacementPolicy(ABC):
    """Distributes the groups of all deployments over the fabric domains."""

    @abstractmethod
    def quotas(
        self,
        *,
        deployments: tuple[DeploymentManifest, ...],
        capacity: dict[DomainName, int],
        serving: dict[DomainName, dict[DeploymentName, int]],
    ) -> dict[DomainName, dict[DeploymentName, int]]:
        """Return the target number of groups of each deployment in each fabric domain.

        ``capacity`` is the number of usable instances of each fabric domain,
        ``serving`` the number of groups of each deployment that serve there now.
        """


class Detector(ABC):
    """Determines the health of the instances of one fabric domain."""

    @abstractmethod
    def record_reply(
        self, *, instance: InstanceId, boot: str, delay_s: float, now_s: float
    ):
        """Record the reply to a probe, which came ``delay_s`` after the probe was sent.

        A ``boot`` other than that of the last reply means that the instance restarted.
        """

    @abstractmethod
    def record_missed_probe(self, *, instance: InstanceId, now_s: float) -> None:
        """Record a probe that timed out or was refused."""

    @abstractmethod
    def apply_membership(
        self, *, instances: tuple[Instance, ...], now_s: float
    ) -> None:
        """Apply the latest membership list of the fabric domain."""

    @abstractmethod
    def health(self, *, instance: InstanceId, now_s: float) -> tuple[Health, float]:
        """Return the health of an instance and the clock time at which it changed."""
