"""Client of the platform's store, a log of topics with partitions."""

import base64
import logging
import struct
from abc import ABC, abstractmethod
from collections.abc import Callable
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from citronpin.basics.errors import CitronpinError, ConnectionFailed
from citronpin.web.clients import BufferedSink, HttpClient

logger = logging.getLogger(__name__)

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")  # end of the partition, first kept offset
CALL_TIMEOUT_S = 1.5  # answers take a few ms, and 0.3 s from a slow store
LONG_POLL_MARGIN_S = 0.6  # added to the long-poll time of a read for its timeout
MAX_TRANSFER_S = 4.0  # added to a timeout while the answer still arrives
MAX_READ_KB = 1_024

UNREADABLE = "\ufffd"
LAST_BYTE = b"\xff"

ERA_HEADER = "store-era"

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412


class StoreError(CitronpinError):
    """Base of the errors of calls to the store."""

    kind = "store"
    status = 503
    remedy = "Try again later."


class StoreUnreachable(StoreError):
    """No valid answer came; a write may have been applied, or may be applied later."""

    kind = "store-unreachable"


class StoreRefused(StoreError):
    """The store did not apply the call: it is down, over its rate limit or full."""

    kind = "store-refused"


class Fenced(StoreError):
    """A producer with a later epoch has written to the partition."""

    kind = "fenced"
    remedy = "Stop writing; another process has taken over."


class OutOfSequence(StoreError):
    """The sequence number of an append does not follow the last one."""

    kind = "out-of-sequence"


class OffsetMismatch(StoreError):
    """The partition does not end at the expected offset; ``end`` is its end."""

    kind = "offset-mismatch"

    def __init__(self, detail: str, *, end: int) -> None:
        super().__init__(detail)
        self.end = end


class Trimmed(StoreError):
    """The requested records were deleted; read the newest of each key instead."""

    kind = "trimmed"


class Record(msgspec.Struct, frozen=True):
    """A record of a keyed topic; ``value`` is ``None`` where the key is deleted.

    `UNREADABLE` stands for each byte of the key that is not UTF-8.
    """

    key: str
    value: bytes | None
    offset: int


class RecordBatch(msgspec.Struct, frozen=True):
    """Records of one read; ``next`` is the offset after the last of them."""

    records: tuple[Record, ...]
    next: int


class NewestRecords(msgspec.Struct, frozen=True):
    """The newest record of each key; ``end`` is the offset to read from next."""

    records: tuple[Record, ...]
    end: int


class _NewestPage(msgspec.Struct, frozen=True):
    """One page of the newest records."""

    records: tuple[Record, ...]
    end: int
    has_more: bool


class AppendedRange(msgspec.Struct, frozen=True):
    """Offset of the first appended record, and end of the partition after the last."""

    offset: int
    end: int


class PartitionAssignment(msgspec.Struct, frozen=True):
    """Partitions that the store assigns to a member of a reader group."""

    generation: int
    parts: frozenset[int]


class _WireNewestItem(msgspec.Struct):
    key: str
    offset: int
    value: str = ""  # base64; empty when the key is deleted


class _WireNewest(msgspec.Struct, rename="kebab"):
    items: tuple[_WireNewestItem, ...]
    end: int
    has_more: bool = False


class _WireAssignment(msgspec.Struct):
    generation: int
    parts: tuple[tuple, ...]  # rows of topic, partition, committed offset


class _WireRefusal(msgspec.Struct):
    reason: str = ""
    end: int = 0


ResultCallback = Callable[[Result], None]


class EraListener(ABC):
    """Keeps state that is valid only within one era of the store."""

    @abstractmethod
    def on_new_era(self) -> str:
        """Discard what the store may have lost; return what to read or write anew."""


class LogStore:
    """Calls the store; each method passes one `Result` to its ``done`` callback.

    An `Err` holds a `StoreError`. Offsets count records from the start of a partition.

    The store may lose its latest records and start a new era, in which it assigns
    offsets and generations again. Answers of an earlier era count as lost.
    """

    def __init__(self, *, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address
        self._listeners: list[EraListener] = []
        self._has_answered = False
        self.era = 0  # of the latest answer
        self.call_count = 0

    def add_era_listener(self, listener: EraListener) -> None:
        """Notify a listener of each new era before answers of that era are passed."""
        self._listeners.append(listener)

    def _record_era(self, era: int) -> None:
        """Record the era of an answer, and notify the listeners if it is a new one."""
        if era <= self.era:
            return
        previous, self.era = self.era, era
        if not self._has_answered:
            return  # nothing was read or written in an earlier era
        actions = [listener.on_new_era() for listener in self._listeners]
        logger.warning(
            "store restored from an older copy",
            extra={
                "previous_era": previous,
                "era": era,
                "actions": [action for action in actions if action],
            },
        )

    def append(
        self,
        *,
        topic: str,
        records: list[bytes],
        done: ResultCallback,
        expected_end: int | None = None,
    ) -> None:
        """Append records to partition 0.

        With ``expected_end``, the append fails with `OffsetMismatch` unless the
        partition ends at that offset.
        """
        query = {"topic": topic, "part": 0}
        if expected_end is not None:
            query["at"] = expected_end
        body = b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)

        def parse_answer(status: int, data: bytes) -> Result:
            if status == HTTP_OK:
                return Ok(msgspec.json.decode(data, type=AppendedRange))
            return Err(_error_for_answer(status, data))

        self._send_request(
            "POST", "/v1/log-append", query, parse_answer, done, body=body
        )

    def read(
        self, *, topic: str, offset: int, done: ResultCallback, long_poll_s: float = 0.0
    ) -> None:
        """Read records of a keyed topic; waits up to ``long_poll_s`` for the first."""
        query = {"topic": topic, "part": 0, "from": offset, "max-kb": MAX_READ_KB}
        if long_poll_s:
            query["wait-ms"] = int(long_poll_s * 1_000)

        def parse_answer(status: int, data: bytes) -> Result:
            if status == HTTP_OK:
                return Ok(parse_records(data, offset))
            return Err(_error_for_answer(status, data))

        timeout_s = long_poll_s + LONG_POLL_MARGIN_S if long_poll_s else CALL_TIMEOUT_S
        self._send_request(
            "GET", "/v1/log-read", query, parse_answer, done, timeout_s=timeout_s
        )

    def read_newest(self, *, topic: str, done: ResultCallback) -> None:
        """Read the newest record of each key from all pages.

        The pages are not an atomic snapshot; reading on from the end that the first
        page gives returns the records that were appended meanwhile.
        """
        found: list[Record] = []
        ends: list[int] = []

        def request_page(after: bytes | None) -> None:
            query = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after

            def on_page(result: Result) -> None:
                if result.is_err():
                    done(result)
                    return
                page: _NewestPage = result.ok_value
                ends.append(page.end)
                found.extend(page.records)
                following = _key_to_read_after(page)
                if following is not None and following != after:
                    request_page(following)
                else:
                    done(Ok(NewestRecords(tuple(found), ends[0])))

            self._send_request(
                "GET", "/v1/log-newest", query, _parse_newest_page, on_page
            )

        request_page(None)

    def join_group(
        self, *, group: str, member: str, topic: str, ttl_ms: int, generation: int, done
    ) -> None:
        """Join a reader group or renew the membership for ``ttl_ms``."""
        body = msgspec.json.encode(
            {
                "group": group,
                "member": member,
                "topics": [topic],
                "ttl-ms": ttl_ms,
                "generation": generation,
            }
        )

        def parse_answer(status: int, data: bytes) -> Result:
            if status != HTTP_OK:
                return Err(_error_for_answer(status, data))
            wire = msgspec.json.decode(data, type=_WireAssignment)
            return Ok(
                PartitionAssignment(
                    wire.generation, frozenset(row[1] for row in wire.parts)
                )
            )

        self._send_request("POST", "/v1/log-join", {}, parse_answer, done, body=body)

    def leave_group(self, *, group: str, member: str, done: ResultCallback) -> None:
        """Leave a reader group, which releases the member's partitions."""
        body = msgspec.json.encode({"group": group, "member": member})

        def parse_answer(status: int, data: bytes) -> Result:
            return (
                Ok(None) if status == HTTP_OK else Err(_error_for_answer(status, data))
            )

        self._send_request("POST", "/v1/log-leave", {}, parse_answer, done, body=body)

    def _send_request(
        self,
        method: str,
        path: str,
        query: dict,
        parse_answer: Callable[[int, bytes], Result],
        done: ResultCallback,
        *,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.call_count += 1

        def on_answer(answer, error: CitronpinError | None) -> None:
            if error is not None:
                kind = StoreUnreachable
                if isinstance(error, ConnectionFailed):
                    kind = StoreRefused
                done(Err(kind(error.detail)))
                return
            status, headers, data = answer
            era = _parse_era(headers, default=self.era)
            try:
                self._record_era(era)
            except Exception:
                # The caller waits for the end of its call, whatever a listener raised.
                done(Err(StoreUnreachable(f"{path}: era {era} was not handled.")))
                raise
            self._has_answered = True
            if era < self.era:
                done(
                    Err(
                        StoreUnreachable(f"{path}: an answer of the earlier era {era}.")
                    )
                )
                return
            try:
                result = parse_answer(status, data)
            except Exception as exc:
                # The caller waits for the end of its call, whatever came as an answer.
                result = Err(StoreUnreachable(f"{path}: unreadable answer: {exc}."))
            done(result)

        self._client.request(
            address=self._address,
            method=method,
            target=f"{path}?{urlencode(query)}" if query else path,
            sink=BufferedSink(done=on_answer),
            body=body,
            timeout_s=timeout_s,
            max_timeout_s=timeout_s + MAX_TRANSFER_S,
            connect_timeout_s=min(timeout_s, CALL_TIMEOUT_S),
        )


def _parse_era(headers: dict[str, str], *, default: int) -> int:
    text = headers.get(ERA_HEADER, "")
    return int(text) if text.isdecimal() else default


def _parse_newest_page(status: int, data: bytes) -> Result:
    if status != HTTP_OK:
        return Err(_error_for_answer(status, data))
    # A key of another writer need not be text.
    wire = msgspec.json.decode(data.decode("utf-8", "replace"), type=_WireNewest)
    records = tuple(_decode_newest_item(item) for item in wire.items)
    return Ok(_NewestPage(records, wire.end, wire.has_more))


def _decode_newest_item(item: _WireNewestItem) -> Record:
    value = base64.b64decode(item.value) if item.value else None
    return Record(item.key, value, item.offset)


def _key_to_read_after(page: _NewestPage) -> bytes | None:
    """Return the key after which the next page begins, ``None`` after the last page.

    The bytes of an unreadable key are not known. The next page begins after all keys
    that differ from it only from its first unreadable byte on.
    """
    if not page.has_more or not page.records:
        return None
    readable, unreadable, _ = page.records[-1].key.partition(UNREADABLE)
    return readable.encode() + (LAST_BYTE if unreadable else b"")


def _error_for_answer(status: int, data: bytes) -> StoreError:
    try:
        wire = msgspec.json.decode(data, type=_WireRefusal)
    except msgspec.MsgspecError:
        wire = _WireRefusal()
    if status == HTTP_CONFLICT:
        if wire.reason == "seq":
            return OutOfSequence(f"The store expects {wire.end}.")
        return Fenced(f"The store refused the writer: {wire.reason or 'not held'}.")
    if status == HTTP_GONE:
        return Trimmed("The records were deleted.")
    if status == HTTP_PRECONDITION_FAILED:
        return OffsetMismatch(f"The partition ends at {wire.end}.", end=wire.end)
    return StoreRefused(f"The store answered {status}.")


def encode_record(key: str, value: bytes) -> bytes:
    """Return the bytes of a record: length of the key, key, value.

    Raises ValueError when the key has more than 255 bytes.
    """
    name = key.encode()
    return bytes([len(name)]) + name + value


def parse_records(data: bytes, offset: int) -> RecordBatch:
    """Return the keyed records of a read that began at ``offset``.

    Raises ValueError or struct.error when the data is truncated.
    """
    READ_HEADER.unpack_from(data)
    position = READ_HEADER.size
    records = []
    while position < len(data):
        (length,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        content = data[position : position + length]
        if len(content) < length:
            raise ValueError("a record is cut off")
        position += length
        records.append(_parse_keyed_record(content, offset))
        offset += 1
    return RecordBatch(tuple(records), offset)


def _parse_keyed_record(content: bytes, offset: int) -> Record:
    if not content:
        return Record("", None, offset)
    end = 1 + content[0]
    key = content[1:end].decode("utf-8", "replace")
    return Record(key, content[end:] or None, offset)
