"""Limits on open connections, slow request heads and slow bodies."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from aiohttp import web

from ..errors import Ran, RudderError
from ..intake import BodyUnderWay, IntakeConnection
from ..intake.bodies import read_all
from ..process.clock import Clock
from ..process.metrics import Metrics
from .http import HEAD_TIMEOUT_S

BODY_TIMEOUT_S = 30
MAX_CONNECTIONS = 4096

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class SlowSender(RudderError):
    """The body of the request did not arrive in time."""

    code = 'request_timeout'
    status = HTTPStatus.REQUEST_TIMEOUT
    ran = Ran.NO
    default_remedy = 'send the whole body at once'


class TooManyConnections(RudderError):
    """The process has more open connections than its limit."""

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
    BodyTooLarge
        The body, or the length that the head gives, exceeds the limit.
    MemoryFull
        This process has no memory left for the body.
    """
    connection = request.protocol
    if not isinstance(connection, IntakeConnection):
        raise TypeError('the port does not count what its connections hold')
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await _read_counted(request, connection)
    except TimeoutError as error:
        raise SlowSender(
            f'the whole body did not arrive within {BODY_TIMEOUT_S} s',
        ) from error


async def _read_counted(
    request: web.Request, connection: IntakeConnection
) -> bytes:
    connection.holding.open()
    now = asyncio.get_running_loop().time()
    arriving = BodyUnderWay(request.content, connection.holding, now)
    max_bytes = request.client_max_size
    arriving.expect(request.content_length or 0, max_bytes)
    with connection.intake_server.register.opened.tracked_body(arriving):
        return await read_all(arriving, max_bytes)


@dataclass(slots=True)
class ConnectionGuard:
    """Closes connections without requests and limits open connections.

    Explanation
    ===========
    The process calls ``sweep`` periodically. The HTTP library closes
    connections that are idle between two requests, but it waits for the first
    request without a timeout. A head under way has a time limit of its own.
    """

    clock: Clock
    metrics: Metrics
    max_connections: int = MAX_CONNECTIONS
    head_timeout_s: float = HEAD_TIMEOUT_S
    runner: web.AppRunner | None = None
    _without_request_since: dict[asyncio.BaseProtocol, float] = field(
        default_factory=dict,
    )
    _with_request: set[asyncio.BaseProtocol] = field(default_factory=set)

    def check(self, request: web.Request) -> None:
        """Record the request of a connection and check the limit.

        Raises
        ======
        TooManyConnections
            More than ``max_connections`` connections are open.
        """
        self._with_request.add(request.protocol)
        count = len(self._connections())
        if count > self.max_connections:
            raise TooManyConnections(
                f'got {count} open connections: expected at most '
                f'{self.max_connections}',
                retry_after=1,
            )

    async def sweep(self) -> None:
        """Close connections without a request for ``head_timeout_s``."""
        now = self.clock.monotonic()
        connections = self._connections()
        self._with_request.intersection_update(connections)
        self._without_request_since = {
            connection: self._without_request_since.get(connection, now)
            for connection in connections
            if connection not in self._with_request
        }
        for connection, since in self._without_request_since.items():
            is_late = now - since > self.head_timeout_s
            if is_late and not _has_begun(connection):
                self._close(connection)

    def _close(self, connection: asyncio.BaseProtocol) -> None:
        if isinstance(connection, web.RequestHandler):
            self.metrics.count('slow_heads_closed')
            connection.force_close()

    def _connections(self) -> list[web.RequestHandler]:
        if self.runner is None or self.runner.server is None:
            return []
        return self.runner.server.connections


def _has_begun(connection: asyncio.BaseProtocol) -> bool:
    """Return whether a head is under way, which has a time limit."""
    return isinstance(connection, IntakeConnection) and not connection.is_idle
