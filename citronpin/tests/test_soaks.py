"""Invariants of gateway processes under faults, and checks that detect violations."""

import os
import socket

import msgspec
import pytest

from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.requests import event, whole_stream
from citronpin.tests.soaks import checks
from citronpin.tests.soaks.callers import Kind, Outcome
from citronpin.tests.soaks.platforms import (
    LAST_EVENT,
    ColdEpisode,
    LimitEpisode,
    answer_body,
    body_digest,
)
from citronpin.tests.soaks.proxies import FaultProxy
from citronpin.tests.soaks.soaks import NODE_COUNT, Soak

SHORT_RUN_S = 8.0
LONG_RUN_S = 20.0


def run_soak(seed, seconds, folder, faults=None, node_count=NODE_COUNT):
    soak = Soak(
        seed=seed,
        seconds=seconds,
        folder=folder,
        faults=faults,
        node_count=node_count,
    )
    soak.run()
    print(f"seed {seed}: {dict(soak.injected)}; {dict(soak.outcome_counts)}")
    assert soak.violations == []


def test_invariants_hold_under_faults(tmp_path):
    run_soak(1, SHORT_RUN_S, tmp_path)


def test_limits_hold_under_faults(tmp_path):
    names = ["do_limit_instances", "do_pause_node", "do_stop_node_as_planned"]
    run_soak(3, SHORT_RUN_S, tmp_path, names)


def test_nodes_cut_off_from_instances_serve_under_faults(tmp_path):
    run_soak(4, SHORT_RUN_S, tmp_path, ["do_cut_nodes_from_instances"])


def test_instances_that_rest_or_leave_are_left_alone_under_faults(tmp_path):
    run_soak(5, SHORT_RUN_S, tmp_path, ["do_ask_for_rest", "do_let_instance_leave"])


def test_garbled_answers_and_foreign_entries_are_told_apart_under_faults(tmp_path):
    names = ["do_garble_answers", "do_write_foreign_entries", "do_lose_instance"]
    run_soak(6, SHORT_RUN_S, tmp_path, names)


def test_evacuated_and_cold_instances_are_left_alone_under_faults(tmp_path):
    names = ["do_evacuate_zone", "do_return_cold", "do_pause_node"]
    run_soak(7, LONG_RUN_S, tmp_path, names)


def test_the_check_of_evacuations_counts_what_comes_late():
    arrivals = [(at_s, "z0", f"a{at_s}") for at_s in (4.0, 6.0, 7.0, 9.0)]
    nodes = {"a4.0": "n0", "a6.0": "n0", "a7.0": "n1", "a9.0": "n0"}
    found = checks.check_evacuations(
        [("z0", 0.0, 8.0), ("z1", 0.0, 8.0)], arrivals, nodes, [("n1", 2.0, 3.0)]
    )
    assert found == ["a6.0 of n0 reached z0, which was evacuated"]


@pytest.mark.parametrize("count, is_allowed", [(11, True), (12, False)])
def test_the_check_of_cold_phases_counts_each_second(count, is_allowed):
    episode = ColdEpisode(start_s=0.0, end_s=6.0)
    episode.arrivals = [(3.0 + 0.05 * n, f"a{n}") for n in range(count)]
    episode.arrivals += [(1.0, "a0")] * 20 + [(6.1, "a0")] * 20
    nodes = {f"a{n}": "n0" for n in range(count)}
    found = checks.check_cold_episodes([episode], 4.0, nodes, [])
    assert (not found) is is_allowed


def test_one_deadly_request_is_stopped_under_faults(tmp_path):
    names = ["do_send_request_that_crashes_instances", "do_limit_instances"]
    run_soak(2, SHORT_RUN_S, tmp_path, names)


@pytest.mark.soak
def test_invariants_hold_under_faults_for_longer(tmp_path):
    run_soak(
        int(os.environ["CITRONPIN_SOAK_SEED"]),
        LONG_RUN_S,
        tmp_path,
        node_count=int(os.environ.get("CITRONPIN_SOAK_NODES", NODE_COUNT)),
    )


def test_reset_ends_a_connection_on_which_the_proxy_waits_for_data():
    with socket.create_server(("127.0.0.1", 0)) as server:
        proxy = FaultProxy(port=0, target_port=server.getsockname()[1])
        with socket.create_connection(("127.0.0.1", proxy.port), timeout=5.0) as conn:
            accepted, _ = server.accept()
            conn.sendall(b"x")
            assert accepted.recv(1) == b"x"  # the proxy forwards and waits for more
            proxy.reset_connections()
            with pytest.raises(ConnectionResetError):
                conn.recv(1)
            accepted.close()
        proxy.close()


def make_outcome(kind=Kind.UNSAFE, status=200, **changes):
    """Return the outcome of a valid answer with the given fields changed."""
    body = whole_stream(last=LAST_EVENT) if kind is Kind.STREAM else answer_body("a-1")
    valid = Outcome(
        attempt="a-1",
        kind=kind,
        node="front-1",
        start_s=1.0,
        end_s=2.0,
        status=status,
        headers={HEADERS.attempt: "a-1", HEADERS.digest: body_digest(body)},
        body=body,
        complete=True,
    )
    return msgspec.structs.replace(valid, **changes)


@pytest.mark.parametrize("kind", list(Kind))
def test_a_valid_answer_passes(kind):
    assert not checks.check_runs([make_outcome(kind)], {"a-1": ["b-1"]})
    assert not checks.check_answers([make_outcome(kind)])


@pytest.mark.parametrize(
    "outcome, runs",
    [
        (make_outcome(), {"a-1": ["b-1", "b-2"]}),
        (make_outcome(status=503), {"a-1": ["b-1"]}),
        (make_outcome(status=429), {"a-1": ["b-1"]}),
        (make_outcome(), {"a-1": ["b-1"], "a-2": ["b-1"]}),
    ],
)
def test_repeated_runs_false_refusals_and_unsent_runs_are_reported(outcome, runs):
    assert checks.check_runs([outcome], runs)


@pytest.mark.parametrize(
    "outcome",
    [
        make_outcome(body=b"{}"),
        make_outcome(headers={HEADERS.attempt: "a-2"}),
        make_outcome(Kind.STREAM, body=event(0) + event(2)),
        make_outcome(Kind.STREAM, body=event(0) + event(0)),
        make_outcome(Kind.STREAM, body=event(0) + event(1)),
        make_outcome(Kind.STREAM, body=event(0) + b"text\n\n" + event(1)),
        make_outcome(Kind.STREAM, body=event(0) + b"text", complete=False),
    ],
)
def test_a_wrong_answer_is_reported(outcome):
    assert checks.check_answers([outcome])


def test_an_incomplete_stream_is_not_reported():
    incomplete = make_outcome(Kind.STREAM, body=event(0) + event(1), complete=False)
    assert not checks.check_answers([incomplete])


@pytest.mark.parametrize(
    "faults, violation_count",
    [([], 1), ([(0.0, 0.5)], 1), ([(0.0, 1.5)], 0), ([(1.8, 9.0)], 0)],
)
def test_a_request_interrupted_by_a_planned_stop_is_reported(faults, violation_count):
    interrupted = make_outcome(status=None, complete=False)
    stops = [("front-1", 1.5, 4.0)]
    runs = {"a-1": ["b-1"]}
    assert (
        len(checks.check_planned_stops([interrupted], runs, stops, faults))
        == violation_count
    )
    assert not checks.check_planned_stops([make_outcome()], runs, stops, faults)
    assert not checks.check_planned_stops([interrupted], {}, stops, faults)


def test_a_return_to_an_older_configuration_is_reported():
    observations = [
        ("front-1/1", 2, 200),
        ("front-1/1", 3, 404),
        ("front-1/2", 2, 404),
    ]
    assert not checks.check_versions(observations)
    assert checks.check_versions(observations + [("front-1/1", 2, 404)])


def test_requests_with_a_crashing_part_that_come_late_are_reported():
    crashes = {"bad": [1.0, 1.1, 1.2, 1.3, 1.4]}
    late = {"bad": [1.0, 4.5, 4.6, 4.7, 4.8]}
    assert checks.check_crashing_keys(late, crashes, [])
    assert not checks.check_crashing_keys(late, crashes, [(4.55, 4.65)])
    assert not checks.check_crashing_keys({"bad": [1.0, 4.3, 4.39]}, crashes, [])
    assert not checks.check_crashing_keys(late, {"bad": [1.0, 1.1, 1.2]}, [])


def test_one_crashing_request_that_comes_late_is_reported():
    crashes = {"/swap/1-deadly0": [1.0, 1.1, 1.2]}
    late = {"/swap/1-deadly0": [1.0, 4.3, 4.4, 4.5, 4.6]}
    assert checks.check_crashing_keys(late, crashes, [])
    assert not checks.check_crashing_keys(late, {"/swap/1-deadly0": [1.0, 1.1]}, [])


def test_nodes_that_serve_less_while_cut_off_are_reported():
    def outcomes(node, status):
        return [
            make_outcome(node=node, status=status, start_s=5.0, end_s=5.1)
            for _ in range(20)
        ]

    refused = outcomes("front-1", 503) + outcomes("front-2", 200)
    cuts = [(["front-1"], 1.0, 9.0)]
    assert checks.check_cuts(refused, cuts, [])
    assert not checks.check_cuts(refused, cuts, [("front-2", 1.5, 2.5)])
    assert not checks.check_cuts(refused, [(["front-1"], 3.0, 9.0)], [])
    equal = outcomes("front-1", 503) + outcomes("front-2", 503)
    assert not checks.check_cuts(equal, cuts, [])


def test_requests_in_a_rest_are_reported():
    rests = [(1.0, "b-0", "a-0", "3")]
    arrivals = [(1.6 + 0.2 * n, "b-0", 1, f"a-{n}") for n in range(3)]
    nodes = {f"a-{n}": "front-1" for n in range(3)}
    assert checks.check_rests(rests, arrivals, nodes, [])
    assert not checks.check_rests(rests, arrivals[:2], nodes, [])
    assert not checks.check_rests(rests, arrivals, nodes, [("front-1", 2.0, 2.5)])
    assert not checks.check_rests([(1.0, "b-0", "a-0", "1")], arrivals, nodes, [])


def test_requests_to_an_instance_that_leaves_are_reported():
    left = [(1.0, "b-0", 1, "a-0")]
    nodes = {"a-0": "front-1", "a-1": "front-1"}
    assert checks.check_leaving(left, [(4.0, "b-0", 1, "a-1")], nodes, [])
    assert not checks.check_leaving(left, [(3.0, "b-0", 1, "a-1")], nodes, [])
    assert not checks.check_leaving(left, [(4.0, "b-0", 2, "a-1")], nodes, [])


def test_requests_beyond_a_limit_are_reported():
    episode = LimitEpisode(rate=1.0, born=1)
    episode.answers = [(0.0, "a-0"), (0.1, "b-0")]
    episode.arrivals = [(5.0 + 0.2 * n, f"{'ab'[n % 2]}-{n}") for n in range(14)]
    nodes = {f"{name}-{n}": f"front-{name}" for name in "ab" for n in range(14)}
    assert checks.check_limits([episode], nodes, [])
    assert not checks.check_limits([episode], nodes, [("front-a", 4.0, 9.0)])
    episode.answers = episode.answers[:1]  # the other node was not told
    assert not checks.check_limits([episode], nodes, [])
    episode.answers, episode.arrivals = [(0.0, "a-0")], episode.arrivals[:11]
    assert not checks.check_limits([episode], nodes, [])
