"""State of the engine stand-in that orders change: its group, model and adapters."""

from collections.abc import Callable

import msgspec

from citronpin.backends.engines import Order, OrderKind
from citronpin.basics.ids import (
    AdapterName,
    Fence,
    GroupId,
    InstanceId,
    ModelName,
    Version,
    new_id,
)
from citronpin.standins.standin_loaders import Loader

NO_FENCE = Fence(-1)


class Problem(msgspec.Struct, frozen=True):
    """The HTTP status, kind and detail that refuse a submission or an order."""

    status: int
    kind: str
    detail: str


class EngineState:
    """The group, model and adapters of an engine, from one restart to the next.

    ``on_streams_lost`` is called when the running streams must be aborted, because
    the engine leaves its group or replaces its model.
    """

    def __init__(
        self, *, checks_fence: bool, loader: Loader, on_streams_lost: Callable[[], None]
    ) -> None:
        self.boot = new_id()
        self.group: GroupId | None = None
        self.fence = NO_FENCE
        self.members: tuple[InstanceId, ...] = ()
        self.model: ModelName | None = None
        self.version: Version | None = None
        self.adapters: tuple[AdapterName, ...] = ()
        self.loading = False
        self._highest_fence = NO_FENCE
        self._checks_fence = checks_fence
        self._loader = loader
        self._on_streams_lost = on_streams_lost
        self._load_order: Order | None = None

    def apply_order(self, order: Order) -> Problem | None:
        """Carry out an order and return ``None``, or return why it is refused.

        An order with an older fencing number than the highest one seen is refused
        if the engine checks fencing numbers. A running load is discarded by a later
        order that names a model and, if an order to form a group started it, by a later
        order to form or release one.
        """
        if self._checks_fence and order.fence < self._highest_fence:
            detail = f"Fencing number {self._highest_fence} was already seen."
            return Problem(409, "stale-fence", detail)
        self._highest_fence = max(self._highest_fence, order.fence)
        if order.model or (order.kind is not OrderKind.LOAD and self._joins_after_load):
            self._discard_load()
        if order.kind is OrderKind.RELEASE:
            self._release()
        elif order.model and self._lacks_any(order):
            self._load(order)
        elif order.kind is OrderKind.FORM:
            self._form(order)
        return None

    def close(self) -> None:
        """Leave the group and discard what is still being loaded."""
        self._discard_load()
        self._release()

    @property
    def _joins_after_load(self) -> bool:
        return self._load_order is not None and self._load_order.kind is OrderKind.FORM

    def _discard_load(self) -> None:
        self._load_order = None
        self.loading = False

    def _release(self) -> None:
        self.group = None
        self.members = ()
        self.fence = NO_FENCE
        self._on_streams_lost()

    def _form(self, order: Order) -> None:
        if (self.group, self.members) != (order.group, order.members):
            self._release()
        self.group = order.group
        self.fence = order.fence
        self.members = order.members

    def _lacks_any(self, order: Order) -> bool:
        return self._lacks_model(order) or set(order.adapters) != set(self.adapters)

    def _lacks_model(self, order: Order) -> bool:
        return (order.model, order.version) != (self.model, self.version)

    def _load(self, order: Order) -> None:
        self._load_order = order
        self.loading = True
        if self._lacks_model(order):
            self.model = None
            self.version = None
            self.adapters = ()
            self._on_streams_lost()
            self._loader.load_model(
                order.model, order.version or "", lambda: self._model_loaded(order)
            )
        else:
            self._load_adapters(order)

    def _is_current_load(self, order: Order) -> bool:
        return self._load_order is not None and self._load_order.id == order.id

    def _model_loaded(self, order: Order) -> None:
        if not self._is_current_load(order):
            return
        self.model = order.model
        self.version = order.version
        self._load_adapters(order)

    def _load_adapters(self, order: Order) -> None:
        if not self._is_current_load(order):
            return
        for adapter in order.adapters:
            if adapter not in self.adapters:
                self._load_adapter(adapter, order)
                return
        self.adapters = order.adapters
        self._discard_load()
        if order.kind is OrderKind.FORM:
            self._form(order)

    def _load_adapter(self, adapter: AdapterName, order: Order) -> None:
        def on_loaded() -> None:
            if self._is_current_load(order):
                self.adapters += (adapter,)
                self._load_adapters(order)

        self._loader.load_adapter(adapter, order.version or "", on_loaded)
