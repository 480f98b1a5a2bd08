"""Delayed load reports of the engine stand-in."""

from collections import deque

from citronpin.basics.clocks import Clock


class DelayedLoadReport:
    """Reports the numbers of running and queued streams as of ``lag_s`` seconds ago."""

    MAX_CHANGES = 4_096

    def __init__(self, *, clock: Clock, lag_s: float) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._changes: deque[tuple[float, int, int]] = deque(maxlen=self.MAX_CHANGES)
        self._reported = (clock.now(), 0, 0)

    def record(self, running: int, queued: int) -> None:
        """Record the current load, if it has changed."""
        if not self._changes or self._changes[-1][1:] != (running, queued):
            self._changes.append((self._clock.now(), running, queued))

    def read(self) -> tuple[int, int, float]:
        """Return the running and the queued streams and their age in seconds."""
        latest_s = self._clock.now() - self._lag_s
        while self._changes and self._changes[0][0] <= latest_s:
            self._reported = self._changes.popleft()
        return self._reported[1], self._reported[2], self._lag_s
