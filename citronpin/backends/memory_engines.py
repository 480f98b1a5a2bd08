"""Model engines in memory, for benches and tests."""

import logging
from collections.abc import Callable

import msgspec
from result import Err, Ok

from citronpin.backends.engines import (
    Attempt,
    EngineClient,
    EngineStatus,
    FrameSink,
    Order,
    OrderKind,
)
from citronpin.basics.clocks import MS_PER_S, Clock, PausedClock
from citronpin.basics.errors import (
    CitronpinError,
    ConnectionFailed,
    StaleFence,
    TimedOut,
)
from citronpin.basics.ids import DomainName, FailureDomainName, Fence, InstanceId
from citronpin.state.instances import Instance, InstanceKind, InstanceState

logger = logging.getLogger(__name__)

LATENCY_S = 0.002
ORDER_TIMEOUT_S = 2.0
NO_FENCE = Fence(-1)


def make_engine_instance(
    domain: DomainName, number: int, *, checks_fence: bool = True
) -> Instance:
    """Return the row of an engine, whose address is its id."""
    name = InstanceId(f"{domain}{number}")
    return Instance(
        id=name,
        address=name,
        kind=InstanceKind.ENGINE,
        state=InstanceState.LIVE,
        failure_domain=FailureDomainName("f"),
        domain=domain,
        accelerators=8,
        checks_fence=checks_fence,
    )


class MemoryStream(msgspec.Struct):
    """A stream that an engine generates until a clock time."""

    end_s: float
    on_cut: Callable[[str], None]


class MemoryEngine:
    """A model engine: what it holds, and the orders that it obeys.

    It forgets everything but its id when it restarts. ``checks_fence`` of its
    row says whether it refuses orders with an older fencing number.
    """

    def __init__(self, *, row: Instance, clock: Clock, load_s: float) -> None:
        self.row = row
        self.up = True
        self.order_delay_s = 0.0
        self.lose_answers = False
        self._clock = clock
        self._load_s = load_s
        self._held_requests: list[Callable[[], None]] | None = None
        self._boot_count = 0
        self.running_streams: list[MemoryStream] = []
        self.restart()

    @property
    def paused(self) -> bool:
        """Return whether the engine holds what it is asked."""
        return self._held_requests is not None

    def pause(self) -> None:
        """Hold every request from now on."""
        if self._held_requests is None:
            self._held_requests = []

    def resume(self) -> None:
        """Work on the requests that were held."""
        held, self._held_requests = self._held_requests or [], None
        for action in held:
            action()

    def restart(self) -> None:
        """Come back without group, model and streams."""
        self._boot_count += 1
        self._held_requests = None
        self.abort_streams("restart")
        self.up = True
        self.highest_fence = NO_FENCE
        self.stored_status = EngineStatus(
            instance=self.row.id, boot=f"{self.row.id}/{self._boot_count}"
        )

    def crash(self) -> None:
        """Stop to answer until restarted or revived."""
        self.up = False
        self._held_requests = None

    def run_or_hold(self, action: Callable[[], None]) -> None:
        """Run ``action`` now, or when the pause ends."""
        if self._held_requests is not None:
            self._held_requests.append(action)
        elif self.up:
            action()

    def status(self) -> EngineStatus:
        """Return what the engine reports."""
        now = self._clock.now()
        self.running_streams = [job for job in self.running_streams if job.end_s > now]
        return msgspec.structs.replace(
            self.stored_status, running=len(self.running_streams)
        )

    def abort_streams(self, cause: str) -> None:
        """End every stream before its time."""
        now = self._clock.now()
        running_streams, self.running_streams = self.running_streams, []
        for job in running_streams:
            if job.end_s > now:
                job.on_cut(cause)

    def apply_order(self, order: Order, due_s: float) -> CitronpinError | None:
        """Carry an order out, or say why not."""
        if self._clock.now() > due_s:
            return StaleFence("The order has expired.")
        if self.row.checks_fence and order.fence < self.highest_fence:
            return StaleFence(f"Fence {self.highest_fence} was seen.")
        self.highest_fence = max(self.highest_fence, order.fence)
        if order.kind is OrderKind.RELEASE:
            self._set_group(group=None, fence=NO_FENCE, members=())
        elif order.kind is OrderKind.LOAD:
            self._start_loading(order)
        else:
            self._set_group(group=order.group, fence=order.fence, members=order.members)
        return None

    def _start_loading(self, order: Order) -> None:
        if self.stored_status.loading:
            return
        self.abort_streams("load")
        boot = self.stored_status.boot
        self.stored_status = msgspec.structs.replace(self.stored_status, loading=True)

        def loaded() -> None:
            if self.stored_status.boot == boot:
                self.stored_status = msgspec.structs.replace(
                    self.stored_status,
                    loading=False,
                    model=order.model,
                    version=order.version,
                    adapters=order.adapters,
                )

        self._clock.call_later(self._load_s, loaded)

    def _set_group(self, *, group, fence, members) -> None:
        if (self.stored_status.group, self.stored_status.members) != (group, members):
            self.abort_streams("order")
        self.stored_status = msgspec.structs.replace(
            self.stored_status, group=group, fence=fence, members=members
        )


class MemoryEngines(EngineClient):
    """The engines of a fabric as one entry reaches them."""

    def __init__(
        self,
        *,
        engines: dict[InstanceId, MemoryEngine],
        shared: PausedClock,
        clock: Clock,
    ) -> None:
        self._engines = engines
        self._shared = shared
        self._clock = clock
        self.cut_off = False
        self.calls = 0

    def submit(self, *, address, submission, sink: FrameSink) -> Attempt:
        raise ConnectionFailed("Engines in memory generate nothing.")

    def cache_events(self, *, address, since, done) -> None:
        self._clock.call_later(0.0, lambda: done(Ok([])))

    def order(self, *, address, order, done) -> None:
        engine = self._engines.get(address)
        delay_s = engine.order_delay_s if engine else 0.0

        def handle(answer) -> None:
            due_s = self._shared.now() + order.ttl_ms / MS_PER_S
            engine.run_or_hold(lambda: apply_order(answer, due_s))

        def apply_order(answer, due_s) -> None:
            refusal = engine.apply_order(order, due_s)
            if not engine.lose_answers:
                answer(Err(refusal) if refusal else Ok(engine.status()))

        self._send(engine, handle, done, ORDER_TIMEOUT_S, delay_s)

    def status(self, *, address, done, timeout_s=1.0) -> None:
        engine = self._engines.get(address)

        def handle(answer) -> None:
            engine.run_or_hold(lambda: answer(Ok(engine.status())))

        self._send(engine, handle, done, timeout_s, 0.0)

    def _send(self, engine, handle, done, timeout_s: float, delay_s: float) -> None:
        self.calls += 1
        answered = False

        def answer(result) -> None:
            nonlocal answered
            if not answered:
                answered = True
                timeout.cancel()
                self._clock.call_later(0.0, lambda: done(result))

        failure = Err(TimedOut("The engine does not answer."))
        timeout = self._shared.call_later(timeout_s, lambda: answer(failure))
        if engine is None or self.cut_off:
            return
        self._shared.call_later(LATENCY_S + delay_s, lambda: handle(answer))
