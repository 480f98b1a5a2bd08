"""Tests of the frames benchmark."""

from citronpin.benches.benches import run_bench


def test_every_answer_is_complete():
    results = run_bench("frames", seed=1, quick=True)
    for case in ("one engine", "30 engines"):
        assert results.value(f"whole answers/{case}") == 1.0
        assert results.value(f"client time a frame/{case}") > 0
