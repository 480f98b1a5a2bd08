"""Writes and finds checkpoints of folded states.

A checkpoint is the encoded state at an offset, split into records of the stream
``checkpoint.<stream>``. When all of them are appended, a `DigestMark` on the folded
stream lets each entry compare the digest of its own state at that offset.
"""

import logging
from collections.abc import Callable

import msgspec
import xxhash
from result import Err, Ok

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import (
    EntryId,
    Offset,
    RecordId,
    StreamName,
    checkpoint_stream,
    new_id,
)
from citronpin.state.folds import encode_state, state_digest
from citronpin.state.logs import LogClient, LogPage
from citronpin.state.records import (
    FORMAT_VERSION,
    Checkpoint,
    Record,
    decode_record,
    encode_record,
)
from citronpin.state.snapshots import decode_state
from citronpin.state.states import StreamState

logger = logging.getLogger(__name__)

CHUNK_BYTES = 192 * 1024
EXTRA_RECORDS = 8  # read at first beyond those of one checkpoint
MAX_SEARCHED_RECORDS = 4_096
MAX_APPEND_ATTEMPTS = 5
APPEND_RETRY_DELAY_S = 1.0


class FoundCheckpoint(msgspec.Struct, frozen=True):
    """A state read from a checkpoint, and the Unix time at which it was written."""

    state: StreamState
    wall_ms: int


FoundCallback = Callable[[FoundCheckpoint | None, CitronpinError | None], None]


def checkpoint_records(entry: EntryId, wall_ms: int, state: StreamState) -> list[bytes]:
    """Return a checkpoint as record payloads with chunks of at most ``CHUNK_BYTES``."""
    encoded = encode_state(state)
    digest = xxhash.xxh3_128_hexdigest(encoded)
    chunks = [
        encoded[start : start + CHUNK_BYTES]
        for start in range(0, len(encoded), CHUNK_BYTES)
    ]
    return [
        encode_record(
            Record(
                format=FORMAT_VERSION,
                id=RecordId(new_id()),
                author=entry,
                wall_ms=wall_ms,
                items=(Checkpoint(state.offset, digest, number, len(chunks), chunk),),
            )
        )
        for number, chunk in enumerate(chunks)
    ]


class CheckpointSearch:
    """Finds the latest checkpoint of a stream that is complete and matches its digest.

    Reads the checkpoint stream from its end: the head, then the last record, which
    gives the number of chunks of its checkpoint, then about as many records. Reads
    further back only if those hold no usable checkpoint.
    """

    def __init__(
        self,
        *,
        stream: StreamName,
        log: LogClient,
        recorder: Recorder,
        done: FoundCallback,
    ) -> None:
        self._stream = stream
        self._log = log
        self._recorder = recorder
        self._done = done
        self._rejected_keys: set[tuple] = set()

    def start(self) -> None:
        """Begin the search.

        ``done`` is called once, with the checkpoint or ``None``, and the error if the
        log could not be read.
        """
        self._read(Offset(0), 0, self._on_head)

    def _read(self, start: Offset, limit: int, then) -> None:
        self._log.read(
            stream=checkpoint_stream(self._stream),
            start=start,
            wait_s=0.0,
            limit=limit,
            done=lambda result: self._on_result(result, then),
        )

    def _on_result(self, result, then) -> None:
        if isinstance(result, Err):
            self._done(None, result.err_value)
            return
        then(result.ok_value)

    def _on_head(self, page: LogPage) -> None:
        if page.head <= page.first:
            self._done(None, None)
            return
        self._read(Offset(page.head - 1), 1, self._on_last)

    def _on_last(self, page: LogPage) -> None:
        chunk_items = _chunk_items(page)
        count = chunk_items[-1][1].count if chunk_items else 1
        self._search_back(page, count + EXTRA_RECORDS)

    def _search_back(self, page: LogPage, record_count: int) -> None:
        start = Offset(max(page.first, page.head - record_count))
        self._read(
            start,
            record_count,
            lambda found: self._on_found(found, start, record_count),
        )

    def _on_found(self, page: LogPage, start: Offset, record_count: int) -> None:
        found = self._latest(_chunk_items(page))
        if (
            found is not None
            or start <= page.first
            or record_count >= MAX_SEARCHED_RECORDS
        ):
            self._done(found, None)
            return
        self._search_back(page, record_count * 4)

    def _latest(self, chunk_items) -> FoundCheckpoint | None:
        chunks_by_key: dict[tuple, dict[int, bytes]] = {}
        wall_times_ms: dict[tuple, int] = {}
        for record, item in chunk_items:
            key = (item.state_offset, item.digest, item.count)
            chunks_by_key.setdefault(key, {})[item.number] = item.state
            wall_times_ms[key] = record.wall_ms
        for key in sorted(chunks_by_key, reverse=True):
            if len(chunks_by_key[key]) == key[2] and key not in self._rejected_keys:
                state = self._decode(key, chunks_by_key[key])
                if state is not None:
                    return FoundCheckpoint(state=state, wall_ms=wall_times_ms[key])
        return None

    def _decode(self, key: tuple, chunks: dict[int, bytes]) -> StreamState | None:
        state_offset, digest, count = key
        encoded = b"".join(chunks[number] for number in sorted(chunks))
        result = decode_state(self._stream, encoded, digest)
        if isinstance(result, Ok) and result.ok_value.offset == state_offset:
            return result.ok_value
        self._rejected_keys.add(key)
        self._recorder.note(
            EventKind.ALARM,
            "A checkpoint differs from its digest and is not used.",
            stream=self._stream,
            offset=state_offset,
        )
        return None


def _chunk_items(page: LogPage) -> list[tuple[Record, Checkpoint]]:
    found = []
    for _, payload in page.records:
        try:
            record = decode_record(payload)
        except msgspec.MsgspecError:
            continue
        found += [(record, i) for i in record.items if isinstance(i, Checkpoint)]
    return found


class CheckpointWriter:
    """Appends the records of one checkpoint, one after another.

    ``digest`` is that of the state; ``size`` is that of all records in bytes.
    """

    def __init__(
        self,
        *,
        stream: StreamName,
        log: LogClient,
        entry: EntryId,
        clock: Clock,
        state: StreamState,
        done: Callable[[bool], None],
    ) -> None:
        self._stream = checkpoint_stream(stream)
        self._log = log
        self._clock = clock
        self._done = done
        self._pending_payloads = checkpoint_records(entry, clock.wall_ms(), state)
        self._failed_attempts = 0
        self.digest = state_digest(state)
        self.size = sum(map(len, self._pending_payloads))

    def start(self) -> None:
        """Append the next record; ``done`` is called with whether all were appended."""
        self._log.append(
            stream=self._stream,
            payload=self._pending_payloads[0],
            done=self._on_appended,
        )

    def _on_appended(self, result) -> None:
        if isinstance(result, Ok):
            self._failed_attempts = 0
            del self._pending_payloads[0]
        else:
            # A failed append may have taken effect; a duplicate chunk does no harm.
            self._failed_attempts += 1
        if not self._pending_payloads:
            self._done(True)
        elif self._failed_attempts >= MAX_APPEND_ATTEMPTS:
            self._done(False)
        else:
            self._clock.call_later(
                APPEND_RETRY_DELAY_S if self._failed_attempts else 0.0, self.start
            )
