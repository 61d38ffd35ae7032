"""Tasks that a block started end with it, and leave nothing behind."""

import asyncio
import gc

import pytest

from ..loops import cancel_on_exit


async def _fail() -> None:
    raise ConnectionError('the caller left')


async def _wait_with(task: asyncio.Task[None]) -> None:
    async with cancel_on_exit(task):
        await asyncio.sleep(60)


async def _leave_while_it_fails() -> None:
    failing = asyncio.ensure_future(_fail())
    waiting = asyncio.ensure_future(_wait_with(failing))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.wait((waiting,))


async def test_failure_of_a_task_whose_caller_is_gone_is_not_left_over() -> (
    None
):
    left_over: list[object] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, said: left_over.append(said))
    await _leave_while_it_fails()
    gc.collect()
    assert not left_over


async def test_failure_in_a_block_that_ends_well_is_still_raised() -> None:
    failing = asyncio.ensure_future(_fail())
    async with cancel_on_exit(failing):
        await asyncio.wait((failing,))
    with pytest.raises(ConnectionError):
        failing.result()


async def test_task_that_still_runs_ends_with_the_block() -> None:
    running = asyncio.ensure_future(asyncio.sleep(60))
    async with cancel_on_exit(running):
        await asyncio.sleep(0)
    assert running.cancelled()
