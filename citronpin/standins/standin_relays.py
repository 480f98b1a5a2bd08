"""Stand-in for the network between two processes: a relay that can be cut."""

import logging
import socket
from collections import deque

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from circuits.net.sockets import TCPServer

from citronpin.basics.clocks import Clock, ClockTask

logger = logging.getLogger(__name__)

READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0


class Pair:
    """Two joined connections and what waits to be sent on each."""

    def __init__(self, *, caller: socket.socket, server: socket.socket) -> None:
        self.other = {caller: server, server: caller}
        self.out: dict[socket.socket, deque[bytes]] = {
            caller: deque(),
            server: deque(),
        }
        self.ended: set[socket.socket] = set()  # those that sent all they had


class RelayStandin(BaseComponent):
    """Passes bytes between callers and one address.

    While it is cut it holds what arrives and takes no new connection, so that
    both sides see silence, as in a partition.
    """

    channel = "relay"

    def __init__(self, *, target: str, clock: Clock) -> None:
        super().__init__()
        self.target = target
        self.cut = False
        self._pairs: dict[socket.socket, Pair] = {}
        self._held: list[socket.socket] = []
        EPoll().register(self)
        ClockTask(clock=clock).register(self)
        self._server = TCPServer(("127.0.0.1", 0), channel=self.channel).register(self)

    @property
    def address(self) -> str:
        """Return ``IP:PORT`` to connect to in place of the target."""
        return f"{self._server.host}:{self._server.port}"

    @property
    def _poller(self):
        return self._server._poller

    def set_partitioned(self, cut: bool) -> None:
        """Cut the relay, or let everything that was held go on."""
        self.cut = cut
        held, self._held = self._held, []
        if cut:
            self._held = held
            return
        for sock in held:
            self._resume(sock)

    def _resume(self, sock: socket.socket) -> None:
        if sock in self._pairs:
            self._poller.addReader(self, sock)
        elif sock.fileno() >= 0:
            self._join(sock)

    @handler("connect")
    def _on_connect(self, sock, *peer) -> None:
        # The accepted socket is owned by the relay from here on, since the
        # server component would close it when one side ends.
        self._poller.discard(sock)
        self._server._clients.remove(sock)
        if self.cut:
            self._held.append(sock)
        else:
            self._join(sock)

    def _join(self, caller: socket.socket) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            caller.close()
            return
        pair = Pair(caller=caller, server=server)
        for sock in (caller, server):
            sock.setblocking(False)
            self._pairs[sock] = pair
            self._poller.addReader(self, sock)

    @handler("_read", priority=2)
    def _on_read(self, event, sock) -> None:
        pair = self._pairs.get(sock)
        if pair is None:
            return
        event.stop()
        if self.cut:
            self._poller.removeReader(sock)
            self._held.append(sock)
            return
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._end(pair, sock)
            return
        self._pass_on(pair, pair.other[sock], data)

    def _pass_on(self, pair: Pair, sock: socket.socket, data: bytes) -> None:
        pair.out[sock].append(data)
        if not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    @handler("_write", priority=2)
    def _on_write(self, event, sock) -> None:
        pair = self._pairs.get(sock)
        if pair is None:
            return
        event.stop()
        out = pair.out[sock]
        try:
            while out:
                sent = sock.send(out[0])
                out[0] = out[0][sent:]
                if out[0]:
                    return
                out.popleft()
        except BlockingIOError:
            return
        except OSError:
            self._end(pair, sock)
            return
        self._poller.removeWriter(sock)
        if pair.other[sock] in pair.ended:
            self._close(pair)

    def _end(self, pair: Pair, sock: socket.socket) -> None:
        pair.ended.add(sock)
        self._poller.discard(sock)
        if not pair.out[pair.other[sock]]:
            self._close(pair)

    def _close(self, pair: Pair) -> None:
        for sock in pair.other:
            if self._pairs.pop(sock, None) is not None:
                self._poller.discard(sock)
                sock.close()

    @handler("_disconnect", priority=2)
    def _on_disconnect(self, event, sock) -> None:
        pair = self._pairs.get(sock)
        if pair is not None:
            event.stop()
            self._close(pair)

    @handler("ready", "disconnect", "error", "closed")
    def _on_feedback(self, *args) -> None:
        """Take the feedback events that nothing else needs."""
