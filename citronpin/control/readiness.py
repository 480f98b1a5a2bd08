"""What an entry knows of the readiness of groups, by leases from watchers.

A lease counts from a stamp of the receiver's own clock that the watcher echoed,
so that no delay on the way and no pause of either side makes it longer.
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
    Beat,
    GroupReady,
    ReadinessChange,
    ReadinessRequest,
)
from citronpin.state.logs import States
from citronpin.state.states import ControlState, Group, GroupState

logger = logging.getLogger(__name__)

LEASE_S = 1.8
REQUEST_GAP_S = 0.2  # least time between two requests to one watcher


class _WatcherSet(msgspec.Struct):
    """The readiness set of one watcher and the lease on it."""

    number: int = 0
    ready: dict[GroupId, GroupReady] = {}
    missing: dict[GroupId, GroupReady] = {}
    leased: set[GroupId] = set()  # those in the set when it was last renewed
    until_s: float = -math.inf
    asked_s: float = -math.inf


class ReadinessTable:
    """Decides whether a group may get work at this moment."""

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Clock,
        recorder: Recorder,
        mesh: Mesh,
        states: States,
        lease_s: float = LEASE_S,
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._recorder = recorder
        self._mesh = mesh
        self._states = states
        self._lease_s = lease_s
        self._first_s = clock.now()
        self._sets: dict[EntryId, _WatcherSet] = {}
        self._streams: dict[GroupId, StreamName] = {}
        self._on_missing: list[Callable[[GroupId], None]] = []
        states.subscribe("control.", self._on_state)
        mesh.subscribe(Beat, self._on_beat)
        mesh.subscribe(ReadinessChange, self.take)

    def subscribe_missing(self, callback: Callable[[GroupId], None]) -> None:
        """Call back when a watcher reports that a group misses a member."""
        self._on_missing.append(callback)

    def usable(self, group: GroupId) -> bool:
        """Return whether work may be sent now; ask right before the first byte."""
        return self.lease_until(group) > self._clock.now()

    def lease_until(self, group: GroupId) -> float:
        """Return the clock time at which the lease ends, -inf when there is none."""
        record = self.record(group)
        if record is None or record.state is not GroupState.SERVING:
            return -math.inf
        wanted = ready_form(record)
        alive = self._mesh.alive()
        until_s = -math.inf
        for watcher, held in self._sets.items():
            if watcher in alive and held.missing.get(group) == wanted:
                return -math.inf
            if watcher == self._entry and self._mesh.alone(self._lease_s):
                continue  # It may be cut off with a state that is out of date.
            if group in held.leased and held.ready.get(group) == wanted:
                until_s = max(until_s, held.until_s)
        return until_s

    def record(self, group: GroupId) -> Group | None:
        """Return the group as the log has it."""
        stream = self._streams.get(group)
        if stream is None:
            return None
        return self._states.state(stream).groups.get(group)

    def explain(self, group: GroupId) -> str:
        """Return why a group may not get work, or an empty text."""
        record = self.record(group)
        if record is None:
            return "The log has no such group."
        if record.state is not GroupState.SERVING:
            return f"The group is {record.state.value}: {record.reason}"
        wanted = ready_form(record)
        for watcher, held in sorted(self._sets.items()):
            if watcher in self._mesh.alive() and held.missing.get(group) == wanted:
                return f"{watcher} misses a member."
        if not self.usable(group):
            return "No watcher renewed the readiness lease."
        return ""

    def take(self, watcher: EntryId, change: ReadinessChange) -> None:
        """Take a change of a watcher's set; a missing member counts at once."""
        held = self._sets.setdefault(watcher, _WatcherSet())
        for item in change.missing:
            held.missing[item.group] = item
            held.leased.discard(item.group)
            self._note(watcher, item)
            for callback in self._on_missing:
                callback(item.group)
        if change.base == 0:
            self._replace(held, change)
        elif change.base == held.number:
            self._apply(held, change)
        else:
            self._ask(watcher, held)

    def renew(self, watcher: EntryId, number: int, base_s: float) -> None:
        """Extend the lease on a watcher's set to ``lease_s`` after ``base_s``.

        Every probe behind the set was sent at ``base_s`` of the own clock or later.
        """
        held = self._sets.setdefault(watcher, _WatcherSet())
        if number != held.number:
            self._ask(watcher, held)
            return
        until_s = base_s + self._lease_s
        if until_s > held.until_s:
            held.until_s = until_s
            held.leased = set(held.ready)

    def _replace(self, held: _WatcherSet, change: ReadinessChange) -> None:
        ready = {item.group: item for item in change.ready}
        held.leased = {
            group for group in held.leased if held.ready.get(group) == ready.get(group)
        }
        held.ready = ready
        held.missing = {item.group: item for item in change.missing}
        held.number = change.number

    def _apply(self, held: _WatcherSet, change: ReadinessChange) -> None:
        for group in change.dropped:
            held.ready.pop(group, None)
            held.missing.pop(group, None)
            held.leased.discard(group)
        for item in change.missing:
            held.ready.pop(item.group, None)
        for item in change.ready:
            held.ready[item.group] = item
            held.missing.pop(item.group, None)
            # Its lease starts with the next renewal.
            held.leased.discard(item.group)
        held.number = change.number

    def _on_beat(self, sender: EntryId, beat: Beat) -> None:
        if beat.lease == 0 or beat.echo == NO_STAMP:
            return
        echo_s = beat.echo / MS_PER_S
        if self._first_s - 1 / MS_PER_S <= echo_s <= self._clock.now():
            self.renew(sender, beat.lease, echo_s - beat.age_ms / MS_PER_S)

    def _ask(self, watcher: EntryId, held: _WatcherSet) -> None:
        now_s = self._clock.now()
        if now_s - held.asked_s >= REQUEST_GAP_S:
            held.asked_s = now_s
            self._mesh.send(watcher, ReadinessRequest())

    def _note(self, watcher: EntryId, item: GroupReady) -> None:
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


def ready_form(group: Group) -> GroupReady:
    """Return how watchers name a group in this state of the log."""
    return GroupReady(group=group.id, fence=group.fence, changed=group.changed)
