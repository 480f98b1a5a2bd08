"""Tests of the membership task against the membership stand-in."""

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


class Lists:
    """A membership stand-in and a task that follows it."""

    def __init__(self, loops):
        rows = (_instance("i1"), _instance("i2"))
        self.list_loop, self.list = loops(
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
        self.task = MembershipPoller(
            client=self.client,
            address=self.list.address,
            clock=self.loop.clock,
            recorder=self.recorder,
            interval_s=0.02,
        ).register(self.loop.root)
        self.task.subscribe(self.views.append)

    def shown(self):
        return {row.id: row.state for row in self.task.view.instances}

    def act(self, action):
        return self.list_loop.call(action)


@pytest.fixture
def lists(loops):
    return Lists(loops)


def test_changes_are_passed_on_once(lists):
    wait_until(lambda: len(lists.shown()) == 2)
    lists.act(lambda: lists.list.set_state("i2", "leaving"))
    wait_until(lambda: lists.shown().get("i2") is InstanceState.LEAVING)
    lists.act(lambda: lists.list.set_state("i1", "absent"))
    wait_until(lambda: "i1" not in lists.shown())
    lists.act(lambda: lists.list.set_state("i1", "live"))
    wait_until(lambda: "i1" in lists.shown())
    lists.act(lambda: setattr(lists.list, "_boot", "another"))
    tag = lists.task._tag
    wait_until(lambda: lists.task._tag != tag)
    versions = [view.version for view in lists.views]
    assert versions == sorted(set(versions))


def test_the_last_view_stays_while_the_list_is_down(lists):
    wait_until(lambda: lists.views)
    lists.act(lambda: lists.list.set_faults(down=True))
    wait_until(lambda: lists.task.age_s > 0.2)
    assert len(lists.shown()) == 2
    lists.act(lambda: lists.list.set_state("i1", "absent"))
    lists.act(lambda: lists.list.set_faults(down=False))
    wait_until(lambda: "i1" not in lists.shown())
    faults = [event.kind for event in lists.recorder.since()]
    assert faults == [EventKind.FAULT, EventKind.FAULT]


def test_a_lag_hides_changes_for_a_while(lists):
    lists.act(lambda: lists.list.set_faults(lag_s=0.1))
    lists.act(lambda: lists.list.set_state("i1", "absent"))
    assert len(lists.list.view.instances) == 2
    wait_until(lambda: len(lists.list.view.instances) == 1)


def test_a_late_subscriber_gets_the_view(lists):
    wait_until(lambda: lists.views)
    late = []
    lists.loop.call(lambda: lists.task.subscribe(late.append))
    assert late == [lists.task.view]
