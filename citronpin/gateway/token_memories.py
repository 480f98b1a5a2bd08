"""Decides whether a request fits into the token memory of an instance.

An instance that is full of tokens preempts its newest request, even in the middle of an
answer, and crashes if what it holds exceeds its memory. Its slots say nothing of that:
a few long prompts fill it.
"""

import logging
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence

from citronpin.basics.ids import InstanceId
from citronpin.gateway.demands import Demand
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.load_trackers import (
    PEER_REPORT_MAX_AGE_S,
    LoadReport,
    LoadTracker,
)

logger = logging.getLogger(__name__)

# Of the memory that a request may be expected to fill. The rest is for the requests of
# other entries that arrive before the next report.
FILL_SHARE = 0.9
HISTORY_S = 3.0  # of own tokens; reports are at most this old
SAMPLE_INTERVAL_S = 0.1  # of own tokens between starts and ends of requests
MAX_INSTANCES = 4_096  # with own history


class HeldRequest(ABC):
    """The tokens of one attempt at an instance, which follow its course."""

    share: float | None = None  # of the memory, expected to be filled with the request

    @abstractmethod
    def started(self, *, now_s: float) -> None:
        """Count the prompt of a request that was sent at a clock time in seconds."""

    @abstractmethod
    def progressed(self, *, now_s: float) -> None:
        """Count the tokens of an event of the answer."""

    @abstractmethod
    def ended(self, *, now_s: float) -> None:
        """Remove the tokens of the request."""


class TokenMemory(ABC):
    """Decides by tokens where a request may be placed."""

    @abstractmethod
    def fits(self, instance: FleetInstance, demand: Demand, now_s: float) -> bool:
        """Return whether the instance is expected to have memory for a request.

        ``now_s`` is the clock time in seconds.
        """

    def is_too_large(self, instance: FleetInstance, demand: Demand) -> bool:
        """Return whether a request exceeds the memory of an instance that is empty."""
        return False

    def with_room(
        self, instances: Sequence[FleetInstance], demand: Demand
    ) -> list[FleetInstance]:
        """Return the instances whose last reports leave room for a request.

        It costs less than `fits` for each of them, which a selected one has to pass.
        """
        return list(instances)

    def hold(
        self, instance: FleetInstance, demand: Demand, now_s: float
    ) -> HeldRequest | None:
        """Return what counts the tokens of a request placed on an instance.

        ``None`` means that the tokens of the request are not known.
        """
        return None

    def fullest_share(self) -> float:
        """Return the tokens held at the fullest instance over its memory, 0 to 1."""
        return 0.0


class SlotsOnly(TokenMemory):
    """Lets slots alone decide. This is the baseline, and what is used without a pool.

    Under large prompts, instances with free slots run out of memory.
    """

    def fits(self, instance, demand, now_s):
        return True


class OwnTokens:
    """The tokens of this entry's own requests at one instance, now and lately."""

    __slots__ = ("tokens", "_samples", "_report", "_others")

    def __init__(self) -> None:
        self.tokens = 0
        self._samples: deque[tuple[float, int]] = deque([(float("-inf"), 0)])
        self._report: LoadReport | None = None
        self._others = 0

    def add(self, tokens: int, *, now_s: float) -> None:
        """Change the count at a start or an end of a request."""
        self.tokens += tokens
        self._add_sample(now_s)

    def add_written(self, tokens: int, *, now_s: float) -> None:
        """Count more tokens of an answer."""
        self.tokens += tokens
        if not 0.0 <= now_s - self._samples[-1][0] < SAMPLE_INTERVAL_S:
            self._add_sample(now_s)

    def _add_sample(self, now_s: float) -> None:
        samples = self._samples
        samples.append((now_s, self.tokens))
        while len(samples) > 1 and samples[1][0] <= now_s - HISTORY_S:
            samples.popleft()

    def others(self, report: LoadReport) -> int:
        """Return the tokens in a report that are not of this entry's requests."""
        if report is not self._report:
            own = 0
            for sampled_s, tokens in reversed(self._samples):
                own = tokens
                if sampled_s <= report.as_of_s:
                    break
            self._report = report
            self._others = max(report.used_tokens - own, 0)
        return self._others


class OwnRequestTokens(HeldRequest):
    """The tokens of one own request: its prompt and what was written so far."""

    __slots__ = ("_memory", "_name", "_own", "_tokens", "_per_event", "share")

    def __init__(
        self,
        *,
        memory: "ReportedMemory",
        name: InstanceId,
        tokens: int,
        per_event: int,
        share: float | None,
    ) -> None:
        self._memory = memory
        self._name = name
        self._own: OwnTokens | None = None  # set while it is in progress
        self._tokens = tokens
        self._per_event = per_event
        self.share = share

    def started(self, *, now_s):
        self._own = self._memory.own_tokens(self._name)
        self._own.add(self._tokens, now_s=now_s)

    def progressed(self, *, now_s):
        if self._own is not None:
            self._tokens += self._per_event
            self._own.add_written(self._per_event, now_s=now_s)

    def ended(self, *, now_s):
        if self._own is not None:
            self._own.add(-self._tokens, now_s=now_s)
            self._own = None


class ReportedMemory(TokenMemory):
    """Compares the tokens held at an instance, and those of a request, with its memory.

    It handles requests of up to thousands of prompt tokens on instances whose memory
    fits about half of their slots, from many entries that see each other's requests
    only in reports, 0.3 to 1 s late. Own requests count as their prompt and the tokens
    written so far, all others by the last report less the own tokens at its time, so
    that none counts twice. The request itself counts with its expected answer.

    Without a report for 1.5 s only own requests count. Where neither reports nor the
    configuration tell the memory, every request fits.
    """

    def __init__(self, *, loads: LoadTracker) -> None:
        self._loads = loads
        self._own: dict[InstanceId, OwnTokens] = {}

    def fits(self, instance, demand, now_s):
        cost = demand.cost
        if cost is None:
            return True
        report = self._loads.reports.get(instance.id)
        memory = _memory_tokens(report, demand)
        if memory <= 0:
            return True
        if cost.prompt_tokens + demand.written_tokens >= memory:
            return False
        held = self._held_tokens(instance.id, report, now_s)
        return held <= 0 or held + _expected_tokens(demand) <= FILL_SHARE * memory

    def is_too_large(self, instance, demand):
        if demand.cost is None:
            return False
        memory = _memory_tokens(self._loads.reports.get(instance.id), demand)
        return 0 < memory <= demand.cost.prompt_tokens + demand.written_tokens

    def with_room(self, instances, demand):
        if demand.cost is None:
            return list(instances)
        get, needed = self._loads.reports.get, _expected_tokens(demand)
        default = demand.engine.memory_tokens if demand.engine is not None else 0
        return [
            one
            for one in instances
            if (report := get(one.id)) is None
            or not (used := report.used_tokens)
            or not (memory := report.memory_tokens or default)
            or used + needed <= FILL_SHARE * memory
        ]

    def hold(self, instance, demand, now_s):
        cost = demand.cost
        if cost is None:
            return None
        report = self._loads.reports.get(instance.id)
        memory = _memory_tokens(report, demand)
        share = None
        if memory > 0:
            held = self._held_tokens(instance.id, report, now_s)
            share = (held + _expected_tokens(demand)) / memory
        return OwnRequestTokens(
            memory=self,
            name=instance.id,
            tokens=cost.prompt_tokens + demand.written_tokens,
            per_event=cost.tokens_per_event,
            share=share,
        )

    def _held_tokens(
        self, name: InstanceId, report: LoadReport | None, now_s: float
    ) -> int:
        own = self._own.get(name)
        if report is None or now_s - report.heard_s > PEER_REPORT_MAX_AGE_S:
            return 0 if own is None else own.tokens
        if own is None:
            return report.used_tokens
        return own.tokens + own.others(report)

    def own_tokens(self, name: InstanceId) -> OwnTokens:
        """Return the count of the own tokens at an instance."""
        own = self._own.get(name)
        if own is None:
            if len(self._own) >= MAX_INSTANCES:
                self._discard_idle()
            own = self._own[name] = OwnTokens()
        return own

    def _discard_idle(self) -> None:
        """Discard the counts of instances without own requests."""
        for name in [name for name, own in self._own.items() if not own.tokens]:
            del self._own[name]

    def fullest_share(self):
        return max(
            (
                report.used_tokens / report.memory_tokens
                for report in self._loads.reports.values()
                if report.memory_tokens
            ),
            default=0.0,
        )


def _memory_tokens(report: LoadReport | None, demand: Demand) -> int:
    """Return the memory of an instance in tokens, 0 when unknown."""
    if report is not None and report.memory_tokens:
        return report.memory_tokens
    return demand.engine.memory_tokens if demand.engine is not None else 0


def _expected_tokens(demand: Demand) -> float:
    cost = demand.cost
    return cost.prompt_tokens + max(cost.answer_tokens, demand.written_tokens)
