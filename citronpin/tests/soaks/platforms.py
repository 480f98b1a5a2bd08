"""Simulated platform that is reached over sockets: its store and its instances."""

import base64
import hashlib
import json
import random
from collections import defaultdict
from enum import Enum

from circuits import Component

from citronpin.basics.clocks import ClockTask, SystemClock
from citronpin.basics.runners import Runner
from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.instances import PlatformFleet
from citronpin.tests.platforms.ports import free_port
from citronpin.tests.platforms.requests import ROUTES, event
from citronpin.tests.platforms.simulations import wire_config
from citronpin.tests.platforms.stores import READ_HEADER, PlatformStore
from citronpin.tests.soaks.proxies import FaultProxy
from citronpin.web.replies import HttpHandler
from citronpin.web.servers import WebServer

READ_POLL_INTERVAL_S = 0.02
REWRITE_DELAY_S = 0.2  # until the operator and the instances write lost records again
LAST_EVENT = 20  # number of the last event of a stream; the first is 0
EVENT_INTERVAL_S = 0.03
CRASH_DELAY_S = 0.03  # from the start of an answer under which the instance crashes
RESTART_S = 2.0
SERVICE_TIME_S = 0.02
NOT_RUN_HEADERS = {HEADERS.not_run: "1"}
# Bytes that are no event, with blank lines that could end one.
FOREIGN_BYTES = b"\x00\xfe\n\ntext\n\nHTTP/1.1 500 Error\r\n\r\n" * 40


class Garble(Enum):
    """What follows foreign bytes in an answer."""

    MORE = "more"  # of them, until the client closes the connection
    REST = "rest"  # of the answer
    END = "end"  # of the answer, as if it were complete
    BREAK = "break"  # of the connection


class GarbledAnswers:
    """Which of the next answers are garbled, and how."""

    def __init__(self, *, seed):
        self._rng = random.Random(seed)
        self.share = 0.0

    def draw(self):
        """Return the event before which foreign bytes come, and what follows them.

        The event is ``None`` if the answer is sound.
        """
        how = self._rng.choice(list(Garble))
        number = self._rng.randint(0, LAST_EVENT + 1)
        is_garbled = self._rng.random() < self.share
        return (number, how) if is_garbled else (None, None)


class LiveExchange:
    """A request to a server of the simulation, with the interface of its handlers."""

    def __init__(self, req, reply):
        self.method, self.target = req.method, req.target
        self.headers, self.body = req.headers, req.body
        self.reply = reply
        self.is_gone = False  # whether the client closed the connection
        reply.on_disconnect = self._on_gone

    def _on_gone(self):
        self.is_gone = True

    def answer(self, status, body=b"", headers=None):
        """Send a complete reply."""
        self.reply.send_response(status, body, headers=headers)


class ExchangeHandler(HttpHandler):
    """Passes each request to a callback as a `LiveExchange`."""

    def __init__(self, on_exchange):
        self._on_exchange = on_exchange

    def handle(self, req, reply):
        self._on_exchange(LiveExchange(req, reply))


class LimitEpisode:
    """A limit that one life of an instance names; attempts with their clock times."""

    def __init__(self, *, rate, born):
        self.rate = rate  # requests per second
        self.born = born
        self.arrivals = []
        self.answers = []  # that named the limit


class ColdEpisode:
    """A cold phase of an instance; attempts with their clock times."""

    def __init__(self, *, start_s, end_s):
        self.start_s = start_s
        self.end_s = end_s
        self.arrivals = []


class NetworkStub:
    """Takes what the fleet registers at its network; requests go through sockets."""

    def __init__(self):
        self.handlers = {}
        self.silent = set()


class LivePlatform:
    """Runs store and instances in one event loop.

    Gateways reach the store through one proxy for each node, and each instance through
    a proxy of its own. The nodes of ``cuttable`` reach each instance through one more,
    which only they use: the store tells them its address. The instances are in
    ``zones`` by turns; the configuration limits cold ones if ``cold_per_s`` is above 0.
    """

    def __init__(self, *, nodes, cuttable=(), zones=("a",), cold_per_s=0.0):
        self.zones = zones
        self.cold_per_s = cold_per_s
        self.evacuated = {}  # zone -> (clock time in s, evacuations that last)
        self.evacuations = []  # (zone, start_s, end_s) of those that ended
        self.evacuated_arrivals = []  # (clock time in s, zone, attempt)
        self.cold_episodes = {}  # instance -> its latest `ColdEpisode`
        self.all_cold_episodes = []
        self.clock = SystemClock()
        root = Component()
        ClockTask(clock=self.clock).register(root)
        self._root = root
        self._runner = Runner(root=root, clock=self.clock)
        self.store = PlatformStore(clock=self.clock)
        self.network = NetworkStub()
        self.fleet = PlatformFleet(
            clock=self.clock, network=self.network, store=self.store
        )
        self.fleet.serve = self._serve_request
        self.runs = defaultdict(list)  # attempt -> instances that started to run it
        # Clock times of the requests with a part of a prompt, or a target, under which
        # instances crash, and times at which instances ended under it.
        self.crashing_keys = {}
        self.crashes = defaultdict(list)
        self.limits = {}  # instance -> its latest `LimitEpisode`, while it lasts
        self.limit_episodes = []
        self.garbled = GarbledAnswers(seed=1)
        self.rest = {}  # instance -> value of Retry-After with which it refuses
        self.rests = []  # (clock time in s, instance, attempt, value) of refusals
        self.leaving = set()  # instances whose answers say that they leave
        self.left = []  # (clock time in s, instance, life, attempt) of these answers
        # (clock time in s, instance, life, attempt) of all requests, while some rest or
        # leave.
        self.arrivals = []
        self.config_version = 0
        self.instance_proxies = {}  # instance -> proxy
        self.cut_proxies = {node: {} for node in cuttable}  # node -> instance -> proxy
        self.store_proxies = {  # node -> proxy
            node: FaultProxy(port=0, target_port=self._listen_as_store(node))
            for node in nodes
        }
        for number in range(10):
            self.add_instance(f"i-{number}", "d0")
        for number in range(3):
            self.add_instance(f"b-{number}", "", service="book")
        self.publish_config()

    def start(self):
        self._runner.start()

    def stop(self):
        self._runner.stop()
        proxies = [*self.instance_proxies.values(), *self.store_proxies.values()]
        for found in self.cut_proxies.values():
            proxies += found.values()
        for proxy in proxies:
            proxy.close()

    def call(self, function):
        """Run a function in the event loop and return its result."""
        return self._runner.call(function)

    def _listen_as_store(self, node):
        """Listen for the calls of a node to the store and return the port."""
        return self._listen(
            free_port(), lambda exchange: self._handle_store_request(node, exchange)
        )

    def _listen(self, port, on_exchange):
        WebServer(
            bind=("127.0.0.1", port),
            target=ExchangeHandler(on_exchange),
            clock=self.clock,
            channel=f"web-{port}",
        ).register(self._root)
        return port

    def add_instance(self, name, domain, service="engines"):
        """Start an instance behind a new proxy, whose address its entry has."""
        port = free_port()
        proxy = FaultProxy(port=0, target_port=port)
        new_instance = self.fleet.add(
            name,
            domain,
            zone=self.zones[len(self.fleet.instances) % len(self.zones)],
            address=proxy.address,
            service=service,
        )
        self.instance_proxies[name] = proxy
        for proxies in self.cut_proxies.values():
            proxies[name] = FaultProxy(port=free_port(), target_port=proxy.port)
        self._listen(
            port,
            lambda exchange: self._handle_instance_request(new_instance, exchange),
        )

    def evacuate(self, zone):
        """Write an evacuation, unless one of the zone lasts."""
        start_s, count = self.evacuated.get(zone, (self.clock.now(), 0))
        self.evacuated[zone] = (start_s, count + 1)
        self._put_evacuation(zone)

    def revoke(self, zone):
        """Delete an evacuation, unless another one of the zone lasts."""
        start_s, count = self.evacuated.pop(zone)
        if count > 1:
            self.evacuated[zone] = (start_s, count - 1)
            return
        self.evacuations.append((zone, start_s, self.clock.now()))
        self._put_evacuation(zone)

    def _put_evacuation(self, zone):
        value = b"{}" if zone in self.evacuated else b""
        self.store.put("keyed.op", f"evacuate/{zone}", value)

    def make_cold(self, zone, seconds):
        """Let the instances of a zone be cold, as their registrations say."""
        now_s = self.clock.now()
        for instance in self.fleet.instances.values():
            if instance.zone != zone or instance.cold_until_s > now_s:
                continue
            instance.cold_until_s = now_s + seconds
            episode = ColdEpisode(start_s=now_s, end_s=now_s + seconds)
            self.cold_episodes[instance.name] = episode
            self.all_cold_episodes.append(episode)
            instance.write_entry()

    def limit_instances(self, service, rate):
        """Let all instances of a service name a limit, or none any more."""
        for instance in self.fleet.instances.values():
            if instance.service == service:
                self.limits.pop(instance.name, None)
                if rate is not None:
                    self._begin_episode(instance, rate)

    def _begin_episode(self, instance, rate):
        episode = LimitEpisode(rate=rate, born=instance.born)
        self.limits[instance.name] = episode
        self.limit_episodes.append(episode)
        return episode

    def _find_episode(self, instance):
        episode = self.limits.get(instance.name)
        if episode is not None and episode.born != instance.born:
            return self._begin_episode(instance, episode.rate)
        return episode

    def _answer_headers(self, instance, attempt, digest=None):
        """Return the headers of an answer, with the limit of the instance."""
        headers = {HEADERS.attempt: attempt} | instance.cold_headers
        if digest is not None:
            headers[HEADERS.digest] = digest
        episode = self._find_episode(instance)
        if episode is not None:
            headers[HEADERS.request_limit] = str(episode.rate)
            episode.answers.append((self.clock.now(), attempt))
        if instance.name in self.leaving:
            headers[HEADERS.leaving] = "1"
            row = (self.clock.now(), instance.name, instance.born, attempt)
            self.left.append(row)
        return headers

    def ask_for_rest(self, service, value):
        """Let every second instance of a service refuse requests, or none any more."""
        names = [
            name
            for name, instance in self.fleet.instances.items()
            if instance.service == service
        ]
        for name in names[::2]:
            self.rest[name] = value
        if value is None:
            self.rest.clear()

    def publish_config(self):
        """Write the next configuration to the store and return its version.

        Version N has a route for each version from 1 to N, so that a request shows
        whether a node has applied a version.
        """
        self.config_version += 1
        self._put_config()
        return self.config_version

    def _put_config(self):
        version_routes = [
            {
                "name": f"version-{number}",
                "host": "marks.example",
                "path-prefix": f"/v{number}/",
                "kind": "safe",
                "timeout-ms": 800,
                "service": "book",
                "public": True,
            }
            for number in range(1, self.config_version + 1)
        ]
        cfg = wire_config(version=self.config_version, routes=ROUTES + version_routes)
        if self.cold_per_s > 0.0:
            for service in cfg["services"]:
                service |= {"cold-start-s": 2.0, "cold-per-s": self.cold_per_s}
        self.store.put("keyed.op", "config", json.dumps(cfg).encode())

    def restore_store(self, lost_s):
        """Let the store come back from a copy, and write again what others wrote."""
        self.store.go_back(lost_s)
        self.store.down = False
        self.clock.call_later(REWRITE_DELAY_S, self._write_again)

    def _write_again(self):
        self._put_config()
        for zone in {*self.evacuated, *(zone for zone, _, _ in self.evacuations)}:
            self._put_evacuation(zone)
        for instance in self.fleet.instances.values():
            instance.write_entry()

    def cut(self, node, service, how):
        """Cut a node off from the instances of a service.

        ``how`` is one of hang, reset, full, mute and close, as `Cut` has them.
        """
        for name, proxy in self.cut_proxies[node].items():
            if service in (None, self.fleet.instances[name].service):
                if how in ("hang", "mute"):
                    proxy.dropped_directions = frozenset([proxy.UP, proxy.DOWN])
                if how == "hang":
                    proxy.hang_new_connections()
                elif how == "close":
                    proxy.close_new_connections()
                elif how != "mute":
                    proxy.refuse_new_connections()
                if how in ("reset", "close"):
                    proxy.reset_connections()

    def heal(self, node):
        """End the cuts of a node."""
        for proxy in self.cut_proxies[node].values():
            proxy.clear_faults()
            proxy.accept_new_connections()

    def _for_node(self, node, target, body):
        """Return an answer of the store with the addresses that a node reaches."""
        proxies = self.cut_proxies.get(node)
        if not proxies:
            return body
        if "/log-newest" in target:
            answer = json.loads(body)
            for item in answer["items"]:
                value = base64.b64decode(item.get("value") or b"")
                item["value"] = base64.b64encode(self._replace(proxies, value)).decode()
            return json.dumps(answer).encode()
        return self._replace(proxies, body) if "/log-read" in target else body

    def _replace(self, proxies, data):
        """Replace the addresses of instances by others of the same length."""
        for name, proxy in proxies.items():
            known = self.instance_proxies[name].address.encode()
            data = data.replace(known, proxy.address.encode())
        return data

    def _handle_store_request(self, node, exchange):
        """Answer a call to the store; hold a read without records up to its wait."""
        waited_s = 0.0
        wait_s = _read_wait_s(exchange.target)

        def answer_or_wait():
            nonlocal waited_s
            answer = self.store.handle(exchange.method, exchange.target, exchange.body)
            if answer is None or exchange.is_gone:
                return
            has_no_records = answer[0] == 200 and len(answer[1]) == READ_HEADER.size
            if has_no_records and waited_s < wait_s:
                waited_s += READ_POLL_INTERVAL_S
                self.clock.call_later(READ_POLL_INTERVAL_S, answer_or_wait)
                return
            status, body, *rest = answer
            if status == 200:
                body = self._for_node(node, exchange.target, body)
            exchange.answer(status, body, *rest)

        answer_or_wait()

    def _handle_instance_request(self, instance, exchange):
        if not instance.dead:
            instance.handle(exchange)

    def _serve_request(self, instance, exchange):
        """Run a request of a caller: a single answer, or a stream by a group's head."""
        attempt = exchange.headers.get(HEADERS.attempt, "")
        episode = self._find_episode(instance)
        if episode is not None:
            episode.arrivals.append((self.clock.now(), attempt))
        if instance.zone in self.evacuated:
            row = (self.clock.now(), instance.zone, attempt)
            self.evacuated_arrivals.append(row)
        if instance.name in self.cold_episodes:
            cold = self.cold_episodes[instance.name]
            cold.arrivals.append((self.clock.now(), attempt))
        if self.rest or self.leaving or self.rests:
            row = (self.clock.now(), instance.name, instance.born, attempt)
            self.arrivals.append(row)
        if instance.name in self.rest:
            self._refuse_for_rest(instance, exchange, attempt)
            return
        if instance.service != "engines":
            self.runs[attempt].append(instance.name)
            if exchange.target in self.crashing_keys:
                self._crash_soon(instance, exchange, exchange.target)
                return
            self.clock.call_later(
                SERVICE_TIME_S, lambda: self._send_answer(instance, exchange, attempt)
            )
            return
        if instance not in self.fleet.open_heads():
            headers = self._answer_headers(instance, attempt)
            exchange.answer(503, headers=NOT_RUN_HEADERS | headers)
            return
        self.runs[attempt].append(instance.name)
        last_received = exchange.headers.get(HEADERS.last_event)
        answer_headers = self._answer_headers(instance, attempt, "stream")
        exchange.reply.start(200, "text/event-stream", answer_headers)
        key = self._find_crashing_key(exchange)
        if key is not None:
            self._crash_soon(instance, exchange, key)
            return
        self._send_events(
            instance,
            exchange,
            instance.member,
            0 if not last_received else int(last_received) + 1,
            self.garbled.draw(),
        )

    def _refuse_for_rest(self, instance, exchange, attempt):
        value = self.rest[instance.name]
        self.rests.append((self.clock.now(), instance.name, attempt, value))
        headers = self._answer_headers(instance, attempt) | {"Retry-After": value}
        exchange.answer(503, headers=NOT_RUN_HEADERS | headers)

    def _find_crashing_key(self, exchange):
        text = exchange.headers.get(HEADERS.prompt_parts, "")
        parts = [entry.partition(":")[0] for entry in text.split(",")]
        keys = [exchange.target, *parts]
        return next((key for key in keys if key in self.crashing_keys), None)

    def _crash_soon(self, instance, exchange, key):
        self.crashing_keys[key].append(self.clock.now())
        self.clock.call_later(
            CRASH_DELAY_S, lambda: self._crash(instance, exchange, key)
        )

    def _crash(self, instance, exchange, key):
        """End an instance and all its connections, and start it again later."""
        exchange.reply.abort()
        if instance.dead:
            return
        self.crashes[key].append(self.clock.now())
        instance.kill()
        self.instance_proxies[instance.name].reset_connections()
        self.clock.call_later(RESTART_S, lambda: self._restart(instance))

    def _restart(self, instance):
        if instance.dead:
            instance.restart()

    def _send_answer(self, instance, exchange, attempt):
        if instance.dead:
            return
        body = answer_body(attempt)
        headers = self._answer_headers(instance, attempt, body_digest(body))
        if self.garbled.draw()[0] is None:
            exchange.answer(200, body, headers)
            return
        exchange.reply.start(200, "application/json", headers)
        exchange.reply.push(body[: len(body) // 2])
        exchange.reply.abort()

    def _send_foreign_bytes(self, exchange):
        if not exchange.is_gone:
            exchange.reply.push(FOREIGN_BYTES)
            self.clock.call_later(
                EVENT_INTERVAL_S, lambda: self._send_foreign_bytes(exchange)
            )

    def _send_events(self, instance, exchange, member, number, garbled):
        """Send event ``number`` and schedule the next one.

        The stream stalls when an instance of the group is dead, and is aborted when the
        head is no longer an open or closing member of the group. Foreign bytes come
        where ``garbled`` says.
        """
        if exchange.is_gone or instance.dead:
            return
        if instance.member is not member or member.state not in ("open", "closing"):
            exchange.reply.abort()
            return
        group_instances = [self.fleet.instances[name] for name in member.members]
        if any(group_instance.dead for group_instance in group_instances):
            return
        garbled_number, how = garbled
        if number == garbled_number:
            if how is Garble.MORE:
                self._send_foreign_bytes(exchange)
                return
            exchange.reply.push(FOREIGN_BYTES)
            if how is Garble.END:
                exchange.reply.finish()
                return
            if how is Garble.BREAK:
                exchange.reply.abort()
                return
        if number > LAST_EVENT:
            exchange.reply.finish()
            return
        exchange.reply.push(event(number))
        self.clock.call_later(
            EVENT_INTERVAL_S,
            lambda: self._send_events(instance, exchange, member, number + 1, garbled),
        )


def answer_body(attempt):
    """Return the body of the complete answer to an attempt."""
    return json.dumps({"attempt": attempt, "text": "x" * 200}).encode()


def body_digest(body):
    """Return the digest of a body, 16 hexadecimal digits."""
    return hashlib.sha256(body).hexdigest()[:16]


def _read_wait_s(target):
    """Return the time in s that a read waits for records; 0 if none is given."""
    _, _, text = target.partition("wait-ms=")
    return int(text.partition("&")[0] or 0) / 1000
