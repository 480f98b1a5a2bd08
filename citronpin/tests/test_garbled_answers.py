"""Garbled answers of instances over sockets, as clients of the gateway see them."""

import socket
import threading

import pytest

from citronpin.basics.errors import ConnectionLost
from citronpin.basics.ids import EntryId, GroupId
from citronpin.gateway.forward_peers import ForwardPeer
from citronpin.gateway.ports import Order, OrderKind, OrderResult, ProbeResult
from citronpin.platform.names import HEADERS
from citronpin.platform.orders import HttpInstanceControl
from citronpin.platform.stores import LogStore, StoreUnreachable
from citronpin.tests.conftest import wait_until
from citronpin.tests.platforms.requests import (
    SAFE_ROUTE,
    STREAM_ROUTE,
    UNSAFE_ROUTE,
    FrontHarness,
    event,
    whole_stream,
)
from citronpin.web.clients import BufferedSink, HttpClient

LAST = 6
WHOLE = whole_stream(LAST)
FOREIGN = b"\x00\xfeno event\n\n\r\n\r\n" * 40
TIMEOUT_S = 5.0


class RawServer:
    """Passes each request to a script, which writes the bytes of its answer.

    The script gets the connection, the headers of the request and its number on the
    connection; the connection is closed if it returns true.
    """

    def __init__(self, script):
        self._script = script
        self.requests = []  # headers of each
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        number, data = 0, b""
        try:
            with conn:
                while True:
                    while b"\r\n\r\n" not in data:
                        received = conn.recv(4_096)
                        if not received:
                            return
                        data += received
                    head, _, data = data.partition(b"\r\n\r\n")
                    headers = read_headers(head)
                    length = int(headers.get("content-length", 0))
                    while len(data) < length:
                        data += conn.recv(4_096)
                    data = data[length:]
                    self.requests.append(headers)
                    if self._script(conn, headers, number):
                        return
                    number += 1
        except OSError:
            return


def read_headers(head):
    rows = head.decode("latin-1").split("\r\n")[1:]
    return {
        name.strip().lower(): value.strip()
        for name, _, value in (row.partition(":") for row in rows)
    }


def answer_head(headers, *rows, status="200 OK"):
    """Return the head of a genuine answer to a request."""
    echo = f"{HEADERS.attempt}: {headers.get(HEADERS.attempt, '')}"  # probes have none
    found = [f"HTTP/1.1 {status}", echo, f"{HEADERS.digest}: 3e1b", *rows]
    return "\r\n".join(found).encode() + b"\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class Framing:
    """Writes a stream in chunks, with a length, or without either."""

    def __init__(self, name):
        self.name = name

    def head(self, headers, body):
        rows = {
            "chunks": ["Transfer-Encoding: chunked"],
            "length": [f"Content-Length: {len(body)}"],
            "none": [],
        }
        return answer_head(headers, *rows[self.name])

    def write(self, conn, headers, body, piece_bytes):
        """Write a whole answer; return whether the connection ends with it."""
        conn.sendall(self.head(headers, body))
        for at in range(0, len(body), piece_bytes):
            piece = body[at : at + piece_bytes]
            conn.sendall(chunk(piece) if self.name == "chunks" else piece)
        if self.name == "chunks":
            conn.sendall(b"0\r\n\r\n")
        return self.name == "none"


def following(headers):
    """Return the number of the first event that a request asks for."""
    text = headers.get(HEADERS.last_event, "")
    return int(text) + 1 if text else 0


def sound(conn, headers, number):
    return Framing("chunks").write(conn, headers, events_from(following(headers)), 999)


def events_from(first, last=LAST):
    return b"".join(event(number) for number in range(first, last + 1))


@pytest.fixture
def live(loops):
    """Return a function that sends a request to instances with the given scripts.

    It returns the reply, once that has ended, and the servers.
    """
    servers = []

    def send(path, *scripts, requests=1, config=None):
        loop, client = loops(lambda clock: HttpClient(clock=clock))
        servers.extend(RawServer(script) for script in scripts)
        service = "engines" if path.startswith("/draft") else "book"

        def begin():
            harness = FrontHarness(
                clock=loop.clock, engines=0, books=0, client=client, **(config or {})
            )
            for number, server in enumerate(servers):
                harness.add(f"i{number}", service, head=True, address=server.address)
            return harness

        harness = loop.call(begin)
        replies = []
        for _ in range(requests):
            replies.append(loop.call(lambda: harness.send(path)))
            wait_until(lambda: replies[-1].ended, TIMEOUT_S)
        return replies[-1], servers

    yield send
    for server in servers:
        server.close()


# Guards against bytes that are no event in the answer of a client: review/2.
@pytest.mark.parametrize("piece_bytes", [1, 50, 10_000])
@pytest.mark.parametrize("sound_events", [0, 3, LAST + 1])
@pytest.mark.parametrize("framing", ["chunks", "length", "none"])
def test_a_garbled_stream_continues_on_another_instance(
    live, framing, sound_events, piece_bytes
):
    garbled = whole_stream(sound_events - 1) + FOREIGN + events_from(sound_events)
    asked = []  # in each attempt, the event after which it resumes

    def garbled_once(conn, headers, number):
        asked.append(headers.get(HEADERS.last_event))
        if len(asked) > 1:
            return sound(conn, headers, number)
        return Framing(framing).write(conn, headers, garbled, piece_bytes)

    reply, _ = live("/draft/1", garbled_once, garbled_once)
    assert reply.body == WHOLE and reply.ended and not reply.aborted
    assert asked == [None, str(sound_events - 1) if sound_events else None]


@pytest.mark.parametrize("framing", ["chunks", "length", "none"])
def test_a_stream_garbled_in_its_resumed_part_is_not_ended_as_complete(live, framing):
    def break_off(conn, headers, number):
        first = following(headers)
        if first:
            garbled = event(first) + FOREIGN + events_from(first + 1)
            return Framing(framing).write(conn, headers, garbled, 10_000)
        conn.sendall(Framing("chunks").head(headers, b"") + chunk(events_from(0, 2)))
        return True

    reply, _ = live("/draft/1", break_off, break_off)
    assert reply.aborted and reply.body == events_from(0, 3)


def test_foreign_bytes_without_end_are_given_up(live):
    ended = threading.Event()

    def endless(conn, headers, number):
        conn.sendall(Framing("chunks").head(headers, b"") + chunk(events_from(0, 2)))
        try:
            while True:
                conn.sendall(chunk(b"x" * 8_192))
        except OSError:
            ended.set()
        return True

    reply, _ = live("/draft/1", endless, endless)
    assert reply.aborted and reply.body == events_from(0, 2)
    assert ended.wait(TIMEOUT_S)


class RepeatedRefusal:
    """Refuses the first request of a connection, and then writes that refusal again.

    The later requests run all the same.
    """

    def __init__(self, has_id):
        self._has_id = has_id
        self.runs = []  # attempt ids of the requests that ran

    def __call__(self, conn, headers, number):
        if number == 0:
            echo = f"{HEADERS.attempt}: {headers[HEADERS.attempt]}\r\n"
            self.refusal = (
                f"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                f"{HEADERS.not_run}: 1\r\n{echo if self._has_id else ''}\r\n"
            ).encode()
        else:
            self.runs.append(headers[HEADERS.attempt])
        conn.sendall(self.refusal)


ONE_RUN_STREAM = STREAM_ROUTE | {"resumable": False}


# Guards against "not run" for what ran, and second runs, after an earlier refusal came
# once more on a kept connection.
@pytest.mark.parametrize("has_id", [True, False], ids=["id", "no-id"])
@pytest.mark.parametrize("route", [UNSAFE_ROUTE, ONE_RUN_STREAM])
def test_a_request_that_runs_once_takes_no_connection_with_earlier_answers(
    live, route, has_id
):
    refusals = [RepeatedRefusal(has_id), RepeatedRefusal(has_id)]
    config = {"routes": [route]}
    reply, _ = live(f"{route['path-prefix']}1", *refusals, requests=3, config=config)
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert not refusals[0].runs + refusals[1].runs


@pytest.mark.parametrize("has_id", [True, False], ids=["id", "no-id"])
@pytest.mark.parametrize("route", [SAFE_ROUTE, STREAM_ROUTE])
def test_an_earlier_refusal_is_not_taken_for_that_of_a_later_request(
    live, route, has_id
):
    refusals = [RepeatedRefusal(has_id), RepeatedRefusal(has_id)]
    reply, _ = live(f"{route['path-prefix']}1", *refusals, requests=2)
    runs = refusals[0].runs + refusals[1].runs
    assert runs == ["a2"] * route["max-attempts"]
    assert (reply.status, reply.outcome) == (502, "unknown")


class RefusalBeforeAnswer:
    """Runs each request, and writes a refusal of it and its answer in one piece."""

    def __init__(self, has_id):
        self._has_id = has_id
        self.runs = []  # attempt ids of the requests that ran

    def __call__(self, conn, headers, number):
        self.runs.append(headers[HEADERS.attempt])
        echo = f"{HEADERS.attempt}: {headers[HEADERS.attempt]}\r\n"
        refusal = (
            f"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
            f"{HEADERS.not_run}: 1\r\n{echo if self._has_id else ''}\r\n"
        ).encode()
        conn.sendall(refusal + answer_head(headers, "Content-Length: 2") + b"ok")


# Guards against a second run, and "not run" for what ran, after a refusal that was
# written in one piece with the answer.
@pytest.mark.parametrize("has_id", [True, False], ids=["id", "no-id"])
@pytest.mark.parametrize("route", [UNSAFE_ROUTE, ONE_RUN_STREAM])
def test_a_refusal_in_one_piece_with_an_answer_is_not_believed(live, route, has_id):
    instances = [RefusalBeforeAnswer(has_id), RefusalBeforeAnswer(has_id)]
    config = {"routes": [route]}
    reply, _ = live(f"{route['path-prefix']}1", *instances, config=config)
    assert len(instances[0].runs + instances[1].runs) == 1
    assert (reply.status, reply.outcome) == (502, "unknown")


def error_answer(status, *rows, body=b"out of memory", digest=True):
    def answer(conn, headers, number):
        length = f"Content-Length: {len(body)}"
        head = answer_head(headers, length, *rows, status=status)
        if not digest:
            head = head.replace(HEADERS.digest.encode(), b"x-other")
        conn.sendall(head + body)

    return answer


def foreign_head_in_a_stream(conn, headers, number):
    head = Framing("chunks").head(headers, b"")
    conn.sendall(head + chunk(b"HTTP/1.1 500 Error\r\n\r\nout of memory") + chunk(b""))


def foreign_head_between_chunks(conn, headers, number):
    head = Framing("chunks").head(headers, b"")
    conn.sendall(head + b"HTTP/1.1 500 Error\r\n\r\nout of memory")


# Guards against the text or the head of an error within a stream that had begun, and
# against its end as complete.
@pytest.mark.parametrize(
    "answer",
    [
        error_answer("500 Error"),
        error_answer("500 Error", digest=False),
        error_answer("404 Not Found"),
        error_answer("503 Busy", f"{HEADERS.not_run}: 1"),
        error_answer("421 Misdirected", body=b""),
        error_answer("200 OK", digest=False),
        error_answer("200 OK"),
        error_answer("200 OK", body=b'{"error": "out of memory"}\n\n'),
        error_answer("200 OK", body=b"", digest=False),
        error_answer("204 No Content", body=b""),
        error_answer("000 None"),
        error_answer("600 None"),
        foreign_head_in_a_stream,
        foreign_head_between_chunks,
    ],
)
def test_an_error_after_a_stream_broke_off_is_no_part_of_it(live, answer):
    asked = []

    def break_off_first(conn, headers, number):
        asked.append(headers)
        if len(asked) > 1:
            return answer(conn, headers, number)
        conn.sendall(Framing("chunks").head(headers, b"") + chunk(events_from(0, 2)))
        return True

    reply, _ = live("/draft/1", break_off_first, break_off_first)
    assert len(asked) >= 2
    assert reply.status == 200 and reply.body == events_from(0, 2)
    assert reply.aborted


# Guards against an instance that ends after the head of a resumed answer.
@pytest.mark.parametrize("framing", ["chunks", "length", "none"])
def test_an_empty_resumed_answer_is_complete_only_with_an_end_of_its_own(live, framing):
    asked = []

    def break_off_first(conn, headers, number):
        asked.append(headers)
        if len(asked) > 1:
            return Framing(framing).write(conn, headers, b"", 1)
        conn.sendall(Framing("chunks").head(headers, b"") + chunk(events_from(0, 2)))
        return True

    reply, _ = live("/draft/1", break_off_first, break_off_first)
    assert reply.body == events_from(0, 2)
    assert reply.aborted == (framing == "none")


def cut_heads(step):
    """Return the beginnings of the head of an answer, for a length and for chunks."""
    rows = (f"{HEADERS.attempt}: a1", f"{HEADERS.digest}: 3e1b")
    for last in ("Content-Length: 2", "Transfer-Encoding: chunked"):
        head = "\r\n".join(["HTTP/1.1 200 OK", *rows, last]) + "\r\n\r\n"
        yield from (head[:at].encode() for at in range(0, len(head), step))


# Guards against a 200 with an empty or short body after a head that broke off.
def test_a_head_that_breaks_off_anywhere_is_no_answer(loops):
    heads = list(cut_heads(1))
    written = iter(heads)

    def break_off(conn, headers, number):
        conn.sendall(next(written))
        return True

    server = RawServer(break_off)
    loop, client = loops(lambda clock: HttpClient(clock=clock))
    answers = []

    def request_next(*answer):
        answers.extend(answer)
        if len(answers) < 2 * len(heads):
            client.request(
                address=server.address,
                method="GET",
                target="/",
                headers=((HEADERS.attempt, "a1"),),
                sink=BufferedSink(done=request_next),
                timeout_s=TIMEOUT_S,
            )

    loop.call(request_next)
    wait_until(lambda: len(answers) == 2 * len(heads))
    server.close()
    assert set(answers[::2]) == {None}
    assert {type(error) for error in answers[1::2]} == {ConnectionLost}


@pytest.mark.parametrize("head", list(cut_heads(24)))
@pytest.mark.parametrize("path", ["/swap/1", "/look-up/1", "/draft/1"])
def test_callers_get_no_success_after_a_head_that_broke_off(live, path, head):
    def break_off(conn, headers, number):
        conn.sendall(head)
        return True

    reply, _ = live(path, break_off, break_off)
    assert (reply.status, reply.outcome) == (502, "unknown")


# Of these, h11 passes on those from 600.
NO_FINAL_STATUSES = [
    "000 None",
    "099 None",
    "101 Switching Protocols",
    "600 None",
    "999 None",
]
PATHS = ["/swap/1", "/look-up/1", "/draft/1"]


# Guards against an answer with the status 000, of an instance in trouble, to a caller.
@pytest.mark.parametrize("status", NO_FINAL_STATUSES)
@pytest.mark.parametrize("path", PATHS)
def test_callers_get_no_status_that_ends_no_exchange(live, path, status):
    answer = error_answer(status)
    reply, _ = live(path, answer, answer)
    assert (reply.status, reply.outcome) == (502, "unknown")


# Guards against "not run" by an answer that HTTP does not define.
@pytest.mark.parametrize("status", NO_FINAL_STATUSES)
@pytest.mark.parametrize("path", PATHS)
def test_no_refusal_is_read_from_a_status_that_ends_no_exchange(live, path, status):
    answer = error_answer(status, f"{HEADERS.not_run}: 1")
    reply, _ = live(path, answer, answer)
    assert (reply.status, reply.outcome) == (502, "unknown")


@pytest.mark.parametrize("status", NO_FINAL_STATUSES)
def test_a_stream_goes_on_after_a_status_that_ends_no_exchange(live, status):
    asked = []

    def answer_none_first(conn, headers, number):
        asked.append(headers)
        if len(asked) > 1:
            return sound(conn, headers, number)
        return error_answer(status)(conn, headers, number)

    reply, _ = live("/draft/1", answer_none_first, answer_none_first)
    assert len(asked) == 2 and reply.body == WHOLE and not reply.aborted


@pytest.fixture
def raw_answer(loops):
    """Return a function that starts a server, which answers all with a status line.

    It returns the loop, a client in it, and the address of the server.
    """
    servers = []

    def start(status, *rows):
        def answer(conn, headers, number):
            echo = f"{HEADERS.attempt}: {headers.get(HEADERS.attempt, '')}"
            head = [f"HTTP/1.1 {status}", echo, *rows, "Content-Length: 2"]
            conn.sendall("\r\n".join(head).encode() + b"\r\n\r\n{}")

        servers.append(RawServer(answer))
        loop, client = loops(lambda clock: HttpClient(clock=clock))
        return loop, client, servers[-1].address

    yield start
    for server in servers:
        server.close()


def closed_address():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.mark.parametrize("status", NO_FINAL_STATUSES)
@pytest.mark.parametrize("path", PATHS)
def test_no_status_that_ends_no_exchange_comes_through_another_entry(
    raw_answer, path, status
):
    loop, client, address = raw_answer(status, f"{HEADERS.digest}: 3e1b")
    service = "engines" if path.startswith("/draft") else "book"
    peer = ForwardPeer(name=EntryId("n1"), address=address, failure_domain="a")

    def begin():
        harness = FrontHarness(clock=loop.clock, engines=0, books=0, client=client)
        harness.forward_codec.set_key(b"shared")
        harness.add("i0", service, head=True, address=closed_address())
        harness.send(path)  # which finds that no instance is reached
        return harness

    harness = loop.call(begin)
    wait_until(lambda: harness.reach.is_cut_off(service), TIMEOUT_S)
    loop.call(lambda: harness.forward_peers.set_peers([peer]))
    reply = loop.call(lambda: harness.send(path))
    wait_until(lambda: reply.ended, TIMEOUT_S)
    assert (reply.status, reply.outcome) == (502, "unknown")


@pytest.mark.parametrize("status", NO_FINAL_STATUSES)
def test_a_status_that_ends_no_exchange_answers_no_order_report_or_probe(
    raw_answer, status
):
    loop, client, address = raw_answer(status)
    control = HttpInstanceControl(client=client)
    harness = loop.call(
        lambda: FrontHarness(clock=loop.clock, engines=0, books=0, client=client)
    )
    harness.add("i0", "engines", address=address)
    instance = harness.fleet.at(address)
    order = Order(kind=OrderKind.OPEN, group=GroupId("g"), epoch=1)
    orders, reports, probes = [], [], []

    def send_all():
        control.order(to=instance, order=order, done=orders.append)
        control.report(of=instance, done=lambda *report: reports.append(report))
        control.probe(
            of=instance,
            connect_timeout_s=TIMEOUT_S,
            timeout_s=TIMEOUT_S,
            done=probes.append,
        )

    loop.call(send_all)
    wait_until(lambda: orders and reports and probes, TIMEOUT_S)
    assert orders == [OrderResult.UNKNOWN]
    assert reports[0][0] is None
    assert probes == [ProbeResult.UNANSWERED]


# Guards against writes that count as refused, which may have been applied.
@pytest.mark.parametrize("status", NO_FINAL_STATUSES)
def test_a_status_that_ends_no_exchange_is_no_answer_of_the_store(raw_answer, status):
    loop, client, address = raw_answer(status)
    store = LogStore(client=client, address=address)
    results = []

    def call_all():
        store.append(topic="t", records=[b"x"], done=results.append)
        store.read(topic="t", offset=0, done=results.append)
        store.read_newest(topic="t", done=results.append)
        store.join_group(
            group="g",
            member="m",
            topic="t",
            ttl_ms=1_000,
            generation=0,
            done=results.append,
        )
        store.leave_group(group="g", member="m", done=results.append)

    loop.call(call_all)
    wait_until(lambda: len(results) == 5, TIMEOUT_S)
    assert {type(result.err_value) for result in results} == {StoreUnreachable}
