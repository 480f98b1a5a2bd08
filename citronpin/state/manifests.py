"""Manifests that operators publish through build pipelines, and their checks.

The configuration fold runs the checks, so all entries must run the same ones: a
change of a check requires a new ``records.FORMAT_VERSION``.
"""

import math
import re
from collections.abc import Iterator
from enum import Enum

import msgspec

from citronpin.basics.ids import (
    AdapterName,
    ApplicationName,
    CustomerName,
    DeploymentName,
    DomainName,
    ModelName,
    Version,
)

MINUTES_PER_WEEK = 7 * 24 * 60
MAX_GROUPS = 10_000
MAX_MEMBERS = 1_024
MAX_SLOTS = 100_000
MAX_TIMEOUT_S = 86_400.0
MAX_PRIORITY = 1_000
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
METHOD_PATTERN = re.compile(r"\*|[A-Z]{1,16}")


class ManifestPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of manifests and their parts; rejects unknown fields."""


class CriticalPeriod(ManifestPart):
    """A weekly period in which group downtime costs more."""

    start_minute: int  # minutes after Monday 00:00 UTC
    end_minute: int
    downtime_factor: float = 10.0  # multiplies downtime_weight


class DeploymentManifest(ManifestPart, tag="deployment", tag_field="kind"):
    """Groups that serve one version of a model, with adapters."""

    name: DeploymentName
    model: ModelName
    version: Version
    groups: int
    members: int  # instances per group
    adapters: tuple[AdapterName, ...] = ()
    slots: int = 32  # streams that a group processes in one batch
    domains: tuple[DomainName, ...] = ()  # empty: any fabric domain
    spares: int = 1  # unassigned instances to keep per fabric domain
    min_serving: float = 0.8  # share of the groups that serve during rollouts
    downtime_weight: float = 1.0  # cost of a group-second of downtime
    stranded_weight: float = 1.0  # cost of an accelerator-second stranded
    critical_periods: tuple[CriticalPeriod, ...] = ()


class CallRule(ManifestPart):
    """Whether matching calls of an application may be repeated; first match wins."""

    method: str  # "*" matches all
    path: str  # shell-style pattern below /applications/NAME
    repeatable: bool = False
    lookup: str | None = None  # path of a call that settles an unknown outcome; {key}


class ApplicationManifest(ManifestPart, tag="application", tag_field="kind"):
    """An application whose backend servers are found in the membership list."""

    name: ApplicationName
    calls: tuple[CallRule, ...] = ()
    timeout_s: float = 10.0


class Customer(ManifestPart):
    """Keys, share, priority and limits of one customer."""

    name: CustomerName
    key_digests: tuple[str, ...]  # SHA-256 of each bearer key, hexadecimal
    share: float = 1.0
    priority: int = 0  # higher is served first
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
    """The kind of a manifest, the first part of its scope."""

    DEPLOYMENT = "deployment"
    APPLICATION = "application"
    CUSTOMERS = "customers"


def scope_of(manifest: Manifest) -> str:
    """Return the scope of a manifest, such as ``deployment/rota``."""
    return f"{type(manifest).__struct_config__.tag}/{manifest.name}"


class ManifestFault(msgspec.Struct, frozen=True):
    """One fault of a manifest: the scope and field, what is wrong and the remedy."""

    scope: str
    field: str
    detail: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.scope}: {self.field}: {self.detail} {self.remedy}"


def check_manifest(manifest: Manifest) -> list[ManifestFault]:
    """Return the faults of a decoded manifest; empty if it is valid."""
    checks = {
        DeploymentManifest: _check_deployment,
        ApplicationManifest: _check_application,
        CustomersManifest: _check_customers,
    }
    scope = scope_of(manifest)
    found = checks[type(manifest)](manifest)
    return [ManifestFault(scope, *fault) for fault in found]


FaultTexts = Iterator[tuple[str, str, str]]


def _check_deployment(manifest: DeploymentManifest) -> FaultTexts:
    yield from _check_names("name", (manifest.name,))
    yield from _check_names("model", (manifest.model,))
    yield from _check_names("version", (manifest.version,))
    yield from _check_names("adapters", manifest.adapters)
    yield from _check_names("domains", manifest.domains)
    yield from _check_range("groups", manifest.groups, 0, MAX_GROUPS)
    yield from _check_range("members", manifest.members, 1, MAX_MEMBERS)
    yield from _check_range("slots", manifest.slots, 1, MAX_SLOTS)
    yield from _check_range("spares", manifest.spares, 0, MAX_GROUPS)
    yield from _check_range("min_serving", manifest.min_serving, 0.0, 1.0)
    yield from _check_range("downtime_weight", manifest.downtime_weight, 0.0, 1e6)
    yield from _check_range("stranded_weight", manifest.stranded_weight, 0.0, 1e6)
    for number, period in enumerate(manifest.critical_periods):
        yield from _check_period(f"critical_periods[{number}]", period)


def _check_period(field: str, period: CriticalPeriod) -> FaultTexts:
    week_end_minute = MINUTES_PER_WEEK
    yield from _check_range(
        f"{field}.start_minute", period.start_minute, 0, week_end_minute - 1
    )
    yield from _check_range(
        f"{field}.end_minute", period.end_minute, 1, week_end_minute
    )
    yield from _check_range(
        f"{field}.downtime_factor", period.downtime_factor, 1.0, 1e6
    )
    if period.start_minute >= period.end_minute:
        remedy = "Split a period that spans Monday 00:00 UTC in two."
        yield field, "starts after its end.", remedy


def _check_application(manifest: ApplicationManifest) -> FaultTexts:
    yield from _check_names("name", (manifest.name,))
    yield from _check_range("timeout_s", manifest.timeout_s, 0.001, MAX_TIMEOUT_S)
    for number, rule in enumerate(manifest.calls):
        yield from _check_rule(f"calls[{number}]", rule)


def _check_rule(field: str, rule: CallRule) -> FaultTexts:
    if not METHOD_PATTERN.fullmatch(rule.method):
        yield f"{field}.method", f"is {rule.method!r}.", "Give POST, GET, ... or *."
    if not rule.path.startswith("/"):
        yield f"{field}.path", f"is {rule.path!r}.", "Begin it with a slash."
    if rule.lookup is None:
        return
    if rule.repeatable:
        remedy = "Remove it; only calls that must not be repeated have one."
        yield f"{field}.lookup", "is of no use to a repeatable call.", remedy
    if not rule.lookup.startswith("/") or "{key}" not in rule.lookup:
        remedy = "Give a path that begins with a slash and holds {key}."
        yield f"{field}.lookup", f"is {rule.lookup!r}.", remedy


def _check_customers(manifest: CustomersManifest) -> FaultTexts:
    yield from _check_names("name", (manifest.name,))
    seen: set[str] = set()
    for number, customer in enumerate(manifest.customers):
        field = f"customers[{number}]"
        if customer.name in seen:
            yield f"{field}.name", f"{customer.name} is given twice.", "Merge the two."
        seen.add(customer.name)
        yield from _check_customer(field, customer)


def _check_customer(field: str, customer: Customer) -> FaultTexts:
    yield from _check_names(f"{field}.name", (customer.name,))
    yield from _check_names(f"{field}.deployments", customer.deployments)
    yield from _check_names(f"{field}.applications", customer.applications)
    yield from _check_range(f"{field}.share", customer.share, 0.001, 1e6)
    yield from _check_range(f"{field}.priority", customer.priority, 0, MAX_PRIORITY)
    yield from _check_range(
        f"{field}.deadline_s", customer.deadline_s, 0.1, MAX_TIMEOUT_S
    )
    for name in ("requests_per_s", "tokens_per_s"):
        limit = getattr(customer, name)
        if limit is not None:
            yield from _check_range(f"{field}.{name}", limit, 0.001, 1e9)
    if not customer.key_digests:
        yield f"{field}.key_digests", "is empty.", "Give one SHA-256 digest or more."
    for digest in customer.key_digests:
        if not DIGEST_PATTERN.fullmatch(digest):
            remedy = "Give the SHA-256 of the key as 64 lower-case hexadecimal digits."
            yield f"{field}.key_digests", f"holds {digest[:80]!r}.", remedy


def _check_names(field: str, names: tuple[str, ...]) -> FaultTexts:
    for name in names:
        if not NAME_PATTERN.fullmatch(name):
            remedy = "Use up to 100 letters, digits, dots, dashes and underscores."
            yield field, f"holds {name[:80]!r}.", remedy
    if len(set(names)) != len(names):
        yield field, "holds a name twice.", "Remove the second one."


def _check_range(
    field: str, value: float, minimum: float, maximum: float
) -> FaultTexts:
    if not (math.isfinite(value) and minimum <= value <= maximum):
        yield field, f"is {value:g}.", f"Give {minimum:g} to {maximum:g}."
