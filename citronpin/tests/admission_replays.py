"""Replays of bursts and losses with priorities, customers and sizes.

The admission and placement code of several entries, whose reports of loads lag, serves
arrivals by seed on the paused clock and the groups of `bench_overload`.
"""

import math
import random
from collections import Counter

import msgspec

from citronpin.basics.ids import CustomerName, InstanceId
from citronpin.benches.bench_overload import (
    ENGINE,
    MODEL,
    OTHER_ENTRIES,
    SERVICE,
    Caller,
    OverloadCase,
    OverloadRun,
)
from citronpin.gateway.admission_levels import (
    Admitted,
    LevelAdmission,
    OpenAdmission,
    Refused,
)
from citronpin.gateway.capacities import CapacityReader, FleetCapacity
from citronpin.gateway.fleets import Phase
from citronpin.gateway.instance_gates import InstanceGate
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.overloads import Pending
from citronpin.gateway.placers import Demand, Placement
from citronpin.gateway.rests import InstanceRests
from citronpin.gateway.routings import (
    CallerLimits,
    GatewayConfig,
    RequestKind,
    Route,
    RoutingTable,
    ServiceSpec,
    Target,
    Tenant,
)

UPDATE_S = 0.1
REPEAT_S = 0.05  # after which callers that ignore Retry-After return


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """Part of the demand: its priority and share of the calm rate."""

    priority: int
    share: float
    factor: float = 1.0  # of its rate during the burst


class AdmissionCase(OverloadCase, frozen=True, kw_only=True):
    """Parameters of a replay; times in seconds, rates in requests a second."""

    entries: int = 16
    groups: int = 18  # which serve about 150 requests a second
    rate: float = 110.0
    burst_from_s: float = 5.0
    burst_to_s: float = 11.0
    length_s: float = 18.0
    loss_from_s: float = 0.0
    loss_to_s: float = 0.0
    lost_groups: int = 0
    news_s: float = 0.3  # between two load messages
    report_s: float = 0.3  # age of the loads in a message
    kinds: tuple[Kind, ...] = ()
    customers: int = 8
    repeaters: int = 0  # first customers, whose callers ignore Retry-After
    deadline_s: float = 6.0
    patience: int = 3  # retries of a caller that waits for Retry-After


def make_table(kinds):
    """Return a configuration with a route for each kind."""
    return RoutingTable(
        cfg=GatewayConfig(
            version=1,
            routes=tuple(
                Route(
                    name=f"r{number}",
                    host=f"h{number}",
                    prefix="/",
                    kind=RequestKind.STREAM,
                    targets=(Target(service=SERVICE),),
                    timeout_s=6.0,
                    objective_s=0.3,
                    priority=kind.priority,
                )
                for number, kind in enumerate(kinds)
            ),
            services=(ServiceSpec(name=SERVICE, engine=ENGINE),),
            tenants=(Tenant(name=CustomerName("c"), keys=("k",)),),
            limits=CallerLimits(
                header_bytes=1, body_bytes=1, header_timeout_s=1, idle_timeout_s=1
            ),
        )
    )


class RecordedCapacity(CapacityReader):
    """Keeps the last capacity that was read."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.last = None

    def read(self, service, model):
        self.last = self.capacity.read(service, model)
        return self.last


class PriorityCaller(Caller):
    """Caller with a priority, a customer and a behavior after refusals."""

    def __init__(self, *, run, kind, customer, prompt, answer):
        super().__init__(run=run, prompt=prompt, answer=answer)
        self.kind = kind
        self.customer = customer
        self.decision = Admitted()
        self.is_judged = False
        self.refused_tries = 0

    @property
    def is_repeater(self):
        return self.customer < self.run.case.repeaters

    def pending(self):
        rank = self.entry.admission.rank(SERVICE, self.kind.priority)
        return msgspec.structs.replace(
            super().pending(), rank=rank, reserved_share=self.decision.reserved_share
        )

    def plain_pending(self) -> Pending:
        return super().pending()

    def send(self):
        run, now_s = self.run, self.run.clock.now()
        left_s = self.created_s + run.case.deadline_s - now_s
        if left_s <= 0:
            return
        self.tries += 1
        self.entry = entry = run.rng.choice(run.entries)
        entry.retry_delays.count_request(now_s=now_s)
        if not self.is_judged:
            decision = entry.admission.decide(
                pending=self.plain_pending(),
                priority=self.kind.priority,
                customer=CustomerName(f"c{self.customer}"),
                cost=self.answer / ENGINE.mean_answer_tokens,
                left_s=left_s,
                now_s=now_s,
            )
            run.record_decision(self, decision)
            if isinstance(decision, Refused):
                self.return_later(decision.retry_after_s)
                return
            self.decision = decision
        found = entry.placer.place(
            demand=Demand(pending=self.pending(), engine=ENGINE), now_s=now_s
        )
        if isinstance(found, Placement):
            self.is_judged = True  # an entry resends it by itself
            self.load, self.sent_s = found.load, now_s
            entry.loads.request_started(found.instance.id)
            run.groups[found.instance.id].submit(self)
            return
        entry.admission.record_full(SERVICE, MODEL, now_s=now_s)
        run.full += 1
        self.return_later(
            entry.retry_delays.refuse(left_s=left_s, draw=run.rng.random(), now_s=now_s)
        )

    def return_later(self, retry_after_s):
        self.refused_tries += 1
        self.is_judged = False
        if self.is_repeater:
            self.run.clock.call_later(REPEAT_S, self.send)
        elif self.tries <= self.run.case.patience:
            self.run.clock.call_later(retry_after_s, self.send)


class AdmissionRun(OverloadRun):
    """Replay of one case under one admission policy."""

    def __init__(self, *, case, is_open, seed):
        super().__init__(case=case, limit_policy="objective", seed=seed)
        self.arrivals = random.Random(f"{seed}/arrivals")  # alike for all policies
        self.full = 0  # tries that found no place
        self.refusals = Counter()
        self.retry_waits = []
        self.uses = []  # true use of the slots at each update
        self.refused_uses = []  # use known at each refusal by a level
        self.refused_at = []
        self.levels = []  # of the first entry at each update
        self.capacities = []
        for entry in self.entries:
            gate = InstanceGate(
                fleet=self.fleet,
                limits=InstanceLimits(now=self.clock.now),
                rests=InstanceRests(now=self.clock.now),
                suspects=entry.suspects,
                clock=self.clock,
            )
            reader = RecordedCapacity(
                FleetCapacity(fleet=self.fleet, loads=entry.loads, gate=gate)
            )
            entry.capacities = reader
            entry.admission = (
                OpenAdmission()
                if is_open
                else LevelAdmission(
                    capacities=reader, rng=random.Random(f"{seed}/{entry.name}")
                )
            )
            entry.admission.apply_table(make_table(case.kinds))

    def run(self):
        case = self.case
        self._update()
        if case.lost_groups:
            self.clock.call_later(case.loss_from_s, self._lose_groups)
            self.clock.call_later(case.loss_to_s, self._restore_groups)
        super().run()

    def record_decision(self, caller, decision):
        if isinstance(decision, Refused):
            self.refusals[decision.reason] += 1
            left_s = caller.created_s + self.case.deadline_s - self.clock.now()
            self.retry_waits.append(
                (caller.kind.priority, decision.retry_after_s, left_s)
            )
            self.refused_uses.append(caller.entry.capacities.last.use)
            self.refused_at.append(self.clock.now())

    def _update(self):
        self.clock.call_later(UPDATE_S, self._update)
        for entry in self.entries:
            entry.admission.update(now_s=self.clock.now())
        self.levels.append(self.entries[0].admission.level())
        up = [group for group in self.groups.values() if group.up]
        busy = sum(len(group.running) + len(group.waiting) for group in up)
        running = sum(len(group.running) for group in up)
        self.uses.append(
            (self.clock.now(), busy / max(len(up) * ENGINE.slots, 1), running)
        )

    def _lose_groups(self):
        for name in sorted(self.groups)[: self.case.lost_groups]:
            group = self.groups[name]
            self._register(name, Phase.BROKEN)
            group.fail()

    def _restore_groups(self):
        for name in sorted(self.groups)[: self.case.lost_groups]:
            self.groups[name].restore()
            self._register(name, Phase.OPEN)

    def _fail_random_group(self):
        """Fail no groups but those of the case."""

    def _arrive(self):
        case, now_s = self.case, self.clock.now()
        if now_s > case.length_s:
            return
        is_in_burst = case.burst_from_s <= now_s < case.burst_to_s
        rates = [
            case.rate * kind.share * (kind.factor if is_in_burst else 1.0)
            for kind in case.kinds
        ]
        caller = PriorityCaller(
            run=self,
            kind=self.arrivals.choices(case.kinds, rates)[0],
            customer=self.arrivals.randrange(case.customers),
            prompt=self._draw_tokens(ENGINE.mean_prompt_tokens, 2_340),
            answer=self._draw_tokens(ENGINE.mean_answer_tokens, 435),
        )
        self.callers.append(caller)
        caller.send()
        self.clock.call_later(self.arrivals.expovariate(sum(rates)), self._arrive)

    def _exchange_loads(self):
        """Deliver the loads of all entries with an age between two bounds."""
        self.clock.call_later(self.case.news_s, self._exchange_loads)
        total: Counter[InstanceId] = Counter()
        owns = [entry.loads.own() for entry in self.entries]
        for own in owns:
            total.update(own)
        self.clock.call_later(
            self.case.report_s, lambda: self._deliver_loads(total, owns)
        )

    def _deliver_loads(self, total, owns):
        for entry, own in zip(self.entries, owns):
            entry.loads.record_peer_loads(
                entry=OTHER_ENTRIES,
                loads={name: load - own.get(name, 0) for name, load in total.items()},
                now_s=self.clock.now(),
            )

    def _draw_tokens(self, mean, max_tokens):
        sigma = 0.7  # as in `bench_overload`
        tokens = self.arrivals.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
        return min(max(int(tokens), 1), max_tokens)

    def callers_between(self, from_s, to_s):
        """Return the callers whose requests were first sent in a period."""
        return [one for one in self.callers if from_s <= one.created_s < to_s]
