"""Limits on what one client can hold: connections, slow heads and bodies."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from aiohttp import web

from ..errors import Ran, RudderError
from ..process.clock import Clock
from ..process.metrics import Metrics

HEAD_TIMEOUT_S = 10
BODY_TIMEOUT_S = 30
MAX_CONNECTIONS = 4096

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class SlowSender(RudderError):
    """The request's body did not arrive in time."""

    code = 'request_timeout'
    status = HTTPStatus.REQUEST_TIMEOUT
    ran = Ran.NO
    default_remedy = 'send the whole body at once'


class TooManyConnections(RudderError):
    """The process holds as many connections as it may."""

    code = 'too_many_connections'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    ran = Ran.NO
    default_remedy = 'close idle connections and repeat'


async def read_body(request: web.Request) -> bytes:
    """Return the whole body of a request.

    Raises
    ======
    SlowSender
        The body took longer than ``BODY_TIMEOUT_S``.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await request.read()
    except TimeoutError as error:
        raise SlowSender(
            f'got no whole body within {BODY_TIMEOUT_S} s',
        ) from error


@dataclass(slots=True)
class ConnectionGuard:
    """Closes connections that send no request, and bounds their number.

    Explanation
    ===========
    ``sweep`` is repeated by the process. The HTTP library itself closes
    connections that idle between two requests; it waits without bound for
    the first one.
    """

    clock: Clock
    metrics: Metrics
    max_connections: int = MAX_CONNECTIONS
    head_timeout_s: float = HEAD_TIMEOUT_S
    runner: web.AppRunner | None = None
    _silent_since: dict[asyncio.BaseProtocol, float] = field(
        default_factory=dict,
    )
    _heard: set[asyncio.BaseProtocol] = field(default_factory=set)

    def check(self, request: web.Request) -> None:
        """Note that a connection sent a request; refuse it if too many are.

        Raises
        ======
        TooManyConnections
            The limit is reached.
        """
        self._heard.add(request.protocol)
        held = len(self._connections())
        if held > self.max_connections:
            raise TooManyConnections(
                f'got connection {held}: expected at most '
                f'{self.max_connections}',
                retry_after=1,
            )

    async def sweep(self) -> None:
        """Close the connections that have sent no request for too long."""
        now = self.clock.monotonic()
        held = self._connections()
        self._heard.intersection_update(held)
        self._silent_since = {
            connection: self._silent_since.get(connection, now)
            for connection in held
            if connection not in self._heard
        }
        for connection, since in self._silent_since.items():
            if now - since > self.head_timeout_s:
                self._close(connection)

    def _close(self, connection: asyncio.BaseProtocol) -> None:
        if isinstance(connection, web.RequestHandler):
            self.metrics.count('slow_heads_closed')
            connection.force_close()

    def _connections(self) -> list[web.RequestHandler]:
        if self.runner is None or self.runner.server is None:
            return []
        return self.runner.server.connections
