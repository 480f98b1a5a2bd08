"""The lease of a fabric domain: who holds it, and who claims it next."""

import logging
from collections.abc import Callable

import xxhash

from citronpin.basics.events import EventKind
from citronpin.basics.ids import EntryId, Fence, Offset, StreamName
from citronpin.control.controllers import Controller, register
from citronpin.state.records import LeaseClaim, LeaseYield
from citronpin.state.states import Lease

logger = logging.getLogger(__name__)

SUSPICION_S = 3.0  # silence of a holder before others claim its lease
STAGGER_S = 1.0  # between the claims of successive candidates
MAX_HEAD_AGE_S = 4.0  # a holder with an older view of the log does not act
CONFIRM_S = 1.5  # a holder has the head confirmed this often
STEP_DOWN_S = 300.0  # a holder that stepped down does not claim again before
REST_CLAIM_S = 6.0  # a vacant lease was claimed by then if an entry does not rest

Alive = Callable[[], frozenset[EntryId]]


def rank(stream: StreamName, entries: frozenset[EntryId]) -> list[EntryId]:
    """Return entries by rendezvous hash; the first one should hold the lease."""
    return sorted(
        entries,
        key=lambda entry: (xxhash.xxh3_64_intdigest(f"{stream}|{entry}"), entry),
        reverse=True,
    )


@register
class LeaseController(Controller):
    """Claims the lease of a control stream and tells whether it may be used.

    ``alive`` gives the entries that peers hold for alive, ``head_age_s`` the
    seconds since the fold of a stream was confirmed to be at the log's head.
    """

    name = "lease"

    def __init__(
        self,
        *,
        alive: Alive,
        head_age_s: Callable[[StreamName], float],
        suspicion_s: float = SUSPICION_S,
        stagger_s: float = STAGGER_S,
        max_head_age_s: float = MAX_HEAD_AGE_S,
        **common,
    ) -> None:
        super().__init__(**common)
        self._alive = alive
        self._head_age_s = head_age_s
        self._suspicion_s = suspicion_s
        self._stagger_s = stagger_s
        self._max_head_age_s = max_head_age_s
        self._boot: Offset | None = None
        self._leaving = False
        self._rests_until_s = 0.0
        self._steps_down_after_s = 0.0
        self._vacant: tuple[Fence, float] | None = None  # lease, since when
        self._known: Lease | None = None

    @property
    def fence(self) -> Fence | None:
        """Return the fencing number under which this entry may act now."""
        if not self._owns(self._lease()) or self._resting():
            return None
        return self._lease().fence if self._fresh() else None

    @property
    def seen_fence(self) -> Fence:
        """Return the fencing number of the latest lease in the fold."""
        return self._lease().fence

    @property
    def holds(self) -> bool:
        """Return whether the fold shows this process as the holder."""
        return self._owns(self._lease())

    def leave(self) -> None:
        """Stop to act at once and hand the lease over; for a planned stop."""
        self._leaving = True
        self._hand_over("planned stop")

    def step_down(self, reason: str) -> bool:
        """Hand the lease over if another entry can take it."""
        others = self._alive() - {self._entry}
        now = self._clock.now()
        if not others or now < max(self._rests_until_s, self._steps_down_after_s):
            return False
        if self.fence is None:
            return False
        self._rests_until_s = self._steps_down_after_s = now + STEP_DOWN_S
        self._hand_over(reason)
        return True

    def reconcile(self) -> None:
        lease = self._lease()
        if self._boot is None:
            self._boot = self._states.state(self._stream).offset
        self._note_change(lease)
        if self._leaving or self._resting():
            if self._owns(lease):
                self._hand_over("not handed over yet")
            elif not self._leaving:
                self._end_rest(lease)
            return
        if self._owns(lease):
            self._vacant = None
            return
        wait_s = self._wait_s(lease)
        if wait_s is None:
            self._vacant = None
            return
        if self._vacant_for_s(lease) >= wait_s:
            self._claim(lease)

    def _vacant_for_s(self, lease: Lease) -> float:
        """Return for how long this entry has known a lease as vacant."""
        if self._vacant is None or self._vacant[0] != lease.fence:
            self._vacant = (lease.fence, self._clock.now())
        return self._clock.now() - self._vacant[1]

    def _end_rest(self, lease: Lease) -> None:
        """Claim a lease that nobody wants: all entries have stepped down.

        A domain that was dark for each of them in turn would else be without a
        holder for ``STEP_DOWN_S``.
        """
        wait_s = self._wait_s(lease)
        if lease.holder or wait_s is None:
            self._vacant = None
        elif self._vacant_for_s(lease) >= REST_CLAIM_S + wait_s:
            self._rests_until_s = 0.0
            self._claim(lease)

    def _wait_s(self, lease: Lease) -> float | None:
        """Return how long a vacancy lasts before this entry claims."""
        alive = self._alive() | {self._entry}
        place = rank(self._stream, alive).index(self._entry)
        if lease.holder == self._entry:
            return 0.0  # an earlier process of this entry held it
        if not lease.holder:
            return place * self._stagger_s
        if lease.holder in alive:
            return None
        return self._suspicion_s + place * self._stagger_s

    def _claim(self, lease: Lease) -> None:
        if self.propose("lease", LeaseClaim(supersedes=lease.fence)):
            detail = f"claims the lease of {lease.holder or 'nobody'}"
            self._note(EventKind.LEASE, detail, fence=lease.fence)

    def _hand_over(self, reason: str) -> None:
        lease = self._lease()
        if self._owns(lease) and self.propose("yield", LeaseYield(fence=lease.fence)):
            self._note(EventKind.LEASE, f"hands over: {reason}", fence=lease.fence)

    def _lease(self) -> Lease:
        return self._states.state(self._stream).lease

    def _owns(self, lease: Lease) -> bool:
        if self._boot is None or lease.holder != self._entry:
            return False
        return lease.fence > self._boot

    def _resting(self) -> bool:
        return self._leaving or self._clock.now() < self._rests_until_s

    def _fresh(self) -> bool:
        return self._head_age_s(self._stream) <= self._max_head_age_s

    def _note_change(self, lease: Lease) -> None:
        before, self._known = self._known, lease
        if lease == before:
            return
        if self._owns(lease):
            self._states.limit_long_poll(self._stream, CONFIRM_S)
            self._note(EventKind.LEASE, "holds the lease", fence=lease.fence)
        elif before is not None and self._owns(before):
            self._states.limit_long_poll(self._stream, None)
            detail = f"lost the lease to {lease.holder or 'nobody'}"
            self._note(EventKind.LEASE, detail, fence=lease.fence)
