"""Runs a controller for each fabric domain whose lease is held."""

import logging
from collections.abc import Iterable

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import ApplicationName, DomainName, ModelName
from citronpin.gateway.fabric_controllers import TICK_S, FabricController
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.loadbooks import LoadTracker
from citronpin.gateway.planners import GroupPlanner
from citronpin.gateway.plans import Pressure
from citronpin.gateway.ports import DomainLeases, InstanceControl
from citronpin.gateway.routings import EngineSpec, ModelSpec, RoutingTable
from citronpin.gateway.suspects import Suspects
from citronpin.peers.messages import HeadStatus

logger = logging.getLogger(__name__)


IDLE_TICK_S = 0.2  # half of the time between two renewals of leases
PRESSURE_RATE = 0.05  # of the newest figure each tick: two seconds


class Pressures:
    """Smooths which part of the places of each model is in use."""

    def __init__(self, *, loads: LoadTracker) -> None:
        self._loads = loads
        self._known: dict[ModelName, float] = {}

    def update(
        self, *, models: Iterable[ModelSpec], instances: Iterable[FleetInstance]
    ) -> dict[ModelName, Pressure]:
        """Take the present loads of heads; a model without any has no place free."""
        heads = [head for head in instances if head.serving_head and head.models]
        return {spec.name: self._of(spec.name, heads) for spec in models}

    def _of(self, model: ModelName, heads: list[FleetInstance]) -> Pressure:
        own = [head for head in heads if head.models[0] == model]
        if not own:
            return Pressure(1.0, 0)
        used = sum(self._loads.load(head.id) for head in own)
        part = used / max(sum(head.slots for head in own), 1)
        known = self._known.get(model, part)
        self._known[model] = known + PRESSURE_RATE * (part - known)
        return Pressure(self._known[model], len(own))


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
        loads: LoadTracker,
        clock: Clock,
        heartbeat_s: float,
    ) -> None:
        self._suspects = suspects
        self._pressures = Pressures(loads=loads)
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
        none_held = self._leases.none_held
        pause_s = IDLE_TICK_S if none_held else TICK_S
        self._timer = self._clock.call_later(pause_s, self._tick)
        if self.table is None or not self._fleet.loaded:
            return
        if none_held:
            for controller in self._controllers.values():
                controller.release()
            return
        for service in self.table.services.values():
            if service.engine is not None:
                self._look_at(service.name, service.engine)

    def _look_at(self, service: ApplicationName, engine: EngineSpec) -> None:
        instances = list(self._fleet.of_service(service))
        domains = {instance.domain for instance in instances}
        pressures = self._pressures.update(models=engine.models, instances=instances)
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
                pressures=pressures,
            )
