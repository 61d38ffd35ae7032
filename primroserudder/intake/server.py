"""Makes the connections of a port, which are held to limits."""

import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass

from aiohttp import web

from ..errors import RudderError
from .budget import RECEIVE_BUFFER_BYTES
from .connection import READ_BUFFER_BYTES, IntakeConnection
from .limits import IntakeLimits
from .register import ConnectionRegister

LISTEN_BACKLOG = 1024

Refusal = Callable[[RudderError], web.Response]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def _plain_refusal(error: RudderError) -> web.Response:
    return web.Response(status=error.status, text=str(error))


@dataclass(frozen=True, slots=True)
class Intake:
    """What the connections of a port are held to.

    Parameters
    ==========
    limits : Callable
        Returns the limits in force.
    always_admits : bool
        Whether connections are taken while memory is short. Those of health
        checks and operators are.
    refusal : Callable
        Returns the response to a head that is refused.
    """

    register: ConnectionRegister
    limits: Callable[[], IntakeLimits] = IntakeLimits
    always_admits: bool = False
    refusal: Refusal = _plain_refusal


class IntakeServer(web.Server):
    """Makes the connections of a port."""

    def __init__(
        self, handler: Handler, intake: Intake, **options: object
    ) -> None:
        """Store how connections are made and requests are handled."""
        super().__init__(
            self._serve,
            handler_cancellation=True,
            access_log=None,
            read_bufsize=READ_BUFFER_BYTES,
            **options,  # type: ignore[arg-type]
        )
        self.answer = handler
        self.register = intake.register
        self.limits = intake.limits
        self.always_admits = intake.always_admits
        self.refusal = intake.refusal

    def __call__(self) -> IntakeConnection:
        """Return a new connection."""
        return IntakeConnection(self, loop=self._loop, **self._kwargs)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        with self._counted(request.protocol):
            return await self.answer(request)

    @contextmanager
    def _counted(self, connection: web.RequestHandler) -> Iterator[None]:
        """Count a request, and let its connection know when it has ended."""
        opened = self.register.opened
        opened.served += 1
        try:
            yield
        finally:
            opened.served -= 1
            if isinstance(connection, IntakeConnection):
                connection.note_served()


def listen(host: str, port: int) -> socket.socket:
    """Listen at an address; connections take little of the kernel's memory.

    Explanation
    ===========
    Connections inherit the size of their receive buffer. By default the kernel
    takes megabytes for each one that is not read.

    Raises
    ======
    OSError
        The port can't be opened.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listening = socket.create_server(
        (host, port), family=family, backlog=LISTEN_BACKLOG
    )
    with suppress(OSError):
        # A platform without this option has bounds of its own.
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
    return listening
