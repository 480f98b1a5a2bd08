"""A loopback proxy that delays, silences and resets connections."""

import contextlib
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
POLL_S = 0.1
LINGER_RESET = struct.pack("ii", 1, 0)  # a close that resets


class FaultProxy:
    """Passes connections on to an address; faults hold for all of them.

    ``silent`` names the directions in which nothing is passed on: bytes are taken and
    dropped, so that a connection that was silenced once never recovers.
    """

    UP = "up"  # towards the server
    DOWN = "down"

    def __init__(self, *, port, target_port):
        self._target = ("127.0.0.1", target_port)
        self._listener = socket.create_server(("127.0.0.1", port))
        self.port = self._listener.getsockname()[1]
        self.delay_s = 0.0
        self.silent = frozenset()
        self._pairs = set()
        self._lock = threading.Lock()
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def heal(self):
        """End all faults; connections that lost bytes are closed."""
        lossy = bool(self.silent)
        self.delay_s, self.silent = 0.0, frozenset()
        if lossy:
            self.reset()

    def reset(self):
        """Reset all connections."""
        with self._lock:
            pairs, self._pairs = self._pairs, set()
        for pair in pairs:
            for sock in pair:
                _close(sock, reset=True)

    def close(self):
        self._closed = True
        _close(self._listener)
        self.reset()

    def _accept(self):
        while not self._closed:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                _close(caller, reset=True)
                continue
            server.settimeout(None)
            pair = (caller, server)
            with self._lock:
                self._pairs.add(pair)
            for source, sink, way in (
                (caller, server, self.UP),
                (server, caller, self.DOWN),
            ):
                threading.Thread(
                    target=self._pump, args=(source, sink, way, pair), daemon=True
                ).start()

    def _pump(self, source, sink, way, pair):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                if way not in self.silent:
                    sink.sendall(data)
            while way in self.silent and not self._closed:
                time.sleep(POLL_S)  # an end is not seen in silence either
        with self._lock:
            self._pairs.discard(pair)
        for sock in pair:
            _close(sock)


def _close(sock, reset=False):
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        else:
            sock.shutdown(socket.SHUT_RDWR)
    sock.close()
