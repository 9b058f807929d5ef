"""Addresses at which daemons reach each other, as registrations name them."""

import functools
import ipaddress

from chivesaddle.core.errors import InvalidValue

MAX_PORT = 65_535


@functools.lru_cache(maxsize=4_096)
def parse_peer_address(text: str) -> tuple[str, int]:
    """Return IP address and port of ``ip:port``; raises `InvalidValue`.

    Host names are refused: resolving one would wait for another system.

    Examples
    --------
    >>> parse_peer_address("10.0.0.1:7000")
    ('10.0.0.1', 7000)
    """
    host, _, port_text = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        port = int(port_text)
    except ValueError:
        port = 0
    if not 0 < port <= MAX_PORT:
        raise InvalidValue(
            f"{text[:80]!r} is not an address of a peer",
            remedy="Register ip:port with a port from 1 to 65535",
        )
    return host, port


__all__ = ["parse_peer_address"]
