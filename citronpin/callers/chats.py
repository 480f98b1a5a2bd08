"""Chat completions: request checks and answers, whole or as event streams."""

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
    """Checks a chat completion request and finds its deployment.

    Raises `BadBody`, `UnknownModel` or `NotPermitted`.
    """

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
    """Return the decoded body, with unchecked fields as they are.

    Raises `BadBody`.
    """
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


class ChatAnswer(AnswerSink):
    """Turns the frames of an engine into an answer to the caller.

    ``token_gaps_s`` holds the times between tokens, in seconds.
    """

    def __init__(self, *, ctx: Context) -> None:
        self._ctx = ctx
        self._created = ctx.clock.wall_ms() // 1_000
        self._model = ctx.chat["model"]
        self.tokens = 0
        self.last_text_s: float | None = None
        self.token_gaps_s: list[float] = []

    def _record_text(self, frames: list[Frame]) -> None:
        now_s = self._ctx.clock.now()
        if self.last_text_s is None:
            self._ctx.first_token_s = now_s
        else:
            self.token_gaps_s.append((now_s - self.last_text_s) / len(frames))
        self.last_text_s = now_s
        for frame in frames:
            self.tokens += frame.tokens

    def _end(self, outcome: Outcome, status: int, error=None) -> bool:
        ending = Ending(outcome=outcome, status=status, error=error, tokens=self.tokens)
        return self._ctx.end(ending)

    def _common_fields(self, kind: str) -> dict:
        return {
            "id": f"chatcmpl-{self._ctx.id}",
            "object": kind,
            "created": self._created,
            "model": self._model,
        }


class WholeAnswer(ChatAnswer):
    """Collects the text and sends it as one JSON body."""

    def __init__(self, *, ctx: Context) -> None:
        super().__init__(ctx=ctx)
        self._parts: list[str] = []

    def text(self, frames: list[Frame]) -> None:
        self._record_text(frames)
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
        body = self._common_fields("chat.completion") | {
            "choices": [choice],
            "usage": final.usage,
        }
        headers = self._ctx.headers | {OUTCOME_HEADER: Outcome.COMPLETE.value}
        self._ctx.reply.json(200, body, headers)

    def failed(self, error: CitronpinError) -> None:
        self._ctx.refuse(error)


class StreamedAnswer(ChatAnswer):
    """Sends each frame's text as a server-sent event."""

    def __init__(self, *, ctx: Context) -> None:
        super().__init__(ctx=ctx)
        self._text_prefix = b""
        options = ctx.chat.get("stream_options") or {}
        self._includes_usage = bool(options.get("include_usage"))

    def text(self, frames: list[Frame]) -> None:
        self._record_text(frames)
        self._start_stream()
        prefix = self._text_prefix
        encode = _encoder.encode
        events = [
            b'%b%b},"finish_reason":null}]}\n\n' % (prefix, encode(frame.text))
            for frame in frames
            if frame.text
        ]
        self._ctx.reply.push(b"".join(events))

    def _start_stream(self) -> None:
        if self._ctx.reply.started:
            return
        self._ctx.reply.start(
            200,
            EVENT_STREAM_TYPE,
            self._ctx.headers | {"Cache-Control": "no-cache"},
        )
        fields = _encoder.encode(self._common_fields("chat.completion.chunk"))
        delta = b',"choices":[{"index":0,"delta":{'
        start = b"data: %b%b" % (fields[:-1], delta)
        self._text_prefix = start + b'"content":'
        role = b'"role":"assistant","content":""},"finish_reason":null}]}\n\n'
        self._ctx.reply.push(start + role)

    def done(self, final: Frame) -> None:
        if final.text:
            self.text([final])
        if not self._end(Outcome.COMPLETE, 200):
            return
        self._start_stream()
        reason = final.finish_reason or "stop"
        choice = {"index": 0, "delta": {}, "finish_reason": reason}
        last = self._common_fields("chat.completion.chunk") | {"choices": [choice]}
        self._push_event(last)
        if self._includes_usage:
            usage = {"choices": [], "usage": final.usage}
            self._push_event(self._common_fields("chat.completion.chunk") | usage)
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


def make_answer(ctx: Context) -> ChatAnswer:
    """Return a streamed answer if the request asks for one, else a whole one."""
    kind = StreamedAnswer if ctx.chat.get("stream") else WholeAnswer
    return kind(ctx=ctx)
