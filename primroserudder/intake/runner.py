"""Runs a web application whose connections are held to limits."""

from aiohttp import web

from .refusing import LINGER_S
from .server import Intake, IntakeServer


class IntakeRunner(web.AppRunner):
    """An application's runner, with connections that are counted."""

    def __init__(
        self, app: web.Application, intake: Intake, **options: object
    ) -> None:
        """Store the application and what its connections are held to."""
        super().__init__(app, **options)  # type: ignore[arg-type]
        self.intake = intake

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        return IntakeServer(
            plain.request_handler,
            self.intake,
            request_factory=plain.request_factory,
            lingering_time=LINGER_S,
            keepalive_timeout=self._kwargs['keepalive_timeout'],
        )
