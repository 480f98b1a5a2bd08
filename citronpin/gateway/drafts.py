"""A plan for one fabric domain while it is made."""

import logging
from collections import Counter

from citronpin.basics.ids import GroupId, InstanceId, ModelName
from citronpin.gateway.fleets import Membership
from citronpin.gateway.plans import (
    Action,
    Close,
    DomainView,
    Form,
    GroupView,
    InstanceView,
)
from citronpin.gateway.pools import InstancePool
from citronpin.gateway.routings import ModelSpec

logger = logging.getLogger(__name__)

CONFIRM_S = 2.2  # an order that is repeated when unanswered shows by then
PRESSED = 0.6  # of the places; above it requests meet full groups at peaks
EASY = 0.4  # of the places that would be left; a burst of 1.5 stays below PRESSED


class PlanDraft:
    """What one run of the planning has found and ordered so far."""

    def __init__(
        self,
        *,
        view: DomainView,
        now_s: float,
        wanted: dict[ModelName, int],
        most: dict[ModelName, int],
    ) -> None:
        self.view = view
        self.now_s = now_s
        self.wanted = wanted  # groups of each model
        self.most = most  # where spares are used up
        self.loads_left = view.loads_left
        self.actions: list[Action] = []
        self.bound: set[InstanceId] = set()  # members of groups that stay
        self.alive: Counter[ModelName] = Counter()
        self.whole: dict[GroupId, GroupView] = {}  # that may be taken apart
        self.leaving: list[GroupView] = []
        self.ready: dict[GroupId, GroupView] = {}  # may begin to serve
        self.formed: set[GroupId] = set()

    def seen(self, member: InstanceId | None) -> InstanceView | None:
        """Return an instance of the domain, or ``None`` where it is not there."""
        return None if member is None else self.view.instances.get(member)

    def place(self, group: GroupView, member: InstanceId | None) -> Membership | None:
        """Return a live member's place if it is the one that the group gave it."""
        seen = self.seen(member)
        if seen is None or seen.dead:
            return None
        place = seen.instance.membership
        if place is None or (place.group, place.epoch) != (group.group, group.epoch):
            return None
        # At the address of a lost member, another one of its group may answer.
        return (
            place if group.members[place.rank : place.rank + 1] == (member,) else None
        )

    def pending(self, group: GroupView, member: InstanceId) -> bool:
        """Return whether a join was ordered so lately that it may not show yet."""
        ordered_s = group.ordered_s
        if member in group.refused:
            return False
        return ordered_s is not None and self.now_s - ordered_s < CONFIRM_S

    def kept(self, group: GroupView) -> list[InstanceId]:
        """Return the members that can go on."""
        return [
            member
            for member in group.members
            if (seen := self.seen(member)) is not None
            and seen.usable
            and (self.place(group, member) is not None or self.pending(group, member))
        ]

    def pressure(self, spec: ModelSpec) -> float:
        """Return which part of a model's places is in use, over all domains."""
        known = self.view.pressures.get(spec.name)
        return 0.0 if known is None else known.part

    def pressed(self, spec: ModelSpec) -> bool:
        """Return whether a model may get more groups than its part."""
        known = self.view.pressures.get(spec.name)
        if known is None or not known.groups or not self.view.converting:
            return False
        return known.part >= PRESSED

    def eases(self, spec: ModelSpec) -> bool:
        """Return whether a model can spare a group of each domain that converts."""
        known = self.view.pressures.get(spec.name)
        return known is not None and known.without(self.view.converting) <= EASY

    def lacks(self, spec: ModelSpec) -> bool:
        """Return whether the domain should have a group more of a model."""
        return self.alive[spec.name] < self.wanted[spec.name] or self.pressed(spec)

    def form(
        self,
        group: GroupId | None,
        spec: ModelSpec,
        members: list[InstanceId],
        reason: str,
    ) -> bool:
        """Order a group; return false where too many loads would begin."""
        loads = sum(
            spec.name not in self.view.instances[member].at_hand for member in members
        )
        if loads and not self.view.bulk:
            if loads > self.loads_left:
                return False
            self.loads_left -= loads
        self.bound.update(members)
        self.actions.append(
            Form(
                group=group,
                model=spec.name,
                members=tuple(members),
                reason=reason,
                loads=loads,
            )
        )
        return True

    def close(self, group: GroupView, *, cancel: bool, reason: str) -> None:
        """Order the end of a group's serving, once."""
        if group.group not in self.view.closes:
            self.actions.append(
                Close(
                    group=group.group,
                    epoch=group.epoch,
                    head=group.members[0],
                    cancel=cancel,
                    reason=reason,
                )
            )

    def enough(self, pool: InstancePool, spec: ModelSpec, count: int) -> bool:
        """Return whether the pool has members for a group.

        During traffic a model is staged first, on a host that meanwhile stays free
        to serve another one.
        """
        if self.view.bulk or not self.view.engine.kept_models:
            return len(pool) >= count
        return pool.at_hand(spec.name) >= count
