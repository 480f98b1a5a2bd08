"""Keeps short-lived facts that entries tell each other, and what to tell next."""

import logging
import math
from collections import defaultdict
from collections.abc import Callable, Iterable

import msgspec

from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.ids import EntryId
from citronpin.gateway.owners import owner_of
from citronpin.peers.messages import Fact

logger = logging.getLogger(__name__)

# Kinds; the value of the first is the start of the instance's life in Unix ms.
SUSPECT = "suspect"  # subject: an instance that was found unreachable or stalled
COLD = "cold"  # subject: an instance; value: start of its life; valid while cold
WITHDRAWN = "withdrawn"  # subject: GROUP/EPOCH; value: 1, or 0 once it serves again

MAX_UPDATE_FACTS = 64  # in one update
MAX_KEPT_FACTS = 1_024
MAX_TTL_S = 60.0
# An expired fact is remembered so that a delayed copy does not begin to spread again.
# Event loops were blocked for up to 2.8 s on loaded machines.
REMEMBERED_S = 10.0
MAX_NAME_CHARS = 200  # of a kind, a subject or a source
MAX_VERSION = 1 << 62  # a later version still fits in an integer of the wire
RENEWAL_SHARE = 0.5  # of the time to live; a fact with more left is not told again
# Relays that forward a fact at once; with one lost midway, the other reaches all.
FORWARDED_COPIES = 2
FORWARDING_HOLD_UPDATES = 1  # of the other relays, which usually need not forward it
DROP_LOG_INTERVAL_S = 10.0

FactKey = tuple[str, str]  # kind, subject
FactCallback = Callable[[Fact], None]


class KeptFact(msgspec.Struct):
    """A fact and the clock time in seconds at which it expires."""

    fact: Fact
    expires_s: float


class FactNews(msgspec.Struct):
    """A fact to tell, the updates to wait before and the relays that told it."""

    hold_updates: int = 0
    is_own: bool = True
    told_by: set[EntryId] = msgspec.field(default_factory=set)


class Facts:
    """Merges facts of all entries, the newest of each kind and subject.

    Merging is commutative, associative and idempotent. If the facts are not shared,
    none is told, kept or applied.
    """

    def __init__(
        self, *, entry: EntryId, clock: Clock, is_shared: bool = False
    ) -> None:
        self.is_shared = is_shared
        self.dropped = 0  # malformed, or beyond MAX_KEPT_FACTS
        self._entry = entry
        self._clock = clock
        self._kept: dict[FactKey, KeptFact] = {}
        self._news: dict[FactKey, FactNews] = {}
        self._callbacks: dict[str, list[FactCallback]] = defaultdict(list)
        self._relays: frozenset[EntryId] = frozenset()
        self._forwards = False
        self._drop_logged_s = float("-inf")

    def put(self, kind: str, subject: str, value: float, *, ttl_s: float) -> None:
        """Tell a fact that this entry found, valid for ``ttl_s`` seconds.

        Nothing is told again while the same value is known for at least half of that.
        """
        if not self.is_shared:
            return
        now_s = self._clock.now()
        key = (kind, subject)
        known = self._kept.get(key)
        if known is not None and known.fact.value == value:
            if known.expires_s - now_s >= RENEWAL_SHARE * ttl_s:
                return
        version = max(self._clock.wall_ms(), 1)
        if known is not None:
            # The order also holds between entries whose wall clocks differ.
            version = max(version, known.fact.version + 1)
        ttl_ms = round(min(ttl_s, MAX_TTL_S) * MS_PER_S)
        fact = Fact(kind, subject, float(value), version, self._entry, ttl_ms)
        self._news[key] = FactNews()
        self._keep(key, fact, now_s)

    def get(self, kind: str, subject: str) -> Fact | None:
        """Return the newest fact, or ``None`` when it is unknown or expired."""
        known = self._kept.get((kind, subject))
        if known is None or known.expires_s <= self._clock.now():
            return None
        return known.fact

    def of_kind(self, kind: str) -> list[Fact]:
        """Return the facts of a kind that have not expired."""
        now_s = self._clock.now()
        return [
            known.fact
            for known in self._kept.values()
            if known.fact.kind == kind and known.expires_s > now_s
        ]

    def subscribe(self, kind: str, callback: FactCallback) -> None:
        """Call ``callback`` with each newer fact of a kind from another entry."""
        self._callbacks[kind].append(callback)

    @property
    def has_news(self) -> bool:
        """Return whether a fact waits to be told."""
        return bool(self._news)

    @property
    def count(self) -> int:
        """Return how many facts are kept that have not expired."""
        now_s = self._clock.now()
        return sum(known.expires_s > now_s for known in self._kept.values())

    def take_news(self) -> tuple[Fact, ...]:
        """Return the facts for the next update, the newest first.

        At most ``MAX_UPDATE_FACTS`` are returned; older ones wait for later updates.
        """
        self._expire()
        due: list[Fact] = []
        for key, news in self._news.items():
            if news.hold_updates > 0:
                news.hold_updates -= 1
            else:
                due.append(self._kept[key].fact)
        due = _newest(due)
        for fact in due:
            del self._news[_key(fact)]
        return self._with_ages(due)

    def current(self, *, own_only: bool) -> tuple[Fact, ...]:
        """Return the newest facts for an entry that may have missed them."""
        self._expire()
        now_s = self._clock.now()
        return self._with_ages(
            _newest(
                known.fact
                for known in self._kept.values()
                if known.expires_s > now_s
                and (not own_only or known.fact.source == self._entry)
            )
        )

    def set_relays(self, relays: frozenset[EntryId], *, forwards: bool) -> None:
        """Set the relays, and whether this entry is one that forwards facts."""
        self._relays = relays
        if self._forwards and not forwards:
            self._news = {key: news for key, news in self._news.items() if news.is_own}
        self._forwards = forwards
        self._expire()

    def apply(self, facts: Iterable[Fact], *, source: EntryId) -> None:
        """Merge the facts in an update of the entry ``source``."""
        if not self.is_shared:
            return
        for fact in tuple(facts)[:MAX_UPDATE_FACTS]:
            if _is_valid(fact):
                self._apply(fact, source)
            else:
                self._count_dropped()

    def _apply(self, fact: Fact, source: EntryId) -> None:
        key, now_s = _key(fact), self._clock.now()
        known = self._kept.get(key)
        if known is not None and _rank(known.fact) == _rank(fact):
            expires_s = now_s + fact.ttl_ms / MS_PER_S
            known.expires_s = min(known.expires_s, expires_s)
            self._record_copy(key, source)
            return
        if known is not None and _rank(known.fact) > _rank(fact):
            return
        self._news.pop(key, None)
        if self._forwards:
            is_early = self._entry in self._forwarders_of(key)
            self._news[key] = FactNews(
                hold_updates=0 if is_early else FORWARDING_HOLD_UPDATES,
                is_own=False,
                told_by={source} & self._relays,
            )
        if self._keep(key, fact, now_s):
            for callback in self._callbacks.get(fact.kind, ()):
                callback(fact)

    def _record_copy(self, key: FactKey, source: EntryId) -> None:
        """Leave out a fact that enough other relays have told everyone."""
        news = self._news.get(key)
        if news is None or news.is_own or source not in self._relays:
            return
        news.told_by.add(source)
        if len(news.told_by) >= FORWARDED_COPIES:
            del self._news[key]

    def _forwarders_of(self, key: FactKey) -> set[EntryId]:
        """Return the relays that forward a fact at once, which differ by fact."""
        name, relays, chosen = "/".join(key), self._relays, set()
        while relays and len(chosen) < FORWARDED_COPIES:
            chosen.add(owner_of(name, relays))
            relays = relays - chosen
        return chosen

    def _keep(self, key: FactKey, fact: Fact, now_s: float) -> bool:
        """Keep a fact; return whether it is among those that are kept."""
        self._kept[key] = KeptFact(fact, now_s + fact.ttl_ms / MS_PER_S)
        if len(self._kept) > MAX_KEPT_FACTS:
            self._expire()
        if len(self._kept) > MAX_KEPT_FACTS:
            # The oldest of all in the order of the merge, so that the result of
            # merging does not depend on the order of arrival.
            oldest = min(
                self._kept, key=lambda kept: (_rank(self._kept[kept].fact), kept)
            )
            self._discard(oldest)
            self._count_dropped()
        return key in self._kept

    def _expire(self) -> None:
        """Tell expired facts to nobody, and forget those that expired long ago."""
        now_s = self._clock.now()
        for key, known in list(self._kept.items()):
            if known.expires_s + REMEMBERED_S <= now_s:
                self._discard(key)
            elif known.expires_s <= now_s:
                self._news.pop(key, None)

    def _discard(self, key: FactKey) -> None:
        del self._kept[key]
        self._news.pop(key, None)

    def _count_dropped(self) -> None:
        self.dropped += 1
        now_s = self._clock.now()
        if now_s - self._drop_logged_s >= DROP_LOG_INTERVAL_S:
            self._drop_logged_s = now_s
            logger.warning(
                "facts of entries dropped",
                extra={"dropped": self.dropped, "kept": len(self._kept)},
            )

    def _with_ages(self, facts: Iterable[Fact]) -> tuple[Fact, ...]:
        """Return facts with the time that they have left to live."""
        now_s = self._clock.now()
        return tuple(
            msgspec.structs.replace(
                fact,
                ttl_ms=max(
                    round((self._kept[_key(fact)].expires_s - now_s) * MS_PER_S), 1
                ),
            )
            for fact in facts
        )


def _key(fact: Fact) -> FactKey:
    return fact.kind, fact.subject


def _rank(fact: Fact) -> tuple[int, EntryId, float]:
    """Return what decides between facts of the same kind and subject.

    The value decides only after a restart with a wall clock that was set back.
    """
    return fact.version, fact.source, fact.value


def _newest(facts: Iterable[Fact]) -> list[Fact]:
    by_age = sorted(facts, key=lambda fact: (_rank(fact), _key(fact)), reverse=True)
    return by_age[:MAX_UPDATE_FACTS]


def _is_valid(fact: Fact) -> bool:
    names = (fact.kind, fact.subject, fact.source)
    return (
        max(map(len, names)) <= MAX_NAME_CHARS
        and math.isfinite(fact.value)
        and 0 < fact.version <= MAX_VERSION
        and 0 < fact.ttl_ms <= MAX_TTL_S * MS_PER_S
    )
