"""A model of fabric domains for the repair benchmark.

It plays the part of instances and engines; detectors and repair policies are those
that an entry runs. Only changes are played, so silence is told to the detector at
the moments at which its judgement can change.
"""

import itertools

import msgspec
import numpy as np

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import (
    DomainName,
    FailureDomainName,
    Fence,
    GroupId,
    InstanceId,
)
from citronpin.benches.bench_traces import Fault, FaultKind
from citronpin.policy.plans import (
    Detector,
    Dissolve,
    DomainView,
    Form,
    Health,
    InstanceView,
    Preload,
    RepairPolicy,
    Replace,
    Wait,
)
from citronpin.policy.repairs import can_reform
from citronpin.state.instances import Instance, InstanceKind, InstanceState
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.states import Group, GroupState

CHECKS_S = (1.01, 2.02, 10.03)  # after the start of a silence
RETURN_HOLD_S = 5.01
LEAVE_NOTICE_S = 120.0
RETURN_SPREAD_S = 60.0  # a domain's instances come back one after another
REFORM_S = 5.0
WARM_LOAD_S = 20.0
COLD_LOAD_S = 180.0
RELEASE_S = 5.0
DRAIN_S = 30.0
GONE_KINDS = frozenset({FaultKind.DARK, FaultKind.PAUSE})


class WeightStore:
    """Loads of all domains share the store's rate."""

    FULL_RATE_LOADS = 4

    def __init__(self) -> None:
        self.loading = 0

    def load_s(self) -> float:
        """Return how long a cold load that starts now takes."""
        return COLD_LOAD_S * max(1.0, (self.loading + 1) / self.FULL_RATE_LOADS)


class ModelInstance(msgspec.Struct, eq=False):
    """An instance of the model."""

    row: Instance
    boot: int = 0
    silent: int = 0  # faults that keep it silent now
    powered: bool = True
    group: GroupId | None = None  # by the log
    holds: GroupId | None = None  # by its engine
    model: str | None = None
    preloading: int = -1  # boot under which a load runs


class Totals(msgspec.Struct):
    """What is measured, integrated over time."""

    down_group_s: float = 0.0
    weighted_down_s: float = 0.0  # times the members of the groups
    stranded_s: float = 0.0
    wanted_group_s: float = 0.0
    powered_s: float = 0.0
    loads: int = 0
    most_loading: int = 0
    best_down_s: float = 0.0  # of a plan that knows the future
    best_stranded_s: float = 0.0


class ModelDomain:
    """One fabric domain under a detector and a repair policy."""

    def __init__(
        self,
        *,
        number: int,
        size: int,
        deployments: tuple[DeploymentManifest, ...],
        clock: PausedClock,
        store: WeightStore,
        detector: Detector,
        policy: RepairPolicy,
    ) -> None:
        self.name = DomainName(f"d{number}")
        self._clock = clock
        self._store = store
        self._detector = detector
        self._policy = policy
        self._deployments = deployments
        self._instances = [self._instance(index) for index in range(size)]
        self._by_id = {one.row.id: one for one in self._instances}
        self._groups: dict[GroupId, Group] = {}
        self._numbers = itertools.count()
        self._loads: dict[GroupId, object] = {}
        self._order = 0
        self.totals = Totals()
        self._counted_s = 0.0
        self._start()

    def _instance(self, index: int) -> ModelInstance:
        row = Instance(
            id=InstanceId(f"{self.name}.{index:03d}"),
            address="127.0.0.1:1",
            kind=InstanceKind.ENGINE,
            state=InstanceState.LIVE,
            failure_domain=FailureDomainName("f"),
            domain=self.name,
            accelerators=1,
        )
        return ModelInstance(row=row)

    def _start(self) -> None:
        for one in self._instances:
            self._hear(one)
        self._list()
        free = iter(self._instances)
        for wanted in self._deployments:
            for _ in range(wanted.groups):
                members = list(itertools.islice(free, wanted.members))
                group = self._add_group(wanted, [one.row.id for one in members])
                self._hold(group)

    def _hear(self, one: ModelInstance) -> None:
        self._detector.record_reply(
            instance=one.row.id,
            boot=str(one.boot),
            delay_s=0.01,
            now_s=self._clock.now(),
        )

    def _list(self) -> None:
        rows = tuple(one.row for one in self._instances)
        self._detector.apply_membership(instances=rows, now_s=self._clock.now())

    def _add_group(self, wanted: DeploymentManifest, members) -> Group:
        group = Group(
            id=GroupId(f"{self.name}.g{next(self._numbers)}"),
            deployment=wanted.name,
            members=tuple(members),
            model=wanted.model,
            version=wanted.version,
            adapters=(),
            state=GroupState.FORMING,
            fence=Fence(1),
            changed=0,
        )
        self._groups[group.id] = group
        for member in members:
            self._by_id[member].group = group.id
        return group

    def _hold(self, group: Group) -> None:
        for member in group.members:
            one = self._by_id[member]
            one.holds, one.model = group.id, group.model
        self._groups[group.id] = msgspec.structs.replace(
            group, state=GroupState.SERVING
        )

    def count(self) -> None:
        """Integrate the figures up to now."""
        length_s = self._clock.now() - self._counted_s
        self._counted_s = self._clock.now()
        if length_s <= 0:
            return
        serving = [group for group in self._groups.values() if self._serves(group)]
        totals = self.totals
        used = sum(len(group.members) for group in serving)
        powered = sum(one.powered for one in self._instances)
        wanted = sum(one.groups for one in self._deployments)
        wanted_members = sum(one.groups * one.members for one in self._deployments)
        totals.down_group_s += (wanted - len(serving)) * length_s
        totals.weighted_down_s += (wanted_members - used) * length_s
        totals.stranded_s += (powered - used) * length_s
        totals.wanted_group_s += wanted * length_s
        totals.powered_s += powered * length_s
        self._count_best(length_s, powered)

    def _count_best(self, length_s: float, powered: int) -> None:
        """Integrate what no plan can better: every instance moves without a load."""
        left = sum(one.powered and not one.silent for one in self._instances)
        used = 0
        for wanted in sorted(self._deployments, key=lambda one: one.members):
            groups = min(wanted.groups, left // wanted.members)
            left -= groups * wanted.members
            used += groups * wanted.members
            self.totals.best_down_s += (wanted.groups - groups) * length_s
        self.totals.best_stranded_s += (powered - used) * length_s

    def _serves(self, group: Group) -> bool:
        if group.state is not GroupState.SERVING:
            return False
        members = [self._by_id[member] for member in group.members]
        return all(one.holds == group.id and not one.silent for one in members)

    def strike(self, fault: Fault) -> None:
        """Begin a fault."""
        hit = [self._instances[number] for number in fault.instances]
        if fault.kind is FaultKind.REPLACE:
            self._set_state(hit[0], InstanceState.LEAVING)
            self._clock.call_later(LEAVE_NOTICE_S, lambda: self._silence(fault, hit))
            self.replan()
        else:
            self._silence(fault, hit)

    def _set_state(self, one: ModelInstance, state: InstanceState) -> None:
        one.row = msgspec.structs.replace(one.row, state=state)
        self._list()

    def _silence(self, fault: Fault, hit: list[ModelInstance]) -> None:
        self.count()
        stays = fault.kind in GONE_KINDS
        for one in hit:
            if not one.silent:
                self._hear(one)
            one.silent += 1
            if not stays:
                one.powered = False
        spread_s = RETURN_SPREAD_S if len(hit) > 1 else 0.0
        for place, one in enumerate(hit):
            delay_s = fault.lasts_s + spread_s * place / len(hit)
            self._clock.call_later(delay_s, lambda o=one: self._return(o, stays))
        for delay_s in CHECKS_S:
            self._clock.call_later(delay_s, lambda: self._probe(hit))

    def _probe(self, hit: list[ModelInstance]) -> None:
        for one in hit:
            if one.silent:
                self._detector.record_missed_probe(
                    instance=one.row.id, now_s=self._clock.now()
                )
        self.replan()

    def _return(self, one: ModelInstance, stays: bool) -> None:
        self.count()
        one.silent -= 1
        if not stays:
            one.boot += 1
            one.powered = True
            one.holds = one.model = None
        if one.silent:
            return
        if one.row.state is InstanceState.LEAVING:
            self._set_state(one, InstanceState.LIVE)
        self._hear(one)
        self.replan()
        self._clock.call_later(RETURN_HOLD_S, self.replan)

    def replan(self) -> None:
        """Let the policy plan, and do what it says."""
        self.count()
        now_s = self._clock.now()
        view = self._view()
        plan = self._policy.plan(view=view, now_s=now_s)
        self._reform(view, {getattr(action, "group", None) for action in plan})
        for action in plan:
            if isinstance(action, Wait):
                if "paused" in action.reason:
                    self._clock.call_later(action.until_s - now_s + 0.01, self.replan)
            elif isinstance(action, Form):
                wanted = self._wanted(action.deployment)
                self._load(self._add_group(wanted, action.members))
            elif isinstance(action, Replace):
                self._replace(action)
            elif isinstance(action, Dissolve):
                self._dissolve(action.group)
            elif isinstance(action, Preload):
                self._preload(self._by_id[action.instance], action)

    def _reform(self, view: DomainView, planned: set) -> None:
        """Form broken groups anew whose members are all back."""
        for group in view.groups:
            if group.id not in planned and can_reform(view, group):
                formed = msgspec.structs.replace(group, state=GroupState.FORMING)
                self._groups[group.id] = formed
                self._load(formed)

    def _wanted(self, name) -> DeploymentManifest:
        return next(one for one in self._deployments if one.name == name)

    def _view(self) -> DomainView:
        now_s = self._clock.now()
        views = []
        for one in self._instances:
            health, since_s = self._detector.health(instance=one.row.id, now_s=now_s)
            views.append(
                InstanceView(
                    instance=one.row,
                    health=health,
                    since_s=since_s,
                    group=one.group,
                    model=one.model,
                    version="1" if one.model else None,
                )
            )
        health = {seen.instance.id: seen.health for seen in views}
        return DomainView(
            domain=self.name,
            groups=tuple(
                self._seen_group(group, health) for group in self._groups.values()
            ),
            instances=tuple(views),
            deployments=self._deployments,
            quotas={one.name: one.groups for one in self._deployments},
            serving_elsewhere={},
        )

    def _seen_group(self, group: Group, health) -> Group:
        """Return the group as its controller has it: broken without a member."""
        if group.state not in (GroupState.SERVING, GroupState.FORMING):
            return group
        well = (Health.HEALTHY, Health.STRAGGLER, Health.LEAVING)
        missing = any(health[member] not in well for member in group.members)
        if group.state is GroupState.SERVING:
            holds = all(
                self._by_id[member].holds == group.id for member in group.members
            )
            missing = missing or not holds
        if not missing and group.id not in self._loads:
            missing = group.state is GroupState.FORMING
        if missing:
            self._stop_load(group.id)
            group = msgspec.structs.replace(group, state=GroupState.BROKEN)
            self._groups[group.id] = group
        return group

    def _replace(self, action: Replace) -> None:
        group = self._groups[action.group]
        for member in action.leaving:
            one = self._by_id[member]
            one.group = None
            one.holds = None
        members = [member for member in group.members if member not in action.leaving]
        members += action.joining
        group = msgspec.structs.replace(
            group, members=tuple(members), state=GroupState.FORMING
        )
        self._groups[group.id] = group
        for member in members:
            self._by_id[member].group = group.id
        self._load(group)

    def _load(self, group: Group) -> None:
        self._stop_load(group.id)
        members = [self._by_id[member] for member in group.members]
        cold = any(one.model != group.model for one in members)
        same = all(one.holds == group.id for one in members)
        delay_s = REFORM_S if same else WARM_LOAD_S
        if cold:
            delay_s = self._store.load_s()
            self._store.loading += 1
            self.totals.loads += 1
            self.totals.most_loading = max(
                self.totals.most_loading, self._store.loading
            )
        timer = self._clock.call_later(delay_s, lambda: self._loaded(group.id))
        self._loads[group.id] = (timer, cold)

    def _preload(self, one: ModelInstance, action: Preload) -> None:
        if one.preloading == one.boot:
            return
        one.preloading = boot = one.boot
        wanted = self._wanted(action.deployment)
        delay_s = self._store.load_s()
        self._store.loading += 1
        self.totals.loads += 1

        def done() -> None:
            self._store.loading -= 1
            if one.boot == boot and one.group is None:
                one.model = wanted.model
                one.preloading = -1
                self.replan()

        self._clock.call_later(delay_s, done)

    def _stop_load(self, group: GroupId) -> None:
        timer, cold = self._loads.pop(group, (None, False))
        if timer is not None:
            timer.cancel()
            self._store.loading -= cold

    def _loaded(self, group: GroupId) -> None:
        self.count()
        self._stop_load(group)
        found = self._groups[group]
        members = [self._by_id[member] for member in found.members]
        if any(one.silent for one in members):
            broken = msgspec.structs.replace(found, state=GroupState.BROKEN)
            self._groups[group] = broken
        else:
            self._hold(found)
        self.replan()

    def _dissolve(self, group: GroupId) -> None:
        self._stop_load(group)
        found = self._groups[group]
        if found.state in (GroupState.RELEASING, GroupState.DRAINING):
            return
        delay_s = RELEASE_S + DRAIN_S * (found.state is GroupState.SERVING)
        self._groups[group] = msgspec.structs.replace(found, state=GroupState.RELEASING)
        self._clock.call_later(delay_s, lambda: self._released(group))

    def _released(self, group: GroupId) -> None:
        self.count()
        for member in self._groups.pop(group).members:
            one = self._by_id[member]
            one.group = one.holds = None
        self.replan()


def confidence_half(values: list[float]) -> float | None:
    """Return half of the 95 % confidence interval of the mean (Student's t)."""
    quantiles = {2: 12.71, 3: 4.303, 4: 3.182, 5: 2.776, 6: 2.571, 8: 2.365, 10: 2.262}
    if len(values) < 2:
        return None
    return quantiles[len(values)] * float(np.std(values, ddof=1)) / len(values) ** 0.5
