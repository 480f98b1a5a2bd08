"""Follows the configuration, the instances and the entries in keyed topics."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

from result import Result

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.ids import InstanceId
from citronpin.gateway.fleets import Fleet
from citronpin.gateway.routings import GatewayConfig
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
        self._topic = topic
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._offset: int | None = None
        self._timer: TimerHandle | None = None
        self._reachable: bool | None = None
        self.read_s = float("-inf")  # clock time of the last answer

    def start(self) -> None:
        """Begin to read."""
        self._next(0.0)

    def stop(self) -> None:
        """Read no more."""
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

    def _next(self, delay_s: float) -> None:
        self._timer = self._clock.call_later(delay_s, self._read)

    def _read(self) -> None:
        if self._offset is None:
            self._store.newest(topic=self._topic, done=self._on_newest)
            return
        self._store.read(
            topic=self._topic,
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
            extra={"topic": self._topic, "detail": detail, "offset": self._offset},
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

    def pace(self, interval_s: float) -> None:
        """Set the time between two reads."""
        self._pause_s = interval_s

    def pace_calm(self) -> None:
        """Read as often as routing needs."""
        self._pause_s = self._calm_s

    def _reread(self, records: tuple[Record, ...]) -> None:
        present = [record.key for record in records if record.value is not None]
        for record in records:
            self._take(record)
        self._fleet.reread(map(InstanceId, present), now_s=self._clock.now())

    def _take(self, record: Record) -> None:
        now_s = self._clock.now()
        if record.value is None:
            self._fleet.unlisted(InstanceId(record.key), now_s=now_s)
            return
        result = decode_instance(record.key, record.value)
        if result.is_err():
            logger.warning("%s", result.err_value, extra={"offset": record.offset})
            return
        self._fleet.listed(result.ok_value, now_s=now_s)

    def _answered(self) -> None:
        self._fleet.read(now_s=self._clock.now())

    def _unanswered(self) -> None:
        self._fleet.outage(now_s=self._clock.now())
