"""Admission policies: which requests go now, wait or are refused at once.

A refusal is a final answer, *not run*, and says when to come back.
"""

import logging
from abc import ABC, abstractmethod
from collections import deque

import msgspec
from numpy.random import Generator

from citronpin.basics.ids import CustomerName, DeploymentName, RequestId

logger = logging.getLogger(__name__)


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that asks to be dispatched; ``deadline_s`` is a clock time."""

    request: RequestId
    customer: CustomerName
    deployment: DeploymentName
    deadline_s: float
    share: float = 1.0
    priority: int = 0
    expected_tokens: int = 0


class Admit(msgspec.Struct, frozen=True):
    """Dispatch it now."""


class Queue(msgspec.Struct, frozen=True):
    """Hold it; `take_ready` or `take_expired` will name it."""

    expected_wait_s: float = 0.0


class Refuse(msgspec.Struct, frozen=True):
    """Answer at once that it was not run."""

    reason: str
    retry_after_s: float


Decision = Admit | Queue | Refuse


class AdmissionPolicy(ABC):
    """Decides on the requests of one entry for one deployment."""

    name = ""

    @abstractmethod
    def offer(self, *, req: AdmissionRequest, now_s: float) -> Decision:
        """Decide on a request that just came."""

    @abstractmethod
    def ended(self, *, request: RequestId, now_s: float) -> None:
        """Take the end of an admitted request, however it ended."""

    @abstractmethod
    def take_ready(self, *, now_s: float) -> list[RequestId]:
        """Return queued requests that go now; each is admitted by this."""

    @abstractmethod
    def take_expired(self, *, now_s: float) -> list[tuple[RequestId, Refuse]]:
        """Return queued requests that are given up, with the answer of each."""

    @abstractmethod
    def cancelled(self, *, request: RequestId, now_s: float) -> None:
        """Forget a queued request whose caller left."""

    def first_token(self, *, request: RequestId, delay_s: float, now_s: float) -> None:
        """Take the time from dispatch to the first token of a request."""

    def slots(
        self,
        *,
        slots: float,
        now_s: float,
        running: int | None = None,
        queued: int | None = None,
    ) -> None:
        """Take the sums of the latest load reports of all serving groups.

        ``slots`` is what the groups batch; ``running`` and ``queued`` count the
        requests of all entries; without them ``slots`` is the limit.
        """


ADMISSIONS: dict[str, type[AdmissionPolicy]] = {}


def register(policy: type[AdmissionPolicy]) -> type[AdmissionPolicy]:
    """Register an admission policy by the name that settings use."""
    ADMISSIONS[policy.name] = policy
    return policy


@register
class FifoAdmission(AdmissionPolicy):
    """A fixed number in flight and one bounded queue in order of arrival."""

    name = "fifo"
    RETRY_AFTER_S = 1.0

    def __init__(
        self,
        *,
        in_flight: int = 64,
        queued: int = 256,
        rng: Generator | None = None,
    ) -> None:
        self._most_in_flight = in_flight
        self._most_queued = queued
        self._running: set[RequestId] = set()
        self._queue: deque[AdmissionRequest] = deque()

    def offer(self, *, req, now_s):
        if len(self._running) < self._most_in_flight and not self._queue:
            self._running.add(req.request)
            return Admit()
        if len(self._queue) >= self._most_queued:
            return Refuse("The queue is full.", self.RETRY_AFTER_S)
        self._queue.append(req)
        return Queue()

    def ended(self, *, request, now_s):
        self._running.discard(request)

    def take_ready(self, *, now_s):
        ready = []
        while self._queue and len(self._running) < self._most_in_flight:
            req = self._queue.popleft()
            self._running.add(req.request)
            ready.append(req.request)
        return ready

    def take_expired(self, *, now_s):
        late = [req for req in self._queue if req.deadline_s <= now_s]
        for req in late:
            self._queue.remove(req)
        answer = Refuse("The deadline passed in the queue.", self.RETRY_AFTER_S)
        return [(req.request, answer) for req in late]

    def cancelled(self, *, request, now_s):
        self._queue = deque(req for req in self._queue if req.request != request)


@register
class OpenAdmission(AdmissionPolicy):
    """Admits every request at once."""

    name = "open"

    def __init__(self, *, rng: Generator | None = None) -> None:
        """Take the generator that other policies need; nothing is drawn."""

    def offer(self, *, req, now_s):
        return Admit()

    def ended(self, *, request, now_s):
        """Nothing is kept."""

    def take_ready(self, *, now_s):
        return []

    def take_expired(self, *, now_s):
        return []

    def cancelled(self, *, request, now_s):
        """Nothing is kept."""
