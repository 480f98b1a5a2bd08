"""The repair policy that weighs group downtime against stranded instances."""

import logging

import msgspec

from citronpin.basics.ids import DeploymentName, GroupId, InstanceId
from citronpin.policy.plans import (
    Action,
    Dissolve,
    DomainView,
    Form,
    Health,
    InstanceView,
    Preload,
    RepairPolicy,
    Replace,
    Wait,
)
from citronpin.policy.repairs import free_instances, lost_members, register
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.states import Group, GroupState

logger = logging.getLogger(__name__)

MINUTES_PER_WEEK = 7 * 24 * 60
ENDING = frozenset({GroupState.RELEASING, GroupState.DRAINING})
DISSOLVE_PREFIX = "dissolve:"  # of the reason of a group that drains to end
RECHECK_INTERVAL_S = 10.0


def critical_period_factor(deployment: DeploymentManifest, minute: int) -> float:
    """Return the factor on the cost of downtime at a minute of the week.

    It is the largest of the critical periods at that minute, and 1 outside of them.
    """
    factor = 1.0
    for period in deployment.critical_periods:
        length = (period.end_minute - period.start_minute) % MINUTES_PER_WEEK
        if (minute - period.start_minute) % MINUTES_PER_WEEK < length:
            factor = max(factor, period.downtime_factor)
    return factor


def downtime_rate(deployment: DeploymentManifest, minute: int) -> float:
    """Return the cost per second of one group that is down."""
    return (
        deployment.downtime_weight
        * deployment.members
        * critical_period_factor(deployment, minute)
    )


class ImpairedGroup(msgspec.Struct):
    """A group that lost members or is too slow, with the members to replace."""

    group: Group
    wanted: DeploymentManifest
    lost: list[InstanceId]
    cost: float  # of its downtime, per second
    optional: bool = False  # the group serves, but too slowly


class Plan(msgspec.Struct):
    """The actions planned so far, with the instances and repairs still available."""

    view: DomainView
    now_s: float
    free: list[InstanceView]
    budget: int  # repairs that can still start
    actions: list[Action] = []
    taken: set[GroupId] = set()  # groups that this plan acts on or waits for


@register
class WeightedRepair(RepairPolicy):
    """Repairs with spares, by dissolving a group of less value, or by waiting.

    A second of downtime costs the deployment's ``downtime_weight`` for each member,
    times the factor of a critical period; an instance that serves in no group costs
    ``stranded_weight`` per second. At most ``repairs_in_flight`` groups of a domain
    load at once, those with the highest cost first. A paused member is waited for
    during the share ``pause_wait`` of the time that a repair would take.
    """

    name = "weighted"

    def __init__(
        self,
        *,
        pause_wait: float = 0.15,
        straggler_wait_s: float = 120.0,
        repairs_in_flight: int = 2,
        load_s: float = 180.0,
        warm_load_s: float = 20.0,
        replacement_s: float = 3_600.0,
        gain_margin: float = 0.25,
        preload: bool = True,
    ) -> None:
        self._pause_wait = pause_wait
        self._straggler_wait_s = straggler_wait_s
        self._repairs_in_flight = repairs_in_flight
        self._load_s = load_s
        self._warm_load_s = warm_load_s
        self._replacement_s = replacement_s
        self._gain_margin = gain_margin
        self._may_preload = preload

    def plan(self, *, view, now_s):
        loading = sum(group.state is GroupState.FORMING for group in view.groups)
        plan = Plan(
            view=view,
            now_s=now_s,
            free=free_instances(view),
            budget=self._repairs_in_flight - loading,
        )
        by_name = {deployment.name: deployment for deployment in view.deployments}
        impaired_groups = self._find_impaired_groups(plan, by_name)
        short_groups = [
            impaired
            for impaired in impaired_groups
            if not self._replace(plan, impaired)
        ]
        self._dissolve_donors(plan, short_groups, by_name)
        self._match_quotas(plan)
        if not impaired_groups and plan.budget > 0:
            self._preload(plan)
        return tuple(plan.actions)

    def _find_impaired_groups(self, plan: Plan, by_name) -> list[ImpairedGroup]:
        """Return the impaired groups, the highest cost per lost member first.

        Groups that still serve come last.
        """
        found = []
        for group in sorted(plan.view.groups, key=lambda group: group.id):
            deployment = by_name.get(group.deployment)
            if deployment is None or group.state in ENDING:
                continue
            impaired = self._assess_group(plan, group, deployment)
            if impaired is not None:
                found.append(impaired)
        found.sort(
            key=lambda impaired: (
                impaired.optional,
                -impaired.cost / len(impaired.lost),
            )
        )
        return found

    def _assess_group(
        self, plan: Plan, group: Group, deployment
    ) -> ImpairedGroup | None:
        cost = downtime_rate(deployment, plan.view.minute_of_week)
        views = {
            instance_view.instance.id: instance_view
            for instance_view in plan.view.instances
        }
        members = [views[member] for member in group.members if member in views]
        dark = [
            instance_view
            for instance_view in members
            if instance_view.health is Health.DARK
        ]
        if dark:
            self._wait(
                plan, group, plan.now_s + RECHECK_INTERVAL_S, "the domain is dark"
            )
            return None
        lost = lost_members(plan.view, group)
        paused = [
            instance_view
            for instance_view in members
            if instance_view.health is Health.PAUSED
        ]
        pause_wait_s = self._pause_wait_s(plan, deployment, len(paused))
        overdue = [
            instance_view
            for instance_view in paused
            if self._has_waited(plan, instance_view, pause_wait_s)
        ]
        if lost or overdue:
            lost = lost + [instance_view.instance.id for instance_view in paused]
            return ImpairedGroup(group=group, wanted=deployment, lost=lost, cost=cost)
        if paused:
            until_s = (
                min(instance_view.since_s for instance_view in paused) + pause_wait_s
            )
            self._wait(plan, group, until_s, "a member is paused")
            return None
        return self._assess_stragglers(plan, group, deployment, members, cost)

    def _assess_stragglers(
        self, plan, group, deployment, members, cost
    ) -> ImpairedGroup | None:
        slow = [
            instance_view.instance.id
            for instance_view in members
            if instance_view.health is Health.STRAGGLER
            and self._has_waited(plan, instance_view, self._straggler_wait_s)
        ]
        is_uncritical = (
            critical_period_factor(deployment, plan.view.minute_of_week) <= 1.0
        )
        if not slow or not is_uncritical or group.state is not GroupState.SERVING:
            return None
        return ImpairedGroup(
            group=group, wanted=deployment, lost=slow, cost=cost, optional=True
        )

    def _pause_wait_s(self, plan: Plan, deployment, count: int) -> float:
        """Return how long to wait for paused members, from the time of a repair."""
        warm = sum(_is_warm(instance_view, deployment) for instance_view in plan.free)
        load_s = self._warm_load_s if warm >= count else self._load_s
        return self._pause_wait * load_s

    def _has_waited(self, plan: Plan, instance: InstanceView, wait_s: float) -> bool:
        return plan.now_s - instance.since_s >= wait_s

    def _wait(self, plan: Plan, group: Group, until_s: float, reason: str) -> None:
        plan.actions.append(Wait(group=group.id, until_s=until_s, reason=reason))
        plan.taken.add(group.id)

    def _replace(self, plan: Plan, impaired: ImpairedGroup) -> bool:
        """Replace lost members by free instances; return whether the group is settled.

        It is not when it lost more members than there are free instances.
        """
        if len(impaired.lost) > len(plan.free):
            return impaired.optional
        plan.taken.add(impaired.group.id)
        if plan.budget <= 0:
            if not impaired.optional:
                until_s = plan.now_s + RECHECK_INTERVAL_S
                self._wait(plan, impaired.group, until_s, "other repairs go first")
                del plan.free[: len(impaired.lost)]
            return True
        joining = self._allocate(plan, len(impaired.lost), impaired.wanted)
        leaving = tuple(impaired.lost)
        plan.actions.append(Replace(impaired.group.id, leaving, joining))
        return True

    def _allocate(self, plan: Plan, count: int, deployment) -> tuple[InstanceId, ...]:
        """Allocate free instances, those with the model loaded first."""
        plan.budget -= 1
        plan.free.sort(
            key=lambda instance_view: (
                not _is_warm(instance_view, deployment),
                instance_view.instance.id,
            )
        )
        chosen, plan.free[:] = plan.free[:count], plan.free[count:]
        return tuple(instance_view.instance.id for instance_view in chosen)

    def _dissolve_donors(
        self, plan: Plan, short_groups: list[ImpairedGroup], by_name
    ) -> None:
        """Dissolve groups whose members have more value in ``short_groups``.

        ``short_groups`` holds the groups for which too few instances are free.
        """
        releasing = sum(
            len(group.members) for group in plan.view.groups if _is_dissolving(group)
        )
        for impaired in short_groups:
            if impaired.group.id in plan.taken:
                continue
            missing = len(impaired.lost) - len(plan.free) - releasing
            donor = (
                self._find_donor(plan, impaired, short_groups, by_name)
                if missing > 0
                else None
            )
            if donor is None:
                until_s = plan.now_s + RECHECK_INTERVAL_S
                self._wait(plan, impaired.group, until_s, "no instance is free")
                continue
            plan.taken |= {donor.id, impaired.group.id}
            reason = f"its members are worth more in {impaired.group.id}"
            plan.actions.append(Dissolve(group=donor.id, reason=reason))

    def _find_donor(
        self, plan: Plan, impaired: ImpairedGroup, short_groups, by_name
    ) -> Group | None:
        lost = {other.group.id: len(other.lost) for other in short_groups}
        missing = len(impaired.lost) - len(plan.free)
        best = None
        for group in plan.view.groups:
            deployment = by_name.get(group.deployment)
            usable = len(group.members) - lost.get(group.id, 0)
            if (
                deployment is None
                or group.id in plan.taken
                or group.id == impaired.group.id
                or group.state in ENDING
                or usable < missing
            ):
                continue
            is_broken = group.id in lost
            cost = self._dissolve_cost(
                plan, impaired, deployment, usable - missing, is_broken
            )
            if cost < 0 and (best is None or (cost, group.id) < best[:2]):
                best = (cost, group.id, group)
        return best[2] if best else None

    def _dissolve_cost(
        self,
        plan,
        impaired: ImpairedGroup,
        donor,
        surplus_members: int,
        is_broken: bool,
    ) -> float:
        """Return the expected cost of dissolving a donor; negative is a gain."""
        minute = plan.view.minute_of_week
        intact_members = len(impaired.group.members) - len(impaired.lost)
        donor_cost = 0.0 if is_broken else downtime_rate(donor, minute)
        gain = impaired.cost + impaired.wanted.stranded_weight * intact_members
        price = donor_cost + donor.stranded_weight * (
            0 if is_broken else surplus_members
        )
        price += self._gain_margin * donor_cost
        benefit_s = self._replacement_s - self._load_s
        return price * self._replacement_s - gain * benefit_s

    def _match_quotas(self, plan: Plan) -> None:
        """Form missing groups and dissolve those above the quotas."""
        view = plan.view
        order = sorted(
            view.deployments,
            key=lambda deployment: (
                -downtime_rate(deployment, view.minute_of_week) / deployment.members,
                deployment.name,
            ),
        )
        for deployment in order:
            existing = [
                group
                for group in view.groups
                if group.deployment == deployment.name and not _is_dissolving(group)
            ]
            quota = view.quotas.get(deployment.name, 0)
            self._dissolve_surplus(plan, deployment.name, existing, quota)
            for _ in range(quota - len(existing)):
                if plan.budget <= 0 or len(plan.free) < deployment.members:
                    break
                members = self._allocate(plan, deployment.members, deployment)
                plan.actions.append(Form(deployment=deployment.name, members=members))

    def _preload(self, plan: Plan) -> None:
        """Load the model of the deployment with the greatest need on one spare."""
        deployments = [
            deployment for deployment in plan.view.deployments if deployment.groups
        ]
        cold = [
            instance_view
            for instance_view in plan.free
            if not any(
                _is_warm(instance_view, deployment) for deployment in deployments
            )
        ]
        if not (self._may_preload and cold and deployments):
            return

        def need(deployment: DeploymentManifest) -> float:
            quota = plan.view.quotas.get(deployment.name, 0)
            warm = sum(
                _is_warm(instance_view, deployment) for instance_view in plan.free
            )
            rate = downtime_rate(deployment, plan.view.minute_of_week)
            return quota * deployment.members * rate / (warm + 1)

        deployment = max(deployments, key=need)
        plan.actions.append(Preload(cold[0].instance.id, deployment.name))

    def _dissolve_surplus(
        self, plan: Plan, name: DeploymentName, existing, quota: int
    ) -> None:
        """Dissolve the groups above the quota, those that do not serve first."""
        surplus = len(existing) - quota
        if surplus <= 0:
            return
        existing = sorted(
            (group for group in existing if group.state not in ENDING),
            key=lambda group: (group.state is GroupState.SERVING, group.id),
        )
        for group in existing[:surplus]:
            plan.actions = [
                action
                for action in plan.actions
                if getattr(action, "group", None) != group.id
            ]
            plan.actions.append(Dissolve(group=group.id, reason="over quota"))


def _is_dissolving(group: Group) -> bool:
    """Return whether a group is being dissolved, not repaired or reloaded."""
    if group.state is GroupState.RELEASING:
        return True
    return group.state is GroupState.DRAINING and group.reason.startswith(
        DISSOLVE_PREFIX
    )


def _is_warm(instance: InstanceView, deployment: DeploymentManifest) -> bool:
    """Return whether an instance has the model and version loaded."""
    return instance.model == deployment.model and instance.version == deployment.version
