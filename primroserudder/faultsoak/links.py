"""Loopback proxies that delay, reset, refuse or hold connections.

Explanation
===========
A held direction loses no bytes: they arrive once it is released, as they do
through TCP retransmissions after a network partition.
"""

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536
# With a linger time of zero, close() sends a reset (RST) instead of a FIN.
NO_LINGER = struct.pack('ii', 1, 0)


class Direction(enum.Enum):
    """The direction of bytes: towards the target, or back to the client."""

    FORWARD = enum.auto()
    BACK = enum.auto()


BOTH_WAYS = (Direction.FORWARD, Direction.BACK)


@dataclass(slots=True)
class Link:
    """A proxy for one target; a fault affects all of its connections."""

    target: str = ''
    address: str = ''
    delay_s: float = 0
    is_refusing: bool = False
    _holds: dict[Direction, int] = field(default_factory=dict)
    _released: asyncio.Event = field(default_factory=asyncio.Event)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on the given port, or on a free one if it is zero."""
        self._server = await asyncio.start_server(
            self._handle_connection, host, port
        )
        sockname = self._server.sockets[0].getsockname()
        self.address = f'{sockname[0]}:{sockname[1]}'

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.release(BOTH_WAYS * self._max_holds())
        self.reset()

    def hold(self, directions: Iterable[Direction]) -> None:
        """Hold back all bytes in the given directions; holds add up."""
        for direction in directions:
            self._holds[direction] = self._holds.get(direction, 0) + 1

    def release(self, directions: Iterable[Direction]) -> None:
        """Remove one hold from each of the given directions."""
        for direction in directions:
            self._holds[direction] = self._holds.get(direction, 0) - 1
        self._released.set()
        self._released = asyncio.Event()

    def is_held(self, direction: Direction) -> bool:
        """Return whether a direction is held."""
        return self._holds.get(direction, 0) > 0

    def is_silent(self) -> bool:
        """Return whether both directions are held."""
        return all(self.is_held(direction) for direction in BOTH_WAYS)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            _reset(writer)

    def _max_holds(self) -> int:
        return max(self._holds.values(), default=0)

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Either side may end at any time; both connections are closed.
            writer.transport.abort()
        finally:
            writer.close()
            self._writers.discard(writer)

    async def _connect(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.is_refusing:
            _reset(writer)
            return
        host, _, port = self.target.rpartition(':')
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writers.add(target_writer)
        with contextlib.ExitStack() as stack:
            stack.callback(self._writers.discard, target_writer)
            stack.callback(target_writer.transport.abort)
            await asyncio.gather(
                self._relay(reader, target_writer, Direction.FORWARD),
                self._relay(target_reader, writer, Direction.BACK),
            )

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.is_held(direction):
                await self._released.wait()
            if not chunk:
                break
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    if connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
