"""Read-only pages for operators: health, metrics and what the entry knows."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.basics.events import Recorder
from citronpin.basics.gates import GateState, ServingGate
from citronpin.basics.metrics import Metrics
from citronpin.basics.timelines import to_jsonl
from citronpin.web.servers import HttpRequest, Reply, Routes

logger = logging.getLogger(__name__)

TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
LINES_TYPE = "application/x-ndjson"

View = Callable[[], object]


class AdminPages:
    """Registers the pages of one entry; further views are added by name."""

    def __init__(
        self, *, gate: ServingGate, metrics: Metrics, recorder: Recorder
    ) -> None:
        self._gate = gate
        self._metrics = metrics
        self._recorder = recorder
        self._views: dict[str, View] = {}

    def add_view(self, name: str, view: View) -> None:
        """Serve what ``view()`` returns as JSON below ``/admin/``."""
        self._views[name] = view

    def add_routes(self, routes: Routes) -> None:
        """Register the pages."""
        routes.add("GET", "/healthz", self._health)
        routes.add("GET", "/readyz", self._ready)
        routes.add("GET", "/metrics", self._show_metrics)
        routes.add("GET", "/admin", self._index)
        routes.add("GET", "/admin/events", self._events)
        routes.add("GET", "/admin/{name}", self._view)

    def _health(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, {"state": self._gate.state().value})

    def _ready(self, req: HttpRequest, reply: Reply) -> None:
        state = self._gate.state()
        status = 200 if state is GateState.SERVING else 503
        reply.json(status, {"state": state.value})

    def _show_metrics(self, req: HttpRequest, reply: Reply) -> None:
        reply.send_response(200, self._metrics.text(), TEXT_TYPE)

    def _index(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, sorted([*self._views, "events"]))

    def _events(self, req: HttpRequest, reply: Reply) -> None:
        since = req.query.get("since", "0")
        if not since.isdecimal():
            reply.json(400, {"detail": "since is a sequence number, such as 17."})
            return
        events = self._recorder.since(int(since))
        reply.send_response(200, to_jsonl(events), LINES_TYPE)

    def _view(self, req: HttpRequest, reply: Reply, name: str) -> None:
        view = self._views.get(name)
        if view is None:
            reply.json(404, {"detail": f"There is no view {name}; see /admin."})
            return
        body = msgspec.json.encode(view(), enc_hook=plain_value, order="sorted")
        reply.send_response(200, body)


def plain_value(value):
    """Return a plain form of maps and sets that JSON lacks."""
    if hasattr(value, "items"):
        return dict(value.items())
    if isinstance(value, frozenset | set):
        return sorted(value)
    return str(value)
