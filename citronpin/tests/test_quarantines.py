"""Tests of the quarantine of parts of prompts under which instances crash."""

import pytest

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import EntryId, InstanceId
from citronpin.gateway.fleets import FleetInstance
from citronpin.gateway.quarantines import (
    MAX_KNOWN_KEYS,
    MAX_SUSPECTS,
    QUARANTINE_S,
    ConsecutiveCrashes,
    CrashQuarantine,
    QuarantinePolicy,
)
from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.crashes import (
    CALLER_PART,
    FIRST_EVENT_S,
    POISON,
    CrashWorld,
)
from citronpin.tests.platforms.requests import FrontHarness, instance_headers

# Promised: of the requests that come later than this after the fifth crash, at most
# three reach instances, and sound ones are served again after twice the time.
STABILITY_WINDOW_S = 3.0
MAX_LATE_REQUESTS = 3
WARM_UP_S = 2.0


def run_poison(world, seconds=12.0):
    """Serve sound requests, then mix in some with the part that crashes."""
    world.run(WARM_UP_S)
    world.run(seconds, poison_per_s=10)


def check_poison_was_stopped(world):
    fifth_s = world.crashed_s[4] if len(world.crashed_s) > 4 else world.crashed_s[-1]
    late = world.poison_sent_after(fifth_s + STABILITY_WINDOW_S)
    assert late <= MAX_LATE_REQUESTS, f"{late} requests with the part came late"


def check_sound_requests_are_served(world):
    last_s = world.crashed_s[min(4, len(world.crashed_s) - 1)]
    share = world.served_share(last_s + 2 * STABILITY_WINDOW_S)
    assert share > 0.9, f"{share:.2f} of the sound requests are served"


@pytest.mark.parametrize("seed, entries", [(0, 9), (1, 9), (2, 3), (3, 24)])
def test_requests_under_which_instances_crash_are_not_sent_to_one_after_the_other(
    paused_clock, seed, entries
):
    world = CrashWorld(clock=paused_clock, seed=seed, entries=entries)
    run_poison(world)
    check_poison_was_stopped(world)
    check_sound_requests_are_served(world)
    assert world.quarantined() == [{POISON}] * len(world.entries)


class Never(QuarantinePolicy):
    """Quarantines nothing, as before."""

    def is_harmful(self, key, history, *, now_s):
        return False


class CountsCrashes(QuarantinePolicy):
    """Quarantines each part with some crashes, whatever was served."""

    def is_harmful(self, key, history, *, now_s):
        return len(history.crashes) >= 1


def test_check_of_late_requests_detects_a_policy_that_never_quarantines(paused_clock):
    world = CrashWorld(clock=paused_clock, policy=Never())
    run_poison(world)
    with pytest.raises(AssertionError, match="came late"):
        check_poison_was_stopped(world)


def test_check_of_sound_requests_detects_that_all_parts_are_blamed(
    paused_clock, monkeypatch
):
    monkeypatch.setattr(CrashQuarantine, "may_try", lambda *args, **options: False)
    world = CrashWorld(clock=paused_clock, policy=CountsCrashes())
    run_poison(world)
    with pytest.raises(AssertionError, match="sound requests are served"):
        check_sound_requests_are_served(world)


def test_refused_request_tells_why_and_when_to_come_back(paused_clock):
    world = CrashWorld(clock=paused_clock)
    run_poison(world, 4.0)
    reply = world.send(CALLER_PART, POISON)
    assert (reply.status, reply.outcome) == (503, "not-run")
    assert POISON in reply.body.decode()
    assert float(reply.headers["retry-after"]) > QUARANTINE_S / 2


@pytest.mark.parametrize("seed", range(5))
def test_instances_lost_together_put_no_part_in_quarantine(paused_clock, seed):
    world = CrashWorld(clock=paused_clock, seed=seed)
    for _ in range(4):
        world.run(1.3, sound_per_s=60)
        for name in world.rng.sample(sorted(world.replicas), 12):
            world.replicas[name].crash()
    world.run(0.5)
    assert world.quarantined() == [set()] * len(world.entries)


def test_entry_that_starts_during_a_quarantine_learns_of_it(paused_clock):
    world = CrashWorld(clock=paused_clock)
    run_poison(world, 4.0)
    late = world.start_entry()
    paused_clock.advance(1.5)
    assert late.quarantine.find_quarantined([POISON]) == POISON


def test_entry_that_was_cut_off_learns_of_a_quarantine_when_it_is_back(paused_clock):
    world = CrashWorld(clock=paused_clock)
    lonely = world.entries[0]
    lonely.is_cut_off = True
    for entry in world.entries[1:]:
        del entry.peers[lonely.name]
    world.run(WARM_UP_S)
    for _ in range(40):
        world.send(POISON, entry=world.rng.choice(world.entries[1:]))
        world.run(0.1)
    assert lonely.quarantine.find_quarantined([POISON]) is None
    lonely.is_cut_off = False
    for entry in world.entries[1:]:
        entry.peers[lonely.name] = str(lonely.name)
    paused_clock.advance(1.5)
    assert lonely.quarantine.find_quarantined([POISON]) == POISON


def test_part_released_by_an_operator_is_sent_again_by_all_entries(paused_clock):
    world = CrashWorld(clock=paused_clock)
    run_poison(world, 4.0)
    world.entries[3].quarantine.release(POISON, now_s=paused_clock.now())
    paused_clock.advance(1.5)
    assert world.quarantined() == [set()] * len(world.entries)


def make_instance(number):
    return FleetInstance(
        id=InstanceId(f"i-{number}"),
        service="engines",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=9,
    )


@pytest.fixture
def quarantine():
    return CrashQuarantine(policy=ConsecutiveCrashes())


def crash(quarantine, parts, start_s, count=3):
    """Record crashes of instances, half a second apart."""
    for number in range(count):
        at_s = start_s + 0.5 * number
        instance = make_instance(f"{start_s}-{number}")
        quarantine.record_crash(parts, instance, now_s=at_s)


def test_quarantine_ends_after_its_time_and_one_more_crash_renews_it(quarantine):
    crash(quarantine, ["p"], 0.0)
    assert quarantine.find_quarantined(["o", "p"]) == "p"
    quarantine.expire(now_s=1.0 + QUARANTINE_S)
    assert quarantine.find_quarantined(["p"]) is None
    crash(quarantine, ["p"], 2.0 + QUARANTINE_S, count=1)
    assert quarantine.find_quarantined(["p"]) == "p"


def test_part_that_was_served_lately_takes_more_crashes(quarantine):
    quarantine.record_success(["p"], now_s=0.0)
    crash(quarantine, ["p"], 1.0, count=11)
    assert quarantine.find_quarantined(["p"]) is None
    crash(quarantine, ["p"], 7.0, count=1)
    assert quarantine.find_quarantined(["p"]) == "p"


def test_crashes_of_one_instance_count_once(quarantine):
    for at_s in range(9):
        quarantine.record_crash(["p"], make_instance(1), now_s=float(at_s))
    assert quarantine.find_quarantined(["p"]) is None


def test_success_anywhere_refutes_earlier_crashes_everywhere(quarantine):
    other = CrashQuarantine(policy=ConsecutiveCrashes())
    crash(quarantine, ["p"], 0.0)
    other.record_success(["p"], now_s=2.0)
    other.merge(quarantine.take_reports(now_s=2.1), now_s=2.1)
    assert other.find_quarantined(["p"]) is None
    quarantine.merge(other.take_reports(now_s=2.2), now_s=2.2)
    assert quarantine.find_quarantined(["p"]) is None


def test_memory_of_parts_is_bounded(quarantine):
    for number in range(3 * MAX_SUSPECTS):
        quarantine.record_crash([f"c{number}"], make_instance(1), now_s=1.0)
    for number in range(2 * MAX_KNOWN_KEYS):
        quarantine.record_success([f"s{number}"], now_s=1.0)
    assert len(quarantine._suspects) <= MAX_SUSPECTS
    assert len(quarantine._succeeded_s) <= MAX_KNOWN_KEYS


def test_part_in_quarantine_is_not_forgotten_for_others(quarantine):
    crash(quarantine, ["p"], 0.0)
    for number in range(3 * MAX_SUSPECTS):
        quarantine.record_crash([f"c{number}"], make_instance(1), now_s=5.0)
    assert quarantine.find_quarantined(["p"]) == "p"


def test_world_can_be_run_without_crashes():
    world = CrashWorld(clock=PausedClock())
    world.run(WARM_UP_S)
    world.clock.advance(1.0)
    assert not world.crashed_s and world.served_share(0.0) == 1.0


def test_stream_that_ends_without_an_event_is_not_taken_for_an_answer(paused_clock):
    # An answer without a length ends with its connection, also when the instance ends.
    world = CrashWorld(clock=paused_clock, entries=1)

    def end_at_once(exchange):
        exchange.answer(200, headers=instance_headers(exchange))

    for replica in world.replicas.values():
        world.entries[0].scripts[replica.name] = end_at_once
    reply = world.send("p")
    paused_clock.advance(1.0)
    assert reply.status == 502


def test_crash_under_parts_that_were_served_is_followed_by_another_attempt(
    paused_clock,
):
    # A later turn of a session shares what was the last part of the turn before.
    world = CrashWorld(clock=paused_clock, entries=1)
    entry = world.entries[0]
    entry.send("/draft/1", **{HEADERS.prompt_parts: "sys:40,turn1:100"})
    paused_clock.advance(2.0)
    reply = entry.send("/draft/1", **{HEADERS.prompt_parts: "sys:40,turn1:100,turn2:9"})
    paused_clock.advance(FIRST_EVENT_S / 2)
    for replica in world.replicas.values():
        if replica.running:
            replica.crashes_at_next_answer = True
    paused_clock.advance(3.0)
    assert reply.status == 200 and len(world.sent) == 3


def test_crash_under_a_part_that_nobody_was_served_is_not_repeated(paused_clock):
    world = CrashWorld(clock=paused_clock, entries=1)
    reply = world.send(POISON)
    paused_clock.advance(3.0)
    assert reply.status == 502 and len(world.crashed_s) == 1


def test_part_that_another_one_explains_is_tried_once_in_a_while(quarantine):
    # All requests with the one had the other, so either can be to blame.
    crash(quarantine, ["p", "q"], 0.0)
    assert quarantine.admit(["p", "q"], now_s=2.0) == "p"
    assert quarantine.admit(["q"], now_s=2.0) is None
    assert quarantine.admit(["q"], now_s=2.1) == "q"
    quarantine.record_success(["q"], now_s=2.2)
    assert quarantine.admit(["q"], now_s=2.3) is None
    assert quarantine.admit(["p"], now_s=9.0) == "p"


def test_part_under_which_a_trial_ended_an_instance_is_not_tried_again(quarantine):
    crash(quarantine, ["p", "q"], 0.0)
    assert quarantine.admit(["p"], now_s=2.0) is None
    crash(quarantine, ["p"], 2.1, count=1)
    assert quarantine.admit(["p"], now_s=9.0) == "p"
    assert quarantine.admit(["q"], now_s=9.0) is None


def test_entries_with_many_crashes_do_not_answer_each_other_without_end():
    pair = [CrashQuarantine(policy=ConsecutiveCrashes()) for _ in range(2)]
    for number, one in enumerate(pair):
        crash(one, ["p"], float(number), count=40)
    for step in range(20):
        for one, other in (pair, pair[::-1]):
            now_s = 30.0 + 0.15 * step
            other.merge(one.take_reports(now_s=now_s), now_s=now_s + 0.1)
    assert not any(one.has_news for one in pair)


def check_deadly_request_was_stopped(world):
    """Check that at most three come late, after it has crashed three instances."""
    assert len(world.deadly_crashed_s) >= 3
    third_s = world.deadly_crashed_s[2]
    late = sum(at_s > third_s + STABILITY_WINDOW_S for at_s, _ in world.deadly_sent)
    assert late <= MAX_LATE_REQUESTS, f"{late} of {len(world.deadly_sent)} came late"


@pytest.mark.parametrize("entries", [3, 9, 24])
@pytest.mark.parametrize(
    "target, after_head",
    [
        ("/look-up/deadly", False),
        ("/swap/deadly", False),
        ("/draft/deadly", False),
        ("/draft/deadly", True),
    ],
)
def test_one_request_does_not_crash_instance_after_instance(
    paused_clock, target, after_head, entries
):
    world = CrashWorld(clock=paused_clock, entries=entries, books=3)
    world.crashes_after_head = after_head
    world.run_deadly(2.0, target=target, deadly_per_s=0)
    world.run_deadly(20.0, target=target)
    check_deadly_request_was_stopped(world)
    start_s = world.deadly_crashed_s[2] + 2 * STABILITY_WINDOW_S
    assert world.reads_served_share(start_s) > 0.95
    assert world.served_share(start_s) > 0.95


def test_deadly_request_is_refused_at_once_with_its_fingerprint(paused_clock):
    world = CrashWorld(clock=paused_clock, books=3)
    world.run_deadly(8.0, target="/look-up/deadly")
    reply = world.entries[0].send("/look-up/deadly", "GET", b"")
    assert (reply.status, reply.outcome) == (503, "not-run")
    row = world.entries[0].quarantine.rows(now_s=paused_clock.now())[0]
    assert row["fingerprint"] in reply.body.decode() and row["crashes"] == 3
    assert float(reply.headers["retry-after"]) > QUARANTINE_S / 2
    other = world.entries[0].send("/look-up/deadly", "GET", b"other")
    paused_clock.advance(1.0)
    assert other.status != 503, "another body makes another request"


def test_entry_that_starts_or_was_cut_off_learns_which_request_is_deadly(paused_clock):
    world = CrashWorld(clock=paused_clock, books=3)
    lonely = world.entries[0]
    lonely.is_cut_off = True
    for entry in world.entries[1:]:
        del entry.peers[lonely.name]
    world.entries, entries = world.entries[1:], world.entries
    world.run_deadly(8.0, target="/look-up/deadly")
    assert not lonely.quarantine.rows(now_s=paused_clock.now())
    world.entries = entries
    lonely.is_cut_off = False
    for entry in entries[1:]:
        entry.peers[lonely.name] = str(lonely.name)
    late = world.start_entry()
    paused_clock.advance(1.5)
    for entry in (lonely, late):
        assert entry.send("/look-up/deadly", "GET", b"").status == 503


@pytest.mark.parametrize("seed", range(3))
def test_instances_lost_in_turn_or_together_keep_no_request_out(paused_clock, seed):
    world = CrashWorld(clock=paused_clock, seed=seed, books=9)
    world.run_deadly(2.0, target="/look-up/deadly", deadly_per_s=0, reads_per_s=40)
    books = list(world.books.values())
    for count in (1, 1, 1, 1, 3, 3):
        for replica in world.rng.sample(books, count):
            replica.crash()
        world.run_deadly(0.8, target="/look-up/deadly", deadly_per_s=0, reads_per_s=40)
    for entry in world.entries:
        assert not entry.quarantine.rows(now_s=paused_clock.now())


class LosesAnswers:
    """An instance that resets the connection of each request, and goes on."""

    def __init__(self):
        self.count = 0

    def __call__(self, exchange):
        self.count += 1
        exchange.lose("reset")


def test_request_whose_connections_are_reset_is_sent_again(paused_clock):
    front = FrontHarness(clock=paused_clock, books=3)
    front.scripts["*"] = LosesAnswers()
    for _ in range(2):
        front.send("/look-up/1", "GET", b"")
        paused_clock.advance(0.1)
    assert front.send("/look-up/1", "GET", b"").status == 503
    for instance in list(front.fleet.of_service("book")):  # each registers again
        front.fleet.register(
            instance, now_s=paused_clock.now(), written_after_s=paused_clock.now()
        )
        front.quarantine.record_alive(
            instance, since_s=front.fleet.alive_since_s(instance.id)
        )
    front.scripts["*"] = lambda exchange: exchange.answer(
        200, b"{}", instance_headers(exchange)
    )
    reply = front.send("/look-up/1", "GET", b"")
    paused_clock.advance(0.1)
    assert reply.status == 200


def test_answer_of_the_same_life_shows_that_its_instance_did_not_crash(paused_clock):
    front = FrontHarness(clock=paused_clock, books=1)
    front.scripts["b0"] = LosesAnswers()
    front.send("/look-up/1", "GET", b"")
    paused_clock.advance(0.1)
    assert front.quarantine.has_lives
    front.scripts["b0"] = lambda exchange: exchange.answer(
        200, b"{}", instance_headers(exchange)
    )
    front.send("/look-up/2", "GET", b"")
    paused_clock.advance(0.1)
    assert not front.quarantine.has_lives


def test_answer_of_a_new_life_under_the_same_id_does_not_refute_a_crash(paused_clock):
    front = FrontHarness(clock=paused_clock, books=1)
    front.scripts["b0"] = LosesAnswers()
    front.send("/look-up/1", "GET", b"")
    paused_clock.advance(0.1)
    front.scripts["b0"] = lambda exchange: exchange.answer(
        200, b"{}", instance_headers(exchange)
    )
    paused_clock.advance(2.0)  # started again; its registration has not been read
    front.send("/look-up/2", "GET", b"")
    paused_clock.advance(0.1)
    assert front.quarantine.has_lives


def test_requests_that_were_withdrawn_or_refused_are_not_taken_for_crashes(
    paused_clock,
):
    front = FrontHarness(clock=paused_clock, books=3)
    front.scripts["*"] = lambda exchange: None
    for _ in range(4):
        reply = front.send("/look-up/1", "GET", b"")
        paused_clock.advance(0.1)
        reply.leave()
    front.scripts["*"] = lambda exchange: exchange.answer(
        503, b"", instance_headers(exchange, **{HEADERS.not_run: "1"})
    )
    front.send("/look-up/1", "GET", b"")
    paused_clock.advance(1.0)
    assert front.quarantine.is_empty


def test_sound_request_beside_a_deadly_one_is_tried_by_one_entry_at_a_time(quarantine):
    entries = [EntryId(f"n{number}") for number in range(9)]
    kept = [CrashQuarantine(policy=ConsecutiveCrashes()) for _ in entries]
    for name, one in zip(entries, kept):
        one.set_members(entry=name, members=entries)
        crash(one, ["request-hot", "request-dead"], 0.0)
        crash(one, ["request-dead"], 1.6, count=1)
    for turn in range(1, 8):
        now_s = 1.0 + 2.0 * turn + 0.5
        tried = [one.admit(["request-hot"], now_s=now_s) is None for one in kept]
        assert sum(tried) == 1
        assert all(one.admit(["request-dead"], now_s=now_s) for one in kept)


def test_request_that_no_other_explains_is_tried_once_a_minute_after_its_crash():
    entries = [EntryId(f"n{number}") for number in range(9)]
    kept = [CrashQuarantine(policy=ConsecutiveCrashes()) for _ in entries]
    for name, one in zip(entries, kept):
        one.set_members(entry=name, members=entries)
        crash(one, ["request-1"], 0.0)
    for now_s in (5.0, 20.0, 50.0):
        assert all(one.admit(["request-1"], now_s=now_s) for one in kept)
    assert sum(one.admit(["request-1"], now_s=61.5) is None for one in kept) == 1
    for one in kept:
        crash(one, ["request-1"], 61.6, count=1)
    for now_s in (70.0, 121.0, 150.0):
        assert all(one.admit(["request-1"], now_s=now_s) for one in kept)


@pytest.mark.parametrize("goes_on", [True, False])
def test_crashes_count_again_after_a_cut_unless_the_life_went_on(goes_on):
    # A request that ends all instances of a small service looks like a lost path.
    quarantine = CrashQuarantine(policy=ConsecutiveCrashes())
    key = "request-1"
    lives = [make_instance(number) for number in range(3)]
    for number, instance in enumerate(lives):
        quarantine.record_crash([key], instance, now_s=1.0 + 0.1 * number)
    assert quarantine.admit([key], now_s=1.5) == key
    quarantine.withdraw_crashes(since_s=1.15)
    assert quarantine.admit([key], now_s=1.5) is None
    if goes_on:
        quarantine.record_alive(lives[2], since_s=2.5)
    quarantine.restore_crashes(now_s=4.0)
    assert quarantine.admit([key], now_s=4.0) == (None if goes_on else key)
