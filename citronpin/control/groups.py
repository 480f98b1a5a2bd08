"""The controller that forms, checks, repairs, drains and releases groups."""

import logging

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.events import EventKind
from citronpin.basics.ids import CONFIG_STREAM, Fence, InstanceId
from citronpin.control.controllers import RECONCILE_PERIOD_S, Controller, register
from citronpin.control.domains import DomainFacts, Fitness
from citronpin.control.drains import (
    AFTER_DRAIN,
    DrainPurpose,
    Drains,
    drain_deadline_s,
    drain_purpose,
)
from citronpin.control.formations import Formations
from citronpin.control.leases import LeaseController
from citronpin.control.orders import Orders
from citronpin.control.readbacks import Readbacks
from citronpin.control.repairers import Repairer
from citronpin.policy.plans import RepairPolicy
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.records import GroupMove, GroupRelease, InstanceBar
from citronpin.state.states import Group, GroupState

logger = logging.getLogger(__name__)

SERVING_POLL_INTERVAL_S = 2.0
SILENT_POLL_INTERVAL_S = 0.5  # for members that did not answer the latest poll
DRAIN_POLL_INTERVAL_S = 0.5
FREE_POLL_INTERVAL_S = 4.0
TRANSIENT_PERIOD_S = 0.25  # between runs while a group is in a transient state
DEAD_MEMBER_BAR_DELAY_S = 30.0  # a dead member of a broken group is barred after this
RELEASE_DEADLINE_S = 10.0
UNLISTED_BAR_EXPIRY_S = 600.0  # then the bar of an unlisted instance is lifted


def is_outdated(group: Group, deployment: DeploymentManifest) -> bool:
    """Return whether a group differs from its deployment's manifest."""
    wanted = (deployment.model, deployment.version, set(deployment.adapters))
    if (group.model, group.version, set(group.adapters)) != wanted:
        return True
    return len(group.members) != deployment.members


def group_move(
    fence: Fence, group: Group, state: GroupState, reason: str = ""
) -> GroupMove:
    """Return the item that changes a group's state, based on its last change."""
    return GroupMove(
        fence=fence,
        group=group.id,
        state=state.value,
        reason=reason,
        base=group.changed,
    )


class MemberInspection(msgspec.Struct, frozen=True):
    """Result of checking the members of a serving group."""

    fault: str = ""  # how a member differs from the record, empty for none
    leaving: str = ""  # a member that is leaving, empty for none
    whole: bool = False  # whether every member was read back


@register
class GroupController(Controller):
    """Reconciles the groups of a fabric domain with the manifests."""

    name = "group"

    def __init__(
        self,
        *,
        lease: LeaseController,
        facts: DomainFacts,
        readbacks: Readbacks,
        orders: Orders,
        policy: RepairPolicy,
        **common,
    ) -> None:
        super().__init__(**common)
        clock: Clock = self._clock
        self._lease = lease
        self._facts = facts
        self._readbacks = readbacks
        self._orders = orders
        self._drains = Drains(clock=clock, readbacks=readbacks)
        self._formations = Formations(
            clock=clock, facts=facts, orders=orders, readbacks=readbacks
        )
        self._repairer = Repairer(
            clock=clock,
            facts=facts,
            orders=orders,
            policy=policy,
            propose=self.propose,
            move=self._move,
            pending_proposals=self.pending_proposals,
        )
        self._release_started_s: dict = {}  # GroupId -> clock time
        self._unlisted_since_s: dict[InstanceId, float] = {}  # of barred instances
        self._reconcilers = {
            GroupState.FORMING: self._reconcile_forming,
            GroupState.SERVING: self._reconcile_serving,
            GroupState.BROKEN: self._reconcile_broken,
            GroupState.DRAINING: self._reconcile_draining,
            GroupState.RELEASING: self._reconcile_releasing,
        }

    def pending_proposals(self) -> int:
        """Return how many subjects have a proposal pending or in backoff."""
        return len(self._blocked_until_s)

    def reconcile(self) -> None:
        fence = self._lease.fence
        if fence is None:
            return
        self._facts.refresh()
        if not self._facts.has_membership or not self._states.is_current(CONFIG_STREAM):
            return
        if fence != self._facts.fence:
            self._begin_lease(fence)
        if self._step_down_if_dark():
            return
        groups = self._facts.control.groups
        self._drains.retain(groups)
        self._formations.retain(groups)
        for group_id in sorted(groups):
            reconcile_group = self._reconcilers.get(groups[group_id].state)
            if reconcile_group is not None:
                reconcile_group(groups[group_id])
        self._reconcile_free()
        self._repairer.run(fence)
        lasting = (GroupState.SERVING, GroupState.BROKEN)
        busy = any(group.state not in lasting for group in groups.values())
        self.period_s = TRANSIENT_PERIOD_S if busy else RECONCILE_PERIOD_S

    def poll_group(self, group: Group) -> None:
        """Poll the members of a group at once, after a watcher reports a fault."""
        if self._lease.fence is None:
            return
        for member in group.members:
            row = self._facts.rows().get(member)
            if row is not None:
                self._readbacks.poll(row, 0.0)

    def _begin_lease(self, fence: Fence) -> None:
        self._facts.begin_lease(fence)
        self._readbacks.clear()
        self._orders.clear()
        self._drains.clear()
        self._formations.clear()
        self._release_started_s.clear()
        self._note(EventKind.LEASE, "took over the groups", fence=fence)

    def _step_down_if_dark(self) -> bool:
        """Step down when the domain is silent, for an entry that may still reach it."""
        if (
            not self._readbacks.has_any_answer()
            or not self._readbacks.silent_instances()
        ):
            return False
        assigned = self._facts.control.assigned
        dark = any(
            self._facts.fitness(m) is Fitness.DARK
            for m in self._readbacks.silent_instances()
            if m in assigned
        )
        return dark and self._lease.step_down("no engine of the domain answers")

    def _move(self, group: Group, state: GroupState, reason: str = "") -> bool:
        fence = self._lease.fence
        if fence is None:
            return False
        if not self.propose(group.id, group_move(fence, group, state, reason)):
            return False
        detail = f"{group.state.value} to {state.value}"
        detail = f"{detail}: {reason}" if reason else detail
        self._note(EventKind.GROUP_STATE, detail, fence=fence, group=group.id)
        return True

    def _poll_members(self, group: Group, interval_s: float) -> None:
        for member in group.members:
            row = self._facts.rows().get(member)
            if row is None:
                continue
            answers = self._readbacks.is_answering(member)
            self._readbacks.poll(row, interval_s if answers else SILENT_POLL_INTERVAL_S)

    def _reconcile_forming(self, group: Group) -> None:
        fence = self._lease.fence
        if fence is None:
            return
        self._readbacks.clear_boots(group.id)
        fault = self._formations.fault(group)
        if group.fence != fence:
            fault = "the lease under which it formed was superseded"
        deployment = self._facts.deployments.get(group.deployment)
        if deployment is None:
            self._move(group, GroupState.RELEASING, "its deployment was removed")
        elif fault or is_outdated(group, deployment):
            self._move(group, GroupState.BROKEN, fault or "the manifest changed")
        elif self._formations.step(group):
            self._readbacks.record_boots(group)
            self._move(group, GroupState.SERVING)

    def _reconcile_serving(self, group: Group) -> None:
        self._poll_members(group, SERVING_POLL_INTERVAL_S)
        inspection = self._inspect(group)
        if inspection.fault:
            self._move(group, GroupState.BROKEN, inspection.fault)
        elif group.deployment not in self._facts.deployments:
            reason = DrainPurpose.DISSOLVE.reason("its deployment was removed")
            self._move(group, GroupState.DRAINING, reason)
        elif inspection.leaving:
            reason = DrainPurpose.REPAIR.reason(f"{inspection.leaving} is leaving")
            self._move(group, GroupState.DRAINING, reason)
        elif inspection.whole:
            self._readbacks.record_boots(group)

    def _inspect(self, group: Group) -> MemberInspection:
        whole, leaving = True, ""
        for member in group.members:
            fitness = self._facts.fitness(member)
            if fitness in (Fitness.MISSING, Fitness.DARK):
                return MemberInspection(fault=f"{member} is {fitness.value}")
            if fitness is Fitness.LEAVING:
                leaving = member
            if self._readbacks.latest(member) is None:
                whole = False
                continue
            mismatch = self._readbacks.mismatch(group, member)
            if mismatch:
                return MemberInspection(fault=f"{member} {mismatch}")
        return MemberInspection(leaving=leaving, whole=whole)

    def _reconcile_broken(self, group: Group) -> None:
        self._poll_members(group, SILENT_POLL_INTERVAL_S)
        self._readbacks.clear_boots(group.id)
        deployment = self._facts.deployments.get(group.deployment)
        if deployment is None:
            self._move(group, GroupState.RELEASING, "its deployment was removed")
        elif is_outdated(group, deployment):
            self._move(group, GroupState.RELEASING, "the manifest changed")
        else:
            self._bar_dead_members(group)

    def _bar_dead_members(self, group: Group) -> None:
        """Bar members that stay dead, so that other domains do not count them."""
        fence = self._lease.fence
        for member in group.members:
            if member in self._facts.control.barred or fence is None:
                continue
            if self._facts.dead_for_s(member) > DEAD_MEMBER_BAR_DELAY_S:
                bar = InstanceBar(
                    fence=fence, instance=member, barred=True, reason="is dead"
                )
                if self.propose(f"bar.{member}", bar):
                    detail = f"{member} is barred: it is dead"
                    self._note(EventKind.INSTANCE_STATE, detail, group=group.id)

    def _reconcile_draining(self, group: Group) -> None:
        self._poll_members(group, DRAIN_POLL_INTERVAL_S)
        after = AFTER_DRAIN[drain_purpose(group)]
        lost = [
            m
            for m in group.members
            if self._facts.fitness(m) in (Fitness.MISSING, Fitness.DARK)
        ]
        if lost:
            if after is not GroupState.RELEASING:
                after = GroupState.BROKEN
            self._move(group, after, f"{lost[0]} was lost while draining")
            return
        config = self._states.state(CONFIG_STREAM)
        deadline_s = drain_deadline_s(list(config.customer_sets().values()))
        if self._drains.is_drained(group, deadline_s):
            if self._move(group, after, group.reason):
                self._note(EventKind.DRAIN, "drained", group=group.id)

    def _reconcile_releasing(self, group: Group) -> None:
        fence = self._lease.fence
        began_s = self._release_started_s.setdefault(group.id, self._clock.now())
        self._poll_members(group, SILENT_POLL_INTERVAL_S)
        overdue = self._clock.now() - began_s > RELEASE_DEADLINE_S
        held = [m for m in group.members if not self._release_member(group, m, began_s)]
        lost = [m for m in held if self._facts.fitness(m) is Fitness.MISSING]
        if fence is None or (held != lost and not overdue):
            return
        bars = [
            InstanceBar(fence=fence, instance=m, barred=True, reason="not released")
            for m in held
            if m not in self._facts.control.barred
        ]
        end = GroupRelease(fence=fence, group=group.id, base=group.changed)
        if self.propose(group.id, *bars, end):
            self._release_started_s.pop(group.id, None)
            self._note(EventKind.GROUP_STATE, "released", group=group.id, fence=fence)

    def _release_member(self, group: Group, member: InstanceId, began_s: float) -> bool:
        latest = self._readbacks.latest(member)
        row = self._facts.rows().get(member)
        if row is None or latest is None or latest.asked_s < began_s:
            return False
        if latest.status.group == group.id:
            self._orders.release(row, group.id)
            return False
        return self._orders.is_settled(member)

    def _reconcile_free(self) -> None:
        control = self._facts.control
        rows = self._facts.rows()
        self._readbacks.retain(rows)
        for instance, row in rows.items():
            if instance in control.assigned:
                continue
            answers = self._readbacks.is_answering(instance)
            self._readbacks.poll(
                row,
                FREE_POLL_INTERVAL_S if answers else 2 * SILENT_POLL_INTERVAL_S,
            )
            latest = self._readbacks.latest(instance)
            if latest is not None and answers and latest.status.group is not None:
                self._orders.release(row, latest.status.group)
        for instance in control.barred:
            if self._can_unbar(instance):
                self._unbar(instance)

    def _can_unbar(self, instance: InstanceId) -> bool:
        if instance in self._facts.control.assigned:
            return self._facts.is_reachable(instance)
        now = self._clock.now()
        if not self._facts.is_listed(instance):
            return (
                now - self._unlisted_since_s.setdefault(instance, now)
                > UNLISTED_BAR_EXPIRY_S
            )
        self._unlisted_since_s.pop(instance, None)
        latest = self._readbacks.latest(instance)
        if latest is None or latest.status.group is not None:
            return False
        is_reachable = self._facts.is_reachable(instance)
        is_settled = self._orders.is_settled(instance)
        return is_reachable and is_settled and not self._facts.is_quarantined(instance)

    def _unbar(self, instance: InstanceId) -> None:
        fence = self._lease.fence
        if fence is None:
            return
        lift = InstanceBar(fence=fence, instance=instance, barred=False)
        if self.propose(f"bar.{instance}", lift):
            self._unlisted_since_s.pop(instance, None)
            self._note(EventKind.INSTANCE_STATE, f"{instance} is no longer barred")
