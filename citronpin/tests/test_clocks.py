"""Tests that periodic callbacks of a process share the wakes of its event loop."""

import pytest
from circuits import BaseComponent, Event, handler

from citronpin.tests.conftest import wait_until

INTERVALS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 1.0)


@pytest.fixture
def ran_s(paused_clock):
    """Return when callbacks ran that are called periodically, by interval."""
    ran_s = {interval_s: [] for interval_s in INTERVALS_S}

    def run(interval_s):
        ran_s[interval_s].append(paused_clock.now())
        paused_clock.call_next(interval_s, lambda: run(interval_s))

    for number, interval_s in enumerate(INTERVALS_S):
        # Started at different times, as the parts of a process are.
        paused_clock.call_later(
            0.013 * number, lambda interval_s=interval_s: run(interval_s)
        )
    return ran_s


def test_without_a_beat_each_callback_keeps_its_interval(paused_clock, ran_s):
    paused_clock.advance(10.0)
    for number, (interval_s, times_s) in enumerate(ran_s.items()):
        expected_s = [0.013 * number + n * interval_s for n in range(len(times_s))]
        assert times_s == pytest.approx(expected_s)


def test_on_a_beat_callbacks_share_their_wakes(paused_clock, ran_s):
    # An idle entry of a crowd woke 45 times a second for its own timers.
    paused_clock.advance(0.5)
    paused_clock.set_beat(0.15)
    paused_clock.advance(0.5)
    for times_s in ran_s.values():
        times_s.clear()
    paused_clock.advance(9.0)
    wakes = {round(at_s, 6) for times_s in ran_s.values() for at_s in times_s}
    assert len(wakes) <= 61
    for interval_s, times_s in ran_s.items():
        gaps_s = [after - before for before, after in zip(times_s, times_s[1:])]
        assert max(gaps_s) <= max(interval_s, 0.15) + 0.076
    paused_clock.set_beat(None)
    paused_clock.advance(2.0)
    assert len(ran_s[0.05]) >= 60 + 37  # 2 s at 0.05 s, from a beat on


def test_a_late_callback_does_not_shift_the_beat(paused_clock):
    paused_clock.set_beat(0.15)
    ran_s = []

    def run():
        ran_s.append(paused_clock.now())
        paused_clock.call_next(0.15, run)

    run()
    paused_clock.call_later(0.31, lambda: paused_clock.jump(0.25))
    paused_clock.advance(1.0)
    assert ran_s == pytest.approx([0.0, 0.15, 0.3, 0.56, 0.6, 0.75, 0.9])


class noted(Event):
    """Fired by a timer."""


class Recorder(BaseComponent):
    """Records how long after a timer its event was handled."""

    channel = "recorder"

    def __init__(self, *, clock):
        super().__init__()
        self.clock = clock
        self.delays_s = []

    def fire_noted(self):
        self.fired_s = self.clock.now()
        self.fire(noted())

    @handler("noted")
    def _on_noted(self):
        self.delays_s.append(self.clock.now() - self.fired_s)


def test_an_event_that_a_timer_fires_does_not_wait_for_the_next_timer(loops):
    # The loop waits for the next timer unless events are queued.
    loop, recorder = loops(lambda clock: Recorder(clock=clock))

    def begin():
        recorder.clock.call_later(1.0, lambda: None)
        recorder.clock.call_later(0.0, recorder.fire_noted)

    loop.call(begin)
    wait_until(lambda: recorder.delays_s)
    assert recorder.delays_s[0] < 0.5
