"""Continuous batching of the engine stand-in: its queue, steps and attempts."""

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

import msgspec

from citronpin.backends.engines import Frame, Submission, prompt_text
from citronpin.basics.clocks import MS_PER_S, Clock, TimerHandle
from citronpin.policy.prefixes import prefix_blocks
from citronpin.standins.standin_caches import PrefixCache
from citronpin.standins.standin_reports import DelayedLoadReport
from citronpin.standins.standin_texts import count_tokens, remaining_answer

MIN_STEP_S = 0.001
HALT_POLL_INTERVAL_S = 0.01


class EngineSpeed(msgspec.Struct, frozen=True, kw_only=True):
    """Generation speed, batch size and queue limit of a simulated engine.

    The duration of a step grows by a share of ``batch_slowdown`` with each stream of
    the batch after the first one.
    """

    tokens_per_s: float = 50.0  # of a stream that is alone in the batch
    prefill_tokens_per_s: float = 20_000.0
    batch: int = 32  # maximum number of streams generated at once
    batch_slowdown: float = 0.03  # relative, per further stream
    queue: int = 256  # maximum number of waiting submissions
    keep_s: float = 30.0  # time until a detached or ended attempt is deleted


class FrameWriter(Protocol):
    """Sends the frames of a stream to the client as they are generated."""

    def write(self, frames: list[Frame]) -> None:
        """Send newly generated frames."""

    def abort(self) -> None:
        """Abort the connection."""


class Stream:
    """An attempt, its precomputed answer and the frames generated so far.

    Times in seconds are clock times.
    """

    def __init__(
        self, *, submission: Submission, load_report: DelayedLoadReport
    ) -> None:
        self.submission = submission
        self._load_report = load_report
        prompt = prompt_text(submission.body)
        self.blocks = prefix_blocks(submission.body.get("messages") or ())
        self.prompt_tokens = count_tokens(prompt)
        self.cached_tokens = 0
        self.answer = remaining_answer(submission.body, submission.prefix)
        self.frames: list[Frame] = []
        self.generated = 0  # tokens
        self.token_credit = 0.0  # fraction of a token, carried to the next step
        self.prefill_end_s = 0.0
        self.due_s = 0.0  # deadline for leaving the queue
        self.detached_s = 0.0  # when the connection was last lost
        self.ended = False
        self.writer: FrameWriter | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Return the request id and the attempt number."""
        return self.submission.request, self.submission.attempt

    def generate(self, count: int) -> list[Frame]:
        """Return the frames of the next ``count`` tokens.

        The final frame follows the frame of the last token.
        """
        pieces = self.answer.pieces[self.generated : self.generated + count]
        self.generated += len(pieces)
        frames = [self._frame(text=piece, tokens=1) for piece in pieces]
        if self.generated == len(self.answer.pieces):
            self.ended = True
            frames.append(self._final_frame())
        return frames

    def _frame(self, **fields) -> Frame:
        request, attempt = self.key
        sequence = len(self.frames)
        if sequence == 0 or fields.get("final"):
            fields["load"] = self._load_report.read()[:2]
        frame = Frame(request=request, attempt=attempt, sequence=sequence, **fields)
        self.frames.append(frame)
        return frame

    def _final_frame(self) -> Frame:
        completion_tokens = self.submission.prefix_tokens + self.generated
        usage = {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }
        reason = self.answer.finish_reason
        return self._frame(final=True, finish_reason=reason, usage=usage)


class Batch:
    """Queues and generates the streams of one engine in batched steps.

    While ``is_halted`` returns true, no tokens are generated. ``step_time_factor``
    multiplies the duration of each step and each prefill.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        speed: EngineSpeed,
        cache: PrefixCache,
        load_report: DelayedLoadReport,
        is_halted: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._speed = speed
        self._cache = cache
        self._load_report = load_report
        self._is_halted = is_halted
        self._arrival_numbers = itertools.count()
        self._queue: list[tuple[int, int, Stream]] = []
        self._running: list[Stream] = []
        self._kept_streams: dict[tuple[str, int], Stream] = {}
        self._timer: TimerHandle | None = None
        self._last_step_s = 0.0
        self.step_time_factor = 1.0

    @property
    def kept_streams(self) -> list[Stream]:
        """Return the attempts that can be resumed: queued, running or lately ended."""
        return list(self._kept_streams.values())

    @property
    def is_full(self) -> bool:
        """Return whether the queue takes no further submission."""
        return len(self._queue) >= self._speed.queue

    def find(self, request: str, attempt: int) -> Stream | None:
        """Return an attempt, or ``None`` if it is not kept."""
        return self._kept_streams.get((request, attempt))

    def add(self, submission: Submission) -> Stream:
        """Queue a submission; higher priorities go first, then earlier arrivals."""
        stream = Stream(submission=submission, load_report=self._load_report)
        stream.due_s = self._clock.now() + submission.deadline_ms / MS_PER_S
        self._kept_streams[stream.key] = stream
        entry = (-submission.priority, next(self._arrival_numbers), stream)
        heapq.heappush(self._queue, entry)
        self._admit()
        return stream

    def detach(self, stream: Stream) -> None:
        """Keep a stream that lost its connection for ``keep_s`` seconds."""
        stream.writer = None
        stream.detached_s = self._clock.now()
        self._clock.call_later(
            self._speed.keep_s, lambda: self._drop_if_detached(stream)
        )

    def drop(self, stream: Stream) -> None:
        """Stop a stream and delete it."""
        stream.ended = True
        stream.writer = None
        if self._kept_streams.get(stream.key) is stream:
            del self._kept_streams[stream.key]
        self._running = [other for other in self._running if other is not stream]
        self._queue = [entry for entry in self._queue if entry[2] is not stream]
        heapq.heapify(self._queue)
        self._admit()

    def clear(self) -> list[Stream]:
        """Delete all streams and return them."""
        streams = list(self._kept_streams.values())
        self._kept_streams.clear()
        self._running.clear()
        self._queue.clear()
        self._load_report.record(0, 0)
        return streams

    def token_interval_s(self) -> float:
        """Return the time between two tokens of a stream at the current batch size."""
        others = max(0, len(self._running) - 1)
        slowdown = 1.0 + others * self._speed.batch_slowdown
        return slowdown * self.step_time_factor / self._speed.tokens_per_s

    def _admit(self) -> None:
        while self._queue and len(self._running) < self._speed.batch:
            stream = heapq.heappop(self._queue)[2]
            if stream.due_s < self._clock.now():
                self._expire(stream)
                continue
            self._prefill(stream)
            self._running.append(stream)
        self._load_report.record(len(self._running), len(self._queue))
        if self._running and self._timer is None:
            self._last_step_s = self._clock.now()
            self._schedule()

    def _expire(self, stream: Stream) -> None:
        """Abort a stream whose deadline passed while it was queued."""
        self._kept_streams.pop(stream.key, None)
        if stream.writer is not None:
            stream.writer.abort()

    def _prefill(self, stream: Stream) -> None:
        cached_blocks = self._cache.count_cached(stream.blocks)
        if stream.blocks:
            block_count = len(stream.blocks)
            stream.cached_tokens = (
                stream.prompt_tokens * cached_blocks // (block_count + 1)
            )
        self._cache.store(stream.blocks)
        uncached_tokens = stream.prompt_tokens - stream.cached_tokens
        prefill_s = (
            uncached_tokens * self.step_time_factor / self._speed.prefill_tokens_per_s
        )
        stream.prefill_end_s = self._clock.now() + prefill_s

    def _schedule(self) -> None:
        delay_s = max(self.token_interval_s(), MIN_STEP_S)
        self._timer = self._clock.call_later(delay_s, self._step)

    def _step(self) -> None:
        now = self._clock.now()
        if self._is_halted():
            self._last_step_s = now
            self._timer = self._clock.call_later(HALT_POLL_INTERVAL_S, self._step)
            return
        new_tokens = (now - self._last_step_s) / self.token_interval_s()
        self._last_step_s = now
        for stream in list(self._running):
            if now >= stream.prefill_end_s:
                self._advance(stream, new_tokens)
        self._running = [stream for stream in self._running if not stream.ended]
        self._timer = None
        self._admit()

    def _advance(self, stream: Stream, new_tokens: float) -> None:
        stream.token_credit += new_tokens
        # 1e-6 keeps rounding errors of the sum from delaying a token by a step.
        count = int(stream.token_credit + 1e-6)
        if not count:
            return
        stream.token_credit -= count
        frames = stream.generate(count)
        if stream.ended:
            self._clock.call_later(self._speed.keep_s, lambda: self._forget(stream))
        if stream.writer is not None:
            stream.writer.write(frames)

    def _drop_if_detached(self, stream: Stream) -> None:
        age_s = self._clock.now() - stream.detached_s
        if stream.writer is None and age_s >= self._speed.keep_s:
            self.drop(stream)

    def _forget(self, stream: Stream) -> None:
        if self._kept_streams.get(stream.key) is stream:
            del self._kept_streams[stream.key]
