"""Prefix blocks of prompts, and what is believed to be in a group's cache."""

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
    """Return the chained hashes of the full blocks of a chat prompt.

    Two prompts share their first n hashes exactly when they share their first n
    blocks of text.
    """
    encoded = (msgspec.json.encode(message).decode() for message in messages)
    text = "\n".join(encoded)[: MAX_BLOCKS * block_characters]
    whole = len(text) // block_characters
    digest = xxhash.xxh3_64()
    blocks = []
    for number in range(whole):
        digest.update(text[number * block_characters : (number + 1) * block_characters])
        blocks.append(digest.hexdigest())
    return tuple(blocks)


class CacheView:
    """Blocks that a group is believed to hold, bounded and least recent first.

    Events come late and with gaps. A gap makes the view unsure: what it holds stays
    as a hint that counts less, until enough later events renewed it.
    """

    UNSURE_WEIGHT = 0.5
    RENEWING_EVENTS = 256

    def __init__(self, *, capacity: int = 65_536) -> None:
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._capacity = capacity
        self._sequence: int | None = None
        self._renew_left = 0

    @property
    def sequence(self) -> int:
        """Return the latest sequence number that was taken, 0 before the first."""
        return self._sequence or 0

    @property
    def unsure(self) -> bool:
        """Return whether a gap was seen and not yet made up for."""
        return self._renew_left > 0

    def apply(self, events: Sequence[CacheEvent]) -> None:
        """Take events; those already taken are dropped."""
        for event in events:
            self._apply(event)

    def _apply(self, event: CacheEvent) -> None:
        if self._sequence is not None:
            if event.sequence <= self._sequence:
                return
            if event.sequence > self._sequence + 1:
                self._renew_left = self.RENEWING_EVENTS
        self._sequence = event.sequence
        self._renew_left = max(self._renew_left - 1, 0)
        if event.stored:
            self.touch((event.block,))
        else:
            self._blocks.pop(event.block, None)

    def touch(self, blocks: Sequence[str]) -> None:
        """Add blocks that the group just got in a prompt."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)

    def matched(self, blocks: Sequence[str]) -> int:
        """Return how many leading blocks the group is believed to hold."""
        for number, block in enumerate(blocks):
            if block not in self._blocks:
                return number
        return len(blocks)

    def expected(self, blocks: Sequence[str]) -> float:
        """Return the leading blocks expected in cache; less when unsure."""
        weight = self.UNSURE_WEIGHT if self.unsure else 1.0
        return self.matched(blocks) * weight
