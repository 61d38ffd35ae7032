"""Raw servers on loopback that misbehave at a chosen moment."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
SHORT_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'
HEAD_END = b'\r\n\r\n'
DROP = b''


@dataclass(slots=True)
class RecordingServer:
    """A server that records requests and sends prepared answers.

    Explanation
    ===========
    A request has no body, or its body arrives in one read with its head. Each
    answer is used once; ``ANSWER`` is sent when none is left. Any answer other
    than ``ANSWER`` closes the connection; an empty one closes it without an
    answer.
    """

    answers: list[bytes]
    received: list[bytes] = field(default_factory=list)
    connections: int = 0

    @asynccontextmanager
    async def listening(self) -> AsyncIterator[str]:
        """Listen on a free port and yield the URL."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        yield f'http://127.0.0.1:{port}'
        server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        answer = ANSWER
        while answer == ANSWER:
            answer = await self._next_answer(reader)
            writer.write(answer)
        writer.close()

    async def _next_answer(self, reader: asyncio.StreamReader) -> bytes:
        request = await reader.read(65_536)
        if not request:
            return DROP
        self.received.append(request)
        return self.answers.pop(0) if self.answers else ANSWER
