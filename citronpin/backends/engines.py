"""Interface of model engine clients and the messages exchanged with engines."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

import msgspec
from result import Result

from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import (
    AdapterName,
    Fence,
    GroupId,
    InstanceId,
    ModelName,
    RequestId,
    Version,
)


class OrderKind(Enum):
    """Kind of an order to an engine."""

    LOAD = "load"  # fetch and load a model version and its adapters
    FORM = "form"  # join a group
    RELEASE = "release"  # leave the group


class Order(msgspec.Struct, frozen=True):
    """An order to one engine, which expires ``ttl_ms`` after the engine receives it."""

    id: str
    kind: OrderKind
    fence: Fence
    ttl_ms: int
    group: GroupId | None = None
    members: tuple[InstanceId, ...] = ()
    model: ModelName | None = None
    version: Version | None = None
    adapters: tuple[AdapterName, ...] = ()


class EngineStatus(msgspec.Struct, frozen=True):
    """The group, model and load that an engine reports."""

    instance: InstanceId
    boot: str  # changes when the engine process restarts
    group: GroupId | None = None
    fence: Fence = Fence(-1)
    members: tuple[InstanceId, ...] = ()
    model: ModelName | None = None
    version: Version | None = None
    adapters: tuple[AdapterName, ...] = ()
    loading: bool = False
    running: int = 0  # streams in generation
    queued: int = 0  # streams that wait for generation
    load_age_ms: int = 0  # age of running and queued
    tokens_per_s: float = 0.0
    cache_sequence: int = 0  # sequence number of the latest cache event


class CacheEvent(msgspec.Struct, frozen=True):
    """The addition of a prefix block to an engine's cache, or its eviction."""

    sequence: int
    block: str  # hash made by `prefixes.prefix_blocks`
    stored: bool  # false if evicted


class Submission(msgspec.Struct, frozen=True):
    """A generation request as sent to an engine."""

    request: RequestId
    attempt: int
    group: GroupId
    fence: Fence
    body: dict  # chat completion request; unknown fields pass through
    priority: int = 0
    deadline_ms: int = 60_000
    resume_from: int = 0  # sequence number of the first frame to send
    prefix: str = ""  # text of the answer that was already delivered
    prefix_tokens: int = 0  # number of tokens in the prefix


class Frame(msgspec.Struct, frozen=True, omit_defaults=True):
    """One piece of the answer to a submission, numbered from 0 in each attempt."""

    request: RequestId
    attempt: int
    sequence: int
    text: str = ""
    tokens: int = 0
    final: bool = False
    finish_reason: str | None = None
    usage: dict | None = None
    load: tuple[int, int] | None = None  # running and queued streams


def prompt_text(body: dict) -> str:
    """Return the messages of a chat completion request as ``role: content`` lines."""
    messages = body.get("messages") or ()
    return "\n".join(
        f"{message.get('role', '')}: {message.get('content', '')}"
        for message in messages
        if isinstance(message, dict)
    )


class FrameSink(ABC):
    """Receives the frames of one attempt as they arrive, in any order."""

    @abstractmethod
    def frames(self, frames: list[Frame]) -> None:
        """Take frames that arrived together, in any order."""

    @abstractmethod
    def ended(self, error: CitronpinError | None) -> None:
        """Take the end of the connection; ``error`` is ``None`` if it was clean."""


class Attempt(ABC):
    """A submission in progress."""

    @abstractmethod
    def cancel(self) -> None:
        """Stop the generation; the sink is not called any more."""

    def detach(self) -> None:
        """Close the connection while the engine keeps the attempt for resumption.

        The sink is not called any more. An implementation that cannot keep the
        attempt cancels it.
        """
        self.cancel()


StatusCallback = Callable[[Result[EngineStatus, CitronpinError]], None]
CacheCallback = Callable[[Result[list[CacheEvent], CitronpinError]], None]


class EngineClient(ABC):
    """Sends submissions, orders and queries to engines.

    ``address`` is the ``IP:PORT`` of an instance. Each callback is called once, in
    the event loop of the caller, and never before the method has returned.
    """

    @abstractmethod
    def submit(
        self, *, address: str, submission: Submission, sink: FrameSink
    ) -> Attempt:
        """Send a submission; the engine resumes the attempt if it still keeps it.

        The sink gets an error whose outcome is *not run*, such as `EngineRefused`
        or `ConnectionFailed`, only if the submission certainly did not run.
        """

    @abstractmethod
    def order(self, *, address: str, order: Order, done: StatusCallback) -> None:
        """Send an order; ``done`` gets the engine's status after it accepted it."""

    @abstractmethod
    def status(
        self, *, address: str, done: StatusCallback, timeout_s: float = 1.0
    ) -> None:
        """Query the status of an engine, for at most ``timeout_s`` seconds."""

    @abstractmethod
    def cache_events(self, *, address: str, since: int, done: CacheCallback) -> None:
        """Query the cache events after sequence number ``since``."""
