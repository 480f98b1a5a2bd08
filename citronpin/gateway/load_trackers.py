"""Tracks the requests in progress at each instance over all entries."""

import logging
from collections import Counter

import msgspec

from citronpin.basics.ids import EntryId, InstanceId

logger = logging.getLogger(__name__)

PEER_REPORT_MAX_AGE_S = 1.5  # older reports of entries and instances are dropped


class PeerLoad(msgspec.Struct):
    """The requests in progress that another entry reported last, by instance."""

    heard_s: float
    loads: dict[InstanceId, int]


class ReportedLoad(msgspec.Struct):
    """The load that an instance reported, and the own requests there at that time."""

    heard_s: float
    load: int
    own: int


class LoadReport(msgspec.Struct, frozen=True):
    """The running and waiting requests of an instance at clock time ``as_of_s``.

    ``used_tokens`` of ``memory_tokens`` were held then and could not be given up; a
    memory of 0 is unknown.
    """

    load: int
    as_of_s: float
    heard_s: float
    used_tokens: int = 0
    memory_tokens: int = 0


class LoadTracker:
    """Counts own requests by instance and adds those that other entries reported.

    The load that an instance itself reports, corrected by the own requests started and
    ended since, counts where it is higher. It takes the place of the other entries'
    reports where entries do not exchange loads.
    """

    def __init__(self) -> None:
        self._reports: dict[InstanceId, ReportedLoad] = {}
        # Read by `GroupWorks` and `ReportedMemory`.
        self.reports: dict[InstanceId, LoadReport] = {}
        self._paces: dict[InstanceId, tuple[float, float]] = {}  # clock time, factor
        self._own: Counter[InstanceId] = Counter()
        self._peers: dict[EntryId, PeerLoad] = {}
        self._peer_totals: Counter[InstanceId] = Counter()

    def request_started(self, instance: InstanceId) -> None:
        """Count a request sent to an instance."""
        self._own[instance] += 1

    def request_ended(self, instance: InstanceId) -> None:
        """Remove a request that ended from the count."""
        self._own[instance] -= 1
        if self._own[instance] <= 0:
            del self._own[instance]

    def own(self) -> dict[InstanceId, int]:
        """Return the number of own requests in progress by instance."""
        return dict(self._own)

    def load(self, instance: InstanceId) -> int:
        """Return the number of requests in progress of all entries, as far as known."""
        own = self._own[instance]
        total = own + self._peer_totals[instance]
        report = self._reports.get(instance)
        if report is None:
            return total
        return max(total, report.load + own - report.own)

    def record_instance_load(
        self, instance: InstanceId, *, load: int, now_s: float
    ) -> None:
        """Store the load that an instance reported for itself."""
        self._reports[instance] = ReportedLoad(now_s, load, self._own[instance])

    def record_report(
        self,
        instance: InstanceId,
        *,
        load: int,
        age_s: float,
        now_s: float,
        used_tokens: int = 0,
        memory_tokens: int = 0,
    ) -> None:
        """Store a reported load with the age of the state that it shows.

        An older state does not replace a newer one.
        """
        as_of_s = now_s - max(age_s, 0.0)
        known = self.reports.get(instance)
        if known is None or known.as_of_s <= as_of_s or known.as_of_s > now_s:
            self.reports[instance] = LoadReport(
                load, as_of_s, now_s, used_tokens, memory_tokens
            )

    def peer_load(self, instance: InstanceId) -> int:
        """Return the requests in progress that other entries reported themselves."""
        return self._peer_totals[instance]

    def record_pace(self, instance: InstanceId, *, pace: float, now_s: float) -> None:
        """Store the slowdown factor of an instance's group; 1 is normal."""
        self._paces[instance] = (now_s, pace)

    def pace(self, instance: InstanceId) -> float:
        """Return the slowdown factor of an instance's group, 1 when unknown."""
        return self._paces.get(instance, (0.0, 1.0))[1]

    def record_peer_loads(
        self, *, entry: EntryId, loads: dict[InstanceId, int], now_s: float
    ) -> None:
        """Store the requests in progress that another entry reported."""
        known = self._peers.get(entry)
        self._peers[entry] = PeerLoad(now_s, loads)
        self._update_peer_totals(
            now_s, has_changed=loads != ({} if known is None else known.loads)
        )

    def expire(self, *, now_s: float) -> None:
        """Drop reports of entries and instances older than `PEER_REPORT_MAX_AGE_S`."""
        self._update_peer_totals(now_s)
        for instance, report in list(self._reports.items()):
            if now_s - report.heard_s > PEER_REPORT_MAX_AGE_S:
                del self._reports[instance]
        for instance, load_report in list(self.reports.items()):
            if now_s - load_report.heard_s > PEER_REPORT_MAX_AGE_S:
                del self.reports[instance]
        for instance, (heard_s, _) in list(self._paces.items()):
            if now_s - heard_s > PEER_REPORT_MAX_AGE_S:
                del self._paces[instance]

    def _update_peer_totals(self, now_s: float, *, has_changed: bool = False) -> None:
        expired = [
            entry
            for entry, report in self._peers.items()
            if now_s - report.heard_s > PEER_REPORT_MAX_AGE_S
        ]
        for entry in expired:
            has_changed = bool(self._peers.pop(entry).loads) or has_changed
        if not has_changed:
            return  # entries of a crowd report no loads, but many times a second
        self._peer_totals = Counter()
        for report in self._peers.values():
            self._peer_totals.update(report.loads)

    def peer_count(self) -> int:
        """Return the number of other entries with a current report."""
        return len(self._peers)
