"""A server whose answer arrives slowly, but without long pauses."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiohttp import web

PIECES = 8


@dataclass(slots=True)
class TricklingServer:
    """Answers each request with the same body.

    Parameters
    ==========
    pause_s : float
        Time before each of the ``PIECES`` pieces of the body, in seconds.
    whole_answers : int
        Answers that were written to their end.
    """

    body: bytes
    pause_s: float
    address: str = ''
    requests: int = 0
    whole_answers: int = 0

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Write the body in pieces."""
        self.requests += 1
        response = web.StreamResponse()
        response.content_length = len(self.body)
        await response.prepare(request)
        piece_bytes = len(self.body) // PIECES + 1
        for start in range(0, len(self.body), piece_bytes):
            await asyncio.sleep(self.pause_s)
            end = start + piece_bytes
            await response.write(self.body[start:end])
        self.whole_answers += 1
        return response


@asynccontextmanager
async def trickling_server(
    body: bytes, pause_s: float
) -> AsyncIterator[TricklingServer]:
    """Run a server whose answers take ``PIECES`` times a pause."""
    server = TricklingServer(body, pause_s)
    runner = web.ServerRunner(web.Server(server.answer), shutdown_timeout=0.01)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    server.address = f'{host}:{port}'
    yield server
    await runner.cleanup()
