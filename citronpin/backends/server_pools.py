"""Servers of plain services: who is in service, and which one gets a call."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import ApplicationName, FailureDomainName, InstanceId
from citronpin.state.instances import (
    Instance,
    InstanceKind,
    InstanceState,
    MembershipView,
)

logger = logging.getLogger(__name__)

FAILURE_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
LATENCY_WEIGHT = 0.2


class ServerLoad(msgspec.Struct):
    """What this entry knows of one server from its own calls."""

    in_flight: int = 0
    latency_s: float = 0.0  # moving average of whole answers
    failures: int = 0  # in a row
    avoid_until_s: float = 0.0


class ServerPool:
    """Chooses servers by health and load.

    A server that leaves the membership list, or is shown as leaving, gets no new
    call from the moment the view is taken.
    """

    def __init__(self, *, clock: Clock, failure_domain: FailureDomainName) -> None:
        self._clock = clock
        self._failure_domain = failure_domain
        self._servers: dict[ApplicationName, list[Instance]] = {}
        self._loads: dict[InstanceId, ServerLoad] = {}

    def apply_view(self, view: MembershipView) -> None:
        """Take a membership list."""
        servers: dict[ApplicationName, list[Instance]] = {}
        for instance in view.instances:
            if instance.kind is not InstanceKind.SERVICE:
                continue
            if instance.state is InstanceState.LIVE:
                servers.setdefault(instance.application, []).append(instance)
        self._servers = servers
        listed = {instance.id for instance in view.instances}
        for known in [known for known in self._loads if known not in listed]:
            if not self._loads[known].in_flight:
                del self._loads[known]

    def choose(
        self, application: ApplicationName, excluded: frozenset[InstanceId]
    ) -> Instance | None:
        """Return the least loaded healthy server, or ``None``."""
        now_s = self._clock.now()
        candidates = [
            server
            for server in self._servers.get(application, ())
            if server.id not in excluded
        ]
        healthy = [s for s in candidates if self._load(s).avoid_until_s <= now_s]
        return min(healthy or candidates, key=self._rank, default=None)

    def _rank(self, server: Instance):
        load = self._load(server)
        far = server.failure_domain != self._failure_domain
        expected_s = (load.in_flight + 1) * max(load.latency_s, 0.001)
        return (round(expected_s, 3), far, server.id)

    def _load(self, server: Instance) -> ServerLoad:
        return self._loads.setdefault(server.id, ServerLoad())

    def started(self, server: Instance) -> Callable[[bool, float], None]:
        """Count a call; the returned function takes its success and seconds."""
        load = self._load(server)
        load.in_flight += 1

        def ended(success: bool, seconds: float) -> None:
            load.in_flight -= 1
            if success:
                load.failures = 0
                load.avoid_until_s = 0.0
                load.latency_s += LATENCY_WEIGHT * (seconds - load.latency_s)
                return
            load.failures += 1
            backoff_s = min(FAILURE_BACKOFF_S * 2 ** (load.failures - 1), MAX_BACKOFF_S)
            load.avoid_until_s = self._clock.now() + backoff_s

        return ended

    def counts(self) -> dict[ApplicationName, int]:
        """Return the number of servers in service by application."""
        return {name: len(servers) for name, servers in sorted(self._servers.items())}
