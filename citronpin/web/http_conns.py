"""Connections of callers: bounded, strictly parsed requests and their answers.

The parser of `circuits.web` loses pipelined requests, accepts negative and
doubled lengths and bounds nothing, so requests are parsed by `h11` here and only
whole, valid ones reach the `request` event.
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
    Sender,
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
    """Bounds of a server; sizes in bytes, times in seconds."""

    body_bytes: int = MAX_BODY_BYTES
    header_bytes: int = MAX_HEADER_BYTES
    connections: int = MAX_CONNECTIONS
    write_buffer_bytes: int = MAX_WRITE_BUFFER_BYTES
    request_timeout_s: float = REQUEST_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    stall_timeout_s: float = STALL_TIMEOUT_S


class Conn:
    """Parser and progress of one connection."""

    __slots__ = (
        "parser",
        "head",
        "parts",
        "size",
        "since_s",
        "res",
        "reply",
        "left",
        "unsent_bytes",
        "taken_s",
    )

    def __init__(self, *, now_s: float, limits: ServerLimits) -> None:
        self.left = False
        self.unsent_bytes = 0
        self.taken_s = now_s  # when the caller last took a byte
        self.since_s = now_s
        self.renew(limits, b"")

    def renew(self, limits: ServerLimits, rest: bytes) -> None:
        """Make ready for the next request, of which ``rest`` has arrived."""
        self.parser = h11.Connection(
            our_role=h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.head = None
        self.parts: list[bytes] = []
        self.size = 0
        self.res: Response | None = None
        self.reply: Reply | None = None
        if rest:
            self.parser.receive_data(rest)

    @property
    def waiting(self) -> bool:
        """Return whether a request has begun and is not yet whole."""
        begun = self.head is not None or bool(self.parser.trailing_data[0])
        return self.res is None and begun


class BadRequest(Exception):
    """A request that is refused before any handler sees it."""

    def __init__(self, status: int, detail: str, remedy: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.remedy = remedy


class BoundedHttp(HTTP, Sender):
    """Turns bytes into whole requests, one at a time for each connection."""

    def __init__(
        self, *, server, limits: ServerLimits, clock: Clock, target: HttpHandler
    ) -> None:
        super().__init__(server, channel=server.channel)
        self._limits = limits
        self._clock = clock
        self._target = target
        self._conns: dict[object, Conn] = {}
        self.counters: dict[str, int] = {}
        self._sweep_timer = clock.call_later(SWEEP_INTERVAL_S, self._sweep)

    def buffered_bytes(self, sock) -> int:
        """Return how many bytes wait to be sent on a connection."""
        buffer = self._server.server._buffers.get(sock)
        return sum(map(len, buffer)) if buffer else 0

    def drop(self, sock) -> None:
        """Cut a connection without sending what is buffered."""
        self._server.server._buffers.pop(sock, None)
        self.fire(close(sock))

    @property
    def open_connections(self) -> int:
        """Return the number of connections."""
        return len(self._conns)

    @property
    def open_replies(self) -> int:
        """Return the number of requests that have no whole answer yet."""
        return sum(conn.res is not None for conn in self._conns.values())

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for sock, conn in list(self._conns.items()):
            if conn.res is None and not conn.waiting:
                self._leave(sock, conn)

    def _leave(self, sock, conn: Conn) -> None:
        """Close a connection, and take no request that is read before it is closed."""
        conn.left = True
        self.fire(close(sock))

    def set_limits(self, limits: ServerLimits) -> None:
        """Take other limits, for connections and requests that come from now on."""
        self._limits = limits

    def stop_sweeping(self) -> None:
        """Stop the timer that ends slow connections."""
        self._sweep_timer.cancel()

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    @handler("connect")
    def _on_connect(self, sock, *peer) -> None:
        if len(self._conns) >= self._limits.connections:
            self._count("connections_refused")
            self.fire(close(sock))
            return
        self._conns[sock] = Conn(now_s=self._clock.now(), limits=self._limits)

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock) -> None:
        conn = self._conns.pop(sock, None)
        if conn is None or conn.reply is None:
            return
        reply = conn.reply
        gone = not reply.ended
        reply.ended = True
        if gone and reply.on_gone is not None:
            reply.on_gone()

    @handler("read", override=True)
    def _on_read(self, sock, data) -> None:
        conn = self._conns.get(sock)
        if conn is None or conn.left:
            return
        if not conn.waiting:
            conn.since_s = self._clock.now()
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

    def _parse(self, sock, conn: Conn) -> None:
        try:
            while conn.res is None and not conn.left:
                event = conn.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self._invite_body(sock, conn)
                    return
                self._take(sock, conn, event)
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            remedy = "Correct the request line, headers or body framing."
            self._refuse(sock, conn, BadRequest(status, str(exc), remedy))
        except BadRequest as exc:
            self._refuse(sock, conn, exc)

    def _invite_body(self, sock, conn: Conn) -> None:
        if conn.parser.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._write(sock, conn.parser.send(go_on))

    def _take(self, sock, conn: Conn, event) -> None:
        if isinstance(event, h11.Request):
            conn.head = event
            self._check_head(event)
        elif isinstance(event, h11.Data):
            conn.size += len(event.data)
            if conn.size > self._limits.body_bytes:
                raise self._too_large()
            conn.parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch(sock, conn)
        elif isinstance(event, h11.ConnectionClosed):
            self._leave(sock, conn)

    def _too_large(self) -> BadRequest:
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
                raise self._too_large()

    def _dispatch(self, sock, conn: Conn) -> None:
        try:
            req = self._wrap(sock, conn)
        except OSError:
            conn.left = True
            return
        except Exception as exc:
            logger.info("request refused: %s", exc)
            raise BadRequest(
                400, "The target or Host header is malformed.", "Correct them."
            ) from exc
        conn.res = Response(req)
        keep = req.headers.get("Connection", "").lower() != "close"
        conn.res.close = not (keep and req.protocol == (1, 1))
        conn.reply = Reply(task=self, res=conn.res)
        self.fire(request(req, conn.res))

    def _wrap(self, sock, conn: Conn) -> Request:
        head = conn.head
        headers = Headers([(k.decode(), v.decode("latin-1")) for k, v in head.headers])
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
        req.body = BytesIO(b"".join(conn.parts))
        return req

    @handler("request")
    def _on_request(self, event, req, res) -> None:
        # Answers are given through the reply, also later, so the library must
        # not take the missing return value for a missing page.
        event.success = False
        conn = self._conns.get(req.sock)
        if conn is None or conn.res is not res:
            return
        whole = HttpRequest(
            method=req.method,
            path=unquote(req.path),
            target=f"{req.path}?{req.qs}" if req.qs else req.path,
            query=dict(parse_qsl(req.qs, keep_blank_values=True)),
            headers={name.lower(): value for name, value in req.headers.items()},
            body=req.body.getvalue(),
            peer=req.remote.ip or "",
        )
        try:
            self._target.handle(whole, conn.reply)
        except Exception:
            logger.exception("request failed: %s %s", whole.method, whole.path)
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
        """Send the head of an answer, and its body unless it is streamed.

        Replies call this directly: events for each piece, with those that the
        library adds on their success, would cost more than all else together.
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
            self._end(res)

    def send_piece(self, res, data: bytes | None) -> None:
        """Send a piece of a streamed answer; ``None`` ends it."""
        sock = res.request.sock
        if sock not in self._conns:
            return
        if data is None:
            if res.chunked:
                self._write(sock, b"0\r\n\r\n")
            self._end(res)
            return
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if res.chunked else data
        self._write(sock, chunk)
        if self.buffered_bytes(sock) > self._limits.write_buffer_bytes:
            self._count("write_overflows")
            self.drop(sock)

    def _write(self, sock, data: bytes) -> None:
        """Send at once what the socket takes, and leave the rest to the server."""
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

    def _end(self, res) -> None:
        res.done = True
        if res.close:
            self.fire(close(res.request.sock))
        self._next(res)

    def _next(self, res) -> None:
        conn = self._conns.get(res.request.sock)
        if conn is None or conn.res is not res:
            return
        if res.close:
            conn.left = True
            return
        rest, _ = conn.parser.trailing_data
        conn.since_s = self._clock.now()
        conn.renew(self._limits, bytes(rest))
        if rest:
            self._parse(res.request.sock, conn)

    def _refuse(self, sock, conn: Conn, exc: BadRequest) -> None:
        self._count("bad_requests")
        conn.left = True
        body = problem_body(exc.status, "bad-request", exc.detail, exc.remedy)
        reason = "Content Too Large" if exc.status == 413 else "Bad Request"
        head = (
            f"HTTP/1.1 {exc.status} {reason}\r\nContent-Type: {PROBLEM_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self._write(sock, head.encode() + body)
        self.fire(close(sock))

    def _sweep(self) -> None:
        now = self._clock.now()
        for sock, conn in list(self._conns.items()):
            self._end_slow(sock, conn, now - conn.since_s)
            self._end_stalled(sock, conn, now)
        self._sweep_timer = self._clock.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _end_slow(self, sock, conn: Conn, age_s: float) -> None:
        if conn.waiting and age_s > self._limits.request_timeout_s:
            self._count("slow_senders")
            self._refuse(
                sock, conn, BadRequest(408, "The request is too slow.", "Send faster.")
            )
        elif conn.res is None and age_s > self._limits.idle_timeout_s:
            self._leave(sock, conn)

    def _end_stalled(self, sock, conn: Conn, now_s: float) -> None:
        unsent_bytes = self.buffered_bytes(sock)
        if not unsent_bytes or unsent_bytes < conn.unsent_bytes:
            conn.taken_s = now_s
        conn.unsent_bytes = unsent_bytes
        if now_s - conn.taken_s > self._limits.stall_timeout_s:
            self._count("slow_readers")
            self.drop(sock)
