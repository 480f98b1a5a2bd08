"""Decides whether an entry accepts requests, by the age of its configuration."""

import logging
from collections.abc import Callable
from enum import Enum

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.refusals import Draining, NotReady

logger = logging.getLogger(__name__)

MAX_SERVING_HEAD_AGE_S = 3.0


class GateState(Enum):
    """Whether an entry serves, and why not."""

    BOOTING = "booting"  # has not read the configuration stream to its head
    SERVING = "serving"
    CUT_OFF = "cut-off"  # other entries may have read newer configuration
    DRAINING = "draining"


class ServingGate:
    """Refuses requests before the configuration is known and when it may be outdated.

    ``head_age_s`` returns the seconds since the head of the configuration stream was
    last confirmed. Above ``MAX_SERVING_HEAD_AGE_S`` the entry serves only while it
    reaches a majority of the known entries, itself included: the log is then
    unavailable to the majority too, so no newer configuration can have been accepted
    that a majority read. An entry in a minority stops serving.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        recorder: Recorder,
        booted: Callable[[], bool],
        head_age_s: Callable[[], float],
        known_entries: Callable[[], int],
        alive_entries: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._recorder = recorder
        self._booted = booted
        self._head_age_s = head_age_s
        self._known_entries = known_entries
        self._alive_entries = alive_entries
        self._draining = False
        self._last_state = GateState.BOOTING

    def drain(self) -> None:
        """Refuse new requests permanently."""
        self._draining = True
        self.state()

    def state(self) -> GateState:
        """Return the current state and record an event if it changed."""
        state = self._compute_state()
        if state is not self._last_state:
            self._last_state = state
            self._recorder.note(EventKind.PROCESS, f"gate {state.value}")
        return state

    def _compute_state(self) -> GateState:
        if self._draining:
            return GateState.DRAINING
        if not self._booted():
            return GateState.BOOTING
        if self._head_age_s() <= MAX_SERVING_HEAD_AGE_S:
            return GateState.SERVING
        has_majority = 2 * self._alive_entries() > self._known_entries()
        return GateState.SERVING if has_majority else GateState.CUT_OFF

    def refusal(self) -> CitronpinError | None:
        """Return the error for a new request, or ``None`` if the entry serves."""
        state = self.state()
        if state is GateState.SERVING:
            return None
        if state is GateState.DRAINING:
            return Draining("The entry is stopping.", retry_after_s=1.0)
        if state is GateState.CUT_OFF:
            detail = "The entry is cut off from the log and from most other entries."
        else:
            detail = "The entry has not yet read the configuration."
        return NotReady(detail, retry_after_s=2.0)
