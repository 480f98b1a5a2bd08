"""Starts and stops one set of controllers for each fabric domain."""

import logging
from collections.abc import Callable

from circuits import BaseComponent

from citronpin.backends.engines import EngineClient, EngineStatus
from citronpin.basics.clocks import Clock
from citronpin.basics.events import Recorder
from citronpin.basics.ids import (
    CONFIG_STREAM,
    DomainName,
    EntryId,
    GroupId,
    control_stream,
)
from citronpin.control.controllers import Controller
from citronpin.control.domains import DomainFacts, MembershipSource
from citronpin.control.groups import GroupController
from citronpin.control.leases import MAX_HEAD_AGE_S, AliveSource, LeaseController
from citronpin.control.orders import Orders
from citronpin.control.readbacks import Readbacks
from citronpin.control.rollouts import RolloutController
from citronpin.policy.plans import Detector, PlacementPolicy, RepairPolicy
from citronpin.state.instances import InstanceKind
from citronpin.state.logs import States

logger = logging.getLogger(__name__)

SCAN_INTERVAL_S = 1.0


class DomainControl:
    """Wires the controllers of one fabric domain in one entry."""

    def __init__(
        self,
        *,
        entry: EntryId,
        domain: DomainName,
        states: States,
        client: EngineClient,
        clock: Clock,
        recorder: Recorder,
        membership: MembershipSource,
        alive: AliveSource,
        head_age_s: Callable[[str], float],
        detector: Detector,
        repair: RepairPolicy,
        placement: PlacementPolicy,
        max_head_age_s: float = MAX_HEAD_AGE_S,
    ) -> None:
        stream = control_stream(domain)
        common = {
            "entry": entry,
            "stream": stream,
            "states": states,
            "clock": clock,
            "recorder": recorder,
        }
        self.lease = LeaseController(
            alive=alive,
            head_age_s=head_age_s,
            max_head_age_s=max_head_age_s,
            **common,
        )
        self.readbacks = Readbacks(
            client=client, clock=clock, detector=detector, changed=self.wake
        )
        self.facts = DomainFacts(
            domain=domain,
            states=states,
            clock=clock,
            membership=membership,
            detector=detector,
            readbacks=self.readbacks,
            placement=placement,
            max_head_age_s=max_head_age_s,
        )
        self.orders = Orders(
            entry=entry,
            stream=stream,
            client=client,
            clock=clock,
            recorder=recorder,
            lease=self.lease,
            readbacks=self.readbacks,
            done=self.wake,
        )
        parts = {
            "lease": self.lease,
            "facts": self.facts,
            "readbacks": self.readbacks,
            "orders": self.orders,
        }
        self.groups = GroupController(policy=repair, **parts, **common)
        self.rollouts = RolloutController(domain=domain, **parts, **common)

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return the controllers in the order in which they run."""
        return (self.lease, self.groups, self.rollouts)

    def wake(self) -> None:
        """Schedule a run of the group and rollout controllers."""
        self.groups.wake()
        self.rollouts.wake()

    def start(self) -> None:
        """Start all controllers."""
        for controller in self.controllers:
            controller.start()

    def close(self) -> None:
        """Stop all controllers."""
        for controller in self.controllers:
            controller.close()


class ControlTask(BaseComponent):
    """Runs controllers for every fabric domain in the membership list.

    ``detector`` is called once for each fabric domain and returns its detector;
    ``head_age_s`` returns the seconds since a stream's fold was confirmed to be
    at the head of the log.
    """

    channel = "control"

    def __init__(
        self,
        *,
        entry: EntryId,
        states: States,
        client: EngineClient,
        clock: Clock,
        recorder: Recorder,
        membership: MembershipSource,
        alive: AliveSource,
        head_age_s: Callable[[str], float],
        detector: Callable[[], Detector],
        repair: RepairPolicy,
        placement: PlacementPolicy,
        max_head_age_s: float = MAX_HEAD_AGE_S,
    ) -> None:
        super().__init__()
        self._states = states
        self._clock = clock
        self._membership = membership
        self._make_detector = detector
        self._common = {
            "entry": entry,
            "states": states,
            "client": client,
            "clock": clock,
            "recorder": recorder,
            "membership": membership,
            "alive": alive,
            "head_age_s": head_age_s,
            "repair": repair,
            "placement": placement,
            "max_head_age_s": max_head_age_s,
        }
        self._membership_version: int | None = None
        self._open = False
        self.domains: dict[DomainName, DomainControl] = {}

    def start(self) -> None:
        """Start controllers for the listed fabric domains; call after boot."""
        self._open = True
        self._states.follow(CONFIG_STREAM)
        self._states.subscribe(CONFIG_STREAM, self._on_config)
        self._scan_membership()

    def leave(self) -> None:
        """Stop acting at once and yield all leases, for a planned stop."""
        for domain_control in self.domains.values():
            domain_control.lease.leave()

    def holds_no_lease(self) -> bool:
        """Return whether this entry holds no lease according to its fold."""
        return not any(
            domain_control.lease.holds for domain_control in self.domains.values()
        )

    def close(self) -> None:
        """Stop all controllers permanently."""
        self._open = False
        for domain_control in self.domains.values():
            domain_control.close()

    def record_status(
        self, domain: DomainName, status: EngineStatus, asked_s: float
    ) -> None:
        """Record a status that a watcher of this entry requested at ``asked_s``."""
        domain_control = self.domains.get(domain)
        if domain_control is not None:
            domain_control.readbacks.record_status(status, asked_s)

    def poll_group(self, group: GroupId) -> None:
        """Poll the members of a group at once, after its watchers report a fault."""
        for domain_control in self.domains.values():
            known = domain_control.facts.control.groups.get(group)
            if known is not None:
                domain_control.groups.poll_group(known)

    def _on_config(self, stream, state, verdicts) -> None:
        if stream == CONFIG_STREAM and any(v.accepted for v in verdicts):
            for domain_control in self.domains.values():
                domain_control.wake()

    def _scan_membership(self) -> None:
        if not self._open:
            return
        self._clock.call_later(SCAN_INTERVAL_S, self._scan_membership)
        view = self._membership()
        if view is None or view.version == self._membership_version:
            return
        self._membership_version = view.version
        engines = [i for i in view.instances if i.kind is InstanceKind.ENGINE]
        for domain in sorted({i.domain for i in engines} - set(self.domains)):
            domain_control = DomainControl(
                domain=domain, detector=self._make_detector(), **self._common
            )
            self.domains[domain] = domain_control
            domain_control.start()
