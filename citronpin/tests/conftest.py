"""Fixtures that several test modules share."""

import time
from pathlib import Path

import pytest
from circuits import Component

import citronpin
from citronpin.basics.clocks import ClockTask, PausedClock, SystemClock
from citronpin.basics.runners import Runner

SAMPLES = Path(citronpin.__file__).parent / "samples"
WAIT_LIMIT_S = 20.0
POLL_S = 0.01


class Root(Component):
    """Root of the components of a test."""

    def __init__(self, *, clock) -> None:
        super().__init__()
        self.clock = clock
        ClockTask(clock=clock).register(self)


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
        loop = Runner(root=root, clock=clock)
        loop.start()
        started.append(loop)
        return (loop, *parts)

    yield start
    for loop in started:
        loop.stop()
