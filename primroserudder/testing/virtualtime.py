"""An event loop whose time advances only when all tasks wait."""

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any, TypeVar

_Outcome = TypeVar('_Outcome')


class _SkippingSelector(selectors.SelectSelector):
    """A selector that skips each wait and adds it to the virtual time."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready events at once; add the timeout to the time."""
        if timeout:
            self.skipped_s += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time, for long randomised runs without a network.

    Examples
    ========
    >>> loop = VirtualTimeLoop()
    >>> loop.run_until_complete(asyncio.sleep(3600))
    >>> round(loop.time())
    3600
    >>> loop.close()
    """

    def __init__(self) -> None:
        """Start at time zero."""
        self.skipping = _SkippingSelector()
        self.errors: list[Mapping[str, Any]] = []
        super().__init__(self.skipping)
        self.set_exception_handler(self._keep_error)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.skipping.skipped_s

    def close_all(self) -> None:
        """Cancel all tasks, wait until they end, and close the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(asyncio.wait(tasks))
        self.close()

    def _keep_error(
        self,
        loop: asyncio.AbstractEventLoop,
        context: Mapping[str, Any],
    ) -> None:
        self.errors.append(context)


def run_virtually(main: Coroutine[Any, Any, _Outcome]) -> _Outcome:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
