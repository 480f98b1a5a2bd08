"""Tests of the relay that simulates a network partition."""

import socket

from citronpin.standins.standin_relays import RelayStandin
from citronpin.web.servers import Routes, WebServer


def _make_server(clock):
    routes = Routes()
    routes.add("GET", "/a", lambda req, reply: reply.json(200, "a" * 100_000))
    return WebServer(bind=("127.0.0.1", 0), target=routes, clock=clock)


def test_a_partition_holds_bytes_until_it_ends(loops):
    _, server = loops(_make_server)
    loop, relay = loops(lambda clock: RelayStandin(target=server.address, clock=clock))
    host, _, port = relay.address.partition(":")
    request = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

    def count_received(conn):
        received = b""
        while data := conn.recv(65_536):
            received += data
        return len(received)

    with socket.create_connection((host, int(port)), timeout=5) as conn:
        conn.sendall(request)
        assert count_received(conn) > 100_000
    loop.call(lambda: relay.set_partitioned(True))
    with socket.create_connection((host, int(port)), timeout=0.3) as conn:
        conn.sendall(request)
        try:
            raise AssertionError(f"a partitioned relay forwarded {conn.recv(10)!r}")
        except TimeoutError:
            conn.settimeout(5)
        loop.call(lambda: relay.set_partitioned(False))
        assert count_received(conn) > 100_000
