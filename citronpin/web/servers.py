"""HTTP server: `circuits.web` with limits on connections and requests."""

import logging

from circuits import BaseComponent, handler

from citronpin.basics.clocks import Clock
from citronpin.web.byte_accounts import ByteAccount
from citronpin.web.http_conns import BoundedHttp, ServerLimits
from citronpin.web.listeners import Listener
from citronpin.web.replies import (
    JSON_TYPE,
    PROBLEM_TYPE,
    HttpHandler,
    HttpRequest,
    Reply,
    problem_body,
    send_problem,
)
from citronpin.web.routes import Routes

logger = logging.getLogger(__name__)

__all__ = [
    "JSON_TYPE",
    "PROBLEM_TYPE",
    "HttpHandler",
    "HttpRequest",
    "Reply",
    "Routes",
    "ServerLimits",
    "WebServer",
    "problem_body",
    "send_problem",
]


class WebServer(BaseComponent):
    """A listening server that passes each complete request to ``target``.

    ``bind`` is ``(IP address, port)``; port 0 binds a free port. Servers of one process
    share an ``account``; without one, bytes are not bounded in sum. The requests of a
    server with ``is_control`` are counted, but do not wait for room.
    """

    channel = "web"
    secure = False
    display_banner = False

    def __init__(
        self,
        *,
        bind: tuple[str, int],
        target: HttpHandler,
        clock: Clock,
        limits: ServerLimits | None = None,
        channel: str = channel,
        account: ByteAccount | None = None,
        is_control: bool = False,
    ) -> None:
        super().__init__(channel=channel)
        self.server = Listener(bind, channel=channel).register(self)
        self.http = BoundedHttp(
            server=self,
            limits=limits or ServerLimits(),
            clock=clock,
            request_handler=target,
            account=account or ByteAccount(),
            is_control=is_control,
        ).register(self)
        self.server.on_read = self.http.on_read
        self.server.on_sent = self.http.on_sent
        self.server.may_accept = self.http.may_accept

    @property
    def host(self) -> str:
        """Return the bound IP address."""
        return self.server.host

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self.server.port

    @property
    def address(self) -> str:
        """Return the bound address as ``IP:PORT``."""
        return f"{self.host}:{self.port}"

    @handler("connect", "closed", "ready", "disconnect", "error")
    def _on_socket_event(self, *args) -> None:
        """Handle the socket events that need no action."""
