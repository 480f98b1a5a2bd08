"""Recognises a request that comes again, without keeping its body."""

import hashlib
import logging
import secrets

from citronpin.basics.ids import CustomerName, RequestFingerprint
from citronpin.web.replies import HttpRequest

logger = logging.getLogger(__name__)

PREFIX = "request-"  # tells fingerprints from ids of prompt parts
FINGERPRINT_BYTES = 8
KEY_BYTES = 32
FIELD_LENGTH_BYTES = 8


class Fingerprints:
    """Makes keyed hashes of requests, the same at all entries that share the key.

    Until a key is set, those of an entry are its own.
    """

    def __init__(self) -> None:
        self._key = secrets.token_bytes(KEY_BYTES)

    def set_key(self, key: bytes) -> None:
        """Use a key that all entries share for all further fingerprints."""
        self._key = hashlib.blake2b(
            key, digest_size=KEY_BYTES, person=b"fingerprints"
        ).digest()

    def of(self, req: HttpRequest, customer: CustomerName | None) -> RequestFingerprint:
        """Return the fingerprint of a request's method, target, caller and body."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, key=self._key)
        for field in (
            req.method.encode(),
            req.headers.get("host", "").encode(),
            req.target.encode(),
            (customer or "").encode(),
            req.body,
        ):
            # With its length, no field can take over a part of the next one.
            digest.update(len(field).to_bytes(FIELD_LENGTH_BYTES, "big"))
            digest.update(field)
        return RequestFingerprint(PREFIX + digest.hexdigest())


def is_fingerprint(key: str) -> bool:
    """Return whether a key is the fingerprint of a request."""
    return key.startswith(PREFIX)
