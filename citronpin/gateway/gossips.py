"""Exchanges loads, suspicions and serving groups between entries."""

import logging
from collections.abc import Callable, Collection, Iterable

import msgspec

from citronpin.basics.clocks import MS_PER_S, Clock, TimerHandle
from citronpin.basics.ids import ApplicationName, EntryId, InstanceId
from citronpin.gateway.fabrics import Fabrics
from citronpin.gateway.facts import SUSPECT, Facts
from citronpin.gateway.fleets import Fleet, Membership, PeerGroupReport, Phase
from citronpin.gateway.forward_peers import ForwardPeers
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import PEER_REPORT_MAX_AGE_S, LoadTracker
from citronpin.gateway.owners import owner_of
from citronpin.gateway.permits import SharedPermits
from citronpin.gateway.ports import DomainLeases, SharedFeeds
from citronpin.gateway.quarantines import CrashKey, CrashQuarantine
from citronpin.gateway.reachabilities import Reachability, has_fabric
from citronpin.gateway.relays import MAX_MESH_ENTRIES, RelayRole
from citronpin.gateway.suspects import Suspects
from citronpin.peers.links import LinkCounters, Links
from citronpin.peers.messages import (
    NO_LOAD,
    Fact,
    HeadStatus,
    Message,
    PermitReply,
    PermitRequest,
    StatusUpdate,
)

logger = logging.getLogger(__name__)

UPDATE_INTERVAL_S = 0.15  # with older loads, entries choose the same instance
UNCHANGED_UPDATE_INTERVAL_S = 0.75  # repeats an update before it expires
# With more than MAX_MESH_ENTRIES entries, of those that are no relays. They count as
# silent after RELAY_EXPIRY_S, and have no loads that could expire.
UNCHANGED_CROWD_INTERVAL_S = 1.5
RELAY_UPDATE_INTERVAL_S = 0.3  # with more than MAX_MESH_ENTRIES entries
RELAY_EXPIRY_S = 2.0
CRASH_REFRESH_S = 5.0  # repeats what an entry may have missed
OWNER_EXPIRY_S = 1.5  # two updates of an entry
LEASE_RETURN_S = 2.0  # from the end of a cut until leases are requested again
# The path is proved and the next update sent within it; shorter than half of the time
# to live, so that a suspicion is told once.
SUSPECT_NEWS_S = 0.45
SUSPECT_TTL_S = 1.0
CATCH_UPS_PER_TICK = 4  # entries that get the current facts again; others wait
PRESENCE_S = 7_200.0  # for which part of the limits is kept for a silent entry


class Gossip:
    """Sends the status updates of this entry and applies those of others.

    With up to ``MAX_MESH_ENTRIES`` entries, each sends its requests in progress to all
    others. With more, the relays, which also hold the leases, send all others the
    serving groups, the reports of their heads and the positions read from the store;
    the other entries send only their suspicions and facts, and only to the relays,
    which forward the facts.
    """

    def __init__(
        self,
        *,
        links: Links,
        addresses: Callable[[], dict[EntryId, str]],
        loads: LoadTracker,
        suspects: Suspects,
        quarantine: CrashQuarantine,
        limits: InstanceLimits,
        permits: SharedPermits,
        fleet: Fleet,
        fabrics: Fabrics,
        leases: DomainLeases,
        role: RelayRole,
        feeds: SharedFeeds,
        reach: Reachability,
        forward_peers: ForwardPeers,
        clock: Clock,
        facts: Facts | None = None,
    ) -> None:
        self._facts = facts or Facts(entry=role.name, clock=clock)
        self._facts.subscribe(SUSPECT, self._apply_suspicion)
        # Entries that were not heard for a while, which get the current facts.
        self._catch_ups: dict[EntryId, None] = {}
        self.role = role
        self._reach = reach
        self._forward_peers = forward_peers
        self._entry = role.name
        self._feeds = feeds
        self._links = links
        self._addresses = addresses
        self._loads = loads
        self._suspects = suspects
        self._quarantine = quarantine
        self._limits = limits
        self._permits = permits
        self._fleet = fleet
        self._fabrics = fabrics
        self._leases = leases
        self._clock = clock
        self._cut_off_reports: dict[EntryId, frozenset[ApplicationName]] = {}
        self._last_cut_off_s = float("-inf")
        self._store_lost_reports: dict[EntryId, tuple[float, bool]] = {}
        self._relay_update_s: dict[EntryId, float] = {}  # time of the latest update
        self._heard_s: dict[EntryId, float] = {}
        self._listed_s: dict[EntryId, float] = {}  # first seen among the addresses
        self._connected: set[str] = set()
        self._last_update: StatusUpdate | None = None
        self._last_sent_s = float("-inf")
        self._owners: frozenset[EntryId] = frozenset()  # of limits and crash keys
        self._refreshed_s = float("-inf")  # when notable crash keys were last sent
        self._members: frozenset[EntryId] | None = None  # others, in the quarantine
        self._was_mesh = True  # at the latest tick
        # Suspects of entries that are no relays, until this relay has told all others.
        self._told_suspects: dict[InstanceId, None] = {}
        self._timer: TimerHandle | None = None

    def start(self) -> None:
        """Open the links and start sending updates."""
        self._links.open(self._receive)
        self._permits.connect(self._send)
        self._tick()

    def set_key(self, key: bytes) -> None:
        """Authenticate all further updates with a key."""
        self._links.set_key(key)

    @property
    def counters(self) -> LinkCounters:
        """Return what was sent to and received from other entries since the start."""
        return self._links.counters

    def stop(self) -> None:
        """Stop sending updates and close the links."""
        if self._timer is not None:
            self._timer.cancel()
        self._links.close()

    def _tick(self) -> None:
        others = self._addresses()
        is_mesh = len(others) < MAX_MESH_ENTRIES
        self._clock.set_beat(None if is_mesh else UPDATE_INTERVAL_S)
        self._timer = self._clock.call_next(UPDATE_INTERVAL_S, self._tick)
        now_s = self._clock.now()
        self._loads.expire(now_s=now_s)
        self._leases.set_extended(self._all_entries_lost_store(now_s))
        if self._was_mesh and not is_mesh:
            self.role.begin(others=others, store_lost=self._leases.store_lost)
        self._was_mesh = is_mesh
        self._fabrics.is_crowd = not is_mesh
        self.role.update(
            others=others,
            store_lost=self._leases.store_lost,
            now_s=now_s,
            is_cut_off=bool(self._with_groups(self._reach.cut_off_services())),
            reaches_store=not (self._leases.store_lost or self._fleet.in_outage),
        )
        self._leases.set_participating(
            self.role.may_hold_leases and not self._should_release_leases(now_s)
        )
        self._feeds.set_following(not self.role.is_relay)
        self._update_permits(others, now_s)
        self._update_quarantine(others, now_s)
        heads = self._fabrics.heads()
        for head in heads:
            self._loads.record_pace(head.instance, pace=head.pace, now_s=now_s)
            if not is_mesh and head.load >= 0:
                # Others hear of these loads from this entry only.
                self._loads.record_instance_load(
                    head.instance, load=head.load, now_s=now_s
                )
                self._record_report(head, now_s)
        self._connect(self._recipients(is_mesh, now_s))
        update = StatusUpdate(
            loads=self._own_loads() if is_mesh else {},
            suspects=tuple(
                dict.fromkeys((*self._own_suspects(now_s), *self._told_suspects))
            ),
            traffic=self._fabrics.traffic_began,
            store_lost=self._leases.store_lost,
            heads=heads if not is_mesh else tuple(map(_without_load, heads)),
            relay=self.role.is_relay,
            cut_off=self._reach.cut_off_services(),
            leaving=self._fleet.leaving(),
        )
        self._facts.set_relays(
            self._owners, forwards=self.role.is_relay and not is_mesh
        )
        self._publish_suspicions(
            self._suspects.recently_suspected(since_s=now_s - SUSPECT_NEWS_S)
        )
        self._send_catch_ups(update)
        if not self._is_due(update, is_mesh, now_s):
            return
        self._last_update = update
        self._last_sent_s = now_s
        self._told_suspects.clear()
        if not is_mesh and self.role.is_relay and not update.store_lost:
            # Lease renewals detect a lost store sooner than a waiting read does.
            positions = self._feeds.own_positions(records=self.role.is_forwarding)
            update = msgspec.structs.replace(update, positions=positions)
        if self._limits.has_news:
            limits = self._limits.take_news()
            update = msgspec.structs.replace(update, limits=limits)
        if self._quarantine.has_news:
            reports = self._quarantine.take_reports(now_s=now_s)
            update = msgspec.structs.replace(update, crashes=reports)
        if self._facts.has_news:
            update = msgspec.structs.replace(update, facts=self._facts.take_news())
        if alive := self._owned_alive(now_s):
            update = msgspec.structs.replace(update, alive=alive)
        self._links.send_all(self._connected, update)

    def _own_loads(self) -> dict[InstanceId, int]:
        """Return the requests in progress, but for those that cannot proceed."""
        cut_off = self._reach.cut_off_services()
        loads = self._loads.own()
        return loads if not cut_off else self._without(loads, cut_off)

    def _own_suspects(self, now_s: float) -> tuple[InstanceId, ...]:
        """Return the suspects, but for those whose silence may be this entry's."""
        suspects = self._suspects.recently_suspected(
            since_s=now_s - 2 * UPDATE_INTERVAL_S
        )
        uncertain = self._reach.uncertain_services()
        if not uncertain:
            return suspects
        return tuple(self._without(dict.fromkeys(suspects), uncertain))

    def _publish_suspicions(self, instances: Iterable[InstanceId]) -> None:
        """Tell that instances do not answer, unless the path to them is in doubt."""
        uncertain = self._reach.uncertain_services()
        for name in instances:
            known = self._fleet.get(name)
            if known is not None and known.service not in uncertain:
                self._facts.put(SUSPECT, name, known.born_ms, ttl_s=SUSPECT_TTL_S)

    def _apply_suspicion(self, fact: Fact) -> None:
        """Avoid an instance that another entry suspects, in the same life."""
        known = self._fleet.get(InstanceId(fact.subject))
        if known is not None and known.born_ms == fact.value:
            self._suspects.suspected_by_peer(known.id, now_s=self._clock.now())

    def _send_catch_ups(self, update: StatusUpdate) -> None:
        """Send the current facts to some of the entries that may have missed them.

        Relays send those of all entries; each other entry sends its own.
        """
        if not self._catch_ups:
            return
        facts = self._facts.current(own_only=not self.role.is_relay)
        if not facts:
            self._catch_ups.clear()
            return
        update = msgspec.structs.replace(update, facts=facts)
        for entry in list(self._catch_ups)[:CATCH_UPS_PER_TICK]:
            del self._catch_ups[entry]
            self._send(entry, update)

    def _without(
        self, values: dict[InstanceId, int], services: Collection[ApplicationName]
    ) -> dict[InstanceId, int]:
        """Return the values of the instances of all other services."""
        return {
            name: value
            for name, value in values.items()
            if (known := self._fleet.get(name)) is None or known.service not in services
        }

    def _should_release_leases(self, now_s: float) -> bool:
        """Return whether another entry can control the groups and this one cannot.

        That ends a while after the path is back, so that leases do not move to and fro.
        """
        cut_off = self._with_groups(self._reach.cut_off_services())
        others = [
            services
            for entry, services in self._cut_off_reports.items()
            if now_s - self._relay_update_s.get(entry, float("-inf")) <= OWNER_EXPIRY_S
        ]
        if cut_off and any(not cut_off & services for services in others):
            self._last_cut_off_s = now_s
        return now_s - self._last_cut_off_s < LEASE_RETURN_S

    def _with_groups(self, services: Iterable[ApplicationName]) -> set[ApplicationName]:
        """Return those services whose instances form groups."""
        return {
            service
            for service in services
            if has_fabric(self._fleet.of_service(service))
        }

    def _recipients(self, is_mesh: bool, now_s: float) -> set[str]:
        """Return the addresses that receive the updates."""
        recipients = self._addresses()
        if not is_mesh and not self.role.is_relay:
            recipients = {
                name: address
                for name, address in recipients.items()
                if now_s - self._relay_update_s.get(name, float("-inf"))
                <= RELAY_EXPIRY_S
            }
        return {f"tcp://{address}" for address in recipients.values()}

    def _is_due(self, update: StatusUpdate, is_mesh: bool, now_s: float) -> bool:
        since_s = now_s - self._last_sent_s
        if not is_mesh and self.role.is_relay:
            return since_s >= RELAY_UPDATE_INTERVAL_S - UPDATE_INTERVAL_S / 2
        if self._quarantine.has_news or self._limits.has_news or self._facts.has_news:
            return True
        if update != self._last_update:
            return True
        if not is_mesh:
            return since_s >= UNCHANGED_CROWD_INTERVAL_S - UPDATE_INTERVAL_S / 2
        return since_s >= UNCHANGED_UPDATE_INTERVAL_S

    def _update_permits(self, others: dict[EntryId, str], now_s: float) -> None:
        """Update which entries own limits, and the part that this entry may issue."""
        self._limits.expire(present=self._fleet.get)
        owners = {
            name
            for name, updated_s in self._relay_update_s.items()
            if now_s - updated_s <= OWNER_EXPIRY_S and name in others
        }
        if self.role.is_relay:
            owners.add(self._entry)
        if self._listed_s.keys() != others.keys():
            self._listed_s = {name: self._listed_s.get(name, now_s) for name in others}
        expected = heard = 1
        for name, listed_s in self._listed_s.items():
            heard_s = self._heard_s.get(name, listed_s)
            expected += now_s - max(listed_s, heard_s) <= PRESENCE_S
            heard += self._is_heard(name, now_s)
        share = 1.0 if 2 * heard > expected else heard / expected
        self._owners = frozenset(owners)
        self._permits.set_members(owners=owners, share=share)

    def _is_heard(self, entry: EntryId, now_s: float) -> bool:
        return now_s - self._heard_s.get(entry, float("-inf")) <= RELAY_EXPIRY_S

    def _send(self, entry: EntryId, message: Message) -> bool:
        address = self._addresses().get(entry)
        return address is not None and self._links.send(f"tcp://{address}", message)

    def _update_quarantine(self, others: dict[EntryId, str], now_s: float) -> None:
        """Update members and lives, and repeat the notable keys of this entry."""
        if others.keys() != self._members:
            self._members = frozenset(others)
            members = {*others, self._entry}
            self._quarantine.set_members(entry=self._entry, members=members)
        self._quarantine.expire(now_s=now_s)
        if self._quarantine.has_lives:
            for instance in self._fleet.all():
                since_s = self._fleet.alive_since_s(instance.id)
                self._quarantine.record_alive(instance, since_s=since_s)
        if now_s - self._refreshed_s >= CRASH_REFRESH_S:
            self._refreshed_s = now_s
            self._forward_crashes(self._quarantine.notable())

    def _forward_crashes(self, keys: Collection[CrashKey]) -> None:
        for key in keys:
            if self._owns(key):
                self._quarantine.add_news(key)

    def _owned_alive(self, now_s: float) -> dict[int, int]:
        """Return the news of lives that this entry has to tell the others."""
        return {
            life: age_ms
            for life, age_ms in self._quarantine.take_alive(now_s=now_s).items()
            if self._owns(f"life/{life}")
        }

    def _owns(self, name: str) -> bool:
        return bool(self._owners) and owner_of(name, self._owners) == self._entry

    def _all_entries_lost_store(self, now_s: float) -> bool:
        """Return whether every entry that sent a recent update has lost the store."""
        recent = [
            lost
            for received_s, lost in self._store_lost_reports.values()
            if now_s - received_s <= PEER_REPORT_MAX_AGE_S
        ]
        return bool(recent) and all(recent)

    def _connect(self, wanted: set[str]) -> None:
        for address in wanted - self._connected:
            self._links.connect(address)
        for address in self._connected - wanted:
            self._links.disconnect(address)
        self._connected = wanted

    def _receive(self, sender: EntryId, message: Message) -> None:
        if isinstance(message, (PermitRequest, PermitReply)):
            self._permits.receive(sender, message)
            return
        if not isinstance(message, StatusUpdate):
            return
        now_s = self._clock.now()
        self._apply_news(sender, message, now_s)
        if self._was_mesh:
            # Entries of a crowd report no loads, which says nothing of them.
            self._loads.record_peer_loads(
                entry=sender, loads=message.loads, now_s=now_s
            )
        self._cut_off_reports[sender] = frozenset(message.cut_off)
        self._forward_peers.record_cut_off(sender, message.cut_off)
        for instance, born_ms in message.leaving.items():
            self._fleet.set_leaving(InstanceId(instance), born_ms)
        for instance in message.suspects:
            self._suspects.suspected_by_peer(InstanceId(instance), now_s=now_s)
        if self.role.is_relay and not message.relay:
            # An older build sends no facts, and its suspicions only to relays.
            self._publish_suspicions(map(InstanceId, message.suspects))
        if not (self._was_mesh or self._facts.is_shared):
            if self.role.is_relay and not message.relay:
                self._told_suspects |= dict.fromkeys(message.suspects)
        if message.traffic:
            self._fabrics.traffic_began = True
        if message.relay:
            # The store assigns leases only to entries that participate.
            self._store_lost_reports[sender] = (now_s, message.store_lost)
            self._relay_update_s[sender] = now_s
            self.role.record_relay_update(
                sender,
                now_s=now_s,
                is_cut_off=bool(self._with_groups(message.cut_off)),
                store_lost=message.store_lost,
            )
        else:
            self._permits.owner_left(sender)
        self._feeds.apply_positions(sender, message.positions)
        for head in message.heads:
            self._fleet.apply_peer_report(head.instance, _group_report(head, now_s))
            self._loads.record_pace(head.instance, pace=head.pace, now_s=now_s)
            if head.load >= 0:
                self._loads.record_instance_load(
                    head.instance, load=head.load, now_s=now_s
                )
                self._record_report(head, now_s)

    def _record_report(self, head: HeadStatus, now_s: float) -> None:
        if head.load >= 0:
            self._loads.record_report(
                head.instance,
                load=head.load,
                age_s=head.age_ms / MS_PER_S,
                now_s=now_s,
                used_tokens=max(head.used_tokens, 0),
                memory_tokens=max(head.memory_tokens, 0),
            )

    def _apply_news(self, sender: EntryId, message: StatusUpdate, now_s: float) -> None:
        """Apply the limits and crashes in an update, and forward those owned here.

        With relays, the others hear of a limit or a key only from its owner. An entry
        that was not heard for a while is told all that it may have missed.
        """
        if not self._is_heard(sender, now_s):
            for instance in self._limits.current():
                self._forward_limit(instance)
            for key in self._quarantine.notable():
                self._quarantine.add_news(key)
            if self._facts.is_shared:
                self._catch_ups[sender] = None
        self._heard_s[sender] = now_s
        self._facts.apply(message.facts, source=sender)
        is_mesh = len(self._addresses()) < MAX_MESH_ENTRIES
        for report in message.limits:
            has_changed = self._limits.apply_report(report, source=sender)
            if has_changed and not is_mesh:
                self._forward_limit(report.instance)
        changed = self._quarantine.merge(message.crashes, now_s=now_s)
        if not is_mesh:
            self._forward_crashes(set(changed) & set(self._quarantine.notable()))
        self._quarantine.merge_alive(message.alive, now_s=now_s)

    def _forward_limit(self, instance: InstanceId) -> None:
        if self._owns(instance):
            self._limits.add_news(instance)


def _without_load(head: HeadStatus) -> HeadStatus:
    return msgspec.structs.replace(
        head, load=NO_LOAD, age_ms=0, used_tokens=0, memory_tokens=0
    )


def _group_report(head: HeadStatus, now_s: float) -> PeerGroupReport:
    membership = Membership(
        group=head.group, epoch=head.epoch, rank=0, phase=Phase.OPEN
    )
    return PeerGroupReport(membership, (head.model,), now_s)
