"""Tests of the encoding and verification of frames between entries."""

import pytest
from hypothesis import given, settings, strategies as st

from citronpin.basics.ids import EntryId
from citronpin.peers.codecs import FRAME_HEADER_BYTES, FrameCodec
from citronpin.peers.messages import Broadcast, Heartbeat

CODEC = FrameCodec(key=b"secret")
FRAME = CODEC.encode(
    sender=EntryId("a"), sequence=7, message=Heartbeat(stamp=5, offsets={"config": 3})
).unwrap()


def test_frame_round_trip_keeps_sender_sequence_and_message():
    envelope = CODEC.decode(FRAME).unwrap()
    assert (envelope.sender, envelope.sequence) == ("a", 7)
    assert envelope.message == Heartbeat(stamp=5, offsets={"config": 3})


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(0, len(FRAME) - 1), st.integers(1, 255))
def test_any_changed_byte_is_refused(place, flip):
    damaged = bytearray(FRAME)
    damaged[place] ^= flip
    assert CODEC.decode(bytes(damaged)).is_err()


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.binary(max_size=200))
def test_noise_with_a_right_tag_is_refused(noise):
    signed = FRAME[:1] + CODEC._tag(noise) + noise
    assert CODEC.decode(signed).is_err()


@pytest.mark.parametrize("frame", [b"", FRAME[:FRAME_HEADER_BYTES], FRAME + b"x"])
def test_frame_of_wrong_length_is_refused(frame):
    assert CODEC.decode(frame).is_err()


def test_other_key_and_oversized_frames_are_refused():
    assert FrameCodec(key=b"other").decode(FRAME).is_err()
    small = FrameCodec(key=b"secret", max_bytes=FRAME_HEADER_BYTES + 40)
    assert small.decode(FRAME).is_ok()
    oversized = Broadcast(origin="a", number=1, topic="t", payload=b"x" * 60)
    assert small.encode(sender=EntryId("a"), sequence=1, message=oversized).is_err()
    assert small.decode(FRAME + b"x" * 60).is_err()
