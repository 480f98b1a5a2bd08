"""Settings: defaults, reading and checking.

Each section of the INI file belongs to one part of the program; every key has a
default here, except those whose default is ``REQUIRED``.
"""

import configparser
import ipaddress
import logging
from enum import Enum
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from citronpin.basics.errors import SettingsError

logger = logging.getLogger(__name__)

REQUIRED = None


class ValueKind(Enum):
    """How the text of a setting is read."""

    TEXT = "text"
    NUMBER = "number"
    COUNT = "whole number"
    SWITCH = "yes or no"
    ADDRESS = "IP:PORT"
    ADDRESSES = "IP:PORT, ..."
    NAMES = "name, ..."


class Setting(msgspec.Struct, frozen=True, kw_only=True):
    """One key: its default, how it is read, its range and what it is for."""

    default: str | None
    kind: ValueKind = ValueKind.TEXT
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    doc: str


def _seconds(default: str, doc: str, minimum: float = 0.001) -> Setting:
    return Setting(
        default=default, kind=ValueKind.NUMBER, minimum=minimum, maximum=1e6, doc=doc
    )


def _count(default: str, doc: str, minimum: int = 0, maximum: int = 10**9) -> Setting:
    return Setting(
        default=default,
        kind=ValueKind.COUNT,
        minimum=minimum,
        maximum=maximum,
        doc=doc,
    )


def _number(default: str, doc: str, minimum: float, maximum: float) -> Setting:
    return Setting(
        default=default,
        kind=ValueKind.NUMBER,
        minimum=minimum,
        maximum=maximum,
        doc=doc,
    )


ENTRY_DEFAULTS = {
    "name": Setting(default=REQUIRED, doc="Name of this entry, unique among entries."),
    "listen": Setting(
        default=REQUIRED, kind=ValueKind.ADDRESS, doc="Address for callers."
    ),
    "failure_domain": Setting(default=REQUIRED, doc="Failure domain it runs in."),
    "region": Setting(default="", doc="Region it runs in."),
    "log": Setting(
        default=REQUIRED, kind=ValueKind.ADDRESS, doc="Address of the log service."
    ),
    "membership": Setting(
        default=REQUIRED, kind=ValueKind.ADDRESS, doc="Address of the membership list."
    ),
    "drain_s": _seconds("60", "Longest time that a planned stop waits."),
    "log_level": Setting(
        default="INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
        doc="Least level that is logged.",
    ),
}

SERVER_DEFAULTS = {
    "body_bytes": _count("4194304", "Largest request body.", minimum=1),
    "header_bytes": _count("32768", "Largest request head.", minimum=1024),
    "connections": _count("4096", "Most open connections.", minimum=1),
    "write_buffer_bytes": _count("1048576", "Most unsent bytes a caller.", 4096),
    "request_timeout_s": _seconds("15", "Longest time to send a request."),
    "idle_timeout_s": _seconds("75", "Longest time between requests."),
    "stall_timeout_s": _seconds("30", "Longest time without taking a byte."),
}

PEERS_DEFAULTS = {
    "listen": Setting(
        default=REQUIRED, kind=ValueKind.ADDRESS, doc="Address for other entries."
    ),
    "seeds": Setting(
        default="", kind=ValueKind.ADDRESSES, doc="Entries to contact at boot."
    ),
    "key": Setting(default=REQUIRED, doc="Secret that authenticates entries."),
    "advertise": Setting(
        default="", doc="Address that other entries use, if it is not listen."
    ),
}

CALLS_DEFAULTS = {
    "shards": _count("1", "Shards of non-repeatable calls; the same on all.", 1, 4096),
    "window_s": _seconds("600", "Age at which a key is refused."),
}

STANDIN_DEFAULTS = {
    "listen": Setting(
        default=REQUIRED, kind=ValueKind.ADDRESS, doc="Address of the stand-in."
    ),
    "name": Setting(default="standin", doc="Name in logs and the time line."),
}

STANDIN_ENGINE_DEFAULTS = {
    "failure_domain": Setting(default="a", doc="Failure domain it runs in."),
    "region": Setting(default="", doc="Region it runs in."),
    "domain": Setting(default="fabric-1", doc="Fabric domain it belongs to."),
    "accelerators": _count("8", "Accelerators of the instance."),
    "checks_fence": Setting(
        default="yes",
        kind=ValueKind.SWITCH,
        doc="Whether orders with an old fencing number are refused.",
    ),
    "tokens_per_s": Setting(
        default="50",
        kind=ValueKind.NUMBER,
        minimum=0.1,
        doc="Tokens a second of one stream alone.",
    ),
    "batch": _count("32", "Most streams that are generated at once.", minimum=1),
    "cache_blocks": _count("4096", "Blocks that the prefix cache holds.", minimum=1),
    "load_s": _seconds("1", "Time to load a model without a weight store.", 0.0),
    "weights": Setting(
        default="",
        kind=ValueKind.ADDRESSES,
        doc="Address of the weight store; empty: load_s.",
    ),
}

STANDIN_MEMBERSHIP_DEFAULTS = {
    "instances": Setting(default="", doc="JSON file with the instances; empty: none."),
}

STANDIN_WEIGHTS_DEFAULTS = {
    "bytes_per_s": Setting(
        default="10e9",
        kind=ValueKind.NUMBER,
        minimum=1,
        doc="Bytes a second that all downloads share.",
    ),
    "model_bytes": Setting(
        default="10e9", kind=ValueKind.NUMBER, minimum=0, doc="Size of a model."
    ),
    "adapter_bytes": Setting(
        default="0.1e9", kind=ValueKind.NUMBER, minimum=0, doc="Size of an adapter."
    ),
    "slots": _count("4", "Most downloads at once.", minimum=1),
}

ROUTING_DEFAULTS = {
    "policy": Setting(
        default="affinity",
        choices=("affinity", "least-in-flight", "random", "rendezvous"),
        doc="How a group is chosen for a request.",
    ),
    "block_s": _number("0.01", "Seconds that a cached prefix block saves.", 0, 10),
    "load_s": _number("0.2", "Seconds that a full batch costs.", 0, 100),
    "queue_s": _number("4", "Seconds that a queue as long as a batch costs.", 0, 1e4),
    "load_bound": _number("1.25", "Most load of a choice to the mean load.", 1, 10),
    "random_choices": _count("3", "Groups drawn for each request.", 1, 100),
    "cached_choices": _count("2", "Groups taken by cache for each request.", 0, 100),
    "own_weight": _number("9", "Weight of own requests above their mean.", 0, 1000),
    "report_trust": _number("0.7", "Trust in load reports.", 0, 1),
    "home_trust": _number("0.7", "Share of a prefix expected at its home.", 0, 1),
    "home_spread": _number("2", "Homes of a prefix to its share of requests.", 0, 100),
}

ADMISSION_DEFAULTS = {
    "policy": Setting(
        default="weighted",
        choices=("fifo", "open", "weighted"),
        doc="How requests are admitted, queued and refused.",
    ),
    "max_wait_s": _seconds("1", "Longest expected wait in the queue."),
    "initial_limit": _number("32", "Requests in flight at first.", 1, 1e6),
    "target_fill": _number("1.05", "Requests to slots that are aimed at.", 0.1, 10),
    "priority_lead": _number("4", "Most virtual time that priority gains.", 0, 1e3),
    "retry_share": _number("0.1", "Retries to first attempts.", 0, 1),
    "retry_reserve": _number("10", "Retries saved up at most.", 0, 1e6),
    "hedge_percentile": _number(
        "99", "First token time after which to hedge.", 50, 100
    ),
}

LIMITS_DEFAULTS = {
    "burst_s": _seconds("1", "Seconds of a limit that may be saved up."),
    "window_s": _seconds("1", "Time between two messages on demand."),
    "peer_timeout_s": _seconds("5", "Age at which a peer's demand is dropped."),
    "handback_s": _seconds("30", "Time that a lost peer's part is kept aside."),
    "floor": _number("0.1", "Part of a limit divided equally.", 0, 1),
}

REPAIR_DEFAULTS = {
    "policy": Setting(
        default="weighted",
        choices=("dissolve", "immediate", "weighted"),
        doc="How groups are repaired.",
    ),
    "pause_wait": _number("0.15", "Wait for a pause to a repair's time.", 0, 10),
    "straggler_wait_s": _seconds("120", "Time before a straggler is replaced."),
    "repairs_in_flight": _count("2", "Groups of a domain that load at once.", 1, 1000),
    "load_s": _seconds("180", "Expected time to load a model."),
    "warm_load_s": _seconds("20", "Expected time to join with the model loaded."),
    "replacement_s": _seconds("3600", "Expected time to a replacement instance."),
    "gain_margin": _number("0.25", "Gain wanted before a group is broken up.", 0, 10),
    "preload": Setting(
        default="yes", kind=ValueKind.SWITCH, doc="Load models on spares beforehand."
    ),
    "detector": Setting(
        default="timeout", choices=("graded", "timeout"), doc="How silence is judged."
    ),
    "paused_after_s": _seconds("1", "Silence that counts as a pause."),
    "dead_after_s": _seconds("10", "Silence that counts as death."),
    "dark_share": _number("0.6", "Share silent that makes a domain dark.", 0.1, 1),
    "straggler_ratio": _number("4", "Delay to the median of a straggler.", 1, 1000),
    "placement": Setting(
        default="even", choices=("even",), doc="How groups are spread over domains."
    ),
}

DEFAULTS: dict[str, dict[str, Setting]] = {
    "entry": ENTRY_DEFAULTS,
    "server": SERVER_DEFAULTS,
    "peers": PEERS_DEFAULTS,
    "routing": ROUTING_DEFAULTS,
    "admission": ADMISSION_DEFAULTS,
    "limits": LIMITS_DEFAULTS,
    "repair": REPAIR_DEFAULTS,
    "calls": CALLS_DEFAULTS,
    "standin": STANDIN_DEFAULTS,
    "standin_engine": STANDIN_ENGINE_DEFAULTS,
    "standin_membership": STANDIN_MEMBERSHIP_DEFAULTS,
    "standin_weights": STANDIN_WEIGHTS_DEFAULTS,
}

POLICY_SECTIONS = ("routing", "admission", "limits", "repair")
ENTRY_SECTIONS = ("entry", "server", "peers", "calls", *POLICY_SECTIONS)


class Settings(msgspec.Struct, frozen=True):
    """Checked values by section and key."""

    values: dict[str, dict[str, object]]

    def section(self, name: str) -> dict[str, object]:
        """Return the values of a section."""
        return self.values[name]


def read_settings(
    path: str | Path, sections: tuple[str, ...] = ENTRY_SECTIONS
) -> Result[Settings, list[SettingsError]]:
    """Read an INI file; `Err` holds every fault that it has."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as source:
            parser.read_file(source)
    except (OSError, configparser.Error, UnicodeDecodeError) as exc:
        return Err([SettingsError(f"{path}: {exc}.", remedy="Correct the file.")])
    given = {name: dict(parser[name]) for name in parser.sections()}
    return check_settings(given, sections)


def check_settings(
    given: dict[str, dict[str, str]], sections: tuple[str, ...] = ENTRY_SECTIONS
) -> Result[Settings, list[SettingsError]]:
    """Check given texts, fill in defaults and read every value."""
    faults = [
        SettingsError(f"[{name}] is not a section.", remedy="Remove or rename it.")
        for name in given
        if name not in DEFAULTS
    ]
    values = {}
    for name in sections:
        values[name] = _check_section(name, given.get(name, {}), faults)
    return Err(faults) if faults else Ok(Settings(values))


def _check_section(name: str, given: dict[str, str], faults: list) -> dict:
    known = DEFAULTS[name]
    for key in given:
        if key not in known:
            close = ", ".join(sorted(known))
            faults.append(
                SettingsError(
                    f"[{name}] {key}: there is no such key.",
                    remedy=f"Use one of {close}.",
                )
            )
    values = {}
    for key, setting in known.items():
        text = given.get(key, setting.default)
        if text is None:
            faults.append(
                SettingsError(f"[{name}] {key}: is missing.", remedy=setting.doc)
            )
            continue
        values[key] = _read_value(name, key, text.strip(), setting, faults)
    return values


def _read_value(name: str, key: str, text: str, setting: Setting, faults: list):
    try:
        value = _READERS[setting.kind](text)
    except ValueError:
        value = None
        remedy = f"Give {setting.kind.value}. {setting.doc}"
        faults.append(
            SettingsError(f"[{name}] {key}: cannot read {text!r}.", remedy=remedy)
        )
        return value
    fault = _range_fault(value, setting)
    if fault:
        faults.append(
            SettingsError(f"[{name}] {key}: {text!r} is {fault}.", remedy=setting.doc)
        )
    return value


def _range_fault(value, setting: Setting) -> str:
    if setting.choices and value not in setting.choices:
        return f"not one of {', '.join(setting.choices)}"
    if setting.minimum is not None and value < setting.minimum:
        return f"below {setting.minimum:g}"
    if setting.maximum is not None and value > setting.maximum:
        return f"above {setting.maximum:g}"
    return ""


def _read_switch(text: str) -> bool:
    switches = {"yes": True, "true": True, "no": False, "false": False}
    if text.lower() not in switches:
        raise ValueError(text)
    return switches[text.lower()]


def _read_address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not colon or not 0 <= int(port) <= 65_535:
        raise ValueError(text)
    return text


def _read_list(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


_READERS = {
    ValueKind.TEXT: str,
    ValueKind.NUMBER: float,
    ValueKind.COUNT: int,
    ValueKind.SWITCH: _read_switch,
    ValueKind.ADDRESS: _read_address,
    ValueKind.ADDRESSES: lambda text: tuple(map(_read_address, _read_list(text))),
    ValueKind.NAMES: _read_list,
}


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
