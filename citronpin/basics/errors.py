"""Typed errors whose messages name the remedy."""

from enum import Enum


class Outcome(Enum):
    """What a caller is told about the effect of a request."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    PARTIAL = "partial"
    UNKNOWN = "unknown"


class CitronpinError(Exception):
    """Base of all errors of the project.

    ``kind`` is a stable, machine-readable name; ``remedy`` tells the reader
    what to change or do next.
    """

    kind = "internal"
    status = 500
    outcome = Outcome.UNKNOWN
    remedy = "Report the request id to the operators."

    def __init__(
        self,
        detail: str,
        *,
        remedy: str | None = None,
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.remedy = remedy or type(self).remedy
        self.outcome = outcome or type(self).outcome
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        return f"{self.detail} {self.remedy}"


class SettingsError(CitronpinError):
    """A setting or manifest field is missing or out of range."""

    kind = "bad-settings"
    remedy = "Correct the named section and key."


class ConnectionFailed(CitronpinError):
    """No connection could be made, so no byte was sent."""

    kind = "connection-failed"
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = "Try again; check that the server at this address runs."


class ConnectionLost(CitronpinError):
    """The connection ended after bytes were sent."""

    kind = "connection-lost"
    status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Ask for the outcome before the call is made again."


class TimedOut(CitronpinError):
    """No answer came within the deadline."""

    kind = "timeout"
    status = 504
    outcome = Outcome.UNKNOWN
    remedy = "Ask for the outcome before the call is made again."


class ProtocolFault(CitronpinError):
    """The other side sent what its protocol does not allow."""

    kind = "protocol-fault"
    status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Check the version of the other side."


class LogUnavailable(CitronpinError):
    """The log service does not answer."""

    kind = "log-unavailable"
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = "Try again when the platform's log service answers."


class StaleFence(CitronpinError):
    """An order or record carries a fencing number that was superseded."""

    kind = "stale-fence"
    status = 409
    outcome = Outcome.NOT_RUN
    remedy = "Read the current lease from the log and decide anew."


class EngineRefused(CitronpinError):
    """An engine refused a submission or an order, so it was not run there."""

    kind = "engine-refused"
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = "Try again; another group may take it."


class EngineFault(CitronpinError):
    """A generation broke and could not be taken up again."""

    kind = "generation-broken"
    status = 502
    remedy = "Send the request again; a generation may be repeated."


class NoGroupReady(CitronpinError):
    """No group that may take the request serves now."""

    kind = "no-group-ready"
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = "Try again; ask the operators if it lasts."


class BadSubmission(CitronpinError):
    """An engine rejects the body of a request."""

    kind = "bad-request"
    status = 400
    remedy = "Correct the request as the detail says."
