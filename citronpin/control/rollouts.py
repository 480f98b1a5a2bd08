"""The controller that updates versions and adapters while enough groups serve."""

import logging
import math

from citronpin.basics.events import EventKind
from citronpin.basics.ids import DeploymentName, Fence, GroupId, Offset
from citronpin.control.controllers import Controller, register
from citronpin.control.domains import DomainFacts, Fitness
from citronpin.control.drains import DrainPurpose
from citronpin.control.formations import FORM_DEADLINE_S
from citronpin.control.groups import group_move, is_outdated
from citronpin.control.leases import LeaseController
from citronpin.control.orders import MAX_LOADS, Orders
from citronpin.control.readbacks import Readbacks
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.records import GroupReload
from citronpin.state.states import Group, GroupState

logger = logging.getLogger(__name__)

MANIFEST_PROPAGATION_S = 5.0  # until no holder acts on an older manifest
RELOAD_POLL_INTERVAL_S = 0.5
UNSETTLED_STATES = frozenset(
    {
        GroupState.SERVING,
        GroupState.DRAINING,
        GroupState.RELOADING,
        GroupState.FORMING,
    }
)


def min_serving_groups(deployment: DeploymentManifest) -> int:
    """Return how many groups of a deployment a rollout keeps serving.

    If the manifest's share allows no group to be down, one may be down.
    """
    wanted = math.ceil(deployment.min_serving * deployment.groups)
    return max(min(wanted, deployment.groups - 1), 0)


@register
class RolloutController(Controller):
    """Updates the groups of a fabric domain to the versions of the manifests.

    Fabric domains take turns in the order of their names. Their holders see each
    other's steps late, so together they could otherwise go below the minimum
    share of serving groups.
    """

    name = "rollout"

    def __init__(
        self,
        *,
        lease: LeaseController,
        facts: DomainFacts,
        readbacks: Readbacks,
        orders: Orders,
        domain: str,
        max_loads: int = MAX_LOADS,
        **common,
    ) -> None:
        super().__init__(**common)
        self._lease = lease
        self._facts = facts
        self._readbacks = readbacks
        self._orders = orders
        self._domain = domain
        self._max_loads = max_loads
        # The wanted manifest and the clock time at which it was first seen.
        self._manifests: dict[DeploymentName, tuple[DeploymentManifest, float]] = {}
        # Offset of the record that started a reload, and clock time of the start.
        self._reloads: dict[GroupId, tuple[Offset, float]] = {}

    def reconcile(self) -> None:
        fence = self._lease.fence
        if fence is None or fence != self._facts.fence:
            return
        if not self._facts.has_read_all_domains():
            return
        groups = self._facts.control.groups
        self._reloads = {g: v for g, v in self._reloads.items() if g in groups}
        for group_id in sorted(groups):
            if groups[group_id].state is GroupState.RELOADING:
                self._reload(fence, groups[group_id])
        deployments = self._facts.deployments
        self._manifests = {n: v for n, v in self._manifests.items() if n in deployments}
        for deployment in deployments.values():
            if self._has_propagated(deployment):
                self._roll_out(fence, deployment)

    def is_verified_serving(self, group: Group) -> bool:
        """Return whether a group serves by its record and by its read-backs."""
        if group.state is not GroupState.SERVING:
            return False
        return all(
            self._facts.fitness(member) is Fitness.FIT
            and self._readbacks.is_answering(member)
            and not self._readbacks.mismatch(group, member)
            for member in group.members
        )

    def _has_propagated(self, deployment: DeploymentManifest) -> bool:
        known = self._manifests.get(deployment.name)
        if known is None or known[0] != deployment:
            known = (deployment, self._clock.now())
            self._manifests[deployment.name] = known
        return self._clock.now() - known[1] >= MANIFEST_PROPAGATION_S

    def _roll_out(self, fence: Fence, deployment: DeploymentManifest) -> None:
        own_groups = self._groups_of(self._facts.control.groups.values(), deployment)
        old = [
            g
            for g in own_groups
            if g.state is GroupState.SERVING and is_outdated(g, deployment)
        ]
        if not old or not self._has_turn(deployment):
            return
        elsewhere = self._facts.serving_elsewhere().get(deployment.name, 0)
        serving = (
            sum(self.is_verified_serving(group) for group in own_groups) + elsewhere
        )
        allowed = min(
            serving - min_serving_groups(deployment) - self._count_pending(own_groups),
            self._max_down(deployment) - self._count_down(own_groups),
        )
        for group in old[: max(allowed, 0)]:
            self._start_drain(fence, group, deployment)

    def _has_turn(self, deployment: DeploymentManifest) -> bool:
        for domain, groups in self._facts.other_groups().items():
            if domain >= self._domain:
                continue
            for group in self._groups_of(groups, deployment):
                if group.state in UNSETTLED_STATES and is_outdated(group, deployment):
                    return False
                if group.state in (GroupState.RELOADING, GroupState.FORMING):
                    return False
        return True

    def _groups_of(self, groups, deployment: DeploymentManifest) -> list[Group]:
        found = [group for group in groups if group.deployment == deployment.name]
        return sorted(found, key=lambda group: group.id)

    def _count_pending(self, groups: list[Group]) -> int:
        return sum(group.id in self._blocked_until_s for group in groups)

    def _max_down(self, deployment: DeploymentManifest) -> int:
        """Return how many groups may be down at once, at least one.

        Their members load from the same weight store, at most ``max_loads`` at a
        time.
        """
        return max(self._max_loads // deployment.members, 1)

    def _count_down(self, groups: list[Group]) -> int:
        busy = (GroupState.DRAINING, GroupState.RELOADING)
        return sum(group.state in busy for group in groups)

    def _start_drain(self, fence, group: Group, deployment: DeploymentManifest) -> None:
        purpose = DrainPurpose.RELOAD
        if len(group.members) != deployment.members:
            purpose = DrainPurpose.DISSOLVE
        reason = purpose.reason(f"{deployment.model} {deployment.version}")
        if self._move(fence, group, GroupState.DRAINING, reason):
            self._note(EventKind.ROLLOUT, reason, fence=fence, group=group.id)

    def _reload(self, fence: Fence, group: Group) -> None:
        deployment = self._facts.deployments.get(group.deployment)
        unfit = [m for m in group.members if self._facts.fitness(m) is not Fitness.FIT]
        if deployment is None or len(group.members) != deployment.members:
            self._move(fence, group, GroupState.RELEASING, "the manifest changed")
        elif unfit:
            self._move(fence, group, GroupState.BROKEN, f"{unfit[0]} is not fit")
        elif is_outdated(group, deployment):
            self._propose_reload(fence, group, deployment)
        elif self._is_overdue(group):
            self._move(fence, group, GroupState.BROKEN, "the load took too long")
        elif self._load_members(group):
            self._move(fence, group, GroupState.FORMING, "loaded")

    def _propose_reload(self, fence, group: Group, deployment) -> None:
        reload = GroupReload(
            fence=fence,
            group=group.id,
            model=deployment.model,
            version=deployment.version,
            adapters=deployment.adapters,
            base=group.changed,
        )
        if self.propose(group.id, reload):
            detail = f"loads {deployment.model} {deployment.version}"
            self._note(EventKind.ROLLOUT, detail, fence=fence, group=group.id)

    def _load_members(self, group: Group) -> bool:
        rows = [self._facts.rows()[member] for member in group.members]
        for row in rows:
            self._readbacks.poll(row, RELOAD_POLL_INTERVAL_S)
        return all([self._orders.load(row, group) for row in rows])

    def _is_overdue(self, group: Group) -> bool:
        known = self._reloads.get(group.id)
        if known is None or known[0] != group.changed:
            known = (group.changed, self._clock.now())
            self._reloads[group.id] = known
        return self._clock.now() - known[1] > FORM_DEADLINE_S

    def _move(self, fence, group: Group, state: GroupState, reason: str) -> bool:
        if not self.propose(group.id, group_move(fence, group, state, reason)):
            return False
        detail = f"{group.state.value} to {state.value}: {reason}"
        self._note(EventKind.GROUP_STATE, detail, fence=fence, group=group.id)
        return True
