"""Tests of the benchmark framework, and of quick runs against clock-free bounds."""

from pathlib import Path

import msgspec
import pytest

from citronpin.basics.ids import EntryId
from citronpin.basics.settings import DEFAULTS, POLICY_SECTIONS, check_settings
from citronpin.benches import benches
from citronpin.benches.bench_reports import render_page
from citronpin.commands import commands, commands_benches
from citronpin.policy.admissions import ADMISSIONS
from citronpin.policy.detectors import DETECTORS
from citronpin.policy.placements import PLACEMENTS
from citronpin.policy.policies import (
    make_admission,
    make_detector,
    make_hedge,
    make_limits,
    make_placement,
    make_repair,
    make_retry_budget,
    make_router,
)
from citronpin.policy.repairs import REPAIRS
from citronpin.policy.routers import ROUTERS

SEED = 1
BOUNDS = Path(__file__).parents[2] / "benchmarks" / "bounds.toml"
POLICY_BENCHES = ("admission", "limits", "repair", "routing")


@pytest.fixture(scope="module")
def quick():
    return {
        name: benches.run_bench(name, seed=SEED, quick=True) for name in POLICY_BENCHES
    }


def test_quick_runs_keep_the_bounds(quick):
    bounds = benches.read_bounds(BOUNDS)
    assert {bound.bench for bound in bounds} <= set(benches.load_benches())
    for results in quick.values():
        assert benches.broken_bounds(results, bounds, clock=False) == []


def test_runs_are_repeatable(quick):
    assert benches.run_bench("limits", seed=SEED, quick=True) == quick["limits"]


def test_a_broken_or_unmatched_bound_is_reported(quick):
    results = quick["limits"]
    key = results.figures[0].key
    bounds = (
        benches.Bound(bench="limits", figure=key, source="x", minimum=1e9),
        benches.Bound(bench="limits", figure="absent", source="x", maximum=1.0),
        benches.Bound(bench="routing", figure="absent", source="x", maximum=1.0),
    )
    assert len(benches.broken_bounds(results, bounds)) == 2
    maximum_only = benches.Bound(bench="limits", figure=key, source="x", maximum=1.0)
    assert maximum_only.broken_by(float("nan"))


def test_changes_against_an_earlier_run_are_listed(quick):
    results = quick["limits"]
    assert benches.changed_figures(results, results) == []
    first = msgspec.structs.replace(results.figures[0], value=99.0)
    other = msgspec.structs.replace(results, figures=[first])
    (line,) = benches.changed_figures(other, results)
    assert line.startswith(first.key) and "99" in line


def test_page_opens_without_a_network(quick):
    page = render_page(list(quick.values()), benches.read_bounds(BOUNDS))
    assert page.count("<svg") >= 5
    for remote in ('src="http', 'href="http', "@import", "url(http"):
        assert remote not in page
    assert "All bounds are kept." in page


def test_command_writes_results_and_rejects_unknown_names(tmp_path, capsys):
    flags = commands.FLAGS
    command = commands_benches.BenchCommand()
    if "quick" not in flags:
        command.define_flags()
    output = tmp_path / "out.json"
    flags(["bench", "--quick", f"--output={output}", f"--bounds={BOUNDS}"])
    try:
        assert command.run(["limits"]) == 0
        saved = msgspec.json.decode(output.read_bytes(), type=list[benches.Results])
        assert [one.bench for one in saved] == ["limits"]
        assert command.run(["absent"]) == commands.EXIT_USAGE
        assert "routing" in capsys.readouterr().out
    finally:
        flags(["bench", "--noquick"])


def test_settings_name_every_policy_and_build_them():
    cfg = check_settings({}, POLICY_SECTIONS).unwrap()
    names = {
        ("routing", "policy"): ROUTERS,
        ("admission", "policy"): ADMISSIONS,
        ("repair", "policy"): REPAIRS,
        ("repair", "detector"): DETECTORS,
        ("repair", "placement"): PLACEMENTS,
    }
    for (section, key), registry in names.items():
        assert set(DEFAULTS[section][key].choices) == set(registry)
    rng = None
    budget = make_retry_budget(cfg=cfg)
    made = [
        make_router(cfg=cfg, rng=rng),
        make_admission(cfg=cfg, rng=rng),
        make_repair(cfg=cfg),
        make_detector(cfg=cfg),
        make_placement(cfg=cfg),
    ]
    assert [one.name for one in made] == [
        cfg.section(section)[key] for section, key in names
    ]
    assert make_limits(cfg=cfg, entry=EntryId("e")).demand(now_s=0.0).demands == ()
    assert make_hedge(cfg=cfg, budget=budget).plan(repeatable=True) is None


def test_defaults_of_settings_are_those_of_the_classes():
    cfg = check_settings({}, POLICY_SECTIONS).unwrap()
    repair = make_repair(cfg=cfg)
    assert vars(repair) == vars(REPAIRS["weighted"]())
    plain = ROUTERS["affinity"](rng=None)
    built = make_router(cfg=cfg, rng=None)
    for key, value in vars(plain).items():
        if isinstance(value, (int, float)):
            assert vars(built)[key] == value
