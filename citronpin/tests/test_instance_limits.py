"""Tests of the limits that instances name, over all entries that send to them."""

import pytest

from citronpin.basics.ids import InstanceId
from citronpin.gateway.permits import UnlimitedPermits
from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.crashes import CrashWorld
from citronpin.tests.platforms.limits import (
    STABILITY_WINDOW_S,
    check_limit,
    count_excess,
    limit_instances,
)
from citronpin.tests.platforms.requests import FrontHarness, instance_headers

RATE = 1.6
SOUND_PER_S = 90


def limited_world(clock, entries=9, permits=None, seed=1, **options):
    """Return a world whose entries have served requests for two seconds."""
    world = CrashWorld(clock=clock, entries=entries, seed=seed, **options)
    for entry in world.entries:
        entry.context.permits = permits or entry.permits
    world.run(2.0, sound_per_s=SOUND_PER_S)
    return world


def run_limited(world, seconds=12.0, share=0.7, rate=RATE):
    """Let a share of the instances name a limit while requests come."""
    replicas = list(world.replicas.values())
    limited = replicas[: round(share * len(replicas))]
    limit_instances(limited, rate)
    world.run(seconds, sound_per_s=SOUND_PER_S)
    return limited


@pytest.mark.parametrize(
    "seed, entries, rate", [(1, 3, 1.6), (2, 9, 1.6), (3, 9, 4.0), (4, 24, 1.0)]
)
def test_instances_get_no_more_requests_than_they_name(
    paused_clock, seed, entries, rate
):
    world = limited_world(paused_clock, entries=entries, seed=seed, replicas=20)
    limited = run_limited(world, rate=rate)
    for replica in limited:
        check_limit(replica, rate)
    assert world.served_share(paused_clock.now() - 6.0) > 0.95


@pytest.mark.parametrize("entries", [3, 9, 24])
def test_instances_get_most_of_what_they_take_when_others_are_full(
    paused_clock, entries
):
    world = limited_world(paused_clock, entries=entries, replicas=10)
    limited = run_limited(world, 4.0)
    start_s = paused_clock.now()
    world.run(8.0, sound_per_s=SOUND_PER_S)
    for replica in limited:
        check_limit(replica, RATE)
    count = sum(at_s > start_s for replica in limited for at_s, _ in replica.arrivals)
    used_share = count / (len(limited) * RATE * 8.0)
    assert used_share > 0.75, f"{used_share:.2f} of what they take"


def test_check_of_limits_detects_that_nothing_reads_them(paused_clock):
    world = limited_world(paused_clock, permits=UnlimitedPermits(), replicas=14)
    limited = run_limited(world)
    with pytest.raises(AssertionError, match="requests in 4 s"):
        for replica in limited:
            check_limit(replica, RATE)


@pytest.mark.parametrize("entries", [3, 9, 24])
def test_requests_that_no_instance_may_take_are_refused_at_once(paused_clock, entries):
    world = limited_world(paused_clock, entries=entries, books=3)
    limit_instances(world.books.values(), RATE)
    replies = []
    for step in range(120):
        path = "/look-up/1" if step % 3 else "/swap/1"
        replies.append(world.rng.choice(world.entries).send(path))
        paused_clock.advance(0.1)
    paused_clock.advance(0.5)
    for replica in world.books.values():
        check_limit(replica, RATE)
    late = replies[40:]
    served = [reply for reply in late if reply.status == 200]
    assert len(served) >= 0.7 * 3 * RATE * 8.0, "the allowed part is not used"
    refused = [reply for reply in late if reply.status == 503]
    assert len(served) + len(refused) == len(late)
    for reply in refused:
        assert reply.outcome == "not-run"
        assert 0.0 < float(reply.headers["retry-after"]) <= 5.0 / 3


def test_retries_and_resumed_streams_count_within_the_limit(paused_clock):
    world = limited_world(paused_clock, replicas=6)
    replicas = list(world.replicas.values())
    limit_instances(replicas, RATE)
    for _ in range(10):
        world.run(0.5, sound_per_s=SOUND_PER_S)
        crashed = world.rng.choice(replicas)
        crashed.crash()
        crashed.named_s.clear()  # the limit of a new life is to be learned anew
        crashed.arrivals.clear()
    for replica in replicas:
        check_limit(replica, RATE)


def test_load_is_back_within_seconds_after_a_limit_and_not_at_once(paused_clock):
    world = limited_world(paused_clock, replicas=14)
    limited = run_limited(world)
    limit_instances(limited, None)
    end_s = paused_clock.now()
    world.run(6.0, sound_per_s=SOUND_PER_S)
    for entry in world.entries:
        assert not entry.limits.current()
    usual = SOUND_PER_S / len(world.replicas)
    for replica in limited:
        arrivals = [at_s for at_s, _ in replica.arrivals if at_s > end_s]
        first = sum(at_s <= end_s + 1.0 for at_s in arrivals)
        last = sum(at_s > end_s + 4.0 for at_s in arrivals)
        assert first <= 2 * usual, f"{first} requests in the first second"
        assert last >= 0.5 * 2 * usual, f"{last} requests after the fourth second"


def test_entry_that_hears_nobody_does_not_take_the_part_of_all(paused_clock):
    world = limited_world(paused_clock, replicas=4)
    limited = run_limited(world, 3.0, share=1.0)
    lonely = world.entries[0]
    for entry in world.entries[1:]:
        world.network.isolate(f"tcp://{lonely.name}")
    paused_clock.advance(2.0)
    start_s = paused_clock.now()
    for _ in range(80):
        world.send("c0ffee", entry=lonely)
        paused_clock.advance(0.05)
    for replica in limited:
        sent = [
            at_s
            for at_s, client in replica.arrivals
            if at_s > start_s and client is lonely.client
        ]
        assert len(sent) <= 3, f"{len(sent)} requests of an entry that hears nobody"


def test_entry_that_was_frozen_keeps_to_the_limit_when_it_is_back(paused_clock):
    world = limited_world(paused_clock, replicas=6)
    limited = run_limited(world, 4.0, share=1.0)
    address = f"tcp://{world.entries[2].name}"
    world.network.paused_addresses.add(address)
    world.run(4.0, sound_per_s=SOUND_PER_S)
    world.network.resume(address)
    world.run(4.0, sound_per_s=SOUND_PER_S)
    for replica in limited:
        check_limit(replica, RATE)


def test_entry_that_starts_learns_the_limits_from_others(paused_clock):
    world = limited_world(paused_clock, replicas=4)
    run_limited(world, 3.0, share=1.0)
    late = world.start_entry()
    paused_clock.advance(1.2)
    assert len(late.limits.current()) == 4


@pytest.fixture
def front(paused_clock):
    return FrontHarness(clock=paused_clock, books=1)


def answer(front, clock, limit=None, delay_s=0.0):
    """Let the plain service answer once with a limit."""

    def script(exchange):
        headers = {} if limit is None else {HEADERS.request_limit: limit}
        clock.call_later(
            delay_s,
            lambda: exchange.answer(200, b"{}", instance_headers(exchange, **headers)),
        )

    front.scripts["b0"] = script
    return front.send("/look-up/1")


def rate_of(front):
    return front.limits.rate(front.fleet.get(InstanceId("b0")))


@pytest.mark.parametrize(
    "text, rate",
    [("1.6", 1.6), ("0", 0.0), ("-1", None), ("nan", None), ("inf", None), ("x", None)],
)
def test_limit_is_a_decimal_number(front, paused_clock, text, rate):
    answer(front, paused_clock, text)
    paused_clock.advance(0.1)
    assert rate_of(front) == rate


def test_answer_from_before_the_limit_does_not_end_it(front, paused_clock):
    answer(front, paused_clock, None, delay_s=0.5)
    paused_clock.advance(0.1)
    answer(front, paused_clock, "5")
    paused_clock.advance(0.6)
    assert rate_of(front) == 5.0
    paused_clock.advance(1.0)
    answer(front, paused_clock, None)
    paused_clock.advance(0.1)
    assert rate_of(front) is None


def test_limit_follows_the_latest_answer(front, paused_clock):
    for text in ("5", "8", "2.5"):
        answer(front, paused_clock, text)
        paused_clock.advance(1.0)
        assert rate_of(front) == float(text)


def test_instance_without_requests_is_asked_again_whether_its_limit_holds(
    front, paused_clock
):
    answer(front, paused_clock, "0")
    paused_clock.advance(0.1)
    assert answer(front, paused_clock, None).status == 503
    paused_clock.advance(6.0)
    reply = answer(front, paused_clock, None)
    paused_clock.advance(0.1)
    assert reply.status == 200 and rate_of(front) is None


def test_refused_request_tells_in_the_log_which_limit_decided(
    front, paused_clock, caplog
):
    caplog.set_level("INFO")
    answer(front, paused_clock, "1")
    paused_clock.advance(0.1)
    answer(front, paused_clock, "1")
    paused_clock.advance(0.1)
    line = caplog.records[-1]
    assert "request limits" in line.reason
    assert line.limits[0]["rate"] == 1.0 and line.limits[0]["source"] == "own answer"


def test_excess_is_counted_only_from_entries_that_were_told():
    told_s = {"a": 0.0, "b": 10.0}
    arrivals = [(5.0 + 0.1 * n, "a") for n in range(20)]
    assert count_excess(arrivals, told_s, RATE) > 0
    assert count_excess([(at_s, "b") for at_s, _ in arrivals], told_s, RATE) == 0
    early = [(at_s - STABILITY_WINDOW_S, "a") for at_s, _ in arrivals]
    assert count_excess(early, told_s, RATE) == 0
