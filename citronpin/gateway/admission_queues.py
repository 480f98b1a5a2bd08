"""Lets requests wait for a short time for a slot, in place of a refusal.

All decisions are free of I/O and take the clock time as an argument.
"""

import logging
import math
from abc import ABC, abstractmethod
from collections.abc import Iterable

import msgspec

from citronpin.basics.ids import ApplicationName, CustomerName, ModelName
from citronpin.gateway.admission_levels import DEFAULT_COST, CustomerUse
from citronpin.gateway.budgets import SlidingCount

logger = logging.getLogger(__name__)

MAX_WAIT_S = 0.5
RETRY_INTERVAL_S = 0.1  # at the latest; loads of other entries are news each 0.3 s
MAX_WAITING = 64
MAX_WAITING_BYTES = 4 * 1024 * 1024
PLAIN_WAIT_SHARE = 1 / 3  # of the objective, which covers the whole answer
SHARE_WINDOW_S = 5.0
MIN_CLASS_SHARE = 0.25  # of the rate of all waiting requests
# Placed requests that a class is granted, so that one refusal does not make it first.
PLACED_PRIOR = 1.0


class QueueKey(msgspec.Struct, frozen=True):
    """What waiting requests need a slot of."""

    service: ApplicationName
    model: ModelName | None


class Waiter(msgspec.Struct, frozen=True, kw_only=True):
    """A request that asks to wait; ``objective_s`` is the clock time of its objective.

    ``first_event_s`` are the seconds from sending to the first event; ``body_bytes``
    is the size of the body that is held meanwhile.
    """

    number: int  # chosen by the caller, unique among those that wait
    key: QueueKey
    priority: int  # 0 is the most urgent
    customer: CustomerName | None
    cost: float = DEFAULT_COST
    body_bytes: int = 0
    objective_s: float
    first_event_s: float
    midway: bool = False  # the caller has received part of the answer

    @property
    def end_s(self) -> float:
        """Return the clock time after which sending it could not be in time."""
        return self.objective_s - self.first_event_s


def wait_end_s(waiter: Waiter, *, objective_length_s: float, now_s: float) -> float:
    """Return the clock time at which a wait that begins now ends.

    A time that is not later than ``now_s`` means that the request does not wait.
    ``objective_length_s`` is the objective of the route in seconds.
    """
    longest_s = now_s + MAX_WAIT_S
    if waiter.midway:
        return longest_s
    if waiter.key.model is None:
        longest_s = min(longest_s, now_s + PLAIN_WAIT_SHARE * objective_length_s)
    return min(longest_s, waiter.end_s)


class WaitQueue(ABC):
    """Decides which requests wait for a slot, and which is placed next."""

    @abstractmethod
    def add(self, waiter: Waiter, *, end_s: float, now_s: float) -> bool:
        """Let a request wait until clock time ``end_s``; return whether it may."""

    def next_ready(self, *, now_s: float) -> Waiter | None:
        """Return the next request whose placement is to be tried again, if any.

        A request is returned once after each `slot_freed` of its key, after each
        `loads_changed`, and after `RETRY_INTERVAL_S`.
        """
        return None

    def expire(self, *, now_s: float) -> list[Waiter]:
        """Remove and return the requests whose wait is over."""
        return []

    def remove(self, number: int, *, now_s: float, placed: bool = False) -> None:
        """Remove a request that was placed, or whose caller left."""

    def slot_freed(self, key: QueueKey) -> None:
        """Note that a slot for a key became free."""

    def loads_changed(self) -> None:
        """Note that the entry learned new loads."""

    def next_s(self) -> float:
        """Return the clock time of the next retry or end of a wait."""
        return math.inf

    @property
    def count(self) -> int:
        """Return the number of waiting requests."""
        return 0


class NoQueue(WaitQueue):
    """Lets no request wait; the baseline.

    With loads that are 0.3 to 1 s old, it refuses a request while slots become free
    every few milliseconds.
    """

    def add(self, waiter, *, end_s, now_s):
        return False


class _Waiting(msgspec.Struct, kw_only=True):
    """A waiting request; times of the clock."""

    waiter: Waiter
    end_s: float
    retry_s: float  # at which its placement is tried again
    is_due: bool = False  # earlier, since something changed


class AdmissionQueue(WaitQueue):
    """Keeps a bounded number of requests for at most `MAX_WAIT_S`.

    It handles a demand near the capacity, or above it for seconds, when a placement
    fails although slots become free all the time. Requests are tried by priority;
    within one, those of customers with the least use of the last 5 s come first, and
    then those with the least time left. A class (priority) that was placed less than a
    quarter as often as all comes before the others.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, _Waiting] = {}
        self._bytes = 0
        self._added: dict[int, SlidingCount] = {}
        self._placed: dict[int, SlidingCount] = {}
        self._use = CustomerUse()

    @property
    def count(self):
        return len(self._waiting)

    def add(self, waiter, *, end_s, now_s):
        has_room = (
            len(self._waiting) < MAX_WAITING
            and self._bytes + waiter.body_bytes <= MAX_WAITING_BYTES
        )
        if not has_room or end_s <= now_s or waiter.number in self._waiting:
            return False
        self._waiting[waiter.number] = _Waiting(
            waiter=waiter, end_s=end_s, retry_s=now_s + RETRY_INTERVAL_S
        )
        self._bytes += waiter.body_bytes
        _count(self._added, waiter.priority, now_s)
        return True

    def remove(self, number, *, now_s, placed=False):
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return
        waiter = waiting.waiter
        self._bytes -= waiter.body_bytes
        if placed:
            _count(self._placed, waiter.priority, now_s)
            self._use.admit(waiter.customer, waiter.cost, now_s=now_s)

    def expire(self, *, now_s):
        ended = [one for one in self._waiting.values() if one.end_s <= now_s]
        for waiting in ended:
            self.remove(waiting.waiter.number, now_s=now_s)
        self._use.expire(now_s=now_s)
        return [waiting.waiter for waiting in ended]

    def slot_freed(self, key):
        for waiting in self._waiting.values():
            if waiting.waiter.key == key:
                waiting.is_due = True

    def loads_changed(self):
        for waiting in self._waiting.values():
            waiting.is_due = True

    def next_s(self):
        return min(
            (min(one.retry_s, one.end_s) for one in self._waiting.values()),
            default=math.inf,
        )

    def next_ready(self, *, now_s):
        due = [
            one
            for one in self._waiting.values()
            if (one.is_due or one.retry_s <= now_s) and one.end_s > now_s
        ]
        if not due:
            return None
        starved = self._starved(now_s)
        chosen = min(due, key=lambda one: self._order(one, starved, now_s))
        chosen.is_due = False
        chosen.retry_s = now_s + RETRY_INTERVAL_S
        return chosen.waiter

    def _order(
        self, waiting: _Waiting, starved: set[int], now_s: float
    ) -> tuple[bool, int, float, float]:
        waiter = waiting.waiter
        return (
            waiter.priority not in starved,
            waiter.priority,
            self._use.cost(waiter.customer, now_s=now_s),
            waiting.end_s,
        )

    def _starved(self, now_s: float) -> set[int]:
        """Return the classes that were placed less often than their least share."""
        added = _total(self._added.values(), now_s)
        placed = _total(self._placed.values(), now_s)
        least = MIN_CLASS_SHARE * placed / max(added, 1.0)
        return {
            priority
            for priority, count in self._added.items()
            if _placed_of(self._placed, priority, now_s) + PLACED_PRIOR
            < least * count.total(now_s=now_s)
        }


def _count(counts: dict[int, SlidingCount], priority: int, now_s: float) -> None:
    if priority not in counts:
        counts[priority] = SlidingCount(window_s=SHARE_WINDOW_S)
    counts[priority].add(1.0, now_s=now_s)


def _total(counts: Iterable[SlidingCount], now_s: float) -> float:
    return sum(count.total(now_s=now_s) for count in counts)


def _placed_of(placed: dict[int, SlidingCount], priority: int, now_s: float) -> float:
    count = placed.get(priority)
    return 0.0 if count is None else count.total(now_s=now_s)
