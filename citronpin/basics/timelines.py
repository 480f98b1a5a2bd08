"""Merges the events of several processes and draws them on one page."""

import logging
from importlib import resources

import jinja2
import msgspec

from citronpin.basics.events import TimelineEvent
from citronpin.basics.ids import Offset, StreamName

logger = logging.getLogger(__name__)

PAGE_TEMPLATE = "timeline.html"

Marks = dict[StreamName, list[tuple[int, Offset]]]


class Lane:
    """The events of one process, by sequence number, and how far they are merged."""

    def __init__(self, *, events: list[TimelineEvent]) -> None:
        self.events = sorted(events, key=lambda event: event.sequence)
        self.next = 0
        self._least: list[dict[StreamName, Offset]] = self._suffix_minima()

    def _suffix_minima(self) -> list[dict[StreamName, Offset]]:
        """Return, for each position, the least offset still to come by stream."""
        least: dict[StreamName, Offset] = {}
        minima = [least]
        for event in reversed(self.events):
            if event.stream is not None and event.offset is not None:
                known = least.get(event.stream)
                if known is None or event.offset < known:
                    least = least | {event.stream: event.offset}
            minima.append(least)
        minima.reverse()
        return minima

    @property
    def head(self) -> TimelineEvent | None:
        """Return the next event, or ``None`` at the end."""
        return self.events[self.next] if self.next < len(self.events) else None

    def least_offset(self, stream: StreamName) -> Offset | None:
        """Return the least offset of a stream among the events left."""
        return self._least[self.next].get(stream)


def merge_events(events: list[TimelineEvent]) -> list[TimelineEvent]:
    """Return events of many processes in one order.

    The order keeps the sequence of each process. Between processes, events of a
    stream go by offset; wall clocks decide only what is left open.
    """
    by_process: dict[str, dict[int, TimelineEvent]] = {}
    for event in events:
        by_process.setdefault(event.process, {})[event.sequence] = event
    lanes = [
        Lane(events=list(by_process[process].values()))
        for process in sorted(by_process)
    ]
    merged = []
    while any(lane.head is not None for lane in lanes):
        lane = _next_lane(lanes)
        merged.append(lane.head)
        lane.next += 1
    return merged


def _next_lane(lanes: list[Lane]) -> Lane:
    open_lanes = [lane for lane in lanes if lane.head is not None]
    free = [lane for lane in open_lanes if not _blocked(lane, open_lanes)]
    return min(free or open_lanes, key=lambda lane: lane.head.wall_ms)


def _blocked(lane: Lane, lanes: list[Lane]) -> bool:
    head = lane.head
    if head.stream is None or head.offset is None:
        return False
    for other in lanes:
        if other is lane:
            continue
        least = other.least_offset(head.stream)
        if least is not None and least < head.offset:
            return True
    return False


def to_jsonl(events: list[TimelineEvent]) -> bytes:
    """Return one JSON object a line."""
    return b"".join(msgspec.json.encode(event) + b"\n" for event in events)


def from_jsonl(data: bytes) -> list[TimelineEvent]:
    """Return the events of JSON lines; raises `msgspec.MsgspecError`."""
    decoder = msgspec.json.Decoder(TimelineEvent)
    return decoder.decode_lines(data)


def to_page(events: list[TimelineEvent], title: str = "Time line") -> str:
    """Return an HTML page that needs no network."""
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
