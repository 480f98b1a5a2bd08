"""Instances as the platform's membership list shows them."""

from enum import Enum

import msgspec

from citronpin.basics.ids import (
    ApplicationName,
    DomainName,
    FailureDomainName,
    InstanceId,
    RegionName,
)


class InstanceKind(Enum):
    """What runs on an instance."""

    ENGINE = "engine"
    SERVICE = "service"


class InstanceState(Enum):
    """What the membership list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One row of the membership list."""

    id: InstanceId
    address: str  # IP:PORT
    kind: InstanceKind
    state: InstanceState
    failure_domain: FailureDomainName
    region: RegionName = RegionName("")
    domain: DomainName = DomainName("")  # fabric domain; engines only
    accelerators: int = 0
    checks_fence: bool = True  # refuses orders with an old fencing number
    application: ApplicationName = ApplicationName("")  # services only


class MembershipView(msgspec.Struct, frozen=True):
    """The membership list as it was read at one moment."""

    version: int
    instances: tuple[Instance, ...]
