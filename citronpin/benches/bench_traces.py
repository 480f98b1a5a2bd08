"""Drawn fault traces for the repair benchmark."""

from enum import Enum

import msgspec
import numpy as np

DAY_S = 86_400.0
TARGET_INSTANCES = 4_800  # the letter's rates are for this many


class FaultKind(Enum):
    """What happens to instances."""

    PAUSE = "pause"  # silent, then back as if nothing happened
    RESTART = "restart"  # silent, then back without what it held
    REPLACE = "replace"  # leaves with notice, then back without what it held
    DEATH = "death"  # silent until it is replaced
    RACK = "rack"  # several deaths at once
    DARK = "dark"  # a whole fabric domain silent, then back whole
    OUTAGE = "outage"  # a whole fabric domain without power


class Fault(msgspec.Struct, frozen=True):
    """One fault; ``instances`` are numbers within the fabric domain."""

    at_s: float
    kind: FaultKind
    domain: int
    instances: tuple[int, ...]
    lasts_s: float


class Rates(msgspec.Struct, frozen=True, kw_only=True):
    """Faults a day at the target size, from the letter; pauses are assumed."""

    deaths: float = 12.0
    restarts: float = 26.0  # with the planned ones: 52 restarted or replaced
    replacements: float = 26.0
    racks: float = 1.0 / 45.0
    pauses: float = 48.0
    domain_losses: float = 1.5 / 365.0 / 6.0  # of each fabric domain


RACK_INSTANCES = 8
MEAN_DEATH_S = 4 * 3_600.0
MEAN_RACK_S = 2 * 3_600.0
MEAN_RESTART_S = 300.0
MEAN_DARK_S = 1_800.0
MEDIAN_PAUSE_S = 8.0
PAUSE_SIGMA = 1.0  # of the logarithm


def draw_trace(
    *,
    rng: np.random.Generator,
    domains: int,
    instances: int,
    length_s: float,
    rates: Rates = Rates(),
) -> list[Fault]:
    """Return the faults of ``domains`` fabric domains, in order of time."""
    scale = domains * instances / TARGET_INSTANCES * length_s / DAY_S
    plan = (
        (FaultKind.DEATH, rates.deaths * scale, MEAN_DEATH_S),
        (FaultKind.RESTART, rates.restarts * scale, MEAN_RESTART_S),
        (FaultKind.REPLACE, rates.replacements * scale, MEAN_RESTART_S),
        (FaultKind.PAUSE, rates.pauses * scale, None),
        (FaultKind.RACK, rates.racks * scale, MEAN_RACK_S),
        (FaultKind.DARK, _losses(rates, domains, length_s), MEAN_DARK_S),
        (FaultKind.OUTAGE, _losses(rates, domains, length_s), MEAN_DARK_S),
    )
    faults = []
    for kind, expected, mean_s in plan:
        for _ in range(int(rng.poisson(expected))):
            faults.append(_draw(rng, kind, domains, instances, length_s, mean_s))
    return sorted(faults, key=lambda fault: fault.at_s)


def _losses(rates: Rates, domains: int, length_s: float) -> float:
    return rates.domain_losses / 2 * domains * length_s / DAY_S


def _draw(rng, kind, domains, instances, length_s, mean_s) -> Fault:
    first = int(rng.integers(instances))
    hit: tuple[int, ...] = (first,)
    if kind is FaultKind.RACK:
        start = first // RACK_INSTANCES * RACK_INSTANCES
        hit = tuple(range(start, min(start + RACK_INSTANCES, instances)))
    elif kind in (FaultKind.DARK, FaultKind.OUTAGE):
        hit = tuple(range(instances))
    if mean_s is None:
        lasts_s = MEDIAN_PAUSE_S * float(np.exp(PAUSE_SIGMA * rng.normal()))
    else:
        lasts_s = float(rng.gamma(2.0, mean_s / 2.0))
    return Fault(
        at_s=float(rng.uniform(0, length_s)),
        kind=kind,
        domain=int(rng.integers(domains)),
        instances=hit,
        lasts_s=lasts_s,
    )
