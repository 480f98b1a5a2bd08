"""Structured logging: one JSON object per line, written by a background thread.

The event loop never waits for the reader of the logs: records that find the queue full
are dropped and counted, and the count is logged once the queue has room.
"""

import logging
import queue
import sys
from logging.handlers import QueueHandler, QueueListener
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
MAX_QUEUED_RECORDS = 5_000  # a few seconds of a busy entry


class BoundedQueueHandler(QueueHandler):
    """Queues records for the writing thread and drops them when the queue is full."""

    def __init__(self, records: queue.Queue) -> None:
        super().__init__(records)
        self.dropped_records = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged, since the writing thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped_records += 1
            return
        if self.dropped_records:
            self._log_dropped_records()

    def _log_dropped_records(self) -> None:
        record = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, "lines left out", None, None
        )
        record.lines = self.dropped_records
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            return  # the next record that finds room logs the count
        self.dropped_records = 0


def set_up_logging(
    level: str, process: str, stream: TextIO | None = None
) -> QueueListener:
    """Write the records of all loggers as JSON to ``stream``, or to standard error.

    ``process`` is the value of the field ``entry`` of each line. Stopping the returned
    listener writes the queued records.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        FORMAT,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"entry": process},
    )
    handler.setFormatter(formatter)
    records: queue.Queue = queue.Queue(maxsize=MAX_QUEUED_RECORDS)
    root = logging.getLogger()
    root.handlers[:] = [BoundedQueueHandler(records)]
    root.setLevel(level)
    listener = QueueListener(records, handler)
    listener.start()
    return listener
