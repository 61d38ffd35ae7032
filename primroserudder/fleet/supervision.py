"""The tasks that a router consists of; none may end before the process."""

import asyncio
import os
from collections.abc import Coroutine
from dataclasses import dataclass, field

from loguru import logger

from ..process.decisions import DecisionLog

EXIT_CODE = 1


@dataclass(slots=True)
class Supervisor:
    """Starts tasks, and ends the process if one of them fails."""

    log: DecisionLog
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    is_closing: bool = False

    def start(self, *works: Coroutine[object, object, None]) -> None:
        """Run something until the process ends."""
        for work in works:
            task = asyncio.ensure_future(work)
            task.add_done_callback(self._on_end)
            self.tasks.append(task)

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        self.is_closing = True
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def _on_end(self, task: asyncio.Task[None]) -> None:
        if self.is_closing or task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        logger.opt(exception=error).error('a task of the process failed')
        self.log.note('task_failed', error=repr(error))
        # A process without one of its parts is worth less than a fresh one.
        os._exit(EXIT_CODE)
