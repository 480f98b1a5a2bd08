"""Tests of limits that entries share by passing on demand."""

import pytest

from citronpin.policy.limits import Bucket, DemandMessage, SharedLimits

IDS = frozenset({"e0", "e1", "e2"})


@pytest.fixture
def entries():
    made = {entry: SharedLimits(entry=entry) for entry in sorted(IDS)}
    for limits in made.values():
        limits.alive(entries=IDS, now_s=0.0)
        limits.limit(customer="c", rate=30.0, now_s=0.0)
    return made


def play(entries, seconds, asked, cut=frozenset(), start_s=0):
    """Offer ``asked`` calls a second to each entry; return what each took."""
    taken = dict.fromkeys(entries, 0)
    for second in range(start_s, start_s + seconds):
        for step in range(100):
            now_s = second + step / 100
            for entry, limits in entries.items():
                for _ in range(asked[entry] // 100):
                    taken[entry] += limits.take(customer="c", units=1.0, now_s=now_s)
        for entry, limits in entries.items():
            message = limits.demand(now_s=second + 1.0)
            for other in set(entries) - {entry}:
                if entry not in cut and other not in cut:
                    entries[other].record_peer_demand(
                        entry=entry, message=message, now_s=second + 1.0
                    )
    return taken


def test_bucket_keeps_its_rate_and_tells_when_to_come_back():
    bucket = Bucket(rate=10.0, burst_s=1.0, now_s=0.0)
    assert sum(bucket.take(units=1.0, now_s=0.0) for _ in range(20)) == 10
    assert bucket.wait_s(units=1.0, now_s=0.0) == pytest.approx(0.1)
    assert sum(bucket.take(units=1.0, now_s=1.0) for _ in range(20)) == 10
    assert bucket.take(units=100.0, now_s=2.0)
    assert not bucket.take(units=1.0, now_s=3.0)
    bucket.set_rate(rate=0.1, now_s=3.0)
    assert bucket.wait_s(units=1.0, now_s=3.0) > 100.0


def test_parts_follow_demand_and_keep_the_limit(entries):
    asked = {"e0": 100, "e1": 0, "e2": 0}
    play(entries, 10, asked)
    taken = play(entries, 20, asked, start_s=10)
    assert 0.9 * 30 * 20 <= taken["e0"] <= 30 * 20 + 30
    even = play(entries, 20, dict.fromkeys(IDS, 100), start_s=30)
    assert sum(even.values()) <= 1.1 * 30 * 20
    assert min(even.values()) >= 0.25 * 30 * 20


def test_an_entry_cut_off_keeps_a_safe_part_for_as_long_as_it_lasts(entries):
    asked = dict.fromkeys(IDS, 100)
    play(entries, 5, asked)
    cut = frozenset({"e0"})
    entries["e0"].alive(entries=frozenset({"e0"}), now_s=5.0)
    for other in ("e1", "e2"):
        entries[other].alive(entries=IDS - cut, now_s=5.0)
    play(entries, 10, asked, cut=cut, start_s=5)
    early = play(entries, 10, asked, cut=cut, start_s=15)
    assert sum(early.values()) <= 1.05 * 30 * 10
    late = play(entries, 60, asked, cut=cut, start_s=25)
    assert late["e0"] <= 1.05 * 10 * 60
    assert sum(late.values()) <= 1.4 * 30 * 60


def test_unlimited_customers_and_idle_messages(entries):
    limits = entries["e0"]
    assert all(limits.take(customer="x", units=1e9, now_s=0.0) for _ in range(9))
    assert limits.demand(now_s=1.0) == DemandMessage()
    limits.limit(customer="c", rate=None, now_s=1.0)
    assert all(limits.take(customer="c", units=1e9, now_s=1.0) for _ in range(9))
