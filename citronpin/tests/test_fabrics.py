"""Controllers of fabric domains over a stand-in of the platform, on a paused clock."""

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
from citronpin.tests.platforms.worlds import World, table_of

SETTLE_S = 8.0
CALM_S = 60.0  # covers one load under the common rate, and all its retries


def settled(**world):
    """Return a domain that has formed its groups, with traffic."""
    made = World(**world)
    made.advance(SETTLE_S)
    made.begin_traffic()
    return made


@pytest.fixture
def world():
    """A domain whose instances are all in groups."""
    return settled()


@pytest.fixture
def spare_world():
    """A domain a fifth of which stays idle."""
    return settled(spare_share=0.2)


def serving(world, model):
    """Return a head that serves a model."""
    heads = world.platform.open_heads()
    return next(head for head in heads if head.member.model == model)


def other_member(world, head):
    return world.platform.instances[head.member.members[-1]]


def idle(world):
    return [m for m in world.platform.instances.values() if m.member is None]


def test_groups_form_from_nothing_and_take_all(world):
    assert world.open_models() == {"big": 1, "small": 3}
    assert not idle(world) and not world.platform.violations


def test_some_hosts_of_each_model_hold_the_other(world):
    second = [
        (m.member.model, m.staged[0])
        for m in world.platform.instances.values()
        if m.staged != [m.member.model]
    ]
    assert sorted(second) == 2 * [("big", "small")] + 2 * [("small", "big")]


def test_groups_leave_spares_where_asked_for(spare_world):
    assert spare_world.open_models() == {"big": 1, "small": 2}
    assert len(idle(spare_world)) == 2
    assert not spare_world.platform.violations


def test_spares_hold_both_models(spare_world):
    assert {spare.staged[0] for spare in idle(spare_world)} == {"big", "small"}


def test_members_left_over_form_a_group_without_a_load(world):
    # quiet-1 of the users' rota site: two groups of a domain lost a member each within
    # 0.2 s, and the second repair waited 12 s for a load.
    heads = [h for h in world.platform.open_heads() if h.member.model == "small"]
    world.platform.cold_joins.clear()
    for head in heads[:2]:
        other_member(world, head).kill()
    world.advance(4.0)
    assert world.open_models() == {"big": 1, "small": 2}
    assert not world.platform.cold_joins
    assert not world.platform.violations


def test_a_group_gives_members_to_a_model_that_has_none_left(world):
    world.platform.cold_joins.clear()
    other_member(world, serving(world, "big")).kill()
    world.advance(5.0)
    assert world.open_models() == {"big": 1, "small": 2}
    assert not world.platform.cold_joins
    assert not world.platform.violations


def test_a_group_that_gives_its_members_first_finishes_its_requests(world):
    for made in world.platform.instances.values():
        made.busy_s = 1.5
    lost = other_member(world, serving(world, "big"))
    broken = world.platform.instances[lost.member.members[0]]
    broken.busy_s = 0.0  # what it had stands still
    lost.kill()
    world.advance(6.0)
    assert world.open_models() == {"big": 1, "small": 2}
    assert not world.platform.cuts and not world.platform.violations


def load(world, model, share):
    """Report a part of the places of a model's groups as in use, at every entry."""
    for controller in world.controllers.values():
        for head in world.platform.open_heads():
            if head.member.model == model:
                controller.loads.reported(
                    head.name, load=round(9 * share), now_s=world.clock.now()
                )


def press(world, seconds, **shares):
    """Let parts of the places of models be in use for some time."""
    for _ in range(seconds * 10):
        for model, share in shares.items():
            load(world, model, share)
        world.advance(0.1)


@pytest.fixture
def three_domains():
    """Three domains, each with one group of the big model and three of the small."""
    made = settled(domains=("d0", "d1", "d2"))
    assert made.open_models() == {"big": 3, "small": 9}
    return made


def test_a_model_under_pressure_gets_groups_of_one_with_places_free(three_domains):
    # trouble-3 of the users' rota site: the small model's groups were full from second
    # 16 to 34, while 0.2 of the large model's places were in use.
    three_domains.platform.cold_joins.clear()
    press(three_domains, 30, small=0.9, big=0.1)
    groups = three_domains.open_models()
    assert groups["small"] >= 10 and groups["big"] in (1, 2)
    assert not three_domains.platform.cold_joins
    assert not three_domains.platform.violations


@pytest.mark.parametrize("small, big", [(0.9, 0.8), (0.4, 0.1), (0.9, 0.3)])
def test_groups_stay_where_no_model_is_pressed_or_none_can_do_with_less(
    three_domains, small, big
):
    press(three_domains, 10, small=0.4, big=big)
    press(three_domains, 30, small=small, big=big)
    assert three_domains.open_models() == {"big": 3, "small": 9}


def test_the_last_group_of_a_model_is_not_given_up(world):
    press(world, 30, small=0.9, big=0.1)
    assert world.open_models() == {"big": 1, "small": 3}


def test_groups_given_up_come_back_when_the_pressure_ends(three_domains):
    press(three_domains, 30, small=0.9, big=0.1)
    press(three_domains, 100, small=0.2, big=0.2)  # loads come one after another
    assert three_domains.open_models()["big"] == 3
    assert not three_domains.platform.violations


def test_a_domain_that_lost_power_forms_the_same_groups_without_a_load(world):
    world.platform.cold_joins.clear()
    for made in world.platform.instances.values():
        made.kill()
    world.advance(8.0)
    for made in world.platform.instances.values():
        made.revive()
    world.advance(8.0)
    assert world.open_models() == {"big": 1, "small": 3}
    assert not world.platform.cold_joins
    assert not world.platform.violations


@pytest.mark.parametrize("model", ["big", "small"])
@pytest.mark.parametrize("role", ["head", "member"])
def test_a_lost_member_is_replaced_by_a_warm_spare(world, model, role):
    head = serving(world, model)
    lost = head if role == "head" else other_member(world, head)
    before = len(world.platform.loads)
    lost.kill()
    world.advance(6.0)
    assert world.open_models() == {"big": 1, "small": 2}
    assert not world.platform.violations
    # The only load is that of a spare that holds what was lost, not of the repair.
    assert len(world.platform.loads) - before <= 1


def repaired_after(world, hint):
    """Return how long the group of a killed member takes to serve again."""
    head = serving(world, "small")
    other_member(world, head).kill()
    killed_s = world.clock.now()
    world.advance(0.4)
    if hint:
        for controller in world.controllers.values():
            controller.suspects.stalled(head.name, now_s=world.clock.now())
    while world.open_models()["small"] < 2:
        world.advance(0.05)
        assert world.clock.now() - killed_s < 10.0
    return world.clock.now() - killed_s


def test_a_group_whose_answers_stop_is_repaired_sooner():
    took = []
    for hint in (False, True):
        made = settled(spare_share=0.2)
        took.append(repaired_after(made, hint))
        assert not made.platform.violations
    assert took[1] < took[0]


def test_a_member_that_starts_again_under_its_id_is_joined_anew(world):
    member = other_member(world, serving(world, "big"))
    member.kill()
    world.clock.advance(0.1)
    member.revive()
    world.advance(6.0)
    assert world.open_models() == {"big": 1, "small": 3}
    assert not world.platform.violations


def test_a_killed_holder_is_followed_and_the_groups_stay(world):
    epochs = {h.name: h.member.epoch for h in world.platform.open_heads()}
    holder = world.holder()
    name = next(n for n, c in world.controllers.items() if c is holder)
    world.kill_controller(name)
    world.advance(3.0)
    assert world.holder() is not None
    assert {h.name: h.member.epoch for h in world.platform.open_heads()} == epochs


def test_all_controllers_gone_find_the_groups_that_serve(world):
    epochs = {h.name: h.member.epoch for h in world.platform.open_heads()}
    for name in list(world.controllers):
        world.kill_controller(name)
    world.advance(2.0)
    for _ in range(3):
        world.start_controller()
    world.advance(8.0)
    assert {h.name: h.member.epoch for h in world.platform.open_heads()} == epochs


def test_a_cut_holder_stops_before_another_begins(world):
    holder = world.holder()
    holder.cut_from_store = True
    for _ in range(100):
        world.advance(0.05)
        world.holder()  # fails when two hold the lease
    assert world.holder() not in (None, holder)


def test_a_frozen_holder_orders_nothing_when_it_wakes(world):
    holder = world.holder()
    holder.clock.frozen = True
    world.advance(5.0)
    other_member(world, serving(world, "small")).kill()
    world.advance(4.0)
    sent = len(holder.client.sent)
    holder.clock.frozen = False
    world.advance(0.05)
    orders = [e for e in holder.client.sent[sent:] if e.target == "/v1/order"]
    assert not orders and not world.platform.violations


def view_of(places, *, members):
    """Return a domain of instances at places of the group ``g``."""
    instances = {
        name: InstanceView(
            instance=FleetInstance(
                id=name,
                service="engines",
                address=f"{name}:80",
                failure_domain="a",
                slots=9,
                models=("small",),
                membership=place,
            )
        )
        for name, place in places.items()
    }
    formation = Formation(
        group=GroupId("g"), epoch=4, model="small", members=members, ordered_s=0.0
    )
    return DomainView(
        engine=table_of().services["engines"].engine,
        instances=instances,
        formations={"g": formation},
        closes={},
        opens={},
        stages={},
        loads_left=5,
        bulk=False,
    )


def take_address(world, lost):
    """Start an instance at the address of a lost one, whose entry stays."""
    lost.kill()
    lost.cut_from_store = True
    world.platform.add("i-d0-a", "d0", address=lost.address)
    world.wire.silent.discard(lost.address)
    for _ in range(30):
        entry = json.dumps(lost.entry()).encode()
        world.store.put("keyed.servers", lost.name, entry)
        lost.written_s = world.clock.now()
        world.advance(1.0)


@pytest.mark.parametrize("model", ["big", "small"])
@pytest.mark.parametrize("role", ["head", "member"])
def test_an_instance_at_the_address_of_a_lost_one_is_not_taken_for_it(
    world, model, role
):
    head = serving(world, model)
    take_address(world, head if role == "head" else other_member(world, head))
    assert not world.platform.violations
    assert all(world.open_models().values())


def test_an_instance_does_not_report_for_the_lost_one_of_its_own_group():
    # Hunt 6d5d2997, cut-heads --seed 688107742283 of the rota site (PARTIAL): reports
    # asked for at the address of a lost member came from the head of its new group.
    world = settled(per_domain=2)
    head = serving(world, "small")
    other_member(world, head).kill()
    take_address(world, head)
    assert not world.platform.violations
    joins = [
        exchange
        for exchange in world.holder().client.sent
        if b'"join"' in exchange.body
        and exchange.headers["x-citronpin-expect-instance"] == head.name
    ]
    assert len(joins) <= 3


def test_only_the_instance_of_a_rank_counts_as_ready():
    # What it answers at the address of a lost member names its own rank.
    ready = Membership(group=GroupId("g"), epoch=4, rank=0, phase=Phase.READY)
    view = view_of({"i-0": ready, "i-1": ready}, members=("i-0", "i-1"))
    opens = SparePlanner().plan(view=view, now_s=100.0)
    assert not any(isinstance(action, Open) for action in opens)
    placed = msgspec.structs.replace(ready, rank=1)
    view = view_of({"i-0": ready, "i-1": placed}, members=("i-0", "i-1"))
    opens = SparePlanner().plan(view=view, now_s=100.0)
    assert any(isinstance(action, Open) for action in opens)


def test_late_orders_break_no_rule(world):
    for made in world.platform.instances.values():
        made.late_orders = 2
    other_member(world, serving(world, "big")).kill()
    other_member(world, serving(world, "small")).kill()
    world.advance(30.0)
    assert world.open_models() == {"big": 1, "small": 2}
    assert not world.platform.violations


def test_an_unanswered_join_is_sent_again_under_the_same_epoch(world):
    spares = [m for m in world.platform.instances.values() if m.member is None]
    for spare in spares:
        spare.late_orders = 1
    head = serving(world, "big")
    epoch = head.member.epoch
    other_member(world, head).kill()
    world.advance(6.0)
    assert world.open_models() == {"big": 1, "small": 2}
    joins = [
        exchange
        for controller in world.controllers.values()
        for exchange in controller.client.sent
        if b'"join"' in exchange.body and head.member.group.encode() in exchange.body
    ]
    epochs = {json.loads(exchange.body)["epoch"] for exchange in joins}
    assert len(epochs - {epoch}) == 1


def cut_all(world):
    for controller in world.controllers.values():
        controller.cut_from_store = True


def test_the_last_holder_goes_on_while_nobody_reaches_the_store(world):
    holder = world.holder()
    cut_all(world)
    for _ in range(60):
        world.advance(0.05)
        holder.leases.extend(holder.leases.lost)
    other_member(world, serving(world, "small")).kill()
    for _ in range(160):
        world.advance(0.05)
        holder.leases.extend(holder.leases.lost)
    assert world.open_models() == {"big": 1, "small": 2}
    assert not world.platform.violations


def test_an_extension_ends_when_another_entry_reaches_the_store(world):
    holder = world.holder()
    cut_all(world)
    for _ in range(60):
        world.advance(0.05)
        holder.leases.extend(True)
    assert world.holder() is holder
    holder.leases.extend(False)
    assert world.holder() is None


def test_a_lease_that_lapsed_is_not_extended(world):
    holder = world.holder()
    cut_all(world)
    world.advance(3.0)
    holder.leases.extend(True)
    assert world.holder() is None


def test_the_checks_find_a_group_that_opens_too_early(monkeypatch):
    monkeypatch.setattr(planners._Repairs, "_all_ready", lambda self, group: True)
    made = World()
    for name in ("i-d0-1", "i-d0-3", "i-d0-5"):
        made.platform.instances[name].late_orders = 9
    made.advance(SETTLE_S)
    assert made.platform.violations


def test_the_checks_find_two_holders(monkeypatch):
    monkeypatch.setattr(PartitionLeases, "holds", lambda self, domain: True)
    made = World()
    with pytest.raises(AssertionError):
        made.holder()


def test_a_head_that_is_only_cut_from_the_store_is_closed_before_its_members_move(
    world,
):
    # Hunt a1946a33, scale-1 --seed 424859124666: the entry of a head lapsed while it
    # served, and its other member was joined to a group that had lost one.
    heads = [h for h in world.platform.open_heads() if h.member.model == "small"]
    head, other = heads[:2]
    head.cut_from_store = True
    world.advance(2.0)
    other_member(world, other).kill()
    world.advance(20.0)
    assert not world.platform.violations
    assert world.open_models()["small"] >= 2


def test_newcomers_are_staged_and_used(world):
    for number in range(10, 14):
        world.platform.add(f"i-d0-{number}", "d0")
    world.advance(60.0)
    wanted = target_group_counts(
        table_of().services["engines"].engine, usable_count=14, spare_share=0.0
    )
    assert world.open_models() == {name: wanted[name] for name in ("big", "small")}
    assert not world.platform.violations


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
def test_groups_take_a_domain_but_for_a_spare_of_each_model(usable, groups):
    engine = table_of().services["engines"].engine
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
def test_groups_take_a_whole_domain(usable, groups):
    engine = table_of().services["engines"].engine
    assert target_group_counts(engine, usable_count=usable, spare_share=0.0) == groups


def test_loads_keep_to_the_common_rate():
    made = World(domains=("d0", "d1", "d2"))
    made.begin_traffic()
    made.advance(40.0)
    loads = made.platform.loads
    for begin in loads:
        within = sum(begin <= other < begin + 5.0 for other in loads)
        assert within <= 5.0 * 5.0 * 1.1 + 3


class Fabric(RuleBasedStateMachine):
    """Faults in any order: no rule is broken, and groups serve again in calm."""

    def __init__(self):
        super().__init__()
        self.world = World()
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
        made.revive()

    @rule(number=st.integers(0, 40))
    def cut_instance_from_store(self, number):
        self.pick(number).cut_from_store = True

    @rule(number=st.integers(0, 40), orders=st.integers(1, 3))
    def orders_come_late(self, number, orders):
        self.pick(number).late_orders = orders

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
            made.late_orders = 0
            if made.dead:
                made.revive()
            made.state = "ready"
            made.write_entry()
        self.world.advance(CALM_S)
        assert not self.world.platform.violations
        assert all(self.world.open_models().values()), self.world.open_models()


TestFabric = Fabric.TestCase
TestFabric.settings = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def unseen_head():
    """Cut a head that serves from the store, and lose answers of its member."""
    # Found by the machine above under a random seed: the head, cut from the store,
    # served on, and its member was joined to the next epoch without leaving first.
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


def test_a_member_whose_leave_got_no_answer_stays_with_its_unseen_head():
    unseen_head()


def test_the_checks_find_members_that_do_not_leave_first(monkeypatch):
    monkeypatch.setattr(fabric_controllers, "_membership_to_leave", lambda *args: None)
    with pytest.raises(AssertionError):
        unseen_head()
