"""Starts a system of separate processes on loopback, for benchmarks and tests.

Run as a program it starts a system, passes its description to a command in the
environment and ends every process that it started.
"""

import argparse
import configparser
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

LOOPBACK = "127.0.0.1"
ENVIRONMENT_KEY = "CITRONPIN_SYSTEM"
READY_LIMIT_S = 180.0
STOP_LIMIT_S = 30.0
POLL_S = 0.1


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


class Cluster:
    """Processes with their settings files in one temporary folder."""

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}

    def start(self, name: str, command: tuple[str, ...], sections: dict) -> str:
        """Start a process; ``sections`` gets its ``listen`` address."""
        address = f"{LOOPBACK}:{free_port()}"
        section = "entry" if command[0] == "entry" else "standin"
        sections[section] |= {"listen": address, "name": name}
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        path = self._folder / f"{name}.ini"
        with open(path, "w", encoding="utf-8") as target:
            parser.write(target)
        log = open(self._folder / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "citronpin", *command, "--settings", str(path)],
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.addresses[name] = address
        return address

    def start_engines(
        self, count: int, domains: int, tokens_per_s: float, batch: int
    ) -> list[dict]:
        """Start one process with many engines and return their rows."""
        output = self._folder / "engines.json"
        options = {
            "count": count,
            "domains": domains,
            "tokens-per-s": tokens_per_s,
            "batch": batch,
            "output": output,
        }
        command = [sys.executable, str(Path(__file__).parent / "engines.py")]
        for option, value in options.items():
            command += [f"--{option}", str(value)]
        log = open(self._folder / "engines.log", "wb")
        self.processes["engines"] = subprocess.Popen(
            command,
            stdout=log,
            stderr=subprocess.STDOUT,
            env=os.environ | {"PYTHONPATH": os.getcwd()},
        )
        wait_until(lambda: output.exists() and output.read_text().endswith("]"))
        rows = json.loads(output.read_text())
        self.addresses |= {row["id"]: row["address"] for row in rows}
        return rows

    def stop(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """End one process and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal_number)
        try:
            return process.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> None:
        """End every process that was started."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for name in list(self.processes):
            self.stop(name)

    def log_of(self, name: str) -> str:
        """Return what a process wrote."""
        return (self._folder / f"{name}.log").read_text(errors="replace")


def start_system(
    cluster: Cluster,
    *,
    entries: int,
    engines: int,
    domains: int = 1,
    services: int = 1,
    tokens_per_s: float = 50.0,
    batch: int = 64,
    admission: str = "weighted",
) -> None:
    """Start stand-ins and entries; engines are divided among fabric domains."""
    log = cluster.start("log", ("standin", "log"), {"standin": {}})
    rows = cluster.start_engines(engines, domains, tokens_per_s, batch)
    rows += [_start_service(cluster, number) for number in range(services)]
    path = cluster._folder / "instances.json"
    path.write_text(json.dumps(rows))
    membership = cluster.start(
        "membership",
        ("standin", "membership"),
        {"standin": {}, "standin_membership": {"instances": str(path)}},
    )
    for number in range(entries):
        name, site = f"entry-{number}", f"site-{number % 3}"
        start_entry(cluster, name, log, membership, site, admission)


def _start_service(cluster, number) -> dict:
    name = f"rota-{number}"
    address = cluster.start(name, ("standin", "service"), {"standin": {}})
    return {
        "id": name,
        "address": address,
        "kind": "service",
        "state": "live",
        "failure_domain": "site-0",
        "application": "rota",
    }


def start_entry(
    cluster: Cluster,
    name: str,
    log: str,
    membership: str,
    failure_domain: str,
    admission: str = "weighted",
) -> str:
    """Start one entry that knows the peer addresses of those before it."""
    peer_address = f"{LOOPBACK}:{free_port()}"
    seeds = [address for key, address in cluster.addresses.items() if "peer." in key]
    cluster.addresses[f"peer.{name}"] = peer_address
    entry = {
        "failure_domain": failure_domain,
        "log": log,
        "membership": membership,
        "log_level": "WARNING",
    }
    peers = {"listen": peer_address, "key": "loopback", "seeds": ", ".join(seeds)}
    sections = {
        "entry": entry,
        "peers": peers,
        "admission": {"policy": admission},
    }
    return cluster.start(name, ("entry",), sections)


def get_json(address: str, target: str):
    """Return the JSON of a path, or ``None`` while nothing answers."""
    try:
        with urllib.request.urlopen(f"http://{address}{target}", timeout=2) as got:
            return json.load(got)
    except (urllib.error.URLError, ConnectionError, TimeoutError):
        return None


def wait_until(condition, limit_s: float = READY_LIMIT_S) -> None:
    """Wait until ``condition()`` holds; raise `TimeoutError` after the limit."""
    end_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("The system was not ready in time; see its logs.")
        time.sleep(POLL_S)


def serving_groups(address: str) -> int:
    """Return how many groups an entry knows as serving."""
    groups = get_json(address, "/admin/groups") or []
    return sum(group["state"] == "serving" for group in groups)


def describe(cluster: Cluster) -> dict:
    """Return the addresses that a benchmark needs."""
    return {
        "entries": [a for k, a in cluster.addresses.items() if k.startswith("entry-")],
        "engines": [a for k, a in cluster.addresses.items() if k.startswith("engine-")],
        "services": [a for k, a in cluster.addresses.items() if k.startswith("rota-")],
        "log": cluster.addresses["log"],
        "membership": cluster.addresses["membership"],
    }


def main() -> int:
    """Start a system, run a command against it and end it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--domains", type=int, default=1)
    parser.add_argument("--tokens-per-s", type=float, default=50.0)
    parser.add_argument("--batch", type=int, default=64)
    parser.add_argument("--admission", default="weighted")
    parser.add_argument("--groups", type=int, default=1, help="groups to wait for")
    parser.add_argument("--manifest", action="append", default=[])
    parser.add_argument("command", nargs=argparse.REMAINDER)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder=Path(folder))
        try:
            return _run(cluster, args)
        finally:
            cluster.stop_all()


def _run(cluster: Cluster, args) -> int:
    start_system(
        cluster,
        entries=args.entries,
        engines=args.engines,
        domains=args.domains,
        tokens_per_s=args.tokens_per_s,
        batch=args.batch,
        admission=args.admission,
    )
    entries = describe(cluster)["entries"]
    wait_until(lambda: all(get_json(entry, "/readyz") for entry in entries))
    for manifest in args.manifest:
        publish = ("publish", manifest, "--log", cluster.addresses["log"])
        subprocess.run([sys.executable, "-m", "citronpin", *publish], check=True)
    if args.manifest:
        wait_until(lambda: all(serving_groups(e) >= args.groups for e in entries))
    environment = os.environ | {ENVIRONMENT_KEY: json.dumps(describe(cluster))}
    command = [part for part in args.command if part != "--"]
    return subprocess.run(command, env=environment).returncode


if __name__ == "__main__":
    sys.exit(main())
