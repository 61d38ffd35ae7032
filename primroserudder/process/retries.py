"""Repeats operations of the platform whose answer does not come."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

from .platform import OutcomeUnknown, PlatformUnavailable

RETRY_PAUSES_S = (0.1, 0.2, 0.4, 0.8)

_Answer = TypeVar('_Answer')


async def retry_platform_call(
    call: Callable[[], Awaitable[_Answer]],
) -> _Answer:
    """Repeat an operation until the platform answers, for a short while.

    Explanation
    ===========
    The operation must be one whose repetition is harmless, such as a
    transaction whose conditions can hold only once. If the answer to any
    call was lost, a later outage does not make the outcome known.

    Raises
    ======
    OutcomeUnknown
        An answer was lost, and none came later.
    PlatformUnavailable
        No call had an effect.
    """
    unknown: OutcomeUnknown | None = None
    for pause_s in RETRY_PAUSES_S:
        try:
            return await call()
        except OutcomeUnknown as lost:
            unknown = lost
        except PlatformUnavailable as unavailable:
            logger.debug('the platform is asked again: {}', unavailable)
        await asyncio.sleep(pause_s)
    try:
        return await call()
    except PlatformUnavailable as unavailable:
        raise unknown or unavailable from unavailable
