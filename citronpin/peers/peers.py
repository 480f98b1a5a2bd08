"""Peers: which entries live, heartbeats with few messages, and sending."""

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
from citronpin.peers.overlays import neighbours, score
from citronpin.peers.peer_votes import PeerVotes

logger = logging.getLogger(__name__)

BEAT_S = 1.0
DEAD_AFTER_S = 3.0  # without an echo of an own stamp
FORGET_S = 60.0  # a dead entry leaves the overlay after this time
IDLE_LINK_S = 60.0  # links outside the overlay are closed after this time
ANNOUNCE_S = 30.0  # all offsets are announced anew after this time
DEGREE = 8
SEEN_BROADCASTS = 1024
LEAVING_TOPIC = "leaving"


class _Peer(msgspec.Struct):
    """What is known of another entry."""

    address: str
    since_s: float
    stamp: int = NO_STAMP  # its latest
    stamp_s: float = 0.0  # when that arrived
    echoed_s: float = -math.inf  # own clock at the latest own stamp that it echoed
    opened_s: float = -math.inf  # when either side last opened an exchange
    alive: bool = False
    told: dict[StreamName, Offset] = {}  # offsets announced to it
    told_s: float = -math.inf  # when all offsets were last announced
    greeted: bool = False


class Peers(BaseComponent, Mesh):
    """Keeps exchanges of three beats with its neighbours in the overlay."""

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
        degree: int = DEGREE,
        beat_s: float = BEAT_S,
    ) -> None:
        super().__init__()
        self.entry = entry
        self._clock = clock
        self._recorder = recorder
        self._degree = degree
        self._beat_s = beat_s
        if links is None:
            links = NngLinks(entry=entry, listen=listen, key=key, clock=clock)
            links.register(self)
        self._links = links
        self._advertise = advertise
        self._peers: dict[EntryId, _Peer] = {}
        self._learned: dict[EntryId, str] = {}
        self._configured: dict[EntryId, str] = {}
        self._seeds: tuple[str, ...] = ()
        self._left: set[EntryId] = set()
        self._used: dict[str, float] = {}  # address -> when last sent to
        self._votes = PeerVotes()
        self._seen: OrderedDict[tuple[EntryId, int], None] = OrderedDict()
        self._first_number = self._number = clock.wall_ms()
        self._joined: dict[EntryId, int] = {}
        self._first_s = clock.now()
        self._alive = frozenset({entry})
        self._stopping = False
        self._ticked_s = clock.now()
        self._resumed_s = -math.inf
        self._callbacks: dict[type[Message], list[MessageCallback]] = {}
        self._liveness: list[LivenessCallback] = []
        self._topics: dict[str, list[BroadcastCallback]] = {}
        self._lease_source: LeaseSource = lambda: None
        self._offset_source: OffsetSource = dict
        self.subscribe(Heartbeat, self._on_beat)
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
        """Return the address that the links listen on."""
        return self._links.address

    @property
    def counters(self) -> LinkCounters:
        """Return the counts of messages and bytes since the start."""
        return self._links.counters

    def set_peers(
        self, addresses: dict[EntryId, str], seeds: tuple[str, ...] = ()
    ) -> None:
        """Set the entries that the configuration stream names, and the seeds."""
        self._configured = dict(addresses)
        self._seeds = seeds
        self._merge()

    def set_lease_source(self, source: LeaseSource) -> None:
        self._lease_source = source

    def set_offset_source(self, source: OffsetSource) -> None:
        """Take from ``source`` the offsets that beats announce."""
        self._offset_source = source

    def is_isolated(self, limit_s: float) -> bool:
        members = self._members()
        echoed_s = max((self._peers[e].echoed_s for e in members), default=math.inf)
        return echoed_s < self._clock.now() - limit_s

    def exchange_heartbeats(self) -> None:
        now_s = self._clock.now()
        for entry in self.overlay():
            self._open(entry, now_s, at_once=True)

    def alive(self) -> frozenset[EntryId]:
        return self._alive

    def subscribe(self, message_type, callback) -> None:
        self._callbacks.setdefault(message_type, []).append(callback)

    def subscribe_liveness(self, callback) -> None:
        self._liveness.append(callback)

    def subscribe_topic(self, topic: str, callback: BroadcastCallback) -> None:
        """Call back once for each broadcast on a topic."""
        self._topics.setdefault(topic, []).append(callback)

    def send(self, entry: EntryId, message: Message) -> bool:
        peer = self._peers.get(entry)
        if peer is None:
            return False
        self._links.connect(peer.address)
        self._used[peer.address] = self._clock.now()
        return self._links.send(peer.address, message)

    def broadcast(self, topic: str, payload: bytes) -> None:
        """Send a payload to every entry, over the overlay; delivery may fail."""
        self._number += 1
        message = Broadcast(self.entry, self._number, topic, payload)
        self._seen[(self.entry, self._number)] = None
        self._pass_on(message, None)

    def leave(self) -> None:
        """Tell all entries that this one stops in a planned way."""
        self._stopping = True
        self._recorder.note(EventKind.DRAIN, "tells peers that it leaves")
        self.broadcast(LEAVING_TOPIC, b"")

    def stop_links(self) -> None:
        """Stop beating and close all sockets."""
        self._timer.cancel()
        self._links.close()

    def overlay(self) -> tuple[EntryId, ...]:
        """Return the entries that this one exchanges beats with."""
        return neighbours(self.entry, self._members(), self._degree)

    def _members(self) -> frozenset[EntryId]:
        now_s = self._clock.now()
        return frozenset(
            entry
            for entry, peer in self._peers.items()
            if entry not in self._left and not self._forgotten(entry, peer, now_s)
        )

    def _forgotten(self, entry: EntryId, peer: _Peer, now_s: float) -> bool:
        if peer.alive:
            return False
        heard_s = max(peer.echoed_s, peer.since_s, peer.stamp_s)
        if heard_s > now_s - FORGET_S:
            return False
        # Entries outside the overlay are never heard; only suspicion ends them.
        return peer.echoed_s > -math.inf or self._condemned(entry)

    def _merge(self) -> None:
        wanted = {**self._learned, **self._configured}
        wanted.pop(self.entry, None)
        for entry in [known for known in self._peers if known not in wanted]:
            self._links.disconnect(self._peers.pop(entry).address)
        for entry, address in wanted.items():
            known = self._peers.get(entry)
            if known is not None and known.address == address:
                continue
            if known is not None:
                self._links.disconnect(known.address)
            self._left.discard(entry)
            self._peers[entry] = _Peer(address=address, since_s=self._clock.now())
        for entry in self.overlay():
            self._links.connect(self._peers[entry].address)
        self._update()

    def _tick(self) -> None:
        now_s = self._clock.now()
        if now_s - self._ticked_s > self._beat_s + DEAD_AFTER_S / 2:
            # This process was paused; the silence of the others is its own.
            self._resumed_s = now_s
        self._ticked_s = now_s
        self._timer = self._clock.call_later(self._beat_s, self._tick)
        if not self._stopping:
            self._greet_seeds()
        for entry in self.overlay():
            self._open(entry, now_s)
        self._close_idle(now_s)
        self._update()

    def _greet_seeds(self) -> None:
        known = {peer.address for peer in self._peers.values()}
        for address in self._seeds:
            if address not in known and address != self.address:
                self._links.connect(address)
                self._links.send(address, self._hello())

    def _hello(self) -> Hello:
        return Hello(address=self.address, number=self._first_number)

    def _open(self, entry: EntryId, now_s: float, at_once: bool = False) -> None:
        peer = self._peers[entry]
        if not peer.greeted and not self._stopping:
            peer.greeted = self.send(entry, self._hello())
        patience_s = 0.1 if _opens(self.entry, entry) else 2.5
        if not at_once and now_s - peer.opened_s < patience_s * self._beat_s:
            return
        peer.opened_s = now_s
        self.send(entry, Heartbeat(stamp=self._stamp()))

    def _stamp(self) -> int:
        return int(self._clock.now() * MS_PER_S)

    def _receive(self, sender: EntryId, message: Message) -> None:
        if sender == self.entry:
            return
        for callback in self._callbacks.get(type(message), ()):
            callback(sender, message)

    def _on_beat(self, sender: EntryId, beat: Heartbeat) -> None:
        peer = self._peers.get(sender)
        if peer is None:
            return
        now_s = self._clock.now()
        if beat.echo != NO_STAMP:
            echoed_s = beat.echo / MS_PER_S
            if self._first_s - 1 / MS_PER_S <= echoed_s <= now_s:
                peer.echoed_s = max(peer.echoed_s, echoed_s)
        if beat.stamp != NO_STAMP:
            peer.stamp = beat.stamp
            peer.stamp_s = now_s
            peer.opened_s = now_s
            self._answer(sender, peer, closes=beat.echo != NO_STAMP)
        if not peer.alive:
            self._update()

    def _answer(self, sender: EntryId, peer: _Peer, *, closes: bool) -> None:
        now_s = self._clock.now()
        lease = self._lease_source()
        offsets = self._offset_source()
        if now_s - peer.told_s > ANNOUNCE_S:
            peer.told = {}
            peer.told_s = now_s
        news = {
            stream: offset
            for stream, offset in offsets.items()
            if peer.told.get(stream) != offset
        }
        beat = Heartbeat(
            stamp=NO_STAMP if closes else self._stamp(),
            echo=peer.stamp,
            lease=lease.number if lease else 0,
            age_ms=math.ceil((now_s - lease.probed_s) * MS_PER_S) if lease else 0,
            offsets=news,
        )
        if self.send(sender, beat):
            peer.told = offsets

    def _on_hello(self, sender: EntryId, hello: Hello) -> None:
        self._left.discard(sender)
        self._joined[sender] = hello.number
        self._learned[sender] = hello.address
        self._merge()
        addresses = {entry: peer.address for entry, peer in self._peers.items()}
        self.send(sender, Welcome({**addresses, self.entry: self.address}))

    def _on_welcome(self, sender: EntryId, welcome: Welcome) -> None:
        self._learned.update(welcome.addresses)
        self._merge()

    def _update(self) -> None:
        now_s = self._clock.now()
        around = self.overlay()
        everywhere = len(around) == len(self._members())
        alive = {self.entry}
        for entry, peer in self._peers.items():
            lives = self._lives(entry, peer, entry in around, now_s)
            if lives:
                alive.add(entry)
            if lives != peer.alive:
                peer.alive = lives
                detail = f"{entry} is {'alive' if lives else 'not heard'}"
                self._recorder.note(EventKind.PEER_STATE, detail)
                if entry in around and not everywhere:
                    self._suspect(entry, not lives)
        if alive != self._alive:
            self._alive = frozenset(alive)
            for callback in self._liveness:
                callback(self._alive)

    def _lives(self, entry: EntryId, peer: _Peer, around: bool, now_s: float) -> bool:
        if entry in self._left:
            return False
        echoed_s = peer.echoed_s
        if peer.alive:
            echoed_s = max(echoed_s, self._resumed_s)
        if around or echoed_s > now_s - DEAD_AFTER_S:
            return echoed_s > now_s - DEAD_AFTER_S
        return not self._condemned(entry)

    def _suspect(self, subject: EntryId, dead: bool) -> None:
        self._number += 1
        self._pass_on(Suspicion(self.entry, self._number, subject, dead), None)

    def _on_suspicion(self, sender: EntryId, suspicion: Suspicion) -> None:
        if not self._votes.take(suspicion):
            return
        self._pass_on(suspicion, sender)
        self._update()

    def _condemned(self, entry: EntryId) -> bool:
        if not self._votes.known(entry):
            return False
        known = frozenset(self._peers) | {self.entry}
        around = neighbours(entry, known, self._degree)
        return self._votes.condemned(entry, around)

    def _on_broadcast(self, sender: EntryId, message: Broadcast) -> None:
        mark = (message.origin, message.number)
        if mark in self._seen:
            return
        self._seen[mark] = None
        if len(self._seen) > SEEN_BROADCASTS:
            self._seen.popitem(last=False)
        self._pass_on(message, sender)
        joined = self._joined.get(message.origin, 0)
        if message.topic == LEAVING_TOPIC and message.number > joined:
            self._left.add(message.origin)
            self._update()
        for callback in self._topics.get(message.topic, ()):
            callback(message.origin, message.payload)

    def _pass_on(self, message: Message, source: EntryId | None) -> None:
        for entry in self.overlay():
            if entry != source:
                self.send(entry, message)

    def _close_idle(self, now_s: float) -> None:
        around = {self._peers[entry].address for entry in self.overlay()}
        for address, used_s in list(self._used.items()):
            if address not in around and now_s - used_s > IDLE_LINK_S:
                del self._used[address]
                self._links.disconnect(address)


def _opens(me: EntryId, other: EntryId) -> bool:
    """Return whether ``me`` is the one of a pair that opens its exchanges."""
    low, high = min(me, other), max(me, other)
    return (score(low, high) & 1) == (me == low)
