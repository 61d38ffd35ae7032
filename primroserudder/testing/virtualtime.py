"""An event loop on virtual time, for longer runs than tests.

Explanation
===========
Whenever all tasks wait, the clock jumps to the next timer, so that a run has
no input and output besides timers and takes the same course each time.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Returned = TypeVar('_Returned')


class _JumpingSelector(selectors.SelectSelector):
    """Waits for nothing and moves the clock on instead."""

    def __init__(self) -> None:
        """Begin at zero."""
        super().__init__()
        self.now: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Let the time-out pass at once."""
        if timeout is None:
            raise RuntimeError('all tasks wait for ever')
        self.now += max(0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only by its timers."""

    def __init__(self) -> None:
        """Begin at time zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now


def run_virtual(main: Coroutine[Any, Any, _Returned]) -> _Returned:
    """Run a coroutine on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
