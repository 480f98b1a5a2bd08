"""Benchmarks: base class, registry, results and the bounds that figures must keep."""

import fnmatch
import importlib
import logging
import pkgutil
import tomllib
from abc import ABC, abstractmethod
from pathlib import Path

import msgspec

import citronpin.benches

logger = logging.getLogger(__name__)

MODULE_PREFIX = "bench_"


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """One measured value; ``series`` and ``at`` place it in a plot of ``name``."""

    name: str
    value: float
    unit: str
    series: str = ""
    at: str = ""
    clock_dependent: bool = False  # differs from run to run and machine to machine
    spread: float | None = None  # half of the 95 % confidence interval

    @property
    def key(self) -> str:
        """Return the name by which bounds and baselines refer to the figure."""
        return "/".join(part for part in (self.name, self.series, self.at) if part)


class Results(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one run of one benchmark."""

    bench: str
    seed: int
    quick: bool
    figures: list[Figure]

    def value(self, key: str) -> float:
        """Return the value of the figure with ``key``; `StopIteration` if absent."""
        return next(figure.value for figure in self.figures if figure.key == key)


class Bench(ABC):
    """Base of the benchmarks; ``name`` is the argument of ``citronpin bench``."""

    name = ""
    summary = ""

    @abstractmethod
    def run(self, *, seed: int, quick: bool) -> list[Figure]:
        """Return the figures; ``quick`` runs a smaller case within a few seconds."""


BENCHES: dict[str, type[Bench]] = {}


def register(bench: type[Bench]) -> type[Bench]:
    """Register a benchmark by its name."""
    BENCHES[bench.name] = bench
    return bench


def load_benches() -> dict[str, type[Bench]]:
    """Import every ``bench_*`` module of the package and return the registry."""
    for module in pkgutil.iter_modules(citronpin.benches.__path__):
        if module.name.startswith(MODULE_PREFIX):
            importlib.import_module(f"citronpin.benches.{module.name}")
    return BENCHES


def run_bench(name: str, *, seed: int, quick: bool) -> Results:
    """Run one benchmark; `KeyError` if no benchmark is registered as ``name``."""
    figures = load_benches()[name]().run(seed=seed, quick=quick)
    return Results(bench=name, seed=seed, quick=quick, figures=figures)


class Bound(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bound on the figures of a benchmark whose key matches a shell-style pattern."""

    bench: str
    figure: str
    source: str  # where the target is stated
    minimum: float | None = None
    maximum: float | None = None
    quick: bool = True  # whether the quick run must keep it, too

    def broken_by(self, value: float) -> bool:
        """Return whether ``value`` is out of bounds, as NaN always is."""
        if self.minimum is not None and not value >= self.minimum:
            return True
        return self.maximum is not None and not value <= self.maximum


class _BoundsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    bound: tuple[Bound, ...] = ()


def read_bounds(path: str | Path) -> tuple[Bound, ...]:
    """Read a TOML file of bounds; `msgspec.ValidationError` for an unknown field."""
    with open(path, "rb") as source:
        return msgspec.convert(tomllib.load(source), _BoundsFile).bound


def broken_bounds(
    results: Results, bounds: tuple[Bound, ...], *, clock: bool = True
) -> list[str]:
    """Return one line for each figure out of bounds and each bound with no figure.

    Figures with ``clock_dependent`` are not checked when ``clock`` is false.
    """
    lines = []
    for bound in bounds:
        if bound.bench != results.bench or (results.quick and not bound.quick):
            continue
        matched = [
            figure
            for figure in results.figures
            if fnmatch.fnmatchcase(figure.key, bound.figure)
        ]
        if not matched:
            lines.append(f"{bound.bench}: no figure matches {bound.figure}.")
        lines += [
            _format_broken_bound(bound, figure)
            for figure in matched
            if (clock or not figure.clock_dependent) and bound.broken_by(figure.value)
        ]
    return lines


def _format_broken_bound(bound: Bound, figure: Figure) -> str:
    return (
        f"{bound.bench}: {figure.key} is {figure.value:.4g} {figure.unit}; bound: "
        f"minimum {bound.minimum}, maximum {bound.maximum} ({bound.source})."
    )


def changed_figures(results: Results, earlier: Results) -> list[str]:
    """Return one line for each figure whose value differs from that of ``earlier``."""
    previous = {figure.key: figure.value for figure in earlier.figures}
    return [
        f"{figure.key}: {previous[figure.key]:.4g} -> {figure.value:.4g} {figure.unit}"
        for figure in results.figures
        if figure.key in previous and previous[figure.key] != figure.value
    ]
