"""Controllers: tasks that bring a fabric domain to the state that is wanted."""

import logging
from abc import ABC, abstractmethod

from circuits import BaseComponent
from result import Err

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import Outcome
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import EntryId, StreamName
from citronpin.state.logs import States

logger = logging.getLogger(__name__)

PERIOD_S = 0.5
REJECTED_HOLD_S = 0.5  # time between a refused proposal and the next try
UNKNOWN_HOLD_S = 5.0  # the same when the first one may still take effect
_IN_FLIGHT_S = float("inf")


class Controller(BaseComponent, ABC):
    """Base of the controllers of one stream.

    A controller compares what is wanted with the folded state, proposes records
    and gives orders, and never blocks. It runs after each change of its stream
    and once in each period, and keeps nothing that its successor would need.
    """

    channel = "controllers"
    name = ""
    period_s = PERIOD_S

    def __init__(
        self,
        *,
        entry: EntryId,
        stream: StreamName,
        states: States,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        super().__init__()
        self._entry = entry
        self._stream = stream
        self._states = states
        self._clock = clock
        self._recorder = recorder
        self._blocked: dict[str, float] = {}  # subject -> when it is free again
        self._woken = False
        self._open = False
        self.runs = 0

    def start(self) -> None:
        """Follow the stream and start to act."""
        self._open = True
        self._states.follow(self._stream)
        self._states.subscribe(self._stream, self._on_state)
        self._tick()

    def close(self) -> None:
        """Stop to act for good."""
        self._open = False

    def wake(self) -> None:
        """Run soon; several calls before that lead to one run."""
        if self._woken or not self._open:
            return
        self._woken = True
        self._clock.call_later(0.0, self._run)

    @abstractmethod
    def reconcile(self) -> None:
        """Do what the present state asks for."""

    def propose(self, subject: str, *items) -> bool:
        """Propose items unless a proposal on ``subject`` is under way."""
        if self._blocked.get(subject, 0.0) > self._clock.now():
            return False
        self._blocked[subject] = _IN_FLIGHT_S
        self._states.propose(
            self._stream, items, lambda result: self._settled(subject, result)
        )
        return True

    def _settled(self, subject: str, result) -> None:
        hold_s = self._hold_s(subject, result)
        if hold_s > 0:
            self._blocked[subject] = self._clock.now() + hold_s
        else:
            self._blocked.pop(subject, None)
        self.wake()

    def _hold_s(self, subject: str, result) -> float:
        if isinstance(result, Err):
            exc = result.err_value
            self._note(EventKind.FAULT, f"proposal on {subject}: {exc.detail}")
            not_run = exc.outcome is Outcome.NOT_RUN
            return REJECTED_HOLD_S if not_run else UNKNOWN_HOLD_S
        reasons = [v.reason for v in result.ok_value if not v.accepted]
        if reasons:
            self._note(EventKind.FAULT, f"proposal on {subject}: {reasons[0]}")
        return REJECTED_HOLD_S if reasons else 0.0

    def _note(self, kind: EventKind, detail: str, **fields) -> None:
        self._recorder.note(kind, detail, stream=self._stream, **fields)

    def _on_state(self, stream, state, verdicts) -> None:
        if stream == self._stream:
            self.wake()

    def _tick(self) -> None:
        if self._open:
            self._clock.call_later(self.period_s, self._tick)
            self.wake()

    def _run(self) -> None:
        self._woken = False
        if not self._open or not self._states.is_current(self._stream):
            return
        self.runs += 1
        self._prune()
        try:
            self.reconcile()
        except Exception as exc:
            logger.exception("controller %s failed", self.name)
            self._note(EventKind.ALARM, f"controller {self.name} failed: {exc!r}")

    def _prune(self) -> None:
        now = self._clock.now()
        if any(free_s <= now for free_s in self._blocked.values()):
            self._blocked = {s: t for s, t in self._blocked.items() if t > now}


CONTROLLERS: dict[str, type[Controller]] = {}


def register(controller: type[Controller]) -> type[Controller]:
    """Register a controller by its name."""
    CONTROLLERS[controller.name] = controller
    return controller
