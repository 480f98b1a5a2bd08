"""Attempts at non-repeatable calls, and the grants that `Calls.begin` passes back.

The grant is `Owned` when the call may be dispatched, else it says why not.
"""

import logging
import uuid
from collections.abc import Callable
from enum import Enum

import msgspec

from citronpin.backends.services import ServiceResponse
from citronpin.basics.errors import Outcome
from citronpin.basics.ids import ApplicationName, CallKey, EntryId, Offset, new_id

logger = logging.getLogger(__name__)

DEFAULT_CONTENT_TYPE = "application/octet-stream"
KEY_UUID_VERSION = 7


class Recorded(msgspec.Struct, frozen=True):
    """The call has run; this is its recorded answer.

    ``content_type`` is empty when the body was too large to store.
    """

    status: int
    content_type: str
    body: bytes
    offset: Offset
    outcome: Outcome = Outcome.COMPLETE


class Pending(msgspec.Struct, frozen=True):
    """The call is owned by a live entry that has not recorded an outcome yet."""

    owner: EntryId
    offset: Offset
    outcome: Outcome = Outcome.UNKNOWN


class Unknown(msgspec.Struct, frozen=True):
    """Whether the call has run is unknown, and its owner will not report it."""

    owner: EntryId
    offset: Offset
    outcome: Outcome = Outcome.UNKNOWN


class KeyReused(msgspec.Struct, frozen=True):
    """The key was used for another request; this one never runs."""

    detail: str = "The key was used for another request; use a new one."
    outcome: Outcome = Outcome.NOT_RUN


class BadKey(msgspec.Struct, frozen=True):
    """The key is not a UUIDv7, so no entry runs a call under it."""

    detail: str = "The idempotency key is no UUIDv7; make a new one for the call."
    outcome: Outcome = Outcome.NOT_RUN


class TooOld(msgspec.Struct, frozen=True):
    """The key's time is outside the window; this request was not run.

    Whether an earlier request under the key has run is unknown.
    """

    detail: str
    outcome: Outcome = Outcome.UNKNOWN


class Refused(msgspec.Struct, frozen=True):
    """This request never runs, because the log did not decide its intent.

    ``outcome`` is *not run* when the caller declared this its first try of the key,
    and *unknown* when an earlier request under the key may have run.
    """

    detail: str
    outcome: Outcome


class Phase(Enum):
    """The phase of an attempt at a call."""

    WAITING = "waiting"  # for the log to decide its intent
    OWNED = "owned"  # holds a grant and may be dispatched
    DISPATCHED = "dispatched"
    FINISHED = "finished"  # has an outcome that is not recorded yet
    REFUSED = "refused"  # never dispatched; its intent may still reach the log
    ENDED = "ended"  # nothing is left to do


class Attempt:
    """One attempt of this entry to own a call; ``done`` gets its grant once."""

    def __init__(
        self,
        *,
        id: str,
        key: CallKey,
        digest: str,
        application: ApplicationName,
        is_first_try: bool,
        done: Callable[[object], None],
    ) -> None:
        self.id = id
        self.key = key
        self.digest = digest
        self.application = application
        self.is_first_try = is_first_try
        self.phase = Phase.WAITING
        self.outcome: Outcome | None = None
        self.answer: ServiceResponse | None = None
        self.forwarded = False  # its intent may be appended by the holder
        self.proposed = False  # its intent may be appended by this entry
        self._done: Callable[[object], None] | None = done

    @property
    def is_resolved(self) -> bool:
        """Return whether the attempt's grant was passed to the caller."""
        return self._done is None

    @property
    def maybe_appended(self) -> bool:
        """Return whether the attempt's intent may be in the log now or later."""
        return self.forwarded or self.proposed

    def resolve(self, grant) -> None:
        """Pass the grant to the caller; later calls do nothing."""
        done, self._done = self._done, None
        if done is not None:
            done(grant)


class Owned:
    """The right to dispatch a call once, until ``expires_s`` on the entry's clock.

    ``offset`` is the log offset of the intent.
    """

    outcome = Outcome.UNKNOWN

    def __init__(self, *, calls, attempt: Attempt, expires_s: float, offset: Offset):
        self._calls = calls
        self._attempt = attempt
        self.key = attempt.key
        self.expires_s = expires_s
        self.offset = offset

    def dispatch(self) -> bool:
        """Use the right to dispatch and return whether the call may be sent.

        Call it right before the first byte is sent: it returns ``False`` when the
        grant has expired or the call was dispatched before.
        """
        return self._calls.dispatch(self._attempt, self.expires_s, self.offset)

    def retract(self) -> None:
        """Give the right back after a dispatch that is proved to have had no effect."""
        self._calls.retract(self._attempt)

    def finish(self, outcome: Outcome, answer: ServiceResponse | None) -> None:
        """Record the outcome of the dispatched call and its answer, if any."""
        self._calls.finish(self._attempt, outcome, answer)

    def abandon(self) -> None:
        """Record that the call did not run and will not run under this grant."""
        self._calls.finish(self._attempt, Outcome.NOT_RUN, None)


def content_type(answer: ServiceResponse) -> str:
    """Return the content type of a service's answer, or the default."""
    return answer.headers.get("content-type", DEFAULT_CONTENT_TYPE)


def attempt_id(wall_ms: int) -> str:
    """Return a new attempt id that starts with ``wall_ms`` as 12 hexadecimal digits."""
    return f"{wall_ms:012x}{new_id()[-12:]}"


def attempt_time_ms(attempt: str) -> int:
    """Return the time in an attempt id in milliseconds, 0 for another form."""
    try:
        return int(attempt[:12], 16)
    except ValueError:
        return 0


def recorded_answer(answer: ServiceResponse, offset: Offset) -> Recorded:
    """Return the grant for an answer that this entry has received itself."""
    return Recorded(answer.status, content_type(answer), answer.body, offset)


def canonical_key(key: str) -> CallKey | None:
    """Return a UUIDv7 key in its canonical form, or ``None`` for anything else."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != KEY_UUID_VERSION:
        return None
    return CallKey(str(value))
