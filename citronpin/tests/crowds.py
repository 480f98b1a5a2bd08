"""Crowds of clients that do not respect limits, and the gateway process they meet."""

import contextlib
import http.client
import json
import os
import selectors
import socket
import time
from pathlib import Path

import msgspec

from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.requests import HOST, ROUTES, event
from citronpin.tests.platforms.simulations import wire_config
from citronpin.tests.soaks.platforms import LivePlatform, body_digest
from citronpin.tests.soaks.soaks import GatewayNode

SERVE_LIMIT_S = 20.0  # until an ordinary request is answered; no objective
QUIET_S = 1.5  # without progress, after which a crowd has ended
BUSY_CPU_S = 0.15  # used in `QUIET_S` by a process that still handles what it received
SAMPLE_INTERVAL_S = 0.1
SEND_BYTES = 64 * 1024
SLOW_READ_BYTES = 512
# The routes give a busy machine time, so that the answers do come.
PATIENCE = {"timeout-ms": 20_000, "target-latency-ms": 20_000, "gap-aim-ms": 5_000}
SLOW_READ_INTERVAL_S = 0.05


class LongAnswerPlatform(LivePlatform):
    """Instances that answer as long as the target of a request asks for.

    ``/look-up/BYTES`` gets one answer of that size, ``/draft/BYTES`` a stream of events
    of 16 KiB. Other requests are answered as by `LivePlatform`.
    """

    EVENT_BYTES = 16 * 1024
    STREAM_INTERVAL_S = 0.01

    def _put_config(self):
        routes = [route | PATIENCE for route in ROUTES]
        cfg = wire_config(version=self.config_version, routes=routes)
        self.store.put("keyed.op", "config", json.dumps(cfg).encode())

    def _send_answer(self, instance, exchange, attempt):
        size = _asked_bytes(exchange.target)
        if size <= 1:
            super()._send_answer(instance, exchange, attempt)
            return
        body = b"y" * size
        headers = self._answer_headers(instance, attempt, body_digest(body))
        exchange.answer(200, body, headers)

    def _send_events(self, instance, exchange, member, number, garbled):
        count = _asked_bytes(exchange.target) // self.EVENT_BYTES
        if not count:
            super()._send_events(instance, exchange, member, number, garbled)
            return
        if exchange.is_gone:
            return
        if number >= count:
            exchange.reply.finish()
            return
        if exchange.reply.buffered_bytes < 4 * self.EVENT_BYTES:
            padding = b"z" * self.EVENT_BYTES
            exchange.reply.push(event(number).replace(b"token", padding))
            number += 1
        self.clock.call_later(
            self.STREAM_INTERVAL_S,
            lambda: self._send_events(instance, exchange, member, number, garbled),
        )


def _asked_bytes(target):
    text = target.rpartition("/")[2]
    return int(text) if text.isdigit() else 0


class Entry:
    """A gateway process with limits, and the stand-in of its platform."""

    def __init__(self, *, folder, limits):
        self.platform = LongAnswerPlatform(nodes=["front-1"])
        self.platform.start()
        (proxy,) = self.platform.store_proxies.values()
        self.node = GatewayNode(
            name="front-1", store_address=proxy.address, folder=folder, limits=limits
        )

    def close(self):
        self.node.kill()
        self.platform.stop()

    def wait_until_it_serves(self, method="GET", path="/look-up/1", model="small"):
        """Send ordinary requests until one is answered; fail after `SERVE_LIMIT_S`."""
        end_s = time.monotonic() + SERVE_LIMIT_S
        seen = []
        while time.monotonic() < end_s:
            assert self.is_alive, "the process has ended"
            seen.append(self.request(method, path, model=model))
            if seen[-1] == 200:
                return
            time.sleep(0.2)
        raise AssertionError(f"no ordinary request was answered: {seen[-5:]}")

    def request(self, method, path, body=None, model="small", timeout_s=5.0):
        """Return the status of a request on a new connection, ``None`` if it failed."""
        headers = {
            "Host": HOST,
            HEADERS.key: "key-1",
            HEADERS.attempt: f"ordinary-{time.monotonic_ns()}",
            HEADERS.deadline_ms: str(int(timeout_s * 1000)),
            HEADERS.model: model,
        }
        conn = http.client.HTTPConnection(
            "127.0.0.1", self.node.front_port, timeout=timeout_s
        )
        try:
            conn.request(method, path, body, headers)
            response = conn.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            conn.close()

    @property
    def is_alive(self):
        return self.node.process.poll() is None

    @property
    def peak_mb(self):
        """Return the highest resident memory of the process so far, in MB of 2**20."""
        status = Path(f"/proc/{self.node.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("the process has ended")

    @property
    def cpu_s(self):
        """Return the CPU time that the process has used."""
        stat = Path(f"/proc/{self.node.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def open_descriptors(self):
        return len(list(Path(f"/proc/{self.node.process.pid}/fd").iterdir()))


class Client(msgspec.Struct):
    """One client of a crowd: what it sends, and how it reads."""

    payload: memoryview
    piece_bytes: int = SEND_BYTES  # sent at a time
    is_reader: bool = True  # whether it reads what it receives, slowly
    sock: socket.socket | None = None


def head(path, method="POST", number=0, extra=""):
    """Return the head of a request of a client of a crowd."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{HEADERS.key}: key-1\r\n"
        f"{HEADERS.attempt}: crowd-{number}\r\n{HEADERS.deadline_ms}: 20000\r\n"
        f"{HEADERS.model}: {'small' if number % 2 else 'big'}\r\n{extra}\r\n"
    ).encode()


class Crowd:
    """Clients that connect at once, send as fast as they can, and stay.

    `run` returns when nothing more is sent, received or handled, or after
    ``limit_s``. The connections stay open until `close`. ``samples`` holds the
    numbers of descriptors that the process had open meanwhile.
    """

    def __init__(self, *, port, clients, limit_s):
        self._port = port
        self._limit_s = limit_s
        self._clients = clients
        self._selector = selectors.DefaultSelector()
        self._waiting = []  # (monotonic time in s, client that reads then)
        self.samples = []

    def run(self, entry):
        """Let the clients act, and sample the descriptors of the process."""
        for client in self._clients:
            self._connect(client)
        start_s = progress_s = sample_s = time.monotonic()
        cpu_s = entry.cpu_s
        while time.monotonic() < min(start_s + self._limit_s, progress_s + QUIET_S):
            if not entry.is_alive:
                return
            if self._act() or entry.cpu_s - cpu_s > BUSY_CPU_S:
                progress_s, cpu_s = time.monotonic(), entry.cpu_s
            if time.monotonic() >= sample_s:
                sample_s = time.monotonic() + SAMPLE_INTERVAL_S
                self.samples.append(entry.open_descriptors)

    def close(self):
        for client in self._clients:
            client.sock.close()
        self._selector.close()

    def _connect(self, client):
        client.sock = socket.socket()
        client.sock.setblocking(False)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.sock.connect_ex(("127.0.0.1", self._port))
        self._selector.register(client.sock, selectors.EVENT_WRITE, client)

    def _act(self):
        """Let each client that can do so send or read once; return whether one did."""
        has_moved = False
        for key, events in self._selector.select(0.05):
            client = key.data
            try:
                if events & selectors.EVENT_WRITE:
                    has_moved |= self._send(client)
                else:
                    has_moved |= bool(client.sock.recv(SLOW_READ_BYTES))
                    self._wait(client)
            except BlockingIOError:
                continue
            except OSError:
                self._selector.unregister(client.sock)
        self._wake()
        return has_moved

    def _send(self, client):
        sent = client.sock.send(client.payload[: client.piece_bytes])
        client.payload = client.payload[sent:]
        if not client.payload:
            self._selector.unregister(client.sock)
            if client.is_reader:
                self._waiting.append((time.monotonic(), client))
        return sent > 0

    def _wait(self, client):
        """Let a client read again after a pause."""
        self._selector.unregister(client.sock)
        self._waiting.append((time.monotonic() + SLOW_READ_INTERVAL_S, client))

    def _wake(self):
        now_s = time.monotonic()
        due = [client for due_s, client in self._waiting if due_s <= now_s]
        self._waiting = [one for one in self._waiting if one[0] > now_s]
        for client in due:
            with contextlib.suppress(OSError, ValueError):
                self._selector.register(client.sock, selectors.EVENT_READ, client)
