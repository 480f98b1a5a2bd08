"""Simulated entries, each with its own clock, around a log and engines in memory."""

import logging
from collections.abc import Callable

import numpy as np
from result import Err, Ok

from citronpin.backends.memory_engines import LATENCY_S, MemoryEngine, MemoryEngines
from citronpin.basics.clocks import Clock, PausedClock
from citronpin.basics.errors import LogUnavailable, TimedOut
from citronpin.basics.events import Recorder
from citronpin.basics.ids import CONFIG_STREAM, EntryId, RecordId, new_id
from citronpin.control.controls import ControlTask
from citronpin.policy.detectors import TimeoutDetector
from citronpin.policy.placements import EvenPlacement
from citronpin.policy.plans import Detector, RepairPolicy
from citronpin.policy.repairs import ImmediateRepair
from citronpin.state.followers import Followers
from citronpin.state.instances import Instance, MembershipView
from citronpin.state.logs import LogClient, MemoryLog
from citronpin.state.records import FORMAT_VERSION, Record, encode_record

logger = logging.getLogger(__name__)

READ_POLL_INTERVAL_S = 0.1  # between two checks of the log by a waiting read
PEER_TIMEOUT_S = 2.0  # silence after which peers consider an entry dead


class EntryClock(Clock):
    """Clock of one simulated entry, whose timers do not run while it is paused."""

    def __init__(self, *, shared: PausedClock) -> None:
        super().__init__()
        self._shared = shared
        self.paused = False

    def now(self) -> float:
        return self._shared.now()

    def now_with_suspend(self) -> float:
        return self.now()

    def wall_ms(self) -> int:
        return self._shared.wall_ms()


class EntryLogClient(LogClient):
    """Log client of one entry over the log in memory, with injected faults.

    While ``down`` is set, every call fails with `LogUnavailable`. While
    ``lose_answers`` is set, records are appended, but the caller gets `TimedOut`
    after 1 s. Appends and answers of reads take ``delay_s`` longer.
    """

    def __init__(self, *, log: MemoryLog, shared: PausedClock, clock: Clock) -> None:
        self._log = log
        self._shared = shared
        self._clock = clock
        self.down = False
        self.lose_answers = False
        self.delay_s = 0.0
        self.appends = 0
        self.appended_bytes = 0

    def append(self, *, stream, payload, done) -> None:
        if self.down:
            self._answer_after(done, Err(LogUnavailable("The log is down.")), 0.0)
            return
        self.appends += 1
        self.appended_bytes += len(payload)
        lost, delay_s = self.lose_answers, self.delay_s

        def append_record() -> None:
            offset = self._log.put(stream, payload)
            if not lost:
                self._clock.call_later(LATENCY_S, lambda: done(Ok(offset)))

        self._shared.call_later(LATENCY_S + delay_s, append_record)
        if lost:
            self._answer_after(done, Err(TimedOut("The log does not answer.")), 1.0)

    def read(self, *, stream, start, wait_s, done, limit=500) -> None:
        end_s = self._clock.now() + wait_s

        def read_page() -> None:
            if self.down:
                self._answer_after(done, Err(LogUnavailable("The log is down.")), 0.0)
                return
            page = self._log.page(stream, start, limit)
            if page.records or self._clock.now() >= end_s:
                self._answer_after(done, Ok(page), self.delay_s)
                return
            self._clock.call_later(READ_POLL_INTERVAL_S, read_page)

        self._clock.call_later(LATENCY_S, read_page)

    def _answer_after(self, done, result, delay_s: float) -> None:
        self._clock.call_later(LATENCY_S + delay_s, lambda: done(result))


class MemoryEntry:
    """Control plane of one simulated entry: followers, controllers and clients."""

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
        self.log = EntryLogClient(log=fabric.log, shared=fabric.clock, clock=self.clock)
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
    """Simulated engines, a log and entries under one clock, advanced by the caller.

    Each instance of ``rows`` gets an engine that loads weights in ``load_s`` seconds.
    Entries see the membership list ``membership_lag_s`` seconds late.
    """

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
        self._membership_views: list[tuple[float, MembershipView]] = []
        self._detector = detector
        self._repair = repair or ImmediateRepair()
        self.set_membership(rows)
        self.entries: dict[EntryId, MemoryEntry] = {}
        self._boots = 0
        for number in range(entries):
            self.boot(EntryId(f"entry-{number}"))

    def boot(self, name: EntryId) -> MemoryEntry:
        """Start an entry and return it; one of the same name is replaced."""
        self._boots += 1
        entry = MemoryEntry(
            name=name,
            fabric=self,
            seed=self._boots,
            detector=self._detector,
            repair=self._repair,
        )
        self.entries[name] = entry
        return entry

    def kill(self, name: EntryId) -> None:
        """Stop an entry; its peers consider it dead after `PEER_TIMEOUT_S`."""
        entry = self.entries[name]
        entry.clock.paused = True
        entry.silent_since_s = self.clock.now()

    def pause(self, name: EntryId) -> None:
        """Stop an entry without notice until `resume`."""
        self.kill(name)

    def resume(self, name: EntryId) -> None:
        """Run the timers of a paused entry again, with the state that it had."""
        self.entries[name].clock.paused = False
        self.entries[name].silent_since_s = None

    def publish(self, item, author: str = "pipeline") -> None:
        """Append an item to the configuration stream, as a deployment pipeline does."""
        record = Record(
            format=FORMAT_VERSION,
            id=RecordId(new_id()),
            author=EntryId(author),
            wall_ms=self.clock.wall_ms(),
            items=(item,),
        )
        self.log.put(CONFIG_STREAM, encode_record(record))

    def alive(self) -> frozenset[EntryId]:
        """Return the entries that peers consider alive."""
        now = self.clock.now()
        return frozenset(
            name
            for name, entry in self.entries.items()
            if entry.silent_since_s is None
            or now - entry.silent_since_s < PEER_TIMEOUT_S
        )

    def set_membership(self, rows: list[Instance]) -> None:
        """Replace the membership list by a new version."""
        view = MembershipView(
            version=len(self._membership_views) + 1, instances=tuple(rows)
        )
        self._membership_views.append((self.clock.now(), view))

    def membership(self) -> MembershipView:
        """Return the membership list as it was ``membership_lag_s`` seconds ago."""
        seen_until_s = self.clock.now() - self.membership_lag_s
        published = [
            view for at_s, view in self._membership_views if at_s <= seen_until_s
        ]
        return published[-1] if published else self._membership_views[0][1]

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds`` and run every timer when it is due."""
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
