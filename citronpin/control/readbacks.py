"""Read-backs: engine statuses and how they differ from the recorded groups."""

import logging
from collections.abc import Callable, Iterable

import msgspec
from result import Ok

from citronpin.backends.engines import EngineClient, EngineStatus
from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.ids import GroupId, InstanceId
from citronpin.policy.plans import Detector
from citronpin.state.instances import Instance
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.states import Group

logger = logging.getLogger(__name__)

STATUS_TIMEOUT_S = 1.0


class TimedStatus(msgspec.Struct, frozen=True):
    """A status with the clock times, in seconds, of its request and its answer."""

    status: EngineStatus
    asked_s: float
    heard_s: float

    @property
    def measured_s(self) -> float:
        """Return the earliest clock time at which the load may have been measured."""
        return self.asked_s - self.status.load_age_ms / MS_PER_S


class Readbacks:
    """Holds the latest status of each engine of a fabric domain.

    Each answer and each failed poll is also reported to the detector.
    ``changed`` is called after an answer that differs from the previous one in
    more than the load, and after each failed poll.
    """

    def __init__(
        self,
        *,
        client: EngineClient,
        clock: Clock,
        detector: Detector,
        changed: Callable[[], None],
        timeout_s: float = STATUS_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._clock = clock
        self._detector = detector
        self._changed = changed
        self._timeout_s = timeout_s
        self._latest: dict[InstanceId, TimedStatus] = {}
        self._pending_since_s: dict[InstanceId, float] = {}  # polls sent
        self._last_poll_s: dict[InstanceId, float] = {}
        self._silent: set[InstanceId] = set()
        self._boots: dict[GroupId, dict[InstanceId, str]] = {}
        self.polls = 0

    def latest(self, instance: InstanceId) -> TimedStatus | None:
        """Return the latest status of an instance, ``None`` before the first one."""
        return self._latest.get(instance)

    def silent_instances(self) -> frozenset[InstanceId]:
        """Return the instances that did not answer the latest poll."""
        return frozenset(self._silent)

    def has_any_answer(self) -> bool:
        """Return whether any instance has answered under this lease."""
        return bool(self._latest)

    def is_answering(self, instance: InstanceId) -> bool:
        """Return whether the latest poll of an instance was answered."""
        return instance in self._latest and instance not in self._silent

    def poll(self, instance: Instance, interval_s: float) -> None:
        """Request a status unless one is pending or was requested in the interval."""
        now = self._clock.now()
        last_poll_s = self._last_poll_s.get(instance.id)
        if instance.id in self._pending_since_s:
            return
        if last_poll_s is not None and now - last_poll_s < interval_s:
            return
        self._pending_since_s[instance.id] = self._last_poll_s[instance.id] = now
        self.polls += 1
        self._client.status(
            address=instance.address,
            done=lambda result: self._on_answer(instance.id, now, result),
            timeout_s=self._timeout_s,
        )

    def record_status(self, status: EngineStatus, asked_s: float) -> None:
        """Store a status that any part of this entry requested at ``asked_s``.

        A status that was requested before the stored one is ignored.
        """
        before = self._latest.get(status.instance)
        if before is not None and asked_s < before.asked_s:
            return
        now = self._clock.now()
        latest = TimedStatus(status=status, asked_s=asked_s, heard_s=now)
        self._latest[status.instance] = latest
        self._silent.discard(status.instance)
        self._detector.record_reply(
            instance=status.instance,
            boot=status.boot,
            delay_s=now - asked_s,
            now_s=now,
        )
        if before is None or _without_load(before.status) != _without_load(status):
            self._changed()

    def retain(self, kept: Iterable[InstanceId]) -> None:
        """Remove the statuses of instances that are not in ``kept``."""
        kept = set(kept)
        for known in (self._latest, self._last_poll_s):
            for instance in [i for i in known if i not in kept]:
                del known[instance]
        self._silent &= kept

    def clear(self) -> None:
        """Remove everything, so that a new holder of the lease reads back anew."""
        self._latest.clear()
        self._last_poll_s.clear()
        self._silent.clear()
        self._boots.clear()

    def record_boots(self, group: Group) -> None:
        """Record the boot ids that the members reported when they were read back.

        A member that has a recorded boot id keeps it.
        """
        boots = self._boots.setdefault(group.id, {})
        for member in group.members:
            if member not in boots and member in self._latest:
                boots[member] = self._latest[member].status.boot

    def clear_boots(self, group: GroupId) -> None:
        """Remove the boot ids of a group that no longer serves."""
        self._boots.pop(group, None)

    def mismatch(self, group: Group, member: InstanceId) -> str:
        """Return how a member differs from the group's record, or an empty text."""
        latest = self._latest.get(member)
        if latest is None:
            return "has not been read back"
        fault = assignment_mismatch(group, latest.status)
        fault = fault or load_mismatch(group, latest.status)
        boot = self._boots.get(group.id, {}).get(member)
        if not fault and boot is not None and boot != latest.status.boot:
            fault = "was restarted"
        return fault

    def _on_answer(self, instance: InstanceId, asked_s: float, result) -> None:
        if self._pending_since_s.pop(instance, None) != asked_s:
            return
        if isinstance(result, Ok) and result.ok_value.instance == instance:
            self.record_status(result.ok_value, asked_s)
            return
        self._silent.add(instance)
        self._detector.record_missed_probe(instance=instance, now_s=self._clock.now())
        self._changed()


def _without_load(status: EngineStatus) -> tuple:
    """Return the fields of a status other than its load."""
    return (
        status.boot,
        status.group,
        status.fence,
        status.members,
        status.model,
        status.version,
        status.adapters,
        status.loading,
    )


def assignment_mismatch(group: Group, status: EngineStatus) -> str:
    """Return how a status differs from a group's assignment, or an empty text."""
    if status.group != group.id:
        return f"holds {status.group or 'no group'}"
    if status.fence != group.fence:
        return f"holds fence {status.fence}, not {group.fence}"
    if status.members != group.members:
        return "holds other members"
    return ""


def load_mismatch(group: Group | DeploymentManifest, status: EngineStatus) -> str:
    """Return how a status differs from what a group loads, or an empty text."""
    if status.loading:
        return "is loading"
    if (status.model, status.version) != (group.model, group.version):
        return f"has {status.model} {status.version}"
    if set(status.adapters) != set(group.adapters):
        return "has other adapters"
    return ""
