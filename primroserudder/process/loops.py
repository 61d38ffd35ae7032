"""Repeats steps for as long as a process lives, and ends tasks."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import asynccontextmanager
from typing import Any

from loguru import logger

from ..errors import RudderError
from .metrics import Metrics


async def repeat(
    step: Callable[[], Awaitable[object]],
    interval_s: float,
    name: str,
    metrics: Metrics,
) -> None:
    """Run a step again and again, counting the ones that failed."""
    while True:
        try:
            await step()
        except RudderError as error:
            metrics.count('failed_steps', step=name, code=error.code)
        except Exception as fault:
            metrics.count('failed_steps', step=name, code='internal_error')
            logger.exception('step {} failed: {}', name, fault)
        await asyncio.sleep(interval_s)


@asynccontextmanager
async def cancel_on_exit(*tasks: asyncio.Task[Any]) -> AsyncIterator[None]:
    """Cancel what still runs at the end, and wait until it has ended.

    Explanation
    ===========
    If the block itself is left by an error, such as the cancellation of its
    caller, nobody will ask for the tasks' results; their errors are logged.
    """
    try:
        yield
    except BaseException:
        await cancel_all(tasks)
        _note_errors(tasks)
        raise
    await cancel_all(tasks)


async def cancel_all(tasks: Collection[asyncio.Task[Any]]) -> None:
    """Cancel the tasks that still run, and wait until they have ended."""
    unfinished = [task for task in tasks if not task.done()]
    for task in unfinished:
        task.cancel()
    if unfinished:
        await asyncio.wait(unfinished)


def _note_errors(tasks: Collection[asyncio.Task[Any]]) -> None:
    for task in tasks:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logger.debug('a task that nobody waits for failed: {!r}', error)
