"""Sends a crowd to a process, and notes what the process uses meanwhile."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field

from .crowdtarget import Kind, Target
from .processuse import descriptors, memory_mb

SAMPLE_S = 0.02
# A caller of which the process takes no byte for so long sends no more.
STALL_S = 1.5
# Callers that connect one after the other; a burst overruns the backlog.
CONNECT_PAUSE_S = 0.002
# Small, so that little of a response is held outside of the process.
RECEIVE_BUFFER_BYTES = 4096


Work = Coroutine[object, object, None]


@dataclass(slots=True)
class Peak:
    """The most that a process used, at any sample."""

    pid: int
    memory_mb: float = 0
    descriptors: int = 0

    def sample(self) -> None:
        """Note what the process uses now, if it lives."""
        with suppress(OSError):
            self.memory_mb = max(self.memory_mb, memory_mb(self.pid))
            self.descriptors = max(self.descriptors, descriptors(self.pid))

    @asynccontextmanager
    async def watching(self) -> AsyncIterator[None]:
        """Take samples until the context ends."""
        async with _going_on(self._watch()):
            yield
        self.sample()

    async def _watch(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)


@dataclass(slots=True, eq=False)
class CrowdCaller:
    """One caller of a crowd and its connection."""

    kind: Kind
    connection: socket.socket
    sent_bytes: int = 0
    is_ended: bool = False

    async def send(self, target: Target) -> None:
        """Send all pieces, unless the process ends the connection before."""
        try:
            for piece in self.kind.send(target):
                await self._send(piece)
        except TimeoutError:
            # The process takes no more, and keeps the connection.
            return
        except OSError:
            self.is_ended = True

    async def until_ended(self) -> None:
        """Wait until the process closes the connection."""
        loop = asyncio.get_running_loop()
        try:
            while not self.is_ended:
                received = await loop.sock_recv(self.connection, 65_536)
                self.is_ended = not received
        except OSError:
            self.is_ended = True

    async def _send(self, piece: bytes) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(STALL_S):
            await loop.sock_sendall(self.connection, piece)
        self.sent_bytes += len(piece)
        # A send that needs not wait leaves no turn to others.
        await asyncio.sleep(0)


@dataclass(slots=True)
class CrowdPlay:
    """A crowd that calls a process.

    Parameters
    ==========
    address : str
        The port that the crowd calls, ``host:port``.
    """

    pid: int
    address: str
    target: Target
    callers: list[CrowdCaller] = field(default_factory=list)
    peak: Peak = field(init=False)

    def __post_init__(self) -> None:
        """Begin without a sample."""
        self.peak = Peak(self.pid)

    async def play(
        self,
        kinds: Sequence[Kind],
        meanwhile: Callable[[], Work] | None = None,
    ) -> None:
        """Let all callers connect and send; they stay connected.

        Parameters
        ==========
        meanwhile : Callable
            Goes on until the crowd has sent all, and is cancelled then.
        """
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.peak.watching())
            if meanwhile is not None:
                await stack.enter_async_context(_going_on(meanwhile()))
            await self._send_all(kinds)
        self.peak.sample()

    async def until_endless_ended(self) -> None:
        """Wait until those have lost their connections who never end."""
        endless = [each for each in self.callers if not each.kind.has_end]
        await asyncio.gather(*(each.until_ended() for each in endless))

    def close(self) -> None:
        """Close all connections."""
        for caller in self.callers:
            caller.connection.close()

    async def _send_all(self, kinds: Sequence[Kind]) -> None:
        sending = []
        for kind in kinds:
            caller = CrowdCaller(kind, await self._connect())
            self.callers.append(caller)
            sending.append(asyncio.ensure_future(caller.send(self.target)))
            await asyncio.sleep(CONNECT_PAUSE_S)
        await asyncio.gather(*sending)

    async def _connect(self) -> socket.socket:
        host, _, port = self.address.rpartition(':')
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            # A crowd goes on where the process refuses a connection.
            await loop.sock_connect(connection, (host, int(port)))
        return connection


@asynccontextmanager
async def _going_on(work: Work) -> AsyncIterator[None]:
    """Let work go on, and cancel it at the end."""
    task = asyncio.create_task(work)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
