"""Appends the intents and outcomes of calls for other entries, shard by shard.

Items that are proposed while an append is in flight share the next record of the
shard's stream, so the calls of many entries share the log's append rate. Only the
order in the log decides who owns a call, so two holders at once are harmless.
"""

import logging

import xxhash

from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.errors import Outcome
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import (
    NO_OFFSET,
    CallKey,
    EntryId,
    ShardNumber,
    StreamName,
    calls_stream,
)
from citronpin.peers.meshes import Mesh
from citronpin.peers.messages import CallBegin, CallFinish, CallFinished, CallReply
from citronpin.peers.overlays import rendezvous
from citronpin.state.logs import States
from citronpin.state.records import CallIntent, CallOutcome, CallPurge, LeaseClaim
from citronpin.state.states import Call

logger = logging.getLogger(__name__)

HOLDERS_PER_SHARD = 2  # the holder and its successor follow the stream
SWEEP_INTERVAL_S = 30.0
MIN_PURGE_STEP_S = 60.0  # a smaller rise of the floor is not worth a record
PURGE_MARGIN_S = 60.0  # calls are kept this long beyond the key window
MAX_STORED_BODY_BYTES = 32 * 1024 * 1024  # sum of the bodies that one shard stores


class ShardHolder:
    """Serves the shards of calls that this entry holds or is the successor for.

    Keys older than ``window_s`` seconds plus a margin are purged from the shards.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Clock,
        recorder: Recorder,
        mesh: Mesh,
        states: States,
        shards: int,
        window_s: float,
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._recorder = recorder
        self._mesh = mesh
        self._states = states
        self._shards = shards
        self._window_s = window_s
        mesh.subscribe(CallBegin, self._on_begin)
        mesh.subscribe(CallFinish, self._on_finish)
        mesh.subscribe_liveness(lambda alive: self._follow_held_streams())
        self._follow_held_streams()
        clock.call_later(SWEEP_INTERVAL_S, self._maintain_shards)

    def holders(self, stream: StreamName) -> tuple[EntryId, ...]:
        """Return the holder of a shard's stream, then its successor."""
        return rendezvous(stream, self._mesh.alive(), HOLDERS_PER_SHARD)

    def locate(self, key: CallKey) -> tuple[ShardNumber, StreamName]:
        """Return the number and the stream of the shard that a key belongs to."""
        shard = ShardNumber(xxhash.xxh3_64_intdigest(key) % self._shards)
        return shard, calls_stream(shard)

    def find_call(self, key: CallKey) -> Call | None:
        """Return the call of a key; ``None`` if it or its shard is not known here."""
        _, stream = self.locate(key)
        if not self._states.is_current(stream):
            return None
        return self._states.state(stream).calls.get(key)

    def outcome_record(
        self, stream: StreamName, owner: EntryId, finish: CallFinish
    ) -> CallOutcome:
        """Return the record of an outcome, without body if the shard is full."""
        fits = self._stored_bytes(stream) + len(finish.body) <= MAX_STORED_BODY_BYTES
        return CallOutcome(
            key=finish.key,
            owner=owner,
            outcome=finish.outcome,
            status=finish.status,
            content_type=finish.content_type if fits else "",
            body=finish.body if fits else b"",
            attempt=finish.attempt,
            settled=finish.settled,
        )

    def _stored_bytes(self, stream: StreamName) -> int:
        if not self._states.is_current(stream):
            return 0
        return self._states.state(stream).stored_bytes

    def _all_streams(self) -> list[StreamName]:
        return [calls_stream(ShardNumber(shard)) for shard in range(self._shards)]

    def _follow_held_streams(self) -> None:
        for stream in self._all_streams():
            if self._entry in self.holders(stream):
                self._states.follow(stream)

    def _on_begin(self, sender: EntryId, begin: CallBegin) -> None:
        if not 0 <= begin.shard < self._shards:
            return
        stream = calls_stream(begin.shard)
        known = self.find_call(begin.key)
        if known is not None and known.outcome != Outcome.NOT_RUN.value:
            self._reply(sender, stream, begin.key, begin.attempt)
            return
        intent = CallIntent(
            key=begin.key,
            digest=begin.digest,
            owner=sender,
            application=begin.application,
            attempt=begin.attempt,
        )

        def done(result) -> None:
            # On an error the sender proposes the intent itself and reads the result.
            if result.is_ok():
                self._reply(sender, stream, begin.key, begin.attempt)

        self._states.propose(stream, (intent,), done)

    def _reply(
        self, sender: EntryId, stream: StreamName, key: CallKey, attempt: str
    ) -> None:
        call = self._states.state(stream).calls.get(key)
        self._mesh.send(sender, make_reply(key, attempt, call))

    def _on_finish(self, sender: EntryId, finish: CallFinish) -> None:
        if not 0 <= finish.shard < self._shards:
            return
        stream = calls_stream(finish.shard)
        item = self.outcome_record(stream, sender, finish)

        def done(result) -> None:
            if result.is_ok():
                offset = self._states.state(stream).offset
                finished = CallFinished(finish.key, finish.attempt, offset)
                self._mesh.send(sender, finished)

        self._states.propose(stream, (item,), done)

    def _maintain_shards(self) -> None:
        self._clock.call_later(SWEEP_INTERVAL_S, self._maintain_shards)
        for stream in self._all_streams():
            holders = self.holders(stream)
            if (
                holders
                and holders[0] == self._entry
                and self._states.is_current(stream)
            ):
                self._maintain_shard(stream)

    def _maintain_shard(self, stream: StreamName) -> None:
        state = self._states.state(stream)
        if state.lease.holder != self._entry:
            claim = LeaseClaim(supersedes=state.lease.fence)
            self._recorder.note(EventKind.LEASE, "claims the lease", stream=stream)
            self._states.propose(stream, (claim,))
            return
        age_ms = int((self._window_s + PURGE_MARGIN_S) * MS_PER_S)
        floor_ms = self._clock.wall_ms() - age_ms
        if floor_ms >= state.floor_ms + int(MIN_PURGE_STEP_S * MS_PER_S):
            purge = CallPurge(fence=state.lease.fence, floor_ms=floor_ms)
            self._states.propose(stream, (purge,))


def make_reply(key: CallKey, attempt: str, call: Call | None) -> CallReply:
    """Return the reply to `CallBegin`; ``None`` as call says the key is too old."""
    if call is None:
        return CallReply(key, attempt, EntryId(""), "", "", NO_OFFSET)
    return CallReply(
        key=key,
        attempt=attempt,
        owner=call.owner,
        owner_attempt=call.attempt,
        digest=call.digest,
        offset=call.offset,
        outcome=call.outcome,
        status=call.status,
        content_type=call.content_type,
        body=call.body,
    )
