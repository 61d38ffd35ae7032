"""Cancels queries whose relay can't be used any more."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ...process.loops import cancel_on_exit

# Relays that are queried are checked at this interval.
CHECK_INTERVAL_S = 0.1

_Answer = TypeVar('_Answer')


@dataclass(slots=True)
class QueryWatch(Generic[_Answer]):
    """Cancels queries whose relay can't be used any more.

    Explanation
    ===========
    A single timer checks all running queries.

    Parameters
    ==========
    late_s : float
        How late that timer was at most, in seconds, since it was last reset.
    """

    _condition_by_task: dict[
        'asyncio.Task[_Answer | None]', Callable[[], bool]
    ] = field(default_factory=dict)
    late_s: float = 0
    _timer: asyncio.TimerHandle | None = None

    async def wait(
        self,
        query: Coroutine[object, object, _Answer | None],
        condition: Callable[[], bool],
    ) -> _Answer | None:
        """Return an answer, ``None`` if the condition ceased to hold before."""
        task = asyncio.ensure_future(query)
        self._condition_by_task[task] = condition
        task.add_done_callback(self._condition_by_task.pop)
        self._schedule()
        async with cancel_on_exit(task):
            await asyncio.wait((task,))
            return None if task.cancelled() else task.result()

    def _schedule(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._note_lateness()
        self._timer = None
        for task, is_wanted in tuple(self._condition_by_task.items()):
            if not is_wanted():
                task.cancel()
        if self._condition_by_task:
            self._schedule()

    def _note_lateness(self) -> None:
        if self._timer is not None:
            now = asyncio.get_running_loop().time()
            self.late_s = max(self.late_s, now - self._timer.when())
