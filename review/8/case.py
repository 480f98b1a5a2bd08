"""Withdrawals that the store does late hide restarted entries from the others."""

import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

from citronpin.platform.directories import ENTRIES_TOPIC, ENTRY_PREFIX
from review.deployments import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    Node,
    Record,
    SmallPlatform,
    has_trouble,
    read_answer,
    request_head,
    temporary_folder,
)

FOLDER = Path(__file__).resolve().parent
LIMITS = {"cpu-share": 0.537, "cores": 2, "memory-mb": 300, "max-fds": 4100}
NAMES = [f"front-{number}" for number in range(1, 6)]
RESTARTED = NAMES[3:]
LATE_S = 5.0  # of 1 to 6 s after which the store does a write without an answer
GRACE_S = 8.0
SETTLED_S = 8.0  # after the last late write: more than two stability windows
TARGET = "/swap/1-deadly"
STABILITY_WINDOW_S = 3.0
CRASHES = 3
MAX_LATE = 3
INTERVAL_S = 0.7
FIRST_INTERVAL_S = 2.2  # until the server that crashed is back
MAX_FIRST = 9
DEADLINE_MS = 1500


class LateWrites(SmallPlatform):
    """Leaves the withdrawals of chosen nodes unanswered and does them later."""

    def __init__(self, *, record, late_nodes, **options):
        self._record = record
        self._late_nodes = set(late_nodes)
        super().__init__(**options)

    def _handle_store_request(self, node, exchange):
        parts = urlsplit(exchange.target)
        topic = parse_qs(parts.query).get("topic", [""])[0]
        key = (ENTRY_PREFIX + node).encode()
        is_write = parts.path == "/v1/log-append" and topic == ENTRIES_TOPIC
        if is_write:
            # A record: length in 4 bytes, length of the key, key, value.
            is_withdrawal = exchange.body[5:] == key
            what = "withdraws" if is_withdrawal else "writes"
            self._record.line(f"store: {node} {what} in {topic}")
            if is_withdrawal and node in self._late_nodes:
                self._late_nodes.discard(node)

                def do_late():
                    self._record.line(f"store: the withdrawal of {node} is done now")
                    self.store.handle(exchange.method, exchange.target, exchange.body)

                self.clock.call_later(LATE_S, do_late)
                return
        super()._handle_store_request(node, exchange)

    def _crash_soon(self, instance, exchange, key):
        self._record.line(f"server {instance.name} runs {key} and will crash")
        super()._crash_soon(instance, exchange, key)


def restart(node, record):
    """Stop a node as planned and start it again."""
    record.say(f"{node.name} gets SIGTERM")
    node.process.send_signal(signal.SIGTERM)
    try:
        code = node.process.wait(GRACE_S)
    except subprocess.TimeoutExpired as exc:
        raise RuntimeError(f"{node.name} did not stop") from exc
    record.line(f"{node.name} ended with {code}")
    node.start()
    node.wait_until_ready()
    record.line(f"{node.name} is ready again")


def send_deadly(node, number, record):
    """Send the request under which servers crash, as an attempt of its own."""
    attempt = f"deadly-{number}"
    body = b"the same body"
    head = request_head(
        "POST",
        TARGET,
        attempt,
        f"Content-Length: {len(body)}",
        deadline_ms=DEADLINE_MS,
    )
    try:
        with socket.create_connection(node.address, timeout=1.0) as sock:
            sock.settimeout(DEADLINE_MS / 1000)
            sock.sendall(head + body)
            outcome = str(read_answer(sock)[0])
    except (OSError, ValueError) as exc:
        outcome = f"no answer ({type(exc).__name__})"
    record.line(f"client {attempt} at {node.name}: {outcome}")


def known_entries(platform):
    """Return the names of the entries that the store lists."""
    newest = platform.store.topic(ENTRIES_TOPIC).newest
    return sorted(
        key.removeprefix(ENTRY_PREFIX) for key in newest if key.startswith(ENTRY_PREFIX)
    )


def run(platform, nodes, record):
    for node in nodes:
        node.wait_until_ready()
    time.sleep(3.0)
    for node in nodes:
        if node.name in RESTARTED:
            restart(node, record)
    time.sleep(LATE_S + SETTLED_S)
    record.say(f"the store lists {platform.call(lambda: known_entries(platform))}")
    reached = platform.crashing_keys.setdefault(TARGET, [])
    crashes = platform.crashes[TARGET]
    number = 0
    while len(crashes) < CRASHES and number < MAX_FIRST:
        send_deadly(nodes[number % CRASHES], number, record)
        number += 1
        time.sleep(FIRST_INTERVAL_S)
    if len(crashes) < CRASHES:
        record.say(f"only {len(crashes)} servers crashed")
        return EXIT_NOT_RUN
    limit_s = sorted(crashes)[CRASHES - 1] + STABILITY_WINDOW_S
    time.sleep(STABILITY_WINDOW_S + 0.5)
    for _ in range(6):
        for node in nodes:
            number += 1
            send_deadly(node, number, record)
            time.sleep(INTERVAL_S)
    late = sum(at_s > limit_s for at_s in reached)
    record.say(
        f"{number} deadly requests were sent, {len(reached)} reached servers, {late} "
        f"of them later than {STABILITY_WINDOW_S:.0f} s after the third crash"
    )
    return EXIT_BROKEN if late > MAX_LATE else EXIT_HELD


def main():
    record = Record(FOLDER)
    nodes = []
    with temporary_folder() as folder:
        late_nodes = RESTARTED if has_trouble() else []
        platform = LateWrites(record=record, late_nodes=late_nodes, nodes=NAMES)
        platform.start()
        try:
            for name in NAMES:
                store = platform.store_proxies[name].address
                nodes.append(Node(name=name, store=store, folder=folder, limits=LIMITS))
            return run(platform, nodes, record)
        except RuntimeError as exc:
            record.say(f"the case could not run: {exc}")
            return EXIT_NOT_RUN
        finally:
            for node in nodes:
                node.stop()
            platform.stop()
            record.close()


if __name__ == "__main__":
    sys.exit(main())
