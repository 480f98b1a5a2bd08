"""The filter chain of callers' requests, and the filters that all chains share."""

import hashlib
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.errors import CitronpinError, Outcome
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import CustomerName, RequestId, new_id
from citronpin.basics.refusals import BadBody, NotIdentified
from citronpin.state.manifests import (
    ApplicationManifest,
    CallRule,
    Customer,
    DeploymentManifest,
)
from citronpin.web.servers import PROBLEM_TYPE, HttpRequest, Reply, problem_body

logger = logging.getLogger(__name__)

REQUEST_ID_HEADER = "Citronpin-Request-Id"
OUTCOME_HEADER = "Citronpin-Outcome"
BEARER_PREFIX = "Bearer "
ANONYMOUS = Customer(name=CustomerName(""), key_digests=())


class Ending(msgspec.Struct, frozen=True):
    """The end of a request; ``tokens`` counts the tokens that it generated."""

    outcome: Outcome
    status: int
    error: CitronpinError | None = None
    tokens: int = 0


class Context:
    """The state of one request in the filter chain; it ends exactly once.

    ``started_s`` and ``deadline_s`` are times of ``clock``.
    """

    def __init__(
        self, *, req: HttpRequest, reply: Reply, clock: Clock, recorder: Recorder
    ) -> None:
        self.req = req
        self.reply = reply
        self.clock = clock
        self.recorder = recorder
        self.id = RequestId(new_id())
        self.started_s = clock.now()
        self.deadline_s = self.started_s
        self.customer: Customer = ANONYMOUS
        self.priority = 0
        self.deployment: DeploymentManifest | None = None
        self.application: ApplicationManifest | None = None
        self.rule: CallRule | None = None
        self.grant = None  # for a call that must not be repeated
        self.chat: dict = {}
        self.repeatable = True
        self.first_token_s: float | None = None
        self.ending: Ending | None = None
        self._on_end: list[Callable[[Ending], None]] = []

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers that every answer has."""
        return {REQUEST_ID_HEADER: self.id}

    def on_end(self, callback: Callable[[Ending], None]) -> None:
        """Call back once when the request ends, whatever its outcome."""
        self._on_end.append(callback)

    def end(self, ending: Ending) -> bool:
        """Record the end; return ``False`` if the request had ended before."""
        if self.ending is not None:
            return False
        self.ending = ending
        kind = EventKind.REQUEST_ENDED
        if ending.outcome is Outcome.NOT_RUN:
            kind = EventKind.REQUEST_REFUSED
        reason = f": {ending.error.kind}" if ending.error else ""
        self.recorder.note(kind, ending.outcome.value + reason, request=self.id)
        callbacks, self._on_end = self._on_end, []
        for callback in callbacks:
            callback(ending)
        return True

    def refuse(self, error: CitronpinError) -> None:
        """End the request with problem details before any byte of an answer."""
        ending = Ending(outcome=error.outcome, status=error.status, error=error)
        if not self.end(ending):
            return
        headers = self.headers | {OUTCOME_HEADER: error.outcome.value}
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
        body = self.problem(error)
        self.reply.send_response(error.status, body, PROBLEM_TYPE, headers)

    def problem(self, error: CitronpinError) -> bytes:
        """Return the problem details of an error as a JSON body."""
        return problem_body(
            error.status,
            error.kind,
            error.detail,
            error.remedy,
            outcome=error.outcome.value,
            request_id=self.id,
        )


Proceed = Callable[[Context], None]


class Filter(ABC):
    """One step of a filter chain.

    A filter calls ``proceed`` once, now or later, ends the context, or raises a
    `CitronpinError` that refuses the request.
    """

    @abstractmethod
    def handle(self, ctx: Context, proceed: Proceed) -> None:
        """Process a request."""


class FilterChain:
    """Passes a context through filters in order until one ends it."""

    def __init__(self, *, filters: tuple[Filter, ...]) -> None:
        self._filters = filters

    def run(self, ctx: Context) -> None:
        """Pass a request to the first filter."""
        self._run_filter(ctx, 0)

    def _run_filter(self, ctx: Context, index: int) -> None:
        if ctx.ending is not None or index >= len(self._filters):
            return
        current_filter = self._filters[index]
        try:
            current_filter.handle(
                ctx, lambda next_ctx: self._run_filter(next_ctx, index + 1)
            )
        except CitronpinError as exc:
            ctx.refuse(exc)
        except Exception:
            logger.exception("request %s failed in a filter", ctx.id)
            ctx.refuse(CitronpinError("The request failed inside the entry."))


class GateFilter(Filter):
    """Refuses requests and closes their connections while ``refusal`` gives an error.

    This is so while the entry drains or cannot confirm its configuration.
    """

    def __init__(self, *, refusal: Callable[[], CitronpinError | None]) -> None:
        self._refusal = refusal

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        error = self._refusal()
        if error is not None:
            ctx.reply.close_after()
            raise error
        proceed(ctx)


class AuthenticationFilter(Filter):
    """Finds the customer of the bearer key, and the request's priority and deadline.

    Raises `NotIdentified` or `BadBody`.
    """

    def __init__(self, *, customers: Callable[[], dict[str, Customer]]) -> None:
        self._customers = customers

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        header = ctx.req.headers.get("authorization", "")
        if not header.startswith(BEARER_PREFIX):
            raise NotIdentified("The request has no bearer key.")
        digest = key_digest(header[len(BEARER_PREFIX) :].strip())
        customer = self._customers().get(digest)
        if customer is None:
            raise NotIdentified("The bearer key belongs to no customer.")
        ctx.customer = customer
        ctx.priority = _priority(ctx.req, customer)
        ctx.deadline_s = ctx.started_s + _time_limit_s(ctx.req, customer)
        proceed(ctx)


def key_digest(key: str) -> str:
    """Return the digest of a bearer key: SHA-256 in hexadecimal, as in manifests."""
    return hashlib.sha256(key.encode()).hexdigest()


def _priority(req: HttpRequest, customer: Customer) -> int:
    """Return the requested priority, at most the customer's."""
    value = req.headers.get("citronpin-priority")
    if value is None:
        return customer.priority
    try:
        return min(int(value), customer.priority)
    except ValueError:
        raise BadBody("Citronpin-Priority is not a whole number.") from None


def _time_limit_s(req: HttpRequest, customer: Customer) -> float:
    """Return the requested time limit in seconds, at most the customer's."""
    value = req.headers.get("citronpin-deadline-ms")
    if value is None:
        return customer.deadline_s
    try:
        requested_s = int(value) / MS_PER_S
    except ValueError:
        raise BadBody("Citronpin-Deadline-Ms is not a whole number.") from None
    if requested_s <= 0:
        raise BadBody("Citronpin-Deadline-Ms is not above 0.")
    return min(requested_s, customer.deadline_s)
