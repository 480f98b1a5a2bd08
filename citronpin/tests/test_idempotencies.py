"""Tests of idempotency keys and of the dispatch of non-repeatable calls."""

from types import SimpleNamespace

import pytest
from result import Err, Ok

from citronpin.backends.services import ServiceResponse
from citronpin.basics.errors import ConnectionFailed, ConnectionLost, Outcome
from citronpin.basics.refusals import KeyMissing
from citronpin.callers.applications import ServiceDispatch, call_digest, find_rule
from citronpin.callers.grants import (
    BadKey,
    KeyReused,
    Pending,
    Recorded,
    Refused,
    TooOld,
    Unknown,
)
from citronpin.callers.idempotencies import IdempotencyFilter, grant_error
from citronpin.state.manifests import ApplicationManifest, CallRule

MANIFEST = ApplicationManifest(
    name="rota",
    calls=(CallRule(method="POST", path="/notes*", repeatable=True),),
)


@pytest.mark.parametrize(
    "grant, status, outcome",
    [
        (Pending(owner="e1", offset=1), 409, Outcome.UNKNOWN),
        (Unknown(owner="e1", offset=1), 502, Outcome.UNKNOWN),
        (KeyReused(), 422, Outcome.NOT_RUN),
        (BadKey(), 400, Outcome.NOT_RUN),
        (TooOld("old"), 422, Outcome.UNKNOWN),
        (Refused("down", Outcome.NOT_RUN), 503, Outcome.NOT_RUN),
        (Refused("down", Outcome.UNKNOWN), 503, Outcome.UNKNOWN),
    ],
)
def test_grants_that_are_not_owned_become_errors_with_their_outcome(
    grant, status, outcome
):
    error = grant_error(grant)
    assert (error.status, error.outcome) == (status, outcome)
    assert error.remedy


def test_only_reads_and_calls_with_a_rule_are_repeatable():
    assert find_rule(MANIFEST, "GET", "/swaps").repeatable
    assert find_rule(MANIFEST, "POST", "/notes/1").repeatable
    assert not find_rule(MANIFEST, "POST", "/swaps").repeatable
    assert not find_rule(MANIFEST, "DELETE", "/notes").repeatable


def test_call_digest_separates_target_and_body():
    assert call_digest("POST", "/a", b"bc") != call_digest("POST", "/ab", b"c")


def test_a_call_without_a_key_is_refused_before_it_begins():
    ctx = SimpleNamespace(repeatable=False, req=SimpleNamespace(headers={}))
    calls = SimpleNamespace(begin=lambda **fields: pytest.fail("the call was begun"))
    with pytest.raises(KeyMissing):
        IdempotencyFilter(calls=calls).handle(
            ctx, lambda passed: pytest.fail("the request was passed on")
        )


class RecordingGrant:
    """Records how the right to dispatch is used."""

    def __init__(self):
        self.steps = []

    def dispatch(self):
        self.steps.append("dispatch")
        return True

    def retract(self):
        self.steps.append("retract")

    def finish(self, outcome, answer):
        self.steps.append(f"finish {outcome.value}")

    def abandon(self):
        self.steps.append("abandon")


def _dispatch_call(clock, answers):
    """Dispatch a call to servers with these results; return its steps and outcomes."""
    reported = []
    ctx = SimpleNamespace(
        application=MANIFEST,
        clock=clock,
        deadline_s=10.0,
        grant=RecordingGrant(),
        headers={},
        id="r1",
        repeatable=False,
        recorder=SimpleNamespace(note=lambda *args, **fields: None),
        refuse=lambda error: reported.append(error.outcome),
        end=lambda ending: reported.append(ending.outcome),
        reply=SimpleNamespace(whole=lambda *args: None),
        req=SimpleNamespace(
            method="POST", target="/applications/rota/swaps", headers={}, body=b""
        ),
    )
    servers = [SimpleNamespace(id=str(n), address=str(n)) for n in range(len(answers))]
    remaining = list(answers)
    pool = SimpleNamespace(
        choose=lambda name, tried: servers[len(tried)] if remaining else None,
        started=lambda server: lambda success, seconds: None,
    )
    client = SimpleNamespace(call=lambda done, **call: done(remaining.pop(0)))
    ServiceDispatch(client=client, pool=pool, ctx=ctx).start()
    return ctx.grant.steps, reported


NOT_SENT, CONNECTION_LOST = Err(ConnectionFailed("no")), Err(ConnectionLost("cut"))
ANSWERED = Ok(ServiceResponse(201, {}, b"{}"))


@pytest.mark.parametrize(
    "answers, steps, reported",
    [
        ([ANSWERED], ["dispatch", "finish complete"], Outcome.COMPLETE),
        (
            [NOT_SENT, ANSWERED],
            ["dispatch", "retract", "dispatch", "finish complete"],
            Outcome.COMPLETE,
        ),
        ([NOT_SENT], ["dispatch", "retract", "abandon"], Outcome.NOT_RUN),
        ([CONNECTION_LOST, ANSWERED], ["dispatch", "finish unknown"], Outcome.UNKNOWN),
        (
            [NOT_SENT, CONNECTION_LOST],
            ["dispatch", "retract", "dispatch", "finish unknown"],
            Outcome.UNKNOWN,
        ),
    ],
)
def test_a_call_is_retried_on_another_server_only_if_nothing_was_sent(
    paused_clock, answers, steps, reported
):
    assert _dispatch_call(paused_clock, answers) == (steps, [reported])


def test_a_recorded_answer_has_no_error():
    with pytest.raises(TypeError):
        grant_error(Recorded(200, "", b"", 1))
