"""A small deployment for the cases of the second review.

It starts gateway processes with the command of the deploy file, in front of the
project's own stand-in of the platform, on loopback addresses and the real clock.
"""

import contextlib
import json
import os
import resource
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.ports import free_port
from citronpin.tests.platforms.requests import HOST
from citronpin.tests.soaks.platforms import LivePlatform

ROOT = Path(__file__).resolve().parent.parent
START_LIMIT_S = 30.0
KEY = "key-1"
MB = 1024 * 1024

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def has_trouble():
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def raise_descriptor_limit():
    """Use the descriptors that the machine allows to a process anyway."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with times in s."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def line(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start_s:9.3f} {text}\n")

    def say(self, text):
        """Write a line, and print it too."""
        self.line(text)
        print(text, flush=True)

    def close(self):
        with self._lock:
            self._file.close()


class Node:
    """One gateway process with the settings of a small deployment."""

    def __init__(self, *, name, store, folder, limits, bounds=None, contracts=None):
        self.name = name
        ports = [free_port() for _ in range(5)]
        self.front_port, self.ready_port, self.metrics_port = ports[:3]
        settings = {
            "node": name,
            "role": "entry",
            "machine-class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": "a",
            "region": "hokkaido",
            "zones": {"a": "hokkaido"},
            "listen": {
                "front": f"127.0.0.1:{self.front_port}",
                "ready": f"127.0.0.1:{self.ready_port}",
            },
            "internal-ports": sorted(ports[3:]),
            "seeds": [],
            "bootstrap": True,
            "loss-counts": False,
            "limits": limits,
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": 1200,
            "contracts": contracts
            or "base drain config cost retry recover engine stream tenants platform "
            "gangs".split(),
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "grace-s": 8,
                "drain-ms": 2000,
                "config-apply-ms": 2000,
                "stability-window-ms": 3000,
                "retry-budget-ratio": 0.2,
                "budget-window-s": 10,
                "retry-budget-slack": 109,
            }
            | (bounds or {}),
            "platform": {
                "address": store,
                "form": "log",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "parts": 24,
                "ttl-min-ms": 1000,
            },
        }
        self._settings_path = Path(folder) / f"{name}.json"
        self._settings_path.write_text(json.dumps(settings))
        self._log_path = Path(folder) / f"{name}.log"
        self.process = None
        self.start()

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        command[0] = sys.executable
        command[-1] = str(self.metrics_port)  # its own, as all nodes share an address
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CITRONPIN_SETTINGS"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
            )

    @property
    def address(self):
        return ("127.0.0.1", self.front_port)

    def is_ready(self):
        """Return whether the node answers the balancer's question with 200."""
        try:
            with socket.create_connection(
                ("127.0.0.1", self.ready_port), timeout=1.0
            ) as sock:
                sock.settimeout(1.0)
                sock.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: node\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_until_ready(self):
        """Raise `RuntimeError` if the node is not ready in time."""
        end_s = time.monotonic() + START_LIMIT_S
        while not self.is_ready():
            if time.monotonic() > end_s or self.process.poll() is not None:
                log = self._log_path.read_text(errors="replace").splitlines()
                last = log[-1][:300] if log else ""
                raise RuntimeError(f"{self.name} is not ready; its log ends: {last}")
            time.sleep(0.1)

    def resident_mb(self):
        """Return the resident memory in units of 2**20 bytes, 0 after the end."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        rows = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
        return int(rows["VmRSS"].split()[0]) / 1024 if "VmRSS" in rows else 0.0

    def unread_mb(self):
        """Return what the kernel received for the front port and nobody has read."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == self.front_port:
                is_listening = fields[3] == "0A"
                total += 0 if is_listening else int(fields[4].split(":")[1], 16)
        return total / MB

    def stop(self):
        """End the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def log_lines(self, text):
        """Return the lines of the log that contain a text."""
        return [
            line
            for line in self._log_path.read_text(errors="replace").splitlines()
            if text in line
        ]


@contextlib.contextmanager
def temporary_folder():
    folder = tempfile.mkdtemp(prefix="review-")
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def request_head(method, target, attempt, *headers, deadline_ms=1500):
    """Return the head of a caller's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"{HEADERS.attempt}: {attempt}",
        f"{HEADERS.key}: {KEY}",
        f"{HEADERS.deadline_ms}: {deadline_ms}",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def read_answer(sock):
    """Return the status and the body of an answer with a length.

    Raises `OSError` or `ValueError` if no whole answer comes.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65_536)
        if not piece:
            raise ValueError("closed before the end of the head")
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    length = int(fields["content-length"])
    parts = [body]
    count = len(body)
    while count < length:
        piece = sock.recv(1 << 20)
        if not piece:
            raise ValueError("closed before the end of the body")
        parts.append(piece)
        count += len(piece)
    return int(lines[0].split()[1]), b"".join(parts)


class SmallPlatform(LivePlatform):
    """The stand-in of the platform, with more routes in its configuration."""

    def __init__(self, *, nodes, more_routes=(), **options):
        self._more_routes = list(more_routes)
        super().__init__(nodes=nodes, **options)

    def _put_config(self):
        super()._put_config()
        if not self._more_routes:
            return
        topic = self.store.topic("keyed.op")
        cfg = json.loads(topic.newest["config"][1])
        cfg["version"] += 1
        cfg["routes"] += self._more_routes
        self.store.put("keyed.op", "config", json.dumps(cfg).encode())
