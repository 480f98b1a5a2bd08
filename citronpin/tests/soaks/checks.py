"""Checks of a soak run; each returns a list of violations as texts."""

import re

from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.cuts import (
    ALLOWED_FAILURE_SHARE,
    ALLOWED_FAILURES,
    MIN_SERVED_RATIO,
    STABILITY_WINDOW_S,
)
from citronpin.tests.platforms.limits import count_excess
from citronpin.tests.platforms.requests import whole_stream
from citronpin.tests.platforms.rests import DRAIN_S, MAX_REQUESTS, TOLD_S
from citronpin.tests.soaks.callers import Kind
from citronpin.tests.soaks.platforms import LAST_EVENT, answer_body, body_digest

# Of the requests with a key under which instances crash, those that come later than
# this after the third or fifth crash, and how many of them may reach instances.
CRASHING_KEY_LIMIT_S = 3.0
CRASHES_OF_REQUEST = 3
CRASHES_OF_PART = 5
MAX_LATE_REQUESTS = 3
EVACUATE_S = 5.0  # from the write until nothing more is sent
COLD_KNOWN_S = 2.5  # a heartbeat, and a read of the registrations
COLD_SHARE = 1.5  # of the limit, which may arrive in any second
COLD_SLACK = 5  # and so many more
NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def check_runs(outcomes, runs):
    """Check that unsafe requests ran at most once, never after a not-run status.

    ``runs`` maps each attempt to the instances that started it. An attempt that no
    caller sent is a violation too.
    """
    violations = []
    for outcome in outcomes:
        run_count = len(runs.get(outcome.attempt, ()))
        if outcome.kind is Kind.UNSAFE and run_count > 1:
            violations.append(f"{outcome.attempt} ran {run_count} times")
        if (
            outcome.kind is Kind.UNSAFE
            and outcome.status in NOT_RUN_STATUSES
            and run_count
        ):
            violations.append(f"{outcome.attempt} got {outcome.status}, but ran")
    sent_attempts = {outcome.attempt for outcome in outcomes}
    violations += [
        f"{attempt} ran, but no caller sent it"
        for attempt in runs
        if attempt not in sent_attempts
    ]
    return violations


def check_answers(outcomes):
    """Check that each successful answer is the instance's answer to that attempt."""
    violations = []
    for outcome in outcomes:
        if outcome.status != 200:
            continue
        if outcome.headers.get(HEADERS.attempt) != outcome.attempt:
            violations.append(f"{outcome.attempt} got the answer of another attempt")
        if outcome.kind is Kind.STREAM:
            violations += check_stream(outcome)
        elif outcome.complete:
            body = answer_body(outcome.attempt)
            if (outcome.body, outcome.headers.get(HEADERS.digest)) != (
                body,
                body_digest(body),
            ):
                violations.append(
                    f"{outcome.attempt} got another body or digest than the instance's"
                )
    return violations


def check_stream(outcome):
    """Check that events arrive once and in order, and all of them if complete."""
    event_ids = [int(event_id) for event_id in EVENT_ID.findall(outcome.body)]
    if event_ids != list(range(len(event_ids))):
        return [f"{outcome.attempt} got events {event_ids}"]
    if not whole_stream(last=LAST_EVENT).startswith(outcome.body):
        return [f"{outcome.attempt} got bytes that are no event"]
    if outcome.complete and outcome.body != whole_stream(last=LAST_EVENT):
        return [f"{outcome.attempt} ended as complete after {len(event_ids)} events"]
    return []


def check_planned_stops(outcomes, runs, stops, faults):
    """Check that a planned stop interrupts no request that an instance has started.

    ``stops`` are ``(node, start_s, end_s)``. ``faults`` are ``(start_s, end_s)``, where
    the end includes the time for which effects persist; requests that overlap with a
    fault are not checked.
    """
    violations = []
    for node, stop_start_s, stop_end_s in stops:
        for outcome in outcomes:
            if (
                outcome.node != node
                or outcome.end_s < stop_start_s
                or outcome.start_s > stop_end_s
            ):
                continue
            interrupted = outcome.status is None or (
                outcome.status == 200 and not outcome.complete
            )
            overlaps_fault = any(
                fault_start_s <= outcome.end_s and outcome.start_s <= fault_end_s
                for fault_start_s, fault_end_s in faults
            )
            if interrupted and outcome.attempt in runs and not overlaps_fault:
                violations.append(
                    f"{outcome.attempt} was interrupted by the planned stop of {node}"
                )
    return violations


def check_versions(observations):
    """Check that no process returns to an older configuration.

    ``observations`` are ``(incarnation_id, version, status)`` in the order of the
    requests for the route of that version. Each version keeps the routes of the earlier
    ones, so a route that was found once must be found again.
    """
    violations, newest_found = [], {}
    for incarnation_id, version, status in observations:
        if status == 404 and newest_found.get(incarnation_id, 0) >= version:
            violations.append(f"{incarnation_id} no longer has version {version}")
        if status == 200:
            newest_found[incarnation_id] = max(
                newest_found.get(incarnation_id, 0), version
            )
    return violations


def check_crashing_keys(requests, crashes, faults):
    """Check that requests under which instances crash soon reach none.

    ``requests`` and ``crashes`` map a part of prompts, or the target of a request, to
    clock times. ``faults`` are ``(start_s, end_s)`` during which entries may not hear
    each other.
    """
    violations = []
    for key, crashed_s in crashes.items():
        is_target = key.startswith("/")
        count = CRASHES_OF_REQUEST if is_target else CRASHES_OF_PART
        if len(crashed_s) < count:
            continue
        limit_s = sorted(crashed_s)[count - 1] + CRASHING_KEY_LIMIT_S
        late_s = [
            sent_s
            for sent_s in requests[key]
            if sent_s > limit_s
            and not any(start_s <= sent_s <= end_s for start_s, end_s in faults)
        ]
        if len(late_s) > MAX_LATE_REQUESTS:
            violations.append(f"{len(late_s)} requests with {key} came late")
    return violations


def check_cuts(outcomes, cuts, disturbances):
    """Check that nodes that are cut off from instances serve as the others do.

    ``cuts`` are ``(nodes, start_s, end_s)``; ``disturbances`` are those of kills,
    pauses, stops and lost stores, as ``(node, start_s, end_s)``. Requests beside one of
    any node and a stability window after it are not counted, since passing on needs the
    other nodes.
    """
    violations = []
    for nodes, start_s, end_s in cuts:
        served = {True: [], False: []}
        for outcome in outcomes:
            is_counted = (
                start_s + STABILITY_WINDOW_S <= outcome.start_s
                and outcome.end_s <= end_s
                and not _is_disturbed(outcome, disturbances)
                and not _is_ambiguous(outcome, nodes, start_s, cuts)
            )
            if is_counted:
                is_served = outcome.status == 200 and outcome.complete
                served[outcome.node in nodes].append(is_served)
        here, others = served[True], served[False]
        if not here or not others:
            continue
        failures = here.count(False) + others.count(False)
        allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(here + others)
        share, expected = sum(here) / len(here), sum(others) / len(others)
        if share < MIN_SERVED_RATIO * expected and failures > allowed:
            violations.append(
                f"{nodes} were cut off and served {sum(here)} of {len(here)} requests, "
                f"the others {sum(others)} of {len(others)}"
            )
    return violations


def _is_disturbed(outcome, disturbances):
    return any(
        start_s <= outcome.end_s and outcome.start_s <= end_s + STABILITY_WINDOW_S
        for _, start_s, end_s in disturbances
    )


def _is_ambiguous(outcome, nodes, start_s, cuts):
    """Return whether another cut of the node has just begun or ended."""
    return any(
        outcome.node in other_nodes
        and (other_nodes, other_start_s) != (nodes, start_s)
        and other_start_s <= outcome.end_s
        and outcome.start_s <= other_end_s + STABILITY_WINDOW_S
        for other_nodes, other_start_s, other_end_s in cuts
    )


def check_rests(rests, arrivals, nodes, disturbances):
    """Check that nodes leave instances alone that asked them for rest.

    ``rests`` are ``(at_s, instance, attempt, value)``, ``arrivals`` ``(at_s, instance,
    life, attempt)``; ``nodes`` and ``disturbances`` are as in `check_limits`. A rest
    beside a disturbance of its node is not counted.
    """
    violations = []
    for asked_s, instance, attempt, value in rests:
        node, end_s = nodes.get(attempt), asked_s + float(value)
        if _overlaps(node, asked_s, end_s, disturbances):
            continue
        count = sum(
            asked_s + TOLD_S < at_s < end_s
            and name == instance
            and nodes.get(other) == node
            for at_s, name, _, other in arrivals
        )
        if count > MAX_REQUESTS:
            violations.append(f"{instance} got {count} requests of {node} in its rest")
    return violations


def check_leaving(left, arrivals, nodes, disturbances):
    """Check that nodes send nothing to instances whose leaving they passed on.

    ``left`` are ``(at_s, instance, life, attempt)`` of answers that say so; the rest is
    as in `check_rests`.
    """
    told_s = {}
    for at_s, instance, life, attempt in left:
        told_s.setdefault((instance, life, nodes.get(attempt)), at_s)
    return [
        f"{instance} got {attempt} of {nodes.get(attempt)} after it had said it leaves"
        for at_s, instance, life, attempt in arrivals
        if (key := (instance, life, nodes.get(attempt))) in told_s
        and at_s > told_s[key] + DRAIN_S + TOLD_S
        and not _overlaps(key[-1], told_s[key], at_s, disturbances)
    ]


def _overlaps(node, start_s, end_s, disturbances):
    return any(
        name == node and disturbed_s <= end_s and start_s <= over_s + STABILITY_WINDOW_S
        for name, disturbed_s, over_s in disturbances
    )


def check_limits(episodes, nodes, disturbances):
    """Check that instances that named a limit got no more requests than allowed.

    ``nodes`` maps attempts to the nodes that took them. ``disturbances`` are
    ``(node, start_s, end_s)``; requests of a node during its own are not counted.
    """
    violations = []
    for episode in episodes:
        told_s = {}
        for at_s, attempt in episode.answers:
            told_s.setdefault(nodes.get(attempt), at_s)
        arrivals = [
            (at_s, nodes.get(attempt))
            for at_s, attempt in episode.arrivals
            if not any(
                nodes.get(attempt) == node and start_s <= at_s <= end_s
                for node, start_s, end_s in disturbances
            )
        ]
        excess = count_excess(arrivals, told_s, episode.rate)
        if excess:
            violations.append(
                f"an instance got {excess:.1f} requests too many in 4 s, "
                f"of {episode.rate} a second"
            )
    return violations


def check_evacuations(evacuations, arrivals, nodes, disturbances):
    """Check that nothing reached the instances of evacuated zones.

    ``evacuations`` are ``(zone, start_s, end_s)``, ``arrivals`` ``(at_s, zone,
    attempt)``; the rest is as in `check_limits`. A node that was disturbed since the
    start is not counted.
    """
    return [
        f"{attempt} of {nodes.get(attempt)} reached {zone}, which was evacuated"
        for zone, start_s, end_s in evacuations
        for at_s, name, attempt in arrivals
        if name == zone
        and start_s + EVACUATE_S < at_s < end_s
        and not _overlaps(nodes.get(attempt), start_s, at_s, disturbances)
    ]


def check_cold_episodes(episodes, per_s, nodes, disturbances):
    """Check that cold instances got no more requests in any second than allowed.

    Parameters are as in `check_limits`; ``per_s`` is the limit of all episodes.
    """
    violations = []
    for episode in episodes:
        counted_s = sorted(
            at_s
            for at_s, attempt in episode.arrivals
            if episode.start_s + COLD_KNOWN_S <= at_s <= episode.end_s
            and not _overlaps(nodes.get(attempt), at_s, at_s, disturbances)
        )
        worst = max(
            (sum(at_s <= other <= at_s + 1.0 for other in counted_s))
            for at_s in [*counted_s, 0.0]
        )
        if worst > COLD_SHARE * per_s + COLD_SLACK:
            violations.append(
                f"a cold instance got {worst} requests in a second, "
                f"of {per_s} a second"
            )
    return violations
