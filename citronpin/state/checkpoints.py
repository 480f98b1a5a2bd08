"""Checkpoints of folded states, on a stream beside each folded one.

A checkpoint is the encoded state up to an offset, cut into records of the stream
``checkpoint.<stream>``. When all are appended, a `DigestMark` on the folded stream
lets every entry compare its own digest at that offset.
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
LOOK_BACK = 8  # records read at first beyond those of one checkpoint
MAX_LOOK_BACK = 4_096
APPEND_TRIES = 5
RETRY_S = 1.0


class FoundCheckpoint(msgspec.Struct, frozen=True):
    """A sound checkpoint and when its author wrote it."""

    state: StreamState
    wall_ms: int


FoundCallback = Callable[[FoundCheckpoint | None, CitronpinError | None], None]


def checkpoint_records(entry: EntryId, wall_ms: int, state: StreamState) -> list[bytes]:
    """Return the payloads of the records that hold a checkpoint."""
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
    """Finds the latest sound checkpoint of a stream.

    It reads the end of the checkpoint stream first: its head, its last record,
    which tells into how many records a checkpoint was cut, then as many records
    as hold that checkpoint, and further back only when those hold none whole.
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
        self._distrusted: set[tuple] = set()

    def start(self) -> None:
        """Begin; ``done`` is called once."""
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
        parts = _parts(page)
        count = parts[-1][1].count if parts else 1
        self._look(page, count + LOOK_BACK)

    def _look(self, page: LogPage, back: int) -> None:
        start = Offset(max(page.first, page.head - back))
        self._read(start, back, lambda found: self._on_found(found, start, back))

    def _on_found(self, page: LogPage, start: Offset, back: int) -> None:
        found = self._latest(_parts(page))
        if found is not None or start <= page.first or back >= MAX_LOOK_BACK:
            self._done(found, None)
            return
        self._look(page, back * 4)

    def _latest(self, parts) -> FoundCheckpoint | None:
        groups: dict[tuple, dict[int, bytes]] = {}
        times: dict[tuple, int] = {}
        for record, item in parts:
            key = (item.state_offset, item.digest, item.count)
            groups.setdefault(key, {})[item.number] = item.state
            times[key] = record.wall_ms
        for key in sorted(groups, reverse=True):
            if len(groups[key]) == key[2] and key not in self._distrusted:
                state = self._decode(key, groups[key])
                if state is not None:
                    return FoundCheckpoint(state=state, wall_ms=times[key])
        return None

    def _decode(self, key: tuple, chunks: dict[int, bytes]) -> StreamState | None:
        state_offset, digest, count = key
        encoded = b"".join(chunks[number] for number in sorted(chunks))
        result = decode_state(self._stream, encoded, digest)
        if isinstance(result, Ok) and result.ok_value.offset == state_offset:
            return result.ok_value
        self._distrusted.add(key)
        self._recorder.note(
            EventKind.ALARM,
            "A checkpoint differs from its digest and is not used.",
            stream=self._stream,
            offset=state_offset,
        )
        return None


def _parts(page: LogPage) -> list[tuple[Record, Checkpoint]]:
    found = []
    for _, payload in page.records:
        try:
            record = decode_record(payload)
        except msgspec.MsgspecError:
            continue
        found += [(record, i) for i in record.items if isinstance(i, Checkpoint)]
    return found


class CheckpointWrite:
    """Appends one checkpoint record by record."""

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
        self._left = checkpoint_records(entry, clock.wall_ms(), state)
        self._tries = 0
        self.digest = state_digest(state)
        self.size = sum(map(len, self._left))

    def start(self) -> None:
        """Begin; ``done`` is told whether all was appended."""
        self._log.append(
            stream=self._stream, payload=self._left[0], done=self._on_appended
        )

    def _on_appended(self, result) -> None:
        if isinstance(result, Ok):
            self._tries = 0
            del self._left[0]
        else:
            # A chunk that is there twice is read as one, so it is sent again.
            self._tries += 1
        if not self._left:
            self._done(True)
        elif self._tries >= APPEND_TRIES:
            self._done(False)
        else:
            self._clock.call_later(RETRY_S if self._tries else 0.0, self.start)
