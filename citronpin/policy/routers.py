"""Route policies: which serving group gets a request.

A policy belongs to one entry. It learns from the requests that the entry itself
sends, from load reports that lag and from cache events that come late and with
gaps; it never asks other entries.
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
    """What a policy sees of a request; ``blocks`` are prefix block hashes."""

    request: RequestId
    customer: CustomerName
    deployment: DeploymentName
    blocks: tuple[str, ...] = ()
    expected_tokens: int = 0
    priority: int = 0


class GroupLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A group that may get the request, and how many streams it batches."""

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
        self, *, req: RouteRequest, groups: Sequence[GroupLoad], now_s: float
    ) -> GroupId | None:
        """Return the group that gets ``req``, ``None`` when ``groups`` is empty.

        ``groups`` holds only groups of the deployment that may serve now, without
        those that an earlier attempt of the request ruled out.
        """

    def started(self, *, group: GroupId, req: RouteRequest, now_s: float) -> None:
        """Take note that ``req`` was sent to ``group``."""
        self._in_flight[group] += 1

    def first_token(
        self, *, group: GroupId, req: RouteRequest, delay_s: float, now_s: float
    ) -> None:
        """Take the time from dispatch to the first token."""

    def ended(
        self,
        *,
        group: GroupId,
        req: RouteRequest,
        now_s: float,
        failed: bool = False,
        between_tokens_s: float | None = None,
    ) -> None:
        """Take the end of ``req`` and its mean time between tokens, if it had any."""
        self._in_flight[group] -= 1
        if self._in_flight[group] <= 0:
            del self._in_flight[group]

    def loads(self, *, group: GroupId, status: EngineStatus, now_s: float) -> None:
        """Take a load report of the group's lead engine."""

    def cache_events(
        self, *, group: GroupId, events: Sequence[CacheEvent], now_s: float
    ) -> None:
        """Take cache events of the group's lead engine, in the order they came."""

    def forget_group(self, *, group: GroupId) -> None:
        """Forget what is known of a group that was repaired or released."""

    def in_flight(self, group: GroupId) -> int:
        """Return how many requests of this entry the group has."""
        return self._in_flight[group]


ROUTERS: dict[str, type[RoutePolicy]] = {}


def register(policy: type[RoutePolicy]) -> type[RoutePolicy]:
    """Register a route policy by the name that settings use."""
    ROUTERS[policy.name] = policy
    return policy


def rendezvous(key: str, groups: Sequence[GroupLoad]) -> list[GroupId]:
    """Return the groups in the order of rendezvous hashing for ``key``."""
    return sorted(
        (load.group for load in groups),
        key=lambda group: xxhash.xxh3_64_intdigest(f"{key}/{group}"),
        reverse=True,
    )


@register
class RandomRoute(RoutePolicy):
    """Chooses uniformly."""

    name = "random"

    def choose(self, *, req, groups, now_s):
        if not groups:
            return None
        return groups[int(self._rng.integers(len(groups)))].group


@register
class LeastInFlight(RoutePolicy):
    """Chooses the group with the fewest requests of this entry a slot."""

    name = "least-in-flight"

    def choose(self, *, req, groups, now_s):
        if not groups:
            return None
        ties = self._rng.random(len(groups))
        order = range(len(groups))
        best = min(order, key=lambda index: (self._fill(groups[index]), ties[index]))
        return groups[best].group

    def _fill(self, load: GroupLoad) -> float:
        return self._in_flight[load.group] / load.slots


@register
class RendezvousPrefix(RoutePolicy):
    """Chooses by rendezvous hash of the first prefix blocks alone."""

    name = "rendezvous"
    KEY_BLOCKS = 4

    def choose(self, *, req, groups, now_s):
        if not groups:
            return None
        key = "/".join(req.blocks[: self.KEY_BLOCKS]) or str(req.request)
        return rendezvous(key, groups)[0]
