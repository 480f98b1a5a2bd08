"""Simulates a platform with several controllers on one paused clock."""

import json
import random

from citronpin.basics.clocks import Clock, PausedClock
from citronpin.gateway.evacuations import Evacuations
from citronpin.gateway.fabrics import Fabrics
from citronpin.gateway.fleets import Fleet
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.planners import SparePlanner
from citronpin.gateway.reachabilities import Reachability
from citronpin.gateway.routings import RoutingTable
from citronpin.gateway.suspects import Suspects
from citronpin.platform.decoders import decode_config
from citronpin.platform.feeds import FleetFeed
from citronpin.platform.leases import PartitionLeases
from citronpin.platform.orders import HttpInstanceControl
from citronpin.platform.stores import LogStore
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.instances import MODELS, PlatformFleet
from citronpin.tests.platforms.stores import PlatformStore

STORE_ADDRESS = "10.9.9.9:1"
CLOCK_STEP_S = 0.05


def wire_config(version=1, routes=None, **more):
    """Return a configuration in the format of the platform."""
    models = [
        {"name": name, "size": size, "share": 0.5, "load-s": load, "warm-s": warm}
        for name, (size, load, warm) in MODELS.items()
    ]
    engine = {
        "slots": 9,
        "models": models,
        "loads-per-s": 5.0,
        "loads_at_once": 7,
        "form-ms": 300.0,
    }
    return {
        "version": version,
        "routes": routes if routes is not None else [],
        "services": [{"name": "engines", "engine": engine}, {"name": "book"}],
        "tenants": [{"name": "odori", "api-keys": ["key-1"], "priority": 1}],
    } | more


def make_routing_table(**config):
    """Return the routing table of a configuration."""
    return RoutingTable(
        cfg=decode_config(json.dumps(wire_config(**config)).encode()).unwrap()
    )


class NodeClock(Clock):
    """Clock of one node; while frozen, it runs no timers, but time advances."""

    def __init__(self, *, shared):
        super().__init__()
        self.shared = shared
        self.frozen = False

    def now(self):
        return self.shared.now()

    def now_with_suspend(self):
        return self.shared.now()

    def wall_ms(self):
        return self.shared.wall_ms()


class Controller:
    """The parts of a gateway node that control fabric domains."""

    def __init__(self, *, name, simulation):
        self.clock = NodeClock(shared=simulation.clock)
        self.client = MemoryClient(clock=self.clock)
        self.client.handlers = dict.fromkeys([STORE_ADDRESS], self._call_store)
        self.client.silent = simulation.network.silent
        self.simulation = simulation
        self.cut_from_store = False
        self.fleet = Fleet()
        store = LogStore(client=self.client, address=STORE_ADDRESS)
        self.feed = FleetFeed(
            store=store, clock=self.clock, fleet=self.fleet, drain_s=2.0
        )
        self.feed.set_read_interval(0.3)
        self.leases = PartitionLeases(
            store=store, clock=self.clock, member=name, parts=24, ttl_min_ms=1000
        )
        self.suspects = Suspects()
        self.loads = LoadTracker()
        control = HttpInstanceControl(client=self.client)
        self.reach = Reachability(
            fleet=self.fleet,
            client=self.client,
            control=control,
            clock=self.clock,
            rng=random.Random(simulation.controller_count),
        )
        self.evacuations = Evacuations(now=self.clock.now)
        self.fabrics = Fabrics(
            fleet=self.fleet,
            planner=simulation.planner,
            control=control,
            leases=self.leases,
            suspects=self.suspects,
            loads=self.loads,
            clock=self.clock,
            heartbeat_s=1.2,
            reach=self.reach,
            evacuations=self.evacuations,
        )
        self.fabrics.table = make_routing_table()
        self.fabrics.traffic_began = not simulation.platform.is_before_traffic
        self.feed.start()
        self.leases.start()
        self.fabrics.start()

    def _call_store(self, exchange):
        if self.cut_from_store:
            return
        answer = self.simulation.store.handle(
            exchange.method, exchange.target, exchange.body
        )
        if answer is not None:
            exchange.answer(*answer)

    def run_due(self):
        if not self.clock.frozen:
            self.client.handlers.update(self.simulation.network.handlers)
            self.clock.run_due()


class PlatformSimulation:
    """Store, instances and controllers; time advances by ``CLOCK_STEP_S``."""

    def __init__(
        self, *, domains=("d0",), per_domain=10, controllers=3, spare_share=0.0
    ):
        self.planner = SparePlanner(spare_share=spare_share)
        self.clock = PausedClock()
        self.store = PlatformStore(clock=self.clock)
        self.network = MemoryClient(clock=self.clock)
        self.platform = PlatformFleet(
            clock=self.clock, network=self.network, store=self.store
        )
        for domain in domains:
            for number in range(per_domain):
                self.platform.add(f"i-{domain}-{number}", domain)
        self.controllers = {}
        self.controller_count = 0
        for _ in range(controllers):
            self.start_controller()

    def start_controller(self):
        self.controller_count += 1
        name = f"node-{self.controller_count}"
        self.controllers[name] = Controller(name=name, simulation=self)
        return name

    def kill_controller(self, name):
        del self.controllers[name]

    def advance(self, seconds):
        for _ in range(round(seconds / CLOCK_STEP_S)):
            self.clock.advance(CLOCK_STEP_S)
            for controller in list(self.controllers.values()):
                controller.run_due()

    def begin_traffic(self):
        self.platform.is_before_traffic = False
        for controller in self.controllers.values():
            controller.fabrics.traffic_began = True

    def holder(self, domain="d0"):
        """Return the controller that holds the lease on a domain, or ``None``."""
        held = [c for c in self.controllers.values() if c.leases.holds(domain)]
        assert len(held) <= 1, "two controllers hold one lease"
        return held[0] if held else None

    def count_serving_groups(self):
        """Return the number of serving groups of each model with all members alive."""
        counts = dict.fromkeys(MODELS, 0)
        for head in self.platform.open_heads():
            members = [self.platform.instances[name] for name in head.member.members]
            memberships = [instance.member for instance in members]
            is_complete = all(
                membership is not None
                and not instance.dead
                and (membership.group, membership.epoch)
                == (head.member.group, head.member.epoch)
                for instance, membership in zip(members, memberships)
            )
            counts[head.member.model] += is_complete
        return counts
