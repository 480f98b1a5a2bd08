"""State of a fabric domain's instances as the lease holder knows it."""

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
from citronpin.control.drains import DrainPurpose, drain_purpose
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

MAX_STATUS_AGE_S = 6.0  # a free instance with an older status is not assigned
MINUTE_MS = 60_000
MINUTES_PER_WEEK = 7 * 24 * 60
EPOCH_MINUTE_OF_WEEK = 3 * 24 * 60  # 1970-01-01 was a Thursday
REACHABLE_HEALTH = frozenset({Health.HEALTHY, Health.RETURNED, Health.STRAGGLER})

MembershipSource = Callable[[], MembershipView | None]


class Fitness(Enum):
    """Whether a member allows its group to serve."""

    FIT = "fit"
    LEAVING = "leaving"
    DARK = "dark"
    MISSING = "missing"


class DomainFacts:
    """Combines the fold, the membership list, read-backs and the detector.

    ``max_head_age_s`` bounds how long a superseded holder may go on acting.
    """

    def __init__(
        self,
        *,
        domain: DomainName,
        states: States,
        clock: Clock,
        membership: MembershipSource,
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
        self._membership_version: int | None = None
        self._rows: dict[InstanceId, Instance] = {}
        self._listed: dict[InstanceId, Instance] = {}
        self._live_instances: dict[DomainName, frozenset[InstanceId]] = {
            domain: frozenset()
        }
        self._leaving_instances: frozenset[InstanceId] = frozenset()
        self.fence: Fence | None = None  # of the lease under which this entry acts
        self.lease_since_s = 0.0  # clock time at which that lease began

    def begin_lease(self, fence: Fence) -> None:
        """Start to act under a new lease."""
        self.fence = fence
        self.lease_since_s = self._clock.now()

    @property
    def control(self) -> ControlState:
        """Return the folded control stream."""
        return self._states.state(self._stream)

    @property
    def deployments(self) -> dict[DeploymentName, DeploymentManifest]:
        """Return the deployments of the configuration in force."""
        return self._states.state(CONFIG_STREAM).deployments()

    def refresh(self) -> None:
        """Read the membership list if its version has changed."""
        view = self._membership()
        if view is None or view.version == self._membership_version:
            return
        self._membership_version = view.version
        engines = [i for i in view.instances if i.kind is InstanceKind.ENGINE]
        self._listed = {i.id: i for i in engines if i.domain == self.domain}
        kept = set(self._listed) | set(self.control.assigned) | set(self.control.barred)
        rows = self._rows | self._listed
        self._rows = {i: row for i, row in rows.items() if i in kept}
        self._live_instances = {
            d: frozenset() for d in self._live_instances
        } | _live_by_domain(engines)
        self._leaving_instances = frozenset(
            i.id for i in engines if i.state is InstanceState.LEAVING
        )
        for domain in self._other_domains():
            self._states.follow(control_stream(domain))
        self._detector.listed(
            instances=tuple(self._listed.values()), now_s=self._clock.now()
        )

    @property
    def has_membership(self) -> bool:
        """Return whether a membership list has been read."""
        return self._membership_version is not None

    def rows(self) -> dict[InstanceId, Instance]:
        """Return the rows of instances that are listed, assigned or barred."""
        return self._rows

    def is_listed(self, instance: InstanceId) -> bool:
        """Return whether the latest membership list shows an instance."""
        return instance in self._listed

    def health(self, instance: InstanceId) -> Health:
        """Return the health of an instance according to the detector."""
        return self._detector.health(instance=instance, now_s=self._clock.now())[0]

    def dead_for_s(self, instance: InstanceId) -> float:
        """Return for how many seconds an instance has been dead; 0 if it is not."""
        now = self._clock.now()
        health, since_s = self._detector.health(instance=instance, now_s=now)
        return now - since_s if health is Health.DEAD else 0.0

    def fitness(self, member: InstanceId) -> Fitness:
        """Return whether a member allows its group to serve.

        A member that is no longer listed counts as fit while it answers, since
        the membership list lags and may be wrong.
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

    def is_reachable(self, instance: InstanceId) -> bool:
        """Return whether an instance is listed as live and answers."""
        row = self._listed.get(instance)
        if row is None or row.state is not InstanceState.LIVE:
            return False
        answers = self._readbacks.is_answering(instance)
        return answers and self.health(instance) in REACHABLE_HEALTH

    def is_usable(self, member: InstanceId) -> bool:
        """Return whether a member is reachable and not barred."""
        return self.is_reachable(member) and member not in self.control.barred

    def is_quarantined(self, instance: InstanceId) -> bool:
        """Return whether an order of a superseded holder may still take effect.

        Engines that check fences refuse such orders, so they are not quarantined.
        """
        row = self._rows.get(instance)
        if row is not None and row.checks_fence:
            return False
        return self._clock.now() < self.lease_since_s + self._quarantine_s

    def is_assignable(self, instance: InstanceId) -> bool:
        """Return whether an instance is free and may be assigned to a group."""
        control = self.control
        if instance in control.assigned or instance in control.barred:
            return False
        latest = self._readbacks.latest(instance)
        if latest is None or latest.status.group is not None:
            return False
        is_fresh = self._clock.now() - latest.asked_s <= MAX_STATUS_AGE_S
        return (
            is_fresh and self.is_usable(instance) and not self.is_quarantined(instance)
        )

    def serving_elsewhere(self) -> dict[DeploymentName, int]:
        """Return the number of serving groups in other domains by deployment."""
        counts: dict[DeploymentName, int] = {}
        for domain in self._other_domains():
            for name, count in self._count_groups(domain, _is_serving).items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def has_read_all_domains(self) -> bool:
        """Return whether the streams of all other fabric domains have been read."""
        streams = [control_stream(domain) for domain in self._other_domains()]
        return all(self._states.is_current(stream) for stream in streams)

    def other_groups(self) -> dict[DomainName, tuple[Group, ...]]:
        """Return the groups of each other fabric domain."""
        return {domain: self._groups_of(domain) for domain in self._other_domains()}

    def quotas(self) -> dict[DeploymentName, int]:
        """Return the number of groups wanted in this fabric domain by deployment.

        Every fabric domain computes it from the log and the membership list
        alone, so that all agree. A group counts in its domain until it is
        dissolved.
        """
        capacity = {domain: self._capacity(domain) for domain in self._live_instances}
        quotas = self._placement.quotas(
            deployments=tuple(self.deployments.values()),
            capacity=capacity,
            serving={
                domain: self._count_groups(domain, _counts_in_quota)
                for domain in capacity
            },
        )
        return quotas.get(self.domain, {})

    def _capacity(self, domain: DomainName) -> int:
        """Return the number of instances that a fabric domain's groups may use.

        Members count even when the list no longer shows them, so that a faulty
        list does not dissolve a group.
        """
        control = self._states.state(control_stream(domain))
        members = frozenset(control.assigned) - self._leaving_instances
        return len((self._live_instances[domain] | members) - frozenset(control.barred))

    def view(self) -> DomainView:
        """Return the input of a repair policy."""
        control = self.control
        return DomainView(
            domain=self.domain,
            groups=tuple(control.groups[g] for g in sorted(control.groups)),
            instances=tuple(
                self._instance_view(self._rows[i]) for i in sorted(self._rows)
            ),
            deployments=tuple(self.deployments.values()),
            quotas=self.quotas(),
            serving_elsewhere=self.serving_elsewhere(),
            minute_of_week=minute_of_week(self._clock.wall_ms()),
        )

    def _instance_view(self, row: Instance) -> InstanceView:
        health, since_s = self._detector.health(
            instance=row.id, now_s=self._clock.now()
        )
        group = self.control.assigned.get(row.id)
        assignable = group is None and self.is_assignable(row.id)
        if assignable and health is Health.RETURNED:
            health = Health.HEALTHY
        latest = self._readbacks.latest(row.id)
        return InstanceView(
            instance=row,
            health=health,
            since_s=since_s,
            group=group,
            barred=row.id in self.control.barred or (group is None and not assignable),
            model=latest.status.model if latest else None,
            version=latest.status.version if latest else None,
        )

    def _other_domains(self) -> list[DomainName]:
        return sorted(
            domain for domain in self._live_instances if domain != self.domain
        )

    def _groups_of(self, domain: DomainName) -> tuple[Group, ...]:
        state = self._states.state(control_stream(domain))
        return tuple(state.groups.values())

    def _count_groups(
        self, domain: DomainName, predicate: Callable[[Group], bool]
    ) -> dict[DeploymentName, int]:
        counts: dict[DeploymentName, int] = {}
        for group in self._groups_of(domain):
            if predicate(group):
                counts[group.deployment] = counts.get(group.deployment, 0) + 1
        return counts


def _is_serving(group: Group) -> bool:
    return group.state is GroupState.SERVING


def _counts_in_quota(group: Group) -> bool:
    """Return whether a group is not being dissolved."""
    if group.state is GroupState.DRAINING:
        return drain_purpose(group) is not DrainPurpose.DISSOLVE
    return group.state is not GroupState.RELEASING


def minute_of_week(wall_ms: int) -> int:
    """Return the minutes since Monday 00:00 UTC."""
    return (wall_ms // MINUTE_MS + EPOCH_MINUTE_OF_WEEK) % MINUTES_PER_WEEK


def _live_by_domain(
    instances: list[Instance],
) -> dict[DomainName, frozenset[InstanceId]]:
    live: dict[DomainName, set[InstanceId]] = {}
    for row in instances:
        known = live.setdefault(row.domain, set())
        if row.state is InstanceState.LIVE:
            known.add(row.id)
    return {domain: frozenset(known) for domain, known in live.items()}
