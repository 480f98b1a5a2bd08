"""Benchmark of the state on the log: folds, boots, group commit and bytes a second."""

import logging
import socket
import threading
import time
from collections.abc import Callable

import msgspec
import numpy as np
from circuits import Component

from citronpin.basics.clocks import ClockTask, PausedClock, SystemClock
from citronpin.basics.events import Recorder
from citronpin.basics.ids import (
    CONFIG_STREAM,
    NO_OFFSET,
    EntryId,
    Offset,
    RecordId,
    StreamName,
    checkpoint_stream,
    new_id,
    new_writer_id,
)
from citronpin.benches.benches import Bench, Figure, register
from citronpin.standins.standin_logs import LogStandin
from citronpin.state.checkpoints import checkpoint_records
from citronpin.state.folds import fold_for
from citronpin.state.followers import HEAD_CHECK_INTERVAL_S, Followers
from citronpin.state.http_logs import HttpLog
from citronpin.state.logs import LogClient, MemoryLog
from citronpin.state.manifests import (
    ApplicationManifest,
    CallRule,
    Customer,
    CustomersManifest,
    DeploymentManifest,
    Manifest,
    scope_of,
)
from citronpin.state.records import (
    CallIntent,
    CallOutcome,
    ConfigChange,
    ConfigPart,
    Record,
    ScopeChange,
    decode_record,
    encode_record,
)
from citronpin.state.tails import LONG_POLL_S
from citronpin.web.clients import HttpClient

logger = logging.getLogger(__name__)

CHANGES_PER_DAY = 1_600
SECONDS_PER_DAY = 86_400
SCOPE_COUNT = 120
QUICK_CHANGES = 200
CALL_COUNT = 3_000
PROPOSALS_PER_S = 300
APPEND_LATENCY_S = 0.005
BOOT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.001
SCOPES_PER_CHANGE = (1, 4, 16)
FOLD_REPEATS = 30
ANY_PORT = ("127.0.0.1", 0)


@register
class BootBench(Bench):
    """Measures the cost to an entry of booting and of following the log."""

    name = "boots"
    summary = "fold, boot, group commit and bytes of the state on the log"

    def run(self, *, seed: int, quick: bool) -> list[Figure]:
        """Return the figures; sizes do not depend on the clock, times do."""
        logging.getLogger().setLevel(logging.WARNING)
        rng = np.random.default_rng(seed)
        changes = QUICK_CHANGES if quick else CHANGES_PER_DAY
        payloads = config_payloads(changes, rng)
        figures = _size_figures(payloads)
        figures += _fold_figures(payloads)
        figures += _boot_figures(payloads)
        figures += _commit_figures(seed)
        return figures + _scope_count_figures()


def sample_manifest(number: int, rng: np.random.Generator) -> Manifest:
    """Return a small manifest of the scope ``number``.

    Of ten scopes eight are deployments, one is customers and one an application.
    """
    version = str(int(rng.integers(1, 999)))
    if number % 10 == 8:
        digest = rng.bytes(32).hex()
        one = Customer(name=f"customer-{number}", key_digests=(digest,), share=2.0)
        return CustomersManifest(name=f"set-{number}", customers=(one,))
    if number % 10 == 9:
        rule = CallRule(method="POST", path="/postings", lookup="/postings/{key}")
        return ApplicationManifest(name=f"ledger-{number}", calls=(rule,))
    return DeploymentManifest(
        name=f"assistant-{number}",
        model="assistant-70b",
        version=version,
        groups=int(rng.integers(2, 12)),
        members=8,
        adapters=("rota", "practice-notes"),
        domains=("sapporo-1", "hakodate-2"),
    )


def config_payloads(count: int, rng: np.random.Generator) -> list[bytes]:
    """Return the records of ``count`` accepted changes over `SCOPE_COUNT` scopes."""
    bases: dict[str, Offset] = {}
    payloads = []
    for offset in range(count):
        manifest = sample_manifest(int(rng.integers(0, SCOPE_COUNT)), rng)
        scope = scope_of(manifest)
        base = bases.get(scope, NO_OFFSET)
        item = ConfigChange((ScopeChange(scope, base, manifest),), "pipeline")
        bases[scope] = Offset(offset)
        payloads.append(_encode_item("pipeline", item, offset))
    return payloads


def _encode_item(author: str, item, offset: int = 0) -> bytes:
    record = Record(
        format=1,
        id=RecordId(new_id()),
        author=EntryId(author),
        wall_ms=PausedClock.EPOCH_MS,
        items=(item,),
        writer=new_writer_id(),
        sequence=1,
        base=Offset(offset - 1),
    )
    return encode_record(record)


def _fold_all(stream: StreamName, payloads: list[bytes]):
    fold = fold_for(stream)
    state = fold.empty()
    rejected = 0
    for offset, payload in enumerate(payloads):
        state, verdicts = fold.apply(state, offset, decode_record(payload))
        rejected += sum(not verdict.accepted for verdict in verdicts)
    if rejected:
        raise RuntimeError(f"{rejected} items of the benchmark were rejected.")
    return state


def _time_s(action: Callable[[], object]) -> float:
    start_s = time.perf_counter()
    action()
    return time.perf_counter() - start_s


def _size_figures(payloads: list[bytes]) -> list[Figure]:
    mean_bytes = sum(map(len, payloads)) / len(payloads)
    records = mean_bytes * CHANGES_PER_DAY / SECONDS_PER_DAY
    head_check_bytes, long_poll_bytes = _wire_bytes()
    checks = head_check_bytes / HEAD_CHECK_INTERVAL_S
    polls = long_poll_bytes / LONG_POLL_S
    return [
        Figure(name="config record", value=mean_bytes, unit="bytes"),
        Figure(name="config stream, records", value=records, unit="bytes/s"),
        Figure(name="config stream, head checks", value=checks, unit="bytes/s"),
        Figure(name="config stream, long polls", value=polls, unit="bytes/s"),
        Figure(
            name="config stream, all", value=records + checks + polls, unit="bytes/s"
        ),
    ]


class LoopThread:
    """Event loop that runs in a thread of its own."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.root = Component()
        ClockTask(clock=self.clock).register(self.root)
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread, _ = self.root.start()

    def stop(self) -> None:
        """Stop the loop and wait for the thread to end."""
        self.root.stop()
        self._thread.join(BOOT_TIMEOUT_S)


def _wire_bytes() -> tuple[int, int]:
    """Return the bytes of a head check and of an empty long poll, sent and received."""
    loop = LoopThread()
    log = LogStandin(name="log", bind=ANY_PORT, clock=loop.clock).register(loop.root)
    loop.start()
    paths = ("/streams?names=config", "/streams/config/records?start=0&limit=500")
    sizes = []
    for path in paths:
        sent = f"GET {path} HTTP/1.1\r\nHost: {log.address}\r\n\r\n".encode()
        with socket.create_connection((log.server.host, log.server.port)) as conn:
            conn.sendall(sent)
            sizes.append(len(sent) + len(conn.recv(65_536)))
    loop.stop()
    return sizes[0], sizes[1]


def _fold_figures(payloads: list[bytes]) -> list[Figure]:
    calls = []
    for number in range(CALL_COUNT):
        key = new_id()
        intent = CallIntent(key, "d" * 32, "entry-1", "ledger", new_id())
        outcome = CallOutcome(key, "entry-1", "complete", 200, body=b"x" * 200)
        outcome = msgspec.structs.replace(outcome, attempt=intent.attempt)
        calls.append(_encode_item("entry-1", intent, len(calls)))
        calls.append(_encode_item("entry-1", outcome, len(calls)))
    figures = []
    for stream, records in ((CONFIG_STREAM, payloads), ("calls.0", calls)):
        seconds = _time_s(lambda: _fold_all(StreamName(stream), records))
        figures.append(
            Figure(
                name="fold",
                series=stream,
                value=len(records) / seconds,
                unit="records/s",
                clock_dependent=True,
            )
        )
    return figures


def _boot_figures(payloads: list[bytes]) -> list[Figure]:
    figures = []
    for kind in ("records", "checkpoint"):
        loop = LoopThread()
        standin = LogStandin(name="log", bind=ANY_PORT, clock=loop.clock)
        standin.register(loop.root)
        for payload in payloads:
            standin.log.put(CONFIG_STREAM, payload)
        if kind == "checkpoint":
            state = _fold_all(CONFIG_STREAM, payloads)
            for payload in checkpoint_records(EntryId("entry-1"), 0, state):
                standin.log.put(checkpoint_stream(CONFIG_STREAM), payload)
        loop.start()
        seconds, read_bytes = _measure_boot(standin.address)
        loop.stop()
        labels = {"series": f"from {kind}", "at": f"{len(payloads)} changes"}
        figures += [
            Figure(
                name="boot",
                value=seconds * 1e3,
                unit="ms",
                clock_dependent=True,
                **labels,
            ),
            Figure(name="boot, read", value=read_bytes, unit="bytes", **labels),
        ]
    return figures


def _measure_boot(address: str) -> tuple[float, int]:
    """Return the seconds until the configuration is current, and the bytes read.

    Raises `RuntimeError` if that takes longer than `BOOT_TIMEOUT_S`.
    """
    loop = LoopThread()
    client = HttpClient(clock=loop.clock).register(loop.root)
    log = HttpLog(client=client, address=address, clock=loop.clock)
    followers = _make_followers(log, loop.clock).register(loop.root)
    loop.clock.call_later(0.0, lambda: followers.follow(CONFIG_STREAM))
    start_s = time.perf_counter()
    loop.start()
    while not followers.is_current(CONFIG_STREAM):
        if time.perf_counter() - start_s > BOOT_TIMEOUT_S:
            raise RuntimeError("The entry did not read to the head in time.")
        time.sleep(POLL_INTERVAL_S)
    seconds = time.perf_counter() - start_s
    loop.stop()
    return seconds, log.bytes_read


def _make_followers(log: LogClient, clock, **options) -> Followers:
    entry = EntryId("entry-1")
    recorder = Recorder(process=entry, clock=clock)
    rng = np.random.default_rng(1)
    return Followers(
        log=log, entry=entry, clock=clock, recorder=recorder, rng=rng, **options
    )


class DelayedLog(MemoryLog):
    """Log in memory that takes `APPEND_LATENCY_S` longer for each append."""

    def __init__(self, *, clock: PausedClock) -> None:
        super().__init__(clock=clock)
        self.appends = 0

    def append(self, *, stream, payload, done) -> None:
        self.appends += 1
        self._clock.call_later(
            APPEND_LATENCY_S,
            lambda: MemoryLog.append(self, stream=stream, payload=payload, done=done),
        )


def _commit_figures(seed: int) -> list[Figure]:
    """Return the appends a second for many proposals, by the entry's append limit."""
    figures = [
        Figure(
            name="appends",
            series="one a proposal",
            value=float(PROPOSALS_PER_S),
            unit="appends/s",
        )
    ]
    for limit_per_s in (30.0, 100.0):
        appends, delays_s = _measure_group_commit(seed, limit_per_s)
        labels = {"series": "group commit", "at": f"share {limit_per_s:g}/s"}
        p99 = float(np.percentile(delays_s, 99)) * 1e3
        figures += [
            Figure(name="appends", value=appends, unit="appends/s", **labels),
            Figure(name="verdict after, p99", value=p99, unit="ms", **labels),
        ]
    return figures


def _measure_group_commit(seed: int, limit_per_s: float) -> tuple[float, list[float]]:
    clock = PausedClock()
    log = DelayedLog(clock=clock)
    followers = _make_followers(log, clock, appends_per_s=limit_per_s)
    stream = StreamName("calls.0")
    followers.follow(stream)
    clock.advance(1.0)
    delays_s: list[float] = []
    seconds = 10.0
    gaps = np.random.default_rng(seed).exponential(
        1.0 / PROPOSALS_PER_S, int(PROPOSALS_PER_S * seconds)
    )
    for at_s in np.cumsum(gaps):
        clock.call_later(
            float(at_s), lambda: _propose(followers, stream, clock, delays_s)
        )
    clock.advance(float(gaps.sum()) + 5.0)
    if len(delays_s) != len(gaps):
        raise RuntimeError("A proposal got no verdict.")
    return log.appends / float(gaps.sum()), delays_s


def _propose(followers: Followers, stream, clock: PausedClock, delays_s: list) -> None:
    begun_s = clock.now()
    intent = CallIntent(new_id(), "d" * 32, EntryId("entry-1"), "ledger", new_id())
    followers.propose(
        stream, (intent,), lambda result: delays_s.append(clock.now() - begun_s)
    )


def _scope_count_figures() -> list[Figure]:
    """Compare a change of several scopes in one record and in one for each scope."""
    figures = []
    rng = np.random.default_rng(1)
    for scope_count in SCOPES_PER_CHANGE:
        changes = tuple(
            ScopeChange(scope_of(manifest), NO_OFFSET, manifest)
            for manifest in (sample_manifest(10 * n, rng) for n in range(scope_count))
        )
        one_record = [_encode_item("p", ConfigChange(changes, "p"))]
        part_records = [
            _encode_item("p", ConfigPart("c", number, scope_count, (one,), "p"))
            for number, one in enumerate(changes)
        ]
        for series, payloads in (
            ("one record", one_record),
            ("in parts", part_records),
        ):
            seconds = min(
                _time_s(lambda: _fold_all(CONFIG_STREAM, payloads))
                for _ in range(FOLD_REPEATS)
            )
            labels = {"series": series, "at": f"{scope_count} scopes"}
            size = sum(map(len, payloads))
            figures += [
                Figure(name="change", value=size, unit="bytes", **labels),
                Figure(
                    name="change, fold",
                    value=seconds * 1e6,
                    unit="us",
                    clock_dependent=True,
                    **labels,
                ),
            ]
    return figures
