"""Decides which models are loaded to which hosts."""

import logging

from citronpin.gateway.drafts import PlanDraft
from citronpin.gateway.plans import InstanceView, Stage
from citronpin.gateway.pools import InstancePool
from citronpin.gateway.routings import ModelSpec

logger = logging.getLogger(__name__)


class Stagings:
    """Loads models to hosts before a group needs them."""

    def __init__(self, *, draft: PlanDraft) -> None:
        self._draft = draft

    def stage(self, pool: InstancePool, reserve: int) -> None:
        """Load models to hosts: of free instances first, then second models."""
        if not self._draft.view.engine.kept_models:
            return
        free = [
            seen
            for seen in pool.values()
            if seen.instance.id not in self._draft.view.stages
        ]
        free.sort(key=lambda seen: len(seen.at_hand))
        for seen in free:
            specs = [
                spec
                for spec in self._draft.view.engine.models
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
        if self._draft.view.bulk or not self._draft.view.stages:
            self._stage_second(reserve)

    def _lacking(self, spec: ModelSpec, pool: InstancePool) -> int:
        """Return how many free instances groups that are too few still need."""
        groups = self._draft.wanted[spec.name] - self._draft.alive[spec.name]
        groups += self._draft.pressed(spec)
        return groups * spec.size - pool.at_hand(spec.name) - self._coming(spec)

    def _coming(self, spec: ModelSpec) -> int:
        known = sum(one.model == spec.name for one in self._draft.view.stages.values())
        now = sum(
            isinstance(action, Stage) and action.model == spec.name
            for action in self._draft.actions
        )
        return known + now

    def _stage(self, seen: InstanceView, spec: ModelSpec) -> bool:
        if self._draft.loads_left < 1 and not self._draft.view.bulk:
            return False
        self._draft.loads_left -= 1
        self._draft.actions.append(Stage(instance=seen.instance.id, model=spec.name))
        return True

    def _stage_second(self, reserve: int) -> None:
        """Let hosts hold a model beside that of their group.

        Each model gets as many, so that after a loss of power, when instances know
        only what is staged, the domain can form the same groups again.
        """
        for spec in self._draft.view.engine.models:
            held = self._coming(spec)
            hosts = []
            for group in self._draft.whole.values():
                if group.spec.name == spec.name:
                    continue
                members = [self._draft.seen(member) for member in group.members]
                holding = sum(spec.name in seen.at_hand for seen in members)
                held += holding
                hosts += [
                    (holding + number, seen.instance.id, seen)
                    for number, seen in enumerate(members)
                    if self._can_hold(seen, spec)
                ]
            hosts.sort(key=lambda host: host[:2])
            wanted = reserve
            if self._draft.alive[spec.name] < self._draft.wanted[spec.name]:
                wanted = max(reserve, spec.size)  # that a whole group can come back
            for _, _, seen in hosts[: max(wanted - held, 0)]:
                if not self._stage(seen, spec) or not self._draft.view.bulk:
                    return

    def _can_hold(self, seen: InstanceView, spec: ModelSpec) -> bool:
        """Return whether a model can be staged without the loss of another one."""
        if not seen.usable or seen.instance.id in self._draft.view.stages:
            return False
        if seen.last_model is None or spec.name in seen.at_hand:
            return False
        others = [m for m in seen.instance.staged if m != seen.last_model]
        return len(others) < self._draft.view.engine.kept_models
