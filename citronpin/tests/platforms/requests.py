"""Sends requests of callers through a front to instances that a test scripts."""

import json
import random

from citronpin.basics.ids import (
    ApplicationName,
    DomainName,
    EntryId,
    FailureDomainName,
    GroupId,
    InstanceId,
    ModelName,
)
from citronpin.basics.metrics import Metrics
from citronpin.gateway.budgets import RetryBudget
from citronpin.gateway.cold_starts import ColdStarts
from citronpin.gateway.contexts import ExchangeContext
from citronpin.gateway.evacuations import Evacuations
from citronpin.gateway.facts import Facts
from citronpin.gateway.fingerprints import Fingerprints
from citronpin.gateway.fleets import Fleet, FleetInstance, Membership, Phase
from citronpin.gateway.forward_codecs import ForwardCodec
from citronpin.gateway.forward_peers import ForwardPeers
from citronpin.gateway.fronts import ForwardHandler, FrontHandler
from citronpin.gateway.instance_gates import InstanceGate
from citronpin.gateway.limits import InstanceLimits
from citronpin.gateway.load_trackers import LoadTracker
from citronpin.gateway.overloads import FirstEventTimes, ObjectiveLoadLimit
from citronpin.gateway.permits import SharedPermits
from citronpin.gateway.placers import LeastLoaded
from citronpin.gateway.quarantines import ConsecutiveCrashes, CrashQuarantine
from citronpin.gateway.reachabilities import Reachability
from citronpin.gateway.request_logs import RequestLog
from citronpin.gateway.rests import InstanceRests
from citronpin.gateway.suspects import Suspects
from citronpin.gateway.withdrawals import Withdrawals
from citronpin.platform.names import HEADERS
from citronpin.platform.orders import REPORT_PATH, HttpInstanceControl
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.simulations import make_routing_table
from citronpin.web.replies import HttpRequest

HOST = "towers.example"
STREAM_ROUTE = {
    "name": "draft",
    "host": HOST,
    "path-prefix": "/draft/",
    "kind": "stream",
    "timeout-ms": 6000,
    "target-latency-ms": 300,
    "gap-aim-ms": 200,
    "service": "engines",
    "max-attempts": 2,
    "resumable": True,
}
SAFE_ROUTE = {
    "name": "look-up",
    "host": HOST,
    "path-prefix": "/look-up/",
    "kind": "safe",
    "timeout-ms": 800,
    "target-latency-ms": 400,
    "service": "book",
    "max-attempts": 2,
}
UNSAFE_ROUTE = SAFE_ROUTE | {
    "name": "swap",
    "path-prefix": "/swap/",
    "kind": "unsafe",
    "max-attempts": 1,
}
ROUTES = [STREAM_ROUTE, SAFE_ROUTE, UNSAFE_ROUTE]
STALL_CHECK_INTERVAL_S = 0.05


class CallerReply:
    """Records the reply that a caller receives."""

    buffered_bytes = 0  # that the caller has not taken

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.ended = False
        self.aborted = False
        self.on_disconnect = None
        self.closes = False

    @property
    def unread_bytes(self):
        return self.buffered_bytes

    def send_response(self, status, body=b"", content_type="", headers=None):
        assert self.status is None, "the reply has started already"
        self.status, self.body = status, body
        self.headers = {k.lower(): v for k, v in (headers or {}).items()}
        self.ended = True

    def start(self, status, content_type, headers=None):
        assert self.status is None, "the reply has started already"
        self.status = status
        self.headers = headers or {}

    def push(self, data):
        assert not self.ended, "data after the end of the reply"
        self.body += data

    def finish(self):
        self.ended = True

    def abort(self):
        self.ended = self.aborted = True

    def close_after(self):
        self.closes = True

    def leave(self):
        """Close the connection before the reply ends."""
        self.on_disconnect()

    @property
    def outcome(self):
        return json.loads(self.body)["outcome"]


class FrontHarness:
    """A front with scripted instances.

    ``scripts`` maps the name of an instance, or ``"*"``, to a handler of exchanges.
    """

    def __init__(
        self,
        *,
        clock,
        engines=3,
        books=2,
        policy=None,
        name="n0",
        client=None,
        failure_domain="a",
        share_facts=False,
        **config,
    ):
        self.clock = clock
        self.metrics = Metrics()
        self.client = client or MemoryClient(clock=clock)
        self.suspects = Suspects()
        self.fleet = Fleet(on_rejoined=self.suspects.discard)
        self.scripts = {}
        self.loads = LoadTracker()
        self.quarantine = CrashQuarantine(policy=policy or ConsecutiveCrashes())
        self.name = EntryId(name)
        self.cold_starts = ColdStarts(now=clock.now, fleet=self.fleet)
        self.limits = InstanceLimits(now=clock.now, cold_starts=self.cold_starts)
        self.rests = InstanceRests(now=clock.now)
        self.facts = Facts(entry=self.name, clock=clock, is_shared=share_facts)
        self.withdrawals = Withdrawals(facts=self.facts)
        self.evacuations = Evacuations(now=clock.now)
        self.gate = InstanceGate(
            fleet=self.fleet,
            limits=self.limits,
            rests=self.rests,
            suspects=self.suspects,
            clock=clock,
            withdrawals=self.withdrawals,
            evacuations=self.evacuations,
        )
        self.fingerprints = Fingerprints()
        self.fingerprints.set_key(b"shared")
        self.permits = SharedPermits(entry=self.name, limits=self.limits, clock=clock)
        self.permits.set_members(owners=[self.name], share=1.0)
        for number in range(engines):
            self.add(f"e{number}", "engines", head=True)
        for number in range(books):
            self.add(f"b{number}", "book")
        rng = random.Random(7)
        first_event_times = FirstEventTimes()
        self.reach = Reachability(
            fleet=self.fleet,
            client=self.client,
            control=HttpInstanceControl(client=self.client),
            clock=clock,
            rng=random.Random(8),
        )
        self.failure_domain = FailureDomainName(failure_domain)
        self.forward_peers = ForwardPeers(
            failure_domain=self.failure_domain, clock=clock, rng=random.Random(9)
        )
        self.forward_codec = ForwardCodec(entry=self.name)
        self.context = ExchangeContext(
            clock=clock,
            client=self.client,
            names=HEADERS,
            fleet=self.fleet,
            placer=LeastLoaded(
                fleet=self.fleet,
                loads=self.loads,
                gate=self.gate,
                failure_domain=FailureDomainName("a"),
                rng=rng,
                limit_policy=ObjectiveLoadLimit(first_event_times=first_event_times),
            ),
            loads=self.loads,
            suspects=self.suspects,
            quarantine=self.quarantine,
            limits=self.limits,
            rests=self.rests,
            gate=self.gate,
            permits=self.permits,
            fingerprints=self.fingerprints,
            first_event_times=first_event_times,
            reach=self.reach,
            forward_peers=self.forward_peers,
            forward_codec=self.forward_codec,
            log=RequestLog(metrics=self.metrics),
            rng=rng,
            make_budget=lambda: RetryBudget(ratio=0.2, slack=100, window_s=10),
            withdrawals=self.withdrawals,
        )
        self.context.table = make_routing_table(**({"routes": ROUTES} | config))
        self.cold_starts.set_services(self.context.table.cfg.services)
        self.front = FrontHandler(context=self.context)
        self.forwarded = ForwardHandler(context=self.context, codec=self.forward_codec)
        self.request_count = 0
        self.probe_delay_s = 0.0  # from the arrival of a probe until its answer
        self._check_streams()

    def _check_streams(self):
        self.clock.call_later(STALL_CHECK_INTERVAL_S, self._check_streams)
        for exchange in list(self.context.open_exchanges):
            exchange.check_stall(self.clock.now())
            exchange.check_quarantine()

    def add(self, name, service, head=False, epoch=1, address=None):
        """Register an instance; one with an ``address`` listens there itself."""
        is_scripted = address is None
        if is_scripted:
            address = f"10.1.0.{len(self.client.handlers) + 1}:80"
        membership = Membership(
            group=GroupId(name), epoch=epoch, rank=0, phase=Phase.OPEN
        )
        self.fleet.register(
            FleetInstance(
                id=InstanceId(name),
                service=ApplicationName(service),
                address=address,
                failure_domain=FailureDomainName("a"),
                slots=9,
                domain=DomainName("d0"),
                models=(ModelName("small"),) if head else (),
                membership=membership if head else None,
            ),
            now_s=self.clock.now(),
        )
        self.fleet.is_loaded = True
        if is_scripted:
            self.client.handlers[address] = lambda exchange: self.handle(name, exchange)

    def handle(self, name, exchange):
        """Answer probes of the path; the scripts handle all other exchanges."""
        if exchange.target == REPORT_PATH:
            self.clock.call_later(self.probe_delay_s, lambda: exchange.answer(404))
        else:
            self.script(name)(exchange)

    def sent_requests(self):
        """Return the exchanges that carry requests, without probes of the path."""
        return [one for one in self.client.sent if one.target != REPORT_PATH]

    def script(self, name):
        return self.scripts.get(name) or self.scripts["*"]

    def send(self, path, method="POST", body=b"text", **headers):
        """Send a request and return its reply."""
        self.request_count += 1
        reply = CallerReply()
        default_headers = {
            "host": HOST,
            HEADERS.attempt: f"a{self.request_count}",
            HEADERS.key: "key-1",
            HEADERS.deadline_ms: "5000",
            HEADERS.model: "small",
        }
        default_headers |= {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        req = HttpRequest(
            method=method,
            path=path,
            target=path,
            query={},
            headers={
                name: value
                for name, value in default_headers.items()
                if value is not None
            },
            body=body,
            peer="10.2.0.1",
        )
        self.front.handle(req, reply)
        return reply


def instance_headers(exchange, **more):
    """Return the headers with which an instance identifies its answer."""
    echo = {HEADERS.attempt: exchange.headers[HEADERS.attempt]}
    return echo | {HEADERS.digest: "3e1b.07"} | more


def event(number):
    """Return the bytes of one stream event."""
    return b"id: %d\ndata: token-%d\n\n" % (number, number)


class ScriptedStream:
    """Answers with events, ``pause_s`` apart, after the last one that was received."""

    def __init__(self, *, clock, last=10, pause_s=0.05, stop_after=None, then=None):
        self.clock = clock
        self.last = last
        self.pause_s = pause_s
        self.stop_after = stop_after  # number of the last event before the fault
        self.then = then  # causes the fault; ``None`` leaves the stream stalled
        self.exchanges = []

    def __call__(self, exchange):
        self.exchanges.append(exchange)
        asked = exchange.headers.get(HEADERS.last_event)
        exchange.head(
            200, instance_headers(exchange, **{"content-type": "text/event-stream"})
        )
        self._next(exchange, 0 if asked is None else int(asked) + 1)

    def _next(self, exchange, number):
        if self.stop_after is not None and number > self.stop_after:
            if self.then is not None:
                self.then(exchange)
            return
        if number > self.last:
            exchange.end()
            return
        exchange.data(event(number))
        self.clock.call_later(self.pause_s, lambda: self._next(exchange, number + 1))


def whole_stream(last=10):
    """Return the complete body that a caller must receive."""
    return b"".join(event(number) for number in range(last + 1))
