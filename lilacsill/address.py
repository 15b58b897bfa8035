"""Network addresses of the form `host:port`."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """A host (a name, or a numeric IPv4 or IPv6 address without brackets) and a TCP or UDP port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse `host:port`; an IPv6 host is written in brackets.

    Raises:
        ValueError: The host is empty, or the port is not a number from 0 to 65535.
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"no address: {text!r}")
    return Address(host, int(port))
