"""Error classes with a machine-readable kind, an HTTP status and a remedy."""

from enum import Enum


class Outcome(Enum):
    """Whether a request took effect, as reported to its caller."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    PARTIAL = "partial"
    UNKNOWN = "unknown"


class CitronpinError(Exception):
    """Base of all errors of the project.

    ``kind`` is a stable, machine-readable name, ``status`` the HTTP status of the
    response, and ``remedy`` the next step for the reader. ``retry_after_s`` is the
    time in seconds after which to try again.
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
    """A setting or manifest field is missing, unknown, unreadable or out of range."""

    kind = "bad-settings"
    remedy = "Correct the named section and key."


class ConnectionFailed(CitronpinError):
    """No byte of the request was sent, so it certainly had no effect."""

    kind = "connection-failed"
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = "Try again; check that the server at this address runs."


class ConnectionLost(CitronpinError):
    """The connection failed after part of the request was sent."""

    kind = "connection-lost"
    status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Ask for the outcome before the call is made again."


class TimedOut(CitronpinError):
    """No answer arrived before the deadline."""

    kind = "timeout"
    status = 504
    outcome = Outcome.UNKNOWN
    remedy = "Ask for the outcome before the call is made again."


class ProtocolFault(CitronpinError):
    """The peer sent data that its protocol does not allow."""

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
    """An order or record carries a fencing number that a newer one has replaced."""

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
    """A generation failed and could not be resumed on another group."""

    kind = "generation-broken"
    status = 502
    remedy = "Send the request again; a generation may be repeated."


class NoGroupReady(CitronpinError):
    """None of the groups that may take the request is serving."""

    kind = "no-group-ready"
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = "Try again; ask the operators if it lasts."


class BadSubmission(CitronpinError):
    """An engine rejected the request body as invalid."""

    kind = "bad-request"
    status = 400
    remedy = "Correct the request as the detail says."
