"""An entry: the one kind of node, with all its tasks wired together."""

import logging

import numpy
from circuits import Component, handler

from citronpin.admins import AdminPages
from citronpin.admissions import FifoAdmission
from citronpin.callers import CallerApi
from citronpin.chats import ChatFilter
from citronpin.clients import HttpClient
from citronpin.clocks import Clock, ClockTask
from citronpin.configurations import Configuration
from citronpin.controls import ControlTask
from citronpin.directories import GroupDirectory
from citronpin.events import EventKind, Recorder
from citronpin.filters import FilterChain, GateFilter, IdentifyFilter
from citronpin.followers import Followers
from citronpin.gates import ServingGate
from citronpin.generations import AdmitFilter, GenerateFilter
from citronpin.http_engines import HttpEngineClient
from citronpin.http_logs import HttpLog
from citronpin.ids import CONFIG_STREAM, EntryId, new_id
from citronpin.memberships import MembershipTask
from citronpin.metrics import Metrics
from citronpin.placements import EvenPlacement
from citronpin.repairs import REPAIRS
from citronpin.routers import ROUTERS
from citronpin.server_pools import ServerPool
from citronpin.servers import Routes, ServerLimits, WebServer
from citronpin.settings import Settings, split_address
from citronpin.suspicions import TimeoutDetector

logger = logging.getLogger(__name__)

ID_SUFFIX_LENGTH = 8
SLOTS_PER_GROUP = 16.0
DRAIN_TICK_S = 0.05
HANDOVER_LIMIT_S = 3.0
LINGER_S = 0.5  # answers reach callers before connections are closed


class Entry(Component):
    """Wires the tasks of one entry and runs its planned stop."""

    def __init__(self, *, cfg: Settings, clock: Clock) -> None:
        super().__init__()
        self.cfg = cfg
        self.clock = clock
        own = cfg.section("entry")
        # A restarted entry is another author: what its last run did under the
        # same name must not be taken for its own.
        self.id = EntryId(f"{own['name']}.{new_id()[-ID_SUFFIX_LENGTH:]}")
        self.recorder = Recorder(process=self.id, clock=clock)
        self.metrics = Metrics()
        self.routes = Routes()
        ClockTask(clock=clock).register(self)
        self._add_state(own)
        self._add_control()
        self._add_callers(own)
        self._stopping = False
        self._stopped_s = 0.0
        self._signals: tuple[int, ...] = ()

    def _add_state(self, own: dict) -> None:
        clock, recorder = self.clock, self.recorder
        self.client = HttpClient(clock=clock, channel="control-client").register(self)
        log = HttpLog(client=self.client, address=own["log"], clock=clock)
        self.states = Followers(
            log=log, entry=self.id, clock=clock, recorder=recorder
        ).register(self)
        self.configuration = Configuration(states=self.states, recorder=recorder)
        self.directory = GroupDirectory(states=self.states)
        self.pool = ServerPool(clock=clock, failure_domain=own["failure_domain"])
        self.membership = MembershipTask(
            client=self.client,
            address=own["membership"],
            clock=clock,
            recorder=recorder,
        ).register(self)
        self.membership.subscribe(self.directory.take_view)
        self.membership.subscribe(self.pool.take_view)

    def _add_control(self) -> None:
        self.control = ControlTask(
            entry=self.id,
            states=self.states,
            client=HttpEngineClient(client=self.client, clock=self.clock),
            clock=self.clock,
            recorder=self.recorder,
            membership=lambda: self.membership.view,
            alive=self.alive,
            head_age_s=self.states.head_age_s,
            detector=TimeoutDetector,
            repair=REPAIRS["immediate"](),
            placement=EvenPlacement(),
        ).register(self)

    def _add_callers(self, own: dict) -> None:
        clock, configuration = self.clock, self.configuration
        self.gate = ServingGate(
            clock=clock,
            recorder=self.recorder,
            booted=lambda: configuration.booted,
            head_age_s=lambda: self.states.head_age_s(CONFIG_STREAM),
            known_entries=lambda: max(1, len(configuration.state.entries)),
            alive_entries=lambda: len(self.alive()),
        )
        data_client = HttpClient(clock=clock, channel="data-client").register(self)
        engine = HttpEngineClient(client=data_client, clock=clock)
        gate = GateFilter(refusal=self.gate.refusal)
        identify = IdentifyFilter(customers=lambda: configuration.customers)
        admit = AdmitFilter(clock=clock, make_policy=FifoAdmission, slots=self._slots)
        generate = GenerateFilter(
            engine=engine,
            router=ROUTERS["least-in-flight"](rng=numpy.random.default_rng()),
            admit=admit,
            directory=self.directory,
            usable=self.usable,
            latencies=self.metrics.latencies,
        )
        chat = ChatFilter(deployments=lambda: configuration.deployments)
        self.api = CallerApi(
            clock=clock,
            recorder=self.recorder,
            metrics=self.metrics,
            configuration=configuration,
            entrance=FilterChain(filters=(gate, identify)),
            chats=FilterChain(filters=(gate, identify, chat, admit, generate)),
            calls=FilterChain(filters=(gate, identify)),
        )
        self.api.add_routes(self.routes)
        self.pages = AdminPages(
            gate=self.gate, metrics=self.metrics, recorder=self.recorder
        )
        self.pages.add_routes(self.routes)
        self._add_views()
        self.server = WebServer(
            bind=split_address(own["listen"]),
            target=self.routes,
            clock=clock,
            limits=ServerLimits(**self.cfg.section("server")),
        ).register(self)
        clock.call_later(0.0, self._begin)

    def _add_views(self) -> None:
        views = {
            "gate": lambda: {"entry": self.id, "state": self.gate.state().value},
            "configuration": self.configuration.view,
            "groups": self.directory.groups,
            "members": lambda: self.membership.view,
            "leases": self._leases,
            "peers": lambda: sorted(self.alive()),
        }
        for name, view in views.items():
            self.pages.add_view(name, view)

    def _leases(self) -> dict:
        return {
            stream: self.states.state(stream).lease for stream in self.states.streams()
        }

    def _slots(self, deployment) -> float:
        return SLOTS_PER_GROUP * len(self.directory.serving(deployment))

    def alive(self) -> frozenset[EntryId]:
        """Return the entries that live, this one included."""
        return frozenset({self.id})

    def usable(self, group) -> bool:
        """Return whether a request may be dispatched to a group now."""
        return self.directory.group(group) is not None

    def _begin(self) -> None:
        self.recorder.note(EventKind.PROCESS, f"entry begins at {self.server.address}")
        self.control.start()

    def stop_on(self, *signals: int) -> None:
        """Run a planned stop on these signals."""
        self._signals = signals

    @handler("signal", channel="*")
    def _on_signal(self, event, number, frame) -> None:
        if number in self._signals:
            event.stop()
            self.drain()

    def drain(self) -> None:
        """Refuse new requests, finish those in flight, hand leases over, stop."""
        if self._stopping:
            return
        self._stopping = True
        self.recorder.note(EventKind.DRAIN, f"{self.api.in_flight} in flight")
        self.gate.drain()
        self.control.leave()
        self._stopped_s = self.clock.now()
        self._wait_until_drained()

    def _busy(self) -> bool:
        """Return whether a planned stop still has to wait.

        A lease that cannot be handed over, since the log is down, is left to the
        other entries' suspicion; its holder has ceased to act in any case.
        """
        waited_s = self.clock.now() - self._stopped_s
        if self.server.http.open_replies:
            return waited_s < self.cfg.section("entry")["drain_s"]
        return not self.control.handed_over() and waited_s < HANDOVER_LIMIT_S

    def _wait_until_drained(self) -> None:
        if self._busy():
            self.clock.call_later(DRAIN_TICK_S, self._wait_until_drained)
            return
        open_replies = self.server.http.open_replies
        self.recorder.note(EventKind.PROCESS, f"stops with {open_replies} in flight")
        self.server.http.close_idle()
        self.clock.call_later(LINGER_S, self._finish)

    def _finish(self) -> None:
        self.control.close()
        self.client.close_all()
        self.stop()
