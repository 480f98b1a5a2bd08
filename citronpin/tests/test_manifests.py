"""Tests of manifest files and of the checks of manifests."""

from pathlib import Path

import msgspec
import pytest

from citronpin.state.manifest_files import (
    MANIFEST_TYPES,
    parse_manifest_data,
    read_manifests,
)
from citronpin.state.manifests import CallRule, CriticalPeriod, Customer

REFERENCE = Path(__file__).parents[2] / "docs" / "MANIFESTS.md"

GOOD = """
remove = ["deployment/old"]

[[manifests]]
kind = "deployment"
name = "rota"
model = "assistant-70b"
version = "3"
groups = 60
members = 4
critical_periods = [{ start_minute = 9000, end_minute = 9600 }]

[[manifests]]
kind = "application"
name = "ledger"
calls = [{ method = "POST", path = "/postings", lookup = "/postings/{key}" }]

[[manifests]]
kind = "customers"
name = "export"
customers = [{ name = "port-louis", key_digests = ["%s"] }]
""" % (
    "a" * 64
)


def test_toml_and_json_give_the_same_manifests(tmp_path):
    toml = tmp_path / "m.toml"
    toml.write_text(GOOD)
    file = read_manifests(toml).unwrap()
    assert [type(m).__name__ for m in file.manifests] == [
        "DeploymentManifest",
        "ApplicationManifest",
        "CustomersManifest",
    ]
    as_json = tmp_path / "m.json"
    as_json.write_bytes(msgspec.json.encode(file))
    assert read_manifests(as_json).unwrap() == file


def test_every_fault_is_reported_with_field_and_remedy():
    data = {
        "extra": 1,
        "remove": ["nothing"],
        "manifests": [
            {"kind": "deployment", "name": "a", "groups": "two", "colour": 1},
            {
                "kind": "application",
                "name": "b",
                "calls": [{"method": "post", "path": "x", "lookup": "/y"}],
                "timeout_s": float("nan"),
            },
            {
                "kind": "customers",
                "name": "c",
                "customers": [{"name": "d", "key_digests": ["zz"], "share": -1}],
            },
            {"kind": "other"},
            {
                "kind": "deployment",
                "name": "e f",
                "model": "m",
                "version": "1",
                "groups": -1,
                "members": 0,
                "critical_periods": [{"start_minute": 9, "end_minute": 5}],
            },
        ],
    }
    faults = parse_manifest_data(data).unwrap_err()
    assert all(fault.remedy for fault in faults)
    assert {(fault.scope, fault.field) for fault in faults} == {
        ("file", "extra"),
        ("file", "remove"),
        ("deployment/a", "groups"),
        ("deployment/a", "colour"),
        ("deployment/a", "model"),
        ("deployment/a", "version"),
        ("deployment/a", "members"),
        ("application/b", "timeout_s"),
        ("application/b", "calls[0].method"),
        ("application/b", "calls[0].path"),
        ("application/b", "calls[0].lookup"),
        ("customers/c", "customers[0].key_digests"),
        ("customers/c", "customers[0].share"),
        ("manifests[3]", "kind"),
        ("deployment/e f", "name"),
        ("deployment/e f", "groups"),
        ("deployment/e f", "members"),
        ("deployment/e f", "critical_periods[0]"),
    }


@pytest.mark.parametrize("data", [[], {}, {"manifests": 3}, {"remove": "x"}])
def test_data_of_another_shape_is_refused(data):
    assert parse_manifest_data(data).is_err()


def test_the_manifest_reference_names_every_field():
    text = REFERENCE.read_text(encoding="utf-8")
    parts = (*MANIFEST_TYPES.values(), CallRule, CriticalPeriod, Customer)
    names = {f.name for part in parts for f in msgspec.structs.fields(part)}
    assert not [name for name in names if f"`{name}`" not in text]
