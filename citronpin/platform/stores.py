"""The one client of the platform's store: a log of topics with partitions."""

import base64
import logging
import struct
from collections.abc import Callable
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from citronpin.basics.errors import CitronpinError, ConnectionFailed
from citronpin.web.clients import HttpClient, WholeSink

logger = logging.getLogger(__name__)

LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
CALL_TIMEOUT_S = 1.5  # an answer takes some ms; a slow store takes 0.3 s
WAIT_SLACK_S = 0.6  # beyond the time that a read waits for records
READ_KB = 1_024

OK = 200
CONFLICT = 409
GONE = 410
MISMATCH = 412


class StoreError(CitronpinError):
    """Base of the store's refusals."""

    kind = "store"
    status = 503
    remedy = "Try again later."


class StoreUnreachable(StoreError):
    """No answer came; a write may be carried out, also later."""

    kind = "store-unreachable"


class StoreRefused(StoreError):
    """The store did nothing: it is down, over its rate or full."""

    kind = "store-refused"


class Fenced(StoreError):
    """A later epoch of the producer has written."""

    kind = "fenced"
    remedy = "Stop writing; another process has taken over."


class OutOfSequence(StoreError):
    """The sequence number does not follow the last one."""

    kind = "out-of-sequence"


class OffsetMismatch(StoreError):
    """The partition does not end where the append said; ``end`` says where."""

    kind = "offset-mismatch"

    def __init__(self, detail: str, *, end: int) -> None:
        super().__init__(detail)
        self.end = end


class Trimmed(StoreError):
    """The records asked for were deleted; read the newest of each key instead."""

    kind = "trimmed"


class Record(msgspec.Struct, frozen=True):
    """A record of a keyed topic; ``value`` is ``None`` where the key is dropped."""

    key: str
    value: bytes | None
    offset: int


class Records(msgspec.Struct, frozen=True):
    """Records that were read, and the offset after the last of them."""

    records: tuple[Record, ...]
    next: int


class Newest(msgspec.Struct, frozen=True):
    """The newest record of each key, and where to read on."""

    records: tuple[Record, ...]
    end: int


class Appended(msgspec.Struct, frozen=True):
    """Where records went."""

    offset: int
    end: int


class Share(msgspec.Struct, frozen=True):
    """The partitions that a member of a group of readers holds."""

    generation: int
    parts: frozenset[int]


class _WireNewestItem(msgspec.Struct):
    key: str
    offset: int
    value: str = ""  # in base64; empty: the key is dropped


class _WireNewest(msgspec.Struct, rename="kebab"):
    items: tuple[_WireNewestItem, ...]
    end: int
    has_more: bool = False


class _WireShare(msgspec.Struct):
    generation: int
    parts: tuple[tuple, ...]  # rows of topic, partition, committed offset


class _WireReason(msgspec.Struct):
    reason: str = ""
    end: int = 0


Done = Callable[[Result], None]


class LogStore:
    """Calls of the store; each gives a `Result` to ``done`` once."""

    def __init__(self, *, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address
        self.calls = 0

    def append(
        self, *, topic: str, records: list[bytes], done: Done, at: int | None = None
    ) -> None:
        """Append records to partition 0, if it ends at ``at``."""
        query = {"topic": topic, "part": 0}
        if at is not None:
            query["at"] = at
        body = b"".join(LENGTH.pack(len(record)) + record for record in records)

        def take(status: int, data: bytes) -> Result:
            if status == OK:
                return Ok(msgspec.json.decode(data, type=Appended))
            return Err(_refusal(status, data))

        self._call("POST", "/v1/log-append", query, take, done, body=body)

    def read(self, *, topic: str, offset: int, done: Done, wait_s: float = 0.0) -> None:
        """Read records of a keyed topic; waits up to ``wait_s`` for the first."""
        query = {"topic": topic, "part": 0, "from": offset, "max-kb": READ_KB}
        if wait_s:
            query["wait-ms"] = int(wait_s * 1_000)

        def take(status: int, data: bytes) -> Result:
            if status == OK:
                return Ok(parse_records(data, offset))
            return Err(_refusal(status, data))

        timeout_s = wait_s + WAIT_SLACK_S if wait_s else CALL_TIMEOUT_S
        self._call("GET", "/v1/log-read", query, take, done, timeout_s=timeout_s)

    def newest(self, *, topic: str, done: Done) -> None:
        """Read the newest record of each key, over all pages.

        Pages are not a snapshot; what changed meanwhile follows by reading on from
        the end that the first page named.
        """
        found: list[Record] = []
        ends: list[int] = []

        def page(after: str | None) -> None:
            query = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            self._call("GET", "/v1/log-newest", query, _take_newest, taken)

        def taken(result: Result) -> None:
            if result.is_err():
                done(result)
                return
            wire: _WireNewest = result.ok_value
            ends.append(wire.end)
            found.extend(_newest_record(item) for item in wire.items)
            if wire.has_more and wire.items:
                page(wire.items[-1].key)
            else:
                done(Ok(Newest(tuple(found), ends[0])))

        page(None)

    def join(
        self, *, group: str, member: str, topic: str, ttl_ms: int, generation: int, done
    ) -> None:
        """Join a group of readers, or stay in it."""
        body = msgspec.json.encode(
            {
                "group": group,
                "member": member,
                "topics": [topic],
                "ttl-ms": ttl_ms,
                "generation": generation,
            }
        )

        def take(status: int, data: bytes) -> Result:
            if status != OK:
                return Err(_refusal(status, data))
            wire = msgspec.json.decode(data, type=_WireShare)
            return Ok(Share(wire.generation, frozenset(row[1] for row in wire.parts)))

        self._call("POST", "/v1/log-join", {}, take, done, body=body)

    def leave(self, *, group: str, member: str, done: Done) -> None:
        """Leave a group of readers."""
        body = msgspec.json.encode({"group": group, "member": member})

        def take(status: int, data: bytes) -> Result:
            return Ok(None) if status == OK else Err(_refusal(status, data))

        self._call("POST", "/v1/log-leave", {}, take, done, body=body)

    def _call(
        self,
        method: str,
        path: str,
        query: dict,
        take: Callable[[int, bytes], Result],
        done: Done,
        *,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.calls += 1

        def answered(answer, error: CitronpinError | None) -> None:
            if error is not None:
                kind = StoreUnreachable
                if isinstance(error, ConnectionFailed):
                    kind = StoreRefused
                done(Err(kind(error.detail)))
                return
            status, _, data = answer
            try:
                result = take(status, data)
            except (msgspec.MsgspecError, ValueError, struct.error) as exc:
                result = Err(StoreUnreachable(f"{path}: unreadable answer: {exc}."))
            done(result)

        self._client.request(
            address=self._address,
            method=method,
            target=f"{path}?{urlencode(query)}" if query else path,
            sink=WholeSink(done=answered),
            body=body,
            timeout_s=timeout_s,
            connect_timeout_s=min(timeout_s, CALL_TIMEOUT_S),
        )


def _take_newest(status: int, data: bytes) -> Result:
    if status == OK:
        return Ok(msgspec.json.decode(data, type=_WireNewest))
    return Err(_refusal(status, data))


def _newest_record(item: _WireNewestItem) -> Record:
    value = base64.b64decode(item.value) if item.value else None
    return Record(item.key, value, item.offset)


def _refusal(status: int, data: bytes) -> StoreError:
    try:
        wire = msgspec.json.decode(data, type=_WireReason)
    except msgspec.MsgspecError:
        wire = _WireReason()
    if status == CONFLICT:
        if wire.reason == "seq":
            return OutOfSequence(f"The store expects {wire.end}.")
        return Fenced(f"The store refused the writer: {wire.reason or 'not held'}.")
    if status == GONE:
        return Trimmed("The records were deleted.")
    if status == MISMATCH:
        return OffsetMismatch(f"The partition ends at {wire.end}.", end=wire.end)
    return StoreRefused(f"The store answered {status}.")


def encode_record(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def parse_records(data: bytes, offset: int) -> Records:
    """Return the keyed records of a read that began at ``offset``."""
    READ_HEADER.unpack_from(data)
    position = READ_HEADER.size
    records = []
    while position < len(data):
        (length,) = LENGTH.unpack_from(data, position)
        position += LENGTH.size
        content = data[position : position + length]
        if len(content) < length:
            raise ValueError("a record is cut off")
        position += length
        records.append(_keyed(content, offset))
        offset += 1
    return Records(tuple(records), offset)


def _keyed(content: bytes, offset: int) -> Record:
    if not content:
        return Record("", None, offset)
    end = 1 + content[0]
    key = content[1:end].decode("utf-8", "replace")
    return Record(key, content[end:] or None, offset)
