"""A whole system on loopback in one process: stand-ins and entries, a thread each."""

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
POLL_S = 0.02
PUBLISH_TIMEOUT_S = 10.0


class EngineSpec(msgspec.Struct, frozen=True):
    """An engine to start: where it is and how it takes orders."""

    id: InstanceId
    domain: DomainName
    failure_domain: FailureDomainName
    accelerators: int = 8
    checks_fence: bool = True


class ServiceSpec(msgspec.Struct, frozen=True):
    """A server of a plain service to start."""

    id: InstanceId
    application: ApplicationName
    failure_domain: FailureDomainName


class Pipeline(Component):
    """A build pipeline that publishes one file and stops."""

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
            done=self._finish,
        )
        clock.call_later(0.0, publisher.start)

    def _finish(self, result) -> None:
        self.result = result
        self.stop()


class Embedded:
    """Starts, changes and stops the parts of a small system."""

    def __init__(
        self,
        *,
        failure_domains: tuple[str, ...],
        engines: tuple[EngineSpec, ...],
        services: tuple[ServiceSpec, ...] = (),
        speed: EngineSpeed | None = None,
        load_s: float = 0.1,
        relayed: bool = False,
    ) -> None:
        self._failure_domains = failure_domains
        self._engine_specs = engines
        self._service_specs = services
        self._speed = speed or EngineSpeed()
        self._load_s = load_s
        self._relayed = relayed
        self._links: dict[str, list[str]] = {}  # entry -> its relays
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
        self._run("log", self.log, clock)
        for spec in self._engine_specs:
            self.add_engine(spec)
        for spec in self._service_specs:
            self.add_service(spec)
        clock = SystemClock()
        self.membership = MembershipStandin(
            name="membership", bind=ANY_PORT, clock=clock, instances=self._rows()
        )
        self._run("membership", self.membership, clock)
        for domain in self._failure_domains:
            self.add_entry(f"entry-{domain}", domain)

    def _run(self, name: str, root, clock) -> None:
        runner = Runner(root=root, clock=clock)
        self._runners[name] = runner
        runner.start()

    def _rows(self) -> tuple[Instance, ...]:
        rows = [engine.instance for engine in self.engines.values()]
        for spec in self._service_specs:
            rows.append(
                Instance(
                    id=spec.id,
                    address=self.services[spec.id].address,
                    kind=InstanceKind.SERVICE,
                    state=InstanceState.LIVE,
                    failure_domain=spec.failure_domain,
                    application=spec.application,
                )
            )
        return tuple(rows)

    def add_engine(self, spec: EngineSpec) -> EngineStandin:
        """Start an engine."""
        clock = SystemClock()
        row = Instance(
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
            instance=row,
            speed=self._speed,
            load_s=self._load_s,
        )
        engine.instance = msgspec.structs.replace(row, address=engine.address)
        self.engines[spec.id] = engine
        self._run(spec.id, engine, clock)
        return engine

    def add_service(self, spec: ServiceSpec) -> ServiceStandin:
        """Start a server of a plain service."""
        clock = SystemClock()
        service = ServiceStandin(name=spec.id, bind=ANY_PORT, clock=clock)
        self.services[spec.id] = service
        self._run(spec.id, service, clock)
        return service

    def add_entry(self, name: str, failure_domain: str) -> Entry:
        """Start an entry."""
        given = {
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
        inward = self._add_relays(name, given) if self._relayed else None
        result = check_settings(given)
        if isinstance(result, Err):
            raise result.err_value[0]
        clock = SystemClock()
        entry = Entry(cfg=result.ok_value, clock=clock)
        if inward is not None:
            inward.target = _host_port(entry.peers.bound_address)
        self.entries[name] = entry
        self._run(name, entry, clock)
        return entry

    def _peer_addresses(self) -> list[str]:
        return [_host_port(entry.peers.address) for entry in self.entries.values()]

    def _add_relays(self, name: str, given: dict) -> RelayStandin:
        """Put relays before an entry's log and its own peer address."""
        outward = self._add_relay(f"{name}.log", given["entry"]["log"])
        inward = self._add_relay(f"{name}.peers", "")
        self._links[name] = [f"{name}.log", f"{name}.peers"]
        given["entry"]["log"] = outward.address
        given["peers"]["advertise"] = inward.address
        return inward

    def _add_relay(self, name: str, target: str) -> RelayStandin:
        clock = SystemClock()
        relay = RelayStandin(target=target, clock=clock)
        self._run(name, relay, clock)
        return relay

    def set_partitioned(self, name: str, cut: bool) -> None:
        """Cut an entry off from the log and from what its peers send, or mend it."""
        for link in self._links[name]:
            relay = self._runners[link].root
            self.call(link, lambda relay=relay: relay.set_partitioned(cut))

    def freeze(self, name: str, seconds: float) -> None:
        """Stop the loop of a part for a time, as a paused process stops."""
        self._runners[name].post(lambda: time.sleep(seconds))

    def runner(self, name: str) -> Runner:
        """Return the loop of a part by its name or id."""
        return self._runners[name]

    def call(self, name: str, function: Callable):
        """Run a function in the loop of a part."""
        return self._runners[name].call(function)

    def faults(self, name: str, **fields) -> None:
        """Switch faults of a stand-in by its name or id."""
        standin: Standin = self._runners[name].root
        self.call(name, lambda: standin.set_faults(**fields))

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the entries that run."""
        return tuple(
            entry.server.address
            for name, entry in self.entries.items()
            if self._runners[name].running
        )

    def publish(self, file: ManifestFile, base: Offset | None = None) -> PublishResult:
        """Publish a file as a pipeline would and return the verdict."""
        clock = SystemClock()
        pipeline = Pipeline(log=self.log.address, file=file, base=base, clock=clock)
        run_to_end(pipeline, clock)
        if isinstance(pipeline.result, Err):
            raise pipeline.result.err_value
        return pipeline.result.ok_value

    def effects(self) -> dict[str, int]:
        """Return how often each key took effect, over all plain services."""
        counts: dict[str, int] = {}
        for service in self.services.values():
            for key, count in service.effects.items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def drain(self, name: str) -> None:
        """Begin the planned stop of an entry."""
        self._runners[name].post(self.entries[name].drain)

    def kill(self, name: str) -> None:
        """Stop a part at once, without a planned stop."""
        self._end(name)
        self.entries.pop(name, None)

    def stop(self) -> None:
        """Stop everything."""
        for name in reversed(list(self._runners)):
            self._end(name)

    def _end(self, name: str) -> None:
        """Stop a part's loop, then close what it leaves open."""
        runner = self._runners.pop(name)
        runner.stop()
        if isinstance(runner.root, Entry):
            runner.root.close()
        runner.close()


def _host_port(address: str) -> str:
    """Return ``IP:PORT`` of ``tcp://IP:PORT``."""
    return address.removeprefix("tcp://")


def wait_for(condition: Callable[[], bool], limit_s: float) -> bool:
    """Return whether a condition became true within a time."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(POLL_S)
    return bool(condition())
