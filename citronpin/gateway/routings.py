"""Gateway configuration and lookup of routes, services and customers."""

import logging
from enum import Enum

import msgspec

from citronpin.basics.ids import ApplicationName, CustomerName, ModelName, Version

logger = logging.getLogger(__name__)


class RequestKind(Enum):
    """How the requests of a route may be retried and are answered."""

    SAFE = "safe"  # may run more than once
    UNSAFE = "unsafe"  # runs at most once per attempt of a caller
    STREAM = "stream"  # answered by a series of numbered events


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A service that a route sends requests to, and its weight among the targets."""

    service: ApplicationName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route for the requests to ``host`` whose path starts with ``prefix``."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    timeout_s: float  # after which a request is answered with an error
    objective_s: float  # until the answer, for streams until the first event
    max_attempts: int = 1  # instances that may run one attempt of a caller
    priority: int = 0  # 0 is the highest
    public: bool = False  # requests need no customer key
    resumable: bool = False  # a stream may continue on another instance
    gap_objective_s: float = 0.0  # longest pause between events

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.SAFE


class ModelSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A model and the number of instances, ``size``, in a group that serves it."""

    name: ModelName
    size: int
    pace: float = 1.0  # factor on the times of the engine
    share: float = 1.0  # relative share of the load
    load_s: float = 0.0  # to load it from the weight store
    warm_s: float = 0.0  # to load it from the memory of the host


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Timing model and capacity of the engines of a service."""

    models: tuple[ModelSpec, ...]
    slots: int  # requests that a group runs in one batch
    memory_tokens: int  # capacity of the key-value cache
    step_s: float  # base time of a decoding step of the batch
    step_per_writer_s: float  # added to a step for each decoding request
    step_per_context_token_s: float  # added for each context token of these requests
    read_tokens_per_s: float  # speed of reading prompts
    pair_s: float  # per pair of a prompt token and an earlier token
    chunk_tokens: int  # prompt tokens read in one step at most
    stride: int  # steps per pass while any request is decoding
    loads_per_s: float  # model loads of all domains together
    loads_at_once: int
    form_s: float  # from the order to form a group until it serves
    kept_models: int = 1  # that a host keeps staged
    mean_prompt_tokens: float = 1.0
    mean_answer_tokens: float = 1.0

    def model(self, name: ModelName) -> ModelSpec | None:
        """Return a model by its name."""
        return next((spec for spec in self.models if spec.name == name), None)


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A service; ``engine`` is set only for those that serve models."""

    name: ApplicationName
    max_connections: int = 0
    engine: EngineSpec | None = None
    cold_start_s: float = 0.0  # for which an instance is cold after a start
    # Requests per second that a cold instance takes from all entries; 0 means no limit.
    cold_per_s: float = 0.0


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A customer and the keys that identify it."""

    name: CustomerName
    keys: tuple[str, ...]
    priority: int | None = None  # overrides that of the route


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of requests, the time to send one and idle connections."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class GatewayConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the gateway configuration."""

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
    """Looks up routes, services and customers of one configuration version."""

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
        """Return whether requests on routes that are not public must carry a key."""
        return bool(self.cfg.tenants)

    def match(self, *, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match for ``path``.

        Prefixes end with a slash, so only prefixes of ``path`` that do are looked up.
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
        """Return the customer that a key belongs to."""
        return self._customers.get(key)
