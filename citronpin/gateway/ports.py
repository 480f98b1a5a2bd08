"""What the gateway needs of a platform; an adapter implements it."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

import msgspec

from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import DomainName, EntryId, GroupId, InstanceId, ModelName
from citronpin.gateway.fleets import FleetInstance, Membership
from citronpin.peers.messages import FeedPosition

logger = logging.getLogger(__name__)


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the headers between callers, entries and instances, in lower case."""

    attempt: str  # id of one attempt of a caller
    deadline_ms: str  # what is left of the caller's time
    key: str  # of a customer, never passed on
    customer: str  # set by the entry for the instance
    expect_instance: str  # refuses the request on any other instance
    not_run: str  # in an answer: the request did not run
    digest: str  # in an answer: of the instance's whole body
    model: str
    token_usage: str  # prompt tokens, most answer tokens
    urgency: str  # 0 to 9, 0 is first
    last_event: str  # where a stream goes on


class OrderKind(Enum):
    """What an instance can be told."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to one instance."""

    kind: OrderKind
    group: GroupId = GroupId("")
    epoch: int = 0
    model: ModelName = ModelName("")
    members: tuple[InstanceId, ...] = ()
    cancel: bool = False  # CLOSE: end the requests in progress


class OrderResult(Enum):
    """What became of an order."""

    STARTED = "begun"
    ALREADY_APPLIED = "holds"  # the state already was as ordered
    CONFLICT = "conflict"  # does not fit the state of the instance
    OUTDATED = "outdated"  # a later epoch was seen
    WRONG_INSTANCE = "other"  # another instance has the address
    UNKNOWN = "unknown"  # no answer: may be carried out, also later


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The state of an instance as it says itself."""

    membership: Membership | None
    born_ms: int
    models: tuple[ModelName, ...] = ()
    staged: tuple[ModelName, ...] = ()
    running: int = 0
    waiting: int = 0
    pace: float = 1.0  # above 1 when it is slow


OrderDone = Callable[[OrderResult], None]
ReportDone = Callable[[Report | None, CitronpinError | None], None]


class InstanceControl(ABC):
    """Talks to instances about groups."""

    @abstractmethod
    def order(self, *, to: FleetInstance, order: Order, done: OrderDone) -> None:
        """Send an order."""

    @abstractmethod
    def report(self, *, of: FleetInstance, done: ReportDone) -> None:
        """Ask an instance for its state."""


class DomainLeases(ABC):
    """Says which fabric domains this entry may decide on."""

    @abstractmethod
    def holds(self, domain: DomainName) -> bool:
        """Return whether the lease on a domain is held now."""

    @property
    def none_held(self) -> bool:
        """Return whether it is known that no lease is held now."""
        return False

    @property
    @abstractmethod
    def generation(self) -> int:
        """Return a number that rises whenever a lease changes its holder."""

    @property
    @abstractmethod
    def lost(self) -> bool:
        """Return whether the store that deals the leases does not answer."""

    @abstractmethod
    def extend(self, allowed: bool) -> None:
        """Let leases go on while the store answers none of the known entries."""

    @abstractmethod
    def set_participating(self, allowed: bool) -> None:
        """Ask for leases, or give them back and ask for none."""


class SharedFeeds(ABC):
    """What entries read from the store, and what they tell each other of it."""

    @abstractmethod
    def positions(self, *, records: bool) -> tuple[FeedPosition, ...]:
        """Return how far this entry has read, with what is new if asked for."""

    @abstractmethod
    def heard(self, sender: EntryId, positions: tuple[FeedPosition, ...]) -> None:
        """Take what another entry has read."""

    @abstractmethod
    def set_following(self, allowed: bool) -> None:
        """Let news of others take the place of own reading while they are fresh."""


class PeerDirectory(ABC):
    """Knows the other entries."""

    @abstractmethod
    def addresses(self) -> dict[EntryId, str]:
        """Return where the other entries take messages."""
