"""Tests of callers that disconnect and of engine crashes, over sockets."""

import asyncio

import aiohttp
import orjson

from ...testing.loopbackentry import LoopbackEntry

LONG_ANSWER = 64


def _body(tokens: int, prompt: str = 'p', *, stream: bool = True) -> bytes:
    return orjson.dumps(
        {
            'model': 'ledger',
            'prompt': prompt,
            'max_tokens': tokens,
            'stream': stream,
        }
    )


async def _wait_until_idle(entry: LoopbackEntry) -> None:
    while entry.bench.running() or entry.callers.in_flight:
        await asyncio.sleep(0.01)


async def test_disconnected_stream_caller_frees_the_engine() -> None:
    async with LoopbackEntry() as entry:
        url = f'{entry.url}/v1/completions'
        async with entry.session.post(url, data=_body(LONG_ANSWER)) as answer:
            await answer.content.readany()
            assert entry.bench.running()
        await _wait_until_idle(entry)
        assert entry.bench.metrics.value('requests', code='ok') == 0


async def test_disconnected_whole_answer_caller_frees_the_engine() -> None:
    async with LoopbackEntry() as entry:
        call = asyncio.create_task(
            entry.session.post(
                f'{entry.url}/v1/completions',
                data=_body(LONG_ANSWER, stream=False),
            )
        )
        while not entry.bench.running():
            await asyncio.sleep(0.01)
        call.cancel()
        await _wait_until_idle(entry)
        assert entry.bench.metrics.value('requests', code='ok') == 0


async def test_crash_over_sockets_leaves_the_answer_unchanged() -> None:
    async with LoopbackEntry() as entry:
        url = f'{entry.url}/v1/completions'
        body = _body(20)
        whole = await _streamed_choices(entry.session, url, body)
        answer = asyncio.create_task(
            _streamed_choices(entry.session, url, body)
        )
        while not entry.bench.running():
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        entry.bench.crash(entry.bench.running()[0])
        assert await answer == whole
        assert entry.bench.metrics.value('retries', code='upstream_lost') == 1


async def _streamed_choices(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
) -> list[object]:
    async with session.post(url, data=body) as answer:
        received = await answer.read()
    assert received.endswith(b'data: [DONE]\n\n')
    return [
        orjson.loads(line.removeprefix(b'data: '))['choices']
        for line in received.split(b'\n')
        if line.startswith(b'data: {')
    ]
