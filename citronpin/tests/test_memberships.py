"""Tests of the membership poller against the stand-in of the membership list."""

import pytest

from citronpin.basics.events import EventKind, Recorder
from citronpin.standins.standin_memberships import MembershipStandin
from citronpin.state.instances import Instance, InstanceKind, InstanceState
from citronpin.state.memberships import MembershipPoller
from citronpin.tests.conftest import wait_until
from citronpin.web.clients import HttpClient


def _instance(name):
    return Instance(
        id=name,
        address="127.0.0.1:1",
        kind=InstanceKind.ENGINE,
        state=InstanceState.LIVE,
        failure_domain="a",
    )


class MembershipHarness:
    """A membership stand-in and a poller of it, each in its own loop."""

    def __init__(self, loops):
        rows = (_instance("i1"), _instance("i2"))
        self.standin_loop, self.standin = loops(
            lambda clock: MembershipStandin(
                name="list", bind=("127.0.0.1", 0), clock=clock, instances=rows
            )
        )
        self.views = []

        def build(clock):
            self.recorder = Recorder(process="e1", clock=clock)
            self.client = HttpClient(clock=clock)
            return self.client

        self.loop, _ = loops(build)
        self.loop.call(self._follow)

    def _follow(self):
        self.poller = MembershipPoller(
            client=self.client,
            address=self.standin.address,
            clock=self.loop.clock,
            recorder=self.recorder,
            interval_s=0.02,
        ).register(self.loop.root)
        self.poller.subscribe(self.views.append)

    def instance_states(self):
        return {row.id: row.state for row in self.poller.view.instances}

    def run_in_standin(self, action):
        return self.standin_loop.call(action)


@pytest.fixture
def harness(loops):
    return MembershipHarness(loops)


def test_subscribers_get_each_view_once(harness):
    wait_until(lambda: len(harness.instance_states()) == 2)
    harness.run_in_standin(lambda: harness.standin.set_state("i2", "leaving"))
    wait_until(lambda: harness.instance_states().get("i2") is InstanceState.LEAVING)
    harness.run_in_standin(lambda: harness.standin.set_state("i1", "absent"))
    wait_until(lambda: "i1" not in harness.instance_states())
    harness.run_in_standin(lambda: harness.standin.set_state("i1", "live"))
    wait_until(lambda: "i1" in harness.instance_states())
    tag = harness.poller._etag
    harness.run_in_standin(lambda: setattr(harness.standin, "_boot_id", "another"))
    wait_until(lambda: harness.poller._etag != tag)
    versions = [view.version for view in harness.views]
    assert versions == sorted(set(versions))


def test_the_last_view_is_kept_while_the_list_cannot_be_read(harness):
    wait_until(lambda: harness.views)
    harness.run_in_standin(lambda: harness.standin.set_faults(down=True))
    wait_until(lambda: harness.poller.age_s > 0.2)
    assert len(harness.instance_states()) == 2
    harness.run_in_standin(lambda: harness.standin.set_state("i1", "absent"))
    harness.run_in_standin(lambda: harness.standin.set_faults(down=False))
    wait_until(lambda: "i1" not in harness.instance_states())
    faults = [event.kind for event in harness.recorder.since()]
    assert faults == [EventKind.FAULT, EventKind.FAULT]


def test_a_lag_of_the_standin_delays_changes(harness):
    harness.run_in_standin(lambda: harness.standin.set_faults(lag_s=0.1))
    harness.run_in_standin(lambda: harness.standin.set_state("i1", "absent"))
    assert len(harness.standin.view.instances) == 2
    wait_until(lambda: len(harness.standin.view.instances) == 1)


def test_a_late_subscriber_gets_the_current_view(harness):
    wait_until(lambda: harness.views)
    late = []
    harness.loop.call(lambda: harness.poller.subscribe(late.append))
    assert late == [harness.poller.view]
