"""Tests of the facts that entries share: their merge, expiry and bounds."""

import msgspec
import pytest
from hypothesis import given, strategies as st

from citronpin.basics.clocks import PausedClock
from citronpin.basics.ids import EntryId
from citronpin.gateway import facts as module
from citronpin.gateway.facts import (
    FORWARDED_COPIES,
    MAX_KEPT_FACTS,
    MAX_TTL_S,
    MAX_UPDATE_FACTS,
    MAX_VERSION,
    REMEMBERED_S,
    Facts,
)
from citronpin.peers.codecs import Envelope, FrameCodec
from citronpin.peers.messages import Fact, StatusUpdate

TTL_S = 2.0
RELAYS = frozenset(map(EntryId, ("r0", "r1", "r2", "r3", "r4")))


def make_facts(clock, entry="n0"):
    return Facts(entry=EntryId(entry), clock=clock, is_shared=True)


def fact(subject="i-1", value=1.0, version=5, source="n9", kind="kind", ttl_ms=2000):
    return Fact(kind, subject, value, version, EntryId(source), ttl_ms)


def contents(facts):
    """Return the kept facts and when they expire."""
    return {key: (kept.fact, kept.expires_s) for key, kept in facts._kept.items()}


@pytest.fixture
def facts(paused_clock):
    return make_facts(paused_clock)


# Few names and versions, so that facts of the same subject compete.
COMPETING_FACTS = st.lists(
    st.builds(
        Fact,
        st.sampled_from(["suspect", "withdrawn", "other"]),
        st.sampled_from(["a", "b", "c", "d"]),
        st.sampled_from([0.0, 1.0, 2.0]),
        st.integers(1, 4),
        st.sampled_from(["n1", "n2", "n3"]),
        st.sampled_from([500, 1000, 2000]),
    ),
    max_size=20,
)


def merged(*parts, kept_limit=MAX_KEPT_FACTS):
    """Return the contents after merging lists of facts in order."""
    facts = make_facts(PausedClock())
    original, module.MAX_KEPT_FACTS = module.MAX_KEPT_FACTS, kept_limit
    try:
        for part in parts:
            facts.apply(part, source=EntryId("n1"))
    finally:
        module.MAX_KEPT_FACTS = original
    return without_ttl(contents(facts))


def merged_facts(*parts, **options):
    return aged(merged(*parts, **options))


def aged(found):
    """Return facts with the time that they have left, as an update carries them."""
    return [
        msgspec.structs.replace(told, ttl_ms=round(expires_s * 1000))
        for told, expires_s in found.values()
    ]


def without_ttl(found):
    """Return contents without the time to live of the copy that arrived first."""
    return {
        key: (msgspec.structs.replace(told, ttl_ms=1), expires_s)
        for key, (told, expires_s) in found.items()
    }


@pytest.mark.parametrize("kept_limit", [3, MAX_KEPT_FACTS])
@given(first=COMPETING_FACTS, second=COMPETING_FACTS)
def test_merging_is_commutative_also_with_too_many_facts(kept_limit, first, second):
    one = merged(first, second, kept_limit=kept_limit)
    assert one == merged(second, first, kept_limit=kept_limit)


@pytest.mark.parametrize("kept_limit", [3, MAX_KEPT_FACTS])
@given(first=COMPETING_FACTS, second=COMPETING_FACTS, third=COMPETING_FACTS)
def test_merging_is_associative(kept_limit, first, second, third):
    limit = {"kept_limit": kept_limit}
    left = merged(merged_facts(first, second, **limit), third, **limit)
    right = merged(first, merged_facts(second, third, **limit), **limit)
    assert left == right


@given(first=COMPETING_FACTS)
def test_merging_is_idempotent(first):
    once = merged(first)
    assert merged(first, first) == once
    assert merged(first, aged(once)) == once


@given(first=COMPETING_FACTS, order=st.randoms(use_true_random=False))
def test_any_order_and_repetition_gives_the_same_facts(first, order):
    shuffled = first + first[::2]
    order.shuffle(shuffled)
    assert merged(first) == merged(shuffled)


def test_a_fact_expires_by_its_age(paused_clock, facts):
    facts.put("kind", "i-1", 3.0, ttl_s=TTL_S)
    paused_clock.advance(TTL_S - 0.01)
    assert facts.get("kind", "i-1").value == 3.0
    assert [found.subject for found in facts.of_kind("kind")] == ["i-1"]
    paused_clock.advance(0.02)
    assert facts.get("kind", "i-1") is None
    assert facts.of_kind("kind") == []
    assert facts.take_news() == () and facts.current(own_only=False) == ()


def test_the_age_of_a_fact_travels_with_it(paused_clock, facts):
    # Without it, each hop would give the fact its full time again.
    facts.put("kind", "i-1", 3.0, ttl_s=TTL_S)
    paused_clock.advance(1.5)
    (told,) = facts.take_news()
    other = make_facts(paused_clock, "n1")
    other.apply([told], source=EntryId("n0"))
    paused_clock.advance(0.6)
    assert other.get("kind", "i-1") is None


def test_a_delayed_copy_does_not_revive_an_expired_fact(paused_clock, facts):
    # With a delay beyond the time to live, two relays would tell it for ever.
    facts.set_relays(RELAYS | {"n0"}, forwards=True)
    facts.apply([fact(ttl_ms=1000)], source=EntryId("r1"))
    facts.take_news()
    paused_clock.advance(1.2)
    facts.apply([fact(ttl_ms=1000)], source=EntryId("r2"))
    assert facts.get("kind", "i-1") is None
    assert not facts.has_news
    paused_clock.advance(REMEMBERED_S)
    facts.set_relays(RELAYS, forwards=False)
    assert not contents(facts)


def test_a_newer_fact_replaces_one_of_a_clock_that_is_ahead(paused_clock, facts):
    ahead = paused_clock.wall_ms() + 3_600_000
    facts.apply([fact(value=1.0, version=ahead)], source=EntryId("n9"))
    facts.put("kind", "i-1", 2.0, ttl_s=TTL_S)
    (told,) = facts.take_news()
    assert told.version == ahead + 1 and facts.get("kind", "i-1").value == 2.0


def test_a_known_value_is_told_again_only_after_half_its_time(paused_clock, facts):
    facts.put("kind", "i-1", 3.0, ttl_s=TTL_S)
    assert len(facts.take_news()) == 1
    facts.put("kind", "i-1", 3.0, ttl_s=TTL_S)
    assert not facts.has_news
    paused_clock.advance(TTL_S / 2 + 0.01)
    facts.put("kind", "i-1", 3.0, ttl_s=TTL_S)
    assert len(facts.take_news()) == 1
    facts.put("kind", "i-1", 4.0, ttl_s=TTL_S)
    assert len(facts.take_news()) == 1


def test_callbacks_get_each_newer_fact_of_other_entries_once(facts):
    heard = []
    facts.subscribe("kind", heard.append)
    facts.put("kind", "i-0", 1.0, ttl_s=TTL_S)
    old, new = fact(version=5), fact(version=6)
    for told in (new, new, old, fact(kind="other")):
        facts.apply([told], source=EntryId("n9"))
    assert heard == [new]


def test_a_relay_passes_on_kinds_that_it_does_not_know(facts):
    facts.set_relays(frozenset([EntryId("n0")]), forwards=True)
    facts.apply([fact(kind="of-a-later-build")], source=EntryId("n9"))
    (told,) = facts.take_news()
    assert (told.kind, told.source) == ("of-a-later-build", "n9")
    assert facts.take_news() == ()


def test_an_entry_that_is_no_relay_tells_only_its_own_facts(facts):
    facts.set_relays(RELAYS, forwards=False)
    facts.apply([fact()], source=EntryId("r0"))
    assert not facts.has_news
    facts.put("kind", "i-2", 1.0, ttl_s=TTL_S)
    assert [told.subject for told in facts.take_news()] == ["i-2"]
    assert [told.subject for told in facts.current(own_only=True)] == ["i-2"]
    assert len(facts.current(own_only=False)) == 2


def copies_without_losses(clock, relays):
    """Return who forwards a fact when all relays send updates in turn."""
    all_facts = {name: make_facts(clock, name) for name in relays}
    for facts in all_facts.values():
        facts.set_relays(frozenset(relays), forwards=True)
        facts.apply([fact()], source=EntryId("n9"))
    senders = []
    for _ in range(2):
        for name, facts in all_facts.items():
            told = facts.take_news()
            senders += [name] * len(told)
            for other, others in all_facts.items():
                if other != name:
                    others.apply(told, source=name)
    return senders


def test_two_relays_forward_a_fact(paused_clock):
    # Eight copies of each fact would cost relays four times the bytes.
    assert len(copies_without_losses(paused_clock, RELAYS)) == FORWARDED_COPIES


def test_the_other_relays_forward_a_fact_that_two_did_not(paused_clock, facts):
    all_facts = {name: make_facts(paused_clock, name) for name in RELAYS}
    for facts in all_facts.values():
        facts.set_relays(RELAYS, forwards=True)
        facts.apply([fact()], source=EntryId("n9"))
    early = [name for name, facts in all_facts.items() if facts.take_news()]
    assert len(early) == FORWARDED_COPIES
    # Neither of the two reaches the others.
    late = [name for name, facts in all_facts.items() if facts.take_news()]
    assert set(late) == RELAYS - set(early)


def test_a_relay_that_resigns_forwards_no_more(facts):
    facts.set_relays(frozenset([EntryId("n0")]), forwards=True)
    facts.apply([fact()], source=EntryId("n9"))
    facts.set_relays(RELAYS, forwards=False)
    assert not facts.has_news


def test_an_update_carries_the_newest_facts_first(paused_clock, facts):
    count = MAX_UPDATE_FACTS + 6
    for number in range(count):
        facts.put("kind", f"i-{number}", 1.0, ttl_s=TTL_S)
        paused_clock.advance(0.001)
    first, second = facts.take_news(), facts.take_news()
    assert [told.subject for told in first] == [
        f"i-{number}" for number in reversed(range(6, count))
    ]
    assert [told.subject for told in second] == [
        f"i-{number}" for number in reversed(range(6))
    ]


def test_the_number_of_kept_facts_is_bounded(facts, caplog):
    for number in range(MAX_KEPT_FACTS + 10):
        told = fact(subject=f"i-{number}", version=number + 1)
        facts.apply([told], source=EntryId("n9"))
    assert facts.count == MAX_KEPT_FACTS and facts.dropped == 10
    assert facts.get("kind", "i-9") is None
    assert facts.get("kind", "i-10") is not None
    assert caplog.messages.count("facts of entries dropped") == 1


def test_an_update_with_too_many_facts_is_cut(facts):
    told = [fact(subject=f"i-{number}") for number in range(MAX_UPDATE_FACTS + 10)]
    facts.apply(told, source=EntryId("n9"))
    assert facts.count == MAX_UPDATE_FACTS


@pytest.mark.parametrize(
    "bad",
    [
        fact(value=float("nan")),
        fact(value=float("inf")),
        fact(version=0),
        fact(version=MAX_VERSION + 1),
        fact(ttl_ms=0),
        fact(ttl_ms=int(MAX_TTL_S * 1000) + 1),
        fact(subject="x" * 300),
        fact(kind="x" * 300),
        fact(source="x" * 300),
    ],
)
def test_a_malformed_fact_is_dropped_and_counted(facts, bad):
    # A version beyond the integers of the wire would end all later updates.
    facts.apply([bad, fact(subject="i-2")], source=EntryId("n9"))
    assert facts.get("kind", bad.subject) is None
    assert facts.get("kind", "i-2") is not None
    assert facts.dropped == 1
    facts.put("kind", bad.subject, 1.0, ttl_s=TTL_S)
    assert msgspec.msgpack.encode(facts.take_news())


def test_without_sharing_no_fact_is_told_or_kept(paused_clock):
    facts = Facts(entry=EntryId("n0"), clock=paused_clock)
    facts.put("kind", "i-1", 1.0, ttl_s=TTL_S)
    facts.apply([fact()], source=EntryId("n9"))
    assert not facts.has_news and facts.count == 0
    assert facts.get("kind", "i-1") is None


class OldStatusUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag=StatusUpdate.__struct_config__.tag
):
    """A status update as builds before the field `facts` know it."""

    loads: dict = {}
    suspects: tuple = ()
    traffic: bool = False
    store_lost: bool = False
    heads: tuple = ()
    relay: bool = False
    positions: tuple = ()
    crashes: tuple = ()
    limits: tuple = ()
    alive: dict = {}
    cut_off: tuple = ()
    leaving: dict = {}


class OldEnvelope(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    sequence: int
    message: OldStatusUpdate


def test_an_older_build_ignores_the_facts_of_an_update():
    codec = FrameCodec(key=b"key")
    codec._decode = msgspec.msgpack.Decoder(OldEnvelope).decode
    update = StatusUpdate(suspects=("i-1",), leaving={"i-2": 4}, facts=(fact(),))
    frame = codec.encode(sender=EntryId("n0"), sequence=1, message=update).unwrap()
    old = codec.decode(frame).unwrap().message
    assert (old.suspects, old.leaving) == (("i-1",), {"i-2": 4})


def test_an_update_of_an_older_build_has_no_facts():
    old = OldEnvelope("n0", 1, OldStatusUpdate(suspects=("i-1",)))
    data = msgspec.msgpack.encode(old)
    update = msgspec.msgpack.decode(data, type=Envelope).message
    assert update == StatusUpdate(suspects=("i-1",))
