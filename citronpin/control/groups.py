"""Groups of a fabric domain: formed, watched, repaired, drained and released."""

import logging

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.events import EventKind
from citronpin.basics.ids import CONFIG_STREAM, Fence, InstanceId
from citronpin.control.controllers import PERIOD_S, Controller, register
from citronpin.control.domains import DomainFacts, Fitness
from citronpin.control.drains import (
    AFTER_DRAIN,
    DrainPurpose,
    Drains,
    drain_deadline_s,
    purpose_of,
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

SERVING_POLL_S = 2.0
SILENT_POLL_S = 0.5  # for members that missed the last probe
DRAIN_POLL_S = 0.5
FREE_POLL_S = 4.0
BUSY_PERIOD_S = 0.25  # between runs while a group is not in a lasting state
BAR_DEAD_S = 30.0  # a dead member of a broken group is barred after this
RELEASE_DEADLINE_S = 10.0
BAR_FORGET_S = 600.0  # a barred instance that is not listed is forgotten after this


def outdated(group: Group, deployment: DeploymentManifest) -> bool:
    """Return whether a group has not what its deployment's manifest wants."""
    wanted = (deployment.model, deployment.version, set(deployment.adapters))
    if (group.model, group.version, set(group.adapters)) != wanted:
        return True
    return len(group.members) != deployment.members


def move(fence: Fence, group: Group, state: GroupState, reason: str = "") -> GroupMove:
    """Return the item that moves a group on from the state that was seen."""
    return GroupMove(
        fence=fence,
        group=group.id,
        state=state.value,
        reason=reason,
        base=group.changed,
    )


class Condition(msgspec.Struct, frozen=True):
    """What a look at the members of a serving group has found."""

    fault: str = ""
    leaving: str = ""  # a member that is leaving
    whole: bool = False  # whether every member was read back


@register
class GroupController(Controller):
    """Holds the groups of a fabric domain to what the manifests want."""

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
            pending=self.pending,
        )
        self._releasing_s: dict = {}  # GroupId -> when its release began
        self._absent_s: dict[InstanceId, float] = {}  # barred and not listed
        self._steps = {
            GroupState.FORMING: self._forming,
            GroupState.SERVING: self._serving,
            GroupState.BROKEN: self._broken,
            GroupState.DRAINING: self._draining,
            GroupState.RELEASING: self._releasing,
        }

    def pending(self) -> int:
        """Return how many subjects have a proposal under way or held back."""
        return len(self._blocked)

    def reconcile(self) -> None:
        fence = self._lease.fence
        if fence is None:
            return
        self._facts.refresh()
        if not self._facts.known or not self._states.is_current(CONFIG_STREAM):
            return
        if fence != self._facts.fence:
            self._adopt(fence)
        if self._hand_over_dark():
            return
        groups = self._facts.control.groups
        self._drains.keep(groups)
        self._formations.keep(groups)
        for group_id in sorted(groups):
            step = self._steps.get(groups[group_id].state)
            if step is not None:
                step(groups[group_id])
        self._tend_free()
        self._repairer.run(fence)
        lasting = (GroupState.SERVING, GroupState.BROKEN)
        busy = any(group.state not in lasting for group in groups.values())
        self.period_s = BUSY_PERIOD_S if busy else PERIOD_S

    def report(self, group: Group) -> None:
        """Ask the members of a group at once, since a watcher reports it faulty."""
        if self._lease.fence is None:
            return
        for member in group.members:
            row = self._facts.rows().get(member)
            if row is not None:
                self._readbacks.poll(row, 0.0)

    def _adopt(self, fence: Fence) -> None:
        self._facts.adopt(fence)
        self._readbacks.forget_all()
        self._orders.drop()
        self._drains.drop()
        self._formations.drop()
        self._releasing_s.clear()
        self._note(EventKind.LEASE, "takes over the groups", fence=fence)

    def _hand_over_dark(self) -> bool:
        """Leave a domain that fell silent to an entry that may still reach it."""
        if not self._readbacks.heard_any() or not self._readbacks.silent():
            return False
        assigned = self._facts.control.assigned
        dark = any(
            self._facts.fitness(m) is Fitness.DARK
            for m in self._readbacks.silent()
            if m in assigned
        )
        return dark and self._lease.step_down("no engine of the domain answers")

    def _move(self, group: Group, state: GroupState, reason: str = "") -> bool:
        fence = self._lease.fence
        if fence is None:
            return False
        if not self.propose(group.id, move(fence, group, state, reason)):
            return False
        detail = f"{group.state.value} to {state.value}"
        detail = f"{detail}: {reason}" if reason else detail
        self._note(EventKind.GROUP_STATE, detail, fence=fence, group=group.id)
        return True

    def _poll(self, group: Group, interval_s: float) -> None:
        for member in group.members:
            row = self._facts.rows().get(member)
            if row is None:
                continue
            heard = self._readbacks.answers(member)
            self._readbacks.poll(row, interval_s if heard else SILENT_POLL_S)

    def _forming(self, group: Group) -> None:
        fence = self._lease.fence
        if fence is None:
            return
        self._readbacks.drop_boots(group.id)
        fault = self._formations.fault(group)
        if group.fence != fence:
            fault = "the lease under which it formed was superseded"
        deployment = self._facts.deployments.get(group.deployment)
        if deployment is None:
            self._move(group, GroupState.RELEASING, "its deployment was removed")
        elif fault or outdated(group, deployment):
            self._move(group, GroupState.BROKEN, fault or "the manifest changed")
        elif self._formations.step(group):
            self._readbacks.keep_boots(group)
            self._move(group, GroupState.SERVING)

    def _serving(self, group: Group) -> None:
        self._poll(group, SERVING_POLL_S)
        found = self._inspect(group)
        if found.fault:
            self._move(group, GroupState.BROKEN, found.fault)
        elif group.deployment not in self._facts.deployments:
            reason = DrainPurpose.DISSOLVE.reason("its deployment was removed")
            self._move(group, GroupState.DRAINING, reason)
        elif found.leaving:
            reason = DrainPurpose.REPAIR.reason(f"{found.leaving} is leaving")
            self._move(group, GroupState.DRAINING, reason)
        elif found.whole:
            self._readbacks.keep_boots(group)

    def _inspect(self, group: Group) -> Condition:
        whole, leaving = True, ""
        for member in group.members:
            fitness = self._facts.fitness(member)
            if fitness in (Fitness.MISSING, Fitness.DARK):
                return Condition(fault=f"{member} is {fitness.value}")
            if fitness is Fitness.LEAVING:
                leaving = member
            if self._readbacks.seen(member) is None:
                whole = False
                continue
            difference = self._readbacks.difference(group, member)
            if difference:
                return Condition(fault=f"{member} {difference}")
        return Condition(leaving=leaving, whole=whole)

    def _broken(self, group: Group) -> None:
        self._poll(group, SILENT_POLL_S)
        self._readbacks.drop_boots(group.id)
        deployment = self._facts.deployments.get(group.deployment)
        if deployment is None:
            self._move(group, GroupState.RELEASING, "its deployment was removed")
        elif outdated(group, deployment):
            self._move(group, GroupState.RELEASING, "the manifest changed")
        else:
            self._bar_dead(group)

    def _bar_dead(self, group: Group) -> None:
        """Bar members that stay dead, so that other domains see them missing."""
        fence = self._lease.fence
        for member in group.members:
            if member in self._facts.control.barred or fence is None:
                continue
            if self._facts.dead_for_s(member) > BAR_DEAD_S:
                bar = InstanceBar(
                    fence=fence, instance=member, barred=True, reason="is dead"
                )
                if self.propose(f"bar.{member}", bar):
                    detail = f"{member} is barred: it is dead"
                    self._note(EventKind.INSTANCE_STATE, detail, group=group.id)

    def _draining(self, group: Group) -> None:
        self._poll(group, DRAIN_POLL_S)
        after = AFTER_DRAIN[purpose_of(group)]
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
        if self._drains.drained(group, deadline_s):
            if self._move(group, after, group.reason):
                self._note(EventKind.DRAIN, "drained", group=group.id)

    def _releasing(self, group: Group) -> None:
        fence = self._lease.fence
        began_s = self._releasing_s.setdefault(group.id, self._clock.now())
        self._poll(group, SILENT_POLL_S)
        overdue = self._clock.now() - began_s > RELEASE_DEADLINE_S
        held = [m for m in group.members if not self._let_go(group, m, began_s)]
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
            self._releasing_s.pop(group.id, None)
            self._note(EventKind.GROUP_STATE, "released", group=group.id, fence=fence)

    def _let_go(self, group: Group, member: InstanceId, began_s: float) -> bool:
        seen = self._readbacks.seen(member)
        row = self._facts.rows().get(member)
        if row is None or seen is None or seen.asked_s < began_s:
            return False
        if seen.status.group == group.id:
            self._orders.release(row, group.id)
            return False
        return self._orders.quiet(member)

    def _tend_free(self) -> None:
        control = self._facts.control
        rows = self._facts.rows()
        self._readbacks.forget(rows)
        for instance, row in rows.items():
            if instance in control.assigned:
                continue
            heard = self._readbacks.answers(instance)
            self._readbacks.poll(row, FREE_POLL_S if heard else 2 * SILENT_POLL_S)
            seen = self._readbacks.seen(instance)
            if seen is not None and heard and seen.status.group is not None:
                self._orders.release(row, seen.status.group)
        for instance in control.barred:
            if self._may_unbar(instance):
                self._unbar(instance)

    def _may_unbar(self, instance: InstanceId) -> bool:
        if instance in self._facts.control.assigned:
            return self._facts.reachable(instance)
        now = self._clock.now()
        if not self._facts.listed(instance):
            return now - self._absent_s.setdefault(instance, now) > BAR_FORGET_S
        self._absent_s.pop(instance, None)
        seen = self._readbacks.seen(instance)
        if seen is None or seen.status.group is not None:
            return False
        reachable = self._facts.reachable(instance)
        quiet = self._orders.quiet(instance)
        return reachable and quiet and not self._facts.quarantined(instance)

    def _unbar(self, instance: InstanceId) -> None:
        fence = self._lease.fence
        if fence is None:
            return
        lift = InstanceBar(fence=fence, instance=instance, barred=False)
        if self.propose(f"bar.{instance}", lift):
            self._absent_s.pop(instance, None)
            self._note(EventKind.INSTANCE_STATE, f"{instance} is free again")
