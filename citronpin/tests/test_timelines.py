"""Tests of merging, exporting and rendering time line events."""

import random

from hypothesis import given, settings, strategies as st

from citronpin.basics.events import EventKind, TimelineEvent
from citronpin.basics.timelines import from_jsonl, merge_events, to_jsonl, to_page


def _events(skews_ms: list[int], count: int, seed: int) -> list[TimelineEvent]:
    """Return the events of processes with skewed clocks that all read one stream."""
    rng = random.Random(seed)
    events = []
    for number, skew_ms in enumerate(skews_ms):
        now_ms = 1_000 + skew_ms
        for sequence in range(1, count + 1):
            now_ms += rng.randrange(1, 50)
            events.append(
                TimelineEvent(
                    process=f"entry-{number}",
                    sequence=sequence,
                    wall_ms=now_ms,
                    kind=EventKind.GROUP_STATE,
                    stream="control.a" if sequence % 2 else None,
                    offset=sequence if sequence % 2 else None,
                )
            )
    rng.shuffle(events)
    return events


@settings(derandomize=True, max_examples=40)
@given(
    st.lists(st.integers(-5_000, 5_000), min_size=1, max_size=5),
    st.integers(1, 12),
    st.integers(0, 100),
)
def test_order_keeps_sequences_and_offsets_whatever_the_clocks(skews, count, seed):
    merged = merge_events(_events(skews, count, seed))
    assert len(merged) == len(skews) * count
    for process in {event.process for event in merged}:
        own = [event.sequence for event in merged if event.process == process]
        assert own == sorted(own)
    offsets = [event.offset for event in merged if event.offset is not None]
    assert offsets == sorted(offsets)


def test_duplicate_events_are_merged_into_one():
    events = _events([0, 10], 3, 1)
    assert len(merge_events(events + events)) == 6


def test_page_and_json_lines_contain_every_event():
    events = merge_events(_events([0], 4, 1))
    assert from_jsonl(to_jsonl(events)) == events
    page = to_page(events)
    assert page.count('data-process="entry-0"') == 4
    assert "http://" not in page and "https://" not in page
