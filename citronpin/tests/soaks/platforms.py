"""The stand-in of the platform behind sockets: its store and its instances."""

import hashlib
import json
import socket
from collections import defaultdict

from circuits import Component

from citronpin.basics.clocks import ClockTask, SystemClock
from citronpin.basics.runners import Runner
from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.instances import PlatformFleet
from citronpin.tests.platforms.requests import ROUTES, event
from citronpin.tests.platforms.simulations import wire_config
from citronpin.tests.platforms.stores import READ_HEADER, PlatformStore
from citronpin.tests.soaks.proxies import FaultProxy
from citronpin.web.replies import HttpHandler
from citronpin.web.servers import WebServer

WAIT_STEP_S = 0.02
EVENTS = 20
EVENT_PAUSE_S = 0.03
WORK_S = 0.02
NOT_RUN = {HEADERS.not_run: "1"}


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class LiveExchange:
    """A request at a server of the stand-in, as its handlers know it."""

    def __init__(self, req, reply):
        self.method, self.target = req.method, req.target
        self.headers, self.body = req.headers, req.body
        self.reply = reply
        self.gone = False
        reply.on_disconnect = self._leave

    def _leave(self):
        self.gone = True

    def answer(self, status, body=b"", headers=None):
        self.reply.send_response(status, body, headers=headers)


class Served(HttpHandler):
    """Gives each request to a function as a `LiveExchange`."""

    def __init__(self, take):
        self._take = take

    def handle(self, req, reply):
        self._take(LiveExchange(req, reply))


class Wire:
    """Where the stand-in of instances notes who is silent."""

    def __init__(self):
        self.handlers = {}
        self.silent = set()


class LivePlatform:
    """Store and instances in one loop; each instance is reached through a proxy."""

    def __init__(self, *, nodes):
        self.clock = SystemClock()
        root = Component()
        ClockTask(clock=self.clock).register(root)
        self._root = root
        self._runner = Runner(root=root, clock=self.clock)
        self.store = PlatformStore(clock=self.clock)
        self.network = Wire()
        self.fleet = PlatformFleet(
            clock=self.clock, network=self.network, store=self.store
        )
        self.fleet.serve = self._serve
        self.runs = defaultdict(list)  # attempt -> instances that began to run it
        self.version = 0
        self.proxies = {}  # instance -> proxy
        store_port = self._listen(free_port(), self._ask_store)
        self.store_proxies = {
            node: FaultProxy(port=0, target_port=store_port) for node in nodes
        }
        for number in range(10):
            self.add(f"i-{number}", "d0")
        for number in range(3):
            self.add(f"b-{number}", "", service="book")
        self.configure()

    def start(self):
        self._runner.start()

    def stop(self):
        self._runner.stop()
        for proxy in [*self.proxies.values(), *self.store_proxies.values()]:
            proxy.close()

    def call(self, function):
        """Run a function in the loop of the stand-in."""
        return self._runner.call(function)

    def _listen(self, port, take):
        WebServer(
            bind=("127.0.0.1", port),
            target=Served(take),
            clock=self.clock,
            channel=f"web-{port}",
        ).register(self._root)
        return port

    def add(self, name, domain, service="engines"):
        port = free_port()
        proxy = FaultProxy(port=0, target_port=port)
        made = self.fleet.add(name, domain, address=proxy.address, service=service)
        self.proxies[name] = proxy
        self._listen(port, lambda exchange: self._ask_instance(made, exchange))

    def configure(self):
        """Write the next configuration; each keeps the routes of those before."""
        self.version += 1
        markers = [
            {
                "name": f"version-{number}",
                "host": "marks.example",
                "path-prefix": f"/v{number}/",
                "kind": "safe",
                "timeout-ms": 800,
                "service": "book",
                "public": True,
            }
            for number in range(1, self.version + 1)
        ]
        cfg = wire_config(version=self.version, routes=ROUTES + markers)
        self.store.put("keyed.op", "config", json.dumps(cfg).encode())
        return self.version

    def _ask_store(self, exchange):
        waited_s = 0.0
        wait_s = _wait_s(exchange.target)

        def ask():
            nonlocal waited_s
            answer = self.store.handle(exchange.method, exchange.target, exchange.body)
            if answer is None or exchange.gone:
                return
            nothing_new = answer[0] == 200 and len(answer[1]) == READ_HEADER.size
            if nothing_new and waited_s < wait_s:
                waited_s += WAIT_STEP_S
                self.clock.call_later(WAIT_STEP_S, ask)
                return
            exchange.answer(*answer)

        ask()

    def _ask_instance(self, instance, exchange):
        if not instance.dead:
            instance.handle(exchange)

    def _serve(self, instance, exchange):
        attempt = exchange.headers.get(HEADERS.attempt, "")
        if instance.service != "engines":
            self.runs[attempt].append(instance.name)
            self.clock.call_later(
                WORK_S, lambda: self._answer(instance, exchange, attempt)
            )
            return
        if instance not in self.fleet.open_heads():
            exchange.answer(503, headers=NOT_RUN | {HEADERS.attempt: attempt})
            return
        self.runs[attempt].append(instance.name)
        last = exchange.headers.get(HEADERS.last_event)
        head = {HEADERS.attempt: attempt, HEADERS.digest: "stream"}
        exchange.reply.start(200, "text/event-stream", head)
        self._write(
            instance, exchange, instance.member, 0 if not last else int(last) + 1
        )

    def _answer(self, instance, exchange, attempt):
        if not instance.dead:
            body = answer_of(attempt)
            exchange.answer(
                200, body, {HEADERS.attempt: attempt, HEADERS.digest: digest_of(body)}
            )

    def _write(self, instance, exchange, member, number):
        """Write the next event, unless the group stands still or was closed."""
        if exchange.gone or instance.dead:
            return
        if instance.member is not member or member.state not in ("open", "closing"):
            exchange.reply.abort()
            return
        members = [self.fleet.instances[name] for name in member.members]
        if any(one.dead for one in members):
            return
        if number > EVENTS:
            exchange.reply.finish()
            return
        exchange.reply.push(event(number))
        self.clock.call_later(
            EVENT_PAUSE_S,
            lambda: self._write(instance, exchange, member, number + 1),
        )


def answer_of(attempt):
    """Return the body of the whole answer to an attempt."""
    return json.dumps({"attempt": attempt, "text": "x" * 200}).encode()


def digest_of(body):
    return hashlib.sha256(body).hexdigest()[:16]


def _wait_s(target):
    _, _, text = target.partition("wait-ms=")
    return int(text.partition("&")[0] or 0) / 1000
