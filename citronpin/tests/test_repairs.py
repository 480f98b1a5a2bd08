"""Tests of detectors, placement and repair policies."""

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


def row(number, state=InstanceState.LIVE):
    return Instance(
        id=f"i{number}",
        address="127.0.0.1:1",
        kind=InstanceKind.ENGINE,
        state=state,
        failure_domain="f",
        domain="d",
    )


def wanted(name="rota", groups=2, **fields):
    fields = {"members": 3, **fields}
    return DeploymentManifest(
        name=name, model=name, version="1", groups=groups, **fields
    )


def group(name, members, deployment="rota", state=GroupState.SERVING):
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


def view(groups, health=None, size=8, deployments=None, model="rota", **fields):
    health = health or {}
    held = {member: one.id for one in groups for member in one.members}
    deployments = deployments or (wanted(),)
    instances = tuple(
        InstanceView(
            instance=row(number),
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


PAIR = (group("g0", (0, 1, 2)), group("g1", (3, 4, 5)))
BROKEN = tuple(msgspec.structs.replace(one, state=GroupState.BROKEN) for one in PAIR)


@pytest.mark.parametrize("name", sorted(REPAIRS))
def test_every_policy_forms_what_is_missing_and_leaves_whole_groups(name):
    policy = REPAIRS[name]()
    assert policy.plan(view=view(PAIR), now_s=0.0) == ()
    plan = policy.plan(view=view((), size=7), now_s=0.0)
    assert len(plan) == 2 and all(isinstance(action, Form) for action in plan)
    members = [member for action in plan for member in action.members]
    assert len(set(members)) == 6
    again = policy.plan(view=view((), size=7), now_s=0.0)
    assert again == plan


def test_baselines_replace_or_dissolve_at_once():
    seen = view(PAIR, {1: Health.DEAD})
    assert ImmediateRepair().plan(view=seen, now_s=0.0) == (
        Replace(group="g0", leaving=("i1",), joining=("i6",)),
    )
    assert REPAIRS["dissolve"]().plan(view=seen, now_s=0.0)[0] == Dissolve(
        group="g0", reason="lost a member"
    )


def test_weighted_waits_for_a_pause_then_repairs():
    seen = view(PAIR, {1: Health.PAUSED})
    (wait,) = WeightedRepair().plan(view=seen, now_s=1.0)
    assert isinstance(wait, Wait) and wait.until_s == pytest.approx(3.0)
    (repair,) = WeightedRepair().plan(view=seen, now_s=3.0)
    assert repair == Replace(group="g0", leaving=("i1",), joining=("i6",))
    cold = view(PAIR, {1: Health.PAUSED}, model=None)
    assert isinstance(WeightedRepair().plan(view=cold, now_s=3.0)[0], Wait)


def test_weighted_starts_no_repair_in_a_dark_domain():
    dark = view(BROKEN, dict.fromkeys(range(6), Health.DARK))
    plan = WeightedRepair().plan(view=dark, now_s=1000.0)
    assert len(plan) == 2 and all(isinstance(action, Wait) for action in plan)
    returning = view(
        BROKEN, {0: Health.DARK, 1: Health.DARK, **{n: Health.RETURNED for n in (3, 4)}}
    )
    plan = WeightedRepair().plan(view=returning, now_s=1000.0)
    assert [type(action) for action in plan] == [Wait, Replace]


def test_weighted_bounds_the_repairs_in_flight():
    groups = [
        group(f"g{n}", range(3 * n, 3 * n + 3), state=GroupState.BROKEN)
        for n in range(5)
    ]
    health = {3 * n: Health.DEAD for n in range(5)}
    seen = view(groups, health, size=25, deployments=(wanted(groups=5),))
    plan = WeightedRepair(repairs_in_flight=2).plan(view=seen, now_s=0.0)
    assert sum(isinstance(action, Replace) for action in plan) == 2
    assert not any(isinstance(action, (Form, Dissolve)) for action in plan)


def test_weighted_breaks_up_a_broken_group_before_two_stay_down():
    seen = view(BROKEN, {1: Health.DEAD, 4: Health.DEAD}, size=6)
    plan = WeightedRepair().plan(view=seen, now_s=0.0)
    assert [action for action in plan if isinstance(action, Dissolve)] == [
        Dissolve(group="g1", reason="its members are worth more in g0")
    ]
    releasing = (
        BROKEN[0],
        msgspec.structs.replace(BROKEN[1], state=GroupState.RELEASING),
    )
    seen = view(releasing, {1: Health.DEAD, 4: Health.DEAD}, size=6)
    plan = WeightedRepair().plan(view=seen, now_s=0.0)
    assert [type(action) for action in plan] == [Wait]


@pytest.mark.parametrize(
    ("weight", "minute", "breaks"),
    [(1.0, 0, False), (20.0, 0, True), (1.0, 70, True)],
)
def test_weights_and_periods_decide_on_breaking_up_a_serving_group(
    weight, minute, breaks
):
    period = CriticalPeriod(start_minute=60, end_minute=120, downtime_factor=30.0)
    rota = wanted(groups=1, downtime_weight=weight, critical_periods=(period,))
    other = wanted("other", groups=1)
    groups = (BROKEN[0], group("g1", (3, 4, 5), deployment="other"))
    seen = view(
        groups,
        {1: Health.DEAD},
        size=6,
        deployments=(rota, other),
        minute_of_week=minute,
    )
    plan = WeightedRepair().plan(view=seen, now_s=0.0)
    dissolved = [action.group for action in plan if isinstance(action, Dissolve)]
    assert dissolved == (["g1"] if breaks else [])


def test_critical_periods_wrap_around_the_week():
    period = CriticalPeriod(start_minute=10_070, end_minute=10, downtime_factor=5.0)
    rota = wanted(critical_periods=(period,))
    factors = [
        critical_period_factor(rota, minute) for minute in (10_075, 5, 10, 10_069)
    ]
    assert factors == [5.0, 5.0, 1.0, 1.0]


def test_stragglers_are_replaced_late_and_not_in_a_critical_period():
    seen = view(PAIR, {1: Health.STRAGGLER})
    policy = WeightedRepair()
    assert policy.plan(view=seen, now_s=60.0) == ()
    assert isinstance(policy.plan(view=seen, now_s=130.0)[0], Replace)
    period = CriticalPeriod(start_minute=0, end_minute=60)
    critical = (wanted(critical_periods=(period,)),)
    seen = view(PAIR, {1: Health.STRAGGLER}, deployments=critical)
    assert policy.plan(view=seen, now_s=130.0) == ()


def test_spares_are_loaded_one_at_a_time_for_who_needs_them_most():
    heavy = wanted("heavy", groups=1, downtime_weight=10.0)
    groups = (PAIR[0], group("g1", (3, 4, 5), deployment="heavy"))
    deployments = (wanted(groups=1), heavy)
    seen = view(groups, deployments=deployments, model=None)
    assert WeightedRepair().plan(view=seen, now_s=0.0) == (Preload("i6", "heavy"),)
    assert WeightedRepair(preload=False).plan(view=seen, now_s=0.0) == ()


def listen(detector, numbers, now_s, boot="1", delay_s=0.02):
    for number in numbers:
        detector.record_reply(
            instance=f"i{number}", boot=boot, delay_s=delay_s, now_s=now_s
        )


@pytest.fixture
def graded():
    detector = GradedDetector()
    detector.listed(instances=tuple(row(n) for n in range(10)), now_s=0.0)
    listen(detector, range(10), 0.0)
    return detector


def judge(detector, number, now_s):
    return detector.health(instance=f"i{number}", now_s=now_s)[0]


def test_silence_is_a_pause_then_death_and_a_return_heals(graded):
    graded.record_missed_probe(instance="i0", now_s=0.5)
    assert judge(graded, 0, 0.6) is Health.HEALTHY
    assert graded.health(instance="i0", now_s=1.5) == (Health.PAUSED, 1.5)
    assert judge(graded, 0, 9.9) is Health.PAUSED
    listen(graded, [0], 9.95)
    assert judge(graded, 0, 9.95) is Health.HEALTHY
    graded.record_missed_probe(instance="i0", now_s=21.0)
    assert judge(graded, 0, 22.0) is Health.DEAD
    listen(graded, [0], 60.0, boot="2")
    assert judge(graded, 0, 60.0) is Health.RETURNED
    assert judge(graded, 0, 66.0) is Health.HEALTHY


def test_the_membership_list_settles_death_and_leaving(graded):
    rows = tuple(row(n) for n in range(1, 9)) + (row(9, InstanceState.LEAVING),)
    graded.record_missed_probe(instance="i0", now_s=1.0)
    graded.listed(instances=rows, now_s=2.0)
    assert judge(graded, 0, 2.0) is Health.DEAD
    assert judge(graded, 9, 2.0) is Health.LEAVING
    graded.listed(instances=(), now_s=3.0)
    assert judge(graded, 5, 3.0) is Health.HEALTHY


def test_a_dark_domain_is_told_from_single_deaths(graded):
    for number in range(3):
        graded.record_missed_probe(instance=f"i{number}", now_s=2.0)
    assert judge(graded, 0, 40.0) is Health.DEAD
    for number in range(3, 7):
        graded.record_missed_probe(instance=f"i{number}", now_s=40.0)
    assert {judge(graded, n, 41.0) for n in range(7)} == {Health.DARK}
    listen(graded, range(7), 100.0)
    assert {judge(graded, n, 100.0) for n in range(10)} == {Health.HEALTHY}


def test_a_straggler_is_slow_against_its_peers_for_some_time(graded):
    for second in range(10):
        listen(graded, range(1, 10), float(second))
        listen(graded, [0], float(second), delay_s=0.5)
        judge(graded, 0, float(second))
    assert judge(graded, 0, 10.0) is Health.STRAGGLER
    assert judge(graded, 1, 10.0) is Health.HEALTHY
    for second in range(10, 60):
        listen(graded, range(10), float(second), delay_s=0.5)
    assert judge(graded, 0, 60.0) is Health.HEALTHY


def test_timeout_detector_knows_only_death():
    detector = DETECTORS["timeout"](dead_after_s=2.0)
    detector.listed(instances=(row(0), row(1)), now_s=0.0)
    listen(detector, [0], 0.0)
    detector.record_missed_probe(instance="i0", now_s=1.0)
    assert judge(detector, 0, 1.9) is Health.HEALTHY
    assert detector.health(instance="i0", now_s=2.0) == (Health.DEAD, 2.0)


def test_placement_is_even_stable_and_keeps_to_allowed_domains():
    policy = EvenPlacement()
    deployments = (wanted("a", 5), wanted("b", 1, domains=("d2",)))
    capacity = {"d0": 9, "d1": 9, "d2": 9}
    quotas = policy.quotas(deployments=deployments, capacity=capacity, serving={})
    assert sorted(quotas[d].get("a", 0) for d in capacity) == [1, 2, 2]
    assert quotas["d2"]["b"] == 1
    without = {"d0": 9, "d1": 3, "d2": 9}
    after = policy.quotas(deployments=deployments, capacity=without, serving=quotas)
    assert sum(after[d].get("a", 0) for d in without) == 5
    assert after["d1"].get("a", 0) == 1
    assert all(after[d].get("a", 0) >= 2 for d in ("d0", "d2"))


def test_no_instance_is_in_two_groups_over_a_drawn_trace(monkeypatch):
    from citronpin.benches import bench_domains

    checked = []
    count = bench_domains.ModelDomain.count

    def checking(domain):
        members = [m for one in domain._groups.values() for m in one.members]
        checked.append(len(members) == len(set(members)))
        count(domain)

    monkeypatch.setattr(bench_domains.ModelDomain, "count", checking)
    size = msgspec.structs.replace(TODAY, days=20.0, domains=2)
    variant = Variant(name="weighted", policy="weighted", detector="graded")
    run = RepairRun(size=size, variant=variant, seed=3)
    kinds = {fault.kind for fault in run._trace(20 * 86_400.0)}
    assert {FaultKind.PAUSE, FaultKind.DEATH, FaultKind.RESTART} <= kinds
    figures = run.run()
    assert len(checked) > 100 and all(checked)
    assert figures["group downtime"] > figures["bound downtime"]


def test_a_group_that_drains_for_a_reload_is_not_formed_twice():
    draining = msgspec.structs.replace(
        PAIR[0], state=GroupState.DRAINING, reason="reload: version 2"
    )
    plan = WeightedRepair().plan(view=view((draining, PAIR[1]), size=9), now_s=0.0)
    assert plan == ()
    ending = msgspec.structs.replace(draining, reason="dissolve: over quota")
    plan = WeightedRepair().plan(view=view((ending, PAIR[1]), size=9), now_s=0.0)
    assert [type(action) for action in plan] == [Form]
