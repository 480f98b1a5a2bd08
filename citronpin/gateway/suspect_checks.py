"""Checks the instances that this entry was the first to find unreachable."""

import logging

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import InstanceId
from citronpin.gateway.facts import NOT_SUSPECTED, SUSPECT, SUSPECT_TTL_S, Facts
from citronpin.gateway.fleets import Fleet
from citronpin.gateway.ports import InstanceControl, ProbeResult
from citronpin.gateway.reachabilities import PROBE_CONNECT_TIMEOUT_S, Reachability
from citronpin.gateway.suspects import Suspects
from citronpin.peers.messages import Fact

logger = logging.getLogger(__name__)

# The first check is at most one update late, takes 0.3 s and is told with two updates,
# so that it is known before the fact of 1.5 s expires. Later facts hold for longer.
FIRST_CHECK_S = 0.5
CHECK_INTERVAL_S = 2.0
LASTING_TTL_S = 3.0
# Of the answer to a check; an accepted connection shows that the instance is back.
CHECK_TIMEOUT_S = 0.5


class SuspectChecks:
    """Renews the suspicion of lost instances with one connection at a time.

    Many entries avoid an instance for as long as the fact ``suspect`` holds. If it just
    expired, each of them would try the instance with a request, which waits for its
    connection. The entry whose fact is in force therefore probes the instance before,
    and suspects it anew if it accepts no connection. If this entry is lost or cut off,
    the fact expires, and the next entry that finds the instance unreachable takes over.
    A check that succeeds ends the suspicion at all entries, unless answers stalled.
    """

    def __init__(
        self,
        *,
        facts: Facts,
        suspects: Suspects,
        fleet: Fleet,
        control: InstanceControl,
        reach: Reachability,
        clock: Clock,
    ) -> None:
        self._facts = facts
        self._suspects = suspects
        self._fleet = fleet
        self._control = control
        self._reach = reach
        self._clock = clock
        self._checking: set[InstanceId] = set()
        self._checked_s: dict[InstanceId, float] = {}  # clock time of the latest check
        self._failed_checks: set[InstanceId] = set()  # whose latest check failed

    def check(self) -> None:
        """Probe the instances that this entry suspected first and that are due."""
        if not self._facts.is_shared:
            return
        now_s = self._clock.now()
        # The suspicion of the others is over, or another entry renews it.
        self._failed_checks = set(filter(self._own_fact, self._failed_checks))
        since_s = now_s - LASTING_TTL_S
        for name in self._suspects.recently_suspected(since_s=since_s):
            if self._is_due(name, now_s):
                self._probe(name, now_s)
        for name, checked_s in list(self._checked_s.items()):
            if checked_s < since_s:
                del self._checked_s[name]

    def _is_due(self, name: InstanceId, now_s: float) -> bool:
        known = self._fleet.get(name)
        if name in self._checking or known is None or self._fleet.is_missing(name):
            return False
        if self._reach.is_uncertain(known.service):
            return False
        fact = self._own_fact(name)
        if fact is None or fact.value != known.born_ms:
            return False
        is_first = name not in self._failed_checks
        wait_s = FIRST_CHECK_S if is_first else CHECK_INTERVAL_S
        checked_s = self._checked_s.get(name, float("-inf"))
        return now_s - max(self._suspects.suspected_s(name), checked_s) >= wait_s

    def _own_fact(self, name: InstanceId) -> Fact | None:
        """Return the suspicion of an instance if it is in force and of this entry."""
        fact = self._facts.get(SUSPECT, name)
        is_own = fact is not None and fact.source == self._facts.entry
        return fact if is_own else None

    def _probe(self, name: InstanceId, now_s: float) -> None:
        self._checking.add(name)
        self._checked_s[name] = now_s
        self._control.probe(
            of=self._fleet.get(name),
            connect_timeout_s=PROBE_CONNECT_TIMEOUT_S,
            timeout_s=CHECK_TIMEOUT_S,
            done=lambda result: self._on_probed(name, result),
        )

    def _on_probed(self, name: InstanceId, result: ProbeResult) -> None:
        self._checking.discard(name)
        known = self._fleet.get(name)
        if known is None or self._reach.is_cut_off(known.service):
            return
        if result is not ProbeResult.REFUSED:
            self._failed_checks.discard(name)
            if self._suspects.reachable(name, now_s=self._clock.now()):
                self._facts.put(SUSPECT, name, NOT_SUSPECTED, ttl_s=SUSPECT_TTL_S)
            return
        self._failed_checks.add(name)
        self._suspects.unreachable(name, now_s=self._clock.now(), avoid_s=LASTING_TTL_S)
        self._facts.put(SUSPECT, name, known.born_ms, ttl_s=LASTING_TTL_S)
