"""Log records that entries and build pipelines append.

A record is one append with one or more items by one author. Each item is a proposal
that the fold accepts or rejects at the record's offset.
"""

import msgspec

from citronpin.basics.decodings import guard_recursion
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
    """Base class of the items of a record."""


class ScopeChange(msgspec.Struct, frozen=True, array_like=True):
    """Sets the manifest of one scope; ``None`` removes the scope.

    ``base`` is the offset at which the version of the scope that the author read took
    effect, or ``NO_OFFSET`` if the scope did not exist. The fold rejects the change
    when the scope has changed since.
    """

    scope: str
    base: Offset
    manifest: Manifest | None


class ConfigChange(Item, tag="config"):
    """Changes several scopes atomically."""

    changes: tuple[ScopeChange, ...]
    author: str = ""


class ConfigPart(Item, tag="config-part"):
    """One part of a change that does not fit into a single record.

    The change takes effect when the last of its ``count`` parts is folded.
    """

    change: RecordId
    number: int  # from 0
    count: int
    changes: tuple[ScopeChange, ...]
    author: str = ""


class LeaseClaim(Item, tag="lease"):
    """Claims the lease of a stream.

    The first claim that names the fence of the current lease wins. The fence of the
    new lease is the offset of the claim's record.
    """

    supersedes: Fence  # fence of the current lease; NO_OFFSET if none


class LeaseYield(Item, tag="lease-yield"):
    """Releases the lease of a stream; the next claim names the same fence."""

    fence: Fence


class GroupForm(Item, tag="form"):
    """Creates a group from unassigned instances."""

    fence: Fence
    group: GroupId
    deployment: DeploymentName
    members: tuple[InstanceId, ...]  # the first one is the leader
    model: ModelName
    version: Version
    adapters: tuple[AdapterName, ...] = ()


class GroupMove(Item, tag="move"):
    """Changes the state of a group as ``GROUP_TRANSITIONS`` allows."""

    fence: Fence
    group: GroupId
    state: str  # value of states.GroupState
    reason: str = ""
    base: Offset | None = None  # group's last change read; None: not checked


class GroupReplace(Item, tag="replace"):
    """Replaces members of a broken group."""

    fence: Fence
    group: GroupId
    leaving: tuple[InstanceId, ...]
    joining: tuple[InstanceId, ...]
    base: Offset | None = None  # group's last change read; None: not checked


class GroupReload(Item, tag="reload"):
    """Sets the model, version and adapters of a reloading group."""

    fence: Fence
    group: GroupId
    model: ModelName
    version: Version
    adapters: tuple[AdapterName, ...] = ()
    base: Offset | None = None  # group's last change read; None: not checked


class GroupRelease(Item, tag="release"):
    """Removes a releasing group and unassigns its instances."""

    fence: Fence
    group: GroupId
    base: Offset | None = None  # group's last change read; None: not checked


class InstanceBar(Item, tag="bar"):
    """Bars an instance from assignment to groups, or lifts the bar."""

    fence: Fence
    instance: InstanceId
    barred: bool
    reason: str = ""


class CallIntent(Item, tag="intent"):
    """Claims ownership of a non-repeatable call; the first intent for a key wins.

    A call whose outcome is that it was not run may be claimed again. ``owner`` is the
    entry that dispatches the call. It may differ from the author of the record, since
    the holder of the shard appends for other entries.
    """

    key: CallKey
    digest: str  # of method, path and body
    owner: EntryId
    application: ApplicationName
    attempt: str = ""  # id of the caller's attempt; tells apart two by one owner


class CallOutcome(Item, tag="outcome"):
    """Reports the outcome of a call.

    The owner of the call reports it, or, with ``settled``, any entry that learned from
    a look-up call that the call has run.
    """

    key: CallKey
    owner: EntryId
    outcome: str  # value of errors.Outcome
    status: int = 0  # HTTP status; 0 when there is no answer
    content_type: str = ""
    body: bytes = b""
    attempt: str = ""
    settled: bool = False


class CallPurge(Item, tag="purge"):
    """Deletes calls whose keys are older than ``floor_ms``, and rejects such keys."""

    fence: Fence
    floor_ms: int  # milliseconds since the Unix epoch


class EntryNote(Item, tag="entry"):
    """Announces the address of an entry, or that the entry is leaving."""

    entry: EntryId
    peer_address: str  # tcp://IP:PORT
    failure_domain: str
    leaving: bool = False


class Checkpoint(Item, tag="checkpoint"):
    """One chunk of an encoded state.

    ``state_offset`` is the offset of the last record in the state; ``digest`` is that
    of the whole encoded state.
    """

    state_offset: Offset
    digest: str
    number: int  # of this chunk, from 0
    count: int
    state: bytes


class DigestMark(Item, tag="digest"):
    """Publishes the digest of the stream's state after ``state_offset``."""

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

    ``writer`` identifies one run of the author's process. ``sequence`` starts at one
    and increases with each record of this run on the stream. ``base`` is the last
    offset that the writer had folded. The fold ignores a record whose sequence number
    is not above the last one of its writer, or whose base is too far back, so that a
    late or duplicated append has no effect. A record with sequence 0 is not checked.
    """

    format: int
    id: RecordId
    author: EntryId
    wall_ms: int  # Unix time of the author; the folds ignore it
    items: tuple[AnyItem, ...]
    writer: WriterId = WriterId("")
    sequence: int = 0
    base: Offset = NO_OFFSET


def encode_record(record: Record) -> bytes:
    """Return the MessagePack form of a record."""
    return msgspec.msgpack.encode(record)


_decode = guard_recursion(msgspec.msgpack.Decoder(Record).decode)


def decode_record(payload: bytes) -> Record:
    """Return the record in a payload; raise `msgspec.MsgspecError` if malformed."""
    return _decode(payload)
