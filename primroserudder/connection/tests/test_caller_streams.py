"""Tests of callers that leave or read slowly, over sockets."""

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


async def test_caller_that_leaves_frees_the_engine() -> None:
    async with Wired() as wired:
        url = f'{wired.url}/v1/completions'
        async with wired.session.post(url, data=_body(LONG_ANSWER)) as answer:
            await answer.content.readany()
            assert wired.bench.running()
        await _wait_until_idle(wired)
        assert wired.bench.metrics.value('requests', code='ok') == 0


async def test_caller_that_leaves_a_whole_answer_frees_the_engine() -> None:
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
        whole = await _texts(wired.session, url, body)
        answer = asyncio.create_task(_texts(wired.session, url, body))
        while not wired.bench.running():
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        wired.bench.crash(wired.bench.running()[0])
        assert await answer == whole
        assert wired.bench.metrics.value('retries', code='upstream_lost') == 1


async def _texts(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
) -> list[object]:
    async with session.post(url, data=body) as answer:
        raw = await answer.read()
    assert raw.endswith(b'data: [DONE]\n\n')
    return [
        orjson.loads(line.removeprefix(b'data: '))['choices']
        for line in raw.split(b'\n')
        if line.startswith(b'data: {')
    ]
