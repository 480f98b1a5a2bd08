"""Records of another writer among those with which entries announce themselves."""

import json

import msgspec
import pytest

from citronpin.basics.ids import EntryId
from citronpin.gateway.relays import UNKNOWN_CAPACITY
from citronpin.peers.links import NngLinks
from citronpin.peers.messages import StatusUpdate
from citronpin.platform.directories import (
    ENTRIES_TOPIC,
    ENTRY_PREFIX,
    EntryRecord,
    StoreDirectory,
)
from citronpin.platform.stores import LogStore
from citronpin.tests.platforms.clients import MemoryClient
from citronpin.tests.platforms.foreign_entries import DEEP, ODD_KEYS
from citronpin.tests.platforms.stores import PlatformStore

STORE_ADDRESS = "10.9.9.9:1"
ANNOUNCEMENT = {
    "address": "10.0.0.7:7000",
    "forward": "10.0.0.7:7001",
    "failure_domain": "a",
}
ODD_ADDRESSES = (
    "",
    "h",
    ":80",
    "h:80",
    "höst:80",
    "10.0.0.1:x",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.256:80",
    "10.0.0.1\x00:80",
    5,
    None,
)
ODD_VALUES = [
    b"[" * DEEP,
    b'{"x":' * DEEP,
    b'{"address":' + b"[" * DEEP,
    b'{"address":' + b"9" * 5_000 + b"}",
    b"1e999",
    b"9" * 5_000,
    b"\xff",
    b"{",
    b"null",
    b"7",
] + [
    json.dumps(ANNOUNCEMENT | {field: address}).encode()
    for field in ("address", "forward")
    for address in ODD_ADDRESSES
    if field == "address" or address != ""
]
READ_S = 1.0


@pytest.fixture
def platform_store(paused_clock):
    return PlatformStore(clock=paused_clock)


@pytest.fixture
def start_directory(paused_clock, platform_store):
    """Return a function that starts the directory of an entry."""
    client = MemoryClient(clock=paused_clock)
    client.handlers[STORE_ADDRESS] = lambda exchange: exchange.answer(
        *platform_store.handle(exchange.method, exchange.target, exchange.body)
    )

    def start(number):
        directory = StoreDirectory(
            store=LogStore(client=client, address=STORE_ADDRESS),
            clock=paused_clock,
            name=EntryId(f"n{number}"),
            record=EntryRecord(f"10.0.0.{number}:7000", f"10.0.0.{number}:7001"),
            on_changed=lambda: None,
        )
        directory.start()
        return directory

    return start


def put_odd_record(store, key, value):
    store.put_raw(ENTRIES_TOPIC, ENTRY_PREFIX.encode() + key, value)


def check_known(directory, *numbers):
    expected = {f"n{number}": f"10.0.0.{number}:7000" for number in numbers}
    known = directory.addresses()
    assert expected.items() <= known.items()
    assert directory.frame_key
    for peer in directory.forward_peers():
        assert peer.address.startswith("10.0.0.")


@pytest.mark.parametrize("value", ODD_VALUES, ids=range(len(ODD_VALUES)))
def test_an_odd_announcement_hides_no_other_one(
    paused_clock, platform_store, start_directory, value
):
    reader = start_directory(1)
    paused_clock.advance(READ_S)
    put_odd_record(platform_store, b"a-stranger", value)  # reads as it is appended
    start_directory(2)
    paused_clock.advance(READ_S)
    check_known(reader, 2)
    late = start_directory(3)  # reads it among the newest records
    paused_clock.advance(READ_S)
    check_known(late, 1, 2)
    check_known(reader, 2, 3)
    assert "a-stranger" not in reader.addresses() | late.addresses()


@pytest.mark.parametrize("key", ODD_KEYS)
def test_an_odd_name_hides_no_other_entry(
    paused_clock, platform_store, start_directory, key
):
    reader = start_directory(1)
    paused_clock.advance(READ_S)
    put_odd_record(platform_store, key, json.dumps(ANNOUNCEMENT).encode())
    start_directory(2)
    paused_clock.advance(READ_S)
    check_known(reader, 2)
    late = start_directory(3)
    paused_clock.advance(READ_S)
    check_known(late, 1, 2)


def test_all_addresses_that_are_accepted_can_be_dialed(
    paused_clock, platform_store, start_directory
):
    for number, value in enumerate(ODD_VALUES):
        put_odd_record(platform_store, b"odd-%d" % number, value)
    reader = start_directory(1)
    paused_clock.advance(READ_S)
    links = NngLinks(
        entry="n1", listen="tcp://127.0.0.1:0", key=b"key", clock=paused_clock
    )
    for address in reader.addresses().values():
        links.connect(f"tcp://{address}")
    links.close()


@pytest.mark.parametrize("address", ["", ":80", "10.0.0.1", "\x00:1"])
def test_an_address_that_cannot_be_dialed_ends_no_tick(paused_clock, address):
    links = NngLinks(
        entry="n1", listen="tcp://127.0.0.1:0", key=b"key", clock=paused_clock
    )
    links.connect(f"tcp://{address}")
    links.send_all([f"tcp://{address}"], StatusUpdate())
    links.close()


@pytest.mark.parametrize(
    "body",
    [
        b"[" * DEEP,
        b'{"generation":1,"parts":[[]]}',
        b'{"generation":1,"parts":[["t"]]}',
        b'{"generation":1e999,"parts":[]}',
    ],
    ids=range(4),
)
def test_an_odd_answer_of_the_store_ends_its_call(paused_clock, body):
    client = MemoryClient(clock=paused_clock)
    client.handlers[STORE_ADDRESS] = lambda exchange: exchange.answer(200, body)
    results = []
    LogStore(client=client, address=STORE_ADDRESS).join_group(
        group="g",
        member="m",
        topic="t",
        ttl_ms=1_000,
        generation=0,
        done=results.append,
    )
    paused_clock.advance(READ_S)
    assert [result.is_err() for result in results] == [True]


class EarlierRecord(msgspec.Struct):
    """An announcement as builds read it that know of no capacities."""

    address: str
    forward: str = ""
    failure_domain: str = ""


# Guards against entries that do not see each other while one build replaces another.
def test_builds_with_and_without_capacities_read_each_other(
    platform_store, start_directory, paused_clock
):
    directory = start_directory(1)
    paused_clock.advance(1.0)
    key = ENTRY_PREFIX + "n1"
    _, written = platform_store.topic(ENTRIES_TOPIC).newest[key]
    read = msgspec.json.decode(written, type=EarlierRecord)
    assert read.address == "10.0.0.1:7000"
    earlier = msgspec.json.encode(EarlierRecord("10.0.0.2:7000"))
    platform_store.put(ENTRIES_TOPIC, ENTRY_PREFIX + "n2", earlier)
    paused_clock.advance(1.0)
    assert directory.addresses()[EntryId("n2")] == "10.0.0.2:7000"
    assert directory.capacity_of(EntryId("n2")) == UNKNOWN_CAPACITY
