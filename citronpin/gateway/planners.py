"""Plans the groups of one fabric domain; pure decisions of a view and a time."""

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
    composition,
    find_groups,
)
from citronpin.gateway.pools import InstancePool
from citronpin.gateway.stagings import Stagings

logger = logging.getLogger(__name__)

CLOSE_WAIT_S = 0.6  # a head that can still act has closed by then
REPEAT_ORDER_S = 0.6  # until an order that changed nothing is given again
JOIN_SLACK_S = 3.0  # beyond the stated time of a load
SLOW_LOAD = 4.0  # loads share the weight store and take several times as long
SPARE_SHARE = 0.0  # of a domain; where hosts hold other models, idle ones bring less
RESERVE_SHARE = 0.2  # of a domain; a sixth of the members is lost on a bad day


class GroupPlanner(ABC):
    """Decides on the groups of a domain."""

    @abstractmethod
    def plan(self, *, view: DomainView, now_s: float) -> list[Action]:
        """Return what is to be ordered now."""


class SparePlanner(GroupPlanner):
    """Keeps all instances in groups, and a second model on the hosts of some.

    A lost member is replaced under the same group name with a higher epoch, which
    members that keep their model join at once. The head's end of serving comes
    first, so that no instance is taken from a group that still serves.

    The load it answers: members are lost every few seconds, and a load takes longer
    than the time between two losses. Those that lost their group form another one, or
    help out in a group of the other model, which some hosts hold for this. With
    ``spare_share``, a part of each domain stays idle instead.

    A burst for one model while another has places free: domains in turn give up a
    group of the latter for one of the former.
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
        usable = sum(seen.usable for seen in view.instances.values())
        draft = PlanDraft(
            view=view,
            now_s=now_s,
            wanted=composition(view.engine, usable, self._spare_share),
            most=composition(view.engine, usable, 0.0),
        )
        repairs = _Repairs(draft=draft)
        broken = [group for group in find_groups(view) if repairs.sort_out(group)]
        broken.sort(key=lambda group: (-len(draft.kept(group)), group.group))
        pool = InstancePool(
            seen
            for seen in view.instances.values()
            if seen.usable and seen.instance.id not in draft.bound
        )
        repairs.repair(broken, pool)
        repairs.replace_leaving(pool)
        Conversions(draft=draft).take_apart(pool)
        repairs.repair(broken, pool)
        repairs.fill(pool)
        repairs.open_ready()
        reserve = math.ceil(self._reserve_share * usable)
        Stagings(draft=draft).stage(pool, reserve)
        return draft.actions


class _Repairs:
    """Keeps groups whole, lets them serve, and forms missing ones."""

    def __init__(self, *, draft: PlanDraft) -> None:
        self._draft = draft

    def _lost(self, group: GroupView) -> bool:
        for member in group.members:
            seen = self._draft.seen(member)
            if seen is None or seen.dead:
                return True
            if self._draft.place(group, member) is None and not self._draft.pending(
                group, member
            ):
                return True
        return False

    def sort_out(self, group: GroupView) -> bool:
        """Decide what a group needs; return whether it has to form anew."""
        head = self._draft.place(group, group.members[0])
        phase = None if head is None else head.phase
        if self._lost(group):
            return self._after_loss(group, phase)
        self._draft.alive[group.spec.name] += 1
        self._draft.bound.update(member for member in group.members if member)
        if phase is Phase.BROKEN:
            self._draft.form(group.group, group.spec, list(group.members), "broken")
        elif any(self._draft.seen(m).instance.draining for m in group.members):
            self._draft.leaving.append(group)
        elif phase is Phase.READY and self._all_ready(group):
            self._draft.ready[group.group] = group
            self._draft.whole[group.group] = group
        elif phase in (Phase.OPEN, Phase.CLOSING):
            self._draft.whole[group.group] = group
        else:
            return self._overdue(group)
        return False

    def _overdue(self, group: GroupView) -> bool:
        """Return whether a join takes so long that it is given up."""
        if group.ordered_s is None:
            return False
        limit_s = SLOW_LOAD * group.spec.load_s + JOIN_SLACK_S
        if self._draft.now_s - group.ordered_s < limit_s:
            return False
        self._draft.alive[group.spec.name] -= 1
        self._draft.bound.difference_update(group.members)
        return True

    def _after_loss(self, group: GroupView, phase: Phase | None) -> bool:
        """Return whether the members left may form anew now."""
        if phase not in (Phase.OPEN, Phase.CLOSING):
            return True
        first_s = self._draft.view.closes.get(group.group)
        if first_s is not None and self._draft.now_s - first_s >= CLOSE_WAIT_S:
            return True
        self._draft.bound.update(self._draft.kept(group))
        self._draft.close(group, cancel=True, reason="a member is lost")
        return False

    def _all_ready(self, group: GroupView) -> bool:
        places = [self._draft.place(group, member) for member in group.members]
        return all(place is not None and place.phase is Phase.READY for place in places)

    def open_ready(self) -> None:
        """Let groups serve whose members were all found ready."""
        for group in self._draft.ready.values():
            last_s = self._draft.view.opens.get(group.group, float("-inf"))
            if self._draft.now_s - last_s >= REPEAT_ORDER_S:
                self._draft.actions.append(
                    Open(group=group.group, epoch=group.epoch, head=group.members[0])
                )

    def repair(self, broken: list[GroupView], pool: InstancePool) -> None:
        """Form groups anew from what is left of them and others that are free."""
        for group in broken:
            if group.group not in self._draft.formed:
                self._repair(group, pool)

    def _repair(self, group: GroupView, pool: InstancePool) -> None:
        spec = group.spec
        full = self._draft.alive[spec.name] >= self._draft.most[spec.name]
        if full and not self._draft.pressed(spec):
            return
        kept = [
            member
            for member in self._draft.kept(group)
            if member not in self._draft.bound
        ]
        for member in kept:
            pool.drop(member)
        missing = spec.size - len(kept)
        if self._draft.enough(pool, spec, missing):
            members = kept + pool.take(spec.name, missing)
            if self._draft.form(group.group, spec, members, "a member was lost"):
                self._draft.formed.add(group.group)
                self._draft.alive[spec.name] += 1
                return
            kept = members
        for member in kept:
            pool.add(self._draft.view.instances[member])

    def replace_leaving(self, pool: InstancePool) -> None:
        """Change members that drain for spares that hold the model."""
        for group in self._draft.leaving:
            staying = [
                member
                for member in group.members
                if not self._draft.seen(member).instance.draining
            ]
            missing = group.spec.size - len(staying)
            if pool.at_hand(group.spec.name) < missing:
                continue
            phase = self._draft.place(group, group.members[0])
            if phase is not None and phase.phase in (Phase.OPEN, Phase.CLOSING):
                self._draft.close(group, cancel=False, reason="a member drains")
                continue
            members = staying + pool.take(group.spec.name, missing)
            self._draft.form(group.group, group.spec, members, "a member drains")

    def fill(self, pool: InstancePool) -> None:
        """Form groups that the domain has too few of."""
        specs = sorted(
            self._draft.view.engine.models,
            key=lambda spec: (
                not self._draft.pressed(spec),
                self._draft.alive[spec.name],
                spec.size,
            ),
        )
        for spec in specs:
            if not self._draft.lacks(spec):
                continue
            if not self._draft.enough(pool, spec, spec.size):
                continue
            members = pool.take(spec.name, spec.size)
            if self._draft.form(None, spec, members, "too few groups"):
                self._draft.alive[spec.name] += 1
            else:
                for member in members:
                    pool.add(self._draft.view.instances[member])
