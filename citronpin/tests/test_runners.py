"""Tests of event loops that run in threads."""

import os
import signal
import threading
import time

import pytest
from circuits import Component

from citronpin.basics.clocks import ClockTask, SystemClock
from citronpin.basics.loop_faults import LoopFaults, call_each
from citronpin.basics.runners import Runner, run_to_end

MAX_DELAY_S = 0.5  # of a timer that is due; an idle loop may wait longer


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


# Guards against faults that the structured log lacks, and timers that wait for them.
def test_a_timer_that_raises_is_logged_and_holds_up_no_other(caplog):
    clock = SystemClock()
    root = Root(clock=clock)
    faults = LoopFaults().register(root)
    runner = Runner(root=root, clock=clock)
    ran = threading.Event()
    started_s = time.monotonic()

    def set_timers():
        clock.call_later(0.0, lambda: 1 / 0)
        clock.call_later(0.0, ran.set)

    runner.start()
    try:
        runner.post(set_timers)
        assert ran.wait(5.0) and time.monotonic() - started_s < MAX_DELAY_S
        runner.call(lambda: None)
    finally:
        runner.close()
    assert faults.count == 1
    (record,) = [r for r in caplog.records if r.levelname == "ERROR"]
    assert record.message == "exception in the event loop"
    assert record.exc_info[0] is ZeroDivisionError


def test_calls_after_one_that_raises_are_made_before_it_is_raised():
    made = []

    def call(number):
        made.append(number)
        if number in (1, 2):
            raise KeyError(number)

    with pytest.raises(KeyError, match="1"):
        call_each(lambda number=number: call(number) for number in range(4))
    assert made == [0, 1, 2, 3]
