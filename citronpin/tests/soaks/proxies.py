"""A loopback TCP proxy that delays, drops and resets traffic."""

import contextlib
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
POLL_INTERVAL_S = 0.1
FILLERS = 4
LINGER_RESET = struct.pack(
    "ii", 1, 0
)  # a linger time of 0 s makes a close send a reset


class FaultProxy:
    """Forwards connections to a port; a fault applies to all connections.

    Data in the directions of ``dropped_directions`` is read and discarded. A connection
    that lost data cannot be used again, so `clear_faults` resets it. New connections
    can be refused, be closed once they are accepted, or hang as behind a cut link.
    """

    UP = "up"  # towards the server
    DOWN = "down"  # towards the client

    def __init__(self, *, port, target_port):
        self._target = ("127.0.0.1", target_port)
        self._listener = socket.create_server(("127.0.0.1", port))
        self._listener.settimeout(POLL_INTERVAL_S)
        self.port = self._listener.getsockname()[1]
        self._is_accepting = True
        self._is_closing = False  # whether new connections are closed unread
        self._fillers = []  # connections that keep the backlog of the listener full
        self.delay_s = 0.0
        self.dropped_directions = frozenset()
        self._pairs = set()
        self._lock = threading.Lock()
        self._closed = False
        threading.Thread(target=self._accept_connections, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def clear_faults(self):
        """End all faults; if data was being dropped, reset all connections."""
        dropped_data = bool(self.dropped_directions)
        self.delay_s, self.dropped_directions = 0.0, frozenset()
        if dropped_data:
            self.reset_connections()

    def hang_new_connections(self):
        """Let new connections hang, as behind a link that drops all packets."""
        self._is_accepting = False
        self._listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(filler)

    def refuse_new_connections(self):
        """Refuse new connections, and keep the open ones."""
        self._is_accepting = False
        self._listener.close()

    def close_new_connections(self):
        """Accept new connections and close them unread, and keep the open ones."""
        self._is_closing = True

    def accept_new_connections(self):
        """Accept connections again."""
        self._is_closing = False
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        if self._listener.fileno() < 0:
            self._listener = socket.create_server(("127.0.0.1", self.port))
            self._listener.settimeout(POLL_INTERVAL_S)
        self._listener.listen()
        self._is_accepting = True

    def reset_connections(self):
        """Reset all open connections on both sides."""
        with self._lock:
            pairs, self._pairs = self._pairs, set()
        for pair in pairs:
            for sock in pair:
                _close(sock, reset=True)

    def close(self):
        """Stop accepting connections and reset the open ones."""
        self._closed = True
        for filler in self._fillers:
            filler.close()
        _close(self._listener)
        self.reset_connections()

    def _accept_connections(self):
        while not self._closed:
            if not self._is_accepting:
                time.sleep(POLL_INTERVAL_S)
                continue
            try:
                client, _ = self._listener.accept()
            except OSError:  # none within the interval, or the listener was closed
                continue
            if self._is_closing:
                _close(client)
                continue
            try:
                server = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                _close(client, reset=True)
                continue
            server.settimeout(None)
            pair = (client, server)
            with self._lock:
                self._pairs.add(pair)
            for source, sink, direction in (
                (client, server, self.UP),
                (server, client, self.DOWN),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, direction, pair),
                    daemon=True,
                ).start()

    def _forward(self, source, sink, direction, pair):
        """Copy data from one socket to the other until the connection ends."""
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                if direction not in self.dropped_directions:
                    sink.sendall(data)
            # The end of the connection is not forwarded while data is dropped.
            while direction in self.dropped_directions and not self._closed:
                time.sleep(POLL_INTERVAL_S)
        with self._lock:
            is_open = pair in self._pairs  # else it is being reset, or was closed
            self._pairs.discard(pair)
        if is_open:
            for sock in pair:
                _close(sock)


def _close(sock, reset=False):
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            # A thread that waits for data would keep the connection open.
            sock.shutdown(socket.SHUT_RD)
        else:
            sock.shutdown(socket.SHUT_RDWR)
    sock.close()
