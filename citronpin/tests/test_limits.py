"""Tests of rate limits that entries enforce together by reporting demand."""

import pytest

from citronpin.policy.limits import Bucket, DemandMessage, SharedLimits

ENTRY_IDS = frozenset({"e0", "e1", "e2"})


@pytest.fixture
def entries():
    """Return the limits of three live entries, 30 units per second in total."""
    entries = {entry: SharedLimits(entry=entry) for entry in sorted(ENTRY_IDS)}
    for limits in entries.values():
        limits.set_live_entries(entries=ENTRY_IDS, now_s=0.0)
        limits.set_limit(customer="c", rate=30.0, now_s=0.0)
    return entries


def run_calls(entries, seconds, calls_per_s, isolated=frozenset(), start_s=0):
    """Make ``calls_per_s`` calls to each entry; return how many each admitted.

    The entries in ``isolated`` exchange no demand reports with others.
    """
    admitted = dict.fromkeys(entries, 0)
    for second in range(start_s, start_s + seconds):
        for step in range(100):
            now_s = second + step / 100
            for entry, limits in entries.items():
                for _ in range(calls_per_s[entry] // 100):
                    admitted[entry] += limits.take(customer="c", units=1.0, now_s=now_s)
        for entry, limits in entries.items():
            message = limits.end_window(now_s=second + 1.0)
            for other in set(entries) - {entry}:
                if entry not in isolated and other not in isolated:
                    entries[other].record_peer_demand(
                        entry=entry, message=message, now_s=second + 1.0
                    )
    return admitted


def test_bucket_enforces_its_rate_and_returns_the_wait():
    bucket = Bucket(rate=10.0, burst_s=1.0, now_s=0.0)
    assert sum(bucket.take(units=1.0, now_s=0.0) for _ in range(20)) == 10
    assert bucket.wait_s(units=1.0, now_s=0.0) == pytest.approx(0.1)
    assert sum(bucket.take(units=1.0, now_s=1.0) for _ in range(20)) == 10
    assert bucket.take(units=100.0, now_s=2.0)
    assert not bucket.take(units=1.0, now_s=3.0)
    bucket.set_rate(rate=0.1, now_s=3.0)
    assert bucket.wait_s(units=1.0, now_s=3.0) > 100.0


def test_allocations_follow_demand_within_the_limit(entries):
    calls_per_s = {"e0": 100, "e1": 0, "e2": 0}
    run_calls(entries, 10, calls_per_s)
    admitted = run_calls(entries, 20, calls_per_s, start_s=10)
    assert 0.9 * 30 * 20 <= admitted["e0"] <= 30 * 20 + 30
    even = run_calls(entries, 20, dict.fromkeys(ENTRY_IDS, 100), start_s=30)
    assert sum(even.values()) <= 1.1 * 30 * 20
    assert min(even.values()) >= 0.25 * 30 * 20


def test_isolated_entry_keeps_an_equal_share_of_the_limit(entries):
    calls_per_s = dict.fromkeys(ENTRY_IDS, 100)
    run_calls(entries, 5, calls_per_s)
    isolated = frozenset({"e0"})
    entries["e0"].set_live_entries(entries=frozenset({"e0"}), now_s=5.0)
    for other in ("e1", "e2"):
        entries[other].set_live_entries(entries=ENTRY_IDS - isolated, now_s=5.0)
    run_calls(entries, 10, calls_per_s, isolated=isolated, start_s=5)
    early = run_calls(entries, 10, calls_per_s, isolated=isolated, start_s=15)
    assert sum(early.values()) <= 1.05 * 30 * 10
    late = run_calls(entries, 60, calls_per_s, isolated=isolated, start_s=25)
    assert late["e0"] <= 1.05 * 10 * 60
    assert sum(late.values()) <= 1.4 * 30 * 60


def test_unlimited_customers_are_admitted_and_not_reported(entries):
    limits = entries["e0"]
    assert all(limits.take(customer="x", units=1e9, now_s=0.0) for _ in range(9))
    assert limits.end_window(now_s=1.0) == DemandMessage()
    limits.set_limit(customer="c", rate=None, now_s=1.0)
    assert all(limits.take(customer="c", units=1e9, now_s=1.0) for _ in range(9))
