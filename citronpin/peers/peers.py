"""Exchanges heartbeats with other entries, detects dead ones, and sends messages."""

import logging
import math
from collections import OrderedDict

import msgspec
from circuits import BaseComponent

from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import EntryId, Offset, StreamName
from citronpin.peers.links import LinkCounters, Links, NngLinks
from citronpin.peers.meshes import (
    BroadcastCallback,
    LeaseSource,
    LivenessCallback,
    Mesh,
    MessageCallback,
    OffsetSource,
)
from citronpin.peers.messages import (
    NO_STAMP,
    Broadcast,
    Heartbeat,
    Hello,
    Message,
    Suspicion,
    Welcome,
)
from citronpin.peers.overlays import neighbours, rendezvous_weight
from citronpin.peers.peer_votes import PeerVotes

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 1.0
DEAD_AFTER_S = 3.0  # without an echo of a stamp of this entry
FORGET_AFTER_S = 60.0  # after which a dead entry leaves the overlay
IDLE_LINK_TIMEOUT_S = 60.0  # for links to entries that are no neighbours
ALL_OFFSETS_INTERVAL_S = 30.0  # between heartbeats that announce all offsets
OVERLAY_DEGREE = 8  # largest number of neighbours
MAX_SEEN_BROADCASTS = 1024
LEAVING_TOPIC = "leaving"


class _Peer(msgspec.Struct):
    """State of another entry; times are of this entry's clock."""

    address: str
    since_s: float  # when the address became known
    stamp: int = NO_STAMP  # the latest one that it sent
    stamp_s: float = 0.0  # when that stamp arrived
    echoed_s: float = -math.inf  # when this entry sent the latest stamp that it echoed
    opened_s: float = -math.inf  # when either side last sent a stamp
    alive: bool = False
    told: dict[StreamName, Offset] = {}  # offsets last announced to it
    told_s: float = -math.inf  # when all offsets were last announced
    greeted: bool = False  # whether `Hello` was sent to it


class Peers(BaseComponent, Mesh):
    """Tracks which entries are alive, and sends and forwards messages to them.

    Neighbours in the overlay exchange heartbeats in threes (open, answer, close), by
    which both sides get their stamp echoed. Other entries are dead once most of their
    neighbours report it. An entry that announces its planned stop is dead at once.
    """

    channel = "peers"

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Clock,
        recorder: Recorder,
        listen: str = "",
        advertise: str = "",
        key: bytes = b"",
        links: Links | None = None,
        degree: int = OVERLAY_DEGREE,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        super().__init__()
        self.entry = entry
        self._clock = clock
        self._recorder = recorder
        self._degree = degree
        self._heartbeat_interval_s = heartbeat_interval_s
        if links is None:
            links = NngLinks(entry=entry, listen=listen, key=key, clock=clock)
            links.register(self)
        self._links = links
        self._advertise = advertise
        self._peers: dict[EntryId, _Peer] = {}
        self._learned_addresses: dict[EntryId, str] = {}
        self._configured_addresses: dict[EntryId, str] = {}
        self._seeds: tuple[str, ...] = ()
        self._left_entries: set[EntryId] = set()
        self._last_used_s: dict[str, float] = {}  # by address
        self._votes = PeerVotes()
        self._seen_broadcasts: OrderedDict[tuple[EntryId, int], None] = OrderedDict()
        self._first_gossip_number = self._gossip_number = clock.wall_ms()
        self._join_numbers: dict[EntryId, int] = {}  # number of the latest `Hello`
        self._started_s = clock.now()
        self._alive = frozenset({entry})
        self._is_leaving = False
        self._last_tick_s = clock.now()
        self._resumed_s = -math.inf  # when the latest pause of this process ended
        self._message_callbacks: dict[type[Message], list[MessageCallback]] = {}
        self._liveness_callbacks: list[LivenessCallback] = []
        self._topic_callbacks: dict[str, list[BroadcastCallback]] = {}
        self._lease_source: LeaseSource = lambda: None
        self._offset_source: OffsetSource = dict
        self.subscribe(Heartbeat, self._on_heartbeat)
        self.subscribe(Hello, self._on_hello)
        self.subscribe(Welcome, self._on_welcome)
        self.subscribe(Suspicion, self._on_suspicion)
        self.subscribe(Broadcast, self._on_broadcast)
        links.open(self._receive)
        self._timer = clock.call_later(0.0, self._tick)

    @property
    def address(self) -> str:
        """Return the address that other entries connect to."""
        return self._advertise or self._links.address

    @property
    def bound_address(self) -> str:
        """Return the address that the links listen on, with the assigned port."""
        return self._links.address

    @property
    def counters(self) -> LinkCounters:
        """Return the counts of messages, bytes and discarded frames since the start."""
        return self._links.counters

    def set_peers(
        self, addresses: dict[EntryId, str], seeds: tuple[str, ...] = ()
    ) -> None:
        """Set the addresses that the configuration stream lists, and the seeds."""
        self._configured_addresses = dict(addresses)
        self._seeds = seeds
        self._update_addresses()

    def set_lease_source(self, source: LeaseSource) -> None:
        self._lease_source = source

    def set_offset_source(self, source: OffsetSource) -> None:
        """Set the function that returns the stream offsets that heartbeats announce."""
        self._offset_source = source

    def is_isolated(self, limit_s: float) -> bool:
        members = self._members()
        echoed_s = max((self._peers[e].echoed_s for e in members), default=math.inf)
        return echoed_s < self._clock.now() - limit_s

    def exchange_heartbeats(self) -> None:
        now_s = self._clock.now()
        for entry in self.overlay():
            self._open_exchange(entry, now_s, ignore_schedule=True)

    def alive(self) -> frozenset[EntryId]:
        return self._alive

    def subscribe(self, message_type, callback) -> None:
        self._message_callbacks.setdefault(message_type, []).append(callback)

    def subscribe_liveness(self, callback) -> None:
        self._liveness_callbacks.append(callback)

    def subscribe_topic(self, topic: str, callback: BroadcastCallback) -> None:
        """Call ``callback`` once for each broadcast, with origin and payload."""
        self._topic_callbacks.setdefault(topic, []).append(callback)

    def send(self, entry: EntryId, message: Message) -> bool:
        peer = self._peers.get(entry)
        if peer is None:
            return False
        self._links.connect(peer.address)
        self._last_used_s[peer.address] = self._clock.now()
        return self._links.send(peer.address, message)

    def broadcast(self, topic: str, payload: bytes) -> None:
        """Send a payload to every entry over the overlay, without retries."""
        self._gossip_number += 1
        message = Broadcast(self.entry, self._gossip_number, topic, payload)
        self._seen_broadcasts[(self.entry, self._gossip_number)] = None
        self._forward(message, None)

    def leave(self) -> None:
        """Notify all entries of the planned stop of this one."""
        self._is_leaving = True
        self._recorder.note(EventKind.DRAIN, "notifies peers that it is leaving")
        self.broadcast(LEAVING_TOPIC, b"")

    def stop_links(self) -> None:
        """Stop sending heartbeats and close all sockets."""
        self._timer.cancel()
        self._links.close()

    def overlay(self) -> tuple[EntryId, ...]:
        """Return the neighbours, with which this entry exchanges heartbeats."""
        return neighbours(self.entry, self._members(), self._degree)

    def _members(self) -> frozenset[EntryId]:
        now_s = self._clock.now()
        return frozenset(
            entry
            for entry, peer in self._peers.items()
            if entry not in self._left_entries
            and not self._is_forgotten(entry, peer, now_s)
        )

    def _is_forgotten(self, entry: EntryId, peer: _Peer, now_s: float) -> bool:
        if peer.alive:
            return False
        heard_s = max(peer.echoed_s, peer.since_s, peer.stamp_s)
        if heard_s > now_s - FORGET_AFTER_S:
            return False
        # Entries that are no neighbours send no echo; only votes can show them dead.
        return peer.echoed_s > -math.inf or self._is_voted_dead(entry)

    def _update_addresses(self) -> None:
        wanted = {**self._learned_addresses, **self._configured_addresses}
        wanted.pop(self.entry, None)
        for entry in [known for known in self._peers if known not in wanted]:
            self._links.disconnect(self._peers.pop(entry).address)
        for entry, address in wanted.items():
            known = self._peers.get(entry)
            if known is not None and known.address == address:
                continue
            if known is not None:
                self._links.disconnect(known.address)
            self._left_entries.discard(entry)
            self._peers[entry] = _Peer(address=address, since_s=self._clock.now())
        for entry in self.overlay():
            self._links.connect(self._peers[entry].address)
        self._update_liveness()

    def _tick(self) -> None:
        now_s = self._clock.now()
        if now_s - self._last_tick_s > self._heartbeat_interval_s + DEAD_AFTER_S / 2:
            # This process was paused, so missing echoes do not show that peers died.
            self._resumed_s = now_s
        self._last_tick_s = now_s
        self._timer = self._clock.call_later(self._heartbeat_interval_s, self._tick)
        if not self._is_leaving:
            self._greet_seeds()
        for entry in self.overlay():
            self._open_exchange(entry, now_s)
        self._close_idle_links(now_s)
        self._update_liveness()

    def _greet_seeds(self) -> None:
        known = {peer.address for peer in self._peers.values()}
        for address in self._seeds:
            if address not in known and address != self.address:
                self._links.connect(address)
                self._links.send(address, self._make_hello())

    def _make_hello(self) -> Hello:
        return Hello(address=self.address, number=self._first_gossip_number)

    def _open_exchange(
        self, entry: EntryId, now_s: float, ignore_schedule: bool = False
    ) -> None:
        peer = self._peers[entry]
        if not peer.greeted and not self._is_leaving:
            peer.greeted = self.send(entry, self._make_hello())
        # One side opens an exchange on every tick, the other only if none is opened.
        wait_intervals = 0.1 if _is_opener(self.entry, entry) else 2.5
        if (
            not ignore_schedule
            and now_s - peer.opened_s < wait_intervals * self._heartbeat_interval_s
        ):
            return
        peer.opened_s = now_s
        self.send(entry, Heartbeat(stamp=self._now_ms()))

    def _now_ms(self) -> int:
        return int(self._clock.now() * MS_PER_S)

    def _receive(self, sender: EntryId, message: Message) -> None:
        if sender == self.entry:
            return
        for callback in self._message_callbacks.get(type(message), ()):
            callback(sender, message)

    def _on_heartbeat(self, sender: EntryId, heartbeat: Heartbeat) -> None:
        peer = self._peers.get(sender)
        if peer is None:
            return
        now_s = self._clock.now()
        if heartbeat.echo != NO_STAMP:
            echoed_s = heartbeat.echo / MS_PER_S
            if self._started_s - 1 / MS_PER_S <= echoed_s <= now_s:
                peer.echoed_s = max(peer.echoed_s, echoed_s)
        if heartbeat.stamp != NO_STAMP:
            peer.stamp = heartbeat.stamp
            peer.stamp_s = now_s
            peer.opened_s = now_s
            self._answer_heartbeat(
                sender, peer, closes_exchange=heartbeat.echo != NO_STAMP
            )
        if not peer.alive:
            self._update_liveness()

    def _answer_heartbeat(
        self, sender: EntryId, peer: _Peer, *, closes_exchange: bool
    ) -> None:
        now_s = self._clock.now()
        lease = self._lease_source()
        offsets = self._offset_source()
        if now_s - peer.told_s > ALL_OFFSETS_INTERVAL_S:
            peer.told = {}
            peer.told_s = now_s
        changed_offsets = {
            stream: offset
            for stream, offset in offsets.items()
            if peer.told.get(stream) != offset
        }
        heartbeat = Heartbeat(
            stamp=NO_STAMP if closes_exchange else self._now_ms(),
            echo=peer.stamp,
            lease=lease.number if lease else 0,
            age_ms=math.ceil((now_s - lease.probed_s) * MS_PER_S) if lease else 0,
            offsets=changed_offsets,
        )
        if self.send(sender, heartbeat):
            peer.told = offsets

    def _on_hello(self, sender: EntryId, hello: Hello) -> None:
        self._left_entries.discard(sender)
        self._join_numbers[sender] = hello.number
        self._learned_addresses[sender] = hello.address
        self._update_addresses()
        addresses = {entry: peer.address for entry, peer in self._peers.items()}
        self.send(sender, Welcome({**addresses, self.entry: self.address}))

    def _on_welcome(self, sender: EntryId, welcome: Welcome) -> None:
        self._learned_addresses.update(welcome.addresses)
        self._update_addresses()

    def _update_liveness(self) -> None:
        now_s = self._clock.now()
        adjacent = self.overlay()
        is_full_mesh = len(adjacent) == len(self._members())
        alive = {self.entry}
        for entry, peer in self._peers.items():
            is_alive = self._is_alive(entry, peer, entry in adjacent, now_s)
            if is_alive:
                alive.add(entry)
            if is_alive != peer.alive:
                peer.alive = is_alive
                detail = f"{entry} is {'alive' if is_alive else 'not responding'}"
                self._recorder.note(EventKind.PEER_STATE, detail)
                if entry in adjacent and not is_full_mesh:
                    self._report_suspicion(entry, not is_alive)
        if alive != self._alive:
            self._alive = frozenset(alive)
            for callback in self._liveness_callbacks:
                callback(self._alive)

    def _is_alive(
        self, entry: EntryId, peer: _Peer, is_neighbour: bool, now_s: float
    ) -> bool:
        if entry in self._left_entries:
            return False
        echoed_s = peer.echoed_s
        if peer.alive:
            echoed_s = max(echoed_s, self._resumed_s)
        if is_neighbour or echoed_s > now_s - DEAD_AFTER_S:
            return echoed_s > now_s - DEAD_AFTER_S
        return not self._is_voted_dead(entry)

    def _report_suspicion(self, subject: EntryId, is_dead: bool) -> None:
        self._gossip_number += 1
        self._forward(
            Suspicion(self.entry, self._gossip_number, subject, is_dead), None
        )

    def _on_suspicion(self, sender: EntryId, suspicion: Suspicion) -> None:
        if not self._votes.record(suspicion):
            return
        self._forward(suspicion, sender)
        self._update_liveness()

    def _is_voted_dead(self, entry: EntryId) -> bool:
        if not self._votes.has_suspicions(entry):
            return False
        known = frozenset(self._peers) | {self.entry}
        voters = neighbours(entry, known, self._degree)
        return self._votes.is_voted_dead(entry, voters)

    def _on_broadcast(self, sender: EntryId, message: Broadcast) -> None:
        broadcast_key = (message.origin, message.number)
        if broadcast_key in self._seen_broadcasts:
            return
        self._seen_broadcasts[broadcast_key] = None
        if len(self._seen_broadcasts) > MAX_SEEN_BROADCASTS:
            self._seen_broadcasts.popitem(last=False)
        self._forward(message, sender)
        join_number = self._join_numbers.get(message.origin, 0)
        if message.topic == LEAVING_TOPIC and message.number > join_number:
            self._left_entries.add(message.origin)
            self._update_liveness()
        for callback in self._topic_callbacks.get(message.topic, ()):
            callback(message.origin, message.payload)

    def _forward(self, message: Message, source: EntryId | None) -> None:
        for entry in self.overlay():
            if entry != source:
                self.send(entry, message)

    def _close_idle_links(self, now_s: float) -> None:
        in_use = {self._peers[entry].address for entry in self.overlay()}
        for address, used_s in list(self._last_used_s.items()):
            if address not in in_use and now_s - used_s > IDLE_LINK_TIMEOUT_S:
                del self._last_used_s[address]
                self._links.disconnect(address)


def _is_opener(me: EntryId, other: EntryId) -> bool:
    """Return whether ``me`` regularly opens the exchanges of a pair of entries."""
    low, high = min(me, other), max(me, other)
    return (rendezvous_weight(low, high) & 1) == (me == low)
