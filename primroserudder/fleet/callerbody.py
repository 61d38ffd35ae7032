"""Reads the body of a caller's request, within its limits."""

import asyncio
from contextlib import suppress

from aiohttp import HttpVersion11, StreamReader, web

from ..errors import Ran, RudderError
from .memory import Holding
from .servedrequest import CallerDisconnected

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# How long the rest of a refused body is read, so that the caller can read the
# refusal: closing a connection with unread bytes resets it.
DISCARD_LIMIT_S = 10.0


class BodyTooLarge(RudderError):
    """The request body exceeds the configured limit."""

    code = 'body_too_large'
    status = 413
    ran = Ran.NO
    default_remedy = 'send a smaller body'


class BodyTooSlow(RudderError):
    """The body was not complete at the request's deadline."""

    code = 'body_too_slow'
    status = 408
    ran = Ran.NO
    default_remedy = 'send the whole body sooner, or set a longer deadline'


class MalformedBody(RudderError):
    """The body breaks the rules of HTTP."""

    code = 'malformed_body'
    status = 400
    ran = Ran.NO
    default_remedy = 'send a body with a length, or in well-formed chunks'


async def read_body(
    request: web.BaseRequest,
    max_bytes: int,
    deadline_at: float,
    holding: Holding,
) -> bytes:
    """Return the whole body.

    Parameters
    ==========
    deadline_at : float
        Time of the event loop, in seconds.

    Raises
    ======
    BodyTooLarge
        The body, or the length that the head gives, exceeds ``max_bytes``.
    BodyTooSlow
        The deadline passed before the end of the body.
    MalformedBody
        The bytes are no body.
    CallerDisconnected
        The caller closed its connection.
    MemoryFull
        This VM has no memory left for the body.
    """
    if (request.content_length or 0) > max_bytes:
        raise BodyTooLarge(f'the request body exceeds {max_bytes} bytes')
    holding.hold_body(request.content_length or 0)
    try:
        async with asyncio.timeout_at(deadline_at):
            return await _read_invited(request, max_bytes, holding)
    except TimeoutError:
        raise BodyTooSlow('the body was not complete at the deadline') from None


async def discard_body(incoming: StreamReader) -> None:
    """Read and forget the rest of a body, for a bounded time."""
    with suppress(OSError, web.RequestPayloadError):
        async with asyncio.timeout(DISCARD_LIMIT_S):
            while not incoming.is_eof():
                await incoming.readany()


async def _read_invited(
    request: web.BaseRequest, max_bytes: int, holding: Holding
) -> bytes:
    try:
        await _invite_body(request)
        return await _read_all(request.content, max_bytes, holding)
    except web.RequestPayloadError as error:
        # Nothing more of this body can be read.
        request.content.feed_eof()
        raise MalformedBody('the body is malformed') from error
    except ConnectionError as error:
        raise CallerDisconnected('the caller closed its connection') from error


async def _invite_body(request: web.BaseRequest) -> None:
    expected = request.headers.get('Expect', '').lower()
    is_old = request.version < HttpVersion11
    if expected != '100-continue' or is_old or request.content.is_eof():
        return
    await request.writer.write(CONTINUE)
    # The response itself has not begun.
    request.writer.output_size = 0


async def _read_all(
    incoming: StreamReader, max_bytes: int, holding: Holding
) -> bytes:
    body = bytearray()
    async for octets in incoming.iter_any():
        body += octets
        if len(body) > max_bytes:
            raise BodyTooLarge(f'the request body exceeds {max_bytes} bytes')
        holding.hold_body(len(body))
    return bytes(body)
