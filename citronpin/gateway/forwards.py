"""Describes a request for the entry that it is passed on to."""

import logging

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import EntryId, ModelName, PromptPartId
from citronpin.gateway.contexts import Task
from citronpin.gateway.routings import EngineSpec, RequestKind, Route
from citronpin.peers.messages import ForwardedRequest
from citronpin.web.replies import HttpRequest

logger = logging.getLogger(__name__)


def describe(
    task: Task,
    *,
    attempt: str,
    spent_s: float,
    now_s: float,
    max_runs: int,
    is_counted: bool,
) -> ForwardedRequest:
    """Return the description of a request as it stands at clock time ``now_s``.

    ``spent_s`` is the time in seconds that the caller has spent on the request.
    """
    route = task.route
    return ForwardedRequest(
        attempt=attempt,
        route=route.name,
        kind=route.kind.value,
        service=task.service,
        customer=task.customer,
        priority=task.priority,
        config=task.config_version,
        left_ms=_ms(task.deadline_s - now_s),
        timeout_ms=_ms(task.end_s - now_s),
        objective_ms=_ms(route.objective_s),
        gap_objective_ms=_ms(route.gap_objective_s),
        spent_ms=_ms(spent_s),
        resumable=route.resumable,
        max_runs=max_runs,
        is_counted=is_counted,
    )


def make_task(
    message: ForwardedRequest,
    *,
    req: HttpRequest,
    sender: EntryId,
    now_s: float,
    engine: EngineSpec | None,
    model: ModelName | None,
    prompt_parts: tuple[PromptPartId, ...],
) -> Task:
    """Return the task that another entry described; raises `ValueError`."""
    route = Route(
        name=message.route,
        host="",
        prefix="/",
        kind=RequestKind(message.kind),
        targets=(),
        timeout_s=message.timeout_ms / MS_PER_S,
        objective_s=message.objective_ms / MS_PER_S,
        max_attempts=message.max_runs,
        resumable=message.resumable,
        gap_objective_s=message.gap_objective_ms / MS_PER_S,
    )
    return Task(
        req=req,
        route=route,
        service=message.service,
        customer=message.customer,
        model=model,
        received_s=now_s,
        deadline_s=now_s + message.left_ms / MS_PER_S,
        config_version=message.config,
        priority=message.priority,
        spent_s=message.spent_ms / MS_PER_S,
        engine=engine,
        prompt_parts=prompt_parts,
        forwarded_by=sender,
        is_counted=message.is_counted,
    )


def _ms(seconds: float) -> int:
    return max(round(seconds * MS_PER_S), 0)
