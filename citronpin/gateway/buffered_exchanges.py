"""Exchanges whose answer is forwarded once it is complete."""

import logging

from citronpin.gateway.attempts import MAX_BUFFERED_BYTES, Attempt, Fault
from citronpin.gateway.contexts import ExchangeContext, Task
from citronpin.gateway.exchanges import MIN_SERVER_ERROR_STATUS, Exchange
from citronpin.gateway.placers import PlacementFailure
from citronpin.web.replies import Reply

logger = logging.getLogger(__name__)


class BufferedExchange(Exchange):
    """Handles a safe or unsafe request by buffering its answer.

    An answer is forwarded only when it has arrived completely and carries the
    instance's digest, so a caller never takes a truncated answer for a complete one.
    """

    def __init__(self, *, task: Task, reply: Reply, context: ExchangeContext) -> None:
        super().__init__(task=task, reply=reply, context=context)
        self._body = bytearray()

    def attempt_head(self, attempt: Attempt) -> None:
        super().attempt_head(attempt)
        self._body = bytearray()
        self._answer_bytes.close()

    def attempt_data(self, attempt: Attempt, data: bytes) -> None:
        if len(self._body) + len(data) > MAX_BUFFERED_BYTES:
            attempt.cancel(Fault.INVALID, "the answer is over its bound")
            self.attempt_failed(attempt, Fault.INVALID)
            return
        self._body += data
        self._hold(attempt, len(self._body))

    def _take_body(self) -> bytes:
        """Return the body of the last answer and release the buffer."""
        body, self._body = bytes(self._body), bytearray()
        return body

    def attempt_ended(self, attempt: Attempt) -> None:
        attempt.recipient.ended(attempt)
        if attempt.refusal:
            self._on_refusal(attempt, self._take_body())
            return
        self._record_answered(attempt)
        fault = self._classify(attempt)
        if fault is None:
            attempt.recipient.record_progress()
            self._deliver_answer(attempt, self._take_body())
            return
        attempt.fault = fault
        self._report_fault(attempt, fault)
        self._on_fault(fault)

    def _classify(self, attempt: Attempt) -> Fault | None:
        if attempt.not_run:
            return Fault.NOT_RUN
        if not attempt.is_genuine:
            return Fault.INVALID
        return Fault.ERROR if attempt.status >= MIN_SERVER_ERROR_STATUS else None

    def _on_fault(self, fault: Fault) -> None:
        if self._may_retry(fault):
            self._send_next()
            return
        self._answer_after_retries(fault)

    def _answer_after_retries(self, fault: Fault) -> None:
        last = self._last_attempt
        if fault is Fault.ERROR and last is not None:
            self._deliver_answer(last, self._take_body())
        else:
            self._answer_fault(fault)

    def _on_placement_failure(self, failure: PlacementFailure) -> None:
        last = self._last_attempt
        if last is not None and last.fault is not None and self.run_count:
            self._answer_after_retries(last.fault)
        else:
            self._refuse_placement(failure)
