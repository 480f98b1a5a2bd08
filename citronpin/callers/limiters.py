"""Limits of customers, held together by all entries without a store."""

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

WINDOW_S = 1.0
QUIET_WINDOWS = 4


class LimitFilter(Filter):
    """Refuses requests beyond a customer's limits."""

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
        self, limits: SharedLimits, customer: CustomerName, units: float, name: str
    ) -> None:
        now_s = self._clock.now()
        if limits.take(customer=customer, units=units, now_s=now_s):
            return
        raise LimitExceeded(
            f"The limit of {name} a second is used up.",
            retry_after_s=limits.retry_after_s(
                customer=customer, units=units, now_s=now_s
            ),
        )


class DemandExchange:
    """Tells the other entries what callers ask here, and hears them.

    An entry on which nobody asks for anything says so once in ``QUIET_WINDOWS``
    only, which is often enough for the others not to keep a part aside for it.
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
        self._limited: set[CustomerName] = set()
        self._quiet_windows = 0
        mesh.subscribe(Demand, self._on_demand)
        mesh.subscribe_liveness(self._on_liveness)
        self._timer: TimerHandle = clock.call_later(WINDOW_S, self._end_window)

    def set_customers(self, customers: dict[str, Customer]) -> None:
        """Take the customers of the configuration in force."""
        now_s = self._clock.now()
        named = {
            customer.name: customer
            for customer in customers.values()
            if customer.requests_per_s is not None or customer.tokens_per_s is not None
        }
        for name in self._limited - set(named):
            self._set(name, None, None, now_s)
        for name, customer in named.items():
            self._set(name, customer.requests_per_s, customer.tokens_per_s, now_s)
        self._limited = set(named)

    def close(self) -> None:
        """Stop telling."""
        self._timer.cancel()

    def _set(self, customer, requests_per_s, tokens_per_s, now_s: float) -> None:
        for limits, rate in zip(self._limits, (requests_per_s, tokens_per_s)):
            limits.limit(customer=customer, rate=rate, now_s=now_s)

    def _end_window(self) -> None:
        self._timer = self._clock.call_later(WINDOW_S, self._end_window)
        now_s = self._clock.now()
        requests, tokens = (limits.demand(now_s=now_s) for limits in self._limits)
        if not self._limited or self._keeps_quiet(requests, tokens):
            return
        message = Demand(requests=_rates(requests), tokens=_rates(tokens))
        for peer in sorted(self._mesh.alive() - {self._entry}):
            self._mesh.send(peer, message)

    def _keeps_quiet(self, requests: DemandMessage, tokens: DemandMessage) -> bool:
        if requests.demands or tokens.demands:
            self._quiet_windows = 0
            return False
        self._quiet_windows += 1
        return self._quiet_windows % QUIET_WINDOWS != 1

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
