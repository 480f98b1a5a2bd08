"""Index of the groups that an entry can route to, from the folded control streams."""

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
    """Indexes groups by id and deployment, and instances by id.

    Follows the control stream of each fabric domain that has an engine in the
    membership list, also after the domain has left the list.
    """

    def __init__(self, *, states: States) -> None:
        self._states = states
        self._groups: dict[GroupId, Group] = {}
        self._by_deployment: dict[DeploymentName, dict[GroupId, Group]] = {}
        self._by_stream: dict[str, dict[GroupId, Group]] = {}
        self._instances: dict[InstanceId, Instance] = {}
        self._domains: set[DomainName] = set()
        self._domain_callbacks: list[Callable[[DomainName], None]] = []
        self._gone_callbacks: list[Callable[[GroupId], None]] = []
        states.subscribe(CONTROL_PREFIX, self._on_state_change)

    @property
    def domains(self) -> tuple[DomainName, ...]:
        """Names of all fabric domains seen so far, sorted."""
        return tuple(sorted(self._domains))

    def on_domain(self, callback: Callable[[DomainName], None]) -> None:
        """Call back with each fabric domain when the list first shows it."""
        self._domain_callbacks.append(callback)

    def on_gone(self, callback: Callable[[GroupId], None]) -> None:
        """Call back with the id of each known group that changes or is removed."""
        self._gone_callbacks.append(callback)

    def apply_view(self, view: MembershipView) -> None:
        """Add the instances of a membership list and follow its fabric domains."""
        self._instances |= {instance.id: instance for instance in view.instances}
        for instance in view.instances:
            if instance.kind is InstanceKind.ENGINE:
                self._add_domain(instance.domain)

    def _add_domain(self, domain: DomainName) -> None:
        if domain in self._domains:
            return
        self._domains.add(domain)
        self._states.follow(control_stream(domain))
        for callback in self._domain_callbacks:
            callback(domain)

    def _on_state_change(self, stream, state, verdicts) -> None:
        old_groups = self._by_stream.get(stream, {})
        groups = dict(state.groups)
        if old_groups == groups:
            return
        self._by_stream[stream] = groups
        for group_id, old_group in old_groups.items():
            if groups.get(group_id) != old_group:
                self._remove_group(old_group)
        for group in groups.values():
            self._groups[group.id] = group
            self._by_deployment.setdefault(group.deployment, {})[group.id] = group

    def _remove_group(self, group: Group) -> None:
        self._groups.pop(group.id, None)
        self._by_deployment.get(group.deployment, {}).pop(group.id, None)
        for callback in self._gone_callbacks:
            callback(group.id)

    def group(self, group_id: GroupId) -> Group | None:
        """Return a group by its id, or ``None`` if no control stream has it."""
        return self._groups.get(group_id)

    def groups(self) -> list[Group]:
        """Return all groups in the order of their ids."""
        return [group for _, group in sorted(self._groups.items())]

    def serving(self, deployment: DeploymentName) -> list[Group]:
        """Return the groups of a deployment whose folded state is ``SERVING``."""
        return [
            group
            for group in self._by_deployment.get(deployment, {}).values()
            if group.state is GroupState.SERVING
        ]

    def address(self, instance: InstanceId) -> str | None:
        """Return the ``IP:PORT`` of an instance, also after it left the list.

        ``None`` stands for an instance that no list has shown.
        """
        row = self._instances.get(instance)
        return row.address if row else None

    def instance(self, instance: InstanceId) -> Instance | None:
        """Return the latest row of an instance, or ``None`` if no list had one."""
        return self._instances.get(instance)

    def fence_of(self, group_id: GroupId) -> Fence | None:
        """Return the fencing number of the lease that last assigned a known group."""
        group = self._groups.get(group_id)
        return group.fence if group else None
