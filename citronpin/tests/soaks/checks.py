"""What must hold of a soak, judged from what callers and instances saw."""

import re

from citronpin.platform.names import HEADERS
from citronpin.tests.platforms.requests import whole_stream
from citronpin.tests.soaks.callers import Kind
from citronpin.tests.soaks.platforms import EVENTS, answer_of, digest_of

NOT_RUN_STATUSES = (408, 421, 429, 503)
NUMBER = re.compile(rb"^id: (\d+)$", re.MULTILINE)


def check_runs(outcomes, runs):
    """Unsafe requests run once at most; what is said not to have run has not."""
    found = []
    for one in outcomes:
        ran = len(runs.get(one.attempt, ()))
        if one.kind is Kind.UNSAFE and ran > 1:
            found.append(f"{one.attempt} ran {ran} times")
        if one.kind is Kind.UNSAFE and one.status in NOT_RUN_STATUSES and ran:
            found.append(f"{one.attempt} got {one.status} and ran")
    sent = {one.attempt for one in outcomes}
    found += [f"{attempt} ran unasked" for attempt in runs if attempt not in sent]
    return found


def check_answers(outcomes):
    """A success is the whole answer of an instance to this very attempt."""
    found = []
    for one in outcomes:
        if one.status != 200:
            continue
        if one.headers.get(HEADERS.attempt) != one.attempt:
            found.append(f"{one.attempt} got the answer of another attempt")
        if one.kind is Kind.STREAM:
            found += check_stream(one)
        elif one.complete:
            body = answer_of(one.attempt)
            if (one.body, one.headers.get(HEADERS.digest)) != (body, digest_of(body)):
                found.append(f"{one.attempt} got another body than the instance's")
    return found


def check_stream(one):
    """Events come in order, each once; a complete stream has all of them."""
    numbers = [int(number) for number in NUMBER.findall(one.body)]
    if numbers != list(range(len(numbers))):
        return [f"{one.attempt} got events {numbers}"]
    if one.complete and one.body != whole_stream(last=EVENTS):
        return [f"{one.attempt} ends as complete after {len(numbers)} events"]
    return []


def check_planned_stops(outcomes, runs, stops, faults):
    """A planned stop among no fault cuts no request that was passed on.

    ``stops`` are ``(node, begin, end)``; ``faults`` are ``(begin, end)``, with the time
    for which they are felt.
    """
    found = []
    for node, begin, end in stops:
        for one in outcomes:
            if one.node != node or one.ended_s < begin or one.begun_s > end:
                continue
            cut = one.status is None or (one.status == 200 and not one.complete)
            felt = any(a <= one.ended_s and one.begun_s <= b for a, b in faults)
            if cut and one.attempt in runs and not felt:
                found.append(f"{one.attempt} was cut by the planned stop of {node}")
    return found


def check_versions(seen):
    """A process never goes back to an older configuration.

    ``seen`` are ``(life, version, status)`` in the order of asking; each version keeps
    the routes of those before, so that a route that was there stays.
    """
    found, known = [], {}
    for life, version, status in seen:
        if status == 404 and known.get(life, 0) >= version:
            found.append(f"{life} forgot version {version}")
        if status == 200:
            known[life] = max(known.get(life, 0), version)
    return found
