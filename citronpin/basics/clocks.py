"""Clocks, each with the queue of all timers that it drives."""

import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

from circuits import BaseComponent, handler

MS_PER_S = 1_000
BEAT_TOLERANCE = 1e-3  # of a beat, by which sums of floats may differ


def _do_nothing() -> None:
    """Stand in for the callback of a cancelled timer."""


class TimerHandle:
    """A scheduled call that can be cancelled."""

    __slots__ = ("due_s", "callback", "cancelled")

    def __init__(self, *, due_s: float, callback: Callable[[], None]) -> None:
        self.due_s = due_s
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Keep the callback from running; a second call has no effect.

        A cancelled timer stays until it is due. It releases its callback at once, which
        may refer to the body of a request.
        """
        self.cancelled = True
        self.callback = _do_nothing


class Clock(ABC):
    """Source of time and owner of all timers of one process.

    Timers that are due at the same time run in the order of scheduling.
    """

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, TimerHandle]] = []
        self._sequence = itertools.count()
        self._beat_s: float | None = None
        self._first_beat_s = 0.0

    @abstractmethod
    def now(self) -> float:
        """Return seconds of a monotonic clock."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for display and ages of keys."""

    @abstractmethod
    def now_with_suspend(self) -> float:
        """Return seconds of a monotonic clock that also runs during a suspend.

        Leases use it: one that expires during a suspend must not look held afterwards.
        """

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule ``callback`` in ``delay_s`` seconds, at once if negative."""
        timer = TimerHandle(due_s=self.now() + max(delay_s, 0.0), callback=callback)
        heapq.heappush(self._timers, (timer.due_s, next(self._sequence), timer))
        return timer

    def set_beat(self, beat_s: float | None) -> None:
        """Let periodic callbacks run together, on beats that begin now; or end that."""
        if beat_s != self._beat_s:
            self._beat_s, self._first_beat_s = beat_s, self.now()

    def call_next(self, interval_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule the next run of a periodic callback, in ``interval_s`` seconds.

        While there is a beat, it runs on the beat nearest to that time, so that the
        periodic callbacks of a process share its wakes.
        """
        if self._beat_s is None:
            return self.call_later(interval_s, callback)
        count = max(round(interval_s / self._beat_s), 1)
        passed = (self.now() - self._first_beat_s) / self._beat_s
        due_s = (
            self._first_beat_s + (int(passed + BEAT_TOLERANCE) + count) * self._beat_s
        )
        return self.call_later(due_s - self.now(), callback)

    def next_due_s(self) -> float | None:
        """Return the time of ``now()`` at which the next timer is due, or ``None``."""
        while self._timers and self._timers[0][2].cancelled:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def run_due(self) -> int:
        """Run the timers that are due and return how many ran.

        The time is read once: timers that become due while callbacks run wait for the
        next call.
        """
        ran = 0
        now = self.now()
        while (due_s := self.next_due_s()) is not None and due_s <= now:
            timer = heapq.heappop(self._timers)[2]
            timer.callback()
            ran += 1
        return ran


class SystemClock(Clock):
    """The monotonic and wall clocks of the operating system."""

    def now(self) -> float:
        return time.monotonic()

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000

    def now_with_suspend(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class PausedClock(Clock):
    """A clock for tests and benchmarks that moves only when it is advanced."""

    EPOCH_MS = 1_800_000_000_000

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0

    def now(self) -> float:
        return self._now_s

    def wall_ms(self) -> int:
        return self.EPOCH_MS + int(self._now_s * MS_PER_S)

    def now_with_suspend(self) -> float:
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move ``seconds`` forward and run each timer at the time when it is due."""
        end_s = self._now_s + seconds
        while (due_s := self.next_due_s()) is not None and due_s <= end_s:
            self._now_s = max(self._now_s, due_s)
            self.run_due()
        self._now_s = max(self._now_s, end_s)

    def jump(self, seconds: float) -> None:
        """Move forward without running timers, as while a callback takes long."""
        self._now_s += seconds


class ClockTask(BaseComponent):
    """Runs the timers of a clock in the event loop and limits its wait to the next."""

    channel = "clock"

    def __init__(self, *, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    @handler("generate_events", priority=10, channel="*")
    def _on_generate_events(self, event) -> None:
        try:
            ran = self._clock.run_due()
        except Exception:
            # The timers that are still due do not wait for the next event.
            event.reduce_time_left(0)
            raise
        if ran and len(self.root):
            event.reduce_time_left(0)  # the timers fired events
            return
        due_s = self._clock.next_due_s()
        if due_s is not None:
            event.reduce_time_left(max(due_s - self._clock.now(), 0.0))
