"""Reads and folds one stream of the log, from a checkpoint or its first record on."""

import logging
import math
from collections import deque
from collections.abc import Callable

import msgspec
import numpy as np
from result import Err

from citronpin.basics.clocks import Clock
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import Offset, StreamName
from citronpin.state.appenders import Backoff
from citronpin.state.checkpoints import CheckpointSearch
from citronpin.state.folds import fold_for, late_reason, state_digest
from citronpin.state.logs import LogClient, LogPage
from citronpin.state.records import (
    FORMAT_VERSION,
    MAX_RECORD_BYTES,
    ConfigChange,
    ConfigPart,
    DigestMark,
    Record,
    decode_record,
)
from citronpin.state.snapshots import decode_snapshot, encode_snapshot
from citronpin.state.states import StreamState, Verdict

logger = logging.getLogger(__name__)

LONG_POLL_S = 10.0
MAX_KEPT_RECORDS = 2_000
MAX_KEPT_BYTES = 1024 * 1024
PEER_PAGE_RECORDS = 200
PEER_PAGE_BYTES = 64 * 1024

LONG_POLL_ANSWER_S = 1.0  # from the append of a record to the end of the long poll
DIGEST_HISTORY_STATES = 512  # latest states, to check digest marks against
TRIMMED_RETRY_DELAY_S = 2.0
MS_PER_S = 1_000


class FoldedSinceMark(msgspec.Struct, frozen=True):
    """Records and payload bytes read since the latest digest mark or checkpoint.

    ``age_s`` is in seconds since its author wrote it, or since boot if none exists.
    """

    records: int
    bytes: int
    age_s: float


FoldListener = Callable[["Tail", Record | None, str, list[Verdict]], None]


class Tail:
    """Folded state of one stream; its offset never decreases.

    ``listener`` gets each folded record, the reason why the fold ignored it (empty
    if it did not), and the verdicts. It gets ``None`` for the record when a state
    was restored and when the stream first becomes current.
    """

    def __init__(
        self,
        *,
        stream: StreamName,
        log: LogClient,
        clock: Clock,
        recorder: Recorder,
        rng: np.random.Generator,
        listener: FoldListener,
        long_poll_s: float = LONG_POLL_S,
    ) -> None:
        self.stream = stream
        self.is_current = False
        self._log = log
        self._clock = clock
        self._recorder = recorder
        self._listener = listener
        self.long_poll_s = long_poll_s
        self._backoff = Backoff(rng=rng)
        self._fold = fold_for(stream)
        self.state: StreamState = self._fold.empty()
        self._kept: deque[tuple[Offset, bytes]] = deque()
        self._kept_bytes = 0
        self._head_confirmed_s = -math.inf
        self._read_sent_s = clock.now()
        # The read in progress; only its answer is followed by the next read.
        self._current_read: object | None = None
        self._is_overdue_check_due = False
        self._is_log_reachable = True
        self._reported_gap: Offset | None = None
        self._is_loss_reported = False
        self._checkpoint_search: CheckpointSearch | None = None
        self._digest_history: deque[StreamState] = deque(maxlen=DIGEST_HISTORY_STATES)
        self._records_since_mark = 0
        self._bytes_since_mark = 0
        self._mark_wall_ms = clock.wall_ms()
        self.skipped_count = 0
        self.folded_count = 0
        self.bytes = 0
        self.mismatched_marks: list[DigestMark] = []

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to fold."""
        return Offset(self.state.offset + 1)

    def start(self) -> None:
        """Search for a checkpoint and start to read after it."""
        self._checkpoint_search = CheckpointSearch(
            stream=self.stream,
            log=self._log,
            recorder=self._recorder,
            done=self._on_checkpoint,
        )
        self._checkpoint_search.start()

    def _on_checkpoint(self, found, error) -> None:
        if error is not None:
            self._set_log_reachable(False, str(error))
            self._clock.call_later(self._backoff.next_s(), self.start)
            return
        if found is not None and found.state.offset > self.state.offset:
            self._mark_wall_ms = found.wall_ms
            self._replace_state(found.state, "a checkpoint")
        self._read()

    def head_age_s(self) -> float:
        """Return the seconds since the head was last confirmed; at first infinite."""
        return self._clock.now() - self._head_confirmed_s

    def _read(self) -> None:
        self._read_sent_s = self._clock.now()
        read = self._current_read = object()
        self._log.read(
            stream=self.stream,
            start=self.next_offset,
            wait_s=self.long_poll_s if self.is_current else 0.0,
            done=lambda result: self._on_page(read, result),
        )

    def _on_page(self, read: object, result) -> None:
        if read is not self._current_read:
            self._fold_late_page(result)
            return
        self._current_read = None
        if isinstance(result, Err):
            self._set_log_reachable(False, str(result.err_value))
            self._clock.call_later(self._backoff.next_s(), self._read)
            return
        self._backoff.reset()
        self._set_log_reachable(True, "The log answers.")
        page: LogPage = result.ok_value
        if page.first > self.next_offset:
            self._on_trimmed_records(page)
            return
        if page.head < self.next_offset:
            self._on_lost_records(page)
            return
        self._fold_records(page.records)
        # The answer may have been delayed, so its head can be as old as the request.
        self.confirm_head(page.head, self._clock.now() - self._read_sent_s)
        self._read()

    def _fold_late_page(self, result) -> None:
        """Fold the answer to a read that was replaced.

        With a log that is slow to answer, no read would succeed otherwise.
        """
        if not isinstance(result, Err):
            self._fold_records(result.ok_value.records)

    def _on_trimmed_records(self, page: LogPage) -> None:
        detail = f"Records {self.next_offset} to {page.first - 1} were trimmed unread."
        if self._reported_gap != self.next_offset:
            self._reported_gap = self.next_offset
            self._recorder.note(EventKind.FAULT, detail, stream=self.stream)
        self._clock.call_later(TRIMMED_RETRY_DELAY_S, self.start)

    def _on_lost_records(self, page: LogPage) -> None:
        detail = (
            f"The log ends at {page.head}, before {self.next_offset}; it lost records."
        )
        if not self._is_loss_reported:
            self._is_loss_reported = True
            self._recorder.note(EventKind.ALARM, detail, stream=self.stream)
        self._clock.call_later(self.long_poll_s, self._read)

    def _set_log_reachable(self, reachable: bool, detail: str) -> None:
        if reachable != self._is_log_reachable:
            self._is_log_reachable = reachable
            self._recorder.note(EventKind.LOG_STATE, detail, stream=self.stream)

    def confirm_head(self, head: Offset, age_s: float = 0.0) -> None:
        """Record that ``head`` was the head of the stream ``age_s`` seconds ago.

        While records before ``head`` are not folded, only makes sure that they are
        read soon.
        """
        if self.next_offset < head:
            self._expect_records(head)
            return
        self._head_confirmed_s = max(self._head_confirmed_s, self._clock.now() - age_s)
        if not self.is_current:
            self.is_current = True
            detail = f"Read to the head at {head}."
            self._recorder.note(EventKind.LOG_STATE, detail, stream=self.stream)
            self._listener(self, None, "", [])

    def _expect_records(self, head: Offset) -> None:
        """Replace the current long poll if it does not return the records soon.

        Its connection may have become silent, without being closed.
        """
        read = self._current_read
        if read is None or not self.is_current or self._is_overdue_check_due:
            return
        self._is_overdue_check_due = True

        def replace_overdue_read() -> None:
            self._is_overdue_check_due = False
            if read is self._current_read and self.next_offset < head:
                self._read()

        self._clock.call_later(LONG_POLL_ANSWER_S, replace_overdue_read)

    def fold_peer_records(self, records: tuple[tuple[Offset, bytes], ...]) -> None:
        """Fold records from a peer up to the first gap."""
        self._fold_records(records)

    def _fold_records(self, records: tuple[tuple[Offset, bytes], ...]) -> None:
        for offset, payload in records:
            if offset > self.next_offset:
                return
            if offset == self.next_offset:
                self._fold_one(offset, payload)

    def _fold_one(self, offset: Offset, payload: bytes) -> None:
        self._keep_record(offset, payload)
        record = self._decode(offset, payload)
        if record is None:
            return
        ignored_reason = late_reason(self.state, offset, record)
        try:
            self.state, verdicts = self._fold.apply(self.state, offset, record)
        except Exception as exc:
            # Folds are deterministic, so every entry skips the same record.
            logger.exception("fold failed at offset %s of %s", offset, self.stream)
            self._skip_record(offset, f"The fold failed: {exc!r}.")
            return
        self.folded_count += 1
        self._digest_history.append(self.state)
        self._note_config_verdicts(record, verdicts)
        self._check_digest_marks(record, verdicts)
        self._listener(self, record, ignored_reason, verdicts)

    def _decode(self, offset: Offset, payload: bytes) -> Record | None:
        if len(payload) > MAX_RECORD_BYTES:
            self._skip_record(offset, f"The record has {len(payload)} bytes.")
            return None
        try:
            record = decode_record(payload)
        except msgspec.MsgspecError as exc:
            self._skip_record(offset, f"The record cannot be read: {exc}.")
            return None
        if record.format > FORMAT_VERSION:
            self._skip_record(offset, f"The record has format {record.format}.")
            return None
        return record

    def _skip_record(self, offset: Offset, detail: str) -> None:
        self.skipped_count += 1
        self.state = self._fold.skip(self.state, offset)
        self._digest_history.append(self.state)
        self._recorder.note(
            EventKind.RECORD_SKIPPED, detail, stream=self.stream, offset=offset
        )

    def _note_config_verdicts(self, record: Record, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            item = record.items[verdict.number]
            if not isinstance(item, (ConfigChange, ConfigPart)):
                continue
            accepted = verdict.accepted
            kind = EventKind.CONFIG_ACCEPTED if accepted else EventKind.CONFIG_REJECTED
            scopes = ", ".join(change.scope for change in item.changes)
            self._recorder.note(
                kind,
                f"{scopes}: {verdict.reason}" if verdict.reason else scopes,
                stream=self.stream,
                offset=verdict.offset,
            )

    def _check_digest_marks(self, record: Record, verdicts: list[Verdict]) -> None:
        """Compare the digests that a record marks with those of this entry's states."""
        for verdict in verdicts:
            item = record.items[verdict.number]
            if verdict.accepted and isinstance(item, DigestMark):
                self._check_digest_mark(record, verdict, item)

    def _check_digest_mark(
        self, record: Record, verdict: Verdict, mark: DigestMark
    ) -> None:
        self._records_since_mark = self._bytes_since_mark = 0
        self._mark_wall_ms = record.wall_ms
        states = [s for s in self._digest_history if s.offset == mark.state_offset]
        if states and state_digest(states[0]) != mark.digest:
            self.mismatched_marks.append(mark)
            detail = f"{record.author} folded another state up to {mark.state_offset}."
            self._recorder.note(
                EventKind.ALARM, detail, stream=self.stream, offset=verdict.offset
            )

    def folded_since_mark(self) -> FoldedSinceMark:
        """Return what was read since the latest digest mark or checkpoint."""
        age_ms = self._clock.wall_ms() - self._mark_wall_ms
        return FoldedSinceMark(
            records=self._records_since_mark,
            bytes=self._bytes_since_mark,
            age_s=max(age_ms, 0) / MS_PER_S,
        )

    def _keep_record(self, offset: Offset, payload: bytes) -> None:
        self._kept.append((offset, payload))
        self._kept_bytes += len(payload)
        self.bytes += len(payload)
        self._records_since_mark += 1
        self._bytes_since_mark += len(payload)
        while len(self._kept) > MAX_KEPT_RECORDS or self._kept_bytes > MAX_KEPT_BYTES:
            _, evicted = self._kept.popleft()
            self._kept_bytes -= len(evicted)

    def recent_records(self, start: Offset) -> LogPage:
        """Return contiguous kept records from the offset ``start``, at most one page.

        ``first`` of the page is the offset of the oldest kept record.
        """
        selected = []
        size_bytes = 0
        for offset, payload in self._kept:
            if offset < start:
                continue
            size_bytes += len(payload)
            if len(selected) >= PEER_PAGE_RECORDS or (
                selected and size_bytes > PEER_PAGE_BYTES
            ):
                break
            selected.append((offset, payload))
        first = self._kept[0][0] if self._kept else self.next_offset
        return LogPage(first=first, head=self.next_offset, records=tuple(selected))

    def snapshot(self) -> bytes:
        """Return the encoded state with its digest."""
        return encode_snapshot(self.stream, self.state)

    def restore(self, payload: bytes) -> bool:
        """Replace the state by a peer's snapshot if that is valid and newer.

        Returns whether the state was replaced. Only a peer that is current sends a
        snapshot, so after a valid one the stream is folded up to the head that the
        peer knows, and is current too. It is not known when the peer confirmed that
        head, so ``head_age_s`` does not fall.
        """
        result = decode_snapshot(self.stream, payload)
        if isinstance(result, Err):
            self._recorder.note(
                EventKind.ALARM, str(result.err_value), stream=self.stream
            )
            return False
        state = result.ok_value
        is_newer = state.offset > self.state.offset
        if is_newer:
            self._replace_state(state, "a peer's state")
        self.confirm_head(Offset(state.offset + 1), math.inf)
        return is_newer

    def _replace_state(self, state: StreamState, source: str) -> None:
        self.state = state
        self._kept.clear()
        self._kept_bytes = 0
        self._digest_history.clear()
        self._digest_history.append(state)
        self._records_since_mark = self._bytes_since_mark = 0
        detail = f"Took {source} at {state.offset}."
        self._recorder.note(EventKind.LOG_STATE, detail, stream=self.stream)
        self._listener(self, None, "", [])
