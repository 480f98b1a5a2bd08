"""Tests of the HTTP client's pool over loopback."""

import socket
import threading

import pytest

from citronpin.basics.errors import TimedOut
from citronpin.tests.conftest import wait_until
from citronpin.web.clients import BufferedSink, HttpClient

POOLED_CONNECTIONS = 3
TIMEOUT_S = 0.3
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class MutableServer:
    """A server whose open connections can be made silent, without closing them."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._conns = []
        self._silent = set()
        # Requests are answered together, so that each needs a connection of its own.
        self.barrier = threading.Barrier(POOLED_CONNECTIONS)
        self.is_pooling = True
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self):
        self._silent.update(self._conns)

    def close(self):
        for sock in (self._listener, *self._conns):
            sock.close()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self._conns.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            while conn.recv(4_096):
                if self.is_pooling:
                    self.barrier.wait()
                if conn not in self._silent:
                    conn.sendall(ANSWER)
        except OSError:
            return


@pytest.fixture
def server():
    found = MutableServer()
    yield found
    found.close()


@pytest.fixture
def request_answer(loops, server):
    """Return a function that starts a request; its list gets ``(answer, error)``."""
    loop, client = loops(lambda clock: HttpClient(clock=clock))

    def start():
        answers = []
        sink = BufferedSink(done=lambda *answer: answers.append(answer))
        loop.call(
            lambda: client.request(
                address=server.address,
                method="GET",
                target="/",
                sink=sink,
                timeout_s=TIMEOUT_S,
            )
        )
        return answers

    return start


def test_request_after_a_time_out_takes_no_other_silent_connection(
    server, request_answer
):
    pooled = [request_answer() for _ in range(POOLED_CONNECTIONS)]
    wait_until(lambda: all(pooled))
    server.is_pooling = False
    server.silence_open_connections()
    lost = request_answer()
    wait_until(lambda: lost)
    assert isinstance(lost[0][1], TimedOut)
    repeated = request_answer()
    wait_until(lambda: repeated)
    answer, error = repeated[0]
    assert error is None and answer[0] == 200
