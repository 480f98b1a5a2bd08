"""A calm deployment of many gateway nodes in one process, with counted costs."""

import json
import random
import time
from collections import Counter, deque
from functools import partial
from urllib.parse import parse_qsl, urlsplit

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import EntryId
from citronpin.gateway.nodes import GatewayNode
from citronpin.gateway.relays import relay_rank
from citronpin.platform.programs import StoreConnector
from citronpin.platform.settings import WireSettings, node_settings
from citronpin.tests.meshes import MemoryLinks, Network
from citronpin.tests.platforms.clients import MemoryClient, MemoryExchange
from citronpin.tests.platforms.instances import HEARTBEAT_INTERVAL_S, PlatformFleet
from citronpin.tests.platforms.simulations import STORE_ADDRESS, wire_config
from citronpin.tests.platforms.stores import PlatformStore

DOMAINS = 9
INSTANCES_PER_DOMAIN = 18
START_SPREAD_S = 1.5  # within which all processes start
STORE_DELAY_S = 0.003
SAME_WAKE_S = 1e-6  # by which the sums of floats of one time may differ
EMPTY_READ_BYTES = 16  # of an answer without records
INTERNAL_PORTS = (7_000, 7_009)
UNUSED = "127.0.0.1:0"  # nothing listens
PARTITIONS = 24
# Processor time at a core of usual speed, as measured (docs/CAPACITY.md and
# test_idle_crowds.py): a turn of the event loop for a timer or an answer, a message
# between entries, a request to an instance or the store.
TURN_S = 0.00015
SENT_MESSAGE_S = 0.00018
RECEIVED_MESSAGE_S = 0.00036
REQUEST_S = 0.00025
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1e6


class Machine(msgspec.Struct, frozen=True):
    """What a machine gives its entry."""

    cores: float
    link_mbps: float


class EntryClock(Clock):
    """Clock of one entry, which adds up what its callbacks cost.

    With a ``machine``, work waits while the processor is busy with earlier work.
    """

    def __init__(self, *, shared, machine=None):
        super().__init__()
        self.shared = shared
        self.machine = machine
        self.charged_s = 0.0  # processor time by the measured costs
        self._free_s = 0.0  # clock time at which the processor has done its work
        self._waiting = deque()  # callbacks and their costs
        self.is_stopped = False
        self.used_s = 0.0  # processor time
        self.wakes = 0  # times at which something ran
        self._woken_s = float("-inf")

    def now(self):
        return self.shared.now()

    def now_with_suspend(self):
        return self.shared.now()

    def wall_ms(self):
        return self.shared.wall_ms()

    def call_later(self, delay_s, callback):
        def run_unless_cancelled():
            # It may be cancelled while it waits for the processor.
            if not timer.cancelled:
                callback()

        timer = self.shared.call_later(
            delay_s, lambda: timer.cancelled or self.run(run_unless_cancelled)
        )
        return timer

    def charge(self, cost_s):
        """Keep the processor busy for the cost of some work."""
        self.charged_s += cost_s
        if self.machine is not None:
            begin_s = max(self._free_s, self.now())
            self._free_s = begin_s + cost_s / self.machine.cores

    def run(self, callback, cost_s=TURN_S):
        """Run a callback of the entry once the processor is free."""
        self._waiting.append((callback, cost_s))
        if len(self._waiting) == 1:
            self._run_waiting()

    def _run_waiting(self):
        while self._waiting:
            if self.machine is not None and self._free_s > self.now() + SAME_WAKE_S:
                self.shared.call_later(self._free_s - self.now(), self._run_waiting)
                return
            callback, cost_s = self._waiting[0]
            self.charge(cost_s)
            try:
                self._execute(callback)
            finally:
                self._waiting.popleft()

    def _execute(self, callback):
        if self.is_stopped:
            return
        if self.shared.now() - self._woken_s > SAME_WAKE_S:
            self.wakes += 1
        self._woken_s = self.shared.now()
        started_s = time.process_time()
        callback()
        self.used_s += time.process_time() - started_s


class CrowdLinks(MemoryLinks):
    """Links whose frames arrive on the clock of their entry."""

    def __init__(self, *, entry, listen, key, clock, network):
        super().__init__(entry=entry, network=network, key=key)
        network.links.pop(self.address)
        self.address = f"tcp://{listen}" if "://" not in listen else listen
        network.links[self.address] = self
        self._entry_clock = clock
        self._sent_s = 0.0  # clock time at which the link has sent all frames

    def register(self, parent):
        return self

    def set_key(self, key):
        """Keep the key, which is the same at all."""

    def arrive(self, frame):
        arrive = super().arrive
        self._entry_clock.run(lambda: arrive(frame), RECEIVED_MESSAGE_S)

    def send_all(self, addresses, message):
        frame = self.session.encode(message)
        for address in sorted(addresses):
            if frame is not None and address in self.connected:
                self._entry_clock.charge(SENT_MESSAGE_S)
                self._depart(address, frame)
                self.session.count_sent(frame, True)

    def _depart(self, address, frame):
        """Send a frame once the link of the machine has sent the earlier ones."""
        machine, clock = self._entry_clock.machine, self._entry_clock.shared
        if machine is None:
            self.network.carry(self.address, address, frame)
            return
        bits_per_s = machine.link_mbps * BITS_PER_MBIT
        self._sent_s = max(self._sent_s, clock.now())
        self._sent_s += len(frame) * BITS_PER_BYTE / bits_per_s
        clock.call_later(
            self._sent_s - clock.now(),
            lambda: self.network.carry(self.address, address, frame),
        )


class WaitingStore(PlatformStore):
    """A store whose reads wait for records, and which counts calls by entry."""

    def __init__(self, *, clock, parts):
        super().__init__(clock=clock, parts=parts)
        self.waiting = []  # (topic, function that answers)
        self.counts = Counter()  # calls by entry, path and topic
        self.lossy = set()  # (entry, topic) whose next answer with records is lost

    def put_raw(self, topic, key, value):
        super().put_raw(topic, key, value)
        self._wake(topic)

    def _append(self, query, body):
        answer = super()._append(query, body)
        self._wake(query["topic"])
        return answer

    def _wake(self, topic):
        woken = [answer for name, answer in self.waiting if name == topic]
        self.waiting = [row for row in self.waiting if row[0] != topic]
        for answer in woken:
            self.clock.call_later(0.0, answer)

    def call(self, entry, exchange):
        """Answer a call of an entry."""
        parts = urlsplit(exchange.target)
        query = dict(parse_qsl(parts.query))
        topic = query.get("topic", "")
        self.counts[entry, parts.path, topic] += 1

        def answer():
            found = self.handle(exchange.method, exchange.target, exchange.body)
            if len(found[1]) > EMPTY_READ_BYTES and (entry, topic) in self.lossy:
                self.lossy.discard((entry, topic))
            else:
                exchange.answer(*found)

        found = self.handle(exchange.method, exchange.target, exchange.body)
        if "wait-ms" not in query or len(found[1]) != EMPTY_READ_BYTES:
            answer()
            return
        row = (topic, answer)
        self.waiting.append(row)

        def end():
            if row in self.waiting:
                self.waiting.remove(row)
                answer()

        self.clock.call_later(int(query["wait-ms"]) / 1_000, end)


class CrowdEntry:
    """One gateway node with its connector, on the clock of the crowd."""

    def __init__(self, *, number, crowd):
        self.name = EntryId(f"front-{number}")
        self.crowd = crowd
        self.machine = crowd.machine_of(number)
        self.clock = EntryClock(shared=crowd.clock, machine=self.machine)
        self.client = MemoryClient(clock=self.clock)
        self.client.register = lambda parent: self.client
        self.probes = Counter()  # reports that this entry requested, by instance
        self.client.handlers = {
            address: self._outside(handler)
            for address, handler in crowd.instances.network.handlers.items()
        }
        self.client.silent = crowd.instances.network.silent
        self.client.handlers[STORE_ADDRESS] = self._outside(
            lambda exchange: crowd.store.call(self.name, exchange)
        )
        settings = msgspec.convert(self._settings(number), WireSettings)
        connector = StoreConnector(
            settings=settings,
            path=crowd.settings_path,
            client=self.client,
            clock=self.clock,
        )
        cfg = node_settings(settings, 0)
        self.node = CrowdNode(
            cfg=cfg,
            clock=self.clock,
            client=self.client,
            connector=connector,
            rng=random.Random(number),
            network=crowd.network,
        )

    def _settings(self, number):
        """Return the settings file of the entry."""
        limits = {}
        if self.machine is not None:
            cores, link_mbps = self.machine.cores, self.machine.link_mbps
            limits = {"cpu-share": cores, "cores": 1, "link-mbps": link_mbps}
        return {
            "node": self.name,
            "ip": f"10.1.0.{number}",
            "zone": "abc"[number % 3],
            "listen": {"front": UNUSED, "ready": UNUSED},
            "internal-ports": INTERNAL_PORTS,
            "platform": {"address": STORE_ADDRESS, "parts": self.crowd.store.parts},
            "limits": limits,
        }

    def _outside(self, handler):
        """Return a handler whose work does not count as that of the entry."""

        def handle(exchange):
            self.clock.charge(REQUEST_S)
            if exchange.target == "/v1/report":
                self.probes[exchange.address] += 1
            exchange.answer = lambda *answer, **more: self.clock.call_later(
                0.0, lambda: MemoryExchange.answer(exchange, *answer, **more)
            )
            self.crowd.clock.call_later(STORE_DELAY_S, lambda: handler(exchange))

        return handle

    @property
    def gossip(self):
        return self.node.gossip

    @property
    def counters(self):
        return self.gossip._links.counters

    def counts(self):
        """Return what the entry has cost since its start."""
        counters = self.counters
        return {
            "processor_s": self.clock.used_s,
            "charged_s": self.clock.charged_s,
            "wakes": self.clock.wakes,
            "sent_bytes": counters.sent_bytes,
            "messages": counters.sent_messages + counters.received_messages,
            "probes": self.probes.total(),
        }

    def stop(self):
        """End without notice, as a process that is killed."""
        self.clock.is_stopped = True


class NoServer:
    """Stands for a server that nobody connects to."""

    open_replies = 0

    def __init__(self):
        self.http = self

    def set_limits(self, limits):
        """Apply no limits."""


class CrowdNode(GatewayNode):
    """A node without servers, with links in memory."""

    def __init__(self, *, network, **parts):
        self._network = network
        super().__init__(**parts)

    def _serve(self, address, target, channel, limits, is_control=False):
        return NoServer()

    def _make_links(self, frame_key):
        return CrowdLinks(
            entry=self.cfg.name,
            listen=self.cfg.peers,
            key=frame_key,
            clock=self.clock,
            network=self._network,
        )


class Crowd:
    """Entries and instances of a deployment that start together and stay calm.

    ``machine_of`` returns the machine of an entry by its number; without it, work takes
    no time and links have no limit.
    """

    def __init__(
        self,
        *,
        clock,
        entries,
        settings_path,
        spread_s=START_SPREAD_S,
        domains=DOMAINS,
        instances_per_domain=INSTANCES_PER_DOMAIN,
        machine_of=lambda number: None,
        parts=PARTITIONS,
    ):
        self.clock = clock
        self.machine_of = machine_of
        self.settings_path = settings_path
        settings_path.write_text("{}", encoding="utf-8")
        self.store = WaitingStore(clock=clock, parts=parts)
        self.network = Network(clock=clock)
        outside = MemoryClient(clock=clock)
        self.instances = PlatformFleet(clock=clock, network=outside, store=self.store)
        self.domains = [f"d{domain}" for domain in range(domains)]
        gap_s = HEARTBEAT_INTERVAL_S / (domains * instances_per_domain)
        for domain in range(domains):
            for number in range(instances_per_domain):
                clock.advance(gap_s)
                self.instances.add(f"i-{domain}-{number}", f"d{domain}")
        self.put_config(1)
        self.entries = []
        rng = random.Random(entries)
        for number in range(entries):
            clock.call_later(spread_s * rng.random(), partial(self.start_entry, number))

    def start_entry(self, number):
        """Start an entry and return it."""
        self.entries.append(CrowdEntry(number=number, crowd=self))
        return self.entries[-1]

    def put_config(self, version):
        data = json.dumps(wire_config(version=version)).encode()
        self.store.put("keyed.op", "config", data)

    def start_measuring(self):
        """Count what `rates` returns from now on."""
        self._measured_from_s = self.clock.now()
        self._counts_before = {entry.name: entry.counts() for entry in self.entries}

    def rates(self):
        """Return the costs of each entry since `start_measuring`, per second."""
        elapsed_s = self.clock.now() - self._measured_from_s
        return [
            {
                name: (count - self._counts_before[entry.name][name]) / elapsed_s
                for name, count in entry.counts().items()
            }
            for entry in self.entries
        ]

    def alive(self):
        """Return the entries that were not stopped."""
        return [entry for entry in self.entries if not entry.clock.is_stopped]

    def relays(self):
        """Return the entries that read the store for the others, by rank."""
        found = [entry for entry in self.alive() if entry.gossip.role.is_relay]
        return sorted(found, key=lambda entry: relay_rank(entry.name))

    def holders(self):
        """Return the entries that hold the lease of each domain."""
        held = {domain: set() for domain in self.domains}
        for entry in self.alive():
            leases = entry.node.connector.leases
            if not leases.none_held:
                for domain in filter(leases.holds, self.domains):
                    held[domain].add(entry.name)
        return held

    def calls(self):
        """Return the number of calls to the store by path and topic."""
        totals = Counter()
        for (_, path, topic), count in self.store.counts.items():
            totals[path.rpartition("/")[2], topic] += count
        return totals

    def probe_count(self):
        """Return the number of reports that entries requested of instances."""
        return sum(entry.probes.total() for entry in self.entries)
