"""Decides when a checkpoint of a stream is due and which entry writes it."""

import logging

import xxhash
from circuits import BaseComponent
from result import Err

from citronpin.basics.clocks import Clock
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import CONFIG_STREAM, NO_OFFSET, EntryId, StreamName
from citronpin.state.checkpoints import CheckpointWriter
from citronpin.state.folds import encode_state
from citronpin.state.followers import Followers
from citronpin.state.logs import LogClient
from citronpin.state.records import DigestMark

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 2.0
RETENTION_S = 86_400.0
MAX_AGE_RETENTION_SHARE = 0.25  # share of the retention time after which one is due
STAGGER_S = 6.0  # delay from one entry's turn to write to the next's
MIN_BYTES_SINCE_MARK = 64 * 1024  # of records, before size makes one due
RECORD_BYTES_PER_STATE_BYTE = 4


class Checkpointer(BaseComponent):
    """Writes checkpoints of the followed streams before the log trims their records.

    A checkpoint is due when the records since the last mark amount to
    ``min_bytes_since_mark`` and to ``RECORD_BYTES_PER_STATE_BYTE`` times the state that
    this entry wrote last, or when ``MAX_AGE_RETENTION_SHARE`` of the retention time has
    passed. Entries take turns in the order of a rendezvous hash, ``stagger_s`` apart,
    so a dead entry only delays the checkpoint. Two entries that write at the same time
    do no harm.
    """

    channel = "checkpointer"

    def __init__(
        self,
        *,
        followers: Followers,
        log: LogClient,
        entry: EntryId,
        clock: Clock,
        recorder: Recorder,
        retention_s: float = RETENTION_S,
        min_bytes_since_mark: int = MIN_BYTES_SINCE_MARK,
        stagger_s: float = STAGGER_S,
    ) -> None:
        super().__init__()
        self._followers = followers
        self._log = log
        self._entry = entry
        self._clock = clock
        self._recorder = recorder
        self._max_age_s = retention_s * MAX_AGE_RETENTION_SHARE
        self._min_bytes_since_mark = min_bytes_since_mark
        self._stagger_s = stagger_s
        self._due_since_s: dict[StreamName, float] = {}
        self._streams_being_written: set[StreamName] = set()
        self._state_bytes: dict[StreamName, int] = {}
        self.written = 0
        clock.call_later(CHECK_INTERVAL_S, self._check_all)

    def _check_all(self) -> None:
        for stream in self._followers.streams():
            self._check(stream)
        self._clock.call_later(CHECK_INTERVAL_S, self._check_all)

    def _check(self, stream: StreamName) -> None:
        if stream in self._streams_being_written or not self._is_due(stream):
            if stream not in self._streams_being_written:
                self._due_since_s.pop(stream, None)
            return
        now = self._clock.now()
        due_since_s = self._due_since_s.setdefault(stream, now)
        if now - due_since_s >= self._rank(stream) * self._stagger_s:
            self._write(stream)

    def _is_due(self, stream: StreamName) -> bool:
        if not self._followers.is_current(stream):
            return False
        since = self._followers.folded_since_mark(stream)
        limit = max(
            self._min_bytes_since_mark,
            RECORD_BYTES_PER_STATE_BYTE * self._state_bytes.get(stream, 0),
        )
        if since.bytes >= limit:
            return True
        # An idle stream needs a new one too, before the log trims the latest.
        has_records = self._followers.state(stream).offset != NO_OFFSET
        return has_records and since.age_s >= self._max_age_s

    def _rank(self, stream: StreamName) -> int:
        """Return the position of this entry in the order of writers, from 0."""
        entries = self._followers.state(CONFIG_STREAM).entries
        own = _weight(stream, self._entry)
        return sum(_weight(stream, entry) > own for entry in entries)

    def _write(self, stream: StreamName) -> None:
        state = self._followers.state(stream)
        self._streams_being_written.add(stream)
        self._state_bytes[stream] = len(encode_state(state))
        writer = CheckpointWriter(
            stream=stream,
            log=self._log,
            entry=self._entry,
            clock=self._clock,
            state=state,
            done=lambda complete: self._on_written(
                stream, state.offset, writer, complete
            ),
        )
        writer.start()

    def _on_written(
        self, stream, state_offset, writer: CheckpointWriter, complete: bool
    ) -> None:
        if not complete:
            self._streams_being_written.discard(stream)
            detail = "A checkpoint could not be appended."
            self._recorder.note(
                EventKind.FAULT, detail, stream=stream, offset=state_offset
            )
            return
        self.written += 1
        detail = f"Wrote a checkpoint of {writer.size} bytes."
        self._recorder.note(
            EventKind.LOG_STATE, detail, stream=stream, offset=state_offset
        )
        mark = DigestMark(state_offset=state_offset, digest=writer.digest)
        self._followers.propose(
            stream, (mark,), lambda result: self._on_marked(stream, result)
        )

    def _on_marked(self, stream: StreamName, result) -> None:
        self._streams_being_written.discard(stream)
        if isinstance(result, Err):
            self._recorder.note(EventKind.FAULT, str(result.err_value), stream=stream)


def _weight(stream: StreamName, entry: EntryId) -> int:
    return xxhash.xxh3_64_intdigest(f"{stream}/{entry}")
