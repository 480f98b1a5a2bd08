"""Requests as handlers receive them, and the replies with which they respond."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from circuits.web.wrappers import Response

from citronpin.basics.decodings import decode_json

logger = logging.getLogger(__name__)

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"


class ResponseSender(ABC):
    """Sends responses on connections; replies call it directly, without an event."""

    @abstractmethod
    def respond(self, res: Response) -> None:
        """Send the head of a response, and its body unless it is streamed."""

    @abstractmethod
    def send_piece(self, res: Response, data: bytes | None) -> None:
        """Send a piece of a streamed response; ``None`` ends it."""

    @abstractmethod
    def drop(self, sock) -> None:
        """Close a connection and discard the bytes buffered for it."""

    @abstractmethod
    def buffered_bytes(self, sock) -> int:
        """Return how many bytes are buffered for a connection."""

    @abstractmethod
    def unread_bytes(self, sock) -> int:
        """Return how many bytes a connection has not received, also from the kernel."""


class HttpRequest(msgspec.Struct):
    """A complete request; header names are in lower case, ``peer`` is an IP address."""

    method: str
    path: str  # percent-decoded, without the query
    target: str  # path and query as received
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str

    def json(self):
        """Return the decoded JSON body, ``None`` if it is empty.

        Raises `msgspec.DecodeError`.
        """
        return decode_json(self.body or b"null")


class StreamBody:
    """An empty, false body, which makes `circuits.web` use chunked transfer."""

    def __bool__(self) -> bool:
        return False

    def __iter__(self):
        return iter(())

    def close(self) -> None:
        """Do nothing; `circuits.web` expects the method."""


class Reply:
    """Sends the response to one request, complete or streamed in pieces.

    ``on_disconnect`` is called once if the caller disconnects before the response
    ended. What is sent after the end of the response is discarded.
    """

    def __init__(self, *, sender: ResponseSender, res: Response) -> None:
        self._sender = sender
        self._res = res
        self.started = False
        self.ended = False
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def sock(self):
        """Return the caller's socket, which identifies the connection."""
        return self._res.request.sock

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes are buffered for the caller."""
        return self._sender.buffered_bytes(self.sock)

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes the caller has not received, also from the kernel."""
        return self._sender.unread_bytes(self.sock)

    def send_response(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = JSON_TYPE,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send the complete response."""
        if self.ended:
            return
        self._set_head(status, content_type, headers)
        self.ended = True
        self._res.body = body
        self._sender.respond(self._res)

    def json(self, status: int, value, headers: dict[str, str] | None = None) -> None:
        """Send the complete response with ``value`` encoded as JSON."""
        self.send_response(status, msgspec.json.encode(value), JSON_TYPE, headers)

    def start(
        self,
        status: int,
        content_type: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send the head of a streamed response."""
        if self.ended:
            return
        self._set_head(status, content_type, headers)
        self._res.stream = True
        self._res.body = StreamBody()
        self._sender.respond(self._res)

    def push(self, data: bytes) -> None:
        """Send a piece of a streamed response."""
        if not self.ended and data:
            self._sender.send_piece(self._res, data)

    def finish(self) -> None:
        """End a streamed response."""
        if not self.ended:
            self.ended = True
            self._sender.send_piece(self._res, None)

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
        self.ended = True
        self._sender.drop(self.sock)

    def close_after(self) -> None:
        """Close the connection after the response."""
        self._res.close = True

    def _set_head(self, status, content_type, headers) -> None:
        self.started = True
        self._res.status = status
        self._res.headers["Content-Type"] = content_type
        for name, value in (headers or {}).items():
            self._res.headers[name] = value


class HttpHandler(ABC):
    """Handles complete requests and responds through the reply, now or later."""

    @abstractmethod
    def handle(self, req: HttpRequest, reply: Reply) -> None:
        """Handle a request; an exception is answered with status 500."""


def problem_body(status: int, kind: str, detail: str, remedy: str, **more) -> bytes:
    """Return problem details (RFC 9457) as JSON; ``more`` adds or replaces members."""
    problem = {
        "type": f"urn:citronpin:problem:{kind}",
        "title": kind.replace("-", " "),
        "status": status,
        "kind": kind,
        "detail": detail,
        "remedy": remedy,
        "outcome": "not-run",
    }
    return msgspec.json.encode(problem | more)


def send_problem(
    reply: Reply, status: int, kind: str, detail: str, remedy: str, **more
) -> None:
    """Send problem details as the complete response; see `problem_body`."""
    body = problem_body(status, kind, detail, remedy, **more)
    reply.send_response(status, body, PROBLEM_TYPE)
