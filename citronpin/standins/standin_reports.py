"""Load reports of the engine stand-in, which lag behind."""

from collections import deque

from citronpin.basics.clocks import Clock


class LaggedLoad:
    """Reports how many streams ran and waited ``lag_s`` ago."""

    KEPT = 4_096

    def __init__(self, *, clock: Clock, lag_s: float) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._notes: deque[tuple[float, int, int]] = deque(maxlen=self.KEPT)
        self._shown = (clock.now(), 0, 0)

    def note(self, running: int, queued: int) -> None:
        """Note the load as it is now."""
        if not self._notes or self._notes[-1][1:] != (running, queued):
            self._notes.append((self._clock.now(), running, queued))

    def read(self) -> tuple[int, int, float]:
        """Return running, queued and the age of both in seconds."""
        latest_s = self._clock.now() - self._lag_s
        while self._notes and self._notes[0][0] <= latest_s:
            self._shown = self._notes.popleft()
        return self._shown[1], self._shown[2], self._lag_s
