"""Admission, routing and dispatch of chat completions."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.backends.dispatches import AnswerSink, Dispatch, Target
from citronpin.backends.engines import EngineClient, EngineStatus, Frame
from citronpin.backends.retries import RetryBudget
from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError, Outcome
from citronpin.basics.events import EventKind
from citronpin.basics.ids import DeploymentName, GroupId, InstanceId, RequestId
from citronpin.basics.metrics import LatencyCollector
from citronpin.basics.refusals import Overloaded
from citronpin.callers.chats import make_answer
from citronpin.callers.filters import Context, Ending, Filter, Proceed
from citronpin.policy.admissions import (
    AdmissionPolicy,
    AdmissionRequest,
    Admit,
    Refuse,
)
from citronpin.policy.group_loads import GroupLoadReports
from citronpin.policy.prefixes import prefix_blocks
from citronpin.policy.routers import RouteCandidate, RoutePolicy, RouteRequest
from citronpin.state.directories import GroupDirectory
from citronpin.state.manifests import DeploymentManifest

logger = logging.getLogger(__name__)

QUEUE_CHECK_INTERVAL_S = 0.05
DEFAULT_EXPECTED_TOKENS = 256
CALLER_DISCONNECTED_STATUS = 499
NO_INSTANCE = InstanceId("")


def expected_tokens(chat: dict) -> int:
    """Return the token limit of a request, or the default for one without a limit."""
    limit = chat.get("max_completion_tokens") or chat.get("max_tokens")
    return limit or DEFAULT_EXPECTED_TOKENS


class DeploymentLoad(msgspec.Struct, frozen=True):
    """Stream counts summed over the serving groups of a deployment."""

    slots: int  # streams that the groups can batch
    running: int
    queued: int


class AdmissionFilter(Filter):
    """Admits, queues or refuses requests by the admission policy of their deployment.

    Raises `Overloaded`.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        make_policy: Callable[[], AdmissionPolicy],
        load: Callable[[DeploymentManifest], DeploymentLoad],
    ) -> None:
        self._clock = clock
        self._make_policy = make_policy
        self._load = load
        self._policies: dict[DeploymentName, AdmissionPolicy] = {}
        self._queued: dict[RequestId, tuple[Context, Proceed]] = {}
        self._check_scheduled = False

    @property
    def queued_count(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def policy(self, deployment: DeploymentName) -> AdmissionPolicy:
        """Return the admission policy of a deployment, created on first use."""
        policy = self._policies.get(deployment)
        if policy is None:
            policy = self._policies[deployment] = self._make_policy()
        return policy

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        deployment = ctx.deployment.name
        policy = self.policy(deployment)
        now_s = self._clock.now()
        load = self._load(ctx.deployment)
        policy.slots(
            slots=load.slots, running=load.running, queued=load.queued, now_s=now_s
        )
        ctx.on_end(lambda ending: self._on_end(policy, ctx.id))
        decision = policy.offer(req=self._request(ctx), now_s=now_s)
        if isinstance(decision, Refuse):
            raise Overloaded(decision.reason, retry_after_s=decision.retry_after_s)
        if isinstance(decision, Admit):
            self._admit(ctx, proceed)
            return
        self._queued[ctx.id] = (ctx, proceed)
        ctx.reply.on_gone = lambda: self._on_disconnect(ctx)
        self._schedule_check()

    def _request(self, ctx: Context) -> AdmissionRequest:
        return AdmissionRequest(
            request=ctx.id,
            customer=ctx.customer.name,
            deployment=ctx.deployment.name,
            deadline_s=ctx.deadline_s,
            share=ctx.customer.share,
            priority=ctx.priority,
            expected_tokens=expected_tokens(ctx.chat),
        )

    def _admit(self, ctx: Context, proceed: Proceed) -> None:
        detail = f"{ctx.customer.name} {ctx.deployment.name}"
        ctx.recorder.note(EventKind.REQUEST_ADMITTED, detail, request=ctx.id)
        proceed(ctx)

    def _on_disconnect(self, ctx: Context) -> None:
        error = Overloaded("The caller disconnected while the request was queued.")
        ctx.end(
            Ending(
                outcome=Outcome.NOT_RUN, status=CALLER_DISCONNECTED_STATUS, error=error
            )
        )

    def _on_end(self, policy: AdmissionPolicy, request: RequestId) -> None:
        now_s = self._clock.now()
        if self._queued.pop(request, None) is not None:
            policy.cancelled(request=request, now_s=now_s)
        else:
            policy.ended(request=request, now_s=now_s)
            self._admit_ready(policy)

    def _schedule_check(self) -> None:
        if not self._check_scheduled:
            self._check_scheduled = True
            self._clock.call_later(QUEUE_CHECK_INTERVAL_S, self._check_queue)

    def _check_queue(self) -> None:
        self._check_scheduled = False
        for policy in self._policies.values():
            self._refuse_expired(policy)
            self._admit_ready(policy)
        if self._queued:
            self._schedule_check()

    def _refuse_expired(self, policy: AdmissionPolicy) -> None:
        for request, answer in policy.take_expired(now_s=self._clock.now()):
            queued = self._queued.pop(request, None)
            if queued is not None:
                queued[0].refuse(
                    Overloaded(answer.reason, retry_after_s=answer.retry_after_s)
                )

    def _admit_ready(self, policy: AdmissionPolicy) -> None:
        for request in policy.take_ready(now_s=self._clock.now()):
            queued = self._queued.pop(request, None)
            if queued is not None:
                self._admit(*queued)


class Generation(AnswerSink):
    """One admitted request, with its route, dispatch and answer."""

    def __init__(self, *, generation_filter: "GenerationFilter", ctx: Context) -> None:
        self._filter = generation_filter
        self._ctx = ctx
        self._answer = make_answer(ctx)
        self._group: GroupId | None = None
        self._dispatched_s = 0.0
        self._route = RouteRequest(
            request=ctx.id,
            customer=ctx.customer.name,
            deployment=ctx.deployment.name,
            blocks=prefix_blocks(ctx.chat["messages"]),
            expected_tokens=expected_tokens(ctx.chat),
            priority=ctx.priority,
        )
        self._dispatch = Dispatch(
            body=ctx.chat,
            request=ctx.id,
            deadline_s=ctx.deadline_s,
            pick=self._pick,
            sink=self,
            engine=generation_filter.engine,
            clock=ctx.clock,
            recorder=ctx.recorder,
            priority=ctx.priority,
            budget=generation_filter.budget,
            ready=lambda target: generation_filter.usable(target.group),
        )
        ctx.reply.on_gone = self._on_disconnect
        ctx.on_end(lambda ending: self._end_route(failed=ending.error is not None))

    def start(self) -> None:
        """Start the first attempt."""
        self._dispatch.start()

    def leave_group(self, group: GroupId) -> None:
        """Move the request to another group if it runs on ``group``."""
        if self._group == group:
            self._dispatch.leave_group("a member is missing")

    def _pick(self, excluded: frozenset[GroupId]) -> Target | None:
        self._end_route(failed=True)
        now_s = self._ctx.clock.now()
        candidates = self._filter.candidates(self._ctx.deployment, excluded)
        group_id = self._filter.router.choose(
            req=self._route, groups=candidates, now_s=now_s
        )
        if group_id is None:
            return None
        self._group = group_id
        self._dispatched_s = now_s
        self._filter.router.started(group=group_id, req=self._route, now_s=now_s)
        return self._filter.target(group_id)

    def _end_route(self, failed: bool) -> None:
        if self._group is None:
            return
        group, self._group = self._group, None
        token_gaps_s = self._answer.token_gaps_s
        self._filter.router.ended(
            group=group,
            req=self._route,
            now_s=self._ctx.clock.now(),
            failed=failed,
            between_tokens_s=(
                sum(token_gaps_s) / len(token_gaps_s) if token_gaps_s else None
            ),
        )

    def text(self, frames: list[Frame]) -> None:
        """Pass text on to the caller and record the time to the first token."""
        if self._ctx.first_token_s is None:
            self._record_first_token()
            self._record_load(frames[0])
        self._answer.text(frames)

    def _record_load(self, frame: Frame) -> None:
        if frame.load is not None and self._group is not None:
            self._filter.record_load(self._group, frame.load)

    def _record_first_token(self) -> None:
        now_s = self._ctx.clock.now()
        delay_s = now_s - self._dispatched_s
        self._filter.admission.policy(self._ctx.deployment.name).first_token(
            request=self._ctx.id, delay_s=delay_s, now_s=now_s
        )
        if self._group is not None:
            self._filter.router.first_token(
                group=self._group, req=self._route, delay_s=delay_s, now_s=now_s
            )

    def done(self, final: Frame) -> None:
        """Complete the answer with the final frame."""
        self._record_load(final)
        self._record_latencies()
        self._answer.done(final)

    def failed(self, error: CitronpinError) -> None:
        """End the answer with an error."""
        self._record_latencies()
        self._answer.failed(error)

    def _record_latencies(self) -> None:
        ctx, latencies = self._ctx, self._filter.latencies
        labels = (ctx.customer.name, ctx.deployment.name)
        if ctx.first_token_s is not None:
            latencies.record("first_token", *labels, ctx.first_token_s - ctx.started_s)
        for gap_s in self._answer.token_gaps_s:
            latencies.record("between_tokens", *labels, gap_s)

    def _on_disconnect(self) -> None:
        self._dispatch.cancel()
        self._ctx.end(
            Ending(
                outcome=Outcome.PARTIAL,
                status=CALLER_DISCONNECTED_STATUS,
                error=Overloaded("The caller disconnected."),
                tokens=self._answer.tokens,
            )
        )


class GenerationFilter(Filter):
    """Routes each request to a group and dispatches it there.

    ``usable`` returns whether a group may get requests now.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
        router: RoutePolicy,
        admission: AdmissionFilter,
        directory: GroupDirectory,
        usable: Callable[[GroupId], bool],
        latencies: LatencyCollector,
        loads: GroupLoadReports,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        self.engine = engine
        self.budget = budget
        self.router = router
        self.admission = admission
        self.latencies = latencies
        self._directory = directory
        self.usable = usable
        self._running: dict[RequestId, Generation] = {}
        self._loads = loads
        self._clock = clock
        directory.on_gone(self._forget_group)

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        generation = Generation(generation_filter=self, ctx=ctx)
        self._running[ctx.id] = generation
        ctx.on_end(lambda ending: self._running.pop(ctx.id, None))
        generation.start()

    def leave_group(self, group: GroupId) -> None:
        """Move the requests on a group with a missing member to other groups."""
        for generation in list(self._running.values()):
            generation.leave_group(group)

    def _forget_group(self, group: GroupId) -> None:
        self.router.forget_group(group=group)
        self._loads.drop_report(group)

    def record_load(self, group: GroupId, load: tuple[int, int]) -> None:
        """Record the running and queued streams that an answer reported."""
        running, queued = load
        self._loads.take(group, running, queued)
        status = EngineStatus(
            instance=NO_INSTANCE, boot="", group=group, running=running, queued=queued
        )
        self.router.loads(group=group, status=status, now_s=self._clock.now())

    def candidates(
        self, deployment: DeploymentManifest, excluded: frozenset[GroupId]
    ) -> list[RouteCandidate]:
        """Return the usable serving groups of a deployment that are not excluded."""
        return [
            RouteCandidate(group=group.id, slots=deployment.slots)
            for group in self._directory.serving(deployment.name)
            if group.id not in excluded and self.usable(group.id)
        ]

    def target(self, group_id: GroupId) -> Target | None:
        """Return the target of a group's requests, or ``None`` if it is not usable."""
        group = self._directory.group(group_id)
        if group is None or not self.usable(group_id):
            return None
        address = self._directory.address(group.members[0])
        if address is None:
            return None
        return Target(group=group.id, fence=group.fence, address=address)
