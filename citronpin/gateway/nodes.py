"""A node of the gateway: all tasks of one process wired together."""

import logging
import random
import signal
from abc import ABC, abstractmethod

import msgspec
from circuits import Component, handler
from circuits.core.pollers import EPoll

from citronpin.basics.clocks import Clock, ClockTask
from citronpin.basics.ids import EntryId, FailureDomainName
from citronpin.basics.metrics import Metrics
from citronpin.gateway.budgets import RetryBudget
from citronpin.gateway.exchanges import ExchangeContext
from citronpin.gateway.fabrics import Fabrics
from citronpin.gateway.fleets import Fleet
from citronpin.gateway.fronts import FrontHandler
from citronpin.gateway.gossips import Gossip
from citronpin.gateway.loadbooks import LoadTracker
from citronpin.gateway.overloads import FirstEventTimes, ObjectiveLoadLimit
from citronpin.gateway.placers import LeastLoaded
from citronpin.gateway.planners import SparePlanner
from citronpin.gateway.ports import (
    DomainLeases,
    HeaderNames,
    InstanceControl,
    SharedFeeds,
)
from citronpin.gateway.relays import RelayRole
from citronpin.gateway.request_logs import RequestLog
from citronpin.gateway.routings import GatewayConfig, RoutingTable
from citronpin.gateway.stream_exchanges import StreamExchange
from citronpin.gateway.suspects import Suspects
from citronpin.peers.links import NngLinks
from citronpin.web.clients import HttpClient
from citronpin.web.http_conns import ServerLimits
from citronpin.web.routes import Routes
from citronpin.web.servers import HttpRequest, Reply, WebServer

logger = logging.getLogger(__name__)

READY_PATH = "/v1/readyz"
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"
STALL_CHECK_S = 0.05
BODY_TIMEOUT_S = 15.0  # for a body after its head
STOP_TICK_S = 0.1
LEAVE_ROTATION_S = 2.6  # the balancer asks every second and believes the second miss
STOP_MARGIN_S = 0.4  # before the process is killed


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a node learns at its start; addresses are ``IP:PORT``."""

    name: EntryId
    failure_domain: FailureDomainName
    front: str  # for callers
    ready: str  # for the balancer's question
    peers: str  # for messages of other entries
    metrics: str
    heartbeat_s: float  # of the instances' entries
    grace_s: float  # from the order to stop until the process is killed
    repeat_ratio: float  # of sends beyond the first to requests, over all entries
    repeat_slack: float
    repeat_window_s: float


class PlatformConnector(ABC):
    """Connects a node to a platform."""

    names: HeaderNames
    control: InstanceControl
    leases: DomainLeases
    feeds: SharedFeeds

    @abstractmethod
    def start(self, node: "GatewayNode") -> None:
        """Begin to feed configuration, instances and peers to the node."""

    @abstractmethod
    def leave(self) -> None:
        """Hand over what the node holds, at the beginning of a planned stop."""

    @abstractmethod
    def stop(self) -> None:
        """End all reading."""

    @abstractmethod
    def peer_addresses(self) -> dict[EntryId, str]:
        """Return where the other entries take messages."""

    @abstractmethod
    def reload(self) -> None:
        """Take changed settings."""


class GatewayNode(Component):
    """One process that serves callers and decides on fabric domains."""

    channel = "gateway"

    def __init__(
        self,
        *,
        cfg: NodeSettings,
        clock: Clock,
        client: HttpClient,
        adapter: PlatformConnector,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.clock = clock
        self.adapter = adapter
        self.suspects = Suspects()
        self.fleet = Fleet(on_rejoined=self.suspects.forget)
        self.loads = LoadTracker()
        self.metrics = Metrics()
        self._rng = rng or random.Random()
        self._stopping_s: float | None = None
        self._handed_over = False
        self._fleet_seen = False
        self.gossip: Gossip | None = None
        EPoll().register(self)
        ClockTask(clock=clock).register(self)
        client.register(self)
        self.client = client
        self.context = self._make_context()
        self.front = FrontHandler(context=self.context)
        self.fabrics = Fabrics(
            fleet=self.fleet,
            planner=SparePlanner(),
            control=adapter.control,
            leases=adapter.leases,
            suspects=self.suspects,
            loads=self.loads,
            clock=clock,
            heartbeat_s=cfg.heartbeat_s,
        )
        self._add_servers()
        clock.call_later(0.0, self._begin)

    def _make_context(self) -> ExchangeContext:
        times = FirstEventTimes()
        placer = LeastLoaded(
            fleet=self.fleet,
            loads=self.loads,
            suspects=self.suspects,
            failure_domain=self.cfg.failure_domain,
            rng=self._rng,
            limit_policy=ObjectiveLoadLimit(times=times),
        )
        return ExchangeContext(
            clock=self.clock,
            client=self.client,
            names=self.adapter.names,
            fleet=self.fleet,
            placer=placer,
            loads=self.loads,
            suspects=self.suspects,
            times=times,
            log=RequestLog(metrics=self.metrics),
            rng=self._rng,
            make_budget=self._make_budget,
        )

    def _make_budget(self) -> RetryBudget:
        return RetryBudget(
            ratio=self.cfg.repeat_ratio,
            slack=self.cfg.repeat_slack,
            window_s=self.cfg.repeat_window_s,
        )

    def _add_servers(self) -> None:
        pages = Routes()
        pages.add("GET", READY_PATH, self._answer_ready)
        pages.add("GET", METRICS_PATH, self._answer_metrics)
        self.server = self._serve(self.cfg.front, self.front, "front")
        self.servers = (
            self.server,
            self._serve(self.cfg.ready, pages, "ready"),
            self._serve(self.cfg.metrics, pages, "metrics"),
        )

    def _serve(self, address: str, target, channel: str) -> WebServer:
        host, _, port = address.rpartition(":")
        return WebServer(
            bind=(host, int(port)), target=target, clock=self.clock, channel=channel
        ).register(self)

    def _begin(self) -> None:
        logger.info("start", extra={"front": self.cfg.front, "peers": self.cfg.peers})
        self.adapter.start(self)
        self.fabrics.start()
        self._check_stalls()

    def _answer_ready(self, req: HttpRequest, reply: Reply) -> None:
        reply.whole(200 if self.ready else 503)

    def _answer_metrics(self, req: HttpRequest, reply: Reply) -> None:
        reply.whole(200, self.metrics.text(), METRICS_TYPE)

    @property
    def ready(self) -> bool:
        """Return whether new callers may come."""
        known = self.context.table is not None and self.fleet.loaded
        return known and self._stopping_s is None

    @property
    def forwarding(self) -> bool:
        """Return whether other entries rely on what this one reads."""
        return self.gossip is not None and self.gossip.role.forwarding

    def apply_config(self, cfg: GatewayConfig) -> None:
        """Put a newer configuration in force."""
        table = RoutingTable(cfg=cfg)
        self.context.table = table
        self.fabrics.table = table
        self.server.http.set_limits(
            ServerLimits(
                body_bytes=cfg.limits.body_bytes,
                header_bytes=cfg.limits.header_bytes,
                request_timeout_s=cfg.limits.header_timeout_s + BODY_TIMEOUT_S,
                idle_timeout_s=cfg.limits.idle_timeout_s,
            )
        )
        logger.info(
            "configuration in force",
            extra={"version": cfg.version, "routes": len(cfg.routes)},
        )

    def peers_changed(self, frame_key: bytes | None) -> None:
        """Take news of the other entries; with a key, messages can begin."""
        self._count_entries()
        if self.gossip is not None or frame_key is None or self._stopping_s is not None:
            return
        links = NngLinks(
            entry=self.cfg.name,
            listen=f"tcp://{self.cfg.peers}",
            key=frame_key,
            clock=self.clock,
        ).register(self)
        self.gossip = Gossip(
            links=links,
            addresses=self.adapter.peer_addresses,
            loads=self.loads,
            suspects=self.suspects,
            fleet=self.fleet,
            fabrics=self.fabrics,
            leases=self.adapter.leases,
            role=RelayRole(name=self.cfg.name),
            feeds=self.adapter.feeds,
            clock=self.clock,
        )
        self.gossip.start()

    def _count_entries(self) -> None:
        known = len(self.adapter.peer_addresses())
        self.context.entries = max(known, self.loads.peers()) + 1

    def _check_stalls(self) -> None:
        self.clock.call_later(STALL_CHECK_S, self._check_stalls)
        now_s = self.clock.now()
        if not self._fleet_seen and self.fleet.loaded:
            self._fleet_seen = True
            if any(instance.serving_head for instance in self.fleet.all()):
                # Groups serve, so this is no first start.
                self.fabrics.traffic_began = True
        if self.context.open:
            self.fabrics.traffic_began = True
        for exchange in list(self.context.open):
            if isinstance(exchange, StreamExchange):
                exchange.check_stall(now_s)

    def run_until_stopped(self) -> None:
        """Run the loop in the main thread, which alone is given signals.

        circuits takes over the signals to end; a hangup would end the process too.
        """
        signal.signal(signal.SIGHUP, self._signal_handler)
        self.run()

    @handler("signal", channel="*")
    def _on_signal(self, event, number, frame) -> None:
        if number in (signal.SIGTERM, signal.SIGINT):
            event.stop()
            self.drain()
        elif number == signal.SIGHUP:
            event.stop()
            logger.info("reload")
            self.adapter.reload()

    def drain(self) -> None:
        """Leave the balancer's rotation, finish what is in progress, and stop."""
        if self._stopping_s is not None:
            return
        self._stopping_s = self.clock.now()
        logger.info("stop", extra={"in_progress": len(self.context.open)})
        self.front.stop_by(self._stopping_s + self.cfg.grace_s - STOP_MARGIN_S)
        self._wait_until_drained()

    def _hand_over(self) -> None:
        """Leave the leases to others."""
        if self._handed_over:
            return
        self._handed_over = True
        self.fabrics.stop()
        self.adapter.leave()

    def _wait_until_drained(self) -> None:
        if not self.adapter.leases.lost:
            # Without the store nobody could take the leases.
            self._hand_over()
        waited_s = self.clock.now() - self._stopping_s
        in_progress = self.server.http.open_replies
        if waited_s >= LEAVE_ROTATION_S:
            self.server.http.close_idle()
        left = waited_s >= LEAVE_ROTATION_S + STOP_TICK_S
        if self._grace_over or (not in_progress and left):
            logger.info("stopped", extra={"in_progress": in_progress})
            self.clock.call_later(STOP_TICK_S, self._finish)
            return
        self.clock.call_later(STOP_TICK_S, self._wait_until_drained)

    @property
    def _grace_over(self) -> bool:
        waited_s = self.clock.now() - self._stopping_s
        return waited_s >= self.cfg.grace_s - STOP_MARGIN_S

    def _finish(self) -> None:
        if self.server.http.open_replies and not self._grace_over:
            # It came after the last look, over a connection not yet closed.
            self._wait_until_drained()
            return
        self._hand_over()
        for exchange in list(self.context.open):
            exchange.abort()
        self.adapter.stop()
        if self.gossip is not None:
            self.gossip.stop()
        self.client.close_all()
        self.stop()
