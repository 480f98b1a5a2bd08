"""Read-backs: what engines report, compared with what the log has recorded."""

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
    """A status and when it was asked for and answered, in clock seconds."""

    status: EngineStatus
    asked_s: float
    heard_s: float

    @property
    def measured_s(self) -> float:
        """Return the earliest time at which its load may have been measured."""
        return self.asked_s - self.status.load_age_ms / MS_PER_S


class Readbacks:
    """The latest status of each engine of a fabric domain.

    Each answer and each silence goes to the detector too. ``changed`` is called
    after an answer that differs from the one before it, and after a silence.
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
        self._seen: dict[InstanceId, TimedStatus] = {}
        self._pending_since_s: dict[InstanceId, float] = (
            {}
        )  # when the open poll was sent
        self._last_poll_s: dict[InstanceId, float] = {}
        self._silent: set[InstanceId] = set()
        self._boots: dict[GroupId, dict[InstanceId, str]] = {}
        self.polls = 0

    def seen(self, instance: InstanceId) -> TimedStatus | None:
        """Return the latest status of an instance."""
        return self._seen.get(instance)

    def silent(self) -> frozenset[InstanceId]:
        """Return the instances that did not answer the latest probe."""
        return frozenset(self._silent)

    def has_any_answer(self) -> bool:
        """Return whether any instance has answered."""
        return bool(self._seen)

    def answers(self, instance: InstanceId) -> bool:
        """Return whether the latest probe of an instance was answered."""
        return instance in self._seen and instance not in self._silent

    def poll(self, instance: Instance, interval_s: float) -> None:
        """Ask an instance for its status unless that was done in the interval."""
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
            done=lambda result: self._answered(instance.id, now, result),
            timeout_s=self._timeout_s,
        )

    def record_status(self, status: EngineStatus, asked_s: float) -> None:
        """Take a status that was asked for at ``asked_s``, by whomever."""
        before = self._seen.get(status.instance)
        if before is not None and asked_s < before.asked_s:
            return
        now = self._clock.now()
        seen = TimedStatus(status=status, asked_s=asked_s, heard_s=now)
        self._seen[status.instance] = seen
        self._silent.discard(status.instance)
        self._detector.heard(
            instance=status.instance,
            boot=status.boot,
            delay_s=now - asked_s,
            now_s=now,
        )
        if before is None or _without_load(before.status) != _without_load(status):
            self._changed()

    def retain(self, kept: Iterable[InstanceId]) -> None:
        """Drop what is known of instances that are not in ``kept``."""
        kept = set(kept)
        for known in (self._seen, self._last_poll_s):
            for instance in [i for i in known if i not in kept]:
                del known[instance]
        self._silent &= kept

    def clear(self) -> None:
        """Drop everything; a new holder of the lease reads back anew."""
        self._seen.clear()
        self._last_poll_s.clear()
        self._silent.clear()
        self._boots.clear()

    def record_boots(self, group: Group) -> None:
        """Remember the boots of the members with which a group was read back."""
        boots = self._boots.setdefault(group.id, {})
        for member in group.members:
            if member not in boots and member in self._seen:
                boots[member] = self._seen[member].status.boot

    def clear_boots(self, group: GroupId) -> None:
        """Forget the boots of a group that no longer serves."""
        self._boots.pop(group, None)

    def mismatch(self, group: Group, member: InstanceId) -> str:
        """Return how a member differs from the group's record, or nothing."""
        seen = self._seen.get(member)
        if seen is None:
            return "has not been read back"
        fault = assignment_mismatch(group, seen.status)
        fault = fault or load_mismatch(group, seen.status)
        boot = self._boots.get(group.id, {}).get(member)
        if not fault and boot is not None and boot != seen.status.boot:
            fault = "was restarted"
        return fault

    def _answered(self, instance: InstanceId, asked_s: float, result) -> None:
        if self._pending_since_s.pop(instance, None) != asked_s:
            return
        if isinstance(result, Ok) and result.ok_value.instance == instance:
            self.record_status(result.ok_value, asked_s)
            return
        self._silent.add(instance)
        self._detector.missed(instance=instance, now_s=self._clock.now())
        self._changed()


def _without_load(status: EngineStatus) -> tuple:
    """Return what a status says beside the load."""
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
    """Return how a status differs from the assignment of a group, or nothing."""
    if status.group != group.id:
        return f"holds {status.group or 'no group'}"
    if status.fence != group.fence:
        return f"holds fence {status.fence}, not {group.fence}"
    if status.members != group.members:
        return "holds other members"
    return ""


def load_mismatch(group: Group | DeploymentManifest, status: EngineStatus) -> str:
    """Return how a status differs from what a group is to load, or nothing."""
    if status.loading:
        return "is loading"
    if (status.model, status.version) != (group.model, group.version):
        return f"has {status.model} {status.version}"
    if set(status.adapters) != set(group.adapters):
        return "has other adapters"
    return ""
