"""Benchmark of the state on the log: folds, boots, group commit, bytes a second."""

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
SCOPES = 120
QUICK_CHANGES = 200
CALLS = 3_000
PROPOSALS_PER_S = 300
APPEND_LATENCY_S = 0.005
BOOT_LIMIT_S = 30.0
POLL_S = 0.001
SPANS = (1, 4, 16)
REPEATS = 30
ANY_PORT = ("127.0.0.1", 0)


@register
class BootBench(Bench):
    """Measures what following and booting cost an entry."""

    name = "boots"
    summary = "fold, boot, group commit and bytes of the state on the log"

    def run(self, *, seed: int, quick: bool) -> list[Figure]:
        """Measure; the sizes do not depend on the clock, the times do."""
        logging.getLogger().setLevel(logging.WARNING)
        rng = np.random.default_rng(seed)
        changes = QUICK_CHANGES if quick else CHANGES_PER_DAY
        payloads = config_payloads(changes, rng)
        figures = _size_figures(payloads)
        figures += _fold_figures(payloads)
        figures += _boot_figures(payloads)
        figures += _commit_figures(seed)
        return figures + _span_figures()


def sample_manifest(number: int, rng: np.random.Generator) -> Manifest:
    """Return a small manifest: mostly deployments, some customers, applications."""
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
    """Return the records of ``count`` accepted changes over ``SCOPES`` scopes."""
    bases: dict[str, Offset] = {}
    payloads = []
    for offset in range(count):
        manifest = sample_manifest(int(rng.integers(0, SCOPES)), rng)
        scope = scope_of(manifest)
        base = bases.get(scope, NO_OFFSET)
        item = ConfigChange((ScopeChange(scope, base, manifest),), "pipeline")
        bases[scope] = Offset(offset)
        payloads.append(_payload("pipeline", item, offset))
    return payloads


def _payload(author: str, item, offset: int = 0) -> bytes:
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
    refused = 0
    for offset, payload in enumerate(payloads):
        state, verdicts = fold.apply(state, offset, decode_record(payload))
        refused += sum(not verdict.accepted for verdict in verdicts)
    if refused:
        raise RuntimeError(f"{refused} items of the benchmark were rejected.")
    return state


def _seconds(action: Callable[[], object]) -> float:
    begun = time.perf_counter()
    action()
    return time.perf_counter() - begun


def _size_figures(payloads: list[bytes]) -> list[Figure]:
    mean = sum(map(len, payloads)) / len(payloads)
    records = mean * CHANGES_PER_DAY / SECONDS_PER_DAY
    heads, poll = _wire_bytes()
    checks = heads / HEAD_CHECK_INTERVAL_S
    polls = poll / LONG_POLL_S
    return [
        Figure(name="config record", value=mean, unit="bytes"),
        Figure(name="config stream, records", value=records, unit="bytes/s"),
        Figure(name="config stream, head checks", value=checks, unit="bytes/s"),
        Figure(name="config stream, long polls", value=polls, unit="bytes/s"),
        Figure(
            name="config stream, all", value=records + checks + polls, unit="bytes/s"
        ),
    ]


class Loop:
    """An event loop in a thread of its own."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.root = Component()
        ClockTask(clock=self.clock).register(self.root)
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin to run."""
        self._thread, _ = self.root.start()

    def stop(self) -> None:
        """End the loop."""
        self.root.stop()
        self._thread.join(BOOT_LIMIT_S)


def _wire_bytes() -> tuple[int, int]:
    """Return the bytes of a head check and of an empty long poll, both ways."""
    loop = Loop()
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
    for number in range(CALLS):
        key = new_id()
        intent = CallIntent(key, "d" * 32, "entry-1", "ledger", new_id())
        outcome = CallOutcome(key, "entry-1", "complete", 200, body=b"x" * 200)
        outcome = msgspec.structs.replace(outcome, attempt=intent.attempt)
        calls.append(_payload("entry-1", intent, len(calls)))
        calls.append(_payload("entry-1", outcome, len(calls)))
    found = []
    for stream, records in ((CONFIG_STREAM, payloads), ("calls.0", calls)):
        seconds = _seconds(lambda: _fold_all(StreamName(stream), records))
        found.append(
            Figure(
                name="fold",
                series=stream,
                value=len(records) / seconds,
                unit="records/s",
                clock_dependent=True,
            )
        )
    return found


def _boot_figures(payloads: list[bytes]) -> list[Figure]:
    found = []
    for kind in ("records", "checkpoint"):
        loop = Loop()
        standin = LogStandin(name="log", bind=ANY_PORT, clock=loop.clock)
        standin.register(loop.root)
        for payload in payloads:
            standin.log.put(CONFIG_STREAM, payload)
        if kind == "checkpoint":
            state = _fold_all(CONFIG_STREAM, payloads)
            for payload in checkpoint_records(EntryId("entry-1"), 0, state):
                standin.log.put(checkpoint_stream(CONFIG_STREAM), payload)
        loop.start()
        seconds, read = _boot(standin.address)
        loop.stop()
        more = {"series": f"from {kind}", "at": f"{len(payloads)} changes"}
        found += [
            Figure(
                name="boot",
                value=seconds * 1e3,
                unit="ms",
                clock_dependent=True,
                **more,
            ),
            Figure(name="boot, read", value=read, unit="bytes", **more),
        ]
    return found


def _boot(address: str) -> tuple[float, int]:
    """Return the seconds until the configuration is current, and the bytes read."""
    loop = Loop()
    client = HttpClient(clock=loop.clock).register(loop.root)
    log = HttpLog(client=client, address=address, clock=loop.clock)
    followers = _followers(log, loop.clock).register(loop.root)
    loop.clock.call_later(0.0, lambda: followers.follow(CONFIG_STREAM))
    begun = time.perf_counter()
    loop.start()
    while not followers.is_current(CONFIG_STREAM):
        if time.perf_counter() - begun > BOOT_LIMIT_S:
            raise RuntimeError("The entry did not read to the head in time.")
        time.sleep(POLL_S)
    seconds = time.perf_counter() - begun
    loop.stop()
    return seconds, log.bytes_read


def _followers(log: LogClient, clock, **more) -> Followers:
    entry = EntryId("entry-1")
    recorder = Recorder(process=entry, clock=clock)
    rng = np.random.default_rng(1)
    return Followers(
        log=log, entry=entry, clock=clock, recorder=recorder, rng=rng, **more
    )


class DelayedLog(MemoryLog):
    """A log in memory that takes a while for each append."""

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
    """Count the appends of many proposals a second, by the entry's share."""
    found = [
        Figure(
            name="appends",
            series="one a proposal",
            value=float(PROPOSALS_PER_S),
            unit="appends/s",
        )
    ]
    for share in (30.0, 100.0):
        appends, waits = _commit(seed, share)
        more = {"series": "group commit", "at": f"share {share:g}/s"}
        p99 = float(np.percentile(waits, 99)) * 1e3
        found += [
            Figure(name="appends", value=appends, unit="appends/s", **more),
            Figure(name="verdict after, p99", value=p99, unit="ms", **more),
        ]
    return found


def _commit(seed: int, share: float) -> tuple[float, list[float]]:
    clock = PausedClock()
    log = DelayedLog(clock=clock)
    followers = _followers(log, clock, appends_per_s=share)
    stream = StreamName("calls.0")
    followers.follow(stream)
    clock.advance(1.0)
    waits: list[float] = []
    seconds = 10.0
    gaps = np.random.default_rng(seed).exponential(
        1.0 / PROPOSALS_PER_S, int(PROPOSALS_PER_S * seconds)
    )
    for at_s in np.cumsum(gaps):
        clock.call_later(float(at_s), lambda: _propose(followers, stream, clock, waits))
    clock.advance(float(gaps.sum()) + 5.0)
    if len(waits) != len(gaps):
        raise RuntimeError("A proposal got no verdict.")
    return log.appends / float(gaps.sum()), waits


def _propose(followers: Followers, stream, clock: PausedClock, waits: list) -> None:
    begun_s = clock.now()
    intent = CallIntent(new_id(), "d" * 32, EntryId("entry-1"), "ledger", new_id())
    followers.propose(
        stream, (intent,), lambda result: waits.append(clock.now() - begun_s)
    )


def _span_figures() -> list[Figure]:
    """Compare a change in one record with the same in a record for each scope."""
    found = []
    rng = np.random.default_rng(1)
    for span in SPANS:
        changes = tuple(
            ScopeChange(scope_of(manifest), NO_OFFSET, manifest)
            for manifest in (sample_manifest(10 * n, rng) for n in range(span))
        )
        whole = [_payload("p", ConfigChange(changes, "p"))]
        parts = [
            _payload("p", ConfigPart("c", number, span, (one,), "p"))
            for number, one in enumerate(changes)
        ]
        for series, payloads in (("one record", whole), ("in parts", parts)):
            seconds = min(
                _seconds(lambda: _fold_all(CONFIG_STREAM, payloads))
                for _ in range(REPEATS)
            )
            more = {"series": series, "at": f"{span} scopes"}
            size = sum(map(len, payloads))
            found += [
                Figure(name="change", value=size, unit="bytes", **more),
                Figure(
                    name="change, fold",
                    value=seconds * 1e6,
                    unit="us",
                    clock_dependent=True,
                    **more,
                ),
            ]
    return found
