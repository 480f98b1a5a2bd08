"""Starts a system of separate processes on loopback, for measurements.

Run as a program, it starts a system, runs a command with the description of the
system in an environment variable and ends every process that it started.
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
SYSTEM_ENVIRONMENT_VARIABLE = "CITRONPIN_SYSTEM"
READY_TIMEOUT_S = 180.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1


def free_port() -> int:
    """Return a TCP port that was free at the time of the call."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


class Cluster:
    """Starts and ends processes, with their settings and logs in one folder."""

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}

    def start(self, name: str, command: tuple[str, ...], sections: dict) -> str:
        """Start a ``citronpin`` command and return the address it listens on.

        The address and the name are added to its settings in ``sections``.
        """
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
        """Start one process with many engine stand-ins and return their instances."""
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
        instances = json.loads(output.read_text())
        self.addresses |= {row["id"]: row["address"] for row in instances}
        return instances

    def stop(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """End one process, by force after a timeout, and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal_number)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> None:
        """End every process, also those that are paused."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for name in list(self.processes):
            self.stop(name)

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
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
    """Start stand-ins and entries; the engines are spread over the fabric domains."""
    log = cluster.start("log", ("standin", "log"), {"standin": {}})
    instances = cluster.start_engines(engines, domains, tokens_per_s, batch)
    instances += [_start_service(cluster, number) for number in range(services)]
    path = cluster._folder / "instances.json"
    path.write_text(json.dumps(instances))
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
    """Start an entry that knows the peer addresses of the entries before it."""
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
    """Return the JSON at a path, or ``None`` if the request fails."""
    try:
        with urllib.request.urlopen(f"http://{address}{target}", timeout=2) as response:
            return json.load(response)
    except (urllib.error.URLError, ConnectionError, TimeoutError):
        return None


def wait_until(condition, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until ``condition()`` is true; raises `TimeoutError` after ``timeout_s``."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                "The system was not ready before the timeout; see its logs."
            )
        time.sleep(POLL_INTERVAL_S)


def serving_groups(address: str) -> int:
    """Return the number of groups that are serving according to an entry."""
    groups = get_json(address, "/admin/groups") or []
    return sum(group["state"] == "serving" for group in groups)


def describe(cluster: Cluster) -> dict:
    """Return the addresses of the system by kind of process."""
    return {
        "entries": [a for k, a in cluster.addresses.items() if k.startswith("entry-")],
        "engines": [a for k, a in cluster.addresses.items() if k.startswith("engine-")],
        "services": [a for k, a in cluster.addresses.items() if k.startswith("rota-")],
        "log": cluster.addresses["log"],
        "membership": cluster.addresses["membership"],
    }


def main() -> int:
    """Start a system, run a command against it and return the command's exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--domains", type=int, default=1)
    parser.add_argument("--tokens-per-s", type=float, default=50.0)
    parser.add_argument("--batch", type=int, default=64)
    parser.add_argument("--admission", default="weighted")
    parser.add_argument(
        "--groups", type=int, default=1, help="serving groups to wait for"
    )
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
    environment = os.environ | {
        SYSTEM_ENVIRONMENT_VARIABLE: json.dumps(describe(cluster))
    }
    command = [part for part in args.command if part != "--"]
    return subprocess.run(command, env=environment).returncode


if __name__ == "__main__":
    sys.exit(main())
