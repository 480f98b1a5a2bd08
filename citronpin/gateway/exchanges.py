"""Sends a request to instances, retrying within bounds, until it has an answer."""

import logging
from abc import abstractmethod
from collections.abc import Sequence
from functools import cached_property

import msgspec

from citronpin.basics.clocks import MS_PER_S, TimerHandle
from citronpin.basics.ids import (
    ApplicationName,
    EntryId,
    InstanceId,
    RequestFingerprint,
)
from citronpin.gateway.admission_levels import DEFAULT_COST, Admitted
from citronpin.gateway.answers import (
    Refusal,
    RefusalKind,
    no_place_refusal,
    quarantine_refusal,
    quarantined_subject,
    send_refusal,
    unreachable_refusal,
)
from citronpin.gateway.attempts import Attempt, AttemptOwner, Fault, OutgoingRequest
from citronpin.gateway.contexts import ExchangeContext, OpenExchange, Task
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.forward_codecs import (
    ENTRY_HEADERS,
    NEXT_HOPS_HEADER,
    REFUSAL_HEADER,
    encode_names,
)
from citronpin.gateway.forward_peers import ForwardPeer
from citronpin.gateway.instance_gates import Barrier
from citronpin.gateway.overloads import Pending
from citronpin.gateway.placers import Demand, Placement, PlacementFailure
from citronpin.gateway.quarantines import CrashKey
from citronpin.gateway.recipients import (
    HOP_BY_HOP_HEADERS,
    EntryRecipient,
    InstanceRecipient,
    Recipient,
)
from citronpin.gateway.request_costs import RequestCost
from citronpin.gateway.request_logs import OK_STATUSES
from citronpin.web.replies import Reply

logger = logging.getLogger(__name__)

MAX_SENDS = 4  # of one request to instances, counting those that these refused
MAX_FORWARDS = 4  # of one request to other entries, without those that these declined
MAX_DECLINES = 8  # of one request by other entries, which take milliseconds
MAX_ASKING_S = 1.0  # while no entry takes the request; then it is refused
MAX_UNSENT = 3  # connections that may fail before another entry is asked
SILENCE_S = 0.5  # until the path to the instances is doubted
MOVE_AFTER_S = 0.25  # without progress, when no instance is reached any more
MAX_REFUSED_PERMITS = 2  # of one request; asking for another delays it further
# Many instances are cold at once, so that another one is likely to have permits left.
COLD_PERMIT_COST = 0.5
MAX_LOGGED_LIMITS = 4
# Instances cut an answer off that stays unread for some seconds. Each pause is followed
# by a read of 64 KiB.
OVERDRAWN_PAUSE_S = 1.0
MIN_SERVER_ERROR_STATUS = 500
# What the refusals of another entry mean here; all others are passed on.
FAULT_BY_REFUSAL = {
    "unreachable": Fault.UNSENT,
    "forwarding-limit": Fault.UNSENT,
    "stopping": Fault.UNSENT,
    "not-ready": Fault.UNSENT,
    "not-forwarded": Fault.UNSENT,
    "answer-lost": Fault.LOST,
    "timed-out": Fault.TIMED_OUT,
}


class Exchange(AttemptOwner, OpenExchange):
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
        self._refused_permits = 0.0
        self._admitted = Admitted()
        self._level: float | None = None  # at the decision, for the log
        self._is_counted = task.is_counted
        self._answer_bytes = context.account.open()  # of the answer, held here
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
        self._context.retry_delays.count_request(now_s=now_s)
        if not self._admit(now_s):
            return
        if not self._should_forward:
            self._count()
        self._timer = self._context.clock.call_later(
            self._task.end_s - now_s, self._on_timeout
        )
        self._send_next()

    @property
    def _relative_cost(self) -> float:
        """Return the expected length of the answer in mean answers of the engine."""
        # Only placement by remaining work is built on what the estimates learn.
        if self._context.works is None or self._cost is None:
            return DEFAULT_COST
        return self._cost.answer_tokens / max(self._cost.mean_tokens, 1.0)

    def _admit(self, now_s: float) -> bool:
        """Refuse a request that yields to more urgent ones; return whether it may go.

        The entry that received a forwarded request has decided on it, and a stream that
        resumes was admitted with its beginning.
        """
        if self.is_forwarded or self._is_resumed:
            return True
        task = self._task
        decision = self._context.admission.decide(
            pending=self._pending(),
            priority=task.priority,
            customer=task.customer,
            cost=self._relative_cost,
            left_s=task.deadline_s - now_s,
            now_s=now_s,
        )
        self._level = decision.level
        if isinstance(decision, Admitted):
            self._admitted = decision
            return True
        self._reason = f"admission: {decision.reason.label}"
        self._answer(
            no_place_refusal(
                reason=decision.reason.value, wait_s=decision.retry_after_s
            )
        )
        return False

    @property
    def _is_resumed(self) -> bool:
        """Return whether the caller asks for the rest of an answer that has begun."""
        return False

    @property
    def is_forwarded(self) -> bool:
        return self._task.forwarded_by is not None

    def _count(self) -> None:
        """Count the request in the retry budget, once over the entries it passes."""
        if not self._is_counted:
            self._is_counted = True
            now_s = self._context.clock.now()
            self._context.budget(self._task.service).count_request(now_s=now_s)

    @property
    def run_count(self) -> int:
        """Return how many instances may have run the request."""
        return sum(
            attempt.recipient.max_runs
            for attempt in self._attempts
            if attempt.fault is None or attempt.fault.may_have_run
        )

    def _count_attempts(self, *, to_entries: bool, fault: Fault | None = None) -> int:
        return sum(
            attempt.recipient.is_entry is to_entries
            and (fault is None or attempt.fault is fault)
            for attempt in self._attempts
        )

    @property
    def _should_forward(self) -> bool:
        """Return whether the next attempt goes to another entry.

        A request that came from another entry is not passed on again.
        """
        if self.is_forwarded:
            return False
        reach, service = self._context.reach, self._task.service
        unsent = self._count_attempts(to_entries=False, fault=Fault.UNSENT)
        if not reach.is_cut_off(service) and unsent < MAX_UNSENT:
            return False
        if self._select_peer() is not None:
            return True
        # Without another entry, connections that are still open may do.
        return reach.is_cut_off(service) and not reach.is_heard(service)

    def _select_peer(self) -> ForwardPeer | None:
        if not self._context.forward_codec.has_key:
            return None
        return self._context.forward_peers.select(
            self._task.service, excluded=self._asked_entries
        )

    @property
    def _asked_entries(self) -> set[EntryId]:
        """Return the entries that did not take the request."""
        return {
            attempt.recipient.entry
            for attempt in self._attempts
            if attempt.recipient.is_entry and attempt.fault is Fault.UNSENT
        }

    @property
    def _last_attempt(self) -> Attempt | None:
        return self._attempts[-1] if self._attempts else None

    def _demand(self) -> Demand:
        return Demand(
            pending=self._pending(),
            engine=self._task.engine,
            excluded=self._excluded,
            accepts_limited=self._refused_permits < MAX_REFUSED_PERMITS,
            cost=self._cost,
            written_tokens=self._written_tokens,
        )

    @property
    def _written_tokens(self) -> int:
        """Return the tokens of the answer that an instance gets with the prompt."""
        return 0

    @cached_property
    def _cost(self) -> RequestCost | None:
        """Return the expected work, ``None`` where it is not estimated."""
        task, names = self._task, self._context.names
        if self._context.costs is None or task.engine is None:
            return None
        return self._context.costs.estimate(
            route=task.route.name,
            customer=task.customer,
            token_usage=task.req.headers.get(names.token_usage, ""),
            length_hint=task.req.headers.get(names.length_hint, ""),
            engine=task.engine,
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
            rank=self._context.admission.rank(task.service, task.priority),
            reserved_share=self._admitted.reserved_share,
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
        if self._should_forward:
            self._send_to_entry()
            return
        if self.is_forwarded and self._context.reach.is_cut_off(self._task.service):
            self._on_placement_failure(PlacementFailure.unreachable())
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
        # It may have left or asked for rest while a permit was requested.
        if granted and self._may_send(placement.instance):
            self._send_to_instance(placement)
            return
        if not granted:
            is_cold = self._context.limits.is_cold(placement.instance)
            self._refused_permits += COLD_PERMIT_COST if is_cold else 1
            self._log_limit(placement.instance)
        self._send_next()

    def _may_send(self, instance: FleetInstance) -> bool:
        barrier = self._context.gate.barrier(instance)
        return barrier in (None, Barrier.LIMITED, Barrier.SUSPECTED)

    def _log_barrier(self, instance: FleetInstance, barrier: Barrier) -> None:
        """Keep what kept an instance from the request, for the log."""
        if barrier is Barrier.LIMITED:
            self._log_limit(instance)
        elif len(self._limit_rows) < MAX_LOGGED_LIMITS:
            wait_s = self._context.gate.wait_s(instance)
            self._limit_rows.append(
                {
                    "instance": instance.id,
                    "reason": barrier.value,
                    "wait_ms": round(wait_s * MS_PER_S),
                }
            )

    def _log_limit(self, instance: FleetInstance) -> None:
        row = self._context.limits.row(instance)
        if row and len(self._limit_rows) < MAX_LOGGED_LIMITS:
            self._limit_rows.append(row)

    def _send_to_entry(self) -> None:
        """Send to another entry, or answer when none takes the request."""
        peer = self._select_peer()
        if peer is None or not self._has_forwards_left:
            self._on_placement_failure(PlacementFailure.unreachable())
            return
        left = max(self._task.route.max_attempts - self.run_count, 1)
        recipient = EntryRecipient(
            peer=peer,
            service=self._task.service,
            max_runs=(left + 1) // 2,  # the rest is for an attempt through another one
            is_counted=self._is_counted,
            context=self._context,
        )
        self._is_counted = True
        self._start_attempt(recipient)

    def _send_to_instance(self, placement: Placement) -> None:
        self._count()
        self._excluded.add(placement.instance.id)
        self._start_attempt(
            InstanceRecipient(placement=placement, context=self._context)
        )

    def _start_attempt(self, recipient: Recipient) -> None:
        attempt = Attempt(
            owner=self,
            recipient=recipient,
            names=self._context.names,
            client=self._context.client,
            clock=self._context.clock,
        )
        self._attempts.append(attempt)
        recipient.started()
        headers = recipient.headers(
            self._task, self._pending(), self._override_headers()
        )
        attempt.send(self._outgoing, headers, self._max_idle_s())

    def attempt_head(self, attempt: Attempt) -> None:
        attempt.recipient.record_head(attempt)

    def _hold(self, attempt: Attempt, count: int) -> None:
        """Count the bytes of an answer held here, and read it slower without room."""
        self._answer_bytes.set(count)
        account, now_s = self._context.account, self._context.clock.now()
        if account.is_overdrawn and not account.favour(self._answer_bytes, now_s=now_s):
            attempt.pause_reading(OVERDRAWN_PAUSE_S)

    def _max_idle_s(self) -> float:
        # On a kept-alive connection, an instance may close while the request is in
        # flight, or repeat an earlier answer. Whether the request ran is then unknown.
        return self.MAX_CONNECTION_IDLE_S if self._task.route.repeatable else 0.0

    def _override_headers(self) -> dict[str, str]:
        """Return headers that override those of the caller."""
        return {}

    def _may_retry(self, fault: Fault, *, midway: bool = False) -> bool:
        """Return whether the request may be retried, and count it in the budget."""
        task = self._task
        if not self._has_attempts_left:
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

    @property
    def _has_attempts_left(self) -> bool:
        if self._should_forward:
            return self._has_forwards_left
        return self._count_attempts(to_entries=False) < MAX_SENDS

    @property
    def _has_forwards_left(self) -> bool:
        declined = sum(bool(attempt.refusal) for attempt in self._attempts)
        others = self._count_attempts(to_entries=True) - declined
        return (
            others < MAX_FORWARDS
            and declined < MAX_DECLINES
            and self._asked_in_vain_s < MAX_ASKING_S
        )

    @property
    def _asked_in_vain_s(self) -> float:
        """Return for how many seconds no entry that was asked took the request."""
        since_s = now_s = self._context.clock.now()
        for attempt in reversed(self._attempts):
            if not attempt.recipient.is_entry or attempt.fault is not Fault.UNSENT:
                break
            since_s = attempt.sent_s
        return now_s - since_s

    def _report_fault(self, attempt: Attempt, fault: Fault) -> None:
        """Report a fault, which later placements take into account."""
        attempt.recipient.record_fault(attempt, fault, self._keys_of_crash(attempt))

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
        attempt.recipient.ended(attempt)
        self._report_fault(attempt, fault)
        self._on_fault(fault)

    def _cancel_attempt(self, attempt: Attempt, fault: Fault, detail: str) -> None:
        attempt.cancel(fault, detail)
        attempt.recipient.ended(attempt)

    def _on_refusal(self, attempt: Attempt, body: bytes) -> None:
        """Handle that another entry refused the request or lost its answer."""
        fault = FAULT_BY_REFUSAL.get(attempt.refusal)
        if fault is not None:
            attempt.fault = fault
            self._report_fault(attempt, fault)
            self._on_fault(fault)
            return
        attempt.fault = Fault.NOT_RUN
        if self.run_count or self._midway:
            self._on_placement_failure(
                PlacementFailure(reason=attempt.refusal, candidates=0)
            )
            return
        self._reason = f"refused by {attempt.recipient.entry}"
        self._close(attempt.refusal, attempt.status)
        self._send_answer_of(attempt, body)

    def check_stall(self, now_s: float) -> None:
        """Doubt the path to the instances when an answer does not begin."""
        last = self._last_attempt
        if self._done or last is None or last.is_over or last.first_s is not None:
            return
        if now_s - last.sent_s >= SILENCE_S:
            last.recipient.doubt()

    def check_quarantine(self) -> None:
        """Leave the request where it is: an answer that is not streamed comes soon."""

    def on_cut_off(self, service: ApplicationName) -> None:
        last = self._last_attempt
        if self._done or last is None or last.is_over or last.recipient.is_entry:
            return
        if service != self._task.service:
            return
        idle_s = self._context.clock.now() - self._last_progress_s(last)
        if not last.is_unsent and idle_s < MOVE_AFTER_S:
            return
        fault = Fault.UNSENT if last.is_unsent else Fault.STALLED
        if self._may_retry(fault, midway=self._midway):
            self._cancel_attempt(last, fault, "no instance is reached")
            self._send_next()

    def _last_progress_s(self, attempt: Attempt) -> float:
        return attempt.sent_s if attempt.first_s is None else attempt.first_s

    @abstractmethod
    def _on_fault(self, fault: Fault) -> None:
        """Retry or answer after the last attempt failed."""

    @abstractmethod
    def _on_placement_failure(self, failure: PlacementFailure) -> None:
        """Answer or wait when no instance can take the request."""

    def _refuse_placement(self, failure: PlacementFailure) -> None:
        self._reason = f"{failure.reason}: {failure.candidates}, load {failure.load}"
        if failure.is_unreachable:
            wait_s = self._retry_delay_s()
            self._answer(unreachable_refusal(wait_s=wait_s))
        elif failure.blocked:
            self._refuse_blocked(failure)
        elif failure.is_too_large:
            # It is no sign of a lack of capacity.
            self._context.memory_refusals += 1
            self._answer(
                no_place_refusal(
                    reason=failure.reason,
                    wait_s=self._retry_delay_s(),
                    remedy="Send a shorter prompt.",
                )
            )
        else:
            self._context.memory_refusals += failure.lacks_memory
            self._refuse(failure.reason)

    def _refuse_blocked(self, failure: PlacementFailure) -> None:
        """Refuse a request that no limit or rest admits, until one is expected to."""
        limits, now_s = self._context.limits, self._context.clock.now()
        waiting = []
        for instance, barrier in zip(failure.blocked, failure.barriers):
            self._log_barrier(instance, barrier)
            if barrier is not Barrier.EVACUATED:
                waiting.append(instance)
        if not waiting:
            # Nobody knows when an evacuation ends.
            self._refuse(failure.reason)
            return
        rate = sum(limits.rate(instance) or 0.0 for instance in waiting)
        rests = Barrier.RESTING in failure.barriers
        wait_s = self._context.blocked_retry_delays.delay_s(
            service=self._task.service,
            rate=rate / self._context.entry_count,
            rests=rests,
            first_s=min(map(self._context.gate.wait_s, waiting)),
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
        self._context.admission.record_full(
            self._task.service, self._task.model, now_s=self._context.clock.now()
        )
        wait_s = self._retry_delay_s()
        self._answer(no_place_refusal(reason=reason, wait_s=wait_s))

    def _retry_delay_s(self) -> float:
        now_s = self._context.clock.now()
        return self._context.retry_delays.refuse(
            left_s=self._task.deadline_s - now_s,
            draw=self._context.rng.random(),
            now_s=now_s,
        )

    def _answer(self, refusal: Refusal) -> None:
        """Send a final answer that the entry itself produced."""
        if self._done:
            return
        self._close(refusal.kind, refusal.status)
        headers = self._echo_headers()
        if self.is_forwarded:
            headers |= refusal_headers(
                refusal,
                self._context.forward_peers.sample_next_hops(
                    self._task.service, to=self._task.forwarded_by
                ),
            )
        send_refusal(self._reply, refusal, headers)

    def _echo_headers(self) -> dict[str, str]:
        return {self._context.names.attempt: self._outgoing.attempt_id}

    def _answer_fault(self, fault: Fault) -> None:
        """Send the final answer for a fault that is not retried."""
        if self.run_count:
            timed_out = fault is Fault.TIMED_OUT
            kind = RefusalKind.TIMED_OUT if timed_out else RefusalKind.LOST
            self._answer(kind.value)
        elif self._attempts and all(
            attempt.fault is Fault.UNSENT for attempt in self._attempts
        ):
            self._refuse_placement(PlacementFailure.unreachable())
        else:
            self._refuse("the instances that were asked did not run it")

    def _deliver_answer(self, attempt: Attempt, body: bytes) -> None:
        """Forward the complete answer of an instance unchanged."""
        self._close("delivered", attempt.status)
        self._send_answer_of(attempt, body)

    def _send_answer_of(self, attempt: Attempt, body: bytes) -> None:
        headers = end_to_end_headers(attempt.headers)
        content_type = headers.pop("content-type", "application/octet-stream")
        self._reply.send_response(attempt.status, body, content_type, headers)

    def _on_timeout(self) -> None:
        last = self._last_attempt
        if last is not None and not last.is_over:
            self._cancel_attempt(
                last, Fault.TIMED_OUT, "the time of the request is over"
            )
            self._report_fault(last, Fault.TIMED_OUT)
        self._answer_timeout()

    def _answer_timeout(self) -> None:
        """Send the final answer at the time-out of the request."""
        self._answer_fault(Fault.TIMED_OUT)

    def end_with_process(self) -> None:
        """End the exchange before the process ends, and say whether it may have run."""
        if self._done:
            return
        last = self._last_attempt
        if last is not None and not last.is_over:
            fault = Fault.UNSENT if last.is_unsent else Fault.LOST
            self._cancel_attempt(last, fault, "the process ends")
        self._answer_process_end()

    def _answer_process_end(self) -> None:
        """Send the final answer before the process ends."""
        kind = RefusalKind.LOST if self.run_count else RefusalKind.STOPPING
        self._answer(kind.value)

    def fail(self) -> None:
        """End the exchange after an unexpected error, which the server answers."""
        if not self._done:
            self._on_caller_left("failed")

    def _on_caller_left(self, outcome: str = "caller-left") -> None:
        last = self._last_attempt
        if last is not None and not last.is_over:
            self._cancel_attempt(last, Fault.LOST, outcome)
        self._close(outcome, 0)

    def _close(self, outcome: str, status: int) -> None:
        self._done = True
        self._answer_bytes.close()
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
            level=self._level,
            limits=self._limit_rows,
            fingerprint="" if status in OK_STATUSES else self._fingerprint,
            now_s=self._context.clock.now(),
        )
        self._release_body()

    def _release_body(self) -> None:
        """Release the body of the request before the next collection of cycles."""
        self._outgoing = msgspec.structs.replace(self._outgoing, body=b"")
        self._task.req.body = b""


def end_to_end_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of an answer without the hop-by-hop ones."""
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS and name not in ENTRY_HEADERS
    }


def refusal_headers(refusal: Refusal, next_hops: Sequence[EntryId]) -> dict[str, str]:
    """Return the headers of a refusal to another entry.

    ``next_hops`` are entries that may take the request instead.
    """
    headers = {REFUSAL_HEADER: refusal.kind}
    if next_hops:
        headers[NEXT_HOPS_HEADER] = encode_names(next_hops)
    return headers
