"""The tracker of work gets what exchanges, reports and settings tell."""

import msgspec
import pytest

from citronpin.basics.ids import ApplicationName, GroupId, InstanceId, ModelName
from citronpin.benches.crowds import ENGINE
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.group_works import GroupWorks
from citronpin.gateway.overloads import FirstEventTimes, ObjectiveLoadLimit
from citronpin.gateway.placers import PlacementPolicy
from citronpin.gateway.ports import Report
from citronpin.gateway.request_costs import RequestCosts
from citronpin.gateway.watches import REPORT_LAG_S, MemberWatch
from citronpin.gateway.work_placers import WorkPlacer
from citronpin.peers.messages import HeadStatus
from citronpin.platform.names import HEADERS
from citronpin.platform.settings import WireSettings, node_settings
from citronpin.tests.platforms.requests import (
    FrontHarness,
    ScriptedStream,
    instance_headers,
)

SETTINGS = {
    "node": "n1",
    "ip": "10.0.0.1",
    "zone": "a",
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "internal-ports": [7000, 7010],
    "platform": {"address": "10.0.0.9:9"},
}


def track_work(harness):
    """Let a front place by remaining work."""
    context = harness.context
    context.costs = RequestCosts()
    context.works = GroupWorks(
        loads=harness.loads,
        costs=context.costs,
        entry_count=lambda: 1,
        ratios=harness.metrics.ratios,
    )
    context.placer = WorkPlacer(
        fleet=harness.fleet,
        loads=harness.loads,
        works=context.works,
        gate=harness.gate,
        failure_domain=harness.failure_domain,
        rng=context.rng,
        limit_policy=ObjectiveLoadLimit(first_event_times=FirstEventTimes()),
    )
    return harness


@pytest.fixture
def gateway(paused_clock):
    """Return a front whose requests are placed by remaining work."""
    return track_work(FrontHarness(clock=paused_clock))


def own_counts(gateway):
    names = [one.id for one in gateway.fleet.all()]
    loads = gateway.context.works.loads_of(names, now_s=gateway.clock.now())
    return {name: load[0] for name, load in zip(names, loads) if load[0]}


def test_a_stream_is_tracked_from_its_start_to_its_end(gateway):
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, last=10)
    usage = {HEADERS.token_usage: "700,400", HEADERS.length_hint: "12"}
    reply = gateway.send("/draft/1", **usage)
    gateway.clock.advance(0.2)
    assert list(own_counts(gateway).values()) == [1]
    gateway.clock.advance(1.0)
    assert reply.status == 200 and not own_counts(gateway)
    costs = gateway.context.costs
    (histogram,) = [h for kind, h in costs._histograms.items() if kind[3] >= 0][:1]
    assert histogram.mean() == pytest.approx(11, rel=0.1)
    text = gateway.metrics.text().decode()
    for estimate in ("answer_tokens", "first_event"):
        assert f'estimate="{estimate}"' in text


def test_an_answer_that_its_caller_leaves_counts_as_cut_off(gateway):
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, last=100)
    reply = gateway.send("/draft/1")
    gateway.clock.advance(1.0)
    reply.leave()
    assert not own_counts(gateway)
    (histogram, *_) = gateway.context.costs._histograms.values()
    assert histogram.total == 1.0 and histogram.mean() > 20


def test_the_rest_of_an_answer_is_no_sample_of_its_length(gateway):
    # A caller that resumes after event 95 gets five tokens of an answer of a hundred.
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, last=100)
    reply = gateway.send("/draft/1", **{HEADERS.last_event: "95"})
    gateway.clock.advance(1.0)
    assert reply.status == 200 and not gateway.context.costs._histograms


def test_a_refusal_of_a_plain_instance_moves_requests_to_others(gateway):
    refusing = []

    def refuse_first(exchange):
        refusing.append(exchange.headers[HEADERS.expect_instance])
        if len(refusing) == 1:
            echo = {HEADERS.attempt: exchange.headers[HEADERS.attempt]}
            exchange.answer(503, b"", echo | {HEADERS.not_run: "1"})
        else:
            exchange.answer(200, b"page", instance_headers(exchange))

    gateway.scripts["*"] = refuse_first
    for _ in range(5):
        gateway.send("/look-up/1")
        gateway.clock.advance(0.02)
    first, *others = refusing
    assert first not in others and not own_counts(gateway)


@pytest.mark.parametrize(
    "contracts, placement",
    [
        (["pool", "places"], PlacementPolicy.REMAINING_WORK),
        (["places"], PlacementPolicy.LEAST_LOADED),
        ([], PlacementPolicy.LEAST_LOADED),
    ],
)
def test_placement_by_work_is_used_only_with_the_contract_of_a_pool(
    contracts, placement
):
    settings = msgspec.convert(SETTINGS | {"contracts": contracts}, WireSettings)
    assert node_settings(settings, 9464).placement is placement
    chosen = node_settings(settings, 9464, PlacementPolicy.LEAST_LOADED)
    assert chosen.placement is PlacementPolicy.LEAST_LOADED


def test_settings_without_contracts_place_as_before():
    settings = msgspec.convert(SETTINGS, WireSettings)
    assert node_settings(settings, 9464).placement is PlacementPolicy.LEAST_LOADED


TOKENS = dict(used_tokens=700, memory_tokens=900)


class AnsweringControl:
    """Answers each request for a report at once."""

    def report(self, *, of, done):
        done(Report(membership=None, born_ms=0, running=3, waiting=1, **TOKENS), None)


class SilentReach:
    """Ignores that an instance answered."""

    def record_reply(self, service):
        """Record nothing."""


def test_the_age_of_a_load_contains_the_lag_of_the_report(paused_clock):
    instance = FleetInstance(
        id=InstanceId("i"), service="s", address="", failure_domain="a", slots=1
    )
    watch = MemberWatch(
        control=AnsweringControl(),
        fleet=None,
        clock=paused_clock,
        heartbeat_s=1.0,
        reach=SilentReach(),
    )
    assert watch.load_age_s(instance.id) == 0.0
    assert watch.tokens(instance.id) == (0, 0)
    watch.poll([instance], busy=False)
    paused_clock.advance(0.3)
    assert watch.load(instance.id) == 4
    assert watch.tokens(instance.id) == (700, 900)
    assert watch.load_age_s(instance.id) == pytest.approx(0.3 + REPORT_LAG_S)


def test_a_head_status_of_an_older_build_has_no_age():
    old = msgspec.json.encode(["i", "g", 4, "small", 7, 1.0])
    status = msgspec.json.decode(old, type=HeadStatus)
    new = HeadStatus(InstanceId("i"), GroupId("g"), 4, ModelName("small"), 7, 1.0, 400)
    assert (
        status.age_ms == 0 and msgspec.json.decode(msgspec.json.encode(new))[6] == 400
    )


def silence(exchange):
    """Leave a request without an answer."""


def suspected(gateway):
    return gateway.suspects.recently_suspected(since_s=0.001)


def test_a_wait_behind_a_queue_is_no_stall(gateway):
    # A crowd suspected half of its groups, since requests waited in their queues.
    gateway.scripts["*"] = silence
    gateway.send("/draft/1")
    (name,) = own_counts(gateway)
    gateway.context.works._engines[ApplicationName("engines")] = ENGINE
    gateway.loads.record_instance_load(name, load=40, now_s=gateway.clock.now())
    gateway.clock.advance(3.0)
    assert not suspected(gateway)
    gateway.clock.advance(2.0)
    assert suspected(gateway), "longer than the queue explains"


def test_a_suspicion_of_another_entry_is_not_repeated_as_an_own_one(gateway):
    # Each entry that repeated it made the others move requests, and they repeated it.
    gateway.scripts["*"] = silence
    gateway.send("/draft/1")
    (name,) = own_counts(gateway)
    gateway.suspects.suspected_by_peer(name, now_s=gateway.clock.now())
    gateway.clock.advance(0.6)
    assert len(gateway.sent_requests()) == 2, "the request is sent to another instance"
    assert not suspected(gateway)
    # After the other's suspicion ended, requests went to the standing group again.
    gateway.clock.advance(1.0)
    assert gateway.suspects.is_avoided(name, now_s=gateway.clock.now())


def test_one_stalled_answer_says_nothing_of_an_instance_that_goes_on(paused_clock):
    harness = track_work(FrontHarness(clock=paused_clock, engines=1))
    harness.scripts["*"] = ScriptedStream(clock=paused_clock, last=10_000)
    harness.send("/draft/1")
    paused_clock.advance(0.1)
    harness.scripts["*"] = ScriptedStream(
        clock=paused_clock, stop_after=4, then=lambda exchange: None
    )
    harness.send("/draft/2")
    paused_clock.advance(1.0)
    assert not suspected(harness)


def test_answers_are_learned_in_tokens_and_not_in_events(gateway):
    # Answers of 28 events with 6 tokens each were taken for a sixth of their length.
    (engine,) = [
        spec.engine for spec in gateway.context.table.services.values() if spec.engine
    ]
    per_event = 6
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, last=9)
    gateway.context.costs.estimate, estimate = (
        lambda **fields: estimate(
            **fields | {"engine": msgspec.structs.replace(engine, stride=per_event)}
        ),
        gateway.context.costs.estimate,
    )
    gateway.send("/draft/1", **{HEADERS.token_usage: "700,400"})
    gateway.clock.advance(1.0)
    for histogram in gateway.context.costs._histograms.values():
        assert histogram.mean() == pytest.approx(60, rel=0.2)
