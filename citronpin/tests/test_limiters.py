"""Tests of rate limits that entries enforce together."""

from types import SimpleNamespace

import pytest

from citronpin.basics.refusals import LimitExceeded
from citronpin.callers.limiters import (
    DEMAND_WINDOW_S,
    IDLE_WINDOWS_PER_REPORT,
    DemandExchange,
    LimitFilter,
)
from citronpin.policy.limits import SharedLimits
from citronpin.state.manifests import Customer

RATE = 10.0
ENTRIES = ("e1", "e2")


class FakeNetwork:
    """Delivers messages between entries immediately and counts them."""

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
def limiters(paused_clock):
    network = FakeNetwork()
    filters = {}
    customers = {"digest": Customer(name="c", key_digests=(), requests_per_s=RATE)}
    for entry in ENTRIES:
        requests, tokens = SharedLimits(entry=entry), SharedLimits(entry=entry)
        exchange = DemandExchange(
            entry=entry,
            mesh=network.mesh(entry),
            requests=requests,
            tokens=tokens,
            clock=paused_clock,
        )
        exchange.set_customers(customers)
        filters[entry] = LimitFilter(
            requests=requests, tokens=tokens, clock=paused_clock
        )
    for callback in network.liveness:
        callback(frozenset(ENTRIES))
    return network, filters


def _is_admitted(filters, entry) -> bool:
    """Return whether a request of the limited customer is admitted."""
    passed = []
    ctx = SimpleNamespace(customer=Customer(name="c", key_digests=()), deployment=None)
    try:
        filters[entry].handle(ctx, passed.append)
    except LimitExceeded as exc:
        assert exc.retry_after_s > 0
    return bool(passed)


def _admitted_per_s(filters, clock, entries, seconds=20):
    passed = 0
    for _ in range(seconds * 20):
        passed += sum(_is_admitted(filters, entry) for entry in entries)
        clock.advance(0.05)
    return passed / seconds


def test_the_limit_holds_in_total_and_moves_to_the_entry_with_demand(
    limiters, paused_clock
):
    network, filters = limiters
    _admitted_per_s(filters, paused_clock, ENTRIES)
    assert _admitted_per_s(filters, paused_clock, ENTRIES) == pytest.approx(
        RATE, rel=0.1
    )
    _admitted_per_s(filters, paused_clock, ["e2"])
    assert _admitted_per_s(filters, paused_clock, ["e2"]) == pytest.approx(
        RATE, rel=0.1
    )


def test_disconnected_entries_together_stay_within_the_limit(limiters, paused_clock):
    network, filters = limiters
    _admitted_per_s(filters, paused_clock, ENTRIES)
    network.cut = True
    _admitted_per_s(filters, paused_clock, ENTRIES)
    assert _admitted_per_s(filters, paused_clock, ENTRIES) <= RATE * 1.1


def test_entries_without_demand_report_it_only_every_few_windows(
    limiters, paused_clock
):
    network, _ = limiters
    paused_clock.advance(IDLE_WINDOWS_PER_REPORT * DEMAND_WINDOW_S * 5)
    assert 0 < network.sent <= 5 * len(ENTRIES)
