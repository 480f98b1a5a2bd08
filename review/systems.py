"""A small deployment: the store, replicas, and entries as separate processes."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from .replicas import MODEL, MODEL_SIZE, Replica
from .store import Store
from .wire import ClientChannel

ROOT = Path(__file__).resolve().parents[1]
HOST = "towers.example"
KEY = "key-1"
START_LIMIT_S = 40.0
GRACE_S = 8.0
EXPIRY_S = 3.6  # three heartbeats, after which the entry of a silent replica is removed
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Below the ports of outgoing connections, which could take them before they are bound.
LISTEN_PORTS = range(15_000, 32_000)
ROUTES = [
    {
        "name": "draft",
        "host": HOST,
        "path-prefix": "/draft/",
        "kind": "stream",
        "timeout-ms": 8000,
        "target-latency-ms": 400,
        "gap-aim-ms": 300,
        "service": "engines",
        "max-attempts": 2,
        "resumable": True,
        "sticky": True,
        "priority": 1,
    },
    {
        "name": "swap",
        "host": HOST,
        "path-prefix": "/swap/",
        "kind": "unsafe",
        "timeout-ms": 800,
        "target-latency-ms": 400,
        "service": "book",
        "max-attempts": 1,
        "priority": 0,
    },
    {
        "name": "look-up",
        "host": HOST,
        "path-prefix": "/look-up/",
        "kind": "safe",
        "timeout-ms": 800,
        "target-latency-ms": 400,
        "service": "book",
        "max-attempts": 2,
        "priority": 0,
    },
]
BOUNDS = {
    "stability-window-ms": 3000,
    "drain-ms": 2000,
    "grace-s": GRACE_S,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "outer-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-budget-slack": 109,
    "stall-ms": 5000,
    "fencing": False,
}


def free_port(_returned=set()):
    """Return a port that was free at the time of the call, each one once."""
    while True:
        port = random.SystemRandom().choice(LISTEN_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _returned:
            _returned.add(port)
            return port


class CannotRun(Exception):
    """The case could not be set up, so it says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, *, path):
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()
        self.rows = []

    def __call__(self, kind, **fields):
        at_s = round(time.monotonic() - self._start_s, 3)
        row = {"at_s": at_s, "kind": kind, **fields}
        self.rows.append(row)
        self._file.write(json.dumps(row) + "\n")
        self._file.flush()
        return row

    def close(self):
        self._file.close()


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, *, name, store_address, folder):
        self.name = name
        self.front, self.ready, self.metrics = (free_port() for _ in range(3))
        internal = sorted(free_port() for _ in range(2))
        self._settings = {
            "node": name,
            "role": "entry",
            "machine-class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
            },
            "internal-ports": internal,
            "seeds": [],
            "bootstrap": True,
            "heartbeat-ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "log", "parts": 24},
        }
        self._path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self.process = None

    def start(self):
        self._path.write_text(json.dumps(self._settings))
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CITRONPIN_SETTINGS": str(self._path),
        }
        command = ["-m", "citronpin", "gateway", "--metrics_port", str(self.metrics)]
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *command],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def log(self):
        return self._log_path.read_text(errors="replace")

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class System:
    """Store, replicas and entries, with the checks that a case needs to start."""

    def __init__(self, *, record, folder):
        self.record = record
        self.folder = folder
        self.store = Store()
        self.replicas = {}
        self.entries = []
        self.version = 0
        self.routes = list(ROUTES)
        self.sent = 0

    async def start(self, *, entries=2, engines=4, books=3):
        await self.store.start()
        self.publish()
        for number in range(engines):
            await self.add_replica(f"i-engine-{number}", "engines", "d0")
        for number in range(books):
            await self.add_replica(f"i-book-{number}", "book")
        for number in range(entries):
            entry = Entry(
                name=f"front-{number + 1}",
                store_address=f"127.0.0.1:{self.store.port}",
                folder=self.folder,
            )
            self.entries.append(entry)
            entry.start()
        heads = engines // MODEL_SIZE
        await self.wait_for(lambda: len(self.heads()) == heads, "groups do not open")
        for entry in self.entries:
            await self.wait_until_ready(entry)

    async def add_replica(self, name, service, domain=None):
        replica = Replica(
            name=name,
            service=service,
            store=self.store,
            record=self.record,
            fleet=self.replicas,
            domain=domain,
        )
        await replica.start()
        self.replicas[name] = replica
        return replica

    async def crash(self, replica, down_s):
        """Crash a replica and start it again under its id, as an empty one."""
        self.record("crash", replica=replica.name)
        replica.crash()
        await asyncio.sleep(min(down_s, EXPIRY_S))
        if down_s > EXPIRY_S:
            self.store.put("keyed.servers", replica.name, b"")
            await asyncio.sleep(down_s - EXPIRY_S)
        await replica.restart()
        self.record("restart", replica=replica.name)

    def heads(self):
        return [r for r in self.replicas.values() if r.domain and r.is_serving]

    def of_service(self, service):
        return [r for r in self.replicas.values() if r.service == service]

    def publish(self):
        """Write the next version of the configuration."""
        self.version += 1
        model = {"name": MODEL, "size": MODEL_SIZE, "share": 1.0}
        engine = {
            "slots": 9,
            "models": [model | {"load-s": 12, "warm-s": 1.1, "pace": 1.0}],
            "kv-capacity-tokens": 900_000,
            "loads-per-s": 5.0,
            "loads_at_once": 7,
            "form-ms": 300,
            "keeps": 1,
        }
        cfg = {
            "version": self.version,
            "routes": self.routes,
            "services": [{"name": "engines", "engine": engine}, {"name": "book"}],
            "tenants": [{"name": "odori", "api-keys": [KEY]}],
            "limits": {
                "max-header-bytes": 16_384,
                "max-body-bytes": 4_194_304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15_000,
            },
        }
        self.store.put("keyed.op", "config", json.dumps(cfg).encode())

    async def wait_for(self, condition, problem, limit_s=START_LIMIT_S):
        end_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end_s:
                raise CannotRun(problem)
            await asyncio.sleep(0.05)

    async def is_ready(self, entry):
        answer = await ClientChannel(port=entry.ready).send(
            method="GET", target="/v1/readyz", headers={"Host": HOST}, timeout_s=1.0
        )
        return answer.status == 200

    async def wait_until_ready(self, entry):
        """Wait until an entry is ready and answers a request of each kind."""
        end_s = time.monotonic() + START_LIMIT_S
        channel = ClientChannel(port=entry.front)
        while time.monotonic() < end_s:
            if await self.is_ready(entry):
                answers = [
                    await self.send(channel, "look-up"),
                    await self.send(channel, "draft"),
                ]
                if all(a.status == 200 and a.complete for a in answers):
                    channel.close()
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{entry.name} does not serve at the start")

    async def send(self, channel, route, *, deadline_ms=6000, **more):
        """Send a request on a route and return the answer."""
        self.sent += 1
        attempt = more.pop("attempt", f"{route}-{self.sent:05d}")
        target = more.pop("target", f"/{route}/2f")
        headers = {
            "Host": HOST,
            "X-Citronpin-Attempt-Id": attempt,
            "X-Citronpin-Deadline-Ms": str(deadline_ms),
            "X-Citronpin-Key": KEY,
        }
        if route == "draft":
            headers |= {
                "X-Citronpin-Model": MODEL,
                "X-Citronpin-Token-Usage": "1460,80",
                "X-Citronpin-Prompt-Prefix": f"5c1e07a2:40,{self.sent:08x}:1420",
            }
        headers |= more.pop("headers", {})
        method = "GET" if route == "look-up" else "POST"
        body = b"" if method == "GET" else b"text of " + attempt.encode()
        self.record("send", attempt=attempt, target=target)
        answer = await channel.send(
            method=more.pop("method", method),
            target=target,
            headers=headers,
            body=more.pop("body", body),
            timeout_s=deadline_ms / 1000,
        )
        answer.attempt = attempt
        self.record(
            "answer",
            attempt=attempt,
            status=answer.status,
            complete=answer.complete,
            error=answer.error,
            size=len(answer.body),
            head=answer.body[:80].decode("latin-1"),
            ms=round((answer.ended_s - answer.sent_s) * 1000),
        )
        return answer

    def runs(self, attempt):
        """Return the rows of the replicas that ran a request."""
        return [
            row
            for row in self.record.rows
            if row["kind"] == "run" and row["attempt"] == attempt
        ]

    def end(self):
        for entry in self.entries:
            entry.end()


def run_case(case, folder):
    """Run ``case(system, trouble)``, which returns what broke the rule, and exit."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path=Path(folder) / "record.txt")
    code = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="citronpin-review-") as scratch:
        system = System(record=record, folder=Path(scratch))

        async def play():
            try:
                return await asyncio.wait_for(case(system, trouble), 110)
            finally:
                system.end()

        try:
            broken = asyncio.run(play())
            code = BROKEN if broken else HELD
            record("verdict", trouble=trouble, broken=broken)
        except Exception as exc:  # a fault of the case says nothing of the rule
            record("verdict", trouble=trouble, cannot_run=repr(exc))
            for entry in system.entries:
                record("log", entry=entry.name, tail=entry.log()[-2000:])
    record.close()
    print({BROKEN: "rule broken", HELD: "rule held", NOT_RUN: "not run"}[code])
    sys.exit(code)
