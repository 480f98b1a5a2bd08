"""The groups that an entry can route to, from the folded control streams."""

import logging
from collections.abc import Callable

from citronpin.basics.ids import (
    DeploymentName,
    DomainName,
    Fence,
    GroupId,
    InstanceId,
    control_stream,
)
from citronpin.state.instances import Instance, InstanceKind, MembershipView
from citronpin.state.logs import States
from citronpin.state.states import Group, GroupState

logger = logging.getLogger(__name__)

CONTROL_PREFIX = "control."


class GroupDirectory:
    """Indexes groups by deployment and instances by id.

    It follows the control stream of each fabric domain that the membership list
    has shown; a domain that vanishes from the list stays followed.
    """

    def __init__(self, *, states: States) -> None:
        self._states = states
        self._groups: dict[GroupId, Group] = {}
        self._by_deployment: dict[DeploymentName, dict[GroupId, Group]] = {}
        self._by_stream: dict[str, dict[GroupId, Group]] = {}
        self._instances: dict[InstanceId, Instance] = {}
        self._domains: set[DomainName] = set()
        self._on_domain: list[Callable[[DomainName], None]] = []
        self._on_gone: list[Callable[[GroupId], None]] = []
        states.subscribe(CONTROL_PREFIX, self._take_state)

    @property
    def domains(self) -> tuple[DomainName, ...]:
        """Return the fabric domains seen so far."""
        return tuple(sorted(self._domains))

    def on_domain(self, callback: Callable[[DomainName], None]) -> None:
        """Call back for each fabric domain when it is first seen."""
        self._on_domain.append(callback)

    def on_gone(self, callback: Callable[[GroupId], None]) -> None:
        """Call back for each group that stops serving or changes its members."""
        self._on_gone.append(callback)

    def apply_view(self, view: MembershipView) -> None:
        """Take a membership list."""
        self._instances |= {instance.id: instance for instance in view.instances}
        for instance in view.instances:
            if instance.kind is InstanceKind.ENGINE:
                self._add_domain(instance.domain)

    def _add_domain(self, domain: DomainName) -> None:
        if domain in self._domains:
            return
        self._domains.add(domain)
        self._states.follow(control_stream(domain))
        for callback in self._on_domain:
            callback(domain)

    def _take_state(self, stream, state, verdicts) -> None:
        known = self._by_stream.get(stream, {})
        groups = dict(state.groups)
        if known == groups:
            return
        self._by_stream[stream] = groups
        for group_id, old in known.items():
            if groups.get(group_id) != old:
                self._forget(old)
        for group in groups.values():
            self._groups[group.id] = group
            self._by_deployment.setdefault(group.deployment, {})[group.id] = group

    def _forget(self, group: Group) -> None:
        self._groups.pop(group.id, None)
        self._by_deployment.get(group.deployment, {}).pop(group.id, None)
        for callback in self._on_gone:
            callback(group.id)

    def group(self, group_id: GroupId) -> Group | None:
        """Return a group by its id."""
        return self._groups.get(group_id)

    def groups(self) -> list[Group]:
        """Return all groups, by id."""
        return [group for _, group in sorted(self._groups.items())]

    def serving(self, deployment: DeploymentName) -> list[Group]:
        """Return the groups of a deployment that the log has as serving."""
        return [
            group
            for group in self._by_deployment.get(deployment, {}).values()
            if group.state is GroupState.SERVING
        ]

    def address(self, instance: InstanceId) -> str | None:
        """Return the address of an instance, also after it left the list."""
        known = self._instances.get(instance)
        return known.address if known else None

    def instance(self, instance: InstanceId) -> Instance | None:
        """Return an instance as the membership list last showed it."""
        return self._instances.get(instance)

    def fence_of(self, group_id: GroupId) -> Fence | None:
        """Return the fencing number under which a group was assigned."""
        group = self._groups.get(group_id)
        return group.fence if group else None
