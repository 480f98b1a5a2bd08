"""Requests through the front handler: placement, retries, resumption and refusals."""

import pytest

from citronpin.gateway.slow_readers import UNREAD_HIGH_BYTES, UNREAD_PAUSE_S
from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.requests import (
    ROUTES,
    FrontHarness,
    ScriptedStream,
    event,
    instance_headers,
    whole_stream,
)


@pytest.fixture
def gateway(paused_clock):
    return FrontHarness(clock=paused_clock)


def ok(exchange):
    exchange.answer(200, b"page", instance_headers(exchange))


def silent(exchange):
    """Send no answer."""


def not_run(exchange):
    echo = {HEADERS.attempt: exchange.headers[HEADERS.attempt]}
    exchange.answer(503, b"", echo | {HEADERS.not_run: "1"})


def error(exchange):
    exchange.answer(500, b"failed", instance_headers(exchange))


def reset(exchange):
    exchange.lose()


def test_a_request_is_forwarded_with_the_headers_of_its_customer(gateway):
    gateway.scripts["*"] = ok
    reply = gateway.send("/swap/1", x_own="kept", connection="x-gone", x_gone="no")
    gateway.clock.advance(0.1)
    (sent,) = gateway.client.sent
    assert (sent.method, sent.target, sent.body) == ("POST", "/swap/1", b"text")
    assert sent.host == "towers.example"
    assert sent.headers[HEADERS.customer] == "odori"
    assert sent.headers[HEADERS.expect_instance] in ("b0", "b1")
    assert sent.headers["x-own"] == "kept"
    assert not {HEADERS.key, "x-gone", "connection"} & set(sent.headers)
    assert int(sent.headers[HEADERS.deadline_ms]) <= 800
    assert (reply.status, reply.body) == (200, b"page")
    assert reply.headers[HEADERS.digest] == "3e1b.07"


def test_a_customer_header_of_the_caller_is_replaced(gateway):
    gateway.scripts["*"] = ok
    gateway.send("/swap/1", **{HEADERS.customer: "someone-else"})
    gateway.clock.advance(0.1)
    assert gateway.client.sent[0].headers[HEADERS.customer] == "odori"


@pytest.mark.parametrize(
    "path, key, status",
    [("/swap/1", "wrong", 401), ("/swap/1", None, 401), ("/other/1", "key-1", 404)],
)
def test_a_request_without_a_valid_key_or_route_is_refused(gateway, path, key, status):
    reply = gateway.send(path, **{HEADERS.key: key})
    assert (reply.status, reply.outcome) == (status, "not-run")
    assert not gateway.client.sent


@pytest.mark.parametrize("path, key", [("/swap/1", "wrong"), ("/other/1", "key-1")])
def test_nothing_is_refused_for_good_by_a_configuration_that_is_not_current(
    gateway, path, key
):
    # Incident inc1: a route and a key that had been added in time got 404 and 401.
    gateway.context.is_table_current = lambda: False
    reply = gateway.send(path, **{HEADERS.key: key})
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert float(reply.headers["retry-after"]) > 0


def test_without_a_configuration_requests_are_refused_with_a_retry_delay(gateway):
    gateway.context.table = None
    reply = gateway.send("/swap/1")
    assert reply.status == 503 and float(reply.headers["retry-after"]) > 0


@pytest.mark.parametrize("fault", [reset, silent, error])
def test_an_unsafe_request_that_may_have_run_is_not_retried(gateway, fault):
    gateway.scripts["*"] = fault
    reply = gateway.send("/swap/1")
    gateway.clock.advance(1.0)
    assert len(gateway.sent_requests()) == 1
    assert reply.status in (500, 502, 504)
    assert reply.status == 500 or reply.outcome == "unknown"


def test_an_unsafe_request_that_was_not_run_is_sent_to_another_instance(gateway):
    gateway.scripts |= {"b0": not_run, "b1": ok}
    replies = [gateway.send("/swap/1") for _ in range(4)]
    gateway.clock.advance(0.2)
    assert [reply.status for reply in replies] == [200] * 4


def test_a_request_that_no_instance_ran_is_refused_as_not_run(gateway):
    gateway.scripts["*"] = not_run
    reply = gateway.send("/swap/1")
    gateway.clock.advance(0.2)
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert float(reply.headers["retry-after"]) > 0


@pytest.mark.parametrize("fault", [reset, error])
def test_a_safe_request_is_retried_once(gateway, fault):
    first = []

    def once(exchange):
        (ok if first else fault)(exchange)
        first.append(exchange)

    gateway.scripts["*"] = once
    reply = gateway.send("/look-up/1", method="GET")
    gateway.clock.advance(0.2)
    assert reply.status == 200 and len(gateway.client.sent) == 2


def test_an_error_of_every_attempt_is_forwarded_unchanged(gateway):
    gateway.scripts["*"] = error
    reply = gateway.send("/look-up/1", method="GET")
    gateway.clock.advance(0.2)
    assert (reply.status, reply.body) == (500, b"failed")
    assert len(gateway.client.sent) == 2


def test_an_answer_to_another_request_is_not_forwarded(gateway):
    def misrouted(exchange):
        exchange.answer(200, b"other", {HEADERS.attempt: "a9", HEADERS.digest: "1"})

    gateway.scripts["*"] = misrouted
    reply = gateway.send("/swap/1")
    gateway.clock.advance(0.2)
    assert (reply.status, reply.outcome) == (502, "unknown")


@pytest.mark.parametrize("missing", [HEADERS.digest, "encoded"])
def test_an_answer_without_digest_or_with_an_encoding_is_not_forwarded(
    gateway, missing
):
    def unauthenticated(exchange):
        headers = instance_headers(exchange)
        headers.pop(missing, None)
        if missing == "encoded":
            headers["content-encoding"] = "gzip"
        exchange.answer(200, b"page", headers)

    gateway.scripts["*"] = unauthenticated
    reply = gateway.send("/swap/1")
    gateway.clock.advance(0.2)
    assert reply.status == 502


def test_a_request_is_cancelled_at_the_time_out_of_its_route(gateway):
    gateway.scripts["*"] = silent
    reply = gateway.send("/swap/1")
    gateway.clock.advance(0.79)
    assert reply.status is None
    gateway.clock.advance(0.02)
    assert reply.status == 504
    assert gateway.client.sent[0].cancelled


def test_an_attempt_is_cancelled_when_the_caller_disconnects(gateway):
    stream = ScriptedStream(clock=gateway.clock, last=1000)
    gateway.scripts["*"] = stream
    reply = gateway.send("/draft/1")
    gateway.clock.advance(0.3)
    reply.leave()
    assert stream.exchanges[0].cancelled and not gateway.loads.own()


def test_events_are_forwarded_as_they_arrive(gateway):
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock)
    reply = gateway.send("/draft/1")
    gateway.clock.advance(0.12)
    assert reply.body == event(0) + event(1) + event(2)
    gateway.clock.advance(1.0)
    assert reply.ended and not reply.aborted and reply.body == whole_stream()


def truncate_event(exchange):
    exchange.data(b"id: 5\nda")
    exchange.lose()


@pytest.mark.parametrize("then", [reset, truncate_event, None])
def test_a_broken_stream_resumes_on_another_instance_after_its_last_event(
    gateway, then
):
    broken = ScriptedStream(clock=gateway.clock, stop_after=4, then=then)
    complete_stream = ScriptedStream(clock=gateway.clock)
    gateway.scripts |= {"e0": broken, "*": complete_stream}
    replies = [gateway.send("/draft/1") for _ in range(3)]
    gateway.clock.advance(3.0)
    assert [reply.body for reply in replies] == [whole_stream()] * 3
    assert all(reply.ended and not reply.aborted for reply in replies)
    resumed = [
        e.headers[HEADERS.last_event]
        for e in complete_stream.exchanges
        if HEADERS.last_event in e.headers
    ]
    assert resumed == ["4"]


def test_repeated_events_of_a_stream_are_dropped(gateway):
    def repeats(exchange):
        exchange.head(200, instance_headers(exchange))
        for number in (0, 1, 1, 0, 2):
            exchange.data(event(number))
        exchange.end()

    gateway.scripts["*"] = repeats
    reply = gateway.send("/draft/1")
    gateway.clock.advance(0.1)
    assert reply.body == whole_stream(2) and reply.ended


def test_a_stream_that_cannot_resume_is_aborted(gateway):
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, stop_after=4, then=reset)
    reply = gateway.send("/draft/1")
    gateway.clock.advance(2.0)
    assert reply.aborted
    assert len(gateway.sent_requests()) == 2  # max-attempts of the route


def test_a_broken_stream_waits_briefly_for_an_instance(paused_clock):
    gateway = FrontHarness(clock=paused_clock, engines=1)
    gateway.scripts["e0"] = ScriptedStream(clock=paused_clock, stop_after=4, then=reset)
    reply = gateway.send("/draft/1")
    paused_clock.advance(0.3)
    gateway.suspects.stalled("e0", now_s=paused_clock.now())
    paused_clock.advance(0.4)
    assert not reply.ended
    gateway.scripts["e9"] = ScriptedStream(clock=paused_clock)
    gateway.add("e9", "engines", head=True)
    paused_clock.advance(2.0)
    assert reply.body == whole_stream() and not reply.aborted


def test_a_broken_stream_is_aborted_when_no_instance_is_found(paused_clock):
    gateway = FrontHarness(clock=paused_clock, engines=1)
    gateway.scripts["e0"] = ScriptedStream(clock=paused_clock, stop_after=4, then=reset)
    reply = gateway.send("/draft/1")
    paused_clock.advance(0.3)
    gateway.suspects.stalled("e0", now_s=paused_clock.now())
    paused_clock.advance(2.0)
    assert reply.aborted


def test_a_gap_between_events_is_never_forwarded(gateway):
    def gap(exchange):
        exchange.head(200, instance_headers(exchange))
        exchange.data(event(0) + event(2))

    gateway.scripts |= {"e0": gap, "*": ScriptedStream(clock=gateway.clock)}
    replies = [gateway.send("/draft/1") for _ in range(3)]
    gateway.clock.advance(2.0)
    assert [reply.body for reply in replies] == [whole_stream()] * 3


def test_a_newly_formed_group_gets_requests_at_once(paused_clock):
    gateway = FrontHarness(clock=paused_clock, engines=2)
    gateway.scripts["*"] = ScriptedStream(clock=paused_clock, last=10_000)
    gateway.suspects.stalled("e0", now_s=0.0)
    gateway.send("/draft/1")
    gateway.send("/draft/1")
    assert "e0" not in gateway.loads.own()
    gateway.add("e0", "engines", head=True, epoch=2)
    gateway.send("/draft/1")
    assert gateway.loads.own()["e0"] == 1


def test_a_slow_group_gets_fewer_requests(gateway):
    # Incident inc-77fc: groups with a slow member got as many requests as others.
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, last=10_000)
    gateway.loads.record_pace("e0", pace=5.0, now_s=0.0)
    for _ in range(12):
        gateway.send("/draft/1")
    gateway.clock.advance(0.1)
    loads = gateway.loads.own()
    assert loads.get("e0", 0) <= 1 and loads["e1"] >= 5 and loads["e2"] >= 5


def test_a_stream_is_aborted_at_its_time_out(gateway):
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, last=10_000)
    reply = gateway.send("/draft/1", **{HEADERS.deadline_ms: "60000"})
    gateway.clock.advance(5.9)
    assert not reply.ended
    gateway.clock.advance(0.2)
    assert reply.aborted


def test_requests_beyond_the_load_limit_are_refused_with_spread_retry_delays(gateway):
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, last=10_000)
    replies = [gateway.send("/draft/1") for _ in range(60)]
    refused = [reply for reply in replies if reply.status == 503]
    assert len(refused) == 60 - 3 * (9 + 4)
    waits = {float(reply.headers["retry-after"]) for reply in refused}
    assert len(waits) > 3 and all(wait > 0 for wait in waits)
    assert all(reply.outcome == "not-run" for reply in refused)


def stop_after(gateway, waited_s, grace_s=7.6):
    gateway.front.stop_by(gateway.clock.now() + grace_s)
    gateway.clock.advance(waited_s)


def test_a_stopping_front_serves_requests_and_closes_connections(gateway):
    stop_after(gateway, 0.0)
    gateway.scripts["*"] = ok
    reply = gateway.send("/swap/1")
    gateway.clock.advance(0.1)
    assert reply.closes and reply.status == 200


def test_a_stopping_front_refuses_requests_that_may_outlast_it(gateway):
    # Incident inc-47ff: streams accepted shortly before the end were cut off by it.
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock)
    stop_after(gateway, 3.1)
    reply = gateway.send("/draft/1")
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert reply.closes and float(reply.headers["retry-after"]) > 0
    gateway.scripts["*"] = ok
    short = gateway.send("/swap/1")
    gateway.clock.advance(0.1)
    assert short.status == 200


@pytest.mark.parametrize("kind", ["stream", "read", "swap"])
@pytest.mark.parametrize("waited_s", [0.0, 1.0, 2.9, 3.1, 4.5, 6.0, 7.0, 7.55])
def test_each_request_of_a_planned_stop_gets_an_answer(paused_clock, kind, waited_s):
    # Requests with long time-outs, taken late, were cut off by the end of the process.
    routes = [route | {"timeout-ms": 20_000} for route in ROUTES]
    gateway = FrontHarness(clock=paused_clock, routes=routes)
    ran = []
    gateway.scripts["*"] = ran.append
    end_s = paused_clock.now() + 7.6
    stop_after(gateway, waited_s)
    path = {"stream": "/draft/1", "read": "/look-up/1", "swap": "/swap/1"}[kind]
    reply = gateway.send(path, **{HEADERS.deadline_ms: "30000"})
    paused_clock.advance(end_s - paused_clock.now())
    for exchange in list(gateway.context.open_exchanges):
        exchange.end_with_process()
    assert reply.ended and not reply.aborted
    assert reply.outcome == ("unknown" if ran else "not-run")
    assert (reply.status == 503) is not bool(ran)
    assert not gateway.context.open_exchanges


def test_a_request_without_a_connection_at_the_end_of_the_process_did_not_run(gateway):
    gateway.client.silent |= set(gateway.client.handlers)
    reply = gateway.send("/swap/1")
    gateway.clock.advance(0.1)
    for exchange in list(gateway.context.open_exchanges):
        exchange.end_with_process()
    assert (reply.status, reply.outcome) == (503, "not-run")


def test_an_exchange_aborted_at_the_end_of_the_process_is_not_retried(gateway):
    gateway.scripts["*"] = ScriptedStream(clock=gateway.clock, last=1000)
    reply = gateway.send("/draft/1")
    gateway.clock.advance(0.3)
    for exchange in list(gateway.context.open_exchanges):
        exchange.end_with_process()
    assert reply.aborted and not gateway.context.open_exchanges
    assert len(gateway.client.sent) == 1


# Guards against a request that stays open after its start raised.
def test_a_request_whose_start_raises_is_not_kept_open(gateway, monkeypatch):
    def refuse_to_send(**request):
        raise RuntimeError("no")

    monkeypatch.setattr(gateway.client, "request", refuse_to_send)
    with pytest.raises(RuntimeError):
        gateway.send("/swap/1")
    assert not gateway.context.open_exchanges and not gateway.loads.own()


# Guards against requests that cannot be encoded, which count as instances not reached.
def test_a_customer_whose_name_is_not_latin_is_named_in_utf8(paused_clock):
    tenants = [{"name": "塔", "api-keys": ["key-1"]}]
    gateway = FrontHarness(clock=paused_clock, tenants=tenants)
    gateway.scripts["*"] = ok
    reply = gateway.send("/swap/1")
    paused_clock.advance(0.1)
    (sent,) = gateway.client.sent
    assert sent.headers[HEADERS.customer].encode("latin-1").decode() == "塔"
    assert reply.status == 200


def test_a_stream_that_its_caller_does_not_read_is_read_slower(gateway, paused_clock):
    # The entry kept what the caller did not read, up to 1 MiB of each stream.
    gateway.scripts["*"] = ScriptedStream(clock=paused_clock, last=40)
    reply = gateway.send("/draft/1")
    paused_clock.advance(0.2)
    assert not gateway.client.paused
    reply.buffered_bytes = UNREAD_HIGH_BYTES + 1
    paused_clock.advance(0.1)
    (exchange,) = gateway.client.paused
    assert gateway.client.paused[exchange] <= paused_clock.now() + UNREAD_PAUSE_S
    reply.buffered_bytes = 0
    paused_clock.advance(0.1)
    assert not gateway.client.paused
    paused_clock.advance(4.0)
    assert reply.body == whole_stream(40)


def test_a_stream_that_is_not_read_does_not_count_as_stalled(gateway, paused_clock):
    # It was taken for a stall of the instance and sent to another one.
    gateway.scripts["*"] = ScriptedStream(clock=paused_clock, stop_after=3)
    reply = gateway.send("/draft/1")
    paused_clock.advance(0.1)
    reply.buffered_bytes = UNREAD_HIGH_BYTES + 1
    paused_clock.advance(0.1)
    assert gateway.client.paused
    paused_clock.advance(UNREAD_PAUSE_S - 0.1)
    assert len(gateway.sent_requests()) == 1
    paused_clock.advance(1.0)
    assert len(gateway.sent_requests()) == 2, "a stall after the pause is noticed"


def test_answers_are_read_slower_without_room_except_one(gateway, paused_clock):
    # With all slowed down alike, none ended and no room came back.
    account = gateway.context.account
    account.capacity_bytes = 1000

    def begin(exchange):
        exchange.head(200, instance_headers(exchange))
        exchange.data(b"x" * 900)

    gateway.scripts["*"] = begin
    first, second = gateway.send("/look-up/1"), gateway.send("/look-up/1")
    paused_clock.advance(0.1)
    assert account.held_bytes == 1800 and account.is_overdrawn
    assert len(gateway.client.paused) <= 1
    for exchange in gateway.sent_requests():
        exchange.data(b"y")
    assert len(gateway.client.paused) == 1
    for exchange in gateway.sent_requests():
        exchange.end()
    assert (first.status, second.status) == (200, 200)
    assert account.held_bytes == 0
