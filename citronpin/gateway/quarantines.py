"""Quarantines parts of prompts under which instance after instance crashes."""

import logging
import zlib
from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable

import msgspec

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import PromptPartId
from citronpin.gateway.fleets import FleetInstance
from citronpin.peers.messages import PartReport

logger = logging.getLogger(__name__)

QUARANTINE_S = 600.0  # from the latest crash
SUCCESS_MEMORY_S = 60.0
MIN_CRASHES = 3  # two may end by chance under a part that few requests have
MIN_CRASHES_AFTER_SUCCESS = 12
# Within it all entries know of a success; instances lost together crash within less.
MIN_SPREAD_S = 0.4
TRIAL_INTERVAL_S = 2.0  # by then a request has its first event, or ended an instance
SUCCESS_REPORT_S = 5.0  # for which a success that refutes crashes is reported
MAX_CRASHES = MIN_CRASHES_AFTER_SUCCESS  # kept of a part
MAX_SUSPECTS = 512
MAX_REPORTED_PARTS = 64  # keeps updates small
MAX_KNOWN_PARTS = 8_192
NEVER_MS = -1


class PartHistory(msgspec.Struct):
    """What is known of a part of prompts; times are of the clock, in seconds."""

    # By the life of the instance that crashed; only those since the last success.
    crashes: dict[int, float] = {}
    succeeded_s: float = float("-inf")  # latest first event on the part
    quarantined_s: float | None = None  # since when it is quarantined
    tried_s: float = float("-inf")  # when a request with it was last let through

    @property
    def is_quarantined(self) -> bool:
        """Return whether requests with the part are kept out."""
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
    """Decides which parts of prompts are quarantined."""

    @abstractmethod
    def is_harmful(self, history: PartHistory, *, now_s: float) -> bool:
        """Return whether requests with the part must not reach an instance."""


class ConsecutiveCrashes(QuarantinePolicy):
    """Quarantines a part when several instances crashed on it and none served it.

    It handles requests that share one part, arrive at all entries and end each instance
    that begins to answer them. Their other parts are served in sound requests, before
    and in between, so a part that was served lately takes more crashes in a row.
    Instances that are lost together say nothing about a part.
    """

    def is_harmful(self, history, *, now_s):
        if now_s - history.last_crash_s >= QUARANTINE_S:
            return False
        was_served = history.first_crash_s - history.succeeded_s < SUCCESS_MEMORY_S
        needed = MIN_CRASHES_AFTER_SUCCESS if was_served else MIN_CRASHES
        spread_s = history.last_crash_s - history.first_crash_s
        return len(history.crashes) >= needed and spread_s >= MIN_SPREAD_S


class PromptQuarantine:
    """Keeps what all entries know of crashes and successes by part of the prompt.

    The histories of entries are merged: crashes are united, and a success on any entry
    refutes the earlier ones. The last part of a prompt belongs to one request and is
    not considered.

    An entry that has only seen requests with the same parts cannot tell which of them
    is to blame. While another quarantined part explains all crashes under a part,
    single requests with it and without the other one are let through.
    """

    def __init__(self, *, policy: QuarantinePolicy) -> None:
        self._policy = policy
        self._suspects: dict[PromptPartId, PartHistory] = {}
        self._succeeded_s: dict[PromptPartId, float] = {}  # latest use last
        self.has_news = False  # whether this entry saw what others do not know

    def record_success(self, parts: Iterable[PromptPartId], *, now_s: float) -> None:
        """Record that an instance sent an event of an answer to a prompt."""
        for part in parts:
            self._succeeded_s.pop(part, None)
            self._succeeded_s[part] = now_s
            history = self._suspects.get(part)
            if history is not None and self._refute(part, history, now_s):
                self.has_news = True
        while len(self._succeeded_s) > MAX_KNOWN_PARTS:
            del self._succeeded_s[next(iter(self._succeeded_s))]

    def record_crash(
        self, parts: Iterable[PromptPartId], instance: FleetInstance, *, now_s: float
    ) -> None:
        """Record that an instance ended when it began to answer a prompt."""
        life = zlib.crc32(f"{instance.id}/{instance.born_ms}".encode())
        for part in parts:
            self._add_crashes(part, {life: now_s})
            self._decide(part, now_s)
        self.has_news = True

    def release(self, part: PromptPartId, *, now_s: float) -> bool:
        """Forget the crashes on a part; return whether there were any."""
        is_known = part in self._suspects
        self.record_success([part], now_s=now_s)
        return is_known

    def admit(
        self, parts: Collection[PromptPartId], *, now_s: float
    ) -> PromptPartId | None:
        """Return the part for which a request is kept out, or ``None`` to send it."""
        quarantined = self._quarantined(parts)
        for part in quarantined:
            if not self.may_try(part, parts, now_s=now_s):
                return part
        for part in quarantined:
            self._suspects[part].tried_s = now_s
        return None

    def may_try(
        self, part: PromptPartId, parts: Collection[PromptPartId], *, now_s: float
    ) -> bool:
        """Return whether a request with these parts may show that one is harmless."""
        history = self._suspects[part]
        return now_s - history.tried_s >= TRIAL_INTERVAL_S and any(
            other.is_quarantined and history.crashes.keys() <= other.crashes.keys()
            for name, other in self._suspects.items()
            if name not in parts
        )

    def find_quarantined(
        self, parts: Iterable[PromptPartId], *, since_s: float = float("-inf")
    ) -> PromptPartId | None:
        """Return a part that was put in quarantine after ``since_s``, or ``None``."""
        for part in self._quarantined(parts):
            if self._suspects[part].quarantined_s > since_s:
                return part
        return None

    def _quarantined(self, parts: Iterable[PromptPartId]) -> list[PromptPartId]:
        return [
            part
            for part in parts
            if part in self._suspects and self._suspects[part].is_quarantined
        ]

    def remaining_s(self, part: PromptPartId, *, now_s: float) -> float:
        """Return for how many seconds a part stays quarantined without a crash."""
        return max(self._suspects[part].last_crash_s + QUARANTINE_S - now_s, 0.0)

    def were_all_served(self, parts: Iterable[PromptPartId], *, now_s: float) -> bool:
        """Return whether each part was served lately, so that none is to blame."""
        return all(
            now_s - self._succeeded_s.get(part, float("-inf")) < SUCCESS_MEMORY_S
            for part in parts
        )

    @property
    def is_empty(self) -> bool:
        """Return whether no part is under suspicion."""
        return not self._suspects

    def expire(self, *, now_s: float) -> None:
        """End quarantines whose time is over, and forget old histories."""
        for part, history in list(self._suspects.items()):
            self._decide(part, now_s)
            latest_s = max(
                history.last_crash_s + 2 * QUARANTINE_S,
                history.succeeded_s + SUCCESS_REPORT_S,
            )
            if now_s > latest_s:
                del self._suspects[part]

    def reports(self, *, now_s: float) -> tuple[PartReport, ...]:
        """Return the histories under suspicion for other entries, newest first."""
        newest = sorted(
            self._suspects.items(),
            key=lambda item: max(item[1].last_crash_s, item[1].succeeded_s),
            reverse=True,
        )
        return tuple(
            PartReport(
                part,
                {
                    life: int((now_s - crashed_s) * MS_PER_S)
                    for life, crashed_s in history.crashes.items()
                },
                _age_ms(history.succeeded_s, now_s),
            )
            for part, history in newest[:MAX_REPORTED_PARTS]
        )

    def merge(self, reports: Iterable[PartReport], *, now_s: float) -> None:
        """Merge the histories that another entry has reported."""
        for report in reports:
            crashes = {
                life: now_s - age_ms / MS_PER_S
                for life, age_ms in report.crashes.items()
            }
            known = self._suspects.get(report.part)
            if known is None and not crashes:
                continue
            history = self._add_crashes(report.part, crashes)
            if report.success_age_ms != NEVER_MS:
                succeeded_s = now_s - report.success_age_ms / MS_PER_S
                self._refute(report.part, history, succeeded_s)
            self._decide(report.part, now_s)

    def rows(self, *, now_s: float) -> list[dict[str, object]]:
        """Return the quarantined parts with their ages, for operators."""
        return [
            {
                "part": part,
                "crashes": len(history.crashes),
                "first_crash_age_s": round(now_s - history.first_crash_s, 1),
                "last_crash_age_s": round(now_s - history.last_crash_s, 1),
                "remaining_s": round(self.remaining_s(part, now_s=now_s), 1),
            }
            for part, history in self._suspects.items()
            if history.is_quarantined
        ]

    def _add_crashes(
        self, part: PromptPartId, crashes: dict[int, float]
    ) -> PartHistory:
        history = self._suspects.get(part)
        if history is None:
            succeeded_s = self._succeeded_s.get(part, float("-inf"))
            history = PartHistory(crashes={}, succeeded_s=succeeded_s)
            self._suspects[part] = history
            self._limit_suspects()
        for life, crashed_s in crashes.items():
            is_new = life not in history.crashes
            if is_new and crashed_s > history.succeeded_s:
                history.crashes[life] = crashed_s
        while len(history.crashes) > MAX_CRASHES:
            # The first one and the latest ones tell for how long it goes on.
            ordered = sorted(history.crashes, key=history.crashes.__getitem__)
            del history.crashes[ordered[1]]
        return history

    def _limit_suspects(self) -> None:
        """Forget the part with the fewest crashes when there are too many."""
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        newest = next(reversed(self._suspects))
        least = min(
            (part for part in self._suspects if part != newest),
            key=lambda part: (
                len(self._suspects[part].crashes),
                self._suspects[part].last_crash_s,
            ),
        )
        del self._suspects[least]

    def _refute(
        self, part: PromptPartId, history: PartHistory, succeeded_s: float
    ) -> bool:
        """Drop the crashes before a success; return whether there were any."""
        history.succeeded_s = max(history.succeeded_s, succeeded_s)
        refuted = [
            life for life, at_s in history.crashes.items() if at_s <= succeeded_s
        ]
        for life in refuted:
            del history.crashes[life]
        if refuted:
            self._decide(part, succeeded_s)
        return bool(refuted)

    def _decide(self, part: PromptPartId, now_s: float) -> None:
        history = self._suspects.get(part)
        if history is None:
            return
        is_harmful = self._policy.is_harmful(history, now_s=now_s)
        if is_harmful is history.is_quarantined:
            return
        history.quarantined_s = now_s if is_harmful else None
        logger.warning(
            "prompt part quarantined" if is_harmful else "prompt part released",
            extra={
                "part": part,
                "crashes": len(history.crashes),
                "for_s": round(max(now_s - history.first_crash_s, 0.0), 2),
            },
        )


def _age_ms(at_s: float, now_s: float) -> int:
    return NEVER_MS if at_s == float("-inf") else int((now_s - at_s) * MS_PER_S)
