"""Tests of the HTTP client's pool over loopback."""

import socket
import threading

import pytest

from citronpin.basics.errors import ConnectionFailed, ConnectionLost, TimedOut
from citronpin.basics.ids import ApplicationName, FailureDomainName, InstanceId
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.ports import ProbeResult
from citronpin.platform.orders import HttpInstanceControl
from citronpin.tests.conftest import wait_until
from citronpin.web.clients import (
    MAX_HEADER_BYTES,
    BufferedSink,
    HttpClient,
    ResponseSink,
)

POOLED_CONNECTIONS = 3
TIMEOUT_S = 0.3
BODY_LIMIT_BYTES = 100_000
# What the kernel buffers on both sides of a connection, and one read of the client.
BUFFERED_BYTES = 16 * 1024 * 1024
OK_LINE = b"HTTP/1.1 200 OK\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class MutableServer:
    """A server whose open connections can be made silent, without closing them."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._conns = []
        self._silent = set()
        # Requests are answered together, so that each needs a connection of its own.
        self.barrier = threading.Barrier(POOLED_CONNECTIONS)
        self.is_pooling = True
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self):
        self._silent.update(self._conns)

    def close(self):
        for sock in (self._listener, *self._conns):
            sock.close()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self._conns.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            while conn.recv(4_096):
                if self.is_pooling:
                    self.barrier.wait()
                if conn not in self._silent:
                    conn.sendall(ANSWER)
        except OSError:
            return


@pytest.fixture
def server():
    found = MutableServer()
    yield found
    found.close()


@pytest.fixture
def request_answer(loops, server):
    """Return a function that starts a request; its list gets ``(answer, error)``."""
    loop, client = loops(lambda clock: HttpClient(clock=clock))

    def start():
        answers = []
        sink = BufferedSink(done=lambda *answer: answers.append(answer))
        loop.call(
            lambda: client.request(
                address=server.address,
                method="GET",
                target="/",
                sink=sink,
                timeout_s=TIMEOUT_S,
            )
        )
        return answers

    return start


def test_request_after_a_time_out_takes_no_other_silent_connection(
    server, request_answer
):
    pooled = [request_answer() for _ in range(POOLED_CONNECTIONS)]
    wait_until(lambda: all(pooled))
    server.is_pooling = False
    server.silence_open_connections()
    lost = request_answer()
    wait_until(lambda: lost)
    assert isinstance(lost[0][1], TimedOut)
    repeated = request_answer()
    wait_until(lambda: repeated)
    answer, error = repeated[0]
    assert error is None and answer[0] == 200


class EndlessServer:
    """A server that sends the start of an answer and then one piece without end."""

    def __init__(self, start, piece):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._start, self._piece = start, piece
        self.sent_bytes = 0
        self.was_closed = False
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self):
        conn, _ = self._listener.accept()
        with conn:
            try:
                conn.recv(4_096)
                conn.sendall(self._start)
                while self.sent_bytes < 4 * BUFFERED_BYTES:
                    conn.sendall(self._piece)
                    self.sent_bytes += len(self._piece)
            except OSError:
                self.was_closed = True


@pytest.mark.parametrize(
    "start, piece",
    [
        (b"", b"x" * 1_000),
        (OK_LINE, b"X-Header: more\r\n" * 100),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
        (OK_LINE + b"\r\n", b"x" * 1_000),
        (
            OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n",
            b"3e8\r\n" + b"x" * 1_000 + b"\r\n",
        ),
        (
            OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-Trailer: more\r\n" * 100,
        ),
        (OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 1_000),
    ],
    ids=["no-head", "headers", "early-hints", "body", "chunks", "trailers", "size"],
)
def test_answer_without_end_is_given_up_at_its_bound(loops, start, piece):
    endless = EndlessServer(start, piece)
    loop, client = loops(lambda clock: HttpClient(clock=clock))
    answers = []
    loop.call(
        lambda: client.request(
            address=endless.address,
            method="GET",
            target="/",
            sink=BufferedSink(
                done=lambda *answer: answers.append(answer),
                limit_bytes=BODY_LIMIT_BYTES,
            ),
            timeout_s=None,
        )
    )
    wait_until(lambda: answers and endless.was_closed)
    assert isinstance(answers[0][1], ConnectionLost)
    read_bytes = client.counters.bytes_received
    # Each read takes up to 64 KiB, and a chunked body is larger than its data.
    assert read_bytes <= 2 * (BODY_LIMIT_BYTES + MAX_HEADER_BYTES)
    endless.close()


def answer_probe(listener):
    conn, _ = listener.accept()
    conn.recv(4_096)
    conn.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
    return conn


def close_unread(listener):
    listener.accept()[0].close()


def keep_silent(listener):
    return listener.accept()[0]


def refuse(listener):
    """Accept nothing: the listener is closed."""


@pytest.mark.parametrize(
    "behave, result, kept",
    [
        (answer_probe, ProbeResult.ANSWERED, 1),
        (close_unread, ProbeResult.UNANSWERED, 0),
        (keep_silent, ProbeResult.UNANSWERED, 0),
        (refuse, ProbeResult.REFUSED, 0),
    ],
)
def test_a_probe_counts_only_an_answer_as_one(loops, behave, result, kept):
    listener = socket.create_server(("127.0.0.1", 0))
    instance = FleetInstance(
        id=InstanceId("i-1"),
        service=ApplicationName("book"),
        address=f"127.0.0.1:{listener.getsockname()[1]}",
        failure_domain=FailureDomainName("a"),
        slots=1,
    )
    if behave is refuse:
        listener.close()
    loop, client = loops(lambda clock: HttpClient(clock=clock))
    control = HttpInstanceControl(client=client)
    results, held, reported = [], [], []
    client.connection_listeners.append(lambda *outcome: reported.append(outcome))
    for count in range(1, 4):
        thread = threading.Thread(target=lambda: held.append(behave(listener)))
        thread.start()
        loop.call(
            lambda: control.probe(
                of=instance,
                connect_timeout_s=TIMEOUT_S,
                timeout_s=TIMEOUT_S,
                done=results.append,
            )
        )
        wait_until(lambda: len(results) == count)
        thread.join()
    assert results == [result] * 3
    # Listeners hear of connections, whatever becomes of the probe.
    is_accepted = result is not ProbeResult.REFUSED
    assert reported == [(instance.address, is_accepted)] * 3
    # Each probe takes a new connection, of which one at most is kept.
    assert len(client._conns) == kept
    listener.close()


@pytest.mark.parametrize(
    "pieces, pause_s, is_whole",
    [(12, 0.05, True), (3, 2.0, False), (1_000, 0.05, False)],
    ids=["slow", "stalled", "trickles"],
)
def test_an_answer_may_take_longer_only_while_it_arrives(
    loops, pieces, pause_s, is_whole
):
    listener = socket.create_server(("127.0.0.1", 0))
    ended = threading.Event()

    def answer_in_pieces():
        conn, _ = listener.accept()
        conn.recv(4_096)
        try:
            conn.sendall(OK_LINE + b"Content-Length: %d\r\n\r\n" % pieces)
            for _ in range(pieces):
                if ended.wait(pause_s):
                    return
                conn.sendall(b"x")
        except OSError:
            return

    thread = threading.Thread(target=answer_in_pieces)
    thread.start()
    loop, client = loops(lambda clock: HttpClient(clock=clock))
    answers = []
    loop.call(
        lambda: client.request(
            address=f"127.0.0.1:{listener.getsockname()[1]}",
            method="GET",
            target="/",
            sink=BufferedSink(done=lambda *answer: answers.append(answer)),
            timeout_s=TIMEOUT_S,
            max_timeout_s=5 * TIMEOUT_S,
        )
    )
    wait_until(lambda: answers)
    ended.set()
    thread.join()
    listener.close()
    response, error = answers[0]
    if is_whole:
        assert response[2] == b"x" * pieces
    else:
        assert isinstance(error, TimedOut)


def sent_to_sink(client, **changes):
    """Start a request and return the list that gets its ``(answer, error)``."""
    answers = []
    request = {"address": "127.0.0.1:9", "method": "GET", "target": "/"} | changes
    client.request(
        sink=BufferedSink(done=lambda *answer: answers.append(answer)), **request
    )
    return answers


# Guards against callers whose state stays half set when a request raises: review/1.
@pytest.mark.parametrize(
    "changes",
    [{"headers": (("X-Id", value),)} for value in ("h\ufffdst-1", "塔", "a\nb", " a")]
    + [{"headers": (("X Id", "a"),)}, {"target": "/a b"}, {"target": "/塔"}]
    + [{"host": "a\nb"}, {"method": "G T"}],
)
def test_a_request_that_cannot_be_encoded_fails_through_its_sink(paused_clock, changes):
    client = HttpClient(clock=paused_clock)
    answers = sent_to_sink(client, **changes)
    assert not answers, "the sink is called before the request has returned"
    paused_clock.advance(0.0)
    ((answer, error),) = answers
    assert answer is None and isinstance(error, ConnectionFailed)
    assert not client._conns


@pytest.mark.parametrize(
    "address",
    ["", "x", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536"]
    + ["127.0.0.1:-1", "127.0.0.1:8_0", "localhost:80", "höst:80", "[::1]:80"]
    + [f"127.0.0.1:{10**30}", "127.0.0.1:٨٠", "1.2.3:80"],
)
def test_a_request_to_what_is_no_address_fails_through_its_sink(paused_clock, address):
    answers = sent_to_sink(HttpClient(clock=paused_clock), address=address)
    paused_clock.advance(0.0)
    ((_, error),) = answers
    assert isinstance(error, ConnectionFailed)


def test_a_request_without_a_free_descriptor_fails_through_its_sink(
    paused_clock, monkeypatch
):
    def refuse_socket(*args):
        raise OSError(24, "too many open files")

    monkeypatch.setattr(socket, "socket", refuse_socket)
    answers = sent_to_sink(HttpClient(clock=paused_clock))
    paused_clock.advance(0.0)
    ((_, error),) = answers
    assert isinstance(error, ConnectionFailed)


def test_header_values_outside_ascii_are_sent_byte_by_byte(loops):
    listener = socket.create_server(("127.0.0.1", 0))
    received = []

    def answer():
        conn, _ = listener.accept()
        received.append(conn.recv(4_096))
        conn.sendall(ANSWER)
        conn.close()

    thread = threading.Thread(target=answer)
    thread.start()
    loop, client = loops(lambda clock: HttpClient(clock=clock))
    port = listener.getsockname()[1]
    # A server decodes the value of a caller with one character for each byte.
    value = "höst 塔".encode()
    headers = (("X-Name", value.decode("latin-1")),)
    answers = loop.call(
        lambda: sent_to_sink(client, address=f"127.0.0.1:{port}", headers=headers)
    )
    wait_until(lambda: answers)
    thread.join()
    listener.close()
    assert b"X-Name: " + value + b"\r\n" in received[0]


class RaisingSink(ResponseSink):
    """Raises in one of its methods and records its failure."""

    def __init__(self, method):
        self._method = method
        self.errors = []

    def _call(self, method):
        if method == self._method:
            raise RuntimeError(method)

    def head(self, status, headers):
        self._call("head")

    def data(self, data):
        self._call("data")

    def end(self):
        self._call("end")

    def failed(self, error):
        self.errors.append(error)


@pytest.mark.parametrize("method", ["head", "data"])
def test_a_sink_that_raises_hears_the_end_of_its_exchange(
    loops, server, request_answer, method
):
    server.is_pooling = False
    loop, client = loops(lambda clock: HttpClient(clock=clock))
    sink = RaisingSink(method)
    loop.call(
        lambda: client.request(
            address=server.address, method="GET", target="/", sink=sink, timeout_s=None
        )
    )
    wait_until(lambda: sink.errors)
    assert isinstance(sink.errors[0], ConnectionLost)
    assert not client._conns
    later = request_answer()
    wait_until(lambda: later)
    assert later[0][1] is None


class PiecewiseServer:
    """Accepts connections and sends what a test asks for."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"

    def accept(self):
        conn, _ = self._listener.accept()
        conn.recv(4_096)
        return conn

    def close(self):
        self._listener.close()


@pytest.fixture
def piecewise():
    found = PiecewiseServer()
    yield found
    found.close()


def test_a_paused_response_is_left_to_the_kernel_until_the_pause_ends(loops, piecewise):
    # An entry read what instances wrote as fast as they did, whoever took it.
    loop, client = loops(lambda clock: HttpClient(clock=clock))
    answers = []
    sink = BufferedSink(done=lambda *answer: answers.append(answer))
    exchange = loop.call(
        lambda: client.request(
            address=piecewise.address, method="GET", target="/", sink=sink
        )
    )
    conn = piecewise.accept()
    wait_until(lambda: not client.is_unsent(exchange))
    loop.call(lambda: client.pause_reading(exchange, 60.0))
    assert client.is_paused(exchange)
    conn.sendall(ANSWER)
    with pytest.raises(AssertionError):
        wait_until(lambda: answers, timeout_s=0.3)
    loop.call(lambda: client.resume_reading(exchange))
    wait_until(lambda: answers)
    assert answers[0][0][2] == b"ok"
    # The next request on the connection is read at once.
    more = []
    sink = BufferedSink(done=lambda *answer: more.append(answer))
    loop.call(
        lambda: client.request(
            address=piecewise.address, method="GET", target="/", sink=sink
        )
    )
    conn.recv(4_096)
    conn.sendall(ANSWER)
    wait_until(lambda: more)
    conn.close()


def test_a_pause_ends_by_itself(loops, piecewise):
    loop, client = loops(lambda clock: HttpClient(clock=clock))
    answers = []
    sink = BufferedSink(done=lambda *answer: answers.append(answer))
    exchange = loop.call(
        lambda: client.request(
            address=piecewise.address, method="GET", target="/", sink=sink
        )
    )
    conn = piecewise.accept()
    loop.call(lambda: client.pause_reading(exchange, 0.1))
    conn.sendall(ANSWER)
    wait_until(lambda: answers)
    conn.close()


def test_a_new_connection_replaces_the_one_idle_for_longest(loops):
    # Idle connections took the descriptors that requests needed.
    loop, client = loops(lambda clock: HttpClient(clock=clock))
    client.max_connections = 2
    servers = [PiecewiseServer() for _ in range(3)]
    conns = []
    for number, server in enumerate(servers):
        answers = []
        sink = BufferedSink(done=lambda *answer, found=answers: found.append(answer))
        loop.call(
            lambda: client.request(
                address=server.address, method="GET", target="/", sink=sink
            )
        )
        conns.append(server.accept())
        conns[-1].sendall(ANSWER)
        wait_until(lambda: answers)
        assert len(client._conns) == min(number + 1, 2)
    assert conns[0].recv(1) == b"", "the first one was closed"
    for one in (*conns, *servers):
        one.close()
