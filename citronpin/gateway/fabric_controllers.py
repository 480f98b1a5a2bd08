"""Carries out what is planned for one fabric domain."""

import logging
import math
import zlib
from collections.abc import Iterator

import msgspec

from citronpin.basics.clocks import Clock
from citronpin.basics.ids import (
    ApplicationName,
    DomainName,
    GroupId,
    InstanceId,
    ModelName,
)
from citronpin.gateway.budgets import SlidingCount
from citronpin.gateway.fleets import Fleet, FleetInstance, Membership, Phase
from citronpin.gateway.planners import GroupPlanner
from citronpin.gateway.plans import (
    Action,
    Close,
    DomainView,
    Form,
    Formation,
    InstanceView,
    Open,
    Pressure,
    Stage,
    Staging,
)
from citronpin.gateway.ports import (
    DomainLeases,
    InstanceControl,
    Order,
    OrderKind,
    OrderResult,
)
from citronpin.gateway.routings import EngineSpec
from citronpin.gateway.suspects import Suspects
from citronpin.gateway.watches import MemberWatch
from citronpin.peers.messages import HeadStatus

logger = logging.getLogger(__name__)

TICK_S = 0.1
EPOCHS_PER_GENERATION = 1 << 20  # epochs of a later holder are always higher
LOAD_WINDOW_S = 5.0
BUSY_AFTER_ORDER_S = 2.5  # reports are asked for often while something changes
ORDER_SENDS = 5  # until an order that gets no answer is given up
SETTLE_S = 0.4  # a holder that had extended its lease has heard of the new one by then
TURNS = 3  # a third of the domains may change their models at a time
TURN_S = 6.0  # a group finishes its requests, and another forms and is felt
STAGE_AGAIN_S = 40.0  # loads that share the store take up to half of it


class FabricController:
    """Forms, repairs and opens the groups of one fabric domain."""

    def __init__(
        self,
        *,
        service: ApplicationName,
        domain: DomainName,
        fleet: Fleet,
        planner: GroupPlanner,
        control: InstanceControl,
        leases: DomainLeases,
        suspects: Suspects,
        clock: Clock,
        heartbeat_s: float,
    ) -> None:
        self._suspects = suspects
        self.service = service
        self.domain = domain
        self._fleet = fleet
        self._planner = planner
        self._control = control
        self._leases = leases
        self._clock = clock
        self._watch = MemberWatch(
            control=control, fleet=fleet, clock=clock, heartbeat_s=heartbeat_s
        )
        self._formations: dict[GroupId, Formation] = {}
        self._closes: dict[GroupId, float] = {}
        self._opens: dict[GroupId, float] = {}
        self._stages: dict[InstanceId, Staging] = {}
        # Instances do not say which model their last group had; by start.
        self._last_models: dict[InstanceId, tuple[int, ModelName]] = {}
        # Entries (address, start) at which another instance got the order.
        self._taken: dict[InstanceId, tuple[str, int]] = {}
        self._loads = SlidingCount(window_s=LOAD_WINDOW_S)
        self._epoch = 0
        self._ordered_s = float("-inf")
        self._held_since_s: float | None = None
        self.heads: tuple[HeadStatus, ...] = ()  # groups that serve, as found last

    def release(self) -> None:
        """Forget what was ordered; another entry decides now."""
        if self._held_since_s is not None:
            logger.info("lease lost", extra={"domain": self.domain})
        self._held_since_s = None
        self.heads = ()
        self._formations.clear()
        self._closes.clear()
        self._opens.clear()
        self._stages.clear()

    def tick(
        self,
        *,
        engine: EngineSpec,
        domains: int,
        bulk: bool,
        pressures: dict[ModelName, Pressure],
    ) -> None:
        """Look at the domain and order what is to be done."""
        now_s = self._clock.now()
        if self._held_since_s is None:
            self._held_since_s = now_s
            logger.info(
                "lease held",
                extra={"domain": self.domain, "generation": self._leases.generation},
            )
            # The holder before may have begun as many loads as it was allowed.
            self._loads.add(_load_part(engine, domains), now_s=now_s)
        instances = [
            instance
            for instance in self._fleet.of_service(self.service)
            if instance.domain == self.domain
        ]
        suspected = self._suspected(instances, now_s)
        busy = bool(suspected) or now_s - self._ordered_s < BUSY_AFTER_ORDER_S
        self._watch.ask(instances, busy=busy)
        self._watch.forget_others({instance.id for instance in instances})
        views = {
            instance.id: self._view_of(instance, _group_of(instance) in suspected)
            for instance in instances
        }
        self._tidy(views, now_s)
        view = DomainView(
            engine=engine,
            instances=views,
            formations=self._formations,
            closes=self._closes,
            opens=self._opens,
            stages=self._stages,
            loads_left=self._loads_left(engine, domains, now_s),
            bulk=bulk,
            pressures=pressures,
            converting=math.ceil(domains / TURNS) if self._has_turn(now_s) else 0,
        )
        self.heads = tuple(self._serving(views))
        if now_s - self._held_since_s < SETTLE_S and not bulk:
            return
        for action in self._planner.plan(view=view, now_s=now_s):
            self._carry_out(action, views, now_s)

    def _has_turn(self, now_s: float) -> bool:
        """Return whether this domain may change its models now.

        Domains see the same pressure; they must not all answer it together.
        """
        place = zlib.crc32(self.domain.encode()) % TURNS
        return int(now_s / TURN_S) % TURNS == place

    def _view_of(self, instance: FleetInstance, suspected: bool) -> InstanceView:
        seen = self._watch.overlay(instance)
        if seen.membership is not None and seen.models:
            self._last_models[seen.id] = (seen.born_ms, seen.models[0])
        born_ms, model = self._last_models.get(seen.id, (None, None))
        gone = self._taken.get(seen.id) == (instance.address, instance.born_ms)
        return InstanceView(
            instance=seen,
            dead=gone or self._watch.dead(instance, suspected=suspected),
            last_model=model if born_ms == seen.born_ms else None,
        )

    def _suspected(
        self, instances: list[FleetInstance], now_s: float
    ) -> set[GroupId | None]:
        """Return the groups whose answers have stopped at any entry."""
        return {
            _group_of(instance)
            for instance in instances
            if instance.is_serving_head
            and self._suspects.is_avoided(instance.id, now_s=now_s)
        }

    def _serving(self, views: dict[InstanceId, InstanceView]) -> Iterator[HeadStatus]:
        """Return the live heads that accept requests."""
        paces: dict[GroupId, float] = {}
        for member, seen in views.items():
            group = _group_of(seen.instance)
            if group is not None:
                pace = max(self._watch.pace(member), paces.get(group, 1.0))
                paces[group] = round(pace, 1)
        for seen in views.values():
            instance = seen.instance
            if not instance.is_serving_head or seen.dead or not instance.models:
                continue
            place = instance.membership
            yield HeadStatus(
                instance=instance.id,
                group=place.group,
                epoch=place.epoch,
                model=instance.models[0],
                load=self._watch.load(instance.id),
                pace=paces[place.group],
            )

    def _loads_left(self, engine: EngineSpec, domains: int, now_s: float) -> int:
        """Return how many loads may begin, a domain's part of the common rate."""
        part = _load_part(engine, domains)
        return max(int(part - self._loads.total(now_s=now_s)), 0)

    def _tidy(self, views: dict[InstanceId, InstanceView], now_s: float) -> None:
        """Drop notes on groups that are gone or have gone on."""
        for seen in views.values():
            place = seen.instance.membership
            if place is None:
                continue
            formation = self._formations.get(place.group)
            if formation is not None and place.epoch > formation.epoch:
                del self._formations[place.group]
            if place.rank == 0 and place.phase in (Phase.READY, Phase.BROKEN):
                self._closes.pop(place.group, None)
        for group, formation in list(self._formations.items()):
            if not any(member in views for member in formation.members):
                del self._formations[group]
        for instance, staging in list(self._stages.items()):
            seen = views.get(instance)
            over = now_s - staging.ordered_s > STAGE_AGAIN_S
            if seen is None or seen.dead or over:
                del self._stages[instance]
            elif staging.model in seen.instance.staged:
                del self._stages[instance]
        for instance in set(self._last_models) - set(views):
            del self._last_models[instance]
        for instance in set(self._taken) - set(views):
            del self._taken[instance]

    def _next_epoch(self, views: dict[InstanceId, InstanceView]) -> int:
        seen = [
            view.instance.membership.epoch
            for view in views.values()
            if view.instance.membership is not None
        ]
        base = self._leases.generation * EPOCHS_PER_GENERATION
        self._epoch = max(self._epoch, base, *seen, 0) + 1
        return self._epoch

    def _carry_out(
        self, action: Action, views: dict[InstanceId, InstanceView], now_s: float
    ) -> None:
        self._ordered_s = now_s
        match action:
            case Form():
                self._form(action, views, now_s)
            case Open():
                self._opens[action.group] = now_s
                order = Order(
                    kind=OrderKind.OPEN, group=action.group, epoch=action.epoch
                )
                self._send(action.head, order, views)
            case Close():
                self._closes.setdefault(action.group, now_s)
                order = Order(
                    kind=OrderKind.CLOSE,
                    group=action.group,
                    epoch=action.epoch,
                    cancel=action.cancel,
                )
                self._send(action.head, order, views, reason=action.reason)
            case Stage():
                self._stages[action.instance] = Staging(
                    model=action.model, ordered_s=now_s
                )
                self._loads.add(1.0, now_s=now_s)
                order = Order(kind=OrderKind.STAGE, model=action.model)
                self._send(action.instance, order, views)

    def _form(
        self, action: Form, views: dict[InstanceId, InstanceView], now_s: float
    ) -> None:
        epoch = self._next_epoch(views)
        group = action.group or GroupId(f"{self.domain}.{epoch}")
        self._loads.add(float(action.loads), now_s=now_s)
        self._closes.pop(group, None)
        self._opens.pop(group, None)
        self._formations[group] = Formation(
            group=group,
            epoch=epoch,
            model=action.model,
            members=action.members,
            ordered_s=now_s,
        )
        order = Order(
            kind=OrderKind.JOIN,
            group=group,
            epoch=epoch,
            model=action.model,
            members=action.members,
        )
        for member in action.members:
            left = _to_leave(views[member].instance, order, views)
            if left is None:
                self._send(member, order, views, reason=action.reason)
            else:
                self._leave_and_join(member, left, order, views, action.reason)

    def _leave_and_join(
        self,
        member: InstanceId,
        left: Membership,
        order: Order,
        views: dict[InstanceId, InstanceView],
        reason: str,
    ) -> None:
        """Take a member out of its group before it joins one under another head.

        The head that it had may still serve, unseen by this entry: its entry in the
        list can have lapsed.
        """
        leave = Order(kind=OrderKind.LEAVE, group=left.group, epoch=left.epoch)

        def done(result: OrderResult) -> None:
            logger.info(
                "order",
                extra={
                    "order": leave.kind.value,
                    "instance": member,
                    "group": leave.group,
                    "epoch": leave.epoch,
                    "reason": reason,
                    "result": result.value,
                },
            )
            formation = self._formations.get(order.group)
            if formation is None or formation.epoch != order.epoch:
                return
            if result is OrderResult.UNKNOWN:
                self._settle(member, order, result)
            else:
                self._send(member, order, views, reason=reason)

        self._control.order(to=views[member].instance, order=leave, done=done)

    def _send(
        self,
        to: InstanceId,
        order: Order,
        views: dict[InstanceId, InstanceView],
        reason: str = "",
        sends: int = 1,
    ) -> None:
        def done(result: OrderResult) -> None:
            logger.info(
                "order",
                extra={
                    "order": order.kind.value,
                    "instance": to,
                    "group": order.group,
                    "epoch": order.epoch,
                    "model": order.model,
                    "members": list(order.members),
                    "reason": reason,
                    "result": result.value,
                    "sends": sends,
                },
            )
            if result is OrderResult.UNKNOWN and self._wanted(order, sends):
                # An order that was carried out already is answered so.
                self._send(to, order, views, reason, sends + 1)
            else:
                self._settle(to, order, result)

        self._control.order(to=views[to].instance, order=order, done=done)

    def _wanted(self, order: Order, sends: int) -> bool:
        """Return whether an order without an answer is sent again."""
        formation = self._formations.get(order.group)
        return (
            order.kind is OrderKind.JOIN
            and sends < ORDER_SENDS
            and formation is not None
            and formation.epoch == order.epoch
            and self._leases.holds(self.domain)
        )

    def _note_taken(self, instance: InstanceId) -> None:
        """Take an instance for gone, whose reports come from another one."""
        known = self._fleet.get(instance)
        if known is not None:
            self._taken[instance] = (known.address, known.born_ms)
            logger.info(
                "address taken by another instance",
                extra={"instance": instance, "address": known.address},
            )

    def _settle(self, to: InstanceId, order: Order, result: OrderResult) -> None:
        """Take the final result of an order."""
        carried_out = result in (OrderResult.STARTED, OrderResult.ALREADY_APPLIED)
        if result is OrderResult.WRONG_INSTANCE:
            self._note_taken(to)
        if order.kind is OrderKind.STAGE and not carried_out:
            self._stages.pop(to, None)
        formation = self._formations.get(order.group)
        if order.kind is not OrderKind.JOIN or carried_out or formation is None:
            return
        if formation.epoch == order.epoch:
            self._formations[order.group] = msgspec.structs.replace(
                formation, refused=formation.refused | {to}
            )


def _to_leave(
    instance: FleetInstance, order: Order, views: dict[InstanceId, InstanceView]
) -> Membership | None:
    """Return the place that an instance leaves before it joins as ordered.

    Members that stay under their head join anew without leaving, which is quicker.
    """
    place = instance.membership
    if place is None:
        return None
    if place.group != order.group:
        return place
    head = views[order.members[0]].instance.membership
    if head is None or head.rank != 0:
        return place
    # Under an older epoch it may have had another head, which serves on unseen.
    same = (head.group, head.epoch) == (place.group, place.epoch)
    return None if same else place


def _group_of(instance: FleetInstance) -> GroupId | None:
    return None if instance.membership is None else instance.membership.group


def _load_part(engine: EngineSpec, domains: int) -> float:
    """Return the loads that one of ``domains`` domains may begin in a window."""
    return engine.loads_per_s * LOAD_WINDOW_S / max(domains, 1)
