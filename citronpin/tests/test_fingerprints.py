"""Tests of the fingerprints by which requests that come again are recognised."""

import msgspec
import pytest

from citronpin.gateway.fingerprints import Fingerprints
from citronpin.web.replies import HttpRequest

REQ = HttpRequest(
    method="GET",
    path="/look-up/1",
    target="/look-up/1?week=3",
    query={},
    headers={"host": "towers.example", "x-citronpin-attempt-id": "a1"},
    body=b"text",
    peer="10.2.0.1",
)


@pytest.fixture
def fingerprints():
    made = Fingerprints()
    made.set_key(b"shared")
    return made


def test_repeat_of_a_request_has_its_fingerprint_at_another_entry(fingerprints):
    other = Fingerprints()
    other.set_key(b"shared")
    headers = REQ.headers | {"x-citronpin-attempt-id": "a2"}
    again = msgspec.structs.replace(REQ, headers=headers, peer="10.2.0.9")
    assert fingerprints.of(REQ, "odori") == other.of(again, "odori")


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "POST"},
        {"target": "/look-up/1?week=4"},
        {"target": "/look-up/2?week=3"},
        {"headers": {"host": "other.example"}},
        {"body": b"texts"},
        {"target": "/look-up/1?week=3t", "body": b"ext"},
    ],
)
def test_other_requests_have_other_fingerprints(fingerprints, changes):
    other = msgspec.structs.replace(REQ, **changes)
    assert fingerprints.of(REQ, "odori") != fingerprints.of(other, "odori")


def test_fingerprint_depends_on_the_caller_and_on_the_key(fingerprints):
    assert fingerprints.of(REQ, "odori") != fingerprints.of(REQ, None)
    assert fingerprints.of(REQ, "odori") != Fingerprints().of(REQ, "odori")


def test_fingerprint_does_not_show_the_request(fingerprints):
    text = fingerprints.of(REQ, "odori")
    assert len(text) == len("request-") + 16
