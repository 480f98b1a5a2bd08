"""A model of an engine group for benchmarks, driven by the paused clock.

Requests queue for batch slots; prompts are read one after another, and blocks in
the prefix cache cost nothing; streams share the decoder, which slows with its
batch. Events of the cache and load reports are given out as engines do.
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
    """A request inside a model group."""

    blocks: tuple[str, ...]
    tokens: int
    on_first: Callable[["Job"], None]
    on_end: Callable[["Job"], None]
    sent_s: float = 0.0
    first_s: float = 0.0
    end_s: float = 0.0
    hit_blocks: int = 0


class ModelGroup:
    """One group; ``slowness`` above 1 makes it a straggler."""

    PREFILL_BLOCK_S = 0.01
    TOKEN_S = 0.020  # between tokens with an empty batch
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
        self._prefill_free_s = 0.0
        self._prefilling = 0
        self._decoding: list[tuple[float, int, Job]] = []
        self._numbers = itertools.count()
        self._progress = 0.0  # tokens made by each stream so far
        self._progress_s = 0.0
        self._timer = None

    @property
    def queued(self) -> int:
        """Return the requests that wait for a slot."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return the requests that hold a slot."""
        return self._prefilling + len(self._decoding)

    def submit(self, job: Job) -> None:
        """Take a request."""
        job.sent_s = self._clock.now()
        self._queue.append(job)
        self._fill_slots()

    def clear_cache(self) -> None:
        """Lose the prefix cache, as a repaired group does."""
        self._cache.clear()

    def status(self) -> EngineStatus:
        """Return the load now."""
        rate = len(self._decoding) / self._token_s() if self._decoding else 0.0
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

    def _token_s(self) -> float:
        fill = len(self._decoding) / self.slots
        return self.TOKEN_S * (1.0 + self.BATCH_SLOWDOWN * fill) * self.slowness

    def _fill_slots(self) -> None:
        while self._queue and self.running < self.slots:
            job = self._queue.popleft()
            self._prefilling += 1
            job.hit_blocks = self._lookup(job.blocks)
            cost_s = (len(job.blocks) - job.hit_blocks) * self.PREFILL_BLOCK_S
            start_s = max(self._prefill_free_s, self._clock.now())
            self._prefill_free_s = start_s + (cost_s + self.TOKEN_S) * self.slowness
            delay_s = self._prefill_free_s - self._clock.now()
            self._clock.call_later(delay_s, lambda job=job: self._first(job))

    def _lookup(self, blocks: tuple[str, ...]) -> int:
        hits = 0
        while hits < len(blocks) and blocks[hits] in self._cache:
            hits += 1
        for block in blocks:
            if block not in self._cache:
                self._note(block, True)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._cache_blocks:
            self._note(self._cache.popitem(last=False)[0], False)
        return hits

    def _note(self, block: str, stored: bool) -> None:
        self._event_sequence += 1
        event = CacheEvent(sequence=self._event_sequence, block=block, stored=stored)
        self.events.append(event)

    def _first(self, job: Job) -> None:
        self._advance()
        self._prefilling -= 1
        job.first_s = self._clock.now()
        due = self._progress + job.tokens
        heapq.heappush(self._decoding, (due, next(self._numbers), job))
        job.on_first(job)
        self._schedule()

    def _advance(self) -> None:
        now_s = self._clock.now()
        if self._decoding:
            self._progress += (now_s - self._progress_s) / self._token_s()
        self._progress_s = now_s

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._decoding:
            left = max(self._decoding[0][0] - self._progress, 0.0)
            delay_s = left * self._token_s()
            self._timer = self._clock.call_later(delay_s, self._finish)

    def _finish(self) -> None:
        self._timer = None
        self._advance()
        while self._decoding and self._decoding[0][0] <= self._progress + 1e-6:
            job = heapq.heappop(self._decoding)[2]
            job.end_s = self._clock.now()
            job.on_end(job)
        self._fill_slots()
        self._schedule()
