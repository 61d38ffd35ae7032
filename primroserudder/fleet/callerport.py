"""The port of callers: opened, and closed so that no read request is lost."""

import asyncio
import socket
from collections.abc import Collection
from dataclasses import dataclass, field

from aiohttp import web

from ..intake.server import LISTEN_BACKLOG, listen
from .httpserver import HttpServer

SHUTDOWN_TIMEOUT_S = 0.05
# Time in which requests that have arrived as the port closes are read.
LAST_READ_S = 0.05
# Turns of the event loop from an accepted connection, or a parsed request, to
# its handler, with some to spare.
LOOP_TURNS = 6


@dataclass(slots=True)
class CallerPort:
    """Listens for callers.

    Parameters
    ==========
    busy : collection
        The connections whose requests are being served.
    """

    server: HttpServer
    busy: Collection[web.RequestHandler]
    runner: web.ServerRunner = field(init=False)
    _listening: socket.socket | None = None
    _site: web.SockSite | None = None

    def __post_init__(self) -> None:
        """Begin without a port."""
        self.runner = web.ServerRunner(
            self.server, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )

    async def open(self, host: str, port: int) -> None:
        """Listen at an address.

        Raises
        ======
        OSError
            The port can't be opened.
        """
        await self.runner.setup()
        listening = listen(host, port)
        self._listening = listening
        self._site = web.SockSite(
            self.runner, listening, backlog=LISTEN_BACKLOG
        )
        await self._site.start()

    @property
    def is_stopped(self) -> bool:
        """Return whether the port is closed to new connections."""
        return self._listening is None

    async def stop(self) -> None:
        """Accept no new connections and close the idle ones.

        Explanation
        ===========
        Closing the port resets the connections that the kernel holds for it,
        so they are accepted first, and what has arrived is read. A connection
        with a request in flight is closed after its response, even if that
        response started before the stop with a keep-alive header. Otherwise a
        request could arrive so late on it that its response would be cut off.
        """
        await self._stop_listening()
        await asyncio.sleep(LAST_READ_S)
        connections = self.server.connections
        for connection in connections:
            connection.close()
        await _pass_loop_turns()
        for connection in connections:
            if connection not in self.busy:
                connection.force_close()

    async def _stop_listening(self) -> None:
        listening = self._listening
        if listening is None or self._site is None:
            return
        asyncio.get_running_loop().remove_reader(listening)
        # The site can stop once the connections accepted so far are made.
        await _pass_loop_turns()
        accepted = await self._close_site(self._site, listening)
        self._listening = None
        loop = asyncio.get_running_loop()
        for connection in accepted:
            await loop.connect_accepted_socket(self.server, connection)

    async def _close_site(
        self, site: web.SockSite, listening: socket.socket
    ) -> list[socket.socket]:
        """Close the port and return the connections that the kernel held."""
        try:
            # A duplicate keeps the kernel's socket while the site closes its
            # own.
            backlog = listening.dup()
        except OSError:
            # No descriptor is free, so none can be accepted either.
            self.server.errors.metrics.count('stops_without_descriptors')
            await site.stop()
            return []
        with backlog:
            await site.stop()
            return _accept_all(backlog)


def _accept_all(backlog: socket.socket) -> list[socket.socket]:
    """Accept the waiting connections of a socket that does not block."""
    backlog.setblocking(False)
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = backlog.accept()
        except OSError:
            return accepted
        connection.setblocking(False)
        accepted.append(connection)


async def _pass_loop_turns() -> None:
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)
