"""Load generator: sends requests, checks every answer, injects faults on a schedule."""

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
from citronpin.web.clients import BufferedSink, HttpClient, ResponseSink

logger = logging.getLogger(__name__)

EVENT_SEPARATOR = b"\n\n"
DATA_PREFIX = b"data: "
DONE_EVENT = b"[DONE]"
MAX_TRIES = 4
RETRY_DELAY_S = 0.2
ANSWER_TIMEOUT_S = 120.0
UNKNOWN_OUTCOME = "untold"  # no outcome reached the caller


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Load to send; rates are in requests a second over all entries."""

    entries: tuple[str, ...]  # IP:PORT
    key: str
    model: str
    duration_s: float = 10.0
    chats_per_s: float = 5.0
    calls_per_s: float = 0.0
    call_path: str = "/applications/rota/swaps"
    streamed_share: float = 1.0
    max_tokens: int = 32
    prefixes: int = 8  # number of prompt prefixes; each is shared by many chats
    seed: int = 1


class Fault(msgspec.Struct, frozen=True):
    """Change posted to the control path of a stand-in.

    ``at_s`` counts from the start of the load; ``address`` is IP:PORT.
    """

    at_s: float
    address: str
    change: dict


class Tally:
    """Counts of outcomes and error kinds, violations found, and latencies."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.error_kinds: Counter[str] = Counter()
        self.violations: list[str] = []
        self.tokens = 0
        self._latencies: dict[str, HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Record a latency in seconds under ``name``."""
        histogram = self._latencies.setdefault(
            name, HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        )
        histogram.record_value(max(int(seconds * US_PER_S), LOWEST_US))

    def quantile_s(self, name: str, share: float) -> float:
        """Return a latency quantile in seconds, 0 if none was recorded.

        ``share`` is between 0 and 1.
        """
        histogram = self._latencies.get(name)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(share * 100) / US_PER_S

    def summary(self) -> dict:
        """Return counts, violations and latency quantiles as plain values."""
        latencies = {
            f"{name}_{label}_s": self.quantile_s(name, share)
            for name in sorted(self._latencies)
            for label, share in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99))
        }
        return {
            "outcomes": dict(self.outcomes),
            "kinds": dict(self.error_kinds),
            "violations": self.violations,
            "tokens": self.tokens,
            "latencies": latencies,
        }


class Caller(ResponseSink, ABC):
    """One request of the load, retried while it is certain that it did not run."""

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
        """Send the request, or send it again, to the next entry."""
        self.tries += 1
        self.reset()
        address = self._task.entry_for(self.number + self.tries)
        self._task.client.request(
            address=address,
            method="POST",
            sink=self,
            timeout_s=ANSWER_TIMEOUT_S,
            **self.request(),
        )

    def reset(self) -> None:
        """Discard what an earlier try received."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers

    def failed(self, error: CitronpinError) -> None:
        not_sent = isinstance(error, ConnectionFailed)
        if not_sent and self.tries < MAX_TRIES:
            self._retry(RETRY_DELAY_S)
            return
        outcome = Outcome.NOT_RUN.value if not_sent else UNKNOWN_OUTCOME
        self.finish(outcome, error.kind)

    def handle_problem(self, problem: dict) -> None:
        """Retry if the problem details say that nothing ran and the cause may pass."""
        outcome = problem.get("outcome", UNKNOWN_OUTCOME)
        is_temporary = problem.get("status") in (429, 503)
        did_not_run = outcome == Outcome.NOT_RUN.value
        if did_not_run and is_temporary and self.tries < MAX_TRIES:
            after_s = self.headers.get("retry-after")
            self._retry(float(after_s) if after_s else RETRY_DELAY_S)
            return
        self.finish(outcome, problem.get("kind", ""))

    def _retry(self, delay_s: float) -> None:
        self._task.clock.call_later(delay_s, self.send)

    def finish(self, outcome: str, kind: str = "") -> None:
        """Count the request as ended with ``outcome`` and error ``kind``."""
        self._task.record_end(self, outcome, kind)


class ChatCaller(Caller):
    """A chat completion, streamed or answered as a whole."""

    def __init__(self, *, task, number: int, streamed: bool, prompt: str) -> None:
        super().__init__(task=task, number=number)
        self._streamed = streamed
        self._prompt = prompt
        self.reset()

    def reset(self) -> None:
        self._buffer = b""
        self._body = bytearray()
        self.text: list[str] = []
        self._last_token_s: float | None = None
        self._done = False
        self._problem: dict | None = None

    @property
    def messages(self) -> list[dict]:
        """Return the messages of the request body."""
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
        *events, self._buffer = (self._buffer + data).split(EVENT_SEPARATOR)
        for event in events:
            self._handle_event(event.removeprefix(DATA_PREFIX))

    def _handle_event(self, event: bytes) -> None:
        if event == DONE_EVENT:
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
                self._record_token()

    def _record_token(self) -> None:
        now_s = self._task.clock.now()
        if self._last_token_s is None:
            self._task.tally.record("first_token", now_s - self.started_s)
        else:
            self._task.tally.record("between_tokens", now_s - self._last_token_s)
        self._last_token_s = now_s
        self._task.tally.tokens += 1

    def end(self) -> None:
        if self._body:
            value = msgspec.json.decode(bytes(self._body))
            if self.status != 200:
                self.handle_problem(value)
                return
            self.text = [value["choices"][0]["message"]["content"]]
            self._done = True
        if self._problem is not None:
            self.finish(self._problem["outcome"], self._problem["kind"])
        elif self._done:
            self._check_text()
            self.finish(Outcome.COMPLETE.value)
        else:
            self._task.tally.violations.append(
                f"chat {self.number}: the stream ended without a final event"
            )
            self.finish(UNKNOWN_OUTCOME, "no-final-event")

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
    """A call that must not run twice, sent with an idempotency key."""

    def __init__(self, *, task, number: int) -> None:
        super().__init__(task=task, number=number)
        self.key = new_id()
        self.reset()

    def reset(self) -> None:
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
        outcome = self.headers.get("citronpin-outcome", UNKNOWN_OUTCOME)
        if self.headers.get("content-type") == "application/problem+json":
            self.handle_problem(msgspec.json.decode(bytes(self._body)))
            return
        self._task.tally.record("call", self._task.clock.now() - self.started_s)
        self.finish(outcome)


class LoadTask(Component):
    """Sends requests at random times and calls back when all have ended."""

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
        self.call_outcomes: dict[str, str] = {}  # key -> outcome reported to the caller
        self.open_requests = 0
        self.sent = 0
        self.headers = (
            ("Authorization", f"Bearer {plan.key}"),
            ("Content-Type", "application/json"),
        )
        self._faults = faults
        self._finished_callback: Callable[[], None] = lambda: None
        self._rng = numpy.random.default_rng(plan.seed)
        self._active_senders = 0
        ClockTask(clock=clock).register(self)
        self.client = HttpClient(clock=clock).register(self)

    def on_finished(self, callback: Callable[[], None]) -> None:
        """Set the function to call when the last request has ended."""
        self._finished_callback = callback

    def begin(self) -> None:
        """Schedule all requests and faults."""
        for rate, send in (
            (self.plan.chats_per_s, self._send_chat),
            (self.plan.calls_per_s, self._send_call),
        ):
            if rate > 0:
                self._active_senders += 1
                self._schedule(rate, send, self.clock.now() + self.plan.duration_s)
        for fault in self._faults:
            self.clock.call_later(
                fault.at_s, lambda fault=fault: self._inject_fault(fault)
            )

    def _schedule(self, rate: float, send, end_s: float) -> None:
        delay_s = float(self._rng.exponential(1.0 / rate))
        if self.clock.now() + delay_s > end_s:
            self._active_senders -= 1
            self._check_finished()
            return

        def send_next() -> None:
            send()
            self._schedule(rate, send, end_s)

        self.clock.call_later(delay_s, send_next)

    def entry_for(self, number: int) -> str:
        """Return the address of an entry, in turn, as a load balancer would."""
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

    def _inject_fault(self, fault: Fault) -> None:
        sink = BufferedSink(
            done=lambda answer, error: self._record_injection(fault, error)
        )
        self.client.request(
            address=fault.address,
            method="POST",
            target="/control",
            body=msgspec.json.encode(fault.change),
            sink=sink,
        )

    def _record_injection(self, fault: Fault, error: CitronpinError | None) -> None:
        if error is not None:
            self.tally.violations.append(f"fault at {fault.at_s} s: {error}")

    def record_end(self, caller: Caller, outcome: str, kind: str) -> None:
        """Count the end of a request and its time since the first try."""
        self.open_requests -= 1
        self.tally.outcomes[outcome] += 1
        if kind:
            self.tally.error_kinds[kind] += 1
        self.tally.record("request", self.clock.now() - caller.started_s)
        if isinstance(caller, CallCaller):
            self.call_outcomes[caller.key] = outcome
        self._check_finished()

    def _check_finished(self) -> None:
        if not self._active_senders and not self.open_requests:
            self._finished_callback()


def check_effects(call_outcomes: dict[str, str], effects: dict[str, int]) -> list[str]:
    """Return one line for each contradiction between reported outcomes and effects.

    ``call_outcomes`` maps idempotency keys to the outcomes that callers got, and
    ``effects`` maps them to the number of times that the application ran the call.
    """
    violations = []
    for key, outcome in call_outcomes.items():
        count = effects.get(key, 0)
        if count > 1:
            violations.append(f"{key}: ran {count} times")
        if outcome == Outcome.COMPLETE.value and count != 1:
            violations.append(f"{key}: reported complete, ran {count} times")
        if outcome == Outcome.NOT_RUN.value and count:
            violations.append(f"{key}: reported not run, ran {count} times")
    return violations
