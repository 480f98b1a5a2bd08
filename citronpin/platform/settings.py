"""Reads the settings file that the platform gives to each process."""

import json
import logging
import os
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.errors import SettingsError
from citronpin.basics.ids import EntryId, FailureDomainName
from citronpin.gateway.nodes import AdmissionKind, MemoryKind, NodeSettings
from citronpin.gateway.placers import PlacementPolicy
from citronpin.gateway.relays import MachineCapacity
from citronpin.web.process_limits import ProcessLimits

logger = logging.getLogger(__name__)

PATH_VARIABLE = "CITRONPIN_SETTINGS"
DEFAULT_PATH = "/etc/citronpin/settings.json"
POOL_CONTRACT = "pool"  # many entries share a pool of instances


class WireListen(msgspec.Struct, kw_only=True):
    """Addresses that the process listens on, each ``IP:PORT``."""

    front: str  # for callers
    ready: str  # for readiness checks of the load balancer


class WireBounds(msgspec.Struct, kw_only=True, rename="kebab"):
    """Bounds of this deployment, each in the unit of its suffix."""

    grace_s: float = 8.0  # from SIGTERM to SIGKILL
    drain_ms: float = 2_000.0  # until a draining instance gets no more requests
    config_apply_ms: float = 2_000.0  # until a confirmed configuration is in force
    evacuate_ms: float = 5_000.0  # until a confirmed evacuation is in effect
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 100.0
    budget_window_s: float = 10.0


class WireLimits(msgspec.Struct, kw_only=True, rename="kebab"):
    """What the process may use; a default of the machine stands for what is absent."""

    memory_mb: int | None = None  # resident, in units of 2**20 bytes
    max_fds: int | None = None  # descriptors, 200 of them for files
    cpu_share: float | None = None  # of one core of usual speed, at ``cores`` 1
    cores: float | None = None  # factor on the speed of that core
    link_mbps: float | None = None

    def capacity(self) -> MachineCapacity:
        """Return what the machine gives the process, 0 for what is absent."""
        return MachineCapacity(
            cores=(self.cpu_share or 0.0) * (self.cores or 1.0),
            link_mbps=self.link_mbps or 0.0,
        )


class WireStore(msgspec.Struct, kw_only=True, rename="kebab"):
    """Address and parameters of the platform's store."""

    address: str
    parts: int = 24  # partitions of a topic
    ttl_min_ms: int = 1_000  # shortest time to live of a member of a reader group


class WireSettings(msgspec.Struct, kw_only=True, rename="kebab"):
    """Fields of the settings file that are used; others are ignored."""

    node: str  # name of the machine
    ip: str
    zone: str  # failure domain
    listen: WireListen
    internal_ports: tuple[int, int]  # first and last
    platform: WireStore
    contracts: Any = ()  # list of the rules in force, by name
    heartbeat_ms: int = 1_200  # interval at which instances renew registrations
    bounds: WireBounds = msgspec.field(default_factory=WireBounds)
    limits: WireLimits = msgspec.field(default_factory=WireLimits)

    def has_contract(self, name: str) -> bool:
        """Return whether a rule is in force; in a list of another form none is."""
        return isinstance(self.contracts, (list, tuple)) and name in self.contracts


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_process_settings(path: Path) -> Result[WireSettings, SettingsError]:
    """Read the settings file; `Err` when it is missing or its form is wrong."""
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=WireSettings)
    except (OSError, msgspec.MsgspecError, json.JSONDecodeError) as exc:
        return Err(SettingsError(f"{path}: {exc}.", remedy="Correct the file."))
    first, last = settings.internal_ports
    if first >= last:
        return Err(
            SettingsError(
                f"{path}: internal-ports {first} to {last} are fewer than two.",
                remedy="Give two ports or more, from the lower to the higher.",
            )
        )
    return Ok(settings)


def node_settings(
    settings: WireSettings,
    metrics_port: int,
    placement: PlacementPolicy = PlacementPolicy.REMAINING_WORK,
) -> NodeSettings:
    """Return the settings of a gateway node.

    ``placement`` applies where many entries share a pool of instances.

    The first internal port takes messages of other entries, the last one requests that
    they pass on.
    """
    first, last = settings.internal_ports
    if not settings.has_contract(POOL_CONTRACT):
        placement = PlacementPolicy.LEAST_LOADED
    return NodeSettings(
        name=EntryId(settings.node),
        failure_domain=FailureDomainName(settings.zone),
        front=settings.listen.front,
        ready=settings.listen.ready,
        peers=f"{settings.ip}:{first}",
        forward=f"{settings.ip}:{last}",
        metrics=f"{settings.ip}:{metrics_port}",
        heartbeat_s=settings.heartbeat_ms / MS_PER_S,
        grace_s=settings.bounds.grace_s,
        repeat_ratio=settings.bounds.retry_budget_ratio,
        repeat_slack=settings.bounds.retry_budget_slack,
        repeat_window_s=settings.bounds.budget_window_s,
        share_facts=settings.has_contract(POOL_CONTRACT),
        placement=placement,
        varied_deadlines=settings.has_contract(POOL_CONTRACT),
        memory=(
            MemoryKind.TOKENS
            if settings.has_contract(POOL_CONTRACT)
            else MemoryKind.SLOTS
        ),
        admission=(
            AdmissionKind.LEVELS
            if settings.has_contract(POOL_CONTRACT)
            else AdmissionKind.OPEN
        ),
        process=ProcessLimits(
            memory_mb=settings.limits.memory_mb, max_fds=settings.limits.max_fds
        ),
    )
