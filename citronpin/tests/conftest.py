"""Fixtures and helpers that several test modules share."""

import time
from pathlib import Path

import pytest
from circuits import Component

import citronpin
from citronpin.basics.clocks import ClockTask, PausedClock, SystemClock
from citronpin.basics.runners import Runner

SAMPLES = Path(citronpin.__file__).parent / "samples"
WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01


class Root(Component):
    """Root of the component tree of a test, which runs the timers of its clock."""

    def __init__(self, *, clock) -> None:
        super().__init__()
        self.clock = clock
        ClockTask(clock=clock).register(self)


def wait_until(condition, timeout_s: float = WAIT_TIMEOUT_S):
    """Poll until ``condition()`` is true and return its value, or fail on timeout."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError("the condition did not become true before the timeout")


@pytest.fixture
def paused_clock():
    return PausedClock()


@pytest.fixture
def loops():
    """Return a function that starts an event loop, which is stopped after the test.

    Its arguments are functions that build a component from a clock. It returns the loop
    and the components.
    """
    started = []

    def start(*factories):
        clock = SystemClock()
        root = Root(clock=clock)
        components = [make(clock).register(root) for make in factories]
        loop = Runner(root=root, clock=clock)
        loop.start()
        started.append(loop)
        return (loop, *components)

    yield start
    for loop in started:
        loop.stop()
