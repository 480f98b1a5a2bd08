"""State machine over the feed of the configuration and a store with faults.

Whatever the store does, each change is in force within its bound once the store answers
again, and no older version follows a newer one.
"""

import json

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from citronpin.basics.clocks import PausedClock
from citronpin.platform.feeds import CONFIG_KEY, CONFIG_TOPIC, ConfigFeed
from citronpin.platform.stores import LogStore
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.simulations import STORE_ADDRESS, wire_config
from citronpin.tests.platforms.stores import READ_HEADER, PlatformStore

APPLY_S = 2.0
HELD_READ_STEP_S = 0.1
FAULTS = ["down", "silent", "stale"]
OPTIONS = settings(
    max_examples=50,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class ConfigMachine(RuleBasedStateMachine):
    """Changes the configuration, breaks and mends the store, and lets time pass."""

    feed_class = ConfigFeed

    def __init__(self):
        super().__init__()
        self.clock = PausedClock()
        self.store = PlatformStore(clock=self.clock)
        self.applied = []
        self.written = []  # (clock time in s, version)
        self.pauses_s = []  # (clock time at which the process stood still, duration)
        self.fault = None
        self.fault_end_s = 0.0
        client = MemoryClient(clock=self.clock)
        client.handlers[STORE_ADDRESS] = self.answer
        self.change(1)
        self.feed = self.feed_class(
            store=LogStore(client=client, address=STORE_ADDRESS),
            clock=self.clock,
            apply=lambda cfg: self.applied.append(cfg.version),
            apply_s=APPLY_S,
        )
        self.feed.start()
        self.clock.advance(0.1)

    def answer(self, exchange, waited_s=0.0):
        """Answer a call; hold a read without records, and lose it while silent."""
        answer = self.store.handle(exchange.method, exchange.target, exchange.body)
        if answer is None or exchange.ended:
            return
        wait_ms = exchange.target.partition("wait-ms=")[2]
        has_no_records = answer[0] == 200 and len(answer[1]) == READ_HEADER.size
        if has_no_records and waited_s < int(wait_ms or 0) / 1_000:
            self.clock.call_later(
                HELD_READ_STEP_S,
                lambda: self.answer(exchange, waited_s + HELD_READ_STEP_S),
            )
            return
        exchange.answer(*answer)

    def put(self, version):
        data = json.dumps(wire_config(version=version)).encode()
        self.store.put(CONFIG_TOPIC, CONFIG_KEY, data)

    @rule(step=st.integers(1, 4))
    def change(self, step):
        newest = self.written[-1][1] if self.written else 0
        self.put(newest + step)
        self.written.append((self.clock.now(), newest + step))

    @rule()
    def repeat_the_newest_version(self):
        self.put(self.written[-1][1])

    @rule()
    def delete_records(self):
        self.store.delete_records(CONFIG_TOPIC)

    @precondition(lambda self: self.fault is None)
    @rule(fault=st.sampled_from(FAULTS))
    def begin_fault(self, fault):
        self.fault = fault
        self.set_fault(True)

    @precondition(lambda self: self.fault is not None)
    @rule()
    def end_fault(self):
        self.set_fault(False)
        self.fault = None
        self.fault_end_s = self.clock.now()

    @precondition(lambda self: self.fault is None)
    @rule(
        fault=st.sampled_from(FAULTS),
        seconds=st.sampled_from([0.3, 1.7, 4.0]),
        deleted=st.booleans(),
    )
    def change_right_after_a_fault(self, fault, seconds, deleted):
        self.begin_fault(fault)
        self.advance(seconds)
        self.end_fault()
        self.change(1)
        if deleted:
            self.delete_records()
        self.advance(APPLY_S + 0.1)

    def set_fault(self, is_on):
        if self.fault == "stale":
            self.store.set_stale(CONFIG_TOPIC, is_on)
        else:
            setattr(self.store, self.fault, is_on)

    @rule(seconds=st.sampled_from([0.5, 1.6, 3.0]))
    def process_stands_still(self, seconds):
        """Let answers wait for the process, which then runs its late timers."""
        self.pauses_s.append((self.clock.now(), seconds))
        self.clock.jump(seconds)
        self.clock.advance(0.0)

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.1, 2.1]))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def versions_only_increase(self):
        assert self.applied == sorted(set(self.applied))

    @invariant()
    def changes_are_in_force_in_time(self):
        due_s = self.clock.now() - APPLY_S
        if self.fault is not None or self.fault_end_s > due_s:
            return
        if any(start_s + pause_s > due_s for start_s, pause_s in self.pauses_s):
            return
        assert self.has_applied_all_due()

    def has_applied_all_due(self):
        due_s = self.clock.now() - APPLY_S
        due = [version for written_s, version in self.written if written_s <= due_s]
        return not due or self.applied[-1] >= due[-1]

    @invariant()
    def a_current_feed_has_every_change_that_is_due(self):
        # Whatever the store and the process did: this decides final refusals.
        assert not self.feed.is_current or self.has_applied_all_due()


def test_configuration_is_in_force_in_time_under_store_faults():
    run_state_machine_as_test(ConfigMachine, settings=OPTIONS)


class ReadsForTooLong(ConfigFeed):
    """Gives up a read only after the time in which a change must be in force."""

    def __init__(self, **options):
        super().__init__(**options)
        self._long_poll_s = 3.5


class AppliesWhatItReads(ConfigFeed):
    """Applies also versions that are older than the applied one."""

    def _apply_record(self, record):
        self._version = -1
        super()._apply_record(record)


class IgnoresDeletedRecords(ConfigFeed):
    """Retries the same offset after its records were deleted."""

    def _handle_failure(self, result):
        offset = self._offset
        failed = super()._handle_failure(result)
        if failed:
            self._offset = offset
        return failed


class TakesAnswersForCurrent(ConfigFeed):
    """Takes an answer for the state of the store at the time when it is processed."""

    def _on_read_succeeded(self, current_s):
        super()._on_read_succeeded(self._clock.now())


@pytest.mark.parametrize(
    "faulty",
    [
        ReadsForTooLong,
        AppliesWhatItReads,
        IgnoresDeletedRecords,
        TakesAnswersForCurrent,
    ],
)
def test_config_machine_detects_faulty_feeds(faulty):
    class FaultyMachine(ConfigMachine):
        feed_class = faulty

    with pytest.raises(AssertionError):
        run_state_machine_as_test(FaultyMachine, settings=OPTIONS)
