"""Stand-in for the network between two processes: a TCP relay that can partition."""

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


class ConnectionPair:
    """The connections to a caller and its server, and the unsent bytes of each."""

    def __init__(self, *, caller: socket.socket, server: socket.socket) -> None:
        self.peer_of = {caller: server, server: caller}
        self.unsent: dict[socket.socket, deque[bytes]] = {
            caller: deque(),
            server: deque(),
        }
        self.at_eof: set[socket.socket] = set()  # those that sent all their data


class RelayStandin(BaseComponent):
    """Relays TCP connections to ``target``, an ``IP:PORT``, unless partitioned.

    While partitioned, it stops reading and opens no connection to the target, so
    that both sides see silence instead of a closed connection. Afterwards it
    forwards what has arrived since.
    """

    channel = "relay"

    def __init__(self, *, target: str, clock: Clock) -> None:
        super().__init__()
        self.target = target
        self.is_partitioned = False
        self._pairs: dict[socket.socket, ConnectionPair] = {}
        self._held_sockets: list[socket.socket] = []
        EPoll().register(self)
        ClockTask(clock=clock).register(self)
        self._server = TCPServer(("127.0.0.1", 0), channel=self.channel).register(self)

    @property
    def address(self) -> str:
        """Return the ``IP:PORT`` to connect to instead of the target."""
        return f"{self._server.host}:{self._server.port}"

    @property
    def _poller(self):
        return self._server._poller

    def set_partitioned(self, is_partitioned: bool) -> None:
        """Start a partition, or end it and resume all held connections."""
        self.is_partitioned = is_partitioned
        held, self._held_sockets = self._held_sockets, []
        if is_partitioned:
            self._held_sockets = held
            return
        for sock in held:
            self._resume(sock)

    def _resume(self, sock: socket.socket) -> None:
        if sock in self._pairs:
            self._poller.addReader(self, sock)
        elif sock.fileno() >= 0:
            self._connect_to_target(sock)

    @handler("connect")
    def _on_connect(self, sock, *peer) -> None:
        # The relay takes over the accepted socket, since the server component would
        # close it as soon as one side has sent all its data.
        self._poller.discard(sock)
        self._server._clients.remove(sock)
        if self.is_partitioned:
            self._held_sockets.append(sock)
        else:
            self._connect_to_target(sock)

    def _connect_to_target(self, caller: socket.socket) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            caller.close()
            return
        pair = ConnectionPair(caller=caller, server=server)
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
        if self.is_partitioned:
            self._poller.removeReader(sock)
            self._held_sockets.append(sock)
            return
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._handle_eof(pair, sock)
            return
        self._queue_data(pair, pair.peer_of[sock], data)

    def _queue_data(
        self, pair: ConnectionPair, sock: socket.socket, data: bytes
    ) -> None:
        pair.unsent[sock].append(data)
        if not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    @handler("_write", priority=2)
    def _on_write(self, event, sock) -> None:
        pair = self._pairs.get(sock)
        if pair is None:
            return
        event.stop()
        unsent = pair.unsent[sock]
        try:
            while unsent:
                sent = sock.send(unsent[0])
                unsent[0] = unsent[0][sent:]
                if unsent[0]:
                    return
                unsent.popleft()
        except BlockingIOError:
            return
        except OSError:
            self._handle_eof(pair, sock)
            return
        self._poller.removeWriter(sock)
        if pair.peer_of[sock] in pair.at_eof:
            self._close(pair)

    def _handle_eof(self, pair: ConnectionPair, sock: socket.socket) -> None:
        pair.at_eof.add(sock)
        self._poller.discard(sock)
        if not pair.unsent[pair.peer_of[sock]]:
            self._close(pair)

    def _close(self, pair: ConnectionPair) -> None:
        for sock in pair.peer_of:
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
    def _ignore(self, *args) -> None:
        """Ignore events that would otherwise have no handler."""
