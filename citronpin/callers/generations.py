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
from citronpin.callers.chats import answer_for
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

QUEUE_TICK_S = 0.05
DEFAULT_TOKENS = 256
CALLER_LEFT_STATUS = 499
NO_INSTANCE = InstanceId("")


def expected_tokens(chat: dict) -> int:
    """Return how many tokens a request may generate."""
    limit = chat.get("max_completion_tokens") or chat.get("max_tokens")
    return limit or DEFAULT_TOKENS


class DeploymentLoad(msgspec.Struct, frozen=True):
    """Sums over the serving groups of a deployment."""

    slots: int  # streams that the groups batch
    running: int
    queued: int


class AdmissionFilter(Filter):
    """Holds requests until the admission policy of their deployment lets them go."""

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
        self._held: dict[RequestId, tuple[Context, Proceed]] = {}
        self._ticking = False

    @property
    def held(self) -> int:
        """Return the number of requests that wait."""
        return len(self._held)

    def policy(self, deployment: DeploymentName) -> AdmissionPolicy:
        """Return the policy of a deployment."""
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
        ctx.on_end(lambda ending: self._ended(policy, ctx.id))
        decision = policy.offer(req=self._request(ctx), now_s=now_s)
        if isinstance(decision, Refuse):
            raise Overloaded(decision.reason, retry_after_s=decision.retry_after_s)
        if isinstance(decision, Admit):
            self._admit(ctx, proceed)
            return
        self._held[ctx.id] = (ctx, proceed)
        ctx.reply.on_gone = lambda: self._left(ctx)
        self._start_ticking()

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

    def _left(self, ctx: Context) -> None:
        error = Overloaded("The caller left while the request waited.")
        ctx.end(Ending(outcome=Outcome.NOT_RUN, status=CALLER_LEFT_STATUS, error=error))

    def _ended(self, policy: AdmissionPolicy, request: RequestId) -> None:
        now_s = self._clock.now()
        if self._held.pop(request, None) is not None:
            policy.cancelled(request=request, now_s=now_s)
        else:
            policy.ended(request=request, now_s=now_s)
            self._release(policy)

    def _start_ticking(self) -> None:
        if not self._ticking:
            self._ticking = True
            self._clock.call_later(QUEUE_TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        for policy in self._policies.values():
            self._give_up(policy)
            self._release(policy)
        if self._held:
            self._start_ticking()

    def _give_up(self, policy: AdmissionPolicy) -> None:
        for request, answer in policy.take_expired(now_s=self._clock.now()):
            held = self._held.pop(request, None)
            if held is not None:
                held[0].refuse(
                    Overloaded(answer.reason, retry_after_s=answer.retry_after_s)
                )

    def _release(self, policy: AdmissionPolicy) -> None:
        for request in policy.take_ready(now_s=self._clock.now()):
            held = self._held.pop(request, None)
            if held is not None:
                self._admit(*held)


class Generation(AnswerSink):
    """One admitted request: its route, its dispatch and its answer."""

    def __init__(self, *, task: "GenerationFilter", ctx: Context) -> None:
        self._task = task
        self._ctx = ctx
        self._answer = answer_for(ctx)
        self._group: GroupId | None = None
        self._sent_s = 0.0
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
            engine=task.engine,
            clock=ctx.clock,
            recorder=ctx.recorder,
            priority=ctx.priority,
            budget=task.budget,
            ready=lambda target: task.usable(target.group),
        )
        ctx.reply.on_gone = self._left
        ctx.on_end(lambda ending: self._leave_group(failed=ending.error is not None))

    def start(self) -> None:
        """Send the first attempt."""
        self._dispatch.start()

    def leave_group(self, group: GroupId) -> None:
        """Go on elsewhere if the request runs on ``group``."""
        if self._group == group:
            self._dispatch.leave_group("a member is missing")

    def _pick(self, excluded: frozenset[GroupId]) -> Target | None:
        self._leave_group(failed=True)
        now_s = self._ctx.clock.now()
        loads = self._task.loads(self._ctx.deployment, excluded)
        group_id = self._task.router.choose(req=self._route, groups=loads, now_s=now_s)
        if group_id is None:
            return None
        self._group = group_id
        self._sent_s = now_s
        self._task.router.started(group=group_id, req=self._route, now_s=now_s)
        return self._task.target(group_id)

    def _leave_group(self, failed: bool) -> None:
        if self._group is None:
            return
        group, self._group = self._group, None
        gaps_s = self._answer.gaps_s
        self._task.router.ended(
            group=group,
            req=self._route,
            now_s=self._ctx.clock.now(),
            failed=failed,
            between_tokens_s=sum(gaps_s) / len(gaps_s) if gaps_s else None,
        )

    def text(self, frames: list[Frame]) -> None:
        """Pass text on to the caller."""
        if self._ctx.first_token_s is None:
            self._note_first_token()
            self._note_load(frames[0])
        self._answer.text(frames)

    def _note_load(self, frame: Frame) -> None:
        if frame.load is not None and self._group is not None:
            self._task.report(self._group, frame.load)

    def _note_first_token(self) -> None:
        now_s = self._ctx.clock.now()
        delay_s = now_s - self._sent_s
        self._task.admission.policy(self._ctx.deployment.name).first_token(
            request=self._ctx.id, delay_s=delay_s, now_s=now_s
        )
        if self._group is not None:
            self._task.router.first_token(
                group=self._group, req=self._route, delay_s=delay_s, now_s=now_s
            )

    def done(self, final: Frame) -> None:
        """End the answer."""
        self._note_load(final)
        self._note_latencies()
        self._answer.done(final)

    def failed(self, error: CitronpinError) -> None:
        """End the answer with an error."""
        self._note_latencies()
        self._answer.failed(error)

    def _note_latencies(self) -> None:
        ctx, latencies = self._ctx, self._task.latencies
        labels = (ctx.customer.name, ctx.deployment.name)
        if ctx.first_token_s is not None:
            latencies.record("first_token", *labels, ctx.first_token_s - ctx.started_s)
        for gap_s in self._answer.gaps_s:
            latencies.record("between_tokens", *labels, gap_s)

    def _left(self) -> None:
        self._dispatch.cancel()
        self._ctx.end(
            Ending(
                outcome=Outcome.PARTIAL,
                status=CALLER_LEFT_STATUS,
                error=Overloaded("The caller left."),
                tokens=self._answer.tokens,
            )
        )


class GenerationFilter(Filter):
    """Routes each request to a group and runs it there."""

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
        self._open: dict[RequestId, Generation] = {}
        self._loads = loads
        self._clock = clock
        directory.on_gone(self._forget)

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        generation = Generation(task=self, ctx=ctx)
        self._open[ctx.id] = generation
        ctx.on_end(lambda ending: self._open.pop(ctx.id, None))
        generation.start()

    def leave_group(self, group: GroupId) -> None:
        """Take the streams off a group that misses a member."""
        for generation in list(self._open.values()):
            generation.leave_group(group)

    def _forget(self, group: GroupId) -> None:
        self.router.forget_group(group=group)
        self._loads.drop_report(group)

    def report(self, group: GroupId, load: tuple[int, int]) -> None:
        """Take the load that an engine told with an answer."""
        running, queued = load
        self._loads.take(group, running, queued)
        status = EngineStatus(
            instance=NO_INSTANCE, boot="", group=group, running=running, queued=queued
        )
        self.router.loads(group=group, status=status, now_s=self._clock.now())

    def loads(
        self, deployment: DeploymentManifest, excluded: frozenset[GroupId]
    ) -> list[RouteCandidate]:
        """Return the groups that may get a request now."""
        return [
            RouteCandidate(group=group.id, slots=deployment.slots)
            for group in self._directory.serving(deployment.name)
            if group.id not in excluded and self.usable(group.id)
        ]

    def target(self, group_id: GroupId) -> Target | None:
        """Return where a group's requests go, unless it just ceased to serve."""
        group = self._directory.group(group_id)
        if group is None or not self.usable(group_id):
            return None
        address = self._directory.address(group.members[0])
        if address is None:
            return None
        return Target(group=group.id, fence=group.fence, address=address)
