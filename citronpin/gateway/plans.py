"""Defines the observed state of a fabric domain and the actions a planner orders."""

import logging
import math
from collections import Counter

import msgspec

from citronpin.basics.ids import GroupId, InstanceId, ModelName
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.routings import EngineSpec, ModelSpec

logger = logging.getLogger(__name__)


class InstanceView(msgspec.Struct, frozen=True, kw_only=True):
    """An instance with the liveness that its ``MemberWatch`` assigns to it."""

    instance: FleetInstance
    dead: bool = False
    last_model: ModelName | None = None  # of its latest group since the process start
    evacuated: bool = False  # no requests are sent to it

    @property
    def is_usable(self) -> bool:
        """Return whether the instance can join a group that forms now."""
        return not self.dead and not self.instance.draining

    @property
    def local_models(self) -> frozenset[ModelName]:
        """Return the models that the instance can serve without a weight store load."""
        models = {*self.instance.staged, *self.instance.models}
        if self.last_model is not None:
            models.add(self.last_model)
        return frozenset(models)


class Formation(msgspec.Struct, frozen=True, kw_only=True):
    """The latest join order of a group, with the members whose join failed."""

    group: GroupId
    epoch: int
    model: ModelName
    members: tuple[InstanceId, ...]  # by rank, head first
    ordered_s: float
    refused: frozenset[InstanceId] = frozenset()


class Staging(msgspec.Struct, frozen=True, kw_only=True):
    """An ordered model load to the host of an instance."""

    model: ModelName
    ordered_s: float


class Pressure(msgspec.Struct, frozen=True):
    """Slot utilization of the serving groups of a model over all domains."""

    # Share of the slots in use, smoothed; 0 to 1.
    used_share: float = msgspec.field(name="part")
    groups: int  # serving groups

    def used_share_without(self, groups: int) -> float:
        """Return the used share after ``groups`` of the groups are given up."""
        if groups >= self.groups:
            return 1.0
        return self.used_share * self.groups / (self.groups - groups)


class DomainView(msgspec.Struct, frozen=True, kw_only=True):
    """A snapshot of a fabric domain; all times are seconds of the local clock."""

    engine: EngineSpec
    instances: dict[InstanceId, InstanceView]
    formations: dict[GroupId, Formation]
    closes: dict[GroupId, float]  # time of the first CLOSE order
    opens: dict[GroupId, float]  # time of the latest OPEN order
    stages: dict[InstanceId, Staging]  # not yet confirmed by the instance
    loads_left: int  # loads that may start now
    # Before the first traffic, model loads delay no request and have no limit.
    before_traffic: bool = msgspec.field(name="bulk")
    pressures: dict[ModelName, Pressure] = {}
    # Number of domains whose conversion turn it is, this one included; 0 forbids it.
    converting: int = 0


class Form(msgspec.Struct, frozen=True, kw_only=True):
    """Orders members to join; ``group`` is ``None`` for a new group."""

    group: GroupId | None
    model: ModelName
    members: tuple[InstanceId, ...]
    reason: str
    loads: int = 0  # members that load from the weight store


class Open(msgspec.Struct, frozen=True, kw_only=True):
    """Orders the head to serve after every member reported ready."""

    group: GroupId
    epoch: int
    head: InstanceId


class Close(msgspec.Struct, frozen=True, kw_only=True):
    """Orders the head to stop serving before the members change."""

    group: GroupId
    epoch: int
    head: InstanceId
    cancel: bool
    reason: str


class Stage(msgspec.Struct, frozen=True, kw_only=True):
    """Orders a model load to the host of an instance."""

    instance: InstanceId
    model: ModelName


Action = Form | Open | Close | Stage


class GroupView(msgspec.Struct, frozen=True, kw_only=True):
    """A group as ordered last, or as its members report it without a matching order."""

    group: GroupId
    epoch: int
    spec: ModelSpec
    members: tuple[InstanceId | None, ...]  # by rank; ``None`` for an unknown member
    ordered_s: float | None = None
    refused: frozenset[InstanceId] = frozenset()


def find_groups(view: DomainView) -> list[GroupView]:
    """Return the groups of a domain at their latest epochs, sorted by id.

    Groups whose model is unknown or no longer configured are left out.
    """
    epochs: dict[GroupId, int] = {}
    for observed in view.instances.values():
        membership = observed.instance.membership
        if membership is not None:
            epochs[membership.group] = max(
                epochs.get(membership.group, -1), membership.epoch
            )
    for group, formation in view.formations.items():
        epochs[group] = max(epochs.get(group, -1), formation.epoch)
    groups = (_find_group(view, group, epoch) for group, epoch in epochs.items())
    return sorted(
        (found for found in groups if found is not None), key=lambda found: found.group
    )


def _find_group(view: DomainView, group: GroupId, epoch: int) -> GroupView | None:
    formation = view.formations.get(group)
    if formation is not None and formation.epoch == epoch:
        spec = view.engine.model(formation.model)
        if spec is None:
            return None
        return GroupView(
            group=group,
            epoch=epoch,
            spec=spec,
            members=formation.members,
            ordered_s=formation.ordered_s,
            refused=formation.refused,
        )
    ranks: dict[int, FleetInstance] = {}
    for observed in view.instances.values():
        membership = observed.instance.membership
        if membership is not None and (membership.group, membership.epoch) == (
            group,
            epoch,
        ):
            ranks[membership.rank] = observed.instance
    models = Counter(model for found in ranks.values() for model in found.models)
    spec = view.engine.model(models.most_common(1)[0][0]) if models else None
    if spec is None:
        return None
    members = tuple(
        ranks[rank].id if rank in ranks else None for rank in range(spec.size)
    )
    return GroupView(group=group, epoch=epoch, spec=spec, members=members)


def target_group_counts(
    engine: EngineSpec, usable_count: int, spare_share: float
) -> dict[ModelName, int]:
    """Return the target number of groups by model for ``usable_count`` instances.

    ``spare_share`` of the instances (0 to 1) stay idle, at most one for each model.
    Models get instances in proportion to their share of the work, in descending
    order of group size so that small groups fill the remainder.
    """
    remaining = usable_count - min(
        round(spare_share * usable_count), len(engine.models)
    )
    total_share = sum(spec.share for spec in engine.models)
    counts: dict[ModelName, int] = {}
    for spec in sorted(engine.models, key=lambda spec: (-spec.size, spec.name)):
        share = spec.share / total_share if total_share else 1 / len(engine.models)
        counts[spec.name] = min(
            math.floor(share * remaining / spec.size + 0.5), remaining // spec.size
        )
        remaining -= counts[spec.name] * spec.size
        total_share -= spec.share
    smallest = min(engine.models, key=lambda spec: (spec.size, spec.name))
    counts[smallest.name] += remaining // smallest.size
    return counts
