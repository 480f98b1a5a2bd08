"""Selects the fold of a stream; encodes folded states and computes their digests."""

import logging

import msgspec
import xxhash
from immutables import Map

from citronpin.basics.ids import StreamName
from citronpin.state.calls_folds import MAX_OUTCOME_BYTES, CallsFold, key_time_ms
from citronpin.state.config_folds import ConfigFold, scope_base
from citronpin.state.control_folds import ControlFold
from citronpin.state.rules import Fold, Rejected, late_reason
from citronpin.state.states import StreamState

logger = logging.getLogger(__name__)

__all__ = [
    "MAX_OUTCOME_BYTES",
    "CallsFold",
    "ConfigFold",
    "ControlFold",
    "Fold",
    "Rejected",
    "encode_state",
    "fold_for",
    "key_time_ms",
    "late_reason",
    "scope_base",
    "state_digest",
]


def fold_for(stream: StreamName) -> Fold:
    """Return the fold of a stream, chosen by the first part of the stream's name."""
    kind = stream.partition(".")[0]
    return {"config": ConfigFold, "control": ControlFold, "calls": CallsFold}[kind]()


def _encode_map(value):
    if isinstance(value, Map):
        return sorted(([key, item] for key, item in value.items()), key=_pair_key)
    raise NotImplementedError(f"{type(value)} cannot be encoded in a state")


def _pair_key(pair):
    return str(pair[0])


def encode_state(state: StreamState) -> bytes:
    """Return the MessagePack form of a state, the same on every entry.

    Maps are written as lists of pairs, sorted by key.
    """
    return msgspec.msgpack.encode(state, enc_hook=_encode_map)


def state_digest(state: StreamState) -> str:
    """Return the XXH3-128 digest of the encoded state, in hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(encode_state(state))
