"""Tests of the engine stand-in and its client over loopback HTTP."""

import pytest

from citronpin.clients import HttpClient
from citronpin.engines import FrameSink, Order, OrderKind, Submission
from citronpin.errors import ConnectionFailed, EngineRefused, StaleFence
from citronpin.http_engines import HttpEngineClient
from citronpin.instances import Instance, InstanceKind, InstanceState
from citronpin.standin_batches import EngineSpeed
from citronpin.standin_engines import EngineStandin
from citronpin.standin_texts import answer_to
from citronpin.tests.conftest import wait_until

BODY = {"messages": [{"role": "user", "content": "Draft a rota. " * 40}]}
SPEED = EngineSpeed(tokens_per_s=2_000.0)


class Frames(FrameSink):
    """Collects what an attempt delivers."""

    def __init__(self):
        self.got = []
        self.ends = []

    def frames(self, frames):
        self.got.extend(frames)

    def ended(self, error):
        self.ends.append(error)

    @property
    def text(self):
        return "".join(frame.text for frame in self.got)


class Bench:
    """An engine stand-in with a client in another event loop."""

    def __init__(self, loops, **options):
        checks = options.pop("checks_fence", True)
        instance = Instance(
            id="i1",
            address="127.0.0.1:0",
            kind=InstanceKind.ENGINE,
            state=InstanceState.LIVE,
            failure_domain="a",
            checks_fence=checks,
        )
        options.setdefault("speed", SPEED)
        self.engine_loop, self.engine = loops(
            lambda clock: EngineStandin(
                name="i1",
                bind=("127.0.0.1", 0),
                clock=clock,
                instance=instance,
                **options,
            )
        )
        self.loop, http = loops(lambda clock: HttpClient(clock=clock))
        self.client = HttpEngineClient(client=http, clock=self.loop.clock)

    def order(self, kind, fence, ttl_ms=5_000, **fields):
        order = Order(id="o", kind=kind, fence=fence, ttl_ms=ttl_ms, **fields)
        return self.ask(
            lambda done: self.client.order(
                address=self.engine.address, order=order, done=done
            )
        )

    def form(self, fence, group="g1"):
        return self.order(OrderKind.FORM, fence, group=group, members=("i1", "i2"))

    def status(self):
        address = self.engine.address
        return self.ask(lambda done: self.client.status(address=address, done=done))

    def ask(self, call):
        answers = []
        self.loop.call(lambda: call(answers.append))
        return wait_until(lambda: answers and answers[0])

    def submit(self, fence=3, group="g1", body=BODY, **fields):
        fields = {"request": "r", "attempt": 0} | fields
        submission = Submission(group=group, fence=fence, body=body, **fields)
        sink = Frames()
        sink.attempt = self.loop.call(
            lambda: self.client.submit(
                address=self.engine.address, submission=submission, sink=sink
            )
        )
        return sink

    def run(self, **fields):
        sink = self.submit(**fields)
        wait_until(lambda: sink.ends)
        return sink


@pytest.fixture
def bench(loops):
    return lambda **options: Bench(loops, **options)


def test_an_answer_streams_whole_in_order(bench):
    bench = bench()
    assert bench.form(3).ok().group == "g1"
    sink = bench.run()
    assert sink.ends == [None]
    assert [frame.sequence for frame in sink.got] == list(range(len(sink.got)))
    assert sink.text == answer_to(BODY).text
    usage = sink.got[-1].usage
    assert sink.got[-1].final and usage["completion_tokens"] == len(sink.got) - 1


def test_only_the_held_group_and_fence_are_admitted(bench):
    checks = bench()
    assert isinstance(checks.run().ends[0], EngineRefused)
    checks.form(3)
    assert isinstance(checks.run(group="g2").ends[0], EngineRefused)
    assert isinstance(checks.run(fence=2).ends[0], StaleFence)
    ignores = bench(checks_fence=False)
    ignores.form(3)
    assert ignores.run(fence=2).ends == [None]


def test_old_fencing_numbers_are_refused_or_ignored(bench):
    checks = bench()
    checks.form(3)
    assert isinstance(checks.form(2, "g2").err(), StaleFence)
    assert checks.status().ok().group == "g1"
    ignores = bench(checks_fence=False)
    ignores.form(3)
    assert ignores.form(2, "g2").ok().group == "g2"


def test_no_listener_is_proof_of_not_run(bench):
    bench = bench()
    sink = Frames()
    submission = Submission(request="r", attempt=0, group="g", fence=1, body=BODY)
    bench.loop.call(
        lambda: bench.client.submit(
            address="127.0.0.1:1", submission=submission, sink=sink
        )
    )
    wait_until(lambda: sink.ends)
    assert isinstance(sink.ends[0], ConnectionFailed)
