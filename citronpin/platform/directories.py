"""Entries find each other through a keyed topic of the store."""

import logging
import secrets
from collections.abc import Callable

import msgspec
from result import Result

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import EntryId
from citronpin.gateway.ports import PeerDirectory
from citronpin.platform.feeds import KeyedFeed
from citronpin.platform.stores import (
    LogStore,
    OffsetMismatch,
    Record,
    encode_record,
)

logger = logging.getLogger(__name__)

TOPIC = "keyed.citronpin.entries"
FRAME_KEY = "frame-key"  # secret of the frames between entries
ENTRY_PREFIX = "entry/"
WAIT_S = 8.0  # entries come and go seldom
PAUSE_S = 0.3
RETRY_S = 0.5
KEY_BYTES = 32


class EntryRecord(msgspec.Struct, frozen=True):
    """Where an entry takes messages."""

    address: str  # IP:PORT


class StoreDirectory(KeyedFeed, PeerDirectory):
    """Announces this entry and follows the announcements of others.

    The first entry that writes to the topic draws the secret with which all entries
    authenticate their frames; an append at offset 0 decides which one that is.
    """

    def __init__(
        self,
        *,
        store: LogStore,
        clock: Clock,
        name: EntryId,
        address: str,
        changed: Callable[[], None],
    ) -> None:
        super().__init__(
            store=store, clock=clock, topic=TOPIC, wait_s=WAIT_S, pause_s=PAUSE_S
        )
        self._name = name
        self._address = address
        self._changed = changed
        self._entries: dict[EntryId, str] = {}
        self.frame_key: bytes | None = None

    def start(self) -> None:
        self._draw_key()

    def addresses(self) -> dict[EntryId, str]:
        return {name: at for name, at in self._entries.items() if name != self._name}

    def withdraw(self) -> None:
        """Announce that this entry leaves."""
        self._append(ENTRY_PREFIX + self._name, b"", self._on_withdrawn)

    def _append(self, key: str, value: bytes, done, at: int | None = None) -> None:
        self._store.append(
            topic=TOPIC, records=[encode_record(key, value)], done=done, at=at
        )

    def _draw_key(self) -> None:
        key = secrets.token_bytes(KEY_BYTES)
        self._append(FRAME_KEY, key, self._on_key_drawn, at=0)

    def _on_key_drawn(self, result: Result) -> None:
        if result.is_err() and not isinstance(result.err_value, OffsetMismatch):
            logger.info("key not drawn", extra={"detail": result.err_value.detail})
            self._clock.call_later(RETRY_S, self._draw_key)
            return
        self._announce()
        super().start()

    def _announce(self) -> None:
        value = msgspec.json.encode(EntryRecord(self._address))
        self._append(ENTRY_PREFIX + self._name, value, self._on_announced)

    def _on_announced(self, result: Result) -> None:
        if result.is_err():
            logger.info("not announced", extra={"detail": result.err_value.detail})
            self._clock.call_later(RETRY_S, self._announce)

    def _on_withdrawn(self, result: Result) -> None:
        if result.is_err():
            logger.info("not withdrawn", extra={"detail": result.err_value.detail})

    def _reread(self, records: tuple[Record, ...]) -> None:
        self._entries.clear()
        for record in records:
            self._take(record)

    def _take(self, record: Record) -> None:
        if record.key == FRAME_KEY and record.value is not None:
            self.frame_key = record.value
        elif record.key.startswith(ENTRY_PREFIX):
            self._take_entry(EntryId(record.key[len(ENTRY_PREFIX) :]), record.value)
        self._changed()

    def _take_entry(self, name: EntryId, value: bytes | None) -> None:
        if value is None:
            self._entries.pop(name, None)
            return
        try:
            found = msgspec.json.decode(value, type=EntryRecord)
        except msgspec.MsgspecError as exc:
            logger.warning("announcement unreadable", extra={"detail": str(exc)})
            return
        self._entries[name] = found.address
