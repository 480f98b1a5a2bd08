"""Tests of event loops that run in threads."""

import os
import signal

from circuits import Component

from citronpin.basics.clocks import ClockTask, SystemClock
from citronpin.basics.runners import Runner, run_to_end


class Root(Component):
    """A component tree that runs only the timers of its clock."""

    def __init__(self, *, clock) -> None:
        super().__init__()
        ClockTask(clock=clock).register(self)


def test_a_loop_keeps_signal_handlers_and_closes_its_descriptors():
    before = (signal.getsignal(signal.SIGTERM), len(os.listdir("/proc/self/fd")))
    for _ in range(3):
        clock = SystemClock()
        root = Root(clock=clock)
        clock.call_later(0.0, root.stop)
        run_to_end(root, clock)
    after = (signal.getsignal(signal.SIGTERM), len(os.listdir("/proc/self/fd")))
    assert after == before


def test_calls_run_in_the_loop_and_raise_their_errors_in_the_caller():
    clock = SystemClock()
    runner = Runner(root=Root(clock=clock), clock=clock)
    runner.start()
    try:
        assert runner.call(lambda: 7) == 7
        try:
            runner.call(lambda: 1 / 0)
        except ZeroDivisionError:
            pass
        else:
            raise AssertionError("the call did not raise the error of the function")
    finally:
        runner.close()
    assert not runner.running
