"""Tests of service calls against the service stand-in over loopback."""

import msgspec
import pytest

from citronpin.backends.services import HttpServiceClient, end_to_end_headers
from citronpin.basics.errors import ConnectionFailed, Outcome
from citronpin.standins.standin_services import ServiceStandin
from citronpin.tests.conftest import wait_until
from citronpin.web.clients import HttpClient


class Calls:
    """A service stand-in and a client in another event loop."""

    def __init__(self, loops):
        self.service_loop, self.service = loops(
            lambda clock: ServiceStandin(
                name="ledger", bind=("127.0.0.1", 0), clock=clock
            )
        )
        self.loop, http = loops(lambda clock: HttpClient(clock=clock))
        self.client = HttpServiceClient(client=http, clock=self.loop.clock)

    def begin(self, method, target, value=None, key="k", timeout_s=5.0, address=None):
        answers = []
        headers = (("Idempotency-Key", key), ("Connection", "x-hop"), ("X-Hop", "1"))
        body = b"" if value is None else msgspec.json.encode(value)
        call = self.loop.call(
            lambda: self.client.call(
                address=address or self.service.address,
                method=method,
                target=target,
                headers=headers,
                body=body,
                timeout_s=timeout_s,
                done=answers.append,
            )
        )
        return call, answers

    def call(self, *args, **options):
        _, answers = self.begin(*args, **options)
        return wait_until(lambda: answers and answers[0])

    def faults(self, **fields):
        self.service_loop.call(lambda: self.service.set_faults(**fields))


@pytest.fixture
def calls(loops):
    return Calls(loops)


def test_effects_are_counted_and_never_deduplicated(calls):
    posting = {"account": "a", "grams": 5}
    assert calls.call("POST", "/postings", posting, key="k1").ok().status == 201
    assert calls.call("POST", "/postings", posting, key="k1").ok().status == 201
    assert calls.call("POST", "/swaps", {"bell": 3}, key="k2").ok().status == 201
    effects = msgspec.json.decode(calls.call("GET", "/effects").ok().body)
    assert effects == {"k1": 2, "k2": 1}
    found = msgspec.json.decode(calls.call("GET", "/postings/k1").ok().body)
    assert found["record"] == posting and found["number"] == 1
    assert calls.call("GET", "/swaps/k1").ok().status == 404


def test_an_answer_lost_after_the_effect_is_unknown(calls):
    calls.faults(lose_answers=True)
    lost = calls.call("POST", "/swaps", {"bell": 3}, key="k1").err()
    assert lost.outcome is Outcome.UNKNOWN
    calls.faults(lose_answers=False, answer_delay_s=5.0)
    late = calls.call("POST", "/swaps", {"bell": 3}, key="k2", timeout_s=0.2).err()
    assert late.outcome is Outcome.UNKNOWN
    assert calls.service.effects == {"k1": 1, "k2": 1}


def test_only_an_unmade_connection_proves_not_run(calls):
    error = calls.call("POST", "/swaps", {}, address="127.0.0.1:1").err()
    assert isinstance(error, ConnectionFailed) and error.outcome is Outcome.NOT_RUN
    calls.faults(down=True)
    error = calls.call("POST", "/swaps", {}).err()
    assert error.outcome is Outcome.UNKNOWN and not calls.service.effects


def test_a_cancelled_call_calls_nobody_back(calls):
    calls.faults(silent=True)
    call, answers = calls.begin("POST", "/swaps", {}, timeout_s=0.1)
    later = []
    calls.loop.call(call.cancel)
    calls.loop.call(
        lambda: calls.loop.clock.call_later(0.2, lambda: later.append(True))
    )
    wait_until(lambda: later)
    assert not answers


def test_headers_of_one_connection_are_not_passed_on():
    given = (("Connection", "X-Hop, close"), ("X-Hop", "1"), ("TE", "x"), ("A", "b"))
    assert end_to_end_headers(given) == (("A", "b"),)
