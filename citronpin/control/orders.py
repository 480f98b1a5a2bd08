"""Orders to engines: one at a time for each instance, idempotent and expiring."""

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
from citronpin.control.readbacks import Readbacks, load_fault
from citronpin.state.instances import Instance
from citronpin.state.manifests import DeploymentManifest
from citronpin.state.states import Group

logger = logging.getLogger(__name__)

ORDER_TTL_S = 3.0
ORDER_TRANSIT_S = 2.0  # longest time from the clock check to the engine's receipt
RETRY_S = 0.5
LOAD_AGAIN_S = 10.0  # before a load that was taken and failed is ordered again
MAX_LOADS = 4  # instances of a fabric domain that load at the same time


class _Errand(msgspec.Struct):
    """The latest order to an instance and how far it got."""

    order: Order
    sent_s: float
    in_flight: bool = True
    taken: bool = False
    settled: bool = False  # answered or refused, so it cannot take effect later


class Orders:
    """Gives the orders that controllers want, as long as they want them.

    Each method may be called over and over. An order is sent again under the
    same id until it is answered. Another order to the same instance waits until
    the one before was answered or has expired.
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
        self._errands: dict[InstanceId, _Errand] = {}
        self._count = 0
        self.sent = 0

    def form(self, instance: Instance, group: Group) -> None:
        """Tell an instance to take part in a group."""
        self._want(
            instance,
            OrderKind.FORM,
            group=group.id,
            members=group.members,
            model=group.model,
            version=group.version,
            adapters=group.adapters,
        )

    def release(self, instance: Instance, group: GroupId | None) -> None:
        """Tell an instance to leave the group that it holds."""
        self._want(instance, OrderKind.RELEASE, group=group)

    def load(self, instance: Instance, group: Group | DeploymentManifest) -> bool:
        """Bring an instance to what a group loads; true once it has loaded it."""
        seen = self._readbacks.seen(instance.id)
        if seen is None:
            return False
        if not load_fault(group, seen.status):
            return True
        if not seen.status.loading and self._may_load(instance.id):
            self._want(
                instance,
                OrderKind.LOAD,
                model=group.model,
                version=group.version,
                adapters=group.adapters,
            )
        return False

    def quiet(self, instance: InstanceId) -> bool:
        """Return whether no order to an instance can take effect any more."""
        errand = self._errands.get(instance)
        if errand is None or errand.settled:
            return True
        return not errand.in_flight and self._expired(errand)

    def drop(self) -> None:
        """Forget all orders, because the lease is another one."""
        self._errands.clear()

    def _may_load(self, instance: InstanceId) -> bool:
        loading = {i for i, errand in self._errands.items() if self._loads(i, errand)}
        return instance in loading or len(loading) < self._max_loads

    def _loads(self, instance: InstanceId, errand: _Errand) -> bool:
        if errand.order.kind is not OrderKind.LOAD:
            return False
        seen = self._readbacks.seen(instance)
        loading = seen is not None and seen.status.loading
        return loading or not self.quiet(instance)

    def _want(self, instance: Instance, kind: OrderKind, **fields) -> None:
        fence = self._lease.fence
        if fence is None:
            return
        known = self._errands.get(instance.id)
        if known is not None and known.in_flight:
            return
        again = known is not None and _same(known.order, kind, fence, fields)
        if again and self._clock.now() - known.sent_s < _pause_s(known):
            return
        if not again and not self.quiet(instance.id):
            return
        if again and not known.settled:
            self._send(instance, known.order)
            return
        self._send(instance, self._make(kind, fence, fields))

    def _make(self, kind: OrderKind, fence: Fence, fields: dict) -> Order:
        self._count += 1
        return Order(
            id=f"{self._entry}/{fence}/{self._count}",
            kind=kind,
            fence=fence,
            ttl_ms=int(self._ttl_s * MS_PER_S),
            **fields,
        )

    def _send(self, instance: Instance, order: Order) -> None:
        errand = _Errand(order=order, sent_s=self._clock.now())
        self._errands[instance.id] = errand
        self.sent += 1
        self._recorder.note(
            EventKind.ORDER,
            f"{order.kind.value} to {instance.id}",
            stream=self._stream,
            fence=order.fence,
            group=order.group,
        )
        self._client.order(
            address=instance.address,
            order=order,
            done=lambda result: self._answered(instance, errand, result),
        )

    def _answered(self, instance: Instance, errand: _Errand, result) -> None:
        errand.in_flight = False
        if self._errands.get(instance.id) is not errand:
            return
        if isinstance(result, Ok):
            errand.settled = errand.taken = True
            self._take(instance, result.ok_value, errand.sent_s)
        elif isinstance(result, Err):
            errand.settled = result.err_value.outcome is Outcome.NOT_RUN
            self._recorder.note(
                EventKind.FAULT,
                f"{errand.order.kind.value} to {instance.id}: "
                f"{result.err_value.detail}",
                stream=self._stream,
                fence=errand.order.fence,
                group=errand.order.group,
            )
        self._done()

    def _take(self, instance: Instance, status: EngineStatus, sent_s: float) -> None:
        if status.instance == instance.id:
            self._readbacks.take(status, sent_s)

    def _expired(self, errand: _Errand) -> bool:
        age_s = self._clock.now() - errand.sent_s
        return age_s > self._ttl_s + ORDER_TRANSIT_S


def _pause_s(errand: _Errand) -> float:
    """Return how long to wait before the same order is given again."""
    failed_load = errand.taken and errand.order.kind is OrderKind.LOAD
    return LOAD_AGAIN_S if failed_load else RETRY_S


def _same(order: Order, kind: OrderKind, fence: Fence, fields: dict) -> bool:
    if (order.kind, order.fence) != (kind, fence):
        return False
    return all(getattr(order, name) == value for name, value in fields.items())
