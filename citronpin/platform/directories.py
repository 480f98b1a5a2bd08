"""Discovery of entries through a keyed topic of the store."""

import logging
import secrets
from collections.abc import Callable
from functools import partial

import msgspec
from result import Result

from citronpin.basics.addresses import parse_address
from citronpin.basics.clocks import Clock
from citronpin.basics.decodings import guard_recursion
from citronpin.basics.ids import EntryId, FailureDomainName
from citronpin.basics.loop_faults import call_each
from citronpin.gateway.forward_peers import ForwardPeer
from citronpin.gateway.ports import PeerDirectory
from citronpin.gateway.relays import UNKNOWN_CAPACITY, MachineCapacity
from citronpin.peers.messages import FeedPosition
from citronpin.platform.feeds import ForwardedChanges, KeyedFeed
from citronpin.platform.stores import (
    LogStore,
    OffsetMismatch,
    Record,
    encode_record,
)

logger = logging.getLogger(__name__)

ENTRIES_TOPIC = "keyed.citronpin.entries"
FRAME_KEY_RECORD = "frame-key"  # its value authenticates the frames between entries
ENTRY_PREFIX = "entry/"
LONG_POLL_S = 8.0  # entries seldom start or stop
READ_PAUSE_S = 0.3
RETRY_DELAY_S = 0.5
FRAME_KEY_BYTES = 32
# After a new era of the store has begun, announcements that it lost are written again.
REANNOUNCEMENT_S = 3.0


class EntryRecord(msgspec.Struct, frozen=True):
    """Announcement of an entry: the addresses, ``IP:PORT``, for other entries."""

    address: str  # for messages
    forward: str = ""  # for requests of callers that other entries pass on
    failure_domain: FailureDomainName = FailureDomainName("")
    capacity: MachineCapacity = UNKNOWN_CAPACITY


_decode_record = guard_recursion(msgspec.json.Decoder(EntryRecord).decode)


class StoreDirectory(KeyedFeed, PeerDirectory):
    """Announces this entry and follows the announcements of others.

    Each entry proposes a random key, with which all entries authenticate their frames,
    by an append at offset 0; only the first append succeeds, and its key is used. When
    the store went back, the entry proposes the key that is in use, announces itself
    again, and keeps the entries that it knew until they can have done the same.
    """

    def __init__(
        self,
        *,
        store: LogStore,
        clock: Clock,
        name: EntryId,
        record: EntryRecord,
        on_changed: Callable[[], None],
    ) -> None:
        super().__init__(
            store=store,
            clock=clock,
            topic=ENTRIES_TOPIC,
            long_poll_s=LONG_POLL_S,
            read_pause_s=READ_PAUSE_S,
        )
        self._name = name
        self._record = record
        self._notify_changed = on_changed
        self._entries: dict[EntryId, EntryRecord] = {}
        self._unconfirmed: dict[EntryId, EntryRecord] = {}  # known from an earlier era
        self._has_announced = False
        self._has_withdrawn = False
        self._changes = ForwardedChanges()
        # Of the others, until they change: it is read for each message.
        self._addresses: dict[EntryId, str] | None = None
        self.frame_key: bytes | None = None

    def start(self) -> None:
        self._propose_frame_key()

    def addresses(self) -> dict[EntryId, str]:
        if self._addresses is None:
            self._addresses = {
                name: record.address for name, record in self._others().items()
            }
        return self._addresses

    def forward_peers(self) -> tuple[ForwardPeer, ...]:
        return tuple(
            ForwardPeer(
                name=name,
                address=record.forward,
                failure_domain=record.failure_domain,
            )
            for name, record in self._others().items()
            if record.forward
        )

    def capacity_of(self, entry: EntryId) -> MachineCapacity:
        if entry == self._name:
            return self._record.capacity
        record = self._entries.get(entry) or self._unconfirmed.get(entry)
        return UNKNOWN_CAPACITY if record is None else record.capacity

    def position(self, *, records: bool) -> FeedPosition | None:
        """Return the position with the announcements since the last call."""
        return self._changes.complete(
            super().position(records=records), records=records
        )

    def _others(self) -> dict[EntryId, EntryRecord]:
        known = self._unconfirmed | self._entries
        return {name: record for name, record in known.items() if name != self._name}

    def _on_changed(self) -> None:
        self._addresses = None
        self._notify_changed()

    def withdraw(self) -> None:
        """Delete the announcement of this entry."""
        self._has_withdrawn = True
        self._append(ENTRY_PREFIX + self._name, b"", self._on_withdrawn)

    def _append(
        self, key: str, value: bytes, done, expected_end: int | None = None
    ) -> None:
        self._store.append(
            topic=ENTRIES_TOPIC,
            records=[encode_record(key, value)],
            done=done,
            expected_end=expected_end,
        )

    def on_new_era(self) -> str:
        read = super().on_new_era()
        self._changes.clear()
        self._changes.restart()
        if not self._has_announced or self._has_withdrawn:
            return read
        era = self._store.era
        self._unconfirmed = self._unconfirmed | self._entries
        self._entries = {}
        self._addresses = None
        self._clock.call_later(REANNOUNCEMENT_S, lambda: self._drop_unconfirmed(era))
        self._propose_frame_key()
        return f"{read}, write the frame key and the announcement of this entry"

    def _drop_unconfirmed(self, era: int) -> None:
        """Forget the entries that have not announced themselves in an era."""
        if era == self._store.era:
            self._unconfirmed = {}
            self._on_changed()

    def _propose_frame_key(self) -> None:
        key = self.frame_key or secrets.token_bytes(FRAME_KEY_BYTES)
        self._append(FRAME_KEY_RECORD, key, self._on_frame_key_proposed, expected_end=0)

    def _on_frame_key_proposed(self, result: Result) -> None:
        if result.is_err() and not isinstance(result.err_value, OffsetMismatch):
            logger.info(
                "frame key not proposed", extra={"detail": result.err_value.detail}
            )
            self._clock.call_later(RETRY_DELAY_S, self._propose_frame_key)
            return
        if self._has_withdrawn:
            return
        self._announce()
        if not self._has_announced:
            self._has_announced = True
            super().start()

    def _announce(self) -> None:
        if self._has_withdrawn:
            return
        value = msgspec.json.encode(self._record)
        self._append(ENTRY_PREFIX + self._name, value, self._on_announced)

    def _on_announced(self, result: Result) -> None:
        if result.is_err():
            logger.info(
                "entry not announced", extra={"detail": result.err_value.detail}
            )
            self._clock.call_later(RETRY_DELAY_S, self._announce)

    def _on_withdrawn(self, result: Result) -> None:
        if result.is_err():
            logger.info(
                "announcement not deleted", extra={"detail": result.err_value.detail}
            )

    def _apply_snapshot(self, records: tuple[Record, ...]) -> None:
        self._entries.clear()
        self._addresses = None
        call_each(partial(self._apply_record, record) for record in records)
        self._changes.clear()
        self._changes.restart()  # keys deleted meanwhile have no record

    def _apply_record(self, record: Record) -> None:
        if record.key == FRAME_KEY_RECORD and record.value is not None:
            # An entry that started in the new era may have proposed another one first.
            self.frame_key = record.value
            # Frames are authenticated, not encrypted; others read the key themselves.
            self._changes.restart()
        elif record.key.startswith(ENTRY_PREFIX):
            self._changes.add(record)
            self._apply_entry(EntryId(record.key[len(ENTRY_PREFIX) :]), record.value)
        self._on_changed()

    def _apply_entry(self, name: EntryId, value: bytes | None) -> None:
        if value is None:
            self._entries.pop(name, None)
            self._unconfirmed.pop(name, None)
            return
        try:
            announced = _decode_announcement(name, value)
        except (msgspec.MsgspecError, ValueError) as exc:
            logger.warning(
                "announcement cannot be decoded",
                extra={"name_of_entry": name, "detail": str(exc)},
            )
            return
        self._entries[name] = announced


def _decode_announcement(name: EntryId, value: bytes) -> EntryRecord:
    """Return an announcement; raises an error of `msgspec` or `ValueError`.

    Another writer may have written it.
    """
    if not (name.isascii() and name.isprintable() and name):
        raise ValueError(f"the name {name!r} is not printable ASCII")
    record = _decode_record(value)
    parse_address(record.address)
    if record.forward:
        parse_address(record.forward)
    return record
