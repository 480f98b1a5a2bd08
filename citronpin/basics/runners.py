"""Runs an event loop in a thread and calls functions in it from other threads."""

import os
import threading
from collections.abc import Callable
from typing import TypeVar

from circuits import Component, Event
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import TimedOut

CALL_TIMEOUT_S = 20.0

T = TypeVar("T")


class wake(Event):
    """Interrupts the wait of the poller, so that due timers run."""


class Runner:
    """Runs the event loop of one component tree in a thread of its own."""

    def __init__(self, *, root: Component, clock: Clock) -> None:
        self.root = root
        self.clock = clock
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the loop, with an epoll poller unless the tree has a poller.

        Unlike `select`, which circuits uses by default, epoll does not limit the number
        of descriptors.
        """
        if findcmp(self.root, BasePoller) is None:
            EPoll().register(self.root)
        self._thread, _ = self.root.start()

    def post(self, function: Callable[[], None]) -> None:
        """Schedule ``function`` in the loop and return without waiting for it."""
        self.clock.call_later(0.0, function)
        self.root.fire(wake())

    def call(self, function: Callable[[], T]) -> T:
        """Run ``function`` in the loop and return its result or raise its exception.

        Raises `TimedOut` when the loop has not run it after ``CALL_TIMEOUT_S``.
        """
        done = threading.Event()
        results: list = []

        def run() -> None:
            try:
                results.append((function(), None))
            except BaseException as exc:
                results.append((None, exc))
            done.set()

        self.post(run)
        if not done.wait(CALL_TIMEOUT_S):
            raise TimedOut("The event loop did not run the call in time.")
        value, exc = results[0]
        if exc is not None:
            raise exc
        return value

    def stop(self) -> None:
        """Stop the loop and wait up to ``CALL_TIMEOUT_S`` for its thread."""
        self.root.stop()
        if self._thread is not None:
            self._thread.join(CALL_TIMEOUT_S)

    def wait(self) -> None:
        """Wait without a time limit until the loop ends."""
        if self._thread is not None:
            self._thread.join()

    def close(self) -> None:
        """Stop the loop and close the descriptors of its poller.

        circuits leaves them open, so a process that runs many loops would run out of
        descriptors.
        """
        self.stop()
        poller = findcmp(self.root, BasePoller)
        if poller is not None:
            poller._poller.close()
            os.close(poller._ctrl_recv)
            os.close(poller._ctrl_send)

    @property
    def running(self) -> bool:
        """Return whether the thread of the loop is alive."""
        return self._thread is not None and self._thread.is_alive()


def run_to_end(root: Component, clock: Clock) -> None:
    """Run a loop in a thread until its root stops itself.

    A loop in the main thread would replace the signal handlers of the process.
    """
    runner = Runner(root=root, clock=clock)
    runner.start()
    try:
        runner.wait()
    finally:
        runner.close()
