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
async def ending(*tasks: asyncio.Task[Any]) -> AsyncIterator[None]:
    """Cancel what still runs at the end, and wait until it has ended."""
    try:
        yield
    finally:
        unfinished = [task for task in tasks if not task.done()]
        await _cancel(unfinished)


async def _cancel(tasks: Collection[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks)
