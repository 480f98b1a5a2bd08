"""Fold of the control stream of a fabric domain."""

import logging

import msgspec

from citronpin.state import records
from citronpin.state.rules import Fold, Rejected, check_fence, wrong_stream_rejection
from citronpin.state.states import GROUP_TRANSITIONS, ControlState, Group, GroupState

logger = logging.getLogger(__name__)


class ControlFold(Fold):
    """Rules for the groups of a fabric domain; each item needs the current fence."""

    def empty(self) -> ControlState:
        return ControlState()

    def accept(self, state, offset, record, item):
        rules = {
            records.GroupForm: self._accept_form,
            records.GroupMove: self._accept_move,
            records.GroupReplace: self._accept_replace,
            records.GroupReload: self._accept_reload,
            records.GroupRelease: self._accept_release,
            records.InstanceBar: self._accept_bar,
        }
        rule = rules.get(type(item))
        if rule is None:
            raise wrong_stream_rejection(item)
        check_fence(state, record, item.fence)
        return rule(state, offset, item)

    def _accept_form(self, state, offset, item: records.GroupForm):
        if item.group in state.groups:
            raise Rejected(f"Group {item.group} exists already.")
        self._check_free(state, item.members)
        group = Group(
            id=item.group,
            deployment=item.deployment,
            members=item.members,
            model=item.model,
            version=item.version,
            adapters=item.adapters,
            state=GroupState.FORMING,
            fence=item.fence,
            changed=offset,
        )
        return self._with_assigned(
            self._with_group(state, group), group.id, item.members
        )

    def _check_free(self, state, members) -> None:
        if not members or len(set(members)) != len(members):
            raise Rejected("Members must be given, each once.")
        for member in members:
            if member in state.assigned:
                raise Rejected(f"{member} belongs to {state.assigned[member]}.")
            if member in state.barred:
                raise Rejected(f"{member} is barred: {state.barred[member]}.")

    def _accept_move(self, state, offset, item: records.GroupMove):
        group = self._find_group(state, item)
        try:
            target = GroupState(item.state)
        except ValueError:
            raise Rejected(f"{item.state} is not a state of groups.") from None
        if target not in GROUP_TRANSITIONS[group.state]:
            raise Rejected(
                f"Group {group.id} cannot go from {group.state.value} to "
                f"{target.value}."
            )
        fence = item.fence if target is GroupState.FORMING else group.fence
        return self._with_group(
            state,
            msgspec.structs.replace(
                group, state=target, changed=offset, reason=item.reason, fence=fence
            ),
        )

    def _accept_replace(self, state, offset, item: records.GroupReplace):
        group = self._find_group(state, item)
        self._check_state(group, GroupState.BROKEN)
        leaving = set(item.leaving)
        if not leaving <= set(group.members) or len(leaving) != len(item.joining):
            raise Rejected("Each leaving member needs one that joins in its place.")
        self._check_free(state, item.joining)
        joining = iter(item.joining)
        members = tuple(
            next(joining) if member in leaving else member for member in group.members
        )
        updated = msgspec.structs.replace(
            group,
            members=members,
            state=GroupState.FORMING,
            fence=item.fence,
            changed=offset,
            reason="",
        )
        freed = self._without_assigned(self._with_group(state, updated), item.leaving)
        return self._with_assigned(freed, group.id, item.joining)

    def _accept_reload(self, state, offset, item: records.GroupReload):
        group = self._find_group(state, item)
        self._check_state(group, GroupState.RELOADING)
        updated = msgspec.structs.replace(
            group,
            model=item.model,
            version=item.version,
            adapters=item.adapters,
            changed=offset,
        )
        return self._with_group(state, updated)

    def _accept_release(self, state, offset, item: records.GroupRelease):
        group = self._find_group(state, item)
        self._check_state(group, GroupState.RELEASING)
        groups = state.groups.delete(group.id)
        without_group = msgspec.structs.replace(state, groups=groups)
        return self._without_assigned(without_group, group.members)

    def _accept_bar(self, state, offset, item: records.InstanceBar):
        if not item.barred and item.instance not in state.barred:
            raise Rejected(f"{item.instance} is not barred.")
        if item.barred:
            barred = state.barred.set(item.instance, item.reason)
        else:
            barred = state.barred.delete(item.instance)
        return msgspec.structs.replace(state, barred=barred)

    def _find_group(self, state, item) -> Group:
        """Return the group of an item; reject a missing group or an outdated base."""
        if item.group not in state.groups:
            raise Rejected(f"Group {item.group} does not exist.")
        group = state.groups[item.group]
        if item.base is not None and item.base != group.changed:
            raise Rejected(
                f"Group {group.id} was changed at offset {group.changed}, but the "
                f"proposal was made from {item.base}."
            )
        return group

    def _check_state(self, group: Group, expected: GroupState) -> None:
        if group.state is not expected:
            raise Rejected(
                f"Group {group.id} is {group.state.value}, not {expected.value}."
            )

    def _with_group(self, state, group: Group):
        groups = state.groups.set(group.id, group)
        return msgspec.structs.replace(state, groups=groups)

    def _with_assigned(self, state, group_id, members):
        assigned = state.assigned
        for member in members:
            assigned = assigned.set(member, group_id)
        return msgspec.structs.replace(state, assigned=assigned)

    def _without_assigned(self, state, members):
        assigned = state.assigned
        for member in members:
            assigned = assigned.delete(member)
        return msgspec.structs.replace(state, assigned=assigned)
