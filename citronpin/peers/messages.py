"""Defines the messages that entries send each other.

The structs are encoded by position, so the order of their fields is the wire format.
"""

import msgspec

from citronpin.basics.ids import (
    ApplicationName,
    CallKey,
    CustomerName,
    EntryId,
    Fence,
    GroupId,
    InstanceId,
    ModelName,
    Offset,
    ShardNumber,
    StreamName,
)

NO_STAMP = -1  # in `Heartbeat`: no timestamp is sent or echoed
NO_LOAD = -1  # in `HeadStatus`: the instance has not reported its load


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages, which are told apart by their integer tag."""


class Hello(Message, tag=1):
    """Introduces the sender to a receiver that may not know its address."""

    address: str  # tcp://IP:PORT
    number: int  # exceeds that of every broadcast of an earlier run of the sender


class Welcome(Message, tag=2):
    """Answers `Hello` with the addresses of the entries that the sender knows."""

    addresses: dict[EntryId, str]


class Heartbeat(Message, tag=3):
    """One of the three heartbeats of an exchange: open, answer, close.

    ``stamp`` is the sender's clock at sending; ``echo`` is the ``stamp`` of the
    heartbeat that this one answers.
    """

    stamp: int  # ms of the sender's clock; NO_STAMP requests no answer
    echo: int = NO_STAMP
    lease: int = 0  # number of the readiness set whose lease is renewed; 0 for none
    age_ms: int = 0  # age of the oldest probe behind that readiness set
    offsets: dict[StreamName, Offset] = {}  # changed since last announced


class Suspicion(Message, tag=5):
    """Reports whether an entry considers a neighbour dead; forwarded to all entries."""

    reporter: EntryId
    number: int  # increases with each suspicion of ``reporter``
    subject: EntryId
    is_dead: bool


class Broadcast(Message, tag=6):
    """Carries a payload to every entry; entries forward it over the overlay."""

    origin: EntryId
    number: int  # increases with each broadcast of ``origin``
    topic: str
    payload: bytes


class RecordsRequest(Message, tag=7):
    """Requests the records of a stream from an offset on."""

    stream: StreamName
    start: Offset


class RecordsReply(Message, tag=8):
    """Carries the records that the sender retains, in order of offset."""

    stream: StreamName
    records: tuple[tuple[Offset, bytes], ...]


class SnapshotRequest(Message, tag=9):
    """Requests a snapshot of the state of a stream."""

    stream: StreamName


class SnapshotPart(Message, tag=10):
    """Carries one part of a snapshot; an empty ``state`` means there is no snapshot."""

    stream: StreamName
    digest: str  # of the whole snapshot, so that parts of two are never mixed
    number: int  # index of the part, from 0
    count: int  # number of parts
    state: bytes


class GroupReadiness(msgspec.Struct, frozen=True, array_like=True):
    """The version of a group whose readiness a watcher determined."""

    group: GroupId
    fence: Fence
    changed: Offset  # offset of the group's last change in the watcher's state


class ReadinessChange(Message, tag=11):
    """Changes a watcher's readiness set from ``base`` to ``number``.

    A ``base`` of 0 replaces the whole set, including the groups with missing members.
    """

    number: int
    base: int
    ready: tuple[GroupReadiness, ...] = ()  # all members were found
    missing: tuple[GroupReadiness, ...] = ()  # a member was found missing
    dropped: tuple[GroupId, ...] = ()  # no longer watched by the sender


class ReadinessRequest(Message, tag=12):
    """Requests the whole readiness set of a watcher."""


class CallBegin(Message, tag=13):
    """Requests that a shard's holder append the intent of a call of the sender."""

    shard: ShardNumber
    key: CallKey
    digest: str
    application: ApplicationName
    attempt: str


class CallReply(Message, tag=14):
    """Answers `CallBegin` with the call as recorded in the holder's state."""

    key: CallKey
    attempt: str
    owner: EntryId  # empty when the key is too old
    owner_attempt: str
    digest: str
    offset: Offset
    outcome: str | None = None
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class CallFinish(Message, tag=15):
    """Requests that a shard's holder append the outcome of a call of the sender."""

    shard: ShardNumber
    key: CallKey
    attempt: str
    outcome: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    settled: bool = False


class CallFinished(Message, tag=16):
    """Confirms that the outcome of a `CallFinish` is in the holder's state."""

    key: CallKey
    attempt: str
    offset: Offset


class CustomerRate(msgspec.Struct, frozen=True, array_like=True):
    """Demand of the callers of one customer on one entry, in units per second."""

    customer: CustomerName
    rate: float


class Demand(Message, tag=17):
    """Reports the demand on the sender by customer, for limits that entries share."""

    requests: tuple[CustomerRate, ...] = ()
    tokens: tuple[CustomerRate, ...] = ()


class HeadStatus(msgspec.Struct, frozen=True, array_like=True):
    """A serving group as seen by the entry that holds its domain's lease."""

    instance: InstanceId  # the head of the group
    group: GroupId
    epoch: int
    model: ModelName
    load: int = NO_LOAD  # running and waiting requests in its last report
    pace: float = 1.0  # factor on its usual times by its slowest member; slow above 1
    age_ms: int = 0  # of the state that ``load`` shows, when the sender wrote this
    # In the same state, tokens that the head cannot give up, and its memory in tokens.
    # A memory of 0 is unknown.
    used_tokens: int = 0
    memory_tokens: int = 0


class FeedPosition(msgspec.Struct, frozen=True, array_like=True):
    """How far the sender has read a feed of the store.

    ``records`` are all records at offsets ``since <= offset < upto`` that concern
    other entries, as offset, key and value; the value is ``None`` for a deleted key.
    """

    feed: str
    since: Offset
    upto: Offset
    records: tuple[tuple[Offset, str, bytes | None], ...] = ()
    age_ms: int = 0  # since the sender last knew that the store had no newer record
    era: int = 0  # of the store in which the offsets are valid


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of a key under which instances crash."""

    key: str  # a part of prompts, or the fingerprint of a request
    crashes: dict[int, int]  # age in ms by the life of the instance, a number
    success_age_ms: int = -1  # of the latest success under the key; -1 without one


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """How many requests an instance takes from all entries, as its answers say."""

    instance: InstanceId
    born_ms: int  # start of the life of the instance, Unix time
    rate: float | None  # requests per second; None after an answer that named no limit
    # Since the answer that named it; without one, since the request was sent.
    age_ms: int


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """What ``source`` found out about a subject, for a limited time.

    Of two with the same kind and subject, that of the higher (version, source) holds.
    """

    kind: str
    subject: str
    value: float
    version: int  # Unix time in ms, or one more than that of the fact it replaces
    source: EntryId
    ttl_ms: int  # left to live when it was sent


class StatusUpdate(Message, tag=18):
    """Reports the sender's requests in progress, suspects and serving groups."""

    loads: dict[InstanceId, int] = {}  # requests in progress
    suspects: tuple[InstanceId, ...] = ()
    traffic: bool = False  # whether it has ever received a request
    store_lost: bool = False  # whether the platform's store does not answer the sender
    heads: tuple[HeadStatus, ...] = ()  # in the domains whose leases the sender holds
    relay: bool = False  # whether the sender reads the store itself and may hold leases
    positions: tuple[FeedPosition, ...] = ()
    crashes: tuple[CrashReport, ...] = ()  # what the others do not know yet
    limits: tuple[LimitReport, ...] = ()  # that began or ended since the last update
    # Lives of instances that went on after they were taken to have crashed, by the age
    # in ms of what proves it.
    alive: dict[int, int] = {}
    cut_off: tuple[ApplicationName, ...] = ()  # services that it does not reach
    # Start in Unix ms of the lives of instances that said in answers that they leave.
    leaving: dict[InstanceId, int] = {}
    facts: tuple[Fact, ...] = ()  # that the others may not know yet


class PermitRequest(Message, tag=19):
    """Requests a permit to send one request to an instance that named a limit."""

    number: int  # of the request for a permit, unique at its sender
    limit: LimitReport  # as the sender knows it
    cold_per_s: float = 0.0  # requests per second that the instance takes while cold
    cold_ms: int = 0  # how much longer it is cold, as far as the sender knows


class PermitReply(Message, tag=20):
    """Answers `PermitRequest`; an unused permit is lost."""

    number: int
    granted: bool
    wait_ms: int  # until the sender may ask again
    limit: LimitReport  # as the owner of the instance's limit knows it
    cold_ms: int = 0  # how much longer the instance is cold, as the owner knows


class ForwardedRequest(Message, tag=21):
    """Describes a request that the sender received from a caller and passes on.

    It travels in a header of the request. The sender has decided on route and customer.
    """

    attempt: str  # of the caller
    route: str
    kind: str  # how the request may be retried and is answered
    service: ApplicationName
    customer: CustomerName | None
    priority: int
    config: int  # version of the sender's configuration
    left_ms: int  # until the deadline of the caller
    timeout_ms: int  # until the request times out
    objective_ms: int
    gap_objective_ms: int
    spent_ms: int  # by the caller in earlier attempts
    resumable: bool
    max_runs: int  # instances that may still run it
    is_counted: bool  # whether it is in the sender's retry budget


AnyMessage = (
    Hello
    | Welcome
    | Heartbeat
    | Suspicion
    | Broadcast
    | RecordsRequest
    | RecordsReply
    | SnapshotRequest
    | SnapshotPart
    | ReadinessChange
    | ReadinessRequest
    | CallBegin
    | CallReply
    | CallFinish
    | CallFinished
    | Demand
    | StatusUpdate
    | PermitRequest
    | PermitReply
    | ForwardedRequest
)
