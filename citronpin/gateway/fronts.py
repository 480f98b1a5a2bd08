"""Accepts requests of callers, resolves route and customer and starts exchanges."""

import logging

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import ApplicationName, ModelName, PromptPartId
from citronpin.gateway.answers import Refusal, RefusalKind, send_refusal
from citronpin.gateway.buffered_exchanges import BufferedExchange
from citronpin.gateway.exchanges import ExchangeContext, Task
from citronpin.gateway.routings import RequestKind, Route, RoutingTable, Tenant
from citronpin.gateway.stream_exchanges import StreamExchange
from citronpin.web.replies import HttpHandler, HttpRequest, Reply

logger = logging.getLogger(__name__)

MAX_PROMPT_PARTS = 64  # considered of one request
ACCEPT_WHILE_STOPPING_S = 3.0  # the balancer sends new callers for about 2 s


class FrontHandler(HttpHandler):
    """Validates each request and starts its exchange or refuses it."""

    def __init__(self, *, context: ExchangeContext) -> None:
        self._context = context
        self._stopping_s: float | None = None
        self._end_s = 0.0

    def stop_by(self, end_s: float) -> None:
        """Accept only requests that can end before the process does.

        ``end_s`` is the clock time in seconds at which the process ends.
        """
        self._stopping_s = self._context.clock.now()
        self._end_s = end_s

    def _may_outlast_process(self, route: Route) -> bool:
        """Return whether a request could outlast the process.

        When few entries of a failure domain are left, the balancer also sends callers
        to stopping ones.
        """
        if self._stopping_s is None:
            return False
        now_s = self._context.clock.now()
        if now_s - self._stopping_s <= ACCEPT_WHILE_STOPPING_S:
            return False
        return self._end_s - now_s < route.timeout_s

    def handle(self, req: HttpRequest, reply: Reply) -> None:
        if self._stopping_s is not None:
            reply.close_after()
        table = self._context.table
        if table is None:
            self._refuse(req, reply, RefusalKind.NO_CONFIG.value)
            return
        path = req.target.partition("?")[0]
        host = req.headers.get("host", "")
        route = table.match(host=host, path=path) or table.match(
            host=host.partition(":")[0], path=path
        )
        if route is None:
            self._refuse_unknown(req, reply, RefusalKind.NO_ROUTE.value)
            return
        customer = None
        if table.needs_key and not route.public:
            customer = table.customer(req.headers.get(self._context.names.key, ""))
            if customer is None:
                self._refuse_unknown(req, reply, RefusalKind.NO_CUSTOMER.value)
                return
        if self._may_outlast_process(route):
            self._refuse(req, reply, RefusalKind.STOPPING.value)
            return
        self._start_exchange(req, reply, table, route, customer)

    def _start_exchange(
        self,
        req: HttpRequest,
        reply: Reply,
        table: RoutingTable,
        route: Route,
        customer: Tenant | None,
    ) -> None:
        now_s = self._context.clock.now()
        service = self._select_service(route)
        spec = table.services.get(service)
        engine = None if spec is None else spec.engine
        model, prompt_parts = None, ()
        if engine is not None:
            names = self._context.names
            model = ModelName(req.headers.get(names.model, ""))
            prompt_parts = parse_prompt_parts(req.headers.get(names.prompt_parts, ""))
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        left_s = self._time_left_s(req, route)
        task = Task(
            req=req,
            route=route,
            service=service,
            customer=None if customer is None else customer.name,
            model=model,
            received_s=now_s,
            deadline_s=now_s + left_s,
            config_version=table.version,
            priority=priority,
            spent_s=self._context.spent_s(route=route, left_s=left_s),
            engine=engine,
            prompt_parts=prompt_parts,
        )
        is_stream = route.kind is RequestKind.STREAM
        exchange_class = StreamExchange if is_stream else BufferedExchange
        exchange_class(task=task, reply=reply, context=self._context).start()

    def _select_service(self, route: Route) -> ApplicationName:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._context.rng.choices(route.targets, weights)[0].service

    def _time_left_s(self, req: HttpRequest, route: Route) -> float:
        text = req.headers.get(self._context.names.deadline_ms, "")
        return int(text) / MS_PER_S if text.isdigit() else route.timeout_s

    def _refuse_unknown(self, req: HttpRequest, reply: Reply, refusal: Refusal) -> None:
        """Refuse what the configuration does not contain.

        Callers do not repeat such a request. While a change that allows it may be in
        force elsewhere, they are told to come back instead.
        """
        if not self._context.is_table_current():
            refusal = RefusalKind.STALE_CONFIG.value
        self._refuse(req, reply, refusal)

    def _refuse(self, req: HttpRequest, reply: Reply, refusal: Refusal) -> None:
        attempt = req.headers.get(self._context.names.attempt, "")
        version = self._context.table.version if self._context.table else 0
        self._context.log.refused(
            request=attempt,
            reason=refusal.kind,
            status=refusal.status,
            config=version,
        )
        send_refusal(reply, refusal, {self._context.names.attempt: attempt})


def parse_prompt_parts(text: str) -> tuple[PromptPartId, ...]:
    """Return the parts of a prompt, given as ID:TOKENS entries separated by commas."""
    entries = text.split(",")[-MAX_PROMPT_PARTS:]
    return tuple(
        PromptPartId(part)
        for entry in entries
        if (part := entry.partition(":")[0].strip())
    )
