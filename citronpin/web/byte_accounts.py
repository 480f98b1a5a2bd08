"""One account of the bytes that a process holds for others, and who goes when it fills.

It handles clients that nobody controls: many bodies of legal size that stop short of
their end, and many answers that are not read. Each is bounded, but their sum was not.
The baseline, `ByteAccount` with an unbounded capacity, admits everything.
"""

import logging
from abc import ABC, abstractmethod
from collections import deque

import msgspec

logger = logging.getLogger(__name__)

UNBOUNDED_BYTES = 1 << 62
SMALL_BYTES = 64 * 1024  # requests up to this size pass larger ones
LARGE_SHARE = 0.5  # of the capacity, for the bodies of larger requests
ADMIT_LARGE_BELOW = 0.75  # of the capacity held in total
# Answers are slowed down above the capacity, which leaves the rest to small requests.
ADMIT_SMALL_BELOW = 1.1
OVERDRAWN_TARGET = 0.9  # of the capacity, to which evictions return
FLOOD_SHARE = 1.25  # of the capacity, above which a reader may go without a wait
STALLED_S = 1.0  # without progress, after which a sender may go while others wait
# A reader may go when the account is overdrawn. The kernel reports that a client took
# bytes only for a third of its buffer at once, so that a slow one pauses for seconds.
UNREAD_S = 2.0
FAVOUR_S = 1.0  # for which one answer is read at full speed while others are slowed
DEADLOCK_S = 3.0  # waited by a request, until a sender that also waits may go
LOG_INTERVAL_S = 1.0


class Holding:
    """The bytes that one holder has on the account; `set` and `close` change them."""

    __slots__ = ("_account", "held_bytes", "is_body")

    def __init__(self, *, account: "ByteAccount", is_body: bool) -> None:
        self._account = account
        self.held_bytes = 0
        self.is_body = is_body

    def set(self, count: int) -> None:
        """Replace the number of bytes, whether the account has room for them or not."""
        account, before = self._account, self.held_bytes
        if count == before:
            return
        self.held_bytes = count
        account.held_bytes += count - before
        if self.is_body:
            account.large_bytes += _large(count) - _large(before)
        if account.held_bytes > account.peak_bytes:
            account.peak_bytes = account.held_bytes

    def close(self) -> None:
        """Remove all bytes."""
        self.set(0)


def _large(count: int) -> int:
    return count if count > SMALL_BYTES else 0


class AccountHolder(ABC):
    """A connection that holds bytes on the account and can be ended."""

    # Clock time in s at which its client last sent or took a byte.
    progress_s: float

    @property
    @abstractmethod
    def is_sending(self) -> bool:
        """Return whether it holds part of a request that the client has not ended."""

    @property
    @abstractmethod
    def is_unread(self) -> bool:
        """Return whether it holds bytes that its client does not take."""

    @property
    @abstractmethod
    def is_waiting(self) -> bool:
        """Return whether it waits for room, so that its client cannot make progress."""

    @abstractmethod
    def evict(self) -> None:
        """End the request that is not complete, or the answer that is not taken."""


class Waiter(msgspec.Struct, eq=False):
    """A request that waits until a holding may grow to ``count`` bytes."""

    holding: Holding
    count: int
    since_s: float  # clock time
    grant: object  # called without arguments once the holding has grown
    is_cancelled: bool = False


class ByteAccount:
    """Counts bytes held for others, and admits, delays and evicts by them.

    ``capacity_bytes`` bounds the sum. A request reserves its bytes before they are
    read; answers of requests that were admitted are counted in any case, and slowed
    down or evicted by others. Calls cost a few integer operations each.
    """

    def __init__(self, *, capacity_bytes: int = UNBOUNDED_BYTES) -> None:
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        self.large_bytes = 0  # of bodies above `SMALL_BYTES`
        self.peak_bytes = 0
        self.counters = {"waits": 0, "evicted_senders": 0, "evicted_readers": 0}
        self._holders: dict[AccountHolder, None] = {}
        self._small: deque[Waiter] = deque()
        self._large: deque[Waiter] = deque()
        self._logged_s = float("-inf")
        self._is_admitting = False
        self._favoured: Holding | None = None
        self._favoured_s = 0.0  # clock time at which it was

    def open(self, *, is_body: bool = False) -> Holding:
        """Return a new holding of 0 bytes; those of bodies count in the large share."""
        return Holding(account=self, is_body=is_body)

    def add_holder(self, holder: AccountHolder) -> None:
        """Register a connection that may be evicted."""
        self._holders[holder] = None

    def remove_holder(self, holder: AccountHolder) -> None:
        """Forget a connection that was closed."""
        self._holders.pop(holder, None)

    @property
    def is_overdrawn(self) -> bool:
        """Return whether more bytes are held than the capacity."""
        return self.held_bytes > self.capacity_bytes

    def favour(self, holding: Holding, *, now_s: float) -> bool:
        """Return whether an answer is the one that is read at full speed for now.

        While the account is overdrawn, slowing all answers alike would let none end.
        """
        favoured = self._favoured
        is_free = favoured is None or not favoured.held_bytes
        if is_free or now_s - self._favoured_s > FAVOUR_S:
            self._favoured, self._favoured_s = holding, now_s
        return self._favoured is holding

    @property
    def needs_relief(self) -> bool:
        """Return whether `relieve` may have something to do."""
        return bool(self._small or self._large) or self.is_overdrawn

    @property
    def waiting(self) -> int:
        """Return how many requests wait for room."""
        return sum(not one.is_cancelled for one in (*self._small, *self._large))

    def reserve(self, holding: Holding, count: int) -> bool:
        """Let a holding grow to ``count`` bytes if there is room and nobody waits."""
        queue = self._large if count > SMALL_BYTES else self._small
        if queue and any(not one.is_cancelled for one in queue):
            return False
        if not self._has_room(holding, count):
            return False
        holding.set(count)
        return True

    def wait(self, holding: Holding, count: int, grant, *, now_s: float) -> Waiter:
        """Call ``grant`` once the holding has grown to ``count`` bytes, in order."""
        self.counters["waits"] += 1
        waiter = Waiter(holding=holding, count=count, since_s=now_s, grant=grant)
        (self._large if count > SMALL_BYTES else self._small).append(waiter)
        return waiter

    def _has_room(self, holding: Holding, count: int) -> bool:
        more = count - holding.held_bytes
        if count <= SMALL_BYTES:
            limit = self.capacity_bytes * ADMIT_SMALL_BELOW
            return self.held_bytes + more <= limit or more <= 0
        large_bytes = self.large_bytes - _large(holding.held_bytes)
        if large_bytes == 0:
            # One body has room whatever its size, unless answers take it.
            return self.held_bytes <= self.capacity_bytes * ADMIT_LARGE_BELOW
        return (
            large_bytes + count <= self.capacity_bytes * LARGE_SHARE
            and self.held_bytes + more <= self.capacity_bytes * ADMIT_LARGE_BELOW
        )

    def admit(self) -> None:
        """Grant what fits now, small requests first, each kind in order."""
        if self._is_admitting:
            return
        self._is_admitting = True
        try:
            for queue in (self._small, self._large):
                while queue:
                    first = queue[0]
                    if not first.is_cancelled:
                        if not self._has_room(first.holding, first.count):
                            break
                        first.holding.set(first.count)
                    queue.popleft()
                    if not first.is_cancelled:
                        first.grant()
        finally:
            self._is_admitting = False

    def relieve(self, *, now_s: float) -> None:
        """Admit what fits, and evict whoever stands in the way of others.

        The client that has made no progress for longest goes first.
        """
        self.admit()
        before = dict(self.counters)
        if self.is_overdrawn or self._small:
            self._evict_readers(now_s)
        if self._small or self._large:
            self._evict_senders(now_s)
        self._log(before, now_s)

    def _evict_readers(self, now_s: float) -> None:
        target = self.capacity_bytes * OVERDRAWN_TARGET
        for holder in self._by_progress(lambda one: one.is_unread):
            if self.held_bytes <= target:
                return
            is_flooded = self.held_bytes > self.capacity_bytes * FLOOD_SHARE
            if now_s - holder.progress_s < UNREAD_S and not is_flooded:
                return
            self.counters["evicted_readers"] += 1
            holder.evict()

    def _evict_senders(self, now_s: float) -> None:
        for holder in self._by_progress(lambda one: one.is_sending):
            first_s = self._first_wait_s()
            if first_s is None:
                return
            if holder.is_waiting:
                # Its silence is the account's doing; it goes only when nothing moves.
                if (
                    now_s - first_s < DEADLOCK_S
                    or now_s - holder.progress_s < DEADLOCK_S
                ):
                    continue
            elif now_s - holder.progress_s < STALLED_S:
                continue
            self.counters["evicted_senders"] += 1
            holder.evict()
            self.admit()

    def _by_progress(self, condition) -> list[AccountHolder]:
        found = [holder for holder in self._holders if condition(holder)]
        return sorted(found, key=lambda holder: holder.progress_s)

    def _first_wait_s(self) -> float | None:
        waits = [
            one.since_s for one in (*self._small, *self._large) if not one.is_cancelled
        ]
        return min(waits, default=None)

    def _log(self, before: dict[str, int], now_s: float) -> None:
        if self.counters == before or now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        logger.warning(
            "memory for requests is short",
            extra=self.counters
            | {
                "held_bytes": self.held_bytes,
                "capacity_bytes": self.capacity_bytes,
                "waiting": self.waiting,
            },
        )
