"""One send of a request to one instance, and how it ended."""

import logging
from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError, ConnectionFailed, TimedOut
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.ports import HeaderNames
from citronpin.web.clients import Exchange, HttpClient, ResponseSink

logger = logging.getLogger(__name__)

MISDIRECTED = 421
CONNECT_TIMEOUT_S = 0.4  # a connection takes some ms; a dead machine never answers
MAX_WHOLE_BYTES = 16 * 1024 * 1024


class Fault(Enum):
    """Why an attempt brought no sound answer."""

    UNSENT = "unsent"  # no byte left for the instance
    NOT_RUN = "not-run"  # the instance says that it did not run it
    LOST = "lost"  # no whole answer; it may have run
    SPOILT = "spoilt"  # bytes that are no answer to this request
    TIMED_OUT = "timed-out"
    STALLED = "stalled"  # given up since nothing more came
    ERROR = "error"  # the instance ran it and answered with an error

    @property
    def ran(self) -> bool:
        """Return whether the request may have run."""
        return self not in (Fault.UNSENT, Fault.NOT_RUN)


class OutgoingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What is sent, the same for every attempt but for some headers."""

    method: str
    target: str
    host: str
    attempt_id: str
    body: bytes


class AttemptOwner(ABC):
    """Is told what comes of an attempt."""

    @abstractmethod
    def attempt_head(self, attempt: "Attempt") -> None:
        """The head of an answer to this request arrived."""

    @abstractmethod
    def attempt_data(self, attempt: "Attempt", data: bytes) -> None:
        """A piece of the body arrived."""

    @abstractmethod
    def attempt_ended(self, attempt: "Attempt") -> None:
        """The answer is whole."""

    @abstractmethod
    def attempt_failed(self, attempt: "Attempt", fault: Fault) -> None:
        """No more will come."""


class Attempt(ResponseSink):
    """Sends a request to an instance and checks that the answer belongs to it."""

    def __init__(
        self,
        *,
        owner: AttemptOwner,
        instance: FleetInstance,
        load: int,
        names: HeaderNames,
        client: HttpClient,
        clock: Clock,
    ) -> None:
        self._owner = owner
        self._names = names
        self._client = client
        self._clock = clock
        self._exchange: Exchange | None = None
        self.instance = instance
        self.load = load
        self.sent_s = clock.now()
        self.first_s: float | None = None  # when the first piece arrived
        self.ended_s: float | None = None
        self.fault: Fault | None = None
        self.detail = ""
        self.events = 0  # of a stream
        self.status = 0
        self.headers: dict[str, str] = {}
        self._id = ""

    def send(
        self,
        outgoing: OutgoingRequest,
        headers: tuple[tuple[str, str], ...],
        max_idle_s: float,
    ) -> None:
        """Send the request; ``max_idle_s`` bounds the reuse of connections."""
        self._id = outgoing.attempt_id
        self._exchange = self._client.request(
            address=self.instance.address,
            method=outgoing.method,
            target=outgoing.target,
            host=outgoing.host,
            headers=headers,
            body=outgoing.body,
            sink=self,
            timeout_s=None,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_idle_s=max_idle_s,
        )

    @property
    def over(self) -> bool:
        """Return whether the owner hears no more of this attempt."""
        return self.ended_s is not None

    @property
    def not_run(self) -> bool:
        """Return whether the answer says that the request did not run."""
        return self._names.not_run in self.headers or self.status == MISDIRECTED

    @property
    def genuine(self) -> bool:
        """Return whether the answer is the instance's own and not encoded."""
        return self._names.digest in self.headers and not self.headers.get(
            "content-encoding"
        )

    def cancel(self, fault: Fault, detail: str = "") -> None:
        """Give the attempt up; the owner hears no more."""
        if self.over:
            return
        self._end(fault, detail)
        if self._exchange is not None:
            self._client.cancel(self._exchange)

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers
        echoed = headers.get(self._names.attempt)
        if echoed is not None and echoed != self._id:
            self._spoil("the answer belongs to another request")
            return
        if not self.over:
            self._owner.attempt_head(self)

    def data(self, data: bytes) -> None:
        if self.over:
            return
        if self.first_s is None:
            self.first_s = self._clock.now()
        self._owner.attempt_data(self, data)

    def end(self) -> None:
        if self.over:
            return
        self.ended_s = self._clock.now()
        self._owner.attempt_ended(self)

    def failed(self, error: CitronpinError) -> None:
        if self.over:
            return
        if isinstance(error, ConnectionFailed):
            fault = Fault.UNSENT
        elif isinstance(error, TimedOut):
            fault = Fault.TIMED_OUT
        else:
            fault = Fault.LOST
        self._end(fault, error.detail)
        self._owner.attempt_failed(self, fault)

    def _spoil(self, detail: str) -> None:
        self._end(Fault.SPOILT, detail)
        if self._exchange is not None:
            self._client.cancel(self._exchange)
        self._owner.attempt_failed(self, Fault.SPOILT)

    def _end(self, fault: Fault, detail: str) -> None:
        self.ended_s = self._clock.now()
        self.fault = fault
        self.detail = detail

    def summary(self) -> dict[str, object]:
        """Return what the log tells of the attempt; times in milliseconds."""
        told: dict[str, object] = {"instance": self.instance.id, "load": self.load}
        seen = self.instance.membership
        if seen is not None:
            told["group"] = f"{seen.group}/{seen.epoch}"
        if self.status:
            told["status"] = self.status
        if self.first_s is not None:
            told["first_ms"] = round((self.first_s - self.sent_s) * 1000)
        if self.ended_s is not None:
            told["ms"] = round((self.ended_s - self.sent_s) * 1000)
        if self.fault is not None:
            told["fault"] = self.fault.value
            told["detail"] = self.detail
        return told
