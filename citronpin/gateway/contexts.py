"""Accepted requests, and the state that all exchanges of an entry share."""

import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import (
    ApplicationName,
    CustomerName,
    EntryId,
    ModelName,
    PromptPartId,
)
from citronpin.gateway.admission_levels import AdmissionPolicy, OpenAdmission
from citronpin.gateway.budgets import RetryBudget
from citronpin.gateway.fingerprints import Fingerprints
from citronpin.gateway.fleets import Fleet
from citronpin.gateway.forward_codecs import ForwardCodec
from citronpin.gateway.forward_peers import ForwardPeers
from citronpin.gateway.group_works import GroupWorks
from citronpin.gateway.instance_gates import InstanceGate
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import (
    BlockedRetryDelays,
    FirstEventTimes,
    RetryDelays,
)
from citronpin.gateway.permits import Permits
from citronpin.gateway.placers import Placer
from citronpin.gateway.ports import HeaderNames
from citronpin.gateway.quarantines import CrashQuarantine
from citronpin.gateway.reachabilities import Reachability, ReachListener
from citronpin.gateway.request_costs import RequestCosts
from citronpin.gateway.request_logs import RequestLog
from citronpin.gateway.rests import InstanceRests
from citronpin.gateway.routings import EngineSpec, Route, RoutingTable
from citronpin.gateway.slow_readers import ReaderPolicy, UnboundedReaders
from citronpin.gateway.spent_times import CommonDeadlines, SpentTimes
from citronpin.gateway.suspects import Suspects
from citronpin.gateway.withdrawals import NO_WITHDRAWALS, Withdrawals
from citronpin.web.byte_accounts import ByteAccount
from citronpin.web.clients import HttpClient
from citronpin.web.replies import HttpRequest

logger = logging.getLogger(__name__)

BLAME_WITHDRAWN_S = 1.0  # covers what a lost path causes until it is noticed
REGISTERED_AGAIN_S = 2.5  # by then each instance that goes on wrote a registration


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
    forwarded_by: EntryId | None = None  # the entry that received it from the caller
    is_counted: bool = False  # in the retry budget of that entry

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


class OpenExchange(ABC):
    """A request in progress, as the components around the exchanges see it."""

    @property
    @abstractmethod
    def is_forwarded(self) -> bool:
        """Return whether another entry passed the request on."""

    @abstractmethod
    def check_stall(self, now_s: float) -> None:
        """React to an answer that has not made progress for too long."""

    @abstractmethod
    def check_quarantine(self) -> None:
        """Withdraw a request with a quarantined key that no instance has begun."""

    @abstractmethod
    def on_cut_off(self, service: ApplicationName) -> None:
        """Move to another entry, if an instance of a lost service has the request."""

    @abstractmethod
    def end_with_process(self) -> None:
        """End the request, with an answer if none has begun."""


class ExchangeContext(ReachListener):
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
        rests: InstanceRests,
        gate: InstanceGate,
        permits: Permits,
        fingerprints: Fingerprints,
        first_event_times: FirstEventTimes,
        reach: Reachability,
        forward_peers: ForwardPeers,
        forward_codec: ForwardCodec,
        log: RequestLog,
        rng: random.Random,
        make_budget: Callable[[], RetryBudget],
        withdrawals: Withdrawals = NO_WITHDRAWALS,
        costs: RequestCosts | None = None,
        works: GroupWorks | None = None,
        admission: AdmissionPolicy | None = None,
        account: ByteAccount | None = None,
        spent_times: SpentTimes | None = None,
        readers: ReaderPolicy | None = None,
    ) -> None:
        self.withdrawals = withdrawals
        self.clock = clock
        self.account = account or ByteAccount()
        self.client = client
        self.names = names
        self.fleet = fleet
        self.placer = placer
        self.loads = loads
        self.suspects = suspects
        self.quarantine = quarantine
        self.limits = limits
        self.rests = rests
        self.gate = gate
        self.permits = permits
        self.fingerprints = fingerprints
        self.costs = costs  # for placement by remaining work or by tokens
        self.works = works  # only for placement by remaining work
        self.readers = readers or UnboundedReaders()
        self.memory_refusals = 0  # requests for whose tokens no instance had memory
        self.reach = reach
        self._withdrawn_s = float("-inf")  # when crashes were last discounted
        self.forward_peers = forward_peers
        self.forward_codec = forward_codec
        self.log = log
        self.rng = rng
        self.table: RoutingTable | None = None
        # Returns whether `table` has every change that must be in force by now.
        self.is_table_current: Callable[[], bool] = lambda: True
        self.first_event_times = first_event_times
        self.admission = admission or OpenAdmission()
        self.retry_delays = RetryDelays()
        self.blocked_retry_delays = BlockedRetryDelays()
        self.entry_count = 1  # entries that share the retry budgets
        self.spent_times = spent_times or CommonDeadlines()
        self.open_exchanges: set[OpenExchange] = set()
        self._make_budget = make_budget
        reach.add_listener(self)
        self._budgets: dict[ApplicationName, RetryBudget] = {}

    def budget(self, service: ApplicationName) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = self._make_budget()
        return self._budgets[service]

    def on_cut_off(self, service: ApplicationName) -> None:
        """Blame no instance for the lost path, and move the requests in progress."""
        # Instances that ended before the last reply did so over a path that worked.
        self._withdrawn_s = now_s = self.clock.now()
        since_s = max(now_s - BLAME_WITHDRAWN_S, self.reach.last_reply_s(service))
        self.quarantine.withdraw_crashes(since_s=since_s)
        for instance in list(self.fleet.of_service(service)):
            self.suspects.discard(instance.id)
        for exchange in list(self.open_exchanges):
            exchange.on_cut_off(service)

    def on_reached(self, service: ApplicationName) -> None:
        """Count crashes again once all instances that go on have registered again."""
        wait_s = self._withdrawn_s + REGISTERED_AGAIN_S - self.clock.now()
        self.clock.call_later(max(wait_s, 0.0), self._restore_crashes)

    def _restore_crashes(self) -> None:
        now_s = self.clock.now()
        if now_s >= self._withdrawn_s + REGISTERED_AGAIN_S:
            self.quarantine.restore_crashes(now_s=now_s)
