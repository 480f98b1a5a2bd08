"""Decides before the first placement whether a request yields to more urgent ones.

All decisions are free of I/O and take the clock time as an argument.
"""

import logging
import math
import random
from abc import ABC, abstractmethod
from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Iterator
from enum import Enum

import msgspec

from citronpin.basics.ids import ApplicationName, CustomerName, ModelName
from citronpin.gateway.budgets import SlidingCount
from citronpin.gateway.capacities import CapacityReader
from citronpin.gateway.overloads import (
    MAX_RETRY_DELAY_S,
    MAX_RETRY_DELAY_SHARE,
    MIN_RETRY_DELAY_S,
    RETRY_JITTER_SHARE,
    UNQUEUED_LOAD_SHARE,
    Pending,
    Rank,
    mean_slot_wait_s,
)
from citronpin.gateway.routings import RoutingTable

logger = logging.getLogger(__name__)

DEFAULT_COST = 1.0
TICK_S = 0.1  # between two steps of a level
MAX_STEP = 0.1  # of the admitted share in one tick; from 1 to 0.3 within 0.7 s
MAX_OPENING_STEP = 0.05  # likewise; with 0.1 levels opened at times amid a burst
MAX_CATCH_UP_TICKS = 20  # after a pause of the process
# Of the slots. With 1.2, 1 to 4 in 100 more requests were served in replays, but levels
# followed mild bursts too late and urgent requests were refused more often.
TARGET_USE = 1.0
SETTLE_S = 1.0  # in which the load is brought to its target
MIN_STEADY_SHARE = 0.5  # of the steady share; admitted also while queues shorten
REPORT_AGE_S = 0.65  # reports are 0.3 to 1 s old
MIN_ADMITTED_SHARE = 0.05
FLOOR_SHARE = 0.3  # of the admitted share; every class is served at least a quarter
DEMAND_AVERAGE_S = 1.0
PRIOR_DEMAND = 0.5  # cost per rank; an entry sees only 1 to 4 requests a second
FULL_WINDOW_S = 1.0
FULL_PRIOR = 3.0  # requests; so that one refusal of an instance moves little
YIELD_FACTOR = 1.5  # on the refused share, for late requests and large shares
SHARE_WINDOW_S = 5.0
MAX_FAIR_SHARE = 1.25  # of the mean cost per customer
SHARE_SLACK_COST = 2.0  # with few requests per customer the shares are noise
REPEAT_WINDOW_S = 2.0
MAX_ARRIVAL_JITTER_S = 0.02  # by which the times left of first tries differ
MIN_EARLY_TRIES = 2.0  # of a customer at one entry, before its share is bounded
# Early tries per refused first try if callers returned every 2 s, the usual wait, at
# random: 0.28 s of 2 s. Deadlines that differ at random within 6 s look like 0.05.
EARLY_TRY_SHARE = 0.14
# Of the weight of returns while first tries alone would fit: a return that is admitted
# does not come again, and refusing it would keep a level up after its cause.
RETURN_WEIGHT = 0.5
FITTING_USE = (0.9, 1.2)  # of first tries, between which returns get their full weight
RESERVED_SLOT_SHARE = 0.12  # kept from the least urgent rank; at least one slot
CALM_TICK_S = 0.3  # with free slots; one step reads all instances, in 0.1 ms
IDLE_STATE_S = 30.0  # after which the state of a model without requests is dropped
CALM_S = 2.0  # without a refusal, until the end of a level is logged


class RefusalReason(Enum):
    """Why a request yields, with the text for the caller."""

    PRIORITY = "more urgent requests need the slots"
    LATE = "requests that can be in time need the slots"
    SHARE = "other customers have not had their share of the slots"
    REPEATS = "too many tries of this customer came back before Retry-After"

    @property
    def label(self) -> str:
        """Return the value for logs and metrics."""
        return self.name.lower()


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """The request may be placed, with the share of slots it leaves to others."""

    level: float | None = None  # refused share of all requests, ``None`` if not judged
    reserved_share: float = 0.0  # of the slots of each group


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """The request yields and may return after ``retry_after_s`` seconds."""

    reason: RefusalReason
    retry_after_s: float
    level: float | None = None


class AdmissionPolicy(ABC):
    """Decides which requests of callers are placed at all."""

    @abstractmethod
    def decide(
        self,
        *,
        pending: Pending,
        priority: int,
        customer: CustomerName | None,
        cost: float = DEFAULT_COST,
        left_s: float,
        now_s: float,
    ) -> Admitted | Refused:
        """Decide once for a request of a caller, and count it.

        ``priority`` is 0 for the most urgent; ``cost`` is relative to a mean request;
        ``left_s`` are the seconds until the caller's deadline.
        """

    def rank(self, service: ApplicationName, priority: int) -> Rank | None:
        """Return the rank of a priority in a service, ``None`` if it has no effect."""
        return None

    def apply_table(self, table: RoutingTable) -> None:
        """Learn the priorities of a configuration version."""

    def record_full(
        self, service: ApplicationName, model: ModelName | None, *, now_s: float
    ) -> None:
        """Count an admitted request that no instance took."""

    def update(self, *, now_s: float) -> None:
        """Let the levels follow the loads up to clock time ``now_s``."""

    def level(self) -> float:
        """Return the largest refused share of all models, 0 to 1."""
        return 0.0

    def counts(self) -> Iterator[tuple[tuple[str, str, str], int]]:
        """Yield service, priority and result of decisions, with their numbers."""
        return iter(())


class OpenAdmission(AdmissionPolicy):
    """Admits every request.

    This is the baseline: with too little capacity, the most urgent requests find full
    groups as often as the least urgent ones.
    """

    def decide(self, *, pending, priority, customer, cost=DEFAULT_COST, left_s, now_s):
        return Admitted()


class Try(Enum):
    """When a try comes, seen from the first one of its caller."""

    FIRST = "first"
    EARLY = "early"  # before any ``Retry-After`` that it can have got
    LATER = "later"

    @classmethod
    def of(cls, *, spent_s: float, left_s: float) -> "Try":
        """Return the kind of a try.

        ``spent_s`` and ``left_s`` are the seconds since the first try and until the
        deadline of the caller.
        """
        if spent_s <= MAX_ARRIVAL_JITTER_S:
            return cls.FIRST
        least_s = min(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_SHARE * (spent_s + left_s))
        least_s *= 1.0 - RETRY_JITTER_SHARE
        return cls.EARLY if spent_s < least_s else cls.LATER


class CustomerUse:
    """Sums the admitted cost and the tries of each customer of a model."""

    def __init__(self) -> None:
        self._costs: dict[CustomerName | None, SlidingCount] = {}
        self._tries = {kind: {} for kind in Try}
        self._refused: dict[CustomerName | None, SlidingCount] = {}  # first tries

    def count(self, customer: CustomerName | None, kind: Try, *, now_s: float) -> None:
        """Count a try."""
        _add(self._tries[kind], customer, 1.0, SHARE_WINDOW_S, now_s)

    def refuse(self, customer: CustomerName | None, kind: Try, *, now_s: float) -> None:
        """Count a refused try."""
        if kind is Try.FIRST:
            _add(self._refused, customer, 1.0, SHARE_WINDOW_S, now_s)

    def admit(
        self, customer: CustomerName | None, cost: float, *, now_s: float
    ) -> None:
        """Add the cost of an admitted request."""
        _add(self._costs, customer, cost, SHARE_WINDOW_S, now_s)

    def is_over_share(
        self, customer: CustomerName | None, cost: float, *, now_s: float
    ) -> bool:
        """Return whether a request would take a customer over its fair share."""
        names = {*self._tries[Try.FIRST], *self._tries[Try.LATER]} - {customer}
        if not names:
            return False
        others = sum(_total(self._costs, name, now_s) for name in names)
        own = _total(self._costs, customer, now_s)
        return own + cost > MAX_FAIR_SHARE * others / len(names) + SHARE_SLACK_COST

    def kept_share(
        self, customer: CustomerName | None, kind: Try, *, now_s: float
    ) -> float:
        """Return the share of the returns of a customer that are judged at all.

        Of a customer whose callers return early, only as many are as would come if
        they waited, so that more tries do not bring more slots.
        """
        if kind is Try.FIRST:
            return 1.0
        early = _total(self._tries[Try.EARLY], customer, now_s)
        first = _total(self._tries[Try.FIRST], customer, now_s)
        if early < max(MIN_EARLY_TRIES, EARLY_TRY_SHARE * first):
            return 1.0
        if kind is Try.EARLY:
            return 0.0
        refused = _total(self._refused, customer, now_s)
        return min(EARLY_TRY_SHARE * refused / early, 1.0)

    def expire(self, *, now_s: float) -> None:
        """Forget customers without recent tries."""
        for counts in (self._costs, self._refused, *self._tries.values()):
            for name, count in list(counts.items()):
                if count.total(now_s=now_s) <= 1e-9:
                    del counts[name]


def _add(
    counts: dict[CustomerName | None, SlidingCount],
    customer: CustomerName | None,
    amount: float,
    window_s: float,
    now_s: float,
) -> None:
    if customer not in counts:
        counts[customer] = SlidingCount(window_s=window_s)
    counts[customer].add(amount, now_s=now_s)


def _total(
    counts: dict[CustomerName | None, SlidingCount],
    customer: CustomerName | None,
    now_s: float,
) -> float:
    count = counts.get(customer)
    return 0.0 if count is None else count.total(now_s=now_s)


class ModelLevel:
    """The share of the requests for one model that are admitted, and its evidence.

    The reported load shows what was admitted while its requests arrived, which is
    known. Their quotient is the offered load, which does not depend on the level, so
    the level is set from it without swinging around the load that it causes.
    """

    def __init__(self, *, now_s: float) -> None:
        self.admitted = 1.0  # share of all cost
        self.use = 0.0  # of the slots, as known at the last tick
        self.slots = 0
        self._load = 0
        self.hold_s = 1.0  # for which a request takes a slot
        self.asked_s = now_s
        self.customers = CustomerUse()
        self.refused_s = float("-inf")
        self.is_logged = False
        self.ticked_s = now_s
        # Admitted share, averaged over the requests that take slots, by time.
        self._in_slots = 1.0
        self._history: deque[tuple[float, float]] = deque()
        self._demand: dict[int, float] = {}  # cost per second by rank
        self._first_cost = 0.0  # part of the demand by first tries
        self._demand_s = now_s
        self._tries = SlidingCount(window_s=FULL_WINDOW_S)
        self._full = SlidingCount(window_s=FULL_WINDOW_S)
        self._passed = SlidingCount(window_s=REPEAT_WINDOW_S)
        self._waiting: dict[int, SlidingCount] = {}

    def count(self, rank: Rank, cost: float, kind: Try, *, now_s: float) -> None:
        """Count the demand of a request before it is decided."""
        self.asked_s = now_s
        kept = math.exp(-max(now_s - self._demand_s, 0.0) / DEMAND_AVERAGE_S)
        for index in self._demand:
            self._demand[index] *= kept
        self._first_cost = kept * self._first_cost + cost * (kind is Try.FIRST)
        self._demand_s = now_s
        self._demand[rank.index] = self._demand.get(rank.index, 0.0) + cost

    def record(self, rank: Rank, *, admitted: bool, now_s: float) -> None:
        """Record a decision."""
        if admitted:
            self._tries.add(1.0, now_s=now_s)
            self._passed.add(1.0, now_s=now_s)
            return
        self.refused_s = now_s
        if rank.index not in self._waiting:
            self._waiting[rank.index] = SlidingCount(window_s=REPEAT_WINDOW_S)
        self._waiting[rank.index].add(1.0, now_s=now_s)

    def record_full(self, *, now_s: float) -> None:
        """Count an admitted request that no instance took."""
        self._full.add(1.0, now_s=now_s)

    def tick(self, *, load: int, slots: int, now_s: float) -> None:
        """Let the level follow the load and the slots that are known now."""
        self._follow_slots(load, slots)
        self.use = load / slots if slots else 0.0
        steps = int((now_s - self.ticked_s) / TICK_S + 1e-6)
        if steps < 0:
            self.ticked_s = now_s  # the clock went back
        if steps <= 0:
            return
        self.ticked_s += steps * TICK_S
        for _ in range(min(steps, MAX_CATCH_UP_TICKS)):
            gain = min(TICK_S / self.hold_s, 1.0)
            self._in_slots += gain * (self._effective(now_s) - self._in_slots)
        self._history.append((now_s, self._in_slots))
        while len(self._history) > 1 and self._history[1][0] <= now_s - REPORT_AGE_S:
            self._history.popleft()
        steps = min(steps, MAX_CATCH_UP_TICKS)
        wanted = self._wanted()
        change = wanted - self.admitted
        change = min(max(change, -MAX_STEP * steps), MAX_OPENING_STEP * steps)
        self.admitted = min(max(self.admitted + change, MIN_ADMITTED_SHARE), 1.0)

    def _follow_slots(self, load: int, slots: int) -> None:
        """Let the requests of lost or returned groups leave or join the average.

        Otherwise the load that went with the groups would look like less demand.
        """
        if self.slots and self._load and slots != self.slots:
            least, most = sorted((1.0, slots / self.slots))
            change = min(max(load / self._load, least), most)
            self._in_slots = min(change * self._in_slots, 1.0)
            self._history = deque(
                (at, min(change * part, 1.0)) for at, part in self._history
            )
        self._load, self.slots = load, slots

    def _effective(self, now_s: float) -> float:
        """Return the share of the demand that is admitted and taken by instances."""
        tries = self._tries.total(now_s=now_s) + FULL_PRIOR
        full = min(self._full.total(now_s=now_s), tries - FULL_PRIOR)
        share = 1.0 if self.is_open else self.admitted
        return share * (1.0 - full / tries)

    def _wanted(self) -> float:
        offered = self.use / max(self._history[0][1], MIN_ADMITTED_SHARE)
        offered *= self._return_factor(offered)
        steady = TARGET_USE / max(offered, 1e-6)
        # The requests admitted lately are in the slots, or will be in the reports.
        excess = self._in_slots - min(steady, 1.0)
        wanted = steady - excess * self.hold_s / SETTLE_S
        return max(wanted, MIN_STEADY_SHARE * steady)

    def _return_factor(self, offered: float) -> float:
        """Return the factor on the offered load that gives returns their weight."""
        demand = sum(self._demand.values())
        first = (self._first_cost + PRIOR_DEMAND) / (demand + PRIOR_DEMAND)
        least, most = FITTING_USE
        excess = min(max((offered * first - least) / (most - least), 0.0), 1.0)
        weight = RETURN_WEIGHT + (1.0 - RETURN_WEIGHT) * excess
        return first + (1.0 - first) * weight

    @property
    def is_open(self) -> bool:
        """Return whether slots are free, so that nothing is refused."""
        return self.use < UNQUEUED_LOAD_SHARE

    @property
    def is_calm(self) -> bool:
        """Return whether all requests are admitted and are likely to be for a while."""
        return self.is_open and self.admitted >= 1.0 and not self.is_logged

    @property
    def level(self) -> float:
        """Return the share of the cost that is refused."""
        return 0.0 if self.is_open else 1.0 - self.admitted

    def admitted_share(self, rank: Rank) -> float:
        """Return the share of the requests of a rank that are admitted.

        The most urgent rank is filled first, after the floor of each rank.
        """
        if self.is_open:
            return 1.0
        floor = FLOOR_SHARE * self.admitted
        demand = [
            self._demand.get(index, 0.0) + PRIOR_DEMAND for index in range(rank.count)
        ]
        left = (self.admitted - floor) * sum(demand)
        for index, amount in enumerate(demand):
            room = amount * (1.0 - floor)
            if index == rank.index:
                return floor + (1.0 - floor) * min(left / room, 1.0)
            left = max(left - room, 0.0)
        return floor

    def wait_s(self, rank: Rank, *, now_s: float) -> float:
        """Return the seconds until room is expected for a refused request of a rank.

        Refused requests of its rank and above return before it, at the rate at which
        this entry has admitted requests.
        """
        ahead = sum(
            count.total(now_s=now_s)
            for index, count in self._waiting.items()
            if index <= rank.index
        )
        rate = self._passed.total(now_s=now_s) / REPEAT_WINDOW_S
        wait_s = MIN_RETRY_DELAY_S + ahead / max(rate, 1.0 / REPEAT_WINDOW_S)
        return min(wait_s, MAX_RETRY_DELAY_S)


class LevelAdmission(AdmissionPolicy):
    """Refuses the least urgent requests first while a model has too few slots.

    It handles bursts, and losses of groups or failure domains, that last for seconds
    with loads that are 0.3 to 1 s old. Each entry sets its level from the reported
    loads of all groups, which all entries see alike, so no messages are needed.
    """

    def __init__(self, *, capacities: CapacityReader, rng: random.Random) -> None:
        self._capacities = capacities
        self._rng = rng
        self._priorities: dict[ApplicationName, list[int]] = {}
        self._table: RoutingTable | None = None
        self._levels: dict[tuple[ApplicationName, ModelName], ModelLevel] = {}
        self._counts: Counter[tuple[str, str, str]] = Counter()
        self._updated_s = float("-inf")

    def apply_table(self, table):
        self._table = table
        found: dict[ApplicationName, set[int]] = {}
        for route in table.cfg.routes:
            for target in route.targets:
                found.setdefault(target.service, set()).add(route.priority)
        customers = {
            tenant.priority
            for tenant in table.cfg.tenants
            if tenant.priority is not None
        }
        self._priorities = {
            service: sorted(priorities | customers)
            for service, priorities in found.items()
        }

    def rank(self, service, priority):
        known = self._priorities.get(service) or [priority]
        index = min(bisect_left(known, priority), len(known) - 1)
        return Rank(index=index, count=len(known))

    def _is_known(self, pending: Pending) -> bool:
        """Return whether an engine has the model, whose name is the caller's word."""
        if pending.model is None:
            return False
        if self._table is None:
            return True  # nothing is served yet
        spec = self._table.services.get(pending.service)
        engine = None if spec is None else spec.engine
        return engine is not None and engine.model(pending.model) is not None

    def decide(self, *, pending, priority, customer, cost=DEFAULT_COST, left_s, now_s):
        if pending.midway or not self._is_known(pending):
            return Admitted()
        level = self._level(pending, now_s)
        rank = self.rank(pending.service, priority)
        kind = Try.of(spent_s=pending.spent_s, left_s=left_s)
        level.count(rank, cost, kind, now_s=now_s)
        level.customers.count(customer, kind, now_s=now_s)
        reason, reserved = self._judge(
            level, rank, pending, kind, customer, cost, now_s
        )
        level.record(rank, admitted=reason is None, now_s=now_s)
        result = "admitted" if reason is None else reason.label
        self._counts[str(pending.service), str(priority), result] += 1
        if reason is None:
            level.customers.admit(customer, cost, now_s=now_s)
            return Admitted(level=level.level, reserved_share=reserved)
        level.customers.refuse(customer, kind, now_s=now_s)
        self._log_change(level, pending, now_s)
        wait_s = min(
            level.wait_s(rank, now_s=now_s), MAX_RETRY_DELAY_SHARE * max(left_s, 0.0)
        )
        return Refused(
            reason=reason,
            retry_after_s=wait_s * (1.0 - RETRY_JITTER_SHARE * self._rng.random()),
            level=level.level,
        )

    def _judge(
        self,
        level: ModelLevel,
        rank: Rank,
        pending: Pending,
        kind: Try,
        customer: CustomerName | None,
        cost: float,
        now_s: float,
    ) -> tuple[RefusalReason | None, float]:
        """Return why a request is refused, or the share of slots that it leaves."""
        if level.is_open:
            return None, 0.0
        kept = level.customers.kept_share(customer, kind, now_s=now_s)
        if level.admitted < 1.0 and self._rng.random() >= kept:
            return RefusalReason.REPEATS, 0.0
        share = level.admitted_share(rank)
        draw = self._rng.random()
        # Admitted whatever else is known of it, so that nothing is starved.
        if draw < FLOOR_SHARE * level.admitted:
            return None, 0.0
        reserved = RESERVED_SLOT_SHARE * rank.index / max(rank.count - 1, 1)
        if level.admitted >= 1.0:
            return None, reserved
        is_over = level.customers.is_over_share(customer, cost, now_s=now_s)
        if draw >= share:
            return RefusalReason.PRIORITY, 0.0
        yielding = max(1.0 - YIELD_FACTOR * (1.0 - share), 0.0)
        if draw >= yielding:
            if is_over:
                return RefusalReason.SHARE, 0.0
            if pending.spent_s >= pending.objective_s > 0:
                return RefusalReason.LATE, 0.0
        return None, reserved

    def _level(self, pending: Pending, now_s: float) -> ModelLevel:
        key = (pending.service, pending.model)
        level = self._levels.get(key)
        if level is None:
            level = self._levels[key] = ModelLevel(now_s=now_s - TICK_S)
        self._tick(key, level, now_s)
        return level

    def _tick(
        self, key: tuple[ApplicationName, ModelName], level: ModelLevel, now_s: float
    ) -> None:
        capacity = self._capacities.read(*key)
        spec = self._table.services.get(key[0]) if self._table else None
        model = spec.engine.model(key[1]) if spec and spec.engine else None
        if model is not None:
            hold_s = mean_slot_wait_s(spec.engine, model) * spec.engine.slots
            level.hold_s = max(hold_s, TICK_S)
        level.tick(load=capacity.load, slots=capacity.slots, now_s=now_s)

    def record_full(self, service, model, *, now_s):
        level = self._levels.get((service, model))
        if level is not None:
            level.record_full(now_s=now_s)

    def update(self, *, now_s):
        if 0.0 <= now_s - self._updated_s < TICK_S - 1e-6:
            return
        self._updated_s = now_s
        for key, level in list(self._levels.items()):
            if now_s - level.asked_s > IDLE_STATE_S:
                del self._levels[key]
                continue
            if level.is_calm and 0.0 <= now_s - level.ticked_s < CALM_TICK_S:
                continue
            self._tick(key, level, now_s)
            level.customers.expire(now_s=now_s)
            if level.is_logged and now_s - level.refused_s > CALM_S:
                level.is_logged = False
                logger.info("all requests admitted again", extra={"model": key[1]})

    def _log_change(self, level: ModelLevel, pending: Pending, now_s: float) -> None:
        if not level.is_logged:
            level.is_logged = True
            logger.info(
                "requests refused by priority",
                extra={
                    "service": pending.service,
                    "model": pending.model,
                    "level": round(level.level, 2),
                    "use": round(level.use, 2),
                    "slots": level.slots,
                },
            )

    def level(self):
        return max((level.level for level in self._levels.values()), default=0.0)

    def counts(self):
        return iter(self._counts.items())
