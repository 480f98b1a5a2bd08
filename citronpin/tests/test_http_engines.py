"""Tests of the frame parser and of the errors made from responses."""

import pytest

from citronpin.backends.engines import Frame, FrameSink
from citronpin.backends.http_engines import MAX_LINE_BYTES, FrameParser, response_error
from citronpin.basics.errors import (
    BadSubmission,
    EngineRefused,
    Outcome,
    ProtocolFault,
    StaleFence,
)

LINES = b"".join(
    b'{"request":"r","attempt":0,"sequence":%d,"text":"\xc3\xa9","more":1}\n' % number
    for number in range(3)
)


class RecordingFrameSink(FrameSink):
    """Records the frames of each call and the ends."""

    def __init__(self):
        self.calls = []
        self.ends = []

    def frames(self, frames):
        self.calls.append(frames)

    def ended(self, error):
        self.ends.append(error)


@pytest.fixture
def frame_sink():
    return RecordingFrameSink()


@pytest.fixture
def parser(frame_sink, paused_clock):
    parser = FrameParser(address="a", sink=frame_sink, clock=paused_clock)
    parser.head(200, {})
    return parser


@pytest.mark.parametrize("cut", range(1, len(LINES), 7))
def test_frames_are_parsed_wherever_segments_end(parser, frame_sink, cut):
    parser.data(LINES[:cut])
    parser.data(LINES[cut:])
    parser.end()
    assert sum(frame_sink.calls, []) == [
        Frame(request="r", attempt=0, sequence=number, text="\xe9")
        for number in range(3)
    ]
    assert frame_sink.ends == [None]


def test_frames_of_a_segment_are_delivered_in_one_call(parser, frame_sink):
    parser.data(LINES)
    assert [len(frames) for frames in frame_sink.calls] == [3]


@pytest.mark.parametrize(
    "data", [LINES[:-1], b"{]\n", b'{"request":1}\n', b"x" * (MAX_LINE_BYTES + 1)]
)
def test_incomplete_malformed_and_overlong_lines_are_protocol_faults(
    parser, frame_sink, data
):
    parser.data(data)
    parser.end()
    parser.data(LINES)
    (error,) = frame_sink.ends
    assert isinstance(error, ProtocolFault) and len(frame_sink.calls) < 2


@pytest.mark.parametrize(
    "status, kind, error, outcome",
    [
        (409, "stale-fence", StaleFence, Outcome.NOT_RUN),
        (409, "wrong-group", EngineRefused, Outcome.NOT_RUN),
        (503, "", EngineRefused, Outcome.NOT_RUN),
        (400, "bad-submission", BadSubmission, Outcome.UNKNOWN),
        (500, "stale-fence", ProtocolFault, Outcome.UNKNOWN),
        (502, "", ProtocolFault, Outcome.UNKNOWN),
    ],
)
def test_only_refusals_prove_that_nothing_was_run(status, kind, error, outcome):
    found = response_error("a", status, b'{"kind":"%b"}' % kind.encode())
    assert type(found) is error and found.outcome is outcome
    assert response_error("a", status, b"<html>").outcome is outcome
