"""Admission by weighted fair queueing, with an adaptive concurrency limit."""

import heapq
import itertools
import logging

import msgspec
from numpy.random import Generator

from citronpin.basics.ids import CustomerName, RequestId
from citronpin.policy.admissions import (
    AdmissionPolicy,
    AdmissionRequest,
    Admit,
    Queue,
    Refuse,
    register,
)

logger = logging.getLogger(__name__)

SERVICE_TIME_SMOOTHING = 0.05  # weight of the newest sample


class ConcurrencyLimit:
    """The adaptive limit of requests that an entry may have in flight.

    The limit grows by a step while the groups are below the target fill and this entry
    uses its limit, and decreases in proportion to the excess while they are above it.
    Equal steps and proportional decreases make the limits of all entries converge. The
    limit is also bounded in proportion to the requests in flight.
    """

    MIN_STEP_SHARE = 0.03  # of the limit
    MAX_DECREASE_SHARE = 0.3  # of the limit
    MAX_LIMIT_RATIO = 2.0  # of the limit to the requests in flight

    def __init__(self, *, initial: float, target_fill: float) -> None:
        self.value = initial
        self._target_fill = target_fill

    def adapt(self, *, slots: int, load: int, running: int, waiting: bool) -> None:
        """Adapt the limit to a load report.

        ``load`` counts the requests of all entries in the ``slots`` of all groups,
        ``running`` those of this entry; ``waiting`` tells whether it queues requests.
        """
        fill = load / max(slots, 1)
        if fill > self._target_fill:
            decrease = min((fill - self._target_fill) / fill, self.MAX_DECREASE_SHARE)
            self.value = max(self.value * (1.0 - decrease), 1.0)
        elif waiting or running >= 0.8 * self.value:
            headroom = self._target_fill - fill
            self.value += max(
                self.MIN_STEP_SHARE * self.value, headroom * self.value / 2
            )
        self.value = max(min(self.value, self.MAX_LIMIT_RATIO * (running + 8)), 1.0)


class CustomerQueue(msgspec.Struct):
    """The queued requests of one customer and its start tag."""

    share: float = 1.0
    tag: float = 0.0  # virtual time at which its next request starts
    # Negative priority, arrival number and request, in the order of admission.
    heap: list[tuple[int, int, AdmissionRequest]] = []


@register
class WeightedAdmission(AdmissionPolicy):
    """Divides the concurrency limit among customers by start-time fair queueing.

    The capacity that a customer leaves unused goes to the others by their shares. A
    request that cannot start in time at its customer's share of the estimated service
    rate is refused on arrival. Priority moves a customer ahead by a fixed virtual time,
    so that the long-run shares do not change.
    """

    name = "weighted"
    MAX_WAIT_FACTOR = 2.0  # of the wait at which a queued request expires

    def __init__(
        self,
        *,
        rng: Generator,
        max_wait_s: float = 1.0,
        initial_limit: float = 32.0,
        target_fill: float = 1.05,
        service_s: float = 2.0,
        service_margin: float = 1.5,
        priority_lead: float = 4.0,
    ) -> None:
        self._rng = rng
        self._max_wait_s = max_wait_s
        self._service_s = service_s
        self._service_margin = service_margin
        self._priority_lead = priority_lead
        self._limit = ConcurrencyLimit(initial=initial_limit, target_fill=target_fill)
        self._customers: dict[CustomerName, CustomerQueue] = {}
        self._running: dict[RequestId, float] = {}  # clock time of admission
        self._queued: dict[RequestId, tuple[AdmissionRequest, float]] = {}
        self._arrival_numbers = itertools.count()
        self._virtual_time = 0.0  # largest start tag admitted

    @property
    def limit(self) -> float:
        """Return how many requests may be in flight now."""
        return self._limit.value

    def offer(self, *, req, now_s):
        queue = self._queue_of(req)
        if not self._queued and len(self._running) < self._limit.value:
            self._admit(req, queue, now_s)
            return Admit()
        wait_s = self._expected_wait_s(req, queue)
        if wait_s > self._allowed_wait_s(req, now_s):
            return self._refusal("The wait would be too long.", wait_s)
        heapq.heappush(queue.heap, (-req.priority, next(self._arrival_numbers), req))
        self._queued[req.request] = (req, now_s)
        return Queue(wait_s)

    def ended(self, *, request, now_s):
        started_s = self._running.pop(request, None)
        if started_s is not None:
            self._service_s += SERVICE_TIME_SMOOTHING * (
                now_s - started_s - self._service_s
            )

    def take_ready(self, *, now_s):
        ready = []
        while self._queued and len(self._running) < self._limit.value:
            queue = self._next_queue()
            req = heapq.heappop(queue.heap)[2]
            if self._queued.pop(req.request, None) is None:
                continue
            self._admit(req, queue, now_s)
            ready.append(req.request)
        return ready

    def take_expired(self, *, now_s):
        refusals = []
        longest_wait_s = self._max_wait_s * self.MAX_WAIT_FACTOR
        for req, offered_s in list(self._queued.values()):
            misses_deadline = now_s + self._service_bound_s() > req.deadline_s
            if misses_deadline or now_s - offered_s > longest_wait_s:
                del self._queued[req.request]
                wait_s = self._expected_wait_s(req, self._queue_of(req))
                refusal = self._refusal("The wait became too long.", wait_s)
                refusals.append((req.request, refusal))
        return refusals

    def cancelled(self, *, request, now_s):
        self._queued.pop(request, None)

    def record_total_load(self, *, slots, now_s, running=None, queued=None):
        if running is None or queued is None:
            self._limit.value = max(float(slots), 1.0)
            return
        self._limit.adapt(
            slots=slots,
            load=running + queued,
            running=len(self._running),
            waiting=bool(self._queued),
        )

    def _queue_of(self, req: AdmissionRequest) -> CustomerQueue:
        queue = self._customers.setdefault(req.customer, CustomerQueue())
        queue.share = max(req.share, 1e-3)
        return queue

    def _admit(self, req: AdmissionRequest, queue: CustomerQueue, now_s: float):
        start = max(queue.tag, self._virtual_time - self._priority_lead)
        self._virtual_time = max(self._virtual_time, start)
        queue.tag = start + 1.0 / queue.share
        self._running[req.request] = now_s

    def _next_queue(self) -> CustomerQueue:
        waiting = [queue for queue in self._customers.values() if queue.heap]
        return min(waiting, key=self._start_tag)

    def _start_tag(self, queue: CustomerQueue) -> float:
        priority = -queue.heap[0][0]
        lead = self._priority_lead * min(max(priority, 0), 1)
        return max(queue.tag, self._virtual_time - self._priority_lead) - lead

    def _service_bound_s(self) -> float:
        return self._service_s * self._service_margin

    def _allowed_wait_s(self, req: AdmissionRequest, now_s: float) -> float:
        return min(req.deadline_s - now_s - self._service_bound_s(), self._max_wait_s)

    def _expected_wait_s(self, req: AdmissionRequest, queue: CustomerQueue) -> float:
        """Return the wait at the customer's share of the estimated service rate."""
        ahead = sum(1 for priority, _, _ in queue.heap if priority <= -req.priority)
        shares = sum(
            other.share
            for other in self._customers.values()
            if other.heap and other is not queue
        )
        rate = self._limit.value / max(self._service_s, 1e-3)
        return (ahead + 1) / (rate * queue.share / (shares + queue.share))

    def _refusal(self, reason: str, wait_s: float) -> Refuse:
        jitter = float(self._rng.uniform(0.75, 1.5))
        return Refuse(reason, max(wait_s, self._max_wait_s) * jitter)
