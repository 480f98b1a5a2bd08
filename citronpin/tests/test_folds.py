"""Tests of the folds: state machines, mutations of single rules, and examples."""

import os

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test
from result import Ok

from citronpin.basics.ids import NO_OFFSET, Offset
from citronpin.state import control_folds, rules
from citronpin.state.calls_folds import CallsFold
from citronpin.state.config_folds import ConfigFold, scope_base
from citronpin.state.control_folds import ControlFold
from citronpin.state.folds import fold_for
from citronpin.state.records import (
    ConfigChange,
    ConfigPart,
    LeaseClaim,
    Record,
    ScopeChange,
)
from citronpin.state.rules import WRITER_SWEEP_INTERVAL_RECORDS, WRITER_WINDOW_RECORDS
from citronpin.state.snapshots import decode_snapshot
from citronpin.state.states import Lease
from citronpin.tests import fold_machines
from citronpin.tests.builders import change, customers, deployment
from citronpin.tests.fold_machines import (
    MACHINES,
    CallsMachine,
    ConfigMachine,
    ControlMachine,
)

QUICK_SETTINGS = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    print_blob=False,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
MUTATION_SETTINGS = settings(QUICK_SETTINGS, max_examples=300)


@pytest.mark.parametrize("machine", MACHINES)
def test_invariants_hold_whatever_is_appended(machine):
    run_state_machine_as_test(machine, settings=QUICK_SETTINGS)


@pytest.mark.soak
@pytest.mark.parametrize("machine", MACHINES)
def test_invariants_hold_in_a_soak(machine):
    machine = seed(int(os.environ.get("CITRONPIN_SOAK_SEED") or 0))(machine)
    soak_settings = settings(
        QUICK_SETTINGS, derandomize=False, max_examples=500, stateful_step_count=100
    )
    run_state_machine_as_test(machine, settings=soak_settings)


def _accept_single_part(self, state, offset, record, item):
    return self._accept_change(state, offset, item.changes)


def _restore_without_writers(stream, payload):
    state = decode_snapshot(stream, payload).unwrap()
    return Ok(msgspec.structs.replace(state, writers=type(state)().writers))


def _accept_any_base(self, state, one):
    base = scope_base(state, one.scope)
    original_check_change(self, state, msgspec.structs.replace(one, base=base))


def _accept_any_claim(state, offset, record, item):
    return msgspec.structs.replace(state, lease=Lease(record.author, offset))


original_check_change = ConfigFold._check_change
# Each mutation disables one rule: machine, object, attribute and replacement.
MUTATIONS = {
    "fence": (ControlMachine, control_folds, "check_fence", lambda *args: None),
    "lease": (ControlMachine, rules, "_accept_lease_claim", _accept_any_claim),
    "free": (ControlMachine, ControlFold, "_check_free", lambda *args: None),
    "assigned": (
        ControlMachine,
        ControlFold,
        "_without_assigned",
        lambda self, state, members: state,
    ),
    "second intent": (CallsMachine, CallsFold, "_check_reused_key", lambda *args: None),
    "outcome": (CallsMachine, CallsFold, "_check_outcome", lambda *args: None),
    "base": (ConfigMachine, ConfigFold, "_check_change", _accept_any_base),
    "atomic": (ConfigMachine, ConfigFold, "_accept_part", _accept_single_part),
    "late": (CallsMachine, rules, "late_reason", lambda *args: ""),
    "restore": (
        ConfigMachine,
        fold_machines,
        "decode_snapshot",
        _restore_without_writers,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_machine_catches_a_broken_rule(monkeypatch, name):
    machine, *mutation = MUTATIONS[name]
    monkeypatch.setattr(*mutation)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=MUTATION_SETTINGS)


def fold_items(stream, *payloads):
    """Fold one record for each ``(author, *items)``; return the state and verdicts."""
    fold = fold_for(stream)
    state, all_verdicts = fold.empty(), []
    for offset, (author, *items) in enumerate(payloads):
        record = Record(1, f"r-{offset}", author, 0, tuple(items))
        state, verdicts = fold.apply(state, offset, record)
        all_verdicts += verdicts
    return state, all_verdicts


def config_part(number, one, count=2, author="p"):
    return (author, ConfigPart("c", number, count, (one,)))


def test_a_change_of_several_records_takes_effect_as_one_or_not_at_all():
    good = ScopeChange("deployment/rota", NO_OFFSET, deployment())
    stale = ScopeChange("deployment/b", 7, deployment("b"))
    fresh = ScopeChange("deployment/b", NO_OFFSET, deployment("b"))
    state, verdicts = fold_items("config", config_part(0, good), config_part(1, stale))
    assert not state.manifests and not state.parts and not verdicts[1].accepted
    state, verdicts = fold_items("config", config_part(1, fresh), config_part(0, good))
    assert {a.offset for a in state.manifests.values()} == {1}
    state, verdicts = fold_items(
        "config", config_part(0, good), config_part(1, fresh, author="q")
    )
    assert not state.manifests and not verdicts[1].accepted
    filler = [("x", change(deployment(f"d-{n}"))) for n in range(1_100)]
    state, _ = fold_items(
        "config", config_part(0, good), *filler, config_part(1, fresh)
    )
    assert "deployment/b" not in state.manifests


@pytest.mark.parametrize(
    "second, expected_text",
    [
        (customers("d"), "defined twice"),
        (customers("d", customer="dubai"), "a key in common"),
        (
            customers("d", customer="dubai", keys=("b" * 64,), deployments=("x",)),
            "which does not exist",
        ),
        (deployment(members=0), "members: is 0. Give 1 to 1024."),
    ],
)
def test_a_change_that_breaks_a_rule_across_scopes_is_rejected(second, expected_text):
    _, verdicts = fold_items(
        "config", ("p", change(customers())), ("p", change(second))
    )
    assert [verdict.accepted for verdict in verdicts] == [True, False]
    assert expected_text in verdicts[1].reason


def test_a_deployment_that_a_customer_names_cannot_be_removed_alone():
    named = change(deployment(), customers(deployments=("rota",)))
    gone = ScopeChange("deployment/rota", 0, None)
    free = ScopeChange("customers/export", 0, customers())
    alone, both = ConfigChange((gone,)), ConfigChange((gone, free))
    state, verdicts = fold_items("config", ("p", named), ("p", alone), ("p", both))
    assert [verdict.accepted for verdict in verdicts] == [True, False, True]
    assert list(state.manifests) == ["customers/export"]


def test_an_inactive_writer_is_removed_only_when_its_records_are_late():
    fold = fold_for("control.a")
    state = fold.empty()
    old = Record(1, "r", "e", 0, (LeaseClaim(NO_OFFSET),), "w-1", 1, NO_OFFSET)
    state, _ = fold.apply(state, 0, old)
    sweep = (
        WRITER_WINDOW_RECORDS // WRITER_SWEEP_INTERVAL_RECORDS + 1
    ) * WRITER_SWEEP_INTERVAL_RECORDS
    other = Record(1, "s", "f", 0, (), "w-2", 1, Offset(sweep - 1))
    state, _ = fold.apply(state, sweep, other)
    assert list(state.writers) == ["w-2"]
    _, verdicts = fold.apply(state, sweep + 1, old)
    assert not verdicts[0].accepted and "too long ago" in verdicts[0].reason
