"""Announces this entry on the configuration stream and removes dead ones."""

import logging
from collections.abc import Callable

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import CONFIG_STREAM, EntryId
from citronpin.peers.peers import Peers
from citronpin.state.configurations import Configuration
from citronpin.state.logs import States
from citronpin.state.records import EntryNote

logger = logging.getLogger(__name__)

CHECK_S = 2.0
REMOVE_AFTER_S = 120.0


class Announcer:
    """Keeps the list of entries in the log true.

    Each entry announces itself; an entry that was not alive for
    ``REMOVE_AFTER_S`` is removed by the living entry with the least id. An entry
    that was removed while it lived announces itself again.
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
        self._missing_s: dict[EntryId, float] = {}
        self._leaving = False
        self._proposing = False
        self._timer: TimerHandle | None = None
        states.subscribe(CONFIG_STREAM, lambda *args: self._take_entries())

    def start(self) -> None:
        """Begin to announce; the seeds are greeted at once."""
        self._take_entries()
        self._check()

    def leave(self) -> None:
        """Take this entry off the list, for a planned stop."""
        self._leaving = True
        self._take_off()

    @property
    def has_left(self) -> bool:
        """Return whether the list is known to be without this entry."""
        listed = self._entry in self._configuration.state.entries
        return self._leaving and not listed and not self._proposing

    def _take_off(self) -> None:
        """Propose to leave, also when an announcement was still on its way."""
        listed = self._entry in self._configuration.state.entries
        if self._leaving and listed and not self._proposing:
            self._note(self._entry, leaving=True)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def _take_entries(self) -> None:
        known = self._configuration.state.entries
        addresses = {entry: row.peer_address for entry, row in known.items()}
        self._peers.set_peers(addresses, self._seeds)
        self._take_off()

    def _check(self) -> None:
        self._timer = self._clock.call_later(CHECK_S, self._check)
        if not self._configuration.booted or self._leaving or self._proposing:
            return
        row = self._configuration.state.entries.get(self._entry)
        if row is None or row.peer_address != self._peers.address:
            self._note(self._entry, leaving=False)
            return
        self._remove_dead()

    def _remove_dead(self) -> None:
        alive = self._peers.alive()
        now_s = self._clock.now()
        dead = set(self._configuration.state.entries) - alive
        self._missing_s = {e: self._missing_s.get(e, now_s) for e in dead}
        if self._entry != min(alive):
            return
        for entry, since_s in sorted(self._missing_s.items()):
            if now_s - since_s > REMOVE_AFTER_S:
                self._note(entry, leaving=True)
                return

    def _note(self, entry: EntryId, leaving: bool) -> None:
        self._proposing = True
        note = EntryNote(
            entry=entry,
            peer_address=self._peers.address,
            failure_domain=self._failure_domain,
            leaving=leaving,
        )
        self._states.propose(CONFIG_STREAM, (note,), self._noted)

    def _noted(self, result) -> None:
        self._proposing = False
        self._take_off()


class SnapshotBootstrapper:
    """Fetches folded states from peers while the log does not deliver them."""

    def __init__(
        self,
        *,
        streams: Callable[[], list],
        current: Callable[[str], bool],
        fetch: Callable[[str, Callable[[bool], None]], None],
        clock: Clock,
    ) -> None:
        self._streams = streams
        self._current = current
        self._fetch = fetch
        self._clock = clock
        self._fetching: set[str] = set()
        clock.call_later(CHECK_S, self._check)

    def _check(self) -> None:
        self._clock.call_later(CHECK_S, self._check)
        for stream in self._streams():
            if not self._current(stream) and stream not in self._fetching:
                self._fetching.add(stream)
                self._fetch(stream, lambda done, s=stream: self._fetching.discard(s))
