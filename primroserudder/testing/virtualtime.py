"""An event loop whose clock jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Outcome = TypeVar('_Outcome')


class _JumpingSelector(selectors.SelectSelector):
    """Waits no real time; what it would have waited is added up."""

    def __init__(self) -> None:
        """Begin at zero."""
        super().__init__()
        self.now: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now, else jump over the wait."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting.

    Explanation
    ===========
    It turns once for each instant at which something is due, which makes
    long runs of many timers cheap.
    """

    def __init__(self) -> None:
        """Begin at zero."""
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumping.now


def run_virtually(main: Coroutine[Any, Any, _Outcome]) -> _Outcome:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
