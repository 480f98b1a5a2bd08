"""Tests of the choice of servers of plain services."""

import msgspec
import pytest

from citronpin.backends.server_pools import MAX_BACKOFF_S, ServerPool
from citronpin.state.instances import (
    Instance,
    InstanceKind,
    InstanceState,
    MembershipView,
)

NONE = frozenset()


def _server(name, site, state=InstanceState.LIVE):
    return Instance(
        id=name,
        address=f"127.0.0.1:{ord(name)}",
        kind=InstanceKind.SERVICE,
        state=state,
        failure_domain=site,
        application="rota",
    )


SERVERS = (_server("x", "sapporo"), _server("y", "hakodate"))


@pytest.fixture
def pool(paused_clock):
    pool = ServerPool(clock=paused_clock, failure_domain="hakodate")
    pool.apply_view(MembershipView(version=1, instances=SERVERS))
    return pool


def test_the_near_server_is_chosen_until_it_has_more_to_do(pool):
    assert pool.choose("rota", NONE).id == "y"
    pool.started(SERVERS[1])
    assert pool.choose("rota", NONE).id == "x"


@pytest.mark.parametrize("state", [InstanceState.LEAVING, None])
def test_a_server_that_leaves_gets_no_call_once_the_list_shows_it(pool, state):
    ended = pool.started(SERVERS[1])
    leaving = [msgspec.structs.replace(SERVERS[1], state=state)] if state else []
    view = MembershipView(version=2, instances=(SERVERS[0], *leaving))
    pool.apply_view(view)
    assert {pool.choose("rota", NONE).id for _ in range(20)} == {"x"}
    assert pool.choose("rota", frozenset({"x"})) is None
    ended(True, 0.1)  # what was under way ends as ever


def test_a_failing_server_is_avoided_for_a_growing_time(pool, paused_clock):
    for _ in range(8):
        pool.started(SERVERS[1])(False, 0.1)
    assert pool.choose("rota", NONE).id == "x"
    paused_clock.advance(MAX_BACKOFF_S - 1.0)
    assert pool.choose("rota", NONE).id == "x"
    paused_clock.advance(2.0)
    assert pool.choose("rota", NONE).id == "y"


def test_a_server_that_fails_is_still_better_than_none(pool):
    for server in SERVERS:
        pool.started(server)(False, 0.1)
    assert pool.choose("rota", NONE) is not None
    assert pool.choose("ledger", NONE) is None
