"""Tests of the failure detectors, the placement policy and the repair policies."""

import msgspec
import pytest

from citronpin.basics.ids import Fence
from citronpin.benches.bench_repair import TODAY, RepairRun, Variant
from citronpin.benches.bench_traces import FaultKind
from citronpin.policy.detectors import DETECTORS, GradedDetector
from citronpin.policy.placements import EvenPlacement
from citronpin.policy.plans import (
    Dissolve,
    DomainView,
    Form,
    Health,
    InstanceView,
    Preload,
    Replace,
    Wait,
)
from citronpin.policy.repairs import REPAIRS, ImmediateRepair
from citronpin.policy.weighted_repairs import WeightedRepair, critical_period_factor
from citronpin.state.instances import Instance, InstanceKind, InstanceState
from citronpin.state.manifests import CriticalPeriod, DeploymentManifest
from citronpin.state.states import Group, GroupState


def make_instance(number, state=InstanceState.LIVE):
    return Instance(
        id=f"i{number}",
        address="127.0.0.1:1",
        kind=InstanceKind.ENGINE,
        state=state,
        failure_domain="f",
        domain="d",
    )


def make_deployment(name="rota", groups=2, **fields):
    fields = {"members": 3, **fields}
    return DeploymentManifest(
        name=name, model=name, version="1", groups=groups, **fields
    )


def make_group(name, members, deployment="rota", state=GroupState.SERVING):
    return Group(
        id=name,
        deployment=deployment,
        members=tuple(f"i{number}" for number in members),
        model=deployment,
        version="1",
        adapters=(),
        state=state,
        fence=Fence(1),
        changed=0,
    )


def make_view(groups, health=None, size=8, deployments=None, model="rota", **fields):
    health = health or {}
    held = {member: one.id for one in groups for member in one.members}
    deployments = deployments or (make_deployment(),)
    instances = tuple(
        InstanceView(
            instance=make_instance(number),
            health=health.get(number, Health.HEALTHY),
            since_s=0.0,
            group=held.get(f"i{number}"),
            model=model,
            version="1",
        )
        for number in range(size)
    )
    quotas = {one.name: one.groups for one in deployments}
    return DomainView(
        domain="d",
        groups=tuple(groups),
        instances=instances,
        deployments=deployments,
        quotas=quotas,
        serving_elsewhere={},
        **fields,
    )


GROUPS = (make_group("g0", (0, 1, 2)), make_group("g1", (3, 4, 5)))
BROKEN_GROUPS = tuple(
    msgspec.structs.replace(one, state=GroupState.BROKEN) for one in GROUPS
)


@pytest.mark.parametrize("name", sorted(REPAIRS))
def test_every_policy_forms_missing_groups_and_leaves_complete_ones(name):
    policy = REPAIRS[name]()
    assert policy.plan(view=make_view(GROUPS), now_s=0.0) == ()
    plan = policy.plan(view=make_view((), size=7), now_s=0.0)
    assert len(plan) == 2 and all(isinstance(action, Form) for action in plan)
    members = [member for action in plan for member in action.members]
    assert len(set(members)) == 6
    again = policy.plan(view=make_view((), size=7), now_s=0.0)
    assert again == plan


def test_immediate_replaces_and_dissolve_dissolves_at_once():
    domain_view = make_view(GROUPS, {1: Health.DEAD})
    assert ImmediateRepair().plan(view=domain_view, now_s=0.0) == (
        Replace(group="g0", leaving=("i1",), joining=("i6",)),
    )
    assert REPAIRS["dissolve"]().plan(view=domain_view, now_s=0.0)[0] == Dissolve(
        group="g0", reason="lost a member"
    )


def test_weighted_waits_for_a_paused_member_then_replaces_it():
    domain_view = make_view(GROUPS, {1: Health.PAUSED})
    (wait,) = WeightedRepair().plan(view=domain_view, now_s=1.0)
    assert isinstance(wait, Wait) and wait.until_s == pytest.approx(3.0)
    (repair,) = WeightedRepair().plan(view=domain_view, now_s=3.0)
    assert repair == Replace(group="g0", leaving=("i1",), joining=("i6",))
    cold = make_view(GROUPS, {1: Health.PAUSED}, model=None)
    assert isinstance(WeightedRepair().plan(view=cold, now_s=3.0)[0], Wait)


def test_weighted_starts_no_repair_in_a_dark_domain():
    dark = make_view(BROKEN_GROUPS, dict.fromkeys(range(6), Health.DARK))
    plan = WeightedRepair().plan(view=dark, now_s=1000.0)
    assert len(plan) == 2 and all(isinstance(action, Wait) for action in plan)
    returning = make_view(
        BROKEN_GROUPS,
        {0: Health.DARK, 1: Health.DARK, **{n: Health.RETURNED for n in (3, 4)}},
    )
    plan = WeightedRepair().plan(view=returning, now_s=1000.0)
    assert [type(action) for action in plan] == [Wait, Replace]


def test_weighted_limits_the_repairs_in_flight():
    groups = [
        make_group(f"g{n}", range(3 * n, 3 * n + 3), state=GroupState.BROKEN)
        for n in range(5)
    ]
    health = {3 * n: Health.DEAD for n in range(5)}
    domain_view = make_view(
        groups, health, size=25, deployments=(make_deployment(groups=5),)
    )
    plan = WeightedRepair(repairs_in_flight=2).plan(view=domain_view, now_s=0.0)
    assert sum(isinstance(action, Replace) for action in plan) == 2
    assert not any(isinstance(action, (Form, Dissolve)) for action in plan)


def test_weighted_dissolves_one_of_two_broken_groups():
    domain_view = make_view(BROKEN_GROUPS, {1: Health.DEAD, 4: Health.DEAD}, size=6)
    plan = WeightedRepair().plan(view=domain_view, now_s=0.0)
    assert [action for action in plan if isinstance(action, Dissolve)] == [
        Dissolve(group="g1", reason="its members are worth more in g0")
    ]
    releasing = (
        BROKEN_GROUPS[0],
        msgspec.structs.replace(BROKEN_GROUPS[1], state=GroupState.RELEASING),
    )
    domain_view = make_view(releasing, {1: Health.DEAD, 4: Health.DEAD}, size=6)
    plan = WeightedRepair().plan(view=domain_view, now_s=0.0)
    assert [type(action) for action in plan] == [Wait]


@pytest.mark.parametrize(
    ("weight", "minute", "dissolves"),
    [(1.0, 0, False), (20.0, 0, True), (1.0, 70, True)],
)
def test_weights_and_periods_decide_on_dissolving_a_serving_group(
    weight, minute, dissolves
):
    period = CriticalPeriod(start_minute=60, end_minute=120, downtime_factor=30.0)
    rota = make_deployment(groups=1, downtime_weight=weight, critical_periods=(period,))
    other = make_deployment("other", groups=1)
    groups = (BROKEN_GROUPS[0], make_group("g1", (3, 4, 5), deployment="other"))
    domain_view = make_view(
        groups,
        {1: Health.DEAD},
        size=6,
        deployments=(rota, other),
        minute_of_week=minute,
    )
    plan = WeightedRepair().plan(view=domain_view, now_s=0.0)
    dissolved = [action.group for action in plan if isinstance(action, Dissolve)]
    assert dissolved == (["g1"] if dissolves else [])


def test_critical_periods_wrap_around_the_week():
    period = CriticalPeriod(start_minute=10_070, end_minute=10, downtime_factor=5.0)
    rota = make_deployment(critical_periods=(period,))
    factors = [
        critical_period_factor(rota, minute) for minute in (10_075, 5, 10, 10_069)
    ]
    assert factors == [5.0, 5.0, 1.0, 1.0]


def test_stragglers_are_replaced_after_a_wait_and_not_in_a_critical_period():
    domain_view = make_view(GROUPS, {1: Health.STRAGGLER})
    policy = WeightedRepair()
    assert policy.plan(view=domain_view, now_s=60.0) == ()
    assert isinstance(policy.plan(view=domain_view, now_s=130.0)[0], Replace)
    period = CriticalPeriod(start_minute=0, end_minute=60)
    critical = (make_deployment(critical_periods=(period,)),)
    domain_view = make_view(GROUPS, {1: Health.STRAGGLER}, deployments=critical)
    assert policy.plan(view=domain_view, now_s=130.0) == ()


def test_one_spare_is_preloaded_for_the_deployment_with_the_greatest_need():
    heavy = make_deployment("heavy", groups=1, downtime_weight=10.0)
    groups = (GROUPS[0], make_group("g1", (3, 4, 5), deployment="heavy"))
    deployments = (make_deployment(groups=1), heavy)
    domain_view = make_view(groups, deployments=deployments, model=None)
    assert WeightedRepair().plan(view=domain_view, now_s=0.0) == (
        Preload("i6", "heavy"),
    )
    assert WeightedRepair(preload=False).plan(view=domain_view, now_s=0.0) == ()


def record_replies(detector, numbers, now_s, boot="1", delay_s=0.02):
    for number in numbers:
        detector.record_reply(
            instance=f"i{number}", boot=boot, delay_s=delay_s, now_s=now_s
        )


@pytest.fixture
def graded():
    detector = GradedDetector()
    detector.listed(instances=tuple(make_instance(n) for n in range(10)), now_s=0.0)
    record_replies(detector, range(10), 0.0)
    return detector


def health_of(detector, number, now_s):
    return detector.health(instance=f"i{number}", now_s=now_s)[0]


def test_silent_instance_is_paused_then_dead_and_recovers_after_a_return(graded):
    graded.record_missed_probe(instance="i0", now_s=0.5)
    assert health_of(graded, 0, 0.6) is Health.HEALTHY
    assert graded.health(instance="i0", now_s=1.5) == (Health.PAUSED, 1.5)
    assert health_of(graded, 0, 9.9) is Health.PAUSED
    record_replies(graded, [0], 9.95)
    assert health_of(graded, 0, 9.95) is Health.HEALTHY
    graded.record_missed_probe(instance="i0", now_s=21.0)
    assert health_of(graded, 0, 22.0) is Health.DEAD
    record_replies(graded, [0], 60.0, boot="2")
    assert health_of(graded, 0, 60.0) is Health.RETURNED
    assert health_of(graded, 0, 66.0) is Health.HEALTHY


def test_membership_list_decides_death_and_leaving(graded):
    rows = tuple(make_instance(n) for n in range(1, 9)) + (
        make_instance(9, InstanceState.LEAVING),
    )
    graded.record_missed_probe(instance="i0", now_s=1.0)
    graded.listed(instances=rows, now_s=2.0)
    assert health_of(graded, 0, 2.0) is Health.DEAD
    assert health_of(graded, 9, 2.0) is Health.LEAVING
    graded.listed(instances=(), now_s=3.0)
    assert health_of(graded, 5, 3.0) is Health.HEALTHY


def test_dark_domain_is_distinguished_from_single_deaths(graded):
    for number in range(3):
        graded.record_missed_probe(instance=f"i{number}", now_s=2.0)
    assert health_of(graded, 0, 40.0) is Health.DEAD
    for number in range(3, 7):
        graded.record_missed_probe(instance=f"i{number}", now_s=40.0)
    assert {health_of(graded, n, 41.0) for n in range(7)} == {Health.DARK}
    record_replies(graded, range(7), 100.0)
    assert {health_of(graded, n, 100.0) for n in range(10)} == {Health.HEALTHY}


def test_straggler_is_slower_than_its_peers_for_some_time(graded):
    for second in range(10):
        record_replies(graded, range(1, 10), float(second))
        record_replies(graded, [0], float(second), delay_s=0.5)
        health_of(graded, 0, float(second))
    assert health_of(graded, 0, 10.0) is Health.STRAGGLER
    assert health_of(graded, 1, 10.0) is Health.HEALTHY
    for second in range(10, 60):
        record_replies(graded, range(10), float(second), delay_s=0.5)
    assert health_of(graded, 0, 60.0) is Health.HEALTHY


def test_timeout_detector_reports_only_death():
    detector = DETECTORS["timeout"](dead_after_s=2.0)
    detector.listed(instances=(make_instance(0), make_instance(1)), now_s=0.0)
    record_replies(detector, [0], 0.0)
    detector.record_missed_probe(instance="i0", now_s=1.0)
    assert health_of(detector, 0, 1.9) is Health.HEALTHY
    assert detector.health(instance="i0", now_s=2.0) == (Health.DEAD, 2.0)


def test_placement_is_even_and_stable_within_allowed_domains():
    policy = EvenPlacement()
    deployments = (make_deployment("a", 5), make_deployment("b", 1, domains=("d2",)))
    capacity = {"d0": 9, "d1": 9, "d2": 9}
    quotas = policy.quotas(deployments=deployments, capacity=capacity, serving={})
    assert sorted(quotas[d].get("a", 0) for d in capacity) == [1, 2, 2]
    assert quotas["d2"]["b"] == 1
    without = {"d0": 9, "d1": 3, "d2": 9}
    after = policy.quotas(deployments=deployments, capacity=without, serving=quotas)
    assert sum(after[d].get("a", 0) for d in without) == 5
    assert after["d1"].get("a", 0) == 1
    assert all(after[d].get("a", 0) >= 2 for d in ("d0", "d2"))


def test_no_instance_is_in_two_groups_over_a_random_trace(monkeypatch):
    from citronpin.benches import bench_domains

    checked = []
    accumulate = bench_domains.SimulatedDomain.accumulate_totals

    def accumulate_checked(domain):
        members = [m for one in domain._groups.values() for m in one.members]
        checked.append(len(members) == len(set(members)))
        accumulate(domain)

    monkeypatch.setattr(
        bench_domains.SimulatedDomain, "accumulate_totals", accumulate_checked
    )
    size = msgspec.structs.replace(TODAY, days=20.0, domains=2)
    variant = Variant(name="weighted", policy="weighted", detector="graded")
    run = RepairRun(size=size, variant=variant, seed=3)
    kinds = {fault.kind for fault in run._trace(20 * 86_400.0)}
    assert {FaultKind.PAUSE, FaultKind.DEATH, FaultKind.RESTART} <= kinds
    figures = run.run()
    assert len(checked) > 100 and all(checked)
    assert figures["group downtime"] > figures["bound downtime"]


def test_group_that_drains_for_a_reload_is_not_formed_twice():
    draining = msgspec.structs.replace(
        GROUPS[0], state=GroupState.DRAINING, reason="reload: version 2"
    )
    plan = WeightedRepair().plan(
        view=make_view((draining, GROUPS[1]), size=9), now_s=0.0
    )
    assert plan == ()
    ending = msgspec.structs.replace(draining, reason="dissolve: over quota")
    plan = WeightedRepair().plan(view=make_view((ending, GROUPS[1]), size=9), now_s=0.0)
    assert [type(action) for action in plan] == [Form]
