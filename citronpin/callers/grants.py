"""What a caller of a non-repeatable call is granted or told."""

import logging
import uuid
from collections.abc import Callable
from enum import Enum

import msgspec

from citronpin.backends.services import ServiceResponse
from citronpin.basics.errors import Outcome
from citronpin.basics.ids import ApplicationName, CallKey, EntryId, Offset, new_id

logger = logging.getLogger(__name__)

DEFAULT_TYPE = "application/octet-stream"
UUID_VERSION = 7


class Recorded(msgspec.Struct, frozen=True):
    """The call has run; this is its recorded answer.

    An empty ``content_type`` says that the answer's body was too large to keep.
    """

    status: int
    content_type: str
    body: bytes
    offset: Offset
    outcome: Outcome = Outcome.COMPLETE


class Pending(msgspec.Struct, frozen=True):
    """The call is owned by an entry that lives and has not recorded an outcome."""

    owner: EntryId
    offset: Offset
    outcome: Outcome = Outcome.UNKNOWN


class Unknown(msgspec.Struct, frozen=True):
    """Whether the call has run is not known, and its owner will not tell."""

    owner: EntryId
    offset: Offset
    outcome: Outcome = Outcome.UNKNOWN


class KeyReused(msgspec.Struct, frozen=True):
    """The key belongs to another request; this one never runs."""

    detail: str = "The key was used for another request; use a new one."
    outcome: Outcome = Outcome.NOT_RUN


class BadKey(msgspec.Struct, frozen=True):
    """The key is no UUIDv7, so no entry runs a call under it."""

    detail: str = "The idempotency key is no UUIDv7; make a new one for the call."
    outcome: Outcome = Outcome.NOT_RUN


class TooOld(msgspec.Struct, frozen=True):
    """The key's time is outside the window; this request was not run.

    Whether an earlier request under the key ran is not known any more.
    """

    detail: str
    outcome: Outcome = Outcome.UNKNOWN


class Refused(msgspec.Struct, frozen=True):
    """This request was not run and never will be.

    ``outcome`` is *not run* when no earlier request under the key can have run
    either, and *unknown* when that could not be found out.
    """

    detail: str
    outcome: Outcome


class Phase(Enum):
    """How far an attempt at a call has come."""

    WAITING = "waiting"  # for its intent to be decided
    OWNED = "owned"  # may be dispatched
    DISPATCHED = "dispatched"
    FINISHED = "finished"  # has an outcome that is to be recorded
    REFUSED = "refused"  # never dispatched; its intent may still turn up
    ENDED = "ended"  # nothing of it is open


class Attempt:
    """One try of this entry to own a call."""

    def __init__(
        self,
        *,
        id: str,
        key: CallKey,
        digest: str,
        application: ApplicationName,
        first: bool,
        done: Callable[[object], None],
    ) -> None:
        self.id = id
        self.key = key
        self.digest = digest
        self.application = application
        self.first = first
        self.phase = Phase.WAITING
        self.outcome: Outcome | None = None
        self.answer: ServiceResponse | None = None
        self.forwarded = False  # the holder may have appended its intent
        self.proposed = False  # this entry may have
        self._done: Callable[[object], None] | None = done

    @property
    def told(self) -> bool:
        """Return whether the caller got an answer."""
        return self._done is None

    @property
    def maybe_appended(self) -> bool:
        """Return whether its intent may be in the log now or later."""
        return self.forwarded or self.proposed

    def tell(self, grant) -> None:
        """Give the caller its answer, once."""
        done, self._done = self._done, None
        if done is not None:
            done(grant)


class Owned:
    """The right to dispatch a call once; it ends with its attempt."""

    outcome = Outcome.UNKNOWN

    def __init__(self, *, calls, attempt: Attempt, until_s: float, offset: Offset):
        self._calls = calls
        self._attempt = attempt
        self.key = attempt.key
        self.until_s = until_s
        self.offset = offset

    def dispatch(self) -> bool:
        """Take the right to dispatch; ask right before the first byte.

        False when the grant has expired or the call was dispatched before.
        """
        return self._calls.dispatch(self._attempt, self.until_s, self.offset)

    def retract(self) -> None:
        """Give the right back: it is proved that the dispatch had no effect."""
        self._calls.retract(self._attempt)

    def finish(self, outcome: Outcome, answer: ServiceResponse | None) -> None:
        """Record what became of the dispatched call."""
        self._calls.finish(self._attempt, outcome, answer)

    def abandon(self) -> None:
        """Record that the call did not run and will not run by this grant."""
        self._calls.finish(self._attempt, Outcome.NOT_RUN, None)


def content_type(answer: ServiceResponse) -> str:
    """Return the content type of a service's answer."""
    return answer.headers.get("content-type", DEFAULT_TYPE)


def attempt_id(wall_ms: int) -> str:
    """Return a fresh attempt id that begins with its time."""
    return f"{wall_ms:012x}{new_id()[-12:]}"


def attempt_time_ms(attempt: str) -> int:
    """Return the time in an attempt id, 0 when it has none."""
    try:
        return int(attempt[:12], 16)
    except ValueError:
        return 0


def recorded_answer(answer: ServiceResponse, offset: Offset) -> Recorded:
    """Return what a caller is told of an answer that this entry has."""
    return Recorded(answer.status, content_type(answer), answer.body, offset)


def canonical_key(key: str) -> CallKey | None:
    """Return the one form of a UUIDv7 key, or ``None`` for anything else."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != UUID_VERSION:
        return None
    return CallKey(str(value))
