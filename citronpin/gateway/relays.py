"""Which entries of a crowd read the store for the others."""

import logging
import zlib
from collections.abc import Collection

from citronpin.basics.ids import EntryId

logger = logging.getLogger(__name__)

MESH_ENTRIES = 16  # with more, messages from each to each would take a tenth of a core
RELAYS = 8  # a failure domain less, and two killed at once, leave half of them
FORWARDERS = 3  # one may be lost and one late, and news still come from two sides
SILENCE_S = 1.2  # four updates of a relay
STAGGER_S = 0.3  # the next relays are heard before those after them step in


def rank(entry: EntryId) -> int:
    """Return the place of an entry among others; the same at every entry."""
    return zlib.crc32(entry.encode())


class RelayRole:
    """Decides whether this entry reads the store for others and may hold leases.

    Few entries read for themselves. With many, those of the lowest ranks do, and tell
    the others. Nobody is appointed: an entry steps in when it hears too few relays of
    lower rank, and steps back when it hears enough of them.
    """

    def __init__(self, *, name: EntryId) -> None:
        self._name = name
        self._heard: dict[EntryId, float] = {}
        self._missing_since_s: float | None = None
        self.serving = True
        self.forwarding = False

    def heard(self, sender: EntryId, *, now_s: float) -> None:
        """Take note of an update from a relay that reaches the store."""
        self._heard[sender] = now_s

    def update(
        self, *, others: Collection[EntryId], store_lost: bool, now_s: float
    ) -> None:
        """Decide anew; ``others`` are all other entries that are known."""
        crowd = len(others) >= MESH_ENTRIES
        better = sum(
            now_s - at_s <= SILENCE_S and rank(entry) < rank(self._name)
            for entry, at_s in self._heard.items()
        )
        serving = self._decide(crowd, better, others, store_lost, now_s)
        if serving is not self.serving:
            logger.info(
                "reads for others" if serving else "reads no longer for others",
                extra={"relays_heard": better, "entries": len(others) + 1},
            )
        self.serving = serving
        self.forwarding = crowd and serving and better < FORWARDERS

    def _decide(
        self,
        crowd: bool,
        better: int,
        others: Collection[EntryId],
        store_lost: bool,
        now_s: float,
    ) -> bool:
        if not crowd:
            return True
        if better >= RELAYS:
            self._missing_since_s = None
            # During an outage the leases held go on only with their holder.
            return self.serving and store_lost
        if self.serving:
            return True
        if self._missing_since_s is None:
            self._missing_since_s = now_s
        return now_s - self._missing_since_s >= self._delay_s(others)

    def _delay_s(self, others: Collection[EntryId]) -> float:
        before = sum(rank(entry) < rank(self._name) for entry in others)
        return STAGGER_S * (before // RELAYS)
