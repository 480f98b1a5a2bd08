"""Tests of reading and checking settings, and of the generated reference."""

from pathlib import Path

import pytest

import citronpin
from citronpin.basics.references import settings_page
from citronpin.basics.settings import check_settings, read_settings

REFERENCE_PATH = Path(citronpin.__file__).parent.parent / "docs" / "SETTINGS.md"
VALID_SETTINGS = {
    "entry": {
        "name": "entry-1",
        "listen": "127.0.0.1:8080",
        "failure_domain": "sapporo",
        "log": "127.0.0.1:7070",
        "membership": "127.0.0.1:7071",
    },
    "peers": {"listen": "127.0.0.1:9090", "key": "secret"},
}


def _replace_values(section: str, **values) -> dict:
    return VALID_SETTINGS | {section: VALID_SETTINGS.get(section, {}) | values}


def test_missing_keys_get_their_defaults():
    cfg = check_settings(VALID_SETTINGS).ok_value
    assert cfg.section("entry")["drain_s"] == 60.0
    assert cfg.section("peers")["seeds"] == ()
    assert cfg.section("routing")["policy"] == "affinity"


@pytest.mark.parametrize(
    "section, values, expected_words",
    [
        ("entry", {"listen": "localhost:80"}, ["listen", "cannot read"]),
        ("entry", {"drain_s": "0"}, ["drain_s", "below"]),
        ("entry", {"log_level": "LOUD"}, ["log_level", "not one of"]),
        ("routing", {"policy": "best"}, ["policy", "not one of"]),
        ("calls", {"shards": "many"}, ["shards", "cannot read"]),
        ("server", {"bodies": "3"}, ["bodies", "no such key"]),
        ("servers", {"a": "3"}, ["servers", "not a section"]),
    ],
)
def test_each_fault_names_section_key_and_remedy(section, values, expected_words):
    faults = check_settings(_replace_values(section, **values)).err_value
    assert len(faults) == 1
    assert all(word in str(faults[0]) for word in [section, *expected_words])
    assert faults[0].remedy


def test_all_faults_of_a_file_are_reported_together(tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text("[entry]\nname = a\nlisten = 1\n[peers]\nkey = k\nseeds = x\n")
    messages = " ".join(str(fault) for fault in read_settings(path).err_value)
    for key in ("listen", "failure_domain", "log", "membership", "seeds"):
        assert f"] {key}:" in messages


def test_the_reference_matches_the_defaults():
    assert REFERENCE_PATH.read_text(encoding="utf-8") == settings_page()
