"""Votes of entries on whether neighbours live, for those that do not hear them."""

import logging
from collections.abc import Iterable

from citronpin.basics.ids import EntryId
from citronpin.peers.messages import Suspicion

logger = logging.getLogger(__name__)


class PeerVotes:
    """The latest suspicion of each entry about each of its neighbours."""

    def __init__(self) -> None:
        self._latest: dict[EntryId, dict[EntryId, Suspicion]] = {}

    def take(self, suspicion: Suspicion) -> bool:
        """Keep a suspicion; false when it is not newer than the one known."""
        by_subject = self._latest.setdefault(suspicion.subject, {})
        known = by_subject.get(suspicion.by)
        if known is not None and known.number >= suspicion.number:
            return False
        by_subject[suspicion.by] = suspicion
        return True

    def known(self, entry: EntryId) -> bool:
        """Return whether anybody ever suspected an entry."""
        return entry in self._latest

    def condemned(self, entry: EntryId, around: Iterable[EntryId]) -> bool:
        """Return whether most of the neighbours ``around`` hold an entry dead."""
        found = self._latest.get(entry, {})
        votes = [by in found and found[by].dead for by in around]
        return sum(votes) * 2 > len(votes)
