"""Estimates how long callers have spent on earlier attempts of a request.

All estimates are free of I/O. Callers only tell how much time is left to them.
"""

import logging
from abc import ABC, abstractmethod

logger = logging.getLogger(__name__)

LOW_QUANTILE = 0.1  # of the times left, above which a request counts as a first attempt
STEP_SHARE = 0.02  # of the quantile, by which a sample moves it at most
START_SHARE = 0.8  # of the first time left; what is unknown counts as not spent


class SpentTimes(ABC):
    """Estimates the time that callers spent before a request came."""

    @abstractmethod
    def estimate_s(self, *, route: str, left_s: float) -> float:
        """Return the seconds that a caller spent, and learn from the request.

        ``left_s`` are the seconds until the deadline of the caller.
        """


class CommonDeadlines(SpentTimes):
    """Assumes that all callers of a route start with the same time.

    The difference between the longest time left that was seen on the route and that of
    a request was spent before.
    """

    def __init__(self) -> None:
        self._initial_s: dict[str, float] = {}

    def estimate_s(self, *, route, left_s):
        initial_s = max(self._initial_s.get(route, 0.0), left_s)
        self._initial_s[route] = initial_s
        return initial_s - left_s


class VariedDeadlines(SpentTimes):
    """Assumes that the callers of a route start with times that differ.

    It handles callers that choose their deadlines, for example at random within a
    sixth. By the longest time left, most first attempts would count as late, since
    objectives are far shorter than that. Only what is missing from a low quantile of
    the times left counts as spent, so that at most one first attempt in ten is taken
    for a later one. Where all callers start with the same time, the quantile is that
    time. Many later attempts lower it, and are then taken for first ones.
    """

    def __init__(self) -> None:
        self._quantiles_s: dict[str, float] = {}

    def estimate_s(self, *, route, left_s):
        known_s = self._quantiles_s.get(route)
        if known_s is None:
            known_s = START_SHARE * left_s
        is_below = left_s < known_s
        change = STEP_SHARE * (LOW_QUANTILE - is_below)
        self._quantiles_s[route] = max(known_s * (1.0 + change), 0.0)
        return max(known_s - left_s, 0.0)
