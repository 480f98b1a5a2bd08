"""Error answers produced by an entry, each stating whether the request ran."""

import logging
from enum import Enum

import msgspec

from citronpin.gateway.fingerprints import is_fingerprint
from citronpin.web.replies import PROBLEM_TYPE, Reply, problem_body

logger = logging.getLogger(__name__)

MIN_RETRY_AFTER_S = 0.05


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """An error answer; ``outcome`` is ``not-run`` only if nothing ran or will run."""

    status: int
    kind: str
    detail: str
    remedy: str
    outcome: str = "not-run"
    retry_after_s: float | None = None


class RefusalKind(Enum):
    """Refusals with a constant text."""

    NO_CONFIG = Refusal(
        status=503,
        kind="not-ready",
        detail="The entry has not yet read the configuration.",
        remedy="Try again after Retry-After.",
        retry_after_s=0.5,
    )
    STALE_CONFIG = Refusal(
        status=503,
        kind="config-not-current",
        detail="The entry has not been able to read the latest configuration.",
        remedy="Try again after Retry-After.",
        retry_after_s=0.1,
    )
    STOPPING = Refusal(
        status=503,
        kind="stopping",
        detail="The request was not run: the entry stops before it could end.",
        remedy="Try again on a new connection, which leads to another entry.",
        retry_after_s=0.05,
    )
    FORWARDING_LIMIT = Refusal(
        status=503,
        kind="forwarding-limit",
        detail="The entry takes no more requests from other entries.",
        remedy="Try again after Retry-After.",
        retry_after_s=0.2,
    )
    NOT_FORWARDED = Refusal(
        status=503,
        kind="not-forwarded",
        detail="The request does not come from another entry of this system.",
        remedy="Send requests of callers to the address for callers.",
    )
    NO_ROUTE = Refusal(
        status=404,
        kind="no-route",
        detail="No route takes this host and path.",
        remedy="Check the host and the path.",
    )
    NO_CUSTOMER = Refusal(
        status=401,
        kind="not-identified",
        detail="The key belongs to no customer.",
        remedy="Send a key that is in force.",
    )
    LOST = Refusal(
        status=502,
        kind="answer-lost",
        detail="The backend server gave no whole answer; the request may have run.",
        remedy="Find out whether it took effect before sending it again.",
        outcome="unknown",
    )
    TIMED_OUT = Refusal(
        status=504,
        kind="timed-out",
        detail="No answer came in time; the request may have run.",
        remedy="Find out whether it took effect before sending it again.",
        outcome="unknown",
    )


def no_place_refusal(
    *, reason: str, wait_s: float, remedy: str = "Try again after Retry-After."
) -> Refusal:
    """Return the refusal of a request that no instance can take.

    ``wait_s`` is the delay in seconds before a retry.
    """
    return Refusal(
        status=503,
        kind="no-place",
        detail=f"The request was not run: {reason}.",
        remedy=remedy,
        retry_after_s=max(round(wait_s, 2), MIN_RETRY_AFTER_S),
    )


def unreachable_refusal(*, wait_s: float) -> Refusal:
    """Return the refusal of an entry that reaches no instance, also not through others.

    ``wait_s`` is the delay in seconds before a retry.
    """
    return Refusal(
        status=503,
        kind="unreachable",
        detail="The request was not run: no instance can be reached from here.",
        remedy="Try again after Retry-After, on a new connection.",
        retry_after_s=max(round(wait_s, 2), MIN_RETRY_AFTER_S),
    )


def quarantined_subject(key: str) -> str:
    """Return what a quarantined key stands for, with the key."""
    return key if is_fingerprint(key) else f"prompt part {key}"


def quarantine_refusal(*, key: str, wait_s: float) -> Refusal:
    """Return the refusal of a request with a key under which instances crash.

    ``wait_s`` is the time in seconds for which the key stays quarantined.
    """
    if is_fingerprint(key):
        return Refusal(
            status=503,
            kind="request-quarantined",
            detail=(
                "The request was not run: one instance after the other crashed under "
                f"it ({key})."
            ),
            remedy="Change the request, or have an operator release it.",
            retry_after_s=max(round(wait_s), MIN_RETRY_AFTER_S),
        )
    return Refusal(
        status=503,
        kind="prompt-quarantined",
        detail=(
            f"The request was not run: one instance after the other crashed under part "
            f"{key} of its prompt."
        ),
        remedy="Send the request without this part, or have an operator release it.",
        retry_after_s=max(round(wait_s), MIN_RETRY_AFTER_S),
    )


def send_refusal(reply: Reply, refusal: Refusal, headers: dict[str, str]) -> None:
    """Send a refusal as problem details (RFC 9457) with additional headers."""
    body = problem_body(
        refusal.status,
        refusal.kind,
        refusal.detail,
        refusal.remedy,
        outcome=refusal.outcome,
    )
    if refusal.retry_after_s is not None:
        headers = headers | {"Retry-After": f"{refusal.retry_after_s:g}"}
    reply.send_response(refusal.status, body, PROBLEM_TYPE, headers)
