"""Property tests of exchanges under random faults: answers state what really ran.

Hypothesis derives the examples from the source of each test, so a reworded test draws
other examples.
"""

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from citronpin.basics.clocks import PausedClock
from citronpin.gateway import exchanges
from citronpin.gateway.attempts import Fault
from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.requests import (
    FrontHarness,
    ScriptedStream,
    event,
    instance_headers,
    whole_stream,
)

LAST = 10
OPTIONS = settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class Instances:
    """Answers with the behaviours in ``moods`` in turn; counts the runs by request."""

    def __init__(self, harness, moods):
        self.clock = harness.clock
        self.moods = list(moods)
        self.runs = {}  # attempt id -> runs
        self.request_count = 0

    def __call__(self, exchange):
        mood = self.moods[self.request_count % len(self.moods)]
        self.request_count += 1
        getattr(self, mood)(exchange)

    def _run(self, exchange):
        attempt = exchange.headers[HEADERS.attempt]
        self.runs[attempt] = self.runs.get(attempt, 0) + 1

    def refuse(self, exchange):
        echo = {HEADERS.attempt: exchange.headers[HEADERS.attempt]}
        exchange.answer(503, b"", echo | {HEADERS.not_run: "1"})

    def answer(self, exchange):
        self._run(exchange)
        if exchange.target.startswith("/draft/"):
            ScriptedStream(clock=self.clock, last=LAST)(exchange)
        else:
            exchange.answer(200, b"page", instance_headers(exchange))

    def lose(self, exchange):
        self._run(exchange)
        exchange.lose()

    def hang(self, exchange):
        self._run(exchange)

    def spoil(self, exchange):
        self._run(exchange)
        exchange.answer(200, b"pa", {HEADERS.attempt: "another", HEADERS.digest: "1"})

    def fail(self, exchange):
        self._run(exchange)
        exchange.answer(500, b"failed", instance_headers(exchange))

    def break_off(self, exchange):
        self._run(exchange)
        ScriptedStream(clock=self.clock, stop_after=3, then=lambda e: e.lose())(
            exchange
        )

    def stop(self, exchange):
        self._run(exchange)
        ScriptedStream(clock=self.clock, stop_after=5)(exchange)

    def tear(self, exchange):
        self._run(exchange)

        def send_partial_event(exchange):
            exchange.data(b"id: 3\nda")
            exchange.end()

        ScriptedStream(clock=self.clock, stop_after=2, then=send_partial_event)(
            exchange
        )


WHOLE_MOODS = st.sampled_from(["answer", "refuse", "lose", "hang", "spoil", "fail"])
STREAM_MOODS = st.sampled_from(
    ["answer", "refuse", "lose", "hang", "fail", "break_off", "stop", "tear"]
)


def play(moods, paths):
    harness = FrontHarness(clock=PausedClock(), engines=4)
    instances = Instances(harness, moods)
    harness.scripts["*"] = instances
    replies = []
    for path in paths:
        replies.append(harness.send(path))
        harness.clock.advance(0.07)
    harness.clock.advance(8.0)
    return harness, instances, replies


def check_settled(harness, replies):
    assert all(reply.ended for reply in replies)
    assert not harness.context.open_exchanges and not harness.loads.own()


def check_unsafe(moods, number):
    harness, instances, replies = play(moods, ["/swap/1"] * number)
    check_settled(harness, replies)
    assert all(runs == 1 for runs in instances.runs.values())
    for index, reply in enumerate(replies, start=1):
        ran = instances.runs.get(f"a{index}", 0)
        if reply.status in (408, 421, 429, 503):
            assert not ran, "refused as not run, but it ran"
        if reply.status == 200:
            assert ran and reply.body == b"page"


@given(moods=st.lists(WHOLE_MOODS, min_size=1, max_size=8), number=st.integers(1, 6))
@OPTIONS
def test_unsafe_requests_run_once_and_refusals_are_true(moods, number):
    check_unsafe(moods, number)


@given(moods=st.lists(STREAM_MOODS, min_size=1, max_size=8), number=st.integers(1, 6))
@OPTIONS
def test_streams_are_whole_or_visibly_broken(moods, number):
    counter, instances, replies = play(moods, ["/draft/1"] * number)
    check_settled(counter, replies)
    prefixes = {b"".join(map(event, range(end))) for end in range(LAST + 2)}
    for reply in replies:
        if reply.status == 200:
            assert reply.body in prefixes
            assert reply.aborted or reply.body == whole_stream(LAST)
    assert all(runs <= 2 for runs in instances.runs.values())


def test_the_checks_detect_a_request_that_runs_twice(monkeypatch):
    monkeypatch.setattr(Fault, "may_have_run", property(lambda self: False))
    monkeypatch.setattr(exchanges, "MAX_SENDS", 3)
    with pytest.raises(AssertionError):
        check_unsafe(["lose", "answer"], 1)
