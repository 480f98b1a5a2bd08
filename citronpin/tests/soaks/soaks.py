"""Runs gateway processes, injects faults by a seed, and collects what was seen."""

import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from pathlib import Path

from citronpin.tests.soaks import checks
from citronpin.tests.soaks.callers import Caller, Kind
from citronpin.tests.soaks.platforms import LivePlatform, free_port
from citronpin.tests.soaks.proxies import FaultProxy

NODES = ("front-1", "front-2", "front-3")
GRACE_S = 6.0
CONFIG_S = 2.0  # until a configuration is in force at a node that nothing disturbs
FELT_S = 4.0  # for which a fault excuses what follows it, as the platform's does
START_LIMIT_S = 30.0
RECOVERY_LIMIT_S = 30.0  # generous: the machine may be busy
PROBE_S = 0.25


class Node:
    """One gateway process, started again after its end."""

    def __init__(self, *, name, store, folder):
        self.name = name
        self.lives = 0
        self.front, self.ready, peers, self.metrics = (free_port() for _ in range(4))
        settings = {
            "node": name,
            "ip": "127.0.0.1",
            "zone": "a",
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
            },
            "internal-ports": [peers, peers],
            "platform": {"address": store},
            "bounds": {"grace-s": GRACE_S},
        }
        self._path = Path(folder) / f"{name}.json"
        self._path.write_text(json.dumps(settings))
        self._log = Path(folder) / f"{name}.log"
        self.process = None
        self.lock = threading.Lock()
        self.start()

    def start(self):
        self.lives += 1
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "citronpin", "gateway"]
                + [f"--metrics_port={self.metrics}"],
                env=os.environ | {"CITRONPIN_SETTINGS": str(self._path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def get(self, port, path, host="marks.example"):
        """Return the status of a request on a connection of its own, or ``None``."""
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=1.0)
        try:
            conn.request("GET", path, headers={"Host": host})
            return conn.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            conn.close()

    def wait_until_ready(self):
        end_s = time.monotonic() + START_LIMIT_S
        while not self.is_ready and time.monotonic() < end_s:
            time.sleep(PROBE_S)

    @property
    def is_ready(self):
        return self.get(self.ready, "/v1/readyz") == 200


class Soak:
    """One seeded run; `violations` says what did not hold."""

    def __init__(self, *, seed, seconds, folder, callers=4):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._folder = folder
        self.injected = Counter()
        self.violations = []
        self._faults = []  # (begin, end) with the time for which they are felt
        self._stops = []  # (node, begin, end)
        self._seen = []  # (life, version, status)
        self._acknowledged = {}  # version -> when the store had it
        self._threads = []
        self._over = threading.Event()
        self.platform = LivePlatform(nodes=NODES)
        self.platform.start()
        self.nodes = [
            Node(name=name, store=proxy.address, folder=folder)
            for name, proxy in self.platform.store_proxies.items()
        ]
        front_addresses = {node.name: ("127.0.0.1", node.front) for node in self.nodes}
        self.callers = [
            Caller(
                name=f"caller-{n}", seed=seed * 100 + n, front_addresses=front_addresses
            )
            for n in range(callers)
        ]

    def run(self):
        """Play the whole run and judge it."""
        try:
            self._wait(self._all_serve, START_LIMIT_S, "nothing served at the start")
            for caller in self.callers:
                caller.start()
            prober = threading.Thread(target=self._probe, daemon=True)
            prober.start()
            self._inject()
            self._heal()
            self._wait(self._all_serve, RECOVERY_LIMIT_S, "no service after the faults")
            self._over.set()
            for thread in [*self.callers, prober]:
                if isinstance(thread, Caller):
                    thread.stop_requested.set()
                thread.join()
            self._judge()
        finally:
            self._over.set()
            for node in self.nodes:
                node.kill()
            self.platform.stop()

    def _wait(self, condition, limit_s, complaint):
        end_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end_s:
                self.violations.append(complaint)
                return
            time.sleep(PROBE_S)

    def _all_serve(self):
        if not all(node.is_ready for node in self.nodes):
            return False
        probes = [
            Caller(
                name=f"probe-{time.monotonic_ns()}-{node.name}",
                seed=1,
                front_addresses=front_address,
            )
            for node, front_address in (
                (node, {node.name: ("127.0.0.1", node.front)}) for node in self.nodes
            )
        ]
        asked = [probe.send_request(kind) for probe in probes for kind in Kind]
        self._own = getattr(self, "_own", []) + asked
        return all(one.status == 200 and one.complete for one in asked)

    def _inject(self):
        end_s = time.monotonic() + self._seconds
        names = [name[1:] for name in dir(self) if name.startswith("_do_")]
        while time.monotonic() < end_s:
            name = self._rng.choice(names)
            self.injected[name] += 1
            thread = threading.Thread(target=getattr(self, "_" + name), daemon=True)
            self._threads.append(thread)
            thread.start()
            if self._rng.random() < 0.7:  # the others overlap with the next
                thread.join()
            time.sleep(self._rng.choice([0.0, 0.2, 0.8]))
        for thread in self._threads:
            thread.join()

    def _felt(self, begin_s):
        self._faults.append((begin_s, time.monotonic() + FELT_S))

    def _for(self, seconds, begin, end):
        """Hold a fault for some time."""
        begin_s = time.monotonic()
        entry = (begin_s, float("inf"))
        self._faults.append(entry)
        begin()
        time.sleep(seconds)
        end()
        self._faults.remove(entry)
        self._felt(begin_s)

    def _node(self):
        return self._rng.choice(self.nodes)

    def _do_kill_and_restart(self):
        node, wait_s = self._node(), self._rng.choice([0.1, 1.0])
        with node.lock:
            self._for(wait_s, node.kill, node.start)

    def _do_pause(self):
        node, wait_s = self._node(), self._rng.choice([0.3, 1.0, 2.5])
        with node.lock:
            self._for(
                wait_s,
                lambda: node.signal(signal.SIGSTOP),
                lambda: node.signal(signal.SIGCONT),
            )

    def _do_stop_as_planned(self):
        node = self._node()
        with node.lock:
            # Before a process has set its handlers, the signal ends it (seed 3: 3 s
            # after the end of the life before, no line of the new one yet).
            node.wait_until_ready()
            begin_s = time.monotonic()
            node.signal(signal.SIGTERM)
            try:
                code = node.process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                self.violations.append(f"{node.name} did not stop in its grace")
                node.kill()
            else:
                if code != 0:
                    self.violations.append(f"{node.name} ended with {code}")
            self._stops.append((node.name, begin_s, time.monotonic()))
            node.start()
        time.sleep(0.5)

    def _do_reload(self):
        node = self._node()
        with node.lock:
            node.wait_until_ready()  # seed 103: it came before the handlers were set
            node.signal(signal.SIGHUP)

    def _do_configure(self):
        version = self.platform.call(self.platform.publish_config)
        self._acknowledged[version] = time.monotonic()

    def _do_store_outage(self):
        store = self.platform.store
        fault = self._rng.choice(["down", "silent"])
        self._for(
            self._rng.choice([0.5, 2.0]),
            lambda: setattr(store, fault, True),
            lambda: setattr(store, fault, False),
        )

    def _do_cut_from_store(self):
        self._harm(self._rng.choice(list(self.platform.store_proxies.values())))

    def _do_harm_instance(self):
        self._harm(self._rng.choice(list(self.platform.instance_proxies.values())))

    def _harm(self, proxy):
        seconds = self._rng.choice([0.3, 1.5])
        way = self._rng.choice(["reset", "delay", "up", "down", "both"])
        if way == "reset":
            self._for(0.0, proxy.reset_connections, lambda: None)
        elif way == "delay":
            self._for(
                seconds, lambda: setattr(proxy, "delay_s", 0.08), proxy.clear_faults
            )
        else:
            ways = {FaultProxy.UP, FaultProxy.DOWN} if way == "both" else {way}
            self._for(
                seconds,
                lambda: setattr(proxy, "dropped_directions", frozenset(ways)),
                proxy.clear_faults,
            )

    def _do_lose_instance(self):
        name = self._rng.choice(sorted(self.platform.instance_proxies))
        instance = self.platform.fleet.instances[name]
        self._for(
            self._rng.choice([0.5, 3.0]),
            lambda: self.platform.call(instance.kill),
            lambda: self.platform.call(instance.restart) if instance.dead else None,
        )

    def _do_late_orders(self):
        name = f"i-{self._rng.randrange(10)}"
        self.platform.fleet.instances[name].delayed_order_count = 1

    def _heal(self):
        store = self.platform.store
        store.down = store.silent = False
        for proxy in [
            *self.platform.instance_proxies.values(),
            *self.platform.store_proxies.values(),
        ]:
            proxy.clear_faults()
        for instance in self.platform.fleet.instances.values():
            instance.delayed_order_count = 0
            if instance.dead:
                self.platform.call(instance.restart)

    def _probe(self):
        """Ask each process for the newest configuration that it must have."""
        while not self._over.wait(PROBE_S):
            now_s = time.monotonic()
            due = [v for v, at in self._acknowledged.items() if now_s - at > CONFIG_S]
            newest = max(due, default=1)
            for node in self.nodes:
                life = f"{node.name}/{node.lives}"
                status = node.get(node.front, f"/v{newest}/mark")
                if life == f"{node.name}/{node.lives}":
                    self._seen.append((life, newest, status))
                calm = not any(a <= now_s <= b for a, b in list(self._faults))
                began_s = self._acknowledged.get(newest, 0.0)
                calm &= not any(a <= now_s and began_s <= b for a, b in self._faults)
                if status == 404 and calm and not node.lock.locked():
                    self.violations.append(f"{life} lacks version {newest}")

    def _judge(self):
        for node in self.nodes:
            if (code := node.process.poll()) is not None:
                self.violations.append(f"{node.name} ended by itself with {code}")
        outcomes = [one for caller in self.callers for one in caller.outcomes]
        outcomes += self._own
        runs = {
            attempt: list(where)
            for attempt, where in self.platform.runs.items()
            if attempt  # probes of the configuration have no id
        }
        self.asked = Counter((one.kind.name, one.status) for one in outcomes)
        self.violations += checks.check_runs(outcomes, runs)
        self.violations += checks.check_answers(outcomes)
        self.violations += checks.check_planned_stops(
            outcomes, runs, self._stops, self._faults
        )
        self.violations += checks.check_versions(self._seen)
        self.violations += self.platform.fleet.violations
