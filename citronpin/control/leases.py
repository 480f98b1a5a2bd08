"""The lease of a fabric domain: claiming, holding and yielding it."""

import logging
from collections.abc import Callable

import xxhash

from citronpin.basics.events import EventKind
from citronpin.basics.ids import EntryId, Fence, Offset, StreamName
from citronpin.control.controllers import Controller, register
from citronpin.state.records import LeaseClaim, LeaseYield
from citronpin.state.states import Lease

logger = logging.getLogger(__name__)

SUSPICION_TIMEOUT_S = 3.0  # a holder that is not alive keeps its lease this long
CLAIM_STAGGER_S = 1.0  # between the claims of successive candidates
MAX_HEAD_AGE_S = 4.0  # a holder whose fold was last confirmed earlier does not act
HEAD_CONFIRM_INTERVAL_S = 1.5  # between a holder's checks that its fold is at the head
STEP_DOWN_COOLDOWN_S = 300.0  # until an entry that stepped down may claim again
COOLDOWN_CLAIM_DELAY_S = 6.0  # by then any entry not in cooldown has claimed

AliveSource = Callable[[], frozenset[EntryId]]


def rank_candidates(stream: StreamName, entries: frozenset[EntryId]) -> list[EntryId]:
    """Return entries in rendezvous hash order, the preferred holder first."""
    return sorted(
        entries,
        key=lambda entry: (xxhash.xxh3_64_intdigest(f"{stream}|{entry}"), entry),
        reverse=True,
    )


@register
class LeaseController(Controller):
    """Claims the lease of a control stream and tells whether it may be used.

    ``alive`` returns the entries that the peer failure detector considers alive,
    ``head_age_s`` the seconds since the fold of a stream was confirmed to be at
    the head of the log.
    """

    name = "lease"

    def __init__(
        self,
        *,
        alive: AliveSource,
        head_age_s: Callable[[StreamName], float],
        suspicion_s: float = SUSPICION_TIMEOUT_S,
        stagger_s: float = CLAIM_STAGGER_S,
        max_head_age_s: float = MAX_HEAD_AGE_S,
        **common,
    ) -> None:
        super().__init__(**common)
        self._alive = alive
        self._head_age_s = head_age_s
        self._suspicion_s = suspicion_s
        self._stagger_s = stagger_s
        self._max_head_age_s = max_head_age_s
        self._boot_offset: Offset | None = None
        self._leaving = False
        self._cooldown_until_s = 0.0
        self._next_step_down_s = 0.0
        # Fence of the vacant lease, clock time since when it is known as vacant.
        self._vacancy: tuple[Fence, float] | None = None
        self._last_lease: Lease | None = None

    @property
    def fence(self) -> Fence | None:
        """Return the fencing number under which this entry may act now, if any."""
        if not self._owns(self._lease()) or self._abstains():
            return None
        return self._lease().fence if self._is_fresh() else None

    @property
    def seen_fence(self) -> Fence:
        """Return the fencing number of the latest lease in the fold."""
        return self._lease().fence

    @property
    def holds(self) -> bool:
        """Return whether this process is the holder according to the fold."""
        return self._owns(self._lease())

    def leave(self) -> None:
        """Stop acting at once and yield the lease, for a planned stop."""
        self._leaving = True
        self._yield_lease("planned stop")

    def step_down(self, reason: str) -> bool:
        """Yield the lease if another entry can claim it; return whether it was done.

        This entry then neither claims the lease nor steps down again for
        ``STEP_DOWN_COOLDOWN_S``.
        """
        others = self._alive() - {self._entry}
        now = self._clock.now()
        if not others or now < max(self._cooldown_until_s, self._next_step_down_s):
            return False
        if self.fence is None:
            return False
        self._cooldown_until_s = self._next_step_down_s = now + STEP_DOWN_COOLDOWN_S
        self._yield_lease(reason)
        return True

    def reconcile(self) -> None:
        lease = self._lease()
        if self._boot_offset is None:
            self._boot_offset = self._states.state(self._stream).offset
        self._record_change(lease)
        if self._leaving or self._abstains():
            if self._owns(lease):
                self._yield_lease("not yielded yet")
            elif not self._leaving:
                self._claim_unwanted(lease)
            return
        if self._owns(lease):
            self._vacancy = None
            return
        claim_delay_s = self._claim_delay_s(lease)
        if claim_delay_s is None:
            self._vacancy = None
            return
        if self._vacancy_age_s(lease) >= claim_delay_s:
            self._claim(lease)

    def _vacancy_age_s(self, lease: Lease) -> float:
        """Return for how many seconds this entry has seen the lease as vacant."""
        if self._vacancy is None or self._vacancy[0] != lease.fence:
            self._vacancy = (lease.fence, self._clock.now())
        return self._clock.now() - self._vacancy[1]

    def _claim_unwanted(self, lease: Lease) -> None:
        """Claim during the cooldown a lease that no other entry has claimed.

        When the domain was unreachable from each entry in turn, all of them have
        stepped down, and it would have no holder for ``STEP_DOWN_COOLDOWN_S``.
        """
        claim_delay_s = self._claim_delay_s(lease)
        if lease.holder or claim_delay_s is None:
            self._vacancy = None
        elif self._vacancy_age_s(lease) >= COOLDOWN_CLAIM_DELAY_S + claim_delay_s:
            self._cooldown_until_s = 0.0
            self._claim(lease)

    def _claim_delay_s(self, lease: Lease) -> float | None:
        """Return how long the lease must be vacant before this entry claims it.

        Returns ``None`` while the holder is alive.
        """
        alive = self._alive() | {self._entry}
        position = rank_candidates(self._stream, alive).index(self._entry)
        if lease.holder == self._entry:
            return 0.0  # an earlier process of this entry held it
        if not lease.holder:
            return position * self._stagger_s
        if lease.holder in alive:
            return None
        return self._suspicion_s + position * self._stagger_s

    def _claim(self, lease: Lease) -> None:
        if self.propose("lease", LeaseClaim(supersedes=lease.fence)):
            detail = f"claims the lease, last held by {lease.holder or 'nobody'}"
            self._note(EventKind.LEASE, detail, fence=lease.fence)

    def _yield_lease(self, reason: str) -> None:
        lease = self._lease()
        if self._owns(lease) and self.propose("yield", LeaseYield(fence=lease.fence)):
            self._note(
                EventKind.LEASE, f"yields the lease: {reason}", fence=lease.fence
            )

    def _lease(self) -> Lease:
        return self._states.state(self._stream).lease

    def _owns(self, lease: Lease) -> bool:
        if self._boot_offset is None or lease.holder != self._entry:
            return False
        return lease.fence > self._boot_offset

    def _abstains(self) -> bool:
        return self._leaving or self._clock.now() < self._cooldown_until_s

    def _is_fresh(self) -> bool:
        return self._head_age_s(self._stream) <= self._max_head_age_s

    def _record_change(self, lease: Lease) -> None:
        before, self._last_lease = self._last_lease, lease
        if lease == before:
            return
        if self._owns(lease):
            self._states.limit_long_poll(self._stream, HEAD_CONFIRM_INTERVAL_S)
            self._note(EventKind.LEASE, "holds the lease", fence=lease.fence)
        elif before is not None and self._owns(before):
            self._states.limit_long_poll(self._stream, None)
            detail = f"lost the lease to {lease.holder or 'nobody'}"
            self._note(EventKind.LEASE, detail, fence=lease.fence)
