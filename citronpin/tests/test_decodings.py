"""Deeply nested input is malformed input, for every decoder."""

import msgspec
import pytest

from citronpin.basics.decodings import decode_json, guard_recursion
from citronpin.basics.refusals import BadBody
from citronpin.callers.chats import read_chat
from citronpin.peers.codecs import FrameCodec
from citronpin.state.records import decode_record
from citronpin.web.replies import HttpRequest

DEPTH = 30_000
DEEP_JSON = b"[" * DEPTH
DEEP_PACK = b"\x91" * DEPTH  # arrays of one element


def test_deep_json_is_a_decode_error():
    with pytest.raises(msgspec.DecodeError, match="nested"):
        decode_json(DEEP_JSON)


def test_sound_input_is_decoded():
    assert guard_recursion(msgspec.json.decode)(b"[1]") == [1]


def test_a_deep_body_of_a_caller_is_refused_as_not_run():
    with pytest.raises(BadBody) as caught:
        read_chat(DEEP_JSON)
    assert caught.value.status == 400 and caught.value.outcome.value == "not-run"


def test_a_deep_body_of_a_request_is_a_decode_error():
    req = HttpRequest("POST", "/", "/", {}, {}, DEEP_JSON, "")
    with pytest.raises(msgspec.DecodeError):
        req.json()


def test_a_deep_frame_of_an_entry_is_refused():
    codec = FrameCodec(key=b"key")
    body = DEEP_PACK
    frame = bytes([1]) + codec._tag(body) + body
    assert codec.decode(frame).is_err()


def test_a_deep_record_is_a_decode_error():
    with pytest.raises(msgspec.MsgspecError):
        decode_record(DEEP_PACK)
