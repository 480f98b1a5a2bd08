"""Admission by priority as callers, instances and other entries see it."""

import json
import logging
import random

import pytest

from citronpin.gateway.admission_levels import (
    AdmissionPolicy,
    Admitted,
    LevelAdmission,
    RefusalReason,
    Refused,
)
from citronpin.gateway.capacities import FleetCapacity
from citronpin.gateway.exchanges import MAX_SENDS
from citronpin.gateway.nodes import AdmissionKind
from citronpin.platform.names import HEADERS
from citronpin.platform.settings import node_settings, read_process_settings
from citronpin.tests.platforms.crashes import CrashWorld
from citronpin.tests.platforms.cuts import Cut, cut_off, is_served
from citronpin.tests.platforms.requests import (
    FrontHarness,
    ScriptedStream,
)


class ScriptedAdmission(AdmissionPolicy):
    """Gives one answer and records what it was asked."""

    def __init__(self, answer=Admitted()):
        self.answer = answer
        self.asked = []
        self.full = 0

    def decide(self, **fields):
        self.asked.append(fields)
        return self.answer

    def record_full(self, service, model, *, now_s):
        self.full += 1


REFUSED = Refused(reason=RefusalReason.PRIORITY, retry_after_s=0.75, level=0.4)


@pytest.fixture
def harness(paused_clock):
    harness = FrontHarness(clock=paused_clock)
    harness.scripts["*"] = ScriptedStream(clock=paused_clock, last=3)
    return harness


def use(harness, admission):
    harness.context.admission = admission
    admission.apply_table(harness.context.table)
    return admission


def test_a_refused_request_is_answered_at_once_and_never_sent(harness, caplog):
    # Guards against requests that yield only at their deadline, or run after a refusal.
    caplog.set_level(logging.INFO)
    use(harness, ScriptedAdmission(REFUSED))
    reply = harness.send("/draft/1")
    assert reply.ended and reply.status == 503
    assert reply.headers["retry-after"] == "0.75"
    assert reply.outcome == "not-run"
    problem = json.loads(reply.body)
    assert RefusalReason.PRIORITY.value in problem["detail"]
    harness.clock.advance(6.0)
    assert not harness.sent_requests()
    assert not harness.context.open_exchanges
    (line,) = [record for record in caplog.records if record.msg == "request"]
    assert (line.level, line.reason) == (0.4, "admission: priority")


def test_a_request_is_judged_once_whatever_attempts_follow(harness):
    # Guards against retries and resumed streams that are refused midway.
    admission = use(harness, ScriptedAdmission())
    harness.scripts["*"] = ScriptedStream(
        clock=harness.clock,
        last=6,
        stop_after=2,
        then=lambda exchange: exchange.lose(),
    )
    reply = harness.send("/draft/1")
    admission.answer = REFUSED
    harness.clock.advance(4.0)
    assert 1 < len(harness.sent_requests()) <= MAX_SENDS
    assert len(admission.asked) == 1
    assert reply.body


def test_a_caller_that_resumes_is_not_judged(harness):
    # Guards against the loss of an answer that the caller has in part.
    admission = use(harness, ScriptedAdmission(REFUSED))
    reply = harness.send("/draft/1", last_event_id="1")
    harness.clock.advance(3.0)
    assert not admission.asked
    assert reply.status == 200


def test_another_entry_does_not_judge_again(paused_clock):
    # Guards against requests that an entry admitted and the next one refuses.
    world = CrashWorld(clock=paused_clock, entries=4, replicas=6, books=3)
    paused_clock.advance(1.0)
    entry, *others = world.entries
    first = use(entry, ScriptedAdmission())
    for other in others:
        use(other, ScriptedAdmission(REFUSED))
    cut_off(entry, world.all_replicas(), Cut.HANG)
    entry.send("/look-up/1", "GET", b"", **{HEADERS.model: None})
    world.send(entry=entry)
    paused_clock.advance(1.5)
    judged = len(first.asked)
    reply = world.send(entry=entry)
    paused_clock.advance(2.0)
    assert is_served(reply)
    assert len(first.asked) == judged + 1
    assert not any(other.context.admission.asked for other in others)


def test_a_full_placement_is_reported_to_the_policy(harness):
    # Guards against levels that do not learn of refusals by placement and instances.
    admission = use(harness, ScriptedAdmission())
    for instance in list(harness.fleet.of_service("engines")):
        for _ in range(40):
            harness.loads.request_started(instance.id)
    assert harness.send("/draft/1").status == 503
    assert admission.full == 1


def test_instances_get_the_urgency_of_the_priority(harness):
    # Guards against instances that queue the least urgent requests first.
    capacities = FleetCapacity(
        fleet=harness.fleet, loads=harness.loads, gate=harness.gate
    )
    baseline = harness.send("/draft/1")
    use(harness, LevelAdmission(capacities=capacities, rng=random.Random(1)))
    harness.send("/draft/2")
    harness.clock.advance(2.0)
    numbers = [one.headers[HEADERS.urgency] for one in harness.sent_requests()]
    # The route has priority 0, and that of the customer takes precedence.
    assert numbers == ["3", "6"]
    assert baseline.status == 200


def test_the_capacity_counts_only_groups_that_may_get_requests(harness):
    # Guards against lost groups that look like free slots.
    capacities = FleetCapacity(
        fleet=harness.fleet, loads=harness.loads, gate=harness.gate
    )
    assert capacities.read("engines", "small").slots == 27
    assert capacities.read("engines", "unknown").slots == 0
    harness.loads.request_started("e0")
    harness.suspects.unreachable("e1", now_s=harness.clock.now())
    harness.fleet.set_leaving("e2", 0)
    capacity = capacities.read("engines", "small")
    assert (capacity.load, capacity.slots) == (1, 9)


@pytest.mark.parametrize(
    "contracts, expected",
    [
        (None, AdmissionKind.OPEN),
        ([], AdmissionKind.OPEN),
        (["places"], AdmissionKind.OPEN),
        (["places", "pool"], AdmissionKind.LEVELS),
    ],
)
def test_levels_are_used_only_where_the_contracts_ask_for_them(
    tmp_path, contracts, expected
):
    # Guards against other refusals in deployments that did not ask for them.
    path = tmp_path / "settings.json"
    raw = {
        "node": "front-1",
        "ip": "10.1.0.4",
        "zone": "a",
        "listen": {"front": "10.1.0.4:80", "ready": "10.1.0.4:81"},
        "internal-ports": [7000, 7010],
        "platform": {"address": "10.9.9.9:1"},
    }
    if contracts is not None:
        raw["contracts"] = contracts
    path.write_text(json.dumps(raw))
    cfg = node_settings(read_process_settings(path).unwrap(), 9464)
    assert cfg.admission is expected
