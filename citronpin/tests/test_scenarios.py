"""Steps of the failure scenarios, which run on whole systems on loopback.

Steps wait for a state; the timeouts only end a run that fails. How fast the system
reacts is checked on a simulated clock in the tests of the modules, and by benchmarks.
"""

import time

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from citronpin.basics.clocks import SystemClock
from citronpin.basics.runners import Runner
from citronpin.benches.loads import LoadPlan, LoadTask, check_effects
from citronpin.commands.commands_entries import expected_text
from citronpin.demos.embedded import EmbeddedSystem, EngineSpec, ServiceSpec, wait_for
from citronpin.standins.standin_batches import EngineSpeed
from citronpin.standins.standin_memberships import ABSENT
from citronpin.state.manifest_files import ManifestFile, read_manifests
from citronpin.tests.conftest import SAMPLES

scenarios("scenarios/failures.feature")

FAILURE_DOMAINS = ("sapporo", "hakodate", "asahikawa")
BOOT_TIMEOUT_S = 40.0
LOAD_DURATION_S = 7.0
END_TIMEOUT_S = 100.0
STATE_TIMEOUT_S = 90.0
ENGINES = tuple(
    EngineSpec(id=f"{letter}{n}", domain=f"fabric-{letter}", failure_domain=site)
    for letter, site in (("s", "sapporo"), ("h", "hakodate"))
    for n in range(6)
)
SERVICES = tuple(
    ServiceSpec(id=f"rota-{n}", application="rota", failure_domain=FAILURE_DOMAINS[n])
    for n in range(2)
)


class ScenarioRun:
    """A system under load and what the steps of one scenario share."""

    def __init__(self, *, system: EmbeddedSystem) -> None:
        self.system = system
        self.load: LoadTask | None = None
        self.load_runner: Runner | None = None
        self.is_finished = False
        self.group = None
        self.entry_name = ""
        self.verdicts = []

    def entries(self):
        return list(self.system.entries.values())

    def usable_groups(self, deployment="rota"):
        """Return the serving groups to which every entry may dispatch."""
        first, *rest = self.entries()
        return [
            group
            for group in first.directory.serving(deployment)
            if all(entry.usable(group.id) for entry in (first, *rest))
        ]

    def start_load(self):
        plan = LoadPlan(
            entries=self.system.addresses(),
            key="odori-demo-key",
            model="rota",
            duration_s=LOAD_DURATION_S,
            chats_per_s=6.0,
            calls_per_s=6.0,
            max_tokens=20,
            seed=5,
        )
        clock = SystemClock()
        self.load = LoadTask(plan=plan, clock=clock, expected_text=expected_text)
        self.load.on_finished(lambda: setattr(self, "is_finished", True))
        self.load_runner = Runner(root=self.load, clock=clock)
        self.load_runner.start()
        self.load_runner.post(self.load.begin)

    def choose_member(self):
        """Choose the lead of a serving rota group and remember the group."""
        assert wait_for(lambda: self.usable_groups(), BOOT_TIMEOUT_S)
        self.group = self.usable_groups()[0]
        return self.group.members[0]

    def is_in_force(self, entries):
        offset = max(verdict.offset for verdict in self.verdicts)
        return all(entry.configuration.offset >= offset for entry in entries)


@pytest.fixture
def run():
    system = EmbeddedSystem(
        failure_domains=FAILURE_DOMAINS,
        engines=ENGINES,
        services=SERVICES,
        speed=EngineSpeed(tokens_per_s=40.0),
        with_relays=True,
    )
    system.start()
    run = ScenarioRun(system=system)
    try:
        yield run
    finally:
        if run.load_runner is not None:
            run.load_runner.stop()
        system.stop()


def _customer_change(share: float, name: str = "kanekura") -> ManifestFile:
    file = read_manifests(SAMPLES / f"{name}.toml").ok_value
    customers = [m for m in file.manifests if hasattr(m, "customers")]
    first, *rest = customers[0].customers
    changed = msgspec.structs.replace(first, share=share)
    manifest = msgspec.structs.replace(customers[0], customers=(changed, *rest))
    return msgspec.structs.replace(file, manifests=(manifest,))


@given("a system of three entries with both manifests in force")
def _(run):
    for name in ("kanekura", "moulin"):
        file = read_manifests(SAMPLES / f"{name}.toml").ok_value
        assert run.system.publish(file).accepted
    assert wait_for(lambda: len(run.usable_groups()) == 2, BOOT_TIMEOUT_S)


@given("callers who send chats and swaps")
def _(run):
    run.start_load()
    assert wait_for(lambda: run.load.sent > 4, BOOT_TIMEOUT_S)


@when("a member of a rota group dies")
def _(run):
    member = run.choose_member()
    run.system.kill(member)
    membership = run.system.membership
    run.system.call("membership", lambda: membership.set_state(member, ABSENT))


@when(parsers.parse("a member of a rota group pauses for {seconds:g} seconds"))
def _(run, seconds):
    run.system.pause_loop(run.choose_member(), seconds)


@when("a member of a rota group restarts")
def _(run):
    member = run.choose_member()
    run.system.call(member, run.system.engines[member].restart)


@when("a member of a rota group slows down")
def _(run):
    run.system.set_faults(run.choose_member(), straggle=8.0)


@when(parsers.parse("the fabric domain {domain} becomes unreachable"))
def _(run, domain):
    for spec in ENGINES:
        if spec.domain == domain:
            run.system.set_faults(spec.id, down=True)


@when("an entry is partitioned")
def _(run):
    run.entry_name = next(iter(run.system.entries))
    run.system.set_partitioned(run.entry_name, True)


@when("the partition is healed")
def _(run):
    run.system.set_partitioned(run.entry_name, False)


@when("a change is published")
def _(run):
    run.verdicts = [run.system.publish(_customer_change(2.0))]
    assert run.verdicts[0].accepted


@when("the log goes down")
def _(run):
    run.system.set_faults("log", down=True)


@when(parsers.parse("the log recovers after {seconds:g} seconds"))
def _(run, seconds):
    time.sleep(seconds)
    run.system.set_faults("log", down=False)


@when(parsers.parse("the log loses its answers for {seconds:g} seconds"))
def _(run, seconds):
    run.system.set_faults("log", lose_answers=True)
    time.sleep(seconds)
    run.system.set_faults("log", lose_answers=False)


def _lease_holder(run, domain):
    """Return the name and id of the entry that holds the lease of a fabric domain."""
    entry = run.entries()[0]
    holder = entry.states.state(f"control.{domain}").lease.holder
    names = [n for n, e in run.system.entries.items() if e.id == holder]
    return (names[0] if names else ""), holder


@when(parsers.parse("the holder of {domain} is paused for {seconds:g} seconds"))
def _(run, domain, seconds):
    run.entry_name, run.lease_holder = _lease_holder(run, domain)
    assert run.entry_name
    run.system.pause_loop(run.entry_name, seconds)


@when("two changes are published from the same base")
def _(run):
    base = run.entries()[0].configuration.offset
    run.verdicts = [
        run.system.publish(_customer_change(s), base=base) for s in (2.0, 4.0)
    ]


@when("every entry is replaced one after another")
def _(run):
    for number, name in enumerate(list(run.system.entries)):
        replacement = run.system.add_entry(f"fresh-{number}", FAILURE_DOMAINS[number])
        assert wait_for(lambda: replacement.gate.refusal() is None, BOOT_TIMEOUT_S)
        assert wait_for(lambda: _has_usable_group(replacement), BOOT_TIMEOUT_S)
        runner = run.system.runner(name)
        run.load.plan = msgspec.structs.replace(
            run.load.plan,
            entries=tuple(
                e.server.address for n, e in run.system.entries.items() if n != name
            ),
        )
        run.system.drain(name)
        assert wait_for(lambda: not runner.running, END_TIMEOUT_S)
        run.system.entries.pop(name)


def _has_usable_group(entry):
    return any(entry.usable(g.id) for g in entry.directory.serving("rota"))


@then("no entry dispatches to its previous group")
def _(run):
    entries = run.entries()
    assert wait_for(lambda: _is_withheld(entries, run.group), STATE_TIMEOUT_S)


def _is_withheld(entries, group):
    """Return whether no entry may dispatch to ``group`` while it is unchanged."""
    return not any(
        entry.usable(group.id) and entry.directory.group(group.id) == group
        for entry in entries
    )


@then(parsers.parse("no entry dispatches to a group of {domain}"))
def _(run, domain):
    def usable_groups():
        return [
            group
            for entry in run.entries()
            for group in entry.directory.groups()
            if entry.usable(group.id)
            and any(s.id in group.members for s in ENGINES if s.domain == domain)
        ]

    assert wait_for(lambda: not usable_groups(), STATE_TIMEOUT_S)


@then(parsers.parse("{count:d} rota groups serve again"))
def _(run, count):
    assert wait_for(lambda: len(run.usable_groups()) >= count, STATE_TIMEOUT_S)


@then("that entry stops serving")
def _(run):
    gate = run.system.entries[run.entry_name].gate
    assert wait_for(lambda: gate.refusal() is not None, STATE_TIMEOUT_S)


@then("the change is in force on the other entries")
def _(run):
    others = [e for n, e in run.system.entries.items() if n != run.entry_name]
    assert wait_for(lambda: run.is_in_force(others), STATE_TIMEOUT_S)


@then("the change is in force on every entry")
def _(run):
    assert wait_for(lambda: run.is_in_force(run.entries()), STATE_TIMEOUT_S)


@then(parsers.parse("another entry holds the lease of {domain}"))
def _(run, domain):
    others = [e for n, e in run.system.entries.items() if n != run.entry_name]

    def has_moved():
        lease = others[0].states.state(f"control.{domain}").lease
        return lease.holder not in ("", run.lease_holder)

    assert wait_for(has_moved, STATE_TIMEOUT_S)


@then("one is accepted and the other is rejected with a reason")
def _(run):
    first, second = run.verdicts
    assert first.accepted and not second.accepted
    assert "made from" in second.reason


@then("every request was completed")
def _(run):
    assert wait_for(lambda: run.is_finished, END_TIMEOUT_S)
    assert set(run.load.tally.outcomes) == {"complete"}, run.load.tally.summary()


@then("every caller got the correct answer or outcome")
def _(run):
    assert wait_for(lambda: run.is_finished, END_TIMEOUT_S), run.load.tally.summary()
    tally = run.load.tally
    assert tally.violations == []
    assert check_effects(run.load.call_outcomes, run.system.effects()) == []
    assert tally.outcomes["complete"] > 0, tally.summary()
