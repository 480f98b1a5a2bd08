"""Selects the entry to which requests are passed on when no instance is reached."""

import logging
import random
from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import ApplicationName, EntryId, FailureDomainName

logger = logging.getLogger(__name__)

REMOTE_COST_REQUESTS = 8.0  # prefers the own failure domain until it has so many more
DECLINED_S = 2.0  # for which an entry that declined is not asked again
UNREACHABLE_S = 2.0  # for which an entry that took no connection is not asked again
SLOW_S = 2.0  # for which an entry through which an answer stalled is asked after others
SLOW_COST_REQUESTS = 64.0
REPORT_TTL_S = 2.0  # of what an entry says it cannot reach
MIN_NEXT_HOPS = 4  # with fewer known, others are tried, so that the load is shared
MAX_NEXT_HOPS = 32  # known for a service
MAX_RECOMMENDED = 4  # next hops that a refusal names


class ForwardPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Another entry and the address, ``IP:PORT``, at which it takes requests."""

    name: EntryId
    address: str
    failure_domain: FailureDomainName


class ForwardPeers:
    """Selects entries by requests passed on in progress, near ones first.

    Entries that took a request for a service, or that another entry recommended, are
    its next hops, and come before all others until they take none. Entries that
    reported that they cannot reach a service, declined a request for it or did not
    answer are left out for a while.
    """

    def __init__(
        self, *, failure_domain: FailureDomainName, clock: Clock, rng: random.Random
    ) -> None:
        self._failure_domain = failure_domain
        self._clock = clock
        self._rng = rng
        self._peers: tuple[ForwardPeer, ...] = ()
        self._open: Counter[EntryId] = Counter()
        self._slow_until_s: dict[EntryId, float] = {}
        self._avoided_until_s: dict[tuple[EntryId, ApplicationName | None], float] = {}
        # By service, in the order in which they were found.
        self._next_hops: dict[ApplicationName, dict[EntryId, None]] = {}

    def set_peers(self, peers: Iterable[ForwardPeer]) -> None:
        """Set the other entries that take requests."""
        self._peers = tuple(peers)

    def record_cut_off(
        self, entry: EntryId, services: Iterable[ApplicationName]
    ) -> None:
        """Store of which services another entry reaches no instance."""
        for service in services:
            self._next_hops_of(service).pop(entry, None)
            self._avoid(entry, service, REPORT_TTL_S)

    def taken(self, entry: EntryId, service: ApplicationName) -> None:
        """Record that an entry took a request for a service."""
        self._add_next_hop(entry, service)

    def add_next_hops(
        self, entries: Iterable[EntryId], service: ApplicationName
    ) -> None:
        """Record that another entry named entries that take requests for a service."""
        for entry in entries:
            if not self._is_avoided(entry, service):
                self._add_next_hop(entry, service)

    def sample_next_hops(
        self, service: ApplicationName, *, to: EntryId | None = None
    ) -> list[EntryId]:
        """Return a few next hops for a service, to name them to another entry."""
        found = [
            entry
            for entry in self._next_hops_of(service)
            if entry != to and not self._is_avoided(entry, service)
        ]
        return self._rng.sample(found, min(len(found), MAX_RECOMMENDED))

    def declined(self, entry: EntryId, service: ApplicationName) -> None:
        """Record that an entry does not take requests for a service now."""
        self._next_hops_of(service).pop(entry, None)
        self._avoid(entry, service, DECLINED_S)

    def unreachable(self, entry: EntryId) -> None:
        """Record that an entry takes no connection."""
        for next_hops in self._next_hops.values():
            next_hops.pop(entry, None)
        self._avoid(entry, None, UNREACHABLE_S)

    def stalled(self, entry: EntryId) -> None:
        """Record that an answer through an entry stalled.

        The entry may be sound and the instance busy, so it is still asked if no other
        one is left.
        """
        self._slow_until_s[entry] = self._clock.now() + SLOW_S

    def _next_hops_of(self, service: ApplicationName) -> dict[EntryId, None]:
        return self._next_hops.setdefault(service, {})

    def _add_next_hop(self, entry: EntryId, service: ApplicationName) -> None:
        next_hops = self._next_hops_of(service)
        next_hops[entry] = None
        if len(next_hops) > MAX_NEXT_HOPS:
            del next_hops[next(iter(next_hops))]

    def _avoid(
        self, entry: EntryId, service: ApplicationName | None, for_s: float
    ) -> None:
        self._avoided_until_s[entry, service] = self._clock.now() + for_s

    def started(self, entry: EntryId) -> None:
        """Count a request passed on to an entry."""
        self._open[entry] += 1

    def ended(self, entry: EntryId) -> None:
        """Remove a request that ended from the count."""
        self._open[entry] -= 1
        if self._open[entry] <= 0:
            del self._open[entry]

    def select(
        self, service: ApplicationName, *, excluded: Collection[EntryId] = ()
    ) -> ForwardPeer | None:
        """Return the entry that gets the next request, or ``None`` without one.

        ``excluded`` are the entries that did not take the same request.
        """
        usable = [
            peer
            for peer in self._peers
            if peer.name not in excluded and not self._is_avoided(peer.name, service)
        ]
        self._rng.shuffle(usable)
        next_hops = self._next_hops_of(service)
        known = [peer for peer in usable if peer.name in next_hops]
        unknown = [peer for peer in usable if peer.name not in next_hops]
        is_first = not excluded
        if known and not (is_first and unknown and len(known) < MIN_NEXT_HOPS):
            return min(known, key=self._cost)
        if is_first:
            return min(unknown, key=self._cost, default=None)
        # What cut this entry and those near it off may have spared others.
        return next(iter(unknown), None)

    def _is_avoided(self, entry: EntryId, service: ApplicationName) -> bool:
        now_s = self._clock.now()
        return any(
            self._avoided_until_s.get((entry, key), 0.0) > now_s
            for key in (service, None)
        )

    def _cost(self, peer: ForwardPeer) -> float:
        is_remote = peer.failure_domain != self._failure_domain
        is_slow = self._slow_until_s.get(peer.name, 0.0) > self._clock.now()
        return (
            self._open[peer.name]
            + REMOTE_COST_REQUESTS * is_remote
            + SLOW_COST_REQUESTS * is_slow
        )
