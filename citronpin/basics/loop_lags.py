"""Measures how late the event loop of a process runs its timers."""

import logging

from citronpin.basics.clocks import Clock, TimerHandle

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
MIN_LOGGED_LAG_S = 0.25  # callers notice such a pause between two tokens


class LoopLag:
    """Logs and adds up the times in which the event loop did not run.

    Either a callback took that long, or the process was suspended or had no processor.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._timer: TimerHandle | None = None
        self.total_s = 0.0

    def start(self) -> None:
        """Start measuring."""
        self._schedule_check()

    def _schedule_check(self) -> None:
        self._timer = self._clock.call_next(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        lag_s = self._clock.now() - self._timer.due_s
        if lag_s >= MIN_LOGGED_LAG_S:
            self.total_s += lag_s
            logger.warning("event loop blocked", extra={"lag_s": round(lag_s, 2)})
        self._schedule_check()
