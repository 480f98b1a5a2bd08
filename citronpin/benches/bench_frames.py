"""Benchmark of token frames: processor time of an engine's client for each frame."""

import threading
import time

import msgspec
from circuits import Component

from citronpin.backends.dispatches import AnswerSink, Dispatch, Target
from citronpin.backends.engines import Frame, Order, OrderKind
from citronpin.backends.http_engines import HttpEngineClient
from citronpin.basics.clocks import ClockTask, SystemClock
from citronpin.basics.errors import CitronpinError
from citronpin.basics.events import Recorder
from citronpin.basics.ids import Fence, GroupId, InstanceId, RequestId
from citronpin.benches.benches import Bench, Figure, register
from citronpin.standins.standin_batches import EngineSpeed
from citronpin.standins.standin_engines import EngineStandin
from citronpin.standins.standin_texts import answer_to
from citronpin.state.instances import Instance, InstanceKind, InstanceState
from citronpin.web.clients import HttpClient

FENCE = Fence(1)
STREAM_COUNT = 45
TOKENS_PER_S = 47.0  # of each stream; together the target of 2,100 a second
TOKENS_PER_STREAM = 400
QUICK_TOKENS_PER_STREAM = 60
START_STAGGER_S = 0.0007
DEADLINE_S = 60.0
ORDER_TTL_MS = 5_000
JOIN_TIMEOUT_S = 10.0
US_PER_S = 1_000_000


class CountingSink(AnswerSink):
    """Counts the frames of an answer and checks its text."""

    def __init__(self, *, expected: str, ended) -> None:
        self._expected = expected
        self._on_end = ended
        self._texts: list[str] = []
        self.batches = 0
        self.whole = False

    @property
    def frames(self) -> int:
        """Return the number of frames received."""
        return len(self._texts)

    def text(self, frames: list[Frame]) -> None:
        self.batches += 1
        self._texts += [frame.text for frame in frames]

    def done(self, final: Frame) -> None:
        self.whole = "".join(self._texts) == self._expected
        self._on_end()

    def failed(self, error: CitronpinError) -> None:
        self._on_end()


class FrameRun(Component):
    """Forms a group on each engine, then streams answers in one event loop."""

    def __init__(self, *, addresses: list[str], tokens: int) -> None:
        super().__init__()
        self._clock = SystemClock()
        self._addresses = addresses
        self._tokens = tokens
        self._formed_groups = 0
        self._open_streams = STREAM_COUNT
        self.sinks: list[CountingSink] = []
        ClockTask(clock=self._clock).register(self)
        client = HttpClient(clock=self._clock).register(self)
        self._engine = HttpEngineClient(client=client, clock=self._clock)
        self._recorder = Recorder(process="bench", clock=self._clock)
        self._clock.call_later(0.0, self._form_groups)

    def _form_groups(self) -> None:
        for number, address in enumerate(self._addresses):
            order = Order(
                id=f"form-{number}",
                kind=OrderKind.FORM,
                fence=FENCE,
                ttl_ms=ORDER_TTL_MS,
                group=GroupId(f"g{number}"),
                members=(InstanceId(f"i{number}"),),
            )
            self._engine.order(address=address, order=order, done=self._record_formed)

    def _record_formed(self, result) -> None:
        result.unwrap()
        self._formed_groups += 1
        if self._formed_groups == len(self._addresses):
            for number in range(STREAM_COUNT):
                self._clock.call_later(
                    number * START_STAGGER_S, lambda n=number: self._start_stream(n)
                )

    def _start_stream(self, number: int) -> None:
        message = {"role": "user", "content": f"Draft rota {number}."}
        body = {"messages": [message], "max_tokens": self._tokens}
        engine = number % len(self._addresses)
        target = Target(
            group=GroupId(f"g{engine}"), fence=FENCE, address=self._addresses[engine]
        )
        sink = CountingSink(
            expected=answer_to(body).text, ended=self._record_stream_end
        )
        self.sinks.append(sink)
        Dispatch(
            body=body,
            request=RequestId(f"r{number}"),
            deadline_s=self._clock.now() + DEADLINE_S,
            pick=lambda tried: target,
            sink=sink,
            engine=self._engine,
            clock=self._clock,
            recorder=self._recorder,
        ).start()

    def _record_stream_end(self) -> None:
        self._open_streams -= 1
        if not self._open_streams:
            self.stop()


def _make_engines(count: int) -> tuple[Component, list[str]]:
    """Return the root component of ``count`` engine stand-ins, and their addresses."""
    root = Component()
    clock = SystemClock()
    addresses = []
    for number in range(count):
        instance = Instance(
            id=InstanceId(f"i{number}"),
            address="",
            kind=InstanceKind.ENGINE,
            state=InstanceState.LIVE,
            failure_domain="a",
        )
        engine = EngineStandin(
            name=instance.id,
            bind=("127.0.0.1", 0),
            clock=clock,
            instance=instance,
            speed=EngineSpeed(tokens_per_s=TOKENS_PER_S, batch_slowdown=0.0),
        ).register(root)
        addresses.append(engine.address)
    return root, addresses


class FrameCase(msgspec.Struct, frozen=True):
    """Number of engines over which the streams are spread evenly."""

    name: str
    engines: int


@register
class FramesBench(Bench):
    """Measures engine client, reassembly of answers and dispatch together.

    Engines run in another thread, whose processor time is not counted.
    """

    name = "frames"
    summary = "processor time of the client side for each token frame"
    CASES = (FrameCase("one engine", 1), FrameCase("30 engines", 30))

    def run(self, *, seed, quick):
        tokens = QUICK_TOKENS_PER_STREAM if quick else TOKENS_PER_STREAM
        figures = []
        for case in self.CASES:
            figures += self._measure(case, tokens)
        return figures

    def _measure(self, case: FrameCase, tokens: int) -> list[Figure]:
        root, addresses = _make_engines(case.engines)
        thread = threading.Thread(target=root.run)
        thread.start()
        run = FrameRun(addresses=addresses, tokens=tokens)
        start_s = time.thread_time()
        run.run()
        spent_s = time.thread_time() - start_s
        root.stop()
        thread.join(JOIN_TIMEOUT_S)
        frames = sum(sink.frames for sink in run.sinks)
        batches = sum(sink.batches for sink in run.sinks)
        whole = sum(sink.whole for sink in run.sinks)
        return [
            _figure(case, "whole answers", whole / STREAM_COUNT, "1", False),
            _figure(case, "client time a frame", spent_s * US_PER_S / frames, "us"),
            _figure(case, "frames a segment", frames / batches, "1"),
        ]


def _figure(case: FrameCase, name, value, unit, clock_dependent=True) -> Figure:
    return Figure(
        name=name,
        value=value,
        unit=unit,
        series=case.name,
        clock_dependent=clock_dependent,
    )
