"""The ports of a router: callers, the balancer's look, and operators."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson
from aiohttp import web

from ..errors import RudderError
from ..platform.names import READY_PATH
from ..process.metrics import Metrics
from .callers import CallerDoor
from .settings import RouterSettings
from .tablerelay import TableRelay

LARGEST_HEADER_BYTES = 65_536
CALLER_IDLE_S = 75.0
LISTEN_BACKLOG = 1024
CLOSING_LOOK_S = 0.05


class PortTaken(RudderError):
    """A port of the settings can't be opened."""

    code = 'port_taken'
    default_remedy = 'end the program that uses the port, or name another'


@dataclass(slots=True)
class Ports:
    """Listens for callers, for the balancer, and for whoever looks in."""

    settings: RouterSettings
    door: CallerDoor
    metrics: Metrics
    is_ready: Callable[[], bool]
    dump: Callable[[], Mapping[str, object]]
    relay: TableRelay
    _runners: list[web.ServerRunner] = field(default_factory=list)
    _sites: list[web.TCPSite] = field(default_factory=list)

    async def open(self) -> None:
        """Open all ports.

        Raises
        ======
        PortTaken
            One can't be opened.
        """
        front = web.Server(
            self.door.answer,
            handler_cancellation=True,
            keepalive_timeout=CALLER_IDLE_S,
            max_line_size=LARGEST_HEADER_BYTES,
            max_field_size=LARGEST_HEADER_BYTES,
            access_log=None,
        )
        inner = web.Server(self._answer_inner, access_log=None)
        settings = self.settings
        metrics = f'{settings.ip}:{settings.metrics_port}'
        await self._listen(front, settings.callers)
        await self._listen(inner, settings.readiness, metrics)
        tables = web.Server(self.relay.answer, access_log=None)
        await self._listen(tables, settings.exchange_name)

    async def close_to_callers(self) -> None:
        """Take no new connections of callers, and end those that are idle.

        Explanation
        ===========
        A connection with a request under way ends after its answer, also one
        whose answer began before the stop and promised to keep it. Without
        this a request could come so late that its answer would be cut.
        """
        await self._sites[0].stop()
        server = self._runners[0].server
        for connection in () if server is None else server.connections:
            if connection in self.door.busy_connections:
                connection.close()
            else:
                connection.force_close()

    async def close(self) -> None:
        """Close everything at once."""
        for runner in self._runners:
            await runner.cleanup()

    async def wait_until_idle(self, exit_at: float) -> None:
        """Wait until no request is under way, or a time of the loop."""
        loop = asyncio.get_running_loop()
        while self.door.under_way and loop.time() < exit_at:
            await asyncio.sleep(CLOSING_LOOK_S)

    async def _listen(self, server: web.Server, *addresses: str) -> None:
        runner = web.ServerRunner(server, shutdown_timeout=CLOSING_LOOK_S)
        self._runners.append(runner)
        await runner.setup()
        for address in addresses:
            host, _, port = address.rpartition(':')
            site = web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG)
            self._sites.append(site)
            try:
                await site.start()
            except OSError as error:
                raise PortTaken(f'{address}: {error.strerror}') from error

    async def _answer_inner(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        if request.path == READY_PATH:
            return web.Response(status=self._readiness())
        if request.path == '/metrics':
            return web.Response(body=self.metrics.prometheus_text())
        if request.path == '/state':
            body = orjson.dumps(self.dump(), default=str)
            return web.Response(body=body, content_type='application/json')
        return web.Response(status=HTTPStatus.NOT_FOUND)

    def _readiness(self) -> int:
        if self.is_ready():
            return HTTPStatus.OK
        return HTTPStatus.SERVICE_UNAVAILABLE
