"""The groups of one fabric domain: how they are seen, and what may be ordered."""

import logging
from collections import Counter

import msgspec

from citronpin.basics.ids import GroupId, InstanceId, ModelName
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.routings import EngineSpec, ModelSpec

logger = logging.getLogger(__name__)


class InstanceView(msgspec.Struct, frozen=True, kw_only=True):
    """An instance with what its watcher thinks of it."""

    instance: FleetInstance
    dead: bool = False

    @property
    def usable(self) -> bool:
        """Return whether it can be a member of a group that forms now."""
        return not self.dead and not self.instance.draining


class Formation(msgspec.Struct, frozen=True, kw_only=True):
    """The join that was ordered last for a group."""

    group: GroupId
    epoch: int
    model: ModelName
    members: tuple[InstanceId, ...]  # by rank; the head is first
    ordered_s: float
    refused: frozenset[InstanceId] = frozenset()  # members that will not join


class DomainView(msgspec.Struct, frozen=True, kw_only=True):
    """A fabric domain at one moment."""

    engine: EngineSpec
    instances: dict[InstanceId, InstanceView]
    formations: dict[GroupId, Formation]
    closes: dict[GroupId, float]  # when an end was first ordered
    opens: dict[GroupId, float]  # when serving was last ordered
    stages: dict[InstanceId, float]  # when a load to the host was last ordered
    loads_left: int  # loads that may begin now
    bulk: bool  # nothing is served yet, so loads are cheap and not counted


class Form(msgspec.Struct, frozen=True, kw_only=True):
    """Order a join; ``group`` is ``None`` for a new group."""

    group: GroupId | None
    model: ModelName
    members: tuple[InstanceId, ...]
    reason: str
    loads: int = 0  # members that need the weight store


class Open(msgspec.Struct, frozen=True, kw_only=True):
    """Let the head serve, since every member has been found ready."""

    group: GroupId
    epoch: int
    head: InstanceId


class Close(msgspec.Struct, frozen=True, kw_only=True):
    """End serving at the head before the members change."""

    group: GroupId
    epoch: int
    head: InstanceId
    cancel: bool
    reason: str


class Stage(msgspec.Struct, frozen=True, kw_only=True):
    """Load a model to the host of a spare."""

    instance: InstanceId
    model: ModelName


Action = Form | Open | Close | Stage


class GroupView(msgspec.Struct, frozen=True, kw_only=True):
    """A group as its members tell, completed by what was ordered."""

    group: GroupId
    epoch: int
    spec: ModelSpec
    members: tuple[InstanceId | None, ...]  # by rank; ``None`` was not found
    ordered_s: float | None = None
    refused: frozenset[InstanceId] = frozenset()


def find_groups(view: DomainView) -> list[GroupView]:
    """Return the groups of a domain, each at its latest epoch."""
    epochs: dict[GroupId, int] = {}
    for seen in view.instances.values():
        place = seen.instance.membership
        if place is not None:
            epochs[place.group] = max(epochs.get(place.group, -1), place.epoch)
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
    for seen in view.instances.values():
        place = seen.instance.membership
        if place is not None and (place.group, place.epoch) == (group, epoch):
            ranks[place.rank] = seen.instance
    models = Counter(model for found in ranks.values() for model in found.models)
    spec = view.engine.model(models.most_common(1)[0][0]) if models else None
    if spec is None:
        return None
    members = tuple(
        ranks[rank].id if rank in ranks else None for rank in range(spec.size)
    )
    return GroupView(group=group, epoch=epoch, spec=spec, members=members)


def composition(
    engine: EngineSpec, usable: int, spare_share: float
) -> dict[ModelName, int]:
    """Return how many groups of each model a domain of ``usable`` instances has.

    Spares are a share of a small domain and one for each model of a large one, where
    more would stand idle. Models get instances in proportion to their share of the
    work; the next group is of the model that would then be least ahead of its share.
    """
    room = usable - min(round(spare_share * usable), len(engine.models))
    total = sum(spec.share for spec in engine.models) or 1.0
    counts = {spec.name: 0 for spec in engine.models}
    while True:
        fitting = [spec for spec in engine.models if spec.size <= room]
        if not fitting:
            return counts
        spec = min(fitting, key=lambda spec: _ahead(spec, counts, total))
        counts[spec.name] += 1
        room -= spec.size


def _ahead(spec: ModelSpec, counts, total: float) -> tuple[float, int]:
    members = (counts[spec.name] + 1) * spec.size
    return members / (spec.share / total or 1e-9), -spec.size
