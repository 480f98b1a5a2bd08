"""Load limits of instances and retry delays of refused callers under overload.

All policies are free of I/O and take the clock time as an argument.
"""

import logging
from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from citronpin.basics.ids import ApplicationName, ModelName
from citronpin.gateway.budgets import SlidingCount
from citronpin.gateway.routings import EngineSpec, ModelSpec

logger = logging.getLogger(__name__)

FIRST_EVENT_WEIGHT = 0.1  # of the newest sample in the moving average
UNQUEUED_LOAD_SHARE = 0.7  # of the slots; below it no request waits for a slot
DEFAULT_FIRST_EVENT_S = 0.15  # until a first event has been measured
MAX_QUEUED_REQUESTS = 4  # instances refuse requests beyond a short queue
LATE_RESERVED_SLOTS = 1  # kept free for requests that can meet their objective
MAX_QUEUED_RESUMPTIONS = 3  # a refusal costs a caller its partial answer
REFUSAL_WINDOW_S = 2.0
MIN_RETRY_DELAY_S = 0.4  # about one answer, after which a slot becomes free
MAX_RETRY_DELAY_S = 2.4  # when nearly all requests are refused
RETRY_JITTER_SHARE = 0.3  # spreads the retries of callers refused together
# Of the time left to the caller; callers do not wait out a longer Retry-After.
MAX_RETRY_DELAY_SHARE = 1 / 3


class Rank(msgspec.Struct, frozen=True, kw_only=True):
    """Place of a priority among those of its service; index 0 is the most urgent."""

    index: int
    count: int


class Pending(msgspec.Struct, frozen=True, kw_only=True):
    """A request to be placed, as load limit policies see it; times in seconds."""

    service: ApplicationName
    model: ModelName | None
    objective_s: float  # to the first event, from the caller's first attempt
    spent_s: float  # since the first attempt, estimated
    midway: bool = False  # the caller has received part of the answer
    rank: Rank | None = None  # set where priorities have an effect
    reserved_share: float = 0.0  # of the slots, left to more urgent requests


class Urgency(Enum):
    """Scheduling priority of a waiting request at an instance; 0 is first."""

    MIDWAY = 0
    IN_TIME = 3
    LATE = 7


def urgency(pending: Pending) -> Urgency:
    """Return the urgency of a request; one past its objective yields to others."""
    if pending.midway:
        return Urgency.MIDWAY
    late = pending.spent_s >= pending.objective_s > 0
    return Urgency.LATE if late else Urgency.IN_TIME


MAX_URGENCY_NUMBER = 9  # the least urgent that instances tell apart


def urgency_number(pending: Pending) -> int:
    """Return the urgency of a request as instances get it, 0 to 9; 0 is first.

    With a rank, 1 to 8 order the requests by priority and, within one, those that can
    be in time before late ones. Late requests of the last rank get 9.
    """
    kind = urgency(pending)
    if pending.rank is None or kind is Urgency.MIDWAY:
        return kind.value
    position = 2 * pending.rank.index + (kind is Urgency.LATE)
    last = 2 * pending.rank.count - 1
    return 1 + position * (MAX_URGENCY_NUMBER - 1) // last


class FirstEventTimes:
    """Averages the time to the first event on instances without a queue."""

    def __init__(self) -> None:
        self._averages_s: dict[tuple[ApplicationName, ModelName | None], float] = {}

    def record_first_event(
        self,
        *,
        service: ApplicationName,
        model: ModelName | None,
        first_s: float,
        load: int,
        slots: int,
    ) -> None:
        """Record the time from sending to the first event.

        ``load`` is the number of requests on the instance at the time of sending; a
        sample from an instance that may have queued the request is ignored.
        """
        if load >= UNQUEUED_LOAD_SHARE * slots:
            return
        previous_s = self._averages_s.get((service, model), first_s)
        self._averages_s[service, model] = previous_s + FIRST_EVENT_WEIGHT * (
            first_s - previous_s
        )

    def average_s(self, service: ApplicationName, model: ModelName | None) -> float:
        """Return the moving average in seconds, or `DEFAULT_FIRST_EVENT_S`."""
        return self._averages_s.get((service, model), DEFAULT_FIRST_EVENT_S)


def mean_slot_wait_s(engine: EngineSpec, spec: ModelSpec) -> float:
    """Return the mean time in seconds until a full group frees one slot."""
    context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    step_s = engine.step_s + engine.slots * (
        engine.step_per_writer_s + context * engine.step_per_context_token_s
    )
    return spec.pace * engine.mean_answer_tokens * step_s / max(engine.slots, 1)


class LoadLimitPolicy(ABC):
    """Limits the load up to which an instance is sent another request."""

    @abstractmethod
    def load_limit(
        self, *, pending: Pending, slots: int, engine: EngineSpec | None
    ) -> float:
        """Return the number of requests in progress at which no more are sent."""


class FixedLoadLimit(LoadLimitPolicy):
    """Allows a queue of fixed length at each instance.

    This is the baseline: under steady overload every request waits in a full queue
    and misses its objective.
    """

    def __init__(self, *, queue: int = MAX_QUEUED_REQUESTS) -> None:
        self._queue = queue

    def load_limit(self, *, pending, slots, engine):
        return slots + self._queue


class ObjectiveLoadLimit(LoadLimitPolicy):
    """Lets a request queue only where it can still meet its objective.

    It handles demand that exceeds the slots for seconds, after the loss of groups or
    in a burst. A request that waits too long misses its objective and delays every
    request behind it; if it is refused at once, it is retried later and the slots
    serve others in time. A request past its objective may use free slots, but none
    that others wait for, and is scheduled after them (`urgency`).
    """

    def __init__(self, *, first_event_times: FirstEventTimes) -> None:
        self._first_event_times = first_event_times

    def load_limit(self, *, pending, slots, engine):
        limit = self._objective_limit(pending, slots, engine)
        if pending.reserved_share and not pending.midway:
            # A request that leaves slots to others does not queue before them.
            reserved = max(int(pending.reserved_share * slots), 1)
            limit = min(limit, slots - reserved)
        return limit

    def _objective_limit(
        self, pending: Pending, slots: int, engine: EngineSpec | None
    ) -> float:
        spec = engine.model(pending.model) if engine and pending.model else None
        if spec is None:
            return slots + MAX_QUEUED_REQUESTS
        if pending.midway:
            return slots + MAX_QUEUED_RESUMPTIONS
        left_s = pending.objective_s - pending.spent_s
        if left_s <= 0:
            return slots - LATE_RESERVED_SLOTS
        max_wait_s = left_s - self._first_event_times.average_s(
            pending.service, pending.model
        )
        queue = max_wait_s / max(mean_slot_wait_s(engine, spec), 1e-3)
        return slots + min(max(queue, 0.0), MAX_QUEUED_REQUESTS)


class RetryDelays:
    """Sets retry delays that grow with the share of refused requests, with jitter.

    It handles many refusals within a second: immediate retries would be refused
    again, and simultaneous ones would form the next burst.
    """

    def __init__(self) -> None:
        self._requests = SlidingCount(window_s=REFUSAL_WINDOW_S)
        self._refusals = SlidingCount(window_s=REFUSAL_WINDOW_S)

    def count_request(self, *, now_s: float) -> None:
        """Count a request that asks for an instance."""
        self._requests.add(1.0, now_s=now_s)

    def refuse(self, *, left_s: float, draw: float, now_s: float) -> float:
        """Count a refusal and return the retry delay in seconds.

        ``left_s`` is the time left until the caller's deadline; ``draw`` is a uniform
        random number in 0..1 that sets the jitter.
        """
        self._refusals.add(1.0, now_s=now_s)
        requests = max(self._requests.total(now_s=now_s), 1.0)
        share = min(self._refusals.total(now_s=now_s) / requests, 1.0)
        delay_s = MIN_RETRY_DELAY_S + share * (MAX_RETRY_DELAY_S - MIN_RETRY_DELAY_S)
        delay_s = min(delay_s, MAX_RETRY_DELAY_SHARE * max(left_s, 0.0))
        return delay_s * (1.0 - RETRY_JITTER_SHARE * draw)


class BlockedRetryDelays:
    """Spreads the retries of refused callers after limits and rests of instances.

    It handles a service all of whose instances named limits or asked for rest. Under
    limits, each refused caller gets the next of the times at which this entry's part of
    the permits is free. Where instances rest, no caller is told to come back before the
    first end, or `MAX_FIRST_END_S` if that is sooner, and they come back over
    `REST_SPREAD_S`, not all at once.
    """

    # By then an instance may have started anew, or another entry may have places. It
    # also bounds what the faulty answer of an only instance tells callers.
    MAX_FIRST_END_S = 60.0
    REST_SPREAD_S = 1.0

    def __init__(self) -> None:
        self._next_s: dict[ApplicationName, float] = {}  # time of the latest retry

    def delay_s(
        self,
        *,
        service: ApplicationName,
        rate: float,
        rests: bool,
        first_s: float,
        left_s: float,
        draw: float,
        now_s: float,
    ) -> float:
        """Return the retry delay of a refused caller in seconds.

        ``rate`` is this entry's part of the limits in requests per second, ``first_s``
        the time until the first permit or end of a rest; ``left_s`` and ``draw`` are as
        in `RetryDelays.refuse`.
        """
        if rests:
            wait_s = min(first_s, self.MAX_FIRST_END_S)
            return wait_s + self.REST_SPREAD_S * draw
        latest_s = self._next_s.get(service, float("-inf"))
        next_s = max(latest_s + 1.0 / max(rate, 1e-3), now_s + first_s)
        next_s = min(next_s, now_s + MAX_RETRY_DELAY_SHARE * max(left_s, 0.0))
        self._next_s[service] = next_s
        return (next_s - now_s) * (1.0 - RETRY_JITTER_SHARE * draw)
