"""Tests of callers that disconnect and of engine crashes, over sockets."""

import asyncio

import aiohttp
import orjson

from ...testing.wired import Wired

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


async def _wait_until_idle(wired: Wired) -> None:
    while wired.bench.running() or wired.callers.in_flight:
        await asyncio.sleep(0.01)


async def test_disconnected_stream_caller_frees_the_engine() -> None:
    async with Wired() as wired:
        url = f'{wired.url}/v1/completions'
        async with wired.session.post(url, data=_body(LONG_ANSWER)) as answer:
            await answer.content.readany()
            assert wired.bench.running()
        await _wait_until_idle(wired)
        assert wired.bench.metrics.value('requests', code='ok') == 0


async def test_disconnected_whole_answer_caller_frees_the_engine() -> None:
    async with Wired() as wired:
        call = asyncio.create_task(
            wired.session.post(
                f'{wired.url}/v1/completions',
                data=_body(LONG_ANSWER, stream=False),
            )
        )
        while not wired.bench.running():
            await asyncio.sleep(0.01)
        call.cancel()
        await _wait_until_idle(wired)
        assert wired.bench.metrics.value('requests', code='ok') == 0


async def test_crash_over_sockets_leaves_the_answer_unchanged() -> None:
    async with Wired() as wired:
        url = f'{wired.url}/v1/completions'
        body = _body(20)
        whole = await _streamed_choices(wired.session, url, body)
        answer = asyncio.create_task(
            _streamed_choices(wired.session, url, body)
        )
        while not wired.bench.running():
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        wired.bench.crash(wired.bench.running()[0])
        assert await answer == whole
        assert wired.bench.metrics.value('retries', code='upstream_lost') == 1


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
