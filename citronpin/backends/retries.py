"""Retry budgets, and hedging of requests that may be repeated."""

from collections import deque

import msgspec
import numpy as np


class RetryBudget:
    """Limits retries to a share of the requests, so that they cannot amplify overload.

    Each request adds ``share`` of a retry to the budget. The budget starts with
    ``reserve`` retries and never exceeds them.
    """

    def __init__(self, *, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._retries_left = reserve

    def count_request(self) -> None:
        """Add the share of a new request to the budget."""
        self._retries_left = min(self._retries_left + self._share, self._reserve)

    def take(self) -> bool:
        """Return whether one more attempt is allowed, and count it if so."""
        if self._retries_left < 1.0:
            return False
        self._retries_left -= 1.0
        return True


class Hedge(msgspec.Struct, frozen=True):
    """A second attempt, sent if the first has no token after ``after_s`` seconds."""

    after_s: float


class HedgePolicy:
    """Hedges a repeatable request whose first token is late.

    A first token is late after the given percentile of recent delays, from 0 to 100.
    A hedge is taken from the same budget as a retry. A call that may not be repeated
    is never hedged.
    """

    MAX_DELAY_SAMPLES = 200
    MIN_DELAY_SAMPLES = 50

    def __init__(self, *, budget: RetryBudget, percentile: float = 99.0) -> None:
        self._budget = budget
        self._percentile = percentile
        self._delays: deque[float] = deque(maxlen=self.MAX_DELAY_SAMPLES)

    def record_first_token_delay(self, *, delay_s: float) -> None:
        """Record a time to first token, in seconds."""
        self._delays.append(delay_s)

    def plan(self, *, repeatable: bool) -> Hedge | None:
        """Return when to hedge a request that was just sent, or ``None`` for never."""
        if not repeatable or len(self._delays) < self.MIN_DELAY_SAMPLES:
            return None
        return Hedge(after_s=float(np.percentile(self._delays, self._percentile)))

    def take_budget(self) -> bool:
        """Return whether the budget allows one more hedge, and count it if so."""
        return self._budget.take()
