"""Sends a request to one recipient and classifies how the attempt ended."""

import logging
from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.errors import CitronpinError, ConnectionFailed, TimedOut
from citronpin.basics.ids import InstanceId
from citronpin.gateway.forward_codecs import REFUSAL_HEADER
from citronpin.gateway.ports import HeaderNames
from citronpin.web.clients import Exchange, HttpClient, ResponseSink

logger = logging.getLogger(__name__)

MISDIRECTED_STATUS = 421
REFUSED_STATUS = 503
FRAMING_HEADERS = ("content-length", "transfer-encoding")
CONNECT_TIMEOUT_S = 0.4  # connecting takes milliseconds; a dead host never replies
MAX_BUFFERED_BYTES = 16 * 1024 * 1024


class Fault(Enum):
    """Why an attempt produced no valid answer."""

    UNSENT = "unsent"  # no byte was sent to the instance
    NOT_RUN = "not-run"  # the instance reports that it did not run the request
    LOST = "lost"  # the answer is incomplete; the request may have run
    INVALID = "spoilt"  # the answer is corrupt or belongs to another request
    TIMED_OUT = "timed-out"
    STALLED = "stalled"  # cancelled because no more data arrived
    ERROR = "error"  # the instance ran the request and returned an error

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have run."""
        return self not in (Fault.UNSENT, Fault.NOT_RUN)


class OutgoingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a request that are the same in every attempt."""

    method: str
    target: str
    host: str
    attempt_id: str
    body: bytes


class AttemptRecipient(ABC):
    """What an attempt is sent to."""

    address: str  # IP:PORT
    is_entry = False  # whether it is another entry, which sends to an instance
    max_runs = 1  # instances that may run the request in one attempt

    @abstractmethod
    def summary(self) -> dict[str, object]:
        """Return the log fields that name the recipient."""


class AttemptOwner(ABC):
    """Receives the events of an attempt."""

    @abstractmethod
    def attempt_head(self, attempt: "Attempt") -> None:
        """Handle the status and headers of an answer to this request."""

    @abstractmethod
    def attempt_data(self, attempt: "Attempt", data: bytes) -> None:
        """Handle a piece of the body."""

    @abstractmethod
    def attempt_ended(self, attempt: "Attempt") -> None:
        """Handle the end of a complete answer."""

    @abstractmethod
    def attempt_failed(self, attempt: "Attempt", fault: Fault) -> None:
        """Handle a failure, after which no other event follows."""


def parse_cold_s(text: str) -> float:
    """Return the seconds in a header that tells how much longer an instance is cold.

    A value that is no positive number of milliseconds counts as 0.
    """
    try:
        cold_s = float(text) / MS_PER_S
    except ValueError:
        return 0.0
    return cold_s if 0.0 < cold_s < float("inf") else 0.0


class Attempt(ResponseSink):
    """Sends a request to a recipient and checks that the answer belongs to it."""

    def __init__(
        self,
        *,
        owner: AttemptOwner,
        recipient: AttemptRecipient,
        names: HeaderNames,
        client: HttpClient,
        clock: Clock,
    ) -> None:
        self._owner = owner
        self._names = names
        self._client = client
        self._clock = clock
        self._exchange: Exchange | None = None
        self.recipient = recipient
        self.sent_s = clock.now()
        self.first_s: float | None = None  # clock time of the first body bytes
        self.ended_s: float | None = None
        self.fault: Fault | None = None
        self.detail = ""
        self.events = 0  # forwarded events of a stream
        self.status = 0
        self.headers: dict[str, str] = {}
        self._id = ""

    def send(
        self,
        outgoing: OutgoingRequest,
        headers: tuple[tuple[str, str], ...],
        max_idle_s: float,
    ) -> None:
        """Send the request.

        A pooled connection that was idle for more than ``max_idle_s`` seconds is not
        reused.
        """
        self._id = outgoing.attempt_id
        self._exchange = self._client.request(
            address=self.recipient.address,
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
    def is_over(self) -> bool:
        """Return whether the attempt has ended or was cancelled."""
        return self.ended_s is not None

    @property
    def is_unsent(self) -> bool:
        """Return whether the attempt still waits for its connection."""
        return self._exchange is None or self._client.is_unsent(self._exchange)

    @property
    def refusal(self) -> str:
        """Return the kind of refusal if the answer is one of another entry itself."""
        if not self.recipient.is_entry:
            return ""
        return self.headers.get(REFUSAL_HEADER, "")

    @property
    def is_framed(self) -> bool:
        """Return whether the answer has an end other than that of its connection."""
        return not self.headers.keys().isdisjoint(FRAMING_HEADERS)

    @property
    def not_run(self) -> bool:
        """Return whether the answer states that the request did not run.

        A refusal that came with more bytes is not believed: a faulty instance may have
        written an earlier refusal before the answer of this request.
        """
        if self._exchange is not None and self._exchange.has_extra:
            return False
        return self._names.not_run in self.headers or self.status == MISDIRECTED_STATUS

    @property
    def named_limit(self) -> float | None:
        """Return the requests per second that the answer says the instance takes.

        ``None`` means that it names none. A value that is no such number is ignored.
        """
        try:
            limit = float(self.headers.get(self._names.request_limit, ""))
        except ValueError:
            return None
        return limit if 0.0 <= limit < float("inf") else None

    @property
    def named_cold_s(self) -> float:
        """Return for how long the answer says the instance is cold, 0 if it does not.

        A value that is no such number is ignored.
        """
        return parse_cold_s(self.headers.get(self._names.cold_ms, ""))

    @property
    def named_rest_s(self) -> float:
        """Return for how many seconds the instance wants no request, 0 for none.

        Only a refusal names a rest. A value that is no such number, a date for
        instance, is ignored.
        """
        if self.status != REFUSED_STATUS:
            return 0.0
        try:
            rest_s = float(self.headers.get(self._names.retry_after, ""))
        except ValueError:
            return 0.0
        return rest_s if 0.0 < rest_s < float("inf") else 0.0

    @property
    def names_leaving(self) -> bool:
        """Return whether the answer says that the instance leaves."""
        return self.headers.get(self._names.leaving, "").strip() == "1"

    def is_misdirected_at(self, instance: InstanceId) -> bool:
        """Return whether an instance says that it does not serve the request itself.

        With another id or none, another instance may have its address.
        """
        names_itself = self.headers.get(self._names.instance_id) == instance
        return self.status == MISDIRECTED_STATUS and names_itself

    @property
    def is_genuine(self) -> bool:
        """Return whether the answer carries the instance's digest and no encoding."""
        return self._names.digest in self.headers and not self.headers.get(
            "content-encoding"
        )

    def cancel(self, fault: Fault, detail: str = "") -> None:
        """Cancel the attempt without notifying the owner."""
        if self.is_over:
            return
        self._record_fault(fault, detail)
        if self._exchange is not None:
            self._client.cancel(self._exchange)

    def pause_reading(self, for_s: float) -> None:
        """Read no more of the answer for some seconds, or until `resume_reading`."""
        if not self.is_over and self._exchange is not None:
            self._client.pause_reading(self._exchange, for_s)

    def resume_reading(self) -> None:
        """Read the answer on."""
        if self._exchange is not None:
            self._client.resume_reading(self._exchange)

    @property
    def is_paused(self) -> bool:
        """Return whether the answer is not read now."""
        return self._exchange is not None and self._client.is_paused(self._exchange)

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers
        echoed = headers.get(self._names.attempt)
        if echoed is not None and echoed != self._id:
            self._fail_misrouted("the answer belongs to another request")
            return
        if echoed is None and self._id and self._exchange.is_reused:
            self._fail_misrouted("the answer may belong to an earlier request")
            return
        if not self.is_over:
            self._owner.attempt_head(self)

    def data(self, data: bytes) -> None:
        if self.is_over:
            return
        if self.first_s is None:
            self.first_s = self._clock.now()
        self._owner.attempt_data(self, data)

    def end(self) -> None:
        if self.is_over:
            return
        self.ended_s = self._clock.now()
        self._owner.attempt_ended(self)

    def failed(self, error: CitronpinError) -> None:
        if self.is_over:
            return
        if isinstance(error, ConnectionFailed):
            fault = Fault.UNSENT
        elif isinstance(error, TimedOut):
            fault = Fault.TIMED_OUT
        else:
            fault = Fault.LOST
        self._record_fault(fault, error.detail)
        self._owner.attempt_failed(self, fault)

    def _fail_misrouted(self, detail: str) -> None:
        self._record_fault(Fault.INVALID, detail)
        if self._exchange is not None:
            self._client.cancel(self._exchange)
        self._owner.attempt_failed(self, Fault.INVALID)

    def _record_fault(self, fault: Fault, detail: str) -> None:
        self.ended_s = self._clock.now()
        self.fault = fault
        self.detail = detail

    def summary(self) -> dict[str, object]:
        """Return the log fields of the attempt; times in milliseconds."""
        fields = self.recipient.summary()
        if self.status:
            fields["status"] = self.status
        if self.named_limit is not None:
            fields["limit"] = self.named_limit
        if self.named_cold_s:
            fields["cold_ms"] = round(self.named_cold_s * MS_PER_S)
        if self.named_rest_s:
            fields["rest_ms"] = round(self.named_rest_s * MS_PER_S)
        if self.names_leaving:
            fields["leaving"] = True
        if self.refusal:
            fields["refusal"] = self.refusal
        if self.first_s is not None:
            fields["first_ms"] = round((self.first_s - self.sent_s) * 1000)
        if self.ended_s is not None:
            fields["ms"] = round((self.ended_s - self.sent_s) * 1000)
        if self.fault is not None:
            fields["fault"] = self.fault.value
            fields["detail"] = self.detail
        return fields
