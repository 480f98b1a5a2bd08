"""Executes the plan of one fabric domain while its lease is held."""

import logging
import math
import zlib
from collections.abc import Iterator

import msgspec

from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.ids import (
    ApplicationName,
    DomainName,
    GroupId,
    InstanceId,
    ModelName,
)
from citronpin.gateway.budgets import SlidingCount
from citronpin.gateway.cold_starts import ColdStarts
from citronpin.gateway.evacuations import Evacuations
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
from citronpin.gateway.reachabilities import Reachability
from citronpin.gateway.routings import EngineSpec
from citronpin.gateway.suspects import Suspects
from citronpin.gateway.watches import MemberWatch
from citronpin.gateway.withdrawals import NO_WITHDRAWALS, Withdrawals
from citronpin.peers.messages import HeadStatus

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
EPOCHS_PER_GENERATION = 1 << 20  # keeps the epochs of a later lease holder higher
MODEL_LOAD_WINDOW_S = 5.0
BUSY_AFTER_ORDER_S = 2.5  # reports are polled faster for this time after an order
MAX_ORDER_SENDS = 5  # of an unanswered JOIN order
# A previous holder that extended its lease has heard of the new holder by then.
TAKEOVER_DELAY_S = 0.4
CONVERSION_TURNS = 3  # a third of the domains may convert groups at a time
# Covers finishing the requests of a group, forming another and its effect on the load.
CONVERSION_TURN_S = 6.0
STAGE_TIMEOUT_S = 40.0  # concurrent loads from the store take up to half of it


class FabricController:
    """Forms, repairs, opens and closes the groups of one fabric domain."""

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
        reach: Reachability,
        withdrawals: Withdrawals = NO_WITHDRAWALS,
        evacuations: Evacuations | None = None,
        cold_starts: ColdStarts | None = None,
    ) -> None:
        self._withdrawals = withdrawals
        self._evacuations = evacuations or Evacuations(now=clock.now)
        self._suspects = suspects
        self._reach = reach
        self.service = service
        self.domain = domain
        self._fleet = fleet
        self._planner = planner
        self._control = control
        self._leases = leases
        self._clock = clock
        self._watch = MemberWatch(
            control=control,
            fleet=fleet,
            clock=clock,
            heartbeat_s=heartbeat_s,
            reach=reach,
            cold_starts=cold_starts,
        )
        self._formations: dict[GroupId, Formation] = {}
        self._closes: dict[GroupId, float] = {}
        self._opens: dict[GroupId, float] = {}
        self._stages: dict[InstanceId, Staging] = {}
        # (start in Unix ms, model of the last group), which instances do not report.
        self._last_models: dict[InstanceId, tuple[int, ModelName]] = {}
        # (address, start in Unix ms) of instances whose address another instance has.
        self._replaced: dict[InstanceId, tuple[str, int]] = {}
        self._model_loads = SlidingCount(window_s=MODEL_LOAD_WINDOW_S)
        self._epoch = 0
        self._last_order_s = float("-inf")
        self._held_since_s: float | None = None
        self.heads: tuple[HeadStatus, ...] = ()  # serving groups at the latest tick

    def release(self) -> None:
        """Discard the records of orders after the lease has passed to another entry."""
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
        domain_count: int,
        before_traffic: bool,
        pressures: dict[ModelName, Pressure],
        is_crowd: bool = False,
    ) -> None:
        """Poll the instances of the domain, plan its groups and send the orders.

        ``domain_count`` is the number of domains of the service, which share its rate
        of model loads; ``before_traffic`` lifts that limit. ``is_crowd`` tells that
        there are too many entries for a full mesh.
        """
        now_s = self._clock.now()
        if self._held_since_s is None:
            self._held_since_s = now_s
            logger.info(
                "lease held",
                extra={"domain": self.domain, "generation": self._leases.generation},
            )
            # The previous holder may have used up the allowance of model loads.
            self._model_loads.add(
                _model_load_allowance(engine, domain_count), now_s=now_s
            )
        instances = [
            instance
            for instance in self._fleet.of_service(self.service)
            if instance.domain == self.domain
        ]
        suspected_groups = self._suspected_groups(instances, now_s)
        busy = bool(suspected_groups) or now_s - self._last_order_s < BUSY_AFTER_ORDER_S
        if self._reach.is_cut_off(self.service):
            # Silent members may be alive, and no order would reach them.
            self._watch.forget_misses()
            self.heads = ()
            return
        self._watch.poll(instances, busy=busy, is_crowd=is_crowd)
        self._watch.retain_only({instance.id for instance in instances})
        if self._reach.is_uncertain(self.service):
            return
        views = {
            instance.id: self._view_of(
                instance, _group_of(instance) in suspected_groups
            )
            for instance in instances
        }
        self._discard_stale_records(views, now_s)
        domain_view = DomainView(
            engine=engine,
            instances=views,
            formations=self._formations,
            closes=self._closes,
            opens=self._opens,
            stages=self._stages,
            loads_left=self._model_loads_left(engine, domain_count, now_s),
            before_traffic=before_traffic,
            pressures=pressures,
            converting=(
                math.ceil(domain_count / CONVERSION_TURNS)
                if self._has_conversion_turn(now_s)
                else 0
            ),
        )
        self.heads = tuple(self._serving_heads(views))
        if now_s - self._held_since_s < TAKEOVER_DELAY_S and not before_traffic:
            return
        for action in self._planner.plan(view=domain_view, now_s=now_s):
            self._execute(action, views, now_s)

    def _has_conversion_turn(self, now_s: float) -> bool:
        """Return whether this domain may convert groups now.

        All domains see the same utilization, so they take turns in reacting to it.
        """
        turn = zlib.crc32(self.domain.encode()) % CONVERSION_TURNS
        return int(now_s / CONVERSION_TURN_S) % CONVERSION_TURNS == turn

    def _view_of(self, instance: FleetInstance, suspected: bool) -> InstanceView:
        latest = self._watch.with_latest_report(instance)
        if latest.membership is not None and latest.models:
            self._last_models[latest.id] = (latest.born_ms, latest.models[0])
        born_ms, model = self._last_models.get(latest.id, (None, None))
        replaced = self._replaced.get(latest.id) == (instance.address, instance.born_ms)
        return InstanceView(
            instance=latest,
            dead=replaced or self._watch.is_dead(instance, suspected=suspected),
            last_model=model if born_ms == latest.born_ms else None,
            evacuated=self._evacuations.covers(instance),
        )

    def _suspected_groups(
        self, instances: list[FleetInstance], now_s: float
    ) -> set[GroupId | None]:
        """Return the groups whose head is under suspicion at any entry."""
        return {
            _group_of(instance)
            for instance in instances
            if instance.is_serving_head
            and self._suspects.is_avoided(instance.id, now_s=now_s)
        }

    def _serving_heads(
        self, views: dict[InstanceId, InstanceView]
    ) -> Iterator[HeadStatus]:
        """Return the live heads that accept requests."""
        paces: dict[GroupId, float] = {}
        for member, observed in views.items():
            group = _group_of(observed.instance)
            if group is not None:
                pace = max(self._watch.pace(member), paces.get(group, 1.0))
                paces[group] = round(pace, 1)
        for observed in views.values():
            instance = observed.instance
            if not instance.is_serving_head or observed.dead or not instance.models:
                continue
            membership = instance.membership
            used_tokens, memory_tokens = self._watch.tokens(instance.id)
            yield HeadStatus(
                instance=instance.id,
                group=membership.group,
                epoch=membership.epoch,
                model=instance.models[0],
                load=self._watch.load(instance.id),
                pace=paces[membership.group],
                age_ms=round(self._watch.load_age_s(instance.id) * MS_PER_S),
                used_tokens=used_tokens,
                memory_tokens=memory_tokens,
            )

    def _model_loads_left(
        self, engine: EngineSpec, domain_count: int, now_s: float
    ) -> int:
        """Return how many model loads this domain may start now."""
        allowance = _model_load_allowance(engine, domain_count)
        return max(int(allowance - self._model_loads.total(now_s=now_s)), 0)

    def _discard_stale_records(
        self, views: dict[InstanceId, InstanceView], now_s: float
    ) -> None:
        """Discard records of orders that are superseded, confirmed or timed out."""
        for observed in views.values():
            membership = observed.instance.membership
            if membership is None:
                continue
            formation = self._formations.get(membership.group)
            if formation is not None and membership.epoch > formation.epoch:
                del self._formations[membership.group]
            if membership.rank == 0 and membership.phase in (Phase.READY, Phase.BROKEN):
                self._closes.pop(membership.group, None)
        for group, formation in list(self._formations.items()):
            if not any(member in views for member in formation.members):
                del self._formations[group]
        for instance, staging in list(self._stages.items()):
            observed = views.get(instance)
            timed_out = now_s - staging.ordered_s > STAGE_TIMEOUT_S
            if observed is None or observed.dead or timed_out:
                del self._stages[instance]
            elif staging.model in observed.instance.staged:
                del self._stages[instance]
        for instance in set(self._last_models) - set(views):
            del self._last_models[instance]
        for instance in set(self._replaced) - set(views):
            del self._replaced[instance]

    def _next_epoch(self, views: dict[InstanceId, InstanceView]) -> int:
        known_epochs = [
            observed.instance.membership.epoch
            for observed in views.values()
            if observed.instance.membership is not None
        ]
        base = self._leases.generation * EPOCHS_PER_GENERATION
        self._epoch = max(self._epoch, base, *known_epochs, 0) + 1
        return self._epoch

    def _execute(
        self, action: Action, views: dict[InstanceId, InstanceView], now_s: float
    ) -> None:
        self._last_order_s = now_s
        match action:
            case Form():
                self._form(action, views, now_s)
            case Open():
                self._opens[action.group] = now_s
                self._withdrawals.end(action.group, action.epoch)
                order = Order(
                    kind=OrderKind.OPEN, group=action.group, epoch=action.epoch
                )
                self._send(action.head, order, views)
            case Close():
                self._closes.setdefault(action.group, now_s)
                self._withdrawals.withdraw(
                    action.group, action.epoch, reason=action.reason
                )
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
                self._model_loads.add(1.0, now_s=now_s)
                order = Order(kind=OrderKind.STAGE, model=action.model)
                self._send(action.instance, order, views)

    def _form(
        self, action: Form, views: dict[InstanceId, InstanceView], now_s: float
    ) -> None:
        epoch = self._next_epoch(views)
        group = action.group or GroupId(f"{self.domain}.{epoch}")
        self._model_loads.add(float(action.loads), now_s=now_s)
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
            old_membership = _membership_to_leave(views[member].instance, order, views)
            if old_membership is None:
                self._send(member, order, views, reason=action.reason)
            else:
                self._leave_and_join(
                    member, old_membership, order, views, action.reason
                )

    def _leave_and_join(
        self,
        member: InstanceId,
        old_membership: Membership,
        order: Order,
        views: dict[InstanceId, InstanceView],
        reason: str,
    ) -> None:
        """Order a member to leave its group before it joins one under another head.

        The old head may still serve unknown to this entry if its registration expired.
        """
        leave = Order(
            kind=OrderKind.LEAVE, group=old_membership.group, epoch=old_membership.epoch
        )
        if old_membership.rank == 0:
            self._withdrawals.withdraw(leave.group, leave.epoch, reason=reason)

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
                self._handle_result(member, order, result)
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
            if result is OrderResult.UNKNOWN and self._should_resend(order, sends):
                # Safe to repeat: the answer to an applied order is ALREADY_APPLIED.
                self._send(to, order, views, reason, sends + 1)
            else:
                self._handle_result(to, order, result)

        self._control.order(to=views[to].instance, order=order, done=done)

    def _should_resend(self, order: Order, sends: int) -> bool:
        """Return whether to send an unanswered order again."""
        formation = self._formations.get(order.group)
        return (
            order.kind is OrderKind.JOIN
            and sends < MAX_ORDER_SENDS
            and formation is not None
            and formation.epoch == order.epoch
            and self._leases.holds(self.domain)
        )

    def _mark_replaced(self, instance: InstanceId) -> None:
        """Record that another instance answers at the address of this one."""
        known = self._fleet.get(instance)
        if known is not None:
            self._replaced[instance] = (known.address, known.born_ms)
            logger.info(
                "address taken by another instance",
                extra={"instance": instance, "address": known.address},
            )

    def _handle_result(self, to: InstanceId, order: Order, result: OrderResult) -> None:
        """Update the records of orders from the final result of an order."""
        accepted = result in (OrderResult.STARTED, OrderResult.ALREADY_APPLIED)
        if result is OrderResult.WRONG_INSTANCE:
            self._mark_replaced(to)
        if order.kind is OrderKind.STAGE and not accepted:
            self._stages.pop(to, None)
        formation = self._formations.get(order.group)
        if order.kind is not OrderKind.JOIN or accepted or formation is None:
            return
        if formation.epoch == order.epoch:
            self._formations[order.group] = msgspec.structs.replace(
                formation, refused=formation.refused | {to}
            )


def _membership_to_leave(
    instance: FleetInstance, order: Order, views: dict[InstanceId, InstanceView]
) -> Membership | None:
    """Return the membership that an instance leaves before it joins as ordered.

    Members that keep their head join again without leaving, which is quicker.
    """
    membership = instance.membership
    if membership is None:
        return None
    if membership.group != order.group:
        return membership
    head = views[order.members[0]].instance.membership
    if head is None or head.rank != 0:
        return membership
    # At an older epoch it may have had another head, which may still serve unnoticed.
    same_epoch = (head.group, head.epoch) == (membership.group, membership.epoch)
    return None if same_epoch else membership


def _group_of(instance: FleetInstance) -> GroupId | None:
    return None if instance.membership is None else instance.membership.group


def _model_load_allowance(engine: EngineSpec, domain_count: int) -> float:
    """Return the loads that each of the domains may start in a window."""
    return engine.loads_per_s * MODEL_LOAD_WINDOW_S / max(domain_count, 1)
