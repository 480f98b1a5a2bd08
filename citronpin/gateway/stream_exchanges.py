"""Exchanges whose answer is an event stream, which can resume on another instance."""

import logging

from citronpin.gateway.answers import Refusal, quarantined_subject
from citronpin.gateway.attempts import MAX_BUFFERED_BYTES, Attempt, Fault
from citronpin.gateway.contexts import ExchangeContext, Task
from citronpin.gateway.event_streams import EventSplitter, InvalidEvent, StreamEvent
from citronpin.gateway.exchanges import Exchange, end_to_end_headers
from citronpin.gateway.placers import PlacementFailure
from citronpin.gateway.quarantines import CrashKey
from citronpin.gateway.recipients import Recipient
from citronpin.gateway.slow_readers import (
    UNREAD_HIGH_BYTES,
    UNREAD_LOW_BYTES,
    Pause,
    ReaderAction,
)
from citronpin.web.replies import Reply

logger = logging.getLogger(__name__)

OK_STATUS = 200
MIDWAY_STALL_TIMEOUT_S = 0.35  # a pass of a full group takes up to 0.25 s
MIDWAY_STALL_GAP_OBJECTIVES = 1.5  # multiple of the gap objective of the route
MAX_RESUME_WAIT_S = 1.4  # callers leave a stream that is silent for two seconds
RESUME_RETRY_INTERVAL_S = 0.1


class StreamExchange(Exchange):
    """Forwards events as they arrive and resumes on another instance after a fault.

    Only complete events are forwarded. After a fault another instance resumes after
    the last forwarded event within the same answer, so a caller sees each event once.
    """

    def __init__(self, *, task: Task, reply: Reply, context: ExchangeContext) -> None:
        super().__init__(task=task, reply=reply, context=context)
        self._splitter = self._make_splitter()
        self._body = bytearray()  # of an answer that is not a stream
        self._last_event_number = self._requested_event_number()
        self._last_event_s = 0.0
        self._started = False
        # Clock time since which no instance was found for the next attempt.
        self._unplaced_since_s: float | None = None
        self._is_stream = False  # whether the last attempt answers with a stream
        self._pause: Pause | None = None  # of reading, since the caller reads slowly

    def _make_splitter(self) -> EventSplitter:
        return EventSplitter(more_fields=(self._context.names.weight_versions,))

    def _requested_event_number(self) -> int | None:
        text = self._task.req.headers.get(self._context.names.last_event, "")
        return int(text) if text.isdigit() else None

    def _start_attempt(self, recipient: Recipient) -> None:
        self._is_stream = False
        self._unplaced_since_s = None
        self._pause = None
        super()._start_attempt(recipient)

    @property
    def _written_tokens(self) -> int:
        last = self._last_event_number
        if last is None or self._cost is None:
            return 0
        return (last + 1) * self._cost.tokens_per_event  # events are numbered from 0

    def _override_headers(self) -> dict[str, str]:
        names = self._context.names
        if not self._started or self._last_event_number is None:
            return {}
        return {names.last_event: str(self._last_event_number)}

    @property
    def _is_resumed(self) -> bool:
        return self._requested_event_number() is not None

    @property
    def _midway(self) -> bool:
        return self._started

    def attempt_head(self, attempt: Attempt) -> None:
        super().attempt_head(attempt)
        self._splitter = self._make_splitter()
        self._body = bytearray()
        self._answer_bytes.close()
        self._is_stream = (
            attempt.status == OK_STATUS and attempt.is_genuine and not attempt.not_run
        )

    def attempt_data(self, attempt: Attempt, data: bytes) -> None:
        if not self._is_stream:
            self._buffer(attempt, data)
            return
        try:
            for event in self._splitter.feed(data):
                if not self._forward(attempt, event):
                    return
        except InvalidEvent as exc:
            self._fail_attempt(attempt, Fault.INVALID, str(exc))
            return
        if not self._done:
            self._hold(attempt, self._splitter.held_bytes)
            if self._reply.buffered_bytes > UNREAD_HIGH_BYTES:
                self._pause_for_caller(attempt)

    def _pause_for_caller(self, attempt: Attempt) -> None:
        """Read no more of an answer until its caller has read it, or give it up."""
        now_s, readers = self._context.clock.now(), self._context.readers
        if self._decide_on_pause(now_s) is ReaderAction.CLOSE:
            self._end_unread(attempt)
            return
        # Where nothing was decided at the end of a pause, the next one goes on with it.
        if self._pause is None:
            self._pause = Pause(now_s, self._reply.unread_bytes)
        attempt.pause_reading(readers.max_pause_s)

    def _decide_on_pause(self, now_s: float) -> ReaderAction:
        if self._pause is None:
            return ReaderAction.WAIT
        action = self._context.readers.decide(
            self._pause,
            queued_bytes=self._reply.buffered_bytes,
            unread_bytes=self._reply.unread_bytes,
            now_s=now_s,
        )
        if action is ReaderAction.READ:
            self._pause = None
        return action

    def _end_unread(self, attempt: Attempt) -> None:
        """Close the connection of a caller that does not read its answer."""
        self._cancel_attempt(attempt, Fault.LOST, "the caller does not read")
        self._close("unread", OK_STATUS)
        self._reply.abort()

    def _buffer(self, attempt: Attempt, data: bytes) -> None:
        if len(self._body) + len(data) > MAX_BUFFERED_BYTES:
            self._fail_attempt(attempt, Fault.INVALID, "the answer is over its bound")
            return
        self._body += data
        self._hold(attempt, len(self._body))

    def _forward(self, attempt: Attempt, event: StreamEvent) -> bool:
        """Forward an event; return false when the attempt was cancelled."""
        last, number = self._last_event_number, event.number
        if last is not None:
            if number <= last:
                return True  # a duplicate
            if number > last + 1:
                self._fail_attempt(
                    attempt, Fault.INVALID, f"event {last + 1} is missing"
                )
                return False
        self._last_event_number = number
        if attempt.events == 0:
            attempt.recipient.record_first_event(attempt, self._task)
            self._context.quarantine.record_success(
                self._task.prompt_parts, now_s=self._context.clock.now()
            )
        attempt.events += 1
        if not self._started:
            self._started = True
            headers = end_to_end_headers(attempt.headers)
            content_type = headers.pop("content-type", "text/event-stream")
            self._reply.start(OK_STATUS, content_type, headers)
        self._last_event_s = self._context.clock.now()
        attempt.recipient.record_progress()
        self._reply.push(event.data)
        if self._pause is not None:
            self._pause = self._pause.after_push(len(event.data))
        return True

    def attempt_ended(self, attempt: Attempt) -> None:
        attempt.recipient.ended(attempt)
        if attempt.refusal:
            self._on_refusal(attempt, bytes(self._body))
            return
        fault = self._classify(attempt)
        if fault in (None, Fault.ERROR):
            self._record_answered(attempt)
        if fault is None:
            self._finish_stream(attempt)
            return
        attempt.fault = fault
        self._report_fault(attempt, fault)
        self._on_fault(fault)

    def _classify(self, attempt: Attempt) -> Fault | None:
        if attempt.not_run:
            return Fault.NOT_RUN
        if not attempt.is_genuine:
            return Fault.INVALID
        if not self._is_stream:
            return Fault.ERROR
        if attempt.events:
            return Fault.LOST if self._splitter.partial else None
        # Only a stream that resumes after its last event has none. Without a length or
        # chunks it cannot be told from one whose instance ended.
        is_resumed = self._last_event_number is not None
        is_complete = is_resumed and attempt.is_framed and not self._splitter.partial
        return None if is_complete else Fault.LOST

    def _finish_stream(self, attempt: Attempt) -> None:
        if not self._started:
            self._deliver_answer(attempt, b"")
            return
        self._close("delivered", OK_STATUS)
        self._reply.finish()

    def _fail_attempt(self, attempt: Attempt, fault: Fault, detail: str) -> None:
        attempt.cancel(fault, detail)
        self.attempt_failed(attempt, fault)

    def _keys_of_crash(self, attempt: Attempt) -> tuple[CrashKey, ...]:
        if self._began_to_answer(attempt):
            return self._crash_keys
        return super()._keys_of_crash(attempt)

    def _began_to_answer(self, attempt: Attempt) -> bool:
        """Return whether the instance ended when it began to write the answer."""
        return self._is_stream and not attempt.events

    def _may_retry(self, fault: Fault, *, midway: bool = False) -> bool:
        last = self._last_attempt
        parts = self._task.shared_parts
        is_crash = fault is Fault.LOST and last is not None
        if parts and is_crash and self._began_to_answer(last):
            # A part that no instance has served may end the next one too.
            now_s = self._context.clock.now()
            if not self._context.quarantine.were_all_served(parts, now_s=now_s):
                return False
        return super()._may_retry(fault, midway=midway)

    def _answer_quarantined(self, refusal: Refusal) -> None:
        if self._started:
            self._abort_stream()
        else:
            super()._answer_quarantined(refusal)

    def check_quarantine(self) -> None:
        """Withdraw a request with a quarantined key that no instance has begun."""
        last = self._last_attempt
        if self._done or last is None or last.is_over or last.events:
            return
        quarantine = self._context.quarantine
        if quarantine.is_empty:
            return
        key = quarantine.find_quarantined(self._crash_keys, since_s=last.sent_s)
        if key is None:
            return
        detail = f"withdrawn: {quarantined_subject(key)} is quarantined"
        self._cancel_attempt(last, Fault.LOST, detail)
        self._refuse_key(key)

    def _on_fault(self, fault: Fault) -> None:
        if self._may_retry(fault, midway=self._started):
            self._send_next()
            return
        self._answer_after_retries(fault)

    def _answer_after_retries(self, fault: Fault) -> None:
        if self._started:
            self._abort_stream()
        elif (
            fault is Fault.ERROR
            and self._last_attempt is not None
            and self._last_attempt.is_genuine
        ):
            self._deliver_answer(self._last_attempt, bytes(self._body))
        else:
            self._answer_fault(fault)

    def _on_placement_failure(self, failure: PlacementFailure) -> None:
        last = self._last_attempt
        if last is None or last.fault is None or not self.run_count:
            self._refuse_placement(failure)
            return
        now_s = self._context.clock.now()
        if self._unplaced_since_s is None:
            self._unplaced_since_s = now_s
        if (
            not self._task.route.repeatable
            or now_s - self._unplaced_since_s >= MAX_RESUME_WAIT_S
        ):
            self._answer_after_retries(last.fault)
            return
        # A slot becomes free soon, and only another attempt can complete the answer.
        self._excluded.clear()
        self._context.clock.call_later(RESUME_RETRY_INTERVAL_S, self._retry_resume)

    def _retry_resume(self) -> None:
        if not self._done:
            self._send_next()

    def _close(self, outcome: str, status: int) -> None:
        super()._close(outcome, status)
        # What a caller resumes is only the rest of an answer.
        is_whole = self._requested_event_number() is None
        if self._cost is not None and is_whole:
            works, costs = self._context.works, self._context.costs
            record = costs.record if works is None else works.record_answer
            record(
                self._cost,
                tokens=sum(attempt.events for attempt in self._attempts)
                * self._cost.tokens_per_event,
                is_complete=outcome == "delivered",
            )

    def _abort_stream(self) -> None:
        """Abort an incomplete answer, so that callers do not take it for complete."""
        self._close("broken-off", OK_STATUS)
        self._reply.abort()

    def _answer_timeout(self) -> None:
        if self._started:
            self._abort_stream()
        else:
            super()._answer_timeout()

    def _answer_process_end(self) -> None:
        if self._started:
            self._abort_stream()
        else:
            super()._answer_process_end()

    def check_stall(self, now_s: float) -> None:
        """Resume on another instance when no data has arrived for too long."""
        last = self._last_attempt
        if self._done or last is None or last.is_over:
            return
        action = self._decide_on_pause(now_s)
        if action is ReaderAction.CLOSE:
            self._end_unread(last)
            return
        if last.is_paused:
            # Its silence is this entry's doing.
            self._last_event_s = now_s
            has_room = not self._context.account.is_overdrawn
            is_drained = self._reply.buffered_bytes <= UNREAD_LOW_BYTES
            if has_room and (is_drained or action is ReaderAction.READ):
                last.resume_reading()
            return
        last_progress_s = self._last_progress_s(last)
        if last.first_s is None:
            # The request may be queued: progress of other answers on the instance
            # shows that it works.
            last_progress_s = max(last_progress_s, last.recipient.last_progress_s())
        silent_s = now_s - last_progress_s
        midway_s = self._midway_timeout_s(last)
        if silent_s < last.recipient.stall_timeout_s(midway_s):
            return
        last.recipient.record_stall(silent_s=silent_s, midway_s=midway_s)
        if not self._has_alternative(now_s):
            return
        if self._may_retry(Fault.STALLED, midway=self._started):
            self._cancel_attempt(last, Fault.STALLED, f"silent for {silent_s:.2f} s")
            self._send_next()

    def _has_alternative(self, now_s: float) -> bool:
        """Return whether the request can be sent elsewhere at once."""
        if self._should_forward:
            return self._select_peer() is not None
        placement = self._context.placer.place(demand=self._demand(), now_s=now_s)
        return (
            not isinstance(placement, PlacementFailure)
            and placement.load < placement.instance.slots
        )

    def _last_progress_s(self, attempt: Attempt) -> float:
        return max(attempt.sent_s, self._last_event_s)

    def _midway_timeout_s(self, attempt: Attempt) -> float | None:
        """Return the longest silence within an answer, ``None`` before it begins."""
        if attempt.first_s is None:
            return None
        gap_limit_s = MIDWAY_STALL_GAP_OBJECTIVES * self._task.route.gap_objective_s
        return max(MIDWAY_STALL_TIMEOUT_S, gap_limit_s)
