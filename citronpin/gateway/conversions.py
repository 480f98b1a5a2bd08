"""Takes groups apart whose members serve better with another model."""

import logging

from citronpin.basics.ids import GroupId
from citronpin.gateway.drafts import PRESSED, PlanDraft
from citronpin.gateway.fleets import Phase
from citronpin.gateway.plans import GroupView
from citronpin.gateway.pools import InstancePool
from citronpin.gateway.routings import ModelSpec

logger = logging.getLogger(__name__)


class Conversions:
    """Gives members of groups of one model to groups of another."""

    def __init__(self, *, draft: PlanDraft) -> None:
        self._draft = draft

    def take_apart(self, pool: InstancePool) -> None:
        """Free members of models with more than their part for one with less.

        Their group first finishes what it has in progress.
        """
        for spec in self._draft.view.engine.models:
            if not self._draft.lacks(spec):
                continue
            missing = spec.size - pool.at_hand(spec.name)
            given: list[GroupView] = []
            helping = 0
            for group in sorted(self._draft.whole.values(), key=self._ease):
                if helping < missing and self._helping(group, spec):
                    given.append(group)
                    helping += self._helping(group, spec)
            if helping >= missing and self._can_do_without(given, spec, missing, pool):
                for group in given:
                    self._give(group, spec, pool)

    def _ease(self, group: GroupView) -> tuple[bool, GroupId]:
        """Return a key by which groups that no longer serve come first."""
        place = self._draft.place(group, group.members[0])
        return place is not None and place.phase is Phase.OPEN, group.group

    def _can_do_without(
        self, given: list[GroupView], spec: ModelSpec, missing: int, pool: InstancePool
    ) -> bool:
        """Return whether the models of groups to be given up can spare these."""
        for model in {group.spec.name: group.spec for group in given}.values():
            if self._draft.pressed(spec) and self._draft.eases(model):
                continue
            if self._draft.pressure(model) >= max(PRESSED, self._draft.pressure(spec)):
                return False
            # What is left over forms groups of the model again.
            count = sum(group.spec is model for group in given)
            left = count * model.size - missing + self._only(pool, model, spec)
            after = self._draft.alive[model.name] - count + max(left, 0) // model.size
            if after < self._draft.wanted[model.name]:
                return False
        return True

    def _only(self, pool: InstancePool, model: ModelSpec, other: ModelSpec) -> int:
        """Return how many free instances hold a model, but not the other one."""
        return sum(
            model.name in seen.at_hand and other.name not in seen.at_hand
            for seen in pool.values()
        )

    def _helping(self, group: GroupView, spec: ModelSpec) -> int:
        if group.spec.name == spec.name:
            return 0
        seen = (self._draft.seen(member) for member in group.members)
        return sum(one.usable and spec.name in one.at_hand for one in seen)

    def _give(self, group: GroupView, spec: ModelSpec, pool: InstancePool) -> None:
        """Free the members of a group, or begin to end its serving."""
        place = self._draft.place(group, group.members[0])
        if place is not None and place.phase in (Phase.OPEN, Phase.CLOSING):
            reason = f"its members are needed for {spec.name}"
            self._draft.close(group, cancel=False, reason=reason)
            return
        del self._draft.whole[group.group]
        self._draft.ready.pop(group.group, None)
        self._draft.alive[group.spec.name] -= 1
        self._draft.bound.difference_update(group.members)
        for member in group.members:
            seen = self._draft.seen(member)
            if seen.usable:
                pool.add(seen)
