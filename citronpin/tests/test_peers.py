"""Tests of liveness, the overlay and the transfer of log records, on a paused clock."""

import pytest

from citronpin.basics.ids import CONFIG_STREAM, EntryId, Offset, new_id
from citronpin.peers.messages import CallFinished
from citronpin.peers.overlays import neighbours, rendezvous
from citronpin.peers.peers import DEAD_AFTER_S, HEARTBEAT_INTERVAL_S, Peers
from citronpin.peers.relays import LogRelay
from citronpin.state import records
from citronpin.state.folds import encode_state
from citronpin.state.logs import MemoryLog
from citronpin.tests.meshes import FakeStates, MemoryLinks, Network, recorder_for


@pytest.fixture
def network(paused_clock):
    return Network(clock=paused_clock)


def start_peers(network, count, **options):
    """Return `Peers` by entry, which know each other and have exchanged heartbeats."""
    names = [EntryId(f"entry-{number}") for number in range(count)]
    peers = {
        name: Peers(
            entry=name,
            clock=network.clock,
            recorder=recorder_for(name, network.clock),
            links=MemoryLinks(entry=name, network=network),
            **options,
        )
        for name in names
    }
    for peer in peers.values():
        peer.set_peers({name: f"tcp://{name}" for name in names})
    network.clock.advance(DEAD_AFTER_S)
    return peers


def kill(network, peer):
    network.isolate(peer.address)
    peer.stop_links()


def test_full_mesh_of_nine_entries_keeps_message_rate_and_bytes_low(network):
    peers = start_peers(network, 9)
    assert all(peer.alive() == frozenset(peers) for peer in peers.values())
    messages_before = [peer.counters.sent_messages for peer in peers.values()]
    bytes_before = [peer.counters.sent_bytes for peer in peers.values()]
    network.clock.advance(20)
    for peer, messages, size in zip(peers.values(), messages_before, bytes_before):
        assert 8 * 20 <= peer.counters.sent_messages - messages <= 16 * 20
        assert peer.counters.sent_bytes - size < 1024 * 20
    total = sum(peer.counters.sent_messages for peer in peers.values()) - sum(
        messages_before
    )
    assert total == pytest.approx(9 * 12 * 20, rel=0.05)


def test_death_and_return_of_an_entry_are_detected(network):
    peers = start_peers(network, 3)
    seen = []
    first, second, third = peers.values()
    first.subscribe_liveness(seen.append)
    network.isolate(second.address)
    network.clock.advance(DEAD_AFTER_S + 2 * HEARTBEAT_INTERVAL_S)
    assert first.alive() == third.alive() == {first.entry, third.entry}
    assert second.alive() == {second.entry}
    network.cut.clear()
    network.clock.advance(3 * HEARTBEAT_INTERVAL_S)
    assert all(peer.alive() == frozenset(peers) for peer in peers.values())
    assert [len(alive) for alive in seen] == [2, 3]


def test_link_cut_in_one_direction_makes_both_sides_report_death(network):
    first, second = start_peers(network, 2).values()
    network.cut.add((first.address, second.address))
    network.clock.advance(DEAD_AFTER_S + 3 * HEARTBEAT_INTERVAL_S)
    assert second.entry not in first.alive() and first.entry not in second.alive()


def test_leaving_entry_is_dead_at_once_until_it_restarts(network):
    first, second, third = start_peers(network, 3).values()
    second.leave()
    network.clock.advance(0.01)
    assert first.alive() == third.alive() == {first.entry, third.entry}
    network.clock.advance(5)
    assert second.entry not in first.alive()
    kill(network, second)
    network.cut.clear()
    restarted = Peers(
        entry=second.entry,
        clock=network.clock,
        recorder=recorder_for(second.entry, network.clock),
        links=MemoryLinks(entry=second.entry, network=network),
    )
    restarted.set_peers({}, seeds=(first.address,))
    network.clock.advance(5)
    names = {first.entry, second.entry, third.entry}
    assert first.alive() == third.alive() == restarted.alive() == names


def test_frames_with_another_key_are_counted_and_dropped(network):
    first, second = start_peers(network, 2).values()
    stranger = MemoryLinks(entry="stranger", network=network, key=b"other")
    stranger.connect(first.address)
    stranger.send(first.address, CallFinished("k", "a", Offset(1)))
    network.clock.advance(0.1)
    assert first.counters.bad_frames == 1
    assert first.alive() == {first.entry, second.entry}


def test_repeated_frames_are_dropped(network):
    first, second = start_peers(network, 2).values()
    received = []
    first.subscribe(CallFinished, lambda sender, message: received.append(message))
    frame = network.links[second.address].session.encode(CallFinished("k", "a", 1))
    for _ in range(2):
        network.carry(second.address, first.address, frame)
    network.clock.advance(0.1)
    assert len(received) == 1 and first.counters.stale_frames == 1


def test_large_overlay_is_bounded_and_forwards_suspicions_and_broadcasts(network):
    peers = start_peers(network, 40)
    for peer in peers.values():
        assert 4 <= len(peer.overlay()) <= 8
        assert all(peer.entry in peers[other].overlay() for other in peer.overlay())
    victim = peers["entry-7"]
    heard = []
    peers["entry-3"].subscribe_topic("news", lambda *news: heard.append(news))
    peers["entry-31"].broadcast("news", b"x")
    kill(network, victim)
    network.clock.advance(2 * DEAD_AFTER_S)
    others = frozenset(peers) - {victim.entry}
    alive = [peer.alive() for peer in peers.values() if peer is not victim]
    assert all(seen == others for seen in alive)
    assert heard == [("entry-31", b"x")]


def test_overlay_of_the_target_size_has_few_hops():
    entries = frozenset(f"e{number}" for number in range(380))
    reached, hops = {"e0"}, 0
    while reached != entries:
        reached |= {n for entry in reached for n in neighbours(entry, entries, 8)}
        hops += 1
    assert hops <= 10
    assert all(len(neighbours(entry, entries, 8)) <= 8 for entry in entries)


def test_rendezvous_moves_only_keys_of_the_removed_entry():
    entries = [f"e{number}" for number in range(9)]
    keys = [f"g{number}" for number in range(120)]
    before = {key: rendezvous(key, entries, 2) for key in keys}
    after = {key: rendezvous(key, entries[:-1], 2) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all("e8" in before[key] for key in moved)
    assert 10 <= len(moved) <= 45


def test_entry_resuming_from_a_pause_reports_no_deaths(network, paused_clock):
    first, second, third = start_peers(network, 3).values()
    seen = []
    first.subscribe_liveness(seen.append)
    first._timer.cancel()
    network.held.add(first.address)
    paused_clock.advance(30)
    network.resume(first.address)
    first._tick()
    paused_clock.advance(5)
    assert seen == [] and len(first.alive()) == 3


@pytest.fixture
def relays(network, paused_clock):
    """Return a log, and the states and log relay of each of three entries."""
    peers = list(start_peers(network, 3).values())
    log = MemoryLog(clock=paused_clock)
    pairs = []
    for peer in peers:
        states = FakeStates(entry=peer.entry, log=log, clock=paused_clock)
        states.follow(CONFIG_STREAM)
        relay = LogRelay(
            peers=peer,
            states=states,
            clock=paused_clock,
            recorder=recorder_for(peer.entry, paused_clock),
            snapshot=lambda stream, states=states: encode_state(states.state(stream)),
            restore=lambda stream, data, states=states: states.folded.update(
                {stream: _state_of_bytes(data, pairs)}
            ),
        )
        relay.follow(CONFIG_STREAM)
        pairs.append((states, relay))
    return log, pairs


def _state_of_bytes(data, pairs):
    """Return the state that encodes to ``data``, found in memory, not decoded."""
    known = [states.state(CONFIG_STREAM) for states, _ in pairs]
    return next(state for state in known if encode_state(state) == data)


def _append_entry(log, name, padding_bytes=0):
    note = records.EntryNote(name, "tcp://x" + "x" * padding_bytes, "a")
    record = records.Record(1, new_id(), name, 0, (note,))
    log.put(CONFIG_STREAM, records.encode_record(record))


def test_entry_without_access_to_the_log_gets_records_from_peers(relays, paused_clock):
    log, pairs = relays
    pairs[0][0].cut = True
    for number in range(3):
        _append_entry(log, f"new-{number}", padding_bytes=150_000)
    for states, _ in pairs:
        states.pull()
    paused_clock.advance(3.0)
    assert pairs[0][0].state(CONFIG_STREAM) == pairs[1][0].state(CONFIG_STREAM)
    assert pairs[0][0].state(CONFIG_STREAM).offset == 2


def test_booting_entry_restores_a_snapshot_from_a_peer(relays, paused_clock):
    log, pairs = relays
    pairs[0][0].cut = True
    pairs[0][0].folded.clear()
    _append_entry(log, "new", padding_bytes=600_000)
    pairs[1][0].pull()
    pairs[2][0].pull()
    log.trim(CONFIG_STREAM, Offset(1))
    done = []
    pairs[0][1].fetch_snapshot(CONFIG_STREAM, done.append)
    paused_clock.advance(0.5)
    assert done == [True]
    assert pairs[0][0].state(CONFIG_STREAM) == pairs[1][0].state(CONFIG_STREAM)


def test_no_snapshot_is_restored_from_entries_without_state(relays, paused_clock):
    _, pairs = relays
    for states, _ in pairs:
        states.folded.clear()
    done = []
    pairs[0][1].fetch_snapshot(CONFIG_STREAM, done.append)
    paused_clock.advance(10)
    assert done == [False]
