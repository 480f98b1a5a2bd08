"""The budget of repeated sends that all entries share."""

import logging
from collections import deque

logger = logging.getLogger(__name__)

BUCKET_S = 0.5
SAFETY = 0.85  # entries count a window at different moments


class SlidingCount:
    """Counts what happened within a window that slides in steps of ``BUCKET_S``.

    What happened stays counted up to a step longer than the window, never shorter.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._buckets: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, amount: float, *, now_s: float) -> None:
        """Count an amount at this moment."""
        if not self._buckets or now_s - self._buckets[-1][0] >= BUCKET_S:
            self._buckets.append([now_s, 0.0])
        self._buckets[-1][1] += amount
        self._total += amount

    def total(self, *, now_s: float) -> float:
        """Return the sum over the window."""
        kept_s = self._window_s + BUCKET_S
        while self._buckets and now_s - self._buckets[0][0] > kept_s:
            self._total -= self._buckets.popleft()[1]
        return self._total


class RetryBudget:
    """Bounds the sends beyond the first of each request to one service.

    All entries together may send ``ratio`` times the requests, and ``slack`` more,
    within any window. An entry counts only its own requests and takes an equal part
    of the slack, so that the sum holds without a message. A part of what is left is
    kept for streams that are midway, whose callers lose most.
    """

    RESERVED_FOR_MIDWAY = 0.35

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        # Requests are counted for less, as they may not be counted for longer.
        self._requests = SlidingCount(window_s=window_s - BUCKET_S)
        self._repeats = SlidingCount(window_s=window_s)

    def request(self, *, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.add(1.0, now_s=now_s)

    def allowance(self, *, entries: int, now_s: float) -> float:
        """Return how many repeats this entry may send in a window."""
        own = self._ratio * self._requests.total(now_s=now_s)
        return SAFETY * (own + self._slack / max(entries, 1))

    def take(self, *, entries: int, midway: bool, now_s: float) -> bool:
        """Return whether one more repeat may be sent, and count it."""
        allowed = self.allowance(entries=entries, now_s=now_s)
        if not midway:
            allowed *= 1.0 - self.RESERVED_FOR_MIDWAY
        if self._repeats.total(now_s=now_s) + 1.0 > allowed:
            return False
        self._repeats.add(1.0, now_s=now_s)
        return True
