"""Runs a component tree in a thread and calls into its loop from others."""

import os
import threading
from collections.abc import Callable
from typing import TypeVar

from circuits import Component, Event
from circuits.core.pollers import BasePoller, EPoll
from circuits.core.utils import findcmp

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import TimedOut

CALL_LIMIT_S = 20.0

T = TypeVar("T")


class wake(Event):
    """Ends the wait of the poller, so that due timers run."""


class Runner:
    """One event loop in a thread of its own."""

    def __init__(self, *, root: Component, clock: Clock) -> None:
        self.root = root
        self.clock = clock
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the loop, with a poller that takes any number of descriptors."""
        if findcmp(self.root, BasePoller) is None:
            EPoll().register(self.root)
        self._thread, _ = self.root.start()

    def post(self, function: Callable[[], None]) -> None:
        """Run ``function`` in the loop soon."""
        self.clock.call_later(0.0, function)
        self.root.fire(wake())

    def call(self, function: Callable[[], T]) -> T:
        """Run ``function`` in the loop and return what it returned."""
        done = threading.Event()
        box: list = []

        def run() -> None:
            try:
                box.append((function(), None))
            except BaseException as exc:
                box.append((None, exc))
            done.set()

        self.post(run)
        if not done.wait(CALL_LIMIT_S):
            raise TimedOut("The event loop does not run.")
        value, exc = box[0]
        if exc is not None:
            raise exc
        return value

    def stop(self) -> None:
        """Stop the loop and wait for its thread."""
        self.root.stop()
        if self._thread is not None:
            self._thread.join(CALL_LIMIT_S)

    def wait(self) -> None:
        """Wait until the loop has ended by itself."""
        if self._thread is not None:
            self._thread.join()

    def close(self) -> None:
        """Stop the loop and close the descriptors of its poller.

        circuits leaves them open, which counts where many loops share a process.
        """
        self.stop()
        poller = findcmp(self.root, BasePoller)
        if poller is not None:
            poller._poller.close()
            os.close(poller._ctrl_recv)
            os.close(poller._ctrl_send)

    @property
    def running(self) -> bool:
        """Return whether the loop runs."""
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
