"""Server side of HTTP connections: strict parsing, limits and responses.

The parser of `circuits.web` loses pipelined requests, accepts negative and repeated
content lengths and enforces no limits. Requests are therefore parsed by `h11`, and only
complete, valid ones reach the `request` event.
"""

import fcntl
import logging
import sys
import termios
from io import BytesIO
from urllib.parse import parse_qsl, unquote

import h11
import msgspec
from circuits import handler
from circuits.net.events import close
from circuits.web.events import request
from circuits.web.headers import Headers
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.web.bodies import BodyReader, ChunkedBody, InvalidBody, SizedBody
from citronpin.web.byte_accounts import (
    SMALL_BYTES,
    AccountHolder,
    ByteAccount,
    Waiter,
)
from citronpin.web.listeners import SEND_BUFFER_BYTES, Listener
from citronpin.web.replies import (
    PROBLEM_TYPE,
    HttpHandler,
    HttpRequest,
    Reply,
    ResponseSender,
    problem_body,
    send_problem,
)

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
MAX_CONNECTIONS = 4_096
MAX_WRITE_BUFFER_BYTES = 1024 * 1024
REQUEST_TIMEOUT_S = 15.0
IDLE_TIMEOUT_S = 75.0
STALL_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 1.0
RELIEF_INTERVAL_S = 0.25  # between looks at who stands in the way of others
CONNECTION_BYTES = 12 * 1024  # of the objects of an open connection, with its head
REQUEST_BYTES = 16 * 1024  # reserved by each request, for its head and its answer
MAX_PIPELINED_BYTES = 64 * 1024  # read while a request is in progress
JOINED_BODY_BYTES = 64 * 1024  # up to which an answer is sent in one piece
CONNECTION_SHARE = 0.25  # of the account, for open connections
BUSY_RETRY_AFTER_S = 2
# A connection may be closed for another one to be accepted after these times without
# progress. Senders have 3 s for their headers, and channels idle for up to 12 s.
CROWDED_REQUEST_S = 1.0  # within a request
CROWDED_NEW_S = 4.0  # before the first one
CROWDED_IDLE_S = 13.0  # between two of them

INT_BYTES = 4  # of the kernel's answer to `TIOCOUTQ`
REASONS = {413: "Content Too Large", 503: "Service Unavailable"}


class ServerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a server: sizes in bytes, times in seconds, number of connections."""

    body_bytes: int = MAX_BODY_BYTES
    header_bytes: int = MAX_HEADER_BYTES
    connections: int = MAX_CONNECTIONS
    write_buffer_bytes: int = MAX_WRITE_BUFFER_BYTES
    request_timeout_s: float = REQUEST_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    stall_timeout_s: float = STALL_TIMEOUT_S


class CallerConnection(AccountHolder):
    """Parser and state of one connection, with the request that it carries, if any."""

    __slots__ = (
        "_http",
        "_sock",
        "parser",
        "head",
        "body",
        "backlog",
        "phase_started_s",
        "res",
        "reply",
        "is_closing",
        "is_paused",
        "waiter",
        "needs_continue",
        "queued_bytes",
        "progress_s",
        "receiving",
        "connection",
        "has_carried",
    )

    def __init__(self, *, http: "BoundedHttp", sock, now_s: float) -> None:
        self._http = http
        self._sock = sock
        self.is_closing = False
        self.has_carried = False  # whether it has carried a whole request
        self.is_paused = False  # whether its bytes are left to the kernel
        self.queued_bytes = 0  # that the kernel has not taken
        self.progress_s = now_s  # when the client last sent or took a byte
        # Time of the first byte of the request, else when the connection became idle.
        self.phase_started_s = now_s
        account = http.account
        self.receiving = account.open(is_body=True)  # the request and its body
        self.connection = account.open()  # its objects, its answer and its backlog
        self.connection.set(CONNECTION_BYTES)
        self.waiter: Waiter | None = None
        self.backlog = bytearray()  # received, but not parsed
        self.reset()

    def reset(self) -> None:
        """Prepare for the next request."""
        self.parser = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self._http.limits.header_bytes,
        )
        self.head = None
        self.body: BodyReader | None = None
        self.needs_continue = False
        self.res: Response | None = None
        self.reply: Reply | None = None
        self.receiving.close()

    @property
    def is_receiving(self) -> bool:
        """Return whether part of a request has arrived, but not all of it."""
        if self.res is not None:
            return False
        return self.head is not None or bool(self.parser.trailing_data[0])

    @property
    def is_sending(self) -> bool:
        return self.res is None and self.receiving.held_bytes > 0

    @property
    def is_unread(self) -> bool:
        return self.queued_bytes > 0

    @property
    def is_waiting(self) -> bool:
        return self.waiter is not None

    def evict(self) -> None:
        self._http.evict(self._sock, self)

    @property
    def crowded_s(self) -> float:
        """Return how long it may be without progress while others are not accepted."""
        if self.is_receiving:
            return CROWDED_REQUEST_S
        return CROWDED_IDLE_S if self.has_carried else CROWDED_NEW_S

    def update_held(self) -> None:
        """Count what is queued for the client, also in the kernel, or not parsed."""
        count = CONNECTION_BYTES + self.queued_bytes + len(self.backlog)
        self.connection.set(count + SEND_BUFFER_BYTES if self.queued_bytes else count)

    def take_backlog(self) -> bytes:
        """Return what was received but not parsed, and release it."""
        backlog, self.backlog = bytes(self.backlog), bytearray()
        self.update_held()
        return backlog

    def stop_waiting(self) -> None:
        """Give up the wait for room, if there is one."""
        if self.waiter is not None:
            self.waiter.is_cancelled = True
            self.waiter = None

    def close(self) -> None:
        """Remove all bytes of the connection from the account."""
        self.stop_waiting()
        self.receiving.close()
        self.connection.close()
        self.backlog = bytearray()
        self.body = None


class BadRequest(Exception):
    """A request that is refused before it reaches the handler.

    ``status`` is the HTTP status, ``remedy`` tells the caller what to correct.
    """

    def __init__(self, status: int, detail: str, remedy: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.remedy = remedy


class BoundedHttp(HTTP, ResponseSender):
    """Parses requests within limits and handles one at a time per connection.

    ``counters`` counts refused and closed connections and handler errors by cause.
    """

    def __init__(
        self,
        *,
        server,
        limits: ServerLimits,
        clock: Clock,
        request_handler: HttpHandler,
        account: ByteAccount,
        is_control: bool = False,
    ) -> None:
        super().__init__(server, channel=server.channel)
        self.limits = limits
        self.account = account
        self._is_control = is_control
        self._clock = clock
        self._request_handler = request_handler
        self._conns: dict[object, CallerConnection] = {}
        self.counters: dict[str, int] = {}
        self._sweep_timer = clock.call_later(SWEEP_INTERVAL_S, self._sweep)
        self._relief_timer: TimerHandle | None = None

    @property
    def _listener(self) -> Listener:
        return self._server.server

    def buffered_bytes(self, sock) -> int:
        """Return how many bytes are buffered for a connection."""
        conn = self._conns.get(sock)
        return 0 if conn is None else conn.queued_bytes

    def unread_bytes(self, sock) -> int:
        """Return how many bytes a connection has not received, also from the kernel.

        The kernel takes more bytes only when a third of its buffer is free, so that
        `buffered_bytes` alone does not show a client that reads slowly.
        """
        count = self.buffered_bytes(sock)
        try:
            in_kernel = fcntl.ioctl(sock, termios.TIOCOUTQ, b"\0" * INT_BYTES)
        except (OSError, ValueError):
            return count  # the connection was closed
        return count + int.from_bytes(in_kernel, sys.byteorder)

    def drop(self, sock) -> None:
        """Close a connection and discard the bytes buffered for it."""
        self._listener._buffers.pop(sock, None)
        conn = self._conns.get(sock)
        if conn is not None:
            conn.queued_bytes = 0
            conn.update_held()
        self.fire(close(sock))

    def evict(self, sock, conn: CallerConnection) -> None:
        """End a request that is not complete, or an answer that is not taken."""
        if conn.res is None and not conn.queued_bytes:
            self._count("evicted_senders")
            self._refuse_for_room(sock, conn)
            return
        self._count("evicted_readers")
        conn.is_closing = True
        conn.stop_waiting()
        self.drop(sock)

    def _refuse_for_room(self, sock, conn: CallerConnection) -> None:
        """Refuse a request that was not read whole, so that others have room."""
        is_own_delay = conn.waiter is None
        remedy = "Send faster." if is_own_delay else "Send it again later."
        status = 408 if is_own_delay else 503
        detail = "The request is too slow." if is_own_delay else "There is no room."
        self._refuse(sock, conn, BadRequest(status, detail, remedy))

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._conns)

    @property
    def open_replies(self) -> int:
        """Return the number of requests whose response is not yet sent whole."""
        return sum(
            conn.res is not None or self.buffered_bytes(sock) > 0
            for sock, conn in self._conns.items()
        )

    def close_idle(self) -> None:
        """Close the connections that carry no request, not even part of one."""
        for sock, conn in list(self._conns.items()):
            if conn.res is None and not conn.is_receiving:
                self._start_closing(sock, conn)

    def _start_closing(self, sock, conn: CallerConnection) -> None:
        """Request the close of a connection and ignore bytes that arrive until then.

        The close is a queued event. A request that is read before it runs would
        otherwise be dispatched and then lose its connection.
        """
        conn.is_closing = True
        self.fire(close(sock))

    def set_limits(self, limits: ServerLimits) -> None:
        """Replace the limits; parsers that exist keep their limit on header bytes.

        The number of connections does not change.
        """
        self.limits = msgspec.structs.replace(
            limits, connections=self.limits.connections
        )

    def stop_sweeping(self) -> None:
        """Stop the timers that close slow, idle and stalled connections."""
        self._sweep_timer.cancel()
        if self._relief_timer is not None:
            self._relief_timer.cancel()

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    def may_accept(self) -> bool:
        """Return whether a connection may be accepted, else wait until one ends."""
        if self._has_connection_left:
            return True
        self._count("accept_pauses")
        self._relieve_soon()
        return False

    @property
    def _has_connection_left(self) -> bool:
        return len(self._listener._clients) < self._max_connections

    @property
    def _max_connections(self) -> int:
        room = int(self.account.capacity_bytes * CONNECTION_SHARE / CONNECTION_BYTES)
        return min(self.limits.connections, max(room, 1))

    @handler("connect")
    def _on_connect(self, sock, *peer) -> None:
        conn = CallerConnection(http=self, sock=sock, now_s=self._clock.now())
        self._conns[sock] = conn
        self.account.add_holder(conn)

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock) -> None:
        conn = self._conns.pop(sock, None)
        if conn is None:
            return
        self.account.remove_holder(conn)
        reply = conn.reply
        conn.close()
        try:
            if reply is None:
                return
            is_incomplete = not reply.ended
            reply.ended = True
            if is_incomplete and reply.on_disconnect is not None:
                reply.on_disconnect()
        finally:
            if self._has_connection_left:
                self._listener.resume_accepting()
            self.account.admit()

    def on_read(self, sock, data: bytes) -> None:
        """Take bytes of a connection, or keep them while they cannot be parsed."""
        conn = self._conns.get(sock)
        if conn is None or conn.is_closing:
            return
        now_s = self._clock.now()
        conn.progress_s = now_s
        if conn.res is not None or conn.waiter is not None:
            conn.backlog += data
            conn.update_held()
            if len(conn.backlog) > MAX_PIPELINED_BYTES:
                self._pause(sock, conn)
            return
        if not conn.is_receiving:
            conn.phase_started_s = now_s
        self._feed(sock, conn, data)

    def on_sent(self, sock, count: int) -> None:
        """Note that a client took bytes that were queued for it."""
        conn = self._conns.get(sock)
        if conn is None:
            return
        conn.progress_s = self._clock.now()
        conn.queued_bytes -= count
        conn.update_held()

    def _pause(self, sock, conn: CallerConnection) -> None:
        if not conn.is_paused:
            conn.is_paused = True
            self._listener.pause_reading(sock)

    def _resume(self, sock, conn: CallerConnection) -> None:
        if conn.is_paused and not conn.is_closing:
            conn.is_paused = False
            self._listener.resume_reading(sock)

    def _feed(self, sock, conn: CallerConnection, data: bytes) -> None:
        """Parse bytes of a request; a malformed one is refused."""
        try:
            if conn.body is None:
                conn.parser.receive_data(data)
                self._parse_head(sock, conn)
            else:
                self._feed_body(sock, conn, data)
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            remedy = "Correct the request line, headers or body framing."
            self._refuse(sock, conn, BadRequest(status, str(exc), remedy))
        except InvalidBody as exc:
            self._refuse(sock, conn, BadRequest(400, str(exc), "Correct the framing."))
        except BadRequest as exc:
            self._refuse(sock, conn, exc)

    def _parse_head(self, sock, conn: CallerConnection) -> None:
        event = conn.parser.next_event()
        if isinstance(event, h11.ConnectionClosed):
            self._start_closing(sock, conn)
        if not isinstance(event, h11.Request):
            return
        conn.head = event
        length = self._check_head(event)
        if length is None:
            conn.body = ChunkedBody(limit_bytes=self.limits.body_bytes)
        else:
            conn.body = SizedBody(length=length)
        conn.needs_continue = conn.parser.they_are_waiting_for_100_continue
        conn.backlog += conn.parser.trailing_data[0]
        conn.update_held()
        self._reserve(sock, conn, max(length or 0, REQUEST_BYTES))

    def _reserve(self, sock, conn: CallerConnection, count: int) -> None:
        """Go on with a request once the account has room for ``count`` bytes of it."""
        if self._is_control:
            conn.receiving.set(count)
        elif not self.account.reserve(conn.receiving, count):
            self._pause(sock, conn)
            conn.waiter = self.account.wait(
                conn.receiving,
                count,
                lambda: self._on_room(sock, conn),
                now_s=self._clock.now(),
            )
            self._relieve_soon()
            return
        self._go_on(sock, conn)

    def _on_room(self, sock, conn: CallerConnection) -> None:
        conn.waiter = None
        conn.progress_s = self._clock.now()
        if self._conns.get(sock) is conn and not conn.is_closing:
            self._resume(sock, conn)
            self._go_on(sock, conn)

    def _go_on(self, sock, conn: CallerConnection) -> None:
        """Read the body on, beginning with what was received but not parsed."""
        backlog = conn.take_backlog()
        if conn.needs_continue and not backlog:
            conn.needs_continue = False
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._write(sock, conn.parser.send(continue_response))
        self._feed(sock, conn, backlog)

    def _feed_body(self, sock, conn: CallerConnection, data: bytes) -> None:
        body = conn.body
        rest = body.feed(data)
        if isinstance(body, ChunkedBody) and body.is_too_large:
            raise self._body_too_large()
        if rest is not None:
            if rest:
                conn.backlog += rest
                conn.update_held()
            self._listener.read_less(sock, False)
            self._dispatch(sock, conn)
        elif body.size_bytes > conn.receiving.held_bytes:
            # The size of a chunked body is not known before its end.
            count = min(2 * body.size_bytes, self.limits.body_bytes)
            if body.size_bytes <= SMALL_BYTES:
                count = min(count, SMALL_BYTES)
            self._reserve(sock, conn, max(count, body.size_bytes))
        elif isinstance(body, ChunkedBody):
            self._listener.read_less(sock, body.is_fragmented)

    def _body_too_large(self) -> BadRequest:
        limit = self.limits.body_bytes
        return BadRequest(
            413, f"The body is larger than {limit} bytes.", "Send a smaller body."
        )

    def _check_head(self, head: h11.Request) -> int | None:
        """Return the length of the body, ``None`` if it comes in chunks."""
        fields = dict(head.headers)
        is_chunked = b"transfer-encoding" in fields
        if is_chunked and b"content-length" in fields:
            raise BadRequest(
                400,
                "Both Content-Length and Transfer-Encoding are given.",
                "Send one of them.",
            )
        if is_chunked:
            return None
        length = int(fields.get(b"content-length", 0))
        if length > self.limits.body_bytes:
            raise self._body_too_large()
        return length

    def _dispatch(self, sock, conn: CallerConnection) -> None:
        try:
            req = self._build_request(sock, conn)
        except OSError:
            conn.is_closing = True
            return
        except Exception as exc:
            logger.info("request refused: %s", exc)
            raise BadRequest(
                400, "The target or Host header is malformed.", "Correct them."
            ) from exc
        conn.has_carried = True
        conn.res = Response(req)
        keep_alive = req.headers.get("Connection", "").lower() != "close"
        conn.res.close = not (keep_alive and req.protocol == (1, 1))
        conn.reply = Reply(sender=self, res=conn.res)
        self.fire(request(req, conn.res))

    def _build_request(self, sock, conn: CallerConnection) -> Request:
        head = conn.head
        headers = Headers(
            [(name.decode(), value.decode("latin-1")) for name, value in head.headers]
        )
        cookies = headers.pop("Cookie", None)
        path, _, query = head.target.decode("ascii").partition("?")
        version = tuple(int(part) for part in head.http_version.decode().split("."))
        req = Request(
            sock,
            head.method.decode("ascii"),
            "http",
            path,
            version,
            query,
            headers=headers,
            server=self._server,
        )
        if cookies is not None:
            headers["Cookie"] = cookies
        body = conn.body.take()
        conn.body = None
        conn.receiving.set(max(len(body), REQUEST_BYTES))
        req.body = BytesIO(body)
        return req

    @handler("request")
    def _on_request(self, event, req, res) -> None:
        # The response is sent through the reply, possibly later. Without this the
        # library would answer 404, since the handler returns nothing.
        event.success = False
        conn = self._conns.get(req.sock)
        if conn is None or conn.res is not res:
            return
        http_request = HttpRequest(
            method=req.method,
            path=unquote(req.path),
            target=f"{req.path}?{req.qs}" if req.qs else req.path,
            query=dict(parse_qsl(req.qs, keep_blank_values=True)),
            headers={name.lower(): value for name, value in req.headers.items()},
            body=req.body.getvalue(),
            peer=req.remote.ip or "",
        )
        try:
            self._request_handler.handle(http_request, conn.reply)
        except Exception:
            logger.exception(
                "request failed: %s %s", http_request.method, http_request.path
            )
            self._count("handler_faults")
            send_problem(
                conn.reply,
                500,
                "internal",
                "The request failed.",
                "Report the time and path to the operators.",
                outcome="unknown",
            )

    @handler("response", override=True)
    def _on_response(self, res) -> None:
        self.respond(res)

    @handler("stream", override=True)
    def _on_stream(self, res, data) -> None:
        self.send_piece(res, data)

    def respond(self, res) -> None:
        """Send the head of a response, and its body unless it is streamed.

        Replies call this directly: an event for each piece, with the events that the
        library adds on its success, would cost more than all other work together.
        """
        sock = res.request.sock
        if sock not in self._conns:
            return
        res.prepare()
        parts = [bytes(res), bytes(res.headers)]
        if not res.stream and res.request.method != "HEAD":
            parts.extend(res.body)
        if len(parts[-1]) > JOINED_BODY_BYTES:
            # A copy of a large body would take as much memory again.
            self._write(sock, b"".join(parts[:-1]))
            self._write(sock, parts[-1])
        else:
            self._write(sock, b"".join(parts))
        if not res.stream:
            self._end_response(res)

    def send_piece(self, res, data: bytes | None) -> None:
        """Send a piece of a streamed response; ``None`` ends it.

        A connection with more than ``write_buffer_bytes`` buffered is dropped.
        """
        sock = res.request.sock
        if sock not in self._conns:
            return
        if data is None:
            if res.chunked:
                self._write(sock, b"0\r\n\r\n")
            self._end_response(res)
            return
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if res.chunked else data
        self._write(sock, chunk)
        if self.buffered_bytes(sock) > self.limits.write_buffer_bytes:
            self._count("write_overflows")
            self.drop(sock)

    def _write(self, sock, data: bytes) -> None:
        """Send what the socket accepts at once and queue the rest."""
        server, conn = self._listener, self._conns.get(sock)
        if not data or conn is None or sock not in server._clients:
            return
        sent = 0
        if not conn.queued_bytes:
            try:
                sent = sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.fire(close(sock))
                return
        if sent < len(data):
            if not conn.queued_bytes:
                conn.progress_s = self._clock.now()
            conn.queued_bytes += len(data) - sent
            conn.update_held()
            if self.account.is_overdrawn:
                self._relieve_soon()
            server.queue(sock, memoryview(data)[sent:])

    def _end_response(self, res) -> None:
        res.done = True
        # Replies and exchanges refer to each other, so that the bodies would stay until
        # the next collection of cycles.
        res.request.body = None
        res.body = None
        if res.close:
            self.fire(close(res.request.sock))
        self._start_next_request(res)

    def _start_next_request(self, res) -> None:
        conn = self._conns.get(res.request.sock)
        if conn is None or conn.res is not res:
            return
        if res.close:
            conn.is_closing = True
            conn.receiving.close()
            conn.take_backlog()
            return
        conn.phase_started_s = self._clock.now()
        conn.reset()
        self.account.admit()
        self._resume(res.request.sock, conn)
        if conn.backlog:
            conn.progress_s = conn.phase_started_s
            self._feed(res.request.sock, conn, conn.take_backlog())

    def _refuse(self, sock, conn: CallerConnection, exc: BadRequest) -> None:
        self._count("bad_requests")
        conn.is_closing = True
        conn.stop_waiting()
        conn.receiving.close()
        conn.body = None
        conn.take_backlog()
        body = problem_body(exc.status, "bad-request", exc.detail, exc.remedy)
        reason = REASONS.get(exc.status, "Bad Request")
        retry = f"Retry-After: {BUSY_RETRY_AFTER_S}\r\n" if exc.status == 503 else ""
        head = (
            f"HTTP/1.1 {exc.status} {reason}\r\nContent-Type: {PROBLEM_TYPE}\r\n{retry}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self._write(sock, head.encode() + body)
        self.fire(close(sock))

    def _relieve_soon(self) -> None:
        if self._relief_timer is None:
            self._relief_timer = self._clock.call_later(
                RELIEF_INTERVAL_S, self._relieve
            )

    def _relieve(self) -> None:
        """Let the account evict, and close what keeps others from being accepted."""
        self._relief_timer = None
        now_s = self._clock.now()
        self.account.relieve(now_s=now_s)
        if not self._listener.is_accepting:
            self._close_for_others(now_s)
            if self._has_connection_left:
                self._listener.resume_accepting()
        if self.account.needs_relief or not self._listener.is_accepting:
            self._relieve_soon()

    def _close_for_others(self, now_s: float) -> None:
        """Close connections without progress, those without it for longest first."""
        found = [
            (conn.progress_s, sock, conn)
            for sock, conn in self._conns.items()
            if conn.res is None
            and conn.waiter is None
            and not conn.is_closing
            and now_s - conn.progress_s > conn.crowded_s
        ]
        for _, sock, conn in sorted(found, key=lambda row: row[0]):
            self._count("crowded_out")
            if conn.is_receiving:
                self._refuse_for_room(sock, conn)
            else:
                self._start_closing(sock, conn)

    def _sweep(self) -> None:
        self._sweep_timer = self._clock.call_later(SWEEP_INTERVAL_S, self._sweep)
        now_s = self._clock.now()
        if self.account.needs_relief:
            self._relieve_soon()
        for sock, conn in list(self._conns.items()):
            self._close_if_slow_or_idle(sock, conn, now_s - conn.phase_started_s)
            self._drop_if_stalled(sock, conn, now_s)

    def _close_if_slow_or_idle(
        self, sock, conn: CallerConnection, age_s: float
    ) -> None:
        if conn.is_closing:
            return
        if conn.is_receiving and age_s > self.limits.request_timeout_s:
            self._count("slow_senders")
            self._refuse_for_room(sock, conn)
        elif conn.res is None and age_s > self.limits.idle_timeout_s:
            self._start_closing(sock, conn)

    def _drop_if_stalled(self, sock, conn: CallerConnection, now_s: float) -> None:
        if not conn.queued_bytes:
            return
        if now_s - conn.progress_s > self.limits.stall_timeout_s:
            self._count("slow_readers")
            self.drop(sock)
