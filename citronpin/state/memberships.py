"""Polls the platform's membership list over HTTP."""

import logging
from collections.abc import Callable

import msgspec
from circuits import Component

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.decodings import guard_recursion
from citronpin.basics.events import EventKind, Recorder
from citronpin.state.instances import MembershipView
from citronpin.web.clients import BufferedSink, HttpClient

logger = logging.getLogger(__name__)

INSTANCES_PATH = "/instances"
POLL_INTERVAL_S = 0.5
MAX_BACKOFF_S = 4.0
REQUEST_TIMEOUT_S = 2.0
EMPTY_VIEW = MembershipView(version=-1, instances=())

ViewCallback = Callable[[MembershipView], None]

_decode_view = guard_recursion(msgspec.json.Decoder(MembershipView).decode)


class MembershipPoller(Component):
    """Polls the membership list and calls subscribers after each change.

    While the list cannot be read, ``view`` stays the last one read, ``age_s`` grows
    and the interval doubles up to ``MAX_BACKOFF_S``.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        address: str,
        clock: Clock,
        recorder: Recorder,
        interval_s: float = POLL_INTERVAL_S,
    ) -> None:
        super().__init__()
        self.view = EMPTY_VIEW
        self._client = client
        self._address = address
        self._clock = clock
        self._recorder = recorder
        self._interval_s = interval_s
        self._callbacks: list[ViewCallback] = []
        self._etag = ""
        self._last_answer_s: float | None = None
        self._failures = 0
        self._timer: TimerHandle = clock.call_later(0.0, self._poll)

    @property
    def age_s(self) -> float | None:
        """Seconds since the list was last read; ``None`` before it was read."""
        if self._last_answer_s is None:
            return None
        return self._clock.now() - self._last_answer_s

    def subscribe(self, callback: ViewCallback) -> None:
        """Call back with each new view, and at once if a view was already read."""
        self._callbacks.append(callback)
        if self._last_answer_s is not None:
            callback(self.view)

    def close(self) -> None:
        """Stop polling and remove all subscribers."""
        self._timer.cancel()
        self._callbacks.clear()

    def _poll(self) -> None:
        conditional_headers = (("If-None-Match", self._etag),) if self._etag else ()
        self._client.request(
            address=self._address,
            method="GET",
            target=INSTANCES_PATH,
            headers=conditional_headers,
            sink=BufferedSink(done=self._on_response),
            timeout_s=REQUEST_TIMEOUT_S,
        )

    def _on_response(self, response, error) -> None:
        problem = str(error) if error is not None else self._apply_response(*response)
        if problem:
            self._record_failure(problem)
        else:
            self._record_success()
        backoff_s = self._interval_s * 2 ** min(self._failures, 8)
        limit_s = max(MAX_BACKOFF_S, self._interval_s)
        self._timer = self._clock.call_later(min(backoff_s, limit_s), self._poll)

    def _apply_response(self, status: int, headers: dict, body: bytes) -> str:
        """Apply a response; return what is wrong with it, or an empty text."""
        if status == 304:
            return ""
        if status != 200:
            return f"The membership list answers {status}."
        try:
            view = _decode_view(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return f"The membership list is malformed: {exc}."
        self._etag = headers.get("etag", "")
        self._last_answer_s = self._clock.now()
        if view != self.view:
            self.view = view
            for callback in list(self._callbacks):
                callback(view)
        return ""

    def _record_failure(self, problem: str) -> None:
        self._failures += 1
        if self._failures == 1:
            self._recorder.note(EventKind.FAULT, problem)

    def _record_success(self) -> None:
        self._last_answer_s = self._clock.now()
        if self._failures:
            detail = f"The membership list answers again after {self._failures} tries."
            self._recorder.note(EventKind.FAULT, detail)
        self._failures = 0
