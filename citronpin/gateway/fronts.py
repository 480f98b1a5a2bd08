"""Accepts requests of callers and of other entries and starts their exchanges."""

import logging
from collections.abc import Sequence
from functools import partial

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.ids import ApplicationName, EntryId, ModelName, PromptPartId
from citronpin.gateway.answers import (
    Refusal,
    RefusalKind,
    send_refusal,
    unreachable_refusal,
)
from citronpin.gateway.buffered_exchanges import BufferedExchange
from citronpin.gateway.contexts import ExchangeContext, Task
from citronpin.gateway.exchanges import refusal_headers
from citronpin.gateway.forward_codecs import FORWARDED_HEADER, ForwardCodec
from citronpin.gateway.forwards import make_task
from citronpin.gateway.routings import (
    EngineSpec,
    RequestKind,
    Route,
    RoutingTable,
    Tenant,
)
from citronpin.gateway.stream_exchanges import StreamExchange
from citronpin.peers.messages import ForwardedRequest
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
        engine = _engine_of(service, table)
        model, prompt_parts = _model_and_parts(req, engine, self._context)
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
            spent_s=self._context.spent_times.estimate_s(
                route=route.name, left_s=left_s
            ),
            engine=engine,
            prompt_parts=prompt_parts,
        )
        _start(task, reply, self._context)

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


class ForwardHandler(HttpHandler):
    """Starts the exchanges of requests that other entries pass on.

    The entry that received a request from its caller has decided on route and
    customer. What cannot be taken is refused at once, so that it asks another entry. An
    entry that heard of no instance for a while proves its path first, since it may be
    cut off without knowing it.
    """

    MAX_FORWARDED_REQUESTS = 256  # in progress, of all other entries together

    def __init__(self, *, context: ExchangeContext, codec: ForwardCodec) -> None:
        self._context = context
        self._codec = codec
        self._is_stopping = False

    def stop(self) -> None:
        """Refuse all further requests."""
        self._is_stopping = True

    def handle(self, req: HttpRequest, reply: Reply) -> None:
        result = self._codec.decode(req.headers.get(FORWARDED_HEADER, ""))
        if result.is_err():
            logger.warning(
                "forwarded request rejected", extra={"detail": str(result.err_value)}
            )
            self._refuse(req, reply, RefusalKind.NOT_FORWARDED.value)
            return
        sender, message = result.ok_value
        self._context.forward_peers.record_cut_off(sender, [message.service])
        arrival = ForwardedArrival(
            req=req,
            reply=reply,
            sender=sender,
            message=message,
            received_s=self._context.clock.now(),
        )
        refusal = self._refusal(message.service)
        if message.attempt != self._attempt_of(req):
            self._refuse(req, reply, RefusalKind.NOT_FORWARDED.value)
        elif refusal is not None:
            self._refuse_arrival(arrival, refusal)
        else:
            self._context.reach.prove(
                message.service, partial(self._on_path_proved, arrival)
            )

    def _on_path_proved(self, arrival: "ForwardedArrival", reached: bool) -> None:
        """Start the exchange of a request, unless it cannot be sent to an instance."""
        if arrival.is_abandoned:
            return
        arrival.reply.on_disconnect = None
        refusal = self._refusal(arrival.message.service)
        if refusal is None and not reached:
            refusal = unreachable_refusal(wait_s=0.0)
        if refusal is not None:
            self._refuse_arrival(arrival, refusal)
            return
        try:
            self._start(arrival)
        except Exception:
            arrival.reply.abort()  # it may have been sent
            raise

    def _start(self, arrival: "ForwardedArrival") -> None:
        req, message = arrival.req, arrival.message
        engine = _engine_of(message.service, self._context.table)
        model, prompt_parts = _model_and_parts(req, engine, self._context)
        task = make_task(
            message,
            req=req,
            sender=arrival.sender,
            now_s=arrival.received_s,
            engine=engine,
            model=model,
            prompt_parts=prompt_parts,
        )
        _start(task, arrival.reply, self._context)

    def _refusal(self, service: ApplicationName) -> Refusal | None:
        """Return why a request for a service is not taken now."""
        if self._is_stopping:
            return RefusalKind.STOPPING.value
        if self._context.table is None:
            return RefusalKind.NO_CONFIG.value
        if self._context.reach.is_cut_off(service):
            return unreachable_refusal(wait_s=0.0)
        open_count = sum(
            exchange.is_forwarded for exchange in self._context.open_exchanges
        )
        if open_count >= self.MAX_FORWARDED_REQUESTS:
            return RefusalKind.FORWARDING_LIMIT.value
        return None

    def _attempt_of(self, req: HttpRequest) -> str:
        return req.headers.get(self._context.names.attempt, "")

    def _refuse_arrival(self, arrival: "ForwardedArrival", refusal: Refusal) -> None:
        """Refuse a request, and name entries that may take it."""
        next_hops = self._context.forward_peers.sample_next_hops(
            arrival.message.service, to=arrival.sender
        )
        self._refuse(arrival.req, arrival.reply, refusal, next_hops)

    def _refuse(
        self,
        req: HttpRequest,
        reply: Reply,
        refusal: Refusal,
        next_hops: Sequence[EntryId] = (),
    ) -> None:
        headers = {self._context.names.attempt: self._attempt_of(req)}
        headers |= refusal_headers(refusal, next_hops)
        send_refusal(reply, refusal, headers)


class ForwardedArrival:
    """A request of another entry that waits for a proof of the path to instances."""

    def __init__(
        self,
        *,
        req: HttpRequest,
        reply: Reply,
        sender: EntryId,
        message: ForwardedRequest,
        received_s: float,
    ) -> None:
        self.req = req
        self.reply = reply
        self.sender = sender
        self.message = message
        self.received_s = received_s  # clock time
        self.is_abandoned = False  # whether the sender closed its connection
        reply.on_disconnect = self._abandon

    def _abandon(self) -> None:
        self.is_abandoned = True


def _engine_of(service: ApplicationName, table: RoutingTable) -> EngineSpec | None:
    spec = table.services.get(service)
    return None if spec is None else spec.engine


def _model_and_parts(
    req: HttpRequest, engine: EngineSpec | None, context: ExchangeContext
) -> tuple[ModelName | None, tuple[PromptPartId, ...]]:
    """Return the model that a request names and the parts of its prompt."""
    if engine is None:
        return None, ()
    names = context.names
    return (
        ModelName(req.headers.get(names.model, "")),
        parse_prompt_parts(req.headers.get(names.prompt_parts, "")),
    )


def _start(task: Task, reply: Reply, context: ExchangeContext) -> None:
    is_stream = task.route.kind is RequestKind.STREAM
    exchange_class = StreamExchange if is_stream else BufferedExchange
    exchange = exchange_class(task=task, reply=reply, context=context)
    try:
        exchange.start()
    except Exception:
        exchange.fail()
        raise


def parse_prompt_parts(text: str) -> tuple[PromptPartId, ...]:
    """Return the parts of a prompt, given as ID:TOKENS entries separated by commas."""
    entries = text.split(",")[-MAX_PROMPT_PARTS:]
    return tuple(
        PromptPartId(part)
        for entry in entries
        if (part := entry.partition(":")[0].strip())
    )
