"""Ordinary callers, each with one short request on a new connection."""

import socket
import threading
import time

from review.deployments import read_answer, request_head

INTERVAL_S = 0.2
DEADLINE_MS = 1500


class OrdinaryCallers(threading.Thread):
    """Sends a request every 0.2 s and records whether it was answered in time."""

    def __init__(self, *, node, record):
        super().__init__(daemon=True)
        self._node = node
        self._record = record
        self._finished = threading.Event()
        self._start_s = time.monotonic()
        self._lock = threading.Lock()
        self._threads = []
        self.outcomes = []  # (seconds since the start, outcome, seconds it took)

    def run(self):
        number = 0
        while not self._finished.wait(INTERVAL_S):
            number += 1
            thread = threading.Thread(target=self._call, args=(number,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def _call(self, number):
        start_s = time.monotonic()
        attempt = f"ordinary-{number}"
        try:
            with socket.create_connection(self._node.address, timeout=1.0) as sock:
                sock.settimeout(DEADLINE_MS / 1000)
                sock.sendall(
                    request_head("GET", "/look-up/1", attempt, deadline_ms=DEADLINE_MS)
                )
                outcome = str(read_answer(sock)[0])
        except (OSError, ValueError) as exc:
            outcome = f"no answer ({type(exc).__name__})"
        took_s = time.monotonic() - start_s
        self._record.line(f"client {attempt}: {outcome} after {took_s:.2f} s")
        with self._lock:
            self.outcomes.append((start_s - self._start_s, outcome, took_s))

    def finish(self):
        self._finished.set()
        self.join()
        for thread in self._threads:
            thread.join(3.0)

    def between(self, since_s, until_s):
        """Return the outcomes of requests sent between two times since the start."""
        with self._lock:
            return [row[1] for row in self.outcomes if since_s <= row[0] < until_s]

    def summary(self):
        counts = {}
        with self._lock:
            for _, outcome, _ in self.outcomes:
                counts[outcome] = counts.get(outcome, 0) + 1
        return counts


def silent_spans(callers, start_s, end_s, span_s):
    """Return the begins of spans in which no ordinary request was answered with 200."""
    found = []
    since_s = start_s
    while since_s + span_s <= end_s:
        outcomes = callers.between(since_s, since_s + span_s)
        if outcomes and "200" not in outcomes:
            found.append(round(since_s, 1))
        since_s += 1.0
    return found
