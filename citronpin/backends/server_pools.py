"""Pools of the servers of plain services, and the choice of a server for a call."""

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
    """Load and health of one server as observed from this entry's own calls."""

    in_flight: int = 0
    latency_s: float = 0.0  # moving average of the duration of successful calls
    failures: int = 0  # consecutive
    avoid_until_s: float = 0.0  # clock time


class ServerPool:
    """Chooses servers by health and expected latency.

    A server that is missing from the latest membership list, or not live in it, gets
    no new calls. After a failed call a server is avoided for a time that doubles with
    each consecutive failure, up to `MAX_BACKOFF_S`.
    """

    def __init__(self, *, clock: Clock, failure_domain: FailureDomainName) -> None:
        self._clock = clock
        self._failure_domain = failure_domain
        self._live_servers: dict[ApplicationName, list[Instance]] = {}
        self._loads: dict[InstanceId, ServerLoad] = {}

    def apply_view(self, view: MembershipView) -> None:
        """Replace the membership list."""
        servers: dict[ApplicationName, list[Instance]] = {}
        for instance in view.instances:
            if instance.kind is not InstanceKind.SERVICE:
                continue
            if instance.state is InstanceState.LIVE:
                servers.setdefault(instance.application, []).append(instance)
        self._live_servers = servers
        listed = {instance.id for instance in view.instances}
        for id_ in [id_ for id_ in self._loads if id_ not in listed]:
            if not self._loads[id_].in_flight:
                del self._loads[id_]

    def choose(
        self, application: ApplicationName, excluded: frozenset[InstanceId]
    ) -> Instance | None:
        """Return the server that is expected to answer first, or ``None``.

        Servers in backoff are chosen only if no others are left; on equal expected
        latency, servers in the own failure domain come first.
        """
        now_s = self._clock.now()
        candidates = [
            server
            for server in self._live_servers.get(application, ())
            if server.id not in excluded
        ]
        healthy = [s for s in candidates if self._load(s).avoid_until_s <= now_s]
        return min(healthy or candidates, key=self._rank, default=None)

    def _rank(self, server: Instance):
        load = self._load(server)
        is_remote = server.failure_domain != self._failure_domain
        expected_s = (load.in_flight + 1) * max(load.latency_s, 0.001)
        return (round(expected_s, 3), is_remote, server.id)

    def _load(self, server: Instance) -> ServerLoad:
        return self._loads.setdefault(server.id, ServerLoad())

    def started(self, server: Instance) -> Callable[[bool, float], None]:
        """Count a call as in flight and return the function that records its end.

        That function takes whether the call succeeded and its duration in seconds.
        """
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
        """Return the number of live servers by application."""
        return {
            name: len(servers) for name, servers in sorted(self._live_servers.items())
        }
