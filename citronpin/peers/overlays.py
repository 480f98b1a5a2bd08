"""Rendezvous hashing, and the overlay network that entries exchange messages on."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from citronpin.basics.ids import EntryId


def rendezvous_weight(key: str, entry: EntryId) -> int:
    """Return the rendezvous weight of an entry for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{entry}")


def rendezvous(key: str, entries: Iterable[EntryId], count: int) -> tuple[EntryId, ...]:
    """Return the ``count`` entries of highest weight for a key, the highest first.

    An entry that joins or leaves changes the result only for keys that map to it.
    """
    ranked = sorted(
        entries, key=lambda entry: (rendezvous_weight(key, entry), entry), reverse=True
    )
    return tuple(ranked[:count])


@lru_cache(maxsize=4096)
def neighbours(
    me: EntryId, entries: frozenset[EntryId], degree: int
) -> tuple[EntryId, ...]:
    """Return the neighbours of ``me`` in the overlay; the relation is symmetric.

    Up to ``degree + 1`` entries form a full mesh. More of them form a ring in the
    order of their hashes, with chords: the neighbours are those at distances 1, r,
    r^2, ... in both directions, with r chosen so that the chords span the ring.
    """
    others = entries - {me}
    if len(others) <= degree:
        return tuple(sorted(others))
    ring = sorted(
        entries | {me}, key=lambda entry: (rendezvous_weight("ring", entry), entry)
    )
    position = ring.index(me)
    found = set()
    for distance in _chord_distances(len(ring), degree):
        found.add(ring[(position + distance) % len(ring)])
        found.add(ring[(position - distance) % len(ring)])
    return tuple(sorted(found - {me}))


def _chord_distances(size: int, degree: int) -> list[int]:
    count = max(degree // 2, 1)
    ratio = (size / 2) ** (1 / count)
    return sorted({max(1, round(ratio**step)) for step in range(count)})
