"""Links between VMs that carry a limited number of bytes a second.

Explanation
===========
Each VM has one link, which its sent and its received bytes share. An answer is
sent in pieces; each waits for its turn at both ends. What a reader gives up is
lost, but for the pieces that the sender's kernel holds already, which take up
the links all the same.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from aiohttp import ClientConnectionError, ClientTimeout, web
from multidict import CIMultiDict

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000
DELAY_S = 0.002
PIECE_BYTES = 16_384
# Pieces that the sender's kernel holds when a reader gives up.
PIECES_IN_BUFFERS = 4
# An answer's head and a request.
HEAD_BYTES = 300


@dataclass(slots=True)
class RatedLink:
    """The link of one VM.

    Parameters
    ==========
    bytes_per_s : float
        What requests leave for the tables.
    carried_bytes : int
        Bytes that the link carried or has taken on.
    """

    bytes_per_s: float
    carried_bytes: int = 0
    _free_at: float = 0

    def reserve(self, octets: int) -> float:
        """Take on some bytes; return when the link has carried them."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + octets / self.bytes_per_s
        self.carried_bytes += octets
        return self._free_at


def bytes_per_s(mbps: float, used_share: float) -> float:
    """Return the rate of a link of which a share is used otherwise.

    Examples
    ========
    >>> bytes_per_s(8, 0.5)
    500000.0
    """
    return (1 - used_share) * mbps * BITS_PER_MBIT / BITS_PER_BYTE


async def carry(octets: int, sender: RatedLink, receiver: RatedLink) -> None:
    """Wait until some bytes have passed both links."""
    arrives_at = max(sender.reserve(octets), receiver.reserve(octets))
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(arrives_at - now + DELAY_S)


Answer = Callable[[str, Mapping[str, str]], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class Peer:
    """Whom a VM can query: its link, and what answers."""

    link: RatedLink
    answer: Answer


@dataclass(slots=True)
class _Pieces:
    """The body of an answer, which arrives in pieces."""

    octets: bytes
    sender: RatedLink
    receiver: RatedLink
    longest_pause_s: float | None

    def at_eof(self) -> bool:
        """Return whether all of the body was read; here it never was."""
        return False

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield the pieces as they arrive."""
        for start in range(0, len(self.octets), PIECE_BYTES):
            piece = self.octets[start : start + PIECE_BYTES]
            await self._carry(piece, start)
            yield piece

    async def _carry(self, piece: bytes, start: int) -> None:
        try:
            async with asyncio.timeout(self.longest_pause_s):
                await carry(len(piece), self.sender, self.receiver)
        except (asyncio.CancelledError, TimeoutError):
            self._flush_buffers(start)
            raise

    def _flush_buffers(self, start: int) -> None:
        end = start + PIECES_IN_BUFFERS * PIECE_BYTES
        held = self.octets[start:end]
        self.sender.reserve(len(held))
        self.receiver.reserve(len(held))


@dataclass(slots=True)
class _Arriving:
    """An answer as a VM reads it."""

    status: int
    headers: CIMultiDict[str]
    content_length: int
    content: _Pieces  # noqa: WPS110 (aiohttp's name for it)


@dataclass(slots=True)
class _Exchange:
    """A request and its answer, as a context manager."""

    session: 'RatedSession'
    url: str
    query: Mapping[str, str]
    timeout: ClientTimeout
    _deadline: asyncio.Timeout = field(init=False)

    async def __aenter__(self) -> _Arriving:
        """Return the answer, whose body has yet to arrive."""
        self._deadline = asyncio.timeout(self.timeout.total)
        await self._deadline.__aenter__()
        try:
            async with asyncio.timeout(self.timeout.sock_read):
                return await self._ask()
        except BaseException as error:
            await self._deadline.__aexit__(
                type(error), error, error.__traceback__
            )
            raise

    async def __aexit__(self, *error: object) -> None:
        """End the time limit of the whole answer."""
        await self._deadline.__aexit__(*error)  # type: ignore[arg-type]

    async def _ask(self) -> _Arriving:
        address, _, path = self.url.removeprefix('http://').partition('/')
        peer = self.session.peer(address)
        if peer is None:
            raise ClientConnectionError('no such VM')
        link = self.session.link
        await carry(HEAD_BYTES, link, peer.link)
        response = await peer.answer(f'/{path}', self.query)
        await carry(HEAD_BYTES, peer.link, link)
        body = getattr(response, 'body', b'') or b''
        return _Arriving(
            response.status,
            CIMultiDict(response.headers),
            len(body),
            _Pieces(body, peer.link, link, self.timeout.sock_read),
        )


@dataclass(slots=True)
class RatedSession:
    """Sends the requests of one VM over its link."""

    link: RatedLink
    peer: Callable[[str], Peer | None]
    connector: object = None

    def get(
        self, url: str, *, params: Mapping[str, str], timeout: ClientTimeout
    ) -> _Exchange:
        """Return the exchange of a request and its answer."""
        return _Exchange(self, url, params, timeout)
