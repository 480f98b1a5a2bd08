"""Callers that send requests over persistent connections and record the outcomes."""

import http.client
import random
import threading
import time
from enum import Enum

import msgspec

from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.requests import HOST

REQUEST_TIMEOUT_S = 8.0
MAX_PAUSE_S = 0.02
SHARED_PART = "c0ffee"  # of the prompts of all callers


class Kind(Enum):
    """Kind of a request; the value is the path that the caller requests."""

    UNSAFE = "/swap/1"
    SAFE = "/look-up/1"
    STREAM = "/draft/1"


class Outcome(msgspec.Struct, kw_only=True):
    """Result of one attempt as its caller saw it; times are monotonic, in s."""

    attempt: str
    kind: Kind
    node: str
    start_s: float
    end_s: float = 0.0
    status: int | None = None  # None: no connection, or it ended before the status
    headers: dict[str, str] = {}
    body: bytes = b""
    complete: bool = False


class Caller(threading.Thread):
    """Sends requests one after another and mostly reuses the connection."""

    def __init__(
        self, *, name, seed, front_addresses, kinds=Kind, max_pause_s=MAX_PAUSE_S
    ):
        super().__init__(daemon=True)
        self.name = name
        self._rng = random.Random(seed)
        self._front_addresses = front_addresses  # node -> (host, port)
        self._kinds = list(kinds)
        self._max_pause_s = max_pause_s
        self._conn = None
        self._node = None
        self._request_count = 0
        self.outcomes = []
        self.stop_requested = threading.Event()

    def run(self):
        while not self.stop_requested.wait(self._max_pause_s * self._rng.random()):
            kind = self._rng.choice(self._kinds)
            self.outcomes.append(self.send_request(kind))
        self._close_connection()

    def send_request(self, kind, part=SHARED_PART, path=None):
        """Send one request and return its outcome.

        Its prompt has a part, and its path is that of the kind by default.
        """
        if self._conn is None or self._rng.random() < 0.05:
            self._close_connection()
            self._node = self._rng.choice(sorted(self._front_addresses))
            self._conn = http.client.HTTPConnection(
                *self._front_addresses[self._node], timeout=REQUEST_TIMEOUT_S
            )
        self._request_count += 1
        outcome = Outcome(
            attempt=f"{self.name}-{self._request_count}",
            kind=kind,
            node=self._node,
            start_s=time.monotonic(),
        )
        try:
            self._exchange(kind, part, path or kind.value, outcome)
        except (OSError, http.client.HTTPException):
            self._close_connection()
        outcome.end_s = time.monotonic()
        return outcome

    def _exchange(self, kind, part, path, outcome):
        """Send a request and store the response in the outcome as it arrives."""
        headers = {
            "Host": HOST,
            HEADERS.attempt: outcome.attempt,
            HEADERS.key: "key-1",
            HEADERS.deadline_ms: "5000",
        }
        if kind is Kind.STREAM:
            headers[HEADERS.model] = self._rng.choice(["small", "big"])
            parts = f"{SHARED_PART}:40,{part}:100,{outcome.attempt}:8"
            headers[HEADERS.prompt_parts] = parts
        method = "GET" if kind is Kind.SAFE else "POST"
        body = None if kind is Kind.SAFE else b"text"
        self._conn.request(method, path, body, headers)
        response = self._conn.getresponse()
        outcome.headers = {n.lower(): v for n, v in response.getheaders()}
        outcome.status = response.status
        while data := response.read1(65_536):
            outcome.body += data
        response.read()  # `read1` does not detect the end of a body with a length
        outcome.complete = not response.length

    def _close_connection(self):
        if self._conn is not None:
            self._conn.close()
        self._conn = None
