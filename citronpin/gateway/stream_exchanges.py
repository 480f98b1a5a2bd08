"""Requests that are answered by a stream of events, which may change its source."""

import logging

from citronpin.gateway.attempts import MAX_WHOLE_BYTES, Attempt, Fault
from citronpin.gateway.event_streams import EventSplitter, EventTooLong, StreamEvent
from citronpin.gateway.exchanges import Exchange, ExchangeContext, Task, passed_on
from citronpin.gateway.placers import NoPlace
from citronpin.web.replies import Reply

logger = logging.getLogger(__name__)

OK = 200
MIDWAY_STALL_S = 0.35  # passes of a full group take up to 0.25 s
MIDWAY_STALL_GAPS = 1.5  # objectives of the pause between events
FIRST_STALL_S = 0.9  # a prompt behind a full batch takes up to 0.6 s
SUSPECT_STALL_S = 0.3  # at an instance on which another answer stopped
RESUME_WAIT_S = 1.4  # callers leave a stream that is silent for two seconds
RESUME_RETRY_S = 0.1


class StreamExchange(Exchange):
    """Passes events on as they arrive and goes on elsewhere after a break.

    Only whole events are passed on. After a break, another instance goes on after
    the last of them within the same answer, so that a caller sees each event once.
    """

    def __init__(self, *, task: Task, reply: Reply, context: ExchangeContext) -> None:
        super().__init__(task=task, reply=reply, context=context)
        self._splitter = EventSplitter()
        self._parts: list[bytes] = []  # of an answer that is no stream
        self._size = 0
        self._last_number = self._asked_number()
        self._last_event_s = 0.0
        self._started = False
        self._stuck_s: float | None = None  # since when no place was found
        self._sound = False  # the last attempt answers with a stream

    def _asked_number(self) -> int | None:
        text = self._task.req.headers.get(self._context.names.last_event, "")
        return int(text) if text.isdigit() else None

    def _own_headers(self) -> dict[str, str]:
        names = self._context.names
        if not self._started or self._last_number is None:
            return {}
        return {names.last_event: str(self._last_number)}

    @property
    def _midway(self) -> bool:
        return self._started

    def attempt_head(self, attempt: Attempt) -> None:
        self._splitter = EventSplitter()
        self._parts = []
        self._size = 0
        self._sound = attempt.status == OK and attempt.genuine and not attempt.not_run

    def attempt_data(self, attempt: Attempt, data: bytes) -> None:
        if not self._sound:
            self._collect(attempt, data)
            return
        try:
            events = self._splitter.feed(data)
        except EventTooLong as exc:
            self._abandon(attempt, Fault.SPOILT, str(exc))
            return
        for event in events:
            if not self._pass_on(attempt, event):
                return

    def _collect(self, attempt: Attempt, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_WHOLE_BYTES:
            self._abandon(attempt, Fault.SPOILT, "the answer is over its bound")
            return
        self._parts.append(data)

    def _pass_on(self, attempt: Attempt, event: StreamEvent) -> bool:
        """Pass an event on; return false when the attempt was given up."""
        last, number = self._last_number, event.number
        if number is not None and last is not None:
            if number <= last:
                return True  # the caller has it
            if number > last + 1:
                self._abandon(attempt, Fault.SPOILT, f"event {last + 1} is missing")
                return False
        if number is not None:
            self._last_number = number
        if attempt.events == 0:
            self._learn(attempt)
        attempt.events += 1
        if not self._started:
            self._started = True
            headers = passed_on(attempt.headers)
            content_type = headers.pop("content-type", "text/event-stream")
            self._reply.start(OK, content_type, headers)
        self._last_event_s = self._context.clock.now()
        self._context.suspects.succeeded(attempt.instance.id, now_s=self._last_event_s)
        self._reply.push(event.data)
        return True

    def _learn(self, attempt: Attempt) -> None:
        self._context.times.observed(
            service=self._task.service,
            model=self._task.model,
            first_s=self._context.clock.now() - attempt.sent_s,
            load=attempt.load,
            slots=attempt.instance.slots,
        )

    def attempt_ended(self, attempt: Attempt) -> None:
        self._context.loads.ended(attempt.instance.id)
        fault = self._fault_of(attempt)
        if fault is None:
            self._finish(attempt)
            return
        attempt.fault = fault
        self._judge(attempt, fault)
        self._after_fault(fault)

    def _fault_of(self, attempt: Attempt) -> Fault | None:
        if attempt.not_run:
            return Fault.NOT_RUN
        if not attempt.genuine:
            return Fault.SPOILT
        if not self._sound:
            return Fault.ERROR
        return Fault.LOST if self._splitter.partial else None

    def _finish(self, attempt: Attempt) -> None:
        if not self._started:
            self._deliver_whole(attempt, b"")
            return
        self._close("delivered", OK)
        self._reply.finish()

    def _abandon(self, attempt: Attempt, fault: Fault, detail: str) -> None:
        attempt.cancel(fault, detail)
        self.attempt_failed(attempt, fault)

    def _after_fault(self, fault: Fault) -> None:
        if self._may_repeat(fault, midway=self._started):
            self._send_next()
            return
        self._end_with(fault)

    def _end_with(self, fault: Fault) -> None:
        if self._started:
            self._break_off()
        elif fault is Fault.ERROR and self._last is not None and self._last.genuine:
            self._deliver_whole(self._last, b"".join(self._parts))
        else:
            self._answer_after(fault)

    def _no_place(self, found: NoPlace) -> None:
        last = self._last
        if last is None or last.fault is None or not self.runs:
            self._refuse_place(found)
            return
        now_s = self._context.clock.now()
        if self._stuck_s is None:
            self._stuck_s = now_s
        if not self._task.route.repeatable or now_s - self._stuck_s >= RESUME_WAIT_S:
            self._end_with(last.fault)
            return
        # A place is soon free, and nothing else would complete the answer.
        self._excluded.clear()
        self._context.clock.call_later(RESUME_RETRY_S, self._try_again)

    def _try_again(self) -> None:
        if not self._done and self._send_next():
            self._stuck_s = None

    def _break_off(self) -> None:
        """End an answer that cannot be completed so that it does not look whole."""
        self._close("broken-off", OK)
        self._reply.abort()

    def _give_up(self) -> None:
        if self._started:
            self._break_off()
        else:
            super()._give_up()

    def check(self, now_s: float) -> None:
        """Move to another instance when nothing has come for too long."""
        last = self._last
        if self._done or last is None or last.over:
            return
        since_s = max(last.sent_s, self._last_event_s)
        if last.first_s is None:
            # Behind others it waits; while these go on, its instance is sound.
            since_s = max(since_s, self._context.suspects.alive_s(last.instance.id))
        if now_s - since_s < self._patience_s(last, now_s):
            return
        self._context.suspects.stalled(last.instance.id, now_s=now_s)
        found = self._context.placer.place(demand=self._demand(), now_s=now_s)
        if isinstance(found, NoPlace) or found.load >= found.instance.slots:
            return
        if self._may_repeat(Fault.STALLED, midway=self._started):
            last.cancel(Fault.STALLED, f"silent for {now_s - since_s:.2f} s")
            self._context.loads.ended(last.instance.id)
            self._send_next()

    def _patience_s(self, attempt: Attempt, now_s: float) -> float:
        if attempt.first_s is not None:
            gaps_s = MIDWAY_STALL_GAPS * self._task.route.gap_objective_s
            return max(MIDWAY_STALL_S, gaps_s)
        if self._context.suspects.is_avoided(attempt.instance.id, now_s=now_s):
            return SUSPECT_STALL_S
        return FIRST_STALL_S
