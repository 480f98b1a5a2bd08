"""Feeds the server side of HTTP connections without sockets, on the paused clock."""

from collections import defaultdict, deque

from circuits import BaseComponent, handler
from circuits.net.events import connect, disconnect

from citronpin.basics.clocks import PausedClock
from citronpin.web.byte_accounts import ByteAccount
from citronpin.web.http_conns import BoundedHttp, ServerLimits
from citronpin.web.replies import HttpHandler

LEAVE_S = 120.0  # after which every time limit has passed


class MemorySocket:
    """A connection whose client takes ``window_bytes`` before it has to read."""

    def __init__(self, *, window_bytes):
        self.window_bytes = window_bytes
        self.received = bytearray()

    def send(self, data):
        if not self.window_bytes:
            raise BlockingIOError
        sent = min(len(data), self.window_bytes)
        self.window_bytes -= sent
        self.received += data[:sent]
        return sent

    def getpeername(self):
        return ("10.0.0.1", 1)


class MemoryListener:
    """Takes the place of `Listener` and records which connections it reads."""

    host, port = "10.0.0.2", 80

    def __init__(self):
        self._clients = []
        self._buffers = defaultdict(deque)
        self.paused = set()
        self.read_in_small_pieces = set()
        self.is_accepting = True

    def pause_reading(self, sock):
        self.paused.add(sock)

    def read_less(self, sock, is_less):
        if is_less:
            self.read_in_small_pieces.add(sock)
        else:
            self.read_in_small_pieces.discard(sock)

    def resume_reading(self, sock):
        self.paused.discard(sock)

    def resume_accepting(self):
        self.is_accepting = True

    def queue(self, sock, data):
        self._buffers[sock].append(data)


class ParserHarness(BaseComponent):
    """A `BoundedHttp` whose connections are driven by a test.

    ``faults`` are the exceptions that reached the event loop.
    """

    channel = "memory"

    class Server:
        channel = "memory"
        host, port, secure = "10.0.0.2", 80, False

        def __init__(self):
            self.server = MemoryListener()

    def __init__(
        self, *, target: HttpHandler, limits: ServerLimits, account: ByteAccount
    ):
        super().__init__(channel=self.channel)
        self.clock = PausedClock()
        self.account = account
        self.faults = []
        self.listener_owner = self.Server()
        self.listener = self.listener_owner.server
        self.http = BoundedHttp(
            server=self.listener_owner,
            limits=limits,
            clock=self.clock,
            request_handler=target,
            account=account,
        ).register(self)
        self._closing = []
        self.pump()

    def connect(self, window_bytes=1 << 30):
        """Open a connection and return its socket."""
        sock = MemorySocket(window_bytes=window_bytes)
        self.listener._clients.append(sock)
        self.fire(connect(sock, "10.0.0.1", 1), self.channel)
        self.pump()
        return sock

    def is_open(self, sock):
        return sock in self.listener._clients

    def send(self, sock, data):
        """Deliver bytes of a client, unless the connection is closed or not read."""
        if self.is_open(sock) and sock not in self.listener.paused:
            self.http.on_read(sock, data)
            self.pump()

    def take(self, sock, count):
        """Let a client read bytes that are queued for it."""
        sock.window_bytes += count
        buffer = self.listener._buffers[sock]
        while buffer and sock.window_bytes and self.is_open(sock):
            data = buffer.popleft()
            sent = sock.send(data)
            if sent < len(data):
                buffer.appendleft(data[sent:])
            self.http.on_sent(sock, sent)
        self._close_flushed()
        self.pump()

    def advance(self, seconds):
        """Let time pass in steps."""
        self.clock.advance(seconds)
        self.pump()

    def leave(self, sock):
        """Close a connection from the side of the client."""
        self._disconnect(sock)
        self.pump()

    def pump(self):
        """Handle all events that are queued."""
        while len(self):
            self.flush()

    @handler("close")
    def _on_close(self, sock):
        if self.listener._buffers.get(sock):
            self._closing.append(sock)
        else:
            self._disconnect(sock)

    def _close_flushed(self):
        for sock in list(self._closing):
            if not self.listener._buffers.get(sock):
                self._closing.remove(sock)
                self._disconnect(sock)

    def _disconnect(self, sock):
        if self.is_open(sock):
            self.listener._clients.remove(sock)
            self.listener._buffers.pop(sock, None)
            self.listener.paused.discard(sock)
            self.fire(disconnect(sock), self.channel)

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, traceback, handler=None, fevent=None):
        self.faults.append(value)
