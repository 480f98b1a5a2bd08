"""Maintains the list of entries in the log and fetches missing stream states."""

import logging
from collections.abc import Callable

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import CONFIG_STREAM, EntryId
from citronpin.peers.peers import Peers
from citronpin.state.configurations import Configuration
from citronpin.state.logs import States
from citronpin.state.records import EntryNote

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 2.0
REMOVE_AFTER_S = 120.0  # a dead entry leaves the list after this time


class Announcer:
    """Keeps the list of entries on the configuration stream up to date.

    Each entry announces itself. The living entry with the least id removes entries
    that were dead for longer than ``REMOVE_AFTER_S``. An entry that was removed while
    it was alive announces itself again.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        failure_domain: str,
        states: States,
        configuration: Configuration,
        peers: Peers,
        seeds: tuple[str, ...],
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._failure_domain = failure_domain
        self._states = states
        self._configuration = configuration
        self._peers = peers
        self._seeds = seeds
        self._clock = clock
        self._not_alive_since_s: dict[EntryId, float] = {}
        self._is_leaving = False
        self._is_proposing = False
        self._timer: TimerHandle | None = None
        states.subscribe(CONFIG_STREAM, lambda *args: self._update_peers())

    def start(self) -> None:
        """Pass the listed entries and the seeds to the peers and start the checks."""
        self._update_peers()
        self._check()

    def leave(self) -> None:
        """Remove this entry from the list, for a planned stop."""
        self._is_leaving = True
        self._propose_leaving()

    @property
    def has_left(self) -> bool:
        """Return whether this entry left the list and no proposal is pending."""
        is_listed = self._entry in self._configuration.state.entries
        return self._is_leaving and not is_listed and not self._is_proposing

    def _propose_leaving(self) -> None:
        """Propose to remove this entry unless a proposal is pending."""
        is_listed = self._entry in self._configuration.state.entries
        if self._is_leaving and is_listed and not self._is_proposing:
            self._propose(self._entry, leaving=True)

    def close(self) -> None:
        """Stop the checks."""
        if self._timer is not None:
            self._timer.cancel()

    def _update_peers(self) -> None:
        listed = self._configuration.state.entries
        addresses = {entry: row.peer_address for entry, row in listed.items()}
        self._peers.set_peers(addresses, self._seeds)
        self._propose_leaving()

    def _check(self) -> None:
        self._timer = self._clock.call_later(CHECK_INTERVAL_S, self._check)
        if not self._configuration.booted or self._is_leaving or self._is_proposing:
            return
        announced = self._configuration.state.entries.get(self._entry)
        if announced is None or announced.peer_address != self._peers.address:
            self._propose(self._entry, leaving=False)
            return
        self._remove_dead()

    def _remove_dead(self) -> None:
        alive = self._peers.alive()
        now_s = self._clock.now()
        dead = set(self._configuration.state.entries) - alive
        self._not_alive_since_s = {
            e: self._not_alive_since_s.get(e, now_s) for e in dead
        }
        if self._entry != min(alive):
            return
        for entry, since_s in sorted(self._not_alive_since_s.items()):
            if now_s - since_s > REMOVE_AFTER_S:
                self._propose(entry, leaving=True)
                return

    def _propose(self, entry: EntryId, leaving: bool) -> None:
        self._is_proposing = True
        note = EntryNote(
            entry=entry,
            peer_address=self._peers.address,
            failure_domain=self._failure_domain,
            leaving=leaving,
        )
        self._states.propose(CONFIG_STREAM, (note,), self._on_proposed)

    def _on_proposed(self, result) -> None:
        self._is_proposing = False
        self._propose_leaving()


class SnapshotBootstrapper:
    """Fetches snapshots from peers for streams that were not read from the log.

    ``streams`` returns the followed streams, ``current`` whether one was read to its
    head since boot; ``fetch`` fetches a snapshot and calls back when done.
    """

    def __init__(
        self,
        *,
        streams: Callable[[], list],
        is_current: Callable[[str], bool],
        fetch: Callable[[str, Callable[[bool], None]], None],
        clock: Clock,
    ) -> None:
        self._streams = streams
        self._current = is_current
        self._fetch = fetch
        self._clock = clock
        self._fetching: set[str] = set()
        clock.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._clock.call_later(CHECK_INTERVAL_S, self._check)
        for stream in self._streams():
            if not self._current(stream) and stream not in self._fetching:
                self._fetching.add(stream)
                self._fetch(stream, lambda done, s=stream: self._fetching.discard(s))
