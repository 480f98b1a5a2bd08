"""The fault soak, and that each of its checks can fail."""

import os

import msgspec
import pytest

from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.requests import event, whole_stream
from citronpin.tests.soaks import checks
from citronpin.tests.soaks.callers import Kind, Outcome
from citronpin.tests.soaks.platforms import EVENTS, answer_of, digest_of
from citronpin.tests.soaks.soaks import Soak

SHORT_S = 8.0
LONG_S = 20.0


def soak(seed, seconds, folder):
    run = Soak(seed=seed, seconds=seconds, folder=folder)
    run.run()
    print(f"seed {seed}: {dict(run.injected)}; {dict(run.asked)}")
    assert run.violations == []


def test_promises_hold_among_faults(tmp_path):
    soak(1, SHORT_S, tmp_path)


@pytest.mark.soak
def test_promises_hold_among_faults_for_longer(tmp_path):
    soak(int(os.environ["CITRONPIN_SOAK_SEED"]), LONG_S, tmp_path)


def outcome(kind=Kind.UNSAFE, status=200, **changes):
    """Return what a caller sees of a sound answer, but for the changes."""
    body = whole_stream(last=EVENTS) if kind is Kind.STREAM else answer_of("a-1")
    made = Outcome(
        attempt="a-1",
        kind=kind,
        node="front-1",
        begun_s=1.0,
        ended_s=2.0,
        status=status,
        headers={HEADERS.attempt: "a-1", HEADERS.digest: digest_of(body)},
        body=body,
        complete=True,
    )
    return msgspec.structs.replace(made, **changes)


@pytest.mark.parametrize("kind", list(Kind))
def test_a_sound_answer_passes(kind):
    assert not checks.check_runs([outcome(kind)], {"a-1": ["b-1"]})
    assert not checks.check_answers([outcome(kind)])


@pytest.mark.parametrize(
    "one, runs",
    [
        (outcome(), {"a-1": ["b-1", "b-2"]}),
        (outcome(status=503), {"a-1": ["b-1"]}),
        (outcome(status=429), {"a-1": ["b-1"]}),
        (outcome(), {"a-1": ["b-1"], "a-2": ["b-1"]}),
    ],
)
def test_a_second_run_a_false_refusal_and_an_unasked_run_are_found(one, runs):
    assert checks.check_runs([one], runs)


@pytest.mark.parametrize(
    "one",
    [
        outcome(body=b"{}"),
        outcome(headers={HEADERS.attempt: "a-2"}),
        outcome(Kind.STREAM, body=event(0) + event(2)),
        outcome(Kind.STREAM, body=event(0) + event(0)),
        outcome(Kind.STREAM, body=event(0) + event(1)),
    ],
)
def test_a_wrong_answer_is_found(one):
    assert checks.check_answers([one])


def test_a_stream_that_is_visibly_cut_is_no_wrong_answer():
    cut = outcome(Kind.STREAM, body=event(0) + event(1), complete=False)
    assert not checks.check_answers([cut])


@pytest.mark.parametrize(
    "faults, found", [([], 1), ([(0.0, 0.5)], 1), ([(0.0, 1.5)], 0), ([(1.8, 9.0)], 0)]
)
def test_a_request_cut_by_a_planned_stop_is_found(faults, found):
    cut = outcome(status=None, complete=False)
    stops = [("front-1", 1.5, 4.0)]
    runs = {"a-1": ["b-1"]}
    assert len(checks.check_planned_stops([cut], runs, stops, faults)) == found
    assert not checks.check_planned_stops([outcome()], runs, stops, faults)
    assert not checks.check_planned_stops([cut], {}, stops, faults)


def test_a_configuration_that_goes_back_is_found():
    seen = [("front-1/1", 2, 200), ("front-1/1", 3, 404), ("front-1/2", 2, 404)]
    assert not checks.check_versions(seen)
    assert checks.check_versions(seen + [("front-1/1", 2, 404)])
