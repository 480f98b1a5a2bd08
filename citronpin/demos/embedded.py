"""A system on loopback in one process, with a thread for each stand-in and entry."""

import logging
import time
from collections.abc import Callable

import msgspec
from circuits import Component
from result import Err

from citronpin.basics.clocks import Clock, ClockTask, SystemClock
from citronpin.basics.events import Recorder
from citronpin.basics.ids import (
    ApplicationName,
    DomainName,
    EntryId,
    FailureDomainName,
    InstanceId,
    Offset,
    new_id,
)
from citronpin.basics.runners import Runner, run_to_end
from citronpin.basics.settings import check_settings
from citronpin.standins.standin_batches import EngineSpeed
from citronpin.standins.standin_engines import EngineStandin
from citronpin.standins.standin_logs import LogStandin
from citronpin.standins.standin_memberships import MembershipStandin
from citronpin.standins.standin_relays import RelayStandin
from citronpin.standins.standin_services import ServiceStandin
from citronpin.standins.standins import Standin
from citronpin.state.followers import Followers
from citronpin.state.http_logs import HttpLog
from citronpin.state.instances import Instance, InstanceKind, InstanceState
from citronpin.state.manifest_files import ManifestFile
from citronpin.state.publishers import Publisher, PublishResult
from citronpin.web.clients import HttpClient
from citronpin.wiring.entries import Entry

logger = logging.getLogger(__name__)

LOOPBACK = "127.0.0.1"
ANY_PORT = (LOOPBACK, 0)
PEER_KEY = "embedded"
POLL_INTERVAL_S = 0.02
PUBLISH_TIMEOUT_S = 10.0


class EngineSpec(msgspec.Struct, frozen=True):
    """An engine to start: its place, accelerators and whether it checks fences."""

    id: InstanceId
    domain: DomainName
    failure_domain: FailureDomainName
    accelerators: int = 8
    checks_fence: bool = True


class ServiceSpec(msgspec.Struct, frozen=True):
    """A backend server of a service to start."""

    id: InstanceId
    application: ApplicationName
    failure_domain: FailureDomainName


class Pipeline(Component):
    """Root component that publishes one manifest file and stops."""

    def __init__(
        self, *, log: str, file: ManifestFile, base: Offset | None, clock: Clock
    ) -> None:
        super().__init__()
        self.result = None
        author = EntryId(f"pipeline-{new_id()}")
        ClockTask(clock=clock).register(self)
        client = HttpClient(clock=clock).register(self)
        followers = Followers(
            log=HttpLog(client=client, address=log, clock=clock),
            entry=author,
            clock=clock,
            recorder=Recorder(process=author, clock=clock),
        ).register(self)
        publisher = Publisher(
            followers=followers,
            clock=clock,
            file=file,
            base=base,
            author=author,
            timeout_s=PUBLISH_TIMEOUT_S,
            done=self._on_published,
        )
        clock.call_later(0.0, publisher.start)

    def _on_published(self, result) -> None:
        self.result = result
        self.stop()


class EmbeddedSystem:
    """Starts, disturbs and stops the stand-ins and entries of a small system.

    Each runs in an event loop of its own and is named by its name or instance id.
    """

    def __init__(
        self,
        *,
        failure_domains: tuple[str, ...],
        engines: tuple[EngineSpec, ...],
        services: tuple[ServiceSpec, ...] = (),
        speed: EngineSpeed | None = None,
        load_s: float = 0.1,
        with_relays: bool = False,
    ) -> None:
        self._failure_domains = failure_domains
        self._engine_specs = engines
        self._service_specs = services
        self._speed = speed or EngineSpeed()
        self._load_s = load_s
        self._has_relays = with_relays
        self._relay_names: dict[str, list[str]] = {}  # by entry
        self._runners: dict[str, Runner] = {}
        self.log: LogStandin | None = None
        self.membership: MembershipStandin | None = None
        self.engines: dict[InstanceId, EngineStandin] = {}
        self.services: dict[InstanceId, ServiceStandin] = {}
        self.entries: dict[str, Entry] = {}

    def start(self) -> None:
        """Start the stand-ins, then one entry in each failure domain."""
        clock = SystemClock()
        self.log = LogStandin(name="log", bind=ANY_PORT, clock=clock)
        self._start_loop("log", self.log, clock)
        for spec in self._engine_specs:
            self.add_engine(spec)
        for spec in self._service_specs:
            self.add_service(spec)
        clock = SystemClock()
        self.membership = MembershipStandin(
            name="membership",
            bind=ANY_PORT,
            clock=clock,
            instances=self._list_instances(),
        )
        self._start_loop("membership", self.membership, clock)
        for domain in self._failure_domains:
            self.add_entry(f"entry-{domain}", domain)

    def _start_loop(self, name: str, root, clock) -> None:
        runner = Runner(root=root, clock=clock)
        self._runners[name] = runner
        runner.start()

    def _list_instances(self) -> tuple[Instance, ...]:
        instances = [engine.instance for engine in self.engines.values()]
        for spec in self._service_specs:
            instances.append(
                Instance(
                    id=spec.id,
                    address=self.services[spec.id].address,
                    kind=InstanceKind.SERVICE,
                    state=InstanceState.LIVE,
                    failure_domain=spec.failure_domain,
                    application=spec.application,
                )
            )
        return tuple(instances)

    def add_engine(self, spec: EngineSpec) -> EngineStandin:
        """Start an engine stand-in."""
        clock = SystemClock()
        instance = Instance(
            id=spec.id,
            address="",
            kind=InstanceKind.ENGINE,
            state=InstanceState.LIVE,
            failure_domain=spec.failure_domain,
            domain=spec.domain,
            accelerators=spec.accelerators,
            checks_fence=spec.checks_fence,
        )
        engine = EngineStandin(
            name=spec.id,
            bind=ANY_PORT,
            clock=clock,
            instance=instance,
            speed=self._speed,
            load_s=self._load_s,
        )
        engine.instance = msgspec.structs.replace(instance, address=engine.address)
        self.engines[spec.id] = engine
        self._start_loop(spec.id, engine, clock)
        return engine

    def add_service(self, spec: ServiceSpec) -> ServiceStandin:
        """Start a service stand-in."""
        clock = SystemClock()
        service = ServiceStandin(name=spec.id, bind=ANY_PORT, clock=clock)
        self.services[spec.id] = service
        self._start_loop(spec.id, service, clock)
        return service

    def add_entry(self, name: str, failure_domain: str) -> Entry:
        """Start an entry that knows the addresses of the entries before it.

        Raises the first `CitronpinError` of its settings if they are invalid.
        """
        settings = {
            "entry": {
                "name": name,
                "listen": f"{LOOPBACK}:0",
                "failure_domain": failure_domain,
                "log": self.log.address,
                "membership": self.membership.address,
                "drain_s": "20",
            },
            "peers": {
                "listen": f"{LOOPBACK}:0",
                "key": PEER_KEY,
                "seeds": ", ".join(self._peer_addresses()),
            },
        }
        peer_relay = self._add_relays(name, settings) if self._has_relays else None
        result = check_settings(settings)
        if isinstance(result, Err):
            raise result.err_value[0]
        clock = SystemClock()
        entry = Entry(cfg=result.ok_value, clock=clock)
        if peer_relay is not None:
            peer_relay.target = _host_port(entry.peers.bound_address)
        self.entries[name] = entry
        self._start_loop(name, entry, clock)
        return entry

    def _peer_addresses(self) -> list[str]:
        return [_host_port(entry.peers.address) for entry in self.entries.values()]

    def _add_relays(self, name: str, settings: dict) -> RelayStandin:
        """Put relays before the log and the peer address of an entry.

        Adapts the addresses in ``settings`` and returns the relay of the peer address,
        whose target is set once the entry listens.
        """
        log_relay = self._add_relay(f"{name}.log", settings["entry"]["log"])
        peer_relay = self._add_relay(f"{name}.peers", "")
        self._relay_names[name] = [f"{name}.log", f"{name}.peers"]
        settings["entry"]["log"] = log_relay.address
        settings["peers"]["advertise"] = peer_relay.address
        return peer_relay

    def _add_relay(self, name: str, target: str) -> RelayStandin:
        clock = SystemClock()
        relay = RelayStandin(target=target, clock=clock)
        self._start_loop(name, relay, clock)
        return relay

    def set_partitioned(self, name: str, is_partitioned: bool) -> None:
        """Cut an entry off from the log and its peers' messages, or reconnect it."""
        for relay_name in self._relay_names[name]:
            relay = self._runners[relay_name].root
            self.call(
                relay_name, lambda relay=relay: relay.set_partitioned(is_partitioned)
            )

    def pause_loop(self, name: str, seconds: float) -> None:
        """Block the event loop called ``name``, as if its process was paused."""
        self._runners[name].post(lambda: time.sleep(seconds))

    def runner(self, name: str) -> Runner:
        """Return the runner of the event loop called ``name``."""
        return self._runners[name]

    def call(self, name: str, function: Callable):
        """Run ``function`` in the event loop called ``name`` and return its result."""
        return self._runners[name].call(function)

    def set_faults(self, name: str, **fields) -> None:
        """Set the faults of a stand-in; ``fields`` are those of its fault settings."""
        standin: Standin = self._runners[name].root
        self.call(name, lambda: standin.set_faults(**fields))

    def addresses(self) -> tuple[str, ...]:
        """Return the ``IP:PORT`` of each running entry."""
        return tuple(
            entry.server.address
            for name, entry in self.entries.items()
            if self._runners[name].running
        )

    def publish(self, file: ManifestFile, base: Offset | None = None) -> PublishResult:
        """Publish a manifest file and return the verdict.

        Raises the `CitronpinError` of a failed publication.
        """
        clock = SystemClock()
        pipeline = Pipeline(log=self.log.address, file=file, base=base, clock=clock)
        run_to_end(pipeline, clock)
        if isinstance(pipeline.result, Err):
            raise pipeline.result.err_value
        return pipeline.result.ok_value

    def effects(self) -> dict[str, int]:
        """Return how often each idempotency key took effect, over all services."""
        counts: dict[str, int] = {}
        for service in self.services.values():
            for key, count in service.effects.items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def drain(self, name: str) -> None:
        """Start to drain an entry for a planned stop."""
        self._runners[name].post(self.entries[name].drain)

    def kill(self, name: str) -> None:
        """Stop an entry or stand-in at once, without a drain."""
        self._stop_loop(name)
        self.entries.pop(name, None)

    def stop(self) -> None:
        """Stop all event loops, the last started first."""
        for name in reversed(list(self._runners)):
            self._stop_loop(name)

    def _stop_loop(self, name: str) -> None:
        """Stop an event loop, then close the sockets and timers that it leaves open."""
        runner = self._runners.pop(name)
        runner.stop()
        if isinstance(runner.root, Entry):
            runner.root.close()
        runner.close()


def _host_port(address: str) -> str:
    """Return ``IP:PORT`` of ``tcp://IP:PORT``."""
    return address.removeprefix("tcp://")


def wait_for(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Return whether ``condition()`` became true within ``timeout_s``."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(POLL_INTERVAL_S)
    return bool(condition())
