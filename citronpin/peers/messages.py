"""Typed messages between entries."""

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

NO_STAMP = -1
NO_LOAD = -1


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of the messages."""


class Hello(Message, tag=1):
    """Introduces the sender, whose address the receiver may not know."""

    address: str  # tcp://IP:PORT
    number: int  # higher than those of broadcasts before the sender's start


class Welcome(Message, tag=2):
    """Answers `Hello` with the entries that the sender knows."""

    addresses: dict[EntryId, str]


class Heartbeat(Message, tag=3):
    """A heartbeat of an exchange of three: open, answer, close.

    ``stamp`` is the sender's clock when it sent the beat; ``echo`` is the stamp of
    the beat that this one answers.
    """

    stamp: int  # milliseconds of the sender's clock; NO_STAMP wants no answer
    echo: int = NO_STAMP
    lease: int = 0  # number of the readiness set that is renewed; 0 for none
    age_ms: int = 0  # of the oldest probe that the readiness set rests on
    offsets: dict[StreamName, Offset] = {}  # those that rose since the last beat


class Suspicion(Message, tag=5):
    """What an entry thinks of a neighbour, passed on from entry to entry."""

    by: EntryId
    number: int  # rises with each suspicion of ``by``
    subject: EntryId
    dead: bool


class Broadcast(Message, tag=6):
    """A payload for every entry, passed on from entry to entry."""

    origin: EntryId
    number: int  # rises with each broadcast of ``origin``
    topic: str
    payload: bytes


class RecordsRequest(Message, tag=7):
    """Asks for the records of a stream from an offset."""

    stream: StreamName
    start: Offset


class RecordsReply(Message, tag=8):
    """Records that the sender kept, in order."""

    stream: StreamName
    records: tuple[tuple[Offset, bytes], ...]


class SnapshotRequest(Message, tag=9):
    """Asks for the folded state of a stream."""

    stream: StreamName


class SnapshotPart(Message, tag=10):
    """One part of a folded state; an empty state means that there is none."""

    stream: StreamName
    digest: str  # of the whole, so that parts of two states are never mixed
    number: int
    count: int
    state: bytes


class GroupReadiness(msgspec.Struct, frozen=True, array_like=True):
    """A group whose members a watcher found complete."""

    group: GroupId
    fence: Fence
    changed: Offset  # offset of the group's last change in the watcher's fold


class ReadinessChange(Message, tag=11):
    """Changes a watcher's readiness set from ``base`` to ``number``.

    ``base`` 0 replaces the whole set, the groups reported missing included.
    """

    number: int
    base: int
    ready: tuple[GroupReadiness, ...] = ()
    missing: tuple[GroupReadiness, ...] = ()  # a member was found missing
    dropped: tuple[GroupId, ...] = ()  # no longer watched by the sender


class ReadinessRequest(Message, tag=12):
    """Asks a watcher for its whole readiness set."""


class CallBegin(Message, tag=13):
    """Asks a shard's holder to append the intent of a call of the sender."""

    shard: ShardNumber
    key: CallKey
    digest: str
    application: ApplicationName
    attempt: str


class CallReply(Message, tag=14):
    """Answers `CallBegin` with the call as the holder's fold has it."""

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
    """Asks a shard's holder to append the outcome of a call of the sender."""

    shard: ShardNumber
    key: CallKey
    attempt: str
    outcome: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    settled: bool = False


class CallFinished(Message, tag=16):
    """The outcome of `CallFinish` was folded."""

    key: CallKey
    attempt: str
    offset: Offset


class CustomerRate(msgspec.Struct, frozen=True, array_like=True):
    """Units a second that the callers of a customer asked of one entry."""

    customer: CustomerName
    rate: float


class Demand(Message, tag=17):
    """What callers ask of the sender, for limits that entries share."""

    requests: tuple[CustomerRate, ...] = ()
    tokens: tuple[CustomerRate, ...] = ()


class HeadStatus(msgspec.Struct, frozen=True, array_like=True):
    """A group that serves, as the entry found it that decides on its domain."""

    instance: InstanceId  # the head
    group: GroupId
    epoch: int
    model: ModelName
    load: int = NO_LOAD  # requests that it reported last, running and waiting
    pace: float = 1.0  # factor on its times by the slowest member, above 1 when slow


class FeedPosition(msgspec.Struct, frozen=True, array_like=True):
    """How far the sender has read a feed of the store.

    ``records`` are all of those in the offsets ``since <= offset < upto`` that matter
    to other entries, each with its key and its value, or none where the key is dropped.
    """

    feed: str
    since: Offset
    upto: Offset
    records: tuple[tuple[Offset, str, bytes | None], ...] = ()


class StatusUpdate(Message, tag=18):
    """What the sender has in progress, whom it suspects, which groups serve."""

    loads: dict[InstanceId, int] = {}
    suspects: tuple[InstanceId, ...] = ()
    traffic: bool = False  # whether it has ever taken a request
    store_lost: bool = False  # whether the platform's store does not answer it
    heads: tuple[HeadStatus, ...] = ()  # in the domains whose leases it holds
    relay: bool = False  # whether it reads the store itself and may hold leases
    positions: tuple[FeedPosition, ...] = ()


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
)
