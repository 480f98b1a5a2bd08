"""Idempotency keys of calls that must not be repeated, and outcome look-ups."""

import logging
from collections.abc import Callable

from result import Err, Ok

from citronpin.backends.server_pools import ServerPool
from citronpin.backends.services import ServiceClient, ServiceResponse
from citronpin.basics.errors import CitronpinError, LogUnavailable
from citronpin.basics.ids import ApplicationName, CallKey
from citronpin.basics.refusals import (
    CallPending,
    KeyMissing,
    KeyReused,
    KeyTooOld,
    NoServer,
    OutcomeUnknown,
)
from citronpin.callers.applications import (
    IDEMPOTENCY_KEY_HEADER,
    call_digest,
    send_service_answer,
    service_target,
)
from citronpin.callers.calls import Calls, LookupCallback
from citronpin.callers.filters import Context, Filter, Proceed
from citronpin.callers.grants import (
    BadKey,
    KeyReused as KeyReusedGrant,
    Owned,
    Pending,
    Recorded,
    Refused,
    TooOld,
    Unknown,
)
from citronpin.state.manifests import ApplicationManifest

logger = logging.getLogger(__name__)

FIRST_TRY_HEADER = "citronpin-first-try"
PENDING_RETRY_AFTER_S = 1.0
LOG_RETRY_AFTER_S = 2.0
LOOKUP_TIMEOUT_S = 3.0
OK_STATUS = 200
NOT_FOUND_STATUS = 404


class IdempotencyFilter(Filter):
    """Passes a non-repeatable call on only when this entry owns it.

    Raises `KeyMissing` for a non-repeatable call without a key.
    """

    def __init__(self, *, calls: Calls) -> None:
        self._calls = calls

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        if ctx.repeatable:
            proceed(ctx)
            return
        key = ctx.req.headers.get(IDEMPOTENCY_KEY_HEADER)
        if not key:
            raise KeyMissing(
                "The call must not be repeated and has no idempotency key."
            )
        self._calls.begin(
            key=key,
            digest=call_digest(ctx.req.method, service_target(ctx), ctx.req.body),
            application=ctx.application.name,
            is_first_try=ctx.req.headers.get(FIRST_TRY_HEADER, "").lower() == "true",
            done=lambda grant: self._on_grant(ctx, proceed, grant),
        )

    def _on_grant(self, ctx: Context, proceed: Proceed, grant) -> None:
        if isinstance(grant, Owned):
            ctx.grant = grant
            proceed(ctx)
        elif isinstance(grant, Recorded):
            headers = {"content-type": grant.content_type or "application/json"}
            send_service_answer(ctx, ServiceResponse(grant.status, headers, grant.body))
        else:
            ctx.refuse(grant_error(grant))


def grant_error(grant) -> CitronpinError:
    """Return the error that tells a caller why its call was not dispatched.

    Raises `TypeError` for grants that are no errors.
    """
    if isinstance(grant, Pending):
        detail = f"Another try of this call is in progress on entry {grant.owner}."
        return CallPending(detail, retry_after_s=PENDING_RETRY_AFTER_S)
    if isinstance(grant, Unknown):
        detail = (
            f"Entry {grant.owner} owns the call (log offset {grant.offset}), "
            "and its outcome is unknown."
        )
        return OutcomeUnknown(detail)
    if isinstance(grant, KeyReusedGrant):
        return KeyReused(grant.detail)
    if isinstance(grant, BadKey):
        return KeyMissing(grant.detail)
    if isinstance(grant, TooOld):
        return KeyTooOld(grant.detail, outcome=grant.outcome)
    if isinstance(grant, Refused):
        return LogUnavailable(
            grant.detail, outcome=grant.outcome, retry_after_s=LOG_RETRY_AFTER_S
        )
    raise TypeError(f"{grant!r} is not a grant")


class ServiceLookup:
    """Looks up the outcome of a call by the look-up path of its application."""

    def __init__(
        self,
        *,
        applications: Callable[[], dict[ApplicationName, ApplicationManifest]],
        client: ServiceClient,
        pool: ServerPool,
    ) -> None:
        self._applications = applications
        self._client = client
        self._pool = pool

    def look_up(
        self, application: ApplicationName, key: CallKey, done: LookupCallback
    ) -> None:
        """Pass ``done`` the answer, ``None`` for an unknown call, or an error."""
        path = self._path(application)
        server = self._pool.choose(application, frozenset())
        if path is None or server is None:
            done(
                Err(
                    NoServer(
                        "The application has no look-up path or no server in service."
                    )
                )
            )
            return
        self._client.call(
            address=server.address,
            method="GET",
            target=path.replace("{key}", key),
            headers=(),
            body=b"",
            timeout_s=LOOKUP_TIMEOUT_S,
            done=lambda result: done(_lookup_result(result)),
        )

    def _path(self, application: ApplicationName) -> str | None:
        manifest = self._applications().get(application)
        if manifest is None:
            return None
        paths = [rule.lookup for rule in manifest.calls if rule.lookup]
        return paths[0] if paths else None


def _lookup_result(result):
    if isinstance(result, Err):
        return result
    answer: ServiceResponse = result.ok_value
    if answer.status == OK_STATUS:
        return Ok(answer)
    if answer.status == NOT_FOUND_STATUS:
        return Ok(None)
    return Err(OutcomeUnknown(f"The look-up call returned status {answer.status}."))
