"""Decodes folded states and checks their digests; encodes snapshots for peers."""

import logging
from typing import Any

import msgspec
import xxhash
from immutables import Map
from result import Err, Ok, Result

from citronpin.basics.decodings import guard_recursion
from citronpin.basics.errors import ProtocolFault
from citronpin.basics.ids import StreamName
from citronpin.state.folds import encode_state, fold_for, state_digest
from citronpin.state.records import FORMAT_VERSION, ScopeChange
from citronpin.state.states import (
    AcceptedManifest,
    AnnouncedEntry,
    Call,
    CallsState,
    ConfigState,
    ControlState,
    Group,
    StreamState,
    WriterProgress,
)

logger = logging.getLogger(__name__)

# Author and count of parts; parts by number; offset of the first part.
PendingChange = tuple[
    tuple[str, int], tuple[tuple[int, tuple[ScopeChange, ...]], ...], int
]

MAP_VALUE_TYPES: dict[type[StreamState], dict[str, Any]] = {
    ConfigState: {
        "writers": WriterProgress,
        "manifests": AcceptedManifest,
        "bases": int,
        "entries": AnnouncedEntry,
        "parts": PendingChange,
    },
    ControlState: {
        "writers": WriterProgress,
        "groups": Group,
        "assigned": str,
        "barred": str,
    },
    CallsState: {"writers": WriterProgress, "calls": Call},
}


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The encoded state of a stream, with the digest of those bytes."""

    format: int
    stream: StreamName
    digest: str
    state: bytes


def encode_snapshot(stream: StreamName, state: StreamState) -> bytes:
    """Return a state as an encoded snapshot."""
    snapshot = Snapshot(
        format=FORMAT_VERSION,
        stream=stream,
        digest=state_digest(state),
        state=encode_state(state),
    )
    return msgspec.msgpack.encode(snapshot)


_decode_snapshot = guard_recursion(msgspec.msgpack.Decoder(Snapshot).decode)
_decode_field_map = guard_recursion(msgspec.msgpack.Decoder(dict[str, Any]).decode)


def decode_snapshot(
    stream: StreamName, payload: bytes
) -> Result[StreamState, ProtocolFault]:
    """Return the state in an encoded snapshot.

    The error tells that the snapshot is malformed, of another format or stream, or
    differs from its digest.
    """
    try:
        snapshot = _decode_snapshot(payload)
    except msgspec.MsgspecError as exc:
        return Err(ProtocolFault(f"The snapshot cannot be read: {exc}."))
    if (snapshot.format, snapshot.stream) != (FORMAT_VERSION, stream):
        return Err(ProtocolFault("The snapshot is of another format or stream."))
    return decode_state(stream, snapshot.state, snapshot.digest)


def decode_state(
    stream: StreamName, encoded: bytes, digest: str
) -> Result[StreamState, ProtocolFault]:
    """Return the state of a stream from its encoded form.

    The digest is checked twice: on the bytes, and on the decoded state encoded again,
    so that a state which decodes to something else is not used.
    """
    if xxhash.xxh3_128_hexdigest(encoded) != digest:
        return Err(ProtocolFault(f"A state of {stream} differs from its digest."))
    kind = type(fold_for(stream).empty())
    try:
        fields = _decode_field_map(encoded)
        for name, values in MAP_VALUE_TYPES[kind].items():
            pairs = msgspec.convert(fields[name], list[tuple[str, values]])
            fields[name] = Map(pairs)
        state = msgspec.convert(fields, kind)
    except (msgspec.MsgspecError, KeyError) as exc:
        return Err(ProtocolFault(f"A state of {stream} cannot be read: {exc}."))
    if state_digest(state) != digest:
        return Err(ProtocolFault(f"A state of {stream} differs from its digest."))
    return Ok(state)
