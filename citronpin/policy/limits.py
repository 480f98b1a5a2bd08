"""Customer rate limits that entries enforce together without a shared store.

Each entry has a token bucket whose rate is its allocation of the customer's limit. The
allocations follow the demand that the entries report to each other; no message is
exchanged before a request is admitted.
"""

import logging

import msgspec

from citronpin.basics.ids import CustomerName, EntryId

logger = logging.getLogger(__name__)


class Bucket:
    """A token bucket; ``rate`` is in units per second.

    The bucket holds at most ``burst_s`` seconds of its rate, but no less than
    ``min_capacity`` units. It begins empty or with ``burst_s`` seconds of its rate.
    """

    def __init__(
        self,
        *,
        rate: float,
        burst_s: float,
        now_s: float,
        min_capacity: float = 1.0,
        is_empty: bool = False,
    ) -> None:
        self.rate = rate
        self._burst_s = burst_s
        self._min_capacity = min_capacity
        self._level = 0.0 if is_empty else rate * burst_s
        self._refilled_s = now_s

    def set_rate(self, *, rate: float, now_s: float) -> None:
        """Change the rate; saved units above the new capacity are lost."""
        self._refill(now_s)
        self.rate = rate
        self._level = min(self._level, self._capacity())

    def take(self, *, units: float, now_s: float) -> bool:
        """Take ``units`` and return whether the bucket held enough.

        A call larger than the capacity needs a full bucket and leaves a negative level,
        which delays later calls.
        """
        self._refill(now_s)
        if self._level < min(units, self._capacity()):
            return False
        self._level -= units
        return True

    def wait_s(self, *, units: float, now_s: float) -> float:
        """Return the seconds until ``units`` can be taken."""
        self._refill(now_s)
        missing = min(units, self._capacity()) - self._level
        return max(missing, 0.0) / max(self.rate, 1e-9)

    def _capacity(self) -> float:
        return max(self.rate * self._burst_s, self._min_capacity)

    def _refill(self, now_s: float) -> None:
        gained = (now_s - self._refilled_s) * self.rate
        self._level = min(self._level + gained, self._capacity())
        self._refilled_s = now_s


class CustomerDemand(msgspec.Struct, frozen=True, array_like=True):
    """Units per second that one customer requested from one entry."""

    customer: CustomerName
    rate: float


class DemandMessage(msgspec.Struct, frozen=True, array_like=True):
    """The demand that an entry reports to its peers, without idle customers."""

    demands: tuple[CustomerDemand, ...] = ()


class Usage(msgspec.Struct):
    """The demand of one customer at this entry, and the bucket that limits it."""

    limit: float  # units per second over all entries
    bucket: Bucket
    asked: float = 0.0  # units requested since the last window ended
    rate: float = 0.0  # moving average of the demand in units per second


class SharedLimits:
    """The rate limits of one entry for one kind of unit, such as requests or tokens.

    The allocation of an entry is proportional to its share of all reported demand,
    plus an equal share of the small ``floor``, so that an entry can serve the first
    request it gets. An entry that received no report for ``peer_timeout_s`` is
    allocated an equal share, by the number of entries at the last report. Entries that
    lose a peer reserve an equal share for it for ``handback_s``; after that the total
    can exceed the limit by that share if the peer still serves callers.
    """

    DEMAND_SMOOTHING = 0.5  # weight of the newest window
    MIN_REPORTED_RATE = 0.01  # units per second

    def __init__(
        self,
        *,
        entry: EntryId,
        burst_s: float = 1.0,
        window_s: float = 1.0,
        peer_timeout_s: float = 5.0,
        handback_s: float = 30.0,
        floor: float = 0.1,
    ) -> None:
        self._entry = entry
        self._burst_s = burst_s
        self._window_s = window_s
        self._peer_timeout_s = peer_timeout_s
        self._handback_s = handback_s
        self._floor = floor
        self._usages: dict[CustomerName, Usage] = {}
        self._peers: dict[EntryId, tuple[float, dict[CustomerName, float]]] = {}
        self._alive: frozenset[EntryId] = frozenset({entry})
        self._lost_since_s: dict[EntryId, float] = {}
        self._last_entry_count = 1  # entries at the last report from a peer
        self._window_ends_s = 0.0

    def set_limit(self, *, customer: CustomerName, rate: float | None, now_s: float):
        """Set a customer's limit in units per second over all entries.

        ``None`` removes the limit.
        """
        if rate is None:
            self._usages.pop(customer, None)
            return
        if customer in self._usages:
            self._usages[customer].limit = rate
        else:
            allocation = rate / max(len(self._alive), 1)
            bucket = Bucket(rate=allocation, burst_s=self._burst_s, now_s=now_s)
            self._usages[customer] = Usage(limit=rate, bucket=bucket)

    def take(self, *, customer: CustomerName, units: float, now_s: float) -> bool:
        """Return whether a call of ``units`` is allowed, and count it as demand."""
        usage = self._usages.get(customer)
        if usage is None:
            return True
        usage.asked += units
        return usage.bucket.take(units=units, now_s=now_s)

    def retry_after_s(self, *, customer: CustomerName, units: float, now_s: float):
        """Return the seconds after which a refused call of ``units`` can be retried.

        Raises ``KeyError`` for a customer without a limit.
        """
        usage = self._usages[customer]
        return usage.bucket.wait_s(units=units, now_s=now_s)

    def set_live_entries(self, *, entries: frozenset[EntryId], now_s: float) -> None:
        """Set the live entries; this entry always counts as one of them."""
        for peer in self._alive - entries:
            self._lost_since_s[peer] = now_s
        for peer in entries:
            self._lost_since_s.pop(peer, None)
        self._alive = entries | {self._entry}

    def end_window(self, *, now_s: float) -> DemandMessage:
        """End a window: recompute the allocations and return this entry's demand."""
        for usage in self._usages.values():
            window_rate = usage.asked / self._window_s
            usage.rate += self.DEMAND_SMOOTHING * (window_rate - usage.rate)
            usage.asked = 0.0
        self._update_allocations(now_s)
        demands = [
            CustomerDemand(customer, round(usage.rate, 2))
            for customer, usage in self._usages.items()
            if usage.rate >= self.MIN_REPORTED_RATE
        ]
        return DemandMessage(tuple(demands))

    def record_peer_demand(
        self, *, entry: EntryId, message: DemandMessage, now_s: float
    ) -> None:
        """Record the demand that a peer reported."""
        rates = {demand.customer: demand.rate for demand in message.demands}
        self._peers[entry] = (now_s, rates)

    def _update_allocations(self, now_s: float) -> None:
        fresh_reports = {
            peer: rates
            for peer, (at_s, rates) in self._peers.items()
            if now_s - at_s <= self._peer_timeout_s
        }
        silent = self._silent_peers(fresh_reports, now_s)
        count = len(fresh_reports) + len(silent) + 1
        if fresh_reports:
            self._last_entry_count = count
        count = max(count, self._last_entry_count)
        for customer, usage in self._usages.items():
            peer_demand = sum(
                rates.get(customer, 0.0) for rates in fresh_reports.values()
            )
            allocation = self._allocation(
                usage, peer_demand, len(fresh_reports) + 1, count
            )
            usage.bucket.set_rate(rate=allocation * usage.limit, now_s=now_s)

    def _allocation(
        self, usage: Usage, peer_demand: float, reporting: int, count: int
    ) -> float:
        """Return the share of the limit that this entry may use, from 0 to 1.

        ``reporting`` counts this entry and its peers with a recent report, ``count``
        also the silent peers.
        """
        available = reporting / count
        if reporting == 1:
            return available
        total = usage.rate + peer_demand
        demanded = usage.rate / total if total > 0 else 1.0 / reporting
        return available * (self._floor / reporting + (1.0 - self._floor) * demanded)

    def _silent_peers(self, fresh_reports, now_s: float) -> set[EntryId]:
        """Return the peers without a recent report whose allocation is reserved.

        These are the live peers and those lost no longer than ``handback_s`` ago.
        """
        for peer, lost_s in list(self._lost_since_s.items()):
            if now_s - lost_s > self._handback_s:
                del self._lost_since_s[peer]
        return (
            (set(self._alive) | set(self._lost_since_s))
            - set(fresh_reports)
            - {self._entry}
        )
