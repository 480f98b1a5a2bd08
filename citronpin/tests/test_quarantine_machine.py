"""State machine over the quarantines of entries that lose each other, boot and freeze.

Whatever the order of crashes, successes and updates: entries that hear each other keep
out a part under which every instance crashes, and no part that is served.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from citronpin.basics.clocks import MS_PER_S, PausedClock
from citronpin.basics.ids import InstanceId
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.quarantines import (
    MIN_CRASHES,
    MIN_SPREAD_S,
    TRIAL_INTERVAL_S,
    ConsecutiveCrashes,
    PromptQuarantine,
)

ENTRIES = 4
POISON = "bad0"
SOUND = "c0ffee"  # shared with the requests that have the poison
UPDATE_INTERVAL_S = 0.75
MAX_CHANCE_CRASHES = MIN_CRASHES - 1  # of sound requests in a row
OPTIONS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
FIRST_FAILURE = settings(OPTIONS, phases=[Phase.generate], report_multiple_bugs=False)
entries = st.integers(0, ENTRIES - 1)


class QuarantineMachine(RuleBasedStateMachine):
    """Sends requests at entries, and updates between those that hear each other."""

    quarantine_class = PromptQuarantine

    def __init__(self):
        super().__init__()
        self.clock = PausedClock()
        self.entries = [self.make() for _ in range(ENTRIES)]
        self.cut_off = set()
        self.frozen = set()
        self.life_count = 0
        self.chance_crashes = 0
        self.serve_sound_requests()

    def make(self):
        return self.quarantine_class(policy=ConsecutiveCrashes())

    @property
    def now_s(self):
        return self.clock.now()

    def end_instance(self, number, parts):
        self.life_count += 1
        instance = FleetInstance(
            id=InstanceId(f"i-{self.life_count}"),
            service="engines",
            address="10.0.0.1:80",
            failure_domain="a",
            slots=9,
        )
        self.entries[number].record_crash(parts, instance, now_s=self.now_s)

    @rule(number=entries)
    def send_poison(self, number):
        """Send a request that ends an instance, unless its entry keeps it out."""
        if number in self.frozen:
            return
        parts = [SOUND, POISON]
        if self.entries[number].admit(parts, now_s=self.now_s) is None:
            self.end_instance(number, [SOUND, POISON])

    @rule(numbers=st.lists(entries, min_size=3, max_size=6))
    def send_poison_again_and_again(self, numbers):
        for number in numbers:
            self.send_poison(number)
            self.advance(0.3)

    @rule(number=entries)
    def succeed(self, number):
        """Serve a sound request."""
        entry = self.entries[number]
        if number in self.frozen or entry.admit([SOUND], now_s=self.now_s) is not None:
            return
        entry.record_success([SOUND], now_s=self.now_s)
        self.chance_crashes = 0

    def serve_sound_requests(self, but=None):
        """Serve sound requests at all entries that run, as before a boot."""
        for number in range(ENTRIES):
            if number != but:
                self.succeed(number)

    @precondition(lambda self: self.chance_crashes < MAX_CHANCE_CRASHES)
    @rule(number=entries)
    def lose_instance_by_chance(self, number):
        if number not in self.frozen:
            self.chance_crashes += 1
            self.end_instance(number, [SOUND])

    @rule(number=entries)
    def boot(self, number):
        self.entries[number] = self.make()
        self.frozen.discard(number)
        self.serve_sound_requests(but=number)

    @rule(number=entries)
    def toggle_cut(self, number):
        self.cut_off ^= {number}

    @rule(number=entries)
    def toggle_freeze(self, number):
        self.frozen ^= {number}

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5]))
    def advance(self, seconds):
        self.clock.advance(seconds)
        self.send_updates()

    def send_updates(self):
        """Let all entries that run and hear each other exchange one update."""
        hearing = [
            entry
            for number, entry in enumerate(self.entries)
            if number not in self.cut_off | self.frozen
        ]
        for sender in hearing:
            sender.expire(now_s=self.now_s)
            reports = sender.reports(now_s=self.now_s)
            for receiver in hearing:
                if receiver is not sender:
                    receiver.merge(reports, now_s=self.now_s)

    @invariant()
    def no_part_that_is_served_is_kept_out(self):
        next_trial_s = self.now_s + TRIAL_INTERVAL_S
        for entry in self.entries:
            if entry.find_quarantined([SOUND]) is not None:
                assert entry.may_try(SOUND, [SOUND], now_s=next_trial_s)

    def teardown(self):
        """Let all hear each other; then the part reaches no instance any more."""
        self.cut_off, self.frozen = set(), set()
        for _ in range(2):
            self.clock.advance(UPDATE_INTERVAL_S)
            self.send_updates()
        self.clock.advance(TRIAL_INTERVAL_S)
        self.serve_sound_requests()
        assert not any(entry.find_quarantined([SOUND]) for entry in self.entries)
        are_out = [bool(e.find_quarantined([POISON])) for e in self.entries]
        assert len(set(are_out)) == 1, "entries do not agree"
        for entry in self.entries:
            for report in entry.reports(now_s=self.now_s):
                ages_ms = report.crashes.values()
                is_clear = len(ages_ms) >= MIN_CRASHES and (
                    max(ages_ms) - min(ages_ms) > MIN_SPREAD_S * MS_PER_S
                )
                assert not is_clear or report.part == SOUND or all(are_out)


def test_entries_agree_on_what_is_kept_out():
    run_state_machine_as_test(QuarantineMachine, settings=OPTIONS)


class IgnoresUpdates(PromptQuarantine):
    """Keeps to what the entry saw itself."""

    def merge(self, reports, *, now_s):
        """Merge nothing."""


class IgnoresSuccesses(PromptQuarantine):
    """Blames each part of a prompt under which instances crashed."""

    def record_success(self, parts, *, now_s):
        """Record nothing."""


@pytest.mark.parametrize("faulty", [IgnoresUpdates, IgnoresSuccesses])
def test_quarantine_machine_detects_faulty_quarantines(faulty):
    class FaultyMachine(QuarantineMachine):
        quarantine_class = faulty

    with pytest.raises(AssertionError):
        run_state_machine_as_test(FaultyMachine, settings=FIRST_FAILURE)
