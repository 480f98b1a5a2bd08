"""Prompt prefix cache of the engine stand-in, with its late events."""

import random
from collections import OrderedDict, deque

from citronpin.backends.engines import CacheEvent
from citronpin.basics.clocks import Clock


class PrefixCache:
    """Keeps the least long unused blocks out of a bounded number.

    Events become visible ``delay_s`` after they happened, and a share of
    ``gap_share`` of them never does.
    """

    KEPT_EVENTS = 4_096

    def __init__(
        self,
        *,
        clock: Clock,
        limit: int,
        delay_s: float,
        gap_share: float,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._delay_s = delay_s
        self._gap_share = gap_share
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=self.KEPT_EVENTS)
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Return the sequence number of the latest event."""
        return self._sequence

    def hit(self, blocks: tuple[str, ...]) -> int:
        """Return how many leading blocks are cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count

    def store(self, blocks: tuple[str, ...]) -> None:
        """Store the blocks of a prompt and evict those unused for longest."""
        for block in reversed(blocks):
            known = block in self._blocks
            self._blocks[block] = None
            self._blocks.move_to_end(block)
            if not known:
                self._note(block, stored=True)
        while len(self._blocks) > self._limit:
            block, _ = self._blocks.popitem(last=False)
            self._note(block, stored=False)

    def clear(self) -> None:
        """Forget everything, as a restart does."""
        self._blocks.clear()
        self._events.clear()
        self._sequence = 0

    def events(self, since: int) -> list[CacheEvent]:
        """Return the visible events after a sequence number."""
        latest_s = self._clock.now() - self._delay_s
        return [
            event
            for seen_s, event in self._events
            if event.sequence > since and seen_s <= latest_s
        ]

    def _note(self, block: str, stored: bool) -> None:
        self._sequence += 1
        if self._rng.random() < self._gap_share:
            return
        event = CacheEvent(sequence=self._sequence, block=block, stored=stored)
        self._events.append((self._clock.now(), event))
