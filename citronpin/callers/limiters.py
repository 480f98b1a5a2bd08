"""Rate limits of customers, which entries enforce together without a shared store."""

import logging

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import CustomerName, EntryId
from citronpin.basics.refusals import LimitExceeded
from citronpin.callers.filters import Context, Filter, Proceed
from citronpin.callers.generations import expected_tokens
from citronpin.peers.meshes import Mesh
from citronpin.peers.messages import CustomerRate, Demand
from citronpin.policy.limits import CustomerDemand, DemandMessage, SharedLimits
from citronpin.state.manifests import Customer

logger = logging.getLogger(__name__)

DEMAND_WINDOW_S = 1.0
IDLE_WINDOWS_PER_REPORT = 4


class LimitFilter(Filter):
    """Refuses requests beyond a customer's limits of requests and tokens per second.

    Raises `LimitExceeded`.
    """

    def __init__(
        self, *, requests: SharedLimits, tokens: SharedLimits, clock: Clock
    ) -> None:
        self._requests = requests
        self._tokens = tokens
        self._clock = clock

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        self._take(self._requests, ctx.customer.name, 1.0, "requests")
        if ctx.deployment is not None:
            units = float(expected_tokens(ctx.chat))
            self._take(self._tokens, ctx.customer.name, units, "tokens")
        proceed(ctx)

    def _take(
        self, limits: SharedLimits, customer: CustomerName, units: float, unit: str
    ) -> None:
        now_s = self._clock.now()
        if limits.take(customer=customer, units=units, now_s=now_s):
            return
        raise LimitExceeded(
            f"The limit of {unit} per second is used up.",
            retry_after_s=limits.retry_after_s(
                customer=customer, units=units, now_s=now_s
            ),
        )


class DemandExchange:
    """Exchanges the demand of customers with the other entries.

    An entry without demand reports it only once in ``IDLE_WINDOWS_PER_REPORT``
    windows, often enough that its peers reserve no allocation for it.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        mesh: Mesh,
        requests: SharedLimits,
        tokens: SharedLimits,
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._mesh = mesh
        self._limits = (requests, tokens)
        self._clock = clock
        self._limited_customers: set[CustomerName] = set()
        self._idle_windows = 0
        mesh.subscribe(Demand, self._on_demand)
        mesh.subscribe_liveness(self._on_liveness)
        self._timer: TimerHandle = clock.call_later(DEMAND_WINDOW_S, self._end_window)

    def set_customers(self, customers: dict[str, Customer]) -> None:
        """Apply the limits of the customers of the current configuration."""
        now_s = self._clock.now()
        limited = {
            customer.name: customer
            for customer in customers.values()
            if customer.requests_per_s is not None or customer.tokens_per_s is not None
        }
        for name in self._limited_customers - set(limited):
            self._set_limits(name, None, None, now_s)
        for name, customer in limited.items():
            self._set_limits(
                name, customer.requests_per_s, customer.tokens_per_s, now_s
            )
        self._limited_customers = set(limited)

    def close(self) -> None:
        """Stop reporting demand."""
        self._timer.cancel()

    def _set_limits(self, customer, requests_per_s, tokens_per_s, now_s: float) -> None:
        for limits, rate in zip(self._limits, (requests_per_s, tokens_per_s)):
            limits.limit(customer=customer, rate=rate, now_s=now_s)

    def _end_window(self) -> None:
        self._timer = self._clock.call_later(DEMAND_WINDOW_S, self._end_window)
        now_s = self._clock.now()
        requests, tokens = (limits.demand(now_s=now_s) for limits in self._limits)
        if not self._limited_customers or self._skips_report(requests, tokens):
            return
        message = Demand(requests=_rates(requests), tokens=_rates(tokens))
        for peer in sorted(self._mesh.alive() - {self._entry}):
            self._mesh.send(peer, message)

    def _skips_report(self, requests: DemandMessage, tokens: DemandMessage) -> bool:
        if requests.demands or tokens.demands:
            self._idle_windows = 0
            return False
        self._idle_windows += 1
        return self._idle_windows % IDLE_WINDOWS_PER_REPORT != 1

    def _on_demand(self, sender: EntryId, demand: Demand) -> None:
        now_s = self._clock.now()
        for limits, rates in zip(self._limits, (demand.requests, demand.tokens)):
            message = DemandMessage(
                tuple(CustomerDemand(rate.customer, rate.rate) for rate in rates)
            )
            limits.record_peer_demand(entry=sender, message=message, now_s=now_s)

    def _on_liveness(self, alive: frozenset[EntryId]) -> None:
        for limits in self._limits:
            limits.alive(entries=alive, now_s=self._clock.now())


def _rates(message: DemandMessage) -> tuple[CustomerRate, ...]:
    return tuple(CustomerRate(d.customer, d.rate) for d in message.demands)
