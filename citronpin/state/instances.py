"""Rows of the platform's membership list."""

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
    """What runs on an instance: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class InstanceState(Enum):
    """State of an instance in the membership list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One row of the membership list; field names are those of its JSON."""

    id: InstanceId
    address: str  # IP:PORT
    kind: InstanceKind
    state: InstanceState
    failure_domain: FailureDomainName
    region: RegionName = RegionName("")
    domain: DomainName = DomainName("")  # fabric domain; engines only
    accelerators: int = 0
    checks_fence: bool = True  # refuses orders with an outdated fencing number
    application: ApplicationName = ApplicationName("")  # services only


class MembershipView(msgspec.Struct, frozen=True):
    """One version of the membership list."""

    version: int
    instances: tuple[Instance, ...]
