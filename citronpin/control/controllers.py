"""Base class of the controllers, which reconcile streams with a desired state."""

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

RECONCILE_PERIOD_S = 0.5
REJECTED_BACKOFF_S = 0.5  # before a rejected proposal is retried
UNKNOWN_OUTCOME_BACKOFF_S = 5.0  # longer: the first proposal may still take effect
_WHILE_PENDING_S = float("inf")


class Controller(BaseComponent, ABC):
    """Reconciles one stream with the desired state.

    A controller compares the desired state with the folded state, proposes
    records and sends orders, and never blocks. It runs after each change of its
    stream and every ``period_s`` seconds, and holds no state that the next
    holder of the lease would need.
    """

    channel = "controllers"
    name = ""
    period_s = RECONCILE_PERIOD_S

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
        self._blocked_until_s: dict[str, float] = {}  # subject -> clock time
        self._run_scheduled = False
        self._open = False
        self.runs = 0

    def start(self) -> None:
        """Subscribe to the stream and schedule the first run."""
        self._open = True
        self._states.follow(self._stream)
        self._states.subscribe(self._stream, self._on_state)
        self._tick()

    def close(self) -> None:
        """Stop running permanently."""
        self._open = False

    def wake(self) -> None:
        """Schedule one run for the next turn of the event loop; calls coalesce."""
        if self._run_scheduled or not self._open:
            return
        self._run_scheduled = True
        self._clock.call_later(0.0, self._run)

    @abstractmethod
    def reconcile(self) -> None:
        """Compare the current state with the desired one and act on the difference."""

    def propose(self, subject: str, *items) -> bool:
        """Propose items together; return whether they were handed to the log.

        Returns false while an earlier proposal for ``subject`` is pending or
        backs off.
        """
        if self._blocked_until_s.get(subject, 0.0) > self._clock.now():
            return False
        self._blocked_until_s[subject] = _WHILE_PENDING_S
        self._states.propose(
            self._stream,
            items,
            lambda result: self._on_proposal_result(subject, result),
        )
        return True

    def _on_proposal_result(self, subject: str, result) -> None:
        backoff_s = self._backoff_s(subject, result)
        if backoff_s > 0:
            self._blocked_until_s[subject] = self._clock.now() + backoff_s
        else:
            self._blocked_until_s.pop(subject, None)
        self.wake()

    def _backoff_s(self, subject: str, result) -> float:
        if isinstance(result, Err):
            exc = result.err_value
            self._note(EventKind.FAULT, f"proposal for {subject} failed: {exc.detail}")
            not_run = exc.outcome is Outcome.NOT_RUN
            return REJECTED_BACKOFF_S if not_run else UNKNOWN_OUTCOME_BACKOFF_S
        reasons = [v.reason for v in result.ok_value if not v.accepted]
        if reasons:
            self._note(
                EventKind.FAULT, f"proposal for {subject} was rejected: {reasons[0]}"
            )
        return REJECTED_BACKOFF_S if reasons else 0.0

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
        self._run_scheduled = False
        if not self._open or not self._states.is_current(self._stream):
            return
        self.runs += 1
        self._expire_backoffs()
        try:
            self.reconcile()
        except Exception as exc:
            logger.exception("controller %s failed", self.name)
            self._note(EventKind.ALARM, f"controller {self.name} failed: {exc!r}")

    def _expire_backoffs(self) -> None:
        now = self._clock.now()
        if any(until_s <= now for until_s in self._blocked_until_s.values()):
            self._blocked_until_s = {
                s: t for s, t in self._blocked_until_s.items() if t > now
            }


CONTROLLERS: dict[str, type[Controller]] = {}


def register(controller: type[Controller]) -> type[Controller]:
    """Register a controller class under its ``name``; return the class."""
    CONTROLLERS[controller.name] = controller
    return controller
