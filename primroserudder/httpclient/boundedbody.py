"""Reads the body of a response, up to a largest size."""

from collections.abc import Callable, Sequence

import aiohttp

from .errors import BrokenResponse

# A larger body is held in pieces of this size, each of which the allocator
# returns to the system by itself.
PIECE_BYTES = 524_288


class BodyTooLong(BrokenResponse):
    """The body of a response exceeds the largest size."""


async def read_bounded(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    on_size: Callable[[int], object] = int,
) -> bytes:
    """Return the body of a response in one piece, see ``read_pieces``."""
    return b''.join(await read_pieces(response, max_bytes, on_size))


async def read_pieces(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    on_size: Callable[[int], object] = int,
) -> Sequence[bytes]:
    """Return the body of a response in pieces.

    Explanation
    ===========
    No more is read than shows that the body is too long, nothing if its length
    says so; its connection is then closed with the response. Pieces of one size
    leave no gaps in memory that others can't use.

    Parameters
    ==========
    on_size : Callable
        Takes the size of the part read so far; may raise ``BodyTooLong``.

    Raises
    ======
    BodyTooLong
        The body has more than ``max_bytes``.
    """
    if not response.content.at_eof():
        # A response to HEAD names the length of another one's body.
        _check_size(response.content_length or 0, max_bytes)
    pieces: list[bytes] = []
    rest = bytearray()
    size = 0
    async for octets in response.content.iter_any():
        size += len(octets)
        _check_size(size, max_bytes)
        on_size(size)
        rest += octets
        while len(rest) >= PIECE_BYTES:
            pieces.append(bytes(rest[:PIECE_BYTES]))
            rest = rest[PIECE_BYTES:]
    return (*pieces, bytes(rest))


def _check_size(size: int, max_bytes: int) -> None:
    if size > max_bytes:
        raise BodyTooLong(f'response exceeds {max_bytes} bytes')
