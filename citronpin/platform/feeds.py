"""Follows the configuration, the instances and the entries in keyed topics."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from result import Result

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import EntryId, InstanceId
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.ports import SharedFeeds
from citronpin.gateway.routings import GatewayConfig
from citronpin.peers.messages import FeedPosition
from citronpin.platform.decoders import decode_config, decode_instance
from citronpin.platform.stores import LogStore, Newest, Record, Records, Trimmed

logger = logging.getLogger(__name__)

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
INSTANCES_TOPIC = "keyed.servers"
CONFIG_WAIT_S = 3.5  # a silent connection is found while the bounds allow it
CONFIG_PAUSE_S = 0.02
INTERVAL_SHARE = 0.45  # of the time in which leaving instances have to be known
RETRY_S = 0.25
FRESH_S = 0.6  # age of a reading up to which it is told to others: two intervals
CONFIRMED_S = 0.75  # two updates of a relay and a late one
CONFIRMATIONS = 2  # one relay alone may be cut off from the store unnoticed
FOLLOW_CHECK_S = 0.3  # an update of a relay
FORWARDED_RECORDS = 64  # more are read by everyone, to keep frames small


class KeyedFeed(ABC):
    """Reads the newest record of each key, then what is appended."""

    def __init__(
        self,
        *,
        store: LogStore,
        clock: Clock,
        topic: str,
        wait_s: float,
        pause_s: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self.topic = topic
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._offset: int | None = None
        self._timer: TimerHandle | None = None
        self._reachable: bool | None = None
        self._calling = False
        self._following = False
        self._parked = False  # others read; `go_on` looks whether they still do
        self._reread_due = False
        self._confirmed: dict[EntryId, float] = {}  # when others had read no further
        self.read_s = float("-inf")  # clock time of the last answer

    def start(self) -> None:
        """Begin to read."""
        self._next(0.0)

    def stop(self) -> None:
        """Read no more."""
        self._parked = False
        if self._timer is not None:
            self._timer.cancel()

    @abstractmethod
    def _reread(self, records: tuple[Record, ...]) -> None:
        """Take the newest record of every key."""

    @abstractmethod
    def _take(self, record: Record) -> None:
        """Take a record that was appended."""

    def _answered(self) -> None:
        """Take note that the topic could be read."""

    def _unanswered(self) -> None:
        """Take note that the topic could not be read."""

    def set_following(self, allowed: bool) -> None:
        """Let news of others take the place of own reading while they are fresh."""
        if allowed is self._following:
            return
        self._following = allowed
        self._confirmed.clear()
        if not allowed:
            # Others pass on only what matters for routing.
            self._reread_due = True
            self._hurry()

    def heard(self, sender: EntryId, position: FeedPosition) -> None:
        """Take how far another entry has read."""
        if not self._following or self._offset is None:
            return
        if position.upto > self._offset:
            if self._calling:
                return  # the answer brings it
            if position.since > self._offset:
                self._hurry()
                return
            for offset, key, value in position.records:
                if offset >= self._offset:
                    self._take(Record(key, value, offset))
            self._offset = position.upto
        self._confirmed[sender] = self._clock.now()
        self._answered()

    def position(self, *, records: bool) -> FeedPosition | None:
        """Return how far this entry has read, if it did so lately."""
        age_s = self._clock.now() - self.read_s
        if self._following or self._offset is None or age_s > self._wait_s + FRESH_S:
            return None
        return FeedPosition(self.topic, self._offset, self._offset)

    def _hurry(self) -> None:
        """Read at once, unless a call is under way."""
        if not self._calling and self._timer is not None:
            self._confirmed.clear()
            self.read_s = float("-inf")
            self._timer.cancel()
            self._next(0.0)

    def go_on(self) -> None:
        """Read again when others no longer confirm what is known."""
        if self._parked and not self._covered():
            self._next(0.0)

    def _covered(self) -> bool:
        """Return whether others have read lately what this entry would read."""
        if not self._following or self._offset is None:
            return False
        since_s = self._clock.now() - CONFIRMED_S
        fresh = sum(at_s >= since_s for at_s in self._confirmed.values())
        return self.read_s >= since_s or fresh >= CONFIRMATIONS

    def _next(self, delay_s: float) -> None:
        self._calling = self._parked = False
        self._timer = self._clock.call_later(delay_s, self._read)

    def _read(self) -> None:
        if self._covered():
            self._parked = True
            return
        self._calling = True
        if self._reread_due:
            self._reread_due = False
            self._offset = None
        if self._offset is None:
            self._store.newest(topic=self.topic, done=self._on_newest)
            return
        self._store.read(
            topic=self.topic,
            offset=self._offset,
            wait_s=self._wait_s,
            done=self._on_records,
        )

    def _on_newest(self, result: Result) -> None:
        if self._failed(result):
            return
        newest: Newest = result.ok_value
        self._reread(newest.records)
        self._offset = newest.end
        self._answered()
        self._next(0.0)

    def _on_records(self, result: Result) -> None:
        if self._failed(result):
            return
        records: Records = result.ok_value
        for record in records.records:
            self._take(record)
        self._offset = records.next
        self._answered()
        self._next(self._pause_s)

    def _failed(self, result: Result) -> bool:
        if result.is_ok():
            self.read_s = self._clock.now()
            self._note(True, "")
            return False
        error = result.err_value
        if isinstance(error, Trimmed):
            self._offset = None
            self._next(0.0)
            return True
        self._note(False, error.detail)
        self._unanswered()
        self._next(RETRY_S)
        return True

    def _note(self, reachable: bool, detail: str) -> None:
        if reachable is self._reachable:
            return
        self._reachable = reachable
        logger.info(
            "store regained" if reachable else "store lost",
            extra={"topic": self.topic, "detail": detail, "offset": self._offset},
        )


class ConfigFeed(KeyedFeed):
    """Gives each newer version of the configuration to ``apply``."""

    def __init__(
        self, *, store: LogStore, clock: Clock, apply: Callable[[GatewayConfig], None]
    ) -> None:
        super().__init__(
            store=store,
            clock=clock,
            topic=CONFIG_TOPIC,
            wait_s=CONFIG_WAIT_S,
            pause_s=CONFIG_PAUSE_S,
        )
        self._apply = apply
        self._version = -1

    def _reread(self, records: tuple[Record, ...]) -> None:
        for record in records:
            self._take(record)

    def _take(self, record: Record) -> None:
        if record.key != CONFIG_KEY or record.value is None:
            return
        result = decode_config(record.value)
        if result.is_err():
            logger.error("%s", result.err_value, extra={"offset": record.offset})
            return
        cfg = result.ok_value
        if cfg.version <= self._version:
            return  # a re-read shows versions that were applied before
        self._version = cfg.version
        self._apply(cfg)


class FleetFeed(KeyedFeed):
    """Keeps a fleet as the instances' entries tell."""

    def __init__(
        self, *, store: LogStore, clock: Clock, fleet: Fleet, drain_s: float
    ) -> None:
        self._calm_s = INTERVAL_SHARE * drain_s
        super().__init__(
            store=store,
            clock=clock,
            topic=INSTANCES_TOPIC,
            wait_s=0.0,
            pause_s=self._calm_s,
        )
        self._fleet = fleet
        self._routes: dict[str, FleetInstance] = {}  # as others need it for routing
        self._changes: list[Record] = []
        self._told_upto: int | None = None

    def position(self, *, records: bool) -> FeedPosition | None:
        found = super().position(records=records)
        changes, self._changes = self._changes, []
        since, self._told_upto = self._told_upto, None if found is None else found.upto
        if found is None or not records or since is None:
            return None if not records else found
        if len(changes) > FORWARDED_RECORDS:
            return found
        rows = tuple((one.offset, one.key, one.value) for one in changes)
        return msgspec.structs.replace(found, since=since, records=rows)

    def _note_change(self, record: Record, instance: FleetInstance | None) -> None:
        """Keep what changes the routing of other entries until it is passed on."""
        known = self._routes.get(record.key)
        needed = None if instance is None else _for_routing(instance)
        if needed == known:
            return
        if needed is None:
            del self._routes[record.key]
        else:
            self._routes[record.key] = needed
        if len(self._changes) <= FORWARDED_RECORDS:
            self._changes.append(record)

    def pace(self, interval_s: float) -> None:
        """Set the time between two reads."""
        self._pause_s = interval_s

    def pace_calm(self) -> None:
        """Read as often as routing needs."""
        self._pause_s = self._calm_s

    def _reread(self, records: tuple[Record, ...]) -> None:
        present = [record.key for record in records if record.value is not None]
        for key in set(self._routes) - set(present):
            del self._routes[key]
        for record in records:
            self._take(record)
        self._told_upto = None  # what is gone since has no record to pass on
        self._fleet.reconcile(map(InstanceId, present), now_s=self._clock.now())

    def _take(self, record: Record) -> None:
        now_s = self._clock.now()
        if record.value is None:
            self._note_change(record, None)
            self._fleet.deregister(InstanceId(record.key), now_s=now_s)
            return
        result = decode_instance(record.key, record.value)
        if result.is_err():
            logger.warning("%s", result.err_value, extra={"offset": record.offset})
            return
        self._note_change(record, result.ok_value)
        self._fleet.register(result.ok_value, now_s=now_s)

    def _answered(self) -> None:
        self._fleet.read(now_s=self._clock.now())

    def _unanswered(self) -> None:
        self._fleet.read_failed(now_s=self._clock.now())


def _for_routing(instance: FleetInstance) -> FleetInstance:
    """Return an instance without what only those look at who decide on groups."""
    place = instance.membership
    if place is None or place.rank != 0:
        return msgspec.structs.replace(instance, staged=(), models=(), membership=None)
    return msgspec.structs.replace(instance, staged=())


class StoreFeeds(SharedFeeds):
    """The feeds of a process, as entries tell each other of them."""

    def __init__(self, *, feeds: dict[str, KeyedFeed], clock: Clock) -> None:
        self._feeds = feeds
        self._clock = clock
        self._look()

    def _look(self) -> None:
        """Look after the feeds that leave the reading to others, all in one turn."""
        self._clock.call_later(FOLLOW_CHECK_S, self._look)
        for feed in self._feeds.values():
            feed.go_on()

    def positions(self, *, records: bool) -> tuple[FeedPosition, ...]:
        found = (feed.position(records=records) for feed in self._feeds.values())
        return tuple(position for position in found if position is not None)

    def heard(self, sender: EntryId, positions: tuple[FeedPosition, ...]) -> None:
        for position in positions:
            feed = self._feeds.get(position.feed)
            if feed is not None:
                feed.heard(sender, position)

    def set_following(self, allowed: bool) -> None:
        for feed in self._feeds.values():
            feed.set_following(allowed)
