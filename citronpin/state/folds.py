"""The folds by stream, and the digest of a folded state."""

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
    """Return the rules of a stream by its name."""
    kind = stream.partition(".")[0]
    return {"config": ConfigFold, "control": ControlFold, "calls": CallsFold}[kind]()


def _plain(value):
    if isinstance(value, Map):
        return sorted(([key, item] for key, item in value.items()), key=_map_key)
    raise NotImplementedError(f"{type(value)} has no plain form")


def _map_key(pair):
    return str(pair[0])


def encode_state(state: StreamState) -> bytes:
    """Return the same bytes for the same state on every entry."""
    return msgspec.msgpack.encode(state, enc_hook=_plain)


def state_digest(state: StreamState) -> str:
    """Return a digest that is the same for the same state on every entry."""
    return xxhash.xxh3_128_hexdigest(encode_state(state))
