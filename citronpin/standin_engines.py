"""Stand-in for a model engine, as docs/ENGINES.md describes its interface."""

import logging
import random

import msgspec

from citronpin.clocks import Clock
from citronpin.engines import (
    EngineStatus,
    Frame,
    Order,
    OrderKind,
    Submission,
)
from citronpin.http_engines import (
    CACHE_EVENTS_PATH,
    ORDERS_PATH,
    STATUS_PATH,
    SUBMISSIONS_PATH,
)
from citronpin.ids import AdapterName, Fence, GroupId, ModelName, Version, new_id
from citronpin.instances import Instance
from citronpin.servers import HttpRequest, Reply, Routes, send_problem
from citronpin.standin_batches import Batch, EngineSpeed, Stream
from citronpin.standin_caches import PrefixCache
from citronpin.standins import Faults, Standin

logger = logging.getLogger(__name__)

FRAMES_TYPE = "application/x-ndjson"
NO_FENCE = Fence(-1)
LOAD_LAG_S = 0.5


class EngineFaults(Faults, kw_only=True):
    """Faults of an engine beside those of every stand-in."""

    silent: bool = False  # accepts requests, never answers
    straggle: float = 1.0  # factor on the time of each step
    order_delay_s: float = 0.0  # time from the arrival of an order to its effect
    cut_after_frames: int | None = None  # cuts each stream after so many frames


class Holding(msgspec.Struct, kw_only=True):
    """What the engine's process holds; a restart loses it."""

    boot: str
    group: GroupId | None = None
    fence: Fence = NO_FENCE
    highest_fence: Fence = NO_FENCE
    members: tuple = ()
    model: ModelName | None = None
    version: Version | None = None
    adapters: tuple[AdapterName, ...] = ()
    loading: bool = False


class EngineStandin(Standin):
    """A model engine: batching, prefix cache, orders with fencing numbers."""

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
        cache_gap_share: float = 0.05,
        load_s: float = 1.0,
        seed: int = 0,
    ) -> None:
        self.instance = instance
        self._load_s = load_s
        self._speed = speed or EngineSpeed()
        self._rng = random.Random(seed)
        self._prefixes = PrefixCache(
            clock=clock,
            limit=cache_blocks,
            delay_s=cache_event_delay_s,
            gap_share=cache_gap_share,
            rng=self._rng,
        )
        self._batch = Batch(clock=clock, speed=self._speed, cache=self._prefixes)
        self._holding = Holding(boot=new_id())
        self._load = (0, 0, clock.now())
        super().__init__(name=name, bind=bind, clock=clock)

    def add_routes(self, routes: Routes) -> None:
        attempt_path = f"{SUBMISSIONS_PATH}/{{request}}/{{attempt}}"
        routes.add("POST", SUBMISSIONS_PATH, self._submit)
        routes.add("DELETE", attempt_path, self._cancel)
        routes.add("POST", ORDERS_PATH, self._order)
        routes.add("GET", STATUS_PATH, self._show_status)
        routes.add("GET", CACHE_EVENTS_PATH, self._show_cache_events)

    def faults_changed(self) -> None:
        self._batch.straggle = self.faults.straggle

    def restart(self) -> None:
        """Come back under a new boot id, without group, model and cache."""
        for stream in self._batch.clear():
            self._abort(stream)
        self._prefixes.clear()
        self._holding = Holding(boot=new_id())

    @property
    def status(self) -> EngineStatus:
        """Return what the engine reports now."""
        held = self._holding
        running, queued, measured_s = self._measured_load()
        return EngineStatus(
            instance=self.instance.id,
            boot=held.boot,
            group=held.group,
            fence=held.fence,
            members=held.members,
            model=held.model,
            version=held.version,
            adapters=held.adapters,
            loading=held.loading,
            running=running,
            queued=queued,
            load_age_ms=int((self.clock.now() - measured_s) * 1_000),
            tokens_per_s=running / self._batch.token_s(),
            cache_sequence=self._prefixes.sequence,
        )

    def _measured_load(self) -> tuple[int, int, float]:
        if self.clock.now() - self._load[2] >= LOAD_LAG_S:
            batch = self._batch
            self._load = (batch.running, batch.queued, self.clock.now())
        return self._load

    def _show_status(self, req: HttpRequest, reply: Reply) -> None:
        if not self.faults.silent:
            reply.json(200, self.status)

    def _show_cache_events(self, req: HttpRequest, reply: Reply) -> None:
        if not self.faults.silent:
            since = int(req.query.get("since", "0"))
            reply.json(200, self._prefixes.events(since))

    def _submit(self, req: HttpRequest, reply: Reply) -> None:
        if self.faults.silent:
            return
        try:
            submission = msgspec.json.decode(req.body, type=Submission)
        except msgspec.DecodeError as exc:
            _refuse(reply, 400, "bad-submission", str(exc))
            return
        stream = self._batch.find(submission.request, submission.attempt)
        if stream is None:
            fault = self._admission_fault(submission)
            if fault is not None:
                _refuse(reply, *fault)
                return
            stream = self._batch.add(submission)
        self._attach(stream, reply, submission.resume_from)

    def _admission_fault(self, submission: Submission):
        held = self._holding
        if submission.resume_from:
            return 409, "unknown-attempt", "The attempt is not kept here."
        if held.group is None or held.loading:
            return 503, "not-serving", "The engine holds no group."
        if held.members and held.members[0] != self.instance.id:
            return 409, "not-lead", "The engine is not the lead of its group."
        if self.instance.checks_fence and submission.group != held.group:
            return 409, "wrong-group", f"The engine holds group {held.group}."
        if self.instance.checks_fence and submission.fence != held.fence:
            return 409, "stale-fence", f"The engine holds number {held.fence}."
        if self._batch.full:
            return 503, "overloaded", "The queue is full."
        return None

    def _attach(self, stream: Stream, reply: Reply, start: int) -> None:
        reply.start(200, FRAMES_TYPE)
        sent = 0

        def listen(frames: list[Frame]) -> None:
            nonlocal sent
            frames = [frame for frame in frames if frame.sequence >= start]
            limit = self.faults.cut_after_frames
            if limit is not None and sent + len(frames) > limit:
                reply.push(_encode_frames(frames[: limit - sent]))
                self.clock.call_later(0.0, lambda: self._cut(stream, reply))
                return
            sent += len(frames)
            reply.push(_encode_frames(frames))
            if frames and frames[-1].final:
                reply.finish()

        stream.abort = reply.abort
        reply.on_gone = lambda: self._left(stream, listen)
        stream.listener = listen
        listen(stream.frames)

    def _left(self, stream: Stream, listener) -> None:
        if stream.listener is listener:
            self._batch.detach(stream)

    def _cut(self, stream: Stream, reply: Reply) -> None:
        reply.abort()
        self._batch.detach(stream)

    def _abort(self, stream: Stream) -> None:
        stream.listener = None
        if stream.abort is not None:
            stream.abort()

    def _cancel(self, req: HttpRequest, reply: Reply, request, attempt) -> None:
        stream = self._batch.find(request, int(attempt))
        if stream is not None:
            self._batch.drop(stream)
        reply.json(200, {"found": stream is not None})

    def _order(self, req: HttpRequest, reply: Reply) -> None:
        if self.faults.silent:
            return
        try:
            order = msgspec.json.decode(req.body, type=Order)
        except msgspec.DecodeError as exc:
            _refuse(reply, 400, "bad-order", str(exc))
            return
        due_s = self.clock.now() + order.ttl_ms / 1_000
        self.clock.call_later(
            self.faults.order_delay_s, lambda: self._obey(order, due_s, reply)
        )

    def _obey(self, order: Order, due_s: float, reply: Reply) -> None:
        held = self._holding
        if self.clock.now() > due_s:
            _refuse(reply, 409, "order-expired", "The order came to its turn too late.")
            return
        if self.instance.checks_fence and order.fence < held.highest_fence:
            _refuse(reply, 409, "stale-fence", f"Number {held.highest_fence} was seen.")
            return
        held.highest_fence = max(held.highest_fence, order.fence)
        if order.kind is OrderKind.RELEASE:
            self._release()
        else:
            self._load_and_form(order)
        reply.json(200, self.status)

    def _release(self) -> None:
        for stream in self._batch.clear():
            self._abort(stream)
        self._holding.group = None
        self._holding.members = ()
        self._holding.fence = NO_FENCE

    def _load_and_form(self, order: Order) -> None:
        held = self._holding
        wanted = (order.model, order.version, order.adapters)
        if order.model and wanted != (held.model, held.version, held.adapters):
            held.loading = True
            self.clock.call_later(self._load_s, lambda: self._loaded(held, order))
        elif order.kind is OrderKind.FORM:
            self._form(order)

    def _loaded(self, held: Holding, order: Order) -> None:
        held.loading = False
        held.model = order.model
        held.version = order.version
        held.adapters = order.adapters
        if held is self._holding and order.kind is OrderKind.FORM:
            self._form(order)

    def _form(self, order: Order) -> None:
        held = self._holding
        if (held.group, held.members) != (order.group, order.members):
            self._release()
        held.group = order.group
        held.fence = order.fence
        held.members = order.members


def _encode_frames(frames: list[Frame]) -> bytes:
    return b"".join(msgspec.json.encode(frame) + b"\n" for frame in frames)


def _refuse(reply: Reply, status: int, kind: str, detail: str) -> None:
    remedy = "Read the status and the current assignment."
    send_problem(reply, status, kind, detail, remedy)
