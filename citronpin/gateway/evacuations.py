"""Keeps the evacuated failure domains, whose instances get no more requests."""

import logging
from collections.abc import Callable, Collection

import msgspec

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import FailureDomainName
from citronpin.gateway.fleets import FleetInstance

logger = logging.getLogger(__name__)

# A store that went back to an older copy may lack an evacuation that is in effect. By
# then the operator has written it again, or has revoked it.
MISSING_HOLD_S = 3.0


class Evacuation(msgspec.Struct):
    """The evacuation of one failure domain; times of the clock."""

    since_s: float
    # When it ends unless the store shows it again; ``None`` while the store shows it.
    ends_s: float | None = None


class Evacuations:
    """Keeps the evacuated failure domains, as the operator's topic names them.

    It handles a store that loses history: an evacuation that a complete read lacks
    stays in effect for `MISSING_HOLD_S`. The baseline, which takes each complete read
    for the truth, sends to an evacuated domain as soon as the store went back to an
    older copy. A record that revokes an evacuation ends it at once, but not within
    `MISSING_HOLD_S` of such a loss, when records of the older copy are read again.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._evacuations: dict[FailureDomainName, Evacuation] = {}
        self._settled_s = float("-inf")  # when the history is certainly read again

    def history_lost(self) -> None:
        """Hold what is in effect: the store may have gone back to an older copy."""
        self._settled_s = self._now() + MISSING_HOLD_S

    def apply_snapshot(self, domains: Collection[FailureDomainName]) -> None:
        """Apply a complete read, which names every evacuated domain."""
        for domain in domains:
            self.evacuate(domain)
        self._expire()
        for domain, known in self._evacuations.items():
            if domain not in domains and known.ends_s is None:
                known.ends_s = self._now() + MISSING_HOLD_S

    def evacuate(self, domain: FailureDomainName) -> None:
        """Evacuate a failure domain until it is revoked."""
        self._expire()
        known = self._evacuations.get(domain)
        if known is not None:
            known.ends_s = None
            return
        self._evacuations[domain] = Evacuation(since_s=self._now())
        logger.warning("failure domain evacuated", extra={"failure_domain": domain})

    def revoke(self, domain: FailureDomainName) -> None:
        """End the evacuation of a failure domain."""
        known = self._evacuations.get(domain)
        if known is not None:
            ends_s = self._settled_s if known.ends_s is None else known.ends_s
            known.ends_s = min(ends_s, self._settled_s)
        self._expire()

    def _expire(self) -> None:
        """Remove the evacuations whose end has come."""
        now_s = self._now()
        for domain, known in list(self._evacuations.items()):
            if known.ends_s is not None and known.ends_s <= now_s:
                del self._evacuations[domain]
                logger.warning(
                    "failure domain taken back",
                    extra={
                        "failure_domain": domain,
                        "evacuated_s": round(now_s - known.since_s, 1),
                    },
                )

    def covers(self, instance: FleetInstance) -> bool:
        """Return whether an instance gets no request since its domain is evacuated."""
        if not self._evacuations:
            return False
        self._expire()
        return instance.failure_domain in self._evacuations

    def domains(self) -> list[FailureDomainName]:
        """Return the evacuated failure domains."""
        self._expire()
        return sorted(self._evacuations)

    def rows(self) -> list[dict[str, object]]:
        """Return the evacuated domains with their age and, if it is set, their end."""
        now_s = self._now()
        rows = []
        for domain in self.domains():
            known = self._evacuations[domain]
            row: dict[str, object] = {
                "failure_domain": domain,
                "age_ms": round((now_s - known.since_s) * MS_PER_S),
            }
            if known.ends_s is not None:
                row["ends_ms"] = round((known.ends_s - now_s) * MS_PER_S)
            rows.append(row)
        return rows
