"""What a request can be sent to: an instance, or an entry that reaches instances."""

import logging
from abc import abstractmethod
from collections.abc import Iterable, Iterator

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import ApplicationName, EntryId
from citronpin.gateway.attempts import (
    MISDIRECTED_STATUS,
    Attempt,
    AttemptRecipient,
    Fault,
)
from citronpin.gateway.contexts import ExchangeContext, Task
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.forward_codecs import (
    FORWARDED_HEADER,
    NEXT_HOPS_HEADER,
    decode_names,
)
from citronpin.gateway.forward_peers import ForwardPeer
from citronpin.gateway.forwards import describe
from citronpin.gateway.overloads import Pending, urgency_number
from citronpin.gateway.placers import Placement
from citronpin.gateway.quarantines import CrashKey

logger = logging.getLogger(__name__)

HOP_BY_HOP_HEADERS = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization proxy-connection te "
    "trailer transfer-encoding upgrade content-length host expect".split()
)
FIRST_EVENT_STALL_TIMEOUT_S = 0.9  # a prompt behind a full batch takes up to 0.6 s
SUSPECT_STALL_TIMEOUT_S = 0.3  # on an instance where another answer stalled
# The other entry resumes a stalled answer by itself, within about this time.
FORWARDED_STALL_TIMEOUT_S = 1.5


class Recipient(AttemptRecipient):
    """What an attempt is sent to, and the records that its course changes."""

    @abstractmethod
    def started(self) -> None:
        """Count a request in progress."""

    @abstractmethod
    def ended(self, attempt: Attempt) -> None:
        """Remove a request that ended from the count."""

    @abstractmethod
    def headers(
        self, task: Task, pending: Pending, overrides: dict[str, str]
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers of the request, names in lower case."""

    @abstractmethod
    def record_head(self, attempt: Attempt) -> None:
        """Record what the head of an answer says of the recipient."""

    @abstractmethod
    def record_progress(self) -> None:
        """Record a valid answer, or progress of one."""

    @abstractmethod
    def record_first_event(self, attempt: Attempt, task: Task) -> None:
        """Record how long the first event of a stream took."""

    @abstractmethod
    def record_fault(
        self, attempt: Attempt, fault: Fault, keys: Iterable[CrashKey]
    ) -> None:
        """Record a fault; ``keys`` are those under which an instance may have ended."""

    @abstractmethod
    def doubt(self) -> None:
        """Doubt the path to the instance, whose answer does not begin."""

    @abstractmethod
    def record_stall(self, *, silent_s: float, midway_s: float | None) -> None:
        """Record that an answer made no progress for ``silent_s`` seconds.

        ``midway_s`` is as in `stall_timeout_s`.
        """

    @abstractmethod
    def stall_timeout_s(self, midway_s: float | None) -> float:
        """Return the silence in seconds after which an answer counts as stalled.

        ``midway_s`` is the limit for an instance that has begun to answer, else
        ``None``.
        """

    def last_progress_s(self) -> float:
        """Return when other answers of the recipient last made progress."""
        return float("-inf")


class InstanceRecipient(Recipient):
    """An instance, reached directly."""

    def __init__(self, *, placement: Placement, context: ExchangeContext) -> None:
        self.instance: FleetInstance = placement.instance
        self.address = placement.instance.address
        self._load = placement.load
        self._work = placement.work
        self._held = placement.held
        self._context = context

    @property
    def _now_s(self) -> float:
        return self._context.clock.now()

    def started(self):
        self._context.loads.request_started(self.instance.id)
        if self._work is not None:
            self._work.started(now_s=self._now_s)
        if self._held is not None:
            self._held.started(now_s=self._now_s)

    def ended(self, attempt):
        self._context.loads.request_ended(self.instance.id)
        if self._work is not None:
            has_run = attempt.status != 0 and not attempt.not_run
            self._work.ended(has_run=has_run, now_s=self._now_s)
        if self._held is not None:
            self._held.ended(now_s=self._now_s)

    def headers(self, task, pending, overrides):
        names = self._context.names
        dropped = {names.expect_instance, names.urgency, *overrides}
        headers = [*_end_to_end(task, self._context, dropped)]
        left_s = task.end_s - self._now_s
        headers.append((names.deadline_ms, str(max(int(left_s * MS_PER_S), 1))))
        headers.append((names.expect_instance, self.instance.id))
        if task.customer is not None:
            # The characters of a header value stand for its bytes.
            headers.append((names.customer, task.customer.encode().decode("latin-1")))
        if task.engine is not None:
            headers.append((names.urgency, str(urgency_number(pending))))
        return (*headers, *overrides.items())

    def record_head(self, attempt):
        self._context.reach.record_reply(self.instance.service)
        if attempt.status != MISDIRECTED_STATUS:
            self._context.rests.record(self.instance, rest_s=attempt.named_rest_s)
            if attempt.names_leaving:
                self._context.fleet.set_leaving(self.instance.id, self.instance.born_ms)
            self._context.limits.record_answer(
                self.instance, rate=attempt.named_limit, sent_s=attempt.sent_s
            )
            self._context.limits.record_cold(
                self.instance, remaining_s=attempt.named_cold_s
            )
            self._context.quarantine.record_answer(self.instance, sent_s=attempt.sent_s)
        elif attempt.is_misdirected_at(self.instance.id):
            self._withdraw_group()

    def _withdraw_group(self) -> None:
        """Withdraw the group that the instance led, since it no longer does."""
        # The head was open before the request was sent, and phases follow each other.
        if not self.instance.is_serving_head:
            return
        membership, withdrawals = self.instance.membership, self._context.withdrawals
        # The refused request may have been sent before the group opened again.
        if not withdrawals.is_reopened(membership.group, membership.epoch):
            withdrawals.withdraw(
                membership.group, membership.epoch, reason="its head refused a request"
            )

    def record_progress(self):
        self._context.suspects.succeeded(self.instance.id, now_s=self._now_s)
        self._context.reach.record_reply(self.instance.service)
        if self._work is not None:
            self._work.progressed(now_s=self._now_s)
        if self._held is not None:
            self._held.progressed(now_s=self._now_s)

    def record_first_event(self, attempt, task):
        self._context.first_event_times.record_first_event(
            service=task.service,
            model=task.model,
            first_s=self._now_s - attempt.sent_s,
            load=self._load,
            slots=self.instance.slots,
        )

    def record_fault(self, attempt, fault, keys):
        if self._context.reach.is_cut_off(self.instance.service):
            return  # it says nothing of the instance
        suspects, now_s = self._context.suspects, self._now_s
        if fault is Fault.UNSENT:
            suspects.unreachable(self.instance.id, now_s=now_s)
        elif fault is Fault.STALLED:
            if self._work is None:  # else `record_stall` has judged it
                suspects.stalled(self.instance.id, now_s=now_s)
        elif fault is Fault.NOT_RUN:
            self._record_refusal(attempt)
        else:
            suspects.failed(self.instance.id)
        if fault is Fault.LOST and not self._is_leaving:
            self._context.quarantine.record_crash(keys, self.instance, now_s=now_s)
            self._context.reach.record_lost_answer(self.instance)

    def _record_refusal(self, attempt: Attempt) -> None:
        if attempt.named_rest_s:
            return  # it is kept as such
        if self._work is not None and attempt.status != MISDIRECTED_STATUS:
            self._work.refused(now_s=self._now_s)
        elif self._load < self.instance.slots:
            self._context.suspects.refused(self.instance.id, now_s=self._now_s)

    @property
    def _is_leaving(self) -> bool:
        known = self._context.fleet.get(self.instance.id)
        return known is not None and known.draining

    def doubt(self):
        self._context.reach.doubt(self.instance.service)

    def record_stall(self, *, silent_s, midway_s):
        self.doubt()
        if self._context.reach.is_cut_off(self.instance.service):
            return
        if self._work is None or self._is_stall_of_instance(silent_s, midway_s):
            self._context.suspects.stalled(self.instance.id, now_s=self._now_s)
        elif self._now_s - self.last_progress_s() >= silent_s:
            self._context.suspects.confirmed(self.instance.id, now_s=self._now_s)

    def _is_stall_of_instance(self, silent_s: float, midway_s: float | None) -> bool:
        """Return whether a stalled answer says that its whole instance stalled.

        In a crowd each entry tells all others. If an entry told them of a silence that
        is only too long because the instance is suspected already, or has a queue, one
        false suspicion would bring about the next.
        """
        if self._now_s - self.last_progress_s() < silent_s:
            return False  # another answer of the instance went on
        if midway_s is not None:
            return True
        return silent_s >= FIRST_EVENT_STALL_TIMEOUT_S + self._work.queue_wait_s()

    def stall_timeout_s(self, midway_s):
        if midway_s is not None:
            return midway_s
        queue_s = 0.0 if self._work is None else self._work.queue_wait_s()
        if self._context.suspects.is_avoided(self.instance.id, now_s=self._now_s):
            return SUSPECT_STALL_TIMEOUT_S + queue_s
        return FIRST_EVENT_STALL_TIMEOUT_S + queue_s

    def last_progress_s(self):
        return self._context.suspects.last_progress_s(self.instance.id)

    def summary(self):
        fields: dict[str, object] = {"instance": self.instance.id, "load": self._load}
        membership = self.instance.membership
        if membership is not None:
            fields["group"] = f"{membership.group}/{membership.epoch}"
        if self._held is not None and self._held.share is not None:
            fields["memory"] = round(self._held.share, 2)
        return fields


class EntryRecipient(Recipient):
    """Another entry, which sends the request to an instance."""

    is_entry = True

    def __init__(
        self,
        *,
        peer: ForwardPeer,
        service: ApplicationName,
        max_runs: int,
        is_counted: bool,
        context: ExchangeContext,
    ) -> None:
        self.entry: EntryId = peer.name
        self.address = peer.address
        self._service = service
        self.max_runs = max_runs
        self._is_counted = is_counted
        self._context = context

    def started(self):
        self._context.forward_peers.started(self.entry)

    def ended(self, attempt):
        self._context.forward_peers.ended(self.entry)

    def headers(self, task, pending, overrides):
        text = self._context.forward_codec.encode(
            describe(
                task,
                attempt=task.req.headers.get(self._context.names.attempt, ""),
                spent_s=pending.spent_s,
                now_s=self._context.clock.now(),
                max_runs=self.max_runs,
                is_counted=self._is_counted,
            )
        )
        headers = _end_to_end(task, self._context, overrides)
        return (*headers, (FORWARDED_HEADER, text), *overrides.items())

    def record_head(self, attempt):
        self._count(attempt.refusal or "taken")
        if not attempt.refusal:
            self._context.forward_peers.taken(self.entry, self._service)

    def _count(self, result: str) -> None:
        self._context.log.count_forward(service=self._service, result=result)

    def record_progress(self):
        """Learn nothing: the other entry keeps the health of instances."""

    def record_first_event(self, attempt, task):
        """Learn nothing: the times of instances are measured where they are sent."""

    def record_fault(self, attempt, fault, keys):
        if not attempt.status:
            self._count(fault.value)
        if attempt.refusal:
            if fault is Fault.UNSENT:
                self._context.forward_peers.declined(self.entry, self._service)
                names = decode_names(attempt.headers.get(NEXT_HOPS_HEADER, ""))
                self._context.forward_peers.add_next_hops(names, self._service)
        elif fault is Fault.UNSENT:
            self._context.forward_peers.unreachable(self.entry)

    def doubt(self):
        """Wait: the other entry looks after the path to the instance."""

    def record_stall(self, *, silent_s, midway_s):
        self._context.forward_peers.stalled(self.entry)

    def stall_timeout_s(self, midway_s):
        return FORWARDED_STALL_TIMEOUT_S

    def summary(self):
        return {"through": self.entry}


def _end_to_end(
    task: Task, context: ExchangeContext, dropped: Iterable[str]
) -> Iterator[tuple[str, str]]:
    """Yield the headers of the caller that belong to the request, not to a hop."""
    names = context.names
    excluded = {names.key, names.customer, names.deadline_ms, FORWARDED_HEADER}
    excluded.update(dropped)
    for name in task.req.headers.get("connection", "").split(","):
        excluded.add(name.strip().lower())
    for name, value in task.req.headers.items():
        if name not in HOP_BY_HOP_HEADERS and name not in excluded:
            yield name, value
