"""Fixtures that several test modules share."""

import threading
import time

import pytest
from circuits import Component

from citronpin.clocks import ClockTask, PausedClock, SystemClock

WAIT_LIMIT_S = 20.0
POLL_S = 0.01


class Root(Component):
    """Root of the components of a test."""

    def __init__(self, *, clock) -> None:
        super().__init__()
        self.clock = clock
        ClockTask(clock=clock).register(self)


class Loop:
    """An event loop in a thread; calls run inside it."""

    def __init__(self, *, root, clock) -> None:
        self.root = root
        self.clock = clock
        self._thread, _ = root.start()

    def call(self, function):
        """Run ``function`` in the loop and return what it returned."""
        done = threading.Event()
        box: list = []

        def run():
            try:
                box.append((function(), None))
            except BaseException as exc:
                box.append((None, exc))
            done.set()

        self.clock.call_later(0.0, run)
        self.root.fire(_wake())
        assert done.wait(WAIT_LIMIT_S), "the event loop does not run"
        value, exc = box[0]
        if exc is not None:
            raise exc
        return value

    def stop(self):
        self.root.stop()
        self._thread.join(WAIT_LIMIT_S)


def _wake():
    from circuits import Event

    class wake(Event):
        """Ends the wait of the poller."""

    return wake()


def wait_until(condition, limit_s: float = WAIT_LIMIT_S):
    """Wait until ``condition()`` is true; fail after a generous limit."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError("the condition did not become true in time")


@pytest.fixture
def paused_clock():
    return PausedClock()


@pytest.fixture
def loops():
    """Start event loops that end with the test."""
    started = []

    def start(*build):
        clock = SystemClock()
        root = Root(clock=clock)
        parts = [make(clock).register(root) for make in build]
        loop = Loop(root=root, clock=clock)
        started.append(loop)
        return (loop, *parts)

    yield start
    for loop in started:
        loop.stop()
