"""Addresses that other writers leave in the store."""

import ipaddress

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port.

    Examples
    ========
    >>> is_address('10.1.0.7:7946'), is_address('10.1.0.7'), is_address('a:1')
    (True, False, False)
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
