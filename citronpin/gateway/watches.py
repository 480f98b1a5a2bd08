"""Polls the instances of a fabric domain for reports and detects dead ones."""

import logging

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import GroupId, InstanceId
from citronpin.gateway.cold_starts import ColdStarts
from citronpin.gateway.fleets import Fleet, FleetInstance, Phase
from citronpin.gateway.ports import InstanceControl, Report
from citronpin.gateway.reachabilities import Reachability
from citronpin.peers.messages import NO_LOAD

logger = logging.getLogger(__name__)

IDLE_POLL_INTERVAL_S = 0.5
BUSY_POLL_INTERVAL_S = 0.15  # after orders and while a group is under suspicion
# With many entries, whose placement relies on the reported loads. Other members are
# asked between two registrations, and fast once there is a reason to doubt them.
HEAD_POLL_INTERVAL_S = 0.25
MEMBER_POLL_HEARTBEATS = 0.75  # age of the registration
LATE_HEARTBEATS = 1.1  # registrations are read up to 0.3 s late
DEAD_MISSES = 2  # a single miss may be a lost packet
CERTAIN_MISSES = 5  # enough without other evidence
REPORT_EXPIRY_S = 1.0  # a request for a report has ended by then
REPORT_PRECEDENCE_S = 1.0  # before a registration that may have been written earlier
PHASE_ORDER = (Phase.JOINING, Phase.READY, Phase.OPEN, Phase.CLOSING, Phase.BROKEN)
REPORT_LAG_S = 0.2  # by which the loads in a report are older than its arrival
SILENT_HEARTBEATS = 1.4  # heartbeat periods without a new registration


class WatchState(msgspec.Struct):
    """The polling state and the latest report of one instance."""

    report: Report | None = None
    reported_s: float = float("-inf")
    asked_s: float = float("-inf")
    asking: bool = False
    misses: int = 0


class MemberWatch:
    """Polls instances for reports and decides which of them are dead.

    Two unanswered polls count as death only together with other evidence: no recent
    registration, or a group whose answers have stopped. An instance that is only
    disconnected from this entry may still serve others.
    """

    def __init__(
        self,
        *,
        control: InstanceControl,
        fleet: Fleet,
        clock: Clock,
        heartbeat_s: float,
        reach: Reachability,
        cold_starts: ColdStarts | None = None,
    ) -> None:
        self._cold_starts = cold_starts
        self._reach = reach
        self._control = control
        self._fleet = fleet
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._silent_s = SILENT_HEARTBEATS * heartbeat_s
        self._states: dict[InstanceId, WatchState] = {}

    def poll(
        self, instances: list[FleetInstance], *, busy: bool, is_crowd: bool = False
    ) -> None:
        """Request a report from the instances that are due.

        ``is_crowd`` tells that there are many entries: heads, whose loads decide
        placement, are asked more often then, and the other members less often.
        """
        now_s = self._clock.now()
        doubted = self._doubted_groups(instances) if is_crowd else frozenset()
        for instance in instances:
            state = self._states.setdefault(instance.id, WatchState())
            if state.asking:
                interval_s = REPORT_EXPIRY_S
            elif busy:
                interval_s = BUSY_POLL_INTERVAL_S
            elif is_crowd:
                interval_s = self._crowd_interval_s(instance, state, doubted, now_s)
            else:
                interval_s = IDLE_POLL_INTERVAL_S
            if now_s - state.asked_s < interval_s:
                continue
            state.asking = True
            state.asked_s = now_s
            self._control.report(
                of=instance, done=self._report_handler(instance, state)
            )

    def _doubted_groups(self, instances: list[FleetInstance]) -> frozenset[GroupId]:
        """Return the groups whose heads left their latest poll unanswered."""
        return frozenset(
            instance.membership.group
            for instance in instances
            if instance.is_serving_head
            and (state := self._states.get(instance.id)) is not None
            and state.misses
        )

    def _crowd_interval_s(
        self,
        instance: FleetInstance,
        state: WatchState,
        doubted: frozenset[GroupId],
        now_s: float,
    ) -> float:
        """Return the time between two polls of an instance, in seconds.

        A member is asked once between two registrations, so late that two misses come
        before its silence counts, and fast once there is a reason to doubt it.
        """
        if state.misses:
            is_undecided = state.misses < DEAD_MISSES
            return BUSY_POLL_INTERVAL_S if is_undecided else IDLE_POLL_INTERVAL_S
        if instance.is_serving_head:
            return HEAD_POLL_INTERVAL_S
        if instance.membership is not None and instance.membership.group in doubted:
            return BUSY_POLL_INTERVAL_S
        if self._fleet.in_outage:
            return IDLE_POLL_INTERVAL_S  # the ages of registrations say nothing
        registered_s = self._fleet.registered_s(instance.id)
        heartbeats = (now_s - registered_s) / self._heartbeat_s
        for asked_at in (LATE_HEARTBEATS, MEMBER_POLL_HEARTBEATS):
            if heartbeats >= asked_at:
                due_s = registered_s + asked_at * self._heartbeat_s
                has_asked = state.asked_s >= due_s
                return IDLE_POLL_INTERVAL_S if has_asked else BUSY_POLL_INTERVAL_S
        return self._heartbeat_s

    def _report_handler(self, instance: FleetInstance, state: WatchState):
        def handle(report: Report | None, error: CitronpinError | None) -> None:
            state.asking = False
            if report is None:
                state.misses += 1
                self._reach.doubt(instance.service)
                if state.misses == DEAD_MISSES:
                    logger.info(
                        "instance silent",
                        extra={"instance": instance.id, "detail": str(error)},
                    )
                return
            self._reach.record_reply(instance.service)
            if self._cold_starts is not None:
                self._cold_starts.record(
                    instance, remaining_s=report.cold_s, source="report"
                )
            state.misses = 0
            state.report = report
            state.reported_s = self._clock.now()

        return handle

    def forget_misses(self) -> None:
        """Discard the unanswered polls, which say nothing of the instances."""
        for state in self._states.values():
            state.misses = 0

    def retain_only(self, known: set[InstanceId]) -> None:
        """Discard the state of all instances but the known ones."""
        for instance in set(self._states) - known:
            del self._states[instance]

    def with_latest_report(self, instance: FleetInstance) -> FleetInstance:
        """Return an instance with its report applied if newer than its registration.

        A registration that arrives after a report may have been written before it.
        """
        state = self._states.get(instance.id)
        if state is None or state.report is None:
            return instance
        report, age_s = state.report, self._clock.now() - state.reported_s
        arrived_later = self._fleet.registered_s(instance.id) > state.reported_s
        if arrived_later and (
            age_s > REPORT_PRECEDENCE_S or _is_later(instance, report)
        ):
            return instance
        return msgspec.structs.replace(
            instance,
            membership=report.membership,
            models=report.models,
            staged=report.staged,
            born_ms=report.born_ms,
        )

    def load(self, instance: InstanceId) -> int:
        """Return the running and waiting requests that an instance reported last."""
        state = self._states.get(instance)
        if state is None or state.report is None:
            return NO_LOAD
        return state.report.running + state.report.waiting

    def load_age_s(self, instance: InstanceId) -> float:
        """Return the age in seconds of the state that `load` shows, 0 without one."""
        state = self._states.get(instance)
        if state is None or state.report is None:
            return 0.0
        return max(self._clock.now() - state.reported_s, 0.0) + REPORT_LAG_S

    def tokens(self, instance: InstanceId) -> tuple[int, int]:
        """Return the tokens in use and the memory in tokens in the last report."""
        state = self._states.get(instance)
        if state is None or state.report is None:
            return 0, 0
        return state.report.used_tokens, state.report.memory_tokens

    def pace(self, instance: InstanceId) -> float:
        """Return the slowdown that an instance reported last; 1 is its usual speed."""
        state = self._states.get(instance)
        return 1.0 if state is None or state.report is None else state.report.pace

    def is_dead(self, instance: FleetInstance, *, suspected: bool = False) -> bool:
        """Return whether an instance counts as dead.

        ``suspected`` tells that the answers of its group have stopped.
        """
        state = self._states.get(instance.id)
        if state is None or state.misses < DEAD_MISSES:
            return False
        if suspected or state.misses >= CERTAIN_MISSES:
            return True
        if self._fleet.in_outage:
            return False  # registrations cannot be read now
        now_s = self._clock.now()
        return now_s - self._fleet.registered_s(instance.id) > self._silent_s


def _is_later(registered: FleetInstance, report: Report) -> bool:
    """Return whether a registration certainly tells of a later state than a report.

    Within a life, epochs rise, and the phases of an epoch follow each other, but for a
    head that goes back to ready when it has closed.
    """
    if registered.born_ms != report.born_ms:
        return registered.born_ms > report.born_ms
    new, old = registered.membership, report.membership
    if new is None or old is None:
        return new is not None
    if new.epoch != old.epoch:
        return new.epoch > old.epoch
    return PHASE_ORDER.index(new.phase) > PHASE_ORDER.index(old.phase)
