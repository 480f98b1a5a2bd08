"""Server side of HTTP connections: strict parsing, limits and responses.

The parser of `circuits.web` loses pipelined requests, accepts negative and repeated
content lengths and enforces no limits. Requests are therefore parsed by `h11`, and only
complete, valid ones reach the `request` event.
"""

import logging
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

from citronpin.basics.clocks import Clock
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


class ServerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a server: sizes in bytes, times in seconds, number of connections."""

    body_bytes: int = MAX_BODY_BYTES
    header_bytes: int = MAX_HEADER_BYTES
    connections: int = MAX_CONNECTIONS
    write_buffer_bytes: int = MAX_WRITE_BUFFER_BYTES
    request_timeout_s: float = REQUEST_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    stall_timeout_s: float = STALL_TIMEOUT_S


class CallerConnection:
    """Parser and state of one connection, with the request that it carries, if any."""

    __slots__ = (
        "parser",
        "head",
        "body_parts",
        "body_size_bytes",
        "phase_started_s",
        "res",
        "reply",
        "is_closing",
        "unsent_bytes",
        "taken_s",
    )

    def __init__(self, *, now_s: float, limits: ServerLimits) -> None:
        self.is_closing = False
        self.unsent_bytes = 0
        self.taken_s = now_s  # when the caller last read a byte
        # Time of the first byte of the request, else when the connection became idle.
        self.phase_started_s = now_s
        self.reset(limits, b"")

    def reset(self, limits: ServerLimits, rest: bytes) -> None:
        """Prepare for the next request, whose first bytes ``rest`` have arrived."""
        self.parser = h11.Connection(
            our_role=h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.head = None
        self.body_parts: list[bytes] = []
        self.body_size_bytes = 0
        self.res: Response | None = None
        self.reply: Reply | None = None
        if rest:
            self.parser.receive_data(rest)

    @property
    def is_receiving(self) -> bool:
        """Return whether part of a request has arrived, but not all of it."""
        has_begun = self.head is not None or bool(self.parser.trailing_data[0])
        return self.res is None and has_begun


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
    ) -> None:
        super().__init__(server, channel=server.channel)
        self._limits = limits
        self._clock = clock
        self._request_handler = request_handler
        self._conns: dict[object, CallerConnection] = {}
        self.counters: dict[str, int] = {}
        self._sweep_timer = clock.call_later(SWEEP_INTERVAL_S, self._sweep)

    def buffered_bytes(self, sock) -> int:
        """Return how many bytes are buffered for a connection."""
        buffer = self._server.server._buffers.get(sock)
        return sum(map(len, buffer)) if buffer else 0

    def drop(self, sock) -> None:
        """Close a connection and discard the bytes buffered for it."""
        self._server.server._buffers.pop(sock, None)
        self.fire(close(sock))

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
        """Replace the limits; parsers that exist keep their limit on header bytes."""
        self._limits = limits

    def stop_sweeping(self) -> None:
        """Stop the timer that closes slow, idle and stalled connections."""
        self._sweep_timer.cancel()

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    @handler("connect")
    def _on_connect(self, sock, *peer) -> None:
        if len(self._conns) >= self._limits.connections:
            self._count("connections_refused")
            self.fire(close(sock))
            return
        self._conns[sock] = CallerConnection(
            now_s=self._clock.now(), limits=self._limits
        )

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock) -> None:
        conn = self._conns.pop(sock, None)
        if conn is None or conn.reply is None:
            return
        reply = conn.reply
        is_incomplete = not reply.ended
        reply.ended = True
        if is_incomplete and reply.on_disconnect is not None:
            reply.on_disconnect()

    @handler("read", override=True)
    def _on_read(self, sock, data) -> None:
        conn = self._conns.get(sock)
        if conn is None or conn.is_closing:
            return
        if not conn.is_receiving:
            conn.phase_started_s = self._clock.now()
        try:
            conn.parser.receive_data(data)
        except h11.RemoteProtocolError:
            self._refuse(sock, conn, BadRequest(400, "Bad request.", "Send HTTP/1.1."))
            return
        if conn.res is None:
            self._parse(sock, conn)
        elif len(conn.parser.trailing_data[0]) > self._limits.body_bytes:
            self._count("pipeline_overflows")
            self.drop(sock)

    def _parse(self, sock, conn: CallerConnection) -> None:
        try:
            while conn.res is None and not conn.is_closing:
                event = conn.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._send_continue(sock, conn)
                    return
                self._handle_parser_event(sock, conn, event)
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            remedy = "Correct the request line, headers or body framing."
            self._refuse(sock, conn, BadRequest(status, str(exc), remedy))
        except BadRequest as exc:
            self._refuse(sock, conn, exc)

    def _send_continue(self, sock, conn: CallerConnection) -> None:
        if conn.parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._write(sock, conn.parser.send(continue_response))

    def _handle_parser_event(self, sock, conn: CallerConnection, event) -> None:
        if isinstance(event, h11.Request):
            conn.head = event
            self._check_head(event)
        elif isinstance(event, h11.Data):
            conn.body_size_bytes += len(event.data)
            if conn.body_size_bytes > self._limits.body_bytes:
                raise self._body_too_large()
            conn.body_parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch(sock, conn)
        elif isinstance(event, h11.ConnectionClosed):
            self._start_closing(sock, conn)

    def _body_too_large(self) -> BadRequest:
        limit = self._limits.body_bytes
        return BadRequest(
            413, f"The body is larger than {limit} bytes.", "Send a smaller body."
        )

    def _check_head(self, head: h11.Request) -> None:
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise BadRequest(
                400,
                "Both Content-Length and Transfer-Encoding are given.",
                "Send one of them.",
            )
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.body_bytes:
                raise self._body_too_large()

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
        req.body = BytesIO(b"".join(conn.body_parts))
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
        if self.buffered_bytes(sock) > self._limits.write_buffer_bytes:
            self._count("write_overflows")
            self.drop(sock)

    def _write(self, sock, data: bytes) -> None:
        """Send what the socket accepts at once and let the server buffer the rest."""
        server = self._server.server
        if not data or sock not in server._clients:
            return
        sent = 0
        if not server._buffers.get(sock):
            try:
                sent = sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.fire(close(sock))
                return
        if sent < len(data):
            server.write(sock, data[sent:])

    def _end_response(self, res) -> None:
        res.done = True
        if res.close:
            self.fire(close(res.request.sock))
        self._start_next_request(res)

    def _start_next_request(self, res) -> None:
        conn = self._conns.get(res.request.sock)
        if conn is None or conn.res is not res:
            return
        if res.close:
            conn.is_closing = True
            return
        rest, _ = conn.parser.trailing_data
        conn.phase_started_s = self._clock.now()
        conn.reset(self._limits, bytes(rest))
        if rest:
            self._parse(res.request.sock, conn)

    def _refuse(self, sock, conn: CallerConnection, exc: BadRequest) -> None:
        self._count("bad_requests")
        conn.is_closing = True
        body = problem_body(exc.status, "bad-request", exc.detail, exc.remedy)
        reason = "Content Too Large" if exc.status == 413 else "Bad Request"
        head = (
            f"HTTP/1.1 {exc.status} {reason}\r\nContent-Type: {PROBLEM_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self._write(sock, head.encode() + body)
        self.fire(close(sock))

    def _sweep(self) -> None:
        self._sweep_timer = self._clock.call_later(SWEEP_INTERVAL_S, self._sweep)
        now_s = self._clock.now()
        for sock, conn in list(self._conns.items()):
            self._close_if_slow_or_idle(sock, conn, now_s - conn.phase_started_s)
            self._drop_if_stalled(sock, conn, now_s)

    def _close_if_slow_or_idle(
        self, sock, conn: CallerConnection, age_s: float
    ) -> None:
        if conn.is_receiving and age_s > self._limits.request_timeout_s:
            self._count("slow_senders")
            self._refuse(
                sock, conn, BadRequest(408, "The request is too slow.", "Send faster.")
            )
        elif conn.res is None and age_s > self._limits.idle_timeout_s:
            self._start_closing(sock, conn)

    def _drop_if_stalled(self, sock, conn: CallerConnection, now_s: float) -> None:
        unsent_bytes = self.buffered_bytes(sock)
        if not unsent_bytes or unsent_bytes < conn.unsent_bytes:
            conn.taken_s = now_s
        conn.unsent_bytes = unsent_bytes
        if now_s - conn.taken_s > self._limits.stall_timeout_s:
            self._count("slow_readers")
            self.drop(sock)
