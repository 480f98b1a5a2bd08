"""Engine client over HTTP; docs/ENGINES.md describes the protocol."""

import logging

import msgspec
from result import Err, Ok, Result

from citronpin.backends.engines import (
    Attempt,
    CacheEvent,
    EngineClient,
    EngineStatus,
    Frame,
    FrameSink,
    Submission,
)
from citronpin.basics.clocks import Clock
from citronpin.basics.decodings import guard_recursion
from citronpin.basics.errors import (
    BadSubmission,
    CitronpinError,
    EngineRefused,
    ProtocolFault,
    StaleFence,
)
from citronpin.web.clients import BufferedSink, Exchange, HttpClient, ResponseSink

logger = logging.getLogger(__name__)

SUBMISSIONS_PATH = "/v1/submissions"
ORDERS_PATH = "/v1/orders"
STATUS_PATH = "/v1/status"
CACHE_EVENTS_PATH = "/v1/cache-events"
JSON_HEADERS = (("Content-Type", "application/json"),)
REFUSAL_STATUSES = (409, 503)
BAD_REQUEST_STATUSES = (400, 413, 422)
ORDER_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 5.0
MAX_LINE_BYTES = 1024 * 1024
MAX_PROBLEM_BYTES = 64 * 1024


class ProblemDetails(msgspec.Struct):
    """The fields that the client reads from an engine's problem details."""

    kind: str = ""
    detail: str = ""


_decode_lines = guard_recursion(msgspec.json.Decoder(Frame).decode_lines)
_decode_status = guard_recursion(msgspec.json.Decoder(EngineStatus).decode)
_decode_cache_events = guard_recursion(msgspec.json.Decoder(list[CacheEvent]).decode)
_decode_problem = guard_recursion(msgspec.json.Decoder(ProblemDetails).decode)
_encode = msgspec.json.Encoder().encode


class FrameParser(ResponseSink):
    """Decodes the streamed response to a submission into frames, one JSON line each."""

    def __init__(self, *, address: str, sink: FrameSink, clock: Clock) -> None:
        self._address = address
        self._sink = sink
        self._clock = clock
        self._status = 0
        self._buffer = b""

    def head(self, status: int, headers: dict[str, str]) -> None:
        self._status = status

    def data(self, data: bytes) -> None:
        if self._buffer:
            data = self._buffer + data
            self._buffer = b""
        if self._status != 200:
            self._buffer = data[:MAX_PROBLEM_BYTES]
            return
        if not data.endswith(b"\n"):
            end = data.rfind(b"\n") + 1
            data, self._buffer = data[:end], data[end:]
            if len(self._buffer) > MAX_LINE_BYTES:
                self._close(
                    ProtocolFault(
                        f"{self._address}: a frame line exceeds the size limit."
                    )
                )
        if data:
            self._parse_lines(data)

    def end(self) -> None:
        if self._status != 200:
            self._close(response_error(self._address, self._status, self._buffer))
        elif self._buffer:
            self._close(
                ProtocolFault(f"{self._address}: the last frame line is incomplete.")
            )
        else:
            self._close(None)

    def failed(self, error: CitronpinError) -> None:
        # A write can fail within `HttpClient.request`, before `submit` has returned.
        self._clock.call_later(0.0, lambda: self._close(error))

    def stop_forwarding(self) -> None:
        """Drop all further frames and the end."""
        self._sink = None

    def _parse_lines(self, data: bytes) -> None:
        if self._sink is None:
            return
        try:
            frames = _decode_lines(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            self._close(ProtocolFault(f"{self._address}: {exc}."))
            return
        self._sink.frames(frames)

    def _close(self, error: CitronpinError | None) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.ended(error)


class HttpAttempt(Attempt):
    """A submission whose frames are streamed over one HTTP connection."""

    def __init__(
        self,
        *,
        client: HttpClient,
        address: str,
        submission: Submission,
        parser: FrameParser,
    ) -> None:
        self._client = client
        self._address = address
        self._submission = submission
        self._parser = parser
        self.exchange: Exchange | None = None

    def detach(self) -> None:
        self._parser.stop_forwarding()
        if self.exchange is not None:
            self._client.cancel(self.exchange)
            self.exchange = None

    def cancel(self) -> None:
        self.detach()
        submission = self._submission
        self._client.request(
            address=self._address,
            method="DELETE",
            target=f"{SUBMISSIONS_PATH}/{submission.request}/{submission.attempt}",
            sink=BufferedSink(done=_ignore_response),
            timeout_s=CANCEL_TIMEOUT_S,
        )


class HttpEngineClient(EngineClient):
    """Sends submissions, orders and queries to engines over HTTP."""

    def __init__(self, *, client: HttpClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    def submit(
        self, *, address: str, submission: Submission, sink: FrameSink
    ) -> HttpAttempt:
        parser = FrameParser(address=address, sink=sink, clock=self._clock)
        attempt = HttpAttempt(
            client=self._client, address=address, submission=submission, parser=parser
        )
        attempt.exchange = self._client.request(
            address=address,
            method="POST",
            target=SUBMISSIONS_PATH,
            sink=parser,
            headers=JSON_HEADERS,
            body=_encode(submission),
            timeout_s=None,
        )
        return attempt

    def order(self, *, address, order, done) -> None:
        self._client.request(
            address=address,
            method="POST",
            target=ORDERS_PATH,
            sink=self._make_decoding_sink(address, _decode_status, done),
            headers=JSON_HEADERS,
            body=_encode(order),
            timeout_s=ORDER_TIMEOUT_S,
        )

    def status(self, *, address, done, timeout_s=1.0) -> None:
        self._client.request(
            address=address,
            method="GET",
            target=STATUS_PATH,
            sink=self._make_decoding_sink(address, _decode_status, done),
            timeout_s=timeout_s,
        )

    def cache_events(self, *, address, since, done) -> None:
        self._client.request(
            address=address,
            method="GET",
            target=f"{CACHE_EVENTS_PATH}?since={since}",
            sink=self._make_decoding_sink(address, _decode_cache_events, done),
            timeout_s=ORDER_TIMEOUT_S,
        )

    def _make_decoding_sink(self, address: str, decode, done) -> BufferedSink:
        def finish(response, error: CitronpinError | None) -> None:
            if error is None:
                done(_decode_response(address, response, decode))
            else:
                self._clock.call_later(0.0, lambda: done(Err(error)))

        return BufferedSink(done=finish)


def response_error(address: str, status: int, body: bytes) -> CitronpinError:
    """Return the error for a response whose status is not 200.

    ``body`` is the start of the problem details in JSON. Only the statuses in
    `REFUSAL_STATUSES` prove that nothing was run.
    """
    try:
        problem = _decode_problem(body)
    except msgspec.DecodeError:
        problem = ProblemDetails()
    detail = f"{address}: {status} {problem.kind} {problem.detail}".rstrip()
    if status in BAD_REQUEST_STATUSES:
        return BadSubmission(detail)
    if status not in REFUSAL_STATUSES:
        return ProtocolFault(detail)
    if problem.kind == StaleFence.kind:
        return StaleFence(detail)
    return EngineRefused(detail)


def _decode_response(address: str, response, decode) -> Result:
    status, _, body = response
    if status != 200:
        return Err(response_error(address, status, body))
    try:
        return Ok(decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err(ProtocolFault(f"{address}: {exc}."))


def _ignore_response(response, error) -> None:
    """Ignore the response to a cancellation."""
