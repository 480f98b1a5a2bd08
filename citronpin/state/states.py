"""The folded state: what the records of a stream have decided so far."""

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
    """States of a group; see ``GROUP_TRANSITIONS``."""

    FORMING = "forming"  # assigned; orders and read-back are under way
    SERVING = "serving"  # read back; may get requests
    BROKEN = "broken"  # a member is missing; gets nothing
    DRAINING = "draining"  # finishes what it has, gets nothing new
    RELOADING = "reloading"  # drained; loads a version or adapters
    RELEASING = "releasing"  # drained; members are told to let go


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
    """Who decides for a stream, and under which fencing number."""

    holder: EntryId
    fence: Fence


NO_LEASE = Lease(holder=EntryId(""), fence=Fence(NO_OFFSET))


class AcceptedManifest(msgspec.Struct, frozen=True):
    """A manifest and the offset at which it took effect."""

    offset: Offset
    manifest: Manifest


class KnownEntry(msgspec.Struct, frozen=True):
    """An entry that announced itself on the configuration stream."""

    peer_address: str
    failure_domain: str
    offset: Offset


class Group(msgspec.Struct, frozen=True):
    """A group as the log has it."""

    id: GroupId
    deployment: DeploymentName
    members: tuple[InstanceId, ...]
    model: ModelName
    version: Version
    adapters: tuple[AdapterName, ...]
    state: GroupState
    fence: Fence  # of the lease under which its assignment last changed
    changed: Offset  # offset of its last change
    reason: str = ""


class Call(msgspec.Struct, frozen=True):
    """A non-repeatable call as the log has it."""

    key: CallKey
    digest: str
    owner: EntryId
    application: ApplicationName
    attempt: str
    offset: Offset
    outcome: str | None = None
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """The latest record of one writer on a stream."""

    sequence: int
    offset: Offset


class StreamState(msgspec.Struct, frozen=True):
    """What every folded stream has."""

    offset: Offset = NO_OFFSET  # of the last folded record
    lease: Lease = NO_LEASE
    writers: Map = Map()  # WriterId -> Progress


class ConfigState(StreamState, frozen=True):
    """Fold of the configuration stream."""

    manifests: Map = Map()  # scope -> AcceptedManifest
    bases: Map = Map()  # removed scope -> offset of the removal
    entries: Map = Map()  # EntryId -> KnownEntry
    parts: Map = Map()  # RecordId of a change -> its parts so far

    def deployments(self) -> dict[DeploymentName, Manifest]:
        """Return the deployments by name."""
        return self._of("deployment/")

    def applications(self) -> dict[ApplicationName, Manifest]:
        """Return the applications by name."""
        return self._of("application/")

    def customer_sets(self) -> dict[str, Manifest]:
        """Return the sets of customers by name."""
        return self._of("customers/")

    def _of(self, prefix: str) -> dict:
        return {
            accepted.manifest.name: accepted.manifest
            for scope, accepted in sorted(self.manifests.items())
            if scope.startswith(prefix)
        }


class ControlState(StreamState, frozen=True):
    """Fold of the control stream of one fabric domain."""

    groups: Map = Map()  # GroupId -> Group
    assigned: Map = Map()  # InstanceId -> GroupId
    barred: Map = Map()  # InstanceId -> reason


class CallsState(StreamState, frozen=True):
    """Fold of one shard of non-repeatable calls."""

    calls: Map = Map()  # CallKey -> Call
    floor_ms: int = 0  # keys older than this are refused
    stored_bytes: int = 0  # of the bodies of outcomes


class Verdict(msgspec.Struct, frozen=True):
    """What the fold decided on one item of a record."""

    offset: Offset
    record: RecordId
    number: int  # index of the item in its record
    accepted: bool
    reason: str = ""
