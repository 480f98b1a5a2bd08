"""Orders to engines: idempotent, expiring, and one at a time per instance."""

import logging
from collections.abc import Callable

import msgspec
from result import Err, Ok

from citronpin.backends.engines import EngineClient, EngineStatus, Order, OrderKind
from citronpin.basics.clocks import MS_PER_S, Clock
from citronpin.basics.errors import Outcome
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import EntryId, Fence, GroupId, InstanceId, StreamName
from citronpin.control.leases import LeaseController
from citronpin.control.readbacks import Readbacks, load_mismatch
from citronpin.state.instances import Instance
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.states import Group

logger = logging.getLogger(__name__)

ORDER_TTL_S = 3.0
ORDER_TRANSIT_S = 2.0  # longest time from the clock check to arrival at the engine
ORDER_RETRY_INTERVAL_S = 0.5
LOAD_RETRY_INTERVAL_S = 10.0  # after a load that the engine accepted and failed
MAX_LOADS = 4  # instances of a fabric domain that load weights at the same time


class _SentOrder(msgspec.Struct):
    """The latest order to an instance and its progress."""

    order: Order
    sent_s: float
    in_flight: bool = True
    taken: bool = False  # the engine answered with its status
    settled: bool = False  # answered or refused: cannot take effect later


class Orders:
    """Sends the orders that controllers request, as long as they request them.

    Each method is idempotent and may be called in every run. An order is sent
    again under the same id until it is answered. A different order to the same
    instance waits until the previous one was answered or has expired.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        stream: StreamName,
        client: EngineClient,
        clock: Clock,
        recorder: Recorder,
        lease: LeaseController,
        readbacks: Readbacks,
        done: Callable[[], None],
        max_loads: int = MAX_LOADS,
        ttl_s: float = ORDER_TTL_S,
    ) -> None:
        self._entry = entry
        self._stream = stream
        self._client = client
        self._clock = clock
        self._recorder = recorder
        self._lease = lease
        self._readbacks = readbacks
        self._done = done
        self._max_loads = max_loads
        self._ttl_s = ttl_s
        self._sent_orders: dict[InstanceId, _SentOrder] = {}
        self._order_count = 0
        self.sent = 0

    def form(self, instance: Instance, group: Group) -> None:
        """Order an instance to join a group as a member."""
        self._request(
            instance,
            OrderKind.FORM,
            group=group.id,
            members=group.members,
            model=group.model,
            version=group.version,
            adapters=group.adapters,
        )

    def release(self, instance: Instance, group: GroupId | None) -> None:
        """Order an instance to leave the group that it holds."""
        self._request(instance, OrderKind.RELEASE, group=group)

    def load(self, instance: Instance, group: Group | DeploymentManifest) -> bool:
        """Order an instance to load what a group needs; return whether it has."""
        latest = self._readbacks.latest(instance.id)
        if latest is None:
            return False
        if not load_mismatch(group, latest.status):
            return True
        if not latest.status.loading and self._may_start_load(instance.id):
            self._request(
                instance,
                OrderKind.LOAD,
                model=group.model,
                version=group.version,
                adapters=group.adapters,
            )
        return False

    def is_settled(self, instance: InstanceId) -> bool:
        """Return whether no order sent to an instance can still take effect."""
        sent_order = self._sent_orders.get(instance)
        if sent_order is None or sent_order.settled:
            return True
        return not sent_order.in_flight and self._is_expired(sent_order)

    def clear(self) -> None:
        """Remove all orders, because the lease has changed."""
        self._sent_orders.clear()

    def _may_start_load(self, instance: InstanceId) -> bool:
        loading = {
            i
            for i, sent_order in self._sent_orders.items()
            if self._is_loading(i, sent_order)
        }
        return instance in loading or len(loading) < self._max_loads

    def _is_loading(self, instance: InstanceId, sent_order: _SentOrder) -> bool:
        if sent_order.order.kind is not OrderKind.LOAD:
            return False
        latest = self._readbacks.latest(instance)
        loading = latest is not None and latest.status.loading
        return loading or not self.is_settled(instance)

    def _request(self, instance: Instance, kind: OrderKind, **fields) -> None:
        fence = self._lease.fence
        if fence is None:
            return
        previous = self._sent_orders.get(instance.id)
        if previous is not None and previous.in_flight:
            return
        is_repeat = previous is not None and _is_same_order(
            previous.order, kind, fence, fields
        )
        if is_repeat and self._clock.now() - previous.sent_s < _retry_delay_s(previous):
            return
        if not is_repeat and not self.is_settled(instance.id):
            return
        if is_repeat and not previous.settled:
            self._send(instance, previous.order)
            return
        self._send(instance, self._make_order(kind, fence, fields))

    def _make_order(self, kind: OrderKind, fence: Fence, fields: dict) -> Order:
        self._order_count += 1
        return Order(
            id=f"{self._entry}/{fence}/{self._order_count}",
            kind=kind,
            fence=fence,
            ttl_ms=int(self._ttl_s * MS_PER_S),
            **fields,
        )

    def _send(self, instance: Instance, order: Order) -> None:
        sent_order = _SentOrder(order=order, sent_s=self._clock.now())
        self._sent_orders[instance.id] = sent_order
        self.sent += 1
        self._recorder.note(
            EventKind.ORDER,
            f"{order.kind.value} order to {instance.id}",
            stream=self._stream,
            fence=order.fence,
            group=order.group,
        )
        self._client.order(
            address=instance.address,
            order=order,
            done=lambda result: self._on_answer(instance, sent_order, result),
        )

    def _on_answer(self, instance: Instance, sent_order: _SentOrder, result) -> None:
        sent_order.in_flight = False
        if self._sent_orders.get(instance.id) is not sent_order:
            return
        if isinstance(result, Ok):
            sent_order.settled = sent_order.taken = True
            self._record_status(instance, result.ok_value, sent_order.sent_s)
        elif isinstance(result, Err):
            sent_order.settled = result.err_value.outcome is Outcome.NOT_RUN
            self._recorder.note(
                EventKind.FAULT,
                f"{sent_order.order.kind.value} order to {instance.id}: "
                f"{result.err_value.detail}",
                stream=self._stream,
                fence=sent_order.order.fence,
                group=sent_order.order.group,
            )
        self._done()

    def _record_status(
        self, instance: Instance, status: EngineStatus, sent_s: float
    ) -> None:
        if status.instance == instance.id:
            self._readbacks.record_status(status, sent_s)

    def _is_expired(self, sent_order: _SentOrder) -> bool:
        age_s = self._clock.now() - sent_order.sent_s
        return age_s > self._ttl_s + ORDER_TRANSIT_S


def _retry_delay_s(sent_order: _SentOrder) -> float:
    """Return how long to wait before the same order is sent again."""
    failed_load = sent_order.taken and sent_order.order.kind is OrderKind.LOAD
    return LOAD_RETRY_INTERVAL_S if failed_load else ORDER_RETRY_INTERVAL_S


def _is_same_order(order: Order, kind: OrderKind, fence: Fence, fields: dict) -> bool:
    if (order.kind, order.fence) != (kind, fence):
        return False
    return all(getattr(order, name) == value for name, value in fields.items())
