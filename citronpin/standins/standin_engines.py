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
from citronpin.standins.standin_frames import EngineFaults, FrameOutlet
from citronpin.standins.standin_holdings import Holding, Refusal
from citronpin.standins.standin_loaders import Loader, TimedLoader, WeightLoader
from citronpin.standins.standin_reports import LaggedLoad
from citronpin.standins.standins import Standin, register_standin
from citronpin.state.instances import Instance, InstanceKind, InstanceState
from citronpin.web.clients import HttpClient
from citronpin.web.servers import HttpRequest, Reply, Routes, send_problem

logger = logging.getLogger(__name__)

LOAD_LAG_S = 0.5
REFUSAL_REMEDY = "Read the status and the current assignment."


class EngineStandin(Standin):
    """A model engine: batching, prefix cache, orders with fencing numbers.

    ``member_alive`` tells the lead whether another member of its group takes
    part; while one does not, no token is generated.
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
        cache_gap_share: float = 0.05,
        load_s: float = 1.0,
        load_lag_s: float = LOAD_LAG_S,
        weights: str | None = None,
        member_alive: Callable[[InstanceId], bool] = lambda instance: True,
        seed: int = 0,
    ) -> None:
        self.instance = instance
        self._loader: Loader = TimedLoader(clock=clock, load_s=load_s)
        self._member_alive = member_alive
        self._load = LaggedLoad(clock=clock, lag_s=load_lag_s)
        self._rng = random.Random(seed)
        self._prefixes = PrefixCache(
            clock=clock,
            limit=cache_blocks,
            delay_s=cache_event_delay_s,
            gap_share=cache_gap_share,
            rng=self._rng,
        )
        self._batch = Batch(
            clock=clock,
            speed=speed or EngineSpeed(),
            cache=self._prefixes,
            load=self._load,
            halted=self._halted,
        )
        super().__init__(name=name, bind=bind, clock=clock)
        if weights is not None:
            client = HttpClient(clock=clock, channel=f"weights-{name}").register(self)
            self._loader = WeightLoader(client=client, address=weights, clock=clock)
        self._holding = self._new_holding()

    def add_routes(self, routes: Routes) -> None:
        attempt_path = f"{SUBMISSIONS_PATH}/{{request}}/{{attempt}}"
        routes.add("POST", SUBMISSIONS_PATH, self._submit)
        routes.add("DELETE", attempt_path, self._cancel)
        routes.add("POST", ORDERS_PATH, self._order)
        routes.add("GET", STATUS_PATH, self._show_status)
        routes.add("GET", CACHE_EVENTS_PATH, self._show_cache_events)

    def faults_changed(self) -> None:
        self._batch.straggle = self.faults.straggle
        if self.faults.down:
            for stream in self._batch.kept_streams:
                if stream.outlet is not None:
                    self._cut(stream, stream.outlet)
        if self.faults.restart:
            self.faults.restart = False
            self.restart()

    @property
    def active_stream_count(self) -> int:
        """Return the number of attempts that have not ended."""
        return sum(not stream.ended for stream in self._batch.kept_streams)

    def restart(self) -> None:
        """Come back under a new boot id, without group, model and cache."""
        self._holding.close()
        self._prefixes.clear()
        self._holding = self._new_holding()

    @property
    def takes_part(self) -> bool:
        """Return whether the engine runs and answers the other members."""
        faults = self.faults
        return not (faults.down or faults.paused or faults.silent)

    def holds(self, group: GroupId) -> bool:
        """Return whether the engine runs as a member of a group."""
        return self.takes_part and self._holding.group == group

    def _halted(self) -> bool:
        others = (each for each in self._holding.members if each != self.instance.id)
        return not self.takes_part or not all(map(self._member_alive, others))

    def _new_holding(self) -> Holding:
        return Holding(
            checks_fence=self.instance.checks_fence,
            loader=self._loader,
            on_lost=self._drop_streams,
        )

    def _drop_streams(self) -> None:
        for stream in self._batch.clear():
            if stream.outlet is not None:
                stream.outlet.abort()

    @property
    def status(self) -> EngineStatus:
        """Return what the engine reports now."""
        held = self._holding
        running, queued, age_s = self._load.read()
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
            load_age_ms=int(age_s * MS_PER_S),
            tokens_per_s=running / self._batch.token_s(),
            cache_sequence=self._prefixes.sequence,
        )

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
            _refuse(reply, Refusal(400, "bad-submission", str(exc)))
            return
        stream = self._batch.find(submission.request, submission.attempt)
        if stream is None:
            refused = self._refusal(submission)
            if refused is not None:
                _refuse(reply, refused)
                return
            stream = self._batch.add(submission)
        self._attach(stream, reply, submission.resume_from)

    def _refusal(self, submission: Submission) -> Refusal | None:
        held = self._holding
        if submission.resume_from:
            return Refusal(409, "unknown-attempt", "The attempt is not kept here.")
        if held.group is None or (held.loading and held.model is None):
            return Refusal(503, "not-serving", "The engine serves no group.")
        if held.members and held.members[0] != self.instance.id:
            return Refusal(409, "not-lead", "Another member leads the group.")
        if self.instance.checks_fence and submission.group != held.group:
            return Refusal(409, "wrong-group", f"The engine holds {held.group}.")
        if self.instance.checks_fence and submission.fence != held.fence:
            return Refusal(409, "stale-fence", f"The group has number {held.fence}.")
        if self._batch.full:
            return Refusal(503, "overloaded", "The queue is full.")
        return None

    def _attach(self, stream: Stream, reply: Reply, start: int) -> None:
        outlet = FrameOutlet(
            reply=reply,
            start=start,
            clock=self.clock,
            rng=self._rng,
            faults=lambda: self.faults,
            on_cut=lambda: self._cut(stream, outlet),
        )
        reply.on_gone = lambda: self._left(stream, outlet)
        stream.outlet = outlet
        outlet.take(stream.frames)

    def _left(self, stream: Stream, outlet: FrameOutlet) -> None:
        if stream.outlet is outlet:
            self._batch.detach(stream)

    def _cut(self, stream: Stream, outlet: FrameOutlet) -> None:
        outlet.abort()
        self._left(stream, outlet)

    def _cancel(self, req: HttpRequest, reply: Reply, request, attempt) -> None:
        stream = self._batch.find(request, int(attempt)) if attempt.isdigit() else None
        if stream is not None:
            self._batch.drop(stream)
        reply.json(200, {"found": stream is not None})

    def _order(self, req: HttpRequest, reply: Reply) -> None:
        if self.faults.silent:
            return
        try:
            order = msgspec.json.decode(req.body, type=Order)
        except msgspec.DecodeError as exc:
            _refuse(reply, Refusal(400, "bad-order", str(exc)))
            return
        due_s = self.clock.now() + order.ttl_ms / MS_PER_S
        self.clock.call_later(
            self.faults.order_delay_s, lambda: self._obey(order, due_s, reply)
        )

    def _obey(self, order: Order, due_s: float, reply: Reply) -> None:
        if self.clock.now() > due_s:
            late = "The order came to its turn too late."
            refused = Refusal(409, "order-expired", late)
        else:
            refused = self._holding.apply_order(order)
        if refused is not None:
            _refuse(reply, refused)
        else:
            reply.json(200, self.status)


def _refuse(reply: Reply, refusal: Refusal) -> None:
    send_problem(reply, refusal.status, refusal.kind, refusal.detail, REFUSAL_REMEDY)


@register_standin("engine", "standin", "standin_engine")
def build_engine(cfg: Settings, clock: Clock) -> EngineStandin:
    """Build the stand-in from its settings."""
    own = cfg.section("standin")
    engine = cfg.section("standin_engine")
    instance = Instance(
        id=InstanceId(own["name"]),
        address=own["listen"],
        kind=InstanceKind.ENGINE,
        state=InstanceState.LIVE,
        failure_domain=FailureDomainName(engine["failure_domain"]),
        region=RegionName(engine["region"]),
        domain=DomainName(engine["domain"]),
        accelerators=engine["accelerators"],
        checks_fence=engine["checks_fence"],
    )
    return EngineStandin(
        name=own["name"],
        bind=split_address(own["listen"]),
        clock=clock,
        instance=instance,
        speed=EngineSpeed(tokens_per_s=engine["tokens_per_s"], batch=engine["batch"]),
        cache_blocks=engine["cache_blocks"],
        load_s=engine["load_s"],
        weights=engine["weights"][0] if engine["weights"] else None,
    )
