"""Instances that ask for rest, or say that they leave, are left alone."""

import msgspec
import pytest

from citronpin.basics.ids import InstanceId
from citronpin.gateway.rests import MAX_REST_S, InstanceRests
from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.crashes import CrashWorld
from citronpin.tests.platforms.rests import check_leaving, check_rests

STEP_S = 0.01


@pytest.fixture
def world(paused_clock):
    world = CrashWorld(clock=paused_clock, entries=3, replicas=12, books=4)
    paused_clock.advance(1.0)
    return world


def send_mix(world):
    """Send a stream or a read to a random entry and return the reply."""
    entry = world.rng.choice(world.entries)
    if world.rng.random() < 0.7:
        return world.send(f"a{world.rng.randrange(5)}", entry=entry)
    kind, method = world.rng.choice([("look-up", "GET"), ("swap", "POST")])
    return entry.send(f"/{kind}/1", method, b"")


def serve(world, seconds, per_s=150):
    """Send requests at an even rate and return the replies."""
    replies = []
    for step in range(round(seconds / STEP_S)):
        if int((step + 1) * STEP_S * per_s) > int(step * STEP_S * per_s):
            replies.append(send_mix(world))
        world.clock.advance(STEP_S)
    return replies


@pytest.mark.parametrize("rest, share", [("1.5", 1.0), ("3", 0.5), ("3", 1.0)])
def test_instances_that_ask_for_rest_get_no_more_requests(world, rest, share):
    # Incident second1: a server got 3 and 4 requests of one entry within 3 s of rest.
    serve(world, 1.0)
    replicas = world.all_replicas()
    for replica in replicas[:: round(1 / share)]:
        replica.rest = rest
    serve(world, 6.0)
    check_rests(replicas)


def test_a_rest_of_more_than_a_minute_is_obeyed(world):
    # Guards against a bound on rests that is shorter than those that instances ask for.
    replica = world.books["b0"]
    replica.rest = "90"
    serve(world, 1.0)
    assert replica.rested
    replica.rest = None
    for _ in range(8):
        world.clock.advance(10.0)
        serve(world, 1.0)
    check_rests([replica])
    count = len(replica.arrivals)
    world.clock.advance(3.0)
    serve(world, 1.0)
    assert len(replica.arrivals) > count  # the rests of all entries are over


def test_callers_return_within_a_minute_though_all_instances_rest_for_longer(world):
    # Until then, an instance may start anew or another entry serve the request.
    for replica in world.books.values():
        replica.rest = "900"
    serve(world, 1.0)
    reply = world.entries[0].send("/look-up/1", "GET", b"")
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert 60.0 <= float(reply.headers["retry-after"]) <= 61.0


def test_an_instance_that_says_that_it_leaves_gets_no_more_requests(world):
    # Its registration still says that it is ready.
    serve(world, 1.0)
    leaving = [world.replicas["e0"], world.books["b0"]]
    for replica in leaving:
        replica.is_leaving = True
    serve(world, 6.0)
    assert all(replica.left_s for replica in leaving)
    check_leaving(leaving)


def test_the_check_of_rests_detects_entries_that_ignore_them(world, monkeypatch):
    monkeypatch.setattr(InstanceRests, "wait_s", lambda self, instance: 0.0)
    for replica in world.all_replicas():
        replica.rest = "3"
    serve(world, 5.0)
    with pytest.raises(AssertionError):
        check_rests(world.all_replicas())


def test_the_check_of_leaving_detects_entries_that_ignore_it(world, monkeypatch):
    for entry in world.entries:
        monkeypatch.setattr(entry.fleet, "set_leaving", lambda instance, born_ms: False)
    world.replicas["e0"].is_leaving = True
    serve(world, 6.0)
    with pytest.raises(AssertionError):
        check_leaving([world.replicas["e0"]])


def test_when_all_rest_requests_are_refused_until_the_first_end(world):
    entry = world.entries[0]
    for replica in world.books.values():
        replica.rest = "2"
    for _ in range(12):
        entry.send("/look-up/1", "GET", b"")
        world.clock.advance(0.02)
    known = [entry.fleet.get(InstanceId(name)) for name in world.books]
    first_s = min(map(entry.rests.wait_s, known))
    assert first_s > 1.0
    replies = [entry.send("/look-up/1", "GET", b"") for _ in range(50)]
    waits_s = [float(reply.headers["retry-after"]) for reply in replies]
    assert {(reply.status, reply.outcome) for reply in replies} == {(503, "not-run")}
    assert min(waits_s) >= first_s - 0.01
    assert max(waits_s) - min(waits_s) > 0.5  # callers come back one after the other


def test_callers_are_served_where_instances_do_not_rest(world):
    for name in ("e0", "e1", "e2", "b0", "b1"):
        (world.replicas | world.books)[name].rest = "3"
    serve(world, 1.0)
    replies = serve(world, 2.0, per_s=60)
    world.clock.advance(2.0)
    assert sum(reply.status == 200 for reply in replies) >= 0.98 * len(replies)


def test_streams_of_an_instance_that_leaves_end_in_peace(world):
    replica = world.replicas["e0"]
    replica.is_leaving = True
    for _ in range(40):
        world.send(entry=world.entries[0])
    world.clock.advance(0.3)
    running = list(replica.running)
    assert running
    world.clock.advance(2.0)
    assert not any(exchange.cancelled for exchange in running)


def test_all_entries_hear_that_an_instance_leaves(world):
    entry = world.entries[0]
    world.replicas["e0"].is_leaving = True
    while not world.replicas["e0"].left_s:
        world.send(entry=entry)
        world.clock.advance(0.05)
    world.clock.advance(0.4)
    known = [one.fleet.get(InstanceId("e0")) for one in world.entries]
    assert all(instance.draining for instance in known)


def test_an_older_registration_does_not_undo_leaving_but_a_new_life_does(world):
    fleet = world.entries[0].fleet
    known = fleet.get(InstanceId("e0"))
    fleet.set_leaving(known.id, known.born_ms)
    fleet.register(known, now_s=world.clock.now())
    assert fleet.get(known.id).draining
    reborn = msgspec.structs.replace(known, born_ms=known.born_ms + 1)
    fleet.register(reborn, now_s=world.clock.now())
    assert not fleet.get(known.id).draining
    assert not fleet.set_leaving(known.id, known.born_ms)
    assert not fleet.get(known.id).draining


def test_leaving_outlasts_a_registration_that_is_missing_for_a_while(world):
    fleet = world.entries[0].fleet
    known = fleet.get(InstanceId("e0"))
    fleet.set_leaving(known.id, known.born_ms)
    fleet.deregister(known.id, now_s=world.clock.now())
    assert fleet.get(known.id) is None
    fleet.register(known, now_s=world.clock.now())
    assert fleet.get(known.id).draining


@pytest.fixture
def instance(world):
    return world.entries[0].fleet.get(InstanceId("b0"))


@pytest.mark.parametrize(
    "value, rest_s",
    [
        ("1.5", 1.5),
        ("0", 0.0),
        ("-3", 0.0),
        ("", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("900", 900.0),
        ("1e300", MAX_REST_S),
        ("Fri, 04 Dec 2026 13:26:28 GMT", 0.0),
    ],
)
def test_a_time_of_rest_is_read_and_bounded(world, instance, value, rest_s):
    replica = world.books["b0"]
    replica.rest = value
    entry = world.entries[0]
    for _ in range(20):
        entry.send("/look-up/1", "GET", b"")
        world.clock.advance(0.05)
        if replica.rested:
            break
    elapsed_s = world.clock.now() - replica.rested[0][0]
    assert entry.rests.wait_s(instance) == pytest.approx(
        max(rest_s - elapsed_s, 0.0), abs=0.1
    )


def test_of_several_rests_the_latest_end_holds(world, instance):
    rests = world.entries[0].rests
    rests.record(instance, rest_s=3.0)
    rests.record(instance, rest_s=1.0)
    assert rests.wait_s(instance) == 3.0
    world.clock.advance(2.0)
    rests.record(instance, rest_s=2.0)
    assert rests.wait_s(instance) == 2.0


def test_a_new_life_knows_nothing_of_the_rest_of_the_last_one(world, instance):
    rests = world.entries[0].rests
    rests.record(instance, rest_s=3.0)
    reborn = msgspec.structs.replace(instance, born_ms=instance.born_ms + 1)
    assert rests.wait_s(reborn) == 0.0


def test_after_a_rest_the_load_comes_back_by_and_by(world, instance):
    rests = world.entries[0].rests
    rests.record(instance, rest_s=1.0)
    world.clock.advance(1.1)
    costs = []
    for _ in range(5):
        costs.append(rests.load_cost(instance))
        world.clock.advance(0.6)
    assert costs[0] > 2.0 and sorted(costs, reverse=True) == costs and costs[-1] == 0.0


def test_a_refusal_that_names_a_rest_is_no_failure_of_the_instance(world, instance):
    entry = world.entries[0]
    world.books["b0"].rest = "1"
    for _ in range(20):
        entry.send("/look-up/1", "GET", b"")
        world.clock.advance(0.05)
    assert entry.rests.wait_s(instance) > 0.0
    assert entry.suspects.load_penalty(instance.id) == 0.0
    assert not entry.suspects.is_avoided(instance.id, now_s=world.clock.now())


def test_no_request_is_sent_to_an_instance_that_asked_for_rest_meanwhile(world):
    # A request waits for a permit when the answer to another one comes.
    entry = world.entries[0]
    waiting = []
    entry.permits.acquire = lambda instance, done: waiting.append((instance, done))
    entry.send("/look-up/1", "GET", b"")
    (chosen, done), *_ = waiting
    entry.rests.record(chosen, rest_s=2.0)
    count = len(entry.client.sent)
    done(True)
    assert len(entry.client.sent) == count
    assert waiting[-1][0].id != chosen.id


def test_the_rest_is_in_the_line_of_a_request(world, caplog):
    for replica in world.books.values():
        replica.rest = "2"
    entry = world.entries[0]
    with caplog.at_level("INFO"):
        for _ in range(12):
            entry.send("/look-up/1", "GET", b"", **{HEADERS.attempt: "a-last"})
            world.clock.advance(0.05)
    last = [record for record in caplog.records if record.message == "request"][-1]
    assert last.reason.startswith("all instances rest")
    assert {row["reason"] for row in last.limits} == {"resting"}
