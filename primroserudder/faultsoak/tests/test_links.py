"""Links carry bytes, and hold, reset or refuse connections on request."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ..links import BOTH_WAYS, Direction, Link

LOOPBACK = '127.0.0.1'


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while chunk := await reader.read(100):
        writer.write(chunk)
    writer.close()


@asynccontextmanager
async def _open_link() -> AsyncIterator[Link]:
    server = await asyncio.start_server(_echo, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    link = Link(f'{LOOPBACK}:{port}')
    await link.start(LOOPBACK)
    yield link
    await link.close()
    server.close()


async def _connect(
    link: Link,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = link.address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


async def test_bytes_go_both_ways_and_the_end_is_passed_on() -> None:
    async with _open_link() as link:
        reader, writer = await _connect(link)
        writer.write(b'text')
        writer.write_eof()
        assert await reader.read() == b'text'
        writer.close()


@pytest.mark.parametrize('direction', list(Direction))
async def test_cut_of_one_direction_holds_bytes_until_it_ends(
    direction: Direction,
) -> None:
    async with _open_link() as link:
        reader, writer = await _connect(link)
        link.hold((direction,))
        assert not link.is_silent()
        writer.write(b'text')
        reading = asyncio.ensure_future(reader.readexactly(4))
        await asyncio.sleep(0.05)
        assert not reading.done()
        link.release((direction,))
        assert await reading == b'text'
        writer.close()


async def test_holds_that_overlap_end_with_the_last_one() -> None:
    link = Link()
    link.hold(BOTH_WAYS)
    link.hold((Direction.BACK,))
    link.release(BOTH_WAYS)
    assert link.is_held(Direction.BACK)
    assert not link.is_held(Direction.FORWARD)


async def test_reset_and_refusal_end_connections() -> None:
    async with _open_link() as link:
        reader, writer = await _connect(link)
        writer.write(b'text')
        await reader.readexactly(4)
        link.reset()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        link.is_refusing = True
        reader, writer = await _connect(link)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
