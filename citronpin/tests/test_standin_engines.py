"""Tests of the engine stand-in and of its client over loopback HTTP."""

import random
import urllib.request

import pytest

from citronpin.backends.dispatches import AnswerSink, Dispatch, DispatchLimits, Target
from citronpin.backends.engines import Frame, FrameSink, Order, OrderKind, Submission
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
from citronpin.standins.standin_frames import EngineFaults, HttpFrameWriter
from citronpin.standins.standin_loaders import TimedLoader
from citronpin.standins.standin_reports import DelayedLoadReport
from citronpin.standins.standin_services import ServiceStandin
from citronpin.standins.standin_states import EngineState
from citronpin.standins.standin_texts import answer_to
from citronpin.standins.standin_weights import WeightStandin
from citronpin.state.instances import Instance, InstanceKind, InstanceState
from citronpin.tests.conftest import wait_until
from citronpin.web.clients import HttpClient

BODY = {"messages": [{"role": "user", "content": "Draft a rota. " * 40}]}
SPEED = EngineSpeed(tokens_per_s=2_000.0)


class RecordingFrameSink(FrameSink):
    """Records the frames of an attempt and how it ended."""

    def __init__(self):
        self.received = []
        self.ends = []

    def frames(self, frames):
        self.received.extend(frames)

    def ended(self, error):
        self.ends.append(error)

    @property
    def text(self):
        return "".join(frame.text for frame in self.received)


class RecordingAnswerSink(AnswerSink):
    """Records the text of a dispatch and how it ended."""

    def __init__(self):
        self.parts = []
        self.ends = []

    def text(self, frames):
        self.parts += [frame.text for frame in frames]

    def done(self, final):
        self.ends.append(final)

    def failed(self, error):
        self.ends.append(error)


class EngineHarness:
    """Runs an engine stand-in and its client in separate event loops."""

    def __init__(self, loops, **options):
        checks_fence = options.pop("checks_fence", True)
        instance = Instance(
            id="i1",
            address="127.0.0.1:0",
            kind=InstanceKind.ENGINE,
            state=InstanceState.LIVE,
            failure_domain="a",
            checks_fence=checks_fence,
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

    def set_faults(self, **fields):
        self.engine_loop.call(lambda: self.engine.set_faults(**fields))

    def dispatch(self, **limits):
        """Run a dispatch with these limits to its end and return its sink."""
        sink = RecordingAnswerSink()
        clock = self.loop.clock
        target = Target(group="g1", fence=3, address=self.engine.address)
        dispatch = Dispatch(
            body=BODY,
            request="r",
            deadline_s=clock.now() + 20.0,
            pick=lambda tried: target,
            sink=sink,
            engine=self.client,
            clock=clock,
            recorder=Recorder(process="e1", clock=clock),
            limits=DispatchLimits(**limits),
        )
        self.loop.call(dispatch.start)
        wait_until(lambda: sink.ends)
        return sink

    def order(self, kind, fence, ttl_ms=5_000, **fields):
        order = Order(id="o", kind=kind, fence=fence, ttl_ms=ttl_ms, **fields)
        return self.wait_for(
            lambda done: self.client.order(
                address=self.engine.address, order=order, done=done
            )
        )

    def form(self, fence, group="g1"):
        """Order the engine to form a group that it leads."""
        return self.order(OrderKind.FORM, fence, group=group, members=("i1", "i2"))

    def status(self):
        address = self.engine.address
        return self.wait_for(
            lambda done: self.client.status(address=address, done=done)
        )

    def wait_for(self, call):
        """Run an asynchronous call of the client and return its result."""
        results = []
        self.loop.call(lambda: call(results.append))
        return wait_until(lambda: results and results[0])

    def submit(self, fence=3, group="g1", body=BODY, **fields):
        """Start an attempt and return its sink."""
        fields = {"request": "r", "attempt": 0} | fields
        submission = Submission(group=group, fence=fence, body=body, **fields)
        sink = RecordingFrameSink()
        sink.attempt = self.loop.call(
            lambda: self.client.submit(
                address=self.engine.address, submission=submission, sink=sink
            )
        )
        return sink

    def run(self, **fields):
        """Run an attempt to its end and return its sink."""
        sink = self.submit(**fields)
        wait_until(lambda: sink.ends)
        return sink


@pytest.fixture
def make_harness(loops):
    return lambda **options: EngineHarness(loops, **options)


def test_frames_arrive_in_order_with_the_whole_answer(make_harness):
    engine = make_harness()
    assert engine.form(3).ok().group == "g1"
    sink = engine.run()
    assert sink.ends == [None]
    assert [frame.sequence for frame in sink.received] == list(
        range(len(sink.received))
    )
    assert sink.text == answer_to(BODY).text
    usage = sink.received[-1].usage
    assert (
        sink.received[-1].final and usage["completion_tokens"] == len(sink.received) - 1
    )


def test_submissions_for_another_group_or_fence_are_refused(make_harness):
    strict = make_harness()
    assert isinstance(strict.run().ends[0], EngineRefused)
    strict.form(3)
    assert isinstance(strict.run(group="g2").ends[0], EngineRefused)
    assert isinstance(strict.run(fence=2).ends[0], StaleFence)
    lenient = make_harness(checks_fence=False)
    lenient.form(3)
    assert lenient.run(fence=2).ends == [None]


def test_orders_with_an_old_fence_are_refused_only_if_it_is_checked(make_harness):
    strict = make_harness()
    strict.form(3)
    assert isinstance(strict.form(2, "g2").err(), StaleFence)
    assert strict.status().ok().group == "g1"
    lenient = make_harness(checks_fence=False)
    lenient.form(3)
    assert lenient.form(2, "g2").ok().group == "g2"


def test_a_submission_without_a_listener_fails_as_not_run(make_harness):
    engine = make_harness()
    sink = RecordingFrameSink()
    submission = Submission(request="r", attempt=0, group="g", fence=1, body=BODY)
    engine.loop.call(
        lambda: engine.client.submit(
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
def test_a_dispatch_delivers_the_whole_answer_despite_faulty_frames(
    make_harness, faults
):
    engine = make_harness(speed=EngineSpeed(tokens_per_s=4_000.0))
    engine.form(3)
    engine.set_faults(**faults)
    sink = engine.dispatch(resumes=4)
    assert sink.ends[0].final and len(sink.ends) == 1
    assert "".join(sink.parts) == answer_to(BODY).text


def test_an_attempt_is_resumed_and_a_new_one_continues_its_prefix(make_harness):
    engine = make_harness()
    engine.form(3)
    engine.set_faults(cut_after_frames=5)
    cut = engine.run()
    assert isinstance(cut.ends[0], ConnectionLost) and len(cut.received) == 5
    engine.set_faults(cut_after_frames=None)
    resumed = engine.run(resume_from=5)
    assert resumed.received[0].sequence == 5
    assert cut.text + resumed.text == answer_to(BODY).text
    continued = engine.run(attempt=1, prefix=cut.text, prefix_tokens=5)
    assert continued.text == resumed.text
    assert continued.received[-1].usage == resumed.received[-1].usage | {
        "prompt_tokens_details": continued.received[-1].usage["prompt_tokens_details"]
    }
    unknown = engine.run(attempt=2, resume_from=5)
    assert isinstance(unknown.ends[0], EngineRefused)


def test_a_restart_loses_the_group_and_aborts_its_streams(make_harness):
    engine = make_harness(speed=EngineSpeed(tokens_per_s=20.0))
    engine.form(3)
    before = engine.status().ok()
    sink = engine.submit()
    wait_until(lambda: sink.received)
    engine.set_faults(restart=True)
    wait_until(lambda: sink.ends)
    assert isinstance(sink.ends[0], ConnectionLost)
    after = engine.status().ok()
    assert after.boot != before.boot and after.group is None
    assert isinstance(engine.run(attempt=1).ends[0], EngineRefused)


def test_cancelling_an_attempt_stops_its_generation(make_harness):
    engine = make_harness(speed=EngineSpeed(tokens_per_s=20.0), load_lag_s=0.0)
    engine.form(3)
    sink = engine.submit()
    wait_until(lambda: engine.status().ok().running == 1)
    engine.loop.call(sink.attempt.cancel)
    wait_until(lambda: engine.status().ok().running == 0)
    assert not sink.ends


@pytest.mark.parametrize("fault", ["paused", "silent", "member"])
def test_no_token_is_generated_while_a_member_does_not_respond(make_harness, fault):
    unresponsive = set()
    engine = make_harness(
        speed=EngineSpeed(tokens_per_s=200.0),
        is_member_alive=lambda instance: instance not in unresponsive,
    )
    engine.form(3)
    sink = engine.submit(body=BODY | {"max_tokens": 400})
    wait_until(lambda: sink.received)
    if fault == "member":
        unresponsive.add("i2")
    else:
        engine.set_faults(**{fault: True})
    counts = []
    for delay_s in (0.1, 0.4):
        engine.loop.call(
            lambda: engine.loop.clock.call_later(
                delay_s, lambda: counts.append(len(sink.received))
            )
        )
    wait_until(lambda: len(counts) == 2)
    assert counts[0] == counts[1] and not sink.ends
    unresponsive.clear()
    if fault != "member":
        engine.set_faults(**{fault: False})
    wait_until(lambda: len(sink.received) > counts[1])


def test_higher_priorities_leave_the_queue_first(paused_clock):
    cache = PrefixCache(
        clock=paused_clock,
        max_blocks=9,
        event_delay_s=1.0,
        event_loss_share=0.0,
        rng=random.Random(1),
    )
    load_report = DelayedLoadReport(clock=paused_clock, lag_s=0.5)
    batch = Batch(
        clock=paused_clock,
        speed=EngineSpeed(tokens_per_s=100.0, batch=1),
        cache=cache,
        load_report=load_report,
        is_halted=lambda: False,
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
    assert load_report.read()[:2] == (0, 0)
    paused_clock.advance(0.5)
    assert low.ended and high.ended and load_report.read()[:2] == (1, 2)
    assert not mid.ended and not mid.frames and batch.find("r1", 0) is None
    assert high.cached_tokens > 0 and low.cached_tokens == 0
    assert not cache.events(0)
    paused_clock.advance(1.0)
    assert [event.stored for event in cache.events(0)] == [True] * len(low.blocks)


def test_an_order_that_expires_before_it_is_executed_has_no_effect(make_harness):
    engine = make_harness()
    engine.set_faults(order_delay_s=0.1)
    late = engine.order(OrderKind.FORM, 3, ttl_ms=10, group="g1")
    assert isinstance(late.err(), EngineRefused)
    assert engine.status().ok().group is None


def test_an_engine_joins_its_group_after_loading_the_model(make_harness, loops):
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
    engine = make_harness(weights=weights.address)
    load = {"model": "m", "version": "1", "adapters": ("a1", "a2")}
    accepted = engine.order(OrderKind.FORM, 3, group="g1", members=("i1",), **load).ok()
    assert accepted.loading and accepted.group is None
    assert isinstance(engine.run().ends[0], EngineRefused)
    formed = wait_until(lambda: (s := engine.status().ok()).group == "g1" and s)
    assert (formed.model, formed.version, formed.adapters) == ("m", "1", ("a1", "a2"))
    assert weights_loop.call(lambda: weights.finished_downloads) == 3
    assert engine.run(attempt=1).ends == [None]


def test_a_superseded_load_has_no_effect(paused_clock):
    loader = TimedLoader(clock=paused_clock, load_s=1.0)
    state = EngineState(checks_fence=True, loader=loader, on_streams_lost=lambda: None)
    for number, model in enumerate(("m1", "m2")):
        fields = {"fence": 1, "ttl_ms": 9_000, "model": model, "version": "1"}
        state.apply_order(Order(id=f"o{number}", kind=OrderKind.LOAD, **fields))
        paused_clock.advance(0.5)
    paused_clock.advance(0.2)
    assert state.loading and state.model is None
    paused_clock.advance(0.5)
    assert not state.loading and state.model == "m2"


@pytest.mark.parametrize(
    "kind, fields, group",
    [
        (OrderKind.RELEASE, {}, (None, -1)),
        (OrderKind.FORM, {"group": "g2"}, ("g2", 2)),
        (OrderKind.LOAD, {"model": "m0", "version": "1"}, ("g0", 0)),
    ],
)
def test_an_engine_does_not_join_a_group_after_a_later_order(
    paused_clock, kind, fields, group
):
    # Guards against a load of adapters or of a model that ends with the join of its
    # `form` order, although a later order released the engine or moved it.
    loader = TimedLoader(clock=paused_clock, load_s=1.0)
    state = EngineState(checks_fence=True, loader=loader, on_streams_lost=lambda: None)

    def apply(kind, fence, **fields):
        order = Order(id=f"{kind}/{fence}", kind=kind, fence=fence, ttl_ms=9, **fields)
        assert state.apply_order(order) is None

    apply(OrderKind.FORM, 0, group="g0", model="m0", version="1")
    paused_clock.advance(1.1)
    assert state.group == "g0" and state.model == "m0"
    adapters = ("a",) if kind is OrderKind.LOAD else ()
    model = "m0" if adapters else "m1"
    apply(OrderKind.FORM, 1, group="g1", model=model, version="1", adapters=adapters)
    assert state.loading
    apply(kind, 2, **fields)
    assert not state.loading
    before = (state.group, state.fence)
    paused_clock.advance(5.0)
    assert (state.group, state.fence) == before == group
    assert not state.loading and not state.adapters


def test_a_release_does_not_end_a_load_without_a_group(paused_clock):
    # A spare instance goes on with the model that it loads in advance.
    loader = TimedLoader(clock=paused_clock, load_s=1.0)
    state = EngineState(checks_fence=True, loader=loader, on_streams_lost=lambda: None)
    fields = {"fence": 1, "ttl_ms": 9}
    load = Order(id="o1", kind=OrderKind.LOAD, model="m", version="1", **fields)
    state.apply_order(load)
    state.apply_order(Order(id="o2", kind=OrderKind.RELEASE, **fields))
    paused_clock.advance(1.1)
    assert not state.loading and state.model == "m"


def test_members_that_do_not_lead_refuse_submissions(make_harness):
    engine = make_harness()
    engine.order(OrderKind.FORM, 3, group="g1", members=("i0", "i1"))
    assert isinstance(engine.run().ends[0], EngineRefused)


def test_two_stand_ins_can_share_an_event_loop(loops):
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


class FrameReply:
    """Records what a frame writer does with a reply."""

    buffered_bytes = 0
    ended = False

    def __init__(self):
        self.lines = []
        self.is_finished = False

    def start(self, status, content_type):
        """Start the reply."""

    def push(self, data):
        self.lines += data.splitlines()

    def finish(self):
        self.is_finished = True


def test_answer_is_cut_also_when_all_its_frames_are_due_at_once(paused_clock):
    # A busy machine runs the loop late; the answer then ended whole in place of cut.
    reply, cuts = FrameReply(), []
    writer = HttpFrameWriter(
        reply=reply,
        first_sequence=0,
        clock=paused_clock,
        rng=random.Random(1),
        faults=lambda: EngineFaults(cut_after_frames=5),
        on_cut=lambda: cuts.append(paused_clock.now()),
    )
    writer.write(
        [
            Frame(request="r", attempt=1, sequence=n, text="x", final=n == 9)
            for n in range(10)
        ]
    )
    paused_clock.advance(1.0)
    assert len(reply.lines) == 5 and cuts and not reply.is_finished
