"""Tests of the benchmark of the state on the log."""

from citronpin.benches.benches import run_bench

NODE_BYTES_PER_S = 2_000  # limit of a node's control traffic


def test_quick_run_keeps_bytes_and_appends_within_bounds():
    results = run_bench("boots", seed=1, quick=True)
    assert results.value("config stream, all") < NODE_BYTES_PER_S / 4
    assert results.value("appends/group commit/share 30/s") <= 33.0
    read = {
        kind: results.value(f"boot, read/from {kind}/200 changes")
        for kind in ("records", "checkpoint")
    }
    assert read["checkpoint"] < read["records"]
