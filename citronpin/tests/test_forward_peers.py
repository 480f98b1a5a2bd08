"""Selects the entries to which requests are passed on."""

import random

import pytest

from citronpin.gateway.forward_codecs import decode_names, encode_names
from citronpin.gateway.forward_peers import (
    DECLINED_S,
    MIN_NEXT_HOPS,
    ForwardPeer,
    ForwardPeers,
)

SERVICE = "book"
DOMAINS = ("a", "b", "c")
ENTRIES = 30


@pytest.fixture
def peers(paused_clock):
    """Return the knowledge of an entry of domain a, of entries in turn of each."""
    peers = ForwardPeers(failure_domain="a", clock=paused_clock, rng=random.Random(1))
    peers.set_peers(
        ForwardPeer(
            name=f"n{number}",
            address=f"10.0.0.{number + 1}:1",
            failure_domain=DOMAINS[number % len(DOMAINS)],
        )
        for number in range(ENTRIES)
    )
    return peers


def test_an_entry_near_by_is_asked_first(peers):
    assert peers.select(SERVICE).failure_domain == "a"


def test_entries_of_all_domains_are_asked_after_one_declined(peers):
    asked = {peers.select(SERVICE, excluded={"n0"}).failure_domain for _ in range(50)}
    assert asked == set(DOMAINS)


def test_entries_that_took_requests_come_first_wherever_they_are(peers):
    next_hops = {f"n{3 * number + 1}" for number in range(MIN_NEXT_HOPS)}
    for name in next_hops:
        peers.taken(name, SERVICE)
    assert {peers.select(SERVICE).name for _ in range(50)} <= next_hops


def test_others_are_tried_while_few_entries_are_known_to_take_requests(peers):
    peers.taken("n1", SERVICE)
    assert peers.select(SERVICE).name != "n1"
    assert peers.select(SERVICE, excluded={"n0"}).name == "n1"


@pytest.mark.parametrize("how", ["declined", "cut off", "unreachable"])
def test_an_entry_that_takes_no_requests_is_forgotten(peers, paused_clock, how):
    peers.taken("n1", SERVICE)
    if how == "declined":
        peers.declined("n1", SERVICE)
    elif how == "cut off":
        peers.record_cut_off("n1", [SERVICE])
    else:
        peers.unreachable("n1")
    peers.add_next_hops(["n1"], SERVICE)
    assert peers.sample_next_hops(SERVICE) == []
    paused_clock.advance(DECLINED_S)
    peers.add_next_hops(["n1"], SERVICE)
    assert peers.sample_next_hops(SERVICE) == ["n1"]
    assert peers.sample_next_hops(SERVICE, to="n1") == []


def test_an_entry_may_take_requests_for_one_service_only(peers):
    peers.taken("n1", SERVICE)
    assert peers.sample_next_hops("engines") == []


@pytest.mark.parametrize("names", [[], ["n1"], ["n1", "a,b", "\u5854", "x\r\ny"]])
def test_names_pass_a_header_unchanged(names):
    text = encode_names(names)
    assert text.isascii() and text.isprintable()
    assert decode_names(text) == names
