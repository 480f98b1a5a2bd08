"""HTTP/1.1 client that keeps connections to many servers alive in one event loop.

Responses are parsed by `h11`, since `circuits.web.client` returns a response only when
it is complete, and the parser of `circuits.web` fails on a chunk whose line end arrives
in a later segment.
"""

import errno
import logging
import socket
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

import h11
import msgspec
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from citronpin.basics.addresses import parse_address
from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.errors import (
    CitronpinError,
    ConnectionFailed,
    ConnectionLost,
    TimedOut,
)

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 2.0
TCP_USER_TIMEOUT_MS = 4_000  # detects a host that no longer acknowledges data
KEEP_ALIVE_MARGIN_S = 0.5  # reuse ends this long before the server's own timeout
MS_PER_S = 1_000
MAX_IDLE_S = 30.0
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64
MAX_HEADER_BYTES = 64 * 1024  # of the final response and those before it
MAX_STREAM_BYTES = 64 * 1024 * 1024
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
READ_BYTES = 64 * 1024
FINAL_STATUSES = range(200, 600)  # RFC 9110, section 15; h11 passes on higher ones too
RECEIVE_BUFFER_BYTES = 128 * 1024  # in the kernel, which doubles it; else up to 32 MiB
JOINED_BODY_BYTES = 64 * 1024  # up to which a request is sent from one buffer
PROGRESS_INTERVAL_S = 0.3  # a response of which nothing arrives for longer has stalled


class ResponseSink(ABC):
    """Receives a response piece by piece, in the event loop.

    The calls are ``head`` once, ``data`` any number of times and ``end``. ``failed``
    may come at any point before ``end`` and is then the last call. A body of more than
    ``limit_bytes`` fails as soon as it exceeds them.
    """

    limit_bytes = MAX_STREAM_BYTES

    @abstractmethod
    def head(self, status: int, headers: dict[str, str]) -> None:
        """Receive the status and the headers, whose names are in lower case."""

    @abstractmethod
    def data(self, data: bytes) -> None:
        """Receive a piece of the body."""

    @abstractmethod
    def end(self) -> None:
        """Receive the end of the body, which is now complete."""

    @abstractmethod
    def failed(self, error: CitronpinError) -> None:
        """Receive the error that ended the exchange.

        `ConnectionFailed` means that no byte of the request was sent; after any other
        error the server may have processed the request.
        """


class BufferedSink(ResponseSink):
    """Buffers a response of limited size and passes it on when it is complete.

    ``done`` is called once with ``((status, headers, body), None)`` or with
    ``(None, error)``.
    """

    def __init__(self, *, done, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._done = done
        self.limit_bytes = limit_bytes
        self._parts: list[bytes] = []
        self.status = 0
        self.headers: dict[str, str] = {}

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers

    def data(self, data: bytes) -> None:
        self._parts.append(data)

    def end(self) -> None:
        self._done((self.status, self.headers, b"".join(self._parts)), None)

    def failed(self, error: CitronpinError) -> None:
        self._done(None, error)


class Exchange:
    """One request, the sink of its response, and its state."""

    def __init__(
        self,
        *,
        address: str,
        head: h11.Request | None,
        body: bytes,
        sink: ResponseSink,
        started_s: float,
        timeout_s: float | None,
        max_timeout_s: float | None,
        connect_timeout_s: float,
        max_idle_s: float,
    ) -> None:
        self.started_s = started_s  # clock time
        self.received_s = started_s  # clock time of the latest bytes
        self.max_timeout_s = max_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.max_idle_s = max_idle_s
        self.address = address
        self.head = head  # ``None`` if the request cannot be encoded
        self.body = body
        self.sink = sink
        self.timeout_s = timeout_s
        self.timer: TimerHandle | None = None
        self.conn: Connection | None = None
        self.is_reused = False  # whether its connection carried earlier exchanges
        self.head_bytes = 0  # received before the body
        self.body_bytes = 0
        self.has_extra = False  # whether more bytes came with the end of the response
        self.ended = False


class Connection:
    """One TCP connection to a server, with the exchange that it carries, if any."""

    def __init__(self, *, address: str, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.parser = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self.unsent: deque[memoryview] = deque()
        self.connected = False
        self.sent_bytes = 0  # of the current request
        self.exchange_count = 0
        self.idle_since_s = 0.0
        self.keep_alive_s = MAX_IDLE_S  # how long the server keeps it open when idle
        self.exchange: Exchange | None = None
        self.connect_timer: TimerHandle | None = None
        self.pause_timer: TimerHandle | None = None  # set while it is not read


class ClientCounters(msgspec.Struct):
    """Requests and bytes that a client has sent and received since its start."""

    requests: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class HttpClient(BaseComponent):
    """Sends requests and owns the connections to all servers.

    An idle connection to the same address is reused; otherwise a new one is made.
    """

    channel = "http-client"

    def __init__(self, *, clock: Clock, channel: str = channel) -> None:
        super().__init__(channel=channel)
        self._clock = clock
        self.counters = ClientCounters()
        # Called with the address of each new connection and whether it was accepted.
        self.connection_listeners: list[Callable[[str, bool], None]] = []
        # From this number on, a new connection replaces the one idle for longest.
        self.max_connections: int | None = None
        self._poller: BasePoller | None = None
        self._conns: dict[socket.socket, Connection] = {}
        self._idle: dict[str, deque[Connection]] = {}

    def _find_poller(self) -> BasePoller:
        """Return the poller of the component tree, or add one if it has none."""
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
        max_timeout_s: float | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle_s: float = MAX_IDLE_S,
        host: str | None = None,
    ) -> Exchange:
        """Send a request to ``IP:PORT``; the sink receives the response or the error.

        ``timeout_s`` limits the time to the end of the response; ``None`` is no limit.
        A response whose bytes still arrive then may take up to ``max_timeout_s``.
        A connection that was idle for ``max_idle_s`` is not reused; 0 forces a new one,
        which is kept afterwards if no other is idle there.
        ``host`` replaces the address in the ``Host`` header. Characters of header
        values stand for bytes, as in requests that `BoundedHttp` received.

        No call raises: callers keep state that only the sink resets. The sink hears in
        a later turn of the loop if the request cannot be encoded or no connection be
        begun, but possibly at once if a write to an idle connection fails.
        """
        self.counters.requests += 1
        all_headers = [("Host", host or address), *headers]
        if body or method in ("POST", "PUT", "PATCH"):
            all_headers.append(("Content-Length", str(len(body))))
        head, fault = None, ""
        try:
            head = h11.Request(
                method=method, target=target, headers=_encode_values(all_headers)
            )
        except (h11.LocalProtocolError, UnicodeError) as exc:
            fault = f"A request to {address} cannot be encoded: {exc}."
        exchange = Exchange(
            address=address,
            head=head,
            body=body,
            sink=sink,
            started_s=self._clock.now(),
            timeout_s=timeout_s,
            max_timeout_s=max_timeout_s,
            connect_timeout_s=connect_timeout_s,
            max_idle_s=max_idle_s,
        )
        if timeout_s is not None:
            exchange.timer = self._clock.call_later(
                timeout_s, lambda: self._time_out(exchange)
            )
        if head is None:
            self._fail_later(exchange, ConnectionFailed(fault))
        else:
            self._assign(exchange)
        return exchange

    def is_unsent(self, exchange: Exchange) -> bool:
        """Return whether an exchange still waits for its connection."""
        return exchange.conn is None or not exchange.conn.connected

    def cancel(self, exchange: Exchange) -> None:
        """End an exchange and its connection without a further call of its sink."""
        if exchange.ended:
            return
        self._finish(exchange)
        if exchange.conn is not None:
            self._close(exchange.conn)

    def pause_reading(self, exchange: Exchange, for_s: float) -> None:
        """Leave the bytes of a response to the kernel for some seconds."""
        conn = exchange.conn
        if exchange.ended or conn is None or conn.pause_timer is not None:
            return
        self._poller.removeReader(conn.sock)
        conn.pause_timer = self._clock.call_later(
            for_s, lambda: self._resume_reading(conn)
        )

    def resume_reading(self, exchange: Exchange) -> None:
        """End a pause of `pause_reading` before its time."""
        if exchange.conn is not None and not exchange.ended:
            self._resume_reading(exchange.conn)

    def is_paused(self, exchange: Exchange) -> bool:
        """Return whether the response of an exchange is not read now."""
        conn = exchange.conn
        return not exchange.ended and conn is not None and conn.pause_timer is not None

    def _resume_reading(self, conn: Connection) -> None:
        if conn.pause_timer is not None:
            conn.pause_timer.cancel()
            conn.pause_timer = None
            self._poller.addReader(self, conn.sock)

    def close_all(self) -> None:
        """Close every connection and fail the exchanges in progress."""
        self.connection_listeners.clear()
        for conn in list(self._conns.values()):
            self._fail_connection(conn, "The client is closing.")

    def _assign(self, exchange: Exchange) -> None:
        conn = self._take_idle(exchange)
        if conn is None:
            conn = self._connect(exchange)
        if conn is None:
            return
        exchange.conn = conn
        exchange.is_reused = conn.exchange_count > 0
        conn.exchange = exchange
        if conn.connected:
            self._send(conn)

    def _take_idle(self, exchange: Exchange) -> Connection | None:
        idle = self._idle.get(exchange.address)
        while idle and exchange.max_idle_s > 0:
            conn = idle.pop()
            idle_s = self._clock.now() - conn.idle_since_s
            is_fresh = idle_s < min(exchange.max_idle_s, conn.keep_alive_s)
            if is_fresh and not _is_readable(conn.sock):
                return conn
            self._close(conn)
        return None

    def _connect(self, exchange: Exchange) -> Connection | None:
        conn = self._open(exchange.address, exchange.connect_timeout_s)
        if conn is None:
            error = ConnectionFailed(f"{exchange.address} cannot be connected to.")
            self._fail_later(exchange, error)
        return conn

    def _open(self, address: str, timeout_s: float) -> Connection | None:
        """Begin to connect; return ``None`` if that fails at once."""
        if self.max_connections is not None:
            self._close_oldest_idle(self.max_connections - 1)
        try:
            sock = _start_connecting(address)
        except (OSError, ValueError) as exc:
            logger.debug(
                "connection failed", extra={"address": address, "detail": str(exc)}
            )
            self._clock.call_later(0.0, lambda: self._report(address, False))
            return None
        conn = Connection(address=address, sock=sock)
        self._conns[sock] = conn
        conn.connect_timer = self._clock.call_later(
            timeout_s, lambda: self._fail_connection(conn, "Connecting timed out.")
        )
        self._find_poller().addWriter(self, sock)
        return conn

    def _close_oldest_idle(self, limit: int) -> None:
        """Close idle connections until no more than ``limit`` are open."""
        while len(self._conns) > limit:
            idle = [conn for found in self._idle.values() for conn in found]
            if not idle:
                return
            self._close(min(idle, key=lambda conn: conn.idle_since_s))

    def _report(self, address: str, connected: bool) -> None:
        for listener in self.connection_listeners:
            listener(address, connected)

    def _fail_later(self, exchange: Exchange, error: CitronpinError) -> None:
        self._clock.call_later(0.0, lambda: self._fail(exchange, error))

    def _send(self, conn: Connection) -> None:
        exchange = conn.exchange
        parts = [conn.parser.send(exchange.head)]
        if exchange.body:
            parts.append(conn.parser.send(h11.Data(data=exchange.body)))
        parts.append(conn.parser.send(h11.EndOfMessage()))
        if len(exchange.body) <= JOINED_BODY_BYTES:
            parts = [b"".join(parts)]
        # A copy of a large body would take as much memory again.
        conn.unsent.extend(memoryview(part) for part in parts if part)
        conn.sent_bytes = 0
        self._flush(conn)

    def _flush(self, conn: Connection) -> None:
        while conn.unsent:
            try:
                sent = conn.sock.send(conn.unsent[0])
            except BlockingIOError:
                break
            except OSError as exc:
                self._fail_connection(conn, str(exc))
                return
            conn.sent_bytes += sent
            self.counters.bytes_sent += sent
            rest = conn.unsent[0][sent:]
            if rest:
                conn.unsent[0] = rest
            else:
                conn.unsent.popleft()
        self._update_write_polling(conn)

    def _update_write_polling(self, conn: Connection) -> None:
        is_polled = self._poller.isWriting(conn.sock)
        if conn.unsent and not is_polled:
            self._poller.addWriter(self, conn.sock)
        elif not conn.unsent and is_polled:
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
            self._fail_connection(conn, errno.errorcode.get(code, str(code)))
            return
        conn.connected = True
        conn.connect_timer.cancel()
        self._poller.addReader(self, sock)
        self._report(conn.address, True)
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
            self._fail_connection(conn, str(exc))
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
            self._fail_connection(conn, "The server closed the connection.")

    def _parse(self, conn: Connection, data: bytes) -> None:
        exchange = conn.exchange
        exchange.received_s = self._clock.now()
        if conn.parser.their_state is h11.SEND_RESPONSE:
            exchange.head_bytes += len(data)
        try:
            conn.parser.receive_data(data)
            while not exchange.ended:
                event = conn.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                self._deliver(conn, exchange, event)
            if (
                not exchange.ended
                and conn.parser.their_state is h11.SEND_RESPONSE
                and exchange.head_bytes > MAX_HEADER_BYTES
            ):
                self._fail_connection(conn, "The head of the response is too long.")
        except h11.RemoteProtocolError as exc:
            self._fail_connection(conn, str(exc))
        except Exception:
            # The sink hears the end of its exchange, whatever it raised before.
            if conn.exchange is exchange:
                self._fail_connection(conn, "The response could not be handled.")
            raise

    def _deliver(self, conn: Connection, exchange: Exchange, event) -> None:
        if isinstance(event, h11.Data):
            exchange.body_bytes += len(event.data)
            if exchange.body_bytes > exchange.sink.limit_bytes:
                self._fail_connection(conn, "The response is larger than its limit.")
                return
            exchange.sink.data(bytes(event.data))
        elif isinstance(event, h11.Response):
            if event.status_code not in FINAL_STATUSES:
                detail = f"{event.status_code} is no status of a response."
                self._fail_connection(conn, detail)
                return
            headers = {
                name.decode(): value.decode("latin-1") for name, value in event.headers
            }
            conn.keep_alive_s = _parse_keep_alive_s(headers.get("keep-alive", ""))
            exchange.sink.head(event.status_code, headers)
        elif isinstance(event, h11.EndOfMessage):
            self._complete(conn, exchange)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail_connection(conn, "The connection ended before the response.")

    def _complete(self, conn: Connection, exchange: Exchange) -> None:
        self._finish(exchange)
        self._resume_reading(conn)
        conn.exchange = None
        # Bytes after the response belong to no request, so the connection is closed.
        exchange.has_extra = bool(conn.parser.trailing_data[0])
        is_reusable = (
            conn.parser.our_state is h11.DONE
            and not conn.unsent
            and not exchange.has_extra
        )
        if is_reusable and conn.parser.their_state is h11.DONE:
            conn.parser.start_next_cycle()
            self._keep_idle(conn, limit=self._idle_limit(exchange))
        else:
            self._close(conn)
        exchange.sink.end()

    def _idle_limit(self, exchange: Exchange) -> int:
        """Return how many connections may be idle once an exchange frees its own."""
        # Further ones would only take up room at the server.
        return 1 if exchange.max_idle_s == 0 else MAX_IDLE_CONNECTIONS_PER_ADDRESS

    def _keep_idle(self, conn: Connection, *, limit: int) -> None:
        idle = self._idle.setdefault(conn.address, deque())
        if len(idle) >= limit:
            self._close(conn)
            return
        conn.exchange_count += 1
        conn.idle_since_s = self._clock.now()
        idle.append(conn)

    def _time_out(self, exchange: Exchange) -> None:
        if self._is_progressing(exchange):
            exchange.timer = self._clock.call_later(
                PROGRESS_INTERVAL_S, lambda: self._time_out(exchange)
            )
            return
        conn = exchange.conn
        is_unsent = conn is None or not conn.connected
        if conn is not None:
            conn.exchange = None
            self._close(conn)
        if not is_unsent and conn.parser.their_state is h11.SEND_RESPONSE:
            self._close_idle(exchange.address, before_s=exchange.started_s)
        if conn is not None and not conn.connected:
            self._report(conn.address, False)
        waited_s = round(self._clock.now() - exchange.started_s, 3)
        detail = f"{exchange.address} did not answer in {waited_s} s."
        self._fail(
            exchange, ConnectionFailed(detail) if is_unsent else TimedOut(detail)
        )

    def _is_progressing(self, exchange: Exchange) -> bool:
        """Return whether a response is still on its way and may take longer."""
        if exchange.max_timeout_s is None or exchange.received_s <= exchange.started_s:
            return False
        now_s = self._clock.now()
        return (
            now_s - exchange.received_s <= PROGRESS_INTERVAL_S
            and now_s + PROGRESS_INTERVAL_S
            <= exchange.started_s + exchange.max_timeout_s
        )

    def _close_idle(self, address: str, *, before_s: float) -> None:
        """Close the connections to ``address`` that have been idle since ``before_s``.

        When one connection has become silent without being closed, the others that
        were open at that time may have become silent too.
        """
        for conn in list(self._idle.get(address, ())):
            if conn.idle_since_s <= before_s:
                self._close(conn)

    def _fail_connection(self, conn: Connection, detail: str) -> None:
        """Close a connection and fail its exchange, if it has one."""
        exchange = conn.exchange
        is_unsent = not conn.connected or conn.sent_bytes == 0
        conn.exchange = None
        self._close(conn)
        if not conn.connected:
            self._report(conn.address, False)
        if exchange is None:
            return
        detail = f"{conn.address}: {detail}"
        error_class = ConnectionFailed if is_unsent else ConnectionLost
        self._fail(exchange, error_class(detail))

    def _fail(self, exchange: Exchange, error: CitronpinError) -> None:
        if exchange.ended:
            return
        self._finish(exchange)
        exchange.sink.failed(error)

    def _finish(self, exchange: Exchange) -> None:
        exchange.ended = True
        exchange.body = b""
        if exchange.timer is not None:
            exchange.timer.cancel()

    def _close(self, conn: Connection) -> None:
        if self._conns.pop(conn.sock, None) is None:
            return
        if conn.connect_timer is not None:
            conn.connect_timer.cancel()
        if conn.pause_timer is not None:
            conn.pause_timer.cancel()
            conn.pause_timer = None
        idle = self._idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
        self._poller.discard(conn.sock)
        conn.sock.close()
        conn.unsent.clear()


def _start_connecting(address: str) -> socket.socket:
    """Return a socket that connects to ``IP:PORT``.

    Raises `ValueError` for another form, and `OSError` if no connection can begin.
    """
    target = parse_address(address)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        code = sock.connect_ex(target)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, errno.errorcode.get(code, str(code)))
    except OSError:
        sock.close()
        raise
    return sock


def _encode_values(headers: list[tuple[str, str]]) -> list[tuple[str, bytes]]:
    """Return headers with their values as bytes, one for each character.

    Raises `UnicodeError` if a character does not fit.
    """
    return [(name, value.encode("latin-1")) for name, value in headers]


def _parse_keep_alive_s(header: str) -> float:
    """Return how long an idle connection may be reused, by a ``Keep-Alive`` header."""
    for part in header.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(int(value) - KEEP_ALIVE_MARGIN_S, 0.0)
    return MAX_IDLE_S


def _is_readable(sock: socket.socket) -> bool:
    """Return whether an idle connection was closed or received unexpected bytes."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
