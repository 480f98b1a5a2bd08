"""Tests of the HTTP server on raw sockets."""

import socket

import pytest

from citronpin.tests.conftest import wait_until
from citronpin.web.replies import HttpHandler
from citronpin.web.servers import Routes, ServerLimits, WebServer

LIMITS = ServerLimits(body_bytes=64, header_bytes=1024)
HASTY = ServerLimits(
    request_timeout_s=0.5, stall_timeout_s=0.5, write_buffer_bytes=256 * 1024
)
LARGE_BYTES = 64 * 1024


def _routes(clock):
    routes = Routes()
    routes.add("GET", "/echo/{word}", lambda req, reply, word: reply.json(200, word))
    routes.add("POST", "/body", lambda req, reply: reply.send_response(200, req.body))

    def count(req, reply):
        reply.start(200, "text/plain")
        for number in range(3):
            clock.call_later(0.0, lambda n=number: reply.push(b"%d" % n))
        clock.call_later(0.0, reply.finish)

    routes.add("GET", "/count", count)

    def flood(req, reply):
        reply.start(200, "text/plain")

        def more():
            if not reply.ended:
                reply.push(b"x" * LARGE_BYTES)
                clock.call_later(0.01, more)

        more()

    routes.add("GET", "/flood", flood)

    def fill(req, reply):
        reply.send_response(200, b"x" * LARGE_BYTES * 64)

    routes.add("GET", "/fill", fill)
    return routes


@pytest.fixture
def server(loops):
    _, server = loops(
        lambda clock: WebServer(
            bind=("127.0.0.1", 0), target=_routes(clock), clock=clock, limits=LIMITS
        )
    )
    return server


def exchange(server, sent: bytes, end: bytes = b"") -> bytes:
    """Send bytes and return all that comes until ``end`` or the close."""
    with socket.create_connection((server.host, server.port), timeout=10) as conn:
        conn.sendall(sent)
        got = b""
        while not (end and got.endswith(end)):
            data = conn.recv(65536)
            if not data:
                break
            got += data
        return got


def test_pipelined_requests_are_answered_in_order(server):
    sent = b"".join(
        b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n" % path
        for path in (b"echo/one", b"count", b"echo/two")
    )
    got = exchange(server, sent, end=b'"two"')
    assert got.count(b"HTTP/1.1 200 OK") == 3
    assert got.index(b'"one"') < got.index(b"1\r\n2\r\n") < got.index(b'"two"')


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: abc\r\n",
        b"Content-Length: -5\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Bad Header: 1\r\n",
    ],
)
def test_bad_framing_is_refused_and_the_connection_closed(server, head):
    got = exchange(server, b"POST /body HTTP/1.1\r\nHost: a\r\n" + head + b"\r\nabc")
    assert got.startswith((b"HTTP/1.1 400 ", b"HTTP/1.1 501 "))
    assert b"Connection: close" in got and b"Traceback" not in got
    assert got.count(b"HTTP/1.1") == 1


def test_bodies_and_heads_are_bounded(server):
    large = b"POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n"
    assert exchange(server, large).startswith(b"HTTP/1.1 413 ")
    chunked = b"POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert exchange(server, chunked + b"41\r\n" + b"x" * 65 + b"\r\n").startswith(
        b"HTTP/1.1 413 "
    )
    head = b"GET /echo/a HTTP/1.1\r\nHost: a\r\nX-Long: " + b"y" * 4096
    assert exchange(server, head).startswith(b"HTTP/1.1 431 ")


def test_a_body_in_pieces_is_whole(server):
    pieces = (b"POST /body HT", b"TP/1.1\r\nHost: a\r\nContent-", b"Length: 5")
    with socket.create_connection((server.host, server.port), timeout=10) as conn:
        for piece in (*pieces, b"\r\n\r\nhe", b"llo"):
            conn.sendall(piece)
        got = b""
        while not got.endswith(b"hello"):
            got += conn.recv(65536)
    assert got.startswith(b"HTTP/1.1 200 OK")


def test_unknown_paths_are_problem_details(server):
    got = exchange(server, b"GET /nothing HTTP/1.0\r\nHost: a\r\n\r\n")
    assert got.startswith(b"HTTP/1.0 404") and b"application/problem+json" in got


@pytest.fixture
def hasty(loops):
    _, server = loops(
        lambda clock: WebServer(
            bind=("127.0.0.1", 0), target=_routes(clock), clock=clock, limits=HASTY
        )
    )
    return server


@pytest.mark.parametrize(
    "sent, counter",
    [
        (b"GET /echo/a HT", "slow_senders"),
        (b"GET /flood HTTP/1.1\r\nHost: a\r\n\r\n", "write_overflows"),
        (b"GET /fill HTTP/1.1\r\nHost: a\r\n\r\n", "slow_readers"),
    ],
)
def test_slow_callers_are_cut_off_and_counted(hasty, sent, counter):
    conn = socket.socket()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    conn.connect((hasty.host, hasty.port))
    with conn:
        conn.sendall(sent)
        wait_until(lambda: hasty.http.counters.get(counter))
        wait_until(lambda: hasty.http.open_connections == 0)


class Recorder(HttpHandler):
    """Notes requests, and answers none."""

    def __init__(self):
        self.paths = []

    def handle(self, req, reply):
        self.paths.append(req.path)


@pytest.mark.parametrize("cause", ["close_idle", "sweep"])
def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_begun(
    loops, cause
):
    # Soak seed 17: the close was still queued when the request was read; it was sent
    # on to its instance, and then the connection was closed under it.
    recorder = Recorder()
    loop, server = loops(
        lambda clock: WebServer(
            bind=("127.0.0.1", 0),
            target=recorder,
            clock=clock,
            limits=ServerLimits(idle_timeout_s=0.0 if cause == "sweep" else 60.0),
        )
    )
    http = server.http

    def close_and_read():
        (sock,) = http._conns
        if cause == "sweep":
            http._sweep()
        else:
            http.close_idle()
        http._on_read(sock, b"GET /echo/late HTTP/1.1\r\nHost: a\r\n\r\n")

    with socket.create_connection((server.host, server.port), timeout=10) as conn:
        wait_until(lambda: http.open_connections)
        loop.call(close_and_read)
        assert conn.recv(65536) == b""
    assert recorder.paths == []
