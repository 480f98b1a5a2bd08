"""Tests of service calls to the service stand-in over loopback."""

import msgspec
import pytest

from citronpin.backends.services import HttpServiceClient, end_to_end_headers
from citronpin.basics.errors import ConnectionFailed, Outcome
from citronpin.standins.standin_services import ServiceStandin
from citronpin.tests.conftest import wait_until
from citronpin.web.clients import HttpClient


class ServiceHarness:
    """A service stand-in and a client, each in its own event loop."""

    def __init__(self, loops):
        self.service_loop, self.service = loops(
            lambda clock: ServiceStandin(
                name="ledger", bind=("127.0.0.1", 0), clock=clock
            )
        )
        self.loop, http = loops(lambda clock: HttpClient(clock=clock))
        self.client = HttpServiceClient(client=http, clock=self.loop.clock)

    def start_call(
        self, method, target, value=None, key="k", timeout_s=5.0, address=None
    ):
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
        _, answers = self.start_call(*args, **options)
        return wait_until(lambda: answers and answers[0])

    def set_faults(self, **fields):
        self.service_loop.call(lambda: self.service.set_faults(**fields))


@pytest.fixture
def harness(loops):
    return ServiceHarness(loops)


def test_effects_are_counted_and_never_deduplicated(harness):
    posting = {"account": "a", "grams": 5}
    assert harness.call("POST", "/postings", posting, key="k1").ok().status == 201
    assert harness.call("POST", "/postings", posting, key="k1").ok().status == 201
    assert harness.call("POST", "/swaps", {"bell": 3}, key="k2").ok().status == 201
    effects = msgspec.json.decode(harness.call("GET", "/effects").ok().body)
    assert effects == {"k1": 2, "k2": 1}
    found = msgspec.json.decode(harness.call("GET", "/postings/k1").ok().body)
    assert found["record"] == posting and found["number"] == 1
    assert harness.call("GET", "/swaps/k1").ok().status == 404


def test_call_whose_answer_is_lost_after_the_effect_is_unknown(harness):
    harness.set_faults(lose_answers=True)
    lost = harness.call("POST", "/swaps", {"bell": 3}, key="k1").err()
    assert lost.outcome is Outcome.UNKNOWN
    harness.set_faults(lose_answers=False, answer_delay_s=5.0)
    late = harness.call("POST", "/swaps", {"bell": 3}, key="k2", timeout_s=0.2).err()
    assert late.outcome is Outcome.UNKNOWN
    assert harness.service.effects == {"k1": 1, "k2": 1}


def test_only_a_failed_connect_is_reported_as_not_run(harness):
    error = harness.call("POST", "/swaps", {}, address="127.0.0.1:1").err()
    assert isinstance(error, ConnectionFailed) and error.outcome is Outcome.NOT_RUN
    harness.set_faults(down=True)
    error = harness.call("POST", "/swaps", {}).err()
    assert error.outcome is Outcome.UNKNOWN and not harness.service.effects


def test_cancelled_call_does_not_run_its_callback(harness):
    harness.set_faults(silent=True)
    call, answers = harness.start_call("POST", "/swaps", {}, timeout_s=0.1)
    timer_fired = []
    harness.loop.call(call.cancel)
    harness.loop.call(
        lambda: harness.loop.clock.call_later(0.2, lambda: timer_fired.append(True))
    )
    wait_until(lambda: timer_fired)
    assert not answers


def test_hop_by_hop_headers_are_removed():
    given = (("Connection", "X-Hop, close"), ("X-Hop", "1"), ("TE", "x"), ("A", "b"))
    assert end_to_end_headers(given) == (("A", "b"),)
