"""Drawn fault traces for the repair benchmark."""

from enum import Enum

import msgspec
import numpy as np

DAY_S = 86_400.0
RATE_INSTANCES = 4_800  # number of instances to which `Rates` refer


class FaultKind(Enum):
    """Kind of a fault of instances."""

    PAUSE = "pause"  # silent, then back with its state
    RESTART = "restart"  # silent, then back without its state
    REPLACE = "replace"  # leaves with notice, then back without its state
    DEATH = "death"  # silent until it is replaced
    RACK_FAILURE = "rack"  # several deaths at once
    DARK = "dark"  # a whole fabric domain silent, then back with its state
    POWER_LOSS = "outage"  # a whole fabric domain without power


class Fault(msgspec.Struct, frozen=True):
    """Fault that starts at ``at_s`` and lasts ``lasts_s``, both in seconds.

    ``domain`` is the number of the fabric domain, ``instances`` are numbers in it.
    """

    at_s: float
    kind: FaultKind
    domain: int
    instances: tuple[int, ...]
    lasts_s: float


class Rates(msgspec.Struct, frozen=True, kw_only=True):
    """Faults a day among `RATE_INSTANCES` instances, from the users' requirements.

    The rate of pauses is not among the requirements.
    """

    deaths: float = 12.0
    # Restarts and replacements, planned ones included, are 52 a day together.
    restarts: float = 26.0
    replacements: float = 26.0
    racks: float = 1.0 / 45.0
    pauses: float = 48.0
    domain_losses: float = 1.5 / 365.0 / 6.0  # for each fabric domain


RACK_INSTANCES = 8
MEAN_DEATH_S = 4 * 3_600.0
MEAN_RACK_S = 2 * 3_600.0
MEAN_RESTART_S = 300.0
MEAN_DARK_S = 1_800.0
MEDIAN_PAUSE_S = 8.0
PAUSE_SIGMA = 1.0  # standard deviation of the logarithm of a duration


def draw_trace(
    *,
    rng: np.random.Generator,
    domains: int,
    instances: int,
    length_s: float,
    rates: Rates = Rates(),
) -> list[Fault]:
    """Return faults over ``length_s`` seconds, in order of time.

    Each of the ``domains`` fabric domains has ``instances`` instances.
    """
    scale = domains * instances / RATE_INSTANCES * length_s / DAY_S
    kind_rates = (
        (FaultKind.DEATH, rates.deaths * scale, MEAN_DEATH_S),
        (FaultKind.RESTART, rates.restarts * scale, MEAN_RESTART_S),
        (FaultKind.REPLACE, rates.replacements * scale, MEAN_RESTART_S),
        (FaultKind.PAUSE, rates.pauses * scale, None),
        (FaultKind.RACK_FAILURE, rates.racks * scale, MEAN_RACK_S),
        (
            FaultKind.DARK,
            _expected_domain_losses(rates, domains, length_s),
            MEAN_DARK_S,
        ),
        (
            FaultKind.POWER_LOSS,
            _expected_domain_losses(rates, domains, length_s),
            MEAN_DARK_S,
        ),
    )
    faults = []
    for kind, expected, mean_s in kind_rates:
        for _ in range(int(rng.poisson(expected))):
            faults.append(_draw_fault(rng, kind, domains, instances, length_s, mean_s))
    return sorted(faults, key=lambda fault: fault.at_s)


def _expected_domain_losses(rates: Rates, domains: int, length_s: float) -> float:
    return rates.domain_losses / 2 * domains * length_s / DAY_S


def _draw_fault(rng, kind, domains, instances, length_s, mean_s) -> Fault:
    first = int(rng.integers(instances))
    affected: tuple[int, ...] = (first,)
    if kind is FaultKind.RACK_FAILURE:
        start = first // RACK_INSTANCES * RACK_INSTANCES
        affected = tuple(range(start, min(start + RACK_INSTANCES, instances)))
    elif kind in (FaultKind.DARK, FaultKind.POWER_LOSS):
        affected = tuple(range(instances))
    if mean_s is None:
        lasts_s = MEDIAN_PAUSE_S * float(np.exp(PAUSE_SIGMA * rng.normal()))
    else:
        lasts_s = float(rng.gamma(2.0, mean_s / 2.0))
    return Fault(
        at_s=float(rng.uniform(0, length_s)),
        kind=kind,
        domain=int(rng.integers(domains)),
        instances=affected,
        lasts_s=lasts_s,
    )
