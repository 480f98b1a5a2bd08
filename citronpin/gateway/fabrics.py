"""Runs the controllers of the fabric domains whose leases this entry holds."""

import logging
from collections.abc import Iterable
from functools import partial

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import ApplicationName, DomainName, ModelName
from citronpin.basics.loop_faults import call_each
from citronpin.gateway.cold_starts import ColdStarts
from citronpin.gateway.evacuations import Evacuations
from citronpin.gateway.fabric_controllers import TICK_INTERVAL_S, FabricController
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.planners import GroupPlanner
from citronpin.gateway.plans import Pressure
from citronpin.gateway.ports import DomainLeases, InstanceControl
from citronpin.gateway.reachabilities import Reachability
from citronpin.gateway.routings import EngineSpec, ModelSpec, RoutingTable
from citronpin.gateway.suspects import Suspects
from citronpin.gateway.withdrawals import NO_WITHDRAWALS, Withdrawals
from citronpin.peers.messages import HeadStatus

logger = logging.getLogger(__name__)


IDLE_TICK_INTERVAL_S = 0.2  # half the interval of lease renewals
PRESSURE_SMOOTHING = 0.05  # weight of the newest value; 2 s at one update per tick


class Pressures:
    """Smooths the share of each model's slots that is in use."""

    def __init__(self, *, loads: LoadTracker) -> None:
        self._loads = loads
        self._smoothed: dict[ModelName, float] = {}

    def update(
        self, *, models: Iterable[ModelSpec], instances: Iterable[FleetInstance]
    ) -> dict[ModelName, Pressure]:
        """Return the updated pressures; a model that no head serves counts as full."""
        heads = [head for head in instances if head.is_serving_head and head.models]
        return {spec.name: self._update_model(spec.name, heads) for spec in models}

    def _update_model(self, model: ModelName, heads: list[FleetInstance]) -> Pressure:
        serving = [head for head in heads if head.models[0] == model]
        if not serving:
            return Pressure(1.0, 0)
        load = sum(self._loads.load(head.id) for head in serving)
        used_share = load / max(sum(head.slots for head in serving), 1)
        previous = self._smoothed.get(model, used_share)
        self._smoothed[model] = previous + PRESSURE_SMOOTHING * (used_share - previous)
        return Pressure(self._smoothed[model], len(serving))


class Fabrics:
    """Keeps a controller for each known fabric domain and ticks those with a lease."""

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
        reach: Reachability,
        withdrawals: Withdrawals = NO_WITHDRAWALS,
        evacuations: Evacuations | None = None,
        cold_starts: ColdStarts | None = None,
    ) -> None:
        self._withdrawals = withdrawals
        self._cold_starts = cold_starts
        self._evacuations = evacuations or Evacuations(now=clock.now)
        self._reach = reach
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
        self.is_crowd = False  # whether there are too many entries for a full mesh

    def start(self) -> None:
        """Start the periodic ticks."""
        self._timer = self._clock.call_later(TICK_INTERVAL_S, self._tick)

    def stop(self) -> None:
        """Stop the periodic ticks."""
        if self._timer is not None:
            self._timer.cancel()

    def heads(self) -> tuple[HeadStatus, ...]:
        """Return the serving groups of the domains whose leases this entry holds."""
        return tuple(
            head
            for controller in self._controllers.values()
            for head in controller.heads
        )

    @property
    def held_domain_count(self) -> int:
        """Return how many domain leases this entry holds."""
        return sum(self._leases.holds(domain) for _, domain in self._controllers)

    def _tick(self) -> None:
        none_held = self._leases.none_held
        if none_held:
            self._timer = self._clock.call_next(IDLE_TICK_INTERVAL_S, self._tick)
        else:
            self._timer = self._clock.call_later(TICK_INTERVAL_S, self._tick)
        if self.table is None or not self._fleet.is_loaded:
            return
        if none_held:
            for controller in self._controllers.values():
                controller.release()
            return
        call_each(
            partial(self._tick_service, service.name, service.engine)
            for service in self.table.services.values()
            if service.engine is not None
        )

    def _tick_service(self, service: ApplicationName, engine: EngineSpec) -> None:
        instances = list(self._fleet.of_service(service))
        domains = {instance.domain for instance in instances}
        pressures = self._pressures.update(
            models=engine.models,
            instances=[x for x in instances if not self._evacuations.covers(x)],
        )
        call_each(
            partial(
                self._tick_domain,
                self._controller(service, domain),
                engine=engine,
                domain_count=len(domains),
                pressures=pressures,
            )
            for domain in domains
        )

    def _controller(
        self, service: ApplicationName, domain: DomainName
    ) -> FabricController:
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
                reach=self._reach,
                withdrawals=self._withdrawals,
                evacuations=self._evacuations,
                cold_starts=self._cold_starts,
            )
        return self._controllers[key]

    def _tick_domain(
        self,
        controller: FabricController,
        *,
        engine: EngineSpec,
        domain_count: int,
        pressures: dict[ModelName, Pressure],
    ) -> None:
        if not self._leases.holds(controller.domain):
            controller.release()
            return
        controller.tick(
            engine=engine,
            domain_count=domain_count,
            before_traffic=not self.traffic_began,
            pressures=pressures,
            is_crowd=self.is_crowd,
        )
