"""Selects the relays: entries that read the store for the others."""

import logging
import zlib
from collections.abc import Callable, Collection

import msgspec

from citronpin.basics.ids import EntryId

logger = logging.getLogger(__name__)

MAX_MESH_ENTRIES = 16  # a larger full mesh takes a tenth of a core for messages
# Each relay costs 7 calls to the store a second. Two remain after two are lost; with
# fewer, others read the store until those of the next ranks are relays, after 1.5 s.
RELAY_COUNT = 4
FORWARDER_COUNT = 3  # with one lost and one late, updates still come from two
RELAY_TIMEOUT_S = 1.2  # four update intervals of a relay
TAKEOVER_STAGGER_S = 0.3  # later entries receive updates of the new relays first
# What a relay takes at the target of docs/CAPACITY.md, with room for its callers.
RELAY_CORES = 1.0
RELAY_LINK_MBPS = 50.0
SILENCE_LOG_S = 3.0  # for which a log line names a relay that fell silent
# Each change of the holders of leases moves some of them, so a relay that may be needed
# for a moment only does not join the holders before.
LEASE_SETTLING_S = 2.0
MIN_SETTLED_RELAYS = 2  # with fewer, a relay that takes over requests leases at once


class MachineCapacity(msgspec.Struct, frozen=True):
    """What the machine of an entry gives it; 0 where that is unknown."""

    cores: float = 0.0
    link_mbps: float = 0.0

    @property
    def relay_share(self) -> float:
        """Return the part of a large deployment's relay work that it can do, 0 to 1.

        What is unknown counts as enough.
        """
        return min(
            self.cores / RELAY_CORES if self.cores > 0.0 else 1.0,
            self.link_mbps / RELAY_LINK_MBPS if self.link_mbps > 0.0 else 1.0,
            1.0,
        )


UNKNOWN_CAPACITY = MachineCapacity()


def relay_rank(
    entry: EntryId, capacity: MachineCapacity = UNKNOWN_CAPACITY
) -> tuple[float, int]:
    """Return the rank of an entry, which is the same at every entry.

    Machines that can do the work of a relay come first, in the order of a hash.
    """
    return -capacity.relay_share, zlib.crc32(entry.encode())


class RelayRole:
    """Decides whether this entry is a relay, which reads the store and may hold leases.

    Up to ``MAX_MESH_ENTRIES`` entries are all relays. With more, those of the lowest
    ranks are, without an election: an entry becomes a relay when it hears fewer than
    ``RELAY_COUNT`` relays of lower rank, and resigns when it hears enough of them. An
    entry that reaches the instances that form groups counts only relays that do.

    ``capacity_of`` returns what the machine of an entry announced.
    """

    def __init__(
        self,
        *,
        name: EntryId,
        capacity_of: Callable[[EntryId], MachineCapacity] = lambda _: UNKNOWN_CAPACITY,
    ) -> None:
        self.name = name
        self._capacity_of = capacity_of
        self._last_update_s: dict[EntryId, float] = {}
        # Since when each of these relays was heard without a longer silence.
        self._heard_since_s: dict[EntryId, float] = {}
        self._relay_since_s = float("-inf")
        self._cut_off: set[EntryId] = set()  # relays that reach no group
        self._store_lost: set[EntryId] = set()  # relays that the store does not answer
        self._too_few_since_s: float | None = None
        # Relays that are silent, by the clock time at which they were given up.
        self._given_up_s: dict[EntryId, float] = {}
        self.is_relay = True
        self.is_forwarding = False
        self.may_hold_leases = True

    def record_relay_update(
        self,
        sender: EntryId,
        *,
        now_s: float,
        is_cut_off: bool = False,
        store_lost: bool = False,
    ) -> None:
        """Record an update from a relay.

        ``is_cut_off`` tells that it reaches no instance of those that form groups,
        ``store_lost`` that the store does not answer it.
        """
        self._last_update_s[sender] = now_s
        self._heard_since_s.setdefault(sender, now_s)
        self._given_up_s.pop(sender, None)
        if store_lost:
            self._store_lost.add(sender)
        else:
            self._store_lost.discard(sender)
        if is_cut_off:
            self._cut_off.add(sender)
        else:
            self._cut_off.discard(sender)

    def begin(self, *, others: Collection[EntryId], store_lost: bool) -> None:
        """Resign unless this entry is a relay if all others are alive.

        Called when there are too many entries for a full mesh, so that not all of them
        are relays until they hear each other.
        """
        is_low = self._lower_count(others) < RELAY_COUNT
        self.is_relay = self.is_relay and (is_low or store_lost)

    def update(
        self,
        *,
        others: Collection[EntryId],
        store_lost: bool,
        now_s: float,
        is_cut_off: bool = False,
        reaches_store: bool = True,
    ) -> None:
        """Update the role; ``others`` are all other known entries.

        An entry that reaches the store takes the place of relays that do not. Where
        the store answers nobody, no entry becomes a relay for that.
        """
        needs_relays = len(others) >= MAX_MESH_ENTRIES
        self._give_up_silent(now_s)
        own_rank = self._rank(self.name)
        lower_relays = {
            entry for entry in self._last_update_s if self._rank(entry) < own_rank
        }
        reading = lower_relays - self._store_lost if reaches_store else lower_relays
        counted = reading if is_cut_off else reading - self._cut_off
        lower_relay_count = len(counted)
        is_relay = self._should_be_relay(
            needs_relays, lower_relay_count, others, store_lost, now_s
        )
        if is_relay is not self.is_relay:
            logger.info(
                "relay role started" if is_relay else "relay role ended",
                extra={
                    "relays_heard": lower_relay_count,
                    "silent": sorted(self._given_up_s),
                    "store_lost": sorted(self._store_lost & lower_relays),
                    "cut_off": sorted(self._cut_off & lower_relays),
                    "entries": len(others) + 1,
                },
            )
            self._relay_since_s = now_s
        has_requested = self.is_relay and self.may_hold_leases
        self.is_relay = is_relay
        self.may_hold_leases = is_relay and (
            not needs_relays or has_requested or self._has_settled(now_s)
        )
        self.is_forwarding = (
            needs_relays and is_relay and len(reading) < FORWARDER_COUNT
        )

    def _rank(self, entry: EntryId) -> tuple[float, int]:
        return relay_rank(entry, self._capacity_of(entry))

    def _give_up_silent(self, now_s: float) -> None:
        """Stop counting the relays that were not heard for too long."""
        for entry, last_update_s in list(self._last_update_s.items()):
            if now_s - last_update_s > RELAY_TIMEOUT_S:
                del self._last_update_s[entry]
                del self._heard_since_s[entry]
                self._given_up_s[entry] = now_s
        for entry, given_up_s in list(self._given_up_s.items()):
            if now_s - given_up_s > SILENCE_LOG_S:
                del self._given_up_s[entry]

    def _has_settled(self, now_s: float) -> bool:
        """Return whether this relay stays one, or too few others hold the leases."""
        if now_s - self._relay_since_s >= LEASE_SETTLING_S:
            return True
        settled = [
            entry
            for entry, since_s in self._heard_since_s.items()
            if now_s - since_s >= LEASE_SETTLING_S
            and entry not in self._store_lost | self._cut_off
        ]
        return len(settled) < MIN_SETTLED_RELAYS

    def _should_be_relay(
        self,
        needs_relays: bool,
        lower_relay_count: int,
        others: Collection[EntryId],
        store_lost: bool,
        now_s: float,
    ) -> bool:
        if not needs_relays:
            return True
        if lower_relay_count >= RELAY_COUNT:
            self._too_few_since_s = None
            # During an outage, held leases continue only at their holder.
            return self.is_relay and store_lost
        if self.is_relay:
            return True
        if self._too_few_since_s is None:
            self._too_few_since_s = now_s
        return now_s - self._too_few_since_s >= self._takeover_delay_s(others)

    def _lower_count(self, others: Collection[EntryId]) -> int:
        own_rank = self._rank(self.name)
        return sum(self._rank(entry) < own_rank for entry in others)

    def _takeover_delay_s(self, others: Collection[EntryId]) -> float:
        lower_count = self._lower_count(others)
        return TAKEOVER_STAGGER_S * (lower_count // RELAY_COUNT)
