"""Repeats a step of work for as long as a process lives."""

import asyncio
from collections.abc import Awaitable, Callable

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
