"""Client of the log service over HTTP."""

import logging
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from citronpin.basics.clocks import Clock
from citronpin.basics.decodings import bounded
from citronpin.basics.errors import CitronpinError, LogUnavailable, Outcome
from citronpin.basics.ids import Offset, StreamName
from citronpin.state.logs import LogClient, LogPage
from citronpin.web.clients import HttpClient, WholeSink

logger = logging.getLogger(__name__)

APPEND_TIMEOUT_S = 3.0
READ_MARGIN_S = 3.0  # beyond the time that a long poll may wait
MAX_PAGE_BYTES = 64 * 1024 * 1024
REFUSED_STATUSES = frozenset({400, 404, 405, 408, 413, 429, 503})
MS_PER_S = 1_000

_decode_offsets = bounded(msgspec.json.Decoder(dict[str, int]).decode)
_decode_page = bounded(msgspec.msgpack.Decoder(LogPage).decode)


class HttpLog(LogClient):
    """Talks to the log service; counts what it sends and reads.

    An append is proven *not run* when no byte was sent or when the service
    answers with a status of ``REFUSED_STATUSES``; every other fault leaves it open.
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
            sink=WholeSink(done=lambda got, exc: done(_append_result(got, exc))),
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
            sink=WholeSink(
                done=lambda got, exc: done(self._read_result(got, exc)),
                limit_bytes=MAX_PAGE_BYTES,
            ),
            timeout_s=wait_s + READ_MARGIN_S,
        )

    def read_heads(self, *, streams, done) -> None:
        self.reads += 1
        names = quote(",".join(streams), safe=",")
        self._client.request(
            address=self._address,
            method="GET",
            target=f"/streams?names={names}",
            sink=WholeSink(done=lambda got, exc: done(self._heads_result(got, exc))),
            timeout_s=READ_MARGIN_S,
        )

    def _heads_result(self, got, exc):
        if exc is None:
            self.bytes_read += len(got[2])
        return _heads_result(got, exc)

    def _read_result(self, got, exc) -> Result[LogPage, CitronpinError]:
        if exc is not None:
            return Err(_unavailable(str(exc)))
        status, _, body = got
        self.bytes_read += len(body)
        if status != 200:
            return Err(_unavailable(f"The log answered {status}."))
        try:
            return Ok(_decode_page(body))
        except msgspec.MsgspecError as fault:
            return Err(_unavailable(f"The log's answer cannot be read: {fault}."))


def _append_result(got, exc) -> Result[Offset, CitronpinError]:
    if exc is not None:
        return Err(_unavailable(str(exc), exc.outcome))
    status, _, body = got
    if status in REFUSED_STATUSES:
        return Err(_unavailable(f"The log answered {status}.", Outcome.NOT_RUN))
    if status != 200:
        return Err(_unavailable(f"The log answered {status}.", Outcome.UNKNOWN))
    try:
        return Ok(Offset(_decode_offsets(body)["offset"]))
    except (msgspec.MsgspecError, KeyError) as fault:
        detail = f"The log's answer cannot be read: {fault}."
        return Err(_unavailable(detail, Outcome.UNKNOWN))


def _heads_result(got, exc) -> Result[dict[StreamName, Offset], CitronpinError]:
    if exc is not None:
        return Err(_unavailable(str(exc)))
    status, _, body = got
    try:
        if status == 200:
            return Ok(_decode_offsets(body))
    except msgspec.MsgspecError as fault:
        return Err(_unavailable(f"The log's answer cannot be read: {fault}."))
    return Err(_unavailable(f"The log answered {status}."))


def _unavailable(detail: str, outcome: Outcome | None = None) -> LogUnavailable:
    return LogUnavailable(detail, outcome=outcome)
