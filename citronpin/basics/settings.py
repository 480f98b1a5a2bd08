"""Settings: keys with their defaults, and the reader that checks INI files.

Each section of an INI file belongs to one part of the program. A key that is not given
has the default listed here; a key whose default is ``REQUIRED`` must be given.
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
    """The type of a setting; the value describes its format to the operator."""

    TEXT = "text"
    NUMBER = "number"
    COUNT = "whole number"
    SWITCH = "yes or no"
    ADDRESS = "IP:PORT"
    ADDRESSES = "IP:PORT, ..."
    NAMES = "name, ..."


class Setting(msgspec.Struct, frozen=True, kw_only=True):
    """One key: its default as text, type, inclusive range, choices and description."""

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
    "name": Setting(
        default=REQUIRED, doc="Name of this entry, unique among all entries."
    ),
    "listen": Setting(
        default=REQUIRED,
        kind=ValueKind.ADDRESS,
        doc="Address on which callers are served.",
    ),
    "failure_domain": Setting(default=REQUIRED, doc="Failure domain of this entry."),
    "region": Setting(default="", doc="Region of this entry."),
    "log": Setting(
        default=REQUIRED, kind=ValueKind.ADDRESS, doc="Address of the log service."
    ),
    "membership": Setting(
        default=REQUIRED,
        kind=ValueKind.ADDRESS,
        doc="Address of the service with the membership list.",
    ),
    "drain_s": _seconds("60", "Longest wait for open requests when the entry stops."),
    "log_level": Setting(
        default="INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
        doc="Lowest level that is logged.",
    ),
}

SERVER_DEFAULTS = {
    "body_bytes": _count("4194304", "Largest request body, in bytes.", minimum=1),
    "header_bytes": _count("32768", "Largest request head, in bytes.", minimum=1024),
    "connections": _count("4096", "Largest number of open connections.", minimum=1),
    "write_buffer_bytes": _count(
        "1048576", "Largest number of unsent bytes per connection.", 4096
    ),
    "request_timeout_s": _seconds(
        "15", "Longest time that a caller may take to send a request."
    ),
    "idle_timeout_s": _seconds("75", "Idle time after which a connection is closed."),
    "stall_timeout_s": _seconds(
        "30", "Longest time that a caller may read nothing of an answer."
    ),
}

PEERS_DEFAULTS = {
    "listen": Setting(
        default=REQUIRED,
        kind=ValueKind.ADDRESS,
        doc="Address on which other entries connect.",
    ),
    "seeds": Setting(
        default="",
        kind=ValueKind.ADDRESSES,
        doc="Addresses of entries to contact at start.",
    ),
    "key": Setting(
        default=REQUIRED, doc="Secret with which entries authenticate each other."
    ),
    "advertise": Setting(
        default="", doc="Address that other entries connect to, if other than listen."
    ),
}

CALLS_DEFAULTS = {
    "shards": _count(
        "1", "Shards of non-repeatable calls; must be equal on all entries.", 1, 4096
    ),
    "window_s": _seconds(
        "600", "Age in seconds above which an idempotency key is refused."
    ),
}

STANDIN_DEFAULTS = {
    "listen": Setting(
        default=REQUIRED,
        kind=ValueKind.ADDRESS,
        doc="Address on which the stand-in serves.",
    ),
    "name": Setting(
        default="standin", doc="Name of the stand-in in logs and in the time line."
    ),
}

STANDIN_ENGINE_DEFAULTS = {
    "failure_domain": Setting(default="a", doc="Failure domain of the instance."),
    "region": Setting(default="", doc="Region of the instance."),
    "domain": Setting(default="fabric-1", doc="Fabric domain of the instance."),
    "accelerators": _count("8", "Number of accelerators of the instance."),
    "checks_fence": Setting(
        default="yes",
        kind=ValueKind.SWITCH,
        doc="Whether orders with an outdated fencing number are refused.",
    ),
    "tokens_per_s": Setting(
        default="50",
        kind=ValueKind.NUMBER,
        minimum=0.1,
        doc="Tokens per second of a stream that runs alone.",
    ),
    "batch": _count(
        "32", "Largest number of streams that are generated at once.", minimum=1
    ),
    "cache_blocks": _count(
        "4096", "Capacity of the prefix cache, in blocks.", minimum=1
    ),
    "load_s": _seconds(
        "1", "Time to load a model without a weight store, in seconds.", 0.0
    ),
    "weights": Setting(
        default="",
        kind=ValueKind.ADDRESSES,
        doc="Address of the weight store; if empty, a load takes load_s.",
    ),
}

STANDIN_MEMBERSHIP_DEFAULTS = {
    "instances": Setting(
        default="", doc="JSON file that lists the instances; if empty, there are none."
    ),
}

STANDIN_WEIGHTS_DEFAULTS = {
    "bytes_per_s": Setting(
        default="10e9",
        kind=ValueKind.NUMBER,
        minimum=1,
        doc="Bytes per second, shared by all downloads.",
    ),
    "model_bytes": Setting(
        default="10e9",
        kind=ValueKind.NUMBER,
        minimum=0,
        doc="Size of a model, in bytes.",
    ),
    "adapter_bytes": Setting(
        default="0.1e9",
        kind=ValueKind.NUMBER,
        minimum=0,
        doc="Size of an adapter, in bytes.",
    ),
    "slots": _count("4", "Largest number of concurrent downloads.", minimum=1),
}

ROUTING_DEFAULTS = {
    "policy": Setting(
        default="affinity",
        choices=("affinity", "least-in-flight", "random", "rendezvous"),
        doc="Policy that chooses the group for a request.",
    ),
    "block_s": _number(
        "0.01", "Cost of a prefix block that is not cached, in seconds.", 0, 10
    ),
    "load_s": _number(
        "0.2", "Cost of a load of one request per slot, in seconds.", 0, 100
    ),
    "queue_s": _number(
        "4", "Cost of a queue of one request per slot, in seconds.", 0, 1e4
    ),
    "load_bound": _number(
        "1.25", "Highest load of a chosen group, relative to the mean.", 1, 10
    ),
    "random_choices": _count("3", "Random candidate groups per request.", 1, 100),
    "cached_choices": _count(
        "2", "Candidate groups per request by cached prefix.", 0, 100
    ),
    "own_weight": _number(
        "9", "Weight of the entry's own requests above its mean per group.", 0, 1000
    ),
    "report_trust": _number(
        "0.7", "Weight of a reported load against the mean of all reports.", 0, 1
    ),
    "home_trust": _number(
        "0.7", "Share of a prefix that its home group is expected to cache.", 0, 1
    ),
    "home_spread": _number(
        "2", "Home groups of a prefix, relative to its share of the requests.", 0, 100
    ),
}

ADMISSION_DEFAULTS = {
    "policy": Setting(
        default="weighted",
        choices=("fifo", "open", "weighted"),
        doc="Policy that admits, queues and refuses requests.",
    ),
    "max_wait_s": _seconds(
        "1", "Longest expected queueing time of an admitted request."
    ),
    "initial_limit": _number("32", "Limit of requests in flight at start.", 1, 1e6),
    "target_fill": _number("1.05", "Target ratio of requests to slots.", 0.1, 10),
    "priority_lead": _number(
        "4", "Largest lead in virtual time that priority gives.", 0, 1e3
    ),
    "retry_share": _number("0.1", "Largest ratio of retries to first attempts.", 0, 1),
    "retry_reserve": _number(
        "10", "Largest number of unused retries that are kept.", 0, 1e6
    ),
    "hedge_percentile": _number(
        "99", "Percentile of first token times after which to hedge.", 50, 100
    ),
}

LIMITS_DEFAULTS = {
    "burst_s": _seconds("1", "Burst size, in seconds of the limit."),
    "window_s": _seconds("1", "Interval of demand reports between entries."),
    "peer_timeout_s": _seconds(
        "5", "Age above which a demand report of a peer is ignored."
    ),
    "handback_s": _seconds(
        "30", "Time for which the share of a lost peer is reserved."
    ),
    "floor": _number(
        "0.1", "Share of a limit that is divided equally among entries.", 0, 1
    ),
}

REPAIR_DEFAULTS = {
    "policy": Setting(
        default="weighted",
        choices=("dissolve", "immediate", "weighted"),
        doc="Policy that repairs groups.",
    ),
    "pause_wait": _number(
        "0.15", "Wait for a paused member, as a share of the repair time.", 0, 10
    ),
    "straggler_wait_s": _seconds("120", "Time before a straggler is replaced."),
    "repairs_in_flight": _count(
        "2", "Largest number of groups of a domain that load at once.", 1, 1000
    ),
    "load_s": _seconds("180", "Expected time to load a model, in seconds."),
    "warm_load_s": _seconds(
        "20", "Expected time to join a group with the model already loaded."
    ),
    "replacement_s": _seconds(
        "3600", "Expected time until a replacement instance arrives."
    ),
    "gain_margin": _number(
        "0.25",
        "Extra gain required to dissolve a group, as a share of its cost.",
        0,
        10,
    ),
    "preload": Setting(
        default="yes",
        kind=ValueKind.SWITCH,
        doc="Whether models are loaded on spare instances in advance.",
    ),
    "detector": Setting(
        default="timeout",
        choices=("graded", "timeout"),
        doc="Failure detector: a plain timeout, or one that grades silence.",
    ),
    "paused_after_s": _seconds(
        "1", "Silence after which an instance counts as paused."
    ),
    "dead_after_s": _seconds("10", "Silence after which an instance counts as dead."),
    "dark_share": _number(
        "0.6", "Share of silent instances at which a domain counts as dark.", 0.1, 1
    ),
    "straggler_ratio": _number(
        "4", "Ratio of a straggler's delay to the median delay.", 1, 1000
    ),
    "placement": Setting(
        default="even",
        choices=("even",),
        doc="Policy that spreads groups over domains.",
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
    """Checked and converted values by section and key."""

    values: dict[str, dict[str, object]]

    def section(self, name: str) -> dict[str, object]:
        """Return the values of a section by key; raises `KeyError`."""
        return self.values[name]


def read_settings(
    path: str | Path, sections: tuple[str, ...] = ENTRY_SECTIONS
) -> Result[Settings, list[SettingsError]]:
    """Read and check an INI file; `Err` holds all of its faults, not only the first."""
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
    """Check values given as text by section and key, fill in defaults and convert them.

    A section that is given and known but not in ``sections`` is ignored. `Err` holds
    all faults.
    """
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
    defaults = DEFAULTS[name]
    for key in given:
        if key not in defaults:
            known_keys = ", ".join(sorted(defaults))
            faults.append(
                SettingsError(
                    f"[{name}] {key}: there is no such key.",
                    remedy=f"Use one of {known_keys}.",
                )
            )
    values = {}
    for key, setting in defaults.items():
        text = given.get(key, setting.default)
        if text is None:
            faults.append(
                SettingsError(f"[{name}] {key}: is missing.", remedy=setting.doc)
            )
            continue
        values[key] = _parse_value(name, key, text.strip(), setting, faults)
    return values


def _parse_value(name: str, key: str, text: str, setting: Setting, faults: list):
    try:
        value = _PARSERS[setting.kind](text)
    except ValueError:
        value = None
        remedy = f"Give {setting.kind.value}. {setting.doc}"
        faults.append(
            SettingsError(f"[{name}] {key}: cannot read {text!r}.", remedy=remedy)
        )
        return value
    fault = _find_range_fault(value, setting)
    if fault:
        faults.append(
            SettingsError(f"[{name}] {key}: {text!r} is {fault}.", remedy=setting.doc)
        )
    return value


def _find_range_fault(value, setting: Setting) -> str:
    """Return how a value violates its choices or range, or an empty text."""
    if setting.choices and value not in setting.choices:
        return f"not one of {', '.join(setting.choices)}"
    if setting.minimum is not None and value < setting.minimum:
        return f"below {setting.minimum:g}"
    if setting.maximum is not None and value > setting.maximum:
        return f"above {setting.maximum:g}"
    return ""


def _parse_switch(text: str) -> bool:
    switches = {"yes": True, "true": True, "no": False, "false": False}
    if text.lower() not in switches:
        raise ValueError(text)
    return switches[text.lower()]


def _parse_address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not colon or not 0 <= int(port) <= 65_535:
        raise ValueError(text)
    return text


def _parse_list(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


_PARSERS = {
    ValueKind.TEXT: str,
    ValueKind.NUMBER: float,
    ValueKind.COUNT: int,
    ValueKind.SWITCH: _parse_switch,
    ValueKind.ADDRESS: _parse_address,
    ValueKind.ADDRESSES: lambda text: tuple(map(_parse_address, _parse_list(text))),
    ValueKind.NAMES: _parse_list,
}


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``IP:PORT``; raises `ValueError`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
