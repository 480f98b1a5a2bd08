"""Quarantines requests and parts of prompts under which several instances crash."""

import logging
import zlib
from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable
from functools import lru_cache

import msgspec

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import EntryId, PromptPartId, RequestFingerprint
from citronpin.gateway.fingerprints import is_fingerprint
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.owners import owner_of
from citronpin.peers.messages import CrashReport

logger = logging.getLogger(__name__)

QUARANTINE_S = 600.0  # from the latest crash
SUCCESS_MEMORY_S = 60.0
MIN_CRASHES = 3  # two may end by chance under a key that few requests have
MIN_CRASHES_AFTER_SUCCESS = 12
# Within it all entries know of a success; instances lost together crash within less.
# One request is in progress at few instances at once, so it needs no spread.
MIN_PART_SPREAD_S = 0.4
TRIAL_INTERVAL_S = 2.0  # by then a request has its first event, or ended an instance
RETRIAL_S = 60.0  # until a request is tried that no other key explains; then doubled
MAX_CRASHES = MIN_CRASHES_AFTER_SUCCESS  # kept of a key
MAX_SUSPECTS = 1_024
MAX_REPORTED_KEYS = 64  # keeps updates small
MAX_KNOWN_KEYS = 8_192
MAX_KNOWN_LIVES = 4_096
MIN_RESTART_S = 1.0  # later answers may be of a new life under the same id
LIFE_CHECK_S = 60.0  # by then an instance that goes on has registered again
MIN_REPORTED_CRASHES = (
    2  # of keys that are repeated to entries; most have one by chance
)
SUCCESS_NEWS_S = 1.0  # by which a success has to be newer to be told in return
MESSAGE_DELAY_S = 0.25  # ages in messages do not contain the time on the way
NEVER_MS = -1

# What requests under which an instance crashed have in common.
CrashKey = PromptPartId | RequestFingerprint


@lru_cache(maxsize=MAX_KNOWN_LIVES)
def _life_number(instance: str, born_ms: int) -> int:
    return zlib.crc32(f"{instance}/{born_ms}".encode())


def life_of(instance: FleetInstance) -> int:
    """Return a number for the present life of an instance."""
    return _life_number(instance.id, instance.born_ms)


class CrashHistory(msgspec.Struct):
    """What is known of a key; times are of the clock, in seconds."""

    # By the life of the instance that crashed; only those since the last success.
    crashes: dict[int, float] = {}
    succeeded_s: float = float("-inf")  # latest success under the key
    quarantined_s: float | None = None  # since when it is quarantined
    tried_s: float = float("-inf")  # when a request with it was last let through

    @property
    def is_quarantined(self) -> bool:
        """Return whether requests with the key are kept out."""
        return self.quarantined_s is not None

    @property
    def first_crash_s(self) -> float:
        """Return when the first instance crashed; infinite without a crash."""
        return min(self.crashes.values(), default=float("inf"))

    @property
    def last_crash_s(self) -> float:
        """Return when the last instance crashed; negative infinite without a crash."""
        return max(self.crashes.values(), default=float("-inf"))


class QuarantinePolicy(ABC):
    """Decides which keys are quarantined."""

    @abstractmethod
    def is_harmful(self, key: CrashKey, history: CrashHistory, *, now_s: float) -> bool:
        """Return whether requests with the key must not reach an instance."""


class ConsecutiveCrashes(QuarantinePolicy):
    """Quarantines a key when several instances crashed under it and none served it.

    It handles requests that arrive at all entries and end each instance that begins to
    answer them: one request that comes again and again, or many that share a part of
    their prompts. Sound requests share other parts with them, or run beside them, and
    are served before and in between, so a key that was served lately takes more crashes
    in a row. Instances that are lost together say nothing about a part.
    """

    def is_harmful(self, key, history, *, now_s):
        if now_s - history.last_crash_s >= QUARANTINE_S:
            return False
        was_served = history.first_crash_s - history.succeeded_s < SUCCESS_MEMORY_S
        needed = MIN_CRASHES_AFTER_SUCCESS if was_served else MIN_CRASHES
        spread_s = history.last_crash_s - history.first_crash_s
        needed_spread_s = 0.0 if is_fingerprint(key) else MIN_PART_SPREAD_S
        return len(history.crashes) >= needed and spread_s >= needed_spread_s


class CrashQuarantine:
    """Keeps what all entries know of crashes and successes, by key.

    The histories of entries are merged: crashes are united, and a success on any entry
    refutes the earlier ones. Each entry tells the others only what it saw itself, when
    it sees it. The last part of a prompt belongs to one request and is not considered.

    A lost answer counts as a crash at once. It no longer does when the instance proves
    to live on: by a later answer, or by a registration of the same life.

    An entry that has only seen requests with the same keys cannot tell which of them
    is to blame. While another quarantined key explains all crashes under a key, single
    requests with it and without the other one are let through: with a part at each
    entry, of a fingerprint at one entry at a time. A request that none explains is
    tried so a minute after its latest crash, and later with each crash more.
    """

    def __init__(self, *, policy: QuarantinePolicy) -> None:
        self._policy = policy
        self._suspects: dict[CrashKey, CrashHistory] = {}
        self._succeeded_s: dict[CrashKey, float] = {}  # latest use last
        self._lives: dict[int, float] = {}  # clock time of the latest crash
        self._alive_s: dict[int, float] = {}  # clock time after which a life went on
        # Crash times by life and key, while the path to all instances is lost.
        self._withdrawn: dict[int, dict[CrashKey, float]] = {}
        self._news: dict[CrashKey, None] = {}  # what this entry saw and others did not
        self._alive_news: dict[int, None] = {}
        self._entry = EntryId("")
        self._members: frozenset[EntryId] = frozenset()

    def set_members(self, *, entry: EntryId, members: Collection[EntryId]) -> None:
        """Set the entries, this one included, that take turns in trying requests."""
        self._entry = entry
        if self._members != frozenset(members):
            self._members = frozenset(members)

    def record_success(self, keys: Iterable[CrashKey], *, now_s: float) -> None:
        """Record that an instance answered a request, or began to."""
        for key in keys:
            self._succeeded_s.pop(key, None)
            self._succeeded_s[key] = now_s
            history = self._suspects.get(key)
            if history is not None and self._refute(key, history, now_s):
                self._news[key] = None
        while len(self._succeeded_s) > MAX_KNOWN_KEYS:
            del self._succeeded_s[next(iter(self._succeeded_s))]

    def record_crash(
        self, keys: Iterable[CrashKey], instance: FleetInstance, *, now_s: float
    ) -> None:
        """Record that the answer to a request was lost, as if its instance crashed."""
        life = life_of(instance)
        for key in keys:
            self._add_crashes(key, {life: now_s})
            self._decide(key, now_s)
            self._news[key] = None

    def record_answer(self, instance: FleetInstance, *, sent_s: float) -> None:
        """Record that an instance answered a request that was sent at ``sent_s``."""
        crashed_s = self._lives.get(life_of(instance), float("-inf"))
        if sent_s < crashed_s + MIN_RESTART_S:
            self.record_alive(instance, since_s=sent_s)

    def record_alive(self, instance: FleetInstance, *, since_s: float) -> None:
        """Record that the present life of an instance went on after ``since_s``."""
        life = life_of(instance)
        if self._crashed_s(life) < since_s:
            self._retract(life, since_s)
            self._alive_news[life] = None

    def _crashed_s(self, life: int) -> float:
        """Return when a life seemed to end; infinite if it did not."""
        withdrawn = self._withdrawn.get(life)
        if withdrawn:
            return max(withdrawn.values())
        return self._lives.get(life, float("inf"))

    def _retract(self, life: int, since_s: float) -> None:
        """Drop the crashes of a life that went on after ``since_s``."""
        self._lives.pop(life, None)
        self._withdrawn.pop(life, None)
        self._alive_s.pop(life, None)
        self._alive_s[life] = since_s
        if len(self._alive_s) > MAX_KNOWN_LIVES:
            del self._alive_s[next(iter(self._alive_s))]
        for key, history in self._suspects.items():
            if history.crashes.get(life, float("inf")) < since_s:
                del history.crashes[life]
                self._decide(key, since_s)

    def withdraw_crashes(self, *, since_s: float) -> None:
        """Discount the crashes seen since a time, when the path to all was lost."""
        withdrawn = {
            life for life, crashed_s in self._lives.items() if crashed_s >= since_s
        }
        for life in withdrawn:
            del self._lives[life]
        for key, history in self._suspects.items():
            lives = withdrawn & history.crashes.keys()
            for life in lives:
                by_key = self._withdrawn.setdefault(life, {})
                by_key[key] = history.crashes.pop(life)
            if lives:
                self._news.pop(key, None)
                self._decide(key, since_s)

    def restore_crashes(self, *, now_s: float) -> None:
        """Count the withdrawn crashes again, but for lives that proved to go on."""
        withdrawn, self._withdrawn = self._withdrawn, {}
        for life, by_key in withdrawn.items():
            for key, crashed_s in by_key.items():
                self._add_crashes(key, {life: crashed_s})
                self._decide(key, now_s)
                self._news[key] = None

    @property
    def has_lives(self) -> bool:
        """Return whether an instance that is taken to have crashed may live on."""
        return bool(self._lives or self._withdrawn)

    def release(self, key: CrashKey, *, now_s: float) -> bool:
        """Forget the crashes under a key; return whether there were any."""
        is_known = key in self._suspects
        self.record_success([key], now_s=now_s)
        return is_known

    def admit(self, keys: Collection[CrashKey], *, now_s: float) -> CrashKey | None:
        """Return the key for which a request is kept out, or ``None`` to send it."""
        quarantined = self._quarantined(keys)
        for key in quarantined:
            if not self.may_try(key, keys, now_s=now_s):
                return key
        for key in quarantined:
            self._suspects[key].tried_s = now_s
        return None

    def may_try(
        self, key: CrashKey, keys: Collection[CrashKey], *, now_s: float
    ) -> bool:
        """Return whether a request with these keys may show that one is harmless."""
        history = self._suspects[key]
        if now_s - history.tried_s < TRIAL_INTERVAL_S:
            return False
        if is_fingerprint(key):
            if not self._is_turn(key, history, now_s):
                return False
            retrial_s = RETRIAL_S * 2 ** (len(history.crashes) - MIN_CRASHES)
            if now_s - history.last_crash_s >= retrial_s:
                return True
        return any(
            other.is_quarantined and history.crashes.keys() <= other.crashes.keys()
            for name, other in self._suspects.items()
            if name not in keys
        )

    def _is_turn(self, key: CrashKey, history: CrashHistory, now_s: float) -> bool:
        """Return whether this entry is the one that may try a request now."""
        turn = int((now_s - history.last_crash_s) / TRIAL_INTERVAL_S)
        if turn < 1:
            return False  # not all entries know of the crash yet
        members = self._members or frozenset({self._entry})
        return owner_of(f"{key}/{turn}", members) == self._entry

    def find_quarantined(
        self, keys: Iterable[CrashKey], *, since_s: float = float("-inf")
    ) -> CrashKey | None:
        """Return a key that was put in quarantine after ``since_s``, or ``None``."""
        for key in self._quarantined(keys):
            if self._suspects[key].quarantined_s > since_s:
                return key
        return None

    def _quarantined(self, keys: Iterable[CrashKey]) -> list[CrashKey]:
        return [
            key
            for key in keys
            if key in self._suspects and self._suspects[key].is_quarantined
        ]

    def remaining_s(self, key: CrashKey, *, now_s: float) -> float:
        """Return for how many seconds a key stays quarantined without a crash."""
        return max(self._suspects[key].last_crash_s + QUARANTINE_S - now_s, 0.0)

    def were_all_served(self, keys: Iterable[CrashKey], *, now_s: float) -> bool:
        """Return whether each key was served lately, so that none is to blame."""
        return all(
            now_s - self._succeeded_s.get(key, float("-inf")) < SUCCESS_MEMORY_S
            for key in keys
        )

    @property
    def is_empty(self) -> bool:
        """Return whether no key is under suspicion."""
        return not self._suspects

    def expire(self, *, now_s: float) -> None:
        """End quarantines whose time is over, and forget old histories."""
        for key, history in list(self._suspects.items()):
            self._decide(key, now_s)
            is_over = now_s > history.last_crash_s + 2 * QUARANTINE_S
            if is_over and key not in self._news:
                del self._suspects[key]
        for life, crashed_s in list(self._lives.items()):
            if now_s > crashed_s + LIFE_CHECK_S:
                del self._lives[life]

    @property
    def has_news(self) -> bool:
        """Return whether this entry saw what others do not know."""
        return bool(self._news)

    def add_news(self, key: CrashKey) -> None:
        """Report a key to other entries with the next update."""
        if key in self._suspects:
            self._news[key] = None

    def notable(self) -> list[CrashKey]:
        """Return the keys that entries have to know which heard nothing so far."""
        return [
            key
            for key, history in self._suspects.items()
            if len(history.crashes) >= MIN_REPORTED_CRASHES
        ]

    def take_reports(self, *, now_s: float) -> tuple[CrashReport, ...]:
        """Return the histories that others do not know, at most one update full."""
        taken = list(self._news)[:MAX_REPORTED_KEYS]
        for key in taken:
            del self._news[key]
        return tuple(
            self._report(key, self._suspects[key], now_s)
            for key in taken
            if key in self._suspects
        )

    def _report(
        self, key: CrashKey, history: CrashHistory, now_s: float
    ) -> CrashReport:
        crashes = {
            life: int((now_s - crashed_s) * MS_PER_S)
            for life, crashed_s in history.crashes.items()
        }
        return CrashReport(key, crashes, _age_ms(history.succeeded_s, now_s))

    def take_alive(self, *, now_s: float) -> dict[int, int]:
        """Return the ages in ms after which lives went on, by life, once each."""
        news, self._alive_news = self._alive_news, {}
        return {
            life: _age_ms(self._alive_s[life], now_s)
            for life in news
            if life in self._alive_s
        }

    def merge_alive(self, ages_ms: dict[int, int], *, now_s: float) -> None:
        """Apply what another entry knows of lives that went on."""
        for life, age_ms in ages_ms.items():
            since_s = now_s - age_ms / MS_PER_S - MESSAGE_DELAY_S
            if self._crashed_s(life) < since_s:
                self._retract(life, since_s)

    def merge(self, reports: Iterable[CrashReport], *, now_s: float) -> list[CrashKey]:
        """Merge what another entry has seen; return the keys of which that was new.

        Where this entry knows of a later success, it tells so with its next update.
        """
        return [report.key for report in reports if self._merge_report(report, now_s)]

    def _merge_report(self, report: CrashReport, now_s: float) -> bool:
        crashes = {
            life: now_s - age_ms / MS_PER_S for life, age_ms in report.crashes.items()
        }
        known = self._suspects.get(report.key)
        if known is None and not crashes:
            return False
        before = None if known is None else (set(known.crashes), known.is_quarantined)
        history = self._add_crashes(report.key, crashes)
        succeeded_s = float("-inf")
        if report.success_age_ms != NEVER_MS:
            succeeded_s = now_s - report.success_age_ms / MS_PER_S
        is_ours_newer = history.succeeded_s > succeeded_s + SUCCESS_NEWS_S
        if crashes and is_ours_newer and history.succeeded_s > now_s - SUCCESS_MEMORY_S:
            self._news[report.key] = None
        self._refute(report.key, history, succeeded_s)
        self._decide(report.key, now_s)
        return before != (set(history.crashes), history.is_quarantined)

    def rows(self, *, now_s: float) -> list[dict[str, object]]:
        """Return the quarantined keys with their ages, for operators."""
        return [
            {
                _field_of(key): key,
                "crashes": len(history.crashes),
                "first_crash_age_s": round(now_s - history.first_crash_s, 1),
                "last_crash_age_s": round(now_s - history.last_crash_s, 1),
                "remaining_s": round(self.remaining_s(key, now_s=now_s), 1),
            }
            for key, history in self._suspects.items()
            if history.is_quarantined
        ]

    def _add_crashes(self, key: CrashKey, crashes: dict[int, float]) -> CrashHistory:
        history = self._suspects.get(key)
        if history is None:
            succeeded_s = self._succeeded_s.get(key, float("-inf"))
            history = CrashHistory(crashes={}, succeeded_s=succeeded_s)
            self._suspects[key] = history
            self._limit_suspects()
        for life, crashed_s in crashes.items():
            is_refuted = crashed_s <= max(
                history.succeeded_s, self._alive_s.get(life, float("-inf"))
            )
            if life not in history.crashes and not is_refuted:
                history.crashes[life] = crashed_s
                self._lives[life] = max(crashed_s, self._lives.get(life, float("-inf")))
        while len(history.crashes) > MAX_CRASHES:
            # The first one and the latest ones tell for how long it goes on.
            ordered = sorted(history.crashes, key=history.crashes.__getitem__)
            del history.crashes[ordered[1]]
        return history

    def _limit_suspects(self) -> None:
        """Forget the key with the fewest crashes when there are too many."""
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        newest = next(reversed(self._suspects))
        least = min(
            (key for key in self._suspects if key != newest),
            key=lambda key: (
                len(self._suspects[key].crashes),
                self._suspects[key].last_crash_s,
            ),
        )
        del self._suspects[least]

    def _refute(self, key: CrashKey, history: CrashHistory, succeeded_s: float) -> bool:
        """Drop the crashes before a success; return whether there were any."""
        history.succeeded_s = max(history.succeeded_s, succeeded_s)
        if succeeded_s > self._succeeded_s.get(key, float("-inf")):
            self._succeeded_s[key] = succeeded_s
        refuted = [
            life for life, at_s in history.crashes.items() if at_s <= succeeded_s
        ]
        for life in refuted:
            del history.crashes[life]
        if refuted:
            self._decide(key, succeeded_s)
        return bool(refuted)

    def _decide(self, key: CrashKey, now_s: float) -> None:
        history = self._suspects.get(key)
        if history is None:
            return
        is_harmful = self._policy.is_harmful(key, history, now_s=now_s)
        if is_harmful is history.is_quarantined:
            return
        history.quarantined_s = now_s if is_harmful else None
        subject = "request" if is_fingerprint(key) else "prompt part"
        logger.warning(
            f"{subject} quarantined" if is_harmful else f"{subject} released",
            extra={
                _field_of(key): key,
                "crashes": len(history.crashes),
                "for_s": round(max(now_s - history.first_crash_s, 0.0), 2),
            },
        )


def _field_of(key: CrashKey) -> str:
    """Return the name of the field that shows a key in logs and views."""
    return "fingerprint" if is_fingerprint(key) else "part"


def _age_ms(at_s: float, now_s: float) -> int:
    return NEVER_MS if at_s == float("-inf") else int((now_s - at_s) * MS_PER_S)
