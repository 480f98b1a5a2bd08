"""Folds: pure functions from a state and a record to the next state.

Every entry folds the same records in the same order, so all agree on what was
accepted. A fold looks at nothing but the state and the record.
"""

import logging
from abc import ABC, abstractmethod

import msgspec
import xxhash
from immutables import Map

from citronpin import records
from citronpin.errors import Outcome
from citronpin.ids import NO_OFFSET, EntryId, Offset, StreamName
from citronpin.manifests import scope_of
from citronpin.records import Record
from citronpin.states import (
    GROUP_TRANSITIONS,
    AcceptedManifest,
    Call,
    CallsState,
    ConfigState,
    ControlState,
    Group,
    GroupState,
    KnownEntry,
    Lease,
    Progress,
    StreamState,
    Verdict,
)

logger = logging.getLogger(__name__)

MAX_OUTCOME_BYTES = 64 * 1024
MAX_PENDING_CHANGES = 64
WRITER_WINDOW = 65_536  # records after its base within which a record counts
WRITER_SWEEP = 1_024  # records between removals of writers that fell silent


class Rejected(Exception):
    """An item that the rules do not admit; the message tells its author why."""


class Fold(ABC):
    """Rules of one kind of stream."""

    @abstractmethod
    def empty(self) -> StreamState:
        """Return the state before the first record."""

    @abstractmethod
    def accept(self, state, offset: Offset, record: Record, item):
        """Return the state after ``item``, or raise `Rejected`."""

    def apply(
        self, state: StreamState, offset: Offset, record: Record
    ) -> tuple[StreamState, list[Verdict]]:
        """Return the state after ``record`` and a verdict for each of its items."""
        late = late_reason(state, offset, record)
        if late:
            return self.skip(state, offset), [
                Verdict(offset, record.id, number, False, late)
                for number in range(len(record.items))
            ]
        state = _admit(state, offset, record)
        verdicts = []
        for number, item in enumerate(record.items):
            reason = ""
            try:
                state = self._accept(state, offset, record, item)
            except Rejected as exc:
                reason = str(exc)
            verdicts.append(Verdict(offset, record.id, number, not reason, reason))
        return msgspec.structs.replace(state, offset=offset), verdicts

    def skip(self, state: StreamState, offset: Offset) -> StreamState:
        """Return the state after a record that changes nothing."""
        return msgspec.structs.replace(state, offset=offset)

    def _accept(self, state, offset: Offset, record: Record, item):
        if isinstance(item, (records.Checkpoint, records.DigestMark)):
            return state
        if isinstance(item, records.LeaseClaim):
            return _claim(state, offset, record, item)
        if isinstance(item, records.LeaseYield):
            return _yield_lease(state, record, item)
        return self.accept(state, offset, record, item)


def late_reason(state: StreamState, offset: Offset, record: Record) -> str:
    """Return why a record landed too late or twice, or an empty text."""
    if not record.sequence:
        return ""
    known = state.writers.get(record.writer)
    if known is not None and record.sequence <= known.sequence:
        return "A later record of the same writer stands before this one."
    if offset - record.base > WRITER_WINDOW:
        return f"The record was written from offset {record.base}, too long ago."
    return ""


def _admit(state, offset: Offset, record: Record):
    writers = state.writers
    if record.sequence:
        writers = writers.set(record.writer, Progress(record.sequence, offset))
    if offset % WRITER_SWEEP == 0:
        for writer, known in state.writers.items():
            if offset - known.offset > WRITER_WINDOW and writer != record.writer:
                writers = writers.delete(writer)
    return msgspec.structs.replace(state, writers=writers)


def _claim(state, offset: Offset, record: Record, item: records.LeaseClaim):
    if item.supersedes != state.lease.fence:
        raise Rejected(
            f"The lease with fence {item.supersedes} was superseded by "
            f"{state.lease.fence}; claim that one."
        )
    lease = Lease(holder=record.author, fence=offset)
    return msgspec.structs.replace(state, lease=lease)


def _yield_lease(state, record: Record, item: records.LeaseYield):
    _check_fence(state, record, item.fence)
    lease = Lease(holder=EntryId(""), fence=item.fence)
    return msgspec.structs.replace(state, lease=lease)


def _check_fence(state, record: Record, fence) -> None:
    if fence != state.lease.fence:
        raise Rejected(f"Fence {fence} is not current; it is {state.lease.fence}.")
    if record.author != state.lease.holder:
        raise Rejected(f"The lease is held by {state.lease.holder}.")


def _unknown(item) -> Rejected:
    return Rejected(f"{type(item).__name__} does not belong on this stream.")


class ConfigFold(Fold):
    """Manifests and the entries' announcements."""

    def empty(self) -> ConfigState:
        return ConfigState()

    def accept(self, state, offset, record, item):
        if isinstance(item, records.ConfigChange):
            return self._change(state, offset, item.changes)
        if isinstance(item, records.ConfigPart):
            return self._part(state, offset, record, item)
        if isinstance(item, records.EntryNote):
            return self._entry(state, offset, item)
        raise _unknown(item)

    def _change(self, state, offset, changes):
        if not changes:
            raise Rejected("The change is empty; name at least one scope.")
        scopes = [change.scope for change in changes]
        if len(set(scopes)) != len(scopes):
            raise Rejected("A scope is named twice; merge its manifests.")
        for change in changes:
            self._check_change(state, change)
        manifests, bases = state.manifests, state.bases
        for change in changes:
            if change.manifest is None:
                manifests = manifests.delete(change.scope)
                bases = bases.set(change.scope, offset)
            else:
                accepted = AcceptedManifest(offset=offset, manifest=change.manifest)
                manifests = manifests.set(change.scope, accepted)
        after = msgspec.structs.replace(state, manifests=manifests, bases=bases)
        self._check_whole(after)
        return after

    def _check_change(self, state, change: records.ScopeChange) -> None:
        current = scope_base(state, change.scope)
        if change.base != current:
            raise Rejected(
                f"{change.scope} was changed at offset {current}, but the change was "
                f"made from {change.base}; make it anew from {current}."
            )
        if change.manifest is None:
            if change.scope not in state.manifests:
                raise Rejected(f"{change.scope} does not exist; do not remove it.")
        elif scope_of(change.manifest) != change.scope:
            raise Rejected(
                f"{change.scope} holds a manifest of {scope_of(change.manifest)}."
            )

    def _check_whole(self, state: ConfigState) -> None:
        owners: dict[str, str] = {}
        names: set[str] = set()
        for manifest in state.customer_sets().values():
            for customer in manifest.customers:
                if customer.name in names:
                    raise Rejected(f"Customer {customer.name} is defined twice.")
                names.add(customer.name)
                for digest in customer.key_digests:
                    other = owners.setdefault(digest, customer.name)
                    if other != customer.name:
                        raise Rejected(
                            f"{customer.name} and {other} have a key in common; "
                            f"issue a new key to one of them."
                        )

    def _part(self, state, offset, record, item: records.ConfigPart):
        if not 0 <= item.number < item.count:
            raise Rejected("The part's number is out of range.")
        known = state.parts.get(item.change)
        parts = dict(known[1]) if known else {}
        if item.number in parts:
            raise Rejected("This part has been taken already.")
        if known and known[0] != (record.author, item.count):
            raise Rejected("The parts of a change differ in author or count.")
        parts[item.number] = item.changes
        if len(parts) < item.count:
            entry = ((record.author, item.count), tuple(sorted(parts.items())), offset)
            pending = self._bounded(state.parts).set(item.change, entry)
            return msgspec.structs.replace(state, parts=pending)
        changes = tuple(c for number in sorted(parts) for c in parts[number])
        rest = state.parts.delete(item.change) if known else state.parts
        return self._change(msgspec.structs.replace(state, parts=rest), offset, changes)

    def _bounded(self, parts: Map) -> Map:
        if len(parts) < MAX_PENDING_CHANGES:
            return parts
        oldest = min(parts, key=lambda change: (parts[change][2], change))
        return parts.delete(oldest)

    def _entry(self, state, offset, item: records.EntryNote):
        if item.leaving:
            if item.entry not in state.entries:
                raise Rejected("The entry is not known.")
            entries = state.entries.delete(item.entry)
        else:
            known = KnownEntry(
                peer_address=item.peer_address,
                failure_domain=item.failure_domain,
                offset=offset,
            )
            entries = state.entries.set(item.entry, known)
        return msgspec.structs.replace(state, entries=entries)


def scope_base(state: ConfigState, scope: str) -> Offset:
    """Return the offset that the next change of ``scope`` must name as its base."""
    if scope in state.manifests:
        return state.manifests[scope].offset
    return state.bases.get(scope, NO_OFFSET)


class ControlFold(Fold):
    """The lease of a fabric domain and the groups assigned under it."""

    def empty(self) -> ControlState:
        return ControlState()

    def accept(self, state, offset, record, item):
        rules = {
            records.GroupForm: self._form,
            records.GroupMove: self._move,
            records.GroupReplace: self._replace,
            records.GroupReload: self._reload,
            records.GroupRelease: self._release,
            records.InstanceBar: self._bar,
        }
        rule = rules.get(type(item))
        if rule is None:
            raise _unknown(item)
        _check_fence(state, record, item.fence)
        return rule(state, offset, item)

    def _form(self, state, offset, item: records.GroupForm):
        if item.group in state.groups:
            raise Rejected(f"Group {item.group} exists already.")
        self._check_free(state, item.members)
        group = Group(
            id=item.group,
            deployment=item.deployment,
            members=item.members,
            model=item.model,
            version=item.version,
            adapters=item.adapters,
            state=GroupState.FORMING,
            fence=item.fence,
            changed=offset,
        )
        return self._assign(self._put(state, group), group.id, item.members)

    def _check_free(self, state, members) -> None:
        if not members or len(set(members)) != len(members):
            raise Rejected("Members must be given, each once.")
        for member in members:
            if member in state.assigned:
                raise Rejected(f"{member} belongs to {state.assigned[member]}.")
            if member in state.barred:
                raise Rejected(f"{member} is barred: {state.barred[member]}.")

    def _move(self, state, offset, item: records.GroupMove):
        group = self._group(state, item)
        try:
            target = GroupState(item.state)
        except ValueError:
            raise Rejected(f"{item.state} is not a state of groups.") from None
        if target not in GROUP_TRANSITIONS[group.state]:
            raise Rejected(
                f"Group {group.id} cannot go from {group.state.value} to "
                f"{target.value}."
            )
        fence = item.fence if target is GroupState.FORMING else group.fence
        return self._put(
            state,
            msgspec.structs.replace(
                group, state=target, changed=offset, reason=item.reason, fence=fence
            ),
        )

    def _replace(self, state, offset, item: records.GroupReplace):
        group = self._group(state, item)
        self._check_state(group, GroupState.BROKEN)
        leaving = set(item.leaving)
        if not leaving <= set(group.members) or len(leaving) != len(item.joining):
            raise Rejected("Each leaving member needs one that joins in its place.")
        self._check_free(state, item.joining)
        joining = iter(item.joining)
        members = tuple(
            next(joining) if member in leaving else member for member in group.members
        )
        after = msgspec.structs.replace(
            group,
            members=members,
            state=GroupState.FORMING,
            fence=item.fence,
            changed=offset,
            reason="",
        )
        freed = self._free(self._put(state, after), item.leaving)
        return self._assign(freed, group.id, item.joining)

    def _reload(self, state, offset, item: records.GroupReload):
        group = self._group(state, item)
        self._check_state(group, GroupState.RELOADING)
        after = msgspec.structs.replace(
            group,
            model=item.model,
            version=item.version,
            adapters=item.adapters,
            changed=offset,
        )
        return self._put(state, after)

    def _release(self, state, offset, item: records.GroupRelease):
        group = self._group(state, item)
        self._check_state(group, GroupState.RELEASING)
        groups = state.groups.delete(group.id)
        freed = msgspec.structs.replace(state, groups=groups)
        return self._free(freed, group.members)

    def _bar(self, state, offset, item: records.InstanceBar):
        if not item.barred and item.instance not in state.barred:
            raise Rejected(f"{item.instance} is not barred.")
        if item.barred:
            barred = state.barred.set(item.instance, item.reason)
        else:
            barred = state.barred.delete(item.instance)
        return msgspec.structs.replace(state, barred=barred)

    def _group(self, state, item) -> Group:
        if item.group not in state.groups:
            raise Rejected(f"Group {item.group} does not exist.")
        group = state.groups[item.group]
        if item.base is not None and item.base != group.changed:
            raise Rejected(
                f"Group {group.id} was changed at offset {group.changed}, but the "
                f"proposal was made from {item.base}."
            )
        return group

    def _check_state(self, group: Group, wanted: GroupState) -> None:
        if group.state is not wanted:
            raise Rejected(
                f"Group {group.id} is {group.state.value}, not {wanted.value}."
            )

    def _put(self, state, group: Group):
        groups = state.groups.set(group.id, group)
        return msgspec.structs.replace(state, groups=groups)

    def _assign(self, state, group_id, members):
        assigned = state.assigned
        for member in members:
            assigned = assigned.set(member, group_id)
        return msgspec.structs.replace(state, assigned=assigned)

    def _free(self, state, members):
        assigned = state.assigned
        for member in members:
            assigned = assigned.delete(member)
        return msgspec.structs.replace(state, assigned=assigned)


class CallsFold(Fold):
    """Intents and outcomes of one shard of non-repeatable calls."""

    def empty(self) -> CallsState:
        return CallsState()

    def accept(self, state, offset, record, item):
        if isinstance(item, records.CallIntent):
            return self._intent(state, offset, item)
        if isinstance(item, records.CallOutcome):
            return self._outcome(state, item)
        if isinstance(item, records.CallPurge):
            return self._purge(state, record, item)
        raise _unknown(item)

    def _intent(self, state, offset, item: records.CallIntent):
        if key_time_ms(item.key) < state.floor_ms:
            raise Rejected("The key is older than the window; use a new one.")
        known = state.calls.get(item.key)
        if known is not None:
            self._check_again(known, item)
        call = Call(
            key=item.key,
            digest=item.digest,
            owner=item.owner,
            application=item.application,
            attempt=item.attempt,
            offset=offset,
        )
        return msgspec.structs.replace(state, calls=state.calls.set(item.key, call))

    def _check_again(self, known: Call, item: records.CallIntent) -> None:
        if known.digest != item.digest:
            raise Rejected("The key was used for another request; use a new one.")
        if known.outcome != Outcome.NOT_RUN.value:
            raise Rejected(f"The call is owned by {known.owner}.")

    def _outcome(self, state, item: records.CallOutcome):
        call = state.calls.get(item.key)
        if call is None:
            raise Rejected("There is no intent for this key.")
        self._check_outcome(call, item)
        body = item.body if len(item.body) <= MAX_OUTCOME_BYTES else b""
        after = msgspec.structs.replace(
            call,
            outcome=item.outcome,
            status=item.status,
            content_type=item.content_type,
            body=body,
        )
        return msgspec.structs.replace(
            state,
            calls=state.calls.set(item.key, after),
            stored_bytes=state.stored_bytes + len(body) - len(call.body),
        )

    def _check_outcome(self, call: Call, item: records.CallOutcome) -> None:
        if item.settled:
            if item.outcome != Outcome.COMPLETE.value:
                raise Rejected("A look-up can only settle that a call has run.")
        elif (item.owner, item.attempt) != (call.owner, call.attempt):
            raise Rejected(f"The call is owned by {call.owner}.")
        open_outcomes = (None, Outcome.UNKNOWN.value)
        if call.outcome not in open_outcomes:
            raise Rejected(f"The outcome is known already: {call.outcome}.")
        if call.outcome is not None and item.outcome != Outcome.COMPLETE.value:
            raise Rejected("An unknown outcome can only be settled as complete.")

    def _purge(self, state, record, item: records.CallPurge):
        _check_fence(state, record, item.fence)
        if item.floor_ms <= state.floor_ms:
            raise Rejected("The floor only rises.")
        calls, stored = state.calls, state.stored_bytes
        for key, call in state.calls.items():
            if key_time_ms(key) < item.floor_ms:
                calls = calls.delete(key)
                stored -= len(call.body)
        return msgspec.structs.replace(
            state, calls=calls, stored_bytes=stored, floor_ms=item.floor_ms
        )


def key_time_ms(key: str) -> int:
    """Return the time in a UUIDv7 key, or 0 for a key of another form."""
    digits = key.replace("-", "")
    if len(digits) != 32 or digits[12] != "7":
        return 0
    try:
        return int(digits[:12], 16)
    except ValueError:
        return 0


def fold_for(stream: StreamName) -> Fold:
    """Return the rules of a stream by its name."""
    kind = stream.partition(".")[0]
    return {"config": ConfigFold, "control": ControlFold, "calls": CallsFold}[kind]()


def _plain(value):
    if isinstance(value, Map):
        return sorted(([key, item] for key, item in value.items()), key=_map_key)
    raise NotImplementedError(f"{type(value)} has no plain form")


def _map_key(pair):
    return str(pair[0])


def encode_state(state: StreamState) -> bytes:
    """Return the same bytes for the same state on every entry."""
    return msgspec.msgpack.encode(state, enc_hook=_plain)


def state_digest(state: StreamState) -> str:
    """Return a digest that is the same for the same state on every entry."""
    return xxhash.xxh3_128_hexdigest(encode_state(state))
