"""Listening TCP sockets whose connections are bounded in number and in bytes."""

import errno
import socket
from collections.abc import Callable

from circuits.net.events import connect, error
from circuits.net.sockets import TCPServer

READ_BYTES = 16 * 1024  # at a time, of one connection
# Where each byte costs much: 64 clients with chunks of one byte blocked the event loop
# for 9 of 15 s, in pauses of 0.25 s and more.
SMALL_READ_BYTES = 2 * 1024
# Of one connection in the kernel; Linux doubles the values. Without a bound, it buffers
# up to 32 MiB that are read slowly and 4 MiB that are not taken.
RECEIVE_BUFFER_BYTES = 64 * 1024
SEND_BUFFER_BYTES = 64 * 1024
JOINED_BYTES = 64 * 1024  # outgoing pieces are joined up to this size
TRANSIENT_ERRORS = (errno.EINTR, errno.EAGAIN, errno.ENOBUFS)


class Listener(TCPServer):
    """Passes received bytes on at once, and can stop to read and to accept.

    ``on_read`` gets a socket and its bytes. ``on_sent`` gets a socket and how many of
    its queued bytes were sent. ``may_accept`` tells whether a connection may be
    accepted; if not, accepting stops until `resume_accepting`.
    """

    socket_options = [
        *TCPServer.socket_options,
        (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        (socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES),
    ]

    def __init__(self, bind: tuple[str, int], *, channel: str) -> None:
        super().__init__(bind, channel=channel)
        self.on_read: Callable[[socket.socket, bytes], None] | None = None
        self.on_sent: Callable[[socket.socket, int], None] | None = None
        self.may_accept: Callable[[], bool] = lambda: True
        self.is_accepting = True
        self._read_less: set[socket.socket] = set()

    def read_less(self, sock: socket.socket, is_less: bool) -> None:
        """Read a connection in small pieces, or in pieces of the usual size again."""
        if is_less:
            self._read_less.add(sock)
        else:
            self._read_less.discard(sock)

    def pause_reading(self, sock: socket.socket) -> None:
        """Leave the bytes of a connection to the kernel until `resume_reading`."""
        self._poller.removeReader(sock)

    def resume_reading(self, sock: socket.socket) -> None:
        """Read a connection again."""
        if sock in self._clients and not self._poller.isReading(sock):
            self._poller.addReader(self, sock)

    def resume_accepting(self) -> None:
        """Accept connections again."""
        if not self.is_accepting and self._sock is not None:
            self.is_accepting = True
            self._poller.addReader(self, self._sock)

    def queue(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes once the socket takes them; small pieces share one buffer."""
        buffer = self._buffers[sock]
        if len(data) > JOINED_BYTES:
            buffer.append(memoryview(data))
        elif (
            buffer
            and isinstance(buffer[-1], bytearray)
            and len(buffer[-1]) < JOINED_BYTES
        ):
            buffer[-1].extend(data)
        else:
            buffer.append(bytearray(data))
        if not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)

    def _accept(self) -> None:
        if not self.may_accept():
            self.is_accepting = False
            self._poller.removeReader(self._sock)
            return
        try:
            sock, peer = self._sock.accept()
        except OSError:
            # The client has left, or the machine has no descriptor left.
            return
        sock.setblocking(False)
        self._poller.addReader(self, sock)
        self._clients.append(sock)
        self.fire(connect(sock, *peer))

    def _read(self, sock: socket.socket) -> None:
        if sock not in self._clients or self.on_read is None:
            return
        count = SMALL_READ_BYTES if sock in self._read_less else READ_BYTES
        try:
            data = sock.recv(count)
        except BlockingIOError:
            return
        except OSError as exc:
            self.fire(error(sock, exc))
            self._close(sock)
            return
        if data:
            self.on_read(sock, data)
        else:
            self.close(sock)

    def _write(self, sock: socket.socket, data) -> None:
        if sock not in self._clients or not data:
            return
        try:
            sent = sock.send(data)
        except OSError as exc:
            if exc.errno not in TRANSIENT_ERRORS:
                self.fire(error(sock, exc))
                self._close(sock)
                return
            sent = 0
        if sent < len(data):
            self._buffers[sock].appendleft(data[sent:])
        if sent and self.on_sent is not None:
            self.on_sent(sock, sent)

    def _close(self, sock: socket.socket | None) -> None:
        # The library keeps a socket that was dropped while its close waited.
        if sock in self._closeq:
            self._closeq.remove(sock)
        self._read_less.discard(sock)
        super()._close(sock)
