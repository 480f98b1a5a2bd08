"""Tests of the measurement of pauses in the event loop."""

import pytest

from citronpin.basics.loop_lags import MIN_LOGGED_LAG_S, LoopLag


@pytest.fixture
def loop_lag(paused_clock):
    lag = LoopLag(clock=paused_clock)
    lag.start()
    return lag


def test_pause_of_the_event_loop_is_logged_and_added_up(paused_clock, loop_lag, caplog):
    # While a callback takes long, time passes and no other timer runs.
    paused_clock.call_later(1.01, lambda: paused_clock.jump(1.5))
    paused_clock.advance(5.0)
    (record,) = caplog.records
    assert record.message == "event loop blocked" and 1.3 < record.lag_s <= 1.5
    assert loop_lag.total_s == pytest.approx(record.lag_s, abs=0.01)


def test_short_delays_of_timers_are_not_logged(paused_clock, loop_lag, caplog):
    paused_clock.call_later(1.01, lambda: paused_clock.jump(MIN_LOGGED_LAG_S / 2))
    paused_clock.advance(5.0)
    assert not caplog.records and loop_lag.total_s == 0.0
