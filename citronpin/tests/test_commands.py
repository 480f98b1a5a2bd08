"""Tests of the help texts of the commands."""

import subprocess
import sys

import pytest

from citronpin import main
from citronpin.commands.commands import COMMANDS


@pytest.fixture(scope="module", autouse=True)
def all_commands():
    """Register every command."""
    import importlib

    for module in main.COMMAND_MODULES:
        importlib.import_module(f"citronpin.commands.{module}")


def test_every_command_has_a_summary_and_an_example():
    for name, command in COMMANDS.items():
        assert command.summary and command.example.startswith(f"citronpin {name}")


@pytest.mark.parametrize(
    "name, flag",
    [
        ("bench", "--seed"),
        ("check", "example:"),
        ("demo", "--"),
        ("entry", "--settings"),
        ("gateway", "--metrics_port"),
        ("load", "--plan"),
        ("publish", "--log"),
        ("standin", "--settings"),
        ("status", "--entry"),
        ("story", "--request"),
        ("timeline", "--output"),
        ("version", "none"),
    ],
)
def test_the_help_of_a_command_shows_its_flags(name, flag):
    completed = subprocess.run(
        [sys.executable, "-m", "citronpin", name, "--help"],
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 0 and flag in completed.stdout
    assert f"citronpin {name}" in completed.stdout and "example:" in completed.stdout


def test_the_help_cases_cover_every_command():
    cases_mark = test_the_help_of_a_command_shows_its_flags.pytestmark[0]
    assert {case[0] for case in cases_mark.args[1]} == set(COMMANDS)
