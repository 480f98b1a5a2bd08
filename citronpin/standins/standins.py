"""Stand-ins for the platform and back ends: small servers with faults to switch."""

import itertools
import logging
from abc import abstractmethod
from collections.abc import Callable

import msgspec
from circuits import Component, handler
from circuits.core.utils import findcmp

from citronpin.basics.clocks import Clock, ClockTask
from citronpin.basics.settings import Settings
from citronpin.web.servers import HttpHandler, HttpRequest, Reply, Routes, WebServer

logger = logging.getLogger(__name__)

_channels = itertools.count()


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that every stand-in knows; ``POST /control`` merges given fields."""

    down: bool = False  # cuts every connection without acting
    paused: bool = False  # holds requests until it goes on
    delay_s: float = 0.0  # waits before acting
    lose_answers: bool = False  # acts, then cuts the connection
    refuse: bool = False  # answers 503 without acting


class Standin(Component):
    """Base of the stand-ins: a server, its routes and the faults in force."""

    faults_type: type[Faults] = Faults

    def __init__(self, *, name: str, bind: tuple[str, int], clock: Clock) -> None:
        super().__init__()
        self.name_ = name
        self.clock = clock
        self.faults = self.faults_type()
        self.routes = Routes()
        self.routes.add("POST", "/control", self._control)
        self.routes.add("GET", "/control", self._show)
        self.add_routes(self.routes)
        self._held: list[Callable[[], None]] = []
        # Servers that share an event loop must not hear each other's events.
        self.server = WebServer(
            bind=bind,
            target=FaultGate(standin=self),
            clock=clock,
            channel=f"web-standin-{next(_channels)}",
        ).register(self)

    @handler("registered", "started", channel="*")
    def _on_registered(self, component, manager=None) -> None:
        if findcmp(self.root, ClockTask) is None:
            ClockTask(clock=self.clock).register(self.root)

    @abstractmethod
    def add_routes(self, routes: Routes) -> None:
        """Register the endpoints of the stand-in."""

    def faults_changed(self) -> None:
        """Act on a change of the faults; the default does nothing."""

    def loses_answer(self, req: HttpRequest) -> bool:
        """Return whether the answer to a request is lost."""
        return self.faults.lose_answers

    @property
    def address(self) -> str:
        """Return ``IP:PORT``."""
        return self.server.address

    def hold(self, action: Callable[[], None]) -> None:
        """Keep an action until the pause ends."""
        self._held.append(action)

    def set_faults(self, **fields) -> None:
        """Change faults from the same thread."""
        merged = msgspec.to_builtins(self.faults) | fields
        self.faults = msgspec.convert(merged, self.faults_type)
        if not self.faults.paused:
            held, self._held = self._held, []
            for action in held:
                action()
        self.faults_changed()

    def _control(self, req: HttpRequest, reply: Reply) -> None:
        try:
            self.set_faults(**req.json())
        except (msgspec.MsgspecError, TypeError) as exc:
            reply.json(400, {"detail": str(exc)})
            return
        self._show(req, reply)

    def _show(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, msgspec.to_builtins(self.faults))


class FaultGate(HttpHandler):
    """Applies the faults before and after the stand-in acts."""

    def __init__(self, *, standin: Standin) -> None:
        self._standin = standin

    def handle(self, req: HttpRequest, reply: Reply) -> None:
        standin = self._standin
        if req.path == "/control":
            standin.routes.handle(req, reply)
        elif standin.faults.down:
            reply.abort()
        elif standin.faults.paused:
            standin.hold(lambda: self.handle(req, reply))
        elif standin.faults.delay_s > 0:
            standin.clock.call_later(
                standin.faults.delay_s, lambda: self._act(req, reply)
            )
        else:
            self._act(req, reply)

    def _act(self, req: HttpRequest, reply: Reply) -> None:
        if self._standin.faults.refuse:
            reply.json(503, {"detail": "The stand-in refuses; nothing was done."})
            return
        if self._standin.loses_answer(req):
            reply = LostReply(reply=reply)
        self._standin.routes.handle(req, reply)


class LostReply(Reply):
    """Takes an answer and cuts the connection in its place."""

    def __init__(self, *, reply: Reply) -> None:
        self._reply = reply
        self.started = False
        self.ended = False
        self.on_gone = None

    @property
    def sock(self):
        return self._reply.sock

    @property
    def buffered_bytes(self) -> int:
        return 0

    def send_response(self, status, body=b"", content_type="", headers=None) -> None:
        self.abort()

    def start(self, status, content_type, headers=None) -> None:
        self.abort()

    def push(self, data: bytes) -> None:
        """Drop a piece of the answer."""

    def finish(self) -> None:
        self.abort()

    def abort(self) -> None:
        self.ended = True
        self._reply.abort()

    def close_after(self) -> None:
        """The connection is cut anyway."""


class StandinType(msgspec.Struct, frozen=True):
    """How a kind of stand-in is built from its settings."""

    sections: tuple[str, ...]
    build: Callable[[Settings, Clock], Standin]


STANDINS: dict[str, StandinType] = {}


def register_standin(name: str, *sections: str):
    """Register the function that builds a kind of stand-in."""

    def decorate(build: Callable[[Settings, Clock], Standin]):
        STANDINS[name] = StandinType(sections=sections, build=build)
        return build

    return decorate
