"""Tests of publishing: verdicts, bases, changes in several records, the commands."""

import subprocess
import sys

import msgspec
import pytest

from citronpin.basics.errors import Outcome
from citronpin.basics.ids import CONFIG_STREAM
from citronpin.standins.standin_logs import LogStandin
from citronpin.state.logs import MemoryLog
from citronpin.state.manifest_files import ManifestFile
from citronpin.state.manifests import CustomersManifest
from citronpin.state.publishers import MAX_PART_BYTES, Publisher
from citronpin.tests.builders import FaultyLog, build_followers, deployment
from citronpin.web.servers import Routes, WebServer

ANY_PORT = ("127.0.0.1", 0)
COMMAND_TIMEOUT_S = 30


@pytest.fixture
def log(paused_clock):
    return FaultyLog(log=MemoryLog(clock=paused_clock), clock=paused_clock)


@pytest.fixture
def publish(log, paused_clock):
    """Return a function that publishes a file with new followers of the log."""

    def run(*manifests, base=None, remove=(), wait_s=5.0):
        results = []
        Publisher(
            followers=build_followers(
                log, paused_clock, "pipeline", proposal_timeout_s=3.0
            ),
            clock=paused_clock,
            file=ManifestFile(tuple(manifests), tuple(remove)),
            base=base,
            author="test",
            timeout_s=3.0,
            done=results.append,
        ).start()
        paused_clock.advance(wait_s)
        assert len(results) == 1
        return results[0]

    return run


def test_a_change_made_from_an_old_configuration_is_rejected(publish):
    first = publish(deployment(), deployment("b")).ok_value
    second = publish(deployment(version="2"), base=first.offset).ok_value
    late = publish(deployment(version="3"), base=first.offset).ok_value
    other = publish(deployment("b", version="2"), base=first.offset).ok_value
    assert [p.accepted for p in (first, second, late, other)] == [True, True, False, 1]
    assert f"changed at offset {second.offset}" in late.reason
    gone = publish(remove=("deployment/rota",)).ok_value
    again = publish(deployment(), base=second.offset).ok_value
    assert gone.accepted and not again.accepted


def test_a_publication_without_an_answer_takes_effect_once(publish, log):
    log.answers_to_lose = 1
    assert publish(deployment()).ok_value.accepted
    log.down = True
    assert publish(deployment("b")).err_value.outcome is Outcome.NOT_RUN
    log.down = False
    assert publish(deployment("b")).ok_value.accepted


def test_a_change_in_several_records_takes_effect_as_one(publish, log, paused_clock):
    adapters = tuple(f"adapter-{number:05d}" for number in range(3_000))
    many = [deployment(f"d-{number}", adapters=adapters) for number in range(8)]
    stale = publish(deployment("d-7")).ok_value.offset
    assert not publish(*many, base=stale - 1).ok_value.accepted
    reader = build_followers(log, paused_clock)
    reader.follow(CONFIG_STREAM)
    paused_clock.advance(0.1)
    assert list(reader.state(CONFIG_STREAM).deployments()) == ["d-7"]
    combined = publish(*many).ok_value
    paused_clock.advance(0.1)
    state = reader.state(CONFIG_STREAM)
    offsets = {accepted.offset for accepted in state.manifests.values()}
    assert (
        combined.accepted and offsets == {combined.offset} and len(state.manifests) == 8
    )
    oversized = CustomersManifest(name="x" * MAX_PART_BYTES)
    assert "Split it" in str(publish(oversized).err_value)


@pytest.fixture
def platform(loops):
    """Return the addresses of a log and of a server that reports offset 0 in force."""

    def admin(clock):
        routes = Routes()
        routes.add(
            "GET", "/admin/configuration", lambda req, reply: reply.json(200, view)
        )
        return WebServer(bind=ANY_PORT, target=routes, clock=clock)

    view = {"offset": 0}
    _, log, entry = loops(
        lambda clock: LogStandin(name="log", bind=ANY_PORT, clock=clock), admin
    )
    return log.address, entry.address


def run_command(*args):
    """Run the command line and return its exit code and standard output."""
    command = [sys.executable, "-m", "citronpin", *map(str, args)]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S
    )
    return completed.returncode, completed.stdout


def test_the_commands_print_verdicts_and_faults(platform, tmp_path):
    log, entry = platform
    file = tmp_path / "rota.json"
    file.write_bytes(msgspec.json.encode(deployment()))
    command = ("publish", file, "--log", log, "--base", "-1", "--timeout", "2")
    code, output = run_command(*command, "--wait", "--entry", entry)
    assert code == 0 and "verdict: accepted" in output and "on all 1 entries" in output
    code, output = run_command(*command)
    assert code == 1 and "verdict: rejected" in output and "make it anew" in output
    bad = tmp_path / "bad.toml"
    bad.write_text('kind = "deployment"\nname = "a b"\ngroups = -1\n')
    code, output = run_command("check", bad)
    assert code == 2 and output.count("\n") == 3
    code, output = run_command("check", file)
    assert code == 0 and "no faults" in output
    settings = tmp_path / "entry.ini"
    settings.write_text("[entry]\nlisten = nowhere\n[other]\n")
    code, output = run_command("check", settings)
    assert code == 2 and "[other]" in output and "[entry] listen" in output


def test_waiting_times_out_when_an_entry_stays_behind(platform, tmp_path):
    log, entry = platform
    file = tmp_path / "rota.json"
    file.write_bytes(msgspec.json.encode(deployment()))
    assert run_command("publish", file, "--log", log)[0] == 0
    args = ("--wait", "--entry", entry, "--timeout", "1")
    code, output = run_command("publish", file, "--log", log, *args)
    assert code == 1 and "not in force after 1.0" in output and entry in output
