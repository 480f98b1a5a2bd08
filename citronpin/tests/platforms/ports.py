"""Ports on which processes that tests start listen."""

import contextlib
import random
import socket

LISTEN_PORTS = range(15_000, 32_000)
DRAWS = random.SystemRandom()  # the same seed may run twice at once


def free_port():
    """Return a TCP port that was free at the time of the call.

    It lies below the ports of outgoing connections, which could take it meanwhile.
    """
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", DRAWS.choice(LISTEN_PORTS)))
            return sock.getsockname()[1]
