"""Feeds that follow keyed topics: the configuration, the instances, the entries."""

import logging
from abc import abstractmethod
from collections.abc import Callable
from functools import partial

import msgspec
from result import Result

from citronpin.basics.clocks import MS_PER_S, Clock, TimerHandle
from citronpin.basics.ids import EntryId, FailureDomainName, InstanceId, Offset
from citronpin.basics.loop_faults import call_each
from citronpin.gateway.cold_starts import REGISTRATION, ColdStarts
from citronpin.gateway.evacuations import Evacuations
from citronpin.gateway.fleets import Fleet, FleetInstance
from citronpin.gateway.ports import SharedFeeds
from citronpin.gateway.registrations import (
    Freshness,
    Registration,
    RegistrationHistory,
)
from citronpin.gateway.routings import GatewayConfig
from citronpin.peers.messages import FeedPosition
from citronpin.platform.decoders import decode_config, decode_registration
from citronpin.platform.stores import (
    LONG_POLL_MARGIN_S,
    EraListener,
    LogStore,
    NewestRecords,
    Record,
    RecordBatch,
    ResultCallback,
    Trimmed,
)

logger = logging.getLogger(__name__)

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"  # of a key that ends with a failure domain
INSTANCES_TOPIC = "keyed.servers"
# Of the time until a change must be in force. An unanswered read is given up after it,
# and the rest is left for the next read.
CONFIG_READ_FRACTION = 0.8
MIN_CONFIG_LONG_POLL_S = 0.2
CONFIG_READ_PAUSE_S = 0.02
READ_INTERVAL_FRACTION = 0.45  # of the time until draining instances must be known
RETRY_INTERVAL_S = 0.25  # between the starts of reads that fail
# Between the starts of reads of what relays tell of. While many entries start, each
# message of a relay tells of a newer offset.
CATCH_UP_INTERVAL_S = 0.3
POSITION_MAX_AGE_S = 0.6  # two read intervals; added to the long-poll time
CONFIRMATION_MAX_AGE_S = 0.75  # two update intervals of a relay, and a late update
MIN_CONFIRMATIONS = 2  # a single relay may have lost the store without noticing
FOLLOW_CHECK_INTERVAL_S = 0.3  # update interval of a relay
MAX_FORWARDED_AGE_S = 3_600.0  # stands for an unknown age too
MAX_FORWARDED_RECORDS = 64  # keeps frames small; entries read more from the store


class KeyedFeed(EraListener):
    """Reads the newest record of each key, then the records that are appended.

    While it follows, it does not read as long as relays confirm its offset. In a new
    era of the store it reads the newest records again, since offsets start over.
    """

    def __init__(
        self,
        *,
        store: LogStore,
        clock: Clock,
        topic: str,
        long_poll_s: float,
        read_pause_s: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self.topic = topic
        self._long_poll_s = long_poll_s
        self._read_pause_s = read_pause_s
        self._offset: int | None = None
        self._timer: TimerHandle | None = None
        self._is_reachable: bool | None = None
        self._is_reading = False
        self._is_following = False
        # Reading is paused while relays confirm the offset.
        self._is_paused = False
        self._is_snapshot_due = False
        self._read_started_s = float("-inf")
        self._read_wait_s = 0.0
        self._retry_at_s = float("-inf")  # no read before, after one that failed
        # Clock time at which each relay last confirmed the offset.
        self._confirmed_at_s: dict[EntryId, float] = {}
        self.last_read_s = float("-inf")  # clock time of the last successful read
        # Latest clock time at which the store certainly had no newer record.
        self._current_s = float("-inf")
        self._read_number = 0  # answers to reads of an earlier era have a lower one
        store.add_era_listener(self)

    def start(self) -> None:
        """Start reading."""
        self._schedule_read(0.0)

    def stop(self) -> None:
        """Stop reading."""
        self._is_paused = False
        if self._timer is not None:
            self._timer.cancel()

    def on_new_era(self) -> str:
        self._offset = None
        self._read_number += 1
        self._confirmed_at_s.clear()
        if self._timer is None:
            return ""  # not started
        self._timer.cancel()
        self._schedule_read(0.0)
        return f"read {self.topic}"

    @abstractmethod
    def _apply_snapshot(self, records: tuple[Record, ...]) -> None:
        """Apply the newest record of every key."""

    @abstractmethod
    def _apply_record(self, record: Record) -> None:
        """Apply an appended record."""

    def _on_read_succeeded(self, current_s: float) -> None:
        """Handle a successful read, or its confirmation by a relay.

        ``current_s`` is the latest clock time at which the store certainly had no newer
        record. An answer may have waited for this process.
        """

    def _on_read_failed(self) -> None:
        """Handle a failed read."""

    def set_following(self, allowed: bool) -> None:
        """Start or stop relying on the positions of relays instead of reading."""
        if allowed is self._is_following:
            return
        self._is_following = allowed
        self._confirmed_at_s.clear()
        if not allowed:
            # Relays forward only what matters for routing, so the rest is read anew.
            self._is_snapshot_due = True
            self._read_now()

    def apply_position(self, sender: EntryId, position: FeedPosition) -> None:
        """Apply the records that a relay forwards, and note its confirmation."""
        if not self._is_following or self._offset is None:
            return
        if position.era != self._store.era:
            if position.era > self._store.era:
                self._read_now()  # the answer tells the era
            return
        if position.upto > self._offset:
            if self._is_reading:
                return  # the answer of the current read contains these records
            if position.since > self._offset:
                self._read_now()
                return
            known, self._offset = self._offset, position.upto
            call_each(
                partial(self._apply_record, Record(key, value, offset))
                for offset, key, value in position.records
                if offset >= known
            )
        now_s = self._clock.now()
        self._confirmed_at_s[sender] = now_s
        age_s = position.age_ms / MS_PER_S
        is_known = age_s < MAX_FORWARDED_AGE_S
        self._on_read_succeeded(now_s - age_s if is_known else float("-inf"))

    def position(self, *, records: bool) -> FeedPosition | None:
        """Return the offset that this entry has read up to, or ``None`` when stale."""
        now_s = self._clock.now()
        if (
            self._is_following
            or self._offset is None
            or now_s - self.last_read_s > self._long_poll_s + POSITION_MAX_AGE_S
        ):
            return None
        age_s = min(now_s - self._current_s, MAX_FORWARDED_AGE_S)
        age_ms = int(age_s * MS_PER_S)
        return FeedPosition(
            self.topic,
            self._offset,
            self._offset,
            age_ms=age_ms,
            era=self._store.era,
        )

    def _read_now(self) -> None:
        """Read without further delay, unless a read is in progress."""
        if not self._is_reading and self._timer is not None:
            self._confirmed_at_s.clear()
            self.last_read_s = float("-inf")
            self._timer.cancel()
            # The store that refused a read is not asked more often for news of it.
            due_s = max(self._retry_at_s, self._read_started_s + CATCH_UP_INTERVAL_S)
            if not self._is_paused:
                due_s = min(due_s, self._timer.due_s)
            self._schedule_read(max(due_s - self._clock.now(), 0.0))

    def resume_if_unconfirmed(self) -> None:
        """Resume reading when relays no longer confirm the offset."""
        if self._is_paused and not self._is_fresh():
            self._schedule_read(0.0)

    def _is_fresh(self) -> bool:
        """Return whether this entry or enough relays recently read up to the offset."""
        if not self._is_following or self._offset is None:
            return False
        since_s = self._clock.now() - CONFIRMATION_MAX_AGE_S
        confirmations = sum(at_s >= since_s for at_s in self._confirmed_at_s.values())
        return self.last_read_s >= since_s or confirmations >= MIN_CONFIRMATIONS

    def _schedule_read(self, delay_s: float) -> None:
        self._is_reading = self._is_paused = False
        self._timer = self._clock.call_later(delay_s, self._read)

    def _read(self) -> None:
        if self._is_fresh():
            self._is_paused = True
            return
        self._is_reading = True
        self._read_started_s = self._clock.now()
        if self._is_snapshot_due:
            self._is_snapshot_due = False
            self._offset = None
        if self._needs_newest():
            self._store.read_newest(
                topic=self.topic, done=self._unless_outdated(self._on_newest)
            )
            return
        self._read_wait_s = self._next_long_poll_s()
        self._store.read(
            topic=self.topic,
            offset=self._offset,
            long_poll_s=self._read_wait_s,
            done=self._unless_outdated(self._on_records),
        )

    def _needs_newest(self) -> bool:
        """Return whether the next read gets the newest records, not those appended."""
        return self._offset is None

    def _unless_outdated(self, handle: ResultCallback) -> ResultCallback:
        """Return a callback that ignores the result once a new era has begun.

        Reading goes on after a result whose handling raised.
        """
        number = self._read_number

        def handle_current(result: Result) -> None:
            if number != self._read_number:
                return
            try:
                handle(result)
            except Exception:
                if self._is_reading:
                    self._schedule_read(RETRY_INTERVAL_S)
                raise

        return handle_current

    def _next_long_poll_s(self) -> float:
        """Return how long the next read waits for records, in seconds."""
        return self._long_poll_s

    def _on_newest(self, result: Result) -> None:
        if self._handle_failure(result):
            return
        newest: NewestRecords = result.ok_value
        self._offset = newest.end  # records that raise are not read again
        self._apply_snapshot(newest.records)
        # The newest records may lag behind; the next read tells whether they do.
        self._on_read_succeeded(self._current_s)
        self._schedule_read(0.0)

    def _on_records(self, result: Result) -> None:
        if self._handle_failure(result):
            return
        records: RecordBatch = result.ok_value
        self._offset = records.next  # a record that raises is not read again
        call_each(partial(self._apply_record, record) for record in records.records)
        # An answer without records was sent when the wait was over, or the process got
        # it before.
        waited_s = 0.0 if records.records else self._read_wait_s
        self._read_succeeded(min(self._read_started_s + waited_s, self._clock.now()))
        self._schedule_read(self._read_pause_s)

    def _read_succeeded(self, current_s: float) -> None:
        self._current_s = current_s
        self._on_read_succeeded(current_s)

    def _handle_failure(self, result: Result) -> bool:
        """Return whether a read failed, and schedule the next one if so."""
        if result.is_ok():
            self.last_read_s = self._clock.now()
            self._log_reachability(True, "")
            return False
        error = result.err_value
        if isinstance(error, Trimmed):
            self._offset = None
        else:
            self._log_reachability(False, error.detail)
            self._on_read_failed()
        now_s = self._clock.now()
        self._retry_at_s = max(self._read_started_s + RETRY_INTERVAL_S, now_s)
        self._schedule_read(self._retry_at_s - now_s)
        return True

    def _log_reachability(self, reachable: bool, detail: str) -> None:
        if reachable is self._is_reachable:
            return
        self._is_reachable = reachable
        logger.info(
            "store regained" if reachable else "store lost",
            extra={"topic": self.topic, "detail": detail, "offset": self._offset},
        )


class ForwardedChanges:
    """Collects the records that relays forward, from one position to the next."""

    def __init__(self) -> None:
        self._records: list[Record] = []
        self._upto: Offset | None = None

    def add(self, record: Record) -> None:
        """Forward a record with the next position."""
        if len(self._records) <= MAX_FORWARDED_RECORDS:
            self._records.append(record)

    def clear(self) -> None:
        """Drop the records that were not forwarded yet."""
        self._records.clear()

    def restart(self) -> None:
        """Forward no records with the next position, so that others read anew."""
        self._upto = None

    def complete(
        self, position: FeedPosition | None, *, records: bool
    ) -> FeedPosition | None:
        """Return a position with the records since the last call, which it drops."""
        changes, self._records = self._records, []
        since, self._upto = self._upto, None if position is None else position.upto
        if position is None or not records or since is None:
            return None if not records else position
        if len(changes) > MAX_FORWARDED_RECORDS:
            return position
        rows = tuple((change.offset, change.key, change.value) for change in changes)
        return msgspec.structs.replace(position, since=since, records=rows)


class ConfigFeed(KeyedFeed):
    """Passes each newer version of the configuration to ``apply``.

    A change is applied within ``apply_s`` seconds, also after the answer to one read
    was lost, and an evacuation within ``evacuate_s``.
    """

    def __init__(
        self,
        *,
        store: LogStore,
        clock: Clock,
        apply: Callable[[GatewayConfig], None],
        apply_s: float,
        evacuations: Evacuations | None = None,
        evacuate_s: float = float("inf"),
    ) -> None:
        within_s = min(apply_s, evacuate_s)
        long_poll_s = CONFIG_READ_FRACTION * within_s - LONG_POLL_MARGIN_S
        super().__init__(
            store=store,
            clock=clock,
            topic=CONFIG_TOPIC,
            long_poll_s=max(long_poll_s, MIN_CONFIG_LONG_POLL_S),
            read_pause_s=CONFIG_READ_PAUSE_S,
        )
        self._apply = apply
        self._apply_s = apply_s
        self._evacuations = evacuations or Evacuations(now=clock.now)
        self._changes = ForwardedChanges()
        self._version = -1
        self._has_failed = False  # whether the latest read did
        # Latest clock time at which certainly no newer version existed.
        self._known_s = float("-inf")

    def age_s(self) -> float:
        """Return the seconds since no newer version existed; infinite before a read."""
        return self._clock.now() - self._known_s

    @property
    def is_current(self) -> bool:
        """Return whether every version that must be in force by now was read."""
        return self.age_s() <= self._apply_s

    def position(self, *, records: bool) -> FeedPosition | None:
        """Return the position, with the evacuations since the last call.

        An entry that has lost the store learns of them from relays. Configurations are
        large, so they are read from the store.
        """
        found = super().position(records=records)
        forwarded = self._changes.complete(found, records=records)
        return forwarded if records else found

    def on_new_era(self) -> str:
        self._changes.clear()
        self._changes.restart()
        self._evacuations.history_lost()
        return super().on_new_era()

    def _needs_newest(self) -> bool:
        # Whole versions pile up while reads fail, of which only the newest one matters.
        return self._has_failed or super()._needs_newest()

    def _on_read_failed(self) -> None:
        self._has_failed = True

    def _next_long_poll_s(self) -> float:
        # A read that returned a change did not tell whether another one followed.
        return max(self._long_poll_s - self.age_s(), MIN_CONFIG_LONG_POLL_S)

    def _on_read_succeeded(self, current_s: float) -> None:
        age_s = self.age_s()
        if current_s > self._known_s and self._apply_s < age_s < float("inf"):
            logger.warning(
                "configuration read late",
                extra={
                    "age_s": round(age_s, 2),
                    "bound_s": self._apply_s,
                    "version": self._version,
                },
            )
        self._known_s = max(self._known_s, current_s)
        self._has_failed = False

    def _apply_snapshot(self, records: tuple[Record, ...]) -> None:
        # Evacuations first: no request is placed by a configuration without them.
        found = {_evacuated_domain(rec) for rec in records if rec.value is not None}
        self._evacuations.apply_snapshot(found - {None})
        configs = (record for record in records if record.key == CONFIG_KEY)
        call_each(partial(self._apply_record, record) for record in configs)
        self._changes.clear()
        self._changes.restart()  # keys deleted meanwhile have no record

    def _apply_record(self, record: Record) -> None:
        domain = _evacuated_domain(record)
        if domain is not None:
            self._changes.add(record)
        elif record.key == CONFIG_KEY:
            self._changes.restart()
        if domain is not None and record.value is None:
            self._evacuations.revoke(domain)
        elif domain is not None:
            self._evacuations.evacuate(domain)
        if record.key != CONFIG_KEY or record.value is None:
            return
        result = decode_config(record.value)
        if result.is_err():
            logger.error("%s", result.err_value, extra={"offset": record.offset})
            return
        cfg = result.ok_value
        if cfg.version <= self._version:
            return  # reading anew returns versions that were applied before
        self._version = cfg.version
        self._apply(cfg)


def _evacuated_domain(record: Record) -> FailureDomainName | None:
    """Return the failure domain whose evacuation a record begins or ends."""
    if not record.key.startswith(EVACUATION_PREFIX):
        return None
    return FailureDomainName(record.key.removeprefix(EVACUATION_PREFIX)) or None


class FleetFeed(KeyedFeed):
    """Updates a fleet from the registrations of the instances.

    It reads often enough that draining instances are known within ``drain_s`` seconds.
    Keeps the changes that matter for routing, which relays forward to other entries.
    """

    def __init__(
        self,
        *,
        store: LogStore,
        clock: Clock,
        fleet: Fleet,
        drain_s: float,
        cold_starts: ColdStarts | None = None,
    ) -> None:
        self._cold_starts = cold_starts or ColdStarts(now=clock.now, fleet=fleet)
        self._default_interval_s = READ_INTERVAL_FRACTION * drain_s
        super().__init__(
            store=store,
            clock=clock,
            topic=INSTANCES_TOPIC,
            long_poll_s=0.0,
            read_pause_s=self._default_interval_s,
        )
        self._fleet = fleet
        # Instances as other entries need them for routing.
        self._routing_views: dict[str, FleetInstance] = {}
        self._history = RegistrationHistory()
        self._complete_s = float("-inf")  # when every registration was known
        self._changes = ForwardedChanges()

    def position(self, *, records: bool) -> FeedPosition | None:
        """Return the position with the changes since the last call, which it clears."""
        return self._changes.complete(
            super().position(records=records), records=records
        )

    def _record_change(
        self,
        record: Record,
        instance: FleetInstance | None,
        *,
        is_forwarded: bool = False,
    ) -> None:
        """Keep a record that changes the routing of others until it is forwarded."""
        known = self._routing_views.get(record.key)
        needed = None if instance is None else _routing_view(instance)
        if needed == known and not is_forwarded:
            return
        if needed is None:
            self._routing_views.pop(record.key, None)
        else:
            self._routing_views[record.key] = needed
        self._changes.add(record)

    def set_read_interval(self, interval_s: float) -> None:
        """Set the time between two reads, in seconds."""
        self._read_pause_s = interval_s

    def reset_read_interval(self) -> None:
        """Restore the read interval that routing needs."""
        self._read_pause_s = self._default_interval_s

    def on_new_era(self) -> str:
        self._changes.clear()
        # Registrations that the store has lost are written again.
        self._fleet.read_failed(now_s=self._clock.now())
        return super().on_new_era()

    def _apply_snapshot(self, records: tuple[Record, ...]) -> None:
        present: set[str] = set()
        try:
            call_each(
                partial(self._apply_newest, record, present)
                for record in records
                if record.value is not None
            )
        finally:
            for key in set(self._routing_views) - present:
                del self._routing_views[key]
            self._changes.restart()  # keys deleted meanwhile have no record
            self._fleet.reconcile(map(InstanceId, present), now_s=self._clock.now())

    def _apply_newest(self, record: Record, present: set[str]) -> None:
        """Apply the newest record of a key, and add the key to ``present``."""
        registration = self._decode(record)
        freshness = Freshness.CURRENT
        if registration is not None:
            # A store that went back may return what is known to be outdated.
            freshness = self._history.compare(registration)
        if freshness is not Freshness.GONE:
            present.add(record.key)
        if registration is not None and freshness is Freshness.CURRENT:
            self._apply_registration(record, registration)

    def _apply_record(self, record: Record) -> None:
        if record.value is None:
            self._history.record_removal(record.key)
            self._record_change(record, None)
            self._fleet.deregister(InstanceId(record.key), now_s=self._clock.now())
            return
        registration = self._decode(record)
        if registration is not None:
            self._apply_registration(record, registration)

    def _decode(self, record: Record) -> Registration | None:
        result = decode_registration(record.key, record.value)
        if result.is_err():
            logger.warning("%s", result.err_value, extra={"offset": record.offset})
            return None
        return result.ok_value

    def _apply_registration(self, record: Record, registration: Registration) -> None:
        is_new = self._history.is_later(registration)
        self._history.record(registration)
        # Without a change of the registration, an instance may be cold again.
        is_cold = is_new and self._cold_starts.record(
            registration.instance,
            remaining_s=registration.cold_s,
            source=REGISTRATION,
        )
        self._record_change(record, registration.instance, is_forwarded=is_cold)
        self._fleet.register(
            registration.instance,
            now_s=self._clock.now(),
            written_after_s=self._complete_s if is_new else float("-inf"),
        )

    def _on_read_succeeded(self, current_s: float) -> None:
        self._complete_s = max(self._complete_s, current_s)
        self._fleet.read_succeeded(now_s=self._clock.now())

    def _on_read_failed(self) -> None:
        self._fleet.read_failed(now_s=self._clock.now())


def _routing_view(instance: FleetInstance) -> FleetInstance:
    """Return an instance without the fields that only lease holders need."""
    membership = instance.membership
    if membership is None or membership.rank != 0:
        return msgspec.structs.replace(instance, staged=(), models=(), membership=None)
    return msgspec.structs.replace(instance, staged=())


class StoreFeeds(SharedFeeds):
    """The feeds of a process and the positions that entries send each other."""

    def __init__(self, *, feeds: dict[str, KeyedFeed], clock: Clock) -> None:
        self._feeds = feeds
        self._clock = clock
        self._resume_feeds()

    def _resume_feeds(self) -> None:
        """Resume the feeds that relays no longer confirm, with one timer for all."""
        self._clock.call_next(FOLLOW_CHECK_INTERVAL_S, self._resume_feeds)
        for feed in self._feeds.values():
            feed.resume_if_unconfirmed()

    def own_positions(self, *, records: bool) -> tuple[FeedPosition, ...]:
        found = (feed.position(records=records) for feed in self._feeds.values())
        return tuple(position for position in found if position is not None)

    def apply_positions(
        self, sender: EntryId, positions: tuple[FeedPosition, ...]
    ) -> None:
        for position in positions:
            feed = self._feeds.get(position.feed)
            if feed is not None:
                feed.apply_position(sender, position)

    def set_following(self, allowed: bool) -> None:
        for feed in self._feeds.values():
            feed.set_following(allowed)
