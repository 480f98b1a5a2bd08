"""Tests of checkpoints: when they are written, restored, compared and rejected."""

import msgspec
import pytest

from citronpin.basics.events import EventKind
from citronpin.basics.ids import CONFIG_STREAM, EntryId, RecordId, checkpoint_stream
from citronpin.state.checkpointers import Checkpointer
from citronpin.state.checkpoints import CHUNK_BYTES, checkpoint_records
from citronpin.state.folds import fold_for, state_digest
from citronpin.state.logs import MemoryLog
from citronpin.state.records import (
    CallIntent,
    CallOutcome,
    ConfigPart,
    DigestMark,
    EntryNote,
    GroupForm,
    InstanceBar,
    LeaseClaim,
    Record,
    ScopeChange,
    encode_record,
)
from citronpin.state.snapshots import decode_snapshot, encode_snapshot
from citronpin.tests.builders import (
    alarms,
    build_followers,
    change,
    customers,
    deployment,
)

CHECKPOINT_STREAM = checkpoint_stream(CONFIG_STREAM)


def put_record(log, *items, stream=CONFIG_STREAM, author="x", wall_ms=0):
    record = Record(1, RecordId("r"), EntryId(author), wall_ms, items)
    return log.put(stream, encode_record(record))


@pytest.fixture
def log(paused_clock):
    return MemoryLog(clock=paused_clock)


def start_followers(log, clock, name="entry-1", checkpoints=False, **more):
    followers = build_followers(log, clock, name)
    followers.follow(CONFIG_STREAM)
    if checkpoints:
        followers.checkpointer = Checkpointer(
            followers=followers,
            log=log,
            entry=EntryId(name),
            clock=clock,
            recorder=followers.recorder,
            **more,
        )
    clock.advance(0.01)
    return followers


@pytest.mark.parametrize(
    "stream, items",
    [
        (
            "config",
            (
                change(deployment(), customers()),
                ConfigPart("c", 0, 2, (ScopeChange("deployment/b", -1, None),)),
                EntryNote("e", "tcp://127.0.0.1:1", "sapporo"),
            ),
        ),
        (
            "control.a",
            (
                LeaseClaim(-1),
                GroupForm(0, "g", "rota", ("i-1", "i-2"), "m", "1"),
                InstanceBar(0, "i-3", True, "slow"),
            ),
        ),
        (
            "calls.0",
            (CallIntent("k", "d", "e", "a"), CallOutcome("k", "e", "complete", 200)),
        ),
    ],
)
def test_a_state_survives_its_snapshot(stream, items):
    fold = fold_for(stream)
    record = Record(1, "r", "x", 0, items, writer="w", sequence=4)
    state, verdicts = fold.apply(fold.empty(), 0, record)
    assert all(verdict.accepted for verdict in verdicts)
    decoded = decode_snapshot(stream, encode_snapshot(stream, state)).unwrap()
    assert decoded == state and state_digest(decoded) == state_digest(state)


def test_a_booting_entry_starts_from_the_latest_checkpoint(log, paused_clock):
    first = start_followers(
        log, paused_clock, checkpoints=True, min_bytes_since_mark=1_000
    )
    for number in range(30):
        put_record(log, change(deployment(f"d-{number}")))
    paused_clock.advance(10.0)
    assert first.checkpointer.written >= 1
    log.trim(CONFIG_STREAM, 30)
    second = start_followers(log, paused_clock, "entry-2")
    assert second.is_current(CONFIG_STREAM)
    assert second.state(CONFIG_STREAM) == first.state(CONFIG_STREAM)
    assert not alarms(first) and not alarms(second)


def test_checkpoints_go_on_by_age_when_nothing_is_published(log, paused_clock):
    put_record(log, change(deployment()))
    first = start_followers(log, paused_clock, checkpoints=True, retention_s=400.0)
    paused_clock.advance(1_000.0)
    assert 8 <= first.checkpointer.written <= 10


def test_the_next_entry_writes_when_the_first_does_not(log, paused_clock):
    for number in range(9):
        note = EntryNote(f"dead-{number}", "tcp://127.0.0.1:1", "a")
        put_record(log, note)
    first = start_followers(
        log, paused_clock, checkpoints=True, min_bytes_since_mark=100, stagger_s=5.0
    )
    paused_clock.advance(60.0)
    assert first.checkpointer.written >= 1


def test_an_entry_paused_beyond_the_retention_goes_on_from_a_checkpoint(
    log, paused_clock
):
    first = start_followers(
        log, paused_clock, checkpoints=True, min_bytes_since_mark=1_000
    )
    tail = first._tails[CONFIG_STREAM]
    paused = start_followers(log, paused_clock, "entry-2")
    paused._tails[CONFIG_STREAM]._log = MemoryLog(clock=paused_clock)
    for number in range(30):
        put_record(log, change(deployment(f"d-{number}")))
    paused_clock.advance(15.0)
    log.trim(CONFIG_STREAM, 30)
    paused._tails[CONFIG_STREAM]._log = log
    paused_clock.advance(30.0)
    assert paused.state(CONFIG_STREAM) == tail.state


def test_a_digest_that_differs_raises_an_alarm(log, paused_clock):
    first = start_followers(log, paused_clock)
    put_record(log, change(deployment()))
    put_record(log, DigestMark(0, state_digest(fold_for(CONFIG_STREAM).empty())))
    paused_clock.advance(0.1)
    assert [event.kind for event in alarms(first)] == [EventKind.ALARM]
    put_record(log, DigestMark(1, state_digest(first.state(CONFIG_STREAM))))
    paused_clock.advance(0.1)
    assert len(alarms(first)) == 1


def test_a_large_checkpoint_is_restored_and_a_damaged_one_skipped(log, paused_clock):
    fold = fold_for(CONFIG_STREAM)
    state = fold.empty()
    names = tuple(f"adapter-{n:04d}" for n in range(4_000))
    for offset in range(12):
        manifest = deployment(f"d-{offset}", adapters=names)
        record = Record(1, "r", "x", 0, (change(manifest),))
        state, _ = fold.apply(state, offset, record)
        log.put(CONFIG_STREAM, encode_record(record))
    payloads = checkpoint_records(EntryId("x"), 0, state)
    assert len(payloads) > 2 and max(map(len, payloads)) <= CHUNK_BYTES + 256
    for payload in payloads:
        log.put(CHECKPOINT_STREAM, payload)
    later, _ = fold.apply(state, 12, Record(1, "r", "x", 0, (change(deployment()),)))
    log.put(
        CONFIG_STREAM, encode_record(Record(1, "r", "x", 0, (change(deployment()),)))
    )
    for payload in checkpoint_records(EntryId("y"), 0, later):
        record = msgspec.msgpack.decode(payload)
        record[4][0][5] = bytes(len(record[4][0][5]))
        log.put(CHECKPOINT_STREAM, msgspec.msgpack.encode(record))
    log.trim(CONFIG_STREAM, 12)
    booted = start_followers(log, paused_clock, "entry-2")
    assert booted.state(CONFIG_STREAM) == later
    assert len(alarms(booted)) == 1


def test_without_records_or_checkpoint_an_entry_is_never_current(log, paused_clock):
    for number in range(3):
        put_record(log, change(deployment(f"d-{number}")))
    log.trim(CONFIG_STREAM, 2)
    first = start_followers(log, paused_clock)
    paused_clock.advance(60.0)
    assert not first.is_current(CONFIG_STREAM)
    faults = [e for e in first.recorder.since() if e.kind is EventKind.FAULT]
    assert len(faults) == 1
