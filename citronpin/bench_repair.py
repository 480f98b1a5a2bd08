"""Benchmark of repair: group downtime and stranded accelerators over fault traces."""

import logging

import msgspec
import numpy as np

from citronpin import valuations  # noqa: F401
from citronpin.bench_domains import ModelDomain, WeightStore, confidence_half
from citronpin.bench_traces import DAY_S, draw_trace
from citronpin.benches import Bench, Figure, register
from citronpin.clocks import PausedClock
from citronpin.ids import DeploymentName, ModelName, Version
from citronpin.manifests import DeploymentManifest
from citronpin.repairs import REPAIRS
from citronpin.suspicions import DETECTORS

logger = logging.getLogger(__name__)

PPM = 1_000_000


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """A plant: fabric domains, and what each has."""

    name: str
    domains: int
    deployments: tuple[DeploymentManifest, ...]
    days: float
    spares: int = 2

    def instances(self, spares: int) -> int:
        """Return the instances of a domain with ``spares``."""
        return spares + sum(one.groups * one.members for one in self.deployments)


class Variant(msgspec.Struct, frozen=True, kw_only=True):
    """A repair policy, its detector and its spares."""

    name: str
    policy: str
    detector: str
    spares: int | None = None  # None: those of the size
    options: dict = {}


def deployment(name: str, groups: int, members: int) -> DeploymentManifest:
    """Return a manifest of a deployment."""
    return DeploymentManifest(
        name=DeploymentName(name),
        model=ModelName(name),
        version=Version("1"),
        groups=groups,
        members=members,
    )


TODAY = Size(
    name="today", domains=6, deployments=(deployment("assistant", 10, 4),), days=60.0
)
TARGET = Size(
    name="target",
    domains=40,
    deployments=(deployment("assistant", 14, 6), deployment("large", 1, 32)),
    days=3.0,
    spares=4,
)
VARIANTS = (
    Variant(name="no spares", policy="immediate", detector="timeout", spares=0),
    Variant(name="one spare", policy="immediate", detector="timeout", spares=1),
    Variant(name="immediate", policy="immediate", detector="timeout"),
    Variant(name="dissolve", policy="dissolve", detector="timeout"),
    Variant(name="weighted", policy="weighted", detector="graded"),
)
SAMPLES = {"kanekura": (10.0, 1.0), "moulin-ramdin": (1.0, 10.0)}


class RepairRun(msgspec.Struct, frozen=True, kw_only=True):
    """One variant over one drawn trace."""

    size: Size
    variant: Variant
    seed: int

    def run(self) -> dict[str, float]:
        """Return the figures by name."""
        clock = PausedClock()
        domains = self._domains(clock)
        length_s = self.size.days * DAY_S
        for fault in self._trace(length_s):
            domain = domains[fault.domain]
            clock.call_later(fault.at_s, lambda d=domain, f=fault: d.strike(f))
        clock.advance(length_s)
        for domain in domains:
            domain.count()
        return self._sum([domain.totals for domain in domains])

    def _spares(self) -> int:
        given = self.variant.spares
        return self.size.spares if given is None else given

    def _domains(self, clock: PausedClock) -> list[ModelDomain]:
        store = WeightStore()
        return [
            ModelDomain(
                number=number,
                size=self.size.instances(self._spares()),
                deployments=self.size.deployments,
                clock=clock,
                store=store,
                detector=DETECTORS[self.variant.detector](),
                policy=REPAIRS[self.variant.policy](**self.variant.options),
            )
            for number in range(self.size.domains)
        ]

    def _trace(self, length_s: float):
        return draw_trace(
            rng=np.random.default_rng([self.seed, len(self.size.name)]),
            domains=self.size.domains,
            instances=self.size.instances(self._spares()),
            length_s=length_s,
        )

    def _sum(self, totals) -> dict[str, float]:
        wanted_s = sum(one.wanted_group_s for one in totals)
        powered_s = sum(one.powered_s for one in totals)
        down_s = sum(one.down_group_s for one in totals)
        stranded_s = sum(one.stranded_s for one in totals)
        return {
            "group downtime": down_s / wanted_s * PPM,
            "stranded": stranded_s / powered_s * 100,
            "loads a day": sum(one.loads for one in totals) / self.size.days,
            "most loads at once": max(one.most_loading for one in totals),
            "bound downtime": sum(one.best_down_s for one in totals) / wanted_s * PPM,
            "bound stranded": sum(one.best_stranded_s for one in totals)
            / powered_s
            * 100,
            "weighted downtime": sum(one.weighted_down_s for one in totals) / powered_s,
        }


UNITS = {"group downtime": "ppm", "stranded": "%", "loads a day": "1"}


@register
class RepairBench(Bench):
    """Measures repair policies over the same drawn faults."""

    name = "repair"
    summary = "group downtime and stranded accelerators over fault traces"
    SPARES = (0, 1, 2, 3, 4)

    def run(self, *, seed, quick):
        today, target = TODAY, TARGET
        seeds = 8
        if quick:
            today = msgspec.structs.replace(TODAY, days=20.0)
            return self._compare(today, seed, 3)
        return [
            *self._compare(today, seed, seeds),
            *self._compare(target, seed, 4),
            *self._trade_off(today, seed, 4),
        ]

    def _compare(self, size: Size, seed: int, seeds: int) -> list[Figure]:
        figures = []
        for variant in VARIANTS:
            runs = _runs(size, variant, seed, seeds)
            figures += _figures(runs, variant.name, size.name)
        bound = {
            "group downtime": [one["bound downtime"] for one in runs],
            "stranded": [one["bound stranded"] for one in runs],
        }
        for name, values in bound.items():
            figures.append(_figure(name, values, "knows the future", size.name))
        return figures

    def _trade_off(self, size: Size, seed: int, seeds: int) -> list[Figure]:
        """Return both figures by spares, and the cost under the sample weights."""
        figures = []
        for policy, detector in (("weighted", "graded"), ("immediate", "timeout")):
            costs: dict[str, list[float]] = {name: [] for name in SAMPLES}
            for spares in self.SPARES:
                variant = Variant(
                    name=policy, policy=policy, detector=detector, spares=spares
                )
                runs = _runs(size, variant, seed, seeds)
                at = f"{spares} spares"
                for name in ("group downtime", "stranded"):
                    values = [one[name] for one in runs]
                    figures.append(_figure(f"{name} by spares", values, policy, at))
                for sample, (down, stranded) in SAMPLES.items():
                    values = [_cost(one, down, stranded) for one in runs]
                    costs[sample].append(float(np.mean(values)))
                    figures.append(_figure(f"cost {sample}", values, policy, at))
            for sample, values in costs.items():
                figures.append(
                    Figure(
                        name=f"cheapest spares {sample}",
                        value=float(np.argmin(values)),
                        unit="1",
                        series=policy,
                    )
                )
        return figures


def _runs(size: Size, variant: Variant, seed: int, seeds: int):
    return [
        RepairRun(size=size, variant=variant, seed=seed + number).run()
        for number in range(seeds)
    ]


def _cost(figures: dict[str, float], down: float, stranded: float) -> float:
    """Return the cost as a share of all accelerators, at two weights."""
    return down * figures["weighted downtime"] + stranded * figures["stranded"] / 100


def _figures(runs: list[dict[str, float]], series: str, at: str) -> list[Figure]:
    names = ("group downtime", "stranded", "loads a day", "most loads at once")
    return [_figure(name, [one[name] for one in runs], series, at) for name in names]


def _figure(name: str, values: list[float], series: str, at: str) -> Figure:
    unit = next((unit for key, unit in UNITS.items() if name.startswith(key)), "1")
    return Figure(
        name=name,
        value=float(np.mean(values)),
        unit=unit,
        series=series,
        at=at,
        spread=confidence_half(values),
    )
