"""The route policy by prefix affinity and load."""

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
    GroupLoad,
    RoutePolicy,
    RouteRequest,
    register,
    rendezvous,
)

logger = logging.getLogger(__name__)

SMOOTHING = 0.2
STRAGGLER_RATIO = 1.5
MAX_SLOWNESS = 10.0
REPORT_MAX_AGE_S = 10.0
MIN_PEERS = 3


class GroupBelief(msgspec.Struct):
    """What one entry believes of a group."""

    view: CacheView
    reported: float = 0.0  # running and queued, by the latest report
    reported_s: float | None = None  # clock time that the report describes
    sent: deque = msgspec.field(default_factory=deque)  # own dispatches, by time
    finished: deque = msgspec.field(default_factory=deque)  # own ends, by time
    stream_rate: float | None = None  # tokens a second a stream, reported
    between_s: float | None = None  # mean time between tokens, observed


@register
class AffinityRoute(RoutePolicy):
    """Weighs the prefix blocks a group lacks against its load and slowness.

    Candidates are the groups whose caches are believed to hold the most of the
    prefix, the rendezvous homes of the prefix at several depths, which all entries
    agree on without a message, and a few at random. A candidate above ``load_bound``
    times the mean load is passed over. The cost is in seconds.
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
        self._beliefs: dict[GroupId, GroupBelief] = {}
        self._medians: tuple[float | None, float | None] = (None, None)
        self._medians_s = -1.0

    def choose(self, *, req, groups, now_s):
        if not groups:
            return None
        self._refresh_medians(now_s)
        fills = self._fills(groups, now_s)
        homes = self._homes(req, groups)
        candidates = self._candidates(req, groups, homes)
        bound = self._load_bound * sum(fills.values()) / len(fills)
        light = [group for group in candidates if fills[group] <= bound]
        if not light:
            return min(candidates, key=lambda group: self._slow(group) * fills[group])
        return min(light, key=lambda group: self._cost(req, group, homes, fills))

    def _homes(self, req: RouteRequest, groups) -> dict[GroupId, int]:
        """Return a home for each depth of the prefix, with the depth.

        A prefix that many requests share has as many homes as its share of the
        requests needs, and one of them is drawn.
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
        found = dict.fromkeys(self._cached(req, groups))
        found.update(dict.fromkeys(homes))
        for index in self._rng.integers(len(groups), size=self._random_choices):
            found[groups[int(index)].group] = None
        return list(found)

    def _cached(self, req: RouteRequest, groups: Sequence[GroupLoad]) -> list[GroupId]:
        held = []
        for load in groups:
            belief = self._beliefs.get(load.group)
            blocks = belief.view.expected(req.blocks) if belief else 0
            if blocks:
                held.append((blocks, self._rng.random(), load.group))
        held.sort(reverse=True)
        return [group for _, _, group in held[: self._cached_choices]]

    def _cost(self, req: RouteRequest, group: GroupId, homes, fills) -> float:
        belief = self._beliefs.get(group)
        held = belief.view.expected(req.blocks) if belief else 0
        held = max(held, self._home_trust * homes.get(group, 0))
        missing_s = (len(req.blocks) - held) * self._block_s
        fill = fills[group]
        wait_s = self._load_s * fill + self._queue_s * max(fill - 1.0, 0.0)
        return self._slow(group) * (missing_s + wait_s)

    def _fills(self, groups: Sequence[GroupLoad], now_s: float) -> dict:
        """Return the believed load of each group a slot.

        Reports are shrunk towards their mean, since they describe the past; the
        requests of this entry above its own mean count ``own_weight`` fold, since
        other entries spread theirs in the same way.
        """
        loads = [self._load(load.group, now_s) for load in groups]
        own = [self.in_flight(load.group) for load in groups]
        mean, own_mean = sum(loads) / len(loads), sum(own) / len(own)
        fills = {}
        for load, total, mine in zip(groups, loads, own):
            believed = mean + self._report_trust * (total - mean)
            believed += self._own_weight * (mine - own_mean)
            fills[load.group] = max(believed, 0.0) / load.slots
        return fills

    def _load(self, group: GroupId, now_s: float) -> float:
        """Return the reported load, with what this entry did since then."""
        belief = self._beliefs.get(group)
        own = self.in_flight(group)
        if belief is None or belief.reported_s is None:
            return own
        if now_s - belief.reported_s > REPORT_MAX_AGE_S:
            return own
        change = len(belief.sent) - len(belief.finished)
        return max(belief.reported + change, own)

    def _slow(self, group: GroupId) -> float:
        """Return how many times slower than its peers the group is, or 1."""
        belief = self._beliefs.get(group)
        if belief is None:
            return 1.0
        rate, between = self._medians
        ratio = 1.0
        if rate and belief.stream_rate:
            ratio = max(ratio, rate / belief.stream_rate)
        if between and belief.between_s:
            ratio = max(ratio, belief.between_s / between)
        return min(ratio, MAX_SLOWNESS) if ratio >= STRAGGLER_RATIO else 1.0

    def _refresh_medians(self, now_s: float) -> None:
        if now_s - self._medians_s < 1.0 and self._medians_s >= 0:
            return
        self._medians_s = now_s
        beliefs = self._beliefs.values()
        self._medians = (
            _median([belief.stream_rate for belief in beliefs]),
            _median([belief.between_s for belief in beliefs]),
        )

    def _belief(self, group: GroupId) -> GroupBelief:
        if group not in self._beliefs:
            self._beliefs[group] = GroupBelief(view=CacheView())
        return self._beliefs[group]

    def started(self, *, group, req, now_s):
        super().started(group=group, req=req, now_s=now_s)
        belief = self._belief(group)
        belief.sent.append(now_s)
        belief.view.touch(req.blocks)

    def ended(self, *, group, req, now_s, failed=False, between_tokens_s=None):
        super().ended(group=group, req=req, now_s=now_s)
        belief = self._belief(group)
        belief.finished.append(now_s)
        if between_tokens_s is not None:
            belief.between_s = _smooth(belief.between_s, between_tokens_s)

    def loads(self, *, group, status: EngineStatus, now_s):
        belief = self._belief(group)
        measured_s = now_s - status.load_age_ms / 1_000
        if belief.reported_s is not None and measured_s < belief.reported_s:
            return
        belief.reported = status.running + status.queued
        belief.reported_s = measured_s
        for times in (belief.sent, belief.finished):
            while times and times[0] <= measured_s:
                times.popleft()
        if status.running and status.tokens_per_s:
            rate = status.tokens_per_s / status.running
            belief.stream_rate = _smooth(belief.stream_rate, rate)

    def cache_events(self, *, group, events, now_s):
        self._belief(group).view.apply(events)

    def forget_group(self, *, group):
        self._beliefs.pop(group, None)


def _depths(blocks: Sequence[str]) -> list[int]:
    """Return the depths 2, 4, 8, ... within a prefix."""
    depths = []
    depth = 2
    while depth <= len(blocks):
        depths.append(depth)
        depth *= 2
    return depths


class Popularity:
    """The share of recent requests that begin with each prefix block."""

    HALF_LIFE = 500  # requests
    LEAST = 0.25

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
        """Count one request; every half-life all counts are halved."""
        self._total += 1.0
        self._requests += 1
        if self._requests % self.HALF_LIFE:
            return
        self._total /= 2
        halved = {block: count / 2 for block, count in self._counts.items()}
        self._counts = {
            block: count for block, count in halved.items() if count > self.LEAST * 2
        }


def _median(values: list[float | None]) -> float | None:
    known = [value for value in values if value]
    return float(np.median(known)) if len(known) >= MIN_PEERS else None


def _smooth(old: float | None, new: float) -> float:
    return new if old is None else old + SMOOTHING * (new - old)
