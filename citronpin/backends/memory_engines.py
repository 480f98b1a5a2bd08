"""Simulated model engines in memory, for benchmarks and tests."""

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
    """Return a live engine instance whose address equals its id."""
    instance_id = InstanceId(f"{domain}{number}")
    return Instance(
        id=instance_id,
        address=instance_id,
        kind=InstanceKind.ENGINE,
        state=InstanceState.LIVE,
        failure_domain=FailureDomainName("f"),
        domain=domain,
        accelerators=8,
        checks_fence=checks_fence,
    )


class MemoryStream(msgspec.Struct):
    """A stream that ends at clock time ``end_s``, in seconds, unless aborted.

    ``on_cut`` is called with the cause if the stream is aborted.
    """

    end_s: float
    on_cut: Callable[[str], None]


class MemoryEngine:
    """A simulated model engine that carries out orders and reports its status.

    A restart loses its group, its model, its streams and the highest fencing number
    seen. It refuses orders with an older fencing number only if ``row.checks_fence``
    is set. Loading a model takes ``load_s`` seconds. ``order_delay_s`` delays each
    order on its way, and ``lose_answers`` drops the answers to orders.
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
        """Return whether the engine queues requests instead of handling them."""
        return self._held_requests is not None

    def pause(self) -> None:
        """Queue all further requests until `resume`; no effect while down."""
        if self.up and self._held_requests is None:
            self._held_requests = []

    def resume(self) -> None:
        """Handle the queued requests and all further ones at once."""
        held, self._held_requests = self._held_requests or [], None
        for action in held:
            self.run_or_hold(action)

    def restart(self) -> None:
        """Abort all streams and start again without group and model."""
        self._boot_count += 1
        self._held_requests = None
        self.abort_streams("restart")
        self.up = True
        self.highest_fence = NO_FENCE
        self.stored_status = EngineStatus(
            instance=self.row.id, boot=f"{self.row.id}/{self._boot_count}"
        )

    def crash(self) -> None:
        """Stop answering until restarted; queued requests are lost."""
        self.up = False
        self._held_requests = None

    def run_or_hold(self, action: Callable[[], None]) -> None:
        """Run ``action`` now, queue it while paused, or drop it while down."""
        if self._held_requests is not None:
            self._held_requests.append(action)
        elif self.up:
            action()

    def status(self) -> EngineStatus:
        """Return the reported status, with the number of streams still running."""
        now = self._clock.now()
        self.running_streams = [s for s in self.running_streams if s.end_s > now]
        return msgspec.structs.replace(
            self.stored_status, running=len(self.running_streams)
        )

    def abort_streams(self, cause: str) -> None:
        """Abort every stream that is still running."""
        now = self._clock.now()
        streams, self.running_streams = self.running_streams, []
        for stream in streams:
            if stream.end_s > now:
                stream.on_cut(cause)

    def apply_order(self, order: Order, due_s: float) -> CitronpinError | None:
        """Carry out an order that expires at clock time ``due_s``, in seconds.

        Return the error if the order is refused, else ``None``.
        """
        if self._clock.now() > due_s:
            return StaleFence("The order has expired.")
        if self.row.checks_fence and order.fence < self.highest_fence:
            return StaleFence(f"Fence {self.highest_fence} was already seen.")
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

        def finish_loading() -> None:
            if self.stored_status.boot == boot:
                self.stored_status = msgspec.structs.replace(
                    self.stored_status,
                    loading=False,
                    model=order.model,
                    version=order.version,
                    adapters=order.adapters,
                )

        self._clock.call_later(self._load_s, finish_loading)

    def _set_group(self, *, group, fence, members) -> None:
        if (self.stored_status.group, self.stored_status.members) != (group, members):
            self.abort_streams("order")
        self.stored_status = msgspec.structs.replace(
            self.stored_status, group=group, fence=fence, members=members
        )


class MemoryEngines(EngineClient):
    """Client of simulated engines for one entry, with injected network faults.

    Callbacks run on the entry's clock, while delays and timeouts run on the shared
    clock. While ``cut_off`` is set, no request reaches an engine.
    """

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
        raise ConnectionFailed("Engines in memory do not generate text.")

    def cache_events(self, *, address, since, done) -> None:
        self._clock.call_later(0.0, lambda: done(Ok([])))

    def order(self, *, address, order, done) -> None:
        engine = self._engines.get(address)
        delay_s = engine.order_delay_s if engine else 0.0

        def handle(respond) -> None:
            due_s = self._shared.now() + order.ttl_ms / MS_PER_S
            engine.run_or_hold(lambda: execute(respond, due_s))

        def execute(respond, due_s) -> None:
            refusal = engine.apply_order(order, due_s)
            if not engine.lose_answers:
                respond(Err(refusal) if refusal else Ok(engine.status()))

        self._send(engine, handle, done, ORDER_TIMEOUT_S, delay_s)

    def status(self, *, address, done, timeout_s=1.0) -> None:
        engine = self._engines.get(address)

        def handle(respond) -> None:
            engine.run_or_hold(lambda: respond(Ok(engine.status())))

        self._send(engine, handle, done, timeout_s, 0.0)

    def _send(self, engine, handle, done, timeout_s: float, delay_s: float) -> None:
        self.calls += 1
        answered = False

        def respond(result) -> None:
            nonlocal answered
            if not answered:
                answered = True
                timeout.cancel()
                self._clock.call_later(0.0, lambda: done(result))

        failure = Err(TimedOut("The engine did not answer in time."))
        timeout = self._shared.call_later(timeout_s, lambda: respond(failure))
        if engine is None or self.cut_off:
            return
        self._shared.call_later(LATENCY_S + delay_s, lambda: handle(respond))
