"""Tests of limits that entries hold together over messages."""

from types import SimpleNamespace

import pytest

from citronpin.basics.refusals import LimitExceeded
from citronpin.callers.limiters import (
    QUIET_WINDOWS,
    WINDOW_S,
    DemandExchange,
    LimitFilter,
)
from citronpin.policy.limits import SharedLimits
from citronpin.state.manifests import Customer

RATE = 10.0
ENTRIES = ("e1", "e2")


class Wire:
    """Carries messages between entries at once and counts them."""

    def __init__(self):
        self.callbacks = {}
        self.liveness = []
        self.sent = 0
        self.cut = False

    def mesh(self, entry):
        def send(peer, message):
            self.sent += 1
            if not self.cut:
                self.callbacks[peer](entry, message)

        return SimpleNamespace(
            alive=lambda: frozenset(ENTRIES),
            send=send,
            subscribe=lambda kind, callback: self.callbacks.update({entry: callback}),
            subscribe_liveness=self.liveness.append,
        )


@pytest.fixture
def system(paused_clock):
    wire = Wire()
    filters = {}
    customers = {"digest": Customer(name="c", key_digests=(), requests_per_s=RATE)}
    for entry in ENTRIES:
        requests, tokens = SharedLimits(entry=entry), SharedLimits(entry=entry)
        exchange = DemandExchange(
            entry=entry,
            mesh=wire.mesh(entry),
            requests=requests,
            tokens=tokens,
            clock=paused_clock,
        )
        exchange.set_customers(customers)
        filters[entry] = LimitFilter(
            requests=requests, tokens=tokens, clock=paused_clock
        )
    for callback in wire.liveness:
        callback(frozenset(ENTRIES))
    return wire, filters


def _ask(filters, entry) -> bool:
    """Return whether a request of the limited customer may go."""
    passed = []
    ctx = SimpleNamespace(customer=Customer(name="c", key_digests=()), deployment=None)
    try:
        filters[entry].handle(ctx, passed.append)
    except LimitExceeded as exc:
        assert exc.retry_after_s > 0
    return bool(passed)


def _rate(filters, clock, entries, seconds=20):
    passed = 0
    for _ in range(seconds * 20):
        passed += sum(_ask(filters, entry) for entry in entries)
        clock.advance(0.05)
    return passed / seconds


def test_the_limit_holds_over_both_entries_and_follows_demand(system, paused_clock):
    wire, filters = system
    _rate(filters, paused_clock, ENTRIES)
    assert _rate(filters, paused_clock, ENTRIES) == pytest.approx(RATE, rel=0.1)
    _rate(filters, paused_clock, ["e2"])
    assert _rate(filters, paused_clock, ["e2"]) == pytest.approx(RATE, rel=0.1)


def test_entries_that_do_not_hear_each_other_keep_to_equal_parts(system, paused_clock):
    wire, filters = system
    _rate(filters, paused_clock, ENTRIES)
    wire.cut = True
    _rate(filters, paused_clock, ENTRIES)
    assert _rate(filters, paused_clock, ENTRIES) <= RATE * 1.1


def test_entries_without_demand_say_so_seldom(system, paused_clock):
    wire, _ = system
    paused_clock.advance(QUIET_WINDOWS * WINDOW_S * 5)
    assert 0 < wire.sent <= 5 * len(ENTRIES)
