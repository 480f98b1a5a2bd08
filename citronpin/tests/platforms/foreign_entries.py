"""Entries of another writer among the registrations of the instances."""

import json

from citronpin.platform.directories import ENTRIES_TOPIC

DEEP = 5_000  # levels, more than the interpreter allows
UNREADABLE_KEY = b"h\xf6st-1"
# Keys that no header carries unchanged.
ODD_KEYS = (
    UNREADABLE_KEY,
    b"\xff",
    "höst-1".encode(),
    "塔".encode(),
    b"i 1",
    b" i-1",
    b"i-1\n",
    b"i\x001",
    b"\x7f",
)
ENTRY = {
    "service": "engines",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 1,
    "born": 1_000,
    "domain": "d0",
    "models": [],
    "staged": [],
    "group": None,
}
REQUIRED_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold-remaining-ms",
    "sequence",
)
WRONG_VALUES = (
    [(field, value) for field in REQUIRED_FIELDS for value in (None, [], {})]
    + [("address", value) for value in ("", "h", ":80", "h:80", "10.0.0.1:x")]
    + [("address", f"10.0.0.1:{port}") for port in (0, -1, 65_536, 10**30, "8_0")]
    + [("address", value) for value in ("10.0.0.256:80", "höst:80", "::1:80")]
    + [(field, -1) for field in ("slots", "sequence", "born")]
    + [(field, 2**64) for field in ("slots", "sequence", "born")]
    + [("slots", 0), ("slots", "9"), ("sequence", 1.5), ("state", "asleep")]
    + [("cold-remaining-ms", "soon"), ("domain", []), ("models", "m"), ("staged", 1)]
    + [("group", {"name": "g"}), ("group", "g")]
    + [
        ("group", {"name": "g", "epoch": epoch, "rank": 0, "state": "open"})
        for epoch in (-1, 2**64, "1", None)
    ]
)


def foreign_values():
    """Return the values of entries that name no instance."""
    without = [
        {name: value for name, value in ENTRY.items() if name != field}
        for field in REQUIRED_FIELDS
    ]
    wrong = [ENTRY | {field: value} for field, value in WRONG_VALUES]
    texts = [b"\xff", b"{", b"[]", b"7", b"null", b'{"service":"engines'] + [b"[" * 999]
    texts += [b"[" * DEEP, b'{"x":' * DEEP, b"9" * 5_000, b"1e999", b"-1e999"]
    texts += [
        json.dumps(ENTRY | {field: "@"}).encode().replace(b'"@"', value)
        for field in ("slots", "born", "sequence", "cold-remaining-ms", "group")
        for value in (b"9" * 5_000, b"1e999", b"[" * DEEP, b'{"x":' * DEEP)
    ]
    return [json.dumps(fields).encode() for fields in without + wrong] + texts


def write_foreign_announcements(store):
    """Write records that name no entry among the announcements, and a stale one."""
    stale = {"address": "127.0.0.1:9", "forward": "127.0.0.1:9", "failure_domain": "a"}
    odd = [stale | {"address": address} for address in ("", ":80", "h:80", 5)]
    values = [json.dumps(fields).encode() for fields in [stale, *odd]]
    values += [b"[" * DEEP, b'{"x":' * DEEP, b"9" * 5_000, b"1e999", b"\xff"]
    for number, value in enumerate(values):
        store.put_raw(ENTRIES_TOPIC, b"entry/foreign-%d" % number, value)
    for key in ODD_KEYS:
        store.put_raw(ENTRIES_TOPIC, b"entry/" + key, values[0])


def write_foreign_entries(store):
    """Write an entry under each odd key, and each value under a key of its own."""
    for key in ODD_KEYS:
        store.put_raw("keyed.servers", key, json.dumps(ENTRY).encode())
    for number, value in enumerate(foreign_values()):
        store.put_raw("keyed.servers", b"foreign-%d" % number, value)
