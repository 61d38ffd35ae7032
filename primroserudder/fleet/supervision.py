"""Runs the tasks of a router; if one fails, the process exits."""

import asyncio
import os
from collections.abc import Coroutine
from dataclasses import dataclass, field

from loguru import logger

from ..process.decisions import DecisionLog
from ..process.loops import cancel_all

EXIT_CODE = 1


@dataclass(slots=True)
class Supervisor:
    """Starts tasks, and exits the process if one of them fails."""

    log: DecisionLog
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    is_closing: bool = False

    def start(self, *coroutines: Coroutine[object, object, None]) -> None:
        """Run coroutines in tasks until the process ends."""
        for coroutine in coroutines:
            task = asyncio.ensure_future(coroutine)
            task.add_done_callback(self._on_end)
            self.tasks.append(task)

    async def close(self) -> None:
        """Cancel all tasks and wait until they end."""
        self.is_closing = True
        await cancel_all(self.tasks)

    def _on_end(self, task: asyncio.Task[None]) -> None:
        if self.is_closing or task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        logger.opt(exception=error).error('a task of the process failed')
        self.log.note('task_failed', error=repr(error))
        # A restarted process runs all tasks again; this one would lack one.
        os._exit(EXIT_CODE)
