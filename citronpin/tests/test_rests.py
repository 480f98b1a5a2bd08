"""Instances that ask for rest, or say that they leave, are left alone."""

import pytest

from citronpin.tests.platforms.crashes import CrashWorld
from citronpin.tests.platforms.rests import check_leaving, check_rests

STEP_S = 0.01


@pytest.fixture
def world(paused_clock):
    world = CrashWorld(clock=paused_clock, entries=3, replicas=12, books=4)
    paused_clock.advance(1.0)
    return world


def send_mix(world):
    """Send a stream or a read to a random entry and return the reply."""
    entry = world.rng.choice(world.entries)
    if world.rng.random() < 0.7:
        return world.send(f"a{world.rng.randrange(5)}", entry=entry)
    kind, method = world.rng.choice([("look-up", "GET"), ("swap", "POST")])
    return entry.send(f"/{kind}/1", method, b"")


def serve(world, seconds, per_s=150):
    """Send requests at an even rate and return the replies."""
    replies = []
    for step in range(round(seconds / STEP_S)):
        if int((step + 1) * STEP_S * per_s) > int(step * STEP_S * per_s):
            replies.append(send_mix(world))
        world.clock.advance(STEP_S)
    return replies


@pytest.mark.xfail(reason="KNOWN-RED 8", strict=True)
@pytest.mark.parametrize("rest, share", [("1.5", 1.0), ("3", 0.5), ("3", 1.0)])
def test_instances_that_ask_for_rest_get_no_more_requests(world, rest, share):
    # Incident second1: a server got 3 and 4 requests of one entry within 3 s of rest.
    serve(world, 1.0)
    replicas = world.all_replicas()
    for replica in replicas[:: round(1 / share)]:
        replica.rest = rest
    serve(world, 6.0)
    check_rests(replicas)


@pytest.mark.xfail(reason="KNOWN-RED 8", strict=True)
def test_an_instance_that_says_that_it_leaves_gets_no_more_requests(world):
    # Its registration still says that it is ready.
    serve(world, 1.0)
    leaving = [world.replicas["e0"], world.books["b0"]]
    for replica in leaving:
        replica.is_leaving = True
    serve(world, 6.0)
    assert all(replica.left_s for replica in leaving)
    check_leaving(leaving)
