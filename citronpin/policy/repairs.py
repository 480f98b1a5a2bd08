"""Repair policies without costs, and the registry of repair policies."""

import logging

from citronpin.basics.ids import InstanceId
from citronpin.policy.plans import (
    Action,
    Dissolve,
    DomainView,
    Form,
    Health,
    InstanceView,
    RepairPolicy,
    Replace,
)
from citronpin.state.instances import InstanceState
from citronpin.state.states import Group, GroupState

logger = logging.getLogger(__name__)

UNUSABLE = frozenset({Health.DEAD, Health.DARK, Health.LEAVING, Health.RETURNED})
REPAIRS: dict[str, type[RepairPolicy]] = {}


def register(policy: type[RepairPolicy]) -> type[RepairPolicy]:
    """Register a repair policy by the name that settings use."""
    REPAIRS[policy.name] = policy
    return policy


def free_instances(view: DomainView) -> list[InstanceView]:
    """Return the live, healthy instances that can join a group, by id."""
    free = [
        instance_view
        for instance_view in view.instances
        if instance_view.group is None
        and not instance_view.barred
        and instance_view.health is Health.HEALTHY
        and instance_view.instance.state is InstanceState.LIVE
    ]
    return sorted(free, key=lambda instance_view: instance_view.instance.id)


def lost_members(view: DomainView, group: Group) -> list[InstanceId]:
    """Return the members of a group that can no longer serve in it."""
    by_id = {
        instance_view.instance.id: instance_view for instance_view in view.instances
    }
    return [
        member
        for member in group.members
        if member not in by_id or by_id[member].health in UNUSABLE
    ]


def can_reform(view: DomainView, group: Group) -> bool:
    """Return whether all members of a broken group are usable again.

    The controller of the group then forms it again with the same members.
    """
    if group.state is not GroupState.BROKEN:
        return False
    health = {
        instance_view.instance.id: instance_view.health
        for instance_view in view.instances
    }
    usable = (Health.HEALTHY, Health.STRAGGLER)
    return all(health.get(member) in usable for member in group.members)


@register
class ImmediateRepair(RepairPolicy):
    """Replaces lost members at once and forms groups up to each quota.

    It reserves no spare instances.
    """

    name = "immediate"

    def plan(self, *, view, now_s):
        free = [instance_view.instance.id for instance_view in free_instances(view)]
        actions: list[Action] = []
        for group in sorted(view.groups, key=lambda group: group.id):
            action = self._repair_group(view, group, free)
            if action is not None:
                actions.append(action)
        return (*actions, *self._match_quotas(view, free))

    def _repair_group(
        self, view, group: Group, free: list[InstanceId]
    ) -> Action | None:
        if group.state in (GroupState.RELEASING, GroupState.DRAINING):
            return None
        lost = lost_members(view, group)
        if not lost or len(lost) > len(free):
            return None
        joining = tuple(free.pop(0) for _ in lost)
        return Replace(group=group.id, leaving=tuple(lost), joining=joining)

    def _match_quotas(self, view: DomainView, free: list[InstanceId]) -> list[Action]:
        actions: list[Action] = []
        for deployment in view.deployments:
            existing = [
                group
                for group in view.groups
                if group.deployment == deployment.name
                and group.state is not GroupState.RELEASING
            ]
            quota = view.quotas.get(deployment.name, 0)
            surplus = sorted(existing, key=lambda group: group.id)[quota:]
            actions += [Dissolve(group.id, "over quota") for group in surplus]
            for _ in range(quota - len(existing)):
                if len(free) < deployment.members:
                    break
                members = tuple(free.pop(0) for _ in range(deployment.members))
                actions.append(Form(deployment=deployment.name, members=members))
        return actions


@register
class DissolveRepair(ImmediateRepair):
    """Dissolves each group that lost a member, so that a new group replaces it."""

    name = "dissolve"

    def _repair_group(self, view, group, free):
        if group.state in (GroupState.RELEASING, GroupState.DRAINING):
            return None
        if not lost_members(view, group):
            return None
        return Dissolve(group=group.id, reason="lost a member")
