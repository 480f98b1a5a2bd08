"""What the holder of a fabric domain's lease knows of its instances."""

import logging
from collections.abc import Callable
from enum import Enum

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import (
    CONFIG_STREAM,
    DeploymentName,
    DomainName,
    Fence,
    InstanceId,
    control_stream,
)
from citronpin.control.drains import DrainPurpose, purpose_of
from citronpin.control.leases import MAX_HEAD_AGE_S
from citronpin.control.orders import ORDER_TRANSIT_S, ORDER_TTL_S
from citronpin.control.readbacks import Readbacks
from citronpin.policy.plans import (
    Detector,
    DomainView,
    Health,
    InstanceView,
    PlacementPolicy,
)
from citronpin.state.instances import (
    Instance,
    InstanceKind,
    InstanceState,
    MembershipView,
)
from citronpin.state.logs import States
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.states import ControlState, Group, GroupState

logger = logging.getLogger(__name__)

FRESH_S = 6.0  # age up to which a status of a free instance counts
MINUTE_MS = 60_000
MINUTES_PER_WEEK = 7 * 24 * 60
EPOCH_MINUTE_OF_WEEK = 3 * 24 * 60  # 1970-01-01 was a Thursday
REACHABLE = frozenset({Health.HEALTHY, Health.RETURNED, Health.STRAGGLER})

Membership = Callable[[], MembershipView | None]


class Fitness(Enum):
    """Whether a member lets its group serve."""

    FIT = "fit"
    LEAVING = "leaving"
    DARK = "dark"
    MISSING = "missing"


class DomainFacts:
    """Joins the fold, the membership list, read-backs and the detector."""

    def __init__(
        self,
        *,
        domain: DomainName,
        states: States,
        clock: Clock,
        membership: Membership,
        detector: Detector,
        readbacks: Readbacks,
        placement: PlacementPolicy,
        max_head_age_s: float = MAX_HEAD_AGE_S,
    ) -> None:
        self.domain = domain
        self._stream = control_stream(domain)
        self._states = states
        self._clock = clock
        self._membership = membership
        self._detector = detector
        self._readbacks = readbacks
        self._placement = placement
        self._quarantine_s = max_head_age_s + ORDER_TTL_S + ORDER_TRANSIT_S
        self._version: int | None = None
        self._rows: dict[InstanceId, Instance] = {}
        self._listed: dict[InstanceId, Instance] = {}
        self._live: dict[DomainName, frozenset[InstanceId]] = {domain: frozenset()}
        self._leaving: frozenset[InstanceId] = frozenset()
        self.fence: Fence | None = None  # of the lease that was adopted
        self.since_s = 0.0  # when it was adopted

    def adopt(self, fence: Fence) -> None:
        """Begin to act under a new lease."""
        self.fence = fence
        self.since_s = self._clock.now()

    @property
    def control(self) -> ControlState:
        """Return the folded control stream."""
        return self._states.state(self._stream)

    @property
    def deployments(self) -> dict[DeploymentName, DeploymentManifest]:
        """Return the deployments that the configuration in force wants."""
        return self._states.state(CONFIG_STREAM).deployments()

    def refresh(self) -> None:
        """Take the membership list if it is a newer one."""
        view = self._membership()
        if view is None or view.version == self._version:
            return
        self._version = view.version
        engines = [i for i in view.instances if i.kind is InstanceKind.ENGINE]
        self._listed = {i.id: i for i in engines if i.domain == self.domain}
        kept = set(self._listed) | set(self.control.assigned) | set(self.control.barred)
        rows = self._rows | self._listed
        self._rows = {i: row for i, row in rows.items() if i in kept}
        self._live = {d: frozenset() for d in self._live} | _live(engines)
        self._leaving = frozenset(
            i.id for i in engines if i.state is InstanceState.LEAVING
        )
        for domain in self._others():
            self._states.follow(control_stream(domain))
        self._detector.listed(
            instances=tuple(self._listed.values()), now_s=self._clock.now()
        )

    @property
    def known(self) -> bool:
        """Return whether a membership list was ever read."""
        return self._version is not None

    def rows(self) -> dict[InstanceId, Instance]:
        """Return the rows of instances listed now or still assigned or barred."""
        return self._rows

    def listed(self, instance: InstanceId) -> bool:
        """Return whether the latest membership list shows an instance."""
        return instance in self._listed

    def health(self, instance: InstanceId) -> Health:
        """Return what the detector makes of an instance."""
        return self._detector.health(instance=instance, now_s=self._clock.now())[0]

    def dead_for_s(self, instance: InstanceId) -> float:
        """Return for how long an instance has been dead; 0 for others."""
        now = self._clock.now()
        health, since_s = self._detector.health(instance=instance, now_s=now)
        return now - since_s if health is Health.DEAD else 0.0

    def fitness(self, member: InstanceId) -> Fitness:
        """Return whether a member lets its group serve.

        One that is no longer listed counts as fit while it answers, since the
        membership list lags and may be wrong.
        """
        row = self._rows.get(member)
        if row is None or member in self.control.barred:
            return Fitness.MISSING
        health = self.health(member)
        if health is Health.DEAD:
            return Fitness.MISSING
        if health is Health.DARK:
            return Fitness.DARK
        if health is Health.LEAVING or row.state is InstanceState.LEAVING:
            return Fitness.LEAVING
        return Fitness.FIT

    def reachable(self, instance: InstanceId) -> bool:
        """Return whether an instance is listed as live and answers."""
        row = self._listed.get(instance)
        if row is None or row.state is not InstanceState.LIVE:
            return False
        answers = self._readbacks.answers(instance)
        return answers and self.health(instance) in REACHABLE

    def usable(self, member: InstanceId) -> bool:
        """Return whether a member could take part in its group's formation."""
        return self.reachable(member) and member not in self.control.barred

    def quarantined(self, instance: InstanceId) -> bool:
        """Return whether a superseded holder's order may still reach an instance."""
        row = self._rows.get(instance)
        if row is not None and row.checks_fence:
            return False
        return self._clock.now() < self.since_s + self._quarantine_s

    def offered(self, instance: InstanceId) -> bool:
        """Return whether a free instance may be given to a group."""
        control = self.control
        if instance in control.assigned or instance in control.barred:
            return False
        seen = self._readbacks.seen(instance)
        if seen is None or seen.status.group is not None:
            return False
        fresh = self._clock.now() - seen.asked_s <= FRESH_S
        return fresh and self.usable(instance) and not self.quarantined(instance)

    def serving_elsewhere(self) -> dict[DeploymentName, int]:
        """Return the groups that serve in other fabric domains."""
        counts: dict[DeploymentName, int] = {}
        for domain in self._others():
            for name, count in self._count(domain, _serves).items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def sees_all(self) -> bool:
        """Return whether every other fabric domain's stream was read."""
        streams = [control_stream(domain) for domain in self._others()]
        return all(self._states.is_current(stream) for stream in streams)

    def other_groups(self) -> dict[DomainName, tuple[Group, ...]]:
        """Return the groups of the other fabric domains that are followed."""
        return {domain: self._groups(domain) for domain in self._others()}

    def quotas(self) -> dict[DeploymentName, int]:
        """Return the groups wanted in this fabric domain.

        All fabric domains work it out from the log and the membership list alone,
        so that they agree. A group counts where it is until it is given up.
        """
        capacity = {domain: self._capacity(domain) for domain in self._live}
        quotas = self._placement.quotas(
            deployments=tuple(self.deployments.values()),
            capacity=capacity,
            serving={domain: self._count(domain, _stays) for domain in capacity},
        )
        return quotas.get(self.domain, {})

    def _capacity(self, domain: DomainName) -> int:
        """Return the instances that groups of a fabric domain may use.

        Members count even if the list lost them, so that a faulty list gives no
        group up.
        """
        control = self._states.state(control_stream(domain))
        members = frozenset(control.assigned) - self._leaving
        return len((self._live[domain] | members) - frozenset(control.barred))

    def view(self) -> DomainView:
        """Return what a repair policy sees."""
        control = self.control
        return DomainView(
            domain=self.domain,
            groups=tuple(control.groups[g] for g in sorted(control.groups)),
            instances=tuple(self._view_of(self._rows[i]) for i in sorted(self._rows)),
            deployments=tuple(self.deployments.values()),
            quotas=self.quotas(),
            serving_elsewhere=self.serving_elsewhere(),
            minute_of_week=minute_of_week(self._clock.wall_ms()),
        )

    def _view_of(self, row: Instance) -> InstanceView:
        health, since_s = self._detector.health(
            instance=row.id, now_s=self._clock.now()
        )
        group = self.control.assigned.get(row.id)
        offered = group is None and self.offered(row.id)
        if offered and health is Health.RETURNED:
            health = Health.HEALTHY
        seen = self._readbacks.seen(row.id)
        return InstanceView(
            instance=row,
            health=health,
            since_s=since_s,
            group=group,
            barred=row.id in self.control.barred or (group is None and not offered),
            model=seen.status.model if seen else None,
            version=seen.status.version if seen else None,
        )

    def _others(self) -> list[DomainName]:
        return sorted(domain for domain in self._live if domain != self.domain)

    def _groups(self, domain: DomainName) -> tuple[Group, ...]:
        state = self._states.state(control_stream(domain))
        return tuple(state.groups.values())

    def _count(
        self, domain: DomainName, counted: Callable[[Group], bool]
    ) -> dict[DeploymentName, int]:
        counts: dict[DeploymentName, int] = {}
        for group in self._groups(domain):
            if counted(group):
                counts[group.deployment] = counts.get(group.deployment, 0) + 1
        return counts


def _serves(group: Group) -> bool:
    return group.state is GroupState.SERVING


def _stays(group: Group) -> bool:
    """Return whether a group is not being given up."""
    if group.state is GroupState.DRAINING:
        return purpose_of(group) is not DrainPurpose.DISSOLVE
    return group.state is not GroupState.RELEASING


def minute_of_week(wall_ms: int) -> int:
    """Return the minutes since Monday 00:00 UTC."""
    return (wall_ms // MINUTE_MS + EPOCH_MINUTE_OF_WEEK) % MINUTES_PER_WEEK


def _live(instances: list[Instance]) -> dict[DomainName, frozenset[InstanceId]]:
    live: dict[DomainName, set[InstanceId]] = {}
    for row in instances:
        known = live.setdefault(row.domain, set())
        if row.state is InstanceState.LIVE:
            known.add(row.id)
    return {domain: frozenset(known) for domain, known in live.items()}
