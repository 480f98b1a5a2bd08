"""The API towards callers: paths, and the chain that each kind of request takes."""

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

OWNER = "citronpin"


class CallerApi:
    """Starts a context for each request and counts its end."""

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
        self._entrance = models
        self._chats = chats
        self._calls = calls
        self.in_flight = 0

    def add_routes(self, routes: Routes) -> None:
        """Register the paths of callers."""
        routes.add("POST", "/v1/chat/completions", self._chat)
        routes.add("GET", "/v1/models", self._models)
        routes.add("*", "/applications/{name}/{path*}", self._call)

    def _context(self, req: HttpRequest, reply: Reply) -> Context:
        ctx = Context(req=req, reply=reply, clock=self._clock, recorder=self._recorder)
        self.in_flight += 1
        ctx.on_end(lambda ending: self._ended(ctx, ending))
        return ctx

    def _ended(self, ctx: Context, ending: Ending) -> None:
        self.in_flight -= 1
        target = ctx.deployment or ctx.application
        labels = (ctx.customer.name, target.name if target else "")
        kind = ending.error.kind if ending.error else ""
        self._metrics.requests.labels(*labels, ending.outcome.value, kind).inc()
        if ending.tokens:
            self._metrics.tokens.labels(*labels).inc(ending.tokens)
        duration_s = self._clock.now() - ctx.started_s
        self._metrics.latencies.record("request", *labels, duration_s)

    def _chat(self, req: HttpRequest, reply: Reply) -> None:
        self._chats.run(self._context(req, reply))

    def _call(self, req: HttpRequest, reply: Reply, name: str, path: str) -> None:
        self._calls.run(self._context(req, reply))

    def _models(self, req: HttpRequest, reply: Reply) -> None:
        ctx = self._context(req, reply)
        self._entrance.run(ctx)
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
            {"id": name, "object": "model", "created": 0, "owned_by": OWNER}
            for name in names
        ]
        return {"object": "list", "data": data}
