"""Formation of groups: load, order, read back, then serve."""

import logging

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import GroupId, Offset
from citronpin.control.domains import DomainFacts, Fitness
from citronpin.control.orders import Orders
from citronpin.control.readbacks import Readbacks, assignment_mismatch
from citronpin.state.states import Group

logger = logging.getLogger(__name__)

FORM_DEADLINE_S = 600.0  # for a whole formation, loading included
FORMING_POLL_INTERVAL_S = 0.25


class Formations:
    """Brings groups in ``FORMING`` to a matching read-back of every member."""

    def __init__(
        self,
        *,
        clock: Clock,
        facts: DomainFacts,
        orders: Orders,
        readbacks: Readbacks,
    ) -> None:
        self._clock = clock
        self._facts = facts
        self._orders = orders
        self._readbacks = readbacks
        # Offset of the record that started a formation, and clock time of the start.
        self._starts: dict[GroupId, tuple[Offset, float]] = {}
        self._matched_since_s: dict[GroupId, float] = {}

    def fault(self, group: Group) -> str:
        """Return why a formation cannot go on, or an empty text."""
        for member in group.members:
            fitness = self._facts.fitness(member)
            if fitness is not Fitness.FIT:
                return f"{member} is {fitness.value}"
        if self._clock.now() - self._started_s(group) > FORM_DEADLINE_S:
            return "the formation took too long"
        return ""

    def step(self, group: Group) -> bool:
        """Send the orders that are due; return whether the read-back is complete.

        After all members match for the first time, each is polled once more, so
        that a member which has restarted meanwhile does not count as formed.
        """
        rows = [self._facts.rows()[member] for member in group.members]
        for row in rows:
            self._readbacks.poll(row, FORMING_POLL_INTERVAL_S)
        if any(self._facts.is_quarantined(row.id) for row in rows):
            return False
        loaded = [self.load(row, group) for row in rows]
        if not all(loaded) or not all([self._form_member(row, group) for row in rows]):
            self._matched_since_s.pop(group.id, None)
            return False
        matched_since_s = self._matched_since_s.setdefault(group.id, self._clock.now())
        return all(
            self._readbacks.latest(row.id).asked_s >= matched_since_s for row in rows
        )

    def load(self, row, group: Group) -> bool:
        """Load the group's model, version and adapters; return whether it is done."""
        return self._orders.load(row, group)

    def retain(self, groups) -> None:
        """Remove the formations of groups that are not in ``groups``."""
        self._starts = {g: v for g, v in self._starts.items() if g in groups}
        self._matched_since_s = {
            g: v for g, v in self._matched_since_s.items() if g in groups
        }

    def clear(self) -> None:
        """Remove all formations, because the lease has changed."""
        self._starts.clear()
        self._matched_since_s.clear()

    def _started_s(self, group: Group) -> float:
        known = self._starts.get(group.id)
        if known is None or known[0] != group.changed:
            known = (group.changed, self._clock.now())
            self._starts[group.id] = known
            self._matched_since_s.pop(group.id, None)
        return known[1]

    def _form_member(self, row, group: Group) -> bool:
        latest = self._readbacks.latest(row.id)
        if latest is None or not self._orders.is_settled(row.id):
            return False
        status = latest.status
        if not assignment_mismatch(group, status):
            return not self._readbacks.mismatch(group, row.id)
        if status.group not in (None, group.id):
            self._orders.release(row, status.group)
        else:
            self._orders.form(row, group)
        return False
