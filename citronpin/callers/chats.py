"""Chat completions: checking requests and forming answers."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.backends.dispatches import AnswerSink
from citronpin.backends.engines import Frame
from citronpin.basics.decodings import decode_json
from citronpin.basics.errors import CitronpinError, Outcome
from citronpin.basics.ids import DeploymentName
from citronpin.basics.refusals import BadBody, NotPermitted, UnknownModel
from citronpin.callers.filters import OUTCOME_HEADER, Context, Ending, Filter, Proceed
from citronpin.state.manifests import DeploymentManifest

logger = logging.getLogger(__name__)

EVENT_STREAM_TYPE = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_MESSAGES = 1_000
ADAPTER_SEPARATOR = ":"

_encoder = msgspec.json.Encoder()


class ChatFilter(Filter):
    """Checks a chat completion request and finds its deployment."""

    def __init__(
        self, *, deployments: Callable[[], dict[DeploymentName, DeploymentManifest]]
    ) -> None:
        self._deployments = deployments

    def handle(self, ctx: Context, proceed: Proceed) -> None:
        ctx.chat = read_chat(ctx.req.body)
        name, _, adapter = ctx.chat["model"].partition(ADAPTER_SEPARATOR)
        deployment = self._deployments().get(name)
        if deployment is None or (adapter and adapter not in deployment.adapters):
            raise UnknownModel(f"There is no model {ctx.chat['model']!r}.")
        permitted = ctx.customer.deployments
        if permitted and name not in permitted:
            raise NotPermitted(f"{ctx.customer.name} may not use {name}.")
        ctx.deployment = deployment
        proceed(ctx)


def read_chat(body: bytes) -> dict:
    """Return the decoded body; fields that are not checked pass through."""
    try:
        chat = decode_json(body)
    except msgspec.DecodeError as exc:
        raise BadBody(f"The body is not JSON: {exc}.") from None
    if not isinstance(chat, dict):
        raise BadBody("The body is not a JSON object.")
    if not isinstance(chat.get("model"), str):
        raise BadBody("The field model is missing or not a string.")
    _check_messages(chat.get("messages"))
    if not isinstance(chat.get("stream", False), bool):
        raise BadBody("The field stream is not true or false.")
    for field in ("max_tokens", "max_completion_tokens"):
        value = chat.get(field)
        if value is not None and (type(value) is not int or value < 1):
            raise BadBody(f"The field {field} is not a whole number above 0.")
    return chat


def _check_messages(messages) -> None:
    if not isinstance(messages, list) or not messages:
        raise BadBody("The field messages is missing or empty.")
    if len(messages) > MAX_MESSAGES:
        raise BadBody(f"The field messages has more than {MAX_MESSAGES} items.")
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise BadBody(f"messages[{number}] has no role.")


class Answer(AnswerSink):
    """Turns the text of an engine into the answer that the caller asked for."""

    def __init__(self, *, ctx: Context) -> None:
        self._ctx = ctx
        self._created = ctx.clock.wall_ms() // 1_000
        self._model = ctx.chat["model"]
        self.tokens = 0
        self.last_text_s: float | None = None
        self.gaps_s: list[float] = []

    def _note_text(self, frames: list[Frame]) -> None:
        now_s = self._ctx.clock.now()
        if self.last_text_s is None:
            self._ctx.first_token_s = now_s
        else:
            self.gaps_s.append((now_s - self.last_text_s) / len(frames))
        self.last_text_s = now_s
        for frame in frames:
            self.tokens += frame.tokens

    def _end(self, outcome: Outcome, status: int, error=None) -> bool:
        ending = Ending(outcome=outcome, status=status, error=error, tokens=self.tokens)
        return self._ctx.end(ending)

    def _head(self, kind: str) -> dict:
        return {
            "id": f"chatcmpl-{self._ctx.id}",
            "object": kind,
            "created": self._created,
            "model": self._model,
        }


class WholeAnswer(Answer):
    """Collects the text and answers once."""

    def __init__(self, *, ctx: Context) -> None:
        super().__init__(ctx=ctx)
        self._parts: list[str] = []

    def text(self, frames: list[Frame]) -> None:
        self._note_text(frames)
        self._parts.extend(frame.text for frame in frames)

    def done(self, final: Frame) -> None:
        if final.text:
            self.text([final])
        if not self._end(Outcome.COMPLETE, 200):
            return
        message = {"role": "assistant", "content": "".join(self._parts)}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": final.finish_reason or "stop",
        }
        body = self._head("chat.completion") | {
            "choices": [choice],
            "usage": final.usage,
        }
        headers = self._ctx.headers | {OUTCOME_HEADER: Outcome.COMPLETE.value}
        self._ctx.reply.json(200, body, headers)

    def failed(self, error: CitronpinError) -> None:
        self._ctx.refuse(error)


class StreamedAnswer(Answer):
    """Passes each piece on as a server-sent event."""

    def __init__(self, *, ctx: Context) -> None:
        super().__init__(ctx=ctx)
        self._prefix = b""
        options = ctx.chat.get("stream_options") or {}
        self._wants_usage = bool(options.get("include_usage"))

    def text(self, frames: list[Frame]) -> None:
        self._note_text(frames)
        self._start()
        prefix = self._prefix
        encode = _encoder.encode
        events = [
            b'%b%b},"finish_reason":null}]}\n\n' % (prefix, encode(frame.text))
            for frame in frames
            if frame.text
        ]
        self._ctx.reply.push(b"".join(events))

    def _start(self) -> None:
        if self._ctx.reply.started:
            return
        self._ctx.reply.start(
            200,
            EVENT_STREAM_TYPE,
            self._ctx.headers | {"Cache-Control": "no-cache"},
        )
        head = _encoder.encode(self._head("chat.completion.chunk"))
        delta = b',"choices":[{"index":0,"delta":{'
        start = b"data: %b%b" % (head[:-1], delta)
        self._prefix = start + b'"content":'
        role = b'"role":"assistant","content":""},"finish_reason":null}]}\n\n'
        self._ctx.reply.push(start + role)

    def done(self, final: Frame) -> None:
        if final.text:
            self.text([final])
        if not self._end(Outcome.COMPLETE, 200):
            return
        self._start()
        reason = final.finish_reason or "stop"
        choice = {"index": 0, "delta": {}, "finish_reason": reason}
        last = self._head("chat.completion.chunk") | {"choices": [choice]}
        self._push_event(last)
        if self._wants_usage:
            usage = {"choices": [], "usage": final.usage}
            self._push_event(self._head("chat.completion.chunk") | usage)
        self._ctx.reply.push(DONE_EVENT)
        self._ctx.reply.finish()

    def failed(self, error: CitronpinError) -> None:
        if not self._ctx.reply.started:
            self._ctx.refuse(error)
            return
        if not self._end(Outcome.PARTIAL, error.status, error):
            return
        error.outcome = Outcome.PARTIAL
        problem = decode_json(self._ctx.problem(error))
        problem |= {"message": error.detail, "code": error.kind}
        self._push_event({"error": problem})
        self._ctx.reply.finish()

    def _push_event(self, event: dict) -> None:
        self._ctx.reply.push(b"data: %b\n\n" % _encoder.encode(event))


def answer_for(ctx: Context) -> Answer:
    """Return the form of answer that the request asks for."""
    kind = StreamedAnswer if ctx.chat.get("stream") else WholeAnswer
    return kind(ctx=ctx)
