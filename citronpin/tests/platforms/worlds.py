"""A platform with several gateway controllers, all on one paused clock."""

import json

from citronpin.basics.clocks import Clock, PausedClock
from citronpin.gateway.fabrics import Fabrics
from citronpin.gateway.fleets import Fleet
from citronpin.gateway.loadbooks import LoadTracker
from citronpin.gateway.planners import SparePlanner
from citronpin.gateway.routings import RoutingTable
from citronpin.gateway.suspects import Suspects
from citronpin.platform.decoders import decode_config
from citronpin.platform.feeds import FleetFeed
from citronpin.platform.leases import PartitionLeases
from citronpin.platform.orders import WireControl
from citronpin.platform.stores import LogStore
from citronpin.tests.platforms.instances import MODELS, PlatformFleet
from citronpin.tests.platforms.stores import PlatformStore
from citronpin.tests.platforms.wires import MemoryClient

STORE = "10.9.9.9:1"
STEP_S = 0.05


def wire_config(version=1, routes=None, **more):
    """Return a configuration as the operator writes it."""
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


def table_of(**config):
    """Return the routing table of a configuration."""
    return RoutingTable(
        cfg=decode_config(json.dumps(wire_config(**config)).encode()).unwrap()
    )


class NodeClock(Clock):
    """The clock of one node; while frozen it runs no timer, but time goes on."""

    def __init__(self, *, shared):
        super().__init__()
        self.shared = shared
        self.frozen = False

    def now(self):
        return self.shared.now()

    def elapsed(self):
        return self.shared.now()

    def wall_ms(self):
        return self.shared.wall_ms()


class Controller:
    """What a gateway node runs to decide on fabric domains."""

    def __init__(self, *, name, world):
        self.clock = NodeClock(shared=world.clock)
        self.client = MemoryClient(clock=self.clock)
        self.client.handlers = dict.fromkeys([STORE], self._ask_store)
        self.client.silent = world.wire.silent
        self.world = world
        self.cut_from_store = False
        self.fleet = Fleet()
        store = LogStore(client=self.client, address=STORE)
        self.feed = FleetFeed(
            store=store, clock=self.clock, fleet=self.fleet, drain_s=2.0
        )
        self.feed.pace(0.3)
        self.leases = PartitionLeases(
            store=store, clock=self.clock, member=name, parts=24, ttl_min_ms=1000
        )
        self.suspects = Suspects()
        self.loads = LoadTracker()
        self.fabrics = Fabrics(
            fleet=self.fleet,
            planner=world.planner,
            control=WireControl(client=self.client),
            leases=self.leases,
            suspects=self.suspects,
            loads=self.loads,
            clock=self.clock,
            heartbeat_s=1.2,
        )
        self.fabrics.table = table_of()
        self.fabrics.traffic_began = not world.platform.quiet
        self.feed.start()
        self.leases.start()
        self.fabrics.start()

    def _ask_store(self, exchange):
        if self.cut_from_store:
            return
        answer = self.world.store.handle(
            exchange.method, exchange.target, exchange.body
        )
        if answer is not None:
            exchange.answer(*answer)

    def run_due(self):
        if not self.clock.frozen:
            self.client.handlers.update(self.world.wire.handlers)
            self.clock.run_due()


class World:
    """Store, instances and controllers; time moves in small steps."""

    def __init__(
        self, *, domains=("d0",), per_domain=10, controllers=3, spare_share=0.0
    ):
        self.planner = SparePlanner(spare_share=spare_share)
        self.clock = PausedClock()
        self.store = PlatformStore(clock=self.clock)
        self.wire = MemoryClient(clock=self.clock)
        self.platform = PlatformFleet(
            clock=self.clock, wire=self.wire, store=self.store
        )
        for domain in domains:
            for number in range(per_domain):
                self.platform.add(f"i-{domain}-{number}", domain)
        self.controllers = {}
        self.made = 0
        for _ in range(controllers):
            self.start_controller()

    def start_controller(self):
        self.made += 1
        name = f"node-{self.made}"
        self.controllers[name] = Controller(name=name, world=self)
        return name

    def kill_controller(self, name):
        del self.controllers[name]

    def advance(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for controller in list(self.controllers.values()):
                controller.run_due()

    def begin_traffic(self):
        self.platform.quiet = False
        for controller in self.controllers.values():
            controller.fabrics.traffic_began = True

    def holder(self, domain="d0"):
        """Return the controller that holds the lease on a domain, or ``None``."""
        held = [c for c in self.controllers.values() if c.leases.holds(domain)]
        assert len(held) <= 1, "two controllers hold one lease"
        return held[0] if held else None

    def open_models(self):
        """Return how many groups of each model serve with all members alive."""
        counts = dict.fromkeys(MODELS, 0)
        for head in self.platform.open_heads():
            members = [self.platform.instances[name] for name in head.member.members]
            places = [made.member for made in members]
            whole = all(
                place is not None
                and not made.dead
                and (place.group, place.epoch) == (head.member.group, head.member.epoch)
                for made, place in zip(members, places)
            )
            counts[head.member.model] += whole
        return counts
