"""The adapter: decoding, the store's client, feeds, leases and settings."""

import json

import pytest
from hypothesis import given, settings, strategies as st

from citronpin.basics.ids import DomainName, InstanceId
from citronpin.gateway.fleets import RELIST_GRACE_S, Fleet, Phase
from citronpin.gateway.routings import RequestKind
from citronpin.platform.decoders import (
    decode_config,
    decode_instance,
    decode_report,
)
from citronpin.platform.directories import StoreDirectory
from citronpin.platform.feeds import CONFIG_WAIT_S, ConfigFeed, FleetFeed
from citronpin.platform.leases import PartitionLeases
from citronpin.platform.processes import node_settings, read_process_settings
from citronpin.platform.stores import (
    Fenced,
    LogStore,
    OffsetMismatch,
    OutOfSequence,
    StoreRefused,
    StoreUnreachable,
    Trimmed,
    encode_record,
    parse_records,
)
from citronpin.tests.platforms.requests import ROUTES
from citronpin.tests.platforms.stores import PlatformStore
from citronpin.tests.platforms.wires import MemoryClient
from citronpin.tests.platforms.worlds import STORE, wire_config

ENTRY = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 9,
    "state": "ready",
    "domain": "d0",
    "models": [{"name": "small", "version": 1, "adapters": []}],
    "staged": ["small"],
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
    "born": 12,
    "sequence": 4,
}
DEEP = b"[" * 30_000


@pytest.fixture
def platform_store(paused_clock):
    return PlatformStore(clock=paused_clock)


@pytest.fixture
def client(paused_clock, platform_store):
    """A client that reaches the store unless the test cuts it."""
    made = MemoryClient(clock=paused_clock)

    def ask(exchange):
        answer = platform_store.handle(exchange.method, exchange.target, exchange.body)
        if answer is not None:
            exchange.answer(*answer)

    made.handlers[STORE] = ask
    return made


@pytest.fixture
def store(client):
    return LogStore(client=client, address=STORE)


def put_config(platform_store, version, **more):
    data = json.dumps(wire_config(version=version, **more)).encode()
    platform_store.put("keyed.op", "config", data)


def put_entry(platform_store, name, **more):
    data = json.dumps(ENTRY | more).encode()
    platform_store.put("keyed.servers", name, data)


def test_a_configuration_is_decoded_into_the_projects_words():
    data = json.dumps(wire_config(version=7, routes=ROUTES)).encode()
    cfg = decode_config(data).unwrap()
    draft = cfg.routes[0]
    assert cfg.version == 7 and draft.kind is RequestKind.STREAM and draft.repeatable
    assert (draft.timeout_s, draft.objective_s, draft.gap_objective_s) == (6, 0.3, 0.2)
    assert cfg.services[0].engine.model("big").size == 4
    assert cfg.tenants[0].keys == ("key-1",)


def test_a_route_may_lead_to_several_services():
    route = ROUTES[0] | {"backends": [{"service": "a", "weight": 90}], "service": None}
    cfg = decode_config(json.dumps(wire_config(routes=[route])).encode()).unwrap()
    assert cfg.routes[0].targets[0].weight == 90


def test_an_entry_is_decoded_with_its_group():
    found = decode_instance("i-1", json.dumps(ENTRY).encode()).unwrap()
    assert found.id == "i-1" and found.is_serving_head and found.staged == ("small",)
    assert found.membership.phase is Phase.OPEN and found.domain == "d0"


@pytest.mark.parametrize("decode", [decode_config, decode_report])
@pytest.mark.parametrize("data", [DEEP, b"", b"\xff", b"{}x", b"7", b'{"models":7}'])
def test_what_cannot_be_read_is_an_error_with_a_remedy(decode, data):
    error = decode(data).unwrap_err()
    assert error.remedy


@pytest.mark.parametrize(
    "change", [{"state": "asleep"}, {"service": 4}, {"group": {"name": "g"}}]
)
def test_entries_of_another_form_name_no_instance(change):
    assert decode_instance("i-1", json.dumps(ENTRY | change).encode()).is_err()


@given(data=st.binary(max_size=200) | st.sampled_from([DEEP, b'{"a":' * 20_000]))
@settings(derandomize=True, deadline=None)
def test_no_bytes_make_a_decoder_fail_otherwise(data):
    for result in (
        decode_config(data),
        decode_instance("i-1", data),
        decode_report(data),
    ):
        assert result.is_err()


@given(
    items=st.lists(
        st.tuples(st.text(min_size=1, max_size=20), st.binary(min_size=1)), max_size=5
    )
)
@settings(derandomize=True, deadline=None)
def test_keyed_records_survive_the_wire(items):
    records = [encode_record(key, value) for key, value in items]
    data = bytes(16) + b"".join(len(r).to_bytes(4, "big") + r for r in records)
    found = parse_records(data, offset=5)
    assert [(r.key, r.value) for r in found.records] == items
    assert found.next == 5 + len(items)


def test_an_empty_record_of_another_writer_spoils_no_other():
    data = bytes(16) + bytes(4)
    assert parse_records(data, offset=0).next == 1


@pytest.mark.parametrize(
    "status, body, kind",
    [
        (503, b"", StoreRefused),
        (429, b"", StoreRefused),
        (507, b"", StoreRefused),
        (409, b'{"reason":"fenced"}', Fenced),
        (409, b'{"reason":"seq","end":4}', OutOfSequence),
        (410, b'{"first":9}', Trimmed),
        (412, b'{"end":9}', OffsetMismatch),
        (200, b"{", StoreUnreachable),
    ],
)
def test_every_refusal_of_the_store_is_a_typed_error(
    paused_clock, client, store, status, body, kind
):
    client.handlers[STORE] = lambda exchange: exchange.answer(status, body)
    got = []
    store.append(topic="t", records=[b"x"], done=got.append)
    paused_clock.advance(0.1)
    assert type(got[0].err_value) is kind


def test_a_call_without_an_answer_may_have_been_carried_out(
    paused_clock, client, store
):
    client.handlers[STORE] = lambda exchange: None
    got = []
    store.append(topic="t", records=[b"x"], done=got.append)
    paused_clock.advance(5.0)
    assert type(got[0].err_value) is StoreUnreachable


@pytest.fixture
def applied(paused_clock, store, platform_store):
    """Versions that a feed puts in force, with version 3 already there."""
    put_config(platform_store, 3)
    versions = []
    feed = ConfigFeed(
        store=store,
        clock=paused_clock,
        apply=lambda cfg: versions.append(cfg.version),
    )
    feed.start()
    paused_clock.advance(0.1)
    return versions


def test_configuration_goes_forward_only(paused_clock, platform_store, applied):
    put_config(platform_store, 8)
    put_config(platform_store, 5)  # an old write that arrives late
    paused_clock.advance(1.0)
    assert applied == [3, 8]


def test_a_dropped_history_is_read_from_the_newest(
    paused_clock, platform_store, applied
):
    put_config(platform_store, 9)
    platform_store.drop_history("keyed.op")
    paused_clock.advance(1.0)
    assert applied == [3, 9]


@pytest.mark.parametrize("fault", ["down", "silent"])
def test_configuration_is_in_force_soon_after_an_outage(
    paused_clock, platform_store, applied, fault
):
    setattr(platform_store, fault, True)
    paused_clock.advance(4.0)
    put_config(platform_store, 4)
    setattr(platform_store, fault, False)
    paused_clock.advance(CONFIG_WAIT_S + 1.0)  # a read may just have begun to wait
    assert applied == [3, 4]


def test_an_unreadable_configuration_leaves_the_last_in_force(
    paused_clock, platform_store, applied
):
    platform_store.put("keyed.op", "config", DEEP)
    put_config(platform_store, 4)
    paused_clock.advance(1.0)
    assert applied == [3, 4]


@pytest.fixture
def fleet(paused_clock, store, platform_store):
    """A fleet that follows two entries."""
    made = Fleet()
    put_entry(platform_store, "i-1")
    put_entry(platform_store, "i-2")
    FleetFeed(store=store, clock=paused_clock, fleet=made, drain_s=2.0).start()
    paused_clock.advance(0.1)
    return made


def names(fleet):
    return sorted(instance.id for instance in fleet.all())


def test_a_fleet_follows_the_entries(paused_clock, platform_store, fleet):
    assert names(fleet) == ["i-1", "i-2"]
    put_entry(platform_store, "i-2", state="draining")
    platform_store.put("keyed.servers", "i-1", b"")
    paused_clock.advance(1.0)
    assert names(fleet) == ["i-2"] and fleet.get(InstanceId("i-2")).draining


def test_an_unreadable_entry_changes_nothing(paused_clock, platform_store, fleet):
    platform_store.put("keyed.servers", "i-1", b"\xff\x00")
    platform_store.put("keyed.servers", "i-9", b"{}")
    paused_clock.advance(1.0)
    assert names(fleet) == ["i-1", "i-2"]


def test_entries_that_lapse_in_an_outage_are_kept_until_they_can_be_back(
    paused_clock, platform_store, fleet
):
    platform_store.down = True
    paused_clock.advance(3.0)
    platform_store.put("keyed.servers", "i-1", b"")
    platform_store.put("keyed.servers", "i-2", b"")
    platform_store.down = False
    paused_clock.advance(1.2)
    assert names(fleet) == ["i-1", "i-2"]
    put_entry(platform_store, "i-2")
    paused_clock.advance(RELIST_GRACE_S + 1.0)
    assert names(fleet) == ["i-2"]


@pytest.fixture
def members(paused_clock, client):
    """Two processes that hold leases, each with its own client."""

    def make(name):
        own = MemoryClient(clock=paused_clock)
        own.handlers = dict(client.handlers)
        leases = PartitionLeases(
            store=LogStore(client=own, address=STORE),
            clock=paused_clock,
            member=name,
            parts=24,
            ttl_min_ms=1000,
        )
        leases.start()
        return leases, own

    return make("a"), make("b")


DOMAINS = [DomainName(f"d{number}") for number in range(12)]


def test_each_domain_has_one_holder(paused_clock, members):
    paused_clock.advance(2.0)
    for domain in DOMAINS:
        assert sum(leases.holds(domain) for leases, _ in members) == 1


def test_a_silent_member_stops_before_its_domains_are_dealt_anew(paused_clock, members):
    paused_clock.advance(2.0)
    (first, wire), (second, _) = members
    wire.handlers.clear()
    for _ in range(80):
        paused_clock.advance(0.05)
        for domain in DOMAINS:
            assert not (first.holds(domain) and second.holds(domain))
    assert all(second.holds(domain) for domain in DOMAINS)


def test_an_answer_from_before_a_member_left_gives_it_nothing(paused_clock, members):
    paused_clock.advance(2.0)
    (first, wire), (second, _) = members
    late, ask = [], wire.handlers[STORE]

    def hold_back(exchange):
        if exchange.target == "/v1/log-join" and not late:
            late.append((exchange, ask))
        else:
            ask(exchange)

    wire.handlers[STORE] = hold_back
    paused_clock.advance(0.5)
    ((exchange, _),) = late
    held = json.dumps(
        {"generation": first.generation, "parts": [["t", n, 0] for n in range(24)]}
    )
    first.set_participating(False)
    first.set_participating(True)
    exchange.answer(200, held.encode())
    assert not any(first.holds(domain) for domain in DOMAINS)


def test_a_member_that_leaves_holds_nothing(paused_clock, members):
    paused_clock.advance(2.0)
    (first, _), (second, _) = members
    first.stop()
    assert not any(first.holds(domain) for domain in DOMAINS)
    paused_clock.advance(1.0)
    assert all(second.holds(domain) for domain in DOMAINS)


def test_entries_find_each_other_and_share_one_key(paused_clock, store):
    found = [
        StoreDirectory(
            store=store,
            clock=paused_clock,
            name=name,
            address=f"10.0.0.{number}:7000",
            changed=lambda: None,
        )
        for number, name in enumerate(["n0", "n1"])
    ]
    for directory in found:
        directory.start()
    paused_clock.advance(2.0)
    assert found[0].addresses() == {"n1": "10.0.0.1:7000"}
    assert found[0].frame_key and found[0].frame_key == found[1].frame_key
    found[1].withdraw()
    paused_clock.advance(2.0)
    assert found[0].addresses() == {}


def test_the_platforms_settings_become_those_of_a_node(tmp_path):
    path = tmp_path / "settings.json"
    wire = {
        "node": "front-1",
        "ip": "10.1.0.4",
        "zone": "a",
        "listen": {"front": "10.1.0.4:80", "ready": "10.1.0.4:81"},
        "internal-ports": [7000, 7010],
        "platform": {"address": "10.9.9.9:1"},
        "bounds": {"grace-s": 8, "retry-budget-ratio": 0.2},
        "unknown": [1],
    }
    path.write_text(json.dumps(wire))
    cfg = node_settings(read_process_settings(path).unwrap(), 9464)
    assert (cfg.name, cfg.failure_domain, cfg.grace_s) == ("front-1", "a", 8)
    assert (cfg.peers, cfg.metrics) == ("10.1.0.4:7000", "10.1.0.4:9464")


@pytest.mark.parametrize("text", ["", "{}", '{"node": 4}'])
def test_settings_that_cannot_be_read_name_the_remedy(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text)
    assert "Correct the file" in str(read_process_settings(path).unwrap_err())
