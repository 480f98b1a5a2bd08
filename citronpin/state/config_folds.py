"""Fold of the configuration stream."""

import logging

import msgspec
from immutables import Map

from citronpin.basics.ids import NO_OFFSET, Offset
from citronpin.state import records
from citronpin.state.manifests import check_manifest, scope_of
from citronpin.state.rules import Fold, Rejected, wrong_stream_rejection
from citronpin.state.states import AcceptedManifest, AnnouncedEntry, ConfigState

logger = logging.getLogger(__name__)

MAX_PENDING_CHANGES = 16
MAX_PARTS = 64
MAX_REPORTED_FAULTS = 5
PARTS_WINDOW_RECORDS = 1_024  # between the first and the last part of a change


class ConfigFold(Fold):
    """Rules for manifests and for announcements of entries."""

    def empty(self) -> ConfigState:
        return ConfigState()

    def accept(self, state, offset, record, item):
        if isinstance(item, records.ConfigChange):
            return self._accept_change(state, offset, item.changes)
        if isinstance(item, records.ConfigPart):
            return self._accept_part(state, offset, record, item)
        if isinstance(item, records.EntryNote):
            return self._accept_entry_note(state, offset, item)
        raise wrong_stream_rejection(item)

    def _accept_change(self, state, offset, changes):
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
                bases = bases.delete(change.scope) if change.scope in bases else bases
        next_state = msgspec.structs.replace(state, manifests=manifests, bases=bases)
        self._check_across_scopes(next_state, changes)
        return next_state

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
        else:
            self._check_manifest(change.manifest)

    def _check_manifest(self, manifest) -> None:
        faults = check_manifest(manifest)
        if faults:
            raise Rejected(
                "; ".join(str(fault) for fault in faults[:MAX_REPORTED_FAULTS])
            )

    def _check_across_scopes(self, state: ConfigState, changes) -> None:
        """Check customers against all scopes, if the changes can have affected them."""
        removed = any(change.manifest is None for change in changes)
        if not removed and not any(c.scope.startswith("customers/") for c in changes):
            return
        owners: dict[str, str] = {}  # key digest -> customer name
        names: set[str] = set()
        deployments, applications = state.deployments(), state.applications()
        for manifest in state.customer_sets().values():
            for customer in manifest.customers:
                if customer.name in names:
                    raise Rejected(f"Customer {customer.name} is defined twice.")
                names.add(customer.name)
                self._check_keys(customer, owners)
                _check_references(
                    customer, "deployment", customer.deployments, deployments
                )
                _check_references(
                    customer, "application", customer.applications, applications
                )

    def _check_keys(self, customer, owners: dict[str, str]) -> None:
        for digest in customer.key_digests:
            other = owners.setdefault(digest, customer.name)
            if other != customer.name:
                raise Rejected(
                    f"{customer.name} and {other} have a key in common; "
                    f"issue a new key to one of them."
                )

    def _accept_part(self, state, offset, record, item: records.ConfigPart):
        if not 0 <= item.number < item.count <= MAX_PARTS:
            raise Rejected(f"A change has at most {MAX_PARTS} numbered parts.")
        state = self._drop_stale_parts(state, offset)
        pending = state.parts.get(item.change)
        parts = dict(pending[1]) if pending else {}
        if item.number in parts:
            raise Rejected("This part has been taken already.")
        if pending and pending[0] != (record.author, item.count):
            raise Rejected("The parts of a change differ in author or count.")
        parts[item.number] = item.changes
        if len(parts) < item.count:
            first_offset = pending[2] if pending else offset
            received = (
                (record.author, item.count),
                tuple(sorted(parts.items())),
                first_offset,
            )
            all_pending = self._evict_oldest_change(state.parts, item.change).set(
                item.change, received
            )
            return msgspec.structs.replace(state, parts=all_pending)
        changes = tuple(c for number in sorted(parts) for c in parts[number])
        rest = state.parts.delete(item.change) if pending else state.parts
        without_parts = msgspec.structs.replace(state, parts=rest)
        try:
            return self._accept_change(without_parts, offset, changes)
        except Rejected as exc:
            raise Rejected(str(exc), next_state=without_parts) from None

    def _drop_stale_parts(self, state, offset):
        parts = state.parts
        for change, pending in state.parts.items():
            if offset - pending[2] > PARTS_WINDOW_RECORDS:
                parts = parts.delete(change)
        return msgspec.structs.replace(state, parts=parts)

    def _evict_oldest_change(self, parts: Map, change) -> Map:
        if change in parts or len(parts) < MAX_PENDING_CHANGES:
            return parts
        oldest = min(parts, key=lambda candidate: (parts[candidate][2], candidate))
        return parts.delete(oldest)

    def _accept_entry_note(self, state, offset, item: records.EntryNote):
        if item.leaving:
            if item.entry not in state.entries:
                raise Rejected("The entry is not known.")
            entries = state.entries.delete(item.entry)
        else:
            announced = AnnouncedEntry(
                peer_address=item.peer_address,
                failure_domain=item.failure_domain,
                offset=offset,
            )
            entries = state.entries.set(item.entry, announced)
        return msgspec.structs.replace(state, entries=entries)


def _check_references(customer, kind: str, names, existing) -> None:
    for name in names:
        if name not in existing:
            raise Rejected(
                f"Customer {customer.name} names {kind} {name}, which does not "
                f"exist; publish both in one change or correct the name."
            )


def scope_base(state: ConfigState, scope: str) -> Offset:
    """Return the base that the next change of ``scope`` must name, as an offset."""
    if scope in state.manifests:
        return state.manifests[scope].offset
    return state.bases.get(scope, NO_OFFSET)
