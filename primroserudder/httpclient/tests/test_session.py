"""Tests the sockets of sessions to engines, the store and other routers."""

import asyncio
import socket

from aiohttp import web

from ..session import KEEPALIVE_IDLE_S, KEEPALIVE_PROBES, open_session

LOOPBACK = '127.0.0.1'


async def test_no_user_timeout_decides_when_keepalive_gives_up() -> None:
    # Where it is set, it replaces the number of probes.
    server = web.Server(_answer)
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, 0).start()
    port = runner.addresses[0][1]
    session = open_session()
    async with session.get(f'http://{LOOPBACK}:{port}/') as response:
        connection = response.connection
        assert connection is not None and connection.transport is not None
        sock = connection.transport.get_extra_info('socket')
        tcp = socket.IPPROTO_TCP
        assert sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT) == 0
        assert sock.getsockopt(tcp, socket.TCP_KEEPCNT) == KEEPALIVE_PROBES
        assert sock.getsockopt(tcp, socket.TCP_KEEPIDLE) == KEEPALIVE_IDLE_S
        await response.read()
    await session.close()
    await runner.cleanup()


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    await asyncio.sleep(0.1)
    await response.write_eof()
    return response
