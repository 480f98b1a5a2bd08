"""Admission policies: whether a request is dispatched, queued or refused.

A refusal is final: the request was not run, and the caller learns after how long to
retry.
"""

import logging
from abc import ABC, abstractmethod
from collections import deque

import msgspec
from numpy.random import Generator

from citronpin.basics.ids import CustomerName, DeploymentName, RequestId

logger = logging.getLogger(__name__)


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that asks for admission.

    ``deadline_s`` is a clock time, ``share`` the weight of the customer among the
    customers of a deployment. A higher ``priority`` goes first.
    """

    request: RequestId
    customer: CustomerName
    deployment: DeploymentName
    deadline_s: float
    share: float = 1.0
    priority: int = 0
    expected_tokens: int = 0


class Admit(msgspec.Struct, frozen=True):
    """The request is dispatched now."""


class Queue(msgspec.Struct, frozen=True):
    """The request is queued until `take_ready` or `take_expired` returns it."""

    expected_wait_s: float = 0.0


class Refuse(msgspec.Struct, frozen=True):
    """The request is refused without being run; retry after ``retry_after_s``."""

    reason: str
    retry_after_s: float


Decision = Admit | Queue | Refuse


class AdmissionPolicy(ABC):
    """Admits, queues or refuses the requests of one entry for one deployment."""

    name = ""

    @abstractmethod
    def offer(self, *, req: AdmissionRequest, now_s: float) -> Decision:
        """Return whether a new request is admitted, queued or refused."""

    @abstractmethod
    def ended(self, *, request: RequestId, now_s: float) -> None:
        """Record the end of an admitted request, whatever its outcome."""

    @abstractmethod
    def take_ready(self, *, now_s: float) -> list[RequestId]:
        """Remove the queued requests that are admitted now and return them."""

    @abstractmethod
    def take_expired(self, *, now_s: float) -> list[tuple[RequestId, Refuse]]:
        """Remove the queued requests that waited too long and return their refusals."""

    @abstractmethod
    def cancelled(self, *, request: RequestId, now_s: float) -> None:
        """Remove a queued request whose caller disconnected."""

    def first_token(self, *, request: RequestId, delay_s: float, now_s: float) -> None:
        """Record the time from dispatch to the first token of a request."""

    def record_total_load(
        self,
        *,
        slots: float,
        now_s: float,
        running: int | None = None,
        queued: int | None = None,
    ) -> None:
        """Record the sums of the latest load reports of all serving groups.

        ``slots`` is the number of requests that the groups can batch; ``running`` and
        ``queued`` count the requests of all entries. Without these two counts,
        ``slots`` is the limit of requests in flight.
        """


ADMISSIONS: dict[str, type[AdmissionPolicy]] = {}


def register(policy: type[AdmissionPolicy]) -> type[AdmissionPolicy]:
    """Register an admission policy by the name that settings use."""
    ADMISSIONS[policy.name] = policy
    return policy


@register
class FifoAdmission(AdmissionPolicy):
    """Admits a fixed number of requests in flight and queues a bounded number.

    The queue is in order of arrival.
    """

    name = "fifo"
    RETRY_AFTER_S = 1.0

    def __init__(
        self,
        *,
        in_flight: int = 64,
        queued: int = 256,
        rng: Generator | None = None,
    ) -> None:
        self._max_in_flight = in_flight
        self._max_queued = queued
        self._running: set[RequestId] = set()
        self._queue: deque[AdmissionRequest] = deque()

    def offer(self, *, req, now_s):
        if len(self._running) < self._max_in_flight and not self._queue:
            self._running.add(req.request)
            return Admit()
        if len(self._queue) >= self._max_queued:
            return Refuse("The queue is full.", self.RETRY_AFTER_S)
        self._queue.append(req)
        return Queue()

    def ended(self, *, request, now_s):
        self._running.discard(request)

    def take_ready(self, *, now_s):
        ready = []
        while self._queue and len(self._running) < self._max_in_flight:
            req = self._queue.popleft()
            self._running.add(req.request)
            ready.append(req.request)
        return ready

    def take_expired(self, *, now_s):
        expired = [req for req in self._queue if req.deadline_s <= now_s]
        for req in expired:
            self._queue.remove(req)
        refusal = Refuse("The deadline passed in the queue.", self.RETRY_AFTER_S)
        return [(req.request, refusal) for req in expired]

    def cancelled(self, *, request, now_s):
        self._queue = deque(req for req in self._queue if req.request != request)


@register
class OpenAdmission(AdmissionPolicy):
    """Admits every request at once."""

    name = "open"

    def __init__(self, *, rng: Generator | None = None) -> None:
        """Accept ``rng`` like the other policies, without using it."""

    def offer(self, *, req, now_s):
        return Admit()

    def ended(self, *, request, now_s):
        """Do nothing: the policy keeps no state."""

    def take_ready(self, *, now_s):
        return []

    def take_expired(self, *, now_s):
        return []

    def cancelled(self, *, request, now_s):
        """Do nothing: no request is ever queued."""
