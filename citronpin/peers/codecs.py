"""Frames between entries: bounded, versioned and authenticated."""

import hashlib
import hmac
import logging

import msgspec
from result import Err, Ok, Result

from citronpin.basics.decodings import bounded
from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import EntryId
from citronpin.peers.messages import AnyMessage, Message

logger = logging.getLogger(__name__)

FRAME_VERSION = 1
TAG_BYTES = 16
HEAD_BYTES = 1 + TAG_BYTES
MAX_FRAME_BYTES = 512 * 1024


class BadFrame(CitronpinError):
    """A frame that is not from an entry with the same key and version."""

    kind = "bad-frame"
    remedy = "Check [peers] key and the version of the sending entry."


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender; ``sequence`` only rises, also over restarts."""

    sender: EntryId
    sequence: int
    message: AnyMessage


class FrameCodec:
    """Encodes and checks frames: version, keyed BLAKE2b tag, MessagePack."""

    def __init__(self, *, key: bytes, max_bytes: int = MAX_FRAME_BYTES) -> None:
        # A digest brings keys of any length to one that BLAKE2b takes.
        self._key = hashlib.blake2b(key, digest_size=32).digest()
        self._max_bytes = max_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decode = bounded(msgspec.msgpack.Decoder(Envelope).decode)

    def encode(
        self, *, sender: EntryId, sequence: int, message: Message
    ) -> Result[bytes, BadFrame]:
        """Return the frame of a message; `Err` when it is over the bound."""
        body = self._encoder.encode(Envelope(sender, sequence, message))
        if len(body) + HEAD_BYTES > self._max_bytes:
            return Err(BadFrame(f"{type(message).__name__} has {len(body)} bytes."))
        return Ok(bytes([FRAME_VERSION]) + self._tag(body) + body)

    def decode(self, frame: bytes) -> Result[Envelope, BadFrame]:
        """Return the envelope of a frame, or why it is not accepted."""
        if not HEAD_BYTES < len(frame) <= self._max_bytes:
            return Err(BadFrame(f"A frame has {len(frame)} bytes."))
        if frame[0] != FRAME_VERSION:
            return Err(BadFrame(f"A frame has version {frame[0]}."))
        body = frame[HEAD_BYTES:]
        if not hmac.compare_digest(frame[1:HEAD_BYTES], self._tag(body)):
            return Err(BadFrame("A frame has another key."))
        try:
            return Ok(self._decode(body))
        except (msgspec.MsgspecError, ValueError) as exc:
            return Err(BadFrame(f"A frame cannot be read: {exc}."))

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body,
            digest_size=TAG_BYTES,
            key=self._key,
            person=b"citronpin",
            salt=bytes([FRAME_VERSION]),
        ).digest()
