"""Clocks that are injected into all code that waits or compares times."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time in seconds."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary origin; they never decrease."""

    def wall(self) -> float:
        """Return seconds since 1970; use them only for display and logs."""


class SystemClock:
    """The clock of the operating system.

    Explanation
    ===========
    ``CLOCK_BOOTTIME`` also counts while the VM is suspended. A process that
    resumes therefore finds at once that its leases and evidence are old.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()


class LoopClock:
    """The clock of the running event loop; tests can virtualise it."""

    def monotonic(self) -> float:
        """Return the time of the running loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the loop's time as if it had begun in 1970."""
        return self.monotonic()
