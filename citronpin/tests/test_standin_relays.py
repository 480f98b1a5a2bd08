"""Tests of the relay that stands in for a network."""

import socket

from citronpin.standins.standin_relays import RelayStandin
from citronpin.web.servers import Routes, WebServer


def _server(clock):
    routes = Routes()
    routes.add("GET", "/a", lambda req, reply: reply.json(200, "a" * 100_000))
    return WebServer(bind=("127.0.0.1", 0), target=routes, clock=clock)


def test_a_cut_holds_bytes_and_a_mended_relay_passes_them_on(loops):
    _, server = loops(_server)
    loop, relay = loops(lambda clock: RelayStandin(target=server.address, clock=clock))
    host, _, port = relay.address.partition(":")
    ask = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

    def read(conn):
        got = b""
        while data := conn.recv(65_536):
            got += data
        return len(got)

    with socket.create_connection((host, int(port)), timeout=5) as conn:
        conn.sendall(ask)
        assert read(conn) > 100_000
    loop.call(lambda: relay.set_partitioned(True))
    with socket.create_connection((host, int(port)), timeout=0.3) as conn:
        conn.sendall(ask)
        try:
            raise AssertionError(f"a cut relay passed {conn.recv(10)!r}")
        except TimeoutError:
            conn.settimeout(5)
        loop.call(lambda: relay.set_partitioned(False))
        assert read(conn) > 100_000
