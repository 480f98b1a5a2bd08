"""Stand-in for the rate-limited weight store."""

import logging
from collections import deque

import msgspec

from citronpin.basics.clocks import Clock, TimerHandle
from citronpin.basics.settings import Settings, split_address
from citronpin.standins.standins import Standin, register_standin
from citronpin.web.servers import HttpRequest, Reply, Routes

logger = logging.getLogger(__name__)

WEIGHTS_PATH = "/weights"
ADAPTERS_PATH = "/adapters"
TICK_INTERVAL_S = 0.02


class Download(msgspec.Struct):
    """A running or waiting download."""

    what: str
    left_bytes: float
    reply: Reply


class WeightStandin(Standin):
    """Simulates downloads: sends no weights, but answers when they would be complete.

    At most ``slots`` downloads share ``bytes_per_s`` evenly; the others wait in
    order of arrival. ``GET /weights/{model}/{version}`` and
    ``GET /adapters/{adapter}/{version}`` start a download and return its name once it
    is complete, ``GET /downloads`` lists the running and waiting ones.
    """

    def __init__(
        self,
        *,
        name: str,
        bind: tuple[str, int],
        clock: Clock,
        bytes_per_s: float = 10e9,
        model_bytes: float = 10e9,
        adapter_bytes: float = 0.1e9,
        slots: int = 4,
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._model_bytes = model_bytes
        self._adapter_bytes = adapter_bytes
        self._slots = slots
        self._active: list[Download] = []
        self._waiting: deque[Download] = deque()
        self._timer: TimerHandle | None = None
        self._last_tick_s = 0.0
        self.finished_downloads = 0
        super().__init__(name=name, bind=bind, clock=clock)

    def add_routes(self, routes: Routes) -> None:
        routes.add("GET", f"{WEIGHTS_PATH}/{{model}}/{{version}}", self._get_model)
        routes.add("GET", f"{ADAPTERS_PATH}/{{adapter}}/{{version}}", self._get_adapter)
        routes.add("GET", "/downloads", self._show_downloads)

    def _get_model(self, req, reply, model: str, version: str) -> None:
        self._enqueue(Download(f"{model}/{version}", self._model_bytes, reply))

    def _get_adapter(self, req, reply, adapter: str, version: str) -> None:
        self._enqueue(Download(f"{adapter}/{version}", self._adapter_bytes, reply))

    def _show_downloads(self, req: HttpRequest, reply: Reply) -> None:
        active = {download.what: download.left_bytes for download in self._active}
        waiting = [download.what for download in self._waiting]
        reply.json(
            200,
            {"active": active, "waiting": waiting, "finished": self.finished_downloads},
        )

    def _enqueue(self, download: Download) -> None:
        download.reply.on_gone = lambda: self._remove(download)
        self._waiting.append(download)
        self._fill_slots()

    def _remove(self, download: Download) -> None:
        self._active = [other for other in self._active if other is not download]
        self._waiting = deque(other for other in self._waiting if other is not download)
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._waiting and len(self._active) < self._slots:
            self._active.append(self._waiting.popleft())
        if self._active and self._timer is None:
            self._last_tick_s = self.clock.now()
            self._timer = self.clock.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        now = self.clock.now()
        elapsed_s = now - self._last_tick_s
        bytes_each = self._bytes_per_s * elapsed_s / max(len(self._active), 1)
        self._last_tick_s = now
        for download in self._active:
            download.left_bytes -= bytes_each
        self._finish(
            [download for download in self._active if download.left_bytes <= 0]
        )
        self._timer = None
        self._fill_slots()

    def _finish(self, completed: list[Download]) -> None:
        self._active = [
            download for download in self._active if download.left_bytes > 0
        ]
        for download in completed:
            self.finished_downloads += 1
            download.reply.json(200, {"what": download.what})


@register_standin("weights", "standin", "standin_weights")
def build_weights(cfg: Settings, clock: Clock) -> WeightStandin:
    """Build the weight store stand-in from its settings."""
    standin_cfg = cfg.section("standin")
    return WeightStandin(
        name=standin_cfg["name"],
        bind=split_address(standin_cfg["listen"]),
        clock=clock,
        **cfg.section("standin_weights"),
    )
