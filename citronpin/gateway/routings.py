"""The configuration that operators publish: routes, services, customers, limits."""

import logging
from enum import Enum

import msgspec

from citronpin.basics.ids import ApplicationName, CustomerName, ModelName, Version

logger = logging.getLogger(__name__)


class RequestKind(Enum):
    """What may be repeated of the requests of a route."""

    SAFE = "safe"  # may run more than once
    UNSAFE = "unsafe"  # runs at most once for each attempt of a caller
    STREAM = "stream"  # answered by a series of numbered events


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A service that a route leads to, with its part of the requests."""

    service: ApplicationName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route; it takes the requests of ``host`` whose path starts as ``prefix``."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    timeout_s: float  # longest time that a caller is kept waiting
    objective_s: float  # to the answer, for streams to the first event
    max_attempts: int = 1  # instances that one attempt of a caller may run on
    priority: int = 0  # 0 is the highest
    public: bool = False  # needs no key
    resumable: bool = False
    gap_objective_s: float = 0.0  # longest pause between events

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.SAFE


class ModelSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A model that a group of ``size`` instances serves."""

    name: ModelName
    size: int
    pace: float = 1.0  # factor on all times of the engine
    share: float = 1.0  # part of the work
    load_s: float = 0.0  # from the weight store
    warm_s: float = 0.0  # from the host


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """How fast the engines of a service are, and what they may load."""

    models: tuple[ModelSpec, ...]
    slots: int  # requests that a group batches
    memory_tokens: int
    step_s: float  # a step of all writers
    step_per_writer_s: float
    step_per_context_token_s: float
    read_tokens_per_s: float
    pair_s: float  # a pair of a prompt token and any earlier one
    chunk_tokens: int  # read in one step at most
    stride: int  # steps of a pass that has writers
    loads_per_s: float
    loads_at_once: int
    form_s: float  # from the order to serve until a group does
    kept_models: int = 1  # that a host keeps staged
    mean_prompt_tokens: float = 1.0
    mean_answer_tokens: float = 1.0

    def model(self, name: ModelName) -> ModelSpec | None:
        """Return a model by its name."""
        return next((spec for spec in self.models if spec.name == name), None)


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A service; only model services have an engine."""

    name: ApplicationName
    max_connections: int = 0
    engine: EngineSpec | None = None


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A customer with its keys."""

    name: CustomerName
    keys: tuple[str, ...]
    priority: int | None = None  # goes before that of the route


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class GatewayConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    tenants: tuple[Tenant, ...]
    limits: CallerLimits

    @property
    def label(self) -> Version:
        """Return the version as text."""
        return Version(str(self.version))


class RoutingTable:
    """Finds routes, services and customers of one configuration."""

    def __init__(self, *, cfg: GatewayConfig) -> None:
        self.cfg = cfg
        self.version = cfg.version
        self.services = {service.name: service for service in cfg.services}
        self._customers = {key: tenant for tenant in cfg.tenants for key in tenant.keys}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in cfg.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    @property
    def needs_key(self) -> bool:
        """Return whether requests on routes that are not public carry a key."""
        return bool(self.cfg.tenants)

    def match(self, *, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``.

        Prefixes end with a slash, so only those of the path are looked up.
        """
        routes = self._by_host.get(host.lower())
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def customer(self, key: str) -> Tenant | None:
        """Return the customer that holds a key."""
        return self._customers.get(key)
