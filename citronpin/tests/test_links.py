"""Tests of links over TCP on loopback."""

import pynng
import pytest

from citronpin.basics.events import Recorder
from citronpin.basics.ids import EntryId
from citronpin.peers.links import NngLinks
from citronpin.peers.messages import Broadcast
from citronpin.peers.peers import Peers
from citronpin.tests.conftest import wait_until

LOOPBACK = "tcp://127.0.0.1:0"


def make_peers(name, key=b"key", **options):
    """Return a function that builds `Peers` with the clock of a loop."""

    def build(clock):
        return Peers(
            entry=EntryId(name),
            clock=clock,
            recorder=Recorder(process=name, clock=clock),
            listen=LOOPBACK,
            key=key,
            **options,
        )

    return build


@pytest.fixture
def entries(loops):
    """Start each entry in its own event loop, and close the sockets afterwards."""
    started = []

    def start(*builders):
        for build in builders:
            loop, peer = loops(build)
            started.append((loop, peer))
        return started

    yield start
    for loop, peer in started:
        loop.call(peer.stop_links)


def test_entries_find_each_other_over_tcp(entries):
    pairs = entries(*(make_peers(f"e{n}", heartbeat_interval_s=0.05) for n in range(3)))
    seed = pairs[0][1].address
    for loop, peer in pairs:
        loop.call(lambda peer=peer: peer.set_peers({}, seeds=(seed,)))
    for _, peer in pairs:
        wait_until(lambda peer=peer: len(peer.alive()) == 3)
    assert all(peer.counters.bad_frames == 0 for _, peer in pairs)


def test_empty_and_malformed_frames_are_counted_as_bad(entries):
    ((loop, peer),) = entries(make_peers("e0"))
    with pynng.Push0(dial=peer.address, block_on_dial=True) as push:
        push.send(b"")
        push.send(b"noise" * 100)
    wait_until(lambda: peer.counters.bad_frames == 2)
    assert peer.counters.received_bytes == 500


def test_sends_to_a_peer_that_does_not_read_are_dropped_without_blocking(loops):
    with pynng.Pull0(recv_buffer_size=1) as unread:
        unread.listen("tcp://127.0.0.1:0")
        port = int.from_bytes(
            unread.listeners[0].local_address.port.to_bytes(2, "little")
        )
        address = f"tcp://127.0.0.1:{port}"
        loop, links = loops(
            lambda clock: NngLinks(
                entry=EntryId("e0"), listen=LOOPBACK, key=b"key", clock=clock
            )
        )
        message = Broadcast(EntryId("e0"), 1, "t", b"x" * 400_000)
        loop.call(lambda: links.connect(address))
        sent = loop.call(lambda: [links.send(address, message) for _ in range(400)])
        assert not sent[-1]
        assert links.counters.dropped == sent.count(False) > 100
        assert links.counters.sent_messages == sent.count(True)
        loop.call(links.close)


def test_messages_over_the_frame_limit_are_dropped(loops):
    loop, links = loops(
        lambda clock: NngLinks(
            entry=EntryId("e0"), listen=LOOPBACK, key=b"key", clock=clock
        )
    )
    message = Broadcast(EntryId("e0"), 1, "t", b"x" * 600_000)
    assert loop.call(lambda: links.send("tcp://127.0.0.1:9", message)) is False
    assert links.counters.dropped == 1
    loop.call(links.close)


def test_send_all_delivers_one_frame_to_several_entries(loops):
    received = []
    pairs = [
        loops(
            lambda clock, n=n: NngLinks(
                entry=EntryId(f"e{n}"), listen=LOOPBACK, key=b"key", clock=clock
            )
        )
        for n in range(3)
    ]
    for loop, links in pairs[1:]:
        loop.call(lambda links=links: links.open(lambda *args: received.append(args)))
    loop, sender = pairs[0]
    addresses = [links.address for _, links in pairs[1:]]
    for address in addresses:
        loop.call(lambda address=address: sender.connect(address))
    message = Broadcast(origin=EntryId("e0"), number=1, topic="t", payload=b"x")

    def send_until_both_received():
        loop.call(lambda: sender.send_all([*addresses, "tcp://127.0.0.1:1"], message))
        return all(links.counters.received_messages for _, links in pairs[1:])

    wait_until(send_until_both_received)
    assert ("e0", message) in received
    assert all(links.counters.bad_frames == 0 for _, links in pairs)
    assert all(links.counters.stale_frames == 0 for _, links in pairs)
    for loop, links in pairs:
        loop.call(links.close)
