"""Tests of the events of a stream and of bytes that are no event."""

import pytest
from hypothesis import given, settings, strategies as st

from citronpin.gateway.event_streams import (
    MAX_EVENT_BYTES,
    EventSplitter,
    InvalidEvent,
)
from citronpin.tests.platforms.requests import event, whole_stream

NOT_EVENTS = [
    b"\x00\xff\n\n",
    b"text\n\n",
    b"text",
    b"data: without an id\n\n",
    b"id: x\ndata: a\n\n",
    b"id: -1\ndata: a\n\n",
    b"id:\ndata: a\n\n",
    b"id: 3\nid: 4\ndata: a\n\n",
    b"HTTP/1.1 500 Internal Server Error\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    b'{"error": "out of memory"}',
    b"text\n" + event(3),
    b"\xff" + event(3),
    b"id: 3\ndata: \xff\xfe\n\n",
    b"id: 3\nx-other: 1\ndata: a\n\n",
    b"0\r\n\r\n",
]


def fed(splitter, pieces):
    return [found for piece in pieces for found in splitter.feed(piece)]


def cut(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


@pytest.mark.parametrize("size", [1, 3, 7, 10_000])
def test_events_are_found_in_pieces_of_any_size(size):
    splitter = EventSplitter()
    found = fed(splitter, cut(whole_stream(), size))
    assert b"".join(one.data for one in found) == whole_stream()
    assert [one.number for one in found] == list(range(11))
    assert not splitter.partial


# Guards against bytes that are no event in the answer of a client: review/2.
@pytest.mark.parametrize("size", [1, 3, 10_000])
@pytest.mark.parametrize("sound", [0, 2])
@pytest.mark.parametrize("foreign", NOT_EVENTS)
def test_bytes_that_are_no_event_follow_the_last_event_as_an_error(
    foreign, sound, size
):
    splitter, found = EventSplitter(), []
    before = whole_stream(sound - 1)
    with pytest.raises(InvalidEvent):
        for piece in cut(before + foreign + event(sound), size):
            found += splitter.feed(piece)
    assert b"".join(one.data for one in found) == before


@pytest.mark.parametrize(
    "between", [b"\n", b"\n\n\n", b": comment\n\n", b":\n", b":\xff\n\n"]
)
def test_comments_and_empty_lines_are_not_passed_on(between):
    found = fed(EventSplitter(), [event(0) + between + event(1) + between])
    assert [one.data for one in found] == [event(0), event(1)]


def test_an_event_may_begin_with_the_version_of_the_weights():
    data = b"x-versions: 4\nid: 0\nevent: piece\ndata: a\ndata: b\n\n"
    (found,) = EventSplitter(more_fields=("x-versions",)).feed(data)
    assert (found.data, found.number) == (data, 0)
    with pytest.raises(InvalidEvent):
        list(EventSplitter().feed(data))


def test_an_event_without_an_end_is_given_up_at_its_bound():
    splitter = EventSplitter()
    with pytest.raises(InvalidEvent):
        fed(splitter, [b"id: 0\ndata: "] + [b"x" * 65_536] * 17)
    assert len(splitter._buffer) <= MAX_EVENT_BYTES + 65_536


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=60), st.integers(0, 3), st.integers(1, 9))
def test_no_foreign_byte_is_ever_part_of_an_event(foreign, before, size):
    splitter, found = EventSplitter(), []
    data = whole_stream(before) + foreign + event(before + 1)
    try:
        for piece in cut(data, size):
            found += splitter.feed(piece)
    except InvalidEvent:
        pass
    passed_on = b"".join(one.data for one in found)
    assert whole_stream(before + 1).startswith(passed_on)
    assert passed_on.startswith(whole_stream(before))
