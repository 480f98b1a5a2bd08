"""Decodes the configuration, and the registrations and reports of instances.

Each ``Wire`` type has the fields that the platform documents; a comment gives the unit
or the meaning of a field whose name does not show it.
"""

import logging
import re
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from citronpin.basics.addresses import parse_address
from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.decodings import guard_recursion
from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import (
    ApplicationName,
    CustomerName,
    DomainName,
    FailureDomainName,
    GroupId,
    InstanceId,
    ModelName,
)
from citronpin.gateway.fleets import FleetInstance, Membership, Phase
from citronpin.gateway.ports import Report
from citronpin.gateway.registrations import Registration
from citronpin.gateway.routings import (
    CallerLimits,
    EngineSpec,
    GatewayConfig,
    ModelSpec,
    RequestKind,
    Route,
    ServiceSpec,
    Target,
    Tenant,
)

logger = logging.getLogger(__name__)

PER_THOUSAND = 1_000.0
PER_MILLION = 1_000_000.0
MAX_TOKENS = 2.0**53  # larger numbers lose tokens as floating point numbers
SERVER_STATES = ("ready", "draining")
INSTANCE_ID = re.compile("[!-~]+")  # what a header carries unchanged

# Frames between entries carry no larger integers.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]
Priority = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]
Duration = Annotated[float, msgspec.Meta(ge=0.0, le=2.0**53)]  # fits a frame in ms


class UnreadableRecord(CitronpinError):
    """A record or report of the platform does not have the documented form."""

    kind = "unreadable-record"
    remedy = "The record is left out; find out who writes it."


class _WireStruct(msgspec.Struct, kw_only=True, rename="kebab"):
    """Base of the decoded types; unknown fields are ignored."""


class WireBackend(_WireStruct, kw_only=True):
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float = 1.0


class WireRoute(_WireStruct, kw_only=True):
    """A route of requests, by host and path prefix, to one or several services."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Duration
    target_latency_ms: Duration = 0.0
    priority: Priority = 0
    service: str | None = None  # takes precedence over ``backends``
    backends: tuple[WireBackend, ...] = ()
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: Duration = 0.0  # objective for the longest pause between events


class WireModel(_WireStruct, kw_only=True):
    """A model of an engine."""

    name: str
    size: int = 1  # instances of a group
    share: float = 1.0  # of the work
    pace: float = 1.0  # factor on all times of the engine
    load_s: float = 0.0  # from the weight store
    warm_s: float = 0.0  # from the host


class WireMeanTokens(_WireStruct, kw_only=True):
    """Mean numbers of prompt and answer tokens of a request."""

    prompt: float = 1.0
    answer: float = 1.0


class WireEngine(msgspec.Struct, kw_only=True):
    """Speed and capacity of the engines of a service; times are in ms or as suffixed.

    The platform writes some names with hyphens and others with underscores.
    """

    slots: int  # requests that a group batches
    models: tuple[WireModel, ...] = ()
    kv_capacity_tokens: int = msgspec.field(name="kv-capacity-tokens", default=0)
    stride: int = 1
    step_ms: float = 0.0
    per_seq_ms: float = 0.0  # added to a step for each decoding request
    context_per_k: float = 0.0  # ms, added per 1,000 context tokens of these requests
    read_per_s: float = 0.0  # prompt tokens
    pairs_per_m: float = 0.0  # ms per million pairs of a prompt and an earlier token
    chunk: int = 0  # prompt tokens read in one step at most
    loads_per_s: float = msgspec.field(name="loads-per-s", default=1.0)
    loads_at_once: int = 1
    form_ms: float = msgspec.field(name="form-ms", default=0.0)
    keeps: int = 1  # models staged on a host
    usual: WireMeanTokens = msgspec.field(default_factory=WireMeanTokens)


class WireService(_WireStruct, kw_only=True):
    """A service; only model services have an engine."""

    name: str
    max_connections: int = 0
    engine: WireEngine | None = None
    cold_start_s: Duration = 0.0  # for which an instance is cold after a start
    cold_per_s: Duration = 0.0  # requests per second that it takes meanwhile; 0: all


class WireTenant(_WireStruct, kw_only=True):
    """A customer with its API keys."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: Priority | None = None


class WireLimits(_WireStruct, kw_only=True):
    """Limits on the requests and connections of callers."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Duration = 3_000
    idle_timeout_ms: Duration = 15_000


class WireConfig(_WireStruct, kw_only=True):
    """One version of the configuration."""

    version: Count
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: tuple[WireTenant, ...] = ()


class WireGroup(_WireStruct, kw_only=True):
    """Membership of an instance in a group."""

    name: str
    epoch: Count
    rank: Count
    state: str


class WireModelName(_WireStruct, kw_only=True):
    """A loaded or staged model; only its name is used."""

    name: str


class WireReport(_WireStruct, kw_only=True):
    """State of an instance as the instance reports it."""

    models: tuple[WireModelName, ...] = ()
    staged: tuple[str | WireModelName, ...] = ()
    group: WireGroup | None = None
    born: Count = 0  # Unix ms of the start
    running: Count = 0
    waiting: Count = 0
    pace: float = 1.0  # above 1 when the instance is slow
    # Numbers of tokens; a wrong one must not make the instance count as silent.
    kv_used: Any = 0
    kv_total: Any = 0


class WireServer(WireReport, kw_only=True):
    """Registration of an instance in the store.

    Where a field without a default is missing, another writer wrote the entry.
    """

    service: str
    address: str
    zone: str
    version: str | int  # of its software
    state: str
    slots: PositiveCount
    cold_remaining_ms: float  # how much longer it is slow after its start
    sequence: Count  # rises with each registration since the start
    domain: str | int | None = None


_decode_config = guard_recursion(msgspec.json.Decoder(WireConfig).decode)
_decode_server = guard_recursion(msgspec.json.Decoder(WireServer).decode)
_decode_report = guard_recursion(msgspec.json.Decoder(WireReport).decode)


def decode_config(data: bytes) -> Result[GatewayConfig, UnreadableRecord]:
    """Decode a configuration, with times in s; `Err` when its form is wrong."""
    try:
        wire = _decode_config(data)
        return Ok(
            GatewayConfig(
                version=wire.version,
                routes=tuple(_convert_route(route) for route in wire.routes),
                services=tuple(_convert_service(service) for service in wire.services),
                tenants=tuple(
                    Tenant(
                        name=CustomerName(tenant.name),
                        keys=tenant.api_keys,
                        priority=tenant.priority,
                    )
                    for tenant in wire.tenants
                ),
                limits=CallerLimits(
                    header_bytes=wire.limits.max_header_bytes,
                    body_bytes=wire.limits.max_body_bytes,
                    header_timeout_s=wire.limits.header_timeout_ms / MS_PER_S,
                    idle_timeout_s=wire.limits.idle_timeout_ms / MS_PER_S,
                ),
            )
        )
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(UnreadableRecord(f"The configuration cannot be decoded: {exc}."))


def _convert_route(wire: WireRoute) -> Route:
    targets = tuple(
        Target(service=ApplicationName(backend.service), weight=backend.weight)
        for backend in wire.backends
    )
    if wire.service is not None:
        targets = (Target(service=ApplicationName(wire.service)),)
    if not targets:
        raise ValueError(f"route {wire.name} has neither a service nor backends")
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        kind=RequestKind(wire.kind),
        targets=targets,
        timeout_s=wire.timeout_ms / MS_PER_S,
        objective_s=wire.target_latency_ms / MS_PER_S,
        max_attempts=max(wire.max_attempts, 1),
        priority=wire.priority,
        public=wire.public,
        resumable=wire.resumable,
        gap_objective_s=wire.gap_aim_ms / MS_PER_S,
    )


def _convert_service(wire: WireService) -> ServiceSpec:
    engine = wire.engine
    return ServiceSpec(
        name=ApplicationName(wire.name),
        max_connections=wire.max_connections,
        engine=None if engine is None else _convert_engine(engine),
        cold_start_s=wire.cold_start_s,
        cold_per_s=wire.cold_per_s,
    )


def _convert_engine(wire: WireEngine) -> EngineSpec:
    return EngineSpec(
        models=tuple(
            ModelSpec(
                name=ModelName(model.name),
                size=model.size,
                pace=model.pace,
                share=model.share,
                load_s=model.load_s,
                warm_s=model.warm_s,
            )
            for model in wire.models
        ),
        slots=wire.slots,
        memory_tokens=wire.kv_capacity_tokens,
        step_s=wire.step_ms / MS_PER_S,
        step_per_writer_s=wire.per_seq_ms / MS_PER_S,
        step_per_context_token_s=wire.context_per_k / MS_PER_S / PER_THOUSAND,
        read_tokens_per_s=wire.read_per_s,
        pair_s=wire.pairs_per_m / MS_PER_S / PER_MILLION,
        chunk_tokens=wire.chunk,
        stride=wire.stride,
        loads_per_s=wire.loads_per_s,
        loads_at_once=wire.loads_at_once,
        kept_models=wire.keeps,
        form_s=wire.form_ms / MS_PER_S,
        mean_prompt_tokens=wire.usual.prompt,
        mean_answer_tokens=wire.usual.answer,
    )


def decode_registration(
    name: str, data: bytes
) -> Result[Registration, UnreadableRecord]:
    """Decode the registration of an instance; its id is ``name``, the record's key.

    `Err` when it names no instance that can be used: its form is wrong, its state is
    unknown, or no request can name its id or reach its address.
    """
    try:
        if INSTANCE_ID.fullmatch(name) is None:
            raise ValueError("the id is not visible ASCII")
        wire = _decode_server(data)
        parse_address(wire.address)
        if wire.state not in SERVER_STATES:
            raise ValueError(f"state {wire.state!r} is unknown")
        instance = FleetInstance(
            id=InstanceId(name),
            service=ApplicationName(wire.service),
            address=wire.address,
            failure_domain=FailureDomainName(wire.zone),
            slots=wire.slots,
            draining=wire.state == "draining",
            domain=DomainName("" if wire.domain is None else str(wire.domain)),
            models=_model_names(wire.models),
            staged=_model_names(wire.staged),
            membership=_convert_membership(wire.group),
            born_ms=wire.born,
        )
        return Ok(
            Registration(instance, wire.sequence, wire.cold_remaining_ms / MS_PER_S)
        )
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(
            UnreadableRecord(f"The registration of {name!r} cannot be decoded: {exc}.")
        )


def decode_report(data: bytes) -> Result[Report, UnreadableRecord]:
    """Decode the report of an instance; `Err` when its form is wrong."""
    try:
        wire = _decode_report(data)
        return Ok(
            Report(
                membership=_convert_membership(wire.group),
                born_ms=wire.born,
                models=_model_names(wire.models),
                staged=_model_names(wire.staged),
                running=wire.running,
                waiting=wire.waiting,
                pace=wire.pace,
                used_tokens=_token_count(wire.kv_used),
                memory_tokens=_token_count(wire.kv_total),
            )
        )
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(UnreadableRecord(f"A report cannot be read: {exc}."))


def _token_count(value: Any) -> int:
    """Return a reported number of tokens, 0 where it is none."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return int(value) if is_number and 0 <= value <= MAX_TOKENS else 0


def _model_names(models: tuple) -> tuple[ModelName, ...]:
    return tuple(
        ModelName(model if isinstance(model, str) else model.name) for model in models
    )


def _convert_membership(wire: WireGroup | None) -> Membership | None:
    if wire is None:
        return None
    return Membership(
        group=GroupId(wire.name),
        epoch=wire.epoch,
        rank=wire.rank,
        phase=Phase(wire.state),
    )
