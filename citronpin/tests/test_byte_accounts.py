"""The account of bytes held for others, and the parser of requests, without sockets."""

import gc

import pytest
from hypothesis import HealthCheck, given, seed, settings, strategies as st

from citronpin.tests.web_parsers import LEAVE_S, ParserHarness
from citronpin.web.bodies import ChunkedBody, InvalidBody, SizedBody
from citronpin.web.byte_accounts import (
    DEADLOCK_S,
    SMALL_BYTES,
    STALLED_S,
    UNBOUNDED_BYTES,
    UNREAD_S,
    ByteAccount,
)
from citronpin.web.http_conns import ServerLimits
from citronpin.web.replies import HttpHandler

KB = 1024
MB = 1024 * 1024
LIMITS = ServerLimits(body_bytes=256 * KB, header_bytes=4 * KB)
CAPACITY_BYTES = MB
STEP_S = 0.25
REQUESTS = 100_000
EXAMPLES_PER_BATCH = 250


class ScriptedHandler(HttpHandler):
    """Answers as the path asks: with BYTES at once or as a stream, or never."""

    def __init__(self):
        self.bodies = []
        self.replies = []

    def handle(self, req, reply):
        self.bodies.append(req.body)
        self.replies.append(reply)
        kind, _, size = req.path.strip("/").partition("/")
        size = int(size) if size.isdigit() else 0
        if kind == "whole":
            reply.send_response(200, b"a" * size)
        elif kind == "stream":
            reply.start(200, "text/plain")
            for _ in range(size // KB + 1):
                reply.push(b"s" * KB)
            reply.finish()


def make_harness(capacity_bytes=CAPACITY_BYTES, limits=LIMITS):
    return ParserHarness(
        target=ScriptedHandler(),
        limits=limits,
        account=ByteAccount(capacity_bytes=capacity_bytes),
    )


@pytest.fixture
def harness():
    return make_harness()


def handled(harness):
    return harness.http._request_handler.bodies


def post(length, path="/whole/1"):
    """Return the head of a request with a body of a length."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n".encode()
    )


def let_pass(harness, seconds):
    for _ in range(int(seconds / STEP_S)):
        harness.advance(STEP_S)


def test_a_body_without_room_waits_until_another_ends(harness):
    # Before the account, all bodies were read at once.
    first, second, third = (harness.connect() for _ in range(3))
    for sock in (first, second, third):
        harness.send(sock, post(200 * KB) + b"b" * KB)
    assert harness.listener.paused == {third}
    harness.send(first, b"b" * 199 * KB)
    assert harness.listener.paused == set()
    assert [len(body) for body in handled(harness)] == [200 * KB]


def test_the_baseline_without_a_capacity_reads_all_bodies_at_once():
    harness = make_harness(capacity_bytes=UNBOUNDED_BYTES)
    for _ in range(20):
        harness.send(harness.connect(), post(200 * KB) + b"b" * 199 * KB)
    assert not harness.listener.paused
    assert harness.account.held_bytes > 20 * 200 * KB


def test_a_small_request_passes_large_ones_that_wait(harness):
    for _ in range(8):
        harness.send(harness.connect(), post(200 * KB))
    assert harness.account.waiting == 6
    harness.send(harness.connect(), post(3) + b"abc")
    assert handled(harness) == [b"abc"]


def test_the_sender_without_progress_for_longest_goes_first(harness):
    stalled, other, waiting = (harness.connect() for _ in range(3))
    harness.send(stalled, post(200 * KB))
    harness.advance(STALLED_S / 2)
    harness.send(other, post(200 * KB))
    harness.send(waiting, post(200 * KB))
    let_pass(harness, STALLED_S)
    assert stalled.received.startswith(b"HTTP/1.1 408 ")
    assert not other.received and not harness.listener.paused


def test_a_stalled_sender_stays_while_nobody_waits(harness):
    sock = harness.connect()
    harness.send(sock, post(200 * KB))
    let_pass(harness, 10 * STALLED_S)
    assert harness.is_open(sock) and not sock.received


def test_chunked_bodies_that_wait_for_each_other_do_not_wait_forever():
    harness = make_harness(limits=ServerLimits(body_bytes=4 * MB))
    # Each holds a part of its body, and none has room for the next one.
    head = b"POST /whole/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    socks = [harness.connect() for _ in range(6)]
    chunk = b"10000\r\n" + b"c" * 0x10000 + b"\r\n"
    for sock in socks:
        harness.send(sock, head)
    for _ in range(int(4 * DEADLOCK_S / STEP_S)):
        for sock in socks:
            harness.send(sock, chunk)
        harness.advance(STEP_S)
    refused = [sock for sock in socks if b"HTTP/1.1 503 " in sock.received]
    assert refused
    assert all(b"Retry-After: " in sock.received for sock in refused)


def test_an_unread_answer_goes_when_others_need_its_room(harness):
    readers = [harness.connect(window_bytes=KB) for _ in range(3)]
    for sock in readers:
        harness.send(sock, post(0, "/whole/400000"))
    assert harness.account.is_overdrawn
    let_pass(harness, 2 * UNREAD_S)
    assert [harness.is_open(sock) for sock in readers] == [False, True, True]
    harness.send(harness.connect(), post(3) + b"abc")
    assert handled(harness)[-1] == b"abc"


def test_an_answer_that_is_taken_slowly_stays(harness):
    reader = harness.connect(window_bytes=KB)
    harness.send(reader, post(0, f"/whole/{11 * MB // 10}"))
    assert harness.account.is_overdrawn
    for _ in range(40):
        harness.take(reader, KB)
        harness.advance(1.0)
    assert harness.is_open(reader)


def test_requests_that_follow_one_in_progress_are_not_read_on(harness):
    # Their bytes were kept up to the largest body, and then the first request was cut.
    sock = harness.connect()
    harness.send(sock, post(0, "/never"))
    for _ in range(40):
        harness.send(sock, b"GET /whole/1 HTTP/1.1\r\nHost: a\r\n\r\n" * 100)
    assert harness.is_open(sock) and sock in harness.listener.paused
    assert harness.account.held_bytes < 4 * SMALL_BYTES


def test_a_wait_before_the_body_comes_before_100_continue(harness):
    for _ in range(3):
        harness.send(harness.connect(), post(200 * KB))
    sock = harness.connect()
    head = post(200 * KB).replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
    harness.send(sock, head)
    assert not sock.received
    let_pass(harness, 3 * STALLED_S)
    assert sock.received.startswith(b"HTTP/1.1 100 ")


def test_a_body_in_very_small_chunks_is_read_in_small_pieces(harness):
    # 64 clients that sent them blocked the event loop for 9 of 15 s.
    head = b"POST /whole/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    small, large = harness.connect(), harness.connect()
    harness.send(small, head + b"1\r\nx\r\n" * 1000)
    harness.send(large, head + b"100\r\n" + b"x" * 0x100 + b"\r\n")
    assert harness.listener.read_in_small_pieces == {small}
    harness.send(small, b"0\r\n\r\n")
    assert handled(harness) == [b"x" * 1000]
    assert not harness.listener.read_in_small_pieces


@pytest.mark.parametrize("piece", [1, 2, 3, 7, 1000])
def test_a_chunked_body_is_the_same_in_pieces_of_any_size(piece):
    data = (
        b"3\r\nabc\r\n00A;x=y\r\n0123456789\r\n1 \r\n\n\r\n0\r\nTrailer: x\r\n\r\nrest"
    )
    body, rest = ChunkedBody(limit_bytes=KB), None
    for start in range(0, len(data), piece):
        if rest is None:
            rest = body.feed(data[start : start + piece])
        else:
            rest += data[start : start + piece]
    assert (body.take(), rest) == (b"abc0123456789\n", b"rest")


MALFORMED_CHUNKS = {
    "no number": b"x\r\n",
    "negative": b"-1\r\n",
    "prefix": b"0x3\r\nabc\r\n",
    "line feed only": b"3\nabc",
    "longer than its size": b"3\r\nabcd\r\n",
    "underscore": b"1_0\r\n",
    "no size": b"\r\n",
    "space before": b" 3\r\n",
    "long extension": b"3;" + b"x" * 2000,
    "folded trailer": b"0\r\n folded: x\r\n\r\n",
    "trailer without colon": b"0\r\nTrailer\r\n\r\n",
    "long trailers": b"0\r\n" + b"T: x\r\n" * 5000 + b"\r\n",
}


@pytest.mark.parametrize("data", MALFORMED_CHUNKS.values(), ids=MALFORMED_CHUNKS)
def test_malformed_chunks_are_refused(data):
    with pytest.raises(InvalidBody):
        ChunkedBody(limit_bytes=KB).feed(data)


def test_a_chunk_over_the_limit_is_not_buffered():
    body = ChunkedBody(limit_bytes=KB)
    body.feed(b"500\r\n" + b"x" * 0x500)
    assert body.is_too_large and body.size_bytes <= KB + 0x500
    assert SizedBody(length=3).feed(b"abcd") == b"d"


PATHS = st.sampled_from(
    ["/never", "/whole/9", "/whole/300000", "/stream/90000", "/%ff"]
)
SIZES = st.sampled_from([0, 1, 9, 70_000, 200_000, 262_144, 262_145])


@st.composite
def requests(draw):
    """Return the bytes of a request, often malformed or without their end."""
    path, size = draw(PATHS), draw(SIZES)
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\n"
    if draw(st.booleans()):
        chunk = draw(st.sampled_from([1, 300, 20_000]))
        count = min(size // chunk, 400)
        frame = b"%x\r\n%b\r\n" % (chunk, b"c" * chunk)
        body = frame * count + b"0\r\n\r\n"
        head += "Transfer-Encoding: chunked\r\n"
    else:
        body = b"b" * size
        head += f"Content-Length: {size}\r\n"
    head += draw(
        st.sampled_from(["", "Expect: 100-continue\r\n", "Connection: close\r\n"])
    )
    data = head.encode() + b"\r\n" + body
    fault = draw(st.sampled_from(["none", "none", "cut", "flip", "insert"]))
    if fault != "none":
        near = draw(st.integers(0, 120))
        at = min(near if draw(st.booleans()) else len(data) - near, len(data))
        at = max(at, 0)
        if fault == "cut":
            data = data[:at]
        elif fault == "flip":
            data = data[:at] + draw(st.binary(min_size=1, max_size=3)) + data[at + 1 :]
        else:
            data = data[:at] + draw(st.binary(max_size=40)) + data[at:]
    return data


STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),  # connection
        requests(),
        st.sampled_from([16 * KB, 3000, 1 << 20]),  # bytes at a time
        st.sampled_from([0, 500, 100_000]),  # bytes that the client then reads
        st.sampled_from([0.0, 0.0, 0.3, 3.0]),  # seconds until the next step
        st.sampled_from(["stay", "stay", "stay", "leave"]),
    ),
    max_size=14,
)
seen = {"requests": 0}


def check_steps(steps):
    """Play clients; the sum is right at all times and returns to zero."""
    harness = make_harness()
    account = harness.account
    socks = {}
    for number, data, piece, taken, wait_s, end in steps:
        seen["requests"] += 1
        sock = socks.get(number)
        if sock is None or not harness.is_open(sock):
            sock = socks[number] = harness.connect(window_bytes=2 * KB)
        for start in range(0, len(data), piece):
            harness.send(sock, data[start : start + piece])
        harness.take(sock, taken)
        harness.advance(wait_s)
        if end == "leave":
            harness.leave(sock)
        conns = harness.http._conns.values()
        held = sum(c.receiving.held_bytes + c.connection.held_bytes for c in conns)
        assert account.held_bytes == held
        assert account.large_bytes <= CAPACITY_BYTES / 2 + LIMITS.body_bytes
    let_pass(harness, 20.0)
    for sock in socks.values():
        harness.leave(sock)
    harness.advance(LEAVE_S)
    assert (account.held_bytes, account.large_bytes, account.waiting) == (0, 0, 0)
    assert not account._holders
    assert not harness.faults
    assert not harness.http.counters.get("handler_faults")


@given(STEPS)
@settings(max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
def test_the_sum_returns_to_zero_after_malformed_and_stalled_requests(steps):
    check_steps(steps)


@pytest.mark.soak
def test_the_sum_returns_to_zero_after_100000_malformed_and_stalled_requests():
    seen["requests"] = batch = 0
    while seen["requests"] < REQUESTS:
        run = seed(batch)(
            settings(
                max_examples=EXAMPLES_PER_BATCH,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            )(given(STEPS)(check_steps))
        )
        run()
        batch += 1
        gc.collect()  # the harnesses are cycles with large bodies
        print(f"{seen['requests']} requests, {batch} batches")
