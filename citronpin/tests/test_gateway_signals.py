"""Signals make a gateway process reload its settings or finish requests and stop."""

import json
import os
import signal
import subprocess
import sys

import pytest

from citronpin.tests.platforms.ports import free_port

MAX_LINES_READ = 200
HANGUPS = """
import os, signal, sys

class HangupAtImports:
    names = {"absl", "circuits", "citronpin.gateway.nodes"}

    def find_spec(self, name, path=None, target=None):
        if name in self.names:
            os.kill(os.getpid(), signal.SIGHUP)

class HangupAtExit:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=signal.SIGHUP):
        kill(pid, number)

sys.meta_path.insert(0, HangupAtImports())
kept_until_exit = HangupAtExit()
"""


@pytest.fixture
def gateway(request, tmp_path):
    """Run a gateway process whose store is unreachable.

    A parameter is the text of a module that the process runs before all others.
    """
    if hasattr(request, "param"):
        (tmp_path / "sitecustomize.py").write_text(request.param)
    python_path = os.pathsep.join([str(tmp_path), os.environ.get("PYTHONPATH", "")])
    ports = [free_port() for _ in range(6)]
    settings = {
        "node": "front-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "listen": {
            "front": f"127.0.0.1:{ports[0]}",
            "ready": f"127.0.0.1:{ports[1]}",
        },
        "internal-ports": sorted(ports[2:4]),
        "platform": {"address": f"127.0.0.1:{ports[5]}"},
        "bounds": {"grace-s": 4.0},
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "citronpin", "gateway", f"--metrics_port={ports[4]}"],
        env=os.environ | {"CITRONPIN_SETTINGS": str(path), "PYTHONPATH": python_path},
        stdout=subprocess.PIPE,
        text=True,
    )
    yield process
    process.kill()
    process.wait()
    process.stdout.close()


def read_until(process, message):
    """Return the first log line with a message."""
    for _ in range(MAX_LINES_READ):
        line = json.loads(process.stdout.readline())
        if line["message"] == message:
            return line
    raise AssertionError(f"no log line with message {message!r}")


def test_a_term_signal_stops_the_process_gracefully(gateway):
    read_until(gateway, "start")
    gateway.send_signal(signal.SIGTERM)
    read_until(gateway, "stop")
    assert read_until(gateway, "stopped")["in_progress"] == 0
    assert gateway.wait(timeout=30) == 0


def test_a_hangup_signal_reloads_without_stopping(gateway):
    read_until(gateway, "start")
    gateway.send_signal(signal.SIGHUP)
    read_until(gateway, "reload")
    assert read_until(gateway, "settings read")["same"] is True
    assert gateway.poll() is None


@pytest.mark.parametrize("gateway", [HANGUPS], ids=["hangups"], indirect=True)
def test_hangup_signals_during_the_start_and_the_exit_do_not_end_the_process(gateway):
    # Guards against a default action while no handler is installed: a hangup signal in
    # the first tenths of a second ended the process.
    read_until(gateway, "reload")
    assert read_until(gateway, "settings read")["same"] is True
    read_until(gateway, "start")
    gateway.send_signal(signal.SIGTERM)
    messages = [json.loads(line)["message"] for line in gateway.stdout]
    assert "stopped" in messages and "reload" not in messages
    assert gateway.wait(timeout=30) == 0
