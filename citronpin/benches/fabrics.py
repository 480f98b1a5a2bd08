"""Entries on clocks of their own around a log and engines in memory."""

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

READ_AGAIN_S = 0.1
PEER_LAG_S = 2.0


class EntryClock(Clock):
    """The clock of one entry in a fabric; a paused entry runs no timer."""

    def __init__(self, *, shared: PausedClock) -> None:
        super().__init__()
        self._shared = shared
        self.paused = False

    def now(self) -> float:
        return self._shared.now()

    def elapsed(self) -> float:
        return self.now()

    def wall_ms(self) -> int:
        return self._shared.wall_ms()


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
        self.set_membership(rows)
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
        """Stop an entry until `resume`."""
        self.kill(name)

    def resume(self, name: EntryId) -> None:
        """Let a paused entry run again."""
        self.entries[name].clock.paused = False
        self.entries[name].silent_since_s = None

    def publish(self, item, author: str = "pipeline") -> None:
        """Append an item to the configuration stream, as a pipeline does."""
        record = Record(
            format=FORMAT_VERSION,
            id=RecordId(new_id()),
            author=EntryId(author),
            wall_ms=self.clock.wall_ms(),
            items=(item,),
        )
        self.log.put(CONFIG_STREAM, encode_record(record))

    def alive(self) -> frozenset[EntryId]:
        """Return the entries that peers hold for alive."""
        now = self.clock.now()
        return frozenset(
            name
            for name, entry in self.entries.items()
            if entry.silent_since_s is None or now - entry.silent_since_s < PEER_LAG_S
        )

    def set_membership(self, rows: list[Instance]) -> None:
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
