"""Execution of a repair policy's plan, with limits and checks against the fold."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import Fence, GroupId
from citronpin.control.domains import DomainFacts
from citronpin.control.orders import Orders
from citronpin.policy.plans import (
    Dissolve,
    Form,
    Health,
    Preload,
    RepairPolicy,
    Replace,
)
from citronpin.state.records import GroupForm, GroupReplace, InstanceBar
from citronpin.state.states import Group, GroupState

logger = logging.getLogger(__name__)

PLAN_PERIOD_S = 1.0
MAX_FORMING = 8  # concurrent formations of a fabric domain
REFORM_BACKOFF_S = 1.0  # doubles each time the same members form again
REFORM_BACKOFF_MAX_S = 30.0
REFORM_COUNT_RESET_S = 120.0
SILENT_HEALTH = frozenset({Health.PAUSED, Health.DEAD, Health.DARK})


class _ReformHistory(msgspec.Struct, frozen=True):
    """When a group last formed again with the same members, and how often."""

    at_s: float
    count: int


class Repairer:
    """Runs the repair policy and proposes the actions of its plan.

    A broken group whose members are all usable again is formed with the same
    members, unless the plan replaces a member or dissolves the group.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        facts: DomainFacts,
        orders: Orders,
        policy: RepairPolicy,
        propose: Callable[..., bool],
        move: Callable[..., bool],
        pending_proposals: Callable[[], int],
        max_forming: int = MAX_FORMING,
    ) -> None:
        self._clock = clock
        self._facts = facts
        self._orders = orders
        self._policy = policy
        self._propose = propose
        self._move = move
        self._pending_proposals = pending_proposals
        self._max_forming = max_forming
        self._next_plan_s = 0.0
        self._formation_slots = 0
        self._formed_count = 0  # makes group ids unique within one fence
        self._reforms: dict[GroupId, _ReformHistory] = {}

    def run(self, fence: Fence) -> None:
        """Plan and act, at most once every ``PLAN_PERIOD_S``."""
        now = self._clock.now()
        if now < self._next_plan_s:
            return
        self._next_plan_s = now + PLAN_PERIOD_S
        self._formation_slots = self._count_formation_slots()
        plan = self._policy.plan(view=self._facts.view(), now_s=now)
        # Without a leaving member the group forms again in place, with backoff.
        plan = [a for a in plan if not isinstance(a, Replace) or a.leaving]
        planned = {a.group for a in plan if isinstance(a, (Replace, Dissolve))}
        self._reform_broken(planned)
        for action in plan:
            if isinstance(action, Replace):
                self._replace(fence, action)
            elif isinstance(action, Dissolve):
                self._dissolve(action)
            elif isinstance(action, Preload):
                self._preload(action)
        self._propose_formations(fence, [a for a in plan if isinstance(a, Form)])

    def _count_formation_slots(self) -> int:
        busy = (GroupState.FORMING, GroupState.RELOADING)
        groups = self._facts.control.groups.values()
        forming = sum(group.state in busy for group in groups)
        return self._max_forming - forming - self._pending_proposals()

    def _reform_broken(self, planned: set[GroupId]) -> None:
        groups = self._facts.control.groups
        self._reforms = {g: r for g, r in self._reforms.items() if g in groups}
        for group in groups.values():
            if group.state is not GroupState.BROKEN or group.id in planned:
                continue
            if self._formation_slots > 0 and self._can_reform(group):
                reason = "all members are back"
                if self._move(group, GroupState.FORMING, reason):
                    self._formation_slots -= 1
                    self._count_reform(group)

    def _can_reform(self, group: Group) -> bool:
        if not all(self._facts.is_usable(member) for member in group.members):
            return False
        known = self._reforms.get(group.id)
        if known is None:
            return True
        backoff_s = REFORM_BACKOFF_S * 2 ** min(known.count, 8)
        waited_s = self._clock.now() - known.at_s
        return waited_s >= min(backoff_s, REFORM_BACKOFF_MAX_S)

    def _count_reform(self, group: Group) -> None:
        now = self._clock.now()
        known = self._reforms.get(group.id)
        recent = known is not None and now - known.at_s < REFORM_COUNT_RESET_S
        count = known.count + 1 if recent else 0
        self._reforms[group.id] = _ReformHistory(at_s=now, count=count)

    def _replace(self, fence: Fence, action: Replace) -> None:
        group = self._facts.control.groups.get(action.group)
        if group is None or not self._can_join(action.joining):
            return
        if group.state is GroupState.SERVING:
            self._take_out_of_service(group, action)
        elif group.state is GroupState.FORMING:
            self._move(group, GroupState.BROKEN, "a member is to be replaced")
        elif group.state is GroupState.BROKEN and self._formation_slots > 0:
            if self._propose(group.id, *self._replacement_items(fence, group, action)):
                self._formation_slots -= 1

    def _take_out_of_service(self, group: Group, action: Replace) -> None:
        """Drain a serving group, or break it if a leaving member does not answer.

        A silent member cannot finish its streams.
        """
        silent = [m for m in action.leaving if self._facts.health(m) in SILENT_HEALTH]
        if silent:
            reason = f"{silent[0]} does not answer"
            self._move(group, GroupState.BROKEN, reason)
            return
        reason = f"repair: {action.leaving[0]} is to be replaced"
        self._move(group, GroupState.DRAINING, reason)

    def _replacement_items(self, fence: Fence, group: Group, action: Replace) -> list:
        barred = self._facts.control.barred
        bars = [
            InstanceBar(fence=fence, instance=m, barred=True, reason="was replaced")
            for m in action.leaving
            if not self._facts.is_reachable(m) and m not in barred
        ]
        replace = GroupReplace(
            fence=fence,
            group=group.id,
            leaving=action.leaving,
            joining=action.joining,
            base=group.changed,
        )
        return [*bars, replace]

    def _dissolve(self, action: Dissolve) -> None:
        group = self._facts.control.groups.get(action.group)
        if group is None:
            return
        if group.state is GroupState.SERVING:
            self._move(group, GroupState.DRAINING, f"dissolve: {action.reason}")
        elif group.state in (GroupState.FORMING, GroupState.BROKEN):
            self._move(group, GroupState.RELEASING, action.reason)

    def _preload(self, action: Preload) -> None:
        deployment = self._facts.deployments.get(action.deployment)
        if deployment is not None and self._facts.is_assignable(action.instance):
            self._orders.load(self._facts.rows()[action.instance], deployment)

    def _propose_formations(self, fence: Fence, actions: list[Form]) -> None:
        items = []
        for action in actions:
            if len(items) < self._formation_slots and self._can_join(action.members):
                item = self._form_item(fence, action)
                items += [item] if item else []
        if items:
            self._propose("form", *items)

    def _form_item(self, fence: Fence, action: Form) -> GroupForm | None:
        deployment = self._facts.deployments.get(action.deployment)
        if deployment is None or len(action.members) != deployment.members:
            return None
        self._formed_count += 1
        return GroupForm(
            fence=fence,
            group=GroupId(
                f"{deployment.name}-{self._facts.domain}-{fence}-{self._formed_count}"
            ),
            deployment=deployment.name,
            members=action.members,
            model=deployment.model,
            version=deployment.version,
            adapters=deployment.adapters,
        )

    def _can_join(self, instances) -> bool:
        return all(
            self._facts.is_assignable(instance) and self._orders.is_settled(instance)
            for instance in instances
        )
