"""Watchers: probe the members of groups and renew leases on their readiness."""

import logging
from collections.abc import Callable

import msgspec
import xxhash
from circuits import BaseComponent
from result import Result

from citronpin.backends.engines import EngineClient, EngineStatus
from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.errors import CitronpinError
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import EntryId, GroupId, InstanceId, StreamName
from citronpin.control.readiness import ReadinessTable, readiness_key
from citronpin.peers.meshes import Mesh, ReadinessLease
from citronpin.peers.messages import GroupReadiness, ReadinessChange, ReadinessRequest
from citronpin.peers.overlays import rendezvous
from citronpin.policy.plans import Detector
from citronpin.state.logs import States
from citronpin.state.states import ControlState, Group, GroupState

logger = logging.getLogger(__name__)

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.25
WATCHERS_PER_GROUP = 2
PUBLISH_DELAY_S = 0.02  # batches groups that become ready together
NUMBER_MASK = (1 << 30) - 1  # keeps the encoded set numbers short
PROBE_SLOTS = 10  # per interval; the probes of a slot are sent together
MIN_SLOT_WAIT_S = 0.02
PAUSE_CHECK_S = 0.2
PAUSE_THRESHOLD_S = 0.35  # a longer gap between checks is a pause of the process
OWN_RENEWAL_INTERVAL_S = 0.25
NOT_PROBED = "not probed yet"


class _MemberProbe(msgspec.Struct):
    """Result of the probes of one member."""

    fault: str = NOT_PROBED
    probed_s: float = 0.0  # clock time at which the latest good probe was sent
    boot: str = ""  # id first reported in this state of the group


class _Watch(msgspec.Struct):
    """A watched group with the results of its probes."""

    group: Group
    stream: StreamName
    members: dict[InstanceId, _MemberProbe]
    timer: TimerHandle | None = None

    def fault(self) -> str:
        """Return the fault of the first faulty member, or an empty text."""
        for instance, member in self.members.items():
            if member.fault:
                return f"{instance}: {member.fault}"
        return ""


def mismatch(group: Group, status: EngineStatus, boot: str) -> str:
    """Return how a status differs from the group's record, or an empty text."""
    if status.group != group.id:
        return f"is in group {status.group}"
    if status.fence != group.fence:
        return f"has fence {status.fence}, not {group.fence}"
    if tuple(status.members) != tuple(group.members):
        return "has other members"
    if (status.model, status.version) != (group.model, group.version):
        return f"has {status.model} {status.version}"
    if set(status.adapters) != set(group.adapters):
        return "has other adapters"
    if status.loading:
        return "is loading"
    if boot and status.boot != boot:
        return "was restarted"
    return ""


class Watcher(BaseComponent):
    """Probes the groups that rendezvous hashing assigns to this entry.

    ``address_of`` returns the address of an instance, ``None`` if unknown.
    ``probe_s`` is the interval and ``timeout_s`` the timeout of a probe, in
    seconds; ``watchers`` is the number of watchers of each group.
    """

    channel = "watcher"

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Clock,
        recorder: Recorder,
        mesh: Mesh,
        states: States,
        engines: EngineClient,
        address_of: Callable[[InstanceId], str | None],
        table: ReadinessTable,
        detector: Detector | None = None,
        probe_s: float = PROBE_INTERVAL_S,
        timeout_s: float = PROBE_TIMEOUT_S,
        watchers: int = WATCHERS_PER_GROUP,
    ) -> None:
        super().__init__()
        self._entry = entry
        self._clock = clock
        self._recorder = recorder
        self._mesh = mesh
        self._engines = engines
        self._address_of = address_of
        self._table = table
        self._detector = detector
        self._on_status: Callable[[EngineStatus, float], None] | None = None
        self._probe_s = probe_s
        self._timeout_s = timeout_s
        self._watchers = watchers
        self._states: dict[StreamName, ControlState] = {}
        self._watches: dict[GroupId, _Watch] = {}
        self._set_number = clock.wall_ms() & NUMBER_MASK | 1
        self._has_published = False
        self._ready: dict[GroupId, GroupReadiness] = {}
        self._missing: dict[GroupId, GroupReadiness] = {}
        self._publish_timer: TimerHandle | None = None
        self.probes = 0
        self._renewed_s = self._last_pause_check_s = self._resumed_s = clock.now()
        states.subscribe("control.", self._on_state)
        mesh.subscribe_liveness(lambda alive: self._assign_all())
        mesh.subscribe(ReadinessRequest, self._on_request)
        mesh.set_lease_source(self._held_lease)
        clock.call_later(PAUSE_CHECK_S, self._check_pause)

    def set_status_callback(
        self, callback: Callable[[EngineStatus, float], None]
    ) -> None:
        """Set the callback for each status and the clock time of its request."""
        self._on_status = callback

    def watched(self) -> tuple[GroupId, ...]:
        """Return the groups that this entry watches."""
        return tuple(sorted(self._watches))

    def fault(self, group: GroupId) -> str:
        """Return the fault of a watched group, or an empty text."""
        watch = self._watches.get(group)
        return watch.fault() if watch else ""

    def _on_state(self, stream: StreamName, state: ControlState, verdicts) -> None:
        self._states[stream] = state
        self._assign(stream, state)

    def _assign_all(self) -> None:
        for stream, state in self._states.items():
            self._assign(stream, state)

    def _assign(self, stream: StreamName, state: ControlState) -> None:
        alive = self._mesh.alive()
        for group in state.groups.values():
            chosen = rendezvous(group.id, alive, self._watchers)
            if self._entry in chosen and group.state is not GroupState.RELEASING:
                self._watch(stream, group)
            else:
                self._unwatch(group.id)
        for watch in list(self._watches.values()):
            if watch.stream == stream and watch.group.id not in state.groups:
                self._unwatch(watch.group.id)

    def _watch(self, stream: StreamName, group: Group) -> None:
        known = self._watches.get(group.id)
        if known is not None and known.group.changed == group.changed:
            return
        members = {instance: _MemberProbe() for instance in group.members}
        if known is None:
            known = _Watch(group=group, stream=stream, members=members)
            self._watches[group.id] = known
        known.group = group
        known.members = members
        if known.timer is not None:
            known.timer.cancel()
        known.timer = self._clock.call_later(0.0, lambda: self._probe(known))
        self._schedule_publish(group.id)

    def _unwatch(self, group: GroupId) -> None:
        watch = self._watches.pop(group, None)
        if watch is not None:
            watch.timer.cancel()
            self._schedule_publish(group)

    def _probe(self, watch: _Watch) -> None:
        watch.timer = self._clock.call_later(
            self._slot_wait_s(watch.group.id), lambda: self._probe(watch)
        )
        for instance, member in watch.members.items():
            self._probe_member(watch, instance, member)

    def _slot_wait_s(self, group: GroupId) -> float:
        """Return the seconds to a group's next slot.

        The probes of all groups of a slot are sent in one turn of the event loop.
        """
        slot = xxhash.xxh32_intdigest(group) % PROBE_SLOTS
        passed_s = self._clock.now() - slot * self._probe_s / PROBE_SLOTS
        wait_s = self._probe_s - passed_s % self._probe_s
        # A slot that is due now has just been probed.
        return wait_s if wait_s > MIN_SLOT_WAIT_S else wait_s + self._probe_s

    def _probe_member(self, watch: _Watch, instance: InstanceId, member) -> None:
        address = self._address_of(instance)
        if address is None:
            self._record_fault(watch, instance, member, "has no address")
            return
        self.probes += 1
        sent_s = self._clock.now()

        def done(result: Result[EngineStatus, CitronpinError]) -> None:
            self._on_probe_result(watch, instance, member, sent_s, result)

        self._engines.status(address=address, done=done, timeout_s=self._timeout_s)

    def _check_pause(self) -> None:
        now_s = self._clock.now()
        if now_s - self._last_pause_check_s > PAUSE_THRESHOLD_S:
            self._resumed_s = now_s
        self._last_pause_check_s = now_s
        self._clock.call_later(PAUSE_CHECK_S, self._check_pause)

    def _was_paused(self, sent_s: float, now_s: float) -> bool:
        """Return whether a pause of this process may have caused a timeout."""
        return (
            sent_s < self._resumed_s
            or now_s - self._last_pause_check_s > PAUSE_THRESHOLD_S
        )

    def _on_probe_result(
        self, watch, instance, member: _MemberProbe, sent_s: float, result
    ) -> None:
        now_s = self._clock.now()
        if result.is_err():
            if self._was_paused(sent_s, now_s):
                return
            if self._detector is not None:
                self._detector.record_missed_probe(instance=instance, now_s=now_s)
            self._record_fault(watch, instance, member, result.unwrap_err().detail)
            return
        status = result.unwrap()
        if self._on_status is not None:
            self._on_status(status, sent_s)
        if self._detector is not None:
            self._detector.record_reply(
                instance=instance,
                boot=status.boot,
                delay_s=now_s - sent_s,
                now_s=now_s,
            )
        fault = mismatch(watch.group, status, member.boot)
        if not fault:
            member.boot = status.boot
            member.probed_s = max(member.probed_s, sent_s)
        self._record_fault(watch, instance, member, fault)

    def _record_fault(
        self, watch: _Watch, instance, member: _MemberProbe, fault: str
    ) -> None:
        before = member.fault
        member.fault = fault
        if watch.members.get(instance) is not member:
            return  # The group changed while the probe was in flight.
        if bool(before) != bool(fault) or before == NOT_PROBED:
            self._schedule_publish(watch.group.id)
        elif self._clock.now() - self._renewed_s > OWN_RENEWAL_INTERVAL_S:
            self._renew_own()

    def _schedule_publish(self, group: GroupId) -> None:
        watch = self._watches.get(group)
        healthy = watch is not None and not watch.fault()
        if healthy and group not in self._missing:
            delay_s = PUBLISH_DELAY_S
        else:
            delay_s = 0.0
        if self._publish_timer is not None:
            if self._publish_timer.due_s <= self._clock.now() + delay_s:
                return
            self._publish_timer.cancel()
        self._publish_timer = self._clock.call_later(delay_s, self._publish)

    def _current_sets(
        self,
    ) -> tuple[dict[GroupId, GroupReadiness], dict[GroupId, GroupReadiness]]:
        ready, missing = {}, {}
        for group_id, watch in self._watches.items():
            if watch.group.state is not GroupState.SERVING:
                continue
            fault = watch.fault()
            if not fault:
                ready[group_id] = readiness_key(watch.group)
            elif not fault.endswith(NOT_PROBED):
                missing[group_id] = readiness_key(watch.group)
        if not ready and self._is_cut_off():
            missing = {}
        return ready, missing

    def _is_cut_off(self) -> bool:
        """Return whether no member answers in any of several fabric domains.

        A watcher that is cut off gives no leases, and reports no members as
        missing, which would cancel the leases of other watchers.
        """
        watches = self._watches.values()
        silent = all(m.fault for watch in watches for m in watch.members.values())
        return silent and len({watch.stream for watch in watches}) > 1

    def _publish(self) -> None:
        if self._publish_timer is not None:
            self._publish_timer.cancel()
            self._publish_timer = None
        ready, missing = self._current_sets()
        change = self._make_change(ready, missing)
        if change is None:
            self._renew_own()
            return
        self._record_change(change)
        self._set_number = change.number
        self._has_published = True
        self._ready, self._missing = ready, missing
        self._table.apply_change(self._entry, change)
        for other in self._mesh.alive():
            if other != self._entry:
                self._mesh.send(other, change)
        self._renew_own()
        if change.ready:
            self._mesh.exchange_heartbeats()

    def _make_change(self, ready, missing) -> ReadinessChange | None:
        before = {**self._ready, **self._missing}
        change = ReadinessChange(
            number=self._set_number + 1,
            base=self._set_number if self._has_published else 0,
            ready=_changed_items(self._ready, ready),
            missing=_changed_items(self._missing, missing),
            dropped=tuple(before.keys() - ready.keys() - missing.keys()),
        )
        if not (change.ready or change.missing or change.dropped):
            return None
        return change

    def _record_change(self, change: ReadinessChange) -> None:
        for item in change.ready:
            self._recorder.note(
                EventKind.READINESS, "ready", group=item.group, fence=item.fence
            )
        for item in change.missing:
            detail = f"not ready: {self.fault(item.group)}"
            self._recorder.note(
                EventKind.READINESS, detail, group=item.group, fence=item.fence
            )

    def _oldest_probe_s(self) -> float:
        times = [
            member.probed_s
            for group in self._ready
            for member in self._watches[group].members.values()
        ]
        return min(times, default=self._clock.now())

    def _held_lease(self) -> ReadinessLease:
        if self._publish_timer is not None:
            self._publish()
        return ReadinessLease(number=self._set_number, probed_s=self._oldest_probe_s())

    def _renew_own(self) -> None:
        if self._publish_timer is None:
            self._renewed_s = self._clock.now()
            self._table.renew(self._entry, self._set_number, self._oldest_probe_s())

    def _on_request(self, sender: EntryId, request: ReadinessRequest) -> None:
        if self._publish_timer is not None:
            self._publish()
        change = ReadinessChange(
            number=self._set_number,
            base=0,
            ready=tuple(self._ready.values()),
            missing=tuple(self._missing.values()),
        )
        self._mesh.send(sender, change)
        self._mesh.exchange_heartbeats()


def _changed_items(before: dict, after: dict) -> tuple[GroupReadiness, ...]:
    return tuple(item for key, item in after.items() if before.get(key) != item)
