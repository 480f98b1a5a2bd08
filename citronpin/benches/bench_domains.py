"""Simulated fabric domains for the repair benchmark.

Instances and engines are simulated; detectors and repair policies are those that an
entry runs. Only changes are simulated, so missed probes are reported to the detector
just after the times at which its verdict can change.
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

# After an instance falls silent: just past the detectors' default thresholds.
PROBE_TIMES_S = (1.01, 2.02, 10.03)
RETURN_REPLAN_DELAY_S = 5.01  # just past the detector's hold of a returned instance
LEAVE_NOTICE_S = 120.0
RETURN_SPREAD_S = 60.0  # over which the instances of one fault come back in turn
REFORM_S = 5.0
WARM_LOAD_S = 20.0
COLD_LOAD_S = 180.0
RELEASE_S = 5.0
DRAIN_S = 30.0
# Instances are unreachable for a time, but keep power, weights and groups.
STATE_KEEPING_KINDS = frozenset({FaultKind.DARK, FaultKind.PAUSE})


class WeightStore:
    """Weight store whose rate is shared by the loads of all domains."""

    MAX_FULL_RATE_LOADS = 4  # more loads at a time slow each other down

    def __init__(self) -> None:
        self.loading = 0

    def load_s(self) -> float:
        """Return the duration in seconds of a cold load that starts now."""
        return COLD_LOAD_S * max(1.0, (self.loading + 1) / self.MAX_FULL_RATE_LOADS)


class SimulatedInstance(msgspec.Struct, eq=False):
    """Simulated instance and its engine."""

    row: Instance
    boot: int = 0
    silent: int = 0  # number of current faults that keep it silent
    powered: bool = True
    group: GroupId | None = None  # that the log assigns to it
    holds: GroupId | None = None  # that its engine has loaded
    model: str | None = None
    preloading: int = -1  # boot during which the current preload began


class Totals(msgspec.Struct):
    """Measurements of a domain, integrated over time; fields in ``_s`` are seconds."""

    down_group_s: float = 0.0
    weighted_down_s: float = 0.0  # times the members of the groups
    stranded_s: float = 0.0
    wanted_group_s: float = 0.0
    powered_s: float = 0.0
    loads: int = 0
    most_loading: int = 0
    best_down_s: float = 0.0  # lower bound, of a plan that knows the future
    best_stranded_s: float = 0.0  # of the same plan


class SimulatedDomain:
    """Simulated fabric domain under a detector and a repair policy."""

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
        self._instances = [self._make_instance(index) for index in range(size)]
        self._instances_by_id = {
            instance.row.id: instance for instance in self._instances
        }
        self._groups: dict[GroupId, Group] = {}
        self._group_sequence = itertools.count()
        self._loads: dict[GroupId, object] = {}
        self._order = 0
        self.totals = Totals()
        self._accumulated_until_s = 0.0
        self._start()

    def _make_instance(self, index: int) -> SimulatedInstance:
        row = Instance(
            id=InstanceId(f"{self.name}.{index:03d}"),
            address="127.0.0.1:1",
            kind=InstanceKind.ENGINE,
            state=InstanceState.LIVE,
            failure_domain=FailureDomainName("f"),
            domain=self.name,
            accelerators=1,
        )
        return SimulatedInstance(row=row)

    def _start(self) -> None:
        for instance in self._instances:
            self._record_reply(instance)
        self._update_membership()
        free = iter(self._instances)
        for deployment in self._deployments:
            for _ in range(deployment.groups):
                members = list(itertools.islice(free, deployment.members))
                group = self._add_group(
                    deployment, [instance.row.id for instance in members]
                )
                self._set_serving(group)

    def _record_reply(self, instance: SimulatedInstance) -> None:
        self._detector.record_reply(
            instance=instance.row.id,
            boot=str(instance.boot),
            delay_s=0.01,
            now_s=self._clock.now(),
        )

    def _update_membership(self) -> None:
        rows = tuple(instance.row for instance in self._instances)
        self._detector.listed(instances=rows, now_s=self._clock.now())

    def _add_group(self, deployment: DeploymentManifest, members) -> Group:
        group = Group(
            id=GroupId(f"{self.name}.g{next(self._group_sequence)}"),
            deployment=deployment.name,
            members=tuple(members),
            model=deployment.model,
            version=deployment.version,
            adapters=(),
            state=GroupState.FORMING,
            fence=Fence(1),
            changed=0,
        )
        self._groups[group.id] = group
        for member in members:
            self._instances_by_id[member].group = group.id
        return group

    def _set_serving(self, group: Group) -> None:
        for member in group.members:
            instance = self._instances_by_id[member]
            instance.holds, instance.model = group.id, group.model
        self._groups[group.id] = msgspec.structs.replace(
            group, state=GroupState.SERVING
        )

    def accumulate_totals(self) -> None:
        """Integrate the totals from the last call up to now."""
        length_s = self._clock.now() - self._accumulated_until_s
        self._accumulated_until_s = self._clock.now()
        if length_s <= 0:
            return
        serving = [group for group in self._groups.values() if self._serves(group)]
        totals = self.totals
        used = sum(len(group.members) for group in serving)
        powered = sum(instance.powered for instance in self._instances)
        wanted_groups = sum(deployment.groups for deployment in self._deployments)
        wanted_members = sum(
            deployment.groups * deployment.members for deployment in self._deployments
        )
        totals.down_group_s += (wanted_groups - len(serving)) * length_s
        totals.weighted_down_s += (wanted_members - used) * length_s
        totals.stranded_s += (powered - used) * length_s
        totals.wanted_group_s += wanted_groups * length_s
        totals.powered_s += powered * length_s
        self._accumulate_optimum(length_s, powered)

    def _accumulate_optimum(self, length_s: float, powered: int) -> None:
        """Integrate the lower bounds: any instance joins any group without a load."""
        available = sum(
            instance.powered and not instance.silent for instance in self._instances
        )
        used = 0
        for deployment in sorted(
            self._deployments, key=lambda deployment: deployment.members
        ):
            groups = min(deployment.groups, available // deployment.members)
            available -= groups * deployment.members
            used += groups * deployment.members
            self.totals.best_down_s += (deployment.groups - groups) * length_s
        self.totals.best_stranded_s += (powered - used) * length_s

    def _serves(self, group: Group) -> bool:
        if group.state is not GroupState.SERVING:
            return False
        members = [self._instances_by_id[member] for member in group.members]
        return all(
            instance.holds == group.id and not instance.silent for instance in members
        )

    def inject(self, fault: Fault) -> None:
        """Start a fault; a replacement begins with a notice of `LEAVE_NOTICE_S`."""
        affected = [self._instances[number] for number in fault.instances]
        if fault.kind is FaultKind.REPLACE:
            self._set_state(affected[0], InstanceState.LEAVING)
            self._clock.call_later(
                LEAVE_NOTICE_S, lambda: self._start_fault(fault, affected)
            )
            self.replan()
        else:
            self._start_fault(fault, affected)

    def _set_state(self, instance: SimulatedInstance, state: InstanceState) -> None:
        instance.row = msgspec.structs.replace(instance.row, state=state)
        self._update_membership()

    def _start_fault(self, fault: Fault, affected: list[SimulatedInstance]) -> None:
        self.accumulate_totals()
        keeps_state = fault.kind in STATE_KEEPING_KINDS
        for instance in affected:
            if not instance.silent:
                self._record_reply(instance)
            instance.silent += 1
            if not keeps_state:
                instance.powered = False
        spread_s = RETURN_SPREAD_S if len(affected) > 1 else 0.0
        for position, instance in enumerate(affected):
            delay_s = fault.lasts_s + spread_s * position / len(affected)
            self._clock.call_later(
                delay_s, lambda o=instance: self._end_fault(o, keeps_state)
            )
        for delay_s in PROBE_TIMES_S:
            self._clock.call_later(delay_s, lambda: self._miss_probe(affected))

    def _miss_probe(self, affected: list[SimulatedInstance]) -> None:
        for instance in affected:
            if instance.silent:
                self._detector.record_missed_probe(
                    instance=instance.row.id, now_s=self._clock.now()
                )
        self.replan()

    def _end_fault(self, instance: SimulatedInstance, keeps_state: bool) -> None:
        self.accumulate_totals()
        instance.silent -= 1
        if not keeps_state:
            instance.boot += 1
            instance.powered = True
            instance.holds = instance.model = None
        if instance.silent:
            return
        if instance.row.state is InstanceState.LEAVING:
            self._set_state(instance, InstanceState.LIVE)
        self._record_reply(instance)
        self.replan()
        self._clock.call_later(RETURN_REPLAN_DELAY_S, self.replan)

    def replan(self) -> None:
        """Get the plan of the repair policy and carry out its actions."""
        self.accumulate_totals()
        now_s = self._clock.now()
        view = self._domain_view()
        plan = self._policy.plan(view=view, now_s=now_s)
        self._reform_groups(view, {getattr(action, "group", None) for action in plan})
        for action in plan:
            if isinstance(action, Wait):
                if "paused" in action.reason:
                    self._clock.call_later(action.until_s - now_s + 0.01, self.replan)
            elif isinstance(action, Form):
                deployment = self._deployment(action.deployment)
                self._load(self._add_group(deployment, action.members))
            elif isinstance(action, Replace):
                self._replace(action)
            elif isinstance(action, Dissolve):
                self._dissolve(action.group)
            elif isinstance(action, Preload):
                self._preload(self._instances_by_id[action.instance], action)

    def _reform_groups(self, view: DomainView, planned_groups: set) -> None:
        """Form broken groups again if all their members are back."""
        for group in view.groups:
            if group.id not in planned_groups and can_reform(view, group):
                formed = msgspec.structs.replace(group, state=GroupState.FORMING)
                self._groups[group.id] = formed
                self._load(formed)

    def _deployment(self, name) -> DeploymentManifest:
        return next(
            deployment for deployment in self._deployments if deployment.name == name
        )

    def _domain_view(self) -> DomainView:
        now_s = self._clock.now()
        views = []
        for instance in self._instances:
            health, since_s = self._detector.health(
                instance=instance.row.id, now_s=now_s
            )
            views.append(
                InstanceView(
                    instance=instance.row,
                    health=health,
                    since_s=since_s,
                    group=instance.group,
                    model=instance.model,
                    version="1" if instance.model else None,
                )
            )
        health = {
            instance_view.instance.id: instance_view.health for instance_view in views
        }
        return DomainView(
            domain=self.name,
            groups=tuple(
                self._observed_group(group, health) for group in self._groups.values()
            ),
            instances=tuple(views),
            deployments=self._deployments,
            quotas={
                deployment.name: deployment.groups for deployment in self._deployments
            },
            serving_elsewhere={},
        )

    def _observed_group(self, group: Group, health) -> Group:
        """Return the group as its controller sees it; record it if it is broken."""
        if group.state not in (GroupState.SERVING, GroupState.FORMING):
            return group
        usable_states = (Health.HEALTHY, Health.STRAGGLER, Health.LEAVING)
        is_broken = any(health[member] not in usable_states for member in group.members)
        if group.state is GroupState.SERVING:
            holds = all(
                self._instances_by_id[member].holds == group.id
                for member in group.members
            )
            is_broken = is_broken or not holds
        if not is_broken and group.id not in self._loads:
            is_broken = group.state is GroupState.FORMING
        if is_broken:
            self._stop_load(group.id)
            group = msgspec.structs.replace(group, state=GroupState.BROKEN)
            self._groups[group.id] = group
        return group

    def _replace(self, action: Replace) -> None:
        group = self._groups[action.group]
        for member in action.leaving:
            instance = self._instances_by_id[member]
            instance.group = None
            instance.holds = None
        members = [member for member in group.members if member not in action.leaving]
        members += action.joining
        group = msgspec.structs.replace(
            group, members=tuple(members), state=GroupState.FORMING
        )
        self._groups[group.id] = group
        for member in members:
            self._instances_by_id[member].group = group.id
        self._load(group)

    def _load(self, group: Group) -> None:
        self._stop_load(group.id)
        members = [self._instances_by_id[member] for member in group.members]
        is_cold = any(instance.model != group.model for instance in members)
        is_held = all(instance.holds == group.id for instance in members)
        delay_s = REFORM_S if is_held else WARM_LOAD_S
        if is_cold:
            delay_s = self._store.load_s()
            self._store.loading += 1
            self.totals.loads += 1
            self.totals.most_loading = max(
                self.totals.most_loading, self._store.loading
            )
        timer = self._clock.call_later(delay_s, lambda: self._finish_load(group.id))
        self._loads[group.id] = (timer, is_cold)

    def _preload(self, instance: SimulatedInstance, action: Preload) -> None:
        if instance.preloading == instance.boot:
            return
        instance.preloading = boot = instance.boot
        deployment = self._deployment(action.deployment)
        delay_s = self._store.load_s()
        self._store.loading += 1
        self.totals.loads += 1

        def done() -> None:
            self._store.loading -= 1
            if instance.boot == boot and instance.group is None:
                instance.model = deployment.model
                instance.preloading = -1
                self.replan()

        self._clock.call_later(delay_s, done)

    def _stop_load(self, group: GroupId) -> None:
        timer, is_cold = self._loads.pop(group, (None, False))
        if timer is not None:
            timer.cancel()
            self._store.loading -= is_cold

    def _finish_load(self, group: GroupId) -> None:
        self.accumulate_totals()
        self._stop_load(group)
        stored = self._groups[group]
        members = [self._instances_by_id[member] for member in stored.members]
        if any(instance.silent for instance in members):
            broken = msgspec.structs.replace(stored, state=GroupState.BROKEN)
            self._groups[group] = broken
        else:
            self._set_serving(stored)
        self.replan()

    def _dissolve(self, group: GroupId) -> None:
        self._stop_load(group)
        stored = self._groups[group]
        if stored.state in (GroupState.RELEASING, GroupState.DRAINING):
            return
        delay_s = RELEASE_S + DRAIN_S * (stored.state is GroupState.SERVING)
        self._groups[group] = msgspec.structs.replace(
            stored, state=GroupState.RELEASING
        )
        self._clock.call_later(delay_s, lambda: self._finish_release(group))

    def _finish_release(self, group: GroupId) -> None:
        self.accumulate_totals()
        for member in self._groups.pop(group).members:
            instance = self._instances_by_id[member]
            instance.group = instance.holds = None
        self.replan()


def confidence_half_width(values: list[float]) -> float | None:
    """Return half the width of the 95 % confidence interval of the mean.

    Uses Student's t; ``None`` for fewer than two values, `KeyError` for a number of
    values that has no quantile in the table.
    """
    quantiles = {2: 12.71, 3: 4.303, 4: 3.182, 5: 2.776, 6: 2.571, 8: 2.365, 10: 2.262}
    if len(values) < 2:
        return None
    return quantiles[len(values)] * float(np.std(values, ddof=1)) / len(values) ** 0.5
