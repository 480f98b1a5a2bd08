"""The repair policy that weighs group downtime against stranded accelerators."""

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
DISSOLVING = "dissolve:"  # begins the reason of a drain that ends a group
RECHECK_S = 10.0


def critical_period_factor(wanted: DeploymentManifest, minute: int) -> float:
    """Return the factor on downtime at a minute of the week, 1 outside periods."""
    factor = 1.0
    for period in wanted.critical_periods:
        length = (period.end_minute - period.start_minute) % MINUTES_PER_WEEK
        if (minute - period.start_minute) % MINUTES_PER_WEEK < length:
            factor = max(factor, period.downtime_factor)
    return factor


def downtime_rate(wanted: DeploymentManifest, minute: int) -> float:
    """Return the cost a second of one group that is down."""
    return (
        wanted.downtime_weight * wanted.members * critical_period_factor(wanted, minute)
    )


class Damage(msgspec.Struct):
    """A group that does not serve, or should not, and what it lacks."""

    group: Group
    wanted: DeploymentManifest
    lost: list[InstanceId]
    cost: float  # of its downtime, a second
    optional: bool = False  # it serves, too slowly


class Plan(msgspec.Struct):
    """A plan in the making."""

    view: DomainView
    now_s: float
    free: list[InstanceView]
    budget: int  # repairs that may still start
    actions: list[Action] = []
    taken: set[GroupId] = set()


@register
class WeightedRepair(RepairPolicy):
    """Repairs by spare, by breaking up a group of less value, or by waiting.

    Costs are a second of downtime at the deployment's ``downtime_weight`` (times the
    factor of a critical period) for each member, and ``stranded_weight`` for each
    instance that serves in no group. No more than ``repairs_in_flight`` groups of a
    domain load at once, those that cost the most first. A pause is waited for during
    ``pause_wait`` of the time that the repair would take.
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
        by_name = {wanted.name: wanted for wanted in view.deployments}
        damages = self._damages(plan, by_name)
        short = [damage for damage in damages if not self._replace(plan, damage)]
        self._break_up(plan, short, by_name)
        self._fill(plan)
        if not damages and plan.budget > 0:
            self._preload(plan)
        return tuple(plan.actions)

    def _damages(self, plan: Plan, by_name) -> list[Damage]:
        """Return what to mend, what costs the most for each instance first."""
        found = []
        for group in sorted(plan.view.groups, key=lambda group: group.id):
            wanted = by_name.get(group.deployment)
            if wanted is None or group.state in ENDING:
                continue
            damage = self._damage(plan, group, wanted)
            if damage is not None:
                found.append(damage)
        found.sort(key=lambda one: (one.optional, -one.cost / len(one.lost)))
        return found

    def _damage(self, plan: Plan, group: Group, wanted) -> Damage | None:
        cost = downtime_rate(wanted, plan.view.minute_of_week)
        seen = {one.instance.id: one for one in plan.view.instances}
        members = [seen[member] for member in group.members if member in seen]
        dark = [one for one in members if one.health is Health.DARK]
        if dark:
            self._wait(plan, group, plan.now_s + RECHECK_S, "the domain is dark")
            return None
        lost = lost_members(plan.view, group)
        paused = [one for one in members if one.health is Health.PAUSED]
        pause_wait_s = self._pause_wait_s(plan, wanted, len(paused))
        over = [one for one in paused if self._waited(plan, one, pause_wait_s)]
        if lost or over:
            lost = lost + [one.instance.id for one in paused]
            return Damage(group=group, wanted=wanted, lost=lost, cost=cost)
        if paused:
            until_s = min(one.since_s for one in paused) + pause_wait_s
            self._wait(plan, group, until_s, "a member is paused")
            return None
        return self._slow_damage(plan, group, wanted, members, cost)

    def _slow_damage(self, plan, group, wanted, members, cost) -> Damage | None:
        slow = [
            one.instance.id
            for one in members
            if one.health is Health.STRAGGLER
            and self._waited(plan, one, self._straggler_wait_s)
        ]
        calm = critical_period_factor(wanted, plan.view.minute_of_week) <= 1.0
        if not slow or not calm or group.state is not GroupState.SERVING:
            return None
        return Damage(group=group, wanted=wanted, lost=slow, cost=cost, optional=True)

    def _pause_wait_s(self, plan: Plan, wanted, count: int) -> float:
        """Return how long to wait for paused members, by what a repair takes."""
        warm = sum(_is_warm(one, wanted) for one in plan.free)
        load_s = self._warm_load_s if warm >= count else self._load_s
        return self._pause_wait * load_s

    def _waited(self, plan: Plan, one: InstanceView, wait_s: float) -> bool:
        return plan.now_s - one.since_s >= wait_s

    def _wait(self, plan: Plan, group: Group, until_s: float, reason: str) -> None:
        plan.actions.append(Wait(group=group.id, until_s=until_s, reason=reason))
        plan.taken.add(group.id)

    def _replace(self, plan: Plan, damage: Damage) -> bool:
        """Repair by free instances; return whether nothing else is to be done."""
        if len(damage.lost) > len(plan.free):
            return damage.optional
        plan.taken.add(damage.group.id)
        if plan.budget <= 0:
            if not damage.optional:
                until_s = plan.now_s + RECHECK_S
                self._wait(plan, damage.group, until_s, "other repairs go first")
                del plan.free[: len(damage.lost)]
            return True
        joining = self._take(plan, len(damage.lost), damage.wanted)
        leaving = tuple(damage.lost)
        plan.actions.append(Replace(damage.group.id, leaving, joining))
        return True

    def _take(self, plan: Plan, count: int, wanted) -> tuple[InstanceId, ...]:
        """Take free instances, those that have the model loaded first."""
        plan.budget -= 1
        plan.free.sort(key=lambda one: (not _is_warm(one, wanted), one.instance.id))
        chosen, plan.free[:] = plan.free[:count], plan.free[count:]
        return tuple(one.instance.id for one in chosen)

    def _break_up(self, plan: Plan, short: list[Damage], by_name) -> None:
        """Dissolve groups whose members are worth more in the groups of ``short``."""
        coming = sum(len(group.members) for group in plan.view.groups if _ends(group))
        for damage in short:
            if damage.group.id in plan.taken:
                continue
            missing = len(damage.lost) - len(plan.free) - coming
            donor = self._donor(plan, damage, short, by_name) if missing > 0 else None
            if donor is None:
                until_s = plan.now_s + RECHECK_S
                self._wait(plan, damage.group, until_s, "no instance is free")
                continue
            plan.taken |= {donor.id, damage.group.id}
            reason = f"its members are worth more in {damage.group.id}"
            plan.actions.append(Dissolve(group=donor.id, reason=reason))

    def _donor(self, plan: Plan, damage: Damage, short, by_name) -> Group | None:
        lost = {one.group.id: len(one.lost) for one in short}
        missing = len(damage.lost) - len(plan.free)
        best = None
        for group in plan.view.groups:
            wanted = by_name.get(group.deployment)
            usable = len(group.members) - lost.get(group.id, 0)
            if (
                wanted is None
                or group.id in plan.taken
                or group.id == damage.group.id
                or group.state in ENDING
                or usable < missing
            ):
                continue
            broken = group.id in lost
            loss = self._loss(plan, damage, wanted, usable - missing, broken)
            if loss < 0 and (best is None or (loss, group.id) < best[:2]):
                best = (loss, group.id, group)
        return best[2] if best else None

    def _loss(self, plan, damage: Damage, donor, left_over: int, broken: bool) -> float:
        """Return the expected cost of breaking a donor up; negative is a gain."""
        minute = plan.view.minute_of_week
        useful = len(damage.group.members) - len(damage.lost)
        donor_cost = 0.0 if broken else downtime_rate(donor, minute)
        gain = damage.cost + damage.wanted.stranded_weight * useful
        price = donor_cost + donor.stranded_weight * (0 if broken else left_over)
        price += self._gain_margin * donor_cost
        apart_s = self._replacement_s - self._load_s
        return price * self._replacement_s - gain * apart_s

    def _fill(self, plan: Plan) -> None:
        """Form missing groups and dissolve those above the quota."""
        view = plan.view
        order = sorted(
            view.deployments,
            key=lambda wanted: (
                -downtime_rate(wanted, view.minute_of_week) / wanted.members,
                wanted.name,
            ),
        )
        for wanted in order:
            have = [
                group
                for group in view.groups
                if group.deployment == wanted.name and not _ends(group)
            ]
            quota = view.quotas.get(wanted.name, 0)
            self._trim(plan, wanted.name, have, quota)
            for _ in range(quota - len(have)):
                if plan.budget <= 0 or len(plan.free) < wanted.members:
                    break
                members = self._take(plan, wanted.members, wanted)
                plan.actions.append(Form(deployment=wanted.name, members=members))

    def _preload(self, plan: Plan) -> None:
        """Load a model on one spare, that of the deployment that needs it most."""
        deployments = [one for one in plan.view.deployments if one.groups]
        cold = [
            one
            for one in plan.free
            if not any(_is_warm(one, wanted) for wanted in deployments)
        ]
        if not (self._may_preload and cold and deployments):
            return

        def need(wanted: DeploymentManifest) -> float:
            quota = plan.view.quotas.get(wanted.name, 0)
            warm = sum(_is_warm(one, wanted) for one in plan.free)
            rate = downtime_rate(wanted, plan.view.minute_of_week)
            return quota * wanted.members * rate / (warm + 1)

        wanted = max(deployments, key=need)
        plan.actions.append(Preload(cold[0].instance.id, wanted.name))

    def _trim(self, plan: Plan, name: DeploymentName, have, quota: int) -> None:
        """Dissolve surplus groups, those that do not serve first."""
        surplus = len(have) - quota
        if surplus <= 0:
            return
        have = sorted(
            (group for group in have if group.state not in ENDING),
            key=lambda group: (group.state is GroupState.SERVING, group.id),
        )
        for group in have[:surplus]:
            plan.actions = [
                action
                for action in plan.actions
                if getattr(action, "group", None) != group.id
            ]
            plan.actions.append(Dissolve(group=group.id, reason="over quota"))


def _ends(group: Group) -> bool:
    """Return whether a group is being given up, rather than repaired or reloaded."""
    if group.state is GroupState.RELEASING:
        return True
    return group.state is GroupState.DRAINING and group.reason.startswith(DISSOLVING)


def _is_warm(one: InstanceView, wanted: DeploymentManifest) -> bool:
    """Return whether an instance has the model and version loaded."""
    return one.model == wanted.model and one.version == wanted.version
