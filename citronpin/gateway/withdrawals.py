"""Tells which groups take no more requests, whatever their registrations say."""

import logging

from citronpin.basics.ids import GroupId
from citronpin.gateway.facts import WITHDRAWN, Facts
from citronpin.gateway.fleets import FleetInstance

logger = logging.getLogger(__name__)

# Registrations and reports of relays show the end of a group within 2 s. A group that
# was withdrawn although it serves is missing for this time.
WITHDRAWAL_S = 5.0
CLOSED, SERVING = 1.0, 0.0  # values of the facts


class Withdrawals:
    """Withdraws groups at one epoch, at all entries; later epochs are not affected.

    Without shared facts, no group is withdrawn.
    """

    def __init__(self, *, facts: Facts | None = None) -> None:
        self._facts = facts

    def withdraw(self, group: GroupId, epoch: int, *, reason: str) -> None:
        """Keep requests from a group that is certain to end or to have ended."""
        if self._facts is None or not self._facts.is_shared:
            return
        if not self._is_closed(group, epoch):
            logger.info(
                "group withdrawn",
                extra={"group": group, "epoch": epoch, "reason": reason},
            )
        subject = _subject(group, epoch)
        self._facts.put(WITHDRAWN, subject, CLOSED, ttl_s=WITHDRAWAL_S)

    def end(self, group: GroupId, epoch: int) -> None:
        """Let a group that was ordered to open at the same epoch take requests."""
        if self._is_closed(group, epoch):
            logger.info(
                "group no longer withdrawn", extra={"group": group, "epoch": epoch}
            )
            subject = _subject(group, epoch)
            self._facts.put(WITHDRAWN, subject, SERVING, ttl_s=WITHDRAWAL_S)

    def is_reopened(self, group: GroupId, epoch: int) -> bool:
        """Return whether a group was lately ordered to open again at the same epoch."""
        if self._facts is None:
            return False
        fact = self._facts.get(WITHDRAWN, _subject(group, epoch))
        return fact is not None and fact.value == SERVING

    def is_withdrawn(self, instance: FleetInstance) -> bool:
        """Return whether the group of an instance is withdrawn at its epoch."""
        membership = instance.membership
        return membership is not None and self._is_closed(
            membership.group, membership.epoch
        )

    @property
    def count(self) -> int:
        """Return how many groups are withdrawn now."""
        if self._facts is None:
            return 0
        return sum(fact.value == CLOSED for fact in self._facts.of_kind(WITHDRAWN))

    def _is_closed(self, group: GroupId, epoch: int) -> bool:
        if self._facts is None or not self._facts.is_shared:
            return False
        fact = self._facts.get(WITHDRAWN, _subject(group, epoch))
        return fact is not None and fact.value == CLOSED


NO_WITHDRAWALS = Withdrawals()


def _subject(group: GroupId, epoch: int) -> str:
    return f"{group}/{epoch}"
