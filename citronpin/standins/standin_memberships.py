"""Stand-in for the platform's membership list."""

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
    """Faults of the membership list."""

    lag_s: float = 0.0  # time before a change shows


class MembershipStandin(Standin):
    """Serves the instances that it was told of.

    ``PUT /instances`` replaces the list, ``PUT /instances/{id}`` sets one row and
    ``PUT /instances/{id}/state`` takes ``live``, ``leaving`` or ``absent``.
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
        self._rows = {instance.id: instance for instance in instances}
        self._absent: set[InstanceId] = set()
        self._view = MembershipView(version=1, instances=instances)
        self._boot = new_id()
        super().__init__(name=name, bind=bind, clock=clock)

    def add_routes(self, routes: Routes) -> None:
        routes.add("GET", INSTANCES_PATH, self._list)
        routes.add("PUT", INSTANCES_PATH, self._put_all)
        routes.add("PUT", f"{INSTANCES_PATH}/{{instance}}", self._put_row)
        routes.add("PUT", f"{INSTANCES_PATH}/{{instance}}/state", self._put_state)

    @property
    def view(self) -> MembershipView:
        """Return what the list shows now."""
        return self._view

    def set_instances(self, instances: tuple[Instance, ...]) -> None:
        """Replace all rows."""
        self._rows = {instance.id: instance for instance in instances}
        self._absent.clear()
        self._changed()

    def set_instance(self, instance: Instance) -> None:
        """Add or replace a row."""
        self._rows[instance.id] = instance
        self._changed()

    def set_state(self, instance: InstanceId, state: str) -> bool:
        """Set an instance live, leaving or absent; return whether it is known."""
        row = self._rows.get(instance)
        if row is None:
            return False
        if state == ABSENT:
            self._absent.add(instance)
        else:
            state = InstanceState(state)
            self._rows[instance] = msgspec.structs.replace(row, state=state)
            self._absent.discard(instance)
        self._changed()
        return True

    def _changed(self) -> None:
        rows = tuple(row for id, row in self._rows.items() if id not in self._absent)
        if self.faults.lag_s > 0:
            self.clock.call_later(self.faults.lag_s, lambda: self._show_rows(rows))
        else:
            self._show_rows(rows)

    def _show_rows(self, rows: tuple[Instance, ...]) -> None:
        self._view = MembershipView(version=self._view.version + 1, instances=rows)

    def _list(self, req: HttpRequest, reply: Reply) -> None:
        tag = f'"{self._boot}-{self._view.version}"'
        if req.headers.get("if-none-match") == tag:
            reply.send_response(304, headers={"ETag": tag})
            return
        reply.json(200, self._view, headers={"ETag": tag})

    def _put_all(self, req: HttpRequest, reply: Reply) -> None:
        try:
            rows = msgspec.json.decode(req.body, type=tuple[Instance, ...])
        except msgspec.DecodeError as exc:
            reply.json(400, {"detail": str(exc)})
            return
        self.set_instances(rows)
        reply.json(200, {"instances": len(rows)})

    def _put_row(self, req: HttpRequest, reply: Reply, instance: str) -> None:
        try:
            row = msgspec.json.decode(req.body, type=Instance)
        except msgspec.DecodeError as exc:
            reply.json(400, {"detail": str(exc)})
            return
        self.set_instance(row)
        reply.json(200, {"instance": row.id})

    def _put_state(self, req: HttpRequest, reply: Reply, instance: str) -> None:
        try:
            known = self.set_state(InstanceId(instance), req.json())
        except (msgspec.DecodeError, ValueError) as exc:
            reply.json(400, {"detail": str(exc)})
            return
        reply.json(200 if known else 404, {"instance": instance})


@register_standin("membership", "standin", "standin_membership")
def build_membership(cfg: Settings, clock: Clock) -> MembershipStandin:
    """Build the stand-in from its settings."""
    own = cfg.section("standin")
    path = cfg.section("standin_membership")["instances"]
    text = Path(path).read_bytes() if path else b"[]"
    return MembershipStandin(
        name=own["name"],
        bind=split_address(own["listen"]),
        clock=clock,
        instances=msgspec.json.decode(text, type=tuple[Instance, ...]),
    )
