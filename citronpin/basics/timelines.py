"""Merges the events of several processes and renders them as one HTML page."""

import logging
from importlib import resources

import jinja2
import msgspec

from citronpin.basics.events import TimelineEvent
from citronpin.basics.ids import Offset, StreamName

logger = logging.getLogger(__name__)

PAGE_TEMPLATE = "timeline.html"

Marks = dict[StreamName, list[tuple[int, Offset]]]


class ProcessEvents:
    """The events of one process by sequence number, and the next one to merge."""

    def __init__(self, *, events: list[TimelineEvent]) -> None:
        self.events = sorted(events, key=lambda event: event.sequence)
        self.next_index = 0
        self._lowest_offsets: list[dict[StreamName, Offset]] = self._suffix_minima()

    def _suffix_minima(self) -> list[dict[StreamName, Offset]]:
        """Return, for each index, the lowest offset of each stream from there on."""
        lowest: dict[StreamName, Offset] = {}
        minima = [lowest]
        for event in reversed(self.events):
            if event.stream is not None and event.offset is not None:
                known = lowest.get(event.stream)
                if known is None or event.offset < known:
                    lowest = lowest | {event.stream: event.offset}
            minima.append(lowest)
        minima.reverse()
        return minima

    @property
    def head(self) -> TimelineEvent | None:
        """Return the next event to merge, or ``None`` at the end."""
        return (
            self.events[self.next_index] if self.next_index < len(self.events) else None
        )

    def lowest_offset(self, stream: StreamName) -> Offset | None:
        """Return the lowest offset of a stream among the unmerged events, if any."""
        return self._lowest_offsets[self.next_index].get(stream)


def merge_events(events: list[TimelineEvent]) -> list[TimelineEvent]:
    """Return the events of several processes in one order, without duplicates.

    The order keeps the sequence of each process. Events of different processes on the
    same stream are ordered by offset, since wall clocks may be skewed; the wall clock
    decides only where sequence and offset do not.
    """
    by_process: dict[str, dict[int, TimelineEvent]] = {}
    for event in events:
        by_process.setdefault(event.process, {})[event.sequence] = event
    sources = [
        ProcessEvents(events=list(by_process[process].values()))
        for process in sorted(by_process)
    ]
    merged = []
    while any(source.head is not None for source in sources):
        source = _choose_next(sources)
        merged.append(source.head)
        source.next_index += 1
    return merged


def _choose_next(sources: list[ProcessEvents]) -> ProcessEvents:
    unfinished = [source for source in sources if source.head is not None]
    ready = [source for source in unfinished if not _must_wait(source, unfinished)]
    return min(ready or unfinished, key=lambda source: source.head.wall_ms)


def _must_wait(source: ProcessEvents, sources: list[ProcessEvents]) -> bool:
    """Return whether another process has a lower offset of the stream to merge."""
    head = source.head
    if head.stream is None or head.offset is None:
        return False
    for other in sources:
        if other is source:
            continue
        lowest = other.lowest_offset(head.stream)
        if lowest is not None and lowest < head.offset:
            return True
    return False


def to_jsonl(events: list[TimelineEvent]) -> bytes:
    """Return the events as JSON Lines, one object per line."""
    return b"".join(msgspec.json.encode(event) + b"\n" for event in events)


def from_jsonl(data: bytes) -> list[TimelineEvent]:
    """Return the events in JSON Lines data; raises `msgspec.MsgspecError`."""
    decoder = msgspec.json.Decoder(TimelineEvent)
    return decoder.decode_lines(data)


def to_page(events: list[TimelineEvent], title: str = "Time line") -> str:
    """Return an HTML page of the events that loads nothing from the network."""
    source = resources.files("citronpin").joinpath("pages", PAGE_TEMPLATE)
    env = jinja2.Environment(autoescape=True, trim_blocks=True, lstrip_blocks=True)
    template = env.from_string(source.read_text(encoding="utf-8"))
    processes = sorted({event.process for event in events})
    kinds = sorted({event.kind.value for event in events})
    start_ms = min((event.wall_ms for event in events), default=0)
    return template.render(
        title=title,
        events=events,
        processes=processes,
        kinds=kinds,
        start_ms=start_ms,
        colours={kind: (index * 47) % 360 for index, kind in enumerate(kinds)},
    )
