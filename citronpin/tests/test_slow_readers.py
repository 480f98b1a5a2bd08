"""Callers that read their answers slowly or not at all, and what instances see."""

import contextlib
import socket
from types import SimpleNamespace

import pytest

from citronpin.gateway.slow_readers import (
    INSTANCE_STALL_S,
    MAX_UNREAD_BYTES,
    UNREAD_HIGH_BYTES,
    UNREAD_LOW_BYTES,
    BoundedReaders,
    Pause,
    ReaderAction,
    UnboundedReaders,
)
from citronpin.platform.names import HEADERS
from citronpin.tests.conftest import wait_until
from citronpin.tests.platforms.requests import (
    STREAM_ROUTE,
    CallerReply,
    FrontHarness,
    ScriptedStream,
    instance_headers,
)
from citronpin.web.http_conns import BoundedHttp

TICK_S = 0.05
EVENT_BYTES = 16 * 1024


class PatientInstance(ScriptedStream):
    """Writes large events while its answer is read, and notes how long it is not."""

    longest_s = unread_s = 0.0

    def __call__(self, exchange):
        self.exchange, self.number = exchange, 0
        exchange.head(200, instance_headers(exchange))
        self._write()

    def _write(self):
        if self.exchange.ended:
            return
        self.clock.call_later(TICK_S, self._write)
        if self.exchange in self.client.paused and self.client.is_paused(self.exchange):
            self.unread_s += TICK_S
            self.longest_s = max(self.longest_s, self.unread_s)
            return
        self.unread_s = 0.0
        if self.number > self.last:
            self.exchange.end()
            return
        text = b"x" * EVENT_BYTES
        self.exchange.data(b"id: %d\ndata: %b\n\n" % (self.number, text))
        self.number += 1


class QueuedReply(CallerReply):
    """Keeps what its caller has not taken queued."""

    taken = 0

    @property
    def buffered_bytes(self):
        return len(self.body) - self.taken


class Reader:
    """Takes bytes of a reply as a test tells."""

    def __init__(self, gateway, instance):
        self.gateway = gateway
        instance.client = gateway.client
        gateway.scripts["*"] = instance
        self.reply = gateway.send("/draft/1", **{HEADERS.deadline_ms: "60000"})
        self.reply.__class__ = QueuedReply
        self.most_bytes = 0

    def run(self, seconds, *, bytes_per_s=0):
        """Let time pass, and take bytes once a second."""
        for step in range(round(seconds / TICK_S)):
            self.gateway.clock.advance(TICK_S)
            if bytes_per_s and step % 20 == 19:
                self.take(bytes_per_s)
            self.most_bytes = max(self.most_bytes, self.reply.buffered_bytes)

    def take(self, count):
        self.reply.taken = min(self.reply.taken + count, len(self.reply.body))


def make_gateway(clock, readers):
    routes = [STREAM_ROUTE | {"timeout-ms": 60_000}]
    harness = FrontHarness(clock=clock, routes=routes)
    harness.context.readers = readers
    return harness


@pytest.fixture
def gateway(paused_clock):
    return make_gateway(paused_clock, BoundedReaders())


@pytest.fixture
def instance(paused_clock):
    return PatientInstance(clock=paused_clock, last=60)


def test_a_caller_that_never_reads_releases_the_instance(gateway, instance):
    # The instance was held until the time-out of the route.
    reader = Reader(gateway, instance)
    reader.run(INSTANCE_STALL_S / 2 + 1.0)
    assert reader.reply.aborted and instance.exchange.ended
    assert not gateway.loads.own() and not gateway.context.open_exchanges
    assert instance.longest_s <= INSTANCE_STALL_S / 2 + TICK_S
    assert reader.most_bytes <= UNREAD_HIGH_BYTES + 3 * EVENT_BYTES
    assert not gateway.suspects.is_avoided("e0", now_s=gateway.clock.now())


def test_the_baseline_holds_the_instance_for_a_caller_that_never_reads(
    paused_clock, instance
):
    reader = Reader(make_gateway(paused_clock, UnboundedReaders()), instance)
    reader.run(10.0)
    assert not reader.reply.aborted and not instance.exchange.ended


def test_a_caller_that_reads_a_little_each_second_is_served_within_its_share(
    gateway, instance
):
    reader = Reader(gateway, instance)
    reader.run(10.0, bytes_per_s=4 * 1024)
    assert not reader.reply.aborted and reader.reply.taken > 0
    assert instance.longest_s <= INSTANCE_STALL_S / 2 + TICK_S
    assert reader.most_bytes <= MAX_UNREAD_BYTES


@pytest.mark.parametrize(
    "queued_bytes, now_s, action",
    [
        (UNREAD_LOW_BYTES, 0.1, ReaderAction.READ),
        (MAX_UNREAD_BYTES, 2.4, ReaderAction.WAIT),
        (MAX_UNREAD_BYTES, 2.5, ReaderAction.READ),
        (MAX_UNREAD_BYTES + 1, 2.5, ReaderAction.CLOSE),
        (MAX_UNREAD_BYTES + 9, 2.4, ReaderAction.WAIT),
        (MAX_UNREAD_BYTES + 9, 2.5, ReaderAction.CLOSE),
    ],
)
def test_a_pause_ends_by_its_time_and_by_what_is_queued(queued_bytes, now_s, action):
    # A caller that takes a byte a second must not have all of an answer kept for it.
    pause = Pause(0.0, MAX_UNREAD_BYTES + 9)
    decided = BoundedReaders().decide(
        pause, queued_bytes=queued_bytes, unread_bytes=queued_bytes, now_s=now_s
    )
    assert decided is action


def test_a_caller_that_reads_again_shortly_before_the_limit_gets_all(gateway, instance):
    reader = Reader(gateway, instance)
    reader.run(INSTANCE_STALL_S / 2)
    reader.take(10**9)
    reader.run(15.0, bytes_per_s=10**9)
    assert not reader.reply.aborted and reader.reply.ended
    assert len(reader.reply.body) > 61 * EVENT_BYTES
    assert len(gateway.sent_requests()) == 1


def test_bytes_in_the_kernel_count_as_unread():
    # A caller that reads a few KB/s frees no third of the kernel's buffer in a pause,
    # and was taken for one that does not read at all.
    http = SimpleNamespace(buffered_bytes=lambda sock: 7)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * 1024)
    server.setblocking(False)
    with client, server:
        with contextlib.suppress(BlockingIOError):
            while True:
                server.send(b"x" * 4096)
        unread_bytes = BoundedHttp.unread_bytes(http, server)
        assert unread_bytes > 7 + 4096

        def has_shrunk():
            client.recv(1024)
            return BoundedHttp.unread_bytes(http, server) < unread_bytes

        wait_until(has_shrunk)
    assert BoundedHttp.unread_bytes(http, server) == 7  # the socket is closed


def test_bytes_that_come_within_a_pause_do_not_hide_what_the_caller_reads(
    gateway, instance
):
    # A shorter pause, for want of memory, ends first, and the answer is read on.
    reader = Reader(gateway, instance)
    reader.run(1.0)
    assert gateway.client.paused
    gateway.client.paused.clear()
    reader.run(1.0, bytes_per_s=4 * 1024)
    reader.run(1.0, bytes_per_s=4 * 1024)
    assert not reader.reply.aborted


def test_pauses_for_want_of_memory_are_no_pauses_of_the_caller(gateway, instance):
    # All answers are read slower then, also those of callers that read at once.
    gateway.context.account.capacity_bytes = -1
    favoured = Reader(gateway, PatientInstance(clock=gateway.clock, last=60))
    reader = Reader(gateway, instance)
    for _ in range(5):
        reader.run(1.0, bytes_per_s=10**9)
        favoured.take(10**9)
    assert not reader.reply.aborted and not favoured.reply.aborted
