"""Calls to plain services: rules of the manifest, servers, answers."""

import fnmatch
import logging
from collections.abc import Callable

import xxhash
from result import Ok, Result

from citronpin.backends.server_pools import ServerPool
from citronpin.backends.services import ServiceClient, ServiceResponse
from citronpin.basics.errors import CitronpinError, Outcome
from citronpin.basics.events import EventKind
from citronpin.basics.ids import ApplicationName, InstanceId
from citronpin.basics.refusals import NoServer, NotPermitted, UnknownApplication
from citronpin.callers.filters import OUTCOME_HEADER, Context, Ending, Filter, Proceed
from citronpin.state.instances import Instance
from citronpin.state.manifests import ApplicationManifest, CallRule

logger = logging.getLogger(__name__)

PATH_PREFIX = "/applications/"
KEY_HEADER = "idempotency-key"
READ_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_TRIES = 3
NO_SERVER_RETRY_S = 2.0
WITHHELD_HEADERS = frozenset({"authorization", "expect"})
DEFAULT_TYPE = "application/octet-stream"


def find_rule(manifest: ApplicationManifest, method: str, path: str) -> CallRule:
    """Return the first rule that matches; reads may be repeated by default."""
    for rule in manifest.calls:
        if rule.method in ("*", method) and fnmatch.fnmatchcase(path, rule.path):
            return rule
    return CallRule(method=method, path=path, repeatable=method in READ_METHODS)


def call_digest(method: str, target: str, body: bytes) -> str:
    """Return the digest that tells whether a key is used for the same request."""
    digest = xxhash.xxh3_128()
    for part in (method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class ApplicationFilter(Filter):
    """Finds the application and the rule of a call."""

    def __init__(
        self, *, applications: Callable[[], dict[ApplicationName, ApplicationManifest]]
    ) -> None:
        self._applications = applications

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        name, _, rest = ctx.req.path.removeprefix(PATH_PREFIX).partition("/")
        manifest = self._applications().get(ApplicationName(name))
        if manifest is None:
            raise UnknownApplication(f"There is no application {name!r}.")
        permitted = ctx.customer.applications
        if permitted and name not in permitted:
            raise NotPermitted(f"{ctx.customer.name} may not use {name}.")
        ctx.application = manifest
        ctx.rule = find_rule(manifest, ctx.req.method, f"/{rest}")
        ctx.repeatable = ctx.rule.repeatable
        ctx.deadline_s = min(ctx.deadline_s, ctx.started_s + manifest.timeout_s)
        proceed(ctx)


def service_target(ctx: Context) -> str:
    """Return the target below the application's own root."""
    prefix = f"{PATH_PREFIX}{ctx.application.name}"
    return ctx.req.target.removeprefix(prefix) or "/"


class ServiceFilter(Filter):
    """Sends a call to a server and its answer to the caller.

    A call that may be repeated is tried on other servers; any other is sent to
    another server only while it is proved that no byte of it has left.
    """

    def __init__(self, *, client: ServiceClient, pool: ServerPool) -> None:
        self._client = client
        self._pool = pool

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        ServiceRun(client=self._client, pool=self._pool, ctx=ctx).start()


class ServiceRun:
    """One call on its way through the servers of an application."""

    def __init__(
        self, *, client: ServiceClient, pool: ServerPool, ctx: Context
    ) -> None:
        self._client = client
        self._pool = pool
        self._ctx = ctx
        self._tried: frozenset[InstanceId] = frozenset()
        self._maybe_run = False

    def start(self) -> None:
        """Send the call to the best server."""
        self._try(NoServer("No server is in service.", retry_after_s=NO_SERVER_RETRY_S))

    def _try(self, reason: CitronpinError) -> None:
        ctx = self._ctx
        server = self._pool.choose(ctx.application.name, self._tried)
        left_s = ctx.deadline_s - ctx.clock.now()
        if server is None or len(self._tried) >= MAX_TRIES or left_s <= 0:
            self._give_up(reason)
            return
        grant = ctx.grant
        if grant is not None and not grant.dispatch():
            self._give_up(reason)
            return
        self._tried |= {server.id}
        self._send(server, left_s)

    def _send(self, server: Instance, left_s: float) -> None:
        ctx = self._ctx
        ctx.recorder.note(
            EventKind.REQUEST_DISPATCHED, f"server {server.id}", request=ctx.id
        )
        ended = self._pool.started(server)
        sent_s = ctx.clock.now()

        def done(result: Result[ServiceResponse, CitronpinError]) -> None:
            ended(isinstance(result, Ok), ctx.clock.now() - sent_s)
            self._take(result)

        self._client.call(
            address=server.address,
            method=ctx.req.method,
            target=service_target(ctx),
            headers=passed_headers(ctx),
            body=ctx.req.body,
            timeout_s=left_s,
            done=done,
        )

    def _take(self, result: Result[ServiceResponse, CitronpinError]) -> None:
        if isinstance(result, Ok):
            self._answer(result.ok_value)
            return
        error = result.err_value
        not_run = error.outcome is Outcome.NOT_RUN
        self._maybe_run = self._maybe_run or not not_run
        if not_run and self._ctx.grant is not None:
            self._ctx.grant.retract()
        if not_run or self._ctx.repeatable:
            self._try(error)
        else:
            self._give_up(error)

    def _answer(self, answer: ServiceResponse) -> None:
        ctx = self._ctx
        if ctx.grant is not None:
            ctx.grant.finish(Outcome.COMPLETE, answer)
        send_service_answer(ctx, answer)

    def _give_up(self, error: CitronpinError) -> None:
        ctx = self._ctx
        error.outcome = Outcome.UNKNOWN if self._maybe_run else Outcome.NOT_RUN
        if ctx.grant is not None:
            if self._maybe_run:
                ctx.grant.finish(Outcome.UNKNOWN, None)
            else:
                ctx.grant.abandon()
        ctx.refuse(error)


def passed_headers(ctx: Context) -> tuple[tuple[str, str], ...]:
    """Return the headers that a server gets."""
    given = ctx.req.headers.items()
    kept = [(name, value) for name, value in given if name not in WITHHELD_HEADERS]
    return (*kept, ("citronpin-request-id", ctx.id))


def send_service_answer(ctx: Context, answer: ServiceResponse) -> None:
    """Answer the caller with what a server answered."""
    if not ctx.end(Ending(outcome=Outcome.COMPLETE, status=answer.status)):
        return
    headers = ctx.headers | {OUTCOME_HEADER: Outcome.COMPLETE.value}
    content_type = answer.headers.get("content-type", DEFAULT_TYPE)
    ctx.reply.send_response(answer.status, answer.body, content_type, headers)
