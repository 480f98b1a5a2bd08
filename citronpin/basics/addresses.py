"""Parses the addresses at which processes are reached."""

import ipaddress

MAX_PORT = 65_535


def parse_address(address: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of ``IP:PORT``.

    Raises `ValueError` for anything else, names of hosts included: looking one up would
    block the event loop.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"{address!r} does not end with a port")
    return str(ipaddress.IPv4Address(host)), int(port)
