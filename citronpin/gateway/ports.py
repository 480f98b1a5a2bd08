"""Defines the interfaces through which the gateway uses a platform."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

import msgspec

from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import DomainName, EntryId, GroupId, InstanceId, ModelName
from citronpin.gateway.fleets import FleetInstance, Membership
from citronpin.gateway.forward_peers import ForwardPeer
from citronpin.gateway.relays import MachineCapacity
from citronpin.peers.messages import FeedPosition

logger = logging.getLogger(__name__)


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Lower-case header names used between callers, entries and instances."""

    attempt: str  # id of one attempt of a caller
    deadline_ms: str  # time left of the caller's deadline
    key: str  # of a customer, never forwarded
    customer: str  # set by the entry for the instance
    expect_instance: str  # makes any other instance refuse the request
    instance_id: str  # in a refusal of a misdirected request: the instance that answers
    not_run: str  # in an answer: the request did not run
    digest: str  # in an answer: digest of the whole body
    model: str
    token_usage: str  # prompt tokens, maximum answer tokens
    prompt_parts: str  # ID:TOKENS of each part of the prompt, separated by commas
    urgency: str  # 0 to 9, 0 is the most urgent
    last_event: str  # event after which a stream resumes
    retry_after: str  # in an answer: seconds for which the instance wants no request
    leaving: str  # in an answer: the instance leaves
    weight_versions: str  # in an answer, and as the first line of an event
    request_limit: str  # in an answer: requests per second that the instance takes
    cold_ms: str  # in an answer: how much longer the instance is cold
    length_hint: str = "-"  # caller's estimate of the answer tokens


class OrderKind(Enum):
    """The kinds of orders to an instance."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to one instance about its group or its staged models."""

    kind: OrderKind
    group: GroupId = GroupId("")
    epoch: int = 0
    model: ModelName = ModelName("")
    members: tuple[InstanceId, ...] = ()
    cancel: bool = False  # CLOSE only: aborts the requests in progress


class OrderResult(Enum):
    """The outcome of an order."""

    STARTED = "begun"
    ALREADY_APPLIED = "holds"  # the state was as ordered before
    CONFLICT = "conflict"  # incompatible with the state of the instance
    OUTDATED = "outdated"  # the instance knows a later epoch
    WRONG_INSTANCE = "other"  # another instance has the address
    UNKNOWN = "unknown"  # unanswered; may be executed now or later


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The state of an instance as it reports it."""

    membership: Membership | None
    born_ms: int
    models: tuple[ModelName, ...] = ()
    staged: tuple[ModelName, ...] = ()
    running: int = 0
    waiting: int = 0
    pace: float = 1.0  # factor on its usual times, above 1 when slow
    cold_s: float = 0.0  # how much longer it is cold
    used_tokens: int = 0  # held by requests, cannot be given up
    memory_tokens: int = 0  # that fit into its memory; 0 when unknown


class ProbeResult(Enum):
    """What a probe of the path to an instance found."""

    ANSWERED = "answered"
    UNANSWERED = "unanswered"  # the connection was accepted, but brought no answer
    REFUSED = "refused"  # no connection was made


OrderCallback = Callable[[OrderResult], None]
ReportCallback = Callable[[Report | None, CitronpinError | None], None]
ProbeCallback = Callable[[ProbeResult], None]


class InstanceControl(ABC):
    """Sends orders to instances and requests their reports."""

    @abstractmethod
    def order(self, *, to: FleetInstance, order: Order, done: OrderCallback) -> None:
        """Send an order; ``done`` receives its result."""

    @abstractmethod
    def report(self, *, of: FleetInstance, done: ReportCallback) -> None:
        """Request the report of an instance; ``done`` receives it or an error."""

    @abstractmethod
    def probe(
        self,
        *,
        of: FleetInstance,
        connect_timeout_s: float,
        timeout_s: float,
        done: ProbeCallback,
    ) -> None:
        """Request any answer over a new connection; ``done`` receives the result.

        ``timeout_s`` includes the time to connect. Any status counts as
        an answer, also one of an instance that makes no reports.
        """


class DomainLeases(ABC):
    """Tells which fabric domains this entry may control."""

    @abstractmethod
    def holds(self, domain: DomainName) -> bool:
        """Return whether this entry holds the lease of a domain now."""

    @property
    def none_held(self) -> bool:
        """Return whether this entry certainly holds no lease now."""
        return False

    @property
    @abstractmethod
    def generation(self) -> int:
        """Return a number that rises whenever a lease changes its holder."""

    @property
    @abstractmethod
    def store_lost(self) -> bool:
        """Return whether the store that assigns the leases does not answer."""

    @abstractmethod
    def set_extended(self, allowed: bool) -> None:
        """Set whether held leases outlast their expiry.

        It is allowed only while the store answers none of the known entries.
        """

    @abstractmethod
    def set_participating(self, allowed: bool) -> None:
        """Set whether this entry requests leases; if not, it returns those held."""


class SharedFeeds(ABC):
    """Exchanges what entries have read from the store."""

    @abstractmethod
    def own_positions(self, *, records: bool) -> tuple[FeedPosition, ...]:
        """Return the read positions of this entry, with new records if requested."""

    @abstractmethod
    def apply_positions(
        self, sender: EntryId, positions: tuple[FeedPosition, ...]
    ) -> None:
        """Apply the read positions and records of another entry."""

    @abstractmethod
    def set_following(self, allowed: bool) -> None:
        """Set whether recent updates of other entries replace own reads."""


class PeerDirectory(ABC):
    """Lists the other entries."""

    @abstractmethod
    def forward_peers(self) -> tuple[ForwardPeer, ...]:
        """Return the other entries that take requests from entries."""

    @abstractmethod
    def addresses(self) -> dict[EntryId, str]:
        """Return the message addresses (IP:PORT) of the other entries."""

    @abstractmethod
    def capacity_of(self, entry: EntryId) -> MachineCapacity:
        """Return what the machine of an entry gives it, as the entry announced."""
