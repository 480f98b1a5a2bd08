"""Encodes messages as size-limited, versioned and authenticated frames."""

import hashlib
import hmac
import logging

import msgspec
from result import Err, Ok, Result

from citronpin.basics.decodings import guard_recursion
from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import EntryId
from citronpin.peers.messages import AnyMessage, Message

logger = logging.getLogger(__name__)

FRAME_VERSION = 1
AUTH_TAG_BYTES = 16
FRAME_HEADER_BYTES = 1 + AUTH_TAG_BYTES
MAX_FRAME_BYTES = 512 * 1024


class BadFrame(CitronpinError):
    """A frame is too large, malformed, or of another key or version."""

    kind = "bad-frame"
    remedy = "Check [peers] key and the version of the sending entry."


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender; ``sequence`` increases, also across restarts."""

    sender: EntryId
    sequence: int
    message: AnyMessage


class FrameCodec:
    """Encodes and verifies frames of version, keyed BLAKE2b tag and MessagePack body.

    ``max_bytes`` limits the whole frame, header included.
    """

    def __init__(self, *, key: bytes, max_bytes: int = MAX_FRAME_BYTES) -> None:
        # BLAKE2b limits the length of its key, so the configured key is hashed first.
        self._key = hashlib.blake2b(key, digest_size=32).digest()
        self._max_bytes = max_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decode = guard_recursion(msgspec.msgpack.Decoder(Envelope).decode)

    def encode(
        self, *, sender: EntryId, sequence: int, message: Message
    ) -> Result[bytes, BadFrame]:
        """Return the frame of a message; `Err` if it exceeds the size limit."""
        body = self._encoder.encode(Envelope(sender, sequence, message))
        if len(body) + FRAME_HEADER_BYTES > self._max_bytes:
            return Err(
                BadFrame(f"{type(message).__name__} of {len(body)} bytes is too large.")
            )
        return Ok(bytes([FRAME_VERSION]) + self._tag(body) + body)

    def decode(self, frame: bytes) -> Result[Envelope, BadFrame]:
        """Return the envelope of a frame; `Err` with the reason if it is rejected."""
        if not FRAME_HEADER_BYTES < len(frame) <= self._max_bytes:
            return Err(
                BadFrame(f"A frame of {len(frame)} bytes is too short or too long.")
            )
        if frame[0] != FRAME_VERSION:
            return Err(BadFrame(f"A frame has the unsupported version {frame[0]}."))
        body = frame[FRAME_HEADER_BYTES:]
        if not hmac.compare_digest(frame[1:FRAME_HEADER_BYTES], self._tag(body)):
            return Err(
                BadFrame(
                    "The authentication tag of a frame does not match its body and key."
                )
            )
        try:
            return Ok(self._decode(body))
        except (msgspec.MsgspecError, ValueError) as exc:
            return Err(BadFrame(f"A frame cannot be decoded: {exc}."))

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body,
            digest_size=AUTH_TAG_BYTES,
            key=self._key,
            person=b"citronpin",
            salt=bytes([FRAME_VERSION]),
        ).digest()
