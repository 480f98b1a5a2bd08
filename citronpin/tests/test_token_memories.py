"""Placement by token memory: replays with stale reports, decisions, and failures."""

import random

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from citronpin.basics.errors import ConnectionLost
from citronpin.basics.ids import GroupId, InstanceId, ModelName
from citronpin.benches.crowds import ENGINE, MODEL, SERVICE, Policy
from citronpin.gateway.demands import Demand
from citronpin.gateway.load_trackers import PEER_REPORT_MAX_AGE_S
from citronpin.gateway.nodes import MemoryKind
from citronpin.gateway.overloads import (
    FirstEventTimes,
    ObjectiveLoadLimit,
    Pending,
)
from citronpin.gateway.placers import (
    NO_MEMORY_REASON,
    TOO_LARGE_REASON,
    LeastLoaded,
    Placement,
)
from citronpin.gateway.request_costs import RequestCost, RequestCosts
from citronpin.gateway.token_memories import FILL_SHARE, ReportedMemory
from citronpin.peers.messages import HeadStatus
from citronpin.platform.decoders import decode_report
from citronpin.platform.names import HEADERS
from citronpin.platform.settings import WireSettings, node_settings
from citronpin.tests.memory_replays import TokenCase, TokenRun
from citronpin.tests.platforms.requests import FrontHarness, ScriptedStream

# The share of refusals that docs/design/hard-load.md, part 1, allows at models.
MAX_PREEMPTED = 0.01
SEEDS = range(4)
SHORT = dict(mean_answer=175.0, length_s=10.0, warm_up_s=2.0)  # about 1.2 s
MEMORY = 10_000
LOST = ConnectionLost("Connection reset by peer")
SETTINGS = {
    "node": "n1",
    "ip": "10.0.0.1",
    "zone": "a",
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "internal-ports": [7000, 7010],
    "platform": {"address": "10.0.0.9:9"},
}


def preempted(policy, has_memory, **fields):
    """Return the preempted answers per request over seeds."""
    runs = [
        TokenRun(
            case=TokenCase(**fields), policy=policy, seed=seed, has_memory=has_memory
        ).run()
        for seed in SEEDS
    ]
    count = sum(run.counts["preempted"] for run in runs)
    return count / sum(run.counts["requests"] for run in runs)


def test_large_prompts_preempt_few_answers_at_a_third_of_the_memory():
    # With slots only, long prompts meet at instances that have free slots.
    assert preempted(Policy.BY_WORK, True) < MAX_PREEMPTED
    baseline = preempted(Policy.BY_WORK, False)
    assert baseline >= MAX_PREEMPTED, "the baseline does not show the failure"


@pytest.mark.parametrize("policy", [Policy.LEAST_LOADED, Policy.BY_WORK])
def test_large_prompts_preempt_fewer_answers_at_half_of_the_memory(policy):
    assert preempted(policy, True, fill=0.5) < preempted(policy, False, fill=0.5)


@pytest.mark.known_red
@pytest.mark.parametrize("policy", [Policy.LEAST_LOADED, Policy.BY_WORK])
@pytest.mark.parametrize("fields", [SHORT, {"fill": 0.5}])
def test_the_margin_is_enough_for_the_requests_that_reports_do_not_show(policy, fields):
    assert preempted(policy, True, **fields) < MAX_PREEMPTED


class World:
    """One entry, and groups of ten slots whose reports a test gives."""

    def __init__(self, *, policy=Policy.LEAST_LOADED, groups=2, has_memory=True):
        case = TokenCase(entries=1, slots=(10,) * groups)
        run = TokenRun(case=case, policy=policy, seed=1, has_memory=has_memory)
        self.now_s = 0.0
        self.entry = run.entries[0]
        self.placer = self.entry.placer
        self.memory = ReportedMemory(loads=self.entry.loads)
        if has_memory:
            self.placer._memory = self.memory
        self.instances = [run.fleet.get(name) for name in run.groups]

    def report(self, *used, age_s=0.0, memory=MEMORY):
        for instance, tokens in zip(self.instances, used):
            self.entry.loads.record_report(
                instance.id,
                load=1,
                age_s=age_s,
                now_s=self.now_s,
                used_tokens=tokens,
                memory_tokens=memory,
            )

    def demand(self, prompt=1_000, answer=100, written=0, engine=ENGINE, **pending):
        cost = RequestCost(prompt_tokens=prompt, answer_tokens=float(answer))
        fields = dict(service=SERVICE, model=MODEL, objective_s=0.3, spent_s=0.0)
        return Demand(
            pending=Pending(**(fields | pending)),
            engine=engine,
            cost=cost,
            written_tokens=written,
        )

    def fits(self, number=0, **fields):
        return self.memory.fits(
            self.instances[number], self.demand(**fields), self.now_s
        )

    def place(self, **fields):
        return self.placer.place(demand=self.demand(**fields), now_s=self.now_s)

    def hold(self, **fields):
        held = self.memory.hold(self.instances[0], self.demand(**fields), self.now_s)
        held.started(now_s=self.now_s)
        return held

    @property
    def held(self):
        """Return the tokens that are expected at the first instance."""
        name = self.instances[0].id
        report = self.entry.loads.reports.get(name)
        return self.memory._held_tokens(name, report, self.now_s)


def test_a_request_is_expected_to_fill_at_most_the_share_of_the_memory():
    world = World()
    world.report(7_900)
    assert world.fits() and not world.fits(answer=101)
    assert world.fits(prompt=900, written=200) and not world.fits(written=101)
    assert (7_900 + 1_100) / MEMORY == FILL_SHARE


def test_an_empty_instance_takes_what_its_memory_holds_and_no_more():
    # A request above the margin would be refused for good.
    world = World()
    world.report(0)
    assert world.fits(prompt=9_500) and not world.fits(prompt=10_000)
    assert world.memory.is_too_large(world.instances[0], world.demand(prompt=10_000))


def test_unknown_memory_and_missing_reports_never_block():
    world = World()
    unknown = msgspec.structs.replace(ENGINE, memory_tokens=0)
    assert world.fits(prompt=8_000_000, engine=unknown)
    assert world.fits(engine=None)
    world.report(7_000_000, memory=0)
    assert world.fits(prompt=8_000_000, engine=unknown)
    assert not world.memory.is_too_large(
        world.instances[0], world.demand(engine=unknown)
    )
    no_cost = msgspec.structs.replace(world.demand(), cost=None)
    assert world.memory.fits(world.instances[0], no_cost, 0.0)
    assert world.memory.hold(world.instances[0], no_cost, 0.0) is None


def test_the_configuration_tells_the_memory_where_reports_do_not():
    # A report of an older build has neither number.
    world = World()
    engine = msgspec.structs.replace(ENGINE, memory_tokens=MEMORY)
    world.report(0, memory=0)
    world.hold(prompt=8_000)
    assert not world.fits(engine=engine) and world.fits(prompt=900, engine=engine)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["start", "write", "write", "end", "report"]),
        st.integers(1, 3_000),
    ),
    max_size=40,
)


@given(STEPS, st.integers(0, 9), st.integers(0, 5_000))
@settings(derandomize=True, deadline=None)
def test_no_request_counts_twice_and_none_is_forgotten(steps, late_steps, others):
    # Own requests are in the reports too, as they were some tenths of a second ago.
    world = World(groups=1)
    held, own = [], [(0.0, 0)]
    for kind, number in steps:
        world.now_s += 0.125
        total = own[-1][1]
        if kind == "start":
            held.append([world.hold(prompt=number), number])
            total += number
        elif kind == "write" and held:
            row = held[number % len(held)]
            row[0].progressed(now_s=world.now_s)
            row[1] += 1
            total += 1
        elif kind == "end" and held:
            request, tokens = held.pop(number % len(held))
            request.ended(now_s=world.now_s)
            total -= tokens
        own.append((world.now_s, total))
        if kind == "report":
            shown_s, shown = own[max(len(own) - 1 - late_steps, 0)]
            world.report(others + shown, age_s=world.now_s - shown_s - 0.01)
    if any(kind == "report" for kind, _ in steps[-10:]):
        assert world.held == others + own[-1][1]
    for request, _ in held:
        request.ended(now_s=world.now_s)
        request.ended(now_s=world.now_s)  # an attempt may end once more
    assert world.memory.own_tokens(world.instances[0].id).tokens == 0


def test_without_reports_for_a_while_only_own_requests_count():
    world = World()
    world.report(9_500)
    world.hold(prompt=2_000)
    assert not world.fits()
    world.now_s = PEER_REPORT_MAX_AGE_S + 0.01
    assert world.held == 2_000 and world.fits()
    assert not world.fits(prompt=8_000)


def test_a_clock_that_goes_back_blocks_nothing_for_good():
    world = World()
    world.now_s = 100.0
    held = world.hold(prompt=3_000)
    world.now_s = 50.0
    held.progressed(now_s=world.now_s)
    world.report(5_000)
    assert world.fits()
    held.ended(now_s=world.now_s)
    world.now_s = 51.0
    world.report(0)
    assert world.held == 0


def test_counts_of_instances_are_bounded(monkeypatch):
    monkeypatch.setattr("citronpin.gateway.token_memories.MAX_INSTANCES", 3)
    world = World()
    world.hold()
    for number in range(10):
        world.memory.own_tokens(InstanceId(f"i{number}"))
    assert len(world.memory._own) <= 3 and world.held == 1_000


@pytest.mark.parametrize("policy", [Policy.LEAST_LOADED, Policy.BY_WORK])
def test_placement_is_as_before_where_every_request_fits(policy):
    worlds = [World(policy=policy, groups=20, has_memory=x) for x in (False, True)]
    drawn = []
    for world in worlds:
        world.report(*range(100, 120))
        drawn.append([world.place().instance.id for _ in range(200)])
    assert drawn[0] == drawn[1] and len(set(drawn[0])) > 10


@pytest.mark.parametrize("policy", [Policy.LEAST_LOADED, Policy.BY_WORK])
def test_an_instance_with_memory_stands_in_for_one_without(policy):
    world = World(policy=policy, groups=45)
    world.report(*[9_000] * 44, 500)
    found = [world.place() for _ in range(50)]
    assert {one.instance.id for one in found} == {world.instances[-1].id}
    assert found[0].held.share == pytest.approx((500 + 1_100) / MEMORY)


@pytest.mark.parametrize("policy", [Policy.LEAST_LOADED, Policy.BY_WORK])
@pytest.mark.parametrize(
    "prompt, reason, is_too_large",
    [(1_000, NO_MEMORY_REASON, False), (10_000, TOO_LARGE_REASON, True)],
)
def test_a_request_that_fits_nowhere_is_refused(policy, prompt, reason, is_too_large):
    world = World(policy=policy, groups=45)
    world.report(*[9_000] * 45)
    failure = world.place(prompt=prompt)
    assert not isinstance(failure, Placement)
    assert (failure.reason, failure.candidates) == (reason, 45)
    assert failure.lacks_memory and failure.is_too_large is is_too_large
    if prompt == 10_000:
        world.report(*[0] * 45)
        assert world.place(prompt=prompt).is_too_large


@pytest.fixture
def gateway(paused_clock):
    """Return a front with a configuration that names the memory of its instances."""
    harness = FrontHarness(clock=paused_clock)
    context = harness.context
    context.costs = RequestCosts()
    context.placer = LeastLoaded(
        fleet=harness.fleet,
        loads=harness.loads,
        gate=harness.gate,
        failure_domain=harness.failure_domain,
        rng=random.Random(3),
        limit_policy=ObjectiveLoadLimit(first_event_times=FirstEventTimes()),
        memory=ReportedMemory(loads=harness.loads),
    )
    return harness


def report_all(gateway, used_tokens):
    for instance in gateway.fleet.all():
        gateway.loads.record_report(
            instance.id,
            load=0,
            age_s=0.0,
            now_s=gateway.clock.now(),
            used_tokens=used_tokens,
            memory_tokens=MEMORY,
        )


@pytest.mark.parametrize("usage, remedy", [("2000,9", "again"), ("10000,9", "shorter")])
def test_a_refusal_for_lack_of_memory_states_that_nothing_ran(gateway, usage, remedy):
    report_all(gateway, 9_500)
    reply = gateway.send("/draft/1", **{HEADERS.token_usage: usage})
    gateway.clock.advance(0.1)
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert remedy in reply.body.decode() and float(reply.headers["retry-after"]) > 0
    assert not gateway.sent_requests() and gateway.context.memory_refusals == 1


def own_tokens(gateway):
    counts = gateway.context.placer._memory._own.values()
    return sum(own.tokens for own in counts)


@pytest.mark.parametrize("end", ["whole", "caller left", "preempted"])
def test_the_tokens_of_a_request_are_released_at_its_end(gateway, end, caplog):
    # An attempt that is moved must not leave its tokens at the first instance.
    cut = dict(stop_after=5, then=lambda exchange: exchange.fail(LOST))
    fields = cut if end == "preempted" else {}
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, last=20, **fields)
    report_all(gateway, 500)
    with caplog.at_level("INFO"):
        reply = gateway.send("/draft/1", **{HEADERS.token_usage: "1000,100"})
        gateway.clock.advance(0.21)
        assert own_tokens(gateway) == 1_000 + 5
        if end == "caller left":
            reply.leave()
        gateway.clock.advance(3.0)
    assert own_tokens(gateway) == 0
    (line,) = [record for record in caplog.records if record.message == "request"]
    assert 0.15 <= line.attempts[0]["memory"] <= 0.17
    if end == "preempted":
        resumed = gateway.sent_requests()[1]
        assert resumed.headers[HEADERS.last_event] == "5"


@pytest.mark.parametrize(
    "used, total, expected",
    [(500, 1_000, (500, 1_000)), (7.9, 1e4, (7, 10_000))]
    + [(bad, bad, (0, 0)) for bad in (-1, "many", None, True, [], 1e300, {"a": 1})],
)
def test_wrong_token_counts_do_not_make_a_report_unreadable(used, total, expected):
    # An unreadable report counts as silence, for which the instance is taken as dead.
    data = {"running": 3, "kv-used": used, "kv-total": total}
    report = decode_report(msgspec.json.encode(data)).unwrap()
    assert (report.used_tokens, report.memory_tokens) == expected
    assert report.running == 3


def test_a_head_status_of_an_older_build_has_no_memory():
    old = msgspec.json.encode(["i", "g", 4, "small", 7, 1.0, 400])
    status = msgspec.json.decode(old, type=HeadStatus)
    assert (status.used_tokens, status.memory_tokens) == (0, 0)
    new = HeadStatus(
        InstanceId("i"),
        GroupId("g"),
        4,
        ModelName("small"),
        used_tokens=5,
        memory_tokens=9,
    )
    assert msgspec.json.decode(msgspec.json.encode(new))[7:] == [5, 9]


@pytest.mark.parametrize(
    "contracts, memory",
    [
        (["pool", "places"], MemoryKind.TOKENS),
        (["places"], MemoryKind.SLOTS),
        ([], MemoryKind.SLOTS),
    ],
)
def test_tokens_decide_only_with_the_contract_of_a_pool(contracts, memory):
    wire = msgspec.convert(SETTINGS | {"contracts": contracts}, WireSettings)
    assert node_settings(wire, 9464).memory is memory


def test_the_share_of_the_fullest_instance_is_shown():
    world = World(groups=3)
    assert world.memory.fullest_share() == 0.0
    world.report(100, 7_000, 300)
    assert world.memory.fullest_share() == 0.7
