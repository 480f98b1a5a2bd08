"""Plans the groups of one fabric domain; pure decisions of a view and a time."""

import logging
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable

from citronpin.basics.ids import GroupId, InstanceId, ModelName
from citronpin.gateway.fleets import FleetInstance, Membership, Phase
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
SPARE_SHARE = 0.2  # of a small domain; a sixth of the members is lost on a bad day


class GroupPlanner(ABC):
    """Decides on the groups of a domain."""

    @abstractmethod
    def plan(self, *, view: DomainView, now_s: float) -> list[Action]:
        """Return what is to be ordered now."""


class _Pool:
    """Instances that may be taken, by how soon each can serve a model."""

    def __init__(self, free: Iterable[FleetInstance]) -> None:
        self._free = {instance.id: instance for instance in free}

    def __len__(self) -> int:
        return len(self._free)

    def values(self) -> list[FleetInstance]:
        return sorted(self._free.values(), key=lambda instance: instance.id)

    def take(self, spec: ModelSpec, count: int) -> list[FleetInstance]:
        """Take the ``count`` instances that are ready soonest."""
        chosen = sorted(
            self._free.values(),
            key=lambda instance: (_cold(instance, spec), instance.id),
        )[:count]
        for instance in chosen:
            del self._free[instance.id]
        return chosen


def _cold(instance: FleetInstance, spec: ModelSpec) -> int:
    """Return 0 where the model is at hand, 1 for an empty host, 2 for another model."""
    if spec.name in instance.staged or spec.name in instance.models:
        return 0
    return 2 if instance.staged else 1


class SparePlanner(GroupPlanner):
    """Keeps a part of each domain as spares that hold the models of its groups.

    A lost member is replaced under the same group name with a higher epoch, which
    members that keep their model join at once. The head's end of serving comes
    first, so that no instance is taken from a group that still serves.
    """

    def __init__(self, *, spare_share: float = SPARE_SHARE) -> None:
        self._spare_share = spare_share

    def plan(self, *, view: DomainView, now_s: float) -> list[Action]:
        plan = _Plan(view=view, now_s=now_s)
        groups = find_groups(view)
        broken = [group for group in groups if plan.sort_out(group)]
        pool = _Pool(
            seen.instance
            for seen in view.instances.values()
            if seen.usable and seen.instance.id not in plan.bound
        )
        for group in sorted(
            broken, key=lambda group: (-len(plan.kept(group)), group.group)
        ):
            plan.repair(group, pool)
        plan.replace_leaving(pool)
        plan.fill(pool, self._spare_share)
        plan.stage(pool)
        return plan.actions


class _Plan:
    """One run of the planning."""

    def __init__(self, *, view: DomainView, now_s: float) -> None:
        self._view = view
        self._now_s = now_s
        self._loads_left = view.loads_left
        self.actions: list[Action] = []
        self.bound: set[InstanceId] = set()  # members of groups that stay
        self._alive: Counter[ModelName] = Counter()
        self._leaving: list[GroupView] = []
        self._loading = 0  # groups that wait for the weight store

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
            self._open(group)
        elif phase not in (Phase.OPEN, Phase.CLOSING):
            self._loading += 1
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

    def _open(self, group: GroupView) -> None:
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
            _cold(self._view.instances[member].instance, spec) > 0 for member in members
        )
        if loads and not self._view.bulk:
            if loads > self._loads_left:
                return False
            self._loads_left -= loads
        if loads:
            self._loading += 1
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

    def repair(self, group: GroupView, pool: _Pool) -> None:
        """Form a group anew from what is left of it and spares."""
        kept = [member for member in self.kept(group) if member not in self.bound]
        missing = group.spec.size - len(kept)
        for member in kept:
            pool._free.pop(member, None)
        if missing > len(pool):
            for member in kept:
                pool._free[member] = self._view.instances[member].instance
            return
        joining = [found.id for found in pool.take(group.spec, missing)]
        if self._form(group.group, group.spec, kept + joining, "a member was lost"):
            self._alive[group.spec.name] += 1

    def replace_leaving(self, pool: _Pool) -> None:
        """Change members that drain for spares that hold the model."""
        for group in self._leaving:
            staying = [
                member
                for member in group.members
                if not self._seen(member).instance.draining
            ]
            missing = group.spec.size - len(staying)
            warm = [f for f in pool.values() if not _cold(f, group.spec)]
            if len(warm) < missing:
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
            joining = [found.id for found in pool.take(group.spec, missing)]
            self._form(group.group, group.spec, staying + joining, "a member drains")

    def fill(self, pool: _Pool, spare_share: float) -> None:
        """Form groups that the domain has too few of."""
        usable = sum(seen.usable for seen in self._view.instances.values())
        wanted = composition(self._view.engine, usable, spare_share)
        specs = sorted(
            self._view.engine.models,
            key=lambda spec: (self._alive[spec.name], spec.size),
        )
        for spec in specs:
            if self._alive[spec.name] >= wanted[spec.name]:
                continue
            if self._view.bulk and self._loading:
                return  # loads that come together all end late
            if len(pool) < spec.size:
                continue
            members = [found.id for found in pool.take(spec, spec.size)]
            if self._form(None, spec, members, "too few groups"):
                self._alive[spec.name] += 1

    def stage(self, pool: _Pool) -> None:
        """Load models to the hosts of spares."""
        if self._view.bulk and self._loading:
            return
        spares = pool.values()
        have: Counter[ModelName] = Counter()
        for spare in spares:
            have.update(spare.staged[:1])
        total = sum(
            self._alive[spec.name] * spec.size for spec in self._view.engine.models
        )
        for spare in spares:
            last_s = self._view.stages.get(spare.id)
            if spare.staged or last_s is not None:
                have.update([] if spare.staged else [ModelName("")])
                continue
            if self._loads_left < 1 and not self._view.bulk:
                return
            spec = max(
                self._view.engine.models,
                key=lambda spec: (
                    self._deficit(spec, have, len(spares), total),
                    spec.size,
                ),
            )
            have[spec.name] += 1
            self._loads_left -= 1
            self.actions.append(Stage(instance=spare.id, model=spec.name))

    def _deficit(self, spec: ModelSpec, have, spares: int, total: int) -> float:
        part = self._alive[spec.name] * spec.size / total if total else spec.share
        return part * spares - have[spec.name]
