"""Tests of the order of imports between the parts and of the use of clocks."""

import ast
from pathlib import Path

import pytest

import citronpin

PACKAGE = Path(citronpin.__file__).parent
PARTS = (
    "basics",
    "web",
    "state",
    "backends",
    "peers",
    "policy",
    "control",
    "callers",
    "wiring",
    "gateway",
    "platform",
    "standins",
    "benches",
    "demos",
    "commands",
)
WALL_CLOCK_CALLS = {("time", "time"), ("datetime", "now"), ("datetime", "utcnow")}
CLOCK_MODULES = {"basics/clocks.py"}


def module_paths(part):
    return sorted((PACKAGE / part).glob("*.py"))


def imported_modules(tree):
    """Yield the full names of the modules of this package that a module imports."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(
            "citronpin."
        ):
            yield node.module
        elif isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.startswith("citronpin."):
                    yield alias.name


def wall_clock_lines(tree):
    """Yield the lines that read the wall clock without `citronpin.basics.clocks`."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            if (node.value.id, node.attr) in WALL_CLOCK_CALLS:
                yield node.lineno
        if isinstance(node, ast.ImportFrom) and node.module in ("circuits", "time"):
            if {alias.name for alias in node.names} & {"Timer", "time", "sleep"}:
                yield node.lineno


def test_every_folder_is_a_listed_part():
    folders = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert folders == {*PARTS, "tests"}


@pytest.mark.parametrize("part", PARTS)
def test_a_part_imports_no_later_part(part):
    allowed = set(PARTS[: PARTS.index(part) + 1])
    for path in module_paths(part):
        for name in imported_modules(ast.parse(path.read_text())):
            assert name.split(".")[1] in allowed, f"{path.name} imports {name}"


@pytest.mark.parametrize("part", PARTS)
def test_modules_of_a_part_have_no_import_cycle(part):
    graph = {
        path.stem: {
            name.split(".")[2]
            for name in imported_modules(ast.parse(path.read_text()))
            if name.count(".") > 1 and name.split(".")[1] == part
        }
        for path in module_paths(part)
    }
    while graph:
        independent = {name for name, needs in graph.items() if not needs & set(graph)}
        assert independent, f"import cycle among {sorted(graph)}"
        graph = {
            name: needs for name, needs in graph.items() if name not in independent
        }


@pytest.mark.parametrize("part", [part for part in PARTS if part != "standins"])
def test_no_module_reads_the_wall_clock_directly(part):
    for path in module_paths(part):
        if str(path.relative_to(PACKAGE)) in CLOCK_MODULES:
            continue
        lines = list(wall_clock_lines(ast.parse(path.read_text())))
        assert not lines, f"{path.name} reads the wall clock at lines {lines}"


def test_the_wall_clock_check_finds_each_use():
    source = "import time\nfrom circuits import Timer\ntime.time()\n"
    assert list(wall_clock_lines(ast.parse(source))) == [2, 3]
