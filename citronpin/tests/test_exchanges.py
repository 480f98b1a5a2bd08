"""Requests through the front: placement, faults, resumption, true answers."""

import pytest

from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.requests import (
    Counter,
    Stream,
    event,
    sound,
    whole_stream,
)


@pytest.fixture
def counter(paused_clock):
    return Counter(clock=paused_clock)


def ok(exchange):
    exchange.answer(200, b"page", sound(exchange))


def silent(exchange):
    """Never answer."""


def not_run(exchange):
    echo = {HEADERS.attempt: exchange.headers[HEADERS.attempt]}
    exchange.answer(503, b"", echo | {HEADERS.not_run: "1"})


def error(exchange):
    exchange.answer(500, b"failed", sound(exchange))


def reset(exchange):
    exchange.lose()


def test_a_request_is_passed_on_with_the_headers_of_its_customer(counter):
    counter.scripts["*"] = ok
    reply = counter.send("/swap/1", x_own="kept", connection="x-gone", x_gone="no")
    counter.clock.advance(0.1)
    (sent,) = counter.client.sent
    assert (sent.method, sent.target, sent.body) == ("POST", "/swap/1", b"text")
    assert sent.host == "towers.example"
    assert sent.headers[HEADERS.customer] == "odori"
    assert sent.headers[HEADERS.expect_instance] in ("b0", "b1")
    assert sent.headers["x-own"] == "kept"
    assert not {HEADERS.key, "x-gone", "connection"} & set(sent.headers)
    assert int(sent.headers[HEADERS.deadline_ms]) <= 800
    assert (reply.status, reply.body) == (200, b"page")
    assert reply.headers[HEADERS.digest] == "3e1b.07"


def test_a_customer_header_of_the_caller_is_replaced(counter):
    counter.scripts["*"] = ok
    counter.send("/swap/1", **{HEADERS.customer: "someone-else"})
    counter.clock.advance(0.1)
    assert counter.client.sent[0].headers[HEADERS.customer] == "odori"


@pytest.mark.parametrize(
    "path, key, status",
    [("/swap/1", "wrong", 401), ("/swap/1", None, 401), ("/other/1", "key-1", 404)],
)
def test_what_the_configuration_does_not_allow_is_refused(counter, path, key, status):
    reply = counter.send(path, **{HEADERS.key: key})
    assert (reply.status, reply.outcome) == (status, "not-run")
    assert not counter.client.sent


def test_without_a_configuration_callers_are_told_to_come_back(counter):
    counter.context.table = None
    reply = counter.send("/swap/1")
    assert reply.status == 503 and float(reply.headers["retry-after"]) > 0


@pytest.mark.parametrize("fault", [reset, silent, error])
def test_an_unsafe_request_that_may_have_run_is_not_sent_again(counter, fault):
    counter.scripts["*"] = fault
    reply = counter.send("/swap/1")
    counter.clock.advance(1.0)
    assert len(counter.client.sent) == 1
    assert reply.status in (500, 502, 504)
    assert reply.status == 500 or reply.outcome == "unknown"


def test_an_unsafe_request_that_was_not_run_goes_elsewhere(counter):
    counter.scripts |= {"b0": not_run, "b1": ok}
    replies = [counter.send("/swap/1") for _ in range(4)]
    counter.clock.advance(0.2)
    assert [reply.status for reply in replies] == [200] * 4


def test_a_request_that_no_instance_ran_is_refused_as_not_run(counter):
    counter.scripts["*"] = not_run
    reply = counter.send("/swap/1")
    counter.clock.advance(0.2)
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert float(reply.headers["retry-after"]) > 0


@pytest.mark.parametrize("fault", [reset, error])
def test_a_safe_request_is_sent_once_more(counter, fault):
    first = []

    def once(exchange):
        (ok if first else fault)(exchange)
        first.append(exchange)

    counter.scripts["*"] = once
    reply = counter.send("/look-up/1", method="GET")
    counter.clock.advance(0.2)
    assert reply.status == 200 and len(counter.client.sent) == 2


def test_an_error_of_every_attempt_is_passed_on_unchanged(counter):
    counter.scripts["*"] = error
    reply = counter.send("/look-up/1", method="GET")
    counter.clock.advance(0.2)
    assert (reply.status, reply.body) == (500, b"failed")
    assert len(counter.client.sent) == 2


def test_an_answer_of_another_request_is_not_passed_on(counter):
    def foreign(exchange):
        exchange.answer(200, b"other", {HEADERS.attempt: "a9", HEADERS.digest: "1"})

    counter.scripts["*"] = foreign
    reply = counter.send("/swap/1")
    counter.clock.advance(0.2)
    assert (reply.status, reply.outcome) == (502, "unknown")


@pytest.mark.parametrize("missing", [HEADERS.digest, "encoded"])
def test_an_answer_that_is_not_the_instances_own_is_not_passed_on(counter, missing):
    def spoilt(exchange):
        headers = sound(exchange)
        headers.pop(missing, None)
        if missing == "encoded":
            headers["content-encoding"] = "gzip"
        exchange.answer(200, b"page", headers)

    counter.scripts["*"] = spoilt
    reply = counter.send("/swap/1")
    counter.clock.advance(0.2)
    assert reply.status == 502


def test_a_request_is_given_up_at_the_time_out_of_its_route(counter):
    counter.scripts["*"] = silent
    reply = counter.send("/swap/1")
    counter.clock.advance(0.79)
    assert reply.status is None
    counter.clock.advance(0.02)
    assert reply.status == 504
    assert counter.client.sent[0].cancelled


def test_work_ends_when_the_caller_leaves(counter):
    stream = Stream(clock=counter.clock, last=1000)
    counter.scripts["*"] = stream
    reply = counter.send("/draft/1")
    counter.clock.advance(0.3)
    reply.leave()
    assert stream.exchanges[0].cancelled and not counter.loads.own()


def test_events_are_passed_on_as_they_arrive(counter):
    counter.scripts["*"] = Stream(clock=counter.clock)
    reply = counter.send("/draft/1")
    counter.clock.advance(0.12)
    assert reply.body == event(0) + event(1) + event(2)
    counter.clock.advance(1.0)
    assert reply.ended and not reply.aborted and reply.body == whole_stream()


def cut_midway(exchange):
    exchange.data(b"id: 5\nda")
    exchange.lose()


@pytest.mark.parametrize("then", [reset, cut_midway, None])
def test_a_broken_stream_goes_on_elsewhere_after_its_last_event(counter, then):
    broken = Stream(clock=counter.clock, stop_after=4, then=then)
    sound_stream = Stream(clock=counter.clock)
    counter.scripts |= {"e0": broken, "*": sound_stream}
    replies = [counter.send("/draft/1") for _ in range(3)]
    counter.clock.advance(3.0)
    assert [reply.body for reply in replies] == [whole_stream()] * 3
    assert all(reply.ended and not reply.aborted for reply in replies)
    resumed = [
        e.headers[HEADERS.last_event]
        for e in sound_stream.exchanges
        if HEADERS.last_event in e.headers
    ]
    assert resumed == ["4"]


def test_a_stream_that_repeats_events_is_passed_on_without_them(counter):
    def repeats(exchange):
        exchange.head(200, sound(exchange))
        for number in (0, 1, 1, 0, 2):
            exchange.data(event(number))
        exchange.end()

    counter.scripts["*"] = repeats
    reply = counter.send("/draft/1")
    counter.clock.advance(0.1)
    assert reply.body == whole_stream(2) and reply.ended


def test_a_stream_that_cannot_go_on_does_not_look_whole(counter):
    counter.scripts["*"] = Stream(clock=counter.clock, stop_after=4, then=reset)
    reply = counter.send("/draft/1")
    counter.clock.advance(2.0)
    assert reply.aborted
    assert len(counter.client.sent) == 2  # no more than the route allows


def test_a_broken_stream_waits_shortly_for_a_place(paused_clock):
    counter = Counter(clock=paused_clock, engines=1)
    counter.scripts["e0"] = Stream(clock=paused_clock, stop_after=4, then=reset)
    reply = counter.send("/draft/1")
    paused_clock.advance(0.3)
    counter.suspects.stalled("e0", now_s=paused_clock.now())
    paused_clock.advance(0.4)
    assert not reply.ended
    counter.scripts["e9"] = Stream(clock=paused_clock)
    counter.add("e9", "engines", head=True)
    paused_clock.advance(2.0)
    assert reply.body == whole_stream() and not reply.aborted


def test_a_broken_stream_ends_when_no_place_is_found(paused_clock):
    counter = Counter(clock=paused_clock, engines=1)
    counter.scripts["e0"] = Stream(clock=paused_clock, stop_after=4, then=reset)
    reply = counter.send("/draft/1")
    paused_clock.advance(0.3)
    counter.suspects.stalled("e0", now_s=paused_clock.now())
    paused_clock.advance(2.0)
    assert reply.aborted


def test_a_gap_between_events_is_never_passed_on(counter):
    def gap(exchange):
        exchange.head(200, sound(exchange))
        exchange.data(event(0) + event(2))

    counter.scripts |= {"e0": gap, "*": Stream(clock=counter.clock)}
    replies = [counter.send("/draft/1") for _ in range(3)]
    counter.clock.advance(2.0)
    assert [reply.body for reply in replies] == [whole_stream()] * 3


def test_a_group_that_formed_anew_gets_work_at_once(paused_clock):
    counter = Counter(clock=paused_clock, engines=2)
    counter.scripts["*"] = Stream(clock=paused_clock, last=10_000)
    counter.suspects.stalled("e0", now_s=0.0)
    counter.send("/draft/1")
    counter.send("/draft/1")
    assert "e0" not in counter.loads.own()
    counter.add("e0", "engines", head=True, epoch=2)
    counter.send("/draft/1")
    assert counter.loads.own()["e0"] == 1


def test_a_slow_group_gets_less_work(counter):
    # Incident inc-77fc: groups with a slow member were filled like the others.
    counter.scripts["*"] = Stream(clock=counter.clock, last=10_000)
    counter.loads.record_pace("e0", pace=5.0, now_s=0.0)
    for _ in range(12):
        counter.send("/draft/1")
    counter.clock.advance(0.1)
    loads = counter.loads.own()
    assert loads.get("e0", 0) <= 1 and loads["e1"] >= 5 and loads["e2"] >= 5


def test_a_stream_is_given_up_at_its_time_out(counter):
    counter.scripts["*"] = Stream(clock=counter.clock, last=10_000)
    reply = counter.send("/draft/1", **{HEADERS.deadline_ms: "60000"})
    counter.clock.advance(5.9)
    assert not reply.ended
    counter.clock.advance(0.2)
    assert reply.aborted


def test_full_instances_refuse_at_once_with_a_time_to_come_back(counter):
    counter.scripts["*"] = Stream(clock=counter.clock, last=10_000)
    replies = [counter.send("/draft/1") for _ in range(60)]
    refused = [reply for reply in replies if reply.status == 503]
    assert len(refused) == 60 - 3 * (9 + 4)
    waits = {float(reply.headers["retry-after"]) for reply in refused}
    assert len(waits) > 3 and all(wait > 0 for wait in waits)
    assert all(reply.outcome == "not-run" for reply in refused)


def stop_after(counter, waited_s, grace_s=7.6):
    counter.front.stop_by(counter.clock.now() + grace_s)
    counter.clock.advance(waited_s)


def test_a_stopping_front_serves_and_closes(counter):
    stop_after(counter, 0.0)
    counter.scripts["*"] = ok
    reply = counter.send("/swap/1")
    counter.clock.advance(0.1)
    assert reply.closes and reply.status == 200


def test_a_stopping_front_refuses_what_its_end_could_cut(counter):
    # Incident inc-47ff: callers sent streams until the last moment, which were cut.
    counter.scripts["*"] = Stream(clock=counter.clock)
    stop_after(counter, 3.1)
    reply = counter.send("/draft/1")
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert reply.closes and float(reply.headers["retry-after"]) > 0
    counter.scripts["*"] = ok
    short = counter.send("/swap/1")
    counter.clock.advance(0.1)
    assert short.status == 200


def test_the_end_of_the_process_cuts_without_another_attempt(counter):
    counter.scripts["*"] = Stream(clock=counter.clock, last=1000)
    reply = counter.send("/draft/1")
    counter.clock.advance(0.3)
    for exchange in list(counter.context.open):
        exchange.abort()
    assert reply.aborted and not counter.context.open
    assert len(counter.client.sent) == 1
