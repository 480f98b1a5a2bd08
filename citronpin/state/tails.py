"""Reads one stream of the log from its start to its head and on, and folds it."""

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
from citronpin.state.appenders import BackOff
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
KEPT_RECORDS = 2_000
KEPT_BYTES = 1024 * 1024
PAGE_RECORDS = 200
PAGE_BYTES = 64 * 1024

HISTORY = 512  # folded states kept to compare digests
TRIMMED_RETRY_S = 2.0
MS_PER_S = 1_000


class SinceMark(msgspec.Struct, frozen=True):
    """What was folded since the latest digest mark or checkpoint."""

    records: int
    bytes: int
    age_s: float


FoldListener = Callable[["Tail", Record | None, str, list[Verdict]], None]


class Tail:
    """The folded state of one stream, which only ever moves forward.

    ``listener`` is told of each folded record, why it was late if it was, and the
    verdicts; of a restored state it is told with ``None`` for the record.
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
        self.current = False
        self._log = log
        self._clock = clock
        self._recorder = recorder
        self._listener = listener
        self.long_poll_s = long_poll_s
        self._back_off = BackOff(rng=rng)
        self._fold = fold_for(stream)
        self.state: StreamState = self._fold.empty()
        self._kept: deque[tuple[Offset, bytes]] = deque()
        self._kept_bytes = 0
        self._head_s = -math.inf
        self._asked_s = clock.now()
        self._reachable = True
        self._gap_told: Offset | None = None
        self._loss_told = False
        self._search: CheckpointSearch | None = None
        self._history: deque[StreamState] = deque(maxlen=HISTORY)
        self._mark_records = 0
        self._mark_bytes = 0
        self._mark_wall_ms = clock.wall_ms()
        self.skipped = 0
        self.folded = 0
        self.bytes = 0
        self.disagreed: list[DigestMark] = []

    @property
    def next(self) -> Offset:
        """Return the offset of the record to fold next."""
        return Offset(self.state.offset + 1)

    def start(self) -> None:
        """Look for a checkpoint, then read from there."""
        self._search = CheckpointSearch(
            stream=self.stream,
            log=self._log,
            recorder=self._recorder,
            done=self._on_checkpoint,
        )
        self._search.start()

    def _on_checkpoint(self, found, error) -> None:
        if error is not None:
            self._set_reachable(False, str(error))
            self._clock.call_later(self._back_off.next_s(), self.start)
            return
        if found is not None and found.state.offset > self.state.offset:
            self._mark_wall_ms = found.wall_ms
            self._jump(found.state, "a checkpoint")
        self._read()

    def head_age_s(self) -> float:
        """Return the seconds since the head was last confirmed."""
        return self._clock.now() - self._head_s

    def _read(self) -> None:
        self._asked_s = self._clock.now()
        self._log.read(
            stream=self.stream,
            start=self.next,
            wait_s=self.long_poll_s if self.current else 0.0,
            done=self._on_page,
        )

    def _on_page(self, result) -> None:
        if isinstance(result, Err):
            self._set_reachable(False, str(result.err_value))
            self._clock.call_later(self._back_off.next_s(), self._read)
            return
        self._back_off.reset()
        self._set_reachable(True, "The log answers.")
        page: LogPage = result.ok_value
        if page.first > self.next:
            self._on_trimmed(page)
            return
        if page.head < self.next:
            self._on_lost(page)
            return
        self._take(page.records)
        # The head may be as old as the question: the answer can have waited.
        self.confirm_head(page.head, self._clock.now() - self._asked_s)
        self._read()

    def _on_trimmed(self, page: LogPage) -> None:
        detail = f"Records {self.next} to {page.first - 1} were trimmed unread."
        if self._gap_told != self.next:
            self._gap_told = self.next
            self._recorder.note(EventKind.FAULT, detail, stream=self.stream)
        self._clock.call_later(TRIMMED_RETRY_S, self.start)

    def _on_lost(self, page: LogPage) -> None:
        detail = f"The log ends at {page.head}, before {self.next}; it lost records."
        if not self._loss_told:
            self._loss_told = True
            self._recorder.note(EventKind.ALARM, detail, stream=self.stream)
        self._clock.call_later(self.long_poll_s, self._read)

    def _set_reachable(self, reachable: bool, detail: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            self._recorder.note(EventKind.LOG_STATE, detail, stream=self.stream)

    def confirm_head(self, head: Offset, age_s: float = 0.0) -> None:
        """Note that ``head`` was the head ``age_s`` ago."""
        if self.next < head:
            return
        self._head_s = max(self._head_s, self._clock.now() - age_s)
        if not self.current:
            self.current = True
            detail = f"Read to the head at {head}."
            self._recorder.note(EventKind.LOG_STATE, detail, stream=self.stream)
            self._listener(self, None, "", [])

    def inject(self, records: tuple[tuple[Offset, bytes], ...]) -> None:
        """Fold records that a peer passed on, up to the first gap."""
        self._take(records)

    def _take(self, records: tuple[tuple[Offset, bytes], ...]) -> None:
        for offset, payload in records:
            if offset > self.next:
                return
            if offset == self.next:
                self._fold_one(offset, payload)

    def _fold_one(self, offset: Offset, payload: bytes) -> None:
        self._keep(offset, payload)
        record = self._decode(offset, payload)
        if record is None:
            return
        late = late_reason(self.state, offset, record)
        try:
            self.state, verdicts = self._fold.apply(self.state, offset, record)
        except Exception as exc:
            # A fold is a pure function, so every entry skips the same record.
            logger.exception("the fold failed at %s of %s", offset, self.stream)
            self._skip(offset, f"The fold failed: {exc!r}.")
            return
        self.folded += 1
        self._history.append(self.state)
        self._note(record, verdicts)
        self._compare(record, verdicts)
        self._listener(self, record, late, verdicts)

    def _decode(self, offset: Offset, payload: bytes) -> Record | None:
        if len(payload) > MAX_RECORD_BYTES:
            self._skip(offset, f"The record has {len(payload)} bytes.")
            return None
        try:
            record = decode_record(payload)
        except msgspec.MsgspecError as exc:
            self._skip(offset, f"The record cannot be read: {exc}.")
            return None
        if record.format > FORMAT_VERSION:
            self._skip(offset, f"The record has format {record.format}.")
            return None
        return record

    def _skip(self, offset: Offset, detail: str) -> None:
        self.skipped += 1
        self.state = self._fold.skip(self.state, offset)
        self._history.append(self.state)
        self._recorder.note(
            EventKind.RECORD_SKIPPED, detail, stream=self.stream, offset=offset
        )

    def _note(self, record: Record, verdicts: list[Verdict]) -> None:
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

    def _compare(self, record: Record, verdicts: list[Verdict]) -> None:
        """Compare the own digest with those that a record states."""
        for verdict in verdicts:
            item = record.items[verdict.number]
            if verdict.accepted and isinstance(item, DigestMark):
                self._on_mark(record, verdict, item)

    def _on_mark(self, record: Record, verdict: Verdict, mark: DigestMark) -> None:
        self._mark_records = self._mark_bytes = 0
        self._mark_wall_ms = record.wall_ms
        known = [state for state in self._history if state.offset == mark.state_offset]
        if known and state_digest(known[0]) != mark.digest:
            self.disagreed.append(mark)
            detail = f"{record.author} folded another state up to {mark.state_offset}."
            self._recorder.note(
                EventKind.ALARM, detail, stream=self.stream, offset=verdict.offset
            )

    def since_mark(self) -> SinceMark:
        """Return what was folded since the latest mark or checkpoint."""
        age_ms = self._clock.wall_ms() - self._mark_wall_ms
        return SinceMark(
            records=self._mark_records,
            bytes=self._mark_bytes,
            age_s=max(age_ms, 0) / MS_PER_S,
        )

    def _keep(self, offset: Offset, payload: bytes) -> None:
        self._kept.append((offset, payload))
        self._kept_bytes += len(payload)
        self.bytes += len(payload)
        self._mark_records += 1
        self._mark_bytes += len(payload)
        while len(self._kept) > KEPT_RECORDS or self._kept_bytes > KEPT_BYTES:
            _, dropped = self._kept.popleft()
            self._kept_bytes -= len(dropped)

    def recent(self, start: Offset) -> LogPage:
        """Return kept records from ``start`` that follow one another."""
        found = []
        size = 0
        for offset, payload in self._kept:
            if offset < start:
                continue
            size += len(payload)
            if len(found) >= PAGE_RECORDS or (found and size > PAGE_BYTES):
                break
            found.append((offset, payload))
        first = self._kept[0][0] if self._kept else self.next
        return LogPage(first=first, head=self.next, records=tuple(found))

    def snapshot(self) -> bytes:
        """Return the state with its digest."""
        return encode_snapshot(self.stream, self.state)

    def restore(self, payload: bytes) -> bool:
        """Take the state of a peer if it is sound and ahead of the own one.

        Only a peer that is current gives its state, so the own fold then stands
        where the head is as far as that peer knows; how old that knowledge is
        stays open, and the age of the head with it.
        """
        result = decode_snapshot(self.stream, payload)
        if isinstance(result, Err):
            self._recorder.note(
                EventKind.ALARM, str(result.err_value), stream=self.stream
            )
            return False
        state = result.ok_value
        ahead = state.offset > self.state.offset
        if ahead:
            self._jump(state, "a peer's state")
        self.confirm_head(Offset(state.offset + 1), math.inf)
        return ahead

    def _jump(self, state: StreamState, source: str) -> None:
        self.state = state
        self._kept.clear()
        self._kept_bytes = 0
        self._history.clear()
        self._history.append(state)
        self._mark_records = self._mark_bytes = 0
        detail = f"Took {source} at {state.offset}."
        self._recorder.note(EventKind.LOG_STATE, detail, stream=self.stream)
        self._listener(self, None, "", [])
