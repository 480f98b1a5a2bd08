"""Holds the working state of one planning pass over a fabric domain."""

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

# A join that is resent while unanswered shows in the reports by then.
JOIN_CONFIRM_S = 2.2
# Shares of the slots of a model in use, 0 to 1. Above HIGH_USED_SHARE, requests find
# full groups at peaks; at LOW_USED_SHARE, a burst of 1.5 times the load stays below it.
HIGH_USED_SHARE = 0.6
LOW_USED_SHARE = 0.4


class PlanDraft:
    """Collects the group states and the actions of one planning pass."""

    def __init__(
        self,
        *,
        view: DomainView,
        now_s: float,
        target_counts: dict[ModelName, int],
        max_counts: dict[ModelName, int],
    ) -> None:
        self.view = view
        self.now_s = now_s
        self.target_counts = target_counts  # groups by model
        self.max_counts = max_counts  # groups by model without spares
        self.loads_left = view.loads_left
        self.actions: list[Action] = []
        self.assigned: set[InstanceId] = set()  # members that are not free
        self.live_counts: Counter[ModelName] = Counter()
        self.intact_groups: dict[GroupId, GroupView] = {}  # can be given up
        self.draining_groups: list[GroupView] = []
        self.ready_groups: dict[GroupId, GroupView] = {}  # can start serving
        self.reformed_groups: set[GroupId] = set()

    def find_instance(self, member: InstanceId | None) -> InstanceView | None:
        """Return an instance of the domain, or ``None`` if it is unknown."""
        return None if member is None else self.view.instances.get(member)

    def current_membership(
        self, group: GroupView, member: InstanceId | None
    ) -> Membership | None:
        """Return a live member's membership if group, epoch and rank match."""
        observed = self.find_instance(member)
        if observed is None or observed.dead:
            return None
        membership = observed.instance.membership
        if membership is None or (membership.group, membership.epoch) != (
            group.group,
            group.epoch,
        ):
            return None
        # Another member of the group may answer at the address of a lost one.
        return (
            membership
            if group.members[membership.rank : membership.rank + 1] == (member,)
            else None
        )

    def is_join_pending(self, group: GroupView, member: InstanceId) -> bool:
        """Return whether a join is so recent that reports may not show it yet."""
        ordered_s = group.ordered_s
        if member in group.refused:
            return False
        return ordered_s is not None and self.now_s - ordered_s < JOIN_CONFIRM_S

    def remaining_members(self, group: GroupView) -> list[InstanceId]:
        """Return the usable members that are in the group or join it."""
        return [
            member
            for member in group.members
            if (observed := self.find_instance(member)) is not None
            and observed.is_usable
            and (
                self.current_membership(group, member) is not None
                or self.is_join_pending(group, member)
            )
        ]

    def is_evacuated(self, group: GroupView) -> bool:
        """Return whether a member of a group is in an evacuated failure domain."""
        members = (self.find_instance(member) for member in group.members)
        return any(found is not None and found.evacuated for found in members)

    def used_share(self, spec: ModelSpec) -> float:
        """Return the share of a model's slots in use over all domains, 0 to 1."""
        pressure = self.view.pressures.get(spec.name)
        return 0.0 if pressure is None else pressure.used_share

    def is_under_pressure(self, spec: ModelSpec) -> bool:
        """Return whether a model may get more groups than its target."""
        pressure = self.view.pressures.get(spec.name)
        if pressure is None or not pressure.groups or not self.view.converting:
            return False
        return pressure.used_share >= HIGH_USED_SHARE

    def can_give_up_group(self, spec: ModelSpec) -> bool:
        """Return whether a model can give up a group in each domain that converts."""
        pressure = self.view.pressures.get(spec.name)
        return (
            pressure is not None
            and pressure.used_share_without(self.view.converting) <= LOW_USED_SHARE
        )

    def needs_group(self, spec: ModelSpec) -> bool:
        """Return whether the domain should form another group of a model."""
        return self.live_counts[spec.name] < self.target_counts[
            spec.name
        ] or self.is_under_pressure(spec)

    def order_formation(
        self,
        group: GroupId | None,
        spec: ModelSpec,
        members: list[InstanceId],
        reason: str,
    ) -> bool:
        """Order a group to form; return ``False`` if the load limit forbids it."""
        loads = sum(
            spec.name not in self.view.instances[member].local_models
            for member in members
        )
        if loads and not self.view.before_traffic:
            if loads > self.loads_left:
                return False
            self.loads_left -= loads
        self.assigned.update(members)
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

    def order_close(self, group: GroupView, *, cancel: bool, reason: str) -> None:
        """Order a group to stop serving unless that was ordered before."""
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

    def has_enough(self, pool: InstancePool, spec: ModelSpec, count: int) -> bool:
        """Return whether the pool has ``count`` members for a group.

        During traffic only instances that hold the model count: others stage it
        first and remain available to groups of other models meanwhile.
        """
        if self.view.before_traffic or not self.view.engine.kept_models:
            return len(pool) >= count
        return pool.count_with_model(spec.name) >= count
