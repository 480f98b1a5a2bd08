"""Stand-in for a model engine, as docs/ENGINES.md describes its interface."""

import logging
import random
from collections.abc import Callable

import msgspec

from citronpin.backends.engines import EngineStatus, Order, Submission
from citronpin.backends.http_engines import (
    CACHE_EVENTS_PATH,
    ORDERS_PATH,
    STATUS_PATH,
    SUBMISSIONS_PATH,
)
from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.ids import (
    DomainName,
    FailureDomainName,
    GroupId,
    InstanceId,
    RegionName,
)
from citronpin.basics.settings import Settings, split_address
from citronpin.standins.standin_batches import Batch, EngineSpeed, Stream
from citronpin.standins.standin_caches import PrefixCache
from citronpin.standins.standin_frames import EngineFaults, HttpFrameWriter
from citronpin.standins.standin_loaders import Loader, TimedLoader, WeightLoader
from citronpin.standins.standin_reports import DelayedLoadReport
from citronpin.standins.standin_states import EngineState, Problem
from citronpin.standins.standins import Standin, register_standin
from citronpin.state.instances import Instance, InstanceKind, InstanceState
from citronpin.web.clients import HttpClient
from citronpin.web.servers import HttpRequest, Reply, Routes, send_problem

logger = logging.getLogger(__name__)

LOAD_LAG_S = 0.5
REFUSAL_REMEDY = "Read the engine's status and the current assignment."


class EngineStandin(Standin):
    """Simulates a model engine with batching, a prefix cache and fenced orders.

    ``cache_blocks`` bounds the prefix cache, whose events become visible after
    ``cache_event_delay_s`` seconds and are lost with the probability
    ``cache_event_loss_share``. Load reports are ``load_lag_s`` seconds old. Models are
    downloaded from the weight store at ``weights``, an ``IP:PORT``, or else take
    ``load_s`` seconds to load. ``is_member_alive`` returns whether another member of
    the group responds; while one does not, no tokens are generated.
    """

    faults_type = EngineFaults

    def __init__(
        self,
        *,
        name: str,
        bind: tuple[str, int],
        clock: Clock,
        instance: Instance,
        speed: EngineSpeed | None = None,
        cache_blocks: int = 4_096,
        cache_event_delay_s: float = 0.5,
        cache_event_loss_share: float = 0.05,
        load_s: float = 1.0,
        load_lag_s: float = LOAD_LAG_S,
        weights: str | None = None,
        is_member_alive: Callable[[InstanceId], bool] = lambda instance: True,
        seed: int = 0,
    ) -> None:
        self.instance = instance
        self._loader: Loader = TimedLoader(clock=clock, load_s=load_s)
        self._is_member_alive = is_member_alive
        self._load_report = DelayedLoadReport(clock=clock, lag_s=load_lag_s)
        self._rng = random.Random(seed)
        self._prefix_cache = PrefixCache(
            clock=clock,
            max_blocks=cache_blocks,
            event_delay_s=cache_event_delay_s,
            event_loss_share=cache_event_loss_share,
            rng=self._rng,
        )
        self._batch = Batch(
            clock=clock,
            speed=speed or EngineSpeed(),
            cache=self._prefix_cache,
            load_report=self._load_report,
            is_halted=self._is_halted,
        )
        super().__init__(name=name, bind=bind, clock=clock)
        if weights is not None:
            client = HttpClient(clock=clock, channel=f"weights-{name}").register(self)
            self._loader = WeightLoader(client=client, address=weights, clock=clock)
        self._state = self._new_state()

    def add_routes(self, routes: Routes) -> None:
        attempt_path = f"{SUBMISSIONS_PATH}/{{request}}/{{attempt}}"
        routes.add("POST", SUBMISSIONS_PATH, self._submit)
        routes.add("DELETE", attempt_path, self._cancel)
        routes.add("POST", ORDERS_PATH, self._receive_order)
        routes.add("GET", STATUS_PATH, self._show_status)
        routes.add("GET", CACHE_EVENTS_PATH, self._show_cache_events)

    def faults_changed(self) -> None:
        self._batch.step_time_factor = self.faults.straggle
        if self.faults.down:
            for stream in self._batch.kept_streams:
                if stream.writer is not None:
                    self._abort_and_detach(stream, stream.writer)
        if self.faults.restart:
            self.faults.restart = False
            self.restart()

    @property
    def active_stream_count(self) -> int:
        """Return the number of attempts that have not ended."""
        return sum(not stream.ended for stream in self._batch.kept_streams)

    def restart(self) -> None:
        """Simulate a process restart, which loses the group, model and cache."""
        self._state.close()
        self._prefix_cache.clear()
        self._state = self._new_state()

    @property
    def is_responsive(self) -> bool:
        """Return whether the engine is neither down nor paused nor silent."""
        faults = self.faults
        return not (faults.down or faults.paused or faults.silent)

    def holds(self, group: GroupId) -> bool:
        """Return whether the engine is responsive and a member of ``group``."""
        return self.is_responsive and self._state.group == group

    def _is_halted(self) -> bool:
        others = (
            member for member in self._state.members if member != self.instance.id
        )
        return not self.is_responsive or not all(map(self._is_member_alive, others))

    def _new_state(self) -> EngineState:
        return EngineState(
            checks_fence=self.instance.checks_fence,
            loader=self._loader,
            on_streams_lost=self._abort_streams,
        )

    def _abort_streams(self) -> None:
        for stream in self._batch.clear():
            if stream.writer is not None:
                stream.writer.abort()

    @property
    def status(self) -> EngineStatus:
        """Return the status as the engine reports it, with delayed load figures."""
        state = self._state
        running, queued, age_s = self._load_report.read()
        return EngineStatus(
            instance=self.instance.id,
            boot=state.boot,
            group=state.group,
            fence=state.fence,
            members=state.members,
            model=state.model,
            version=state.version,
            adapters=state.adapters,
            loading=state.loading,
            running=running,
            queued=queued,
            load_age_ms=int(age_s * MS_PER_S),
            tokens_per_s=running / self._batch.token_interval_s(),
            cache_sequence=self._prefix_cache.sequence,
        )

    def _show_status(self, req: HttpRequest, reply: Reply) -> None:
        if not self.faults.silent:
            reply.json(200, self.status)

    def _show_cache_events(self, req: HttpRequest, reply: Reply) -> None:
        if not self.faults.silent:
            since = int(req.query.get("since", "0"))
            reply.json(200, self._prefix_cache.events(since))

    def _submit(self, req: HttpRequest, reply: Reply) -> None:
        if self.faults.silent:
            return
        try:
            submission = msgspec.json.decode(req.body, type=Submission)
        except msgspec.DecodeError as exc:
            _send_refusal(reply, Problem(400, "bad-submission", str(exc)))
            return
        stream = self._batch.find(submission.request, submission.attempt)
        if stream is None:
            refusal = self._check_submission(submission)
            if refusal is not None:
                _send_refusal(reply, refusal)
                return
            stream = self._batch.add(submission)
        self._attach(stream, reply, submission.resume_from)

    def _check_submission(self, submission: Submission) -> Problem | None:
        state = self._state
        if submission.resume_from:
            return Problem(
                409, "unknown-attempt", "The engine does not keep this attempt."
            )
        if state.group is None or (state.loading and state.model is None):
            return Problem(503, "not-serving", "The engine serves no group.")
        if state.members and state.members[0] != self.instance.id:
            return Problem(409, "not-lead", "Another member leads the group.")
        if self.instance.checks_fence and submission.group != state.group:
            return Problem(409, "wrong-group", f"The engine is in group {state.group}.")
        if self.instance.checks_fence and submission.fence != state.fence:
            return Problem(
                409, "stale-fence", f"The group has fencing number {state.fence}."
            )
        if self._batch.is_full:
            return Problem(503, "overloaded", "The queue is full.")
        return None

    def _attach(self, stream: Stream, reply: Reply, first_sequence: int) -> None:
        writer = HttpFrameWriter(
            reply=reply,
            first_sequence=first_sequence,
            clock=self.clock,
            rng=self._rng,
            faults=lambda: self.faults,
            on_cut=lambda: self._abort_and_detach(stream, writer),
        )
        reply.on_gone = lambda: self._detach(stream, writer)
        stream.writer = writer
        writer.write(stream.frames)

    def _detach(self, stream: Stream, writer: HttpFrameWriter) -> None:
        if stream.writer is writer:
            self._batch.detach(stream)

    def _abort_and_detach(self, stream: Stream, writer: HttpFrameWriter) -> None:
        writer.abort()
        self._detach(stream, writer)

    def _cancel(self, req: HttpRequest, reply: Reply, request, attempt) -> None:
        stream = self._batch.find(request, int(attempt)) if attempt.isdigit() else None
        if stream is not None:
            self._batch.drop(stream)
        reply.json(200, {"found": stream is not None})

    def _receive_order(self, req: HttpRequest, reply: Reply) -> None:
        if self.faults.silent:
            return
        try:
            order = msgspec.json.decode(req.body, type=Order)
        except msgspec.DecodeError as exc:
            _send_refusal(reply, Problem(400, "bad-order", str(exc)))
            return
        due_s = self.clock.now() + order.ttl_ms / MS_PER_S
        self.clock.call_later(
            self.faults.order_delay_s, lambda: self._execute_order(order, due_s, reply)
        )

    def _execute_order(self, order: Order, due_s: float, reply: Reply) -> None:
        if self.clock.now() > due_s:
            detail = "The order expired before it was executed."
            refusal = Problem(409, "order-expired", detail)
        else:
            refusal = self._state.apply_order(order)
        if refusal is not None:
            _send_refusal(reply, refusal)
        else:
            reply.json(200, self.status)


def _send_refusal(reply: Reply, refusal: Problem) -> None:
    send_problem(reply, refusal.status, refusal.kind, refusal.detail, REFUSAL_REMEDY)


@register_standin("engine", "standin", "standin_engine")
def build_engine(cfg: Settings, clock: Clock) -> EngineStandin:
    """Build the engine stand-in from its settings."""
    standin_cfg = cfg.section("standin")
    engine_cfg = cfg.section("standin_engine")
    instance = Instance(
        id=InstanceId(standin_cfg["name"]),
        address=standin_cfg["listen"],
        kind=InstanceKind.ENGINE,
        state=InstanceState.LIVE,
        failure_domain=FailureDomainName(engine_cfg["failure_domain"]),
        region=RegionName(engine_cfg["region"]),
        domain=DomainName(engine_cfg["domain"]),
        accelerators=engine_cfg["accelerators"],
        checks_fence=engine_cfg["checks_fence"],
    )
    return EngineStandin(
        name=standin_cfg["name"],
        bind=split_address(standin_cfg["listen"]),
        clock=clock,
        instance=instance,
        speed=EngineSpeed(
            tokens_per_s=engine_cfg["tokens_per_s"], batch=engine_cfg["batch"]
        ),
        cache_blocks=engine_cfg["cache_blocks"],
        load_s=engine_cfg["load_s"],
        weights=engine_cfg["weights"][0] if engine_cfg["weights"] else None,
    )
