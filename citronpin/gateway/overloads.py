"""How much work an instance is given, and when refused callers come back.

Pure decisions of typed state and a time; each policy names the load it answers.
"""

import logging
from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from citronpin.basics.ids import ApplicationName, ModelName
from citronpin.gateway.budgets import SlidingCount
from citronpin.gateway.routings import EngineSpec, ModelSpec

logger = logging.getLogger(__name__)

LEARNING_RATE = 0.1  # of the newest time to the first event
QUIET_SHARE = 0.7  # of the slots; below it nothing waits for a place
DEFAULT_FIRST_S = 0.15  # until the first answers were seen
MAX_QUEUE = 4  # requests; an instance refuses more than a few that wait
LATE_RESERVE = 1  # places kept free for requests that can still be in time
RESUME_QUEUE = 3  # a caller midway loses most by a refusal
PRESSURE_WINDOW_S = 2.0
SHORT_WAIT_S = 0.4  # a place is free again after about one answer
LONG_WAIT_S = 2.4  # when nearly all are refused
RETRY_SPREAD = 0.3  # callers that are refused together come back apart
HONOURED_SHARE = 1 / 3  # of the time left; callers come back sooner than a longer wait


class Pending(msgspec.Struct, frozen=True, kw_only=True):
    """What an admission rule looks at; times in seconds."""

    service: ApplicationName
    model: ModelName | None
    objective_s: float  # to the first event, counted from the caller's first attempt
    spent_s: float  # of it, as far as known
    midway: bool = False  # its answer has begun


class Urgency(Enum):
    """The order in which an instance takes waiting requests; 0 is first."""

    MIDWAY = 0
    IN_TIME = 3
    LATE = 7


def urgency(pending: Pending) -> Urgency:
    """Return how urgent a request is: what is late waits behind what is not."""
    if pending.midway:
        return Urgency.MIDWAY
    late = pending.spent_s >= pending.objective_s > 0
    return Urgency.LATE if late else Urgency.IN_TIME


class FirstEventTimes:
    """Learns how long a first event takes where no request waits for a place."""

    def __init__(self) -> None:
        self._times: dict[tuple[ApplicationName, ModelName | None], float] = {}

    def observed(
        self,
        *,
        service: ApplicationName,
        model: ModelName | None,
        first_s: float,
        load: int,
        slots: int,
    ) -> None:
        """Take the time from sending to the first event at a load."""
        if load >= QUIET_SHARE * slots:
            return
        known = self._times.get((service, model), first_s)
        self._times[service, model] = known + LEARNING_RATE * (first_s - known)

    def usual_s(self, service: ApplicationName, model: ModelName | None) -> float:
        """Return the smoothed time."""
        return self._times.get((service, model), DEFAULT_FIRST_S)


def place_s(engine: EngineSpec, spec: ModelSpec) -> float:
    """Return the mean time until one of a full group's places becomes free."""
    context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    step_s = engine.step_s + engine.slots * (
        engine.step_per_writer_s + context * engine.step_per_context_token_s
    )
    return spec.pace * engine.mean_answer_tokens * step_s / max(engine.slots, 1)


class LoadLimitPolicy(ABC):
    """Says how many requests in progress an instance may have for one more."""

    @abstractmethod
    def room(self, *, pending: Pending, slots: int, engine: EngineSpec | None) -> float:
        """Return the load at which the instance gets no more such requests."""


class FixedLoadLimit(LoadLimitPolicy):
    """Lets a fixed number wait at each instance, whatever becomes of them.

    The baseline: under steady overload every request waits in a full queue and all
    are late.
    """

    def __init__(self, *, queue: int = MAX_QUEUE) -> None:
        self._queue = queue

    def room(self, *, pending, slots, engine):
        return slots + self._queue


class ObjectiveLoadLimit(LoadLimitPolicy):
    """Lets a request wait only where it can still meet its objective.

    The load it answers: demand beyond the places for seconds, after groups were lost
    or in a burst. A request that waits too long is late, and so is every one behind
    it; refused at once, it comes back later and the places serve others in time. What
    is late already takes places that are free, but none that others wait for, and
    waits behind them (`urgency`).
    """

    def __init__(self, *, times: FirstEventTimes) -> None:
        self._times = times

    def room(self, *, pending, slots, engine):
        spec = engine.model(pending.model) if engine and pending.model else None
        if spec is None:
            return slots + MAX_QUEUE
        if pending.midway:
            return slots + RESUME_QUEUE
        left_s = pending.objective_s - pending.spent_s
        if left_s <= 0:
            return slots - LATE_RESERVE
        spare_s = left_s - self._times.usual_s(pending.service, pending.model)
        queue = spare_s / max(place_s(engine, spec), 1e-3)
        return slots + min(max(queue, 0.0), MAX_QUEUE)


class RetryDelays:
    """Says when refused callers come back: the fuller, the later, and apart.

    The load it answers: many callers are refused within a second. Sent back at once
    they would only be refused again, and together they would make the next burst.
    """

    def __init__(self) -> None:
        self._asked = SlidingCount(window_s=PRESSURE_WINDOW_S)
        self._refused = SlidingCount(window_s=PRESSURE_WINDOW_S)

    def count_request(self, *, now_s: float) -> None:
        """Count a request."""
        self._asked.add(1.0, now_s=now_s)

    def refuse(self, *, left_s: float, draw: float, now_s: float) -> float:
        """Count a refusal and return after how many seconds to come back.

        ``left_s`` is what is left of the caller's time, ``draw`` is uniform in 0..1.
        """
        self._refused.add(1.0, now_s=now_s)
        count_request = max(self._asked.total(now_s=now_s), 1.0)
        share = min(self._refused.total(now_s=now_s) / count_request, 1.0)
        wait_s = SHORT_WAIT_S + share * (LONG_WAIT_S - SHORT_WAIT_S)
        wait_s = min(wait_s, HONOURED_SHARE * max(left_s, 0.0))
        return wait_s * (1.0 - RETRY_SPREAD * draw)
