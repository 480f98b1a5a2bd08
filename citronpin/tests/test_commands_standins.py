"""Tests of stand-ins that run as processes."""

import json
import resource
import signal
import socket
import subprocess
import sys
import urllib.request

import pytest

from citronpin.commands.commands_standins import STANDINS
from citronpin.tests.conftest import wait_until
from citronpin.tests.platforms.ports import free_port

STATUS_PATHS = {
    "engine": "/v1/status",
    "log": "/streams",
    "membership": "/instances",
    "service": "/effects",
    "weights": "/downloads",
}


def _fetch(port, path):
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=5) as res:
            return json.load(res)
    except OSError:
        return None


def _start_standin(kind, path):
    args = [sys.executable, "-m", "citronpin", "standin", kind, "--settings", str(path)]
    return subprocess.Popen(args, stderr=subprocess.PIPE, text=True)


def test_every_standin_serves_requests_and_exits_with_zero_on_sigterm(tmp_path):
    assert set(STANDINS) == set(STATUS_PATHS)
    running = []
    for kind in STANDINS:
        port = free_port()
        path = tmp_path / f"{kind}.ini"
        path.write_text(f"[standin]\nlisten = 127.0.0.1:{port}\nname = {kind}\n")
        running.append((kind, port, _start_standin(kind, path)))
    try:
        for kind, port, _ in running:
            wait_until(lambda: _fetch(port, STATUS_PATHS[kind]) is not None)
        for _, _, process in running:
            process.send_signal(signal.SIGTERM)
        assert [process.wait(20) for _, _, process in running] == [0] * len(running)
    finally:
        for _, _, process in running:
            process.kill()
            process.communicate()


def test_a_standin_accepts_more_connections_than_select_can_watch(tmp_path):
    descriptor_limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (max(descriptor_limits[0], 2_048), descriptor_limits[1])
    )
    port = free_port()
    path = tmp_path / "service.ini"
    path.write_text(f"[standin]\nlisten = 127.0.0.1:{port}\n")
    process = _start_standin("service", path)
    idle = []
    try:
        wait_until(lambda: _fetch(port, "/effects") is not None)
        for _ in range(1_100):
            idle.append(socket.create_connection(("127.0.0.1", port), timeout=10))
        assert _fetch(port, "/effects") == {}
    finally:
        for conn in idle:
            conn.close()
        process.kill()
        process.communicate()
        resource.setrlimit(resource.RLIMIT_NOFILE, descriptor_limits)


@pytest.mark.parametrize(
    "text, fault",
    [
        ("[standin]\nname = a\n", "[standin] listen: is missing."),
        ("[standin]\nlisten = 127.0.0.1:0\n[standin_engine]\nbatch = 0\n", "batch"),
    ],
)
def test_invalid_settings_are_printed_and_exit_with_two(tmp_path, text, fault):
    path = tmp_path / "engine.ini"
    path.write_text(text)
    process = _start_standin("engine", path)
    _, stderr = process.communicate(timeout=20)
    assert process.returncode == 2 and fault in stderr
