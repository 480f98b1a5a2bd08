"""Manifests: what operators publish through their build pipeline."""

from enum import Enum

import msgspec

from citronpin.ids import (
    AdapterName,
    ApplicationName,
    CustomerName,
    DeploymentName,
    DomainName,
    ModelName,
    Version,
)


class ManifestPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the parts of manifests; unknown fields are faults."""


class CriticalPeriod(ManifestPart):
    """A weekly period in which group downtime weighs more."""

    start_minute: int  # minutes after Monday 00:00 UTC
    end_minute: int
    downtime_factor: float = 10.0


class DeploymentManifest(ManifestPart, tag="deployment", tag_field="kind"):
    """Groups of one model, with adapters and a version."""

    name: DeploymentName
    model: ModelName
    version: Version
    groups: int
    members: int  # instances per group
    adapters: tuple[AdapterName, ...] = ()
    domains: tuple[DomainName, ...] = ()  # empty: any fabric domain
    spares: int = 1  # free instances wanted per fabric domain
    min_serving: float = 0.8  # share of groups kept serving during rollouts
    downtime_weight: float = 1.0  # cost of a group-second of downtime
    stranded_weight: float = 1.0  # cost of an accelerator-second stranded
    critical_periods: tuple[CriticalPeriod, ...] = ()


class CallRule(ManifestPart):
    """Which calls of an application may be repeated; first match wins."""

    method: str  # "*" matches all
    path: str  # shell-style pattern below /applications/NAME
    repeatable: bool = False
    lookup: str | None = None  # path that settles an unknown outcome; {key}


class ApplicationManifest(ManifestPart, tag="application", tag_field="kind"):
    """A plain service; its servers are found in the membership list."""

    name: ApplicationName
    calls: tuple[CallRule, ...] = ()
    timeout_s: float = 10.0


class Customer(ManifestPart):
    """One customer's keys, share and limits."""

    name: CustomerName
    key_digests: tuple[str, ...]  # sha256 of each bearer key, hexadecimal
    share: float = 1.0
    priority: int = 0  # higher goes first
    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    deadline_s: float = 60.0
    deployments: tuple[DeploymentName, ...] = ()  # empty: all
    applications: tuple[ApplicationName, ...] = ()  # empty: all


class CustomersManifest(ManifestPart, tag="customers", tag_field="kind"):
    """A named set of customers."""

    name: str
    customers: tuple[Customer, ...] = ()


Manifest = DeploymentManifest | ApplicationManifest | CustomersManifest


class ScopeKind(Enum):
    """What a manifest's scope covers."""

    DEPLOYMENT = "deployment"
    APPLICATION = "application"
    CUSTOMERS = "customers"


def scope_of(manifest: Manifest) -> str:
    """Return the scope that a manifest replaces, such as ``deployment/rota``."""
    return f"{type(manifest).__struct_config__.tag}/{manifest.name}"
