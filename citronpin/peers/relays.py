"""Transfers log records and snapshots of stream states between entries."""

import logging
from collections.abc import Callable

import msgspec
import xxhash

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import NO_OFFSET, EntryId, Offset, StreamName
from citronpin.peers.messages import (
    Heartbeat,
    RecordsReply,
    RecordsRequest,
    SnapshotPart,
    SnapshotRequest,
)
from citronpin.peers.peers import Peers
from citronpin.state.logs import States

logger = logging.getLogger(__name__)

LOG_LAG_TOLERANCE_S = 0.4  # most records arrive from the log within this time
RECORDS_REQUEST_TIMEOUT_S = 1.0
SNAPSHOT_TIMEOUT_S = 3.0  # for all parts, per entry asked
MAX_RECORDS_REPLY_BYTES = 300 * 1024
SNAPSHOT_PART_BYTES = 256 * 1024
MAX_SNAPSHOT_PARTS = 256

TakeSnapshot = Callable[[StreamName], bytes]
RestoreSnapshot = Callable[[StreamName, bytes], None]
SnapshotCallback = Callable[[bool], None]


class _Lag(msgspec.Struct):
    """A stream on which other entries have later records."""

    heads: dict[EntryId, Offset] = {}  # latest announced offset by entry
    timer: TimerHandle | None = None
    asked: EntryId | None = None  # entry that records were last requested from


class _Fetch(msgspec.Struct):
    """The fetch of a snapshot that is in progress."""

    left: list[EntryId]  # entries that were not asked yet
    done: SnapshotCallback
    source: EntryId | None = None  # entry that was asked last
    digest: str = ""
    parts: dict[int, bytes] = {}  # received ones by number
    timer: TimerHandle | None = None


class LogRelay:
    """Fetches records and snapshots that the log does not deliver, and serves peers."""

    def __init__(
        self,
        *,
        peers: Peers,
        states: States,
        clock: Clock,
        recorder: Recorder,
        snapshot: TakeSnapshot,
        restore: RestoreSnapshot,
    ) -> None:
        self._peers = peers
        self._states = states
        self._clock = clock
        self._recorder = recorder
        self._snapshot = snapshot
        self._restore = restore
        self._streams: set[StreamName] = set()
        self._lags: dict[StreamName, _Lag] = {}
        self._fetches: dict[StreamName, _Fetch] = {}
        peers.set_offset_source(self._offsets)
        peers.subscribe(Heartbeat, self._on_heartbeat)
        peers.subscribe(RecordsRequest, self._on_records_request)
        peers.subscribe(RecordsReply, self._on_records_reply)
        peers.subscribe(SnapshotRequest, self._on_snapshot_request)
        peers.subscribe(SnapshotPart, self._on_snapshot_part)
        states.subscribe("", lambda stream, state, verdicts: self.follow(stream))

    def follow(self, stream: StreamName) -> None:
        """Fetch missing records of a stream from peers, and serve them; idempotent."""
        self._streams.add(stream)

    def fetch_snapshot(self, stream: StreamName, done: SnapshotCallback) -> None:
        """Fetch a snapshot of a stream from the first living entry that has one.

        ``done`` is called with whether one was restored; it gets false if a fetch for
        the stream is already in progress.
        """
        others = sorted(self._peers.alive() - {self._peers.entry})
        current_fetch = self._fetches.get(stream)
        if current_fetch is not None:
            self._clock.call_later(0.0, lambda: done(False))
            return
        self._fetches[stream] = _Fetch(left=others, done=done)
        self._clock.call_later(0.0, lambda: self._request_next_snapshot(stream))

    def _offsets(self) -> dict[StreamName, Offset]:
        return {stream: self._offset(stream) for stream in self._streams}

    def _offset(self, stream: StreamName) -> Offset:
        return self._states.state(stream).offset

    def _on_heartbeat(self, sender: EntryId, heartbeat: Heartbeat) -> None:
        for stream, offset in heartbeat.offsets.items():
            if stream not in self._streams or offset <= self._offset(stream):
                continue
            lag = self._lags.setdefault(stream, _Lag())
            lag.heads[sender] = offset
            if lag.timer is None:
                lag.timer = self._schedule_catch_up(LOG_LAG_TOLERANCE_S, stream)

    def _schedule_catch_up(self, delay_s: float, stream: StreamName) -> TimerHandle:
        return self._clock.call_later(delay_s, lambda: self._catch_up(stream))

    def _catch_up(self, stream: StreamName) -> None:
        lag = self._lags[stream]
        own_offset = self._offset(stream)
        ahead = sorted(entry for entry, head in lag.heads.items() if head > own_offset)
        candidates = [entry for entry in ahead if entry in self._peers.alive()]
        if not candidates:
            del self._lags[stream]
            return
        # A peer that did not answer is asked again only if no other is ahead.
        not_asked = [entry for entry in candidates if entry != lag.asked]
        lag.asked = (not_asked or candidates)[0]
        request = RecordsRequest(stream, Offset(own_offset + 1))
        self._peers.send(lag.asked, request)
        lag.timer = self._schedule_catch_up(RECORDS_REQUEST_TIMEOUT_S, stream)

    def _on_records_request(self, sender: EntryId, request: RecordsRequest) -> None:
        if request.stream not in self._streams:
            return
        page = self._states.recent_records(request.stream, request.start)
        sent_records, size_bytes = [], 0
        for offset, payload in page.records:
            size_bytes += len(payload)
            if size_bytes > MAX_RECORDS_REPLY_BYTES:
                break
            sent_records.append((offset, payload))
        self._peers.send(sender, RecordsReply(request.stream, tuple(sent_records)))

    def _on_records_reply(self, sender: EntryId, reply: RecordsReply) -> None:
        stream = reply.stream
        if stream not in self._streams:
            return
        before = self._offset(stream)
        if reply.records:
            self._states.fold_peer_records(stream, reply.records)
        after = self._offset(stream)
        if after > before:
            self._record_event(
                f"{after - before} records of {stream} applied from {sender}", stream
            )
        elif not reply.records or reply.records[0][0] > before + 1:
            self._record_event(
                f"{sender} retains no records after offset {before}", stream
            )
            self._fetch_snapshot_from(stream, sender)
        lag = self._lags.get(stream)
        if lag is not None and after > before:
            lag.timer.cancel()
            lag.asked = None
            self._catch_up(stream)

    def _record_event(self, detail: str, stream: StreamName) -> None:
        self._recorder.note(
            EventKind.LOG_STATE, detail, stream=stream, offset=self._offset(stream)
        )

    def _fetch_snapshot_from(self, stream: StreamName, entry: EntryId) -> None:
        if stream not in self._fetches:
            self._fetches[stream] = _Fetch(left=[entry], done=lambda restored: None)
            self._request_next_snapshot(stream)

    def _request_next_snapshot(self, stream: StreamName) -> None:
        fetch = self._fetches[stream]
        if not fetch.left:
            self._finish_fetch(stream, False)
            return
        fetch.source = fetch.left.pop(0)
        fetch.parts = {}
        fetch.digest = ""
        self._peers.send(fetch.source, SnapshotRequest(stream))
        fetch.timer = self._clock.call_later(
            SNAPSHOT_TIMEOUT_S, lambda: self._request_next_snapshot(stream)
        )

    def _finish_fetch(self, stream: StreamName, restored: bool) -> None:
        fetch = self._fetches.pop(stream)
        if fetch.timer is not None:
            fetch.timer.cancel()
        fetch.done(restored)

    def _on_snapshot_request(self, sender: EntryId, request: SnapshotRequest) -> None:
        state = b""
        if self._states.is_current(request.stream):
            state = self._snapshot(request.stream)
        digest = xxhash.xxh3_128_hexdigest(state)
        count = max(1, -(-len(state) // SNAPSHOT_PART_BYTES))
        for number in range(min(count, MAX_SNAPSHOT_PARTS)):
            chunk = state[
                number * SNAPSHOT_PART_BYTES : (number + 1) * SNAPSHOT_PART_BYTES
            ]
            part = SnapshotPart(request.stream, digest, number, count, chunk)
            self._peers.send(sender, part)

    def _on_snapshot_part(self, sender: EntryId, part: SnapshotPart) -> None:
        fetch = self._fetches.get(part.stream)
        if (
            fetch is None
            or sender != fetch.source
            or not 0 < part.count <= MAX_SNAPSHOT_PARTS
        ):
            return
        if fetch.digest != part.digest:
            fetch.digest = part.digest
            fetch.parts = {}
        fetch.parts[part.number] = part.state
        if len(fetch.parts) < part.count:
            return
        state = b"".join(fetch.parts[number] for number in sorted(fetch.parts))
        fetch.timer.cancel()
        if not state or xxhash.xxh3_128_hexdigest(state) != part.digest:
            self._request_next_snapshot(part.stream)
            return
        self._restore(part.stream, state)
        self._record_event(
            f"snapshot of {part.stream} restored from {sender}", part.stream
        )
        self._finish_fetch(part.stream, self._offset(part.stream) > NO_OFFSET)
