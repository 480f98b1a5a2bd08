"""Interfaces to the log service and to folded streams, and a log in memory."""

import functools
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import Offset, StreamName
from citronpin.state.states import StreamState, Verdict

logger = logging.getLogger(__name__)


class LogPage(msgspec.Struct, frozen=True):
    """Records of one stream in the order of their offsets.

    Records before the offset ``first`` are no longer stored; ``head`` is the
    offset that the next append gets.
    """

    first: Offset
    head: Offset
    records: tuple[tuple[Offset, bytes], ...]


AppendCallback = Callable[[Result[Offset, CitronpinError]], None]
HeadsCallback = Callable[[Result[dict[StreamName, Offset], CitronpinError]], None]
ReadCallback = Callable[[Result[LogPage, CitronpinError]], None]
ProposeCallback = Callable[[Result[list[Verdict], CitronpinError]], None]
StateCallback = Callable[[StreamName, StreamState, list[Verdict]], None]


class LogClient(ABC):
    """Client of the log service; a callback runs once, after its method returned."""

    @abstractmethod
    def append(
        self, *, stream: StreamName, payload: bytes, done: AppendCallback
    ) -> None:
        """Append a payload and pass its offset to ``done``.

        After an error with an outcome other than ``NOT_RUN`` it is unknown whether
        the payload was appended.
        """

    @abstractmethod
    def read(
        self,
        *,
        stream: StreamName,
        start: Offset,
        wait_s: float,
        done: ReadCallback,
        limit: int = 500,
    ) -> None:
        """Read up to ``limit`` records from the offset ``start``.

        Without a record from there on, the read waits up to ``wait_s`` seconds for
        one and otherwise passes a page without records to ``done``.
        """

    def read_heads(
        self, *, streams: tuple[StreamName, ...], done: HeadsCallback
    ) -> None:
        """Read the heads of some streams, by default with one read for each.

        One failed read makes the whole result an error.
        """
        heads: dict[StreamName, Offset] = {}
        errors: list[CitronpinError] = []

        def collect(
            stream: StreamName, result: Result[LogPage, CitronpinError]
        ) -> None:
            if isinstance(result, Ok):
                heads[stream] = result.ok_value.head
            else:
                errors.append(result.err_value)
            if len(heads) + len(errors) == len(streams):
                done(Err(errors[0]) if errors else Ok(heads))

        for stream in streams:
            self.read(
                stream=stream,
                start=Offset(0),
                wait_s=0.0,
                limit=0,
                done=functools.partial(collect, stream),
            )


class States(ABC):
    """Folded states of the streams that one entry follows, and proposals to them."""

    @abstractmethod
    def state(self, stream: StreamName) -> StreamState:
        """Return the latest folded state of a followed stream."""

    @abstractmethod
    def is_current(self, stream: StreamName) -> bool:
        """Return whether a followed stream was folded up to its head since boot."""

    @abstractmethod
    def follow(self, stream: StreamName) -> None:
        """Start to read and fold a stream; does nothing if it is followed already."""

    def limit_long_poll(self, stream: StreamName, max_wait_s: float | None) -> None:
        """Limit the wait of each long poll of a stream, in seconds.

        Shorter polls confirm the head more often; ``None`` restores the default.
        """

    @abstractmethod
    def subscribe(self, prefix: str, callback: StateCallback) -> None:
        """Call back after each change of streams whose names start with ``prefix``.

        A change is a folded record, a restored state, or that the stream was first
        folded up to its head; the last two come without verdicts. There is no call
        for a record that the fold skips.
        """

    @abstractmethod
    def propose(
        self, stream: StreamName, items: tuple, done: ProposeCallback | None = None
    ) -> None:
        """Append items in one record and pass the verdicts of the fold to ``done``.

        Starts to follow the stream if it isn't followed.

        ``Ok`` holds one verdict for each item. ``Err`` with the outcome ``NOT_RUN``
        proves that the items will never take effect; after any other error they
        may still take effect.
        """

    @abstractmethod
    def fold_peer_records(
        self, stream: StreamName, records: tuple[tuple[Offset, bytes], ...]
    ) -> None:
        """Fold records from a peer up to the first gap, which the log has to fill."""

    @abstractmethod
    def recent_records(self, stream: StreamName, start: Offset) -> LogPage:
        """Return the kept records from the offset ``start``, for peers without them."""


class MemoryLog(LogClient):
    """Log in memory, for tests and for the stand-in of the log service."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._streams: dict[StreamName, list[bytes]] = {}
        self._first_offsets: dict[StreamName, int] = {}
        self._waiters: list[tuple[StreamName, Offset, int, ReadCallback]] = []

    def put(self, stream: StreamName, payload: bytes) -> Offset:
        """Append a payload synchronously and return its offset."""
        payloads = self._streams.setdefault(stream, [])
        payloads.append(payload)
        self._answer_waiters(stream)
        return self.head(stream) - 1

    def head(self, stream: StreamName) -> Offset:
        """Return the offset that the next append gets."""
        stored_count = len(self._streams.get(stream, ()))
        return Offset(self._first_offsets.get(stream, 0) + stored_count)

    def heads(self) -> dict[StreamName, Offset]:
        """Return the head of every stream, sorted by name."""
        return {stream: self.head(stream) for stream in sorted(self._streams)}

    def trim(self, stream: StreamName, before: Offset) -> None:
        """Delete the records before the offset ``before``."""
        first = self._first_offsets.get(stream, 0)
        trim_count = max(0, min(before, self.head(stream)) - first)
        self._streams[stream] = self._streams.get(stream, [])[trim_count:]
        self._first_offsets[stream] = first + trim_count

    def page(self, stream: StreamName, start: Offset, limit: int = 500) -> LogPage:
        """Return up to ``limit`` records from the offset ``start`` without waiting."""
        first = self._first_offsets.get(stream, 0)
        begin = max(start, first)
        begin_index = begin - first
        payloads = self._streams.get(stream, [])[begin_index : begin_index + limit]
        records = tuple((Offset(begin + i), data) for i, data in enumerate(payloads))
        return LogPage(first=Offset(first), head=self.head(stream), records=records)

    def append(self, *, stream, payload, done) -> None:
        offset = self.put(stream, payload)
        self._clock.call_later(0.0, lambda: done(Ok(offset)))

    def read(self, *, stream, start, wait_s, done, limit=500) -> None:
        page = self.page(stream, start, limit)
        if page.records or wait_s <= 0:
            self._clock.call_later(0.0, lambda: done(Ok(page)))
            return
        waiter = (stream, start, limit, done)
        self._waiters.append(waiter)
        self._clock.call_later(wait_s, lambda: self._answer_waiter(waiter))

    def _answer_waiters(self, stream: StreamName) -> None:
        for waiter in [w for w in self._waiters if w[0] == stream]:
            self._answer_waiter(waiter)

    def _answer_waiter(self, waiter) -> None:
        if not any(other is waiter for other in self._waiters):
            return
        self._waiters = [other for other in self._waiters if other is not waiter]
        stream, start, limit, done = waiter
        page = self.page(stream, start, limit)
        self._clock.call_later(0.0, lambda: done(Ok(page)))
