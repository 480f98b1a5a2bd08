"""Engines in memory and entries on clocks of their own, for benches and tests."""

import logging
from collections.abc import Callable

import msgspec
import numpy as np
from result import Err, Ok

from citronpin.clocks import MS_PER_S, Clock, PausedClock
from citronpin.controls import ControlTask
from citronpin.engines import (
    Attempt,
    EngineClient,
    EngineStatus,
    FrameSink,
    Order,
    OrderKind,
)
from citronpin.errors import (
    CitronpinError,
    ConnectionFailed,
    LogUnavailable,
    StaleFence,
    TimedOut,
)
from citronpin.events import Recorder
from citronpin.followers import Followers
from citronpin.ids import CONFIG_STREAM, EntryId, Fence, InstanceId
from citronpin.instances import Instance, MembershipView
from citronpin.logs import LogClient, MemoryLog
from citronpin.placements import EvenPlacement
from citronpin.plans import Detector, RepairPolicy
from citronpin.repairs import ImmediateRepair
from citronpin.suspicions import TimeoutDetector

logger = logging.getLogger(__name__)

LATENCY_S = 0.002
ORDER_TIMEOUT_S = 2.0
READ_AGAIN_S = 0.1
PEER_LAG_S = 2.0
NO_FENCE = Fence(-1)


class EntryClock(Clock):
    """The clock of one entry in a fabric; a paused entry runs no timer."""

    def __init__(self, *, shared: PausedClock) -> None:
        super().__init__()
        self._shared = shared
        self.paused = False

    def now(self) -> float:
        return self._shared.now()

    def wall_ms(self) -> int:
        return self._shared.wall_ms()


class Job(msgspec.Struct):
    """A stream that an engine generates until a clock time."""

    end_s: float
    on_cut: Callable[[str], None]


class MemoryEngine:
    """A model engine: what it holds, and the orders that it obeys.

    It forgets everything but its id when it restarts. ``checks_fence`` of its
    row says whether it refuses orders with an older fencing number.
    """

    def __init__(self, *, row: Instance, clock: Clock, load_s: float) -> None:
        self.row = row
        self.up = True
        self.order_delay_s = 0.0
        self.lose_answers = False
        self._clock = clock
        self._load_s = load_s
        self._held: list[Callable[[], None]] | None = None
        self._boots = 0
        self.jobs: list[Job] = []
        self.restart()

    @property
    def paused(self) -> bool:
        """Return whether the engine holds what it is asked."""
        return self._held is not None

    def pause(self) -> None:
        """Hold every request from now on."""
        if self._held is None:
            self._held = []

    def go_on(self) -> None:
        """Work on the requests that were held."""
        held, self._held = self._held or [], None
        for action in held:
            action()

    def restart(self) -> None:
        """Come back without group, model and streams."""
        self._boots += 1
        self._held = None
        self.cut("restart")
        self.up = True
        self.highest_fence = NO_FENCE
        self.status_ = EngineStatus(
            instance=self.row.id, boot=f"{self.row.id}/{self._boots}"
        )

    def die(self) -> None:
        """Stop to answer until restarted or revived."""
        self.up = False
        self._held = None

    def run(self, action: Callable[[], None]) -> None:
        """Run ``action`` now, or when the pause ends."""
        if self._held is not None:
            self._held.append(action)
        elif self.up:
            action()

    def status(self) -> EngineStatus:
        """Return what the engine reports."""
        now = self._clock.now()
        self.jobs = [job for job in self.jobs if job.end_s > now]
        return msgspec.structs.replace(self.status_, running=len(self.jobs))

    def cut(self, cause: str) -> None:
        """End every stream before its time."""
        self.status_ = getattr(self, "status_", None)
        now = self._clock.now()
        jobs, self.jobs = self.jobs, []
        for job in jobs:
            if job.end_s > now:
                job.on_cut(cause)

    def obey(self, order: Order, due_s: float) -> CitronpinError | None:
        """Carry an order out, or say why not."""
        if self._clock.now() > due_s:
            return StaleFence("The order has expired.")
        if self.row.checks_fence and order.fence < self.highest_fence:
            return StaleFence(f"Fence {self.highest_fence} was seen.")
        self.highest_fence = max(self.highest_fence, order.fence)
        if order.kind is OrderKind.RELEASE:
            self._change(group=None, fence=NO_FENCE, members=())
        elif order.kind is OrderKind.LOAD:
            self._load(order)
        else:
            self._change(group=order.group, fence=order.fence, members=order.members)
        return None

    def _load(self, order: Order) -> None:
        if self.status_.loading:
            return
        self.cut("load")
        boot = self.status_.boot
        self.status_ = msgspec.structs.replace(self.status_, loading=True)

        def loaded() -> None:
            if self.status_.boot == boot:
                self.status_ = msgspec.structs.replace(
                    self.status_,
                    loading=False,
                    model=order.model,
                    version=order.version,
                    adapters=order.adapters,
                )

        self._clock.call_later(self._load_s, loaded)

    def _change(self, *, group, fence, members) -> None:
        if (self.status_.group, self.status_.members) != (group, members):
            self.cut("order")
        self.status_ = msgspec.structs.replace(
            self.status_, group=group, fence=fence, members=members
        )


class MemoryEngines(EngineClient):
    """The engines of a fabric as one entry reaches them."""

    def __init__(
        self,
        *,
        engines: dict[InstanceId, MemoryEngine],
        shared: PausedClock,
        clock: Clock,
    ) -> None:
        self._engines = engines
        self._shared = shared
        self._clock = clock
        self.cut_off = False
        self.calls = 0

    def submit(self, *, address, submission, sink: FrameSink) -> Attempt:
        raise ConnectionFailed("Engines in memory generate nothing.")

    def cache_events(self, *, address, since, done) -> None:
        self._clock.call_later(0.0, lambda: done(Ok([])))

    def order(self, *, address, order, done) -> None:
        engine = self._engines.get(address)
        delay_s = engine.order_delay_s if engine else 0.0

        def act(answer) -> None:
            due_s = self._shared.now() + order.ttl_ms / MS_PER_S
            engine.run(lambda: obey(answer, due_s))

        def obey(answer, due_s) -> None:
            refusal = engine.obey(order, due_s)
            if not engine.lose_answers:
                answer(Err(refusal) if refusal else Ok(engine.status()))

        self._call(engine, act, done, ORDER_TIMEOUT_S, delay_s)

    def status(self, *, address, done, timeout_s=1.0) -> None:
        engine = self._engines.get(address)

        def act(answer) -> None:
            engine.run(lambda: answer(Ok(engine.status())))

        self._call(engine, act, done, timeout_s, 0.0)

    def _call(self, engine, act, done, timeout_s: float, delay_s: float) -> None:
        self.calls += 1
        answered = False

        def answer(result) -> None:
            nonlocal answered
            if not answered:
                answered = True
                timeout.cancel()
                self._clock.call_later(0.0, lambda: done(result))

        failure = Err(TimedOut("The engine does not answer."))
        timeout = self._shared.call_later(timeout_s, lambda: answer(failure))
        if engine is None or self.cut_off:
            return
        self._shared.call_later(LATENCY_S + delay_s, lambda: act(answer))


class LogLink(LogClient):
    """The log in memory as one entry reaches it, with faults."""

    def __init__(self, *, log: MemoryLog, shared: PausedClock, clock: Clock) -> None:
        self._log = log
        self._shared = shared
        self._clock = clock
        self.down = False
        self.lose_answers = False
        self.delay_s = 0.0
        self.appends = 0
        self.bytes = 0

    def append(self, *, stream, payload, done) -> None:
        if self.down:
            self._later(done, Err(LogUnavailable("The log is down.")), 0.0)
            return
        self.appends += 1
        self.bytes += len(payload)
        lost, delay_s = self.lose_answers, self.delay_s

        def act() -> None:
            offset = self._log.put(stream, payload)
            if not lost:
                self._clock.call_later(LATENCY_S, lambda: done(Ok(offset)))

        self._shared.call_later(LATENCY_S + delay_s, act)
        if lost:
            self._later(done, Err(TimedOut("The log does not answer.")), 1.0)

    def read(self, *, stream, start, wait_s, done, limit=500) -> None:
        end_s = self._clock.now() + wait_s

        def look() -> None:
            if self.down:
                self._later(done, Err(LogUnavailable("The log is down.")), 0.0)
                return
            page = self._log.page(stream, start, limit)
            if page.records or self._clock.now() >= end_s:
                self._later(done, Ok(page), self.delay_s)
                return
            self._clock.call_later(READ_AGAIN_S, look)

        self._clock.call_later(LATENCY_S, look)

    def _later(self, done, result, delay_s: float) -> None:
        self._clock.call_later(LATENCY_S + delay_s, lambda: done(result))


class MemoryEntry:
    """One entry's control part: follower, controllers and links to the rest."""

    def __init__(
        self,
        *,
        name: EntryId,
        fabric: "Fabric",
        seed: int,
        detector: Callable[[], Detector],
        repair: RepairPolicy,
    ) -> None:
        self.name = name
        self.clock = EntryClock(shared=fabric.clock)
        self.recorder = Recorder(process=name, clock=self.clock)
        self.log = LogLink(log=fabric.log, shared=fabric.clock, clock=self.clock)
        self.engines = MemoryEngines(
            engines=fabric.engines, shared=fabric.clock, clock=self.clock
        )
        self.states = Followers(
            log=self.log,
            entry=name,
            clock=self.clock,
            recorder=self.recorder,
            rng=np.random.default_rng(seed),
        )
        self.silent_since_s: float | None = None
        self.control = ControlTask(
            entry=name,
            states=self.states,
            client=self.engines,
            clock=self.clock,
            recorder=self.recorder,
            membership=fabric.membership,
            alive=fabric.alive,
            head_age_s=self.states.head_age_s,
            detector=detector,
            repair=repair,
            placement=EvenPlacement(),
        )
        self.states.follow(CONFIG_STREAM)
        self.control.start()


class Fabric:
    """Engines, a log and entries under one clock that is advanced."""

    def __init__(
        self,
        *,
        rows: list[Instance],
        entries: int,
        load_s: float = 2.0,
        detector: Callable[[], Detector] = TimeoutDetector,
        repair: RepairPolicy | None = None,
    ) -> None:
        self.clock = PausedClock()
        self.log = MemoryLog(clock=self.clock)
        self.engines = {
            row.address: MemoryEngine(row=row, clock=self.clock, load_s=load_s)
            for row in rows
        }
        self.membership_lag_s = 0.0
        self._views: list[tuple[float, MembershipView]] = []
        self._detector = detector
        self._repair = repair or ImmediateRepair()
        self.list_instances(rows)
        self.entries: dict[EntryId, MemoryEntry] = {}
        self._seeds = 0
        for number in range(entries):
            self.boot(EntryId(f"entry-{number}"))

    def boot(self, name: EntryId) -> MemoryEntry:
        """Start an entry, in place of one of the same name."""
        self._seeds += 1
        entry = MemoryEntry(
            name=name,
            fabric=self,
            seed=self._seeds,
            detector=self._detector,
            repair=self._repair,
        )
        self.entries[name] = entry
        return entry

    def kill(self, name: EntryId) -> None:
        """End an entry without notice."""
        entry = self.entries[name]
        entry.clock.paused = True
        entry.silent_since_s = self.clock.now()

    def pause(self, name: EntryId) -> None:
        """Stop an entry until `go_on`."""
        self.kill(name)

    def go_on(self, name: EntryId) -> None:
        """Let a paused entry run again."""
        self.entries[name].clock.paused = False
        self.entries[name].silent_since_s = None

    def alive(self) -> frozenset[EntryId]:
        """Return the entries that peers hold for alive."""
        now = self.clock.now()
        return frozenset(
            name
            for name, entry in self.entries.items()
            if entry.silent_since_s is None or now - entry.silent_since_s < PEER_LAG_S
        )

    def list_instances(self, rows: list[Instance]) -> None:
        """Change the membership list."""
        view = MembershipView(version=len(self._views) + 1, instances=tuple(rows))
        self._views.append((self.clock.now(), view))

    def membership(self) -> MembershipView:
        """Return the membership list as it was some time ago."""
        limit_s = self.clock.now() - self.membership_lag_s
        known = [view for at_s, view in self._views if at_s <= limit_s]
        return known[-1] if known else self._views[0][1]

    def advance(self, seconds: float) -> None:
        """Move the time on and run every timer at its moment."""
        end_s = self.clock.now() + seconds
        while (due_s := self._next_due_s()) <= end_s:
            self.clock.advance(max(due_s - self.clock.now(), 0.0))
            for entry in list(self.entries.values()):
                if not entry.clock.paused:
                    entry.clock.run_due()
        self.clock.advance(max(end_s - self.clock.now(), 0.0))

    def _next_due_s(self) -> float:
        clocks = [e.clock for e in self.entries.values() if not e.clock.paused]
        due = [clock.next_due_s() for clock in (self.clock, *clocks)]
        return min((d for d in due if d is not None), default=float("inf"))
