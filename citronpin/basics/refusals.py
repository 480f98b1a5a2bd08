"""Errors with which an entry answers a request that it refuses or cannot complete."""

from citronpin.basics.errors import CitronpinError, Outcome


class Refusal(CitronpinError):
    """A request that was refused before it ran."""

    outcome = Outcome.NOT_RUN
    status = 400


class NotIdentified(Refusal):
    """The bearer key is missing or belongs to no customer."""

    kind = "not-identified"
    status = 401
    remedy = "Send the header Authorization: Bearer KEY with a key of a customer."


class NotPermitted(Refusal):
    """The customer may not use the model or application that the request names."""

    kind = "not-permitted"
    status = 403
    remedy = "Ask the operators to add it to the customer's manifest."


class BadBody(Refusal):
    """The body or a header cannot be parsed or lacks a field."""

    kind = "bad-body"
    status = 400
    remedy = "Correct the named field; the API page shows each."


class UnknownModel(Refusal):
    """No deployment has the name of the requested model."""

    kind = "unknown-model"
    status = 404
    remedy = "GET /v1/models lists the names."


class UnknownApplication(Refusal):
    """No application has the name in the path."""

    kind = "unknown-application"
    status = 404
    remedy = "Check the name in the path, or publish a manifest for it."


class Draining(Refusal):
    """The entry is stopping and accepts no new requests."""

    kind = "draining"
    status = 503
    remedy = "Send the request again; the balancer chooses another entry."


class NotReady(Refusal):
    """The entry cannot confirm that its configuration is the one in force."""

    kind = "not-ready"
    status = 503
    remedy = "Send the request again; the balancer chooses another entry."


class NoGroup(Refusal):
    """No group of the deployment is serving."""

    kind = "no-group"
    status = 503
    remedy = "Send the request again after the time in Retry-After."


class NoServer(Refusal):
    """No backend server of the application is in service."""

    kind = "no-server"
    status = 503
    remedy = "Send the request again after the time in Retry-After."


class Overloaded(Refusal):
    """The request cannot be served before its deadline."""

    kind = "overloaded"
    status = 503
    remedy = "Send the request again after the time in Retry-After."


class LimitExceeded(Refusal):
    """The customer has used up its limit."""

    kind = "limit-exceeded"
    status = 429
    remedy = "Slow down; send the request again after the time in Retry-After."


class KeyMissing(Refusal):
    """A non-repeatable call has no idempotency key."""

    kind = "key-missing"
    status = 400
    remedy = "Send a fresh UUIDv7 in the header Idempotency-Key."


class KeyTooOld(Refusal):
    """The idempotency key is older than the period for which outcomes are kept."""

    kind = "key-too-old"
    status = 422
    remedy = "Look the outcome up in the application before using a fresh key."


class KeyReused(Refusal):
    """The idempotency key was used for another request."""

    kind = "key-reused"
    status = 422
    remedy = "Use a fresh UUIDv7 for each request."


class CallPending(CitronpinError):
    """Another attempt of the same call is in progress."""

    kind = "call-pending"
    status = 409
    outcome = Outcome.UNKNOWN
    remedy = "Send the request again with the same key to learn its outcome."


class OutcomeUnknown(CitronpinError):
    """The call was dispatched, but its response was lost."""

    kind = "outcome-unknown"
    status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Send it again with the same key, or look it up in the application."
