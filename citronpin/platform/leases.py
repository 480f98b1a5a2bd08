"""Leases on fabric domains, which the store assigns as partitions of a topic."""

import logging
import zlib

from result import Result

from citronpin.basics.clocks import MS_PER_S, Clock, TimerHandle
from citronpin.basics.ids import DomainName
from citronpin.gateway.ports import DomainLeases
from citronpin.platform.stores import EraListener, LogStore, PartitionAssignment

logger = logging.getLogger(__name__)

READER_GROUP = "citronpin.control"
LEASE_TOPIC = "citronpin.control"
LEASE_TTL_S = 1.8  # the leases of a killed holder are reassigned within this time
RENEWAL_INTERVAL_S = 0.4
EXPIRY_MARGIN_S = 0.3  # a holder stops this long before the store may reassign
# One renewal without an answer. All entries know of a store outage, and that the others
# have lost the store, before the first lease expires: 0.6 + 0.4 + two messages of 0.15.
STORE_LOST_AFTER_S = 0.6
# Keeps the generations of a later era higher, and the epochs made of them within the
# integers of a double.
GENERATIONS_PER_ERA = 1 << 20


class PartitionLeases(DomainLeases, EraListener):
    """Holds the domains whose partition the store has assigned to this process.

    The store assigns a partition to another member only after this one has joined
    without it, has left, or has sent nothing for the time to live. The lease is
    therefore counted from the time at which the last answered join was *sent*, on a
    clock that continues while the machine is suspended.

    During a store outage that all entries see, no partition can be reassigned, and the
    last holder keeps its leases until any other entry reaches the store.

    A store that went back may have forgotten an assignment while the lease is still
    valid. A partition that this process did not hold is therefore used only after the
    time to live of such a lease, counted from the first answer of an era.
    """

    def __init__(
        self, *, store: LogStore, clock: Clock, member: str, parts: int, ttl_min_ms: int
    ) -> None:
        self._store = store
        self._clock = clock
        self._member = member
        self._partition_count = parts
        self._ttl_s = max(LEASE_TTL_S, ttl_min_ms / MS_PER_S)
        self._assigned_partitions: frozenset[int] = frozenset()
        # Those of the assigned ones whose lease this process had in the earlier era.
        self._carried_partitions: frozenset[int] = frozenset()
        self._carried_until_s = float("-inf")
        self._generation = 0  # of the current era
        self._is_era_known = False
        self._expires_s = float("-inf")
        self._timer: TimerHandle | None = None
        self._last_answer_s = clock.now_with_suspend()
        self._is_extended = False
        self._has_started = False
        self._has_left = False
        self._is_participating = True
        self._participation_count = 0  # tells answers of earlier participations apart
        store.add_era_listener(self)

    def start(self) -> None:
        """Join the reader group, if this entry participates, and keep renewing.

        A second call has no effect.
        """
        if self._has_started or self._has_left:
            return
        self._has_started = True
        if self._is_participating:
            self._join()

    def stop(self) -> None:
        """Release the leases, so that others need not wait until they expire."""
        if not self._has_left:
            self._has_left = True
            self._leave()

    def set_participating(self, allowed: bool) -> None:
        if allowed is self._is_participating or self._has_left:
            return
        self._is_participating = allowed
        if not self._has_started:
            return
        self._participation_count += allowed
        if allowed:
            self._last_answer_s = self._clock.now_with_suspend()
            self._join()
        else:
            self._leave()

    def _leave(self) -> None:
        self._is_extended = False
        self._expires_s = float("-inf")
        if self._timer is not None:
            self._timer.cancel()
        self._store.leave_group(
            group=READER_GROUP, member=self._member, done=self._on_left
        )

    def holds(self, domain: DomainName) -> bool:
        partition = zlib.crc32(domain.encode()) % self._partition_count
        return partition in self._held_partitions and self._is_valid

    @property
    def none_held(self) -> bool:
        return not self._held_partitions or not self._is_valid

    @property
    def _is_valid(self) -> bool:
        return self._is_extended or self._clock.now_with_suspend() < self._expires_s

    @property
    def store_lost(self) -> bool:
        silent_s = self._clock.now_with_suspend() - self._last_answer_s
        return self._is_participating and silent_s > STORE_LOST_AFTER_S

    def set_extended(self, allowed: bool) -> None:
        extended = allowed and self.store_lost and self._is_valid and not self._has_left
        if extended is not self._is_extended:
            logger.info("leases extended" if extended else "leases not extended")
        self._is_extended = extended

    @property
    def generation(self) -> int:
        return self._store.era * GENERATIONS_PER_ERA + self._generation

    @property
    def _held_partitions(self) -> frozenset[int]:
        """Return the assigned partitions that no lease of an earlier era can cover."""
        if self._clock.now_with_suspend() < self._carried_until_s:
            return self._assigned_partitions & self._carried_partitions
        return self._assigned_partitions

    def on_new_era(self) -> str:
        self._carried_partitions = (
            self._held_partitions if self._is_valid else frozenset()
        )
        self._generation = 0
        self._is_era_known = False
        return "join the reader group" if not self._has_left else ""

    def _join(self) -> None:
        self._timer = self._clock.call_later(RENEWAL_INTERVAL_S, self._join)
        sent_s = self._clock.now_with_suspend()
        participation = self._participation_count

        def on_joined(result: Result) -> None:
            if self._has_left or not self._is_participating:
                return
            if participation != self._participation_count:
                return  # the store may have reassigned the partitions since
            if result.is_err():
                logger.info(
                    "lease not renewed", extra={"detail": str(result.err_value)}
                )
                return
            assignment: PartitionAssignment = result.ok_value
            self._last_answer_s = self._clock.now_with_suspend()
            if assignment.generation < self._generation:
                return  # a later answer arrived first
            if assignment.parts != self._assigned_partitions:
                logger.info(
                    "leases assigned",
                    extra={
                        "generation": assignment.generation,
                        "parts": sorted(assignment.parts),
                    },
                )
            if not self._is_era_known:
                self._is_era_known = True
                self._carried_until_s = self._last_answer_s + self._ttl_s
            self._generation = assignment.generation
            self._assigned_partitions = assignment.parts
            self._carried_partitions &= assignment.parts
            self._expires_s = max(
                self._expires_s, sent_s + self._ttl_s - EXPIRY_MARGIN_S
            )

        self._store.join_group(
            group=READER_GROUP,
            member=self._member,
            topic=LEASE_TOPIC,
            ttl_ms=int(self._ttl_s * MS_PER_S),
            generation=self._generation,
            done=on_joined,
        )

    def _on_left(self, result: Result) -> None:
        if result.is_err():
            logger.info(
                "leases not released until they expire",
                extra={"detail": str(result.err_value)},
            )
