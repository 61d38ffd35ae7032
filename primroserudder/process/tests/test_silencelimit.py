"""An answer that arrives is not given up; one that is silent is."""

import asyncio
import itertools
import time
from collections.abc import Iterable

import pytest

from ..silencelimit import SilenceLimit


async def _receive(pauses_s: Iterable[float], limit: SilenceLimit) -> int:
    """Receive a head and pieces of a body after pauses; count the pieces."""
    pieces = 0
    async with limit:
        for number, pause_s in enumerate(pauses_s):
            await asyncio.sleep(pause_s)
            if number:
                limit.note_arrival()
                pieces += 1
            else:
                limit.note_head()
    return pieces


@pytest.mark.looptime
async def test_slow_answer_that_arrives_is_not_given_up() -> None:
    limit = SilenceLimit(1.4, 0.5, 6)
    assert await _receive([1.3, *itertools.repeat(0.4, 10)], limit) == 10


@pytest.mark.looptime
@pytest.mark.parametrize(
    ('pauses_s', 'ends_at'),
    [
        ([2.0], 1.4),
        ([1.0, 0.3, 2.0], 1.8),
        ([1.0, *itertools.repeat(0.4, 40)], 7.0),
    ],
    ids=['no head', 'silent', 'trickling without end'],
)
async def test_answer_that_does_not_arrive_is_given_up(
    pauses_s: list[float], ends_at: float
) -> None:
    began_at = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        await _receive(pauses_s, SilenceLimit(1.4, 0.5, 6))
    took_s = asyncio.get_running_loop().time() - began_at
    assert took_s == pytest.approx(ends_at, abs=0.05)


async def test_answer_that_came_while_the_process_was_held_up_counts() -> None:
    loop = asyncio.get_running_loop()
    arrived = loop.create_future()

    def hold_up() -> None:
        time.sleep(0.3)
        # The next turn of the loop finds both the answer and the timer.
        loop.call_soon(loop.call_soon, arrived.set_result, None)

    loop.call_later(0.05, hold_up)
    async with SilenceLimit(0.1, 0.1, 1):
        await arrived


async def test_cancellation_from_outside_is_no_timeout() -> None:
    task = asyncio.ensure_future(_receive([5], SilenceLimit(3, 1, 6)))
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
