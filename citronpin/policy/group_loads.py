"""What this entry last heard of the load of each group."""

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import GroupId

MAX_AGE_S = 10.0


class Heard(msgspec.Struct, frozen=True):
    """A load report and when it came."""

    running: int
    queued: int
    at_s: float


class GroupLoadReports:
    """Keeps the latest load report of each group, by probe or with an answer."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._heard: dict[GroupId, Heard] = {}

    def take(self, group: GroupId, running: int, queued: int) -> None:
        """Take a report."""
        self._heard[group] = Heard(running, queued, self._clock.now())

    def forget(self, group: GroupId) -> None:
        """Drop what is known of a group."""
        self._heard.pop(group, None)

    def total(self, groups: list[GroupId]) -> tuple[int, int]:
        """Return the sums of running and queued over fresh reports."""
        oldest_s = self._clock.now() - MAX_AGE_S
        reports = [self._heard.get(group) for group in groups]
        fresh = [heard for heard in reports if heard and heard.at_s >= oldest_s]
        return sum(h.running for h in fresh), sum(h.queued for h in fresh)
