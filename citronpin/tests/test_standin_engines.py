"""Tests of the engine stand-in and its client over loopback HTTP."""

import random
import urllib.request

import pytest

from citronpin.backends.dispatches import AnswerSink, Dispatch, DispatchLimits, Target
from citronpin.backends.engines import FrameSink, Order, OrderKind, Submission
from citronpin.backends.http_engines import HttpEngineClient
from citronpin.basics.errors import (
    ConnectionFailed,
    ConnectionLost,
    EngineRefused,
    StaleFence,
)
from citronpin.basics.events import Recorder
from citronpin.standins.standin_batches import Batch, EngineSpeed
from citronpin.standins.standin_caches import PrefixCache
from citronpin.standins.standin_engines import EngineStandin
from citronpin.standins.standin_holdings import Holding
from citronpin.standins.standin_loaders import TimedLoader
from citronpin.standins.standin_reports import LaggedLoad
from citronpin.standins.standin_services import ServiceStandin
from citronpin.standins.standin_texts import answer_to
from citronpin.standins.standin_weights import WeightStandin
from citronpin.state.instances import Instance, InstanceKind, InstanceState
from citronpin.tests.conftest import wait_until
from citronpin.web.clients import HttpClient

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


class Answer(AnswerSink):
    """Collects the text and the ends of a dispatch."""

    def __init__(self):
        self.parts = []
        self.ends = []

    def text(self, frames):
        self.parts += [frame.text for frame in frames]

    def done(self, final):
        self.ends.append(final)

    def failed(self, error):
        self.ends.append(error)


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

    def faults(self, **fields):
        self.engine_loop.call(lambda: self.engine.set_faults(**fields))

    def dispatch(self, **limits):
        """Run a dispatch to its end and return its answer."""
        answer = Answer()
        clock = self.loop.clock
        target = Target(group="g1", fence=3, address=self.engine.address)
        dispatch = Dispatch(
            body=BODY,
            request="r",
            deadline_s=clock.now() + 20.0,
            pick=lambda tried: target,
            sink=answer,
            engine=self.client,
            clock=clock,
            recorder=Recorder(process="e1", clock=clock),
            limits=DispatchLimits(**limits),
        )
        self.loop.call(dispatch.start)
        wait_until(lambda: answer.ends)
        return answer

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


@pytest.mark.parametrize(
    "faults",
    [
        {"swapped_share": 0.3, "repeated_share": 0.3, "foreign_share": 0.3},
        {"late_share": 0.3, "late_s": 0.01, "repeated_share": 0.2},
        {"cut_after_frames": 20},
    ],
)
def test_faulty_frames_give_the_whole_answer(bench, faults):
    bench = bench(speed=EngineSpeed(tokens_per_s=4_000.0))
    bench.form(3)
    bench.faults(**faults)
    answer = bench.dispatch(resumes=4)
    assert answer.ends[0].final and len(answer.ends) == 1
    assert "".join(answer.parts) == answer_to(BODY).text


def test_a_kept_attempt_is_resumed_and_another_continues_a_prefix(bench):
    bench = bench()
    bench.form(3)
    bench.faults(cut_after_frames=5)
    cut = bench.run()
    assert isinstance(cut.ends[0], ConnectionLost) and len(cut.got) == 5
    bench.faults(cut_after_frames=None)
    resumed = bench.run(resume_from=5)
    assert resumed.got[0].sequence == 5
    assert cut.text + resumed.text == answer_to(BODY).text
    moved = bench.run(attempt=1, prefix=cut.text, prefix_tokens=5)
    assert moved.text == resumed.text
    assert moved.got[-1].usage == resumed.got[-1].usage | {
        "prompt_tokens_details": moved.got[-1].usage["prompt_tokens_details"]
    }
    unknown = bench.run(attempt=2, resume_from=5)
    assert isinstance(unknown.ends[0], EngineRefused)


def test_a_restart_forgets_the_group_and_cuts_its_streams(bench):
    bench = bench(speed=EngineSpeed(tokens_per_s=20.0))
    bench.form(3)
    before = bench.status().ok()
    sink = bench.submit()
    wait_until(lambda: sink.got)
    bench.faults(restart=True)
    wait_until(lambda: sink.ends)
    assert isinstance(sink.ends[0], ConnectionLost)
    after = bench.status().ok()
    assert after.boot != before.boot and after.group is None
    assert isinstance(bench.run(attempt=1).ends[0], EngineRefused)


def test_cancelling_stops_generation_on_the_engine(bench):
    bench = bench(speed=EngineSpeed(tokens_per_s=20.0), load_lag_s=0.0)
    bench.form(3)
    sink = bench.submit()
    wait_until(lambda: bench.status().ok().running == 1)
    bench.loop.call(sink.attempt.cancel)
    wait_until(lambda: bench.status().ok().running == 0)
    assert not sink.ends


@pytest.mark.parametrize("fault", ["paused", "silent", "member"])
def test_no_token_comes_while_a_member_takes_no_part(bench, fault):
    gone = set()
    bench = bench(
        speed=EngineSpeed(tokens_per_s=200.0),
        member_alive=lambda instance: instance not in gone,
    )
    bench.form(3)
    sink = bench.submit(body=BODY | {"max_tokens": 400})
    wait_until(lambda: sink.got)
    if fault == "member":
        gone.add("i2")
    else:
        bench.faults(**{fault: True})
    later = []
    for delay_s in (0.1, 0.4):
        bench.loop.call(
            lambda: bench.loop.clock.call_later(
                delay_s, lambda: later.append(len(sink.got))
            )
        )
    wait_until(lambda: len(later) == 2)
    assert later[0] == later[1] and not sink.ends
    gone.clear()
    if fault != "member":
        bench.faults(**{fault: False})
    wait_until(lambda: len(sink.got) > later[1])


def test_higher_priorities_leave_the_queue_first(paused_clock):
    cache = PrefixCache(
        clock=paused_clock, limit=9, delay_s=1.0, gap_share=0.0, rng=random.Random(1)
    )
    load = LaggedLoad(clock=paused_clock, lag_s=0.5)
    batch = Batch(
        clock=paused_clock,
        speed=EngineSpeed(tokens_per_s=100.0, batch=1),
        cache=cache,
        load=load,
        halted=lambda: False,
    )
    low, mid, high = (
        batch.add(
            Submission(
                request=f"r{priority}",
                attempt=0,
                group="g",
                fence=1,
                body=BODY | {"max_tokens": 10},
                priority=priority,
                deadline_ms=150 if priority == 1 else 10_000,
            )
        )
        for priority in (0, 1, 2)
    )
    assert load.read()[:2] == (0, 0)
    paused_clock.advance(0.5)
    assert low.ended and high.ended and load.read()[:2] == (1, 2)
    assert not mid.ended and not mid.frames and batch.find("r1", 0) is None
    assert high.cached_tokens > 0 and low.cached_tokens == 0
    assert not cache.events(0)
    paused_clock.advance(1.0)
    assert [event.stored for event in cache.events(0)] == [True] * len(low.blocks)


def test_an_order_that_comes_to_its_turn_late_has_no_effect(bench):
    bench = bench()
    bench.faults(order_delay_s=0.1)
    late = bench.order(OrderKind.FORM, 3, ttl_ms=10, group="g1")
    assert isinstance(late.err(), EngineRefused)
    assert bench.status().ok().group is None


def test_the_group_is_held_once_its_model_is_loaded(bench, loops):
    weights_loop, weights = loops(
        lambda clock: WeightStandin(
            name="weights",
            bind=("127.0.0.1", 0),
            clock=clock,
            bytes_per_s=1e9,
            model_bytes=0.1e9,
            adapter_bytes=0.01e9,
        )
    )
    bench = bench(weights=weights.address)
    what = {"model": "m", "version": "1", "adapters": ("a1", "a2")}
    taken = bench.order(OrderKind.FORM, 3, group="g1", members=("i1",), **what).ok()
    assert taken.loading and taken.group is None
    assert isinstance(bench.run().ends[0], EngineRefused)
    held = wait_until(lambda: (s := bench.status().ok()).group == "g1" and s)
    assert (held.model, held.version, held.adapters) == ("m", "1", ("a1", "a2"))
    assert weights_loop.call(lambda: weights.downloads) == 3
    assert bench.run(attempt=1).ends == [None]


def test_a_load_that_was_superseded_has_no_effect(paused_clock):
    loader = TimedLoader(clock=paused_clock, load_s=1.0)
    held = Holding(checks_fence=True, loader=loader, on_lost=lambda: None)
    for number, model in enumerate(("m1", "m2")):
        fields = {"fence": 1, "ttl_ms": 9_000, "model": model, "version": "1"}
        held.apply_order(Order(id=f"o{number}", kind=OrderKind.LOAD, **fields))
        paused_clock.advance(0.5)
    paused_clock.advance(0.2)
    assert held.loading and held.model is None
    paused_clock.advance(0.5)
    assert not held.loading and held.model == "m2"


def test_members_that_do_not_lead_refuse(bench):
    bench = bench()
    bench.order(OrderKind.FORM, 3, group="g1", members=("i0", "i1"))
    assert isinstance(bench.run().ends[0], EngineRefused)


def test_two_stand_ins_share_a_loop(loops):
    loop, *services = loops(
        *(
            lambda clock, n=n: ServiceStandin(
                name=f"s{n}", bind=("127.0.0.1", 0), clock=clock
            )
            for n in range(2)
        )
    )
    for service in services:
        url = f"http://{service.address}/swaps"
        request = urllib.request.Request(url, b"{}", {"Idempotency-Key": "k"})
        assert urllib.request.urlopen(request, timeout=10).status == 201
    assert [service.effects for service in services] == [{"k": 1}] * 2
