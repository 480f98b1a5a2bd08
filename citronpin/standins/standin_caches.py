"""Prompt prefix cache of the engine stand-in, with delayed events."""

import random
from collections import OrderedDict, deque

from citronpin.backends.engines import CacheEvent
from citronpin.basics.clocks import Clock


class PrefixCache:
    """A cache of at most ``max_blocks`` prefix blocks with LRU eviction.

    Events become visible after ``event_delay_s`` seconds; a share of
    ``event_loss_share``, from 0 to 1, is lost.
    """

    MAX_EVENTS = 4_096

    def __init__(
        self,
        *,
        clock: Clock,
        max_blocks: int,
        event_delay_s: float,
        event_loss_share: float,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._max_blocks = max_blocks
        self._event_delay_s = event_delay_s
        self._event_loss_share = event_loss_share
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=self.MAX_EVENTS)
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Return the sequence number of the latest event, lost or not."""
        return self._sequence

    def count_cached(self, blocks: tuple[str, ...]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count

    def store(self, blocks: tuple[str, ...]) -> None:
        """Store the blocks of a prompt and evict the least recently used ones."""
        for block in reversed(blocks):
            was_cached = block in self._blocks
            self._blocks[block] = None
            self._blocks.move_to_end(block)
            if not was_cached:
                self._record_event(block, stored=True)
        while len(self._blocks) > self._max_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._record_event(block, stored=False)

    def clear(self) -> None:
        """Delete all blocks and events, as a restart does."""
        self._blocks.clear()
        self._events.clear()
        self._sequence = 0

    def events(self, since: int) -> list[CacheEvent]:
        """Return the visible events after sequence number ``since``."""
        latest_s = self._clock.now() - self._event_delay_s
        return [
            event
            for recorded_s, event in self._events
            if event.sequence > since and recorded_s <= latest_s
        ]

    def _record_event(self, block: str, stored: bool) -> None:
        self._sequence += 1
        if self._rng.random() < self._event_loss_share:
            return
        event = CacheEvent(sequence=self._sequence, block=block, stored=stored)
        self._events.append((self._clock.now(), event))
