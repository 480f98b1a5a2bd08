"""Sends orders to instances and requests their reports over HTTP."""

import logging

import msgspec

from citronpin.basics.errors import CitronpinError, ConnectionFailed
from citronpin.gateway.attempts import parse_cold_s
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.ports import (
    InstanceControl,
    Order,
    OrderCallback,
    OrderKind,
    OrderResult,
    ProbeCallback,
    ProbeResult,
    ReportCallback,
)
from citronpin.platform.decoders import UnreadableRecord, decode_report
from citronpin.platform.names import HEADERS
from citronpin.web.clients import BufferedSink, HttpClient

logger = logging.getLogger(__name__)

ORDER_PATH = "/v1/order"
REPORT_PATH = "/v1/report"
ORDER_TIMEOUT_S = 0.4  # answers take a few ms; unanswered orders are repeated
REPORT_TIMEOUT_S = 0.3  # covers one packet that is retransmitted after 0.2 s
CONNECT_TIMEOUT_S = 0.3
HTTP_OK = 200

MAX_ANSWER_BYTES = 256 * 1024  # a report takes a few hundred bytes
RESULT_BY_STATUS = {
    200: OrderResult.ALREADY_APPLIED,
    202: OrderResult.STARTED,
    409: OrderResult.CONFLICT,
    412: OrderResult.OUTDATED,
    421: OrderResult.WRONG_INSTANCE,
}


class HttpInstanceControl(InstanceControl):
    """Sends orders and report requests, each with the expected instance id."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    def order(self, *, to: FleetInstance, order: Order, done: OrderCallback) -> None:
        def on_answer(answer, error: CitronpinError | None) -> None:
            if error is not None:
                logger.info("order not answered", extra={"detail": error.detail})
                done(OrderResult.UNKNOWN)
                return
            done(RESULT_BY_STATUS.get(answer[0], OrderResult.UNKNOWN))

        self._client.request(
            address=to.address,
            method="POST",
            target=ORDER_PATH,
            sink=BufferedSink(done=on_answer, limit_bytes=MAX_ANSWER_BYTES),
            headers=(
                ("Content-Type", "application/json"),
                (HEADERS.expect_instance, to.id),
            ),
            body=msgspec.json.encode(_order_fields(order)),
            timeout_s=ORDER_TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )

    def report(self, *, of: FleetInstance, done: ReportCallback) -> None:
        def on_answer(answer, error: CitronpinError | None) -> None:
            if error is None and answer[0] != HTTP_OK:
                error = UnreadableRecord(f"A report was answered {answer[0]}.")
            if error is not None:
                done(None, error)
                return
            result = decode_report(answer[2])
            if result.is_err():
                done(None, result.err_value)
            else:
                cold_s = parse_cold_s(answer[1].get(HEADERS.cold_ms, ""))
                report = msgspec.structs.replace(result.ok_value, cold_s=cold_s)
                done(report, None)

        self._client.request(
            address=of.address,
            method="GET",
            target=REPORT_PATH,
            sink=BufferedSink(done=on_answer, limit_bytes=MAX_ANSWER_BYTES),
            headers=((HEADERS.expect_instance, of.id),),
            timeout_s=REPORT_TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )

    def probe(
        self,
        *,
        of: FleetInstance,
        connect_timeout_s: float,
        timeout_s: float,
        done: ProbeCallback,
    ) -> None:
        def on_answer(answer, error: CitronpinError | None) -> None:
            if error is None:
                done(ProbeResult.ANSWERED)
            elif isinstance(error, ConnectionFailed):
                done(ProbeResult.REFUSED)
            else:
                done(ProbeResult.UNANSWERED)

        self._client.request(
            address=of.address,
            method="GET",
            target=REPORT_PATH,
            sink=BufferedSink(done=on_answer, limit_bytes=MAX_ANSWER_BYTES),
            headers=((HEADERS.expect_instance, of.id),),
            timeout_s=timeout_s,
            connect_timeout_s=connect_timeout_s,
            max_idle_s=0.0,
        )


def _order_fields(order: Order) -> dict:
    body: dict = {"op": order.kind.value}
    if order.kind is OrderKind.STAGE:
        return body | {"model": order.model}
    body |= {"group": order.group, "epoch": order.epoch}
    if order.kind is OrderKind.JOIN:
        body |= {"model": order.model, "members": list(order.members)}
    if order.kind is OrderKind.CLOSE:
        body |= {"mode": "cancel" if order.cancel else "queue"}
    return body
