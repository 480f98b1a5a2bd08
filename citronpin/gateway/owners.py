"""Chooses, without an election, the entry that decides on a name."""

import hashlib
import logging
from functools import lru_cache

from citronpin.basics.ids import EntryId

logger = logging.getLogger(__name__)

MAX_CACHED = 4_096


@lru_cache(maxsize=MAX_CACHED)
def owner_of(name: str, entries: frozenset[EntryId]) -> EntryId:
    """Return the owner of a name: the same at all who see these entries.

    Rendezvous hashing: when an entry comes or goes, only its own names move.
    """
    return max(
        entries,
        key=lambda entry: hashlib.blake2b(f"{entry}/{name}".encode()).digest(),
    )
