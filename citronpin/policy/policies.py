"""Builds the policies that settings name, with the options that they take."""

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
    """Call ``make`` with those of the values that it takes."""
    known = inspect.signature(make).parameters
    options = given | values
    return make(**{key: value for key, value in options.items() if key in known})


def make_router(*, cfg: Settings, rng: Generator) -> RoutePolicy:
    """Return the route policy of section ``routing``."""
    values = cfg.section("routing")
    return _build(ROUTERS[values["policy"]], values, rng=rng)


def make_admission(*, cfg: Settings, rng: Generator) -> AdmissionPolicy:
    """Return a new admission policy of section ``admission``, for one deployment."""
    values = cfg.section("admission")
    return _build(ADMISSIONS[values["policy"]], values, rng=rng)


def make_retry_budget(*, cfg: Settings) -> RetryBudget:
    """Return the retry budget of section ``admission``."""
    values = cfg.section("admission")
    return RetryBudget(share=values["retry_share"], reserve=values["retry_reserve"])


def make_hedge(*, cfg: Settings, budget: RetryBudget) -> HedgePolicy:
    """Return the hedge policy of section ``admission``."""
    percentile = cfg.section("admission")["hedge_percentile"]
    return HedgePolicy(budget=budget, percentile=percentile)


def make_limits(*, cfg: Settings, entry: EntryId) -> SharedLimits:
    """Return the limits of section ``limits`` for one kind of unit."""
    return _build(SharedLimits, cfg.section("limits"), entry=entry)


def make_repair(*, cfg: Settings) -> RepairPolicy:
    """Return the repair policy of section ``repair``."""
    values = cfg.section("repair")
    return _build(REPAIRS[values["policy"]], values)


def make_detector(*, cfg: Settings) -> Detector:
    """Return a new detector of section ``repair``, for one fabric domain."""
    values = dict(cfg.section("repair"))
    if values["detector"] == "timeout":
        del values["dead_after_s"]
    return _build(DETECTORS[values["detector"]], values)


def make_placement(*, cfg: Settings) -> PlacementPolicy:
    """Return the placement policy of section ``repair``."""
    return PLACEMENTS[cfg.section("repair")["placement"]]()
