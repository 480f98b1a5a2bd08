"""Sends a request to instances, retrying within bounds, until it has an answer."""

import logging
import random
from abc import abstractmethod
from collections.abc import Callable
from functools import cached_property

import msgspec

from citronpin.basics.clocks import MS_PER_S, Clock, TimerHandle
from citronpin.basics.ids import (
    ApplicationName,
    CustomerName,
    InstanceId,
    ModelName,
    PromptPartId,
    RequestFingerprint,
)
from citronpin.gateway.answers import (
    Refusal,
    RefusalKind,
    no_place_refusal,
    quarantine_refusal,
    quarantined_subject,
    send_refusal,
)
from citronpin.gateway.attempts import (
    MISDIRECTED_STATUS,
    Attempt,
    AttemptOwner,
    Fault,
    OutgoingRequest,
)
from citronpin.gateway.budgets import RetryBudget
from citronpin.gateway.fingerprints import Fingerprints
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import (
    FirstEventTimes,
    LimitedRetryDelays,
    Pending,
    RetryDelays,
    urgency,
)
from citronpin.gateway.permits import Permits
from citronpin.gateway.placers import Demand, Placement, PlacementFailure, Placer
from citronpin.gateway.ports import HeaderNames
from citronpin.gateway.quarantines import CrashKey, CrashQuarantine
from citronpin.gateway.request_logs import OK_STATUSES, RequestLog
from citronpin.gateway.routings import EngineSpec, Route, RoutingTable
from citronpin.gateway.suspects import Suspects
from citronpin.web.clients import HttpClient
from citronpin.web.replies import HttpRequest, Reply

logger = logging.getLogger(__name__)

HOP_BY_HOP_HEADERS = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization proxy-connection te "
    "trailer transfer-encoding upgrade content-length host expect".split()
)
MAX_SENDS = 4  # of one request, counting those that instances refused
MAX_REFUSED_PERMITS = 2  # of one request; asking for another delays it further
MAX_LOGGED_LIMITS = 4
MIN_SERVER_ERROR_STATUS = 500


class Task(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted request and the configuration that applies to it."""

    req: HttpRequest
    route: Route
    service: ApplicationName
    customer: CustomerName | None
    model: ModelName | None
    received_s: float
    deadline_s: float  # clock time until which the caller waits
    config_version: int
    priority: int
    spent_s: float = 0.0  # by the caller in earlier attempts, estimated
    engine: EngineSpec | None = None
    prompt_parts: tuple[PromptPartId, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPartId, ...]:
        """Return the parts of the prompt but the last, which only this request has."""
        return self.prompt_parts[:-1]

    @property
    def end_s(self) -> float:
        """Return the clock time at which the request times out, in seconds.

        This is the deadline of the caller or the time-out of the route, whichever is
        earlier.
        """
        return min(self.deadline_s, self.received_s + self.route.timeout_s)


class ExchangeContext:
    """Holds the state and services that all exchanges of an entry share."""

    def __init__(
        self,
        *,
        clock: Clock,
        client: HttpClient,
        names: HeaderNames,
        fleet: Fleet,
        placer: Placer,
        loads: LoadTracker,
        suspects: Suspects,
        quarantine: CrashQuarantine,
        limits: InstanceLimits,
        permits: Permits,
        fingerprints: Fingerprints,
        first_event_times: FirstEventTimes,
        log: RequestLog,
        rng: random.Random,
        make_budget,
    ) -> None:
        self.clock = clock
        self.client = client
        self.names = names
        self.fleet = fleet
        self.placer = placer
        self.loads = loads
        self.suspects = suspects
        self.quarantine = quarantine
        self.limits = limits
        self.permits = permits
        self.fingerprints = fingerprints
        self.log = log
        self.rng = rng
        self.table: RoutingTable | None = None
        # Returns whether `table` has every change that must be in force by now.
        self.is_table_current: Callable[[], bool] = lambda: True
        self.first_event_times = first_event_times
        self.retry_delays = RetryDelays()
        self.limited_retry_delays = LimitedRetryDelays()
        self.entry_count = 1  # entries that share the retry budgets
        self._initial_times_s: dict[str, float] = {}
        self.open_exchanges: set["Exchange"] = set()
        self._make_budget = make_budget
        self._budgets: dict[ApplicationName, RetryBudget] = {}

    def spent_s(self, *, route: Route, left_s: float) -> float:
        """Estimate how many seconds a caller spent on earlier attempts.

        All callers of a route start with the same time, so the difference between the
        longest time left seen on the route and ``left_s`` was spent before.
        """
        initial_s = max(self._initial_times_s.get(route.name, 0.0), left_s)
        self._initial_times_s[route.name] = initial_s
        return initial_s - left_s

    def budget(self, service: ApplicationName) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = self._make_budget()
        return self._budgets[service]


class Exchange(AttemptOwner):
    """Base class: places and sends a request and gives exactly one final answer."""

    MAX_CONNECTION_IDLE_S = 4.0  # instances may close connections idle for longer

    def __init__(self, *, task: Task, reply: Reply, context: ExchangeContext) -> None:
        self._task = task
        self._reply = reply
        self._context = context
        self._attempts: list[Attempt] = []
        self._excluded: set[InstanceId] = set()
        self._timer: TimerHandle | None = None
        self._done = False
        self._reason = ""  # why the request was refused, for the log
        self._limit_rows: list[dict[str, object]] = []  # that decided, for the log
        self._refused_permits = 0
        self._outgoing = OutgoingRequest(
            method=task.req.method,
            target=task.req.target,
            host=task.req.headers.get("host", ""),
            attempt_id=task.req.headers.get(context.names.attempt, ""),
            body=task.req.body,
        )

    @cached_property
    def _fingerprint(self) -> RequestFingerprint:
        return self._context.fingerprints.of(self._task.req, self._task.customer)

    def start(self) -> None:
        """Send the request to an instance, or refuse it if none can take it."""
        now_s = self._context.clock.now()
        self._context.open_exchanges.add(self)
        self._reply.on_disconnect = self._on_caller_left
        self._context.budget(self._task.service).count_request(now_s=now_s)
        self._context.retry_delays.count_request(now_s=now_s)
        self._timer = self._context.clock.call_later(
            self._task.end_s - now_s, self._on_timeout
        )
        self._send_next()

    @property
    def run_count(self) -> int:
        """Return in how many attempts the request may have run."""
        return sum(
            attempt.fault is None or attempt.fault.may_have_run
            for attempt in self._attempts
        )

    @property
    def _last_attempt(self) -> Attempt | None:
        return self._attempts[-1] if self._attempts else None

    def _demand(self) -> Demand:
        return Demand(
            pending=self._pending(),
            engine=self._task.engine,
            excluded=self._excluded,
            accepts_limited=self._refused_permits < MAX_REFUSED_PERMITS,
        )

    def _pending(self) -> Pending:
        task = self._task
        waited_s = self._context.clock.now() - task.received_s
        return Pending(
            service=task.service,
            model=task.model,
            objective_s=task.route.objective_s,
            spent_s=task.spent_s + waited_s,
            midway=self._midway,
        )

    @property
    def _midway(self) -> bool:
        """Return whether the caller has received part of the answer."""
        return False

    def _send_next(self) -> None:
        """Send to another instance, or answer when none can take the request."""
        now_s = self._context.clock.now()
        if self._refuse_quarantined():
            return
        placement = self._context.placer.place(demand=self._demand(), now_s=now_s)
        if isinstance(placement, PlacementFailure):
            self._on_placement_failure(placement)
            return
        self._context.permits.acquire(
            placement.instance, lambda granted: self._on_permit(placement, granted)
        )

    def _on_permit(self, placement: Placement, granted: bool) -> None:
        if self._done:
            return
        if granted and self._is_registered(placement.instance):
            self._start_attempt(placement)
            return
        if not granted:
            self._refused_permits += 1
            self._log_limit(placement.instance)
        self._send_next()

    def _is_registered(self, instance: FleetInstance) -> bool:
        """Return whether an instance has not left while a permit was requested."""
        known = self._context.fleet.get(instance.id)
        return known is not None and not known.draining

    def _log_limit(self, instance: FleetInstance) -> None:
        row = self._context.limits.row(instance)
        if row and len(self._limit_rows) < MAX_LOGGED_LIMITS:
            self._limit_rows.append(row)

    def _start_attempt(self, placement: Placement) -> None:
        attempt = Attempt(
            owner=self,
            instance=placement.instance,
            load=placement.load,
            names=self._context.names,
            client=self._context.client,
            clock=self._context.clock,
        )
        self._attempts.append(attempt)
        self._excluded.add(placement.instance.id)
        self._context.loads.request_started(placement.instance.id)
        attempt.send(self._outgoing, self._headers(attempt), self._max_idle_s())

    def attempt_head(self, attempt: Attempt) -> None:
        if attempt.status != MISDIRECTED_STATUS:
            self._context.limits.record_answer(
                attempt.instance, rate=attempt.named_limit, sent_s=attempt.sent_s
            )
            self._context.quarantine.record_answer(
                attempt.instance, sent_s=attempt.sent_s
            )

    def _max_idle_s(self) -> float:
        return self.MAX_CONNECTION_IDLE_S

    def _headers(self, attempt: Attempt) -> tuple[tuple[str, str], ...]:
        names = self._context.names
        dropped = {
            names.key,
            names.customer,
            names.deadline_ms,
            names.expect_instance,
            names.urgency,
            *self._override_headers(),
        }
        for name in self._task.req.headers.get("connection", "").split(","):
            dropped.add(name.strip().lower())
        headers = [
            (name, value)
            for name, value in self._task.req.headers.items()
            if name not in HOP_BY_HOP_HEADERS and name not in dropped
        ]
        left_s = self._task.end_s - self._context.clock.now()
        headers.append((names.deadline_ms, str(max(int(left_s * MS_PER_S), 1))))
        headers.append((names.expect_instance, attempt.instance.id))
        if self._task.customer is not None:
            headers.append((names.customer, self._task.customer))
        if self._task.engine is not None:
            headers.append((names.urgency, str(urgency(self._pending()).value)))
        return (*headers, *self._override_headers().items())

    def _override_headers(self) -> dict[str, str]:
        """Return headers that override those of the caller."""
        return {}

    def _may_retry(self, fault: Fault, *, midway: bool = False) -> bool:
        """Return whether the request may be retried, and count it in the budget."""
        task = self._task
        if len(self._attempts) >= MAX_SENDS:
            return False
        if fault.may_have_run:
            if not task.route.repeatable or self.run_count >= task.route.max_attempts:
                return False
        now_s = self._context.clock.now()
        if fault is Fault.UNSENT:
            return True  # no instance received it, so the budget is not charged
        return self._context.budget(task.service).take(
            entry_count=self._context.entry_count, midway=midway, now_s=now_s
        )

    def _report_fault(self, attempt: Attempt, fault: Fault) -> None:
        """Report a fault to the suspects, which later placements take into account."""
        suspects, now_s = self._context.suspects, self._context.clock.now()
        if fault is Fault.UNSENT:
            suspects.unreachable(attempt.instance.id, now_s=now_s)
        elif fault is Fault.STALLED:
            suspects.stalled(attempt.instance.id, now_s=now_s)
        elif fault is Fault.NOT_RUN:
            if attempt.load < attempt.instance.slots:
                suspects.refused(attempt.instance.id, now_s=now_s)
        else:
            suspects.failed(attempt.instance.id)
        if fault is Fault.LOST and not self._is_leaving(attempt.instance):
            self._context.quarantine.record_crash(
                self._keys_of_crash(attempt), attempt.instance, now_s=now_s
            )

    def _is_leaving(self, instance: FleetInstance) -> bool:
        known = self._context.fleet.get(instance.id)
        return known is not None and known.draining

    def _keys_of_crash(self, attempt: Attempt) -> tuple[CrashKey, ...]:
        """Return the keys under which the instance of an attempt ended."""
        return (self._fingerprint,)

    def _record_answered(self, attempt: Attempt) -> None:
        """Record that an instance outlived a request, which an error does not show."""
        if attempt.status < MIN_SERVER_ERROR_STATUS and not attempt.not_run:
            self._context.quarantine.record_success(
                [self._fingerprint], now_s=self._context.clock.now()
            )

    def attempt_failed(self, attempt: Attempt, fault: Fault) -> None:
        self._context.loads.request_ended(attempt.instance.id)
        self._report_fault(attempt, fault)
        self._on_fault(fault)

    @abstractmethod
    def _on_fault(self, fault: Fault) -> None:
        """Retry or answer after the last attempt failed."""

    @abstractmethod
    def _on_placement_failure(self, failure: PlacementFailure) -> None:
        """Answer or wait when no instance can take the request."""

    def _refuse_placement(self, failure: PlacementFailure) -> None:
        self._reason = f"{failure.reason}: {failure.candidates}, load {failure.load}"
        if failure.limited:
            self._refuse_limited(failure)
        else:
            self._refuse(failure.reason)

    def _refuse_limited(self, failure: PlacementFailure) -> None:
        """Refuse a request that no limit admits now, until a permit is expected."""
        limits, now_s = self._context.limits, self._context.clock.now()
        for instance in failure.limited:
            self._log_limit(instance)
        rate = sum(limits.rate(instance) or 0.0 for instance in failure.limited)
        wait_s = self._context.limited_retry_delays.delay_s(
            service=self._task.service,
            rate=rate / self._context.entry_count,
            first_s=min(limits.wait_s(instance) for instance in failure.limited),
            left_s=self._task.deadline_s - now_s,
            draw=self._context.rng.random(),
            now_s=now_s,
        )
        self._answer(no_place_refusal(reason=failure.reason, wait_s=wait_s))

    @property
    def _crash_keys(self) -> tuple[CrashKey, ...]:
        """Return what this request may share with others that crash instances."""
        return (*self._task.shared_parts, self._fingerprint)

    def _refuse_quarantined(self) -> bool:
        """Refuse a request with a quarantined key; return whether it has one."""
        quarantine = self._context.quarantine
        if quarantine.is_empty:
            return False
        key = quarantine.admit(self._crash_keys, now_s=self._context.clock.now())
        if key is not None:
            self._refuse_key(key)
        return key is not None

    def _refuse_key(self, key: CrashKey) -> None:
        now_s = self._context.clock.now()
        wait_s = self._context.quarantine.remaining_s(key, now_s=now_s)
        self._reason = f"{quarantined_subject(key)} is quarantined"
        self._answer_quarantined(quarantine_refusal(key=key, wait_s=wait_s))

    def _answer_quarantined(self, refusal: Refusal) -> None:
        """Answer a request that must not be sent to another instance."""
        self._answer(RefusalKind.LOST.value if self.run_count else refusal)

    def _refuse(self, reason: str) -> None:
        """Answer that the request did not run, with the delay before a retry."""
        now_s = self._context.clock.now()
        wait_s = self._context.retry_delays.refuse(
            left_s=self._task.deadline_s - now_s,
            draw=self._context.rng.random(),
            now_s=now_s,
        )
        self._answer(no_place_refusal(reason=reason, wait_s=wait_s))

    def _answer(self, refusal: Refusal) -> None:
        """Send a final answer that the entry itself produced."""
        if self._done:
            return
        self._close(refusal.kind, refusal.status)
        send_refusal(self._reply, refusal, self._echo_headers())

    def _echo_headers(self) -> dict[str, str]:
        return {self._context.names.attempt: self._outgoing.attempt_id}

    def _answer_fault(self, fault: Fault) -> None:
        """Send the final answer for a fault that is not retried."""
        if self.run_count:
            timed_out = fault is Fault.TIMED_OUT
            kind = RefusalKind.TIMED_OUT if timed_out else RefusalKind.LOST
            self._answer(kind.value)
            return
        self._refuse("the instances that were asked did not run it")

    def _deliver_answer(self, attempt: Attempt, body: bytes) -> None:
        """Forward the complete answer of an instance unchanged."""
        self._close("delivered", attempt.status)
        headers = end_to_end_headers(attempt.headers)
        content_type = headers.pop("content-type", "application/octet-stream")
        self._reply.send_response(attempt.status, body, content_type, headers)

    def _on_timeout(self) -> None:
        last = self._last_attempt
        if last is not None and not last.is_over:
            last.cancel(Fault.TIMED_OUT, "the time of the request is over")
            self._context.loads.request_ended(last.instance.id)
            self._report_fault(last, Fault.TIMED_OUT)
        self._answer_timeout()

    def _answer_timeout(self) -> None:
        """Send the final answer at the time-out of the request."""
        self._answer_fault(Fault.TIMED_OUT)

    def abort(self) -> None:
        """Abort the exchange at the end of the process.

        The connection is aborted, so that the caller does not take a partial answer
        for a complete one.
        """
        if not self._done:
            self._on_caller_left("process-ends")
            self._reply.abort()

    def _on_caller_left(self, outcome: str = "caller-left") -> None:
        last = self._last_attempt
        if last is not None and not last.is_over:
            last.cancel(Fault.LOST, outcome)
            self._context.loads.request_ended(last.instance.id)
        self._close(outcome, 0)

    def _close(self, outcome: str, status: int) -> None:
        self._done = True
        if self._timer is not None:
            self._timer.cancel()
        self._context.open_exchanges.discard(self)
        self._context.log.ended(
            task=self._task,
            request=self._outgoing.attempt_id,
            outcome=outcome,
            status=status,
            attempts=self._attempts,
            reason=self._reason,
            limits=self._limit_rows,
            fingerprint="" if status in OK_STATUSES else self._fingerprint,
            now_s=self._context.clock.now(),
        )


def end_to_end_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of an answer without the hop-by-hop ones."""
    return {
        name: value for name, value in headers.items() if name not in HOP_BY_HOP_HEADERS
    }
