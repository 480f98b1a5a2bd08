"""Clocks and the single timer queue behind them."""

import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

from circuits import BaseComponent, handler

MS_PER_S = 1_000


class TimerHandle:
    """A scheduled call that can be cancelled."""

    __slots__ = ("due_s", "callback", "cancelled")

    def __init__(self, *, due_s: float, callback: Callable[[], None]) -> None:
        self.due_s = due_s
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Drop the call; cancelling twice is harmless."""
        self.cancelled = True


class Clock(ABC):
    """Source of time and owner of all timers of one process."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._sequence = itertools.count()

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for people and key ages."""

    @abstractmethod
    def now_with_suspend(self) -> float:
        """Return seconds that go on while the machine is suspended, for leases."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule ``callback`` after ``delay_s`` seconds."""
        timer = TimerHandle(due_s=self.now() + max(delay_s, 0.0), callback=callback)
        heapq.heappush(self._heap, (timer.due_s, next(self._sequence), timer))
        return timer

    def next_due_s(self) -> float | None:
        """Return when the next live timer is due, or ``None``."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_due(self) -> int:
        """Run the timers that are due now and return how many ran."""
        ran = 0
        now = self.now()
        while (due_s := self.next_due_s()) is not None and due_s <= now:
            timer = heapq.heappop(self._heap)[2]
            timer.callback()
            ran += 1
        return ran


class SystemClock(Clock):
    """The clock of the machine."""

    def now(self) -> float:
        return time.monotonic()

    def wall_ms(self) -> int:
        return time.time_ns() // 1_000_000

    def now_with_suspend(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class PausedClock(Clock):
    """A clock for tests that moves only when it is advanced."""

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
        """Move forward and run each timer at the moment it is due."""
        end_s = self._now_s + seconds
        while (due_s := self.next_due_s()) is not None and due_s <= end_s:
            self._now_s = max(self._now_s, due_s)
            self.run_due()
        self._now_s = end_s


class ClockTask(BaseComponent):
    """Runs the timers of a clock inside the event loop."""

    channel = "clock"

    def __init__(self, *, clock: Clock) -> None:
        super().__init__()
        self._clock = clock

    @handler("generate_events", priority=10, channel="*")
    def _on_generate_events(self, event) -> None:
        if self._clock.run_due():
            event.reduce_time_left(0)
            return
        due_s = self._clock.next_due_s()
        if due_s is not None:
            event.reduce_time_left(max(due_s - self._clock.now(), 0.0))
