"""Rendezvous hashing and the overlay over which entries talk."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from citronpin.basics.ids import EntryId


def score(key: str, entry: EntryId) -> int:
    """Return the rendezvous weight of an entry for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{entry}")


def rendezvous(key: str, entries: Iterable[EntryId], count: int) -> tuple[EntryId, ...]:
    """Return the ``count`` entries of highest weight for a key, the highest first.

    An entry that joins or leaves changes the choice only for keys it is chosen for.
    """
    ranked = sorted(entries, key=lambda entry: (score(key, entry), entry), reverse=True)
    return tuple(ranked[:count])


@lru_cache(maxsize=4096)
def neighbours(
    me: EntryId, entries: frozenset[EntryId], degree: int
) -> tuple[EntryId, ...]:
    """Return the entries that ``me`` talks to; the relation is symmetric.

    Up to ``degree + 1`` entries all talk to each other. More of them stand on a
    ring in the order of their hashes, and each talks to those at distances 1, r,
    r^2, ... in both directions, with r chosen so that the chords span the ring.
    """
    others = entries - {me}
    if len(others) <= degree:
        return tuple(sorted(others))
    ring = sorted(entries | {me}, key=lambda entry: (score("ring", entry), entry))
    place = ring.index(me)
    chosen = set()
    for distance in _distances(len(ring), degree):
        chosen.add(ring[(place + distance) % len(ring)])
        chosen.add(ring[(place - distance) % len(ring)])
    return tuple(sorted(chosen - {me}))


def _distances(size: int, degree: int) -> list[int]:
    count = max(degree // 2, 1)
    ratio = (size / 2) ** (1 / count)
    return sorted({max(1, round(ratio**step)) for step in range(count)})
