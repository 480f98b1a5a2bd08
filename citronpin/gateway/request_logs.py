"""One log line and the metrics for each request."""

import logging
from collections.abc import Sequence

from citronpin.basics.clocks import MS_PER_S
from citronpin.basics.metrics import Metrics
from citronpin.gateway.attempts import Attempt

logger = logging.getLogger(__name__)

OK_STATUSES = range(200, 300)  # parts and fingerprints explain only failures


class RequestLog:
    """Logs the outcome of each request; the log queue bounds the volume."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def ended(
        self,
        *,
        task,
        request: str,
        outcome: str,
        status: int,
        attempts: Sequence[Attempt],
        reason: str,
        level: float | None = None,
        limits: Sequence[dict[str, object]],
        fingerprint: str,
        now_s: float,
    ) -> None:
        """Log a request that got its final answer, and record its metrics.

        ``level`` is the refused share of the requests for its model, if it was judged;
        ``limits`` are those of instances for which it got no permit; ``now_s`` is the
        clock time in seconds.
        """
        customer = str(task.customer or "")
        self._metrics.count_request(
            customer, task.route.name, outcome, task.route.kind.value
        )
        duration_s = now_s - task.received_s
        self._metrics.latencies.record("request", "", task.route.name, duration_s)
        first = next((a.first_s for a in attempts if a.first_s is not None), None)
        if first is not None:
            first_s = first - task.received_s
            self._metrics.latencies.record("first_token", "", task.route.name, first_s)
        level_field = {} if level is None else {"level": round(level, 2)}
        logger.info(
            "request",
            extra={
                "request": request,
                "route": task.route.name,
                "service": task.service,
                "forwarded_by": task.forwarded_by or "",
                "customer": customer,
                "config": task.config_version,
                "outcome": outcome,
                "status": status,
                "reason": reason,
                **level_field,
                "ms": round(duration_s * MS_PER_S),
                "left_ms": round((task.deadline_s - now_s) * MS_PER_S),
                "parts": list(task.shared_parts) if status not in OK_STATUSES else [],
                "fingerprint": fingerprint,
                "limits": list(limits),
                "attempts": [attempt.summary() for attempt in attempts],
            },
        )

    def count_forward(self, *, service: str, result: str) -> None:
        """Count an attempt through another entry: ``taken``, or why it was not."""
        self._metrics.count_forward(service, result)

    def refused(self, *, request: str, reason: str, status: int, config: int) -> None:
        """Log and count a request refused before its exchange started."""
        self._metrics.count_request("", "", reason, "")
        logger.info(
            "request",
            extra={
                "request": request,
                "outcome": reason,
                "status": status,
                "config": config,
            },
        )
