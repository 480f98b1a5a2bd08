"""Property tests of the reassembly of frames."""

from hypothesis import given, settings, strategies as st

from citronpin.backends.engines import Frame
from citronpin.backends.streams import Reassembler


def _frames(texts, attempt=0, request="r"):
    frames = [
        Frame(request=request, attempt=attempt, sequence=number, text=text, tokens=1)
        for number, text in enumerate(texts)
    ]
    end = Frame(request=request, attempt=attempt, sequence=len(texts), final=True)
    return [*frames, end]


@st.composite
def arrivals(draw):
    """An answer and the segments in which its frames arrive, with faults."""
    texts = draw(st.lists(st.text("abc", max_size=3), max_size=12))
    own = _frames(texts)
    foreign = _frames(["X"] * 14, attempt=1) + _frames(["Y"] * 14, request="other")
    foreign += [  # beyond the final frame
        Frame(request="r", attempt=0, sequence=len(own) + more, text="Z")
        for more in range(3)
    ]
    kept = [frame for frame in own if draw(st.integers(0, 9))]
    extra = draw(st.lists(st.sampled_from(own + foreign), max_size=10))
    order = draw(st.permutations(kept + extra))
    cut = draw(st.integers(1, 5))
    segments = [order[i : i + cut] for i in range(0, len(order), cut)]
    return own, segments


@settings(max_examples=300, deadline=None, derandomize=True)
@given(arrivals(), st.sampled_from([1, 3, 1_024]))
def test_what_is_delivered_is_always_the_start_of_the_answer(drawn, window):
    own, segments = drawn
    reassembler = Reassembler(request="r", attempt=0, window=window)
    got = []
    for segment in segments:
        got += reassembler.take(segment)
        assert got == own[: len(got)]
        assert len(reassembler._held) < window
    assert reassembler.complete == (got == own)
    assert reassembler.next_sequence == len(got)
    arrived = sum(segments, [])
    if window > len(own) and all(frame in arrived for frame in own):
        assert reassembler.complete


@settings(max_examples=100, deadline=None, derandomize=True)
@given(arrivals(), st.integers(1, 4))
def test_asking_again_from_the_first_missing_frame_completes_it(drawn, window):
    own, segments = drawn
    reassembler = Reassembler(request="r", attempt=0, window=window)
    got = [frame for segment in segments for frame in reassembler.take(segment)]
    got += reassembler.take(own[reassembler.next_sequence :])
    assert got == own and reassembler.complete
