"""Repair policies: how the groups of a fabric domain are formed and repaired."""

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

GONE = frozenset({Health.DEAD, Health.DARK, Health.LEAVING, Health.RETURNED})
REPAIRS: dict[str, type[RepairPolicy]] = {}


def register(policy: type[RepairPolicy]) -> type[RepairPolicy]:
    """Register a repair policy by the name that settings use."""
    REPAIRS[policy.name] = policy
    return policy


def free_instances(view: DomainView) -> list[InstanceView]:
    """Return the instances that may join a group, in a stable order."""
    free = [
        seen
        for seen in view.instances
        if seen.group is None
        and not seen.barred
        and seen.health is Health.HEALTHY
        and seen.instance.state is InstanceState.LIVE
    ]
    return sorted(free, key=lambda seen: seen.instance.id)


def lost_members(view: DomainView, group: Group) -> list[InstanceId]:
    """Return the members of a group that cannot serve in it any more."""
    by_id = {seen.instance.id: seen for seen in view.instances}
    return [
        member
        for member in group.members
        if member not in by_id or by_id[member].health in GONE
    ]


def can_reform(view: DomainView, group: Group) -> bool:
    """Return whether a broken group's members are all there again.

    Its controller then forms it anew with the same members.
    """
    if group.state is not GroupState.BROKEN:
        return False
    health = {seen.instance.id: seen.health for seen in view.instances}
    usable = (Health.HEALTHY, Health.STRAGGLER)
    return all(health.get(member) in usable for member in group.members)


@register
class ImmediateRepair(RepairPolicy):
    """Replaces lost members at once and fills each quota; keeps no spares."""

    name = "immediate"

    def plan(self, *, view, now_s):
        free = [seen.instance.id for seen in free_instances(view)]
        actions: list[Action] = []
        for group in sorted(view.groups, key=lambda group: group.id):
            action = self._mend(view, group, free)
            if action is not None:
                actions.append(action)
        return (*actions, *self._fill(view, free))

    def _mend(self, view, group: Group, free: list[InstanceId]) -> Action | None:
        if group.state in (GroupState.RELEASING, GroupState.DRAINING):
            return None
        lost = lost_members(view, group)
        if not lost or len(lost) > len(free):
            return None
        joining = tuple(free.pop(0) for _ in lost)
        return Replace(group=group.id, leaving=tuple(lost), joining=joining)

    def _fill(self, view: DomainView, free: list[InstanceId]) -> list[Action]:
        actions: list[Action] = []
        for wanted in view.deployments:
            have = [
                group
                for group in view.groups
                if group.deployment == wanted.name
                and group.state is not GroupState.RELEASING
            ]
            quota = view.quotas.get(wanted.name, 0)
            surplus = sorted(have, key=lambda group: group.id)[quota:]
            actions += [Dissolve(group.id, "over quota") for group in surplus]
            for _ in range(quota - len(have)):
                if len(free) < wanted.members:
                    break
                members = tuple(free.pop(0) for _ in range(wanted.members))
                actions.append(Form(deployment=wanted.name, members=members))
        return actions


@register
class DissolveRepair(ImmediateRepair):
    """Dissolves each group that lost a member and forms it again."""

    name = "dissolve"

    def _mend(self, view, group, free):
        if group.state in (GroupState.RELEASING, GroupState.DRAINING):
            return None
        if not lost_members(view, group):
            return None
        return Dissolve(group=group.id, reason="lost a member")
