"""The other entries as the parts of an entry see them."""

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
    """A readiness set that a watcher renews, and when its oldest probe was sent."""

    number: int
    probed_s: float


LeaseSource = Callable[[], ReadinessLease | None]
OffsetSource = Callable[[], dict[StreamName, Offset]]


class Mesh(ABC):
    """What the other parts of an entry see of the other entries."""

    @abstractmethod
    def alive(self) -> frozenset[EntryId]:
        """Return the entries that live, this one included."""

    @abstractmethod
    def is_isolated(self, limit_s: float) -> bool:
        """Return whether no other entry, though some are known, answered in time."""

    @abstractmethod
    def exchange_heartbeats(self) -> None:
        """Exchange beats with the neighbours now, ahead of the next tick."""

    @abstractmethod
    def set_lease_source(self, source: LeaseSource) -> None:
        """Take from ``source`` the readiness set that each beat renews."""

    @abstractmethod
    def send(self, entry: EntryId, message: Message) -> bool:
        """Send without blocking; false when the message was dropped."""

    @abstractmethod
    def subscribe(self, message_type: type[Message], callback: MessageCallback) -> None:
        """Call back for each message of a type that arrives."""

    @abstractmethod
    def subscribe_liveness(self, callback: LivenessCallback) -> None:
        """Call back with the living entries whenever they change."""
