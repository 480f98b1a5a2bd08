"""The interface of model engines, and what passes over it."""

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
    """What an engine can be told to do."""

    LOAD = "load"  # fetch and load a model, version and adapters
    FORM = "form"  # take part in a group
    RELEASE = "release"  # leave the group


class Order(msgspec.Struct, frozen=True):
    """An order to one engine; it expires ``ttl_ms`` after the engine gets it."""

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
    """What an engine holds now, and its load as it last measured it."""

    instance: InstanceId
    boot: str  # changes when the engine's process restarts
    group: GroupId | None = None
    fence: Fence = Fence(-1)
    members: tuple[InstanceId, ...] = ()
    model: ModelName | None = None
    version: Version | None = None
    adapters: tuple[AdapterName, ...] = ()
    loading: bool = False
    running: int = 0  # streams being generated
    queued: int = 0
    load_age_ms: int = 0  # how old running and queued are
    tokens_per_s: float = 0.0
    cache_sequence: int = 0  # of the latest cache event


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix block entered or left an engine's cache."""

    sequence: int
    block: str  # hash of `prefixes.prefix_blocks`
    stored: bool


class Submission(msgspec.Struct, frozen=True):
    """A generation request as the engine gets it."""

    request: RequestId
    attempt: int
    group: GroupId
    fence: Fence
    body: dict  # chat completion request; unknown fields pass through
    priority: int = 0
    deadline_ms: int = 60_000
    resume_from: int = 0  # first sequence number wanted
    prefix: str = ""  # start of the answer that the caller already has
    prefix_tokens: int = 0  # tokens of the prefix


class Frame(msgspec.Struct, frozen=True, omit_defaults=True):
    """One piece of an answer."""

    request: RequestId
    attempt: int
    sequence: int
    text: str = ""
    tokens: int = 0
    final: bool = False
    finish_reason: str | None = None
    usage: dict | None = None
    load: tuple[int, int] | None = None  # running and queued streams, as measured


def prompt_text(body: dict) -> str:
    """Return the prompt of a chat completion request as one text."""
    messages = body.get("messages") or ()
    return "\n".join(
        f"{message.get('role', '')}: {message.get('content', '')}"
        for message in messages
        if isinstance(message, dict)
    )


class FrameSink(ABC):
    """Takes the frames of one attempt as they arrive, in any order."""

    @abstractmethod
    def frames(self, frames: list[Frame]) -> None:
        """Take frames that arrived together."""

    @abstractmethod
    def ended(self, error: CitronpinError | None) -> None:
        """The transport ended; ``error`` says how, ``None`` when it was clean."""


class Attempt(ABC):
    """A submission under way."""

    @abstractmethod
    def cancel(self) -> None:
        """Stop generation; no more calls reach the sink."""

    def detach(self) -> None:
        """Give up the transport; the engine keeps the attempt for a while.

        No more calls reach the sink. Where it cannot be kept, it is cancelled.
        """
        self.cancel()


StatusCallback = Callable[[Result[EngineStatus, CitronpinError]], None]
CacheCallback = Callable[[Result[list[CacheEvent], CitronpinError]], None]


class EngineClient(ABC):
    """Talks to engines; ``address`` is ``IP:PORT`` of an instance.

    Callbacks run in the event loop of the caller, once, and never before the
    method has returned.
    """

    @abstractmethod
    def submit(
        self, *, address: str, submission: Submission, sink: FrameSink
    ) -> Attempt:
        """Send a submission; one whose attempt the engine keeps is resumed.

        The sink hears `EngineRefused` or `ConnectionFailed` when the submission
        was proved not to run.
        """

    @abstractmethod
    def order(self, *, address: str, order: Order, done: StatusCallback) -> None:
        """Give an order; ``done`` gets the status after it was taken."""

    @abstractmethod
    def status(
        self, *, address: str, done: StatusCallback, timeout_s: float = 1.0
    ) -> None:
        """Ask what the engine holds."""

    @abstractmethod
    def cache_events(self, *, address: str, since: int, done: CacheCallback) -> None:
        """Ask for cache events after sequence number ``since``."""
