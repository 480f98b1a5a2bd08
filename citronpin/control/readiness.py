"""Readiness of groups as an entry knows it, by leases that watchers renew.

A lease runs from a timestamp of the receiver's own clock that the watcher echoes,
so that neither message delay nor a pause of either process extends it.
"""

import logging
import math
from collections.abc import Callable

import msgspec

from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import EntryId, GroupId, StreamName
from citronpin.peers.meshes import Mesh
from citronpin.peers.messages import (
    NO_STAMP,
    GroupReadiness,
    Heartbeat,
    ReadinessChange,
    ReadinessRequest,
)
from citronpin.state.logs import States
from citronpin.state.states import ControlState, Group, GroupState

logger = logging.getLogger(__name__)

READINESS_LEASE_S = 1.8
MIN_REQUEST_INTERVAL_S = 0.2  # between requests to one watcher


class _ReadinessSet(msgspec.Struct):
    """The readiness set of one watcher and its lease; times are clock seconds."""

    number: int = 0
    ready: dict[GroupId, GroupReadiness] = {}
    missing: dict[GroupId, GroupReadiness] = {}
    leased: set[GroupId] = set()  # ready at the last renewal
    until_s: float = -math.inf
    asked_s: float = -math.inf


class ReadinessTable:
    """Tells whether a group may get requests at this moment.

    ``lease_s`` is the length of a watcher's lease in seconds.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Clock,
        recorder: Recorder,
        mesh: Mesh,
        states: States,
        lease_s: float = READINESS_LEASE_S,
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._recorder = recorder
        self._mesh = mesh
        self._states = states
        self._lease_s = lease_s
        self._started_s = clock.now()
        self._sets: dict[EntryId, _ReadinessSet] = {}
        self._streams: dict[GroupId, StreamName] = {}
        self._missing_callbacks: list[Callable[[GroupId], None]] = []
        states.subscribe("control.", self._on_state)
        mesh.subscribe(Heartbeat, self._on_beat)
        mesh.subscribe(ReadinessChange, self.apply_change)

    def subscribe_missing(self, callback: Callable[[GroupId], None]) -> None:
        """Register a callback for groups that are reported as missing a member."""
        self._missing_callbacks.append(callback)

    def usable(self, group: GroupId) -> bool:
        """Return whether a request may be sent; ask right before the first byte."""
        return self.lease_end_s(group) > self._clock.now()

    def lease_end_s(self, group: GroupId) -> float:
        """Return the clock time in seconds at which the lease ends, -inf if none."""
        record = self.record(group)
        if record is None or record.state is not GroupState.SERVING:
            return -math.inf
        expected = readiness_key(record)
        alive = self._mesh.alive()
        until_s = -math.inf
        for watcher, readiness_set in self._sets.items():
            if watcher in alive and readiness_set.missing.get(group) == expected:
                return -math.inf
            if watcher == self._entry and self._mesh.is_isolated(self._lease_s):
                continue  # An isolated entry may have an outdated state.
            if (
                group in readiness_set.leased
                and readiness_set.ready.get(group) == expected
            ):
                until_s = max(until_s, readiness_set.until_s)
        return until_s

    def record(self, group: GroupId) -> Group | None:
        """Return the group as the log has it, ``None`` if it has none."""
        stream = self._streams.get(group)
        if stream is None:
            return None
        return self._states.state(stream).groups.get(group)

    def explain(self, group: GroupId) -> str:
        """Return why a group may not get requests, or an empty text."""
        record = self.record(group)
        if record is None:
            return "The log has no such group."
        if record.state is not GroupState.SERVING:
            return f"The group is {record.state.value}: {record.reason}"
        expected = readiness_key(record)
        for watcher, readiness_set in sorted(self._sets.items()):
            if (
                watcher in self._mesh.alive()
                and readiness_set.missing.get(group) == expected
            ):
                return f"{watcher} misses a member."
        if not self.usable(group):
            return "No watcher renewed the readiness lease."
        return ""

    def apply_change(self, watcher: EntryId, change: ReadinessChange) -> None:
        """Apply a change of a watcher's set; a missing member counts at once.

        If an earlier change was lost, the whole set is requested.
        """
        readiness_set = self._sets.setdefault(watcher, _ReadinessSet())
        for item in change.missing:
            readiness_set.missing[item.group] = item
            readiness_set.leased.discard(item.group)
            self._record_missing(watcher, item)
            for callback in self._missing_callbacks:
                callback(item.group)
        if change.base == 0:
            self._replace_set(readiness_set, change)
        elif change.base == readiness_set.number:
            self._apply_delta(readiness_set, change)
        else:
            self._request_full_set(watcher, readiness_set)

    def renew(self, watcher: EntryId, number: int, base_s: float) -> None:
        """Extend the lease on a watcher's set to ``lease_s`` after ``base_s``.

        Every probe behind the set was sent at or after ``base_s``, in seconds of
        this entry's clock.
        """
        readiness_set = self._sets.setdefault(watcher, _ReadinessSet())
        if number != readiness_set.number:
            self._request_full_set(watcher, readiness_set)
            return
        until_s = base_s + self._lease_s
        if until_s > readiness_set.until_s:
            readiness_set.until_s = until_s
            readiness_set.leased = set(readiness_set.ready)

    def _replace_set(
        self, readiness_set: _ReadinessSet, change: ReadinessChange
    ) -> None:
        ready = {item.group: item for item in change.ready}
        readiness_set.leased = {
            group
            for group in readiness_set.leased
            if readiness_set.ready.get(group) == ready.get(group)
        }
        readiness_set.ready = ready
        readiness_set.missing = {item.group: item for item in change.missing}
        readiness_set.number = change.number

    def _apply_delta(
        self, readiness_set: _ReadinessSet, change: ReadinessChange
    ) -> None:
        for group in change.dropped:
            readiness_set.ready.pop(group, None)
            readiness_set.missing.pop(group, None)
            readiness_set.leased.discard(group)
        for item in change.missing:
            readiness_set.ready.pop(item.group, None)
        for item in change.ready:
            readiness_set.ready[item.group] = item
            readiness_set.missing.pop(item.group, None)
            # The next renewal starts its lease.
            readiness_set.leased.discard(item.group)
        readiness_set.number = change.number

    def _on_beat(self, sender: EntryId, beat: Heartbeat) -> None:
        if beat.lease == 0 or beat.echo == NO_STAMP:
            return
        echo_s = beat.echo / MS_PER_S
        if self._started_s - 1 / MS_PER_S <= echo_s <= self._clock.now():
            self.renew(sender, beat.lease, echo_s - beat.age_ms / MS_PER_S)

    def _request_full_set(self, watcher: EntryId, readiness_set: _ReadinessSet) -> None:
        now_s = self._clock.now()
        if now_s - readiness_set.asked_s >= MIN_REQUEST_INTERVAL_S:
            readiness_set.asked_s = now_s
            self._mesh.send(watcher, ReadinessRequest())

    def _record_missing(self, watcher: EntryId, item: GroupReadiness) -> None:
        self._recorder.note(
            EventKind.READINESS,
            f"{watcher} misses a member",
            group=item.group,
            fence=item.fence,
        )

    def _on_state(self, stream: StreamName, state: ControlState, verdicts) -> None:
        for group in state.groups:
            self._streams[group] = stream
        for group, known in list(self._streams.items()):
            if known == stream and group not in state.groups:
                del self._streams[group]


def readiness_key(group: Group) -> GroupReadiness:
    """Return the key under which watchers report a group in this recorded state."""
    return GroupReadiness(group=group.id, fence=group.fence, changed=group.changed)
