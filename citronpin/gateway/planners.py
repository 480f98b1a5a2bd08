"""Plans the groups of a fabric domain as a pure function of a snapshot and a time."""

import logging
import math
from abc import ABC, abstractmethod

from citronpin.gateway.conversions import Conversions
from citronpin.gateway.drafts import PlanDraft
from citronpin.gateway.fleets import Phase
from citronpin.gateway.plans import (
    Action,
    DomainView,
    GroupView,
    Open,
    find_groups,
    target_group_counts,
)
from citronpin.gateway.pools import InstancePool
from citronpin.gateway.stagings import Stagings

logger = logging.getLogger(__name__)

CLOSE_TIMEOUT_S = 0.6  # a live head has closed by then
OPEN_RETRY_S = 0.6
JOIN_MARGIN_S = 3.0  # beyond the configured load time
LOAD_TIMEOUT_FACTOR = 4.0  # concurrent loads share the bandwidth of the weight store
# Shares of the usable instances of a domain, 0 to 1. Idle instances gain less where
# hosts hold a second model.
SPARE_SHARE = 0.0
RESERVE_SHARE = 0.2  # heavy fault days lose a sixth of the members


class GroupPlanner(ABC):
    """Decides which groups a domain forms, opens and closes."""

    @abstractmethod
    def plan(self, *, view: DomainView, now_s: float) -> list[Action]:
        """Return the actions to order now; ``now_s`` is on the clock of the view."""


class SparePlanner(GroupPlanner):
    """Assigns all instances to groups and stages a second model on some hosts.

    A lost member is replaced under the same group id with a higher epoch, which
    members that hold the model join at once. The head stops serving first, so that no
    instance is taken from a group that still serves.

    Members can be lost every few seconds, faster than a model loads. The remaining
    members of broken groups therefore form another group together, or join a group of
    a second model that their hosts already hold. ``spare_share`` keeps a fraction of
    each domain idle instead.

    In an evacuated failure domain, groups are repaired, but none is converted and no
    new one is formed.

    During a burst for one model while another has free slots, domains take turns in
    giving up a group of the latter for one of the former.
    """

    def __init__(
        self,
        *,
        spare_share: float = SPARE_SHARE,
        reserve_share: float = RESERVE_SHARE,
    ) -> None:
        self._spare_share = spare_share
        self._reserve_share = reserve_share

    def plan(self, *, view: DomainView, now_s: float) -> list[Action]:
        usable = sum(observed.is_usable for observed in view.instances.values())
        draft = PlanDraft(
            view=view,
            now_s=now_s,
            target_counts=target_group_counts(view.engine, usable, self._spare_share),
            max_counts=target_group_counts(view.engine, usable, 0.0),
        )
        repairs = _Repairs(draft=draft)
        broken = [group for group in find_groups(view) if repairs.classify(group)]
        broken.sort(
            key=lambda group: (-len(draft.remaining_members(group)), group.group)
        )
        pool = InstancePool(
            observed
            for observed in view.instances.values()
            if observed.is_usable and observed.instance.id not in draft.assigned
        )
        repairs.repair(broken, pool)
        repairs.replace_draining(pool)
        with pool.without_evacuated():
            Conversions(draft=draft).free_members(pool)
        repairs.repair(broken, pool)
        with pool.without_evacuated():
            repairs.form_missing(pool)
        repairs.open_ready()
        reserve = math.ceil(self._reserve_share * usable)
        Stagings(draft=draft).stage(pool, reserve)
        return draft.actions


class _Repairs:
    """Replaces lost members, opens ready groups and forms missing ones."""

    def __init__(self, *, draft: PlanDraft) -> None:
        self._draft = draft

    def _has_lost_member(self, group: GroupView) -> bool:
        for member in group.members:
            observed = self._draft.find_instance(member)
            if observed is None or observed.dead:
                return True
            if self._draft.current_membership(
                group, member
            ) is None and not self._draft.is_join_pending(group, member):
                return True
        return False

    def classify(self, group: GroupView) -> bool:
        """Record the state of a group; return whether it has to form again now."""
        head = self._draft.current_membership(group, group.members[0])
        phase = None if head is None else head.phase
        if self._has_lost_member(group):
            return self._handle_loss(group, phase)
        self._draft.live_counts[group.spec.name] += 1
        self._draft.assigned.update(member for member in group.members if member)
        if phase is Phase.BROKEN:
            self._draft.order_formation(
                group.group, group.spec, list(group.members), "broken"
            )
        elif any(self._draft.find_instance(m).instance.draining for m in group.members):
            self._draft.draining_groups.append(group)
        elif phase is Phase.READY and self._all_ready(group):
            self._draft.ready_groups[group.group] = group
            self._draft.intact_groups[group.group] = group
        elif phase in (Phase.OPEN, Phase.CLOSING):
            self._draft.intact_groups[group.group] = group
        else:
            return self._is_join_overdue(group)
        return False

    def _is_join_overdue(self, group: GroupView) -> bool:
        """Return whether a join has timed out, and release the members if it has."""
        if group.ordered_s is None:
            return False
        limit_s = LOAD_TIMEOUT_FACTOR * group.spec.load_s + JOIN_MARGIN_S
        if self._draft.now_s - group.ordered_s < limit_s:
            return False
        self._draft.live_counts[group.spec.name] -= 1
        self._draft.assigned.difference_update(group.members)
        return True

    def _handle_loss(self, group: GroupView, phase: Phase | None) -> bool:
        """Return whether the remaining members may form a group now.

        A serving head is ordered to close first and has ``CLOSE_TIMEOUT_S`` to do so.
        """
        if phase not in (Phase.OPEN, Phase.CLOSING):
            return True
        first_s = self._draft.view.closes.get(group.group)
        if first_s is not None and self._draft.now_s - first_s >= CLOSE_TIMEOUT_S:
            return True
        self._draft.assigned.update(self._draft.remaining_members(group))
        self._draft.order_close(group, cancel=True, reason="a member is lost")
        return False

    def _all_ready(self, group: GroupView) -> bool:
        memberships = [
            self._draft.current_membership(group, member) for member in group.members
        ]
        return all(
            membership is not None and membership.phase is Phase.READY
            for membership in memberships
        )

    def open_ready(self) -> None:
        """Order groups to serve whose members all reported ready."""
        for group in self._draft.ready_groups.values():
            last_s = self._draft.view.opens.get(group.group, float("-inf"))
            if self._draft.now_s - last_s >= OPEN_RETRY_S:
                self._draft.actions.append(
                    Open(group=group.group, epoch=group.epoch, head=group.members[0])
                )

    def repair(self, broken: list[GroupView], pool: InstancePool) -> None:
        """Form broken groups again from their remaining members and free instances."""
        for group in broken:
            if group.group not in self._draft.reformed_groups:
                self._repair(group, pool)

    def _repair(self, group: GroupView, pool: InstancePool) -> None:
        spec = group.spec
        full = self._draft.live_counts[spec.name] >= self._draft.max_counts[spec.name]
        if full and not self._draft.is_under_pressure(spec):
            return
        remaining = [
            member
            for member in self._draft.remaining_members(group)
            if member not in self._draft.assigned
        ]
        for member in remaining:
            pool.drop(member)
        missing = spec.size - len(remaining)
        if self._draft.has_enough(pool, spec, missing):
            members = remaining + pool.take(spec.name, missing)
            if self._draft.order_formation(
                group.group, spec, members, "a member was lost"
            ):
                self._draft.reformed_groups.add(group.group)
                self._draft.live_counts[spec.name] += 1
                return
            remaining = members
        for member in remaining:
            pool.add(self._draft.view.instances[member])

    def replace_draining(self, pool: InstancePool) -> None:
        """Replace draining members with free instances that hold the model."""
        for group in self._draft.draining_groups:
            staying = [
                member
                for member in group.members
                if not self._draft.find_instance(member).instance.draining
            ]
            missing = group.spec.size - len(staying)
            if pool.count_with_model(group.spec.name) < missing:
                continue
            head = self._draft.current_membership(group, group.members[0])
            if head is not None and head.phase in (Phase.OPEN, Phase.CLOSING):
                self._draft.order_close(group, cancel=False, reason="a member drains")
                continue
            members = staying + pool.take(group.spec.name, missing)
            self._draft.order_formation(
                group.group, group.spec, members, "a member drains"
            )

    def form_missing(self, pool: InstancePool) -> None:
        """Form groups of models below their target count or under pressure."""
        specs = sorted(
            self._draft.view.engine.models,
            key=lambda spec: (
                not self._draft.is_under_pressure(spec),
                self._draft.live_counts[spec.name],
                spec.size,
            ),
        )
        for spec in specs:
            if not self._draft.needs_group(spec):
                continue
            if not self._draft.has_enough(pool, spec, spec.size):
                continue
            members = pool.take(spec.name, spec.size)
            if self._draft.order_formation(None, spec, members, "too few groups"):
                self._draft.live_counts[spec.name] += 1
            else:
                for member in members:
                    pool.add(self._draft.view.instances[member])
