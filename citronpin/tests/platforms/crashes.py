"""Several entries before shared instances that crash under some requests."""

import random
from collections import Counter, defaultdict

import msgspec

from citronpin.basics.errors import ConnectionFailed
from citronpin.basics.ids import InstanceId
from citronpin.gateway.forward_peers import ForwardPeer
from citronpin.gateway.gossips import Gossip
from citronpin.gateway.relays import RelayRole
from citronpin.platform.names import HEADERS
from citronpin.tests.meshes import MemoryLinks, Network
from citronpin.tests.platforms.requests import FrontHarness, event, instance_headers
from citronpin.web.replies import HttpRequest

SERVICE_TIME_S = 0.09  # of a request to a plain service
RESTART_S = 3.0  # from a crash until the instance serves again
FIRST_EVENT_S = 0.15
EVENT_INTERVAL_S = 0.05
LAST_EVENT = 10
CRASH_S = 0.06  # from the arrival of a request until the instance crashes under it
CALLER_PART = "c0ffee"
POISON = "bad0"


class Leases:
    """Leases of an entry that always reaches the store."""

    store_lost = False

    def set_participating(self, allowed):
        """Hold no lease."""

    def set_extended(self, allowed):
        """Hold no lease."""


class NoGroups:
    """Controllers without groups."""

    traffic_began = False

    def heads(self):
        return ()


class NoFeeds:
    """Feeds without positions."""

    def own_positions(self, *, records):
        return ()

    def apply_positions(self, sender, positions):
        """Receive nothing."""

    def set_following(self, allowed):
        """Follow nobody."""


class Replica:
    """An instance that all entries share.

    It crashes under `POISON` when its answer begins, and under requests to
    ``world.deadly_targets`` when it begins to run them.
    """

    delay_s = FIRST_EVENT_S  # from the arrival of a request until its answer begins

    def __init__(self, *, world, name):
        self.world = world
        self.name = name
        self.running = []
        self.is_down = False
        self.crashes_at_next_answer = False
        self.life = 0
        self.limit = None  # requests per second that its answers name
        self.rest = None  # value of Retry-After with which it refuses requests
        self.rested = []  # (clock time in s, entry, value) of these answers
        self.cold_ms = None  # how much longer it is cold, as its answers say
        self.is_leaving = False  # whether its answers say that it leaves
        self.left_s = {}  # entry -> clock time of the first answer that said so
        self.arrivals = []  # (clock time in s, entry)
        self.named_s = {}  # entry -> clock time of the first answer that named it

    def handle(self, exchange):
        if self.is_down:
            exchange.fail(ConnectionFailed("refused"))
            return
        self.arrivals.append((self.world.clock.now(), exchange.client))
        self.world.runs[exchange.headers[HEADERS.attempt]] += 1
        parts = [
            entry.partition(":")[0]
            for entry in exchange.headers.get(HEADERS.prompt_parts, "").split(",")
        ]
        self.world.sent.append((self.world.clock.now(), tuple(parts)))
        if self.rest is not None:
            self._refuse(exchange)
            return
        self.running.append(exchange)
        life = self.life
        if exchange.target in self.world.deadly_targets:
            self.world.deadly_sent.append((self.world.clock.now(), exchange.target))
            self._begin_deadly(exchange, life)
            return
        self.world.clock.call_later(
            self.delay_s, lambda: self._begin(exchange, parts, life)
        )

    def _refuse(self, exchange):
        self.rested.append((self.world.clock.now(), exchange.client, self.rest))
        headers = self._headers(exchange, "text/plain")
        headers |= {HEADERS.not_run: "1", "retry-after": str(self.rest)}
        exchange.answer(503, b"", headers)

    def _begin(self, exchange, parts, life):
        if life != self.life or exchange.ended:
            return
        exchange.head(200, self._headers(exchange, "text/event-stream"))
        if POISON in parts or self.crashes_at_next_answer:
            self.crashes_at_next_answer = False
            self.world.crashed_s.append(self.world.clock.now())
            self.crash()
            return
        received = exchange.headers.get(HEADERS.last_event)
        self._send(exchange, 0 if received is None else int(received) + 1, life)

    def _begin_deadly(self, exchange, life):
        if self.world.crashes_after_head:
            exchange.head(200, self._headers(exchange, "text/event-stream"))
        self.world.clock.call_later(CRASH_S, lambda: self._crash_under(exchange, life))

    def _crash_under(self, exchange, life):
        if life == self.life and not exchange.ended:
            self.world.deadly_crashed_s.append(self.world.clock.now())
            self.crash()

    def _headers(self, exchange, content_type):
        headers = {"content-type": content_type}
        if self.limit is not None:
            headers[HEADERS.request_limit] = str(self.limit)
            self.named_s.setdefault(exchange.client, self.world.clock.now())
        if self.cold_ms is not None:
            headers[HEADERS.cold_ms] = str(self.cold_ms)
        if self.is_leaving:
            headers["server-leaving"] = "1"
            self.left_s.setdefault(exchange.client, self.world.clock.now())
        return instance_headers(exchange, **headers)

    def _send(self, exchange, number, life):
        if life != self.life or exchange.ended:
            return
        if number <= LAST_EVENT:
            exchange.data(event(number))
        if number >= LAST_EVENT:
            self.running.remove(exchange)
            exchange.end()
            return
        self.world.clock.call_later(
            EVENT_INTERVAL_S, lambda: self._send(exchange, number + 1, life)
        )

    def crash(self):
        """End all answers, and start again as another life."""
        self.life += 1
        self.is_down = True
        running, self.running = self.running, []
        for exchange in running:
            exchange.lose("crashed")
        self.world.clock.call_later(RESTART_S, self._restart)

    def _restart(self):
        self.is_down = False
        for entry in self.world.entries:
            entry.set_life(self.name, self.life)


class PlainReplica(Replica):
    """An instance of a plain service, whose answers come whole."""

    delay_s = SERVICE_TIME_S

    def _begin(self, exchange, parts, life):
        if life != self.life or exchange.ended:
            return
        self.running.remove(exchange)
        exchange.answer(200, b"{}", self._headers(exchange, "application/json"))


class ExchangeReply:
    """Answers the exchange of another entry's client."""

    buffered_bytes = 0  # that the client has not taken

    def __init__(self, exchange):
        self.exchange = exchange
        self.on_disconnect = None
        self.ended = False

    def send_response(self, status, body=b"", content_type="", headers=None):
        self.ended = True
        self.exchange.answer(status, body, self._lower(headers, content_type))

    def start(self, status, content_type, headers=None):
        self.exchange.head(status, self._lower(headers, content_type))

    def _lower(self, headers, content_type):
        lower = {name.lower(): value for name, value in (headers or {}).items()}
        return lower | {"content-type": content_type}

    def push(self, data):
        self.exchange.data(data)

    def finish(self):
        self.ended = True
        self.exchange.end()

    def abort(self):
        self.ended = True
        self.exchange.lose("aborted")

    def close_after(self):
        """Keep the connection."""

    def leave(self):
        if not self.ended and self.on_disconnect is not None:
            self.on_disconnect()


class Entry(FrontHarness):
    """A front with gossip, whose instances are those of the world."""

    def __init__(self, *, world, name, replicas, policy, failure_domain):
        super().__init__(
            clock=world.clock,
            engines=replicas,
            books=len(world.books),
            policy=policy,
            name=name,
            failure_domain=failure_domain,
        )
        for replica in world.all_replicas():
            self.scripts[replica.name] = replica.handle
        self.world = world
        self.peers = {}
        self.is_cut_off = False
        self.gossip = Gossip(
            links=MemoryLinks(entry=self.name, network=world.network),
            addresses=lambda: {} if self.is_cut_off else self.peers,
            loads=self.loads,
            suspects=self.suspects,
            quarantine=self.quarantine,
            limits=self.limits,
            permits=self.permits,
            fleet=self.fleet,
            fabrics=NoGroups(),
            leases=Leases(),
            role=RelayRole(name=self.name),
            feeds=NoFeeds(),
            reach=self.reach,
            forward_peers=self.forward_peers,
            clock=world.clock,
        )
        self.gossip.start()
        self.forward_codec.set_key(b"shared")
        self.forward_address = f"10.3.0.{len(world.entries)}:1"

    def handle(self, name, exchange):
        if self.world.find(name).is_down:
            exchange.fail(ConnectionFailed("refused"))
        else:
            super().handle(name, exchange)

    def take_forwarded(self, exchange):
        """Handle a request that another entry passes on."""
        headers = exchange.headers | {"host": exchange.host}
        self.world.hops[headers.get(HEADERS.attempt)].add(self.name)
        req = HttpRequest(
            method=exchange.method,
            path=exchange.target.partition("?")[0],
            target=exchange.target,
            query={},
            headers=headers,
            body=exchange.body,
            peer="10.3.0.99",
        )
        reply = ExchangeReply(exchange)
        exchange.on_cancel = reply.leave
        self.forwarded.handle(req, reply)

    def set_life(self, name, life):
        known = self.fleet.get(InstanceId(name))
        reborn = msgspec.structs.replace(known, born_ms=life)
        self.fleet.register(reborn, now_s=self.clock.now())


class CrashWorld:
    """Entries and instances; `sent` and `crashed_s` hold what reached an instance."""

    def __init__(
        self,
        *,
        clock,
        entries=9,
        replicas=40,
        books=2,
        policy=None,
        seed=1,
        failure_domains=("a",),
    ):
        self.clock = clock
        self.failure_domains = failure_domains  # of the entries, in turn
        self.rng = random.Random(seed)
        self.network = Network(clock=clock)
        self.sent = []  # (clock time in s, parts)
        self.crashed_s = []
        self.runs = Counter()  # by attempt
        self.hops = defaultdict(set)  # attempt -> entries that it was passed on to
        self.deadly_targets = set()  # under which instances crash
        self.crashes_after_head = False
        self.deadly_sent = []  # (clock time in s, target) of those that reached one
        self.deadly_crashed_s = []
        self.reads = []  # (clock time in s, reply) of sound requests to plain services
        self.replicas = {
            f"e{n}": Replica(world=self, name=f"e{n}") for n in range(replicas)
        }
        self.books = {
            f"b{n}": PlainReplica(world=self, name=f"b{n}") for n in range(books)
        }
        self.policy = policy
        self.entries = []
        self.sound_replies = []  # (clock time in s, reply)
        self.poison_replies = []
        for _ in range(entries):
            self.start_entry()

    def find(self, name):
        return self.replicas.get(name) or self.books[name]

    def all_replicas(self):
        return [*self.replicas.values(), *self.books.values()]

    def renew_registrations(self):
        """Let all instances that are up write their registrations again."""
        now_s = self.clock.now()
        for entry in self.entries:
            for known in list(entry.fleet.all()):
                replica = self.find(known.id)
                if not replica.is_down:
                    entry.fleet.register(known, now_s=now_s, written_after_s=now_s)

    def start_entry(self):
        entry = Entry(
            world=self,
            name=f"n{len(self.entries)}",
            replicas=len(self.replicas),
            policy=self.policy,
            failure_domain=self.failure_domains[
                len(self.entries) % len(self.failure_domains)
            ],
        )
        self.entries.append(entry)
        for one in self.entries:
            one.peers = {
                other.name: str(other.name)
                for other in self.entries
                if other is not one
            }
            one.forward_peers.set_peers(
                ForwardPeer(
                    name=other.name,
                    address=other.forward_address,
                    failure_domain=other.failure_domain,
                )
                for other in self.entries
                if other is not one
            )
            one.client.handlers |= {
                other.forward_address: other.take_forwarded for other in self.entries
            }
        return entry

    def send(self, *parts, entry=None):
        """Send a request, whose last part is its own, to a random entry."""
        entry = entry or self.rng.choice(self.entries)
        own = f"{self.rng.getrandbits(32):x}"
        prompt = ",".join(f"{part}:100" for part in (*parts, own))
        return entry.send("/draft/1", **{HEADERS.prompt_parts: prompt})

    def send_sound(self):
        """Send a request of the same caller, without the part that crashes."""
        other = f"a{self.rng.randrange(5)}"
        reply = self.send(CALLER_PART, other)
        self.sound_replies.append((self.clock.now(), reply))

    def send_poison(self):
        """Send a request with the part that crashes, among others of sound requests."""
        parts = [CALLER_PART, f"a{self.rng.randrange(5)}", POISON]
        self.rng.shuffle(parts)
        self.poison_replies.append(self.send(*parts))

    def run(self, seconds, *, sound_per_s=30, poison_per_s=0):
        """Send requests at even rates for some seconds."""
        step_s = 0.01
        for step in range(round(seconds / step_s)):
            for rate, send in (
                (sound_per_s, self.send_sound),
                (poison_per_s, self.send_poison),
            ):
                if int((step + 1) * step_s * rate) > int(step * step_s * rate):
                    send()
            self.clock.advance(step_s)

    def send_read(self):
        """Send a sound request to a plain service, half of them the same one."""
        own = "hot" if self.rng.random() < 0.5 else f"{self.rng.getrandbits(32):x}"
        entry = self.rng.choice(self.entries)
        reply = entry.send(f"/look-up/{own}", "GET", b"")
        self.reads.append((self.clock.now(), reply))

    def run_deadly(
        self, seconds, *, target, reads_per_s=12, sound_per_s=120, deadly_per_s=2
    ):
        """Send a request under which instances crash among sound ones."""
        self.deadly_targets.add(target)
        method = "GET" if target.startswith("/look-up/") else "POST"
        body = b"" if method == "GET" else b"deadly"
        for step in range(round(seconds / 0.01)):
            for rate, send in (
                (reads_per_s, self.send_read),
                (sound_per_s, self.send_sound),
                (
                    deadly_per_s,
                    lambda: self.rng.choice(self.entries).send(target, method, body),
                ),
            ):
                if int((step + 1) * 0.01 * rate) > int(step * 0.01 * rate):
                    send()
            self.clock.advance(0.01)

    def reads_served_share(self, start_s):
        """Return the share of sound reads since a time that were served."""
        served = [reply.status == 200 for at_s, reply in self.reads if at_s > start_s]
        return sum(served) / len(served)

    def poison_sent_after(self, start_s):
        """Return how many requests with the part reached instances after a time."""
        return sum(at_s > start_s and POISON in parts for at_s, parts in self.sent)

    def served_share(self, start_s):
        """Return the share of sound requests since a time that were served whole."""
        served = [
            reply.status == 200 for at_s, reply in self.sound_replies if at_s > start_s
        ]
        return sum(served) / len(served)

    def quarantined(self):
        """Return the quarantined parts of each entry."""
        now_s = self.clock.now()
        return [
            {r["part"] for r in e.quarantine.rows(now_s=now_s)} for e in self.entries
        ]
