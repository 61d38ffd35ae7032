"""Proxies on loopback that delay, reset, cut one way or silence connections.

Explanation
===========
A direction that is held loses nothing: its bytes arrive once it is released,
as after the retransmissions of a network that was cut.
"""

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536
# Linger on, for no time: a close sends a reset in place of an end.
NO_LINGER = struct.pack('ii', 1, 0)


class Direction(enum.Enum):
    """Where bytes go: to the side that listens, or back."""

    FORWARD = enum.auto()
    BACK = enum.auto()


BOTH_WAYS = (Direction.FORWARD, Direction.BACK)


@dataclass(slots=True)
class Link:
    """All connections to one address; faults strike them all."""

    target: str = ''
    address: str = ''
    delay_s: float = 0
    is_refusing: bool = False
    _holds: dict[Direction, int] = field(default_factory=dict)
    _released: asyncio.Event = field(default_factory=asyncio.Event)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen, at a free port unless one is named."""
        self._server = await asyncio.start_server(self._carry, host, port)
        taken = self._server.sockets[0].getsockname()
        self.address = f'{taken[0]}:{taken[1]}'

    async def close(self) -> None:
        """End all connections and listen no more."""
        if self._server is not None:
            self._server.close()
        self.release(BOTH_WAYS * self._most_holds())
        self.reset()

    def hold(self, directions: Iterable[Direction]) -> None:
        """Let no byte through in some directions."""
        for direction in directions:
            self._holds[direction] = self._holds.get(direction, 0) + 1

    def release(self, directions: Iterable[Direction]) -> None:
        """Take back as many holds."""
        for direction in directions:
            self._holds[direction] = self._holds.get(direction, 0) - 1
        self._released.set()
        self._released = asyncio.Event()

    def is_held(self, direction: Direction) -> bool:
        """Return whether no byte goes in a direction."""
        return self._holds.get(direction, 0) > 0

    def is_silent(self) -> bool:
        """Return whether nothing goes in either direction."""
        return all(self.is_held(direction) for direction in BOTH_WAYS)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            _reset(writer)

    def _most_holds(self) -> int:
        return max(self._holds.values(), default=0)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Either side may end at any time; both learn of it below.
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
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(far_writer)
        with contextlib.ExitStack() as stack:
            stack.callback(self._writers.discard, far_writer)
            stack.callback(far_writer.transport.abort)
            await asyncio.gather(
                self._pump(reader, far_writer, Direction.FORWARD),
                self._pump(far_reader, writer, Direction.BACK),
            )

    async def _pump(
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
