"""Graceful drains: a group gets no new work and ends what it has."""

import logging
from enum import Enum

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import GroupId, Offset
from citronpin.control.readbacks import Readbacks
from citronpin.state.manifests import CustomersManifest
from citronpin.state.states import Group, GroupState

logger = logging.getLogger(__name__)

DISPATCH_STOP_S = 4.0  # until every entry has folded the record and stopped to dispatch
MIN_IDLE_S = 2.0  # how long a member reports no work; longer than its reports lag
DRAIN_MARGIN_S = 30.0  # beyond the longest deadline of a request
MIN_DRAIN_DEADLINE_S = 90.0


class DrainPurpose(Enum):
    """Why a group drains; the reason of its record begins with the value."""

    REPAIR = "repair"
    RELOAD = "reload"
    DISSOLVE = "dissolve"

    def reason(self, detail: str) -> str:
        """Return the reason to record."""
        return f"{self.value}: {detail}"


AFTER_DRAIN = {
    DrainPurpose.REPAIR: GroupState.BROKEN,
    DrainPurpose.RELOAD: GroupState.RELOADING,
    DrainPurpose.DISSOLVE: GroupState.RELEASING,
}


def drain_purpose(group: Group) -> DrainPurpose:
    """Return why a group drains, from its record."""
    value = group.reason.partition(":")[0]
    known = {purpose.value: purpose for purpose in DrainPurpose}
    return known.get(value, DrainPurpose.REPAIR)


class _Drain(msgspec.Struct):
    """One drain under way; times are clock seconds."""

    changed: Offset  # of the record that began it
    began_s: float
    idle_since_s: float | None = None


def drain_deadline_s(customers: list[CustomersManifest]) -> float:
    """Return how long a drain may take: longer than any request's deadline."""
    deadlines = [c.deadline_s for known in customers for c in known.customers]
    return max([MIN_DRAIN_DEADLINE_S, *(d + DRAIN_MARGIN_S for d in deadlines)])


class Drains:
    """Tells when draining groups have finished their work."""

    def __init__(self, *, clock: Clock, readbacks: Readbacks) -> None:
        self._clock = clock
        self._readbacks = readbacks
        self._drains: dict[GroupId, _Drain] = {}

    def is_drained(self, group: Group, deadline_s: float) -> bool:
        """Return whether a group has been idle for long enough, or is overdue."""
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
        """Forget drains of groups that are not among ``groups``."""
        self._drains = {g: d for g, d in self._drains.items() if g in groups}

    def clear(self) -> None:
        """Forget all drains; a new holder begins to count anew."""
        self._drains.clear()

    def _drain_of(self, group: Group) -> _Drain:
        known = self._drains.get(group.id)
        if known is None or known.changed != group.changed:
            known = _Drain(changed=group.changed, began_s=self._clock.now())
            self._drains[group.id] = known
        return known

    def _is_idle(self, member, drain: _Drain) -> bool:
        seen = self._readbacks.seen(member)
        if seen is None or seen.measured_s < drain.began_s + DISPATCH_STOP_S:
            return False
        return seen.status.running == 0 and seen.status.queued == 0
