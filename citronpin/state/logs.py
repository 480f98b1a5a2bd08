"""The log service as the project sees it, and the state folded from it."""

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
    """Some records of a stream in order.

    Records before ``first`` were trimmed; ``head`` is the offset that the next
    append will get.
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
    """Talks to the log service; callbacks run once, after the method returned."""

    @abstractmethod
    def append(
        self, *, stream: StreamName, payload: bytes, done: AppendCallback
    ) -> None:
        """Append a payload; an error other than *not run* leaves it open."""

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
        """Read from ``start``, waiting up to ``wait_s`` for a first record."""

    def read_heads(
        self, *, streams: tuple[StreamName, ...], done: HeadsCallback
    ) -> None:
        """Read the heads of some streams; the default asks for each of them."""
        heads: dict[StreamName, Offset] = {}
        failed: list[CitronpinError] = []

        def take(stream: StreamName, result: Result[LogPage, CitronpinError]) -> None:
            if isinstance(result, Ok):
                heads[stream] = result.ok_value.head
            else:
                failed.append(result.err_value)
            if len(heads) + len(failed) == len(streams):
                done(Err(failed[0]) if failed else Ok(heads))

        for stream in streams:
            self.read(
                stream=stream,
                start=Offset(0),
                wait_s=0.0,
                limit=0,
                done=functools.partial(take, stream),
            )


class States(ABC):
    """The folded streams of one entry, and the way to propose records."""

    @abstractmethod
    def state(self, stream: StreamName) -> StreamState:
        """Return the latest folded state of a followed stream."""

    @abstractmethod
    def current(self, stream: StreamName) -> bool:
        """Return whether the stream was once read to its head since boot."""

    @abstractmethod
    def follow(self, stream: StreamName) -> None:
        """Start to follow a stream; following twice is harmless."""

    def limit_long_poll(self, stream: StreamName, seconds: float | None) -> None:
        """Have the head of a stream confirmed more often; ``None`` ends that."""

    @abstractmethod
    def subscribe(self, prefix: str, callback: StateCallback) -> None:
        """Call back after each folded record of streams that start with ``prefix``."""

    @abstractmethod
    def propose(
        self, stream: StreamName, items: tuple, done: ProposeCallback | None = None
    ) -> None:
        """Append items together and report the verdicts that the fold gave them.

        ``Ok`` holds one verdict for each item. ``Err`` with outcome *not run*
        proves that the items will never take effect; any other error leaves
        that open.
        """

    @abstractmethod
    def fold_peer_records(
        self, stream: StreamName, records: tuple[tuple[Offset, bytes], ...]
    ) -> None:
        """Fold records that a peer passed on; gaps are left to the log."""

    @abstractmethod
    def recent_records(self, stream: StreamName, start: Offset) -> LogPage:
        """Return kept records from ``start``, for peers that lack them."""


class MemoryLog(LogClient):
    """A log in memory, for tests and as the core of the stand-in."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._streams: dict[StreamName, list[bytes]] = {}
        self._first: dict[StreamName, int] = {}
        self._waiting: list[tuple[StreamName, Offset, int, ReadCallback]] = []

    def put(self, stream: StreamName, payload: bytes) -> Offset:
        """Append at once and return the offset."""
        payloads = self._streams.setdefault(stream, [])
        payloads.append(payload)
        self._wake(stream)
        return self.head(stream) - 1

    def head(self, stream: StreamName) -> Offset:
        """Return the offset that the next append will get."""
        kept = len(self._streams.get(stream, ()))
        return Offset(self._first.get(stream, 0) + kept)

    def heads(self) -> dict[StreamName, Offset]:
        """Return the head of every stream."""
        return {stream: self.head(stream) for stream in sorted(self._streams)}

    def trim(self, stream: StreamName, before: Offset) -> None:
        """Forget the records before an offset."""
        first = self._first.get(stream, 0)
        drop = max(0, min(before, self.head(stream)) - first)
        self._streams[stream] = self._streams.get(stream, [])[drop:]
        self._first[stream] = first + drop

    def page(self, stream: StreamName, start: Offset, limit: int = 500) -> LogPage:
        """Return the records from ``start`` without waiting."""
        first = self._first.get(stream, 0)
        begin = max(start, first)
        begin_index = begin - first
        payloads = self._streams.get(stream, [])[begin_index : begin_index + limit]
        found = tuple((Offset(begin + i), data) for i, data in enumerate(payloads))
        return LogPage(first=Offset(first), head=self.head(stream), records=found)

    def append(self, *, stream, payload, done) -> None:
        offset = self.put(stream, payload)
        self._clock.call_later(0.0, lambda: done(Ok(offset)))

    def read(self, *, stream, start, wait_s, done, limit=500) -> None:
        page = self.page(stream, start, limit)
        if page.records or wait_s <= 0:
            self._clock.call_later(0.0, lambda: done(Ok(page)))
            return
        waiter = (stream, start, limit, done)
        self._waiting.append(waiter)
        self._clock.call_later(wait_s, lambda: self._release(waiter))

    def _wake(self, stream: StreamName) -> None:
        for waiter in [w for w in self._waiting if w[0] == stream]:
            self._release(waiter)

    def _release(self, waiter) -> None:
        if not any(known is waiter for known in self._waiting):
            return
        self._waiting = [known for known in self._waiting if known is not waiter]
        stream, start, limit, done = waiter
        page = self.page(stream, start, limit)
        self._clock.call_later(0.0, lambda: done(Ok(page)))
