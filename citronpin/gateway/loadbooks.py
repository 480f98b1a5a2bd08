"""What entries know of the requests in progress at instances, and of suspects."""

import logging
from collections import Counter

import msgspec

from citronpin.basics.ids import EntryId, InstanceId

logger = logging.getLogger(__name__)

PEER_REPORT_MAX_AGE_S = 1.5  # age at which the figures of a silent entry are dropped


class PeerLoad(msgspec.Struct):
    """The latest figures of another entry."""

    heard_s: float
    loads: dict[InstanceId, int]


class ReportedLoad(msgspec.Struct):
    """What an instance reported, and the own requests there at that time."""

    heard_s: float
    load: int
    own: int


class LoadTracker:
    """Counts own requests by instance and adds what other entries reported.

    Where entries do not tell each other, the reports of the instances take the place
    of the others' figures; own requests since the report are added.
    """

    def __init__(self) -> None:
        self._reports: dict[InstanceId, ReportedLoad] = {}
        self._paces: dict[InstanceId, tuple[float, float]] = {}  # heard, pace
        self._own: Counter[InstanceId] = Counter()
        self._peers: dict[EntryId, PeerLoad] = {}
        self._others: Counter[InstanceId] = Counter()

    def started(self, instance: InstanceId) -> None:
        """Count a request that was sent."""
        self._own[instance] += 1

    def ended(self, instance: InstanceId) -> None:
        """Count the end of a request."""
        self._own[instance] -= 1
        if self._own[instance] <= 0:
            del self._own[instance]

    def own(self) -> dict[InstanceId, int]:
        """Return the own requests in progress by instance."""
        return dict(self._own)

    def load(self, instance: InstanceId) -> int:
        """Return the requests in progress of all entries, as far as known."""
        own = self._own[instance]
        known = own + self._others[instance]
        report = self._reports.get(instance)
        if report is None:
            return known
        return max(known, report.load + own - report.own)

    def reported(self, instance: InstanceId, *, load: int, now_s: float) -> None:
        """Take what an instance reported of itself."""
        self._reports[instance] = ReportedLoad(now_s, load, self._own[instance])

    def record_pace(self, instance: InstanceId, *, pace: float, now_s: float) -> None:
        """Take how slow a group is."""
        self._paces[instance] = (now_s, pace)

    def pace(self, instance: InstanceId) -> float:
        """Return the factor on the times of a group, 1 when nothing is known."""
        return self._paces.get(instance, (0.0, 1.0))[1]

    def heard(
        self, *, entry: EntryId, loads: dict[InstanceId, int], now_s: float
    ) -> None:
        """Take the figures of another entry."""
        self._peers[entry] = PeerLoad(now_s, loads)
        self._sum(now_s)

    def expire(self, *, now_s: float) -> None:
        """Drop the figures of entries and instances that fell silent."""
        self._sum(now_s)
        for instance, report in list(self._reports.items()):
            if now_s - report.heard_s > PEER_REPORT_MAX_AGE_S:
                del self._reports[instance]
        for instance, (heard_s, _) in list(self._paces.items()):
            if now_s - heard_s > PEER_REPORT_MAX_AGE_S:
                del self._paces[instance]

    def _sum(self, now_s: float) -> None:
        for entry, news in list(self._peers.items()):
            if now_s - news.heard_s > PEER_REPORT_MAX_AGE_S:
                del self._peers[entry]
        self._others = Counter()
        for news in self._peers.values():
            self._others.update(news.loads)

    def peers(self) -> int:
        """Return how many other entries report."""
        return len(self._peers)
