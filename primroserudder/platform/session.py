"""HTTP sessions to the store and to engines."""

import socket

import aiohttp

# The store answers in 4 ms; a disturbed one takes some 50 times as long.
CALL_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2


def open_session(
    timeout_s: float = CALL_TIMEOUT_S,
    *,
    reuses_connections: bool = True,
) -> aiohttp.ClientSession:
    """Return a session whose silent connections are found by the kernel."""
    connector = aiohttp.TCPConnector(
        socket_factory=_kept_alive_socket,
        limit=0,
        force_close=not reuses_connections,
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=timeout_s),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    # aiohttp repeats some methods by itself on a connection found closed.
    session._retry_connection = False  # noqa: SLF001
    return session


def _kept_alive_socket(
    address: aiohttp.AddrInfoType,
) -> socket.socket:
    made = socket.socket(*address[:3])
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    made.setsockopt(tcp, socket.TCP_NODELAY, 1)
    made.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    made.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    made.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return made
