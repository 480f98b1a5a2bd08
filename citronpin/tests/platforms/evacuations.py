"""Entries that read evacuations of failure domains from one store, and their check."""

import msgspec

from citronpin.basics.ids import FailureDomainName
from citronpin.platform.feeds import ConfigFeed
from citronpin.platform.stores import LogStore
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.crashes import CrashWorld
from citronpin.tests.platforms.simulations import STORE_ADDRESS
from citronpin.tests.platforms.stores import PlatformStore

CONFIG_APPLY_S = 2.0
EVACUATE_S = 5.0  # from the store's acknowledgement until nothing more is sent
ZONES = ("z0", "z1", "z2")


class StorePath:
    """The path of one entry to the store, which can be cut."""

    def __init__(self, *, clock, platform_store):
        self.is_cut = False
        self._platform_store = platform_store
        client = MemoryClient(clock=clock)
        client.handlers[STORE_ADDRESS] = self._ask
        self.store = LogStore(client=client, address=STORE_ADDRESS)

    def _ask(self, exchange):
        if self.is_cut:
            return
        answer = self._platform_store.handle(
            exchange.method, exchange.target, exchange.body
        )
        if answer is not None:
            exchange.answer(*answer)


class EvacuationWorld(CrashWorld):
    """Entries whose instances are in three failure domains, by turns."""

    def __init__(self, *, clock, **options):
        self.platform_store = PlatformStore(clock=clock)
        self.paths = {}  # entry -> its path to the store
        super().__init__(clock=clock, **options)

    def start_entry(self):
        entry = super().start_entry()
        for known in list(entry.fleet.all()):
            moved = msgspec.structs.replace(
                known, failure_domain=FailureDomainName(self.zone(known.id))
            )
            entry.fleet.register(moved, now_s=self.clock.now())
        path = StorePath(clock=self.clock, platform_store=self.platform_store)
        self.paths[entry] = path
        ConfigFeed(
            store=path.store,
            clock=self.clock,
            apply=lambda cfg: None,
            apply_s=CONFIG_APPLY_S,
            evacuations=entry.evacuations,
            evacuate_s=EVACUATE_S,
        ).start()
        return entry

    def zone(self, name):
        return ZONES[int(name[1:]) % len(ZONES)]

    def evacuate(self, *zones):
        for zone in zones:
            self.platform_store.put("keyed.op", f"evacuate/{zone}", b"{}")

    def revoke(self, *zones):
        for zone in zones:
            self.platform_store.put("keyed.op", f"evacuate/{zone}", b"")

    def in_zone(self, zone):
        return [one for one in self.all_replicas() if self.zone(one.name) == zone]

    def count_arrivals(self, zone, since_s):
        """Return how many requests reached the instances of a domain since a time."""
        return sum(
            at_s >= since_s for one in self.in_zone(zone) for at_s, _ in one.arrivals
        )

    def serve(self, seconds, per_s=120):
        """Send streams, reads and unsafe requests at an even rate."""
        replies = []
        for step in range(round(seconds / 0.01)):
            if int((step + 1) * 0.01 * per_s) > int(step * 0.01 * per_s):
                replies.append(self._send_any())
            self.clock.advance(0.01)
        return replies

    def _send_any(self):
        if self.rng.random() < 0.7:
            return self.send(f"a{self.rng.randrange(5)}")
        kind, method = self.rng.choice([("look-up", "GET"), ("swap", "POST")])
        return self.rng.choice(self.entries).send(f"/{kind}/1", method, b"")
