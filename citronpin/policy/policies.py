"""Factories of the policies that the settings select, with their options."""

import inspect
from collections.abc import Callable

from numpy.random import Generator

from citronpin.backends.retries import HedgePolicy, RetryBudget
from citronpin.basics.ids import EntryId
from citronpin.basics.settings import Settings
from citronpin.policy import (  # noqa: F401
    affinities,
    weighted_admissions,
    weighted_repairs,
)
from citronpin.policy.admissions import ADMISSIONS, AdmissionPolicy
from citronpin.policy.detectors import DETECTORS
from citronpin.policy.limits import SharedLimits
from citronpin.policy.placements import PLACEMENTS
from citronpin.policy.plans import Detector, PlacementPolicy, RepairPolicy
from citronpin.policy.repairs import REPAIRS
from citronpin.policy.routers import ROUTERS, RoutePolicy


def _build(make: Callable, values: dict, **given):
    """Call ``make`` with those of ``values`` and ``given`` that are its parameters."""
    parameters = inspect.signature(make).parameters
    options = given | values
    return make(**{key: value for key, value in options.items() if key in parameters})


def make_router(*, cfg: Settings, rng: Generator) -> RoutePolicy:
    """Return a new route policy as set in section ``routing``."""
    values = cfg.section("routing")
    return _build(ROUTERS[values["policy"]], values, rng=rng)


def make_admission(*, cfg: Settings, rng: Generator) -> AdmissionPolicy:
    """Return a new admission policy for one deployment, as set in ``admission``."""
    values = cfg.section("admission")
    return _build(ADMISSIONS[values["policy"]], values, rng=rng)


def make_retry_budget(*, cfg: Settings) -> RetryBudget:
    """Return a new retry budget as set in section ``admission``."""
    values = cfg.section("admission")
    return RetryBudget(share=values["retry_share"], reserve=values["retry_reserve"])


def make_hedge(*, cfg: Settings, budget: RetryBudget) -> HedgePolicy:
    """Return a new hedge policy as set in section ``admission``."""
    percentile = cfg.section("admission")["hedge_percentile"]
    return HedgePolicy(budget=budget, percentile=percentile)


def make_limits(*, cfg: Settings, entry: EntryId) -> SharedLimits:
    """Return new rate limits for one kind of unit, as set in section ``limits``."""
    return _build(SharedLimits, cfg.section("limits"), entry=entry)


def make_repair(*, cfg: Settings) -> RepairPolicy:
    """Return a new repair policy as set in section ``repair``."""
    values = cfg.section("repair")
    return _build(REPAIRS[values["policy"]], values)


def make_detector(*, cfg: Settings) -> Detector:
    """Return a new failure detector for one fabric domain, as set in ``repair``.

    ``dead_after_s`` applies to the graded detector only; the timeout detector keeps its
    default.
    """
    values = dict(cfg.section("repair"))
    if values["detector"] == "timeout":
        del values["dead_after_s"]
    return _build(DETECTORS[values["detector"]], values)


def make_placement(*, cfg: Settings) -> PlacementPolicy:
    """Return a new placement policy as set in section ``repair``."""
    return PLACEMENTS[cfg.section("repair")["placement"]]()
