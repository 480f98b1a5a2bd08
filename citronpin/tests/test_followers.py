"""Tests of `Followers` on a log in memory and over HTTP, with log faults."""

import math

import pytest
from result import Err, Ok

from citronpin.basics.errors import Outcome
from citronpin.basics.events import EventKind
from citronpin.basics.ids import (
    CONFIG_STREAM,
    EntryId,
    RecordId,
    StreamName,
)
from citronpin.standins.standin_logs import LogStandin
from citronpin.state.http_logs import HttpLog
from citronpin.state.logs import MemoryLog
from citronpin.state.records import (
    MAX_RECORD_BYTES,
    InstanceBar,
    LeaseClaim,
    Record,
    encode_record,
)
from citronpin.state.tails import LONG_POLL_ANSWER_S, LONG_POLL_S
from citronpin.tests.builders import (
    FaultyLog,
    alarms,
    build_followers,
    change,
    deployment,
)
from citronpin.tests.conftest import wait_until
from citronpin.web.clients import HttpClient

CONTROL = StreamName("control.fab-a")
CONFIG_APPLY_S = 3.0  # in which a change must be in force everywhere


@pytest.fixture
def log(paused_clock):
    return FaultyLog(log=MemoryLog(clock=paused_clock), clock=paused_clock)


@pytest.fixture
def start_followers(log, paused_clock):
    """Return a function that builds followers of both streams, read to the head."""

    def start(*names, **options):
        built = [build_followers(log, paused_clock, name, **options) for name in names]
        for followers in built:
            followers.follow(CONFIG_STREAM)
            followers.follow(CONTROL)
        paused_clock.advance(0.01)
        return built

    return start


def propose_items(followers, *items, stream=CONFIG_STREAM):
    """Propose items together; the returned list gets the result later."""
    results = []
    followers.propose(stream, items, results.append)
    return results


def test_the_first_of_two_changes_with_one_base_is_accepted_by_all(
    start_followers, paused_clock
):
    one, two = start_followers("entry-1", "entry-2")
    first = propose_items(one, change(deployment(version="1")))
    second = propose_items(two, change(deployment(version="2")))
    paused_clock.advance(1.0)
    verdicts = [first[0].ok_value[0], second[0].ok_value[0]]
    assert [verdict.accepted for verdict in verdicts] == [True, False]
    assert "make it anew from 0" in verdicts[1].reason
    assert one.state(CONFIG_STREAM) == two.state(CONFIG_STREAM)


def test_lost_answer_to_a_long_poll_does_not_delay_a_change(
    start_followers, log, paused_clock
):
    (one,) = start_followers("entry-1")
    log.long_polls_to_lose = 2  # those of both streams
    paused_clock.advance(LONG_POLL_S)  # the next long polls have begun
    publisher = build_followers(log.log, paused_clock, "entry-2")
    results = propose_items(publisher, change(deployment(version="2")))
    paused_clock.advance(CONFIG_APPLY_S)
    assert results[0].ok_value[0].accepted and not log.long_polls_to_lose
    assert "deployment/rota" in one.state(CONFIG_STREAM).manifests


def test_log_with_late_answers_is_read_to_its_head(start_followers, log, paused_clock):
    (one,) = start_followers("entry-1")
    log.long_poll_delay_s = 2.5 * LONG_POLL_ANSWER_S
    publisher = build_followers(log.log, paused_clock, "entry-2")
    for number in range(10):
        propose_items(publisher, change(deployment(f"d-{number}")))
        paused_clock.advance(1.0)
    paused_clock.advance(2 * log.long_poll_delay_s)
    assert len(one.state(CONFIG_STREAM).manifests) == 10


def test_long_poll_is_not_repeated_while_it_is_answered(
    start_followers, log, paused_clock
):
    (one,) = start_followers("entry-1")
    paused_clock.advance(1.0)
    for number in range(20):
        propose_items(one, change(deployment(f"d-{number}")))
        paused_clock.advance(0.5)
    waits = [wait_s for stream, wait_s in log.reads if stream == CONFIG_STREAM]
    assert sum(wait_s > 0 for wait_s in waits) <= 20 + 2


def test_proposals_made_during_an_append_share_a_record(
    start_followers, log, paused_clock
):
    (one,) = start_followers("entry-1")
    results = [propose_items(one, LeaseClaim(-1), stream=CONTROL)]
    results += [
        propose_items(one, InstanceBar(0, f"i-{n}", True), stream=CONTROL)
        for n in range(100)
    ]
    paused_clock.advance(2.0)
    assert all(result[0].ok_value[0].accepted for result in results)
    assert len(results) == 101 and log.log.head(CONTROL) == 1


def test_appends_stay_within_the_rate_limit_of_an_entry(
    start_followers, log, paused_clock
):
    (one,) = start_followers("entry-1", appends_per_s=20.0)
    results = []
    for number in range(1_000):
        items = (change(deployment(f"d-{number}")),)
        wait_s = (number * number % 997) / 100.0
        paused_clock.call_later(
            wait_s, lambda i=items: one.propose(CONFIG_STREAM, i, results.append)
        )
    paused_clock.advance(12.0)
    assert len(results) == 1_000 and log.calls <= 20.0 * 12.0 + 5.0


@pytest.mark.parametrize("fault", ["answers_to_lose", "appends_to_hold"])
def test_an_append_without_an_answer_takes_effect_once(
    start_followers, log, paused_clock, fault
):
    (one,) = start_followers("entry-1")
    setattr(log, fault, 1)
    results = propose_items(one, change(deployment()))
    paused_clock.advance(1.0)
    log.release()
    paused_clock.advance(1.0)
    assert results[0].ok_value[0].accepted
    assert one.state(CONFIG_STREAM).manifests["deployment/rota"].offset == 0
    assert log.log.head(CONFIG_STREAM) >= 1


def test_a_timed_out_append_that_lands_after_its_fence_has_no_effect(
    start_followers, log, paused_clock
):
    one, two = start_followers("entry-1", "entry-2", proposal_timeout_s=3.0)
    log.appends_to_hold = 100
    lost = propose_items(one, change(deployment("lost")))
    paused_clock.advance(3.5)
    assert lost[0].err_value.outcome is Outcome.UNKNOWN
    log.appends_to_hold = 0
    paused_clock.advance(3.0)
    assert log.log.head(CONFIG_STREAM) == 1  # only the fence was stored
    log.release()
    paused_clock.advance(1.0)
    assert not one.state(CONFIG_STREAM).manifests
    assert one.state(CONFIG_STREAM) == two.state(CONFIG_STREAM)


def test_not_run_is_reported_only_for_items_that_never_take_effect(
    start_followers, log, paused_clock
):
    (one,) = start_followers("entry-1", proposal_timeout_s=2.0)
    log.appends_to_refuse = 1_000
    refused = propose_items(one, change(deployment("refused")))
    paused_clock.advance(1.5)
    kept = propose_items(one, change(deployment("kept")))
    paused_clock.advance(0.7)
    assert refused[0].err_value.outcome is Outcome.NOT_RUN
    log.appends_to_refuse = 0
    paused_clock.advance(5.0)
    assert kept[0].ok_value[0].accepted
    assert list(one.state(CONFIG_STREAM).manifests) == ["deployment/kept"]


def test_an_append_that_is_not_read_back_in_time_ends_as_unknown(
    start_followers, log, paused_clock
):
    (one,) = start_followers("entry-1", proposal_timeout_s=2.0)
    log.silent = True
    results = propose_items(one, change(deployment()))
    paused_clock.advance(3.0)
    assert results[0].err_value.outcome is Outcome.UNKNOWN
    log.silent = False
    paused_clock.advance(12.0)
    assert "deployment/rota" in one.state(CONFIG_STREAM).manifests


def test_invalid_records_are_skipped_and_never_stop_the_fold(
    start_followers, log, paused_clock
):
    one, two = start_followers("entry-1", "entry-2")
    good = Record(1, RecordId("r"), EntryId("x"), 0, (change(deployment()),))
    newer = Record(2, RecordId("n"), EntryId("x"), 0, (change(deployment("new")),))
    damaged = encode_record(good)[:-3]
    unknown = encode_record(good).replace(b"config", b"conifg")
    for payload in (damaged, unknown, b"x" * (MAX_RECORD_BYTES + 1), b"\xc1"):
        log.log.put(CONFIG_STREAM, payload)
    log.log.put(CONFIG_STREAM, encode_record(newer))
    log.log.put(CONFIG_STREAM, encode_record(good))
    paused_clock.advance(0.1)
    assert one.state(CONFIG_STREAM) == two.state(CONFIG_STREAM)
    assert list(one.state(CONFIG_STREAM).manifests) == ["deployment/rota"]
    kinds = [event.kind for event in one.recorder.since()]
    assert kinds.count(EventKind.RECORD_SKIPPED) == 5


def test_an_entry_that_boots_while_the_log_is_down_restores_from_a_peer(
    start_followers, log, paused_clock
):
    (one,) = start_followers("entry-1")
    propose_items(one, change(deployment("a")))
    paused_clock.advance(0.1)
    faulty_log = FaultyLog(log=log.log, clock=paused_clock)
    faulty_log.down = True
    two = build_followers(faulty_log, paused_clock, "entry-2")
    two.follow(CONFIG_STREAM)
    paused_clock.advance(5.0)
    assert not two.is_current(CONFIG_STREAM)
    assert not two.restore(CONFIG_STREAM, one.snapshot(CONFIG_STREAM)[:-1])
    assert not two.is_current(CONFIG_STREAM) and len(alarms(two)) == 1
    assert two.restore(CONFIG_STREAM, one.snapshot(CONFIG_STREAM))
    assert two.is_current(CONFIG_STREAM)
    assert math.isinf(two.head_age_s(CONFIG_STREAM))
    for name in ("b", "c"):
        propose_items(one, change(deployment(name)))
        paused_clock.advance(0.1)
    page = one.recent_records(CONFIG_STREAM, 0)
    two.fold_peer_records(CONFIG_STREAM, page.records[2:])
    assert two.state(CONFIG_STREAM).offset == 0  # stops at a gap
    two.confirm_head(CONFIG_STREAM, page.head)
    assert math.isinf(two.head_age_s(CONFIG_STREAM))  # head isn't folded
    two.fold_peer_records(CONFIG_STREAM, page.records)
    two.confirm_head(CONFIG_STREAM, page.head, 1.5)
    assert two.is_current(CONFIG_STREAM) and two.head_age_s(CONFIG_STREAM) == 1.5
    assert two.state(CONFIG_STREAM) == one.state(CONFIG_STREAM)
    old = two.state(CONFIG_STREAM)
    two.fold_peer_records(CONFIG_STREAM, page.records)
    assert two.state(CONFIG_STREAM) is old
    faulty_log.down = False
    paused_clock.advance(5.0)
    assert two.state(CONFIG_STREAM) == one.state(CONFIG_STREAM)


def test_the_head_age_counts_from_the_time_of_the_request(
    start_followers, log, paused_clock
):
    (one,) = start_followers("entry-1")
    paused_clock.advance(60.0)
    assert one.head_age_s(CONFIG_STREAM) <= 1.0
    answers = []
    log.log.read_heads = lambda streams, done: answers.append(done)
    log.read_heads = log.log.read_heads
    paused_clock.advance(5.0)
    log.silent = True
    answers[0](Ok({CONFIG_STREAM: 0, CONTROL: 0}))
    assert 4.0 <= one.head_age_s(CONFIG_STREAM) <= 6.0
    log.log.put(CONFIG_STREAM, b"x")
    paused_clock.advance(20.0)
    answers[-1](Ok({CONFIG_STREAM: 1}))
    assert one.head_age_s(CONFIG_STREAM) > 20.0  # the new head is not folded


def test_a_log_that_lost_records_never_rolls_the_state_back(
    start_followers, paused_clock
):
    (one,) = start_followers("entry-1")
    propose_items(one, change(deployment()))
    paused_clock.advance(0.1)
    before = one.state(CONFIG_STREAM)
    one._tails[CONFIG_STREAM]._log = MemoryLog(clock=paused_clock)
    paused_clock.advance(30.0)
    assert one.state(CONFIG_STREAM) is before
    assert len(alarms(one)) == 1


@pytest.fixture
def standin(loops):
    """Return the loop and the log stand-in that runs in it."""
    return loops(
        lambda clock: LogStandin(name="log", bind=("127.0.0.1", 0), clock=clock)
    )


@pytest.fixture
def start_http_followers(loops, standin):
    """Return a function that builds followers of the stand-in in their own loop."""

    def start(name="entry-1", **options):
        clients = []

        def client(clock):
            clients.append(HttpClient(clock=clock))
            return clients[0]

        def followers(clock):
            log = HttpLog(client=clients[0], address=standin[1].address, clock=clock)
            return build_followers(log, clock, name, long_poll_s=1.0, **options)

        loop, _, http_followers = loops(client, followers)
        loop.call(lambda: http_followers.follow(CONFIG_STREAM))
        return loop, http_followers

    return start


def propose_and_wait(loop, followers, *items):
    """Propose items in the loop of the followers and return the result."""
    results = []
    loop.call(lambda: followers.propose(CONFIG_STREAM, items, results.append))
    return wait_until(lambda: results)[0]


@pytest.mark.parametrize(
    "faults",
    [
        {"lose_answers": True},
        {"append_twice": True},
        {"late_effect_s": 0.2},
        {"delay_s": 0.05},
        {"appends_per_s": 2.0},
    ],
    ids=lambda faults: next(iter(faults)),
)
def test_each_change_takes_effect_once_under_log_faults(
    start_http_followers, standin, faults
):
    loop, followers = start_http_followers()
    standin[0].call(lambda: standin[1].set_faults(**faults))
    for name in ("a", "b", "c"):
        result = propose_and_wait(loop, followers, change(deployment(name)))
        assert isinstance(result, Ok) and result.ok_value[0].accepted
    standin[0].call(lambda: standin[1].set_faults(lose_answers=False))
    state = loop.call(lambda: followers.state(CONFIG_STREAM))
    assert sorted(state.deployments()) == ["a", "b", "c"]


@pytest.mark.parametrize("fault", ["down", "refuse", "paused"])
def test_an_outage_is_reported_and_later_changes_succeed(
    start_http_followers, standin, fault
):
    loop, followers = start_http_followers(proposal_timeout_s=1.0)
    assert isinstance(propose_and_wait(loop, followers, change(deployment("a"))), Ok)
    standin[0].call(lambda: standin[1].set_faults(**{fault: True}))
    result = propose_and_wait(loop, followers, change(deployment("b")))
    assert isinstance(result, Err)
    # Only a refusal proves that the append was not run.
    expected_outcome = Outcome.NOT_RUN if fault == "refuse" else Outcome.UNKNOWN
    assert result.err_value.outcome is expected_outcome
    standin[0].call(lambda: standin[1].set_faults(**{fault: False}))
    assert isinstance(propose_and_wait(loop, followers, change(deployment("c"))), Ok)
