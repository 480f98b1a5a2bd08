"""HTTP client of the log service."""

import logging
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from citronpin.basics.clocks import Clock
from citronpin.basics.decodings import guard_recursion
from citronpin.basics.errors import CitronpinError, LogUnavailable, Outcome
from citronpin.basics.ids import Offset, StreamName
from citronpin.state.logs import LogClient, LogPage
from citronpin.web.clients import BufferedSink, HttpClient

logger = logging.getLogger(__name__)

APPEND_TIMEOUT_S = 3.0
READ_MARGIN_S = 3.0  # added to the wait of a long poll for the request timeout
MAX_PAGE_BYTES = 64 * 1024 * 1024
NOT_RUN_STATUSES = frozenset({400, 404, 405, 408, 413, 429, 503})
MS_PER_S = 1_000

_decode_offsets = guard_recursion(msgspec.json.Decoder(dict[str, int]).decode)
_decode_page = guard_recursion(msgspec.msgpack.Decoder(LogPage).decode)


class HttpLog(LogClient):
    """Appends and reads over HTTP; counts the requests and the bytes of their bodies.

    A failed append has the outcome ``NOT_RUN`` only if no byte of it was sent or
    if the service answered with one of ``NOT_RUN_STATUSES``; after any other
    failure the payload may have been appended.
    """

    def __init__(self, *, client: HttpClient, address: str, clock: Clock) -> None:
        self._client = client
        self._address = address
        self._clock = clock
        self.appends = 0
        self.reads = 0
        self.bytes_sent = 0
        self.bytes_read = 0

    def append(self, *, stream, payload, done) -> None:
        self.appends += 1
        self.bytes_sent += len(payload)
        self._client.request(
            address=self._address,
            method="POST",
            target=f"/streams/{quote(stream, safe='')}/records",
            headers=(("Content-Type", "application/octet-stream"),),
            body=payload,
            sink=BufferedSink(
                done=lambda response, exc: done(_parse_append(response, exc))
            ),
            timeout_s=APPEND_TIMEOUT_S,
        )

    def read(self, *, stream, start, wait_s, done, limit=500) -> None:
        self.reads += 1
        wait_ms = int(wait_s * MS_PER_S)
        query = f"start={max(start, 0)}&limit={limit}&wait_ms={wait_ms}"
        self._client.request(
            address=self._address,
            method="GET",
            target=f"/streams/{quote(stream, safe='')}/records?{query}",
            sink=BufferedSink(
                done=lambda response, exc: done(
                    self._count_and_parse_page(response, exc)
                ),
                limit_bytes=MAX_PAGE_BYTES,
            ),
            timeout_s=wait_s + READ_MARGIN_S,
        )

    def read_heads(self, *, streams, done) -> None:
        self.reads += 1
        stream_names = quote(",".join(streams), safe=",")
        self._client.request(
            address=self._address,
            method="GET",
            target=f"/streams?names={stream_names}",
            sink=BufferedSink(
                done=lambda response, exc: done(
                    self._count_and_parse_heads(response, exc)
                )
            ),
            timeout_s=READ_MARGIN_S,
        )

    def _count_and_parse_heads(self, response, exc):
        if exc is None:
            self.bytes_read += len(response[2])
        return _parse_heads(response, exc)

    def _count_and_parse_page(self, response, exc) -> Result[LogPage, CitronpinError]:
        if exc is not None:
            return Err(_unavailable(str(exc)))
        status, _, body = response
        self.bytes_read += len(body)
        if status != 200:
            return Err(_unavailable(f"The log answered {status}."))
        try:
            return Ok(_decode_page(body))
        except msgspec.MsgspecError as error:
            return Err(_unavailable(f"The log's answer cannot be read: {error}."))


def _parse_append(response, exc) -> Result[Offset, CitronpinError]:
    if exc is not None:
        return Err(_unavailable(str(exc), exc.outcome))
    status, _, body = response
    if status in NOT_RUN_STATUSES:
        return Err(_unavailable(f"The log answered {status}.", Outcome.NOT_RUN))
    if status != 200:
        return Err(_unavailable(f"The log answered {status}.", Outcome.UNKNOWN))
    try:
        return Ok(Offset(_decode_offsets(body)["offset"]))
    except (msgspec.MsgspecError, KeyError) as error:
        detail = f"The log's answer cannot be read: {error}."
        return Err(_unavailable(detail, Outcome.UNKNOWN))


def _parse_heads(response, exc) -> Result[dict[StreamName, Offset], CitronpinError]:
    if exc is not None:
        return Err(_unavailable(str(exc)))
    status, _, body = response
    try:
        if status == 200:
            return Ok(_decode_offsets(body))
    except msgspec.MsgspecError as error:
        return Err(_unavailable(f"The log's answer cannot be read: {error}."))
    return Err(_unavailable(f"The log answered {status}."))


def _unavailable(detail: str, outcome: Outcome | None = None) -> LogUnavailable:
    return LogUnavailable(detail, outcome=outcome)
