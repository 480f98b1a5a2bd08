"""HTTP client: many keep-alive connections in one task.

`circuits.web.client` gives an answer only when it is whole, and the parser of
`circuits.web` fails on a chunk whose line end arrives in a later segment; the
parsing is therefore done by `h11`.
"""

import errno
import logging
import socket
from abc import ABC, abstractmethod
from collections import deque

import h11
import msgspec
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.errors import (
    CitronpinError,
    ConnectionFailed,
    ConnectionLost,
    TimedOut,
)

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 2.0
USER_TIMEOUT_MS = 4_000  # unacknowledged data ends a connection that fell silent
KEEP_ALIVE_SLACK_S = 0.5  # reuse ends this long before the server's own time-out
MS_PER_S = 1_000
IDLE_LIMIT_S = 30.0
MAX_IDLE_PER_ADDRESS = 64
MAX_HEADER_BYTES = 64 * 1024
READ_BYTES = 64 * 1024


class ResponseSink(ABC):
    """Takes an answer piece by piece, in the event loop."""

    @abstractmethod
    def head(self, status: int, headers: dict[str, str]) -> None:
        """Take the status and the headers, whose names are lower-case."""

    @abstractmethod
    def data(self, data: bytes) -> None:
        """Take a piece of the body."""

    @abstractmethod
    def end(self) -> None:
        """The body is whole."""

    @abstractmethod
    def failed(self, error: CitronpinError) -> None:
        """No more will come.

        `ConnectionFailed` proves that no byte of the request was sent.
        """


class BufferedSink(ResponseSink):
    """Collects a bounded answer and passes it on when it is whole.

    ``done`` is called once with ``(status, headers, body)`` or with an error.
    """

    def __init__(self, *, done, limit_bytes: int = 16 * 1024 * 1024) -> None:
        self._done = done
        self._limit_bytes = limit_bytes
        self._size = 0
        self._parts: list[bytes] = []
        self.status = 0
        self.headers: dict[str, str] = {}

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers

    def data(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= self._limit_bytes:
            self._parts.append(data)

    def end(self) -> None:
        if self._size > self._limit_bytes:
            self.failed(ConnectionLost("The answer is longer than its bound."))
            return
        self._done((self.status, self.headers, b"".join(self._parts)), None)

    def failed(self, error: CitronpinError) -> None:
        self._done(None, error)


class Exchange:
    """One request and its answer."""

    def __init__(
        self,
        *,
        address: str,
        head: h11.Request,
        body: bytes,
        sink: ResponseSink,
        timeout_s: float | None,
        connect_timeout_s: float,
        max_idle_s: float,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.max_idle_s = max_idle_s
        self.address = address
        self.head = head
        self.body = body
        self.sink = sink
        self.timeout_s = timeout_s
        self.timer: TimerHandle | None = None
        self.conn: Connection | None = None
        self.ended = False


class Connection:
    """One TCP connection to a server."""

    def __init__(self, *, address: str, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.parser = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.out: deque[memoryview] = deque()
        self.connected = False
        self.sent_bytes = 0
        self.served = 0
        self.idle_since_s = 0.0
        self.keep_alive_s = IDLE_LIMIT_S  # how long the server keeps it idle
        self.exchange: Exchange | None = None
        self.connect_timer: TimerHandle | None = None


class ClientCounters(msgspec.Struct):
    """What a client has sent and received since its start."""

    requests: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class HttpClient(BaseComponent):
    """Owns the connections to back ends and platform services."""

    channel = "http-client"

    def __init__(self, *, clock: Clock, channel: str = channel) -> None:
        super().__init__(channel=channel)
        self._clock = clock
        self.counters = ClientCounters()
        self._poller: BasePoller | None = None
        self._conns: dict[socket.socket, Connection] = {}
        self._idle: dict[str, deque[Connection]] = {}

    def _find_poller(self) -> BasePoller:
        """Return the poller of the root, which gets one if it has none."""
        if self._poller is None:
            found = findcmp(self.root, BasePoller)
            self._poller = found if found is not None else EPoll().register(self)
        return self._poller

    def request(
        self,
        *,
        address: str,
        method: str,
        target: str,
        sink: ResponseSink,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        timeout_s: float | None = 10.0,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle_s: float = IDLE_LIMIT_S,
        host: str | None = None,
    ) -> Exchange:
        """Send a request to ``IP:PORT``; the sink is told all that follows.

        A connection that was idle for ``max_idle_s`` is not used again; 0 makes a
        new one. ``host`` replaces the address in the ``Host`` header.
        """
        self.counters.requests += 1
        fields = [("Host", host or address), *headers]
        if body or method in ("POST", "PUT", "PATCH"):
            fields.append(("Content-Length", str(len(body))))
        exchange = Exchange(
            address=address,
            head=h11.Request(method=method, target=target, headers=fields),
            body=body,
            sink=sink,
            timeout_s=timeout_s,
            connect_timeout_s=connect_timeout_s,
            max_idle_s=max_idle_s,
        )
        if timeout_s is not None:
            exchange.timer = self._clock.call_later(
                timeout_s, lambda: self._expire(exchange)
            )
        self._assign(exchange)
        return exchange

    def cancel(self, exchange: Exchange) -> None:
        """Give up an exchange; its sink hears no more."""
        if exchange.ended:
            return
        self._finish(exchange)
        if exchange.conn is not None:
            self._close(exchange.conn)

    def close_all(self) -> None:
        """Close every connection and fail what is under way."""
        for conn in list(self._conns.values()):
            self._lose(conn, "The client is closing.")

    def _assign(self, exchange: Exchange) -> None:
        conn = self._take_idle(exchange)
        if conn is None:
            conn = self._connect(exchange)
        if conn is None:
            return
        exchange.conn = conn
        conn.exchange = exchange
        if conn.connected:
            self._send(conn)

    def _take_idle(self, exchange: Exchange) -> Connection | None:
        idle = self._idle.get(exchange.address)
        while idle and exchange.max_idle_s > 0:
            conn = idle.pop()
            idle_s = self._clock.now() - conn.idle_since_s
            fresh = idle_s < min(exchange.max_idle_s, conn.keep_alive_s)
            if fresh and not _has_input(conn.sock):
                return conn
            self._close(conn)
        return None

    def _connect(self, exchange: Exchange) -> Connection | None:
        host, _, port = exchange.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        try:
            code = sock.connect_ex((host, int(port)))
        except (OSError, ValueError) as exc:
            code = getattr(exc, "errno", None) or errno.EINVAL
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            self._fail_later(exchange, ConnectionFailed(f"{exchange.address}: {code}."))
            return None
        conn = Connection(address=exchange.address, sock=sock)
        self._conns[sock] = conn
        conn.connect_timer = self._clock.call_later(
            exchange.connect_timeout_s,
            lambda: self._lose(conn, "No connection in time."),
        )
        self._find_poller().addWriter(self, sock)
        return conn

    def _fail_later(self, exchange: Exchange, error: CitronpinError) -> None:
        self._clock.call_later(0.0, lambda: self._fail(exchange, error))

    def _send(self, conn: Connection) -> None:
        exchange = conn.exchange
        parts = [conn.parser.send(exchange.head)]
        if exchange.body:
            parts.append(conn.parser.send(h11.Data(data=exchange.body)))
        parts.append(conn.parser.send(h11.EndOfMessage()))
        conn.out.append(memoryview(b"".join(parts)))
        conn.sent_bytes = 0
        self._flush(conn)

    def _flush(self, conn: Connection) -> None:
        while conn.out:
            try:
                sent = conn.sock.send(conn.out[0])
            except BlockingIOError:
                break
            except OSError as exc:
                self._lose(conn, str(exc))
                return
            conn.sent_bytes += sent
            self.counters.bytes_sent += sent
            rest = conn.out[0][sent:]
            if rest:
                conn.out[0] = rest
            else:
                conn.out.popleft()
        self._watch_writes(conn)

    def _watch_writes(self, conn: Connection) -> None:
        writing = self._poller.isWriting(conn.sock)
        if conn.out and not writing:
            self._poller.addWriter(self, conn.sock)
        elif not conn.out and writing:
            self._poller.removeWriter(conn.sock)

    @handler("_write")
    def _on_write(self, sock) -> None:
        conn = self._conns.get(sock)
        if conn is None:
            return
        if conn.connected:
            self._flush(conn)
            return
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._lose(conn, errno.errorcode.get(code, str(code)))
            return
        conn.connected = True
        conn.connect_timer.cancel()
        self._poller.addReader(self, sock)
        if conn.exchange is None:
            self._watch_writes(conn)
            self._park(conn)
            return
        self._send(conn)

    @handler("_read")
    def _on_read(self, sock) -> None:
        conn = self._conns.get(sock)
        if conn is None:
            return
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._lose(conn, str(exc))
            return
        self.counters.bytes_received += len(data)
        if conn.exchange is None:
            self._close(conn)
            return
        self._parse(conn, data)

    @handler("_disconnect", "_error")
    def _on_disconnect(self, sock, *args) -> None:
        conn = self._conns.get(sock)
        if conn is not None:
            self._lose(conn, "The connection was closed by the other side.")

    def _parse(self, conn: Connection, data: bytes) -> None:
        exchange = conn.exchange
        try:
            conn.parser.receive_data(data)
            while not exchange.ended:
                event = conn.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                self._deliver(conn, exchange, event)
        except h11.RemoteProtocolError as exc:
            self._lose(conn, str(exc))

    def _deliver(self, conn: Connection, exchange: Exchange, event) -> None:
        if isinstance(event, h11.Data):
            exchange.sink.data(bytes(event.data))
        elif isinstance(event, h11.Response):
            headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
            conn.keep_alive_s = _keep_alive_s(headers.get("keep-alive", ""))
            exchange.sink.head(event.status_code, headers)
        elif isinstance(event, h11.EndOfMessage):
            self._complete(conn, exchange)
        elif isinstance(event, h11.ConnectionClosed):
            self._lose(conn, "The connection ended before the answer.")

    def _complete(self, conn: Connection, exchange: Exchange) -> None:
        self._finish(exchange)
        conn.exchange = None
        # Bytes after the answer belong to no request, so the connection ends.
        extra = bool(conn.parser.trailing_data[0])
        reusable = conn.parser.our_state is h11.DONE and not conn.out and not extra
        if reusable and conn.parser.their_state is h11.DONE:
            conn.parser.start_next_cycle()
            self._park(conn)
        else:
            self._close(conn)
        exchange.sink.end()

    def _park(self, conn: Connection) -> None:
        idle = self._idle.setdefault(conn.address, deque())
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            self._close(conn)
            return
        conn.served += 1
        conn.idle_since_s = self._clock.now()
        idle.append(conn)

    def _expire(self, exchange: Exchange) -> None:
        conn = exchange.conn
        unsent = conn is None or not conn.connected
        if conn is not None:
            conn.exchange = None
            self._close(conn)
        detail = f"{exchange.address} did not answer in {exchange.timeout_s} s."
        self._fail(exchange, ConnectionFailed(detail) if unsent else TimedOut(detail))

    def _lose(self, conn: Connection, detail: str) -> None:
        exchange = conn.exchange
        unsent = not conn.connected or conn.sent_bytes == 0
        conn.exchange = None
        self._close(conn)
        if exchange is None:
            return
        detail = f"{conn.address}: {detail}"
        kind = ConnectionFailed if unsent else ConnectionLost
        self._fail(exchange, kind(detail))

    def _fail(self, exchange: Exchange, error: CitronpinError) -> None:
        if exchange.ended:
            return
        self._finish(exchange)
        exchange.sink.failed(error)

    def _finish(self, exchange: Exchange) -> None:
        exchange.ended = True
        if exchange.timer is not None:
            exchange.timer.cancel()

    def _close(self, conn: Connection) -> None:
        if self._conns.pop(conn.sock, None) is None:
            return
        if conn.connect_timer is not None:
            conn.connect_timer.cancel()
        idle = self._idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
        self._poller.discard(conn.sock)
        conn.sock.close()


def _keep_alive_s(field: str) -> float:
    """Return how long a connection may be kept idle, by a ``Keep-Alive`` field."""
    for part in field.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(int(value) - KEEP_ALIVE_SLACK_S, 0.0)
    return IDLE_LIMIT_S


def _has_input(sock: socket.socket) -> bool:
    """Return whether an idle connection was closed or got stray bytes."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
