"""Encodes the description of a forwarded request for a header, authenticated."""

import base64
import binascii
import logging
from collections.abc import Iterable
from urllib.parse import quote, unquote

from result import Err, Ok, Result

from citronpin.basics.errors import CitronpinError
from citronpin.basics.ids import EntryId
from citronpin.peers.codecs import BadFrame, FrameCodec
from citronpin.peers.messages import ForwardedRequest

logger = logging.getLogger(__name__)

FORWARDED_HEADER = "citronpin-forwarded"  # marks the only hop between entries
REFUSAL_HEADER = "citronpin-refusal"  # kind of a refusal of the other entry itself
# In such a refusal, names of entries that take requests for the service.
NEXT_HOPS_HEADER = "citronpin-next-hops"
ENTRY_HEADERS = frozenset({FORWARDED_HEADER, REFUSAL_HEADER, NEXT_HOPS_HEADER})


def encode_names(entries: Iterable[EntryId]) -> str:
    """Return a header value that lists entries."""
    return ",".join(quote(entry, safe="") for entry in entries)


def decode_names(text: str) -> list[EntryId]:
    """Return the entries that a header value lists."""
    return [EntryId(unquote(name)) for name in text.split(",") if name]


class NotForwarded(CitronpinError):
    """A request does not come from another entry of this system."""

    kind = "not-forwarded"
    remedy = "Send requests of callers to the address for callers."


class ForwardCodec:
    """Encodes the description as text, authenticated by the key of the frames."""

    def __init__(self, *, entry: EntryId) -> None:
        self._entry = entry
        self._codec: FrameCodec | None = None
        self._sequence = 0

    def set_key(self, key: bytes) -> None:
        """Authenticate all further descriptions with a key that all entries share."""
        self._codec = FrameCodec(key=key)

    @property
    def has_key(self) -> bool:
        """Return whether requests can be passed on."""
        return self._codec is not None

    def encode(self, message: ForwardedRequest) -> str:
        """Return the header value of a description."""
        self._sequence += 1
        result = self._codec.encode(
            sender=self._entry, sequence=self._sequence, message=message
        )
        return base64.b64encode(result.unwrap()).decode()

    def decode(
        self, text: str
    ) -> Result[tuple[EntryId, ForwardedRequest], CitronpinError]:
        """Return the sender and the description of a header value."""
        if self._codec is None:
            return Err(NotForwarded("The key of the entries is not known yet."))
        try:
            frame = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError) as exc:
            return Err(BadFrame(f"The header is not base64: {exc}."))
        result = self._codec.decode(frame)
        if result.is_err():
            return result
        envelope = result.unwrap()
        if not isinstance(envelope.message, ForwardedRequest):
            return Err(NotForwarded("The header describes no request."))
        return Ok((envelope.sender, envelope.message))
