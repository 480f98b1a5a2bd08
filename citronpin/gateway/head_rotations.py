"""Bounds what a relay sends of the serving groups by the link of its machine."""

import logging

from citronpin.basics.ids import InstanceId
from citronpin.peers.messages import HeadStatus

logger = logging.getLogger(__name__)

LINK_SHARE = 0.25  # the rest is for callers, instances and the store
HEAD_STATUS_BYTES = 96  # encoded, with long names
BYTES_PER_MBIT = 125_000


class HeadRotation:
    """Selects the groups of which a relay tells all others in its next update.

    An update goes to every entry, so its size counts as often. Where the groups do not
    fit, those told of longest ago go first; new ones were never told of.
    """

    def __init__(self, *, link_mbps: float) -> None:
        """``link_mbps`` is the speed of the own link, 0 where that is unknown."""
        self._bytes_per_s = link_mbps * BYTES_PER_MBIT * LINK_SHARE or float("inf")
        self._told_s: dict[InstanceId, float] = {}

    def select(
        self,
        heads: tuple[HeadStatus, ...],
        *,
        receivers: int,
        interval_s: float,
        now_s: float,
    ) -> tuple[HeadStatus, ...]:
        """Return the groups for an update to some receivers each ``interval_s``."""
        update_bytes = self._bytes_per_s * interval_s / max(receivers, 1)
        told_s = self._told_s
        if len(heads) * HEAD_STATUS_BYTES > update_bytes:
            count = max(int(update_bytes / HEAD_STATUS_BYTES), 1)
            oldest_first = sorted(
                heads, key=lambda head: told_s.get(head.instance, float("-inf"))
            )
            selected = tuple(oldest_first[:count])
        else:
            selected = heads
        self._told_s = {
            head.instance: told_s[head.instance]
            for head in heads
            if head.instance in told_s
        } | {head.instance: now_s for head in selected}
        return selected
