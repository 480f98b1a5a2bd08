"""Defines the interface to the other entries that the parts of an entry use."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from citronpin.basics.ids import EntryId, Offset, StreamName
from citronpin.peers.messages import Message

logger = logging.getLogger(__name__)

MessageCallback = Callable[[EntryId, Message], None]
LivenessCallback = Callable[[frozenset[EntryId]], None]
BroadcastCallback = Callable[[EntryId, bytes], None]


class ReadinessLease(msgspec.Struct, frozen=True):
    """The lease on a watcher's readiness set that its heartbeats renew.

    ``number`` is that of the readiness set; ``probed_s`` is the clock time at which
    the oldest probe behind it was sent.
    """

    number: int
    probed_s: float


LeaseSource = Callable[[], ReadinessLease | None]
OffsetSource = Callable[[], dict[StreamName, Offset]]


class Mesh(ABC):
    """Sends messages to the other entries and tells which of them are alive."""

    @abstractmethod
    def alive(self) -> frozenset[EntryId]:
        """Return the entries that are alive, this one included."""

    @abstractmethod
    def is_isolated(self, limit_s: float) -> bool:
        """Return whether others are known but none answered within ``limit_s``."""

    @abstractmethod
    def exchange_heartbeats(self) -> None:
        """Exchange heartbeats with the neighbours now, ahead of the next tick."""

    @abstractmethod
    def set_lease_source(self, source: LeaseSource) -> None:
        """Set the function that returns the lease that each heartbeat renews."""

    @abstractmethod
    def send(self, entry: EntryId, message: Message) -> bool:
        """Send without blocking; return false if the message was dropped."""

    @abstractmethod
    def subscribe(self, message_type: type[Message], callback: MessageCallback) -> None:
        """Call ``callback`` with the sender and message of each one of this type."""

    @abstractmethod
    def subscribe_liveness(self, callback: LivenessCallback) -> None:
        """Call ``callback`` with the living entries whenever they change."""
