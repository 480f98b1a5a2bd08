"""Leases on fabric domains, dealt by the store as the partitions of a topic."""

import logging
import zlib

from result import Result

from citronpin.basics.clocks import MS_PER_S, Clock, TimerHandle
from citronpin.basics.ids import DomainName
from citronpin.gateway.ports import DomainLeases
from citronpin.platform.stores import LogStore, Share

logger = logging.getLogger(__name__)

GROUP = "citronpin.control"
TOPIC = "citronpin.control"
TTL_S = 1.8  # a killed holder is followed within it
RENEW_S = 0.4
MARGIN_S = 0.3  # a holder stops this long before the store may deal anew
# One renewal without an answer. All entries know of an outage, and of each other's
# loss, before the first lease lapses: 0.6 + 0.4 + two messages of 0.15.
LOST_S = 0.6


class PartitionLeases(DomainLeases):
    """Holds the domains whose partition the store has dealt to this process.

    The store gives a partition to another member only after this one has joined
    without it, has left, or has sent nothing for the time to live. So the lease
    counts from the moment at which the last answered join was *sent*, on a clock
    that goes on while the machine is suspended.

    While the store answers no entry, nobody can be dealt a partition, and the last
    holder goes on; it stops as soon as any other entry reaches the store.
    """

    def __init__(
        self, *, store: LogStore, clock: Clock, member: str, parts: int, ttl_min_ms: int
    ) -> None:
        self._store = store
        self._clock = clock
        self._member = member
        self._parts = parts
        self._ttl_s = max(TTL_S, ttl_min_ms / MS_PER_S)
        self._held: frozenset[int] = frozenset()
        self._generation = 0
        self._until_s = float("-inf")
        self._timer: TimerHandle | None = None
        self._answered_s = clock.elapsed()
        self._extended = False
        self._left = False
        self._taking_part = True
        self._membership = 0  # counts the times that this process took part

    def start(self) -> None:
        """Join, and stay joined."""
        self._join()

    def stop(self) -> None:
        """Give the leases back, so that others need not wait."""
        if not self._left:
            self._left = True
            self._leave()

    def set_participating(self, allowed: bool) -> None:
        if allowed is self._taking_part or self._left:
            return
        self._taking_part = allowed
        self._membership += allowed
        if allowed:
            self._answered_s = self._clock.elapsed()
            self._join()
        else:
            self._leave()

    def _leave(self) -> None:
        self._extended = False
        self._until_s = float("-inf")
        if self._timer is not None:
            self._timer.cancel()
        self._store.leave(group=GROUP, member=self._member, done=self._on_left)

    def holds(self, domain: DomainName) -> bool:
        part = zlib.crc32(domain.encode()) % self._parts
        return part in self._held and self._valid

    @property
    def none_held(self) -> bool:
        return not self._held or not self._valid

    @property
    def _valid(self) -> bool:
        return self._extended or self._clock.elapsed() < self._until_s

    @property
    def lost(self) -> bool:
        silent_s = self._clock.elapsed() - self._answered_s
        return self._taking_part and silent_s > LOST_S

    def extend(self, allowed: bool) -> None:
        extended = allowed and self.lost and self._valid and not self._left
        if extended is not self._extended:
            logger.info("leases extended" if extended else "leases not extended")
        self._extended = extended

    @property
    def generation(self) -> int:
        return self._generation

    def _join(self) -> None:
        self._timer = self._clock.call_later(RENEW_S, self._join)
        sent_s = self._clock.elapsed()
        membership = self._membership

        def joined(result: Result) -> None:
            if self._left or not self._taking_part:
                return
            if membership != self._membership:
                return  # the store may have dealt the domains anew since
            if result.is_err():
                logger.info(
                    "lease not renewed", extra={"detail": str(result.err_value)}
                )
                return
            share: Share = result.ok_value
            self._answered_s = self._clock.elapsed()
            if share.generation < self._generation:
                return  # an answer that a later one overtook
            if share.parts != self._held:
                logger.info(
                    "leases dealt",
                    extra={
                        "generation": share.generation,
                        "parts": sorted(share.parts),
                    },
                )
            self._generation = share.generation
            self._held = share.parts
            self._until_s = max(self._until_s, sent_s + self._ttl_s - MARGIN_S)

        self._store.join(
            group=GROUP,
            member=self._member,
            topic=TOPIC,
            ttl_ms=int(self._ttl_s * MS_PER_S),
            generation=self._generation,
            done=joined,
        )

    def _on_left(self, result: Result) -> None:
        if result.is_err():
            logger.info("leases lapse", extra={"detail": str(result.err_value)})
