"""Tests of the doubt in the path to instances, and of what must not keep it up."""

import random

import pytest

from citronpin.basics.errors import TimedOut
from citronpin.basics.ids import (
    ApplicationName,
    DomainName,
    FailureDomainName,
    InstanceId,
)
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.ports import InstanceControl, ProbeResult
from citronpin.gateway.reachabilities import ROUND_TIMEOUT_S, Reachability
from citronpin.gateway.watches import DEAD_MISSES, REPORT_EXPIRY_S, MemberWatch
from citronpin.platform.orders import HttpInstanceControl
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.web.clients import HttpClient

SERVICE = ApplicationName("engines")


class ScriptedControl(InstanceControl):
    """Raises, stays silent or answers; counts what was asked of it."""

    def __init__(self):
        self.raises = False
        self.answers = False
        self.asked = []

    def _ask(self, instance):
        self.asked.append(instance.id)
        if self.raises:
            raise RuntimeError(f"{instance.id} cannot be asked")

    def order(self, *, to, order, done):
        self._ask(to)

    def report(self, *, of, done):
        self._ask(of)
        if self.answers:
            done(None, TimedOut("no answer"))

    def probe(self, *, of, connect_timeout_s, timeout_s, done):
        self._ask(of)
        if self.answers:
            done(ProbeResult.ANSWERED)


@pytest.fixture
def control():
    return ScriptedControl()


@pytest.fixture
def fleet():
    return Fleet()


def make_reach(paused_clock, fleet, control):
    return Reachability(
        fleet=fleet,
        client=MemoryClient(clock=paused_clock),
        control=control,
        clock=paused_clock,
        rng=random.Random(1),
    )


def add_instance(fleet, name, address="10.0.0.1:80"):
    instance = FleetInstance(
        id=InstanceId(name),
        service=SERVICE,
        address=address,
        failure_domain=FailureDomainName("a"),
        slots=9,
        domain=DomainName("d0"),
    )
    fleet.register(instance, now_s=0.0)
    return instance


# Guards against a round of probes that an exception leaves open for good: review/1.
@pytest.mark.parametrize("raises", [True, False], ids=["raises", "never-ends"])
def test_a_probe_without_an_end_does_not_keep_a_service_uncertain(
    paused_clock, fleet, control, raises
):
    for number in range(3):
        add_instance(fleet, f"i-{number}", f"10.0.0.{number}:80")
    reach = make_reach(paused_clock, fleet, control)
    control.raises = raises
    try:
        reach.doubt(SERVICE)
    except RuntimeError:
        assert raises
    assert reach.is_uncertain(SERVICE)
    paused_clock.advance(ROUND_TIMEOUT_S)
    assert not reach.is_uncertain(SERVICE)
    control.raises, control.answers = False, True
    asked = len(control.asked)
    reach.doubt(SERVICE)
    assert len(control.asked) > asked, "no further round of probes begins"


# Guards against an instance that is never asked again after its request raised.
@pytest.mark.parametrize("raises", [True, False], ids=["raises", "never-ends"])
def test_a_report_without_an_end_does_not_keep_an_instance_from_being_asked(
    paused_clock, fleet, control, raises
):
    instance = add_instance(fleet, "i-1")
    reach = make_reach(paused_clock, fleet, control)
    watch = MemberWatch(
        control=control, fleet=fleet, clock=paused_clock, heartbeat_s=1.2, reach=reach
    )
    control.raises = raises
    try:
        watch.poll([instance], busy=True)
    except RuntimeError:
        assert raises
    control.raises, control.answers = False, True
    for _ in range(DEAD_MISSES):
        paused_clock.advance(REPORT_EXPIRY_S)
        watch.poll([instance], busy=True)
    assert watch.is_dead(instance, suspected=True)


# Guards against probes, reports and orders that raise: review/1.
@pytest.mark.parametrize("name", ["h\ufffdst-1", "塔", "i\n1", " i"])
def test_an_instance_whose_id_no_header_carries_ends_no_round(
    paused_clock, fleet, name
):
    instance = add_instance(fleet, name, "127.0.0.1:9")
    client = HttpClient(clock=paused_clock)
    control = HttpInstanceControl(client=client)
    reach = make_reach(paused_clock, fleet, control)
    watch = MemberWatch(
        control=control, fleet=fleet, clock=paused_clock, heartbeat_s=1.2, reach=reach
    )
    reach.doubt(SERVICE)
    for _ in range(DEAD_MISSES):
        watch.poll([instance], busy=True)
        paused_clock.advance(1.0)
    assert watch.is_dead(instance, suspected=True)
