"""Structured logs: one JSON object a line, written by a thread of its own.

The loop never waits for the reader of the logs: lines that find the queue full are
left out and counted, and the count is logged once there is room.
"""

import logging
import queue
import sys
from logging.handlers import QueueHandler, QueueListener
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
QUEUE_LINES = 5_000  # some seconds of a busy entry


class BoundedQueueHandler(QueueHandler):
    """Queues records for the writing thread, without ever waiting."""

    def __init__(self, lines: queue.Queue) -> None:
        super().__init__(lines)
        self.left_out = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is; the thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as left out."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.left_out += 1
            return
        if self.left_out:
            self._tell_left_out()

    def _tell_left_out(self) -> None:
        record = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, "lines left out", None, None
        )
        record.lines = self.left_out
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            return  # told with the next line that finds room
        self.left_out = 0


def set_up_logging(
    level: str, process: str, stream: TextIO | None = None
) -> QueueListener:
    """Send the records of all loggers as JSON to ``stream``, or to standard error.

    Stopping the listener that is returned writes what is queued.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        FORMAT,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"entry": process},
    )
    handler.setFormatter(formatter)
    lines: queue.Queue = queue.Queue(maxsize=QUEUE_LINES)
    root = logging.getLogger()
    root.handlers[:] = [BoundedQueueHandler(lines)]
    root.setLevel(level)
    listener = QueueListener(lines, handler)
    listener.start()
    return listener
