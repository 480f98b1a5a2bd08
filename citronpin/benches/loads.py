"""Load generator: callers that check every answer, and faults at set times."""

import logging
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable

import msgspec
import numpy
from circuits import Component
from hdrh.histogram import HdrHistogram

from citronpin.basics.clocks import Clock, ClockTask
from citronpin.basics.errors import CitronpinError, ConnectionFailed, Outcome
from citronpin.basics.ids import new_id
from citronpin.basics.metrics import HIGHEST_US, LOWEST_US, SIGNIFICANT_DIGITS, US_PER_S
from citronpin.web.clients import HttpClient, ResponseSink, WholeSink

logger = logging.getLogger(__name__)

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
MAX_TRIES = 4
RETRY_DELAY_S = 0.2
ANSWER_TIMEOUT_S = 120.0
UNTOLD = "untold"  # the caller learned no outcome


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What to send: rates are a second over all entries."""

    entries: tuple[str, ...]  # IP:PORT
    key: str
    model: str
    duration_s: float = 10.0
    chats_per_s: float = 5.0
    calls_per_s: float = 0.0
    call_path: str = "/applications/rota/swaps"
    streamed_share: float = 1.0
    max_tokens: int = 32
    prefixes: int = 8  # distinct conversations that share their beginning
    seed: int = 1


class Fault(msgspec.Struct, frozen=True):
    """A control call to a stand-in at a set time."""

    at_s: float
    address: str
    change: dict


class Tally:
    """Counts outcomes, violations and latencies."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.violations: list[str] = []
        self.tokens = 0
        self._latencies: dict[str, HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Count a latency."""
        histogram = self._latencies.setdefault(
            name, HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        )
        histogram.record_value(max(int(seconds * US_PER_S), LOWEST_US))

    def quantile_s(self, name: str, share: float) -> float:
        """Return a quantile in seconds, 0 when nothing was counted."""
        histogram = self._latencies.get(name)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(share * 100) / US_PER_S

    def summary(self) -> dict:
        """Return all figures as plain values."""
        latencies = {
            f"{name}_{label}_s": self.quantile_s(name, share)
            for name in sorted(self._latencies)
            for label, share in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99))
        }
        return {
            "outcomes": dict(self.outcomes),
            "kinds": dict(self.kinds),
            "violations": self.violations,
            "tokens": self.tokens,
            "latencies": latencies,
        }


class Caller(ResponseSink, ABC):
    """One request of the load, retried while the entry proves it was not run."""

    def __init__(self, *, task: "LoadTask", number: int) -> None:
        self._task = task
        self.number = number
        self.tries = 0
        self.started_s = task.clock.now()
        self.status = 0
        self.headers: dict[str, str] = {}

    @abstractmethod
    def request(self) -> dict:
        """Return the arguments of `HttpClient.request`."""

    def send(self) -> None:
        """Send the request to the next entry."""
        self.tries += 1
        self.begin()
        address = self._task.entry_for(self.number + self.tries)
        self._task.client.request(
            address=address,
            method="POST",
            sink=self,
            timeout_s=ANSWER_TIMEOUT_S,
            **self.request(),
        )

    def begin(self) -> None:
        """Forget what an earlier try received."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers

    def failed(self, error: CitronpinError) -> None:
        unsent = isinstance(error, ConnectionFailed)
        if unsent and self.tries < MAX_TRIES:
            self._again(RETRY_DELAY_S)
            return
        outcome = Outcome.NOT_RUN.value if unsent else UNTOLD
        self.close(outcome, error.kind)

    def refused(self, problem: dict) -> None:
        """Take problem details: send again if they prove that nothing ran."""
        outcome = problem.get("outcome", UNTOLD)
        may_pass = problem.get("status") in (429, 503)
        proved = outcome == Outcome.NOT_RUN.value
        if proved and may_pass and self.tries < MAX_TRIES:
            after_s = self.headers.get("retry-after")
            self._again(float(after_s) if after_s else RETRY_DELAY_S)
            return
        self.close(outcome, problem.get("kind", ""))

    def _again(self, delay_s: float) -> None:
        self._task.clock.call_later(delay_s, self.send)

    def close(self, outcome: str, kind: str = "") -> None:
        """Count the end of the request."""
        self._task.close(self, outcome, kind)


class ChatCaller(Caller):
    """A chat completion, streamed or whole."""

    def __init__(self, *, task, number: int, streamed: bool, prompt: str) -> None:
        super().__init__(task=task, number=number)
        self._streamed = streamed
        self._prompt = prompt
        self.begin()

    def begin(self) -> None:
        self._buffer = b""
        self._body = bytearray()
        self.text: list[str] = []
        self._last_s: float | None = None
        self._done = False
        self._problem: dict | None = None

    @property
    def messages(self) -> list[dict]:
        """Return the messages that are sent."""
        return [{"role": "user", "content": self._prompt}]

    def request(self) -> dict:
        plan = self._task.plan
        body = {
            "model": plan.model,
            "messages": self.messages,
            "max_tokens": plan.max_tokens,
            "stream": self._streamed,
        }
        return {
            "target": "/v1/chat/completions",
            "headers": self._task.headers,
            "body": msgspec.json.encode(body),
        }

    def data(self, data: bytes) -> None:
        if self.headers.get("content-type") != "text/event-stream":
            self._body += data
            return
        *events, self._buffer = (self._buffer + data).split(EVENT_END)
        for event in events:
            self._take_event(event.removeprefix(DATA_PREFIX))

    def _take_event(self, event: bytes) -> None:
        if event == DONE:
            self._done = True
            return
        value = msgspec.json.decode(event)
        if "error" in value:
            self._problem = value["error"]
            return
        for choice in value["choices"]:
            content = choice["delta"].get("content")
            if content:
                self.text.append(content)
                self._note_token()

    def _note_token(self) -> None:
        now_s = self._task.clock.now()
        if self._last_s is None:
            self._task.tally.record("first_token", now_s - self.started_s)
        else:
            self._task.tally.record("between_tokens", now_s - self._last_s)
        self._last_s = now_s
        self._task.tally.tokens += 1

    def end(self) -> None:
        if self._body:
            value = msgspec.json.decode(bytes(self._body))
            if self.status != 200:
                self.refused(value)
                return
            self.text = [value["choices"][0]["message"]["content"]]
            self._done = True
        if self._problem is not None:
            self.close(self._problem["outcome"], self._problem["kind"])
        elif self._done:
            self._check_text()
            self.close(Outcome.COMPLETE.value)
        else:
            self._task.tally.violations.append(
                f"chat {self.number}: the stream ended without a final event"
            )
            self.close(UNTOLD, "no-final-event")

    def _check_text(self) -> None:
        expected = self._task.expected_text
        if expected is None:
            return
        wanted = expected(self.messages, self._task.plan.max_tokens)
        got = "".join(self.text)
        if got != wanted:
            self._task.tally.violations.append(
                f"chat {self.number}: got {got[:80]!r}, expected {wanted[:80]!r}"
            )


class CallCaller(Caller):
    """A call that must not be repeated."""

    def __init__(self, *, task, number: int) -> None:
        super().__init__(task=task, number=number)
        self.key = new_id()
        self.begin()

    def begin(self) -> None:
        self._body = bytearray()

    def request(self) -> dict:
        body = msgspec.json.encode({"number": self.number, "key": self.key})
        return {
            "target": self._task.plan.call_path,
            "headers": (
                *self._task.headers,
                ("Idempotency-Key", self.key),
                ("Citronpin-First-Try", "true" if self.tries == 1 else "false"),
            ),
            "body": body,
        }

    def data(self, data: bytes) -> None:
        self._body += data

    def end(self) -> None:
        outcome = self.headers.get("citronpin-outcome", UNTOLD)
        if self.headers.get("content-type") == "application/problem+json":
            self.refused(msgspec.json.decode(bytes(self._body)))
            return
        self._task.tally.record("call", self._task.clock.now() - self.started_s)
        self.close(outcome)


class LoadTask(Component):
    """Sends requests at random times and waits until each has ended."""

    channel = "load"

    def __init__(
        self,
        *,
        plan: LoadPlan,
        clock: Clock,
        faults: tuple[Fault, ...] = (),
        expected_text: Callable[[list[dict], int], str] | None = None,
    ) -> None:
        super().__init__()
        self.plan = plan
        self.clock = clock
        self.expected_text = expected_text
        self.tally = Tally()
        self.call_outcomes: dict[str, str] = {}  # key -> outcome told to the caller
        self.open_requests = 0
        self.sent = 0
        self.headers = (
            ("Authorization", f"Bearer {plan.key}"),
            ("Content-Type", "application/json"),
        )
        self._faults = faults
        self._finished: Callable[[], None] = lambda: None
        self._rng = numpy.random.default_rng(plan.seed)
        self._sending = 0
        ClockTask(clock=clock).register(self)
        self.client = HttpClient(clock=clock).register(self)

    def on_finished(self, callback: Callable[[], None]) -> None:
        """Call back when the last request has ended."""
        self._finished = callback

    def begin(self) -> None:
        """Schedule the whole load."""
        for rate, send in (
            (self.plan.chats_per_s, self._send_chat),
            (self.plan.calls_per_s, self._send_call),
        ):
            if rate > 0:
                self._sending += 1
                self._schedule(rate, send, self.clock.now() + self.plan.duration_s)
        for fault in self._faults:
            self.clock.call_later(fault.at_s, lambda fault=fault: self._switch(fault))

    def _schedule(self, rate: float, send, end_s: float) -> None:
        delay_s = float(self._rng.exponential(1.0 / rate))
        if self.clock.now() + delay_s > end_s:
            self._sending -= 1
            self._check_finished()
            return

        def go() -> None:
            send()
            self._schedule(rate, send, end_s)

        self.clock.call_later(delay_s, go)

    def entry_for(self, number: int) -> str:
        """Return the entry for a try, as a balancer would."""
        return self.plan.entries[number % len(self.plan.entries)]

    def _send_chat(self) -> None:
        self.sent += 1
        self.open_requests += 1
        topic = int(self._rng.integers(self.plan.prefixes))
        prompt = f"Topic {topic}. " * 32 + f"Question {self.sent}."
        streamed = bool(self._rng.random() < self.plan.streamed_share)
        ChatCaller(task=self, number=self.sent, streamed=streamed, prompt=prompt).send()

    def _send_call(self) -> None:
        self.sent += 1
        self.open_requests += 1
        CallCaller(task=self, number=self.sent).send()

    def _switch(self, fault: Fault) -> None:
        sink = WholeSink(done=lambda answer, error: self._switched(fault, error))
        self.client.request(
            address=fault.address,
            method="POST",
            target="/control",
            body=msgspec.json.encode(fault.change),
            sink=sink,
        )

    def _switched(self, fault: Fault, error: CitronpinError | None) -> None:
        if error is not None:
            self.tally.violations.append(f"fault at {fault.at_s} s: {error}")

    def close(self, caller: Caller, outcome: str, kind: str) -> None:
        """Count the end of a request."""
        self.open_requests -= 1
        self.tally.outcomes[outcome] += 1
        if kind:
            self.tally.kinds[kind] += 1
        self.tally.record("request", self.clock.now() - caller.started_s)
        if isinstance(caller, CallCaller):
            self.call_outcomes[caller.key] = outcome
        self._check_finished()

    def _check_finished(self) -> None:
        if not self._sending and not self.open_requests:
            self._finished()


def check_effects(call_outcomes: dict[str, str], effects: dict[str, int]) -> list[str]:
    """Compare the outcomes told to callers with the effects of the application."""
    violations = []
    for key, outcome in call_outcomes.items():
        count = effects.get(key, 0)
        if count > 1:
            violations.append(f"{key}: ran {count} times")
        if outcome == Outcome.COMPLETE.value and count != 1:
            violations.append(f"{key}: told complete, ran {count} times")
        if outcome == Outcome.NOT_RUN.value and count:
            violations.append(f"{key}: told not run, ran {count} times")
    return violations
