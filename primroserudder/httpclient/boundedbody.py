"""Reads the body of a response, up to a largest size."""

from collections.abc import Callable

import aiohttp


class BodyTooLong(aiohttp.ClientPayloadError):
    """The body of a response exceeds the largest size."""


async def read_bounded(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    on_size: Callable[[int], object] = int,
) -> bytes:
    """Return the body of a response.

    Explanation
    ===========
    No more is read than shows that the body is too long; its connection is
    then closed with the response.

    Parameters
    ==========
    on_size : Callable
        Takes the size of the part read so far; may raise ``BodyTooLong``.

    Raises
    ======
    BodyTooLong
        The body has more than ``max_bytes``.
    """
    body = bytearray()
    async for octets in response.content.iter_any():
        body += octets
        if len(body) > max_bytes:
            raise BodyTooLong(f'response exceeds {max_bytes} bytes')
        on_size(len(body))
    return bytes(body)
