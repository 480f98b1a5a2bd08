"""Records of the log: what entries and pipelines append.

A record is one append; it carries one or more items by one author. Each item is
a proposal that the fold accepts or rejects at the record's offset.
"""

import msgspec

from citronpin.basics.decodings import bounded
from citronpin.basics.ids import (
    NO_OFFSET,
    AdapterName,
    ApplicationName,
    CallKey,
    DeploymentName,
    EntryId,
    Fence,
    GroupId,
    InstanceId,
    ModelName,
    Offset,
    RecordId,
    Version,
    WriterId,
)
from citronpin.state.manifests import Manifest

FORMAT_VERSION = 1
MAX_RECORD_BYTES = 256 * 1024


class Item(msgspec.Struct, frozen=True, array_like=True):
    """Base of the items of a record."""


class ScopeChange(msgspec.Struct, frozen=True, array_like=True):
    """A manifest for one scope; ``None`` removes the scope.

    ``base`` is the offset at which the scope's manifest that the author saw took
    effect, or ``NO_OFFSET`` for a scope that did not exist.
    """

    scope: str
    base: Offset
    manifest: Manifest | None


class ConfigChange(Item, tag="config"):
    """Changes scopes together: all of them take effect or none."""

    changes: tuple[ScopeChange, ...]
    author: str = ""


class ConfigPart(Item, tag="config-part"):
    """One part of a change that is too large for a single record."""

    change: RecordId
    number: int
    count: int
    changes: tuple[ScopeChange, ...]
    author: str = ""


class LeaseClaim(Item, tag="lease"):
    """Claims the stream's lease; the first claim that supersedes it wins.

    The fencing number of the new lease is the offset of the claim's record.
    """

    supersedes: Fence  # NO_OFFSET when the stream had no lease


class LeaseYield(Item, tag="lease-yield"):
    """Gives up the stream's lease; the next claim supersedes the same fence."""

    fence: Fence


class GroupForm(Item, tag="form"):
    """Assigns free instances to a new group."""

    fence: Fence
    group: GroupId
    deployment: DeploymentName
    members: tuple[InstanceId, ...]  # the first one leads
    model: ModelName
    version: Version
    adapters: tuple[AdapterName, ...] = ()


class GroupMove(Item, tag="move"):
    """Moves a group to another state of its transition table."""

    fence: Fence
    group: GroupId
    state: str  # value of states.GroupState
    reason: str = ""
    base: Offset | None = None  # the group's last change that the author saw


class GroupReplace(Item, tag="replace"):
    """Replaces members of a group that is not serving."""

    fence: Fence
    group: GroupId
    leaving: tuple[InstanceId, ...]
    joining: tuple[InstanceId, ...]
    base: Offset | None = None  # the group's last change that the author saw


class GroupReload(Item, tag="reload"):
    """Sets the version and adapters of a group that is not serving."""

    fence: Fence
    group: GroupId
    model: ModelName
    version: Version
    adapters: tuple[AdapterName, ...] = ()
    base: Offset | None = None  # the group's last change that the author saw


class GroupRelease(Item, tag="release"):
    """Ends a group and frees its instances."""

    fence: Fence
    group: GroupId
    base: Offset | None = None  # the group's last change that the author saw


class InstanceBar(Item, tag="bar"):
    """Bars an instance from assignment, or lifts the bar."""

    fence: Fence
    instance: InstanceId
    barred: bool
    reason: str = ""


class CallIntent(Item, tag="intent"):
    """Asks to own a non-repeatable call; the first intent for a key owns it.

    ``owner`` is the entry that will dispatch, which may differ from the author
    of the record, since the shard's holder appends for others.
    """

    key: CallKey
    digest: str  # of method, path and body
    owner: EntryId
    application: ApplicationName
    attempt: str = ""  # id of the caller's try; tells two tries of one owner apart


class CallOutcome(Item, tag="outcome"):
    """What became of a call, by its owner or, if ``settled``, by a look-up call."""

    key: CallKey
    owner: EntryId
    outcome: str  # value of errors.Outcome
    status: int = 0  # HTTP status; 0 when there is no answer
    content_type: str = ""
    body: bytes = b""
    attempt: str = ""
    settled: bool = False


class CallPurge(Item, tag="purge"):
    """Forgets calls whose keys are older than ``floor_ms``; such keys stay refused."""

    fence: Fence
    floor_ms: int  # milliseconds since the Unix epoch


class EntryNote(Item, tag="entry"):
    """Announces an entry's address on the configuration stream, or its leave."""

    entry: EntryId
    peer_address: str  # tcp://IP:PORT
    failure_domain: str
    leaving: bool = False


class Checkpoint(Item, tag="checkpoint"):
    """One part of the folded state up to ``state_offset``, with its digest."""

    state_offset: Offset
    digest: str
    number: int
    count: int
    state: bytes


class DigestMark(Item, tag="digest"):
    """States the digest of the stream's fold up to ``state_offset``."""

    state_offset: Offset
    digest: str


AnyItem = (
    ConfigChange
    | ConfigPart
    | LeaseClaim
    | LeaseYield
    | GroupForm
    | GroupMove
    | GroupReplace
    | GroupReload
    | GroupRelease
    | InstanceBar
    | CallIntent
    | CallOutcome
    | CallPurge
    | EntryNote
    | Checkpoint
    | DigestMark
)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One append to a stream.

    ``writer`` names one run of its author's process and ``sequence`` rises from
    one with each record that this run appends to the stream; ``base`` is the last
    offset that the writer had folded. A record with a sequence that was passed
    already, or that is folded long after its base, changes nothing: so an append
    that lands late or twice has no effect. Sequence 0 asks for no such rule.
    """

    format: int
    id: RecordId
    author: EntryId
    wall_ms: int  # informative; no rule depends on it
    items: tuple[AnyItem, ...]
    writer: WriterId = WriterId("")
    sequence: int = 0
    base: Offset = NO_OFFSET


def encode_record(record: Record) -> bytes:
    """Return the MessagePack form of a record."""
    return msgspec.msgpack.encode(record)


_decode = bounded(msgspec.msgpack.Decoder(Record).decode)


def decode_record(payload: bytes) -> Record:
    """Return the record of a payload; raises `msgspec.MsgspecError`."""
    return _decode(payload)
