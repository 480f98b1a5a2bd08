"""Tests fabric domain controllers against a simulated platform on a paused clock."""

import json

import msgspec
import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from citronpin.basics.ids import GroupId
from citronpin.gateway import fabric_controllers, planners
from citronpin.gateway.fleets import FleetInstance, Membership, Phase
from citronpin.gateway.planners import SparePlanner
from citronpin.gateway.plans import (
    DomainView,
    Formation,
    InstanceView,
    Open,
    target_group_counts,
)
from citronpin.platform.leases import PartitionLeases
from citronpin.tests.platforms.foreign_entries import write_foreign_entries
from citronpin.tests.platforms.simulations import (
    CLOCK_STEP_S,
    STORE_ADDRESS,
    PlatformSimulation,
    make_routing_table,
)

SETTLE_S = 8.0
CALM_S = 60.0  # covers one load at the configured rate with all its retries


def formed_simulation(**options):
    """Return a simulation whose domains have formed their groups and have traffic."""
    simulation = PlatformSimulation(**options)
    simulation.advance(SETTLE_S)
    simulation.begin_traffic()
    return simulation


@pytest.fixture
def simulation():
    """Return a domain whose instances are all in groups."""
    return formed_simulation()


@pytest.fixture
def spare_simulation():
    """Return a domain that keeps a fifth of its instances idle."""
    return formed_simulation(spare_share=0.2)


def find_serving_head(simulation, model):
    """Return a head that serves ``model``."""
    heads = simulation.platform.open_heads()
    return next(head for head in heads if head.member.model == model)


def other_member(simulation, head):
    return simulation.platform.instances[head.member.members[-1]]


def idle_instances(simulation):
    return [
        instance
        for instance in simulation.platform.instances.values()
        if instance.member is None
    ]


def test_groups_form_at_startup_and_use_all_instances(simulation):
    assert simulation.count_serving_groups() == {"big": 1, "small": 3}
    assert not idle_instances(simulation) and not simulation.platform.violations


def test_some_hosts_of_each_model_hold_the_other_model(simulation):
    second = [
        (instance.member.model, instance.staged[0])
        for instance in simulation.platform.instances.values()
        if instance.staged != [instance.member.model]
    ]
    assert sorted(second) == 2 * [("big", "small")] + 2 * [("small", "big")]


def test_spare_share_leaves_instances_idle(spare_simulation):
    assert spare_simulation.count_serving_groups() == {"big": 1, "small": 2}
    assert len(idle_instances(spare_simulation)) == 2
    assert not spare_simulation.platform.violations


def test_spares_hold_both_models(spare_simulation):
    assert {spare.staged[0] for spare in idle_instances(spare_simulation)} == {
        "big",
        "small",
    }


def test_remaining_members_of_broken_groups_form_a_group_without_a_load(simulation):
    # Guards against a repair that waits for a load although another broken group has
    # members that hold the model: in the rota run quiet-1, two groups of a domain lost
    # a member each within 0.2 s, and the second repair waited 12 s.
    heads = [h for h in simulation.platform.open_heads() if h.member.model == "small"]
    simulation.platform.cold_joins.clear()
    for head in heads[:2]:
        other_member(simulation, head).kill()
    simulation.advance(4.0)
    assert simulation.count_serving_groups() == {"big": 1, "small": 2}
    assert not simulation.platform.cold_joins
    assert not simulation.platform.violations


@pytest.mark.parametrize("cut_s", [1.0, 6.0])
def test_a_lease_holder_without_a_path_changes_no_group(simulation, cut_s):
    # In incident inc1 such holders ordered groups closed, since members seemed dead.
    holder = simulation.holder()
    memberships = [one.member for one in simulation.platform.instances.values()]
    holder.client.hanging = set(simulation.network.handlers)
    simulation.advance(cut_s)
    holder.client.hanging.clear()
    simulation.advance(2.0)
    assert simulation.count_serving_groups() == {"big": 1, "small": 3}
    assert memberships == [one.member for one in simulation.platform.instances.values()]


def test_a_domain_that_goes_dark_is_told_from_a_lost_path(paused_clock):
    simulation = formed_simulation(domains=("d0", "d1"))
    for name, instance in simulation.platform.instances.items():
        if "-d0-" in name:
            instance.kill()
    simulation.advance(3.0)
    assert not simulation.holder("d0").reach.cut_off_services()


def test_a_group_is_converted_to_a_model_without_a_group(simulation):
    simulation.platform.cold_joins.clear()
    other_member(simulation, find_serving_head(simulation, "big")).kill()
    simulation.advance(5.0)
    assert simulation.count_serving_groups() == {"big": 1, "small": 2}
    assert not simulation.platform.cold_joins
    assert not simulation.platform.violations


@pytest.mark.parametrize("phase_s", [0.0, 0.15, 0.3, 0.45])
@pytest.mark.parametrize("number", range(4))
def test_a_registration_that_arrives_late_moves_no_member_of_an_open_group(
    number, phase_s
):
    # Score 878cd122: a head joined another group while its own was open.
    simulation = PlatformSimulation(per_domain=12, controllers=2)
    simulation.advance(8.0)
    simulation.begin_traffic()
    simulation.advance(6.0)
    heads = sorted(simulation.platform.open_heads(), key=lambda head: head.name)
    members = [
        simulation.platform.instances[name]
        for name in heads[number % len(heads)].member.members
    ]
    for member in members:
        member.kill()
    simulation.advance(0.2)
    written = []
    for member in members:
        member.restart()
        written.append(member.registration())
    simulation.advance(4.0 + phase_s)
    for member, registration in zip(members, written):
        member.registration_count += 1
        late = registration | {"sequence": member.registration_count}
        simulation.store.put("keyed.servers", member.name, json.dumps(late).encode())
    simulation.advance(3.0)
    assert not simulation.platform.violations


def test_a_converted_group_finishes_its_requests_first(simulation):
    for instance in simulation.platform.instances.values():
        instance.busy_s = 1.5
    lost = other_member(simulation, find_serving_head(simulation, "big"))
    broken = simulation.platform.instances[lost.member.members[0]]
    broken.busy_s = 0.0  # its requests have stopped with the lost member
    lost.kill()
    simulation.advance(6.0)
    assert simulation.count_serving_groups() == {"big": 1, "small": 2}
    assert (
        not simulation.platform.interrupted_heads and not simulation.platform.violations
    )


def report_used_share(simulation, model, share):
    """Report a share of the slots of a model's groups as in use to every entry."""
    for controller in simulation.controllers.values():
        for head in simulation.platform.open_heads():
            if head.member.model == model:
                controller.loads.record_instance_load(
                    head.name, load=round(9 * share), now_s=simulation.clock.now()
                )


def hold_used_shares(simulation, seconds, **shares):
    """Keep shares of the slots of models in use for some time."""
    for _ in range(seconds * 10):
        for model, share in shares.items():
            report_used_share(simulation, model, share)
        simulation.advance(0.1)


@pytest.fixture
def three_domains():
    """Return three domains, each with one big and three small groups."""
    simulation = formed_simulation(domains=("d0", "d1", "d2"))
    assert simulation.count_serving_groups() == {"big": 3, "small": 9}
    return simulation


def test_a_model_under_pressure_gets_groups_of_one_with_free_slots(three_domains):
    # Guards against full groups of one model beside free slots of another: in the rota
    # run trouble-3, the small model's groups were full from second 16 to 34 while 0.2
    # of the large model's slots were in use.
    three_domains.platform.cold_joins.clear()
    hold_used_shares(three_domains, 30, small=0.9, big=0.1)
    groups = three_domains.count_serving_groups()
    assert groups["small"] >= 10 and groups["big"] in (1, 2)
    assert not three_domains.platform.cold_joins
    assert not three_domains.platform.violations


@pytest.mark.parametrize("small, big", [(0.9, 0.8), (0.4, 0.1), (0.9, 0.3)])
def test_no_group_is_converted_without_pressure_or_free_slots(
    three_domains, small, big
):
    hold_used_shares(three_domains, 10, small=0.4, big=big)
    hold_used_shares(three_domains, 30, small=small, big=big)
    assert three_domains.count_serving_groups() == {"big": 3, "small": 9}


def test_the_last_group_of_a_model_is_not_converted(simulation):
    hold_used_shares(simulation, 30, small=0.9, big=0.1)
    assert simulation.count_serving_groups() == {"big": 1, "small": 3}


def test_converted_groups_return_when_the_pressure_ends(three_domains):
    hold_used_shares(three_domains, 30, small=0.9, big=0.1)
    # Loads run one after another.
    hold_used_shares(three_domains, 100, small=0.2, big=0.2)
    assert three_domains.count_serving_groups()["big"] == 3
    assert not three_domains.platform.violations


def test_a_domain_forms_the_same_groups_after_power_loss_without_a_load(simulation):
    simulation.platform.cold_joins.clear()
    for instance in simulation.platform.instances.values():
        instance.kill()
    simulation.advance(8.0)
    for instance in simulation.platform.instances.values():
        instance.restart()
    simulation.advance(8.0)
    assert simulation.count_serving_groups() == {"big": 1, "small": 3}
    assert not simulation.platform.cold_joins
    assert not simulation.platform.violations


@pytest.mark.parametrize("model", ["big", "small"])
@pytest.mark.parametrize("role", ["head", "member"])
def test_a_lost_member_is_replaced_by_an_instance_that_holds_the_model(
    simulation, model, role
):
    head = find_serving_head(simulation, model)
    lost = head if role == "head" else other_member(simulation, head)
    before = len(simulation.platform.loads)
    lost.kill()
    simulation.advance(6.0)
    assert simulation.count_serving_groups() == {"big": 1, "small": 2}
    assert not simulation.platform.violations
    # The repair needs no load; at most a spare host loads what the lost one held.
    assert len(simulation.platform.loads) - before <= 1


def measure_repair_s(simulation, peer_suspicion):
    """Return the seconds until the group of a killed member serves again."""
    head = find_serving_head(simulation, "small")
    other_member(simulation, head).kill()
    killed_s = simulation.clock.now()
    simulation.advance(0.4)
    if peer_suspicion:
        for controller in simulation.controllers.values():
            controller.suspects.stalled(head.name, now_s=simulation.clock.now())
    while simulation.count_serving_groups()["small"] < 2:
        simulation.advance(0.05)
        assert simulation.clock.now() - killed_s < 10.0
    return simulation.clock.now() - killed_s


def test_a_suspected_group_is_repaired_sooner():
    repair_times_s = []
    for peer_suspicion in (False, True):
        simulation = formed_simulation(spare_share=0.2)
        repair_times_s.append(measure_repair_s(simulation, peer_suspicion))
        assert not simulation.platform.violations
    assert repair_times_s[1] < repair_times_s[0]


def test_a_member_restarted_under_its_id_joins_again(simulation):
    member = other_member(simulation, find_serving_head(simulation, "big"))
    member.kill()
    simulation.clock.advance(0.1)
    member.restart()
    simulation.advance(6.0)
    assert simulation.count_serving_groups() == {"big": 1, "small": 3}
    assert not simulation.platform.violations


def test_groups_stay_when_a_killed_lease_holder_is_replaced(simulation):
    epochs = {h.name: h.member.epoch for h in simulation.platform.open_heads()}
    holder = simulation.holder()
    name = next(n for n, c in simulation.controllers.items() if c is holder)
    simulation.kill_controller(name)
    simulation.advance(3.0)
    assert simulation.holder() is not None
    assert {h.name: h.member.epoch for h in simulation.platform.open_heads()} == epochs


def test_new_controllers_keep_the_serving_groups(simulation):
    epochs = {h.name: h.member.epoch for h in simulation.platform.open_heads()}
    for name in list(simulation.controllers):
        simulation.kill_controller(name)
    simulation.advance(2.0)
    for _ in range(3):
        simulation.start_controller()
    simulation.advance(8.0)
    assert {h.name: h.member.epoch for h in simulation.platform.open_heads()} == epochs


def test_a_lease_holder_cut_from_the_store_stops_before_another_starts(simulation):
    holder = simulation.holder()
    holder.cut_from_store = True
    for _ in range(100):
        simulation.advance(0.05)
        simulation.holder()  # raises when two hold the lease
    assert simulation.holder() not in (None, holder)


def test_a_frozen_lease_holder_sends_no_order_when_it_resumes(simulation):
    holder = simulation.holder()
    holder.clock.frozen = True
    simulation.advance(5.0)
    other_member(simulation, find_serving_head(simulation, "small")).kill()
    simulation.advance(4.0)
    sent = len(holder.client.sent)
    holder.clock.frozen = False
    simulation.advance(0.05)
    orders = [e for e in holder.client.sent[sent:] if e.target == "/v1/order"]
    assert not orders and not simulation.platform.violations


def view_of(memberships, *, members):
    """Return a domain view of instances with memberships of the group ``g``."""
    instances = {
        name: InstanceView(
            instance=FleetInstance(
                id=name,
                service="engines",
                address=f"{name}:80",
                failure_domain="a",
                slots=9,
                models=("small",),
                membership=membership,
            )
        )
        for name, membership in memberships.items()
    }
    formation = Formation(
        group=GroupId("g"), epoch=4, model="small", members=members, ordered_s=0.0
    )
    return DomainView(
        engine=make_routing_table().services["engines"].engine,
        instances=instances,
        formations={"g": formation},
        closes={},
        opens={},
        stages={},
        loads_left=5,
        before_traffic=False,
    )


def reuse_address(simulation, lost):
    """Start an instance at the address of a lost one that stays registered."""
    lost.kill()
    lost.cut_from_store = True
    simulation.platform.add("i-d0-a", "d0", address=lost.address)
    simulation.network.silent.discard(lost.address)
    for _ in range(30):
        registration = json.dumps(lost.registration()).encode()
        simulation.store.put("keyed.servers", lost.name, registration)
        lost.written_s = simulation.clock.now()
        simulation.advance(1.0)


@pytest.mark.parametrize("model", ["big", "small"])
@pytest.mark.parametrize("role", ["head", "member"])
def test_an_instance_at_a_reused_address_is_not_mistaken_for_the_lost_one(
    simulation, model, role
):
    head = find_serving_head(simulation, model)
    reuse_address(
        simulation, head if role == "head" else other_member(simulation, head)
    )
    assert not simulation.platform.violations
    assert all(simulation.count_serving_groups().values())


def test_a_report_from_a_reused_address_is_not_taken_for_the_lost_member():
    # Guards against reports from the reused address of a lost member, sent by the head
    # of its new group, that count as its own (rota hunt 6d5d2997, cut-heads
    # --seed 688107742283, PARTIAL).
    simulation = formed_simulation(per_domain=2)
    head = find_serving_head(simulation, "small")
    other_member(simulation, head).kill()
    reuse_address(simulation, head)
    assert not simulation.platform.violations
    joins = [
        exchange
        for exchange in simulation.holder().client.sent
        if b'"join"' in exchange.body
        and exchange.headers["x-citronpin-expect-instance"] == head.name
    ]
    assert len(joins) <= 3


def test_a_member_counts_as_ready_only_at_its_own_rank():
    # A report from the address of a lost member names the rank of its sender.
    ready = Membership(group=GroupId("g"), epoch=4, rank=0, phase=Phase.READY)
    view = view_of({"i-0": ready, "i-1": ready}, members=("i-0", "i-1"))
    opens = SparePlanner().plan(view=view, now_s=100.0)
    assert not any(isinstance(action, Open) for action in opens)
    with_own_rank = msgspec.structs.replace(ready, rank=1)
    view = view_of({"i-0": ready, "i-1": with_own_rank}, members=("i-0", "i-1"))
    opens = SparePlanner().plan(view=view, now_s=100.0)
    assert any(isinstance(action, Open) for action in opens)


def test_late_orders_cause_no_violation(simulation):
    for instance in simulation.platform.instances.values():
        instance.delayed_order_count = 2
    other_member(simulation, find_serving_head(simulation, "big")).kill()
    other_member(simulation, find_serving_head(simulation, "small")).kill()
    simulation.advance(30.0)
    assert simulation.count_serving_groups() == {"big": 1, "small": 2}
    assert not simulation.platform.violations


def test_an_unanswered_join_is_resent_with_the_same_epoch(spare_simulation):
    # Guards against a formation that fails, or gets another epoch, since the answer to
    # one of its orders is lost.
    simulation = spare_simulation
    spares = idle_instances(simulation)
    for spare in spares:
        spare.delayed_order_count = 1
    head = find_serving_head(simulation, "big")
    epoch = head.member.epoch
    other_member(simulation, head).kill()
    simulation.advance(6.0)
    assert simulation.count_serving_groups() == {"big": 1, "small": 2}
    joins = [
        (exchange.headers["x-citronpin-expect-instance"], json.loads(exchange.body))
        for controller in simulation.controllers.values()
        for exchange in controller.client.sent
        if b'"join"' in exchange.body and head.member.group.encode() in exchange.body
    ]
    new_joins = [(name, order) for name, order in joins if order["epoch"] != epoch]
    assert len({order["epoch"] for _, order in new_joins}) == 1
    replacement = next(one for one in spares if one.name in dict(new_joins))
    sends = [order for name, order in new_joins if name == replacement.name]
    assert len(sends) == 2 and sends[0] == sends[1]
    assert not simulation.platform.violations


def cut_all_from_store(simulation):
    for controller in simulation.controllers.values():
        controller.cut_from_store = True


def test_the_last_lease_holder_continues_while_no_entry_reaches_the_store(simulation):
    holder = simulation.holder()
    cut_all_from_store(simulation)
    for _ in range(60):
        simulation.advance(0.05)
        holder.leases.set_extended(holder.leases.store_lost)
    other_member(simulation, find_serving_head(simulation, "small")).kill()
    for _ in range(160):
        simulation.advance(0.05)
        holder.leases.set_extended(holder.leases.store_lost)
    assert simulation.count_serving_groups() == {"big": 1, "small": 2}
    assert not simulation.platform.violations


def test_an_extension_ends_when_another_entry_reaches_the_store(simulation):
    holder = simulation.holder()
    cut_all_from_store(simulation)
    for _ in range(60):
        simulation.advance(0.05)
        holder.leases.set_extended(True)
    assert simulation.holder() is holder
    holder.leases.set_extended(False)
    assert simulation.holder() is None


def test_an_expired_lease_is_not_extended(simulation):
    holder = simulation.holder()
    cut_all_from_store(simulation)
    simulation.advance(3.0)
    holder.leases.set_extended(True)
    assert simulation.holder() is None


def test_violations_include_a_group_opened_too_early(monkeypatch):
    monkeypatch.setattr(planners._Repairs, "_all_ready", lambda self, group: True)
    simulation = PlatformSimulation()
    for name in ("i-d0-1", "i-d0-3", "i-d0-5"):
        simulation.platform.instances[name].delayed_order_count = 9
    simulation.advance(SETTLE_S)
    assert simulation.platform.violations


def test_two_lease_holders_fail_the_check(monkeypatch):
    monkeypatch.setattr(PartitionLeases, "holds", lambda self, domain: True)
    simulation = PlatformSimulation()
    with pytest.raises(AssertionError):
        simulation.holder()


def test_a_head_cut_from_the_store_is_closed_before_its_members_move(simulation):
    # Guards against moving a member whose head still serves: the registration of a head
    # expired while it served, and its other member joined a group that had lost one
    # (hunt a1946a33, scale-1 --seed 424859124666).
    heads = [h for h in simulation.platform.open_heads() if h.member.model == "small"]
    head, other = heads[:2]
    head.cut_from_store = True
    simulation.advance(2.0)
    other_member(simulation, other).kill()
    simulation.advance(20.0)
    assert not simulation.platform.violations
    assert simulation.count_serving_groups()["small"] >= 2


def test_new_instances_are_staged_and_used(simulation):
    for number in range(10, 14):
        simulation.platform.add(f"i-d0-{number}", "d0")
    simulation.advance(60.0)
    wanted = target_group_counts(
        make_routing_table().services["engines"].engine,
        usable_count=14,
        spare_share=0.0,
    )
    assert simulation.count_serving_groups() == {
        name: wanted[name] for name in ("big", "small")
    }
    assert not simulation.platform.violations


@pytest.mark.parametrize(
    "usable, groups",
    [
        (10, {"big": 1, "small": 2}),
        (18, {"big": 2, "small": 4}),
        (7, {"big": 1, "small": 1}),
        (3, {"big": 0, "small": 1}),
        (0, {"big": 0, "small": 0}),
    ],
)
def test_target_counts_leave_at_most_one_spare_per_model(usable, groups):
    engine = make_routing_table().services["engines"].engine
    assert target_group_counts(engine, usable_count=usable, spare_share=0.2) == groups


@pytest.mark.parametrize(
    "usable, groups",
    [
        (10, {"big": 1, "small": 3}),
        (9, {"big": 1, "small": 2}),
        (18, {"big": 2, "small": 5}),
        (4, {"big": 1, "small": 0}),
        (1, {"big": 0, "small": 0}),
    ],
)
def test_target_counts_without_spares_use_the_whole_domain(usable, groups):
    engine = make_routing_table().services["engines"].engine
    assert target_group_counts(engine, usable_count=usable, spare_share=0.0) == groups


def test_loads_of_all_domains_keep_to_the_configured_rate():
    simulation = PlatformSimulation(domains=("d0", "d1", "d2"))
    simulation.begin_traffic()
    simulation.advance(40.0)
    loads = simulation.platform.loads
    for begin in loads:
        within = sum(begin <= other < begin + 5.0 for other in loads)
        assert within <= 5.0 * 5.0 * 1.1 + 3


# With derandomize, Hypothesis seeds the examples from the source of this class.
class Fabric(RuleBasedStateMachine):
    """Faults in any order: no rule is broken, and groups serve again in calm."""

    def __init__(self):
        super().__init__()
        self.world = PlatformSimulation()
        self.world.advance(SETTLE_S)
        self.world.begin_traffic()
        self.added = 10

    def pick(self, number):
        names = sorted(self.world.platform.instances)
        return self.world.platform.instances[names[number % len(names)]]

    def controller(self, number):
        names = sorted(self.world.controllers)
        return names[number % len(names)]

    @rule(seconds=st.sampled_from([0.1, 0.3, 0.7, 1.5, 4.0]))
    def pass_time(self, seconds):
        self.world.advance(seconds)

    @rule(number=st.integers(0, 40))
    def kill_instance(self, number):
        self.pick(number).kill()

    @rule(number=st.integers(0, 40))
    def restart_instance(self, number):
        made = self.pick(number)
        made.kill()
        made.restart()

    @rule(number=st.integers(0, 40))
    def cut_instance_from_store(self, number):
        self.pick(number).cut_from_store = True

    @rule(number=st.integers(0, 40), orders=st.integers(1, 3))
    def orders_come_late(self, number, orders):
        self.pick(number).delayed_order_count = orders

    @rule(number=st.integers(0, 40))
    def drain_instance(self, number):
        made = self.pick(number)
        made.state = "draining"
        made.write_entry()

    @rule()
    def add_instance(self):
        self.world.platform.add(f"i-d0-{self.added}", "d0")
        self.added += 1

    @precondition(lambda self: len(self.world.controllers) > 1)
    @rule(number=st.integers(0, 9))
    def kill_controller(self, number):
        self.world.kill_controller(self.controller(number))

    @rule()
    def start_controller(self):
        if len(self.world.controllers) < 4:
            self.world.start_controller()

    @rule(number=st.integers(0, 9), frozen=st.booleans())
    def freeze(self, number, frozen):
        self.world.controllers[self.controller(number)].clock.frozen = frozen

    @rule(number=st.integers(0, 9), cut=st.booleans())
    def cut_controller(self, number, cut):
        self.world.controllers[self.controller(number)].cut_from_store = cut

    @rule(down=st.booleans())
    def store_down(self, down):
        self.world.store.down = down

    @invariant()
    def no_rule_is_broken(self):
        assert not self.world.platform.violations
        self.world.holder()

    def teardown(self):
        self.world.store.down = False
        for controller in self.world.controllers.values():
            controller.clock.frozen = False
            controller.cut_from_store = False
        for made in self.world.platform.instances.values():
            made.cut_from_store = False
            made.delayed_order_count = 0
            if made.dead:
                made.restart()
            made.state = "ready"
            made.write_entry()
        self.world.advance(CALM_S)
        assert not self.world.platform.violations
        assert all(
            self.world.count_serving_groups().values()
        ), self.world.count_serving_groups()


TestFabric = Fabric.TestCase
TestFabric.settings = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def cut_serving_head_from_store():
    """Cut a serving head from the store and lose order answers of its member."""
    # Found by the state machine above with a random seed: the head, cut from the store,
    # kept serving while its member joined the next epoch without leaving first.
    state = Fabric()
    state.kill_instance(number=28)
    state.kill_controller(number=2)
    state.drain_instance(number=32)
    state.restart_instance(number=18)
    state.pass_time(seconds=0.7)
    state.orders_come_late(number=5, orders=1)
    state.drain_instance(number=6)
    state.kill_controller(number=0)
    state.cut_instance_from_store(number=22)
    state.orders_come_late(number=5, orders=3)
    state.drain_instance(number=0)
    state.pass_time(seconds=4.0)
    state.cut_instance_from_store(number=0)
    state.teardown()


def test_a_member_without_an_answered_leave_joins_no_other_group():
    cut_serving_head_from_store()


def test_violations_include_members_that_join_without_leaving(monkeypatch):
    monkeypatch.setattr(fabric_controllers, "_membership_to_leave", lambda *args: None)
    with pytest.raises(AssertionError):
        cut_serving_head_from_store()


# Guards against the repair that entries of another writer ended: review/1.
def test_groups_are_repaired_beside_entries_of_another_writer(simulation):
    write_foreign_entries(simulation.store)
    simulation.advance(2.0)
    for model in ("small", "small", "big"):
        head = find_serving_head(simulation, model)
        member = other_member(simulation, head)
        member.kill()
        simulation.advance(4.5)
        member.restart()
        simulation.advance(3.0)
    simulation.advance(SETTLE_S)
    assert simulation.count_serving_groups() == {"big": 1, "small": 3}
    assert not simulation.platform.violations
    known = {instance.address for instance in simulation.platform.instances.values()}
    for controller in simulation.controllers.values():
        asked = {sent.address for sent in controller.client.sent}
        assert asked <= known | {STORE_ADDRESS}


# Guards against a fault of one domain that ends the control of the others.
def test_a_domain_whose_control_raises_holds_up_no_other(monkeypatch):
    simulation = PlatformSimulation(domains=("d0", "d1"), per_domain=4, controllers=1)
    (controller,) = simulation.controllers.values()
    plan = controller.fabrics._planner.plan

    def plan_or_raise(*, view, now_s):
        if any(name.startswith("i-d0") for name in view.instances):
            raise RuntimeError("d0")
        return plan(view=view, now_s=now_s)

    monkeypatch.setattr(controller.fabrics._planner, "plan", plan_or_raise)
    for _ in range(round(SETTLE_S / CLOCK_STEP_S)):
        try:
            simulation.advance(CLOCK_STEP_S)
        except RuntimeError as exc:
            assert str(exc) == "d0"
    domains = {head.domain for head in simulation.platform.open_heads()}
    assert domains == {"d1"}
