"""Memory and descriptors of a process, by its settings and by default."""

import json
import resource

import pytest

from citronpin.platform.settings import node_settings, read_process_settings
from citronpin.web.process_limits import (
    FILE_DESCRIPTORS,
    MB,
    ConnectionShares,
    ProcessLimits,
    make_account,
    resident_bytes,
)

SETTINGS = {
    "node": "front-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "internal-ports": [3, 4],
    "platform": {"address": "127.0.0.1:5"},
}


def read(tmp_path, **more):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS | more))
    return node_settings(read_process_settings(path).unwrap(), 6).process


def test_limits_come_from_the_settings(tmp_path):
    # They were ignored.
    found = read(tmp_path, limits={"memory-mb": 200, "max-fds": 320, "other": 1})
    assert (found.memory_bytes, found.descriptors) == (200 * MB, 320)


@pytest.mark.parametrize("limits", [{}, {"limits": {}}, {"limits": {"max-fds": 500}}])
def test_absent_limits_have_defaults_of_the_machine(tmp_path, limits):
    found = read(tmp_path, **limits)
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert found.memory_bytes > 64 * MB
    assert 0 < found.descriptors <= soft


def test_a_process_without_a_limit_of_descriptors_has_one(monkeypatch):
    # The value for no limit is negative.
    unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    monkeypatch.setattr(resource, "getrlimit", lambda number: unlimited)
    assert ProcessLimits().descriptors > FILE_DESCRIPTORS
    assert ProcessLimits(max_fds=320).descriptors == 320


def test_the_account_is_less_than_the_memory_that_is_left():
    own_bytes = resident_bytes()
    memory_mb = own_bytes // MB + 100
    account = make_account(ProcessLimits(memory_mb=memory_mb))
    assert 20 * MB < account.capacity_bytes < 60 * MB


@pytest.mark.parametrize("max_fds", [1, 250, 320, 1024])
def test_shares_of_connections_are_less_than_the_descriptors(max_fds):
    shares = ConnectionShares.of(ProcessLimits(max_fds=max_fds))
    total = shares.callers + shares.entries + shares.outgoing + 2 * shares.control
    assert total <= max(max_fds - FILE_DESCRIPTORS, 64)
    assert min(shares.callers, shares.entries, shares.outgoing) >= 4
    # Each request in progress needs a connection to an instance.
    assert shares.callers + shares.entries <= shares.outgoing
