"""Benchmark of admission policies: entries in front of an overloaded pool of groups."""

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

EARLY_REFUSAL_S = 0.010


class AdmissionCase(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run, overloaded from ``start_s`` to ``end_s``.

    Loads are shares of the capacity, times are in seconds.
    """

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
    """Caller of one request, with its tries; times are clock times in seconds."""

    customer: int
    entry: int
    born_s: float
    service_s: float
    tries: int = 0
    offered_s: float = 0.0
    done_s: float | None = None


class AdmissionRun:
    """Simulation of one case with the admission policies that entries run."""

    # Of each customer: weight of its fair share, and share of all requests.
    SHARES = (4.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
    DEMAND = (0.40, 0.10, 0.20, 0.06, 0.06, 0.06, 0.03, 0.03, 0.03, 0.03)

    def __init__(self, *, case: AdmissionCase, seed: int) -> None:
        self.case = case
        self._rng = np.random.default_rng(seed)
        self._clock = PausedClock()
        self._entries = [
            self._make_policy(number, seed) for number in range(case.entries)
        ]
        self._callers: dict[RequestId, Caller] = {}
        self._waiting: deque[RequestId] = deque()
        self._busy_slots = 0
        self._request_count = 0
        self._all_callers: list[Caller] = []
        self._offered: Counter[int] = Counter()
        self._served: Counter[int] = Counter()
        self._early_and_all_refusals = [0, 0]  # within `EARLY_REFUSAL_S`, and all

    def _make_policy(self, number: int, seed: int):
        case = self.case
        policy = ADMISSIONS[case.policy]
        if policy is FifoAdmission:
            return policy(in_flight=case.slots // case.entries, queued=256)
        if policy is weighted_admissions.WeightedAdmission:
            rng = np.random.default_rng([seed, number])
            return policy(rng=rng, **case.options)
        return policy()

    def capacity(self) -> float:
        """Return the capacity of the groups in requests a second."""
        return self.case.slots / self.case.service_s

    def run(self) -> list[Figure]:
        """Run the simulation and return its figures."""
        self._clock.call_later(0.0, self._arrive)
        self._clock.call_later(self.case.tick_s, self._poll_entries)
        self._clock.call_later(self.case.report_every_s, self._send_slot_reports)
        self._clock.advance(self.case.length_s)
        return self._figures()

    def _is_overloaded(self) -> bool:
        return self.case.start_s <= self._clock.now() < self.case.end_s

    def _arrive(self) -> None:
        load = self.case.load if self._is_overloaded() else self.case.normal_load
        rate = load * self.capacity()
        self._clock.call_later(float(self._rng.exponential(1 / rate)), self._arrive)
        caller = Caller(
            customer=int(self._rng.choice(len(self.DEMAND), p=self.DEMAND)),
            entry=int(self._rng.integers(self.case.entries)),
            born_s=self._clock.now(),
            service_s=float(self._rng.gamma(4.0, self.case.service_s / 4.0)),
        )
        self._all_callers.append(caller)
        if self._is_overloaded():
            self._offered[caller.customer] += 1
        self._offer(caller)

    def _offer(self, caller: Caller) -> None:
        now_s = self._clock.now()
        caller.tries += 1
        caller.offered_s = now_s
        self._request_count += 1
        request = RequestId(str(self._request_count))
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
            self._handle_refusal(request, decision)

    def _handle_refusal(self, request: RequestId, answer: Refuse) -> None:
        caller = self._callers.pop(request)
        now_s = self._clock.now()
        if self._is_overloaded():
            self._early_and_all_refusals[0] += (
                now_s - caller.offered_s <= EARLY_REFUSAL_S
            )
            self._early_and_all_refusals[1] += 1
        retry_at_s = now_s + answer.retry_after_s
        is_too_late = retry_at_s >= caller.born_s + self.case.deadline_s
        if caller.tries < self.case.caller_tries and not is_too_late:
            self._clock.call_later(answer.retry_after_s, lambda: self._offer(caller))

    def _submit(self, request: RequestId) -> None:
        self._waiting.append(request)
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._waiting and self._busy_slots < self.case.slots:
            request = self._waiting.popleft()
            self._busy_slots += 1
            service_s = self._callers[request].service_s
            self._clock.call_later(service_s, lambda r=request: self._finish(r))

    def _finish(self, request: RequestId) -> None:
        self._busy_slots -= 1
        caller = self._callers.pop(request)
        now_s = self._clock.now()
        entry = self._entries[caller.entry]
        entry.ended(request=request, now_s=now_s)
        caller.done_s = now_s
        if now_s <= caller.born_s + self.case.deadline_s and self._is_overloaded():
            self._served[caller.customer] += 1
        self._fill_slots()
        self._handle_entry_decisions(entry)

    def _handle_entry_decisions(self, entry) -> None:
        now_s = self._clock.now()
        for request, answer in entry.take_expired(now_s=now_s):
            self._handle_refusal(request, answer)
        for request in entry.take_ready(now_s=now_s):
            self._submit(request)

    def _poll_entries(self) -> None:
        self._clock.call_later(self.case.tick_s, self._poll_entries)
        for entry in self._entries:
            self._handle_entry_decisions(entry)

    def _send_slot_reports(self) -> None:
        self._clock.call_later(self.case.report_every_s, self._send_slot_reports)
        running, queued = self._busy_slots, len(self._waiting)
        self._clock.call_later(
            self.case.report_lag_s, lambda: self._deliver_slot_report(running, queued)
        )

    def _deliver_slot_report(self, running: int, queued: int) -> None:
        for entry in self._entries:
            entry.slots(
                slots=self.case.slots,
                running=running,
                queued=queued,
                now_s=self._clock.now(),
            )

    def _figures(self) -> list[Figure]:
        length_s = self.case.end_s - self.case.start_s
        best_requests = (
            min(self.capacity(), self.case.load * self.capacity()) * length_s
        )
        fair_shares = weighted_fair_shares(
            demand=[self._offered[number] for number in range(len(self.SHARES))],
            shares=self.SHARES,
            capacity=best_requests,
        )
        ratios = [
            self._served[number] / share
            for number, share in enumerate(fair_shares)
            if share > 0
        ]

        def figure(name: str, value: float, unit: str = "1") -> Figure:
            at = f"{self.case.load:.0%}"
            return Figure(
                name=name,
                value=value,
                unit=unit,
                series=self.case.policy,
                at=at,
            )

        figures = [
            figure("goodput to best", sum(self._served.values()) / best_requests),
            figure("least share to due", min(ratios)),
            figure("greatest share to due", max(ratios)),
            figure("recovery", self._recovery_s(), "s"),
        ]
        if self._early_and_all_refusals[1]:
            early = self._early_and_all_refusals[0] / self._early_and_all_refusals[1]
            figures.append(figure("refused within 10 ms", early))
        return figures

    def _recovery_s(self) -> float:
        """Return how long requests keep failing after the overload, in seconds.

        Counted to the first try of the last request that missed its deadline.
        """
        end_s = self.case.end_s
        born_before_s = self.case.length_s - self.case.deadline_s
        failed_after_s = [
            caller.born_s - end_s
            for caller in self._all_callers
            if end_s <= caller.born_s < born_before_s
            and (
                caller.done_s is None
                or caller.done_s > caller.born_s + self.case.deadline_s
            )
        ]
        return max(failed_after_s, default=0.0)


def weighted_fair_shares(*, demand, shares, capacity: float) -> list[float]:
    """Return the weighted max-min fair share of each customer, in units of demand.

    ``demand`` and the weights ``shares`` are in the same order of customers.
    """
    granted = [0.0] * len(demand)
    remaining = capacity
    unsatisfied = {number for number, wanted in enumerate(demand) if wanted > 0}
    while unsatisfied and remaining > 1e-9:
        share_unit = remaining / sum(shares[number] for number in unsatisfied)
        satisfied = {
            n for n in unsatisfied if demand[n] - granted[n] <= share_unit * shares[n]
        }
        if not satisfied:
            for number in unsatisfied:
                granted[number] += share_unit * shares[number]
            return granted
        for number in satisfied:
            remaining -= demand[number] - granted[number]
            granted[number] = float(demand[number])
        unsatisfied -= satisfied
    return granted


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
