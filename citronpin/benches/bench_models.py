"""Simulated engine group for benchmarks, driven by a paused clock.

Requests queue for batch slots. Prompts are prefilled one after another, and blocks
in the prefix cache cost nothing. The time between the tokens of a stream grows with
the number of streams in the batch. The group emits cache events and load reports,
as engines do.
"""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec

from citronpin.backends.engines import CacheEvent, EngineStatus
from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import GroupId, InstanceId


class Job(msgspec.Struct, eq=False):
    """A request in a simulated engine group; times are clock times in seconds.

    ``blocks`` are the prompt's cache blocks, ``tokens`` the length of the answer.
    ``on_first`` is called at the first token and ``on_end`` at the last.
    """

    blocks: tuple[str, ...]
    tokens: int
    on_first: Callable[["Job"], None]
    on_end: Callable[["Job"], None]
    sent_s: float = 0.0
    first_s: float = 0.0
    end_s: float = 0.0
    hit_blocks: int = 0


class SimulatedEngineGroup:
    """Simulated engine group; a ``slowness`` above 1 makes it a straggler."""

    PREFILL_S_PER_BLOCK = 0.01
    TOKEN_INTERVAL_S = 0.020  # between tokens with an empty batch
    BATCH_SLOWDOWN = 1.0  # a full batch doubles the time between tokens

    def __init__(
        self,
        *,
        group: GroupId,
        clock: PausedClock,
        slots: int = 8,
        cache_blocks: int = 1_500,
        slowness: float = 1.0,
    ) -> None:
        self.group = group
        self.slots = slots
        self.slowness = slowness
        self._clock = clock
        self._cache_blocks = cache_blocks
        self._cache: OrderedDict[str, None] = OrderedDict()
        self.events: list[CacheEvent] = []
        self._event_sequence = 0
        self._queue: deque[Job] = deque()
        self._prefill_free_at_s = 0.0
        self._prefilling = 0
        self._decoding: list[tuple[float, int, Job]] = []
        self._job_sequence = itertools.count()
        # Tokens of a stream that had been decoding from the start; all streams
        # decode at the same rate, so a job ends when this reaches its own mark.
        self._stream_tokens = 0.0
        self._stream_tokens_at_s = 0.0
        self._timer = None

    @property
    def queued(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return self._prefilling + len(self._decoding)

    def submit(self, job: Job) -> None:
        """Queue a request and start it as soon as a slot is free."""
        job.sent_s = self._clock.now()
        self._queue.append(job)
        self._fill_slots()

    def clear_cache(self) -> None:
        """Drop the prefix cache, as the repair of a group does."""
        self._cache.clear()

    def status(self) -> EngineStatus:
        """Return the current load."""
        rate = len(self._decoding) / self._token_interval_s() if self._decoding else 0.0
        return EngineStatus(
            instance=InstanceId(str(self.group)),
            boot="1",
            group=self.group,
            running=len(self._decoding),
            queued=self.queued + self._prefilling,
            tokens_per_s=rate,
            cache_sequence=self._event_sequence,
        )

    def take_events(self) -> list[CacheEvent]:
        """Return the cache events since the last call."""
        events, self.events = self.events, []
        return events

    def _token_interval_s(self) -> float:
        fill = len(self._decoding) / self.slots
        return (
            self.TOKEN_INTERVAL_S * (1.0 + self.BATCH_SLOWDOWN * fill) * self.slowness
        )

    def _fill_slots(self) -> None:
        while self._queue and self.running < self.slots:
            job = self._queue.popleft()
            self._prefilling += 1
            job.hit_blocks = self._cache_prompt(job.blocks)
            cost_s = (len(job.blocks) - job.hit_blocks) * self.PREFILL_S_PER_BLOCK
            start_s = max(self._prefill_free_at_s, self._clock.now())
            self._prefill_free_at_s = (
                start_s + (cost_s + self.TOKEN_INTERVAL_S) * self.slowness
            )
            delay_s = self._prefill_free_at_s - self._clock.now()
            self._clock.call_later(delay_s, lambda job=job: self._start_decoding(job))

    def _cache_prompt(self, blocks: tuple[str, ...]) -> int:
        """Cache the blocks of a prompt; return how many leading ones were cached."""
        hits = 0
        while hits < len(blocks) and blocks[hits] in self._cache:
            hits += 1
        for block in blocks:
            if block not in self._cache:
                self._record_event(block, True)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._cache_blocks:
            self._record_event(self._cache.popitem(last=False)[0], False)
        return hits

    def _record_event(self, block: str, stored: bool) -> None:
        self._event_sequence += 1
        event = CacheEvent(sequence=self._event_sequence, block=block, stored=stored)
        self.events.append(event)

    def _start_decoding(self, job: Job) -> None:
        self._update_stream_tokens()
        self._prefilling -= 1
        job.first_s = self._clock.now()
        end_tokens = self._stream_tokens + job.tokens
        heapq.heappush(self._decoding, (end_tokens, next(self._job_sequence), job))
        job.on_first(job)
        self._schedule_finish()

    def _update_stream_tokens(self) -> None:
        now_s = self._clock.now()
        if self._decoding:
            self._stream_tokens += (
                now_s - self._stream_tokens_at_s
            ) / self._token_interval_s()
        self._stream_tokens_at_s = now_s

    def _schedule_finish(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._decoding:
            remaining_tokens = max(self._decoding[0][0] - self._stream_tokens, 0.0)
            delay_s = remaining_tokens * self._token_interval_s()
            self._timer = self._clock.call_later(delay_s, self._finish_jobs)

    def _finish_jobs(self) -> None:
        self._timer = None
        self._update_stream_tokens()
        while self._decoding and self._decoding[0][0] <= self._stream_tokens + 1e-6:
            job = heapq.heappop(self._decoding)[2]
            job.end_s = self._clock.now()
            job.on_end(job)
        self._fill_slots()
        self._schedule_finish()
