"""Spaces the reads of a process while the store does not answer."""

import logging

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.25  # between the starts of reads that fail
# Of entries that follow relays, which tell them of the records once they read them.
FOLLOWER_RETRY_INTERVAL_S = 1.0


class ReadPacer:
    """Gives the topics of a process turns to read while the store does not answer.

    Each entry reads several topics. If each retried on its own while the store is out,
    90 entries would make over 1,000 calls a second, and as many when it is back. One
    call in an interval finds out as well. Any answer ends it.
    """

    def __init__(self) -> None:
        self._next_s = float("-inf")

    def succeeded(self) -> None:
        """Record that the store answered a read."""
        self._next_s = float("-inf")

    @property
    def is_pacing(self) -> bool:
        """Return whether the latest read failed."""
        return self._next_s > float("-inf")

    def interval_s(self, *, is_follower: bool) -> float:
        """Return the time between two reads, in seconds."""
        return FOLLOWER_RETRY_INTERVAL_S if is_follower else RETRY_INTERVAL_S

    def turn_s(self, *, due_s: float, is_follower: bool) -> float:
        """Return the turn of a topic from ``due_s`` on, and keep it; clock times."""
        turn_s = max(due_s, self._next_s)
        self._next_s = turn_s + self.interval_s(is_follower=is_follower)
        return turn_s
