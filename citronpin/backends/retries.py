"""Retry budgets and hedging of repeatable requests."""

from collections import deque

import msgspec
import numpy as np


class RetryBudget:
    """Retries as a share of the requests, so that they cannot multiply a load.

    Each request adds ``share`` of a retry; ``reserve`` retries are there from the
    start and are the most that can be saved up.
    """

    def __init__(self, *, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._retries_left = reserve

    def count_request(self) -> None:
        """Count a first attempt."""
        self._retries_left = min(self._retries_left + self._share, self._reserve)

    def take(self) -> bool:
        """Return whether one more attempt is allowed, and count it."""
        if self._retries_left < 1.0:
            return False
        self._retries_left -= 1.0
        return True


class Hedge(msgspec.Struct, frozen=True):
    """When to send a second attempt."""

    after_s: float


class HedgePolicy:
    """Hedges a repeatable request whose first token is later than most are.

    A hedge takes from the same budget as a retry, and a call that may not be
    repeated is never hedged.
    """

    MAX_DELAY_SAMPLES = 200
    MIN_DELAY_SAMPLES = 50

    def __init__(self, *, budget: RetryBudget, percentile: float = 99.0) -> None:
        self._budget = budget
        self._percentile = percentile
        self._delays: deque[float] = deque(maxlen=self.MAX_DELAY_SAMPLES)

    def record_first_token_delay(self, *, delay_s: float) -> None:
        """Take a time to first token."""
        self._delays.append(delay_s)

    def plan(self, *, repeatable: bool) -> Hedge | None:
        """Return when a request just sent may be hedged, or ``None``."""
        if not repeatable or len(self._delays) < self.MIN_DELAY_SAMPLES:
            return None
        return Hedge(after_s=float(np.percentile(self._delays, self._percentile)))

    def take_budget(self) -> bool:
        """Return whether the budget allows the hedge that is due now."""
        return self._budget.take()
