"""Tests that answers stay complete when upstreams fail."""

import asyncio
import random

import pytest

from ...testing.serverharness import ServerHarness
from ..watchdog import CALLER_STALL_TIMEOUT_S, CallerStalled, DeadlinePassed

pytestmark = pytest.mark.looptime

CRASHES = 100
CALLERS = 12
REQUEST_KINDS = tuple(
    (path, is_streamed)
    for path in ('/v1/completions', '/v1/chat/completions')
    for is_streamed in (True, False)
)


async def _answer(bench: ServerHarness, index: int) -> bytes:
    path, is_streamed = REQUEST_KINDS[index % len(REQUEST_KINDS)]
    return await bench.ask(
        f'prompt {index}',
        path=path,
        is_streamed=is_streamed,
    )


async def _ask_until(
    bench: ServerHarness,
    index: int,
    stop: asyncio.Event,
) -> list[bytes]:
    answers = []
    while not stop.is_set():
        answers.append(await _answer(bench, index))
    return answers


async def _crash_groups(bench: ServerHarness, rng: random.Random) -> None:
    for _ in range(CRASHES):
        await asyncio.sleep(rng.uniform(0.1, 0.5))
        group = rng.choice(bench.running())
        bench.crash(group)
        await asyncio.sleep(rng.uniform(0, 0.2))
        bench.restore(group)


async def test_hundred_crashes_change_no_answer() -> None:
    stop = asyncio.Event()
    async with ServerHarness(groups=4) as bench:
        expected = [await _answer(bench, index) for index in range(CALLERS)]
        callers = [
            asyncio.create_task(_ask_until(bench, index, stop))
            for index in range(CALLERS)
        ]
        await _crash_groups(bench, random.Random(4))
        stop.set()
        answers = await asyncio.gather(*callers)
        assert bench.metrics.value('retries', code='engine_crashed') >= CRASHES
    for expected_answer, caller_answers in zip(expected, answers, strict=True):
        assert caller_answers
        assert set(caller_answers) == {expected_answer}


async def test_output_of_a_resumed_engine_reaches_no_caller() -> None:
    async with ServerHarness() as bench:
        expected = await bench.ask()
        answer = asyncio.create_task(bench.ask())
        await asyncio.sleep(0.1)
        group = bench.running()[0]
        faults = bench.engines.by_address[group.leader.address].faults
        faults.is_paused = True
        await asyncio.sleep(4.2)
        faults.is_paused = False
        assert await answer == expected
        assert bench.metrics.value('retries', code='upstream_silent') == 1


async def test_silent_engine_with_evidence_is_kept_longer() -> None:
    async with ServerHarness() as bench:
        answer = asyncio.create_task(bench.ask())
        await asyncio.sleep(0.1)
        group = bench.running()[0]
        faults = bench.engines.by_address[group.leader.address].faults
        faults.slowdown = 10_000
        await asyncio.sleep(4)
        assert not answer.done()
        assert (await answer).endswith(b'data: [DONE]\n\n')


async def test_lost_request_waits_for_a_takeover() -> None:
    async with ServerHarness(groups=1) as bench:
        expected = await bench.ask()
        answer = asyncio.create_task(bench.ask())
        await asyncio.sleep(0.1)
        group = bench.running()[0]
        bench.crash(group)
        await asyncio.sleep(5)
        bench.restore(group)
        assert await answer == expected


async def test_stalled_caller_is_cut_off_and_frees_the_engine() -> None:
    async with ServerHarness() as bench:

        async def _stall(events: bytes) -> None:
            await asyncio.sleep(10 * CALLER_STALL_TIMEOUT_S)

        stalled = asyncio.create_task(bench.ask(send=_stall))
        other = await bench.ask('other')
        assert other.endswith(b'data: [DONE]\n\n')
        with pytest.raises(CallerStalled):
            await stalled
        assert not bench.running()


async def test_deadline_ends_an_answer_with_an_error() -> None:
    async with ServerHarness() as bench:
        deadline = bench.clock.monotonic() + 0.1
        with pytest.raises(DeadlinePassed):
            await bench.ask(deadline=deadline)
        assert not bench.running()


async def test_cancelled_attempt_is_retried() -> None:
    async with ServerHarness() as bench:
        expected = await bench.ask(request_id='req-2')
        answer = asyncio.create_task(bench.ask(request_id='req-2'))
        await asyncio.sleep(0.1)
        leader = bench.running()[0].leader
        bench.engines.by_address[leader.address].cancel('req-2')
        assert await answer == expected


async def test_requests_avoid_groups_that_have_just_crashed() -> None:
    async with ServerHarness(groups=6) as bench:
        expected = await bench.ask()
        for group_id in ('g0', 'g1', 'g2', 'g3', 'g4'):
            bench.crash(bench.directory.by_id[group_id])
        answers = await asyncio.gather(*(bench.ask() for _ in range(8)))
        assert set(answers) == {expected}
