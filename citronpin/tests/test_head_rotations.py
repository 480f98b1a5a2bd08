"""Tests which groups a relay tells of when its link has no room for all of them."""

import math

import pytest

from citronpin.basics.ids import EntryId, GroupId, InstanceId, ModelName
from citronpin.gateway.head_rotations import BYTES_PER_MBIT, HeadRotation
from citronpin.peers.codecs import FrameCodec
from citronpin.peers.messages import HeadStatus, StatusUpdate

RECEIVERS = 379  # at the target of docs/CAPACITY.md
INTERVAL_S = 0.3
LINK_MBPS = 100.0
EPOCH = (1 << 20) * ((1 << 20) + 700) + 5


def head(number):
    return HeadStatus(
        InstanceId(f"instance-{number:04}"),
        GroupId(f"fabric-{number:04}.{EPOCH}"),
        EPOCH,
        ModelName("model-0001"),
        load=9,
        pace=1.4,
        age_ms=431,
        used_tokens=612_000,
        memory_tokens=1_000_000,
    )


def select(rotation, heads, now_s=0.0):
    return rotation.select(
        tuple(heads), receivers=RECEIVERS, interval_s=INTERVAL_S, now_s=now_s
    )


# Guards against updates that fill the link of a relay, which then loses the store.
@pytest.mark.parametrize("link_mbps", [10.0, LINK_MBPS])
def test_updates_of_many_groups_leave_most_of_the_link_free(link_mbps):
    rotation = HeadRotation(link_mbps=link_mbps)
    codec = FrameCodec(key=b"key")
    sent_bytes = 0
    for step in range(10):
        heads = select(rotation, map(head, range(400)), step * INTERVAL_S)
        frame = codec.encode(
            sender=EntryId("front-1"),
            sequence=step + (1 << 50),
            message=StatusUpdate(heads=heads, relay=True),
        ).unwrap()
        sent_bytes += len(frame) * RECEIVERS
    used_mbps = sent_bytes / BYTES_PER_MBIT / (10 * INTERVAL_S)
    assert used_mbps <= 0.5 * link_mbps


def test_all_groups_are_told_of_in_turn():
    rotation = HeadRotation(link_mbps=LINK_MBPS)
    heads = list(map(head, range(120)))
    told = set(select(rotation, heads))
    rounds = math.ceil(len(heads) / len(told))
    assert rounds > 1
    for step in range(1, rounds):
        told |= set(select(rotation, heads, step))
    assert told == set(heads)


def test_a_new_group_is_told_of_at_once():
    rotation = HeadRotation(link_mbps=LINK_MBPS)
    heads = list(map(head, range(120)))
    for step in range(5):
        select(rotation, heads, step)
    assert head(500) in select(rotation, [*heads, head(500)], 5.0)


@pytest.mark.parametrize("link_mbps", [0.0, 1_000.0])
def test_groups_that_fit_are_all_told_of_each_time(link_mbps):
    rotation = HeadRotation(link_mbps=link_mbps)
    heads = tuple(map(head, range(120)))
    for step in range(3):
        assert select(rotation, heads, step) == heads
