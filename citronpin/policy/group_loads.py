"""The latest load report of each group, as received by this entry."""

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import GroupId

MAX_REPORT_AGE_S = 10.0


class LoadReport(msgspec.Struct, frozen=True):
    """Running and queued requests of a group; ``at_s`` is when the report arrived."""

    running: int
    queued: int
    at_s: float


class GroupLoadReports:
    """Keeps the latest load report of each group, from a probe or with a response."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[GroupId, LoadReport] = {}

    def record_report(self, group: GroupId, running: int, queued: int) -> None:
        """Record a report as received now."""
        self._reports[group] = LoadReport(running, queued, self._clock.now())

    def drop_report(self, group: GroupId) -> None:
        """Drop the report of a group."""
        self._reports.pop(group, None)

    def total_load(self, groups: list[GroupId]) -> tuple[int, int]:
        """Return the sums of running and queued requests over the recent reports."""
        oldest_s = self._clock.now() - MAX_REPORT_AGE_S
        reports = [self._reports.get(group) for group in groups]
        recent = [report for report in reports if report and report.at_s >= oldest_s]
        return (
            sum(report.running for report in recent),
            sum(report.queued for report in recent),
        )
