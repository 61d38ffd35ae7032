"""HTTP client sessions for all that a process calls."""

import socket
from collections.abc import Sequence

import aiohttp

from .responsehandler import BoundedConnector

# The store answers in 4 ms, and in about 200 ms while it is disturbed.
CALL_TIMEOUT_S = 1.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
DEFAULT_BUFFER_BYTES = 65_536


def open_session(
    timeout_s: float | None = CALL_TIMEOUT_S,
    *,
    reuses_connections: bool = True,
    buffer_bytes: int = DEFAULT_BUFFER_BYTES,
    caches_names: bool = False,
    traces: Sequence[aiohttp.TraceConfig] = (),
) -> aiohttp.ClientSession:
    """Return a session with TCP keepalive, which detects dead connections.

    Parameters
    ==========
    timeout_s : float or None
        How long a call takes at most that names no time itself, ``None`` for
        as long as it likes.
    buffer_bytes : int
        A connection is not read while twice as much was not taken from it.
    caches_names : bool
        Whether the addresses of names are kept for a few seconds.
    """
    connector = BoundedConnector(
        socket_factory=_keepalive_socket,
        limit=0,
        force_close=not reuses_connections,
        use_dns_cache=caches_names,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=timeout_s),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=buffer_bytes,
        trace_configs=list(traces),
    )
    # aiohttp retries some methods by itself if the connection was closed.
    session._retry_connection = False  # noqa: SLF001
    return session


def close_idle_connections(session: aiohttp.ClientSession) -> None:
    """Let the next calls of a session make connections of their own.

    Explanation
    ===========
    When a call gets no answer, the idle connections to its peer may be as dead.
    The keepalive of TCP finds that out some seconds later.
    """
    connector = session.connector
    if isinstance(connector, BoundedConnector):
        connector.close_idle()


def _keepalive_socket(
    address: aiohttp.AddrInfoType,
) -> socket.socket:
    sock = socket.socket(*address[:3])
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock
