"""Tests of what callers of non-repeatable calls are told."""

from types import SimpleNamespace

import pytest
from result import Err, Ok

from citronpin.backends.services import ServiceResponse
from citronpin.basics.errors import ConnectionFailed, ConnectionLost, Outcome
from citronpin.basics.refusals import KeyMissing
from citronpin.callers.applications import ServiceRun, call_digest, find_rule
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
def test_each_grant_that_is_not_owned_has_a_true_error(grant, status, outcome):
    error = grant_error(grant)
    assert (error.status, error.outcome) == (status, outcome)
    assert error.remedy


def test_reads_may_be_repeated_and_all_else_only_by_a_rule():
    assert find_rule(MANIFEST, "GET", "/swaps").repeatable
    assert find_rule(MANIFEST, "POST", "/notes/1").repeatable
    assert not find_rule(MANIFEST, "POST", "/swaps").repeatable
    assert not find_rule(MANIFEST, "DELETE", "/notes").repeatable


def test_the_digest_tells_parts_apart():
    assert call_digest("POST", "/a", b"bc") != call_digest("POST", "/ab", b"c")


def test_a_call_without_a_key_is_refused_and_never_begun():
    ctx = SimpleNamespace(repeatable=False, req=SimpleNamespace(headers={}))
    begun = SimpleNamespace(begin=lambda **fields: pytest.fail("was begun"))
    with pytest.raises(KeyMissing):
        IdempotencyFilter(calls=begun).handle(
            ctx, lambda passed: pytest.fail("went on")
        )


class Grant:
    """Notes what is done with the right to dispatch."""

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


def _run(clock, answers):
    """Run a call whose servers give these answers; return grant and what was told."""
    told = []
    ctx = SimpleNamespace(
        application=MANIFEST,
        clock=clock,
        deadline_s=10.0,
        grant=Grant(),
        headers={},
        id="r1",
        repeatable=False,
        recorder=SimpleNamespace(note=lambda *args, **fields: None),
        refuse=lambda error: told.append(error.outcome),
        end=lambda ending: told.append(ending.outcome),
        reply=SimpleNamespace(whole=lambda *args: None),
        req=SimpleNamespace(
            method="POST", target="/applications/rota/swaps", headers={}, body=b""
        ),
    )
    servers = [SimpleNamespace(id=str(n), address=str(n)) for n in range(len(answers))]
    left = list(answers)
    pool = SimpleNamespace(
        choose=lambda name, tried: servers[len(tried)] if left else None,
        started=lambda server: lambda success, seconds: None,
    )
    client = SimpleNamespace(call=lambda done, **call: done(left.pop(0)))
    ServiceRun(client=client, pool=pool, ctx=ctx).start()
    return ctx.grant.steps, told


UNSENT, LOST = Err(ConnectionFailed("no")), Err(ConnectionLost("cut"))
DONE = Ok(ServiceResponse(201, {}, b"{}"))


@pytest.mark.parametrize(
    "answers, steps, told",
    [
        ([DONE], ["dispatch", "finish complete"], Outcome.COMPLETE),
        (
            [UNSENT, DONE],
            ["dispatch", "retract", "dispatch", "finish complete"],
            Outcome.COMPLETE,
        ),
        ([UNSENT], ["dispatch", "retract", "abandon"], Outcome.NOT_RUN),
        ([LOST, DONE], ["dispatch", "finish unknown"], Outcome.UNKNOWN),
        (
            [UNSENT, LOST],
            ["dispatch", "retract", "dispatch", "finish unknown"],
            Outcome.UNKNOWN,
        ),
    ],
)
def test_a_call_goes_to_another_server_only_while_nothing_was_sent(
    paused_clock, answers, steps, told
):
    assert _run(paused_clock, answers) == (steps, [told])


def test_a_recorded_answer_is_an_answer():
    with pytest.raises(TypeError):
        grant_error(Recorded(200, "", b"", 1))
