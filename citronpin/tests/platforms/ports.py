"""Ports on which processes that tests start listen."""

import contextlib
import random
import socket

# Below the ports of outgoing connections, which could take them before they are bound.
LISTEN_PORTS = range(15_000, 32_000)
DRAWS = random.SystemRandom()  # the same seed may run twice at once
_returned = set()


def free_port():
    """Return a TCP port that was free at the time of the call, each one once."""
    while True:
        port = DRAWS.choice(LISTEN_PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in _returned:
                _returned.add(port)
                return port
