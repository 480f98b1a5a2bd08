"""Selection of the log lines related to one request from several processes."""

import json

from citronpin.gateway.stories import read_lines, select_request_lines


def line(second, entry, message, **fields):
    time = f"2026-01-05 13:40:{second:06.3f}".replace(".", ",")
    record = {"time": time, "level": "INFO", "logger": "x", "entry": entry}
    return json.dumps(record | {"message": message} | fields)


ATTEMPTS = [
    {"instance": "i-1", "group": "d0.7/7", "fault": "stalled"},
    {"instance": "i-2", "group": "d1.3/3", "status": 200},
]
LOG = [
    line(10.0, "n2", "order", order="join", instance="i-9", group="d0.7"),
    line(10.1, "n2", "order", order="join", instance="i-8", group="d4.1"),
    "noise {not json",
    line(11.0, "n1", "store lost", topic="t"),
    line(11.0, "n3", "store lost", topic="t"),
    line(12.0, "n1", "request", request="a1", ms=1500, attempts=ATTEMPTS),
    line(12.1, "n1", "request", request="a2", ms=10, attempts=[]),
    line(1.0, "n2", "order", order="open", instance="i-1", group="d0.7"),
]


def test_lines_related_to_a_request_are_selected_in_order_of_time():
    selected = select_request_lines(
        read_lines(f"   9.9 n1 {text}" for text in LOG), "a1"
    )
    assert [(found.entry, found.message) for found in selected] == [
        ("n2", "order"),
        ("n1", "store lost"),
        ("n1", "request"),
    ]
    assert "instance=i-1" in selected[-1].text()


def test_an_unknown_request_has_no_related_lines():
    assert select_request_lines(read_lines(LOG), "a9") == []


def test_story_of_a_request_that_was_kept_out_tells_when_its_part_was_quarantined():
    log = [
        line(2.0, "n1", "prompt part quarantined", part="bad0", crashes=3),
        line(2.1, "n2", "prompt part quarantined", part="bad0", crashes=3),
        line(3.0, "n1", "prompt part quarantined", part="other", crashes=3),
        line(50.0, "n1", "request", request="a1", ms=0, parts=["c0ffee", "bad0"]),
    ]
    selected = select_request_lines(read_lines(log), "a1")
    assert [(found.entry, found.fields.get("part")) for found in selected] == [
        ("n1", "bad0"),
        ("n1", None),
    ]


def test_story_of_a_refused_request_tells_since_when_instances_are_limited():
    log = [
        line(2.0, "n1", "instance limited", instance="i-1", rate=1.6, source="n2"),
        line(2.0, "n2", "instance limited", instance="i-1", rate=1.6),
        line(2.1, "n1", "instance limited", instance="i-7", rate=1.6),
        line(50.0, "n1", "request", request="a1", limits=[{"instance": "i-1"}]),
    ]
    selected = select_request_lines(read_lines(log), "a1")
    assert [found.fields.get("source") for found in selected] == ["n2", None]


def test_story_of_a_quarantined_request_tells_when_its_quarantine_began():
    log = [
        line(2.0, "n1", "request quarantined", fingerprint="request-1", crashes=3),
        line(2.0, "n2", "request quarantined", fingerprint="request-1", crashes=3),
        line(3.0, "n1", "request quarantined", fingerprint="request-2", crashes=3),
        line(50.0, "n1", "request", request="a1", fingerprint="request-1"),
    ]
    selected = select_request_lines(read_lines(log), "a1")
    assert [found.message for found in selected] == ["request quarantined", "request"]
