"""Runs steps periodically and cancels tasks."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import asynccontextmanager
from typing import Any

from loguru import logger

from ..errors import RudderError
from .metrics import Metrics

CANCEL_INTERVAL_S = 0.5


async def repeat(
    step: Callable[[], Awaitable[object]],
    interval_s: float,
    name: str,
    metrics: Metrics,
) -> None:
    """Run a step forever, pausing after each run, and count failures."""
    while True:
        try:
            await step()
        except RudderError as error:
            metrics.count('failed_steps', step=name, code=error.code)
        except Exception as error:
            metrics.count('failed_steps', step=name, code='internal_error')
            logger.exception('step {} failed: {}', name, error)
        await asyncio.sleep(interval_s)


async def wait_at_most(event: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set, at most for some seconds."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return


@asynccontextmanager
async def cancel_on_exit(*tasks: asyncio.Task[Any]) -> AsyncIterator[None]:
    """Cancel the unfinished tasks on exit and wait until they have ended.

    Explanation
    ===========
    If the block raises an error, such as the cancellation of its caller, no
    code reads the results of the tasks. Their errors are then logged.
    """
    try:
        yield
    except BaseException:
        await cancel_all(tasks)
        _log_errors(tasks)
        raise
    await cancel_all(tasks)


async def cancel_all(tasks: Collection[asyncio.Task[Any]]) -> None:
    """Cancel the unfinished tasks and wait until they have ended.

    Explanation
    ===========
    A task may miss its cancellation: aiohttp turns one that comes at the
    moment of a timeout into that timeout. It is cancelled again.
    """
    unfinished = {task for task in tasks if not task.done()}
    while unfinished:
        for task in unfinished:
            task.cancel()
        _, unfinished = await asyncio.wait(
            unfinished, timeout=CANCEL_INTERVAL_S
        )


def _log_errors(tasks: Collection[asyncio.Task[Any]]) -> None:
    for task in tasks:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logger.debug('a task whose result is not read failed: {!r}', error)
