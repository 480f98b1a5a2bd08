"""Converts groups to models that lack groups or are under pressure."""

import logging

from citronpin.basics.ids import GroupId
from citronpin.gateway.drafts import HIGH_USED_SHARE, PlanDraft
from citronpin.gateway.fleets import Phase
from citronpin.gateway.plans import GroupView
from citronpin.gateway.pools import InstancePool
from citronpin.gateway.routings import ModelSpec

logger = logging.getLogger(__name__)


class Conversions:
    """Releases groups of one model so that their members can serve another."""

    def __init__(self, *, draft: PlanDraft) -> None:
        self._draft = draft

    def free_members(self, pool: InstancePool) -> None:
        """Release groups whose members can serve a model that lacks groups.

        A released group finishes its requests in progress first.
        """
        for spec in self._draft.view.engine.models:
            if not self._draft.needs_group(spec):
                continue
            missing = spec.size - pool.count_with_model(spec.name)
            released: list[GroupView] = []
            gained = 0
            for group in sorted(
                self._draft.intact_groups.values(), key=self._release_order
            ):
                if gained < missing and self._count_usable_for(group, spec):
                    released.append(group)
                    gained += self._count_usable_for(group, spec)
            if gained >= missing and self._can_release(released, spec, missing, pool):
                for group in released:
                    self._release(group, spec, pool)

    def _release_order(self, group: GroupView) -> tuple[bool, GroupId]:
        """Return a sort key that puts groups that are not serving first."""
        membership = self._draft.current_membership(group, group.members[0])
        return membership is not None and membership.phase is Phase.OPEN, group.group

    def _can_release(
        self,
        released: list[GroupView],
        spec: ModelSpec,
        missing: int,
        pool: InstancePool,
    ) -> bool:
        """Return whether the models of the groups to release can spare them."""
        for model in {group.spec.name: group.spec for group in released}.values():
            if self._draft.is_under_pressure(spec) and self._draft.can_give_up_group(
                model
            ):
                continue
            if self._draft.used_share(model) >= max(
                HIGH_USED_SHARE, self._draft.used_share(spec)
            ):
                return False
            # Surplus members form groups of the model again.
            count = sum(group.spec is model for group in released)
            surplus = (
                count * model.size
                - missing
                + self._count_holding_only(pool, model, spec)
            )
            remaining_count = (
                self._draft.live_counts[model.name]
                - count
                + max(surplus, 0) // model.size
            )
            if remaining_count < self._draft.target_counts[model.name]:
                return False
        return True

    def _count_holding_only(
        self, pool: InstancePool, model: ModelSpec, other: ModelSpec
    ) -> int:
        """Return how many free instances hold ``model`` but not ``other``."""
        return sum(
            model.name in observed.local_models
            and other.name not in observed.local_models
            for observed in pool.values()
        )

    def _count_usable_for(self, group: GroupView, spec: ModelSpec) -> int:
        if group.spec.name == spec.name or self._draft.is_evacuated(group):
            return 0
        members = (self._draft.find_instance(member) for member in group.members)
        return sum(
            observed.is_usable and spec.name in observed.local_models
            for observed in members
        )

    def _release(self, group: GroupView, spec: ModelSpec, pool: InstancePool) -> None:
        """Free the members of a group, or order it to stop serving first."""
        membership = self._draft.current_membership(group, group.members[0])
        if membership is not None and membership.phase in (Phase.OPEN, Phase.CLOSING):
            reason = f"its members are needed for {spec.name}"
            self._draft.order_close(group, cancel=False, reason=reason)
            return
        del self._draft.intact_groups[group.group]
        self._draft.ready_groups.pop(group.group, None)
        self._draft.live_counts[group.spec.name] -= 1
        self._draft.assigned.difference_update(group.members)
        for member in group.members:
            observed = self._draft.find_instance(member)
            if observed.is_usable:
                pool.add(observed)
