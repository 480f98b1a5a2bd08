"""Base of the stand-ins, servers that simulate others and inject faults on request."""

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

_channel_numbers = itertools.count()


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Injectable faults of every stand-in; ``POST /control`` sets the given fields."""

    down: bool = False  # aborts every connection without handling the request
    paused: bool = False  # queues requests until set to false again
    delay_s: float = 0.0  # time before a request is handled
    lose_answers: bool = False  # handles requests, then aborts the connection
    refuse: bool = False  # answers 503 without handling the request


class Standin(Component):
    """Base of the stand-ins: a web server, its routes and the current faults.

    ``bind`` is the IP address and port to listen on; port 0 picks a free one.
    """

    faults_type: type[Faults] = Faults

    def __init__(self, *, name: str, bind: tuple[str, int], clock: Clock) -> None:
        super().__init__()
        self.name_ = name
        self.clock = clock
        self.faults = self.faults_type()
        self.routes = Routes()
        self.routes.add("POST", "/control", self._update_faults)
        self.routes.add("GET", "/control", self._show_faults)
        self.add_routes(self.routes)
        self._held_actions: list[Callable[[], None]] = []
        # Each server needs its own channel: servers that share an event loop would
        # otherwise handle each other's events.
        self.server = WebServer(
            bind=bind,
            target=FaultInjector(standin=self),
            clock=clock,
            channel=f"web-standin-{next(_channel_numbers)}",
        ).register(self)

    @handler("registered", "started", channel="*")
    def _on_registered(self, component, manager=None) -> None:
        if findcmp(self.root, ClockTask) is None:
            ClockTask(clock=self.clock).register(self.root)

    @abstractmethod
    def add_routes(self, routes: Routes) -> None:
        """Add the endpoints of the stand-in to ``routes``."""

    def faults_changed(self) -> None:
        """Apply changed faults; does nothing by default."""

    def loses_answer(self, req: HttpRequest) -> bool:
        """Return whether the connection is aborted in place of the answer."""
        return self.faults.lose_answers

    @property
    def address(self) -> str:
        """Return the listening address as ``IP:PORT``."""
        return self.server.address

    def hold(self, action: Callable[[], None]) -> None:
        """Queue an action until the stand-in is no longer paused."""
        self._held_actions.append(action)

    def set_faults(self, **fields) -> None:
        """Change the given faults; must be called in the thread of the event loop.

        `msgspec.ValidationError` is raised for an unknown field or a wrong type.
        """
        merged = msgspec.to_builtins(self.faults) | fields
        self.faults = msgspec.convert(merged, self.faults_type)
        if not self.faults.paused:
            actions, self._held_actions = self._held_actions, []
            for action in actions:
                action()
        self.faults_changed()

    def _update_faults(self, req: HttpRequest, reply: Reply) -> None:
        try:
            self.set_faults(**req.json())
        except (msgspec.MsgspecError, TypeError) as exc:
            reply.json(400, {"detail": str(exc)})
            return
        self._show_faults(req, reply)

    def _show_faults(self, req: HttpRequest, reply: Reply) -> None:
        reply.json(200, msgspec.to_builtins(self.faults))


class FaultInjector(HttpHandler):
    """Injects the current faults before and after a request is handled."""

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
                standin.faults.delay_s, lambda: self._handle_now(req, reply)
            )
        else:
            self._handle_now(req, reply)

    def _handle_now(self, req: HttpRequest, reply: Reply) -> None:
        if self._standin.faults.refuse:
            reply.json(
                503, {"detail": "Refused by an injected fault; nothing was done."}
            )
            return
        if self._standin.loses_answer(req):
            reply = AbortingReply(reply=reply)
        self._standin.routes.handle(req, reply)


class AbortingReply(Reply):
    """Discards an answer and aborts the connection instead."""

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
        """Discard a piece of the answer."""

    def finish(self) -> None:
        self.abort()

    def abort(self) -> None:
        self.ended = True
        self._reply.abort()

    def close_after(self) -> None:
        """Do nothing, since the connection is aborted anyway."""


class StandinType(msgspec.Struct, frozen=True):
    """A kind of stand-in: the settings sections it needs and its build function."""

    sections: tuple[str, ...]
    build: Callable[[Settings, Clock], Standin]


STANDINS: dict[str, StandinType] = {}


def register_standin(name: str, *sections: str):
    """Register the decorated function as the builder of the kind ``name``.

    ``sections`` are the names of the settings sections that it reads.
    """

    def decorate(build: Callable[[Settings, Clock], Standin]):
        STANDINS[name] = StandinType(sections=sections, build=build)
        return build

    return decorate
