"""Runs a controller for each fabric domain whose lease is held."""

import logging

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import ApplicationName, DomainName
from citronpin.gateway.fabric_controllers import TICK_S, FabricController
from citronpin.gateway.fleets import Fleet
from citronpin.gateway.planners import GroupPlanner
from citronpin.gateway.ports import DomainLeases, InstanceControl
from citronpin.gateway.routings import EngineSpec, RoutingTable
from citronpin.gateway.suspects import Suspects
from citronpin.peers.messages import HeadStatus

logger = logging.getLogger(__name__)


class Fabrics:
    """Runs a controller for each fabric domain whose lease is held."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        planner: GroupPlanner,
        control: InstanceControl,
        leases: DomainLeases,
        suspects: Suspects,
        clock: Clock,
        heartbeat_s: float,
    ) -> None:
        self._suspects = suspects
        self._fleet = fleet
        self._planner = planner
        self._control = control
        self._leases = leases
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._controllers: dict[tuple[ApplicationName, DomainName], FabricController]
        self._controllers = {}
        self._timer: TimerHandle | None = None
        self.table: RoutingTable | None = None
        self.traffic_began = False

    def start(self) -> None:
        """Begin to look at the domains."""
        self._timer = self._clock.call_later(TICK_S, self._tick)

    def stop(self) -> None:
        """Decide no more."""
        if self._timer is not None:
            self._timer.cancel()

    def heads(self) -> tuple[HeadStatus, ...]:
        """Return the groups that serve in the domains whose leases are held."""
        return tuple(
            head
            for controller in self._controllers.values()
            for head in controller.heads
        )

    @property
    def held(self) -> int:
        """Return how many domains this entry decides on."""
        return sum(self._leases.holds(domain) for _, domain in self._controllers)

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK_S, self._tick)
        if self.table is None or not self._fleet.loaded:
            return
        for service in self.table.services.values():
            if service.engine is not None:
                self._look_at(service.name, service.engine)

    def _look_at(self, service: ApplicationName, engine: EngineSpec) -> None:
        instances = list(self._fleet.of_service(service))
        domains = {instance.domain for instance in instances}
        for domain in domains:
            key = (service, domain)
            if key not in self._controllers:
                self._controllers[key] = FabricController(
                    service=service,
                    domain=domain,
                    fleet=self._fleet,
                    planner=self._planner,
                    control=self._control,
                    leases=self._leases,
                    suspects=self._suspects,
                    clock=self._clock,
                    heartbeat_s=self._heartbeat_s,
                )
            controller = self._controllers[key]
            if not self._leases.holds(domain):
                controller.release()
                continue
            controller.tick(
                engine=engine,
                domains=len(domains),
                bulk=not self.traffic_began,
            )
