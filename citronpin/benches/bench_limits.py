"""Benchmark of limits that are shared by entries that exchange their demand."""

import logging

import msgspec
import numpy as np

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import CustomerName, EntryId
from citronpin.benches.benches import Bench, Figure, register
from citronpin.policy.limits import SharedLimits

logger = logging.getLogger(__name__)

CUSTOMER = CustomerName("kanekura")


class LimitsCase(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one run; a few entries get most of the demand.

    Each phase draws these entries anew. ``limit`` is in requests a second.
    """

    division: str  # "demand" or "equal"
    entries: int
    cut_off: bool = False  # one entry exchanges no messages after the first phase
    limit: float = 100.0
    demand: float = 2.0  # of the limit
    phase_s: float = 30.0
    phases: int = 3
    message_lag_s: float = 0.2
    options: dict = {}


class LimitsRun:
    """Simulation of one case with the limits that entries apply."""

    BUSY_ENTRIES_SHARE = 0.8  # of the demand, which goes to a ninth of the entries
    CUT_OFF_SHARE = 0.5  # weight of the entry cut off, as a share of all weights drawn

    def __init__(self, *, case: LimitsCase, seed: int) -> None:
        self.case = case
        self._rng = np.random.default_rng(seed)
        self._clock = PausedClock()
        self._ids = [EntryId(f"e{number}") for number in range(case.entries)]
        self._entries = [
            SharedLimits(entry=entry, **case.options) for entry in self._ids
        ]
        for limits in self._entries:
            limits.alive(entries=frozenset(self._ids), now_s=0.0)
            limits.limit(customer=CUSTOMER, rate=case.limit, now_s=0.0)
        self._weights = self._draw_weights()
        self._taken_at_s: list[float] = []

    def run(self) -> list[Figure]:
        """Run the simulation and return its figures."""
        case = self.case
        self._clock.call_later(0.0, self._arrive)
        self._clock.call_later(1.0, self._exchange_demand)
        for phase in range(1, case.phases):
            self._clock.call_later(phase * case.phase_s, self._redraw_weights)
        self._clock.advance(case.phase_s * case.phases)
        return self._figures()

    def _draw_weights(self) -> np.ndarray:
        count = self.case.entries
        weights = np.full(count, (1 - self.BUSY_ENTRIES_SHARE) / count)
        busy = self._rng.choice(count, size=max(count // 9, 1), replace=False)
        weights[busy] += self.BUSY_ENTRIES_SHARE / len(busy)
        if self.case.cut_off:
            weights[0] = self.CUT_OFF_SHARE * weights.sum()
        return weights / weights.sum()

    def _redraw_weights(self) -> None:
        self._weights = self._draw_weights()

    def _arrive(self) -> None:
        case = self.case
        gap_s = float(self._rng.exponential(1 / (case.limit * case.demand)))
        self._clock.call_later(gap_s, self._arrive)
        number = int(self._rng.choice(case.entries, p=self._weights))
        now_s = self._clock.now()
        if self._entries[number].take(customer=CUSTOMER, units=1.0, now_s=now_s):
            self._taken_at_s.append(now_s)

    def _is_cut_off(self, number: int) -> bool:
        is_after_first_phase = self._clock.now() >= self.case.phase_s
        return self.case.cut_off and is_after_first_phase and number == 0

    def _exchange_demand(self) -> None:
        self._clock.call_later(1.0, self._exchange_demand)
        if self.case.division == "equal":
            return
        now_s = self._clock.now()
        for number, limits in enumerate(self._entries):
            message = limits.demand(now_s=now_s)
            if not self._is_cut_off(number):
                self._clock.call_later(
                    self.case.message_lag_s,
                    lambda n=number, m=message: self._deliver_demand(n, m),
                )
        if self.case.cut_off and now_s >= self.case.phase_s + 2.0:
            self._update_live_entries(now_s)

    def _update_live_entries(self, now_s: float) -> None:
        others = frozenset(self._ids[1:])
        for number, limits in enumerate(self._entries):
            live = others if number else frozenset(self._ids[:1])
            limits.alive(entries=live, now_s=now_s)

    def _deliver_demand(self, sender: int, message) -> None:
        now_s = self._clock.now()
        for number, limits in enumerate(self._entries):
            if number != sender and not self._is_cut_off(number):
                limits.record_peer_demand(
                    entry=self._ids[sender], message=message, now_s=now_s
                )

    def _figures(self) -> list[Figure]:
        case = self.case
        length_s = int(case.phase_s * case.phases)
        counts, _ = np.histogram(self._taken_at_s, bins=length_s, range=(0, length_s))
        window_ratios = np.convolve(counts, np.ones(10), "valid") / (10 * case.limit)
        series = f"{case.division}, {case.entries} entries"
        if case.cut_off:
            series += ", one cut off"

        def figure(name: str, value: float) -> Figure:
            return Figure(name=name, value=float(value), unit="1", series=series)

        return [
            figure("overshoot", max(window_ratios.max() - 1.0, 0.0)),
            figure("overshoot mean", max(window_ratios.mean() - 1.0, 0.0)),
            figure("unused quota", max(1.0 - window_ratios.mean(), 0.0)),
        ]


@register
class LimitsBench(Bench):
    """Measures overshoot and unused quota at a demand of twice the limit."""

    name = "limits"
    summary = "overshoot and unused quota of limits over 9 and 100 entries"

    def run(self, *, seed, quick):
        figures = []
        for entries in (9,) if quick else (9, 100):
            for division in ("equal", "demand"):
                for cut_off in (False, True):
                    if cut_off and division == "equal":
                        continue
                    case = LimitsCase(
                        division=division, entries=entries, cut_off=cut_off
                    )
                    figures += LimitsRun(case=case, seed=seed).run()
        return figures
