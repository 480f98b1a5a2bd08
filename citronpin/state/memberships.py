"""Follows the platform's membership list."""

import logging
from collections.abc import Callable

import msgspec
from circuits import Component

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.decodings import bounded
from citronpin.basics.events import EventKind, Recorder
from citronpin.state.instances import MembershipView
from citronpin.web.clients import HttpClient, WholeSink

logger = logging.getLogger(__name__)

INSTANCES_PATH = "/instances"
POLL_INTERVAL_S = 0.5
MAX_BACKOFF_S = 4.0
TIMEOUT_S = 2.0
NO_VIEW = MembershipView(version=-1, instances=())

ViewCallback = Callable[[MembershipView], None]

_decode_view = bounded(msgspec.json.Decoder(MembershipView).decode)


class MembershipPoller(Component):
    """Polls the membership list and passes each change on.

    While the list is down, the last view stays and ``age_s`` grows.
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
        self.view = NO_VIEW
        self._client = client
        self._address = address
        self._clock = clock
        self._recorder = recorder
        self._interval_s = interval_s
        self._callbacks: list[ViewCallback] = []
        self._tag = ""
        self._read_s: float | None = None
        self._failures = 0
        self._timer: TimerHandle = clock.call_later(0.0, self._poll)

    @property
    def age_s(self) -> float | None:
        """Return how long ago the list last answered; ``None`` before it did."""
        if self._read_s is None:
            return None
        return self._clock.now() - self._read_s

    def subscribe(self, callback: ViewCallback) -> None:
        """Call back with the view, if there is one, and after each change."""
        self._callbacks.append(callback)
        if self._read_s is not None:
            callback(self.view)

    def close(self) -> None:
        """Stop polling."""
        self._timer.cancel()
        self._callbacks.clear()

    def _poll(self) -> None:
        known = (("If-None-Match", self._tag),) if self._tag else ()
        self._client.request(
            address=self._address,
            method="GET",
            target=INSTANCES_PATH,
            headers=known,
            sink=WholeSink(done=self._answered),
            timeout_s=TIMEOUT_S,
        )

    def _answered(self, answer, error) -> None:
        fault = str(error) if error is not None else self._take(*answer)
        if fault:
            self._failed(fault)
        else:
            self._recovered()
        backoff_s = self._interval_s * 2 ** min(self._failures, 8)
        limit_s = max(MAX_BACKOFF_S, self._interval_s)
        self._timer = self._clock.call_later(min(backoff_s, limit_s), self._poll)

    def _take(self, status: int, headers: dict, body: bytes) -> str:
        """Take an answer; return what is wrong with it, or nothing."""
        if status == 304:
            return ""
        if status != 200:
            return f"The membership list answers {status}."
        try:
            view = _decode_view(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return f"The membership list is malformed: {exc}."
        self._tag = headers.get("etag", "")
        self._read_s = self._clock.now()
        if view != self.view:
            self.view = view
            for callback in list(self._callbacks):
                callback(view)
        return ""

    def _failed(self, fault: str) -> None:
        self._failures += 1
        if self._failures == 1:
            self._recorder.note(EventKind.FAULT, fault)

    def _recovered(self) -> None:
        self._read_s = self._clock.now()
        if self._failures:
            detail = f"The membership list answers again after {self._failures} tries."
            self._recorder.note(EventKind.FAULT, detail)
        self._failures = 0
