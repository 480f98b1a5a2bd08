"""Requests that an entry without a path to an instance passes on to another entry."""

import pytest

from citronpin.gateway.exchanges import MAX_ASKING_S
from citronpin.gateway.forward_codecs import (
    FORWARDED_HEADER,
    REFUSAL_HEADER,
    ForwardCodec,
)
from citronpin.gateway.forward_peers import DECLINED_S
from citronpin.gateway.fronts import ForwardHandler
from citronpin.gateway.reachabilities import HEARD_S, PROOF_TIMEOUT_S
from citronpin.platform.names import HEADERS
from citronpin.platform.orders import REPORT_PATH
from citronpin.tests.platforms.crashes import LAST_EVENT, CrashWorld
from citronpin.tests.platforms.cuts import Cut, cut_off, heal, is_served
from citronpin.tests.platforms.requests import instance_headers, whole_stream

KNOWN_AFTER_S = 1.5  # an entry with traffic knows by then that it is cut off
FORWARD_TIME_S = 0.2


@pytest.fixture
def world(paused_clock):
    world = CrashWorld(clock=paused_clock, entries=4, replicas=6, books=3)
    paused_clock.advance(1.0)
    return world


def cut_and_notice(world, *entries, how=Cut.HANG, replicas=None):
    """Cut entries off and send them requests until they know it."""
    for entry in entries:
        cut_off(entry, replicas or world.all_replicas(), how)
    for entry in entries:
        send_read(entry)
        world.send(entry=entry)
    world.clock.advance(KNOWN_AFTER_S)
    for entry in entries:
        assert entry.reach.cut_off_services()


def send_read(entry):
    return entry.send("/look-up/1", "GET", b"", **{HEADERS.model: None})


def send_swap(entry):
    return entry.send("/swap/1", **{HEADERS.model: None})


def forwarded(entry):
    """Return the requests that an entry passed on."""
    return [one for one in entry.client.sent if FORWARDED_HEADER in one.headers]


def sent_to_instances(entry):
    """Return the requests that an entry sent to instances, without its probes."""
    return [one for one in entry.sent_requests() if FORWARDED_HEADER not in one.headers]


def test_a_stream_through_another_entry_arrives_whole(world):
    cut_and_notice(world, world.entries[0])
    reply = world.send(entry=world.entries[0])
    world.clock.advance(2.0)
    assert is_served(reply)
    assert reply.body == whole_stream(LAST_EVENT)
    assert reply.headers[HEADERS.digest]


def test_another_entry_gets_the_request_without_the_key_and_with_the_time_left(world):
    entry = world.entries[0]
    cut_and_notice(world, entry)
    before = [len(sent_to_instances(other)) for other in world.entries]
    reply = send_swap(entry)
    world.clock.advance(FORWARD_TIME_S)
    assert is_served(reply)
    passed_on = forwarded(entry)[-1]
    assert HEADERS.key not in passed_on.headers
    (sent,) = [
        one
        for other, count in zip(world.entries, before)
        for one in sent_to_instances(other)[count:]
    ]
    assert sent.headers[HEADERS.customer] == "odori"
    assert sent.headers[HEADERS.attempt] == passed_on.headers[HEADERS.attempt]
    assert int(sent.headers[HEADERS.deadline_ms]) <= 800
    assert FORWARDED_HEADER not in sent.headers


def test_a_stream_that_the_cut_stalls_goes_on_through_another_entry(world):
    entry = world.entries[0]
    replies = [world.send(entry=entry) for _ in range(4)]
    world.clock.advance(0.35)
    cut_off(entry, world.all_replicas(), Cut.HANG)
    world.clock.advance(2.5)
    assert [reply.body for reply in replies] == [whole_stream(LAST_EVENT)] * 4


@pytest.mark.parametrize("how", [Cut.HANG, Cut.RESET])
def test_an_unsafe_request_that_may_have_run_is_not_passed_on(world, how):
    entry = world.entries[0]
    reply = send_swap(entry)
    world.clock.advance(0.05)
    cut_off(entry, world.all_replicas(), how)
    world.clock.advance(2.0)
    assert not forwarded(entry)
    assert reply.status in (502, 504) and reply.outcome == "unknown"


def test_an_unsafe_request_whose_answer_another_entry_lost_is_not_sent_again(world):
    entry = world.entries[0]
    cut_and_notice(world, entry)
    before = len(forwarded(entry))
    reply = send_swap(entry)
    world.clock.advance(0.05)
    for replica in world.books.values():
        replica.crash()
    world.clock.advance(1.0)
    assert len(forwarded(entry)) == before + 1
    assert (reply.status, reply.outcome) == (502, "unknown")


def test_a_caller_that_leaves_ends_the_work_behind_another_entry(world):
    entry = world.entries[0]
    cut_and_notice(world, entry)
    reply = world.send(entry=entry)
    world.clock.advance(FORWARD_TIME_S)
    assert any(replica.running for replica in world.replicas.values())
    reply.leave()
    world.clock.advance(0.1)
    running = [x for replica in world.replicas.values() for x in replica.running]
    assert all(exchange.ended for exchange in running)


def test_without_any_entry_that_reaches_an_instance_requests_are_refused_at_once(world):
    cut_and_notice(world, *world.entries)
    reply = send_swap(world.entries[0])
    world.clock.advance(0.02)
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert float(reply.headers["retry-after"]) > 0


def test_a_request_is_refused_soon_where_no_entry_knows_that_it_is_cut_off(world):
    # Each entry takes 0.25 s to find that it cannot prove its path.
    for _ in range(10):
        world.start_entry()
    entry = world.entries[0]
    cut_and_notice(world, entry)
    for other in world.entries[1:]:
        cut_off(other, world.all_replicas(), Cut.MUTE)
    world.clock.advance(HEARD_S)
    reply = world.send(entry=entry)
    world.clock.advance(MAX_ASKING_S + PROOF_TIMEOUT_S + 0.05)
    assert (reply.status, reply.outcome) == (503, "not-run")


def test_attempts_through_other_entries_are_counted_by_result(world):
    cut_and_notice(world, *world.entries[:3])
    entry = world.entries[0]
    text = entry.metrics.text().decode()
    assert 'citronpin_forwards_total{result="taken",target="book"}' not in text
    world.entries[3].forwarded.stop()
    send_read(entry)
    world.clock.advance(FORWARD_TIME_S)
    text = entry.metrics.text().decode()
    assert 'citronpin_forwards_total{result="stopping",target="book"} 1.0' in text


def test_a_request_is_passed_on_once_at_most(world):
    cut_and_notice(world, *world.entries)
    replies = [send_swap(entry) for entry in world.entries for _ in range(5)]
    world.clock.advance(1.0)
    for exchange in (one for entry in world.entries for one in forwarded(entry)):
        sender = exchange.client
        assert exchange.address != sender
    assert {reply.status for reply in replies} == {503}


@pytest.mark.parametrize("fault", ["key", "attempt", "missing"])
def test_a_request_that_no_entry_passed_on_is_rejected(world, fault):
    entry, other = world.entries[:2]
    cut_and_notice(world, entry)
    send_swap(entry)
    exchange = forwarded(entry)[-1]
    other.client.sent.clear()
    if fault == "key":
        stranger = ForwardCodec(entry=entry.name)
        stranger.set_key(b"another")
        _, message = other.forward_codec.decode(
            exchange.headers[FORWARDED_HEADER]
        ).unwrap()
        exchange.headers[FORWARDED_HEADER] = stranger.encode(message)
    elif fault == "attempt":
        exchange.headers[HEADERS.attempt] = "another"
    else:
        del exchange.headers[FORWARDED_HEADER]
    other.take_forwarded(exchange)
    world.clock.advance(0.05)
    assert not other.client.sent


def test_an_instance_cannot_refuse_in_the_name_of_an_entry(world):
    for replica in world.books.values():
        replica.handle = lambda exchange: exchange.answer(
            200, b"{}", instance_headers(exchange, **{REFUSAL_HEADER: "no-place"})
        )
    for entry in world.entries:
        entry.scripts |= {name: one.handle for name, one in world.books.items()}
    reply = send_read(world.entries[0])
    world.clock.advance(FORWARD_TIME_S)
    assert is_served(reply) and REFUSAL_HEADER not in reply.headers


def test_slow_instances_behind_another_entry_do_not_make_it_unusable(world):
    # Soak seed 2204: both other entries were left out after answers had stalled.
    entry = world.entries[0]
    cut_and_notice(world, entry)
    for replica in world.replicas.values():
        replica.delay_s = 2.5
    for _ in range(6):
        world.send(entry=entry)
    world.clock.advance(1.8)
    reply = send_read(entry)
    world.clock.advance(FORWARD_TIME_S)
    assert is_served(reply)


def test_an_entry_bounds_what_it_takes_for_others(world, monkeypatch):
    monkeypatch.setattr(ForwardHandler, "MAX_FORWARDED_REQUESTS", 2)
    cut_and_notice(world, world.entries[0])
    replies = [world.send(entry=world.entries[0]) for _ in range(9)]
    world.clock.advance(0.1)
    counts = [
        sum(exchange.is_forwarded for exchange in entry.context.open_exchanges)
        for entry in world.entries[1:]
    ]
    assert counts == [2, 2, 2]
    world.clock.advance(2.0)
    assert [reply.status for reply in replies].count(200) == 6
    assert [reply.status for reply in replies].count(503) == 3


def test_an_entry_that_stops_leaves_requests_to_others(world):
    cut_and_notice(world, world.entries[0])
    for entry in world.entries[1:3]:
        entry.forwarded.stop()
    replies = [send_read(world.entries[0]) for _ in range(6)]
    world.clock.advance(FORWARD_TIME_S)
    assert all(map(is_served, replies))


def test_an_entry_that_lost_its_path_too_leaves_requests_to_others(world):
    cut_and_notice(world, *world.entries[:3])
    replies = [send_read(world.entries[0]) for _ in range(6)]
    world.clock.advance(FORWARD_TIME_S)
    assert all(map(is_served, replies))


def test_an_entry_that_declines_names_one_that_takes_requests(world):
    cut_and_notice(world, *world.entries[:3])
    asking, asked, _, sound = world.entries
    peers = {peer.name: peer for peer in asking.forward_peers._peers}
    asking.forward_peers.set_peers([peers[asked.name]])
    asked.forward_peers.taken(sound.name, "book")
    asked.is_cut_off = True  # and tells nobody that it reaches no instance
    world.clock.advance(DECLINED_S)
    reply = send_read(asking)
    world.clock.advance(FORWARD_TIME_S)
    assert reply.status == 503
    asking.forward_peers.set_peers([peers[sound.name]])
    assert asking.forward_peers.sample_next_hops("book") == [sound.name]


@pytest.mark.parametrize("how", [Cut.HANG, Cut.MUTE, Cut.RESET])
def test_an_entry_that_lost_its_path_unawares_takes_no_unsafe_request(world, how):
    # Entries with few callers noticed only by requests of others, which were lost.
    cut_and_notice(world, world.entries[0])
    for entry in world.entries[1:3]:
        cut_off(entry, world.all_replicas(), how)
    world.clock.advance(HEARD_S)
    replies = [send_swap(world.entries[0]) for _ in range(9)]
    world.clock.advance(1.0)
    assert all(map(is_served, replies))


def test_a_caller_that_leaves_while_a_path_is_proved_starts_no_work(world):
    cut_and_notice(world, world.entries[0])
    for entry in world.entries[1:]:
        entry.probe_delay_s = 0.1
    world.clock.advance(HEARD_S)
    reply = send_swap(world.entries[0])
    world.clock.advance(0.05)
    reply.leave()
    runs = sum(world.runs.values())
    world.clock.advance(1.0)
    assert sum(world.runs.values()) == runs


def test_a_fault_after_a_proof_ends_the_request_it_befell(world, monkeypatch):
    cut_and_notice(world, world.entries[0])
    for entry in world.entries[1:]:
        monkeypatch.setattr(entry.forwarded, "_start", lambda arrival: 1 / 0)
    world.clock.advance(HEARD_S)
    reply = send_swap(world.entries[0])
    with pytest.raises(ZeroDivisionError):
        world.clock.advance(FORWARD_TIME_S)
    world.clock.advance(FORWARD_TIME_S)
    assert (reply.status, reply.outcome) == (502, "unknown")


def test_a_cut_raises_doubts_of_services_without_requests(world):
    entry = world.entries[0]
    cut_off(entry, world.all_replicas(), Cut.HANG)
    world.clock.advance(HEARD_S)
    world.send(entry=entry)
    world.clock.advance(KNOWN_AFTER_S)
    assert set(entry.reach.cut_off_services()) == {"engines", "book"}


def test_an_entry_that_boots_cut_off_serves_through_others(world):
    entry = world.start_entry()
    cut_off(entry, world.all_replicas(), Cut.HANG)
    first = send_read(entry)
    world.clock.advance(KNOWN_AFTER_S)
    assert first.status is not None
    reply = send_read(entry)
    world.clock.advance(FORWARD_TIME_S)
    assert is_served(reply)


def test_only_the_service_out_of_reach_is_served_through_others(world):
    entry = world.entries[0]
    cut_and_notice(world, entry, replicas=list(world.books.values()))
    count = len(forwarded(entry))
    stream, read = world.send(entry=entry), send_read(entry)
    world.clock.advance(2.0)
    assert is_served(stream) and is_served(read)
    assert len(forwarded(entry)) == count + 1


def test_after_a_cut_requests_go_to_instances_at_once(world):
    entry = world.entries[0]
    cut_and_notice(world, entry)
    heal(entry)
    world.clock.advance(0.5)
    count = len(forwarded(entry))
    replies = [send_read(entry), send_swap(entry), world.send(entry=entry)]
    world.clock.advance(1.0)
    assert all(map(is_served, replies))
    assert len(forwarded(entry)) == count


def test_probes_stay_bounded_while_a_path_comes_and_goes(world):
    entry = world.entries[0]
    cut_and_notice(world, entry, how=Cut.RESET)
    for _ in range(5):
        heal(entry)
        while entry.reach.cut_off_services():
            world.clock.advance(0.01)
        cut_off(entry, world.all_replicas(), Cut.RESET)
        world.clock.advance(0.6)
        send_read(entry)
        world.clock.advance(0.6)
    assert "book" in entry.reach.cut_off_services()
    count = len(entry.client.sent)
    world.clock.advance(2.0)
    probes = [one for one in entry.client.sent[count:] if one.target == REPORT_PATH]
    services = len(entry.reach.cut_off_services())
    assert 0 < len(probes) <= services * 2 * (2.0 / 0.25 + 1)


def test_one_silent_instance_is_no_cut(world):
    entry = world.entries[0]
    cut_off(entry, [world.replicas["e0"], world.books["b0"]], Cut.HANG)
    for _ in range(40):
        world.send(entry=entry)
        send_read(entry)
        world.clock.advance(0.1)
        assert not entry.reach.cut_off_services()


@pytest.mark.parametrize("probe_delay_s", [0.0, 0.8, 1.8])
def test_a_second_of_silence_of_all_instances_is_no_cut(world, probe_delay_s):
    entry = world.entries[0]
    entry.probe_delay_s = probe_delay_s
    for _ in range(3):
        for replica in world.all_replicas():
            replica.delay_s = 1.0
        world.send(entry=entry)
        send_read(entry)
        world.clock.advance(1.2)
        assert not entry.reach.cut_off_services()


def test_a_request_counts_once_in_the_retry_budgets(world):
    cut_and_notice(world, world.entries[0])

    def counted():
        now_s = world.clock.now()
        return sum(
            entry.context.budget("book")._requests.total(now_s=now_s)
            for entry in world.entries
        )

    before = counted()
    for _ in range(10):
        send_read(world.entries[0])
    world.clock.advance(FORWARD_TIME_S)
    assert counted() == before + 10
