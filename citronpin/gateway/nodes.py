"""A gateway node: the components of one process, and its start and stop."""

import logging
import random
import signal
from abc import ABC, abstractmethod
from enum import Enum
from functools import partial

import msgspec
from circuits import Component, handler
from circuits.core.pollers import EPoll

from citronpin.basics.clocks import MS_PER_S, Clock, ClockTask
from citronpin.basics.hangups import ignore_hangups, replace_hangup_handler
from citronpin.basics.ids import EntryId, FailureDomainName, InstanceId
from citronpin.basics.loop_faults import LoopFaults, call_each
from citronpin.basics.loop_lags import LoopLag
from citronpin.basics.metrics import Metrics, ReadCounter
from citronpin.gateway.admission_levels import (
    AdmissionPolicy,
    LevelAdmission,
    OpenAdmission,
)
from citronpin.gateway.budgets import RetryBudget
from citronpin.gateway.capacities import FleetCapacity
from citronpin.gateway.cold_starts import ColdStarts
from citronpin.gateway.contexts import ExchangeContext
from citronpin.gateway.evacuations import Evacuations
from citronpin.gateway.fabrics import Fabrics
from citronpin.gateway.facts import COLD, Facts
from citronpin.gateway.fingerprints import Fingerprints, is_fingerprint
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.forward_codecs import ForwardCodec
from citronpin.gateway.forward_peers import ForwardPeer, ForwardPeers
from citronpin.gateway.fronts import ForwardHandler, FrontHandler
from citronpin.gateway.gossips import Gossip
from citronpin.gateway.group_works import GroupWorks
from citronpin.gateway.instance_gates import InstanceGate
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import FirstEventTimes, ObjectiveLoadLimit
from citronpin.gateway.permits import SharedPermits
from citronpin.gateway.placers import LeastLoaded, PlacementPolicy, Placer
from citronpin.gateway.planners import SparePlanner
from citronpin.gateway.ports import (
    DomainLeases,
    HeaderNames,
    InstanceControl,
    SharedFeeds,
)
from citronpin.gateway.quarantines import ConsecutiveCrashes, CrashQuarantine
from citronpin.gateway.reachabilities import Reachability
from citronpin.gateway.relays import MachineCapacity, RelayRole
from citronpin.gateway.request_costs import RequestCosts
from citronpin.gateway.request_logs import RequestLog
from citronpin.gateway.rests import InstanceRests
from citronpin.gateway.routings import GatewayConfig, RoutingTable
from citronpin.gateway.slow_readers import BoundedReaders, UnboundedReaders
from citronpin.gateway.spent_times import CommonDeadlines, VariedDeadlines
from citronpin.gateway.suspects import Suspects
from citronpin.gateway.token_memories import (
    ReportedMemory,
    SlotsOnly,
    TokenMemory,
)
from citronpin.gateway.withdrawals import Withdrawals
from citronpin.gateway.work_placers import WorkPlacer
from citronpin.peers.links import LinkCounters, Links, NngLinks
from citronpin.peers.messages import Fact
from citronpin.web.clients import HttpClient
from citronpin.web.http_conns import MAX_CONNECTIONS, ServerLimits
from citronpin.web.process_limits import ConnectionShares, ProcessLimits, make_account
from citronpin.web.routes import Routes
from citronpin.web.servers import HttpHandler, HttpRequest, Reply, WebServer

logger = logging.getLogger(__name__)

READY_PATH = "/v1/readyz"
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"
STALL_CHECK_INTERVAL_S = 0.05
BODY_TIMEOUT_S = 15.0  # to receive a request body after its headers
STOP_CHECK_INTERVAL_S = 0.1
# The balancer probes every second and removes an entry at the second failure.
BALANCER_REMOVAL_S = 2.6
FORWARDED_HEADER_BYTES = 4 * 1024  # in addition to the headers of the caller
CONTROL_BODY_BYTES = 16 * 1024  # of requests to the ports for readiness and metrics
# Metrics of what became of clients, summed over the ports.
CLIENT_COUNTERS = {
    "evicted_senders": "Requests refused before their end, for the room of others.",
    "evicted_readers": "Answers ended that were not read, for the room of others.",
    "accept_pauses": "Times at which no connection was left to accept.",
    "crowded_out": "Connections closed without progress, for those of others.",
    "slow_senders": "Requests that were not received whole in time.",
    "slow_readers": "Answers of which the client took nothing for too long.",
    "write_overflows": "Streams that the client read too slowly.",
}
KILL_MARGIN_S = 0.8  # the interpreter takes up to 0.3 s to end


class AdmissionKind(Enum):
    """Which requests are refused when a model has too few slots."""

    OPEN = "open"  # those that find no slot
    LEVELS = "levels"  # the least urgent


class MemoryKind(Enum):
    """What instances are assumed to have room for."""

    SLOTS = "slots"  # a request per slot
    # The tokens of requests. Callers that do not read their answers are disconnected.
    TOKENS = "tokens"


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a node that are fixed at its start; addresses are ``IP:PORT``."""

    name: EntryId
    failure_domain: FailureDomainName
    front: str  # for callers
    ready: str  # for the readiness probes of the balancer
    peers: str  # for messages from other entries
    forward: str  # for requests of callers that other entries pass on
    metrics: str
    heartbeat_s: float  # interval at which instances renew their registrations
    grace_s: float  # from the stop signal until the process is killed
    repeat_ratio: float  # retries per request, over all entries
    repeat_slack: float  # retries allowed beyond the ratio, over all entries
    repeat_window_s: float
    # Whether entries tell each other of unreachable instances and withdrawn groups.
    share_facts: bool = False
    placement: PlacementPolicy = PlacementPolicy.LEAST_LOADED
    admission: AdmissionKind = AdmissionKind.OPEN
    varied_deadlines: bool = False  # callers of a route start with times that differ
    memory: MemoryKind = MemoryKind.SLOTS
    process: ProcessLimits = ProcessLimits()


class PlatformConnector(ABC):
    """Connects a node to a platform."""

    names: HeaderNames
    control: InstanceControl
    leases: DomainLeases
    feeds: SharedFeeds

    @abstractmethod
    def start(self, node: "GatewayNode") -> None:
        """Start to feed configuration, instances and peers to the node."""

    @abstractmethod
    def release_leases(self) -> None:
        """Release the leases of the node at the start of a planned stop."""

    @abstractmethod
    def stop(self) -> None:
        """Stop all reading from the platform."""

    @abstractmethod
    def peer_addresses(self) -> dict[EntryId, str]:
        """Return the addresses at which other entries receive messages."""

    @abstractmethod
    def capacity_of(self, entry: EntryId) -> MachineCapacity:
        """Return what the machine of an entry gives it, as the entry announced."""

    @abstractmethod
    def forward_peers(self) -> tuple[ForwardPeer, ...]:
        """Return the other entries that take requests from entries."""

    @abstractmethod
    def reload(self) -> None:
        """Apply changed settings."""


class GatewayNode(Component):
    """Serves callers and manages the groups of leased fabric domains in one process."""

    channel = "gateway"

    def __init__(
        self,
        *,
        cfg: NodeSettings,
        clock: Clock,
        client: HttpClient,
        connector: PlatformConnector,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.clock = clock
        self.connector = connector
        self.suspects = Suspects()
        self.fleet = Fleet(on_rejoined=self.suspects.discard)
        self.loads = LoadTracker()
        self.quarantine = CrashQuarantine(policy=ConsecutiveCrashes())
        self.cold_starts = ColdStarts(now=clock.now, fleet=self.fleet)
        self.cold_starts.traffic_began = lambda: self.fabrics.traffic_began
        self.limits = InstanceLimits(now=clock.now, cold_starts=self.cold_starts)
        self.rests = InstanceRests(now=clock.now)
        self.facts = Facts(entry=cfg.name, clock=clock, is_shared=cfg.share_facts)
        self.withdrawals = Withdrawals(facts=self.facts)
        self.cold_starts.on_told = self._publish_cold
        self.facts.subscribe(COLD, self._apply_cold)
        self.evacuations = Evacuations(now=clock.now)
        self.gate = InstanceGate(
            fleet=self.fleet,
            limits=self.limits,
            rests=self.rests,
            suspects=self.suspects,
            clock=clock,
            withdrawals=self.withdrawals,
            evacuations=self.evacuations,
        )
        self.permits = SharedPermits(entry=cfg.name, limits=self.limits, clock=clock)
        self.fingerprints = Fingerprints()
        self.metrics = Metrics()
        self.account = make_account(cfg.process)
        self._shares = ConnectionShares.of(cfg.process)
        client.max_connections = self._shares.outgoing
        self._add_account_gauges()
        self.loop_lag = LoopLag(clock=clock)
        self.loop_faults = LoopFaults().register(self)
        self.metrics.gauges.add(
            "loop_faults",
            "Exceptions that reached the event loop.",
            lambda: self.loop_faults.count,
        )
        self.metrics.gauges.add(
            "loop_blocked_seconds",
            "Seconds for which the event loop did not run, in pauses of 0.25 or more.",
            lambda: self.loop_lag.total_s,
        )
        self.metrics.gauges.add(
            "quarantined_parts",
            "Parts of prompts that are kept out, since instances crash under them.",
            lambda: self._count_quarantined("part"),
        )
        self.metrics.gauges.add(
            "quarantined_requests",
            "Requests that are kept out, since instances crash under them.",
            lambda: self._count_quarantined("fingerprint"),
        )
        self.metrics.gauges.add(
            "limited_instances",
            "Instances that name a limit on their requests per second.",
            lambda: len(self.limits.current()),
        )
        self.metrics.gauges.add(
            "resting_instances",
            "Instances that want no request from this entry now.",
            self.rests.count,
        )
        self.metrics.gauges.add(
            "shared_facts",
            "Facts of all entries that are kept now.",
            lambda: self.facts.count,
        )
        self.metrics.gauges.add(
            "shared_facts_dropped",
            "Facts that were malformed, or too many to keep, since the start.",
            lambda: self.facts.dropped,
        )
        self.metrics.gauges.add(
            "withdrawn_groups",
            "Groups that get no more requests, whatever their registrations say.",
            lambda: self.withdrawals.count,
        )
        self.metrics.gauges.add(
            "cold_instances",
            "Instances that take only some requests per second since they are cold.",
            lambda: len(self.cold_starts.current()),
        )
        self.metrics.gauges.add(
            "evacuated_domains",
            "Failure domains whose instances get no requests.",
            lambda: len(self.evacuations.domains()),
        )
        self._rng = rng or random.Random()
        self.reach = Reachability(
            fleet=self.fleet,
            client=client,
            control=connector.control,
            clock=clock,
            rng=self._rng,
        )
        self.forward_peers = ForwardPeers(
            failure_domain=cfg.failure_domain, clock=clock, rng=self._rng
        )
        self.forward_codec = ForwardCodec(entry=cfg.name)
        self.metrics.gauges.add(
            "cut_off_services",
            "Services of which this entry reaches no instance.",
            lambda: len(self.reach.cut_off_services()),
        )
        self.metrics.gauges.add(
            "forwarded_requests",
            "Requests in progress that other entries passed on.",
            lambda: sum(x.is_forwarded for x in self.context.open_exchanges),
        )
        self._stopping_s: float | None = None
        self._leases_released = False
        self._is_fleet_checked = False
        self.gossip: Gossip | None = None
        EPoll().register(self)
        ClockTask(clock=clock).register(self)
        client.register(self)
        self.client = client
        self.memory = self._make_memory()
        self.context = self._make_context()
        self._add_admission_metrics()
        self._add_memory_gauges()
        self._add_peer_gauges()
        self.front = FrontHandler(context=self.context)
        self.forwarded = ForwardHandler(context=self.context, codec=self.forward_codec)
        self.fabrics = Fabrics(
            fleet=self.fleet,
            planner=SparePlanner(),
            control=connector.control,
            leases=connector.leases,
            suspects=self.suspects,
            loads=self.loads,
            clock=clock,
            heartbeat_s=cfg.heartbeat_s,
            reach=self.reach,
            withdrawals=self.withdrawals,
            evacuations=self.evacuations,
            cold_starts=self.cold_starts,
        )
        self._add_servers()
        clock.call_later(0.0, self._start_components)

    def _make_memory(self) -> TokenMemory:
        if self.cfg.memory is MemoryKind.SLOTS:
            return SlotsOnly()
        return ReportedMemory(loads=self.loads)

    def _make_context(self) -> ExchangeContext:
        first_event_times = FirstEventTimes()
        costs = works = None
        checks_tokens = self.cfg.memory is MemoryKind.TOKENS
        is_by_work = self.cfg.placement is PlacementPolicy.REMAINING_WORK
        if checks_tokens or is_by_work:
            costs = RequestCosts()
        if is_by_work:
            works = GroupWorks(
                loads=self.loads,
                costs=costs,
                entry_count=lambda: self.context.entry_count,
                ratios=self.metrics.ratios,
            )
        return ExchangeContext(
            clock=self.clock,
            client=self.client,
            names=self.connector.names,
            fleet=self.fleet,
            placer=self._make_placer(first_event_times, works),
            loads=self.loads,
            suspects=self.suspects,
            quarantine=self.quarantine,
            limits=self.limits,
            rests=self.rests,
            gate=self.gate,
            permits=self.permits,
            fingerprints=self.fingerprints,
            first_event_times=first_event_times,
            reach=self.reach,
            forward_peers=self.forward_peers,
            forward_codec=self.forward_codec,
            log=RequestLog(metrics=self.metrics),
            rng=self._rng,
            make_budget=self._make_budget,
            withdrawals=self.withdrawals,
            costs=costs,
            works=works,
            admission=self._make_admission(),
            account=self.account,
            spent_times=(
                VariedDeadlines() if self.cfg.varied_deadlines else CommonDeadlines()
            ),
            readers=BoundedReaders() if checks_tokens else UnboundedReaders(),
        )

    def _make_placer(
        self, first_event_times: FirstEventTimes, works: GroupWorks | None
    ) -> Placer:
        limit_policy = ObjectiveLoadLimit(first_event_times=first_event_times)
        if works is None:
            return LeastLoaded(
                fleet=self.fleet,
                loads=self.loads,
                gate=self.gate,
                failure_domain=self.cfg.failure_domain,
                rng=self._rng,
                limit_policy=limit_policy,
                memory=self.memory,
            )
        return WorkPlacer(
            fleet=self.fleet,
            loads=self.loads,
            works=works,
            gate=self.gate,
            failure_domain=self.cfg.failure_domain,
            rng=self._rng,
            limit_policy=limit_policy,
            memory=self.memory,
        )

    def _make_admission(self) -> AdmissionPolicy:
        if self.cfg.admission is AdmissionKind.OPEN:
            return OpenAdmission()
        capacities = FleetCapacity(fleet=self.fleet, loads=self.loads, gate=self.gate)
        return LevelAdmission(capacities=capacities, rng=self._rng)

    def _add_memory_gauges(self) -> None:
        if self.cfg.memory is MemoryKind.SLOTS:
            return
        self.metrics.gauges.add(
            "fullest_memory_share",
            "Tokens held at the fullest instance as a share of its memory, by reports.",
            self.memory.fullest_share,
        )
        self.metrics.gauges.add(
            "memory_refusals",
            "Requests refused since the start, for whose tokens no memory was left.",
            lambda: self.context.memory_refusals,
        )

    def _add_peer_gauges(self) -> None:
        add = self.metrics.gauges.add
        add(
            "peer_bytes_sent",
            "Bytes of messages to other entries since the start.",
            lambda: self._link_counters.sent_bytes,
        )
        add(
            "peer_messages_dropped",
            "Messages that other entries or the link did not take, since the start.",
            lambda: self._link_counters.dropped,
        )
        add(
            "relay",
            "Whether this entry reads the store for others, 0 or 1.",
            lambda: int(self.gossip is not None and self.gossip.role.is_relay),
        )

    @property
    def _link_counters(self) -> LinkCounters:
        return LinkCounters() if self.gossip is None else self.gossip.counters

    def _add_admission_metrics(self) -> None:
        if self.cfg.admission is AdmissionKind.OPEN:
            return
        admission = self.context.admission
        self.metrics.gauges.add(
            "admission_level",
            "Share of requests refused by priority, of the model where it is largest.",
            admission.level,
        )
        self.metrics.add(
            ReadCounter(
                name="admissions",
                doc="Requests for models by priority and result of their admission.",
                labels=["target", "priority", "result"],
                read=admission.counts,
            )
        )

    def _add_account_gauges(self) -> None:
        account, add = self.account, self.metrics.gauges.add
        add(
            "held_bytes",
            "Bytes of requests and answers that the process holds for others.",
            lambda: account.held_bytes,
        )
        add(
            "held_bytes_capacity",
            "Bytes that the process may hold for others.",
            lambda: account.capacity_bytes,
        )
        add(
            "held_bytes_peak",
            "Most bytes that the process held for others since its start.",
            lambda: account.peak_bytes,
        )
        add(
            "requests_waiting_for_room",
            "Requests that are not read on, since the bytes held leave no room.",
            lambda: account.waiting,
        )
        for name, doc in CLIENT_COUNTERS.items():
            add(name, doc, lambda name=name: self._client_count(name))

    def _client_count(self, name: str) -> int:
        return sum(server.http.counters.get(name, 0) for server in self.servers)

    def _publish_cold(self, instance: FleetInstance, remaining_s: float) -> None:
        self.facts.put(COLD, instance.id, instance.born_ms, ttl_s=remaining_s)

    def _apply_cold(self, fact: Fact) -> None:
        """Learn that an instance told another entry that it is cold."""
        known = self.fleet.get(InstanceId(fact.subject))
        if known is not None and known.born_ms == fact.value:
            self.cold_starts.apply_fact(
                known.id, remaining_s=fact.ttl_ms / MS_PER_S, source=fact.source
            )

    def _count_quarantined(self, field: str) -> int:
        rows = self.quarantine.rows(now_s=self.clock.now())
        return sum(field in row for row in rows)

    def _make_budget(self) -> RetryBudget:
        return RetryBudget(
            ratio=self.cfg.repeat_ratio,
            slack=self.cfg.repeat_slack,
            window_s=self.cfg.repeat_window_s,
        )

    def _add_servers(self) -> None:
        routes = Routes()
        routes.add("GET", READY_PATH, self._answer_ready)
        routes.add("GET", METRICS_PATH, self._answer_metrics)
        routes.add("GET", "/admin", self._list_views)
        routes.add("GET", "/admin/limits", self._answer_limits)
        routes.add("GET", "/admin/evacuations", self._answer_evacuations)
        routes.add("GET", "/admin/quarantines", self._answer_quarantines)
        routes.add("POST", "/admin/quarantines/{key}/release", self._release_key)
        shares = self._shares
        callers = ServerLimits(connections=min(shares.callers, MAX_CONNECTIONS))
        entries = ServerLimits(connections=min(shares.entries, MAX_CONNECTIONS))
        self.server = self._serve(self.cfg.front, self.front, "front", callers)
        self.forward_server = self._serve(
            self.cfg.forward, self.forwarded, "forward", entries
        )
        self.servers = (
            self.server,
            self.forward_server,
            self._serve_control(self.cfg.ready, routes, "ready"),
            self._serve_control(self.cfg.metrics, routes, "metrics"),
        )

    def _serve(
        self,
        address: str,
        target: HttpHandler,
        channel: str,
        limits: ServerLimits,
        is_control: bool = False,
    ) -> WebServer:
        host, _, port = address.rpartition(":")
        return WebServer(
            bind=(host, int(port)),
            target=target,
            clock=self.clock,
            limits=limits,
            channel=channel,
            account=self.account,
            is_control=is_control,
        ).register(self)

    def _serve_control(
        self, address: str, target: HttpHandler, channel: str
    ) -> WebServer:
        limits = ServerLimits(
            body_bytes=CONTROL_BODY_BYTES, connections=self._shares.control
        )
        return self._serve(address, target, channel, limits, is_control=True)

    def _start_components(self) -> None:
        logger.info("start", extra={"front": self.cfg.front, "peers": self.cfg.peers})
        self.loop_lag.start()
        self.connector.start(self)
        self.fabrics.start()
        self._check_traffic_and_stalls()

    def _answer_ready(self, req: HttpRequest, reply: Reply) -> None:
        reply.send_response(200 if self.ready else 503)

    def _answer_metrics(self, req: HttpRequest, reply: Reply) -> None:
        reply.send_response(200, self.metrics.text(), METRICS_TYPE)

    def _list_views(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, ["quarantines", "limits", "evacuations"])

    def _answer_limits(self, req: HttpRequest, reply: Reply) -> None:
        rows = [
            self.limits.row(instance) | {"owner": self.permits.owner(name)}
            for name in {*self.limits.current(), *self.cold_starts.current()}
            if (instance := self.fleet.get(name)) is not None
        ]
        reply.json(200, rows)

    def _answer_evacuations(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, self.evacuations.rows())

    def _answer_quarantines(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, self.quarantine.rows(now_s=self.clock.now()))

    def _release_key(self, req: HttpRequest, reply: Reply, key: str) -> None:
        if not self.quarantine.release(key, now_s=self.clock.now()):
            reply.json(404, {"detail": f"{key} is not under suspicion."})
            return
        if is_fingerprint(key):
            logger.warning(
                "request released by an operator", extra={"fingerprint": key}
            )
        else:
            logger.warning("prompt part released by an operator", extra={"part": key})
        reply.json(200, {"released": key})

    @property
    def ready(self) -> bool:
        """Return whether the balancer may send new callers."""
        is_loaded = self.context.table is not None and self.fleet.is_loaded
        return is_loaded and self._stopping_s is None

    @property
    def is_forwarding(self) -> bool:
        """Return whether other entries rely on the records that this one forwards."""
        return self.gossip is not None and self.gossip.role.is_forwarding

    def apply_config(self, cfg: GatewayConfig) -> None:
        """Apply a newer configuration version."""
        table = RoutingTable(cfg=cfg)
        self.context.table = table
        self.context.admission.apply_table(table)
        self.fabrics.table = table
        self.cold_starts.set_services(cfg.services)
        limits = ServerLimits(
            body_bytes=cfg.limits.body_bytes,
            header_bytes=cfg.limits.header_bytes,
            request_timeout_s=cfg.limits.header_timeout_s + BODY_TIMEOUT_S,
            idle_timeout_s=cfg.limits.idle_timeout_s,
        )
        self.server.http.set_limits(limits)
        self.forward_server.http.set_limits(
            msgspec.structs.replace(
                limits, header_bytes=limits.header_bytes + FORWARDED_HEADER_BYTES
            )
        )
        logger.info(
            "configuration in force",
            extra={"version": cfg.version, "routes": len(cfg.routes)},
        )

    def update_peers(self, frame_key: bytes | None) -> None:
        """Update the number of entries, and start gossip once a frame key is known."""
        self._update_entry_count()
        self.forward_peers.set_peers(self.connector.forward_peers())
        if frame_key is None or self._stopping_s is not None:
            return
        self.fingerprints.set_key(frame_key)
        self.forward_codec.set_key(frame_key)
        if self.gossip is not None:
            self.gossip.set_key(frame_key)
            return
        self.gossip = Gossip(
            links=self._make_links(frame_key),
            addresses=self.connector.peer_addresses,
            loads=self.loads,
            suspects=self.suspects,
            quarantine=self.quarantine,
            limits=self.limits,
            permits=self.permits,
            fleet=self.fleet,
            fabrics=self.fabrics,
            leases=self.connector.leases,
            role=RelayRole(name=self.cfg.name, capacity_of=self.connector.capacity_of),
            feeds=self.connector.feeds,
            reach=self.reach,
            forward_peers=self.forward_peers,
            clock=self.clock,
            facts=self.facts,
        )
        self.gossip.start()

    def _make_links(self, frame_key: bytes) -> Links:
        """Return the links to the other entries."""
        return NngLinks(
            entry=self.cfg.name,
            listen=f"tcp://{self.cfg.peers}",
            key=frame_key,
            clock=self.clock,
        ).register(self)

    def _update_entry_count(self) -> None:
        known = len(self.connector.peer_addresses())
        self.context.entry_count = max(known, self.loads.peer_count()) + 1

    def _check_traffic_and_stalls(self) -> None:
        if self.context.open_exchanges:
            call = self.clock.call_later
        else:
            call = self.clock.call_next  # requests stall 0.3 s after their start
        call(STALL_CHECK_INTERVAL_S, self._check_traffic_and_stalls)
        now_s = self.clock.now()
        if not self._is_fleet_checked and self.fleet.is_loaded:
            self._is_fleet_checked = True
            if any(instance.is_serving_head for instance in self.fleet.all()):
                # Groups already serve, so traffic has begun before this start.
                self.fabrics.traffic_began = True
        if self.context.open_exchanges:
            self.fabrics.traffic_began = True
        self.rests.expire()
        self.context.admission.update(now_s=now_s)
        exchanges = list(self.context.open_exchanges)
        call_each(partial(exchange.check_stall, now_s) for exchange in exchanges)
        call_each(exchange.check_quarantine for exchange in exchanges)

    def run_until_stopped(self) -> None:
        """Run the event loop in the main thread, the only one that receives signals.

        circuits handles the termination signals itself. A hangup signal that was
        recorded before makes the node reload once.
        """
        replace_hangup_handler(self._signal_handler)
        self.run()
        ignore_hangups()

    @handler("signal", channel="*")
    def _on_signal(self, event, number, frame) -> None:
        if number in (signal.SIGTERM, signal.SIGINT):
            event.stop()
            self.drain()
        elif number == signal.SIGHUP:
            event.stop()
            logger.info("reload")
            self.connector.reload()

    def drain(self) -> None:
        """Fail readiness probes, finish the requests in progress and stop."""
        if self._stopping_s is not None:
            return
        self._stopping_s = self.clock.now()
        logger.info("stop", extra={"in_progress": len(self.context.open_exchanges)})
        self.forwarded.stop()
        self.front.stop_by(self._stopping_s + self.cfg.grace_s - KILL_MARGIN_S)
        self._wait_until_drained()

    def _release_leases(self) -> None:
        """Release the leases to other entries."""
        if self._leases_released:
            return
        self._leases_released = True
        self.fabrics.stop()
        self.connector.release_leases()

    def _wait_until_drained(self) -> None:
        timer = self.clock.call_later(STOP_CHECK_INTERVAL_S, self._wait_until_drained)
        if not self.connector.leases.store_lost:
            # While the store is unreachable, no other entry could acquire them.
            self._release_leases()
        waited_s = self.clock.now() - self._stopping_s
        in_progress = self._open_replies
        if waited_s >= BALANCER_REMOVAL_S:
            self.server.http.close_idle()
        is_removed = waited_s >= BALANCER_REMOVAL_S + STOP_CHECK_INTERVAL_S
        if self._is_grace_over or (not in_progress and is_removed):
            logger.info("stopped", extra={"in_progress": in_progress})
            timer.cancel()
            if self._is_grace_over:
                exchanges = list(self.context.open_exchanges)
                call_each(exchange.end_with_process for exchange in exchanges)
            self.clock.call_later(STOP_CHECK_INTERVAL_S, self._finish)

    @property
    def _open_replies(self) -> int:
        """Return the requests in progress, of callers and of other entries."""
        servers = (self.server, self.forward_server)
        return sum(server.http.open_replies for server in servers)

    @property
    def _is_grace_over(self) -> bool:
        waited_s = self.clock.now() - self._stopping_s
        return waited_s >= self.cfg.grace_s - KILL_MARGIN_S

    def _finish(self) -> None:
        if self._open_replies and not self._is_grace_over:
            # A request arrived after the last check, on a connection not yet closed.
            self._wait_until_drained()
            return
        calls = [self._release_leases]
        calls += [x.end_with_process for x in self.context.open_exchanges]
        calls.append(self.connector.stop)
        if self.gossip is not None:
            calls.append(self.gossip.stop)
        calls += [self.client.close_all, self.stop]
        call_each(calls)
