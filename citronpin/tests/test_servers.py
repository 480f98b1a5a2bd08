"""Tests of the HTTP server on raw sockets."""

import socket
import time

import pytest

from citronpin.tests.conftest import wait_until
from citronpin.web.replies import HttpHandler
from citronpin.web.servers import Routes, ServerLimits, WebServer

LIMITS = ServerLimits(body_bytes=64, header_bytes=1024)
SHORT_TIMEOUTS = ServerLimits(
    request_timeout_s=0.5, stall_timeout_s=0.5, write_buffer_bytes=256 * 1024
)
PIECE_BYTES = 64 * 1024
SETTLE_S = 0.3  # by then the server has written what it can


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

        def push_piece():
            if not reply.ended:
                reply.push(b"x" * PIECE_BYTES)
                clock.call_later(0.01, push_piece)

        push_piece()

    routes.add("GET", "/flood", flood)

    def fill(req, reply):
        reply.send_response(200, b"x" * PIECE_BYTES * 64)

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
    """Send bytes and return those received up to ``end`` or the end of connection."""
    with socket.create_connection((server.host, server.port), timeout=10) as conn:
        conn.sendall(sent)
        received = b""
        while not (end and received.endswith(end)):
            data = conn.recv(65536)
            if not data:
                break
            received += data
        return received


def test_a_response_counts_as_open_until_it_is_sent(server):
    # The process waits for open responses before it ends.
    with socket.create_connection((server.host, server.port), timeout=10) as conn:
        conn.sendall(b"GET /fill HTTP/1.1\r\nHost: a\r\n\r\n")
        received = len(conn.recv(1024))
        time.sleep(SETTLE_S)
        assert server.http.open_replies == 1
        while received < 64 * PIECE_BYTES:
            received += len(conn.recv(1 << 20))
        wait_until(lambda: server.http.open_replies == 0)


def test_pipelined_requests_are_answered_in_order(server):
    sent = b"".join(
        b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n" % path
        for path in (b"echo/one", b"count", b"echo/two")
    )
    received = exchange(server, sent, end=b'"two"')
    assert received.count(b"HTTP/1.1 200 OK") == 3
    assert (
        received.index(b'"one"')
        < received.index(b"1\r\n2\r\n")
        < received.index(b'"two"')
    )


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
    received = exchange(
        server, b"POST /body HTTP/1.1\r\nHost: a\r\n" + head + b"\r\nabc"
    )
    assert received.startswith((b"HTTP/1.1 400 ", b"HTTP/1.1 501 "))
    assert b"Connection: close" in received and b"Traceback" not in received
    assert received.count(b"HTTP/1.1") == 1


def test_bodies_and_heads_above_the_limit_are_refused(server):
    large = b"POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n"
    assert exchange(server, large).startswith(b"HTTP/1.1 413 ")
    chunked = b"POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert exchange(server, chunked + b"41\r\n" + b"x" * 65 + b"\r\n").startswith(
        b"HTTP/1.1 413 "
    )
    head = b"GET /echo/a HTTP/1.1\r\nHost: a\r\nX-Long: " + b"y" * 4096
    assert exchange(server, head).startswith(b"HTTP/1.1 431 ")


def test_a_request_received_in_pieces_is_reassembled(server):
    pieces = (b"POST /body HT", b"TP/1.1\r\nHost: a\r\nContent-", b"Length: 5")
    with socket.create_connection((server.host, server.port), timeout=10) as conn:
        for piece in (*pieces, b"\r\n\r\nhe", b"llo"):
            conn.sendall(piece)
        received = b""
        while not received.endswith(b"hello"):
            received += conn.recv(65536)
    assert received.startswith(b"HTTP/1.1 200 OK")


def test_unknown_paths_get_problem_details(server):
    received = exchange(server, b"GET /nothing HTTP/1.0\r\nHost: a\r\n\r\n")
    assert (
        received.startswith(b"HTTP/1.0 404") and b"application/problem+json" in received
    )


@pytest.fixture
def short_timeout_server(loops):
    _, server = loops(
        lambda clock: WebServer(
            bind=("127.0.0.1", 0),
            target=_routes(clock),
            clock=clock,
            limits=SHORT_TIMEOUTS,
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
def test_slow_callers_are_disconnected_and_counted(short_timeout_server, sent, counter):
    conn = socket.socket()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    conn.connect((short_timeout_server.host, short_timeout_server.port))
    with conn:
        conn.sendall(sent)
        wait_until(lambda: short_timeout_server.http.counters.get(counter))
        wait_until(lambda: short_timeout_server.http.open_connections == 0)


class RecordingHandler(HttpHandler):
    """Records the paths of requests and never responds."""

    def __init__(self):
        self.paths = []

    def handle(self, req, reply):
        self.paths.append(req.path)


@pytest.mark.parametrize("cause", ["close_idle", "sweep"])
def test_a_request_read_after_the_close_of_an_idle_connection_is_not_handled(
    loops, cause
):
    # The close of the connection is a queued event. In the soak test with seed 17, a
    # request was read before it ran: the request was forwarded to its instance, and
    # then its connection was closed.
    handler = RecordingHandler()
    loop, server = loops(
        lambda clock: WebServer(
            bind=("127.0.0.1", 0),
            target=handler,
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
        http.on_read(sock, b"GET /echo/late HTTP/1.1\r\nHost: a\r\n\r\n")

    with socket.create_connection((server.host, server.port), timeout=10) as conn:
        wait_until(lambda: http.open_connections)
        loop.call(close_and_read)
        assert conn.recv(65536) == b""
    assert handler.paths == []
