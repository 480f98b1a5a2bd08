"""The command that runs benchmarks and checks their bounds."""

import logging
from pathlib import Path

import msgspec
from absl import flags

from citronpin.benches import benches
from citronpin.benches.bench_reports import render_page
from citronpin.commands.commands import EXIT_USAGE, Command, register

logger = logging.getLogger(__name__)

FLAGS = flags.FLAGS
EXIT_BOUND_BROKEN = 1
DEFAULT_BOUNDS = "benchmarks/bounds.toml"


@register
class BenchCommand(Command):
    """Runs the named benchmarks, or all, and checks the bounds of their figures."""

    name = "bench"
    summary = "run a benchmark and check its bounds"
    example = "citronpin bench routing --quick --html routing.html"

    def define_flags(self) -> None:
        flags.DEFINE_bool("quick", False, "Run a small case that takes seconds.")
        flags.DEFINE_integer("seed", 1, "Seed of the random generators.")
        flags.DEFINE_string("baseline", None, "JSON results to compare with.")
        flags.DEFINE_string("output", None, "File for the results as JSON.")
        flags.DEFINE_string("html", None, "File for the HTML page with plots.")
        flags.DEFINE_string("bounds", DEFAULT_BOUNDS, "TOML file of bounds.")

    def run(self, args: list[str]) -> int:
        known = benches.load_benches()
        names = sorted(known) if args == ["all"] else args
        unknown = [name for name in names if name not in known]
        if not names or unknown:
            print(f"citronpin bench: name one of {', '.join(sorted(known))} or all.")
            return EXIT_USAGE
        bounds = _read_bounds()
        results = [_run_one(name, bounds) for name in names]
        broken = sum(
            len(benches.broken_bounds(result, bounds, clock=True)) for result in results
        )
        _write_outputs(results, bounds)
        return EXIT_BOUND_BROKEN if broken else 0


def _read_bounds() -> tuple[benches.Bound, ...]:
    if not Path(FLAGS.bounds).exists():
        print(f"{FLAGS.bounds} does not exist: no bound is checked; use --bounds.")
        return ()
    return benches.read_bounds(FLAGS.bounds)


def _run_one(name: str, bounds: tuple[benches.Bound, ...]) -> benches.Results:
    results = benches.run_bench(name, seed=FLAGS.seed, quick=FLAGS.quick)
    print(f"{name} (seed {results.seed}{', quick' if results.quick else ''})")
    for figure in results.figures:
        spread = "" if figure.spread is None else f" ± {figure.spread:.2g}"
        print(f"  {figure.key:58s} {figure.value:12.4g}{spread} {figure.unit}")
    for line in benches.broken_bounds(results, bounds):
        print(f"  BROKEN {line}")
    for line in _changes_from_baseline(results):
        print(f"  CHANGED {line}")
    return results


def _changes_from_baseline(results: benches.Results) -> list[str]:
    if not FLAGS.baseline:
        return []
    data = Path(FLAGS.baseline).read_bytes()
    earlier = msgspec.json.decode(data, type=list[benches.Results])
    same = [result for result in earlier if result.bench == results.bench]
    return benches.changed_figures(results, same[0]) if same else []


def _write_outputs(results: list[benches.Results], bounds) -> None:
    if FLAGS.output:
        data = msgspec.json.format(msgspec.json.encode(results))
        Path(FLAGS.output).write_bytes(data)
    if FLAGS.html:
        Path(FLAGS.html).write_text(render_page(results, bounds), encoding="utf-8")
