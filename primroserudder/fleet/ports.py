"""Ports of a router for callers, health checks, operators and routers."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from http import HTTPStatus

import orjson
from aiohttp import web

from ..errors import RudderError
from ..intake import IntakeLimits
from ..intake.server import LISTEN_BACKLOG, Handler, Intake, listen
from ..platform.names import READY_PATH
from ..process.metrics import Metrics
from .callerport import CallerPort
from .callers import CallerHandler
from .forwarding import RouterPort
from .httpserver import ConnectionErrors, HttpServer
from .settings import RouterSettings

CLOSE_POLL_S = 0.05

# Of a head, besides the caller's own: the fields that routers add.
ROUTER_FIELDS_BYTES = 1024


class PortTaken(RudderError):
    """A configured port can't be opened."""

    code = 'port_taken'
    default_remedy = 'stop the program that uses the port, or set another port'


@dataclass(slots=True)
class Ports:
    """Listens on all ports of a router.

    Explanation
    ===========
    Callers, the balancer's health checks, operators' requests for metrics and
    state, and other routers use separate addresses.
    """

    settings: RouterSettings
    handler: CallerHandler
    metrics: Metrics
    is_ready: Callable[[], bool]
    dump: Callable[[], Mapping[str, object]]
    between_routers: RouterPort
    _runners: list[web.ServerRunner] = field(default_factory=list)
    caller_port: CallerPort = field(init=False)

    def __post_init__(self) -> None:
        """Prepare the port of callers."""
        server = self._server(self.handler.serve_request, self._limits)
        self.caller_port = CallerPort(server, self.handler.busy_connections)

    async def open(self) -> None:
        """Open all ports.

        Raises
        ======
        PortTaken
            A port can't be opened.
        """
        internal_server = self._server(
            self._serve_internal, IntakeLimits, always_admits=True
        )
        settings = self.settings
        metrics = f'{settings.ip}:{settings.metrics_port}'
        await self._listen_for_callers(settings.callers)
        await self._listen(internal_server, settings.readiness, metrics)
        router_server = self._server(
            self.between_routers.answer, self._limits_between_routers
        )
        await self._listen(router_server, settings.exchange_endpoint)

    async def close_to_callers(self) -> None:
        """Accept no new connections of callers and close the idle ones.

        Explanation
        ===========
        Requests that were not read whole by then, and those that have not
        begun to run, are refused: an engine might still be at work on them as
        the process ends.
        """
        await self.caller_port.stop()
        self.handler.reader.cutoff.reach()
        self.handler.server.is_closed = True

    async def close(self) -> None:
        """Close all ports immediately."""
        for runner in self._runners:
            await runner.cleanup()

    async def wait_until_idle(self, exit_at: float) -> None:
        """Wait until no request is in flight, at most until ``exit_at``.

        Parameters
        ==========
        exit_at : float
            Time of the event loop, in seconds.
        """
        loop = asyncio.get_running_loop()
        while self.handler.in_flight and loop.time() < exit_at:
            await asyncio.sleep(CLOSE_POLL_S)

    def _server(
        self,
        serve: Handler,
        limits: Callable[[], IntakeLimits],
        *,
        always_admits: bool = False,
    ) -> HttpServer:
        return HttpServer(
            serve,
            Intake(self.handler.register, limits, always_admits),
            ConnectionErrors(self.handler.log, self.metrics),
            self._idle_s,
            self.handler.watch,
        )

    async def _listen_for_callers(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._runners.append(self.caller_port.runner)
        try:
            await self.caller_port.open(host, int(port))
        except OSError as error:
            raise PortTaken(f'{address}: {error.strerror}') from error

    async def _listen(self, server: web.Server, *addresses: str) -> None:
        runner = web.ServerRunner(server, shutdown_timeout=CLOSE_POLL_S)
        self._runners.append(runner)
        await runner.setup()
        for address in addresses:
            host, _, port = address.rpartition(':')
            try:
                listening = listen(host, int(port))
            except OSError as error:
                raise PortTaken(f'{address}: {error.strerror}') from error
            site = web.SockSite(runner, listening, backlog=LISTEN_BACKLOG)
            await site.start()

    async def _serve_internal(
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

    def _limits(self) -> IntakeLimits:
        """Return what callers may send by the configuration in force."""
        configuration = self.handler.configuration()
        if configuration is None:
            return IntakeLimits()
        return configuration.limits.intake

    def _limits_between_routers(self) -> IntakeLimits:
        limits = self._limits()
        return replace(
            limits, header_bytes=limits.header_bytes + ROUTER_FIELDS_BYTES
        )

    def _idle_s(self) -> float:
        """Return for how long callers may leave a connection idle."""
        configuration = self.handler.configuration()
        return 0 if configuration is None else configuration.limits.idle_s

    def _readiness(self) -> int:
        if self.is_ready():
            return HTTPStatus.OK
        return HTTPStatus.SERVICE_UNAVAILABLE
