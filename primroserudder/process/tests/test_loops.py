"""Tests that tasks end with their block and their errors are handled."""

import asyncio
import gc

import pytest

from ..loops import cancel_all, cancel_on_exit


async def _fail() -> None:
    raise ConnectionError('the caller left')


async def _wait_with(task: asyncio.Task[None]) -> None:
    async with cancel_on_exit(task):
        await asyncio.sleep(60)


async def _cancel_block_while_its_task_fails() -> None:
    failing = asyncio.ensure_future(_fail())
    waiting = asyncio.ensure_future(_wait_with(failing))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.wait((waiting,))


async def test_failure_of_a_task_whose_caller_was_cancelled_is_handled() -> (
    None
):
    unhandled: list[object] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: unhandled.append(context))
    await _cancel_block_while_its_task_fails()
    gc.collect()
    assert not unhandled


async def test_task_failure_can_be_read_after_a_block_without_error() -> None:
    failing = asyncio.ensure_future(_fail())
    async with cancel_on_exit(failing):
        await asyncio.wait((failing,))
    with pytest.raises(ConnectionError):
        failing.result()


async def test_unfinished_task_is_cancelled_at_the_end_of_the_block() -> None:
    running = asyncio.ensure_future(asyncio.sleep(60))
    async with cancel_on_exit(running):
        await asyncio.sleep(0)
    assert running.cancelled()


async def _ignore_first_cancellation(began: asyncio.Event) -> None:
    # An HTTP client may turn a cancellation at the moment of its own timeout
    # into that timeout, after which the task goes on.
    try:
        began.set()
        await asyncio.sleep(60)
    except asyncio.CancelledError:
        await asyncio.sleep(60)


@pytest.mark.looptime
async def test_task_that_missed_its_cancellation_is_cancelled_again() -> None:
    began = asyncio.Event()
    task = asyncio.ensure_future(_ignore_first_cancellation(began))
    await began.wait()
    loop = asyncio.get_running_loop()
    cancelled_at = loop.time()
    await cancel_all((task,))
    assert task.cancelled()
    assert loop.time() - cancelled_at < 2
