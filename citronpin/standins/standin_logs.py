"""Stand-in for the platform's log service."""

import logging
from collections import deque

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import Offset, StreamName
from citronpin.basics.settings import Settings, split_address
from citronpin.standins.standins import Faults, Standin, register_standin
from citronpin.state.logs import MemoryLog
from citronpin.state.records import MAX_RECORD_BYTES
from citronpin.web.servers import HttpRequest, Reply, Routes

logger = logging.getLogger(__name__)

MSGPACK_TYPE = "application/msgpack"
DEFAULT_APPENDS_PER_S = 300.0
MAX_WAIT_MS = 60_000
MAX_PAGE_RECORDS = 1_000
TRIM_INTERVAL_S = 1.0
MS_PER_S = 1_000


class LogFaults(Faults, kw_only=True):
    """Injectable faults of the log service."""

    appends_per_s: float = (
        DEFAULT_APPENDS_PER_S  # appends beyond it are refused with 429
    )
    append_twice: bool = False  # stores each payload twice
    late_effect_s: float = 0.0  # aborts the connection, appends this much later
    keep_records: int = 0  # number of records kept per stream; 0 keeps all
    keep_s: float = 0.0  # age at which records are trimmed; 0 keeps all


class LogStandin(Standin):
    """Serves the streams of a log in memory.

    ``POST /streams/{stream}/records`` appends the body and returns
    ``{"offset": n}``; ``GET`` of the same path with ``start``, ``limit`` and
    ``wait_ms`` returns a `LogPage` in MessagePack; ``GET /streams`` returns the
    head of every stream, or of those in ``names``.
    """

    faults_type = LogFaults

    def __init__(self, *, name: str, bind: tuple[str, int], clock: Clock) -> None:
        self.log = MemoryLog(clock=clock)
        self.appends = 0
        self._append_tokens = DEFAULT_APPENDS_PER_S
        self._last_refill_s = clock.now()
        self._append_times: dict[StreamName, deque[tuple[float, Offset]]] = {}
        self._open_reads: set[Reply] = set()
        super().__init__(name=name, bind=bind, clock=clock)
        clock.call_later(TRIM_INTERVAL_S, self._trim_periodically)

    def add_routes(self, routes: Routes) -> None:
        routes.add("POST", "/streams/{stream}/records", self._receive_append)
        routes.add("GET", "/streams/{stream}/records", self._receive_read)
        routes.add("GET", "/streams", self._show_heads)

    def faults_changed(self) -> None:
        self._trim()
        if self.faults.down:
            for reply in list(self._open_reads):
                reply.abort()
            self._open_reads.clear()

    def loses_answer(self, req: HttpRequest) -> bool:
        """Lose the answers to appends only; reads fail under the fault ``down``."""
        return self.faults.lose_answers and req.method == "POST"

    def _receive_append(self, req: HttpRequest, reply: Reply, stream: str) -> None:
        if not req.body or len(req.body) > MAX_RECORD_BYTES:
            detail = f"A record has 1 to {MAX_RECORD_BYTES} bytes."
            reply.json(413, {"detail": detail})
            return
        if not self._take_token():
            reply.json(429, {"detail": "Too many appends; nothing was done."})
            return
        if self.faults.late_effect_s > 0:
            self.clock.call_later(
                self.faults.late_effect_s, lambda: self._store(stream, req.body)
            )
            reply.abort()
            return
        offset = self._store(stream, req.body)
        if self.faults.append_twice:
            self._store(stream, req.body)
        reply.json(200, {"offset": offset})

    def _store(self, stream: StreamName, payload: bytes) -> Offset:
        self.appends += 1
        offset = self.log.put(stream, payload)
        times = self._append_times.setdefault(stream, deque())
        times.append((self.clock.now(), offset))
        if self.faults.keep_records:
            self.log.trim(stream, Offset(offset + 1 - self.faults.keep_records))
        return offset

    def _take_token(self) -> bool:
        now = self.clock.now()
        rate = self.faults.appends_per_s
        self._append_tokens += (now - self._last_refill_s) * rate
        self._append_tokens = min(self._append_tokens, max(rate, 1.0))
        self._last_refill_s = now
        if self._append_tokens < 1.0:
            return False
        self._append_tokens -= 1.0
        return True

    def _receive_read(self, req: HttpRequest, reply: Reply, stream: str) -> None:
        try:
            start = int(req.query.get("start", "0"))
            limit = min(int(req.query.get("limit", "500")), MAX_PAGE_RECORDS)
            wait_ms = min(int(req.query.get("wait_ms", "0")), MAX_WAIT_MS)
        except ValueError:
            reply.json(400, {"detail": "start, limit and wait_ms are whole numbers."})
            return
        self._open_reads.add(reply)
        self.log.read(
            stream=stream,
            start=Offset(start),
            wait_s=wait_ms / MS_PER_S,
            limit=max(limit, 0),
            done=lambda result: self._send_page(reply, result.unwrap()),
        )

    def _send_page(self, reply: Reply, page) -> None:
        if self.faults.paused:
            self.hold(lambda: self._send_page(reply, page))
            return
        self._open_reads.discard(reply)
        reply.send_response(200, msgspec.msgpack.encode(page), MSGPACK_TYPE)

    def _show_heads(self, req: HttpRequest, reply: Reply) -> None:
        heads = self.log.heads()
        if "names" in req.query:
            names = req.query["names"].split(",")
            heads = {name: heads.get(name, Offset(0)) for name in names}
        reply.json(200, heads)

    def _trim_periodically(self) -> None:
        self._trim()
        self.clock.call_later(TRIM_INTERVAL_S, self._trim_periodically)

    def _trim(self) -> None:
        for stream in list(self._append_times):
            if self.faults.keep_records:
                head = self.log.head(stream)
                self.log.trim(stream, Offset(head - self.faults.keep_records))
            if self.faults.keep_s:
                self._trim_expired(stream)

    def _trim_expired(self, stream: StreamName) -> None:
        times = self._append_times[stream]
        oldest_s = self.clock.now() - self.faults.keep_s
        while times and times[0][0] < oldest_s:
            _, offset = times.popleft()
            self.log.trim(stream, Offset(offset + 1))


@register_standin("log", "standin")
def build_log(cfg: Settings, clock: Clock) -> LogStandin:
    """Build the log stand-in from its settings."""
    standin_cfg = cfg.section("standin")
    return LogStandin(
        name=standin_cfg["name"], bind=split_address(standin_cfg["listen"]), clock=clock
    )
