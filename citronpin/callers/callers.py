"""The HTTP API of callers: its routes and the filter chain of each."""

import logging

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import Outcome
from citronpin.basics.events import Recorder
from citronpin.basics.metrics import Metrics
from citronpin.callers.filters import Context, Ending, FilterChain
from citronpin.state.configurations import Configuration
from citronpin.state.manifests import Customer
from citronpin.web.servers import HttpRequest, Reply, Routes

logger = logging.getLogger(__name__)

MODEL_OWNER = "citronpin"


class CallerApi:
    """Runs each request through its filter chain and records its metrics."""

    def __init__(
        self,
        *,
        clock: Clock,
        recorder: Recorder,
        metrics: Metrics,
        configuration: Configuration,
        models: FilterChain,
        chats: FilterChain,
        calls: FilterChain,
    ) -> None:
        self._clock = clock
        self._recorder = recorder
        self._metrics = metrics
        self._configuration = configuration
        self._models_chain = models
        self._chats_chain = chats
        self._calls_chain = calls
        self.in_flight = 0

    def add_routes(self, routes: Routes) -> None:
        """Register the routes of the callers' API."""
        routes.add("POST", "/v1/chat/completions", self._handle_chat)
        routes.add("GET", "/v1/models", self._handle_models)
        routes.add("*", "/applications/{name}/{path*}", self._handle_call)

    def _new_context(self, req: HttpRequest, reply: Reply) -> Context:
        ctx = Context(req=req, reply=reply, clock=self._clock, recorder=self._recorder)
        self.in_flight += 1
        ctx.on_end(lambda ending: self._record_end(ctx, ending))
        return ctx

    def _record_end(self, ctx: Context, ending: Ending) -> None:
        self.in_flight -= 1
        target = ctx.deployment or ctx.application
        labels = (ctx.customer.name, target.name if target else "")
        kind = ending.error.kind if ending.error else ""
        self._metrics.count_request(*labels, ending.outcome.value, kind)
        if ending.tokens:
            self._metrics.count_tokens(*labels, ending.tokens)
        duration_s = self._clock.now() - ctx.started_s
        self._metrics.latencies.record("request", *labels, duration_s)

    def _handle_chat(self, req: HttpRequest, reply: Reply) -> None:
        self._chats_chain.run(self._new_context(req, reply))

    def _handle_call(
        self, req: HttpRequest, reply: Reply, name: str, path: str
    ) -> None:
        self._calls_chain.run(self._new_context(req, reply))

    def _handle_models(self, req: HttpRequest, reply: Reply) -> None:
        ctx = self._new_context(req, reply)
        self._models_chain.run(ctx)
        if ctx.ending is None:
            ctx.end(Ending(outcome=Outcome.COMPLETE, status=200))
            reply.json(200, self._model_list(ctx.customer), ctx.headers)

    def _model_list(self, customer: Customer) -> dict:
        names = []
        for name, deployment in sorted(self._configuration.deployments.items()):
            if customer.deployments and name not in customer.deployments:
                continue
            names.append(name)
            names += [f"{name}:{adapter}" for adapter in deployment.adapters]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": MODEL_OWNER}
            for name in names
        ]
        return {"object": "list", "data": data}
