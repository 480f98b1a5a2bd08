"""Fold of one shard of non-repeatable calls."""

import logging

import msgspec

from citronpin.basics.errors import Outcome
from citronpin.state import records
from citronpin.state.rules import Fold, Rejected, check_fence, wrong_stream_rejection
from citronpin.state.states import Call, CallsState

logger = logging.getLogger(__name__)

MAX_OUTCOME_BYTES = 64 * 1024  # a larger response body is not stored


class CallsFold(Fold):
    """Rules for the owners and outcomes of one shard of non-repeatable calls."""

    def empty(self) -> CallsState:
        return CallsState()

    def accept(self, state, offset, record, item):
        if isinstance(item, records.CallIntent):
            return self._accept_intent(state, offset, item)
        if isinstance(item, records.CallOutcome):
            return self._accept_outcome(state, item)
        if isinstance(item, records.CallPurge):
            return self._accept_purge(state, record, item)
        raise wrong_stream_rejection(item)

    def _accept_intent(self, state, offset, item: records.CallIntent):
        if key_time_ms(item.key) < state.floor_ms:
            raise Rejected("The key is older than the window; use a new one.")
        known = state.calls.get(item.key)
        if known is not None:
            self._check_reused_key(known, item)
        call = Call(
            key=item.key,
            digest=item.digest,
            owner=item.owner,
            application=item.application,
            attempt=item.attempt,
            offset=offset,
        )
        replaced_bytes = len(known.body) if known is not None else 0
        return msgspec.structs.replace(
            state,
            calls=state.calls.set(item.key, call),
            stored_bytes=state.stored_bytes - replaced_bytes,
        )

    def _check_reused_key(self, known: Call, item: records.CallIntent) -> None:
        if known.digest != item.digest:
            raise Rejected("The key was used for another request; use a new one.")
        if known.outcome != Outcome.NOT_RUN.value:
            raise Rejected(f"The call is owned by {known.owner}.")

    def _accept_outcome(self, state, item: records.CallOutcome):
        call = state.calls.get(item.key)
        if call is None:
            raise Rejected("There is no intent for this key.")
        self._check_outcome(call, item)
        body = item.body if len(item.body) <= MAX_OUTCOME_BYTES else b""
        updated = msgspec.structs.replace(
            call,
            outcome=item.outcome,
            status=item.status,
            content_type=item.content_type,
            body=body,
        )
        return msgspec.structs.replace(
            state,
            calls=state.calls.set(item.key, updated),
            stored_bytes=state.stored_bytes + len(body) - len(call.body),
        )

    def _check_outcome(self, call: Call, item: records.CallOutcome) -> None:
        if item.settled:
            if item.outcome != Outcome.COMPLETE.value:
                raise Rejected("A look-up can only settle that a call has run.")
        elif (item.owner, item.attempt) != (call.owner, call.attempt):
            raise Rejected(f"The call is owned by {call.owner}.")
        open_outcomes = (None, Outcome.UNKNOWN.value)
        if call.outcome not in open_outcomes:
            raise Rejected(f"The outcome is known already: {call.outcome}.")
        if call.outcome is not None and item.outcome != Outcome.COMPLETE.value:
            raise Rejected("An unknown outcome can only be settled as complete.")

    def _accept_purge(self, state, record, item: records.CallPurge):
        check_fence(state, record, item.fence)
        if item.floor_ms <= state.floor_ms:
            raise Rejected("The floor only rises.")
        calls, stored = state.calls, state.stored_bytes
        for key, call in state.calls.items():
            if key_time_ms(key) < item.floor_ms:
                calls = calls.delete(key)
                stored -= len(call.body)
        return msgspec.structs.replace(
            state, calls=calls, stored_bytes=stored, floor_ms=item.floor_ms
        )


def key_time_ms(key: str) -> int:
    """Return the Unix time of a UUIDv7 key in ms, or 0 for another kind of key."""
    digits = key.replace("-", "")
    if len(digits) != 32 or digits[12] != "7":
        return 0
    try:
        return int(digits[:12], 16)
    except ValueError:
        return 0
