"""Tests of the gate that refuses requests when the configuration may be outdated."""

import pytest

from citronpin.basics.events import Recorder
from citronpin.basics.gates import GateState, ServingGate


@pytest.mark.parametrize(
    "booted, head_age_s, alive, known, expected",
    [
        (False, 0.0, 9, 9, GateState.BOOTING),
        (True, 0.5, 1, 9, GateState.SERVING),
        (True, 30.0, 5, 9, GateState.SERVING),
        (True, 30.0, 4, 9, GateState.CUT_OFF),
        (True, 30.0, 4, 8, GateState.CUT_OFF),
        (True, 30.0, 1, 1, GateState.SERVING),
    ],
)
def test_state_follows_boot_head_age_and_majority(
    paused_clock, booted, head_age_s, alive, known, expected
):
    gate = ServingGate(
        clock=paused_clock,
        recorder=Recorder(process="entry", clock=paused_clock),
        booted=lambda: booted,
        head_age_s=lambda: head_age_s,
        known_entries=lambda: known,
        alive_entries=lambda: alive,
    )
    assert gate.state() is expected
    assert (gate.refusal() is None) == (expected is GateState.SERVING)
    gate.drain()
    assert gate.refusal().kind == "draining"
