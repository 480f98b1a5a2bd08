"""Decides whether an entry may serve: booted, draining, cut off."""

import logging
from collections.abc import Callable
from enum import Enum

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.refusals import Draining, NotReady

logger = logging.getLogger(__name__)

CUT_OFF_LIMIT_S = 3.0


class GateState(Enum):
    """Whether an entry serves, and why not."""

    BOOTING = "booting"  # has not read the configuration to its head
    SERVING = "serving"
    CUT_OFF = "cut-off"  # others may have seen newer configuration
    DRAINING = "draining"


class ServingGate:
    """Opens when configuration is known and closes when it may be out of date.

    With the log silent for ``CUT_OFF_LIMIT_S`` an entry goes on only while it
    reaches a majority of the known entries, itself included: then the log is out
    for the majority as well, and no newer configuration can have been accepted
    that a majority saw. An entry of a minority stops.
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
        self._last = GateState.BOOTING

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._draining = True
        self.state()

    def state(self) -> GateState:
        """Return the state now; a change is an event."""
        state = self._judge()
        if state is not self._last:
            self._last = state
            self._recorder.note(EventKind.PROCESS, f"gate {state.value}")
        return state

    def _judge(self) -> GateState:
        if self._draining:
            return GateState.DRAINING
        if not self._booted():
            return GateState.BOOTING
        if self._head_age_s() <= CUT_OFF_LIMIT_S:
            return GateState.SERVING
        reached = 2 * self._alive_entries() > self._known_entries()
        return GateState.SERVING if reached else GateState.CUT_OFF

    def refusal(self) -> CitronpinError | None:
        """Return why a new request is refused, or ``None``."""
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
