"""Routes calls to the servers of plain services and passes their answers on."""

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

APPLICATIONS_PATH = "/applications/"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_SERVERS_TRIED = 3  # per call
NO_SERVER_RETRY_AFTER_S = 2.0
UNFORWARDED_HEADERS = frozenset({"authorization", "expect"})
DEFAULT_CONTENT_TYPE = "application/octet-stream"


def find_rule(manifest: ApplicationManifest, method: str, path: str) -> CallRule:
    """Return the first rule that matches, or a default by which only reads repeat."""
    for rule in manifest.calls:
        if rule.method in ("*", method) and fnmatch.fnmatchcase(path, rule.path):
            return rule
    return CallRule(method=method, path=path, repeatable=method in SAFE_METHODS)


def call_digest(method: str, target: str, body: bytes) -> str:
    """Return the digest of a request, by which a key's use for another one shows."""
    digest = xxhash.xxh3_128()
    for part in (method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class ApplicationFilter(Filter):
    """Finds the application and the rule of a call, and limits its deadline.

    Raises `UnknownApplication` or `NotPermitted`.
    """

    def __init__(
        self, *, applications: Callable[[], dict[ApplicationName, ApplicationManifest]]
    ) -> None:
        self._applications = applications

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        name, _, rest = ctx.req.path.removeprefix(APPLICATIONS_PATH).partition("/")
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
    """Return the request target without the prefix of the application's path."""
    prefix = f"{APPLICATIONS_PATH}{ctx.application.name}"
    return ctx.req.target.removeprefix(prefix) or "/"


class ServiceFilter(Filter):
    """Sends a call to a server and its answer to the caller.

    A repeatable call is retried on other servers after any error. Any other call
    is retried only while it is proved that no byte of it was sent.
    """

    def __init__(self, *, client: ServiceClient, pool: ServerPool) -> None:
        self._client = client
        self._pool = pool

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        ServiceDispatch(client=self._client, pool=self._pool, ctx=ctx).start()


class ServiceDispatch:
    """The dispatch of one call to the servers of an application, one after another."""

    def __init__(
        self, *, client: ServiceClient, pool: ServerPool, ctx: Context
    ) -> None:
        self._client = client
        self._pool = pool
        self._ctx = ctx
        self._tried: frozenset[InstanceId] = frozenset()
        self._maybe_run = False

    def start(self) -> None:
        """Send the call to the server that the pool prefers."""
        self._try_next_server(
            NoServer("No server is in service.", retry_after_s=NO_SERVER_RETRY_AFTER_S)
        )

    def _try_next_server(self, reason: CitronpinError) -> None:
        ctx = self._ctx
        server = self._pool.choose(ctx.application.name, self._tried)
        left_s = ctx.deadline_s - ctx.clock.now()
        if server is None or len(self._tried) >= MAX_SERVERS_TRIED or left_s <= 0:
            self._fail(reason)
            return
        grant = ctx.grant
        if grant is not None and not grant.dispatch():
            self._fail(reason)
            return
        self._tried |= {server.id}
        self._send(server, left_s)

    def _send(self, server: Instance, left_s: float) -> None:
        ctx = self._ctx
        ctx.recorder.note(
            EventKind.REQUEST_DISPATCHED, f"server {server.id}", request=ctx.id
        )
        record_end = self._pool.started(server)
        sent_s = ctx.clock.now()

        def done(result: Result[ServiceResponse, CitronpinError]) -> None:
            record_end(isinstance(result, Ok), ctx.clock.now() - sent_s)
            self._on_result(result)

        self._client.call(
            address=server.address,
            method=ctx.req.method,
            target=service_target(ctx),
            headers=forwarded_headers(ctx),
            body=ctx.req.body,
            timeout_s=left_s,
            done=done,
        )

    def _on_result(self, result: Result[ServiceResponse, CitronpinError]) -> None:
        if isinstance(result, Ok):
            self._complete(result.ok_value)
            return
        error = result.err_value
        not_run = error.outcome is Outcome.NOT_RUN
        self._maybe_run = self._maybe_run or not not_run
        if not_run and self._ctx.grant is not None:
            self._ctx.grant.retract()
        if not_run or self._ctx.repeatable:
            self._try_next_server(error)
        else:
            self._fail(error)

    def _complete(self, answer: ServiceResponse) -> None:
        ctx = self._ctx
        if ctx.grant is not None:
            ctx.grant.finish(Outcome.COMPLETE, answer)
        send_service_answer(ctx, answer)

    def _fail(self, error: CitronpinError) -> None:
        ctx = self._ctx
        error.outcome = Outcome.UNKNOWN if self._maybe_run else Outcome.NOT_RUN
        if ctx.grant is not None:
            if self._maybe_run:
                ctx.grant.finish(Outcome.UNKNOWN, None)
            else:
                ctx.grant.abandon()
        ctx.refuse(error)


def forwarded_headers(ctx: Context) -> tuple[tuple[str, str], ...]:
    """Return the request headers to forward to a server, with the request id."""
    headers = ctx.req.headers.items()
    kept = [(name, value) for name, value in headers if name not in UNFORWARDED_HEADERS]
    return (*kept, ("citronpin-request-id", ctx.id))


def send_service_answer(ctx: Context, answer: ServiceResponse) -> None:
    """End the request with a server's answer."""
    if not ctx.end(Ending(outcome=Outcome.COMPLETE, status=answer.status)):
        return
    headers = ctx.headers | {OUTCOME_HEADER: Outcome.COMPLETE.value}
    content_type = answer.headers.get("content-type", DEFAULT_CONTENT_TYPE)
    ctx.reply.send_response(answer.status, answer.body, content_type, headers)
