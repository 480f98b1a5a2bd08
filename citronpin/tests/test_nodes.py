"""A stopping node releases its leases as soon as other entries can acquire them."""

import random
from contextlib import contextmanager

import pytest

from citronpin.basics.ids import EntryId, FailureDomainName, InstanceId
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.nodes import (
    AdmissionKind,
    GatewayNode,
    MemoryKind,
    NodeSettings,
    PlatformConnector,
)
from citronpin.gateway.overloads import Pending
from citronpin.gateway.placers import LeastLoaded, PlacementPolicy
from citronpin.gateway.ports import DomainLeases, InstanceControl
from citronpin.gateway.relays import UNKNOWN_CAPACITY
from citronpin.gateway.slow_readers import BoundedReaders
from citronpin.gateway.token_memories import ReportedMemory
from citronpin.gateway.work_placers import WorkPlacer
from citronpin.platform.names import HEADERS
from citronpin.web.clients import HttpClient

ANY_PORT = "127.0.0.1:0"
GRACE_S = 8.0


class AllLeases(DomainLeases):
    """Leases on all domains; ``store_lost`` simulates an unreachable store."""

    store_lost = False
    generation = 1

    def holds(self, domain):
        return True

    def set_extended(self, allowed):
        raise AssertionError("no message of another entry came")

    def set_participating(self, allowed):
        raise AssertionError("no message of another entry came")


class NoControl(InstanceControl):
    """Fails on every call, since no instance is known."""

    def order(self, **order):
        raise AssertionError("no instance is known")

    def report(self, **question):
        raise AssertionError("no instance is known")

    def probe(self, **question):
        raise AssertionError("no instance is known")


class RecordingConnector(PlatformConnector):
    """Records the clock times of calls to ``release_leases`` and ``stop``."""

    def __init__(self, clock):
        self.names = HEADERS
        self.control = NoControl()
        self.leases = AllLeases()
        self.clock = clock
        self.released_s = []
        self.stopped_s = []

    def start(self, node):
        """Feed no data to the node."""

    def release_leases(self):
        self.released_s.append(self.clock.now())

    def stop(self):
        self.stopped_s.append(self.clock.now())

    def peer_addresses(self):
        return {}

    def capacity_of(self, entry):
        return UNKNOWN_CAPACITY

    def forward_peers(self):
        return ()

    def reload(self):
        """Apply no settings."""


def flush_events(node):
    """Process all queued events."""
    while len(node):
        node.flush()


@pytest.fixture
def connector(paused_clock):
    return RecordingConnector(paused_clock)


@contextmanager
def started_node(paused_clock, connector, **settings):
    node = GatewayNode(
        cfg=NodeSettings(
            name=EntryId("entry-1"),
            failure_domain=FailureDomainName("a"),
            front=ANY_PORT,
            ready=ANY_PORT,
            peers=ANY_PORT,
            forward=ANY_PORT,
            metrics=ANY_PORT,
            heartbeat_s=1.0,
            grace_s=GRACE_S,
            repeat_ratio=0.2,
            repeat_slack=10,
            repeat_window_s=10.0,
            **settings,
        ),
        clock=paused_clock,
        client=HttpClient(clock=paused_clock),
        connector=connector,
        rng=random.Random(1),
    )
    flush_events(node)
    yield node
    for web in node.servers:
        web.server.close()
    flush_events(node)


@pytest.fixture(params=PlacementPolicy, ids=lambda policy: policy.value)
def node(request, paused_clock, connector):
    with started_node(paused_clock, connector, placement=request.param) as node:
        yield node


@pytest.mark.parametrize("admission", AdmissionKind)
def test_admission_metrics_are_shown_only_where_levels_are_used(
    paused_clock, connector, admission
):
    # Guards against a policy other than the settings name, and levels nobody sees.
    with started_node(paused_clock, connector, admission=admission) as node:
        pending = Pending(
            service="engines", model="small", objective_s=0.3, spent_s=0.0
        )
        node.context.admission.decide(
            pending=pending, priority=2, customer=None, left_s=5.0, now_s=0.0
        )
        paused_clock.advance(1.0)
        lines = node.metrics.text().decode().splitlines()
    shown = [line for line in lines if line.startswith("citronpin_admission")]
    if admission is AdmissionKind.OPEN:
        assert shown == []
    else:
        assert "citronpin_admission_level 0.0" in shown
        labels = 'priority="2",result="admitted",target="engines"'
        assert f"citronpin_admissions_total{{{labels}}} 1.0" in shown


@pytest.mark.parametrize("placement", PlacementPolicy)
@pytest.mark.parametrize("memory", MemoryKind)
def test_tokens_decide_and_are_shown_only_where_the_settings_say(
    paused_clock, connector, memory, placement
):
    # Guards against a node that reads token counts but places by slots.
    chosen = dict(memory=memory, placement=placement)
    with started_node(paused_clock, connector, **chosen) as node:
        node.loads.record_report(
            "i", load=1, age_s=0.0, now_s=0.0, used_tokens=3, memory_tokens=4
        )
        lines = node.metrics.text().decode().splitlines()
        checks_tokens = memory is MemoryKind.TOKENS
        assert isinstance(node.context.placer._memory, ReportedMemory) is checks_tokens
        assert isinstance(node.context.readers, BoundedReaders) is checks_tokens
        is_by_work = placement is PlacementPolicy.REMAINING_WORK
        assert (node.context.costs is not None) is (checks_tokens or is_by_work)
        assert (node.context.works is not None) is is_by_work
    shown = ["citronpin_fullest_memory_share 0.75", "citronpin_memory_refusals 0.0"]
    assert [line in lines for line in shown] == [checks_tokens] * 2


def test_a_stopping_node_releases_its_leases_at_once(paused_clock, connector, node):
    node.drain()
    assert connector.released_s == [0.0]
    paused_clock.advance(GRACE_S)
    assert connector.released_s == [0.0]
    assert len(connector.stopped_s) == 1


def test_a_node_stopped_without_the_store_releases_its_leases_once_it_is_back(
    paused_clock, connector, node
):
    connector.leases.store_lost = True
    node.drain()
    paused_clock.advance(1.0)
    assert connector.released_s == []
    connector.leases.store_lost = False
    paused_clock.advance(0.2)
    assert len(connector.released_s) == 1
    assert connector.released_s[0] <= 1.15
    paused_clock.advance(GRACE_S)
    assert len(connector.released_s) == 1


class Connections:
    """Stub for the HTTP server of callers with a settable number of open replies."""

    open_replies = 0

    def close_idle(self):
        """No connection is open."""


def test_a_request_that_arrives_after_the_last_check_is_finished(
    paused_clock, connector, node, monkeypatch, caplog
):
    # Soak seed 15: a request that arrived within 0.1 s after the last check was
    # forwarded and then cut off by the end of the process.
    callers = Connections()
    monkeypatch.setattr(node.server, "http", callers)
    node.drain()
    caplog.set_level("INFO")
    while "stopped" not in caplog.messages:
        paused_clock.advance(0.05)
    callers.open_replies = 1
    paused_clock.advance(1.0)
    assert not connector.stopped_s
    callers.open_replies = 0
    paused_clock.advance(0.5)
    assert len(connector.stopped_s) == 1


def test_a_node_stopped_without_the_store_releases_its_leases_at_its_end(
    paused_clock, connector, node
):
    connector.leases.store_lost = True
    node.drain()
    paused_clock.advance(GRACE_S)
    assert len(connector.released_s) == 1
    assert connector.released_s == connector.stopped_s


class JsonReply:
    """Records the JSON answer of an admin page."""

    def json(self, status, value):
        self.status, self.value = status, value


def make_instance(number):
    return FleetInstance(
        id=InstanceId(f"i-{number}"),
        service="engines",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=9,
    )


def test_admin_page_shows_limits_with_their_age_and_owner(paused_clock, node):
    instance = make_instance(1)
    node.fleet.register(instance, now_s=paused_clock.now())
    node.permits.set_members(owners=["n1", "n2"], share=1.0)
    node.limits.record_answer(instance, rate=1.6, sent_s=0.0)
    paused_clock.advance(0.5)
    reply = JsonReply()
    node._answer_limits(None, reply)
    (row,) = reply.value
    assert (row["instance"], row["rate"], row["age_ms"]) == ("i-1", 1.6, 500)
    assert row["source"] == "own answer" and row["owner"] in ("n1", "n2")


def test_admin_page_shows_and_releases_a_quarantined_part(paused_clock, node):
    for number in range(3):
        node.quarantine.record_crash(["p"], make_instance(number), now_s=float(number))
    paused_clock.advance(3.0)
    reply = JsonReply()
    node._answer_quarantines(None, reply)
    (row,) = reply.value
    assert (row["part"], row["crashes"], row["last_crash_age_s"]) == ("p", 3, 1.0)
    node._release_key(None, reply, "p")
    assert reply.status == 200
    node._answer_quarantines(None, reply)
    assert reply.value == []
    node._release_key(None, reply, "unknown")
    assert reply.status == 404


def test_node_with_a_request_to_the_end_leaves_time_for_the_process_to_end(
    paused_clock, connector, node
):
    node.server.http = Connections()
    node.server.http.open_replies = 1
    node.drain()
    paused_clock.advance(GRACE_S)
    (stopped_s,) = connector.stopped_s
    assert GRACE_S - 1.0 <= stopped_s <= GRACE_S - 0.6


def test_the_settings_select_the_placement(node):
    is_by_work = node.cfg.placement is PlacementPolicy.REMAINING_WORK
    assert isinstance(node.context.placer, WorkPlacer if is_by_work else LeastLoaded)
    has_tracker = node.context.works is not None and node.context.costs is not None
    assert has_tracker == is_by_work
