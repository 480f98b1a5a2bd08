"""Decides by majority of its neighbours whether an entry is dead.

Entries use the result for those that they exchange no heartbeats with.
"""

import logging
from collections.abc import Iterable

from citronpin.basics.ids import EntryId
from citronpin.peers.messages import Suspicion

logger = logging.getLogger(__name__)


class PeerVotes:
    """Holds the latest suspicion of each entry about each of its neighbours."""

    def __init__(self) -> None:
        self._suspicions: dict[EntryId, dict[EntryId, Suspicion]] = {}

    def record(self, suspicion: Suspicion) -> bool:
        """Record a suspicion; return false if it is not newer than the recorded one."""
        by_subject = self._suspicions.setdefault(suspicion.subject, {})
        known = by_subject.get(suspicion.reporter)
        if known is not None and known.number >= suspicion.number:
            return False
        by_subject[suspicion.reporter] = suspicion
        return True

    def has_suspicions(self, entry: EntryId) -> bool:
        """Return whether any entry ever reported a suspicion of an entry."""
        return entry in self._suspicions

    def is_voted_dead(self, entry: EntryId, voters: Iterable[EntryId]) -> bool:
        """Return whether more than half of ``voters`` report an entry dead."""
        by_reporter = self._suspicions.get(entry, {})
        votes = [
            voter in by_reporter and by_reporter[voter].is_dead for voter in voters
        ]
        return sum(votes) * 2 > len(votes)
