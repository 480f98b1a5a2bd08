"""The route policy that weighs prefix cache affinity against load."""

import logging
import math
from collections import deque
from collections.abc import Sequence

import msgspec
import numpy as np

from citronpin.backends.engines import EngineStatus
from citronpin.basics.ids import GroupId
from citronpin.policy.prefixes import CacheView
from citronpin.policy.routers import (
    RouteCandidate,
    RoutePolicy,
    RouteRequest,
    register,
    rendezvous,
)

logger = logging.getLogger(__name__)

SPEED_SMOOTHING = 0.2  # weight of the newest sample
STRAGGLER_RATIO = 1.5  # slowdown below which a group counts as normal
MAX_SLOWDOWN = 10.0
MAX_REPORT_AGE_S = 10.0
MIN_GROUPS_FOR_MEDIAN = 3


class GroupEstimate(msgspec.Struct):
    """The cache contents, load and speed of a group as one entry estimates them."""

    view: CacheView
    reported: float = 0.0  # running and queued requests in the latest load report
    reported_s: float | None = None  # clock time at which the report was measured
    # Clock times at which this entry dispatched and ended requests since the report.
    sent: deque = msgspec.field(default_factory=deque)
    finished: deque = msgspec.field(default_factory=deque)
    stream_rate: float | None = None  # reported tokens per second and stream
    between_s: float | None = None  # observed mean time between tokens


@register
class AffinityRoute(RoutePolicy):
    """Chooses the group with the lowest cost of missing prefix blocks, load and delay.

    The candidates are the groups whose caches are estimated to hold the most of the
    prefix, the rendezvous homes of the prefix at several depths, on which all entries
    agree without a message, and a few random groups. A candidate above ``load_bound``
    times the mean load is skipped. The cost is in seconds.
    """

    name = "affinity"

    def __init__(
        self,
        *,
        rng,
        block_s: float = 0.01,
        load_s: float = 0.2,
        queue_s: float = 4.0,
        load_bound: float = 1.25,
        random_choices: int = 3,
        cached_choices: int = 2,
        own_weight: float = 9.0,
        report_trust: float = 0.7,
        home_trust: float = 0.7,
        home_spread: float = 2.0,
    ) -> None:
        super().__init__(rng=rng)
        self._block_s = block_s
        self._load_s = load_s
        self._queue_s = queue_s
        self._load_bound = load_bound
        self._random_choices = random_choices
        self._cached_choices = cached_choices
        self._own_weight = own_weight
        self._report_trust = report_trust
        self._home_trust = home_trust
        self._home_spread = home_spread
        self._popularity = Popularity()
        self._estimates: dict[GroupId, GroupEstimate] = {}
        self._medians: tuple[float | None, float | None] = (None, None)
        self._medians_updated_s = -1.0

    def choose(self, *, req, groups, now_s):
        if not groups:
            return None
        self._refresh_medians(now_s)
        loads_per_slot = self._loads_per_slot(groups, now_s)
        homes = self._draw_homes(req, groups)
        candidates = self._candidates(req, groups, homes)
        bound = self._load_bound * sum(loads_per_slot.values()) / len(loads_per_slot)
        within_bound = [group for group in candidates if loads_per_slot[group] <= bound]
        if not within_bound:
            return min(
                candidates,
                key=lambda group: self._slowdown(group) * loads_per_slot[group],
            )
        return min(
            within_bound,
            key=lambda group: self._cost(req, group, homes, loads_per_slot),
        )

    def _draw_homes(self, req: RouteRequest, groups) -> dict[GroupId, int]:
        """Return one home group for each depth of the prefix, with its depth.

        The number of homes of a prefix is proportional to its share of the requests;
        one of them is drawn at random.
        """
        homes = {}
        for depth in _depths(req.blocks):
            block = req.blocks[depth - 1]
            share = self._popularity.add(block)
            count = math.ceil(share * len(groups) * self._home_spread)
            count = min(max(count, 1), len(groups))
            order = rendezvous(block, groups)
            homes[order[int(self._rng.integers(count))]] = depth
        self._popularity.count_request()
        return homes

    def _candidates(self, req: RouteRequest, groups, homes) -> list[GroupId]:
        candidates = dict.fromkeys(self._groups_by_cache(req, groups))
        candidates.update(dict.fromkeys(homes))
        for index in self._rng.integers(len(groups), size=self._random_choices):
            candidates[groups[int(index)].group] = None
        return list(candidates)

    def _groups_by_cache(
        self, req: RouteRequest, groups: Sequence[RouteCandidate]
    ) -> list[GroupId]:
        cached = []
        for candidate in groups:
            estimate = self._estimates.get(candidate.group)
            blocks = estimate.view.count_expected(req.blocks) if estimate else 0
            if blocks:
                cached.append((blocks, self._rng.random(), candidate.group))
        cached.sort(reverse=True)
        return [group for _, _, group in cached[: self._cached_choices]]

    def _cost(self, req: RouteRequest, group: GroupId, homes, loads_per_slot) -> float:
        estimate = self._estimates.get(group)
        cached_blocks = estimate.view.count_expected(req.blocks) if estimate else 0
        cached_blocks = max(cached_blocks, self._home_trust * homes.get(group, 0))
        missing_s = (len(req.blocks) - cached_blocks) * self._block_s
        load_per_slot = loads_per_slot[group]
        wait_s = self._load_s * load_per_slot + self._queue_s * max(
            load_per_slot - 1.0, 0.0
        )
        return self._slowdown(group) * (missing_s + wait_s)

    def _loads_per_slot(self, groups: Sequence[RouteCandidate], now_s: float) -> dict:
        """Return the estimated load per slot of each group.

        Reported loads are shrunk towards their mean, since they are out of date. The
        requests of this entry in excess of its mean per group are multiplied by
        ``own_weight``, since other entries distribute theirs in the same way.
        """
        loads = [self._load(candidate.group, now_s) for candidate in groups]
        own = [self.in_flight(candidate.group) for candidate in groups]
        mean, own_mean = sum(loads) / len(loads), sum(own) / len(own)
        loads_per_slot = {}
        for candidate, total, own_load in zip(groups, loads, own):
            load_estimate = mean + self._report_trust * (total - mean)
            load_estimate += self._own_weight * (own_load - own_mean)
            loads_per_slot[candidate.group] = max(load_estimate, 0.0) / candidate.slots
        return loads_per_slot

    def _load(self, group: GroupId, now_s: float) -> float:
        """Return the reported load, adjusted by this entry's requests since then."""
        estimate = self._estimates.get(group)
        own = self.in_flight(group)
        if estimate is None or estimate.reported_s is None:
            return own
        if now_s - estimate.reported_s > MAX_REPORT_AGE_S:
            return own
        change = len(estimate.sent) - len(estimate.finished)
        return max(estimate.reported + change, own)

    def _slowdown(self, group: GroupId) -> float:
        """Return the slowdown of the group against the median group.

        The factor is 1 below ``STRAGGLER_RATIO`` and at most ``MAX_SLOWDOWN``.
        """
        estimate = self._estimates.get(group)
        if estimate is None:
            return 1.0
        median_rate, median_between_tokens_s = self._medians
        ratio = 1.0
        if median_rate and estimate.stream_rate:
            ratio = max(ratio, median_rate / estimate.stream_rate)
        if median_between_tokens_s and estimate.between_s:
            ratio = max(ratio, estimate.between_s / median_between_tokens_s)
        return min(ratio, MAX_SLOWDOWN) if ratio >= STRAGGLER_RATIO else 1.0

    def _refresh_medians(self, now_s: float) -> None:
        if now_s - self._medians_updated_s < 1.0 and self._medians_updated_s >= 0:
            return
        self._medians_updated_s = now_s
        estimates = self._estimates.values()
        self._medians = (
            _median([estimate.stream_rate for estimate in estimates]),
            _median([estimate.between_s for estimate in estimates]),
        )

    def _estimate_of(self, group: GroupId) -> GroupEstimate:
        if group not in self._estimates:
            self._estimates[group] = GroupEstimate(view=CacheView())
        return self._estimates[group]

    def started(self, *, group, req, now_s):
        super().started(group=group, req=req, now_s=now_s)
        estimate = self._estimate_of(group)
        estimate.sent.append(now_s)
        estimate.view.touch(req.blocks)

    def ended(self, *, group, req, now_s, failed=False, between_tokens_s=None):
        super().ended(group=group, req=req, now_s=now_s)
        estimate = self._estimate_of(group)
        estimate.finished.append(now_s)
        if between_tokens_s is not None:
            estimate.between_s = _smooth(estimate.between_s, between_tokens_s)

    def record_load_report(self, *, group, status: EngineStatus, now_s):
        estimate = self._estimate_of(group)
        measured_s = now_s - status.load_age_ms / 1_000
        if estimate.reported_s is not None and measured_s < estimate.reported_s:
            return
        estimate.reported = status.running + status.queued
        estimate.reported_s = measured_s
        for times in (estimate.sent, estimate.finished):
            while times and times[0] <= measured_s:
                times.popleft()
        if status.running and status.tokens_per_s:
            rate = status.tokens_per_s / status.running
            estimate.stream_rate = _smooth(estimate.stream_rate, rate)

    def cache_events(self, *, group, events, now_s):
        self._estimate_of(group).view.apply(events)

    def forget_group(self, *, group):
        self._estimates.pop(group, None)


def _depths(blocks: Sequence[str]) -> list[int]:
    """Return the depths 2, 4, 8 and so on up to the number of blocks."""
    depths = []
    depth = 2
    while depth <= len(blocks):
        depths.append(depth)
        depth *= 2
    return depths


class Popularity:
    """Estimates the share of recent requests that contain each prefix block."""

    HALF_LIFE = 500  # in requests
    MIN_COUNT = 0.25

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._total = 0.0
        self._requests = 0

    def add(self, block: str) -> float:
        """Count a block of a request and return its share of the requests."""
        count = self._counts.get(block, 0.0) + 1.0
        self._counts[block] = count
        return (count - 1.0) / (self._total + 1.0)

    def count_request(self) -> None:
        """Count one request; halve all counts every ``HALF_LIFE`` requests."""
        self._total += 1.0
        self._requests += 1
        if self._requests % self.HALF_LIFE:
            return
        self._total /= 2
        halved = {block: count / 2 for block, count in self._counts.items()}
        self._counts = {
            block: count
            for block, count in halved.items()
            if count > self.MIN_COUNT * 2
        }


def _median(values: list[float | None]) -> float | None:
    known = [value for value in values if value]
    return float(np.median(known)) if len(known) >= MIN_GROUPS_FOR_MEDIAN else None


def _smooth(old: float | None, new: float) -> float:
    return new if old is None else old + SPEED_SMOOTHING * (new - old)
