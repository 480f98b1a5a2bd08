"""Tests of the recorder of time line events and of their log lines."""

import io
import json
import logging

from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.loggings import set_up_logging


def test_events_are_kept_and_logged_as_json(paused_clock, monkeypatch):
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    output = io.StringIO()
    monkeypatch.setattr("sys.stderr", output)
    try:
        listener = set_up_logging("INFO", "entry-1")
        recorder = Recorder(process="entry-1", clock=paused_clock)
        recorder.note(EventKind.LEASE, "claimed", stream="control.a", offset=4)
        listener.stop()
    finally:
        root.handlers[:], root.level = before
    line = json.loads(output.getvalue())
    assert line["message"] == "lease" and line["entry"] == "entry-1"
    assert line["event"]["offset"] == 4 and line["event"]["detail"] == "claimed"
    assert [event.sequence for event in recorder.since(0)] == [1]
