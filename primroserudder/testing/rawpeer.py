"""A peer that sends raw bytes, also without end, in place of an HTTP server.

Explanation
===========
It plays faulty engines, stores and routers: after the first request of each
connection it sends what a script says, whether or not that is HTTP.
"""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

from ..process.loops import cancel_all

LOOPBACK = '127.0.0.1'
HEAD_END = b'\r\n\r\n'
# Small, so that the bytes written are nearly those that the client has read.
SEND_BUFFER_BYTES = 65_536
# Size of the pieces in which endless bytes are written.
FLOOD_PIECE_BYTES = 65_536
# Between pieces that are to arrive one by one.
PIECE_INTERVAL_S = 0.02


@dataclass(slots=True)
class RawPeer:
    """A peer that runs a script on each connection.

    Explanation
    ===========
    ``sent_bytes`` counts what was written to all connections; ``left`` is set
    once a client closed a connection to which the peer was still writing.
    """

    script: 'Script'
    address: str = ''
    sent_bytes: int = 0
    connections: int = 0
    left: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection to its end."""
        self.connections += 1
        connection = RawConnection(self, reader, writer)
        task = asyncio.ensure_future(self._converse(connection))
        self.tasks.add(task)
        await asyncio.wait((task,))

    async def _converse(self, connection: 'RawConnection') -> None:
        try:
            await self._run_script(connection)
        except OSError:
            self.left.set()
        except asyncio.IncompleteReadError:
            return
        finally:
            connection.writer.close()

    async def _run_script(self, connection: 'RawConnection') -> None:
        await connection.read_request()
        await self.script(connection)


@dataclass(slots=True)
class RawConnection:
    """One connection of a client to a peer."""

    peer: RawPeer
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_request(self) -> None:
        """Read a request without a body."""
        await self.reader.readuntil(HEAD_END)

    async def send(self, octets: bytes) -> None:
        """Write bytes and wait until most of them are sent.

        Raises
        ======
        OSError
            The client has closed the connection.
        """
        self.writer.write(octets)
        self.peer.sent_bytes += len(octets)
        await self.writer.drain()


Script = Callable[[RawConnection], Awaitable[None]]


@asynccontextmanager
async def raw_peer(script: Script) -> AsyncIterator[RawPeer]:
    """Run a peer; where its script returns, the connection is closed."""
    peer = RawPeer(script)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.bind((LOOPBACK, 0))
    server = await asyncio.start_server(peer.serve, sock=listener)
    host, port = server.sockets[0].getsockname()
    peer.address = f'{host}:{port}'
    async with server:
        yield peer
        await cancel_all(peer.tasks)


async def closes(_connection: RawConnection) -> None:
    """Do nothing, after which the connection is closed."""


async def resets(connection: RawConnection) -> None:
    """Reset a connection."""
    await asyncio.sleep(PIECE_INTERVAL_S)
    linger = struct.pack('ii', 1, 0)
    connected = connection.writer.get_extra_info('socket')
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.writer.transport.abort()


async def half_closes(connection: RawConnection) -> None:
    """Close the sending direction alone."""
    connection.writer.write_eof()
    await asyncio.Event().wait()


async def stays_silent(_connection: RawConnection) -> None:
    """Keep a connection open without sending a byte."""
    await asyncio.Event().wait()


def sends(*pieces: bytes, then: Script = closes) -> Script:
    """Return a script that sends pieces, and then goes on with another.

    Explanation
    ===========
    Each piece but the last arrives by itself.
    """
    return partial(_send_pieces, pieces, then)


def answers(response: bytes) -> Script:
    """Return a script that gives each request the same response."""
    return partial(_answer_all, response)


def floods(first: bytes, repeated: bytes) -> Script:
    """Return a script that sends bytes, then others until the client closes."""
    return partial(_flood, first, repeated)


def trickles(first: bytes, repeated: bytes, interval_s: float) -> Script:
    """Return a script that sends bytes, then others at an interval."""
    return partial(_trickle, first, repeated, interval_s)


async def _send_pieces(
    pieces: tuple[bytes, ...],
    then: Script,
    connection: RawConnection,
) -> None:
    *earlier, last = pieces
    for piece in earlier:
        await connection.send(piece)
        await asyncio.sleep(PIECE_INTERVAL_S)
    await connection.send(last)
    await then(connection)


async def _answer_all(response: bytes, connection: RawConnection) -> None:
    while True:
        await connection.send(response)
        await connection.read_request()


async def _flood(
    first: bytes,
    repeated: bytes,
    connection: RawConnection,
) -> None:
    piece = repeated * max(1, FLOOD_PIECE_BYTES // len(repeated))
    await connection.send(first)
    while True:
        await connection.send(piece)
        # A write to a socket with free buffers does not suspend the task.
        await asyncio.sleep(0)


async def _trickle(
    first: bytes,
    repeated: bytes,
    interval_s: float,
    connection: RawConnection,
) -> None:
    await connection.send(first)
    while True:
        await asyncio.sleep(interval_s)
        await connection.send(repeated)
