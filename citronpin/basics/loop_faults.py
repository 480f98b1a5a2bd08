"""Logs the exceptions that reach the event loop, and keeps them from other calls."""

import logging
from collections.abc import Callable, Iterable

from circuits import BaseComponent, handler

logger = logging.getLogger(__name__)


class LoopFaults(BaseComponent):
    """Logs each exception that no handler caught, and counts them in ``count``.

    circuits alone would print it to standard error, outside the structured log.
    """

    channel = "loop-faults"

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    @handler("exception", channel="*")
    def _on_exception(
        self, error_type, value, traceback, handler=None, fevent=None
    ) -> None:
        self.count += 1
        logger.error(
            "exception in the event loop",
            extra={"event": repr(fevent)},
            exc_info=(error_type, value, value.__traceback__),
        )


def call_each(calls: Iterable[Callable[[], object]]) -> None:
    """Make all calls, also those after one that raises; then raise the first error."""
    first: Exception | None = None
    for call in calls:
        try:
            call()
        except Exception as exc:
            first = first or exc
    if first is not None:
        raise first
