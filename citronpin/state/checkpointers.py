"""Decides when an entry writes a checkpoint, and which entry does."""

import logging

import xxhash
from circuits import BaseComponent
from result import Err

from citronpin.basics.clocks import Clock
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import CONFIG_STREAM, NO_OFFSET, EntryId, StreamName
from citronpin.state.checkpoints import CheckpointWrite
from citronpin.state.folds import encode_state
from citronpin.state.followers import Followers
from citronpin.state.logs import LogClient
from citronpin.state.records import DigestMark

logger = logging.getLogger(__name__)

CHECK_S = 2.0
RETENTION_S = 86_400.0
RETENTION_SHARE = 0.25  # of the retention time, after which one is due
STAGGER_S = 6.0  # between the entries that may write it
MIN_BYTES = 64 * 1024
SIZE_FACTOR = 4  # bytes of records for each byte of a checkpoint


class Checkpointer(BaseComponent):
    """Writes checkpoints of the followed streams, well inside the retention.

    One is due when the records since the last mark amount to a multiple of the
    state's size, or when a share of the retention time has passed. Entries take
    their turn in the order of a rendezvous hash, each a little later than the one
    before, so a dead entry only delays it; two checkpoints at once are harmless.
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
        min_bytes: int = MIN_BYTES,
        stagger_s: float = STAGGER_S,
    ) -> None:
        super().__init__()
        self._followers = followers
        self._log = log
        self._entry = entry
        self._clock = clock
        self._recorder = recorder
        self._age_s = retention_s * RETENTION_SHARE
        self._min_bytes = min_bytes
        self._stagger_s = stagger_s
        self._due_s: dict[StreamName, float] = {}
        self._writing: set[StreamName] = set()
        self._sizes: dict[StreamName, int] = {}
        self.written = 0
        clock.call_later(CHECK_S, self._check_all)

    def _check_all(self) -> None:
        for stream in self._followers.streams():
            self._check(stream)
        self._clock.call_later(CHECK_S, self._check_all)

    def _check(self, stream: StreamName) -> None:
        if stream in self._writing or not self._is_due(stream):
            if stream not in self._writing:
                self._due_s.pop(stream, None)
            return
        now = self._clock.now()
        due_s = self._due_s.setdefault(stream, now)
        if now - due_s >= self._rank(stream) * self._stagger_s:
            self._write(stream)

    def _is_due(self, stream: StreamName) -> bool:
        if not self._followers.current(stream):
            return False
        since = self._followers.since_mark(stream)
        limit = max(self._min_bytes, SIZE_FACTOR * self._sizes.get(stream, 0))
        if since.bytes >= limit:
            return True
        # A stream without new records needs one too: the latest is trimmed in time.
        begun = self._followers.state(stream).offset != NO_OFFSET
        return begun and since.age_s >= self._age_s

    def _rank(self, stream: StreamName) -> int:
        """Return the place of this entry in the order of those that may write."""
        known = self._followers.state(CONFIG_STREAM).entries
        own = _weight(stream, self._entry)
        return sum(_weight(stream, entry) > own for entry in known)

    def _write(self, stream: StreamName) -> None:
        state = self._followers.state(stream)
        self._writing.add(stream)
        self._sizes[stream] = len(encode_state(state))
        write = CheckpointWrite(
            stream=stream,
            log=self._log,
            entry=self._entry,
            clock=self._clock,
            state=state,
            done=lambda whole: self._on_written(stream, state.offset, write, whole),
        )
        write.start()

    def _on_written(
        self, stream, state_offset, write: CheckpointWrite, whole: bool
    ) -> None:
        if not whole:
            self._writing.discard(stream)
            detail = "A checkpoint could not be appended."
            self._recorder.note(
                EventKind.FAULT, detail, stream=stream, offset=state_offset
            )
            return
        self.written += 1
        detail = f"Wrote a checkpoint of {write.size} bytes."
        self._recorder.note(
            EventKind.LOG_STATE, detail, stream=stream, offset=state_offset
        )
        mark = DigestMark(state_offset=state_offset, digest=write.digest)
        self._followers.propose(
            stream, (mark,), lambda result: self._on_marked(stream, result)
        )

    def _on_marked(self, stream: StreamName, result) -> None:
        self._writing.discard(stream)
        if isinstance(result, Err):
            self._recorder.note(EventKind.FAULT, str(result.err_value), stream=stream)


def _weight(stream: StreamName, entry: EntryId) -> int:
    return xxhash.xxh3_64_intdigest(f"{stream}/{entry}")
