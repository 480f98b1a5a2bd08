"""The groups of one fabric domain: how they are seen, and what may be ordered."""

import logging
import math
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
    last_model: ModelName | None = None  # of its last group since its start

    @property
    def usable(self) -> bool:
        """Return whether it can be a member of a group that forms now."""
        return not self.dead and not self.instance.draining

    @property
    def at_hand(self) -> frozenset[ModelName]:
        """Return the models that it serves without the weight store."""
        models = {*self.instance.staged, *self.instance.models}
        if self.last_model is not None:
            models.add(self.last_model)
        return frozenset(models)


class Formation(msgspec.Struct, frozen=True, kw_only=True):
    """The join that was ordered last for a group."""

    group: GroupId
    epoch: int
    model: ModelName
    members: tuple[InstanceId, ...]  # by rank; the head is first
    ordered_s: float
    refused: frozenset[InstanceId] = frozenset()  # members that will not join


class Staging(msgspec.Struct, frozen=True, kw_only=True):
    """A load to the host of an instance that was ordered."""

    model: ModelName
    ordered_s: float


class Pressure(msgspec.Struct, frozen=True):
    """How full the groups of a model are, over all domains."""

    part: float  # of the places in use, smoothed
    groups: int  # that serve

    def without(self, groups: int) -> float:
        """Return the part that would be in use with some groups less."""
        if groups >= self.groups:
            return 1.0
        return self.part * self.groups / (self.groups - groups)


class DomainView(msgspec.Struct, frozen=True, kw_only=True):
    """A fabric domain at one moment."""

    engine: EngineSpec
    instances: dict[InstanceId, InstanceView]
    formations: dict[GroupId, Formation]
    closes: dict[GroupId, float]  # when an end was first ordered
    opens: dict[GroupId, float]  # when serving was last ordered
    stages: dict[InstanceId, Staging]  # that do not show yet
    loads_left: int  # loads that may begin now
    bulk: bool  # nothing is served yet, so loads are cheap and not counted
    pressures: dict[ModelName, Pressure] = {}
    # Domains that may change their models now, this one among them; none: it may not.
    converting: int = 0


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
    """Load a model to the host of an instance."""

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

    Spares are a share of a small domain and at most one for each model of a large
    one. Models get instances in proportion to their share of the work, those with
    large groups first: small groups fill what is left.
    """
    room = usable - min(round(spare_share * usable), len(engine.models))
    total = sum(spec.share for spec in engine.models)
    counts: dict[ModelName, int] = {}
    for spec in sorted(engine.models, key=lambda spec: (-spec.size, spec.name)):
        part = spec.share / total if total else 1 / len(engine.models)
        counts[spec.name] = min(
            math.floor(part * room / spec.size + 0.5), room // spec.size
        )
        room -= counts[spec.name] * spec.size
        total -= spec.share
    smallest = min(engine.models, key=lambda spec: (spec.size, spec.name))
    counts[smallest.name] += room // smallest.size
    return counts
