"""Tests of how entries maintain the list of entries in the log."""

from types import SimpleNamespace

from citronpin.peers.announcements import CHECK_INTERVAL_S, REMOVE_AFTER_S, Announcer
from citronpin.state.folds import ConfigFold
from citronpin.state.records import Record


class FakeLog:
    """Applies proposals at once, or on `release` if ``holds_proposals`` is set."""

    def __init__(self):
        self.fold = ConfigFold()
        self.state = self.fold.empty()
        self.booted = True
        self.pending = []
        self.holds_proposals = False
        self._callbacks = []

    def subscribe(self, prefix, callback):
        self._callbacks.append(callback)

    def propose(self, stream, items, done):
        self.pending.append((items, done))
        if not self.holds_proposals:
            self.release()

    def release(self):
        while self.pending:
            items, done = self.pending.pop(0)
            offset = self.state.offset + 1
            record = Record(1, f"r{offset}", "author", 0, items)
            self.state, verdicts = self.fold.apply(self.state, offset, record)
            for callback in self._callbacks:
                callback("config", self.state, verdicts)
            done(verdicts)


def _start_announcer(log, clock, entry, alive):
    peers = SimpleNamespace(
        address=f"tcp://{entry}",
        alive=lambda: frozenset(alive),
        set_peers=lambda addresses, seeds: None,
    )
    announcer = Announcer(
        entry=entry,
        failure_domain="a",
        states=log,
        configuration=log,
        peers=peers,
        seeds=(),
        clock=clock,
    )
    announcer.start()
    return announcer


def test_an_entry_announces_itself_again_after_its_removal(paused_clock):
    log = FakeLog()
    _start_announcer(log, paused_clock, "e1", {"e1"})
    assert set(log.state.entries) == {"e1"}
    log.state = log.fold.empty()
    paused_clock.advance(CHECK_INTERVAL_S)
    assert set(log.state.entries) == {"e1"}


def test_a_dead_entry_is_removed_by_the_living_one_with_the_least_id(paused_clock):
    log = FakeLog()
    alive = {"e1", "e2", "e3"}
    announcers = [
        _start_announcer(log, paused_clock, entry, alive) for entry in sorted(alive)
    ]
    announcers[-1].close()
    alive.discard("e3")
    paused_clock.advance(REMOVE_AFTER_S)
    assert "e3" in log.state.entries
    paused_clock.advance(3 * CHECK_INTERVAL_S)
    assert set(log.state.entries) == {"e1", "e2"}


def test_an_entry_that_leaves_with_its_announcement_pending_is_removed(paused_clock):
    log = FakeLog()
    log.holds_proposals = True
    announcer = _start_announcer(log, paused_clock, "e1", {"e1"})
    announcer.leave()
    assert not announcer.has_left
    log.release()
    assert announcer.has_left and not log.state.entries
