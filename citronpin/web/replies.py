"""Requests as handlers get them, and the replies that they give."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from circuits.web.wrappers import Response

from citronpin.basics.decodings import decode_json

logger = logging.getLogger(__name__)

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"


class Sender(ABC):
    """Sends answers on a connection; replies call it without an event."""

    @abstractmethod
    def respond(self, res: Response) -> None:
        """Send the head of an answer, and its body unless it is streamed."""

    @abstractmethod
    def send_piece(self, res: Response, data: bytes | None) -> None:
        """Send a piece of a streamed answer; ``None`` ends it."""

    @abstractmethod
    def drop(self, sock) -> None:
        """Cut a connection without sending what is buffered."""

    @abstractmethod
    def buffered_bytes(self, sock) -> int:
        """Return how many bytes wait to be sent on a connection."""


class HttpRequest(msgspec.Struct):
    """A whole request; header names are lower-case."""

    method: str
    path: str
    target: str  # as sent, with the query
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str

    def json(self):
        """Return the decoded JSON body; raises `msgspec.DecodeError`."""
        return decode_json(self.body or b"null")


class StreamBody:
    """A false body that makes `circuits.web` use chunked transfer."""

    def __bool__(self) -> bool:
        return False

    def __iter__(self):
        return iter(())

    def close(self) -> None:
        """There is nothing to release."""


class Reply:
    """Answers one request, whole or piece by piece.

    ``on_gone`` is called once when the caller leaves before the answer ended.
    """

    def __init__(self, *, task: Sender, res: Response) -> None:
        self._task = task
        self._res = res
        self.started = False
        self.ended = False
        self.on_gone: Callable[[], None] | None = None

    @property
    def sock(self):
        """Return the caller's socket, which identifies the connection."""
        return self._res.request.sock

    @property
    def buffered_bytes(self) -> int:
        """Return how much the caller has not yet taken."""
        return self._task.buffered_bytes(self.sock)

    def send_response(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = JSON_TYPE,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send the whole answer."""
        if self.ended:
            return
        self._head(status, content_type, headers)
        self.ended = True
        self._res.body = body
        self._task.respond(self._res)

    def json(self, status: int, value, headers: dict[str, str] | None = None) -> None:
        """Send a JSON value."""
        self.send_response(status, msgspec.json.encode(value), JSON_TYPE, headers)

    def start(
        self,
        status: int,
        content_type: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send the head of a streamed answer."""
        if self.ended:
            return
        self._head(status, content_type, headers)
        self._res.stream = True
        self._res.body = StreamBody()
        self._task.respond(self._res)

    def push(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        if not self.ended and data:
            self._task.send_piece(self._res, data)

    def finish(self) -> None:
        """End a streamed answer."""
        if not self.ended:
            self.ended = True
            self._task.send_piece(self._res, None)

    def abort(self) -> None:
        """Cut the connection, so that the caller sees the answer is not whole."""
        self.ended = True
        self._task.drop(self.sock)

    def close_after(self) -> None:
        """Close the connection when the answer has been sent."""
        self._res.close = True

    def _head(self, status, content_type, headers) -> None:
        self.started = True
        self._res.status = status
        self._res.headers["Content-Type"] = content_type
        for name, value in (headers or {}).items():
            self._res.headers[name] = value


class HttpHandler(ABC):
    """Takes whole requests; answers through the reply now or later."""

    @abstractmethod
    def handle(self, req: HttpRequest, reply: Reply) -> None:
        """Take a request."""


def problem_body(status: int, kind: str, detail: str, remedy: str, **more) -> bytes:
    """Return problem details (RFC 9457) as JSON."""
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
    """Answer with problem details."""
    body = problem_body(status, kind, detail, remedy, **more)
    reply.send_response(status, body, PROBLEM_TYPE)
