"""Stand-in for the platform's membership service."""

import logging
from pathlib import Path

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import InstanceId, new_id
from citronpin.basics.settings import Settings, split_address
from citronpin.standins.standins import Faults, Standin, register_standin
from citronpin.state.instances import Instance, InstanceState, MembershipView
from citronpin.state.memberships import INSTANCES_PATH
from citronpin.web.servers import HttpRequest, Reply, Routes

logger = logging.getLogger(__name__)

ABSENT = "absent"


class MembershipFaults(Faults, kw_only=True):
    """Injectable faults of the membership service."""

    lag_s: float = 0.0  # time until a change becomes visible


class MembershipStandin(Standin):
    """Serves a membership list that can be changed by method and over HTTP.

    ``GET /instances`` returns the list, with an ETag. ``PUT /instances`` replaces it,
    ``PUT /instances/{id}`` adds or replaces the instance of the body, and
    ``PUT /instances/{id}/state`` takes ``live``, ``leaving`` or ``absent``; absent
    instances are not listed.
    """

    faults_type = MembershipFaults

    def __init__(
        self,
        *,
        name: str,
        bind: tuple[str, int],
        clock: Clock,
        instances: tuple[Instance, ...] = (),
    ) -> None:
        self._instances = {instance.id: instance for instance in instances}
        self._absent: set[InstanceId] = set()
        self._view = MembershipView(version=1, instances=instances)
        self._boot_id = new_id()
        super().__init__(name=name, bind=bind, clock=clock)

    def add_routes(self, routes: Routes) -> None:
        routes.add("GET", INSTANCES_PATH, self._show_view)
        routes.add("PUT", INSTANCES_PATH, self._put_all)
        routes.add("PUT", f"{INSTANCES_PATH}/{{instance}}", self._put_instance)
        routes.add("PUT", f"{INSTANCES_PATH}/{{instance}}/state", self._put_state)

    @property
    def view(self) -> MembershipView:
        """Return the list as it is currently visible."""
        return self._view

    def set_instances(self, instances: tuple[Instance, ...]) -> None:
        """Replace all instances."""
        self._instances = {instance.id: instance for instance in instances}
        self._absent.clear()
        self._schedule_view()

    def set_instance(self, instance: Instance) -> None:
        """Add an instance or replace the one with its id."""
        self._instances[instance.id] = instance
        self._schedule_view()

    def set_state(self, instance_id: InstanceId, state: str) -> bool:
        """Set an instance live, leaving or absent; return false if it is unknown.

        ``ValueError`` is raised for any other state.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return False
        if state == ABSENT:
            self._absent.add(instance_id)
        else:
            state = InstanceState(state)
            self._instances[instance_id] = msgspec.structs.replace(
                instance, state=state
            )
            self._absent.discard(instance_id)
        self._schedule_view()
        return True

    def _schedule_view(self) -> None:
        instances = tuple(
            instance
            for instance_id, instance in self._instances.items()
            if instance_id not in self._absent
        )
        if self.faults.lag_s > 0:
            self.clock.call_later(self.faults.lag_s, lambda: self._set_view(instances))
        else:
            self._set_view(instances)

    def _set_view(self, instances: tuple[Instance, ...]) -> None:
        self._view = MembershipView(version=self._view.version + 1, instances=instances)

    def _show_view(self, req: HttpRequest, reply: Reply) -> None:
        tag = f'"{self._boot_id}-{self._view.version}"'
        if req.headers.get("if-none-match") == tag:
            reply.send_response(304, headers={"ETag": tag})
            return
        reply.json(200, self._view, headers={"ETag": tag})

    def _put_all(self, req: HttpRequest, reply: Reply) -> None:
        try:
            instances = msgspec.json.decode(req.body, type=tuple[Instance, ...])
        except msgspec.DecodeError as exc:
            reply.json(400, {"detail": str(exc)})
            return
        self.set_instances(instances)
        reply.json(200, {"instances": len(instances)})

    def _put_instance(self, req: HttpRequest, reply: Reply, instance: str) -> None:
        try:
            new_instance = msgspec.json.decode(req.body, type=Instance)
        except msgspec.DecodeError as exc:
            reply.json(400, {"detail": str(exc)})
            return
        self.set_instance(new_instance)
        reply.json(200, {"instance": new_instance.id})

    def _put_state(self, req: HttpRequest, reply: Reply, instance: str) -> None:
        try:
            is_known = self.set_state(InstanceId(instance), req.json())
        except (msgspec.DecodeError, ValueError) as exc:
            reply.json(400, {"detail": str(exc)})
            return
        reply.json(200 if is_known else 404, {"instance": instance})


@register_standin("membership", "standin", "standin_membership")
def build_membership(cfg: Settings, clock: Clock) -> MembershipStandin:
    """Build the membership stand-in from its settings."""
    standin_cfg = cfg.section("standin")
    path = cfg.section("standin_membership")["instances"]
    text = Path(path).read_bytes() if path else b"[]"
    return MembershipStandin(
        name=standin_cfg["name"],
        bind=split_address(standin_cfg["listen"]),
        clock=clock,
        instances=msgspec.json.decode(text, type=tuple[Instance, ...]),
    )
