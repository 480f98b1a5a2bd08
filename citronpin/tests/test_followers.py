"""Tests of the followers against the log in memory and over HTTP, with faults."""

import numpy as np
import pytest
from result import Ok

from citronpin.clients import HttpClient
from citronpin.events import Recorder
from citronpin.followers import Followers
from citronpin.http_logs import HttpLog
from citronpin.ids import CONFIG_STREAM, EntryId
from citronpin.logs import MemoryLog
from citronpin.standin_logs import LogStandin
from citronpin.tests.builders import change, deployment
from citronpin.tests.conftest import wait_until


def build(log, clock, name="entry-1", **more):
    recorder = Recorder(process=name, clock=clock)
    followers = Followers(
        log=log,
        entry=EntryId(name),
        clock=clock,
        recorder=recorder,
        rng=np.random.default_rng(7),
        **more,
    )
    followers.recorder = recorder
    return followers


@pytest.fixture
def standin(loops):
    """Return the loop and the log stand-in that run in it."""
    return loops(
        lambda clock: LogStandin(name="log", bind=("127.0.0.1", 0), clock=clock)
    )


@pytest.fixture
def over_http(loops, standin):
    """Build followers that reach the stand-in over HTTP, each in its own loop."""

    def start(name="entry-1", **more):
        clients = []

        def client(clock):
            clients.append(HttpClient(clock=clock))
            return clients[0]

        def followers(clock):
            log = HttpLog(client=clients[0], address=standin[1].address, clock=clock)
            return build(log, clock, name, **more)

        loop, _, part = loops(client, followers)
        loop.call(lambda: part.follow(CONFIG_STREAM))
        return loop, part

    return start


def propose(loop, followers, *items):
    """Propose in the loop and wait for the result."""
    results = []
    loop.call(lambda: followers.propose(CONFIG_STREAM, items, results.append))
    return wait_until(lambda: results)[0]


def test_two_entries_fold_the_same_state(paused_clock):
    log = MemoryLog(clock=paused_clock)
    one, two = (build(log, paused_clock, name) for name in ("entry-1", "entry-2"))
    for followers in (one, two):
        followers.follow(CONFIG_STREAM)
    paused_clock.advance(0.1)
    results = []
    one.propose(CONFIG_STREAM, (change(deployment("rota")),), results.append)
    two.propose(CONFIG_STREAM, (change(deployment("rota")),), results.append)
    paused_clock.advance(1.0)
    assert [r.ok_value[0].accepted for r in results] == [True, False]
    assert one.state(CONFIG_STREAM) == two.state(CONFIG_STREAM)
    assert one.current(CONFIG_STREAM)


def test_a_lost_answer_is_settled_by_reading_on(over_http, standin):
    loop, followers = over_http()
    standin[0].call(lambda: standin[1].set_faults(lose_answers=True))
    result = propose(loop, followers, change(deployment()))
    assert isinstance(result, Ok) and result.ok_value[0].accepted
