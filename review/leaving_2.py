"""Clients of which some leave before their answer, and a platform that watches memory.

The platform kills a process that exceeds its memory.
"""

import random
import socket
import threading
import time

from review.deployments import has_trouble, read_answer, request_head

CLIENTS = 60
LEAVING_SHARE = 0.3  # of the clients; they send the large requests
EPISODES = 3
EPISODE_S = 5.5  # for which they leave early
PAUSE_S = 2.0
LEAVE_WITHIN_S = (0.6, 0.9)  # at most 1.5 s
DEADLINE_MS = 6000
CHECK_INTERVAL_S = 0.02
CALM_S = 3.0


class LeavingClients:
    """Runs the clients and the platform's watch, and counts the outcomes.

    The leaving clients send ``method`` to ``target`` with ``body``; the others look up
    something small every one to two seconds.
    """

    def __init__(self, *, node, record, memory_mb, method, target, body=b""):
        self._node = node
        self._record = record
        self._memory_mb = memory_mb
        self._method = method
        self._target = target
        self._body = body
        self._finished = threading.Event()
        self._are_leaving = threading.Event()
        self._lock = threading.Lock()
        self.peak_mb = 0.0
        self.is_killed = False
        self.counts = {}

    @property
    def answered(self):
        return sum(n for name, n in self.counts.items() if name.endswith(": 200"))

    def _count(self, outcome):
        with self._lock:
            self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def _watch(self):
        """Kill the process once it exceeds its memory, as the platform does."""
        while not self._finished.wait(CHECK_INTERVAL_S):
            resident_mb = self._node.resident_mb()
            self.peak_mb = max(self.peak_mb, resident_mb)
            if resident_mb > self._memory_mb:
                self.is_killed = True
                self._record.say(
                    f"platform: {resident_mb:.0f} MB are over {self._memory_mb} MB, "
                    "the process is killed"
                )
                self._node.process.kill()
                return

    def _run_client(self, number):
        rng = random.Random(number)
        is_large = number < LEAVING_SHARE * CLIENTS
        time.sleep(rng.random())
        sent = 0
        while not self._finished.is_set() and not self.is_killed:
            sent += 1
            attempt = f"c{number}-{sent}"
            target = self._target if is_large else "/look-up/1"
            try:
                outcome = self._request(target, attempt, is_large, rng)
            except (OSError, ValueError) as exc:
                outcome = f"no answer ({type(exc).__name__})"
            self._record.line(f"client {attempt} {target}: {outcome}")
            self._count(f"{target}: {outcome}")
            if not is_large:
                time.sleep(1.0 + rng.random())
            elif outcome not in ("left", "200"):
                time.sleep(0.3)

    def _request(self, target, attempt, is_large, rng):
        method, body = (self._method, self._body) if is_large else ("GET", b"")
        fields = [f"Content-Length: {len(body)}"] if body else []
        head = request_head(method, target, attempt, *fields, deadline_ms=DEADLINE_MS)
        with socket.create_connection(self._node.address, timeout=1.0) as sock:
            sock.settimeout(DEADLINE_MS / 1000)
            sock.sendall(head + body)
            if is_large and self._are_leaving.is_set():
                sock.settimeout(rng.uniform(*LEAVE_WITHIN_S))
                try:
                    sock.recv(1, socket.MSG_PEEK)
                except TimeoutError:
                    return "left"
                sock.settimeout(DEADLINE_MS / 1000)
            return str(read_answer(sock)[0])

    def run(self):
        threads = [threading.Thread(target=self._watch, daemon=True)]
        threads += [
            threading.Thread(target=self._run_client, args=(number,), daemon=True)
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        self._wait(CALM_S)
        for _ in range(EPISODES):
            if self.is_killed:
                break
            if has_trouble():
                self._record.say("30 in 100 clients leave early from now on")
                self._are_leaving.set()
            self._wait(EPISODE_S)
            self._are_leaving.clear()
            self._wait(PAUSE_S)
        self._finished.set()
        for thread in threads:
            thread.join(DEADLINE_MS / 1000 + 2.0)
        for name, count in sorted(self.counts.items()):
            self._record.say(f"{name}: {count}")

    def _wait(self, seconds):
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s and not self.is_killed:
            time.sleep(0.05)
