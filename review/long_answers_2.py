"""Plain servers that write long answers piece by piece."""

from citronpin.platform.names import HEADERS
from review.deployments import HOST, SmallPlatform

ANSWER_BYTES = 4 * 1024 * 1024  # as large as a request body may be
PIECES = 32
DEADLINE_MS = 6000
LONG_ROUTE = {
    "name": "history",
    "host": HOST,
    "path-prefix": "/history/",
    "kind": "safe",
    "timeout-ms": DEADLINE_MS,
    "target-latency-ms": 1500,
    "service": "book",
    "max-attempts": 2,
}
LONG_TARGET = "/history/1"


class LongAnswers(SmallPlatform):
    """Answers requests for ``/history/`` with 4 MB, written within ``answer_s``."""

    def __init__(self, *, record, answer_s, **options):
        self._record = record
        self._answer_s = answer_s
        super().__init__(more_routes=[LONG_ROUTE], **options)

    def _send_answer(self, instance, exchange, attempt):
        self._record.line(f"server {instance.name} runs {attempt}")
        if not exchange.target.startswith("/history/"):
            super()._send_answer(instance, exchange, attempt)
            return
        headers = {
            HEADERS.attempt: attempt,
            HEADERS.digest: "whole",
            "Content-Length": str(ANSWER_BYTES),
        }
        exchange.reply.start(200, "application/json", headers)
        piece = b"x" * (ANSWER_BYTES // PIECES)

        def send(number):
            if exchange.is_gone:
                return
            if number == PIECES:
                exchange.reply.finish()
                return
            exchange.reply.push(piece)
            self.clock.call_later(self._answer_s / PIECES, lambda: send(number + 1))

        send(0)
