"""Retries platform operations that get no answer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

from .platform import OutcomeUnknown, PlatformUnavailable

RETRY_PAUSES_S = (0.1, 0.2, 0.4, 0.8)

_Result = TypeVar('_Result')


async def retry_platform_call(
    call: Callable[[], Awaitable[_Result]],
) -> _Result:
    """Retry an operation after short pauses until the platform answers.

    Explanation
    ===========
    The operation must be safe to repeat, such as a transaction whose
    conditions can hold only once. If the answer to any call is lost, the
    outcome stays unknown, also if later calls fail without effect.

    Raises
    ======
    OutcomeUnknown
        The answer to a call was lost, and no later call was answered.
    PlatformUnavailable
        The platform answered no call, and none had an effect.
    """
    unknown_outcome: OutcomeUnknown | None = None
    for pause_s in RETRY_PAUSES_S:
        try:
            return await call()
        except OutcomeUnknown as error:
            unknown_outcome = error
        except PlatformUnavailable as unavailable:
            logger.debug('retrying the platform operation: {}', unavailable)
        await asyncio.sleep(pause_s)
    try:
        return await call()
    except PlatformUnavailable as unavailable:
        raise unknown_outcome or unavailable from unavailable
