"""Benchmark of repair: group downtime and stranded accelerators over fault traces.

An accelerator is stranded while it has power but belongs to no serving group.
"""

import logging
from importlib import resources

import msgspec
import numpy as np

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import DeploymentName, ModelName, Version
from citronpin.benches.bench_domains import (
    SimulatedDomain,
    WeightStore,
    confidence_half_width,
)
from citronpin.benches.bench_traces import DAY_S, draw_trace
from citronpin.benches.benches import Bench, Figure, register
from citronpin.policy.detectors import DETECTORS
from citronpin.policy.repairs import REPAIRS
from citronpin.policy.weighted_repairs import MINUTES_PER_WEEK, critical_period_factor
from citronpin.state.manifest_files import read_manifests
from citronpin.state.manifests import DeploymentManifest

logger = logging.getLogger(__name__)

PPM = 1_000_000


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a simulated system; deployments and spares are those of each domain."""

    name: str
    domains: int
    deployments: tuple[DeploymentManifest, ...]
    days: float
    spares: int = 2

    def instances(self, spares: int) -> int:
        """Return the number of instances of a domain that has ``spares`` spares."""
        return spares + sum(one.groups * one.members for one in self.deployments)


class Variant(msgspec.Struct, frozen=True, kw_only=True):
    """Repair policy, detector and spares of each domain that are compared."""

    name: str
    policy: str
    detector: str
    spares: int | None = None  # None: as many as the size states
    options: dict = {}


def make_deployment(name: str, groups: int, members: int) -> DeploymentManifest:
    """Return a deployment manifest whose model has the same name."""
    return DeploymentManifest(
        name=DeploymentName(name),
        model=ModelName(name),
        version=Version("1"),
        groups=groups,
        members=members,
    )


TODAY = Size(
    name="today",
    domains=6,
    deployments=(make_deployment("assistant", 10, 4),),
    days=60.0,
)
TARGET = Size(
    name="target",
    domains=40,
    deployments=(make_deployment("assistant", 14, 6), make_deployment("large", 1, 32)),
    days=2.0,
    spares=4,
)
VARIANTS = (
    Variant(name="no spares", policy="immediate", detector="timeout", spares=0),
    Variant(name="one spare", policy="immediate", detector="timeout", spares=1),
    Variant(name="immediate", policy="immediate", detector="timeout"),
    Variant(name="dissolve", policy="dissolve", detector="timeout"),
    Variant(name="weighted", policy="weighted", detector="graded"),
)
SAMPLE_NAMES = ("kanekura", "moulin")
WEEK_STEP_MINUTES = 15  # between the points of a week at which weights are averaged


class RepairRun(msgspec.Struct, frozen=True, kw_only=True):
    """Simulation of one variant over one drawn fault trace."""

    size: Size
    variant: Variant
    seed: int

    def run(self) -> dict[str, float]:
        """Run the simulation and return the figures by name.

        Downtimes are in parts per million of the group time wanted, stranded
        accelerators in percent of those with power; "weighted downtime" is the
        share of accelerators whose group is down.
        """
        clock = PausedClock()
        domains = self._domains(clock)
        length_s = self.size.days * DAY_S
        for fault in self._trace(length_s):
            domain = domains[fault.domain]
            clock.call_later(fault.at_s, lambda d=domain, f=fault: d.inject(f))
        clock.advance(length_s)
        for domain in domains:
            domain.accumulate_totals()
        return self._run_figures([domain.totals for domain in domains])

    def _spare_count(self) -> int:
        variant_spares = self.variant.spares
        return self.size.spares if variant_spares is None else variant_spares

    def _domains(self, clock: PausedClock) -> list[SimulatedDomain]:
        store = WeightStore()
        return [
            SimulatedDomain(
                number=number,
                size=self.size.instances(self._spare_count()),
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
            instances=self.size.instances(self._spare_count()),
            length_s=length_s,
        )

    def _run_figures(self, totals) -> dict[str, float]:
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
    """Measures every variant over the same drawn fault traces."""

    name = "repair"
    summary = "group downtime and stranded accelerators over fault traces"
    SPARE_COUNTS = (0, 1, 2, 3)

    def run(self, *, seed, quick):
        if quick:
            today = msgspec.structs.replace(TODAY, days=20.0)
            return self._compare(today, seed, 3)
        return [
            *self._compare(TODAY, seed, 6),
            *self._compare(TARGET, seed, 3),
            *self._trade_off(TODAY, seed, 4),
        ]

    def _compare(self, size: Size, seed: int, seed_count: int) -> list[Figure]:
        figures = []
        downtimes = {}
        for variant in VARIANTS:
            runs = _runs(size, variant, seed, seed_count)
            figures += _figures(runs, variant.name, size.name)
            downtimes[variant.name] = [one["group downtime"] for one in runs]
        for name in ("dissolve", "weighted"):  # ratios pair runs over the same trace
            pairs = zip(downtimes[name], downtimes["immediate"])
            ratios = [own / immediate for own, immediate in pairs]
            figures.append(_figure("ratio to immediate", ratios, name, size.name))
        bound = {
            "group downtime": [one["bound downtime"] for one in runs],
            "stranded": [one["bound stranded"] for one in runs],
        }
        for name, values in bound.items():
            figures.append(_figure(name, values, "knows the future", size.name))
        return figures

    def _trade_off(self, size: Size, seed: int, seed_count: int) -> list[Figure]:
        """Return downtime, stranded accelerators and cost by number of spares.

        Costs use the weights of each sample's deployment.
        """
        figures = []
        for policy, detector in (("weighted", "graded"), ("immediate", "timeout")):
            costs: dict[str, list[float]] = {name: [] for name in SAMPLE_NAMES}
            mean_shares: list[tuple[float, float]] = []
            spare_counts = (
                self.SPARE_COUNTS if policy == "weighted" else self.SPARE_COUNTS[:3]
            )
            for spares in spare_counts:
                variant = Variant(
                    name=policy, policy=policy, detector=detector, spares=spares
                )
                runs = _runs(size, variant, seed, seed_count)
                at = f"{spares} spares"
                mean_shares.append(_mean_shares(runs))
                for name in ("group downtime", "stranded"):
                    values = [one[name] for one in runs]
                    figures.append(_figure(f"{name} by spares", values, policy, at))
                for sample in SAMPLE_NAMES:
                    values = [
                        _weighted_cost(one, *sample_weights(sample)) for one in runs
                    ]
                    costs[sample].append(float(np.mean(values)))
                    figures.append(_figure(f"cost {sample}", values, policy, at))
            figures += _break_even(mean_shares, policy)
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


def sample_weights(name: str) -> tuple[float, float]:
    """Return the downtime weight, as its mean over a week, and the stranded weight.

    They are those of the first deployment in the sample file ``name``.
    """
    source = resources.files("citronpin") / "samples" / f"{name}.toml"
    with resources.as_file(source) as path:
        contents = read_manifests(path).unwrap()
    deployment = next(
        one for one in contents.manifests if isinstance(one, DeploymentManifest)
    )
    week_minutes = range(0, MINUTES_PER_WEEK, WEEK_STEP_MINUTES)
    factors = [critical_period_factor(deployment, minute) for minute in week_minutes]
    return (
        deployment.downtime_weight * float(np.mean(factors)),
        deployment.stranded_weight,
    )


def _runs(size: Size, variant: Variant, seed: int, seed_count: int):
    return [
        RepairRun(size=size, variant=variant, seed=seed + number).run()
        for number in range(seed_count)
    ]


def _mean_shares(runs) -> tuple[float, float]:
    """Return the mean shares of accelerators that are down and that are stranded."""
    down = float(np.mean([one["weighted downtime"] for one in runs]))
    return down, float(np.mean([one["stranded"] for one in runs])) / 100


def _break_even(mean_shares: list[tuple[float, float]], series: str) -> list[Figure]:
    """Return the ratio of downtime to stranded weight from which each spare pays."""
    figures = []
    for spares in range(1, len(mean_shares)):
        down_saved = mean_shares[spares - 1][0] - mean_shares[spares][0]
        stranded_added = mean_shares[spares][1] - mean_shares[spares - 1][1]
        if down_saved > 0:
            figures.append(
                Figure(
                    name="downtime to stranded weight that pays",
                    value=stranded_added / down_saved,
                    unit="1",
                    series=series,
                    at=f"{spares} spares",
                )
            )
    return figures


def _weighted_cost(
    figures: dict[str, float], weight_down: float, weight_stranded: float
) -> float:
    """Return the weighted sum of the accelerators down and stranded, as a share."""
    return (
        weight_down * figures["weighted downtime"]
        + weight_stranded * figures["stranded"] / 100
    )


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
        spread=confidence_half_width(values),
    )
