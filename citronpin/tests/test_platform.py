"""Tests of the platform package: decoders, store client, feeds, leases, settings."""

import json
import re
import subprocess
import sys
from importlib import metadata
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from citronpin.basics.addresses import parse_address
from citronpin.basics.ids import DomainName, InstanceId
from citronpin.gateway.fleets import RELIST_GRACE_S, Fleet, Phase
from citronpin.gateway.routings import RequestKind
from citronpin.platform.decoders import (
    decode_config,
    decode_registration,
    decode_report,
)
from citronpin.platform.directories import EntryRecord, StoreDirectory
from citronpin.platform.feeds import RETRY_INTERVAL_S, ConfigFeed, FleetFeed
from citronpin.platform.leases import PartitionLeases
from citronpin.platform.settings import node_settings, read_process_settings
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
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.foreign_entries import (
    DEEP,
    ENTRY,
    ODD_KEYS,
    foreign_values,
    write_foreign_entries,
)
from citronpin.tests.platforms.requests import ROUTES
from citronpin.tests.platforms.simulations import STORE_ADDRESS, wire_config
from citronpin.tests.platforms.stores import PlatformStore

INSTANCE_REGISTRATION = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold-remaining-ms": 0,
    "domain": "d0",
    "models": [{"name": "small", "version": 1, "adapters": []}],
    "staged": ["small"],
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
    "born": 12,
    "sequence": 4,
}
REQUIREMENTS = Path(__file__).parents[2] / "requirements.txt"
DEEPLY_NESTED = b"[" * 30_000
CONFIG_APPLY_S = 2.0
STALE_S = 5.0


@pytest.fixture
def platform_store(paused_clock):
    return PlatformStore(clock=paused_clock)


@pytest.fixture
def client(paused_clock, platform_store):
    """A client that reaches the store unless a test replaces its handler."""
    memory_client = MemoryClient(clock=paused_clock)

    def ask(exchange):
        answer = platform_store.handle(exchange.method, exchange.target, exchange.body)
        if answer is not None:
            exchange.answer(*answer)

    memory_client.handlers[STORE_ADDRESS] = ask
    return memory_client


@pytest.fixture
def store(client):
    return LogStore(client=client, address=STORE_ADDRESS)


def put_config(platform_store, version, **more):
    data = json.dumps(wire_config(version=version, **more)).encode()
    platform_store.put("keyed.op", "config", data)


def put_registration(platform_store, name, **more):
    data = json.dumps(INSTANCE_REGISTRATION | more).encode()
    platform_store.put("keyed.servers", name, data)


def test_configuration_is_decoded_into_a_gateway_config():
    data = json.dumps(wire_config(version=7, routes=ROUTES)).encode()
    cfg = decode_config(data).unwrap()
    draft = cfg.routes[0]
    assert cfg.version == 7 and draft.kind is RequestKind.STREAM and draft.repeatable
    assert (draft.timeout_s, draft.objective_s, draft.gap_objective_s) == (6, 0.3, 0.2)
    assert cfg.services[0].engine.model("big").size == 4
    assert cfg.tenants[0].keys == ("key-1",)


def test_route_with_backends_has_weighted_targets():
    route = ROUTES[0] | {"backends": [{"service": "a", "weight": 90}], "service": None}
    cfg = decode_config(json.dumps(wire_config(routes=[route])).encode()).unwrap()
    assert cfg.routes[0].targets[0].weight == 90


def test_registration_is_decoded_with_its_membership():
    data = json.dumps(INSTANCE_REGISTRATION).encode()
    registration = decode_registration("i-1", data).unwrap()
    assert registration.order == (12, 4)
    found = registration.instance
    assert found.id == "i-1" and found.is_serving_head and found.staged == ("small",)
    assert found.membership.phase is Phase.OPEN and found.domain == "d0"


@pytest.mark.parametrize("decode", [decode_config, decode_report])
@pytest.mark.parametrize(
    "data", [DEEPLY_NESTED, b"", b"\xff", b"{}x", b"7", b'{"models":7}']
)
def test_malformed_data_gives_an_error_with_a_remedy(decode, data):
    error = decode(data).unwrap_err()
    assert error.remedy


@pytest.mark.parametrize(
    "change", [{"state": "asleep"}, {"service": 4}, {"group": {"name": "g"}}]
)
def test_malformed_registration_gives_an_error(change):
    assert decode_registration(
        "i-1", json.dumps(INSTANCE_REGISTRATION | change).encode()
    ).is_err()


@given(
    data=st.binary(max_size=200) | st.sampled_from([DEEPLY_NESTED, b'{"a":' * 20_000])
)
@settings(derandomize=True, deadline=None)
def test_decoders_return_an_error_for_arbitrary_bytes(data):
    for result in (
        decode_config(data),
        decode_registration("i-1", data),
        decode_report(data),
    ):
        assert result.is_err()


@given(
    items=st.lists(
        st.tuples(st.text(min_size=1, max_size=20), st.binary(min_size=1)), max_size=5
    )
)
@settings(derandomize=True, deadline=None)
def test_keyed_records_round_trip(items):
    records = [encode_record(key, value) for key, value in items]
    data = bytes(16) + b"".join(len(r).to_bytes(4, "big") + r for r in records)
    found = parse_records(data, offset=5)
    assert [(r.key, r.value) for r in found.records] == items
    assert found.next == 5 + len(items)


def test_empty_record_of_another_writer_is_parsed():
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
def test_each_store_refusal_has_its_error_type(
    paused_clock, client, store, status, body, kind
):
    client.handlers[STORE_ADDRESS] = lambda exchange: exchange.answer(status, body)
    results = []
    store.append(topic="t", records=[b"x"], done=results.append)
    paused_clock.advance(0.1)
    assert type(results[0].err_value) is kind


def test_unanswered_append_is_unreachable_not_refused(paused_clock, client, store):
    client.handlers[STORE_ADDRESS] = lambda exchange: None
    results = []
    store.append(topic="t", records=[b"x"], done=results.append)
    paused_clock.advance(5.0)
    assert type(results[0].err_value) is StoreUnreachable


@pytest.fixture
def applied_versions(paused_clock, store, platform_store):
    """Versions that a feed applies; version 3 is in the store at its start."""
    put_config(platform_store, 3)
    versions = []
    feed = ConfigFeed(
        store=store,
        clock=paused_clock,
        apply=lambda cfg: versions.append(cfg.version),
        apply_s=CONFIG_APPLY_S,
    )
    feed.start()
    paused_clock.advance(0.1)
    return versions


def test_older_configuration_version_is_ignored(
    paused_clock, platform_store, applied_versions
):
    put_config(platform_store, 8)
    put_config(platform_store, 5)  # a late write of an older version
    paused_clock.advance(1.0)
    assert applied_versions == [3, 8]


def test_deleted_records_are_replaced_by_the_newest(
    paused_clock, platform_store, applied_versions
):
    put_config(platform_store, 9)
    platform_store.delete_records("keyed.op")
    paused_clock.advance(1.0)
    assert applied_versions == [3, 9]


@pytest.mark.parametrize("outage_s", [0.1, 1.0, 1.9, 2.8, 3.7, 4.6])
@pytest.mark.parametrize("fault", ["down", "silent"])
def test_change_after_an_outage_is_in_force_within_its_bound(
    paused_clock, platform_store, applied_versions, fault, outage_s
):
    setattr(platform_store, fault, True)
    paused_clock.advance(outage_s)
    put_config(platform_store, 4)
    setattr(platform_store, fault, False)
    paused_clock.advance(CONFIG_APPLY_S)  # a long poll may have just begun
    assert applied_versions == [3, 4]


@pytest.mark.parametrize("outage_s", [0.2, 4.0])
def test_late_read_of_the_configuration_is_logged(
    paused_clock, platform_store, applied_versions, caplog, outage_s
):
    caplog.set_level("WARNING")
    platform_store.silent = True
    paused_clock.advance(outage_s)
    platform_store.silent = False
    paused_clock.advance(CONFIG_APPLY_S)
    late = [r.age_s for r in caplog.records if r.message == "configuration read late"]
    assert bool(late) is (outage_s > CONFIG_APPLY_S)
    assert all(age_s >= outage_s for age_s in late)


def test_stale_newest_records_are_read_again_at_a_bounded_rate(
    paused_clock, platform_store, applied_versions
):
    platform_store.set_stale("keyed.op", True)
    put_config(platform_store, 4)
    platform_store.delete_records("keyed.op")
    before = len(platform_store.calls)
    paused_clock.advance(STALE_S)
    assert len(platform_store.calls) - before <= 2 * STALE_S / RETRY_INTERVAL_S + 2
    platform_store.set_stale("keyed.op", False)
    paused_clock.advance(CONFIG_APPLY_S)
    assert applied_versions == [3, 4]


def test_malformed_configuration_is_skipped(
    paused_clock, platform_store, applied_versions
):
    platform_store.put("keyed.op", "config", DEEPLY_NESTED)
    put_config(platform_store, 4)
    paused_clock.advance(1.0)
    assert applied_versions == [3, 4]


@pytest.mark.parametrize(
    "value",
    [
        b"[" * DEEP,
        b'{"version":' * DEEP,
        b'{"version":9,"x":' + b"[" * DEEP,
        b'{"version":' + b"9" * 5_000 + b',"routes":[],"services":[]}',
        b'{"version":18446744073709551616,"routes":[],"services":[]}',
        b'{"version":1e999,"routes":[],"services":[]}',
        b'{"version":-1,"routes":[],"services":[]}',
        b"\xff",
    ],
    ids=range(8),
)
def test_an_odd_configuration_hides_no_later_one(
    paused_clock, platform_store, applied_versions, value
):
    platform_store.put("keyed.op", "config", value)
    platform_store.put("keyed.op", "another", value)
    platform_store.put_raw("keyed.op", b"\xff", value)
    paused_clock.advance(1.0)
    put_config(platform_store, 10)
    paused_clock.advance(1.0)
    assert applied_versions == [3, 10]


@pytest.mark.parametrize(
    "change",
    [
        {"priority": 2**70},
        {"timeout-ms": 1e300},
        {"timeout-ms": -1},
        {"max-attempts": 2**70},
        {"gap-aim-ms": 1e300},
    ],
)
def test_a_route_that_frames_cannot_carry_is_not_applied(change):
    # Its requests could not be described to other entries.
    config = wire_config(routes=[ROUTES[0], ROUTES[1] | change])
    assert decode_config(json.dumps(config).encode()).is_err()


@pytest.fixture
def fleet(paused_clock, store, platform_store):
    """A fleet that follows the registrations of two instances."""
    followed = Fleet()
    put_registration(platform_store, "i-1")
    put_registration(platform_store, "i-2")
    FleetFeed(store=store, clock=paused_clock, fleet=followed, drain_s=2.0).start()
    paused_clock.advance(0.1)
    return followed


def names(fleet):
    return sorted(instance.id for instance in fleet.all())


def test_fleet_follows_changed_and_deleted_registrations(
    paused_clock, platform_store, fleet
):
    assert names(fleet) == ["i-1", "i-2"]
    put_registration(platform_store, "i-2", state="draining")
    platform_store.put("keyed.servers", "i-1", b"")
    paused_clock.advance(1.0)
    assert names(fleet) == ["i-2"] and fleet.get(InstanceId("i-2")).draining


def test_malformed_registration_changes_nothing(paused_clock, platform_store, fleet):
    platform_store.put("keyed.servers", "i-1", b"\xff\x00")
    platform_store.put("keyed.servers", "i-9", b"{}")
    paused_clock.advance(1.0)
    assert names(fleet) == ["i-1", "i-2"]


def test_registrations_deleted_in_an_outage_are_kept_until_relist_time(
    paused_clock, platform_store, fleet
):
    platform_store.down = True
    paused_clock.advance(3.0)
    platform_store.put("keyed.servers", "i-1", b"")
    platform_store.put("keyed.servers", "i-2", b"")
    platform_store.down = False
    paused_clock.advance(1.2)
    assert names(fleet) == ["i-1", "i-2"]
    put_registration(platform_store, "i-2")
    paused_clock.advance(RELIST_GRACE_S + 1.0)
    assert names(fleet) == ["i-2"]


@pytest.fixture
def lease_holders(paused_clock, client):
    """Leases of two processes, each with its own client."""

    def make(name):
        own_client = MemoryClient(clock=paused_clock)
        own_client.handlers = dict(client.handlers)
        leases = PartitionLeases(
            store=LogStore(client=own_client, address=STORE_ADDRESS),
            clock=paused_clock,
            member=name,
            parts=24,
            ttl_min_ms=1000,
        )
        leases.start()
        return leases, own_client

    return make("a"), make("b")


DOMAINS = [DomainName(f"d{number}") for number in range(12)]


def test_each_domain_has_one_holder(paused_clock, lease_holders):
    paused_clock.advance(2.0)
    for domain in DOMAINS:
        assert sum(leases.holds(domain) for leases, _ in lease_holders) == 1


def test_silent_member_stops_before_its_partitions_are_reassigned(
    paused_clock, lease_holders
):
    paused_clock.advance(2.0)
    (first, client), (second, _) = lease_holders
    client.handlers.clear()
    for _ in range(80):
        paused_clock.advance(0.05)
        for domain in DOMAINS:
            assert not (first.holds(domain) and second.holds(domain))
    assert all(second.holds(domain) for domain in DOMAINS)


def test_join_answer_from_before_a_leave_grants_no_lease(paused_clock, lease_holders):
    paused_clock.advance(2.0)
    (first, client), (second, _) = lease_holders
    late, ask = [], client.handlers[STORE_ADDRESS]

    def hold_back(exchange):
        if exchange.target == "/v1/log-join" and not late:
            late.append((exchange, ask))
        else:
            ask(exchange)

    client.handlers[STORE_ADDRESS] = hold_back
    paused_clock.advance(0.5)
    ((exchange, _),) = late
    held = json.dumps(
        {"generation": first.generation, "parts": [["t", n, 0] for n in range(24)]}
    )
    first.set_participating(False)
    first.set_participating(True)
    exchange.answer(200, held.encode())
    assert not any(first.holds(domain) for domain in DOMAINS)


def test_member_that_leaves_releases_its_leases(paused_clock, lease_holders):
    paused_clock.advance(2.0)
    (first, _), (second, _) = lease_holders
    first.stop()
    assert not any(first.holds(domain) for domain in DOMAINS)
    paused_clock.advance(1.0)
    assert all(second.holds(domain) for domain in DOMAINS)


def test_entries_discover_each_other_and_share_one_frame_key(paused_clock, store):
    found = [
        StoreDirectory(
            store=store,
            clock=paused_clock,
            name=name,
            record=EntryRecord(f"10.0.0.{number}:7000"),
            on_changed=lambda: None,
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


def test_process_settings_are_converted_to_node_settings(tmp_path):
    path = tmp_path / "settings.json"
    raw = {
        "node": "front-1",
        "ip": "10.1.0.4",
        "zone": "a",
        "listen": {"front": "10.1.0.4:80", "ready": "10.1.0.4:81"},
        "internal-ports": [7000, 7010],
        "platform": {"address": "10.9.9.9:1"},
        "bounds": {"grace-s": 8, "retry-budget-ratio": 0.2},
        "unknown": [1],
    }
    path.write_text(json.dumps(raw))
    cfg = node_settings(read_process_settings(path).unwrap(), 9464)
    assert (cfg.name, cfg.failure_domain, cfg.grace_s) == ("front-1", "a", 8)
    assert (cfg.peers, cfg.metrics) == ("10.1.0.4:7000", "10.1.0.4:9464")
    assert cfg.forward == "10.1.0.4:7010"
    assert not cfg.share_facts
    for contracts, expected in (["pool"], True), (["places"], False), ({}, False):
        path.write_text(json.dumps(raw | {"contracts": contracts}))
        cfg = node_settings(read_process_settings(path).unwrap(), 9464)
        assert cfg.share_facts is expected
    path.write_text(json.dumps(raw | {"internal-ports": [7000, 7000]}))
    assert "two ports or more" in str(read_process_settings(path).unwrap_err())


@pytest.mark.parametrize("text", ["", "{}", '{"node": 4}'])
def test_malformed_settings_give_an_error_with_a_remedy(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text)
    assert "Correct the file" in str(read_process_settings(path).unwrap_err())


def test_gateway_needs_only_the_libraries_that_the_deployment_installs():
    # Deployed nodes start on clean machines with what requirements.txt names.
    script = "import sys, citronpin.platform.programs; print(*sys.modules)"
    listed = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    imported = {name.partition(".")[0] for name in listed.stdout.split()}
    deployed = {
        _normalized(line)
        for line in REQUIREMENTS.read_text(encoding="utf-8").splitlines()
    }
    for name in list(deployed):
        needed = metadata.requires(name) or ()
        deployed |= {_normalized(line) for line in needed if "extra ==" not in line}
    distributions = metadata.packages_distributions()
    for name in imported & distributions.keys():
        found = {_normalized(distribution) for distribution in distributions[name]}
        assert found & (deployed | {"citronpin", "setuptools"}), name


def test_gateway_starts_without_libraries_that_it_does_not_use(tmp_path):
    # Each process of hundreds pays for them, in memory and at each start.
    (tmp_path / "pkg_resources.py").write_text("declare_namespace = str")
    script = (
        "import sys; sys.path.append(sys.argv[1]); import citronpin.platform.programs; "
        "print(*filter(sys.modules.get, sys.modules))"
    )
    listed = subprocess.run(
        [sys.executable, "-c", script, str(tmp_path)],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = {name.partition(".")[0] for name in listed.stdout.split()}
    assert not loaded & {"pkg_resources", "prometheus_client", "numpy", "jinja2"}


def _normalized(requirement):
    """Return the normalized name of a distribution from a requirement."""
    name = re.split(r"[^A-Za-z0-9._-]", requirement, maxsplit=1)[0]
    return re.sub(r"[-_.]+", "-", name).lower()


@pytest.mark.parametrize("value", foreign_values())
def test_an_entry_with_a_missing_or_wrong_field_names_no_instance(value):
    assert decode_registration("i-1", value).unwrap_err().remedy


@pytest.mark.parametrize("key", ODD_KEYS)
def test_an_entry_under_an_id_that_no_header_carries_names_no_instance(key):
    name = key.decode("utf-8", "replace")
    data = json.dumps(ENTRY).encode()
    assert decode_registration("i-1", data).is_ok()
    assert decode_registration(name, data).unwrap_err().remedy


# Any writer may write anything; what is taken for an instance must be usable as one.
@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    name=st.text(max_size=8),
    changes=st.dictionaries(
        st.sampled_from(sorted(ENTRY)),
        st.one_of(
            st.none(),
            st.booleans(),
            st.integers(-(2**70), 2**70),
            st.floats(allow_nan=False, allow_infinity=False),
            st.text(max_size=6),
            st.lists(st.text(max_size=2), max_size=2),
            st.dictionaries(st.text(max_size=2), st.integers(), max_size=2),
        ),
        max_size=3,
    ),
)
def test_whatever_is_taken_for_an_instance_can_be_named_reached_and_told(name, changes):
    data = json.dumps(ENTRY | changes).encode()
    result = decode_registration(name, data)
    if result.is_err():
        return
    found = result.ok_value.instance
    assert found.id.isascii() and found.id.isprintable() and found.id.strip()
    parse_address(found.address)
    assert found.slots >= 1
    msgspec.msgpack.encode((found.born_ms, result.ok_value.sequence))


def test_entries_of_another_writer_leave_the_other_instances(
    paused_clock, store, platform_store
):
    write_foreign_entries(platform_store)
    put_registration(platform_store, "i-1")
    fleet = Fleet()
    feed = FleetFeed(store=store, clock=paused_clock, fleet=fleet, drain_s=2.0)
    feed.start()
    paused_clock.advance(0.1)
    assert fleet.is_loaded and [found.id for found in fleet.all()] == ["i-1"]
    write_foreign_entries(platform_store)
    put_registration(platform_store, "i-2")
    paused_clock.advance(2.0)
    assert sorted(found.id for found in fleet.all()) == ["i-1", "i-2"]


# Guards against a feed that stops reading when the handling of a record raises.
@pytest.mark.parametrize("is_snapshot", [True, False])
def test_a_record_whose_handling_raises_holds_up_no_other(
    paused_clock, store, platform_store, monkeypatch, is_snapshot
):
    fleet = Fleet()
    register = fleet.register

    def register_or_raise(instance, **more):
        if instance.id == "bad":
            raise RuntimeError("bad")
        register(instance, **more)

    monkeypatch.setattr(fleet, "register", register_or_raise)
    feed = FleetFeed(store=store, clock=paused_clock, fleet=fleet, drain_s=2.0)
    if not is_snapshot:
        feed.start()
        paused_clock.advance(0.1)
    for name in ("a", "bad", "c"):
        put_registration(platform_store, name)
    if is_snapshot:
        feed.start()
    with pytest.raises(RuntimeError):
        paused_clock.advance(2.0)
    put_registration(platform_store, "d")
    paused_clock.advance(2.0)
    assert fleet.is_loaded
    assert sorted(found.id for found in fleet.all()) == ["a", "c", "d"]


def page(keys, has_more, key_bytes=None):
    """Return a page of the newest records, with the bytes of a key as they are."""
    items = [{"key": key, "offset": 0, "value": "e30="} for key in keys]
    data = json.dumps({"items": items, "end": 9, "has-more": has_more}).encode()
    return data.replace(b"RAW", key_bytes or b"RAW")


@pytest.mark.parametrize("is_replaced", [True, False], ids=["replaced", "as-written"])
def test_pages_go_on_after_keys_that_cannot_be_read(paused_clock, is_replaced):
    # The store returns as many unreadable keys as a page has, and an older page again.
    asked = []
    client = MemoryClient(clock=paused_clock)
    key = "h\ufffdst" if is_replaced else "hRAWst"

    def answer(exchange):
        query = parse_qs(urlsplit(exchange.target).query, encoding="latin-1")
        asked.append(query.get("after", [""])[0])
        if asked[-1] in ("", "h\xef\xbf\xbdst"):
            exchange.answer(200, page(["a", key], True, b"\xf6"))
        else:
            exchange.answer(200, page(["i-1"], False))

    client.handlers[STORE_ADDRESS] = answer
    results = []
    LogStore(client=client, address=STORE_ADDRESS).read_newest(
        topic="keyed.servers", done=results.append
    )
    paused_clock.advance(1.0)
    assert asked == ["", "h\xff"]
    (result,) = results
    assert [record.key for record in result.ok_value.records] == [
        "a",
        "h\ufffdst",
        "i-1",
    ]


def test_a_store_that_returns_the_same_page_again_ends_the_read(paused_clock):
    client = MemoryClient(clock=paused_clock)
    client.handlers[STORE_ADDRESS] = lambda exchange: exchange.answer(
        200, page(["RAW"], True, b"\xff")
    )
    results = []
    LogStore(client=client, address=STORE_ADDRESS).read_newest(
        topic="keyed.servers", done=results.append
    )
    paused_clock.advance(1.0)
    (result,) = results
    assert result.is_ok() and client.sent[2:] == []
