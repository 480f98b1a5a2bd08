"""Tests of the choice among the servers of a plain service."""

import msgspec
import pytest

from citronpin.backends.server_pools import MAX_BACKOFF_S, ServerPool
from citronpin.state.instances import (
    Instance,
    InstanceKind,
    InstanceState,
    MembershipView,
)

NO_EXCLUSIONS = frozenset()


def _server(name, failure_domain, state=InstanceState.LIVE):
    return Instance(
        id=name,
        address=f"127.0.0.1:{ord(name)}",
        kind=InstanceKind.SERVICE,
        state=state,
        failure_domain=failure_domain,
        application="rota",
    )


SERVERS = (_server("x", "sapporo"), _server("y", "hakodate"))


@pytest.fixture
def pool(paused_clock):
    pool = ServerPool(clock=paused_clock, failure_domain="hakodate")
    pool.apply_view(MembershipView(version=1, instances=SERVERS))
    return pool


def test_own_failure_domain_is_preferred_until_its_server_is_busier(pool):
    assert pool.choose("rota", NO_EXCLUSIONS).id == "y"
    pool.started(SERVERS[1])
    assert pool.choose("rota", NO_EXCLUSIONS).id == "x"


@pytest.mark.parametrize("state", [InstanceState.LEAVING, None])
def test_leaving_or_removed_server_gets_no_new_calls(pool, state):
    ended = pool.started(SERVERS[1])
    leaving = [msgspec.structs.replace(SERVERS[1], state=state)] if state else []
    view = MembershipView(version=2, instances=(SERVERS[0], *leaving))
    pool.apply_view(view)
    assert {pool.choose("rota", NO_EXCLUSIONS).id for _ in range(20)} == {"x"}
    assert pool.choose("rota", frozenset({"x"})) is None
    ended(True, 0.1)  # a call in flight may still end


def test_failing_server_is_avoided_up_to_the_maximum_backoff(pool, paused_clock):
    for _ in range(8):
        pool.started(SERVERS[1])(False, 0.1)
    assert pool.choose("rota", NO_EXCLUSIONS).id == "x"
    paused_clock.advance(MAX_BACKOFF_S - 1.0)
    assert pool.choose("rota", NO_EXCLUSIONS).id == "x"
    paused_clock.advance(2.0)
    assert pool.choose("rota", NO_EXCLUSIONS).id == "y"


def test_failing_server_is_chosen_if_there_is_no_other(pool):
    for server in SERVERS:
        pool.started(server)(False, 0.1)
    assert pool.choose("rota", NO_EXCLUSIONS) is not None
    assert pool.choose("ledger", NO_EXCLUSIONS) is None
