"""Reads manifest files of build pipelines, in TOML or JSON.

A file holds either one manifest, or a list ``manifests`` and a list ``remove`` of
scopes to remove; all of it is published as one change.
"""

import logging
import tomllib
from pathlib import Path
from types import UnionType
from typing import Any, get_args, get_origin

import msgspec
from result import Err, Ok, Result

from citronpin.state.manifests import (
    ApplicationManifest,
    CustomersManifest,
    DeploymentManifest,
    Manifest,
    ManifestFault,
    ManifestPart,
    ScopeKind,
    check_manifest,
    scope_of,
)

logger = logging.getLogger(__name__)

MANIFEST_TYPES: dict[str, type[ManifestPart]] = {
    kind.__struct_config__.tag: kind
    for kind in (DeploymentManifest, ApplicationManifest, CustomersManifest)
}
TOP_KEYS = ("manifests", "remove")


class ManifestFile(msgspec.Struct, frozen=True):
    """The manifests of a file and the scopes that it removes."""

    manifests: tuple[Manifest, ...]
    remove: tuple[str, ...] = ()


FileResult = Result[ManifestFile, list[ManifestFault]]


def read_manifests(path: str | Path) -> FileResult:
    """Read and check a file; `Err` holds all faults that were found."""
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
        data = tomllib.loads(text) if path.suffix == ".toml" else _parse_json(text)
    except (OSError, ValueError, msgspec.DecodeError) as exc:
        fault = ManifestFault(str(path), "file", f"{exc}.", "Correct the file.")
        return Err([fault])
    return parse_manifest_data(data)


def _parse_json(text: str):
    return msgspec.json.decode(text)


def parse_manifest_data(data) -> FileResult:
    """Convert and check decoded data; `Err` holds all faults that were found."""
    if not isinstance(data, dict):
        return Err([ManifestFault("file", "", "is not a table.", "Give a manifest.")])
    if "kind" in data:
        data = {"manifests": [data]}
    faults = [
        ManifestFault("file", key, "is not known.", f"Use {' or '.join(TOP_KEYS)}.")
        for key in data
        if key not in TOP_KEYS
    ]
    manifests = _read_manifests(data.get("manifests", []), faults)
    remove = _read_removals(data.get("remove", []), faults)
    scopes = [scope_of(manifest) for manifest in manifests] + list(remove)
    for scope in sorted({scope for scope in scopes if scopes.count(scope) > 1}):
        faults.append(
            ManifestFault(scope, "name", "is given twice.", "Keep one of them.")
        )
    if not scopes and not faults:
        faults.append(
            ManifestFault("file", "manifests", "is empty.", "Name a scope at least.")
        )
    if faults:
        return Err(faults)
    return Ok(ManifestFile(manifests=tuple(manifests), remove=tuple(remove)))


def _read_manifests(parts, faults: list[ManifestFault]) -> list[Manifest]:
    if not isinstance(parts, list):
        faults.append(
            ManifestFault("file", "manifests", "is not a list.", "Give a list.")
        )
        return []
    manifests = []
    for number, part in enumerate(parts):
        manifest = _read_manifest(part, f"manifests[{number}]", faults)
        if manifest is not None:
            manifests.append(manifest)
    return manifests


def _read_manifest(
    part, field_path: str, faults: list[ManifestFault]
) -> Manifest | None:
    kind = part.get("kind") if isinstance(part, dict) else None
    if not isinstance(kind, str) or kind not in MANIFEST_TYPES:
        detail = f"is {kind!r}."
        remedy = f"Give one of {', '.join(sorted(MANIFEST_TYPES))}."
        faults.append(ManifestFault(field_path, "kind", detail, remedy))
        return None
    scope = f"{kind}/{part.get('name', '?')}"
    found: list[ManifestFault] = []
    fields = {key: value for key, value in part.items() if key != "kind"}
    manifest = _read_struct(fields, MANIFEST_TYPES[kind], scope, "", found)
    if not found:
        found = check_manifest(manifest)
    faults.extend(found)
    return manifest if not found else None


def _read_struct(
    data, struct_type, scope: str, prefix: str, found: list[ManifestFault]
):
    """Convert a table field by field, so that all of its faults are reported."""
    if not isinstance(data, dict):
        found.append(ManifestFault(scope, prefix, "is not a table.", "Give a table."))
        return None
    known = {field.name: field for field in msgspec.structs.fields(struct_type)}
    for key in data:
        if key not in known:
            remedy = f"Use one of {', '.join(sorted(known))}."
            field_path = _join_path(prefix, key)
            found.append(ManifestFault(scope, field_path, "is not known.", remedy))
    values = {}
    for name, field in known.items():
        field_path = _join_path(prefix, name)
        if name in data:
            values[name] = _read_value(data[name], field.type, scope, field_path, found)
        elif field.required:
            remedy = f"Give {_type_name(field.type)}."
            found.append(ManifestFault(scope, field_path, "is missing.", remedy))
    return struct_type(**values) if not found else None


def _read_value(
    value, value_type, scope: str, field_path: str, found: list[ManifestFault]
):
    if _is_part(value_type):
        return _read_struct(value, value_type, scope, field_path, found)
    if get_origin(value_type) is tuple and isinstance(value, list):
        item_type = get_args(value_type)[0]
        return tuple(
            _read_value(item, item_type, scope, f"{field_path}[{number}]", found)
            for number, item in enumerate(value)
        )
    try:
        return msgspec.convert(value, value_type)
    except msgspec.ValidationError as exc:
        remedy = f"Give {_type_name(value_type)}."
        found.append(ManifestFault(scope, field_path, f"{exc}.", remedy))
        return None


def _is_part(value_type) -> bool:
    return isinstance(value_type, type) and issubclass(value_type, ManifestPart)


def _type_name(value_type: Any) -> str:
    """Return the name of a type for a remedy."""
    value_type = getattr(value_type, "__supertype__", value_type)
    if get_origin(value_type) is tuple:
        return f"a list, each item {_type_name(get_args(value_type)[0])}"
    if isinstance(value_type, UnionType):
        return " or ".join(map(_type_name, get_args(value_type)))
    words = {
        str: "a text",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
        type(None): "nothing",
    }
    return words.get(value_type, "a table")


def _join_path(prefix: str, name: str) -> str:
    return f"{prefix}.{name}" if prefix else name


def _read_removals(scopes, faults: list[ManifestFault]) -> list[str]:
    if not isinstance(scopes, list):
        faults.append(ManifestFault("file", "remove", "is not a list.", "Give a list."))
        return []
    kinds = [kind.value for kind in ScopeKind]
    kept = []
    for scope in scopes:
        kind, _, name = scope.partition("/") if isinstance(scope, str) else ("", "", "")
        if kind in kinds and name:
            kept.append(scope)
            continue
        remedy = f"Give KIND/NAME with a kind of {', '.join(kinds)}."
        faults.append(ManifestFault("file", "remove", f"holds {scope!r}.", remedy))
    return kept
