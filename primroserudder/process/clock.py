"""Sources of time, injected into everything that waits or compares."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Time as the program sees it, in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never step back, from an arbitrary origin."""

    def wall(self) -> float:
        """Return seconds since 1970, for display and logs only."""


class SystemClock:
    """The clock of the machine.

    Explanation
    ===========
    ``CLOCK_BOOTTIME`` goes on while the VM is suspended, so that a process
    that wakes sees at once that its leases and evidence are old.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, time in suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()


class LoopClock:
    """The clock of the running event loop, which tests may virtualise."""

    def monotonic(self) -> float:
        """Return the time of the running loop in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the loop's time as if it had begun in 1970."""
        return self.monotonic()
