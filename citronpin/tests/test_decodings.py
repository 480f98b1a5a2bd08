"""Tests that every decoder treats input nested too deeply as malformed.

Without a guard, `msgspec` raises `RecursionError`, which the callers do not catch.
"""

import msgspec
import pytest

from citronpin.basics.decodings import decode_json, guard_recursion
from citronpin.basics.refusals import BadBody
from citronpin.callers.chats import read_chat
from citronpin.peers.codecs import FrameCodec
from citronpin.state.records import decode_record
from citronpin.web.replies import HttpRequest

NESTING_DEPTH = 30_000
DEEP_JSON = b"[" * NESTING_DEPTH
DEEP_MSGPACK = b"\x91" * NESTING_DEPTH  # arrays of one element


def test_deep_json_is_a_decode_error():
    with pytest.raises(msgspec.DecodeError, match="nested"):
        decode_json(DEEP_JSON)


def test_valid_input_is_decoded():
    assert guard_recursion(msgspec.json.decode)(b"[1]") == [1]


def test_a_deep_body_of_a_caller_is_refused_as_not_run():
    with pytest.raises(BadBody) as excinfo:
        read_chat(DEEP_JSON)
    assert excinfo.value.status == 400 and excinfo.value.outcome.value == "not-run"


def test_a_deep_body_of_a_request_is_a_decode_error():
    req = HttpRequest("POST", "/", "/", {}, {}, DEEP_JSON, "")
    with pytest.raises(msgspec.DecodeError):
        req.json()


def test_a_deep_frame_of_an_entry_is_refused():
    codec = FrameCodec(key=b"key")
    body = DEEP_MSGPACK
    frame = bytes([1]) + codec._tag(body) + body
    assert codec.decode(frame).is_err()


def test_a_deep_record_is_a_decode_error():
    with pytest.raises(msgspec.MsgspecError):
        decode_record(DEEP_MSGPACK)
