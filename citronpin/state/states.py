"""Folded states: the result of applying the records of a stream in order."""

from enum import Enum

import msgspec
from immutables import Map

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
)
from citronpin.state.manifests import Manifest


class GroupState(Enum):
    """Lifecycle state of a group; ``GROUP_TRANSITIONS`` lists the allowed changes."""

    FORMING = "forming"  # members assigned, not all confirmed yet
    SERVING = "serving"  # all members confirmed; may get requests
    BROKEN = "broken"  # a member is missing; gets no requests
    DRAINING = "draining"  # finishes its requests, gets no new ones
    RELOADING = "reloading"  # drained; loads another version or adapters
    RELEASING = "releasing"  # its members are ordered to leave it


GROUP_TRANSITIONS: dict[GroupState, frozenset[GroupState]] = {
    GroupState.FORMING: frozenset(
        {GroupState.SERVING, GroupState.BROKEN, GroupState.RELEASING}
    ),
    GroupState.SERVING: frozenset({GroupState.BROKEN, GroupState.DRAINING}),
    GroupState.BROKEN: frozenset({GroupState.FORMING, GroupState.RELEASING}),
    GroupState.DRAINING: frozenset(
        {GroupState.BROKEN, GroupState.RELOADING, GroupState.RELEASING}
    ),
    GroupState.RELOADING: frozenset(
        {GroupState.FORMING, GroupState.BROKEN, GroupState.RELEASING}
    ),
    GroupState.RELEASING: frozenset(),
}


class Lease(msgspec.Struct, frozen=True):
    """The entry that decides for a stream, and the fencing number of its lease."""

    holder: EntryId
    fence: Fence


NO_LEASE = Lease(holder=EntryId(""), fence=Fence(NO_OFFSET))


class AcceptedManifest(msgspec.Struct, frozen=True):
    """A manifest and the offset of the record that put it into effect."""

    offset: Offset
    manifest: Manifest


class AnnouncedEntry(msgspec.Struct, frozen=True):
    """Address and failure domain that an entry announced at ``offset``."""

    peer_address: str  # tcp://IP:PORT
    failure_domain: str
    offset: Offset


class Group(msgspec.Struct, frozen=True):
    """A group: its members, what it serves and its lifecycle state."""

    id: GroupId
    deployment: DeploymentName
    members: tuple[InstanceId, ...]
    model: ModelName
    version: Version
    adapters: tuple[AdapterName, ...]
    state: GroupState
    fence: Fence  # of the lease under which it last became FORMING
    changed: Offset  # offset of the last record that changed the group
    reason: str = ""


class Call(msgspec.Struct, frozen=True):
    """A non-repeatable call: its owner and, once known, its outcome."""

    key: CallKey
    digest: str  # of method, path and body
    owner: EntryId
    application: ApplicationName
    attempt: str  # id of the caller's attempt
    offset: Offset  # of the intent
    outcome: str | None = None  # value of errors.Outcome; None while open
    status: int = 0  # HTTP status; 0 when there is no answer
    content_type: str = ""
    body: bytes = b""


class WriterProgress(msgspec.Struct, frozen=True, array_like=True):
    """Sequence number and offset of the last record of a writer on a stream."""

    sequence: int
    offset: Offset


class StreamState(msgspec.Struct, frozen=True):
    """Fields that the folded states of all streams share."""

    offset: Offset = NO_OFFSET  # of the last folded record
    lease: Lease = NO_LEASE
    writers: Map = Map()  # WriterId -> WriterProgress


class ConfigState(StreamState, frozen=True):
    """Folded state of the configuration stream."""

    manifests: Map = Map()  # scope -> AcceptedManifest
    bases: Map = Map()  # removed scope -> offset of the removal
    entries: Map = Map()  # EntryId -> AnnouncedEntry
    parts: Map = Map()  # RecordId of an incomplete change -> parts received

    def deployments(self) -> dict[DeploymentName, Manifest]:
        """Return the deployment manifests by name."""
        return self._manifests_by_name("deployment/")

    def applications(self) -> dict[ApplicationName, Manifest]:
        """Return the application manifests by name."""
        return self._manifests_by_name("application/")

    def customer_sets(self) -> dict[str, Manifest]:
        """Return the customer manifests by name of the set."""
        return self._manifests_by_name("customers/")

    def _manifests_by_name(self, prefix: str) -> dict:
        return {
            accepted.manifest.name: accepted.manifest
            for scope, accepted in sorted(self.manifests.items())
            if scope.startswith(prefix)
        }


class ControlState(StreamState, frozen=True):
    """Folded state of the control stream of one fabric domain."""

    groups: Map = Map()  # GroupId -> Group
    assigned: Map = Map()  # InstanceId -> GroupId
    barred: Map = Map()  # InstanceId -> why it must not be assigned


class CallsState(StreamState, frozen=True):
    """Folded state of one shard of non-repeatable calls."""

    calls: Map = Map()  # CallKey -> Call
    floor_ms: int = 0  # Unix time; older keys are rejected
    stored_bytes: int = 0  # total size of the stored response bodies


class Verdict(msgspec.Struct, frozen=True):
    """Whether the fold accepted one item of a record, and if not, why."""

    offset: Offset
    record: RecordId
    number: int  # index of the item in its record
    accepted: bool
    reason: str = ""
