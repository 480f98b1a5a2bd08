"""Route policies: which serving group a request is dispatched to.

A policy belongs to one entry. It uses the requests that this entry dispatches, load
reports that lag, and cache events that arrive late and with gaps; it never queries
other entries.
"""

import logging
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Sequence

import msgspec
import xxhash
from numpy.random import Generator

from citronpin.backends.engines import CacheEvent, EngineStatus
from citronpin.basics.ids import CustomerName, DeploymentName, GroupId, RequestId

logger = logging.getLogger(__name__)


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The attributes of a request that a route policy can use.

    ``blocks`` are the chained hashes of its prefix blocks, in the order of the prompt.
    """

    request: RequestId
    customer: CustomerName
    deployment: DeploymentName
    blocks: tuple[str, ...] = ()
    expected_tokens: int = 0
    priority: int = 0


class RouteCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """A candidate group and ``slots``, the number of streams that it can batch."""

    group: GroupId
    slots: int = 16


class RoutePolicy(ABC):
    """Chooses a group for each request of one entry."""

    name = ""

    def __init__(self, *, rng: Generator) -> None:
        self._rng = rng
        self._in_flight: Counter[GroupId] = Counter()

    @abstractmethod
    def choose(
        self, *, req: RouteRequest, groups: Sequence[RouteCandidate], now_s: float
    ) -> GroupId | None:
        """Return the group to dispatch ``req`` to, or ``None`` if ``groups`` is empty.

        ``groups`` holds the groups of the deployment that can serve now, without those
        that an earlier attempt of the request excluded.
        """

    def started(self, *, group: GroupId, req: RouteRequest, now_s: float) -> None:
        """Record that ``req`` was dispatched to ``group``."""
        self._in_flight[group] += 1

    def first_token(
        self, *, group: GroupId, req: RouteRequest, delay_s: float, now_s: float
    ) -> None:
        """Record the time from dispatch to the first token."""

    def ended(
        self,
        *,
        group: GroupId,
        req: RouteRequest,
        now_s: float,
        failed: bool = False,
        between_tokens_s: float | None = None,
    ) -> None:
        """Record the end of ``req`` and its mean time between tokens, if known."""
        self._in_flight[group] -= 1
        if self._in_flight[group] <= 0:
            del self._in_flight[group]

    def record_load_report(
        self, *, group: GroupId, status: EngineStatus, now_s: float
    ) -> None:
        """Record a load report of the group's lead engine."""

    def cache_events(
        self, *, group: GroupId, events: Sequence[CacheEvent], now_s: float
    ) -> None:
        """Apply cache events of the group's lead engine, in order of arrival."""

    def forget_group(self, *, group: GroupId) -> None:
        """Drop the state of a group that was repaired or released."""

    def in_flight(self, group: GroupId) -> int:
        """Return how many requests this entry has in flight at the group."""
        return self._in_flight[group]


ROUTERS: dict[str, type[RoutePolicy]] = {}


def register(policy: type[RoutePolicy]) -> type[RoutePolicy]:
    """Register a route policy by the name that settings use."""
    ROUTERS[policy.name] = policy
    return policy


def rendezvous(key: str, groups: Sequence[RouteCandidate]) -> list[GroupId]:
    """Return the groups by descending rendezvous hash with ``key``."""
    return sorted(
        (candidate.group for candidate in groups),
        key=lambda group: xxhash.xxh3_64_intdigest(f"{key}/{group}"),
        reverse=True,
    )


@register
class RandomRoute(RoutePolicy):
    """Chooses a group uniformly at random."""

    name = "random"

    def choose(self, *, req, groups, now_s):
        if not groups:
            return None
        return groups[int(self._rng.integers(len(groups)))].group


@register
class LeastInFlight(RoutePolicy):
    """Chooses the group with the fewest requests of this entry per slot."""

    name = "least-in-flight"

    def choose(self, *, req, groups, now_s):
        if not groups:
            return None
        tie_breakers = self._rng.random(len(groups))
        indices = range(len(groups))
        best = min(
            indices,
            key=lambda index: (self._load_per_slot(groups[index]), tie_breakers[index]),
        )
        return groups[best].group

    def _load_per_slot(self, candidate: RouteCandidate) -> float:
        return self._in_flight[candidate.group] / candidate.slots


@register
class RendezvousPrefix(RoutePolicy):
    """Chooses by the rendezvous hash of the first ``KEY_BLOCKS`` prefix blocks only.

    A request without prefix blocks is hashed by its id.
    """

    name = "rendezvous"
    KEY_BLOCKS = 4

    def choose(self, *, req, groups, now_s):
        if not groups:
            return None
        key = "/".join(req.blocks[: self.KEY_BLOCKS]) or str(req.request)
        return rendezvous(key, groups)[0]
