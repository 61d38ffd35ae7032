"""Reads the body of a caller's request, within its limits."""

import asyncio
from contextlib import suppress

from aiohttp import HttpVersion11, StreamReader, web

from ..errors import Ran, RudderError
from ..intake import BodyUnderWay, ConnectionRegister, IntakeConnection
from ..intake.bodies import read_all
from .servedrequest import CallerDisconnected

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# How long the rest of a refused body is read, so that the caller can read the
# refusal: closing a connection with unread bytes resets it.
DISCARD_LIMIT_S = 10.0
DISCARD_LIMIT_BYTES = 4_194_304


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
    arriving: BodyUnderWay,
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
        This VM has no memory left for the body, or it was slow and gave way.
    HeadTooLarge
        The fields that follow the body are too long.
    """
    arriving.expect(request.content_length or 0, max_bytes)
    try:
        async with asyncio.timeout_at(deadline_at):
            return await _read_invited(request, max_bytes, arriving)
    except TimeoutError:
        raise BodyTooSlow('the body was not complete at the deadline') from None


async def discard_rest(
    request: web.BaseRequest, register: ConnectionRegister
) -> None:
    """Read the rest of a refused body, so that its caller can read."""
    connection = request.protocol
    if request.content.is_eof():
        return
    if isinstance(connection, IntakeConnection):
        with register.opened.tracked_refusal(connection):
            await _discard_body(request.content)


async def _discard_body(incoming: StreamReader) -> None:
    """Read and forget the rest of a body, for a bounded time and length."""
    end = incoming.total_bytes + DISCARD_LIMIT_BYTES
    with suppress(OSError, web.RequestPayloadError, RudderError):
        async with asyncio.timeout(DISCARD_LIMIT_S):
            while not incoming.is_eof() and incoming.total_bytes < end:
                await incoming.readany()


async def _read_invited(
    request: web.BaseRequest, max_bytes: int, arriving: BodyUnderWay
) -> bytes:
    try:
        await _invite_body(request)
        return await read_all(arriving, max_bytes)
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
