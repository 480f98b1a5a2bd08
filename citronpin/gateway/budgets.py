"""Retry budgets that bound the retries of all entries together."""

import logging
from collections import deque

logger = logging.getLogger(__name__)

BUCKET_S = 0.5
SAFETY_SHARE = 0.85  # of the budget; the windows of entries are not aligned


class SlidingCount:
    """Sums amounts over a window that slides in steps of ``BUCKET_S``.

    An amount is counted for at least the window and at most one step longer.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._buckets: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, amount: float, *, now_s: float) -> None:
        """Add an amount at clock time ``now_s``."""
        if not self._buckets or now_s - self._buckets[-1][0] >= BUCKET_S:
            self._buckets.append([now_s, 0.0])
        self._buckets[-1][1] += amount
        self._total += amount

    def total(self, *, now_s: float) -> float:
        """Return the sum over the window that ends at clock time ``now_s``."""
        kept_s = self._window_s + BUCKET_S
        while self._buckets and now_s - self._buckets[0][0] > kept_s:
            self._total -= self._buckets.popleft()[1]
        return self._total


class RetryBudget:
    """Bounds the retries of requests to one service.

    All entries together may send ``ratio`` retries per request, and ``slack`` more,
    within any window. An entry counts only its own requests and uses an equal share
    of the slack, so the total holds without messages between entries. A share of the
    budget is reserved for interrupted streams, whose callers would lose a partial
    answer.
    """

    RESERVED_SHARE_FOR_MIDWAY = 0.35

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        # One step shorter, so that requests are never counted beyond the window.
        self._requests = SlidingCount(window_s=window_s - BUCKET_S)
        self._retries = SlidingCount(window_s=window_s)

    def count_request(self, *, now_s: float) -> None:
        """Count a request, which increases the budget."""
        self._requests.add(1.0, now_s=now_s)

    def allowance(self, *, entry_count: int, now_s: float) -> float:
        """Return how many retries this entry may send within a window."""
        own = self._ratio * self._requests.total(now_s=now_s)
        return SAFETY_SHARE * (own + self._slack / max(entry_count, 1))

    def take(self, *, entry_count: int, midway: bool, now_s: float) -> bool:
        """Return whether one more retry may be sent, and count it if so.

        ``entry_count`` is the number of entries that share the budget; ``midway``
        allows the use of the reserved share.
        """
        allowed = self.allowance(entry_count=entry_count, now_s=now_s)
        if not midway:
            allowed *= 1.0 - self.RESERVED_SHARE_FOR_MIDWAY
        if self._retries.total(now_s=now_s) + 1.0 > allowed:
            return False
        self._retries.add(1.0, now_s=now_s)
        return True
