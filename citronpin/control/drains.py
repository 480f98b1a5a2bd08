"""Graceful drains: a group gets no new requests and finishes its running ones."""

import logging
from enum import Enum

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import GroupId, Offset
from citronpin.control.readbacks import Readbacks
from citronpin.state.manifests import CustomersManifest
from citronpin.state.states import Group, GroupState

logger = logging.getLogger(__name__)

DISPATCH_STOP_S = 4.0  # until every entry has folded the record and stopped dispatching
MIN_IDLE_S = 2.0  # of reporting no work; longer than the lag of the reports
DRAIN_MARGIN_S = 30.0  # added to the longest deadline of a request
MIN_DRAIN_DEADLINE_S = 90.0


class DrainPurpose(Enum):
    """Why a group drains; the recorded reason starts with the value."""

    REPAIR = "repair"
    RELOAD = "reload"
    DISSOLVE = "dissolve"

    def reason(self, detail: str) -> str:
        """Return the text to record as the reason of the drain."""
        return f"{self.value}: {detail}"


AFTER_DRAIN = {
    DrainPurpose.REPAIR: GroupState.BROKEN,
    DrainPurpose.RELOAD: GroupState.RELOADING,
    DrainPurpose.DISSOLVE: GroupState.RELEASING,
}


def drain_purpose(group: Group) -> DrainPurpose:
    """Return why a group drains according to its record; ``REPAIR`` if unknown."""
    value = group.reason.partition(":")[0]
    known = {purpose.value: purpose for purpose in DrainPurpose}
    return known.get(value, DrainPurpose.REPAIR)


class _Drain(msgspec.Struct):
    """The progress of one drain; times are clock seconds."""

    changed: Offset  # offset of the record that started it
    began_s: float
    idle_since_s: float | None = None


def drain_deadline_s(customers: list[CustomersManifest]) -> float:
    """Return the seconds a drain may take: more than any request's deadline."""
    deadlines = [c.deadline_s for known in customers for c in known.customers]
    return max([MIN_DRAIN_DEADLINE_S, *(d + DRAIN_MARGIN_S for d in deadlines)])


class Drains:
    """Tells when draining groups have finished their requests."""

    def __init__(self, *, clock: Clock, readbacks: Readbacks) -> None:
        self._clock = clock
        self._readbacks = readbacks
        self._drains: dict[GroupId, _Drain] = {}

    def is_drained(self, group: Group, deadline_s: float) -> bool:
        """Return whether a group was idle for ``MIN_IDLE_S`` or is overdue."""
        drain = self._drain_of(group)
        now = self._clock.now()
        if now - drain.began_s >= deadline_s:
            return True
        if not all(self._is_idle(member, drain) for member in group.members):
            drain.idle_since_s = None
            return False
        if drain.idle_since_s is None:
            drain.idle_since_s = now
        return now - drain.idle_since_s >= MIN_IDLE_S

    def retain(self, groups) -> None:
        """Remove the drains of groups that are not in ``groups``."""
        self._drains = {g: d for g, d in self._drains.items() if g in groups}

    def clear(self) -> None:
        """Remove all drains; a new holder of the lease starts the times anew."""
        self._drains.clear()

    def _drain_of(self, group: Group) -> _Drain:
        known = self._drains.get(group.id)
        if known is None or known.changed != group.changed:
            known = _Drain(changed=group.changed, began_s=self._clock.now())
            self._drains[group.id] = known
        return known

    def _is_idle(self, member, drain: _Drain) -> bool:
        latest = self._readbacks.latest(member)
        if latest is None or latest.measured_s < drain.began_s + DISPATCH_STOP_S:
            return False
        return latest.status.running == 0 and latest.status.queued == 0
