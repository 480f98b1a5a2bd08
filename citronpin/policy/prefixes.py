"""Prefix block hashes of prompts, and estimates of the contents of prefix caches."""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec
import xxhash

from citronpin.backends.engines import CacheEvent

BLOCK_CHARACTERS = 256
MAX_BLOCKS = 128


def prefix_blocks(
    messages: Sequence[dict], block_characters: int = BLOCK_CHARACTERS
) -> tuple[str, ...]:
    """Return the chained hashes of the full text blocks of a chat prompt.

    The first n hashes of two prompts are equal exactly when their first n blocks of
    text are equal. At most ``MAX_BLOCKS`` blocks are hashed.
    """
    encoded = (msgspec.json.encode(message).decode() for message in messages)
    text = "\n".join(encoded)[: MAX_BLOCKS * block_characters]
    block_count = len(text) // block_characters
    digest = xxhash.xxh3_64()
    blocks = []
    for number in range(block_count):
        digest.update(text[number * block_characters : (number + 1) * block_characters])
        blocks.append(digest.hexdigest())
    return tuple(blocks)


class CacheView:
    """A bounded LRU estimate of the blocks in the prefix cache of a group.

    Cache events arrive late and with gaps. After a gap the estimate counts less, by
    ``AFTER_GAP_WEIGHT``, until ``EVENTS_TO_RECOVER`` later events have renewed it.
    """

    AFTER_GAP_WEIGHT = 0.5
    EVENTS_TO_RECOVER = 256

    def __init__(self, *, capacity: int = 65_536) -> None:
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._capacity = capacity
        self._sequence: int | None = None
        self._events_to_recover = 0

    @property
    def sequence(self) -> int:
        """Return the latest sequence number applied, 0 before the first."""
        return self._sequence or 0

    @property
    def has_event_gap(self) -> bool:
        """Return whether too few events have arrived since the last gap."""
        return self._events_to_recover > 0

    def apply(self, events: Sequence[CacheEvent]) -> None:
        """Apply events in order; skip those already applied."""
        for event in events:
            self._apply(event)

    def _apply(self, event: CacheEvent) -> None:
        if self._sequence is not None:
            if event.sequence <= self._sequence:
                return
            if event.sequence > self._sequence + 1:
                self._events_to_recover = self.EVENTS_TO_RECOVER
        self._sequence = event.sequence
        self._events_to_recover = max(self._events_to_recover - 1, 0)
        if event.stored:
            self.touch((event.block,))
        else:
            self._blocks.pop(event.block, None)

    def touch(self, blocks: Sequence[str]) -> None:
        """Add blocks that the group just received or stored, as most recently used."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def count_held(self, blocks: Sequence[str]) -> int:
        """Return how many leading blocks the cache is estimated to hold."""
        for number, block in enumerate(blocks):
            if block not in self._blocks:
                return number
        return len(blocks)

    def count_expected(self, blocks: Sequence[str]) -> float:
        """Return the number of leading blocks expected in the cache.

        The number is weighted down after a gap in the events.
        """
        weight = self.AFTER_GAP_WEIGHT if self.has_event_gap else 1.0
        return self.count_held(blocks) * weight
