"""Tests of the engine adapter against broken answers over sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import aiohttp
import pytest

from ...process.engines import EngineCall, UpstreamLost
from ..enginehttp import EngineHttp

CALL = EngineCall('req-1', 2, 'g0', 1, '/v1/completions', b'{}')
STATUS = b'HTTP/1.1 200 OK\r\n'
ECHO = b'Engine-Request-Id: req-1\r\nEngine-Attempt: 2\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
ONE_CHUNK = b'4\r\nabcd\r\n'
LAST_CHUNK = b'0\r\n\r\n'
BLOCK_BYTES = 65_536
OFFERED_BLOCKS = 1024


async def _answers(*answers: bytes) -> list[bytes]:
    """Return the body of each answer, or the code of its error."""
    unsent = list(answers)

    async def _serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while unsent:
            try:
                await reader.readuntil(b'\r\n\r\n{}')
            except asyncio.IncompleteReadError:
                break
            answer = unsent.pop(0)
            writer.write(answer)
            if not answer.endswith(LAST_CHUNK):
                break
        writer.close()

    async with AsyncExitStack() as stack:
        engines, address = await _open(stack, _serve)
        return [await _read(engines, address) for _ in answers]


async def _read(engines: EngineHttp, address: str) -> bytes:
    try:
        async with engines.generate(address, CALL) as answer:
            return b''.join([part async for part in answer.chunks()])
    except UpstreamLost as lost:
        return lost.code.encode()


@pytest.mark.parametrize(
    'answer',
    [
        b''.join((STATUS, ECHO, CHUNKED, ONE_CHUNK)),
        b''.join((STATUS, ECHO, b'Content-Length: 9\r\n\r\nabcd')),
        b''.join((STATUS, ECHO)),
        b''.join((STATUS, CHUNKED, ONE_CHUNK, LAST_CHUNK)),
        b''.join(
            (
                STATUS,
                ECHO.replace(b': 2', b': 1'),
                CHUNKED,
                ONE_CHUNK,
                LAST_CHUNK,
            )
        ),
        b''.join(
            (
                STATUS,
                ECHO.replace(b'req-1', b'req-9'),
                CHUNKED,
                ONE_CHUNK,
                LAST_CHUNK,
            )
        ),
        b'HTTP/1.1 307 Moved\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n',
        b'',
    ],
    ids=[
        'chunks-cut',
        'short-body',
        'headers-cut',
        'no-echo',
        'late-attempt',
        'other-request',
        'redirect',
        'closed',
    ],
)
async def test_broken_answer_is_lost_and_the_next_one_is_whole(
    answer: bytes,
) -> None:
    whole = b''.join((STATUS, ECHO, CHUNKED, ONE_CHUNK, LAST_CHUNK))
    assert await _answers(answer, whole) == [b'upstream_lost', b'abcd']


async def test_rest_of_an_abandoned_answer_reaches_no_other_request() -> None:
    connections: list[asyncio.StreamWriter] = []

    async def _serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connections.append(writer)
        await reader.readuntil(b'\r\n\r\n{}')
        writer.write(b''.join((STATUS, ECHO, CHUNKED, ONE_CHUNK)))
        await asyncio.sleep(0.05)
        writer.write(LAST_CHUNK)

    async with AsyncExitStack() as stack:
        engines, address = await _open(stack, _serve)
        for _ in range(2):
            with pytest.raises(UpstreamLost):
                await _abandon(engines, address)
    assert len(connections) == 2


async def test_unread_answer_applies_backpressure_to_the_upstream() -> None:
    block = b'%x\r\n%s\r\n' % (BLOCK_BYTES, bytes(BLOCK_BYTES))
    sent_blocks: list[int] = []

    async def _serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n{}')
        writer.write(b''.join((STATUS, ECHO, CHUNKED)))
        while len(sent_blocks) < OFFERED_BLOCKS:
            writer.write(block)
            await writer.drain()
            sent_blocks.append(BLOCK_BYTES)

    async with AsyncExitStack() as stack:
        engines, address = await _open(stack, _serve)
        engine_answer = await stack.enter_async_context(
            engines.generate(address, CALL),
        )
        await anext(engine_answer.chunks())
        stalled_at = -1
        while stalled_at < len(sent_blocks):
            stalled_at = len(sent_blocks)
            await asyncio.sleep(0.2)
    assert stalled_at < OFFERED_BLOCKS / 2


async def _open(
    stack: AsyncExitStack,
    handler: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter],
        Awaitable[None],
    ],
) -> tuple[EngineHttp, str]:
    server = await asyncio.start_server(handler, '127.0.0.1', 0)
    await stack.enter_async_context(server)
    session = await stack.enter_async_context(aiohttp.ClientSession())
    port = server.sockets[0].getsockname()[1]
    return EngineHttp(session), f'127.0.0.1:{port}'


async def _abandon(engines: EngineHttp, address: str) -> None:
    async with engines.generate(address, CALL) as engine_answer:
        await anext(engine_answer.chunks())
        raise UpstreamLost('abandoned')
