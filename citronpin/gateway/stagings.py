"""Plans model loads to hosts ahead of the groups that need them."""

import logging

from citronpin.gateway.drafts import PlanDraft
from citronpin.gateway.plans import InstanceView, Stage
from citronpin.gateway.pools import InstancePool
from citronpin.gateway.routings import ModelSpec

logger = logging.getLogger(__name__)


class Stagings:
    """Orders model loads to hosts before a group needs them."""

    def __init__(self, *, draft: PlanDraft) -> None:
        self._draft = draft

    def stage(self, pool: InstancePool, reserve: int) -> None:
        """Order loads for free instances, then second models for members of groups.

        ``reserve`` is the number of hosts that hold each second model.
        """
        if not self._draft.view.engine.kept_models:
            return
        free = [
            observed
            for observed in pool.values()
            if observed.instance.id not in self._draft.view.stages
        ]
        free.sort(key=lambda observed: len(observed.local_models))
        for observed in free:
            specs = [
                spec
                for spec in self._draft.view.engine.models
                if spec.name not in observed.local_models
            ]
            spec = max(
                specs,
                key=lambda spec: (self._missing_instances(spec, pool), spec.size),
                default=None,
            )
            if spec is None or (
                observed.local_models and self._missing_instances(spec, pool) <= 0
            ):
                continue
            if not self._stage(observed, spec):
                return
        if self._draft.view.before_traffic or not self._draft.view.stages:
            self._stage_second_models(reserve)

    def _missing_instances(self, spec: ModelSpec, pool: InstancePool) -> int:
        """Return how many more free instances the missing groups of a model need."""
        groups = (
            self._draft.target_counts[spec.name] - self._draft.live_counts[spec.name]
        )
        groups += self._draft.is_under_pressure(spec)
        return (
            groups * spec.size
            - pool.count_with_model(spec.name)
            - self._loads_under_way(spec)
        )

    def _loads_under_way(self, spec: ModelSpec) -> int:
        ordered = sum(
            staging.model == spec.name for staging in self._draft.view.stages.values()
        )
        planned = sum(
            isinstance(action, Stage) and action.model == spec.name
            for action in self._draft.actions
        )
        return ordered + planned

    def _stage(self, observed: InstanceView, spec: ModelSpec) -> bool:
        if self._draft.loads_left < 1 and not self._draft.view.before_traffic:
            return False
        self._draft.loads_left -= 1
        self._draft.actions.append(
            Stage(instance=observed.instance.id, model=spec.name)
        )
        return True

    def _stage_second_models(self, reserve: int) -> None:
        """Stage models on hosts beside the model of their group.

        Each model gets the same number, so that after a power loss, when instances
        hold only staged models, the domain can form the same groups again.
        """
        for spec in self._draft.view.engine.models:
            held = self._loads_under_way(spec)
            hosts = []
            for group in self._draft.intact_groups.values():
                if group.spec.name == spec.name:
                    continue
                members = [
                    self._draft.find_instance(member) for member in group.members
                ]
                holding = sum(
                    spec.name in observed.local_models for observed in members
                )
                held += holding
                hosts += [
                    (holding + number, observed.instance.id, observed)
                    for number, observed in enumerate(members)
                    if self._can_hold(observed, spec)
                ]
            hosts.sort(key=lambda host: host[:2])
            wanted = reserve
            if (
                self._draft.live_counts[spec.name]
                < self._draft.target_counts[spec.name]
            ):
                wanted = max(reserve, spec.size)  # enough for a whole group
            for _, _, observed in hosts[: max(wanted - held, 0)]:
                if (
                    not self._stage(observed, spec)
                    or not self._draft.view.before_traffic
                ):
                    return

    def _can_hold(self, observed: InstanceView, spec: ModelSpec) -> bool:
        """Return whether a model can be staged without evicting another one."""
        if not observed.is_usable or observed.instance.id in self._draft.view.stages:
            return False
        if observed.last_model is None or spec.name in observed.local_models:
            return False
        others = [m for m in observed.instance.staged if m != observed.last_model]
        return len(others) < self._draft.view.engine.kept_models
