"""Read-only admin pages of an entry: health, readiness, metrics, events and views."""

import logging
from collections.abc import Callable

import msgspec

from citronpin.basics.events import Recorder
from citronpin.basics.gates import GateState, ServingGate
from citronpin.basics.metrics import Metrics
from citronpin.basics.timelines import to_jsonl
from citronpin.web.servers import HttpRequest, Reply, Routes

logger = logging.getLogger(__name__)

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
JSON_LINES_CONTENT_TYPE = "application/x-ndjson"

View = Callable[[], object]


class AdminPages:
    """Serves the admin pages of one entry, with views that are added by name."""

    def __init__(
        self, *, gate: ServingGate, metrics: Metrics, recorder: Recorder
    ) -> None:
        self._gate = gate
        self._metrics = metrics
        self._recorder = recorder
        self._views: dict[str, View] = {}

    def add_view(self, name: str, view: View) -> None:
        """Serve the result of ``view()`` as JSON at ``/admin/{name}``."""
        self._views[name] = view

    def add_routes(self, routes: Routes) -> None:
        """Add the routes of the admin pages to ``routes``."""
        routes.add("GET", "/healthz", self._get_health)
        routes.add("GET", "/readyz", self._get_readiness)
        routes.add("GET", "/metrics", self._get_metrics)
        routes.add("GET", "/admin", self._list_views)
        routes.add("GET", "/admin/events", self._get_events)
        routes.add("GET", "/admin/{name}", self._get_view)

    def _get_health(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, {"state": self._gate.state().value})

    def _get_readiness(self, req: HttpRequest, reply: Reply) -> None:
        state = self._gate.state()
        status = 200 if state is GateState.SERVING else 503
        reply.json(status, {"state": state.value})

    def _get_metrics(self, req: HttpRequest, reply: Reply) -> None:
        reply.send_response(200, self._metrics.text(), METRICS_CONTENT_TYPE)

    def _list_views(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, sorted([*self._views, "events"]))

    def _get_events(self, req: HttpRequest, reply: Reply) -> None:
        since = req.query.get("since", "0")
        if not since.isdecimal():
            reply.json(400, {"detail": "since must be a sequence number, such as 17."})
            return
        events = self._recorder.since(int(since))
        reply.send_response(200, to_jsonl(events), JSON_LINES_CONTENT_TYPE)

    def _get_view(self, req: HttpRequest, reply: Reply, name: str) -> None:
        view = self._views.get(name)
        if view is None:
            reply.json(404, {"detail": f"There is no view {name}; see /admin."})
            return
        body = msgspec.json.encode(view(), enc_hook=to_json_value, order="sorted")
        reply.send_response(200, body)


def to_json_value(value):
    """Return a mapping as a dict, a set as a sorted list and other values as text."""
    if hasattr(value, "items"):
        return dict(value.items())
    if isinstance(value, frozenset | set):
        return sorted(value)
    return str(value)
