"""State machines over the quarantines of entries that lose each other, boot and freeze.

Whatever the order of crashes, successes and updates: entries that hear each other keep
out a part or a request under which every instance crashes, and none that is served.
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
from citronpin.basics.ids import EntryId, InstanceId
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.quarantines import (
    MIN_CRASHES,
    MIN_PART_SPREAD_S,
    TRIAL_INTERVAL_S,
    ConsecutiveCrashes,
    CrashQuarantine,
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

    quarantine_class = CrashQuarantine

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
        self.repeat_notable_keys()

    @rule(number=entries)
    def toggle_cut(self, number):
        self.cut_off ^= {number}
        self.repeat_notable_keys()

    @rule(number=entries)
    def toggle_freeze(self, number):
        self.frozen ^= {number}
        self.repeat_notable_keys()

    def repeat_notable_keys(self):
        """Tell what others may have missed, as entries do that hear one anew."""
        for entry in self.entries:
            for key in entry.notable():
                entry.add_news(key)

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
            reports = sender.take_reports(now_s=self.now_s)
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
        self.repeat_notable_keys()
        for _ in range(2):
            self.clock.advance(UPDATE_INTERVAL_S)
            self.send_updates()
        self.clock.advance(TRIAL_INTERVAL_S)
        self.serve_sound_requests()
        assert not any(entry.find_quarantined([SOUND]) for entry in self.entries)
        are_out = [bool(e.find_quarantined([POISON])) for e in self.entries]
        assert len(set(are_out)) == 1, "entries do not agree"
        for entry in self.entries:
            for key in entry.notable():
                entry.add_news(key)
            for report in entry.take_reports(now_s=self.now_s):
                ages_ms = report.crashes.values()
                is_clear = len(ages_ms) >= MIN_CRASHES and (
                    max(ages_ms) - min(ages_ms) > MIN_PART_SPREAD_S * MS_PER_S
                )
                assert not is_clear or report.key == SOUND or all(are_out)


def test_entries_agree_on_what_is_kept_out():
    run_state_machine_as_test(QuarantineMachine, settings=OPTIONS)


class IgnoresUpdates(CrashQuarantine):
    """Keeps to what the entry saw itself."""

    def merge(self, reports, *, now_s):
        """Merge nothing."""


class IgnoresSuccesses(CrashQuarantine):
    """Blames each part of a prompt under which instances crashed."""

    def record_success(self, parts, *, now_s):
        """Record nothing."""


@pytest.mark.parametrize("faulty", [IgnoresUpdates, IgnoresSuccesses])
def test_quarantine_machine_detects_faulty_quarantines(faulty):
    class FaultyMachine(QuarantineMachine):
        quarantine_class = faulty

    with pytest.raises(AssertionError):
        run_state_machine_as_test(FaultyMachine, settings=FIRST_FAILURE)


DEADLY = "request-dead"
HOT = "request-b075"  # sound, and often in progress beside the deadly one
STABILITY_WINDOW_S = 3.0
MAX_LATE_REQUESTS = 3
names = [EntryId(f"n{number}") for number in range(ENTRIES)]


class RequestMachine(RuleBasedStateMachine):
    """One request ends each instance, sound ones run beside it, answers are lost."""

    quarantine_class = CrashQuarantine

    def __init__(self):
        super().__init__()
        self.clock = PausedClock()
        self.entries = [self.make(number) for number in range(ENTRIES)]
        self.disturbed_s = [float("-inf")] * ENTRIES  # latest time out of touch
        self.cut_off, self.frozen = set(), set()
        self.life_count = 0
        self.crashed_s = []  # by the deadly request
        self.late = []
        self.living = []  # instances that lost an answer and go on

    def make(self, number):
        entry = self.quarantine_class(policy=ConsecutiveCrashes())
        entry.set_members(entry=names[number], members=names)
        return entry

    def make_instance(self):
        self.life_count += 1
        return FleetInstance(
            id=InstanceId(f"i-{self.life_count}"),
            service="book",
            address="10.0.0.1:80",
            failure_domain="a",
            slots=6,
        )

    @property
    def now_s(self):
        return self.clock.now()

    @rule(number=entries, beside=st.none() | entries)
    def send_deadly(self, number, beside):
        """Send the deadly request; another entry may have a sound one in progress."""
        entry = self.entries[number]
        if number in self.frozen or entry.admit([DEADLY], now_s=self.now_s) is not None:
            return
        in_touch_s = self.disturbed_s[number] + STABILITY_WINDOW_S
        if number not in self.cut_off and self.now_s > in_touch_s:
            if len(self.crashed_s) >= 3:
                third_s = self.crashed_s[2]
                if self.now_s > third_s + STABILITY_WINDOW_S:
                    self.late.append(self.now_s)
        self.crashed_s.append(self.now_s)
        instance = self.make_instance()
        entry.record_crash([DEADLY], instance, now_s=self.now_s)
        if beside is not None and beside not in self.frozen:
            if self.entries[beside].admit([HOT], now_s=self.now_s) is None:
                self.entries[beside].record_crash([HOT], instance, now_s=self.now_s)

    @rule(numbers=st.lists(entries, min_size=3, max_size=6))
    def send_deadly_again_and_again(self, numbers):
        for number in numbers:
            self.send_deadly(number, numbers[0])
            self.advance(0.3)

    @rule(number=entries)
    def serve(self, number):
        """Serve a sound request, unless its entry keeps it out."""
        entry = self.entries[number]
        if number not in self.frozen and entry.admit([HOT], now_s=self.now_s) is None:
            entry.record_success([HOT], now_s=self.now_s)

    @rule(number=entries)
    def lose_answer(self, number):
        """Lose the answer of an instance that lives on."""
        entry = self.entries[number]
        if number not in self.frozen and entry.admit([HOT], now_s=self.now_s) is None:
            self.living.append((self.now_s, self.make_instance()))
            entry.record_crash([HOT], self.living[-1][1], now_s=self.now_s)

    def register_living(self):
        """Let entries that run see the registrations of instances that live on."""
        for at_s, instance in self.living:
            for number, entry in enumerate(self.entries):
                if number not in self.frozen and self.now_s - at_s > 1.0:
                    entry.record_alive(instance, since_s=self.now_s - 0.9)

    @rule(number=entries)
    def boot(self, number):
        self.entries[number] = self.make(number)
        self.frozen.discard(number)
        self.disturb(number)

    @rule(number=entries)
    def toggle_cut(self, number):
        self.cut_off ^= {number}
        self.disturb(number)

    @rule(number=entries)
    def toggle_freeze(self, number):
        self.frozen ^= {number}
        self.disturb(number)

    def disturb(self, number):
        self.disturbed_s[number] = self.now_s
        self.repeat_notable_keys()

    def repeat_notable_keys(self):
        for entry in self.entries:
            for key in entry.notable():
                entry.add_news(key)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5, 4.0]))
    def advance(self, seconds):
        for _ in range(max(round(seconds / 0.5), 1)):
            self.clock.advance(min(seconds, 0.5))
            self.register_living()
            self.send_updates()

    def send_updates(self):
        hearing = [
            number
            for number in range(ENTRIES)
            if number not in self.cut_off | self.frozen
        ]
        for number in hearing:
            sender = self.entries[number]
            sender.expire(now_s=self.now_s)
            reports = sender.take_reports(now_s=self.now_s)
            alive = sender.take_alive(now_s=self.now_s)
            for receiver in hearing:
                if receiver != number:
                    self.entries[receiver].merge(reports, now_s=self.now_s)
                    self.entries[receiver].merge_alive(alive, now_s=self.now_s)

    @invariant()
    def deadly_request_is_stopped(self):
        assert len(self.late) <= MAX_LATE_REQUESTS, f"{len(self.late)} came late"

    def teardown(self):
        """Let all hear each other: the one is out, the other one is let in again."""
        self.cut_off, self.frozen = set(), set()
        self.repeat_notable_keys()
        self.advance(1.0)
        for _ in range(150):
            for number in range(ENTRIES):
                self.serve(number)
            self.advance(1.5)
        assert not any(e.find_quarantined([HOT]) for e in self.entries), "kept out"
        for entry in self.entries:
            if DEADLY in entry.notable():
                crashes = len(entry._suspects[DEADLY].crashes)
                is_out = entry.find_quarantined([DEADLY]) is not None
                assert is_out is (crashes >= MIN_CRASHES)


def test_one_deadly_request_is_kept_out_and_those_beside_it_are_not():
    run_state_machine_as_test(RequestMachine, settings=OPTIONS)


class IgnoresLives(CrashQuarantine):
    """Takes each lost answer for a crash for good."""

    def record_alive(self, instance, *, since_s):
        """Record nothing."""


class TriesEverywhere(CrashQuarantine):
    """Lets every entry try a request whose crashes another one explains."""

    def _is_turn(self, key, history, now_s):
        return True


@pytest.mark.parametrize("faulty", [IgnoresUpdates, IgnoresLives, TriesEverywhere])
def test_request_machine_detects_faulty_quarantines(faulty):
    class FaultyMachine(RequestMachine):
        quarantine_class = faulty

    options = settings(FIRST_FAILURE, max_examples=400)
    with pytest.raises(AssertionError, match="came late|kept out"):
        run_state_machine_as_test(FaultyMachine, settings=options)
