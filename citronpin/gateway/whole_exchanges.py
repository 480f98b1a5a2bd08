"""Requests whose answer is passed on when it is whole."""

import logging

from citronpin.gateway.attempts import MAX_WHOLE_BYTES, Attempt, Fault
from citronpin.gateway.exchanges import Exchange, ExchangeContext, Task
from citronpin.gateway.placers import NoPlace
from citronpin.gateway.routings import RequestKind
from citronpin.web.replies import Reply

logger = logging.getLogger(__name__)

SERVER_ERROR = 500


class WholeExchange(Exchange):
    """A safe or unsafe request.

    An answer is passed on only when all of it has arrived and it is the instance's
    own, so that a caller never gets half an answer that looks whole.
    """

    def __init__(self, *, task: Task, reply: Reply, context: ExchangeContext) -> None:
        super().__init__(task=task, reply=reply, context=context)
        self._parts: list[bytes] = []
        self._size = 0

    def _max_idle_s(self) -> float:
        # On a kept connection a close can cross the request, and nobody can tell
        # then whether it ran.
        safe = self._task.route.kind is RequestKind.SAFE
        return self.FRESH_CONNECTION_S if safe else 0.0

    def attempt_head(self, attempt: Attempt) -> None:
        self._parts = []
        self._size = 0

    def attempt_data(self, attempt: Attempt, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_WHOLE_BYTES:
            attempt.cancel(Fault.SPOILT, "the answer is over its bound")
            self.attempt_failed(attempt, Fault.SPOILT)
            return
        self._parts.append(data)

    def attempt_ended(self, attempt: Attempt) -> None:
        self._context.loads.ended(attempt.instance.id)
        fault = self._fault_of(attempt)
        if fault is None:
            now_s = self._context.clock.now()
            self._context.suspects.succeeded(attempt.instance.id, now_s=now_s)
            self._deliver_whole(attempt, b"".join(self._parts))
            return
        attempt.fault = fault
        self._judge(attempt, fault)
        self._after_fault(fault)

    def _fault_of(self, attempt: Attempt) -> Fault | None:
        if attempt.not_run:
            return Fault.NOT_RUN
        if not attempt.genuine:
            return Fault.SPOILT
        return Fault.ERROR if attempt.status >= SERVER_ERROR else None

    def _after_fault(self, fault: Fault) -> None:
        if self._may_repeat(fault):
            self._send_next()
            return
        self._end_with(fault)

    def _end_with(self, fault: Fault) -> None:
        last = self._last
        if fault is Fault.ERROR and last is not None:
            self._deliver_whole(last, b"".join(self._parts))
        else:
            self._answer_after(fault)

    def _no_place(self, found: NoPlace) -> None:
        last = self._last
        if last is not None and last.fault is not None and self.runs:
            self._end_with(last.fault)
        else:
            self._refuse_place(found)
