"""Continuous batching of the engine stand-in: queue, steps and kept attempts."""

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

import msgspec

from citronpin.backends.engines import Frame, Submission, prompt_text
from citronpin.basics.clocks import MS_PER_S, Clock, TimerHandle
from citronpin.policy.prefixes import prefix_blocks
from citronpin.standins.standin_caches import PrefixCache
from citronpin.standins.standin_reports import LaggedLoad
from citronpin.standins.standin_texts import answer_after, count_tokens

MIN_STEP_S = 0.001
HALT_POLL_S = 0.01


class EngineSpeed(msgspec.Struct, frozen=True, kw_only=True):
    """How fast an engine is and how much it takes at once."""

    tokens_per_s: float = 50.0  # of one stream alone
    prefill_tokens_per_s: float = 20_000.0
    batch: int = 32  # most streams at once
    batch_slowdown: float = 0.03  # added step time for each further stream
    queue: int = 256  # most submissions that wait
    keep_s: float = 30.0  # how long a detached or ended attempt is kept


class Outlet(Protocol):
    """Takes the frames of a stream as they are generated."""

    def take(self, frames: list[Frame]) -> None:
        """Take frames."""

    def abort(self) -> None:
        """Cut the transport."""


class Stream:
    """One attempt: what it will say and what it has said."""

    def __init__(self, *, submission: Submission, load: LaggedLoad) -> None:
        self.submission = submission
        self._load = load
        prompt = prompt_text(submission.body)
        self.blocks = prefix_blocks(submission.body.get("messages") or ())
        self.prompt_tokens = count_tokens(prompt)
        self.cached_tokens = 0
        self.answer = answer_after(submission.body, submission.prefix)
        self.frames: list[Frame] = []
        self.said = 0
        self.credit = 0.0
        self.ready_s = 0.0
        self.due_s = 0.0
        self.detached_s = 0.0
        self.ended = False
        self.outlet: Outlet | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the attempt."""
        return self.submission.request, self.submission.attempt

    def say(self, count: int) -> list[Frame]:
        """Return the frames of the next ``count`` tokens, the final one included."""
        pieces = self.answer.pieces[self.said : self.said + count]
        self.said += len(pieces)
        new = [self._frame(text=piece, tokens=1) for piece in pieces]
        if self.said == len(self.answer.pieces):
            self.ended = True
            new.append(self._final())
        return new

    def _frame(self, **fields) -> Frame:
        request, attempt = self.key
        sequence = len(self.frames)
        if sequence == 0 or fields.get("final"):
            fields["load"] = self._load.read()[:2]
        frame = Frame(request=request, attempt=attempt, sequence=sequence, **fields)
        self.frames.append(frame)
        return frame

    def _final(self) -> Frame:
        completion = self.submission.prefix_tokens + self.said
        usage = {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion,
            "total_tokens": self.prompt_tokens + completion,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }
        reason = self.answer.finish_reason
        return self._frame(final=True, finish_reason=reason, usage=usage)


class Batch:
    """Runs the streams of one engine."""

    def __init__(
        self,
        *,
        clock: Clock,
        speed: EngineSpeed,
        cache: PrefixCache,
        load: LaggedLoad,
        halted: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._speed = speed
        self._cache = cache
        self._load = load
        self._halted = halted
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Stream]] = []
        self._running: list[Stream] = []
        self._kept: dict[tuple[str, int], Stream] = {}
        self._timer: TimerHandle | None = None
        self._stepped_s = 0.0
        self.straggle = 1.0

    @property
    def kept_streams(self) -> list[Stream]:
        """Return the kept attempts."""
        return list(self._kept.values())

    @property
    def full(self) -> bool:
        """Return whether a further submission must be refused."""
        return len(self._queue) >= self._speed.queue

    def find(self, request: str, attempt: int) -> Stream | None:
        """Return a kept attempt."""
        return self._kept.get((request, attempt))

    def add(self, submission: Submission) -> Stream:
        """Queue a submission; higher priorities go first."""
        stream = Stream(submission=submission, load=self._load)
        stream.due_s = self._clock.now() + submission.deadline_ms / MS_PER_S
        self._kept[stream.key] = stream
        entry = (-submission.priority, next(self._order), stream)
        heapq.heappush(self._queue, entry)
        self._admit()
        return stream

    def detach(self, stream: Stream) -> None:
        """Keep a stream that lost its connection for a while."""
        stream.outlet = None
        stream.detached_s = self._clock.now()
        self._clock.call_later(self._speed.keep_s, lambda: self._drop_detached(stream))

    def drop(self, stream: Stream) -> None:
        """Stop a stream and forget it."""
        stream.ended = True
        stream.outlet = None
        if self._kept.get(stream.key) is stream:
            del self._kept[stream.key]
        self._running = [known for known in self._running if known is not stream]
        self._queue = [entry for entry in self._queue if entry[2] is not stream]
        heapq.heapify(self._queue)
        self._admit()

    def clear(self) -> list[Stream]:
        """Drop every stream and return them."""
        streams = list(self._kept.values())
        self._kept.clear()
        self._running.clear()
        self._queue.clear()
        self._load.note(0, 0)
        return streams

    def token_s(self) -> float:
        """Return the time between two tokens of a stream at this batch size."""
        others = max(0, len(self._running) - 1)
        slowdown = 1.0 + others * self._speed.batch_slowdown
        return slowdown * self.straggle / self._speed.tokens_per_s

    def _admit(self) -> None:
        while self._queue and len(self._running) < self._speed.batch:
            stream = heapq.heappop(self._queue)[2]
            if stream.due_s < self._clock.now():
                self._give_up(stream)
                continue
            self._prefill(stream)
            self._running.append(stream)
        self._load.note(len(self._running), len(self._queue))
        if self._running and self._timer is None:
            self._stepped_s = self._clock.now()
            self._schedule()

    def _give_up(self, stream: Stream) -> None:
        """Cut a stream whose deadline passed while it waited."""
        self._kept.pop(stream.key, None)
        if stream.outlet is not None:
            stream.outlet.abort()

    def _prefill(self, stream: Stream) -> None:
        hit = self._cache.hit(stream.blocks)
        if stream.blocks:
            full = len(stream.blocks)
            stream.cached_tokens = stream.prompt_tokens * hit // (full + 1)
        self._cache.store(stream.blocks)
        fresh = stream.prompt_tokens - stream.cached_tokens
        cost_s = fresh * self.straggle / self._speed.prefill_tokens_per_s
        stream.ready_s = self._clock.now() + cost_s

    def _schedule(self) -> None:
        delay_s = max(self.token_s(), MIN_STEP_S)
        self._timer = self._clock.call_later(delay_s, self._step)

    def _step(self) -> None:
        now = self._clock.now()
        if self._halted():
            self._stepped_s = now
            self._timer = self._clock.call_later(HALT_POLL_S, self._step)
            return
        share = (now - self._stepped_s) / self.token_s()
        self._stepped_s = now
        for stream in list(self._running):
            if now >= stream.ready_s:
                self._advance(stream, share)
        self._running = [stream for stream in self._running if not stream.ended]
        self._timer = None
        self._admit()

    def _advance(self, stream: Stream, share: float) -> None:
        stream.credit += share
        count = int(stream.credit + 1e-6)
        if not count:
            return
        stream.credit -= count
        frames = stream.say(count)
        if stream.ended:
            self._clock.call_later(
                self._speed.keep_s, lambda: self._forget_ended(stream)
            )
        if stream.outlet is not None:
            stream.outlet.take(frames)

    def _drop_detached(self, stream: Stream) -> None:
        age_s = self._clock.now() - stream.detached_s
        if stream.outlet is None and age_s >= self._speed.keep_s:
            self.drop(stream)

    def _forget_ended(self, stream: Stream) -> None:
        if self._kept.get(stream.key) is stream:
            del self._kept[stream.key]
