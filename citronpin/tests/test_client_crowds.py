"""Crowds of clients that nobody controls do not end or fill a gateway process.

Each test starts a gateway process with lowered limits. It checks that the process
lives, that its resident memory and its open descriptors stayed within these limits, and
that an ordinary request is answered afterwards. Before the account of bytes, a process
kept all that a crowd sent or left unread.
"""

import pytest

from citronpin.tests.conftest import wait_until
from citronpin.tests.crowds import Client, Crowd, Entry, head

BODY_BYTES = 4 * 1024 * 1024 - 1024  # just under the limit
SHORT_BYTES = 512  # that most clients keep back
MAX_FDS = 320  # 200 of them for files
CROWD_LIMIT_S = 9.0  # for which a crowd acts at most


@pytest.fixture
def start_entry(tmp_path):
    """Return a function that starts a gateway process with lowered limits."""
    started = []

    def start(memory_mb):
        limits = {"memory-mb": memory_mb, "max-fds": MAX_FDS}
        started.append(Entry(folder=tmp_path, limits=limits))
        started[-1].wait_until_it_serves()
        return started[-1]

    yield start
    for entry in started:
        entry.close()


def meet(entry, clients, *, memory_mb, limit_s=CROWD_LIMIT_S, port=None):
    """Let a crowd act on a process, and check what must hold meanwhile and after."""
    crowd = Crowd(port=port or entry.node.front_port, clients=clients, limit_s=limit_s)
    try:
        crowd.run(entry)
        assert entry.is_alive, "the process has ended"
        assert entry.peak_mb <= memory_mb
        entry.wait_until_it_serves()
        assert entry.peak_mb <= memory_mb
        assert max(crowd.samples) <= MAX_FDS
    finally:
        crowd.close()


def cut_short(number, payload):
    """Return a body whole for every eighth client, short of its end for the others."""
    return payload if number % 8 == 0 else payload[:-SHORT_BYTES]


@pytest.mark.parametrize("piece_bytes", [1 << 20, 16 * 1024])
def test_large_bodies_that_stop_short_of_their_end(start_entry, piece_bytes):
    body = b"b" * BODY_BYTES
    length = f"Content-Length: {len(body)}\r\n"
    clients = []
    for number in range(48):
        start = head("/swap/1", number=number, extra=length)
        payload = memoryview(start + cut_short(number, body))
        clients.append(Client(payload=payload, piece_bytes=piece_bytes))
    meet(start_entry(112), clients, memory_mb=112)


@pytest.mark.parametrize(
    "chunk_bytes, body_bytes, count, memory_mb, limit_s",
    [
        (64 * 1024, BODY_BYTES, 48, 112, CROWD_LIMIT_S),
        (1, 64 * 1024, 32, 50, 12.0),  # a process handled 20,000 such chunks per second
    ],
)
def test_chunked_bodies_that_stop_short_of_their_end(
    start_entry, chunk_bytes, body_bytes, count, memory_mb, limit_s
):
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"c" * chunk_bytes)
    body = chunk * (body_bytes // chunk_bytes) + b"0\r\n\r\n"
    clients = []
    for number in range(count):
        start = head("/swap/1", number=number, extra="Transfer-Encoding: chunked\r\n")
        clients.append(Client(payload=memoryview(start + cut_short(number, body))))
    meet(start_entry(memory_mb), clients, memory_mb=memory_mb, limit_s=limit_s)


@pytest.mark.parametrize(
    "method, path, answer_bytes, count, memory_mb",
    [
        ("GET", "/look-up", 2 * 1024 * 1024, 48, 112),
        ("POST", "/draft", 12 * 1024 * 1024, 24, 56),  # the kernel takes 4 MiB of each
    ],
)
def test_long_answers_that_are_read_slowly_or_not_at_all(
    start_entry, method, path, answer_bytes, count, memory_mb
):
    clients = []
    for number in range(count):
        start = head(f"{path}/{answer_bytes}", method, number, "Content-Length: 0\r\n")
        is_reader = number % 2 == 0
        clients.append(Client(payload=memoryview(start), is_reader=is_reader))
    entry = start_entry(memory_mb)
    if path == "/draft":
        for model in ("small", "big"):
            entry.wait_until_it_serves("POST", "/draft/1", model)
    meet(entry, clients, memory_mb=memory_mb)


def test_more_connections_than_descriptors(start_entry):
    clients = [
        Client(payload=memoryview(head("/swap/1", number=number)[:-2]))
        for number in range(MAX_FDS + 80)
    ]
    meet(start_entry(112), clients, memory_mb=112)


def test_ports_for_readiness_and_metrics_have_the_same_bounds(start_entry):
    # They took bodies of 4 MiB each, and connections without a bound.
    entry = start_entry(56)
    bodies = []
    for size in (BODY_BYTES, 16_000):
        start = head("/v1/readyz", extra=f"Content-Length: {size}\r\n")
        bodies.append(memoryview(start + b"b" * (size - SHORT_BYTES)))
    for port in (entry.node.ready_port, entry.node.metrics_port):
        clients = [Client(payload=bodies[number % 2]) for number in range(60)]
        meet(entry, clients, memory_mb=56, limit_s=6.0, port=port)
    wait_until(lambda: entry.node.is_ready)


def test_one_large_request_and_one_large_answer_are_served(start_entry):
    # The limits of a request hold on a machine of 200 MB.
    entry = start_entry(200)
    body = b"b" * (4 * 1024 * 1024)
    assert entry.request("POST", "/swap/1", body, timeout_s=20.0) == 200
    assert entry.request("GET", f"/look-up/{16 * 1024 * 1024}", timeout_s=20.0) == 200
    assert entry.peak_mb <= 200
