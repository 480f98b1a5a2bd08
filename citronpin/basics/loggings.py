"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logging(level: str, process: str) -> None:
    """Send the records of all loggers to standard error as JSON."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        FORMAT,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"entry": process},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
