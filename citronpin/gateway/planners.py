"""Plans the groups of one fabric domain; pure decisions of a view and a time."""

import logging
import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable

from citronpin.basics.ids import GroupId, InstanceId, ModelName
from citronpin.gateway.fleets import Membership, Phase
from citronpin.gateway.plans import (
    Action,
    Close,
    DomainView,
    Form,
    GroupView,
    InstanceView,
    Open,
    Stage,
    composition,
    find_groups,
)
from citronpin.gateway.routings import ModelSpec

logger = logging.getLogger(__name__)

CONFIRM_S = 2.2  # an order that is repeated when unanswered shows by then
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


class _Pool:
    """Instances that may be taken, by how soon each can serve a model."""

    def __init__(self, free: Iterable[InstanceView]) -> None:
        self._free = {seen.instance.id: seen for seen in free}

    def __len__(self) -> int:
        return len(self._free)

    def add(self, seen: InstanceView) -> None:
        self._free[seen.instance.id] = seen

    def drop(self, member: InstanceId) -> None:
        self._free.pop(member, None)

    def values(self) -> list[InstanceView]:
        return sorted(self._free.values(), key=lambda seen: seen.instance.id)

    def at_hand(self, model: ModelName) -> int:
        """Return how many need no load to serve a model."""
        return sum(model in seen.at_hand for seen in self._free.values())

    def take(self, model: ModelName, count: int) -> list[InstanceId]:
        """Take the ``count`` instances that are ready soonest."""
        chosen = sorted(
            self._free.values(),
            key=lambda seen: (
                _readiness(seen, model),
                len(seen.at_hand),  # one that can serve more is kept for that
                seen.instance.id,
            ),
        )[:count]
        for seen in chosen:
            self.drop(seen.instance.id)
        return [seen.instance.id for seen in chosen]


def _readiness(seen: InstanceView, model: ModelName) -> int:
    """Return 0 where the model is at hand, 1 for an empty host, 2 for another model."""
    if model in seen.at_hand:
        return 0
    return 2 if seen.instance.staged else 1


class SparePlanner(GroupPlanner):
    """Keeps all instances in groups, and a second model on the hosts of some.

    A lost member is replaced under the same group name with a higher epoch, which
    members that keep their model join at once. The head's end of serving comes
    first, so that no instance is taken from a group that still serves.

    The load it answers: members are lost every few seconds, and a load takes longer
    than the time between two losses. Those that lost their group form another one, or
    help out in a group of the other model, which some hosts hold for this. With
    ``spare_share``, a part of each domain stays idle instead.
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
        plan = _Plan(
            view=view,
            now_s=now_s,
            wanted=composition(view.engine, usable, self._spare_share),
            most=composition(view.engine, usable, 0.0),
        )
        groups = find_groups(view)
        broken = [group for group in groups if plan.sort_out(group)]
        broken.sort(key=lambda group: (-len(plan.kept(group)), group.group))
        pool = _Pool(
            seen
            for seen in view.instances.values()
            if seen.usable and seen.instance.id not in plan.bound
        )
        plan.repair(broken, pool)
        plan.replace_leaving(pool)
        plan.take_apart(groups, pool)
        plan.repair(broken, pool)
        plan.fill(pool)
        plan.open_ready()
        plan.stage(pool, reserve=math.ceil(self._reserve_share * usable))
        return plan.actions


class _Plan:
    """One run of the planning."""

    def __init__(
        self,
        *,
        view: DomainView,
        now_s: float,
        wanted: dict[ModelName, int],
        most: dict[ModelName, int],
    ) -> None:
        self._view = view
        self._now_s = now_s
        self._wanted = wanted  # groups of each model
        self._most = most  # where spares are used up
        self._loads_left = view.loads_left
        self.actions: list[Action] = []
        self.bound: set[InstanceId] = set()  # members of groups that stay
        self._alive: Counter[ModelName] = Counter()
        self._whole: dict[GroupId, GroupView] = {}  # that may be taken apart
        self._leaving: list[GroupView] = []
        self._ready: dict[GroupId, GroupView] = {}  # may begin to serve
        self._formed: set[GroupId] = set()

    def _seen(self, member: InstanceId | None) -> InstanceView | None:
        return None if member is None else self._view.instances.get(member)

    def _place(self, group: GroupView, member: InstanceId | None) -> Membership | None:
        """Return a live member's place if it is the one that the group gave it."""
        seen = self._seen(member)
        if seen is None or seen.dead:
            return None
        place = seen.instance.membership
        if place is None or (place.group, place.epoch) != (group.group, group.epoch):
            return None
        return place

    def _pending(self, group: GroupView, member: InstanceId) -> bool:
        """Return whether a join was ordered so lately that it may not show yet."""
        ordered_s = group.ordered_s
        if member in group.refused:
            return False
        return ordered_s is not None and self._now_s - ordered_s < CONFIRM_S

    def kept(self, group: GroupView) -> list[InstanceId]:
        """Return the members that can go on."""
        return [
            member
            for member in group.members
            if (seen := self._seen(member)) is not None
            and seen.usable
            and (self._place(group, member) is not None or self._pending(group, member))
        ]

    def _lost(self, group: GroupView) -> bool:
        for member in group.members:
            seen = self._seen(member)
            if seen is None or seen.dead:
                return True
            if self._place(group, member) is None and not self._pending(group, member):
                return True
        return False

    def sort_out(self, group: GroupView) -> bool:
        """Decide what a group needs; return whether it has to form anew."""
        head = self._place(group, group.members[0])
        phase = None if head is None else head.phase
        if self._lost(group):
            return self._after_loss(group, phase)
        self._alive[group.spec.name] += 1
        self.bound.update(member for member in group.members if member)
        if phase is Phase.BROKEN:
            self._form(group.group, group.spec, list(group.members), "broken")
        elif any(self._seen(m).instance.draining for m in group.members):
            self._leaving.append(group)
        elif phase is Phase.READY and self._all_ready(group):
            self._ready[group.group] = group
            self._whole[group.group] = group
        elif phase in (Phase.OPEN, Phase.CLOSING):
            self._whole[group.group] = group
        else:
            return self._overdue(group)
        return False

    def _overdue(self, group: GroupView) -> bool:
        """Return whether a join takes so long that it is given up."""
        if group.ordered_s is None:
            return False
        limit_s = SLOW_LOAD * group.spec.load_s + JOIN_SLACK_S
        if self._now_s - group.ordered_s < limit_s:
            return False
        self._alive[group.spec.name] -= 1
        self.bound.difference_update(group.members)
        return True

    def _after_loss(self, group: GroupView, phase: Phase | None) -> bool:
        """Return whether the members left may form anew now."""
        if phase not in (Phase.OPEN, Phase.CLOSING):
            return True
        first_s = self._view.closes.get(group.group)
        if first_s is not None and self._now_s - first_s >= CLOSE_WAIT_S:
            return True
        self.bound.update(self.kept(group))
        if first_s is None:
            self.actions.append(
                Close(
                    group=group.group,
                    epoch=group.epoch,
                    head=group.members[0],
                    cancel=True,
                    reason="a member is lost",
                )
            )
        return False

    def _all_ready(self, group: GroupView) -> bool:
        places = [self._place(group, member) for member in group.members]
        return all(place is not None and place.phase is Phase.READY for place in places)

    def open_ready(self) -> None:
        """Let groups serve whose members were all found ready."""
        for group in self._ready.values():
            last_s = self._view.opens.get(group.group, float("-inf"))
            if self._now_s - last_s >= REPEAT_ORDER_S:
                self.actions.append(
                    Open(group=group.group, epoch=group.epoch, head=group.members[0])
                )

    def _form(
        self,
        group: GroupId | None,
        spec: ModelSpec,
        members: list[InstanceId],
        reason: str,
    ) -> bool:
        loads = sum(
            spec.name not in self._view.instances[member].at_hand for member in members
        )
        if loads and not self._view.bulk:
            if loads > self._loads_left:
                return False
            self._loads_left -= loads
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

    def _enough(self, pool: _Pool, spec: ModelSpec, count: int) -> bool:
        """Return whether the pool has members for a group.

        During traffic a model is staged first, on a host that meanwhile stays free
        to serve another one.
        """
        if self._view.bulk or not self._view.engine.kept_models:
            return len(pool) >= count
        return pool.at_hand(spec.name) >= count

    def repair(self, broken: list[GroupView], pool: _Pool) -> None:
        """Form groups anew from what is left of them and others that are free."""
        for group in broken:
            if group.group not in self._formed:
                self._repair(group, pool)

    def _repair(self, group: GroupView, pool: _Pool) -> None:
        spec = group.spec
        if self._alive[spec.name] >= self._most[spec.name]:
            return
        kept = [member for member in self.kept(group) if member not in self.bound]
        for member in kept:
            pool.drop(member)
        missing = spec.size - len(kept)
        if self._enough(pool, spec, missing):
            members = kept + pool.take(spec.name, missing)
            if self._form(group.group, spec, members, "a member was lost"):
                self._formed.add(group.group)
                self._alive[spec.name] += 1
                return
            kept = members
        for member in kept:
            pool.add(self._view.instances[member])

    def replace_leaving(self, pool: _Pool) -> None:
        """Change members that drain for spares that hold the model."""
        for group in self._leaving:
            staying = [
                member
                for member in group.members
                if not self._seen(member).instance.draining
            ]
            missing = group.spec.size - len(staying)
            if pool.at_hand(group.spec.name) < missing:
                continue
            phase = self._place(group, group.members[0])
            if phase is not None and phase.phase in (Phase.OPEN, Phase.CLOSING):
                if group.group not in self._view.closes:
                    self.actions.append(
                        Close(
                            group=group.group,
                            epoch=group.epoch,
                            head=group.members[0],
                            cancel=False,
                            reason="a member drains",
                        )
                    )
                continue
            members = staying + pool.take(group.spec.name, missing)
            self._form(group.group, group.spec, members, "a member drains")

    def take_apart(self, groups: list[GroupView], pool: _Pool) -> None:
        """Free members of models with more than their part for one with less.

        Their group first finishes what it has in progress.
        """
        for spec in self._view.engine.models:
            if self._alive[spec.name] >= self._wanted[spec.name]:
                continue
            missing = spec.size - pool.at_hand(spec.name)
            given: list[GroupView] = []
            for group in sorted(self._whole.values(), key=self._ease):
                helping = self._helping(group, spec)
                if (
                    missing > 0
                    and helping
                    and self._dispensable(group, spec, given, pool)
                ):
                    given.append(group)
                    missing -= helping
            if missing <= 0:
                for group in given:
                    self._give(group, spec, pool)

    def _ease(self, group: GroupView) -> tuple[bool, GroupId]:
        """Return a key by which groups that no longer serve come first."""
        place = self._place(group, group.members[0])
        return place is not None and place.phase is Phase.OPEN, group.group

    def _dispensable(
        self,
        group: GroupView,
        spec: ModelSpec,
        given: list[GroupView],
        pool: _Pool,
    ) -> bool:
        """Return whether a group is one too many, or others can form it again."""
        surplus = self._alive[group.spec.name] - self._wanted[group.spec.name]
        if surplus > sum(other.spec is group.spec for other in given):
            return True
        others = sum(
            group.spec.name in seen.at_hand and spec.name not in seen.at_hand
            for seen in pool.values()
        )
        return not given and others >= self._helping(group, spec)

    def _helping(self, group: GroupView, spec: ModelSpec) -> int:
        if group.spec.name == spec.name:
            return 0
        seen = (self._seen(member) for member in group.members)
        return sum(one.usable and spec.name in one.at_hand for one in seen)

    def _give(self, group: GroupView, spec: ModelSpec, pool: _Pool) -> None:
        """Free the members of a group, or begin to end its serving."""
        place = self._place(group, group.members[0])
        if place is not None and place.phase in (Phase.OPEN, Phase.CLOSING):
            if group.group not in self._view.closes:
                self.actions.append(
                    Close(
                        group=group.group,
                        epoch=group.epoch,
                        head=group.members[0],
                        cancel=False,
                        reason=f"its members are needed for {spec.name}",
                    )
                )
            return
        del self._whole[group.group]
        self._ready.pop(group.group, None)
        self._alive[group.spec.name] -= 1
        self.bound.difference_update(group.members)
        for member in group.members:
            seen = self._seen(member)
            if seen.usable:
                pool.add(seen)

    def fill(self, pool: _Pool) -> None:
        """Form groups that the domain has too few of."""
        specs = sorted(
            self._view.engine.models,
            key=lambda spec: (self._alive[spec.name], spec.size),
        )
        for spec in specs:
            if self._alive[spec.name] >= self._wanted[spec.name]:
                continue
            if not self._enough(pool, spec, spec.size):
                continue
            members = pool.take(spec.name, spec.size)
            if self._form(None, spec, members, "too few groups"):
                self._alive[spec.name] += 1
            else:
                for member in members:
                    pool.add(self._view.instances[member])

    def stage(self, pool: _Pool, reserve: int) -> None:
        """Load models to hosts: of free instances first, then second models."""
        if not self._view.engine.kept_models:
            return
        free = [
            seen for seen in pool.values() if seen.instance.id not in self._view.stages
        ]
        free.sort(key=lambda seen: len(seen.at_hand))
        for seen in free:
            specs = [
                spec
                for spec in self._view.engine.models
                if spec.name not in seen.at_hand
            ]
            spec = max(
                specs,
                key=lambda spec: (self._lacking(spec, pool), spec.size),
                default=None,
            )
            if spec is None or (seen.at_hand and self._lacking(spec, pool) <= 0):
                continue
            if not self._stage(seen, spec):
                return
        if self._view.bulk or not self._view.stages:
            self._stage_second(reserve)

    def _lacking(self, spec: ModelSpec, pool: _Pool) -> int:
        """Return how many free instances groups that are too few still need."""
        groups = self._wanted[spec.name] - self._alive[spec.name]
        return groups * spec.size - pool.at_hand(spec.name) - self._coming(spec)

    def _coming(self, spec: ModelSpec) -> int:
        known = sum(one.model == spec.name for one in self._view.stages.values())
        now = sum(
            isinstance(action, Stage) and action.model == spec.name
            for action in self.actions
        )
        return known + now

    def _stage(self, seen: InstanceView, spec: ModelSpec) -> bool:
        if self._loads_left < 1 and not self._view.bulk:
            return False
        self._loads_left -= 1
        self.actions.append(Stage(instance=seen.instance.id, model=spec.name))
        return True

    def _stage_second(self, reserve: int) -> None:
        """Let hosts hold a model beside that of their group.

        Each model gets as many, so that after a loss of power, when instances know
        only what is staged, the domain can form the same groups again.
        """
        for spec in self._view.engine.models:
            held = self._coming(spec)
            hosts = []
            for group in self._whole.values():
                if group.spec.name == spec.name:
                    continue
                members = [self._seen(member) for member in group.members]
                holding = sum(spec.name in seen.at_hand for seen in members)
                held += holding
                hosts += [
                    (holding + number, seen.instance.id, seen)
                    for number, seen in enumerate(members)
                    if self._can_hold(seen, spec)
                ]
            hosts.sort(key=lambda host: host[:2])
            for _, _, seen in hosts[: max(reserve - held, 0)]:
                if not self._stage(seen, spec) or not self._view.bulk:
                    return

    def _can_hold(self, seen: InstanceView, spec: ModelSpec) -> bool:
        """Return whether a model can be staged without the loss of another one."""
        if not seen.usable or seen.instance.id in self._view.stages:
            return False
        if seen.last_model is None or spec.name in seen.at_hand:
            return False
        others = [m for m in seen.instance.staged if m != seen.last_model]
        return len(others) < self._view.engine.kept_models
