"""Permits to send requests to instances that named a limit; one entry issues each."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection

import msgspec

from citronpin.basics.clocks import MS_PER_S, Clock, TimerHandle
from citronpin.basics.ids import EntryId, InstanceId
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.owners import owner_of
from citronpin.peers.messages import LimitReport, Message, PermitReply, PermitRequest
from citronpin.policy.limits import Bucket

logger = logging.getLogger(__name__)

BURST_REQUESTS = 2.0  # permits that an owner saves
MIN_RATE = 0.2  # requests per second, so that an instance can say that its limit ended
PERMIT_TIMEOUT_S = 0.15  # a reply takes some milliseconds
RETRY_AFTER_SILENCE_S = 0.3  # the owner may be gone; others notice within 1.5 s
MIN_WAIT_S = 0.02
MAX_WAIT_S = 5.0
ASKED_PER_PERMIT = 2.0  # entries that are told to ask again, for each expected permit
MAX_BUCKETS = 4_096
# Of the limit of a cold instance, what an entry issues in place of an owner that it
# lost in this time, since that owner may go on. Both together stay within 1.5 times the
# limit, which may arrive in a second.
SUBSTITUTE_COLD_SHARE = 0.5
SUBSTITUTE_S = 600.0

PermitCallback = Callable[[bool], None]


class Permits(ABC):
    """Decides whether a request may be sent to an instance now."""

    @abstractmethod
    def acquire(self, instance: FleetInstance, done: PermitCallback) -> None:
        """Call ``done``, now or soon, with whether one request may be sent.

        A refused permit marks the instance as exhausted in `InstanceLimits`.
        """

    def owner_left(self, entry: EntryId) -> None:
        """Note that an entry goes on, but owns no limits any more."""


class UnlimitedPermits(Permits):
    """Permits every request; the baseline without limits."""

    def acquire(self, instance, done):
        done(True)


class PendingPermit(msgspec.Struct, kw_only=True):
    """A permit that was requested from the owner of a limit."""

    instance: InstanceId
    done: PermitCallback
    asked_s: float
    timer: TimerHandle


class OwnedLimit(msgspec.Struct, kw_only=True):
    """The permits of one life of an instance whose limit this entry owns."""

    bucket: Bucket
    next_ask_s: float = float("-inf")  # the latest time at which an entry may ask again


class SharedPermits(Permits):
    """Issues the permits of the limits that this entry owns, and requests the others.

    Limits can be as small as one request a second, and entries as many as 89: a share
    for each entry would be far below one request. Each limit has one owner instead,
    whose token bucket all entries take from. An owner that hears only part of the other
    entries issues that part of the limit, unless it is more than half.

    The limits of cold instances are issued in the same way. They last for seconds and
    are bounded in each second, so that two owners at a time matter more: an entry that
    issues them in place of a lost owner issues half.
    """

    def __init__(self, *, entry: EntryId, limits: InstanceLimits, clock: Clock) -> None:
        self._entry = entry
        self._limits = limits
        self._clock = clock
        self._send: Callable[[EntryId, Message], bool] = lambda entry, message: False
        self._owners: frozenset[EntryId] = frozenset()
        self._owners_since_s = float("-inf")
        self._lost_s: dict[EntryId, float] = {}  # owners, by when they were lost
        self._share = 0.0  # of the limits that this entry may issue
        self._owned: dict[tuple[InstanceId, int], OwnedLimit] = {}
        self._pending: dict[int, PendingPermit] = {}
        self._number = 0

    def connect(self, send: Callable[[EntryId, Message], bool]) -> None:
        """Send messages to entries by ``send``, which returns false if it fails."""
        self._send = send

    def set_members(self, *, owners: Collection[EntryId], share: float) -> None:
        """Set which entries own limits, and the part of them that this entry may issue.

        An entry that loses a limit and owns it again begins with no permits.
        """
        self._share = share
        if self._owners == frozenset(owners):
            return
        now_s = self._clock.now()
        for name in self._owners - frozenset(owners):
            self._lost_s[name] = now_s
        self._owners = frozenset(owners)
        self._owners_since_s = now_s
        self._lost_s = {
            name: lost_s
            for name, lost_s in self._lost_s.items()
            if name not in self._owners and now_s - lost_s < SUBSTITUTE_S
        }
        for key in list(self._owned):
            if self.owner(key[0]) != self._entry:
                del self._owned[key]

    def owner(self, instance: InstanceId) -> EntryId | None:
        """Return the entry that issues the permits of an instance, if one is known."""
        return owner_of(instance, self._owners) if self._owners else None

    def owner_left(self, entry):
        self._lost_s.pop(entry, None)

    def _is_substitute(self, instance: InstanceId) -> bool:
        """Return whether this entry owns a limit only since another one was lost."""
        since_s = self._clock.now() - SUBSTITUTE_S
        lost = {name for name, lost_s in self._lost_s.items() if lost_s > since_s}
        return bool(lost) and owner_of(instance, self._owners | lost) != self._entry

    def acquire(self, instance, done):
        rate = self._limits.rate(instance)
        if rate is None:
            done(True)
            return
        report = self._limits.request_report(instance)
        cold_starts = self._limits.cold_starts
        cold_per_s = cold_starts.rate(instance) or 0.0
        owner = self.owner(instance.id)
        if owner == self._entry:
            is_cold = cold_per_s > 0.0
            wait_s = self._take(report, rate, is_cold=is_cold)
            self._finish(instance.id, done, wait_s == 0.0, wait_s)
            return
        self._number += 1
        cold_ms = round(cold_starts.remaining_s(instance) * MS_PER_S)
        request = PermitRequest(self._number, report, cold_per_s, cold_ms)
        if owner is None or not self._send(owner, request):
            self._finish(instance.id, done, False, RETRY_AFTER_SILENCE_S)
            return
        number = self._number
        self._pending[number] = PendingPermit(
            instance=instance.id,
            done=done,
            asked_s=self._clock.now(),
            timer=self._clock.call_later(
                PERMIT_TIMEOUT_S, lambda: self._on_timeout(number)
            ),
        )

    def _finish(
        self, instance: InstanceId, done: PermitCallback, granted: bool, wait_s: float
    ) -> None:
        if not granted:
            self._limits.set_exhausted(instance, wait_s=max(wait_s, MIN_WAIT_S))
        done(granted)

    def _on_timeout(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            self._finish(pending.instance, pending.done, False, RETRY_AFTER_SILENCE_S)

    def _take(self, report: LimitReport, rate: float, *, is_cold: bool) -> float:
        """Take one permit; return 0, or the seconds after which to ask again."""
        now_s = self._clock.now()
        rate = max(rate, MIN_RATE) * self._share
        if is_cold and self._is_substitute(report.instance):
            rate *= SUBSTITUTE_COLD_SHARE
        key = (report.instance, report.born_ms)
        owned = self._owned.get(key)
        if owned is None:
            owned = self._add_owned(key, rate)
        owned.bucket.set_rate(rate=rate, now_s=now_s)
        if owned.bucket.take(units=1.0, now_s=now_s):
            return 0.0
        ready_s = now_s + owned.bucket.wait_s(units=1.0, now_s=now_s)
        interval_s = 1.0 / max(rate * ASKED_PER_PERMIT, 1.0 / MAX_WAIT_S)
        owned.next_ask_s = min(
            max(owned.next_ask_s + interval_s, ready_s), now_s + MAX_WAIT_S
        )
        return max(owned.next_ask_s - now_s, MIN_WAIT_S)

    def _add_owned(self, key: tuple[InstanceId, int], rate: float) -> OwnedLimit:
        """Begin to issue the permits of a limit, from its begin or when it is owned."""
        since_s = max(self._limits.began_s(key[0]), self._owners_since_s)
        bucket = Bucket(
            rate=rate,
            burst_s=0.0,
            now_s=since_s,
            min_capacity=BURST_REQUESTS,
            is_empty=True,
        )
        self._owned[key] = OwnedLimit(bucket=bucket)
        if len(self._owned) > MAX_BUCKETS:
            del self._owned[next(iter(self._owned))]
        return self._owned[key]

    def receive(self, sender: EntryId, message: PermitRequest | PermitReply) -> None:
        """Handle a request for a permit, or the reply to one."""
        if isinstance(message, PermitRequest):
            self._on_request(sender, message)
        else:
            self._on_reply(sender, message)

    def _on_request(self, sender: EntryId, request: PermitRequest) -> None:
        limit = self._merge(sender, request.limit)
        cold_starts = self._limits.cold_starts
        if request.cold_ms > 0:
            remaining_s = request.cold_ms / MS_PER_S
            cold_starts.apply_fact(
                limit.instance, remaining_s=remaining_s, source=sender
            )
        cold = cold_starts.rate_of(limit.instance, asked=request.cold_per_s)
        rate = self._limits.shared_rate(limit, cold_per_s=request.cold_per_s)
        if rate is None:
            wait_s = 0.0
        elif self.owner(limit.instance) != self._entry:
            wait_s = RETRY_AFTER_SILENCE_S  # one of both has not heard of an entry yet
        else:
            wait_s = self._take(limit, rate, is_cold=cold is not None)
        wait_ms = round(wait_s * MS_PER_S)
        cold_ms = round(cold_starts.remaining_s_of(limit.instance) * MS_PER_S)
        granted = wait_s == 0.0
        self._send(
            sender, PermitReply(request.number, granted, wait_ms, limit, cold_ms)
        )

    def _merge(self, sender: EntryId, report: LimitReport) -> LimitReport:
        """Return the newer of what the sender and this entry know of a limit."""
        if self._limits.apply_report(report, source=sender):
            self._limits.add_news(report.instance)
        return self._limits.report(report.instance, report.born_ms) or report

    def _on_reply(self, sender: EntryId, reply: PermitReply) -> None:
        pending = self._pending.get(reply.number)
        if pending is None or pending.instance != reply.limit.instance:
            return  # timed out, or for an earlier run of this entry
        del self._pending[reply.number]
        pending.timer.cancel()
        self._limits.apply_report(reply.limit, source=sender)
        # A reply that lay in the socket while this entry was frozen is outdated.
        is_late = self._clock.now() - pending.asked_s > PERMIT_TIMEOUT_S
        if reply.cold_ms > 0 and not is_late:
            self._limits.cold_starts.apply_fact(
                pending.instance,
                remaining_s=reply.cold_ms / MS_PER_S,
                source=sender,
            )
        self._finish(
            pending.instance,
            pending.done,
            reply.granted and not is_late,
            reply.wait_ms / MS_PER_S,
        )
