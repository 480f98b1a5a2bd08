"""The entry, the only kind of node, which wires its tasks together."""

import logging

import numpy
from circuits import Component, handler
from circuits.core.pollers import EPoll

from citronpin.backends.engines import EngineStatus
from citronpin.backends.http_engines import HttpEngineClient
from citronpin.backends.server_pools import ServerPool
from citronpin.backends.services import HttpServiceClient
from citronpin.basics.clocks import Clock, ClockTask
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.gates import ServingGate
from citronpin.basics.ids import CONFIG_STREAM, EntryId, GroupId, new_id
from citronpin.basics.metrics import Metrics
from citronpin.basics.settings import Settings, split_address
from citronpin.callers.applications import ApplicationFilter, ServiceFilter
from citronpin.callers.callers import CallerApi
from citronpin.callers.calls import Calls
from citronpin.callers.chats import ChatFilter
from citronpin.callers.filters import (
    AuthenticationFilter,
    Filter,
    FilterChain,
    GateFilter,
)
from citronpin.callers.generations import (
    AdmissionFilter,
    DeploymentLoad,
    GenerationFilter,
)
from citronpin.callers.idempotencies import IdempotencyFilter, ServiceLookup
from citronpin.callers.limiters import DemandExchange, LimitFilter
from citronpin.control.controls import ControlTask
from citronpin.control.readiness import ReadinessTable
from citronpin.control.watchers import Watcher
from citronpin.peers.announcements import Announcer, SnapshotBootstrapper
from citronpin.peers.peers import Peers
from citronpin.peers.relays import LogRelay
from citronpin.policy.group_loads import GroupLoadReports
from citronpin.policy.policies import (
    make_admission,
    make_detector,
    make_limits,
    make_placement,
    make_repair,
    make_retry_budget,
    make_router,
)
from citronpin.state.checkpointers import Checkpointer
from citronpin.state.configurations import Configuration
from citronpin.state.directories import GroupDirectory
from citronpin.state.followers import Followers
from citronpin.state.http_logs import HttpLog
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.memberships import MembershipPoller
from citronpin.web.clients import HttpClient
from citronpin.web.servers import Routes, ServerLimits, WebServer
from citronpin.wiring.admins import AdminPages
from citronpin.wiring.views import add_entry_views

logger = logging.getLogger(__name__)

ID_SUFFIX_CHARACTERS = 8
DRAIN_POLL_INTERVAL_S = 0.05
HANDOVER_TIMEOUT_S = 3.0
CLOSE_DELAY_S = 0.5  # the last responses reach callers before connections close


class Entry(Component):
    """Creates and connects the tasks of one entry and drains it before it stops."""

    def __init__(self, *, cfg: Settings, clock: Clock) -> None:
        super().__init__()
        # The default poller, select, cannot watch descriptors from 1,024 on.
        EPoll().register(self)
        self.cfg = cfg
        self.clock = clock
        entry_cfg = cfg.section("entry")
        # The suffix makes a restarted entry another author, so that it does not
        # take the records of its previous run for its own.
        self.id = EntryId(f"{entry_cfg['name']}.{new_id()[-ID_SUFFIX_CHARACTERS:]}")
        self.recorder = Recorder(process=self.id, clock=clock)
        self.metrics = Metrics()
        self.routes = Routes()
        self.clients: list[HttpClient] = []
        ClockTask(clock=clock).register(self)
        self.group_loads = GroupLoadReports(clock=clock)
        self._add_state(entry_cfg)
        self._add_peers(entry_cfg)
        self._add_readiness()
        self._add_control()
        self._add_caller_api()
        self._add_web_server(entry_cfg)
        clock.call_later(0.0, self._start_tasks)
        self._is_draining = False
        self._drain_started_s = 0.0
        self._drain_signals: tuple[int, ...] = ()

    def _add_client(self, channel: str) -> HttpClient:
        client = HttpClient(clock=self.clock, channel=channel).register(self)
        self.clients.append(client)
        return client

    def _add_state(self, entry_cfg: dict) -> None:
        clock, recorder = self.clock, self.recorder
        self.control_client = self._add_client("control-client")
        log = HttpLog(client=self.control_client, address=entry_cfg["log"], clock=clock)
        self.states = Followers(
            log=log, entry=self.id, clock=clock, recorder=recorder
        ).register(self)
        self.checkpointer = Checkpointer(
            followers=self.states,
            log=log,
            entry=self.id,
            clock=clock,
            recorder=recorder,
        ).register(self)
        self.configuration = Configuration(states=self.states, recorder=recorder)
        self.directory = GroupDirectory(states=self.states)
        self.server_pool = ServerPool(
            clock=clock, failure_domain=entry_cfg["failure_domain"]
        )
        self.membership = MembershipPoller(
            client=self.control_client,
            address=entry_cfg["membership"],
            clock=clock,
            recorder=recorder,
        ).register(self)
        self.membership.subscribe(self.directory.apply_view)
        self.membership.subscribe(self.server_pool.apply_view)
        self.engines = HttpEngineClient(client=self.control_client, clock=clock)

    def _add_peers(self, entry_cfg: dict) -> None:
        clock, recorder = self.clock, self.recorder
        cfg = self.cfg.section("peers")
        self.peers = Peers(
            entry=self.id,
            clock=clock,
            recorder=recorder,
            listen=f"tcp://{cfg['listen']}",
            advertise=f"tcp://{cfg['advertise']}" if cfg["advertise"] else "",
            key=cfg["key"].encode(),
        ).register(self)
        self.log_relay = LogRelay(
            peers=self.peers,
            states=self.states,
            clock=clock,
            recorder=recorder,
            snapshot=self.states.snapshot,
            restore=self.states.restore,
        )
        self.announcer = Announcer(
            entry=self.id,
            failure_domain=entry_cfg["failure_domain"],
            states=self.states,
            configuration=self.configuration,
            peers=self.peers,
            seeds=tuple(f"tcp://{seed}" for seed in cfg["seeds"]),
            clock=clock,
        )
        self.snapshot_bootstrapper = SnapshotBootstrapper(
            streams=self.states.streams,
            is_current=self.states.is_current,
            fetch=self.log_relay.fetch_snapshot,
            clock=clock,
        )

    def _add_readiness(self) -> None:
        common_args = {
            "entry": self.id,
            "clock": self.clock,
            "recorder": self.recorder,
            "mesh": self.peers,
            "states": self.states,
        }
        self.readiness = ReadinessTable(**common_args)
        self.watcher = Watcher(
            engines=self.engines,
            address_of=self.directory.address,
            table=self.readiness,
            **common_args,
        ).register(self)

    def _add_control(self) -> None:
        cfg = self.cfg
        self.control = ControlTask(
            entry=self.id,
            states=self.states,
            client=self.engines,
            clock=self.clock,
            recorder=self.recorder,
            membership=lambda: self.membership.view,
            alive=self.peers.alive,
            head_age_s=self.states.head_age_s,
            detector=lambda: make_detector(cfg=cfg),
            repair=make_repair(cfg=cfg),
            placement=make_placement(cfg=cfg),
        ).register(self)

        self.readiness.subscribe_missing(self.control.poll_group)
        self.watcher.set_status_callback(self._record_status)

    def _record_status(self, status: EngineStatus, asked_s: float) -> None:
        """Pass the status that a watcher probed to control and to the group loads."""
        instance = self.directory.instance(status.instance)
        if instance is not None:
            self.control.take(instance.domain, status, asked_s)
        if status.group is not None and self._is_lead(status):
            self.group_loads.take(status.group, status.running, status.queued)

    def _is_lead(self, status: EngineStatus) -> bool:
        return bool(status.members) and status.members[0] == status.instance

    def _add_caller_api(self) -> None:
        clock, configuration = self.clock, self.configuration
        self.gate = ServingGate(
            clock=clock,
            recorder=self.recorder,
            booted=lambda: configuration.booted,
            head_age_s=lambda: self.states.head_age_s(CONFIG_STREAM),
            known_entries=lambda: max(1, len(configuration.state.entries)),
            alive_entries=lambda: len(self.peers.alive()),
        )
        gate = GateFilter(refusal=self.gate.refusal)
        identify = AuthenticationFilter(customers=lambda: configuration.customers)
        limit = self._limit_filter()
        chat_filters = (
            gate,
            identify,
            self._chat_filter(),
            limit,
            *self._generation_filters(),
        )
        call_filters = (
            gate,
            identify,
            self._application_filter(),
            limit,
            *self._service_filters(),
        )
        self.caller_api = CallerApi(
            clock=clock,
            recorder=self.recorder,
            metrics=self.metrics,
            configuration=configuration,
            models=FilterChain(filters=(gate, identify)),
            chats=FilterChain(filters=chat_filters),
            calls=FilterChain(filters=call_filters),
        )
        self.caller_api.add_routes(self.routes)
        self.admin_pages = AdminPages(
            gate=self.gate, metrics=self.metrics, recorder=self.recorder
        )
        self.admin_pages.add_routes(self.routes)
        add_entry_views(self.admin_pages, self)

    def _limit_filter(self) -> LimitFilter:
        requests = make_limits(cfg=self.cfg, entry=self.id)
        tokens = make_limits(cfg=self.cfg, entry=self.id)
        self.demand_exchange = DemandExchange(
            entry=self.id,
            mesh=self.peers,
            requests=requests,
            tokens=tokens,
            clock=self.clock,
        )
        self.configuration.on_change(
            lambda: self.demand_exchange.set_customers(self.configuration.customers)
        )
        return LimitFilter(requests=requests, tokens=tokens, clock=self.clock)

    def _chat_filter(self) -> ChatFilter:
        return ChatFilter(deployments=lambda: self.configuration.deployments)

    def _generation_filters(self) -> tuple[Filter, ...]:
        data_client = self._add_client("data-client")
        rng = numpy.random.default_rng()
        admission = AdmissionFilter(
            clock=self.clock,
            make_policy=lambda: make_admission(cfg=self.cfg, rng=rng),
            load=self._deployment_load,
        )
        generate = GenerationFilter(
            engine=HttpEngineClient(client=data_client, clock=self.clock),
            router=make_router(cfg=self.cfg, rng=rng),
            budget=make_retry_budget(cfg=self.cfg),
            admission=admission,
            directory=self.directory,
            usable=self.readiness.usable,
            latencies=self.metrics.latencies,
            loads=self.group_loads,
            clock=self.clock,
        )
        self.readiness.subscribe_missing(generate.leave_group)
        return admission, generate

    def _deployment_load(self, deployment: DeploymentManifest) -> DeploymentLoad:
        groups = [group.id for group in self.directory.serving(deployment.name)]
        running, queued = self.group_loads.total_load(groups)
        return DeploymentLoad(
            slots=deployment.slots * len(groups), running=running, queued=queued
        )

    def _application_filter(self) -> ApplicationFilter:
        return ApplicationFilter(applications=lambda: self.configuration.applications)

    def _service_filters(self) -> tuple[Filter, ...]:
        client = self._add_client("service-client")
        services = HttpServiceClient(client=client, clock=self.clock)
        lookup = ServiceLookup(
            applications=lambda: self.configuration.applications,
            client=services,
            pool=self.server_pool,
        )
        cfg = self.cfg.section("calls")
        self.calls = Calls(
            entry=self.id,
            clock=self.clock,
            recorder=self.recorder,
            mesh=self.peers,
            states=self.states,
            shards=cfg["shards"],
            lookup=lookup.look_up,
            window_s=cfg["window_s"],
        ).register(self)
        once = IdempotencyFilter(calls=self.calls)
        return once, ServiceFilter(client=services, pool=self.server_pool)

    def _add_web_server(self, entry_cfg: dict) -> None:
        self.server = WebServer(
            bind=split_address(entry_cfg["listen"]),
            target=self.routes,
            clock=self.clock,
            limits=ServerLimits(**self.cfg.section("server")),
        ).register(self)

    def usable(self, group: GroupId) -> bool:
        """Return whether requests may be dispatched to ``group`` now."""
        return self.readiness.usable(group)

    def _start_tasks(self) -> None:
        self.recorder.note(EventKind.PROCESS, f"entry begins at {self.server.address}")
        self.announcer.start()
        self.control.start()

    def drain_on_signals(self, *signals: int) -> None:
        """Drain the entry when the process receives one of ``signals``."""
        self._drain_signals = signals

    @handler("signal", channel="*")
    def _on_signal(self, event, number, frame) -> None:
        if number in self._drain_signals:
            event.stop()
            self.drain()

    def drain(self) -> None:
        """Refuse new requests, finish those in flight, hand over leases and stop."""
        if self._is_draining:
            return
        self._is_draining = True
        self.recorder.note(EventKind.DRAIN, f"{self.caller_api.in_flight} in flight")
        self.gate.drain()
        self.control.leave()
        self.announcer.leave()
        self._drain_started_s = self.clock.now()
        self._wait_until_drained()

    def _is_drain_pending(self) -> bool:
        """Return whether the drain still waits for requests, calls or the handover.

        While the log is down, the entry can neither yield its leases nor leave the
        list of entries. It no longer acts on its leases, and the other entries take
        them over and remove it from the list once they no longer see it alive.
        """
        elapsed_s = self.clock.now() - self._drain_started_s
        if self.server.http.open_replies or self.calls.open_calls():
            return elapsed_s < self.cfg.section("entry")["drain_s"]
        is_handed_over = self.control.handed_over() and self.announcer.has_left
        return not is_handed_over and elapsed_s < HANDOVER_TIMEOUT_S

    def _wait_until_drained(self) -> None:
        if self._is_drain_pending():
            self.clock.call_later(DRAIN_POLL_INTERVAL_S, self._wait_until_drained)
            return
        open_replies = self.server.http.open_replies
        self.recorder.note(EventKind.PROCESS, f"stops with {open_replies} in flight")
        self.server.http.close_idle()
        self.clock.call_later(CLOSE_DELAY_S, self._leave_and_stop)

    def _leave_and_stop(self) -> None:
        self.peers.leave()
        self.close()
        self.stop()

    def close(self) -> None:
        """Close all links, client connections and timers without notifying peers."""
        self.control.close()
        self.announcer.close()
        self.demand_exchange.close()
        self.peers.stop_links()
        for client in self.clients:
            client.close_all()
