"""Benchmark of admission policies: entries before a pool of groups, overloaded."""

import logging
from collections import Counter, deque

import msgspec
import numpy as np

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import CustomerName, DeploymentName, RequestId
from citronpin.benches.benches import Bench, Figure, register
from citronpin.policy import weighted_admissions  # noqa: F401
from citronpin.policy.admissions import (
    ADMISSIONS,
    AdmissionRequest,
    Admit,
    FifoAdmission,
    Refuse,
)

logger = logging.getLogger(__name__)

EARLY_S = 0.010


class AdmissionCase(msgspec.Struct, frozen=True, kw_only=True):
    """One run; the overload lasts from ``start_s`` to ``end_s``."""

    policy: str
    load: float
    entries: int = 9
    slots: int = 180
    service_s: float = 2.0
    deadline_s: float = 8.0
    normal_load: float = 0.7
    start_s: float = 10.0
    end_s: float = 50.0
    length_s: float = 80.0
    report_every_s: float = 1.0
    report_lag_s: float = 0.5
    tick_s: float = 0.05
    caller_tries: int = 3
    options: dict = {}


class Caller(msgspec.Struct, eq=False):
    """A request as its caller sees it."""

    customer: int
    entry: int
    born_s: float
    service_s: float
    tries: int = 0
    offered_s: float = 0.0
    done_s: float | None = None


class AdmissionRun:
    """Runs one case."""

    SHARES = (4.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
    DEMAND = (0.40, 0.10, 0.20, 0.06, 0.06, 0.06, 0.03, 0.03, 0.03, 0.03)

    def __init__(self, *, case: AdmissionCase, seed: int) -> None:
        self.case = case
        self._rng = np.random.default_rng(seed)
        self._clock = PausedClock()
        self._entries = [self._policy(number, seed) for number in range(case.entries)]
        self._callers: dict[RequestId, Caller] = {}
        self._queue: deque[RequestId] = deque()
        self._busy = 0
        self._numbers = 0
        self._all: list[Caller] = []
        self._offered: Counter[int] = Counter()
        self._served: Counter[int] = Counter()
        self._refused = [0, 0]  # early, all

    def _policy(self, number: int, seed: int):
        case = self.case
        policy = ADMISSIONS[case.policy]
        if policy is FifoAdmission:
            return policy(in_flight=case.slots // case.entries, queued=256)
        if policy is weighted_admissions.WeightedAdmission:
            rng = np.random.default_rng([seed, number])
            return policy(rng=rng, **case.options)
        return policy()

    def capacity(self) -> float:
        """Return the requests a second that the groups can serve."""
        return self.case.slots / self.case.service_s

    def run(self) -> list[Figure]:
        """Run and return the figures."""
        self._clock.call_later(0.0, self._arrive)
        self._clock.call_later(self.case.tick_s, self._tick)
        self._clock.call_later(self.case.report_every_s, self._report)
        self._clock.advance(self.case.length_s)
        return self._figures()

    def _overloaded(self) -> bool:
        return self.case.start_s <= self._clock.now() < self.case.end_s

    def _arrive(self) -> None:
        load = self.case.load if self._overloaded() else self.case.normal_load
        rate = load * self.capacity()
        self._clock.call_later(float(self._rng.exponential(1 / rate)), self._arrive)
        caller = Caller(
            customer=int(self._rng.choice(len(self.DEMAND), p=self.DEMAND)),
            entry=int(self._rng.integers(self.case.entries)),
            born_s=self._clock.now(),
            service_s=float(self._rng.gamma(4.0, self.case.service_s / 4.0)),
        )
        self._all.append(caller)
        if self._overloaded():
            self._offered[caller.customer] += 1
        self._try(caller)

    def _try(self, caller: Caller) -> None:
        now_s = self._clock.now()
        caller.tries += 1
        caller.offered_s = now_s
        self._numbers += 1
        request = RequestId(str(self._numbers))
        self._callers[request] = caller
        req = AdmissionRequest(
            request=request,
            customer=CustomerName(str(caller.customer)),
            deployment=DeploymentName("assistant"),
            deadline_s=caller.born_s + self.case.deadline_s,
            share=self.SHARES[caller.customer],
        )
        decision = self._entries[caller.entry].offer(req=req, now_s=now_s)
        if isinstance(decision, Admit):
            self._submit(request)
        elif isinstance(decision, Refuse):
            self._refuse(request, decision)

    def _refuse(self, request: RequestId, answer: Refuse) -> None:
        caller = self._callers.pop(request)
        now_s = self._clock.now()
        if self._overloaded():
            self._refused[0] += now_s - caller.offered_s <= EARLY_S
            self._refused[1] += 1
        again_s = now_s + answer.retry_after_s
        late = again_s >= caller.born_s + self.case.deadline_s
        if caller.tries < self.case.caller_tries and not late:
            self._clock.call_later(answer.retry_after_s, lambda: self._try(caller))

    def _submit(self, request: RequestId) -> None:
        self._queue.append(request)
        self._fill()

    def _fill(self) -> None:
        while self._queue and self._busy < self.case.slots:
            request = self._queue.popleft()
            self._busy += 1
            service_s = self._callers[request].service_s
            self._clock.call_later(service_s, lambda r=request: self._end(r))

    def _end(self, request: RequestId) -> None:
        self._busy -= 1
        caller = self._callers.pop(request)
        now_s = self._clock.now()
        entry = self._entries[caller.entry]
        entry.ended(request=request, now_s=now_s)
        caller.done_s = now_s
        if now_s <= caller.born_s + self.case.deadline_s and self._overloaded():
            self._served[caller.customer] += 1
        self._fill()
        self._pump(entry)

    def _pump(self, entry) -> None:
        now_s = self._clock.now()
        for request, answer in entry.take_expired(now_s=now_s):
            self._refuse(request, answer)
        for request in entry.take_ready(now_s=now_s):
            self._submit(request)

    def _tick(self) -> None:
        self._clock.call_later(self.case.tick_s, self._tick)
        for entry in self._entries:
            self._pump(entry)

    def _report(self) -> None:
        self._clock.call_later(self.case.report_every_s, self._report)
        running, queued = self._busy, len(self._queue)
        self._clock.call_later(
            self.case.report_lag_s, lambda: self._deliver(running, queued)
        )

    def _deliver(self, running: int, queued: int) -> None:
        for entry in self._entries:
            entry.record_total_load(
                slots=self.case.slots,
                running=running,
                queued=queued,
                now_s=self._clock.now(),
            )

    def _figures(self) -> list[Figure]:
        length_s = self.case.end_s - self.case.start_s
        best = min(self.capacity(), self.case.load * self.capacity()) * length_s
        dues = due_shares(
            demand=[self._offered[number] for number in range(len(self.SHARES))],
            shares=self.SHARES,
            capacity=best,
        )
        ratios = [
            self._served[number] / due for number, due in enumerate(dues) if due > 0
        ]

        def figure(name: str, value: float, unit: str = "1") -> Figure:
            at = f"{self.case.load:.0%}"
            return Figure(
                name=name, value=value, unit=unit, series=self.case.policy, at=at
            )

        figures = [
            figure("goodput to best", sum(self._served.values()) / best),
            figure("least share to due", min(ratios)),
            figure("greatest share to due", max(ratios)),
            figure("recovery", self._recovery_s(), "s"),
        ]
        if self._refused[1]:
            early = self._refused[0] / self._refused[1]
            figures.append(figure("refused within 10 ms", early))
        return figures

    def _recovery_s(self) -> float:
        """Return how long after the overload a caller's request still fails."""
        end_s = self.case.end_s
        last_s = self.case.length_s - self.case.deadline_s
        bad = [
            caller.born_s - end_s
            for caller in self._all
            if end_s <= caller.born_s < last_s
            and (
                caller.done_s is None
                or caller.done_s > caller.born_s + self.case.deadline_s
            )
        ]
        return max(bad, default=0.0)


def due_shares(*, demand, shares, capacity: float) -> list[float]:
    """Return what each customer is due: weighted max-min fair shares."""
    due = [0.0] * len(demand)
    left = capacity
    hungry = {number for number, wanted in enumerate(demand) if wanted > 0}
    while hungry and left > 1e-9:
        unit = left / sum(shares[number] for number in hungry)
        full = {n for n in hungry if demand[n] - due[n] <= unit * shares[n]}
        if not full:
            for number in hungry:
                due[number] += unit * shares[number]
            return due
        for number in full:
            left -= demand[number] - due[number]
            due[number] = float(demand[number])
        hungry -= full
    return due


@register
class AdmissionBench(Bench):
    """Measures every registered admission policy at 120 % and 200 % of capacity."""

    name = "admission"
    summary = "goodput, shares and recovery under overload"
    LOADS = (1.2, 2.0)

    def run(self, *, seed, quick):
        figures = []
        for policy in sorted(ADMISSIONS):
            for load in self.LOADS:
                case = AdmissionCase(policy=policy, load=load)
                if quick:
                    case = AdmissionCase(
                        policy=policy, load=load, end_s=30.0, length_s=60.0
                    )
                figures += AdmissionRun(case=case, seed=seed).run()
        return figures
