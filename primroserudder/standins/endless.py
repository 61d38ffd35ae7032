"""Bytes without end, which a stand-in sends in place of a response."""

import asyncio

from aiohttp import web

HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'X-Primroserudder-Response-Seal: seal\r\n'
    b'Content-Type: text/event-stream\r\n'
)
PIECE_BYTES = 65_536
PIECE_INTERVAL_S = 0.002
# The bytes that a response starts with, and those that are repeated.
_KINDS = (
    (b'', b'\x00'),
    (b'', b'\r\n'),
    (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    (HEAD, b'name: text\r\n'),
    (b'%s\r\n' % HEAD, b'data: text\n'),
    (b'%sTransfer-Encoding: chunked\r\n\r\n1;name' % HEAD, b'x'),
)


async def send_without_end(
    request: web.Request, number: int
) -> web.StreamResponse:
    """Send bytes until the client closes; the number selects their kind."""
    first, repeated = _KINDS[number % len(_KINDS)]
    piece = repeated * (PIECE_BYTES // len(repeated))
    transport = request.transport
    if transport is not None:
        transport.write(first)
    while transport is not None and not transport.is_closing():
        if transport.get_write_buffer_size() < PIECE_BYTES:
            transport.write(piece)
        await asyncio.sleep(PIECE_INTERVAL_S)
    return web.Response()
