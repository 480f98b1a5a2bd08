"""Entries tell each other what they have in progress and whom they suspect."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import EntryId, InstanceId
from citronpin.gateway.fabrics import Fabrics
from citronpin.gateway.fleets import Fleet, GroupNews, Membership, Phase
from citronpin.gateway.loadbooks import PEER_REPORT_MAX_AGE_S, LoadTracker
from citronpin.gateway.ports import DomainLeases, SharedFeeds
from citronpin.gateway.relays import MESH_ENTRIES, RelayRole
from citronpin.gateway.suspects import Suspects
from citronpin.peers.links import Links
from citronpin.peers.messages import NO_LOAD, HeadStatus, Message, StatusUpdate

logger = logging.getLogger(__name__)

NEWS_INTERVAL_S = 0.15  # older figures let entries choose the same place
QUIET_NEWS_S = 0.75  # unchanged figures are repeated before they count as old
RELAY_INTERVAL_S = 0.3  # in a crowd
RELAY_MEMORY_S = 2.0


class Gossip:
    """Sends this entry's news to others and takes theirs.

    Up to ``MESH_ENTRIES`` entries, each tells all others what it has in progress. With
    more, the relays, which also hold the leases, tell all others which groups serve,
    what these report and what they have read from the store; the others tell only the
    relays whom they suspect.
    """

    def __init__(
        self,
        *,
        links: Links,
        addresses: Callable[[], dict[EntryId, str]],
        loads: LoadTracker,
        suspects: Suspects,
        fleet: Fleet,
        fabrics: Fabrics,
        leases: DomainLeases,
        role: RelayRole,
        feeds: SharedFeeds,
        clock: Clock,
    ) -> None:
        self.role = role
        self._feeds = feeds
        self._links = links
        self._addresses = addresses
        self._loads = loads
        self._suspects = suspects
        self._fleet = fleet
        self._fabrics = fabrics
        self._leases = leases
        self._clock = clock
        self._store_lost: dict[EntryId, tuple[float, bool]] = {}
        self._relays: dict[EntryId, float] = {}  # when heard last
        self._connected: set[str] = set()
        self._last: StatusUpdate | None = None
        self._sent_s = float("-inf")
        self._timer: TimerHandle | None = None

    def start(self) -> None:
        """Begin to exchange news."""
        self._links.open(self._receive)
        self._tick()

    def stop(self) -> None:
        """End the exchange."""
        if self._timer is not None:
            self._timer.cancel()
        self._links.close()

    def _tick(self) -> None:
        self._timer = self._clock.call_later(NEWS_INTERVAL_S, self._tick)
        now_s = self._clock.now()
        self._loads.expire(now_s=now_s)
        self._leases.extend(self._nobody_reaches_the_store(now_s))
        others = self._addresses()
        mesh = len(others) < MESH_ENTRIES
        self.role.update(others=others, store_lost=self._leases.lost, now_s=now_s)
        self._leases.take_part(self.role.serving)
        self._feeds.follow(not self.role.serving)
        heads = self._fabrics.heads()
        for head in heads:
            self._loads.record_pace(head.instance, pace=head.pace, now_s=now_s)
        self._connect(self._audience(mesh, now_s))
        news = StatusUpdate(
            loads=self._loads.own() if mesh else {},
            suspects=self._suspects.recent(since_s=now_s - 2 * NEWS_INTERVAL_S),
            traffic=self._fabrics.traffic_began,
            store_lost=self._leases.lost,
            heads=heads if not mesh else tuple(map(_without_load, heads)),
            relay=self.role.serving,
        )
        if not self._due(news, mesh, now_s):
            return
        self._last = news
        self._sent_s = now_s
        if not mesh and self.role.serving and not news.store_lost:
            # Renewals of leases show a lost store sooner than a read that waits.
            read = self._feeds.positions(records=self.role.forwarding)
            news = msgspec.structs.replace(news, positions=read)
        self._links.send_all(self._connected, news)

    def _audience(self, mesh: bool, now_s: float) -> set[str]:
        """Return the addresses that news goes to."""
        peers = self._addresses()
        if not mesh and not self.role.serving:
            peers = {
                name: at
                for name, at in peers.items()
                if now_s - self._relays.get(name, float("-inf")) <= RELAY_MEMORY_S
            }
        return {f"tcp://{at}" for at in peers.values()}

    def _due(self, news: StatusUpdate, mesh: bool, now_s: float) -> bool:
        since_s = now_s - self._sent_s
        if not mesh and self.role.serving:
            return since_s >= RELAY_INTERVAL_S - NEWS_INTERVAL_S / 2
        return since_s >= QUIET_NEWS_S or news != self._last

    def _nobody_reaches_the_store(self, now_s: float) -> bool:
        """Return whether every entry that was heard lately has lost the store."""
        heard = [
            lost
            for heard_s, lost in self._store_lost.values()
            if now_s - heard_s <= PEER_REPORT_MAX_AGE_S
        ]
        return bool(heard) and all(heard)

    def _connect(self, wanted: set[str]) -> None:
        for address in wanted - self._connected:
            self._links.connect(address)
        for address in self._connected - wanted:
            self._links.disconnect(address)
        self._connected = wanted

    def _receive(self, sender: EntryId, message: Message) -> None:
        if not isinstance(message, StatusUpdate):
            return
        now_s = self._clock.now()
        self._loads.heard(entry=sender, loads=message.loads, now_s=now_s)
        for instance in message.suspects:
            self._suspects.hinted(InstanceId(instance), now_s=now_s)
        if message.traffic:
            self._fabrics.traffic_began = True
        if message.relay:
            # Only those that take part could be dealt leases by the store.
            self._store_lost[sender] = (now_s, message.store_lost)
            self._relays[sender] = now_s
            if not message.store_lost:
                self.role.heard(sender, now_s=now_s)
        self._feeds.heard(sender, message.positions)
        for head in message.heads:
            self._fleet.told(head.instance, _told(head, now_s))
            self._loads.record_pace(head.instance, pace=head.pace, now_s=now_s)
            if head.load >= 0:
                self._loads.reported(head.instance, load=head.load, now_s=now_s)


def _without_load(head: HeadStatus) -> HeadStatus:
    return msgspec.structs.replace(head, load=NO_LOAD)


def _told(head: HeadStatus, now_s: float) -> GroupNews:
    place = Membership(group=head.group, epoch=head.epoch, rank=0, phase=Phase.OPEN)
    return GroupNews(place, (head.model,), now_s)
