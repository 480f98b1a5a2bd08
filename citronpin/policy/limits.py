"""Limits of customers, held across entries without a store.

Each entry has a token bucket whose rate is its part of the customer's limit. The
parts follow the demand that entries pass on to each other; nothing is asked for
before a request is admitted.
"""

import logging

import msgspec

from citronpin.basics.ids import CustomerName, EntryId

logger = logging.getLogger(__name__)


class Bucket:
    """A token bucket; ``rate`` is in units a second."""

    def __init__(self, *, rate: float, burst_s: float, now_s: float) -> None:
        self.rate = rate
        self._burst_s = burst_s
        self._level = rate * burst_s
        self._at_s = now_s

    def set_rate(self, *, rate: float, now_s: float) -> None:
        """Change the rate; what is saved up shrinks with it."""
        self._refill(now_s)
        self.rate = rate
        self._level = min(self._level, self._most())

    def take(self, *, units: float, now_s: float) -> bool:
        """Take units if the bucket holds any; a large call leaves a debt."""
        self._refill(now_s)
        if self._level < min(units, self._most()):
            return False
        self._level -= units
        return True

    def wait_s(self, *, units: float, now_s: float) -> float:
        """Return the seconds until ``units`` could be taken."""
        self._refill(now_s)
        missing = min(units, self._most()) - self._level
        return max(missing, 0.0) / max(self.rate, 1e-9)

    def _most(self) -> float:
        return max(self.rate * self._burst_s, 1.0)

    def _refill(self, now_s: float) -> None:
        gained = (now_s - self._at_s) * self.rate
        self._level = min(self._level + gained, self._most())
        self._at_s = now_s


class CustomerDemand(msgspec.Struct, frozen=True, array_like=True):
    """Units a second that the callers of a customer asked of one entry."""

    customer: CustomerName
    rate: float


class DemandMessage(msgspec.Struct, frozen=True, array_like=True):
    """What an entry passes on to its peers; customers without demand are left out."""

    demands: tuple[CustomerDemand, ...] = ()


class Usage(msgspec.Struct):
    """The own demand for one customer's limit, and its bucket."""

    limit: float
    bucket: Bucket
    asked: float = 0.0  # units since the last window ended
    rate: float = 0.0  # smoothed demand in units a second


class SharedLimits:
    """Buckets of one entry for one kind of unit, such as requests or tokens.

    An entry's part is its demand in proportion to all demand heard, plus an equal
    part of the small ``floor``, so that an entry that gets its first request has
    something. An entry that hears no peer for ``peer_timeout_s`` keeps an equal part
    of the entries there were when it last heard one. Entries that lose a peer keep
    an equal part aside for it for ``handback_s``; after that the limit can be
    exceeded by that part, should the peer still serve callers.
    """

    SMOOTHING = 0.5
    LEAST_RATE = 0.01

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
        self._lost: dict[EntryId, float] = {}
        self._last_count = 1  # entries when a peer was last heard
        self._window_ends_s = 0.0

    def limit(self, *, customer: CustomerName, rate: float | None, now_s: float):
        """Set a customer's limit over all entries; ``None`` lifts it."""
        if rate is None:
            self._usages.pop(customer, None)
            return
        if customer in self._usages:
            self._usages[customer].limit = rate
        else:
            part = rate / max(len(self._alive), 1)
            bucket = Bucket(rate=part, burst_s=self._burst_s, now_s=now_s)
            self._usages[customer] = Usage(limit=rate, bucket=bucket)

    def take(self, *, customer: CustomerName, units: float, now_s: float) -> bool:
        """Return whether a call of ``units`` may go, and count it as demand."""
        usage = self._usages.get(customer)
        if usage is None:
            return True
        usage.asked += units
        return usage.bucket.take(units=units, now_s=now_s)

    def retry_after_s(self, *, customer: CustomerName, units: float, now_s: float):
        """Return when a refused call of ``units`` may be tried again."""
        usage = self._usages[customer]
        return usage.bucket.wait_s(units=units, now_s=now_s)

    def alive(self, *, entries: frozenset[EntryId], now_s: float) -> None:
        """Take the entries that are alive, this one among them."""
        for peer in self._alive - entries:
            self._lost[peer] = now_s
        for peer in entries:
            self._lost.pop(peer, None)
        self._alive = entries | {self._entry}

    def demand(self, *, now_s: float) -> DemandMessage:
        """End a window: divide anew and return what peers are to hear."""
        for usage in self._usages.values():
            asked = usage.asked / self._window_s
            usage.rate += self.SMOOTHING * (asked - usage.rate)
            usage.asked = 0.0
        self._divide(now_s)
        demands = [
            CustomerDemand(customer, round(usage.rate, 2))
            for customer, usage in self._usages.items()
            if usage.rate >= self.LEAST_RATE
        ]
        return DemandMessage(tuple(demands))

    def record_peer_demand(
        self, *, entry: EntryId, message: DemandMessage, now_s: float
    ) -> None:
        """Take a peer's demand."""
        rates = {demand.customer: demand.rate for demand in message.demands}
        self._peers[entry] = (now_s, rates)

    def _divide(self, now_s: float) -> None:
        fresh_reports = {
            peer: rates
            for peer, (at_s, rates) in self._peers.items()
            if now_s - at_s <= self._peer_timeout_s
        }
        silent = self._silent(fresh_reports, now_s)
        count = len(fresh_reports) + len(silent) + 1
        if fresh_reports:
            self._last_count = count
        count = max(count, self._last_count)
        for customer, usage in self._usages.items():
            others = sum(rates.get(customer, 0.0) for rates in fresh_reports.values())
            part = self._part(usage, others, len(fresh_reports) + 1, count)
            usage.bucket.set_rate(rate=part * usage.limit, now_s=now_s)

    def _part(self, usage: Usage, others: float, hearing: int, count: int) -> float:
        shared = hearing / count
        if hearing == 1:
            return shared
        total = usage.rate + others
        wanted = usage.rate / total if total > 0 else 1.0 / hearing
        return shared * (self._floor / hearing + (1.0 - self._floor) * wanted)

    def _silent(self, fresh_reports, now_s: float) -> set[EntryId]:
        """Return the peers whose equal part is kept aside."""
        for peer, lost_s in list(self._lost.items()):
            if now_s - lost_s > self._handback_s:
                del self._lost[peer]
        return (set(self._alive) | set(self._lost)) - set(fresh_reports) - {self._entry}
